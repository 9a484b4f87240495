#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/forward_types.h"
#include "skylarkwind/load_messages.h"

#include <chrono>
#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace skylarkwind {

/// Estimated length of the prefix of one prompt that each engine has in its KV cache.
class cached_prefixes
{
public:
  struct prefix
  {
    backend_key mBackend = 0;
    std::uint32_t mTokens = 0;
  };
  /// Tokens cached by one engine; 0 when it caches none.
  std::uint32_t At(backend_key aBackend) const;
  const std::vector<prefix>& All() const { return mPrefixes; }

private:
  friend class prefix_cache_index;
  std::vector<prefix> mPrefixes;
};

/// Tracks which engine has which segments of prompts in its KV cache. Engines evict the least
/// recently used segments, so a segment counts as cached until a given share of the engine's memory
/// has been filled since its last use.
class prefix_cache_index
{
public:
  /// A request that makes the engine compute these segments was sent to it. They are expected to be
  /// ready after `aExpected`.
  void OnPrefillStarted(std::string_view aBackendId,
                        std::span<const prompt_segment> aSegments,
                        std::chrono::duration<double, std::milli> aExpected,
                        instant aNow);
  /// The engine has computed, fetched or reused these segments.
  void OnCached(std::string_view aBackendId,
                std::span<const prompt_segment> aSegments,
                instant aNow);
  /// Tokens were added to the engine's memory and evict the least recently used ones.
  void OnTokensAdded(std::string_view aBackendId, std::uint32_t aTokens);
  /// Sets the size of an engine's KV cache in tokens, from the configuration.
  void SetCapacity(std::string_view aBackendId, std::uint64_t aTokens);
  /// The engine has left or restarted and caches nothing.
  void RemoveEngine(std::string_view aBackendId);

  /// Engines that cache a prefix of the prompt.
  cached_prefixes CachedPrefixes(std::span<const prompt_segment> aSegments) const;
  /// Length of the prompt prefix that any engine caches or is computing, and when the last of its
  /// segments is expected: the epoch when all of them are cached already. A request that is sent
  /// before then computes them again.
  struct pending_prefix
  {
    std::uint32_t mTokens = 0;
    instant mReadyAt{};
  };
  pending_prefix PendingPrefix(std::span<const prompt_segment> aSegments, instant aNow) const;

  /// Tokens that this daemon has added to the engine's memory since the daemon started.
  std::uint64_t OwnTokensAdded(backend_key aBackend) const;
  /// Other daemons have added `aTokens` more tokens to the engine's memory.
  void OnPeerTokensAdded(backend_key aBackend, std::uint64_t aTokens);
  /// Another daemon has reported segments that engines cache or are computing.
  void OnPeerSegments(std::span<const cached_segment> aSegments, instant aNow);
  /// Takes queued updates for the other daemons, at most as many as one message carries.
  std::vector<cached_segment> TakeUpdates();
  /// Whether updates for the other daemons are queued.
  bool HasUpdates() const { return !mUpdates.empty(); }

private:
  struct engine_cache
  {
    std::uint64_t mOwnAdded = 0;  ///< tokens added by this daemon
    std::uint64_t mPeerAdded = 0; ///< tokens added by other daemons
    std::uint64_t mCapacity = 0;  ///< in tokens
  };
  struct cache_entry
  {
    backend_key mBackend = 0;
    bool mComputed = false;
    instant mReadyAt{};                   ///< expected, while it is not computed
    std::uint64_t mAddedAtLastUse = 0;    ///< value of Added() at the last use
    std::uint64_t mAddedAtLastReport = 0; ///< value of Added() when it was last reported to others
  };
  using cache_entries = std::vector<cache_entry>;

  engine_cache& CacheOf(backend_key aBackend) { return mCaches[aBackend]; }
  /// Tokens that all daemons have added to the engine's memory.
  std::uint64_t Added(backend_key aBackend) const;
  /// Whether a segment is still cached, given the tokens added since its last use.
  bool StillCached(const cache_entry& aEntry) const;
  cache_entry& EntryOf(std::uint64_t aSegment, backend_key aBackend);
  /// Removes the segments that no engine caches any more; removes all segments when that frees no
  /// space.
  void DropEvicted();
  /// Queues an update for the other daemons; drops it when the queue is full.
  void QueueUpdate(std::uint64_t aSegment, const cache_entry& aEntry, instant aNow);

  std::unordered_map<backend_key, engine_cache> mCaches;
  std::unordered_map<std::uint64_t, cache_entries> mSegments;
  std::vector<cached_segment> mUpdates;
};

} // namespace skylarkwind
