#pragma once

#include "skylarkwind/backend_calls.h"
#include "skylarkwind/engine_view.h"
#include "skylarkwind/events.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace skylarkwind {

/// Engines cache prompts in blocks of 4,096 tokens, at 4 bytes a token.
inline constexpr std::size_t kBlockTokens = 4'096;
inline constexpr std::size_t kBlockBytes = kBlockTokens * 4;

/// Returns one hash for each full block of the prompt. The hash of a block is seeded with the hash
/// of the block before it (0 for the first), so it identifies the whole prefix.
std::vector<std::uint64_t> PrefixBlockHashes(std::string_view aPrompt);

/// An engine that probably caches the first `mPieces` blocks of a prompt.
struct prefix_match
{
  std::string_view mEngine;
  std::size_t mBlocks = 0;
};

/// Estimates which engine caches which prompt prefix, from the engines' cache events. The events
/// arrive late and with gaps, so the estimate is only a hint for routing and is dropped when in
/// doubt.
class prefix_cache_estimate
{
public:
  /// Applies cache events. Drops the engine's entries after a gap in the sequence or a restart.
  void OnEvents(const engine_view& aEngine, const cache_events_read& aRead);
  /// Drops the engine's entries if its role, model, version or incarnation changed; returns false
  /// in that case.
  bool Check(const engine_view& aEngine);
  /// Returns the sequence number after which to read the engine's next events.
  std::uint64_t ReadAfter(std::string_view aEngine) const;
  /// Returns the engines that cache the longest known prefix, at most `kMaxHolders`.
  std::vector<prefix_match> Holders(std::span<const std::uint64_t> aBlocks) const;

  static constexpr std::size_t kMaxHolders = 4;

private:
  struct engine_cache
  {
    std::string mName;
    engine_role mRole = engine_role::Both;
    std::string mModel;
    std::string mVersion;
    std::uint64_t mIncarnation = 0;
    std::uint64_t mLastSequence = 0;
    std::deque<std::uint64_t> mBlocks; ///< oldest first
  };

  engine_cache& Entry(const engine_view& aEngine);
  void Drop(engine_cache& aCache);
  void Add(engine_cache& aCache, std::uint64_t aBlock);
  void Remove(engine_cache& aCache, std::uint64_t aBlock);
  void Unlink(const engine_cache& aCache, std::uint64_t aBlock);

  std::map<std::string, engine_cache, std::less<>> mEngines;
  std::unordered_map<std::uint64_t, std::vector<const engine_cache*>> mHolders;
};

} // namespace skylarkwind
