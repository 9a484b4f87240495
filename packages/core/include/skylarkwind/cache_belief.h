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
inline constexpr std::size_t kPieceTokens = 4'096;
inline constexpr std::size_t kPieceBytes = kPieceTokens * 4;

/// One hash for each whole piece of the prompt. The hash of a piece is seeded with the hash of
/// the piece before it (0 for the first), so it stands for the whole prefix.
std::vector<std::uint64_t> PrefixPieces(std::string_view aPrompt);

/// An engine that is thought to hold the first `mPieces` pieces of a prompt.
struct believed_holder
{
  std::string_view mEngine;
  std::size_t mPieces = 0;
};

/// Estimate of which engine holds which prefix, from the engines' cache events. The events come
/// late and with gaps, so the estimate only improves a choice and is dropped when in doubt.
class cache_belief
{
public:
  /// Applies the events. Drops what was known of the engine after a gap or a restart.
  void OnEvents(const engine_view& aEngine, const cache_events_read& aRead);
  /// Drops what was known of the engine if its role, model, version or incarnation changed;
  /// false when it did.
  bool Check(const engine_view& aEngine);
  /// Sequence number after which the engine's next events are to be read.
  std::uint64_t ReadAfter(std::string_view aEngine) const;
  /// Engines that hold the longest known prefix, at most `kMostHolders`.
  std::vector<believed_holder> Holders(std::span<const std::uint64_t> aPieces) const;

  static constexpr std::size_t kMostHolders = 4;

private:
  struct engine_cache
  {
    std::string mName;
    engine_role mRole = engine_role::Both;
    std::string mModel;
    std::string mVersion;
    std::uint64_t mIncarnation = 0;
    std::uint64_t mLastSequence = 0;
    std::deque<std::uint64_t> mPieces; ///< oldest first
  };

  engine_cache& Entry(const engine_view& aEngine);
  void Drop(engine_cache& aCache);
  void Add(engine_cache& aCache, std::uint64_t aPiece);
  void Remove(engine_cache& aCache, std::uint64_t aPiece);
  void Unlink(const engine_cache& aCache, std::uint64_t aPiece);

  std::map<std::string, engine_cache, std::less<>> mEngines;
  std::unordered_map<std::uint64_t, std::vector<const engine_cache*>> mHolders;
};

} // namespace skylarkwind
