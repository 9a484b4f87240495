#include "skylarkwind/store_watchers.h"

#include "skylarkwind/hash.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// Watchers of a data centre. With a third of the daemons cut off from the store, all three are cut
/// off in one of 27 cases; the others then learn of changes from the digests of other data centres.
constexpr std::size_t kMostWatchers = 3;

} // namespace

store_watchers
store_watchers::Choose(std::string_view aSelf, std::span<const std::string> aPeers)
{
  store_watchers watchers;
  watchers.mIndex = static_cast<std::size_t>(std::count_if(
    aPeers.begin(), aPeers.end(), [aSelf](const auto& aPeer) { return aPeer < aSelf; }));
  watchers.mCount = std::min(kMostWatchers, aPeers.size() + 1);
  watchers.mSelfWatches = watchers.mIndex < kMostWatchers;
  return watchers;
}

bool
store_watchers::Serves(std::string_view aPeer) const
{
  return mSelfWatches && Hash64(aPeer) % mCount == mIndex;
}

} // namespace skylarkwind
