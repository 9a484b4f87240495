#include "skylarkwind/store_watchers.h"

#include "skylarkwind/hash.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// Watchers of a data centre. With a third of the daemons cut off from the store, all three are cut
/// off in one of 27 cases; the others then learn of changes from other data centres.
constexpr std::size_t kMostWatchers = 3;

} // namespace

store_watchers
store_watchers::Choose(const fleet_members& aMembers, instant aNow)
{
  const auto& self = aMembers.Self();
  const auto chosen = aMembers.BestWithStore(self.mDataCentre, kMostWatchers, aNow);
  const auto own = std::find(chosen.begin(), chosen.end(), &self);
  store_watchers watchers;
  watchers.mIndex = static_cast<std::size_t>(own - chosen.begin());
  // A daemon that has not reached the store yet watches for itself as long as it knows of no other.
  watchers.mSelfWatches = own != chosen.end() || chosen.empty();
  watchers.mCount = std::max<std::size_t>(1, chosen.size());
  return watchers;
}

bool
store_watchers::Serves(std::string_view aPeer) const
{
  return mSelfWatches && Hash64(aPeer) % mCount == mIndex;
}

} // namespace skylarkwind
