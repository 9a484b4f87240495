#include "skylarkwind/prefix_cache_index.h"

#include <algorithm>

namespace skylarkwind {

namespace {

using milliseconds_f = std::chrono::duration<double, std::milli>;

/// A segment counts as evicted when more than this fraction of the engine's memory has been filled
/// since the last use of the segment. Running requests occupy the rest.
constexpr double kEvictionTurnover = 0.75;
/// The use of a segment is reported to the other daemons again when more than this fraction of the
/// engine's memory has been filled since the last report.
constexpr double kReportAgainTurnover = 0.1;
/// Updates that one message carries; the rest is sent with the next ones.
constexpr std::size_t kMaxUpdatesPerMessage = 32;
/// Bound on the queue of updates for the other daemons, which lose their use with age. While the
/// queue is full, new updates are dropped.
constexpr std::size_t kMaxQueuedUpdates = 256;

/// Bound on the number of tracked segments. It is above the number of segments of 1,000 tokens that
/// the memories of 600 engines hold. When it is reached, evicted segments are removed,
/// and all segments if that frees no space.
constexpr std::size_t kMaxSegments = 300'000;

/// All segments but the last, which is unique to one request, so that no other request asks for it.
std::span<const prompt_segment>
SharedSegments(std::span<const prompt_segment> aSegments)
{
  return aSegments.first(aSegments.empty() ? 0 : aSegments.size() - 1);
}

} // namespace

std::uint32_t
cached_prefixes::At(backend_key aBackend) const
{
  const auto found = std::find_if(mPrefixes.begin(), mPrefixes.end(), [&](const prefix& aPrefix) {
    return aPrefix.mBackend == aBackend;
  });
  return found == mPrefixes.end() ? 0 : found->mTokens;
}

std::uint64_t
prefix_cache_index::Added(backend_key aBackend) const
{
  const auto found = mCaches.find(aBackend);
  return found == mCaches.end() ? 0 : found->second.mOwnAdded + found->second.mPeerAdded;
}

std::uint64_t
prefix_cache_index::OwnTokensAdded(backend_key aBackend) const
{
  const auto found = mCaches.find(aBackend);
  return found == mCaches.end() ? 0 : found->second.mOwnAdded;
}

bool
prefix_cache_index::StillCached(const cache_entry& aEntry) const
{
  const auto found = mCaches.find(aEntry.mBackend);
  const double capacity = found == mCaches.end() ? 0 : static_cast<double>(found->second.mCapacity);
  return static_cast<double>(Added(aEntry.mBackend) - aEntry.mAddedAtLastUse) <=
         kEvictionTurnover * capacity;
}

prefix_cache_index::cache_entry&
prefix_cache_index::EntryOf(std::uint64_t aSegment, backend_key aBackend)
{
  if (mSegments.size() >= kMaxSegments) {
    DropEvicted();
  }
  auto& entries = mSegments[aSegment];
  const auto found = std::find_if(entries.begin(), entries.end(), [&](const cache_entry& aEntry) {
    return aEntry.mBackend == aBackend;
  });
  if (found != entries.end()) {
    return *found;
  }
  // Removes evicted copies to make room for the new one.
  std::erase_if(entries, [this](const cache_entry& aEntry) {
    return aEntry.mComputed && !StillCached(aEntry);
  });
  entries.push_back({ aBackend });
  return entries.back();
}

void
prefix_cache_index::DropEvicted()
{
  for (auto entry = mSegments.begin(); entry != mSegments.end();) {
    std::erase_if(entry->second,
                  [this](const cache_entry& aEntry) { return !StillCached(aEntry); });
    entry = entry->second.empty() ? mSegments.erase(entry) : std::next(entry);
  }
  if (mSegments.size() >= kMaxSegments) {
    mSegments.clear();
  }
}

void
prefix_cache_index::OnPrefillStarted(std::string_view aBackendId,
                                     std::span<const prompt_segment> aSegments,
                                     milliseconds_f aExpected,
                                     instant aNow)
{
  const auto backend = BackendKey(aBackendId);
  for (const auto& segment : SharedSegments(aSegments)) {
    auto& entry = EntryOf(segment.mKey, backend);
    if (entry.mComputed && StillCached(entry)) {
      continue;
    }
    entry = { backend, false, aNow + std::chrono::duration_cast<instant::duration>(aExpected) };
    QueueUpdate(segment.mKey, entry, aNow);
  }
}

void
prefix_cache_index::OnCached(std::string_view aBackendId,
                             std::span<const prompt_segment> aSegments,
                             instant aNow)
{
  const auto backend = BackendKey(aBackendId);
  const auto added = Added(backend);
  for (const auto& segment : SharedSegments(aSegments)) {
    auto& entry = EntryOf(segment.mKey, backend);
    const bool report = !entry.mComputed || !StillCached(entry) ||
                        static_cast<double>(added - entry.mAddedAtLastReport) >
                          kReportAgainTurnover * static_cast<double>(CacheOf(backend).mCapacity);
    entry = { backend, true, {}, added, report ? added : entry.mAddedAtLastReport };
    if (report) {
      QueueUpdate(segment.mKey, entry, aNow);
    }
  }
}

void
prefix_cache_index::OnTokensAdded(std::string_view aBackendId, std::uint32_t aTokens)
{
  CacheOf(BackendKey(aBackendId)).mOwnAdded += aTokens;
}

void
prefix_cache_index::OnPeerTokensAdded(backend_key aBackend, std::uint64_t aTokens)
{
  CacheOf(aBackend).mPeerAdded += aTokens;
}

void
prefix_cache_index::SetCapacity(std::string_view aBackendId, std::uint64_t aTokens)
{
  CacheOf(BackendKey(aBackendId)).mCapacity = aTokens;
}

void
prefix_cache_index::RemoveEngine(std::string_view aBackendId)
{
  const auto backend = BackendKey(aBackendId);
  for (auto& [segment, entries] : mSegments) {
    std::erase_if(entries, [&](const cache_entry& aEntry) { return aEntry.mBackend == backend; });
  }
}

void
prefix_cache_index::OnPeerSegments(std::span<const cached_segment> aSegments, instant aNow)
{
  for (const auto& reported : aSegments) {
    auto& entry = EntryOf(reported.mKey, reported.mBackend);
    entry.mComputed = entry.mComputed || reported.mComputed;
    entry.mReadyAt = aNow + std::chrono::milliseconds{ reported.mReadyInMs };
    entry.mAddedAtLastUse = Added(reported.mBackend);
    entry.mAddedAtLastReport = entry.mAddedAtLastUse;
  }
}

void
prefix_cache_index::QueueUpdate(std::uint64_t aSegment, const cache_entry& aEntry, instant aNow)
{
  if (mUpdates.size() >= kMaxQueuedUpdates) {
    return;
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(aEntry.mReadyAt - aNow);
  const auto readyIn = aEntry.mComputed ? 0 : std::max<std::int64_t>(0, left.count());
  mUpdates.push_back(
    { aSegment, aEntry.mBackend, aEntry.mComputed, static_cast<std::uint32_t>(readyIn) });
}

std::vector<cached_segment>
prefix_cache_index::TakeUpdates()
{
  const auto count = std::min(kMaxUpdatesPerMessage, mUpdates.size());
  const auto end = mUpdates.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<cached_segment> taken{ mUpdates.begin(), end };
  mUpdates.erase(mUpdates.begin(), end);
  return taken;
}

cached_prefixes
prefix_cache_index::CachedPrefixes(std::span<const prompt_segment> aSegments) const
{
  cached_prefixes cached;
  std::uint32_t tokensBefore = 0;
  bool first = true;
  for (const auto& segment : aSegments) {
    const auto entries = mSegments.find(segment.mKey);
    if (entries == mSegments.end()) {
      break;
    }
    // An engine can reuse a segment only if it caches all segments before it.
    bool extended = false;
    for (const auto& entry : entries->second) {
      if (!entry.mComputed || !StillCached(entry)) {
        continue;
      }
      if (first) {
        cached.mPrefixes.push_back({ entry.mBackend, segment.mTokens });
        extended = true;
        continue;
      }
      for (auto& prefix : cached.mPrefixes) {
        if (prefix.mBackend == entry.mBackend && prefix.mTokens == tokensBefore) {
          prefix.mTokens += segment.mTokens;
          extended = true;
        }
      }
    }
    if (!extended) {
      break;
    }
    first = false;
    tokensBefore += segment.mTokens;
  }
  return cached;
}

prefix_cache_index::pending_prefix
prefix_cache_index::PendingPrefix(std::span<const prompt_segment> aSegments, instant aNow) const
{
  pending_prefix pending;
  for (const auto& segment : SharedSegments(aSegments)) {
    const auto entries = mSegments.find(segment.mKey);
    if (entries == mSegments.end()) {
      return pending;
    }
    bool found = false;
    auto readyAt = instant::max();
    for (const auto& entry : entries->second) {
      if (entry.mComputed ? StillCached(entry) : entry.mReadyAt >= aNow) {
        found = true;
        readyAt = std::min(readyAt, entry.mComputed ? instant{} : entry.mReadyAt);
      }
    }
    if (!found) {
      return pending;
    }
    pending.mTokens += segment.mTokens;
    pending.mReadyAt = std::max(pending.mReadyAt, readyAt);
  }
  return pending;
}

} // namespace skylarkwind
