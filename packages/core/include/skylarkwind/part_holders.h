#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/forward_types.h"
#include "skylarkwind/work_messages.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace skylarkwind {

/// How many tokens at the start of one prompt each engine is thought to keep.
class kept_starts
{
public:
  struct start
  {
    backend_key mBackend = 0;
    std::uint32_t mTokens = 0;
  };
  std::uint32_t At(backend_key aBackend) const;
  const std::vector<start>& All() const { return mStarts; }

private:
  friend class part_holders;
  std::vector<start> mStarts;
};

/// Which engine keeps which parts of prompts. Engines evict what was used least recently, so that a
/// part counts as kept until a share of the engine's memory has been filled since its last use.
class part_holders
{
public:
  /// A request that makes the engine compute these parts was sent to it and is expected to have
  /// done so after `aExpected`.
  void OnComing(std::string_view aBackendId,
                std::span<const prompt_part> aParts,
                std::chrono::duration<double, std::milli> aExpected,
                instant aNow);
  /// The engine has computed or fetched these parts, or has used them again.
  void OnKept(std::string_view aBackendId, std::span<const prompt_part> aParts, instant aNow);
  /// Tokens come into the engine's memory and push out what was used least recently.
  void OnAdded(std::string_view aBackendId, std::uint32_t aTokens);
  /// The memory of an engine for kept parts, from the configuration.
  void SetCapacity(std::string_view aBackendId, std::uint64_t aTokens);
  /// The engine has left or started again and keeps nothing.
  void Forget(std::string_view aBackendId);

  /// Engines that keep the start of the prompt.
  kept_starts Kept(std::span<const prompt_part> aParts) const;
  /// Tokens at the start of the prompt that any engine keeps or is computing, and when the last of
  /// them is expected. A request that is sent before that computes them once more.
  struct coming_parts
  {
    std::uint32_t mTokens = 0;
    instant mReadyAt{};
  };
  coming_parts Coming(std::span<const prompt_part> aParts, instant aNow) const;

  /// Tokens that this daemon has put into the engine's memory since it started.
  std::uint64_t OwnAdded(backend_key aBackend) const;
  /// Other daemons have put so many more tokens into the engine's memory.
  void OnOthersAdded(backend_key aBackend, std::uint64_t aTokens);
  /// Another daemon tells of parts.
  void OnTold(std::span<const kept_part> aParts, instant aNow);
  /// Takes what was learnt since the last such call, some parts at a time.
  std::vector<kept_part> TakeFresh();
  bool HasFresh() const { return !mFresh.empty(); }

private:
  struct memory
  {
    std::uint64_t mOwnAdded = 0;
    std::uint64_t mOthersAdded = 0;
    std::uint64_t mCapacity = 0;
  };
  struct holding
  {
    backend_key mBackend = 0;
    bool mComputed = false;
    instant mReadyAt{};             ///< while it is not computed
    std::uint64_t mAddedBefore = 0; ///< tokens added to the engine until the last use
    std::uint64_t mToldAt = 0;      ///< the same when others were told last
  };
  using holdings = std::vector<holding>;

  memory& MemoryOf(backend_key aBackend) { return mMemories[aBackend]; }
  std::uint64_t Added(backend_key aBackend) const;
  /// Whether a part that was used is still kept, given what has come since.
  bool StillKept(const holding& aHeld) const;
  holding& HoldingOf(std::uint64_t aPart, backend_key aBackend);
  /// Drops the parts that no engine keeps any more.
  void DropEvicted();
  void Tell(std::uint64_t aPart, const holding& aHeld, instant aNow);

  std::unordered_map<backend_key, memory> mMemories;
  std::unordered_map<std::uint64_t, holdings> mParts;
  std::vector<kept_part> mFresh;
};

} // namespace skylarkwind
