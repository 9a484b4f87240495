#include "skylarkwind/store_watchers.h"

#include "skylarkwind/hash.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// Each store change costs one store call per watcher. If a third of the daemons silently lose the
/// store, all four watchers have lost it in one of 81 cases.
constexpr std::size_t kMaxWatchers = 4;
/// Time after the first view of the others during which not all daemons know yet who reaches the
/// store.
constexpr std::chrono::milliseconds kStartupPeriod{ 1'500 };
/// Information on who reaches the store gets to all daemons within this time.
constexpr std::chrono::milliseconds kPropagationTime{ 400 };
/// Time after a failed call during which the store is assumed not to answer this daemon. It doubles
/// with each consecutive failure.
constexpr std::chrono::milliseconds kMinLossHoldOff{ 3'000 };
constexpr std::chrono::milliseconds kMaxLossHoldOff{ 12'000 };

} // namespace

store_watchers
store_watchers::Choose(const fleet_members& aMembers, instant aNow)
{
  const auto& self = aMembers.Self();
  store_watchers watchers;
  watchers.mSelfWatches = aMembers.DutyRank(aNow) < kMaxWatchers;
  const auto own =
    aMembers.Preferred(self.mDataCentre, fleet_members::kCollectorsPerDataCentre, aNow);
  const auto place = std::find(own.begin(), own.end(), &self);
  watchers.mIndex = static_cast<std::size_t>(place - own.begin());
  watchers.mIsCollector = place != own.end();
  watchers.mCount = std::max<std::size_t>(1, own.size());
  for (const auto& dataCentre : aMembers.DataCentres()) {
    for (const auto* member :
         aMembers.Preferred(dataCentre, fleet_members::kCollectorsPerDataCentre, aNow)) {
      if (member != &self) {
        watchers.mCollectors.push_back(member->mAddress);
      }
    }
  }
  return watchers;
}

std::vector<std::string>
SnapshotSources(const fleet_members& aMembers, bool aWidely, instant aNow)
{
  std::vector<std::string> addresses;
  const auto add = [&](const std::string& aDataCentre, bool aWithStore) {
    for (const auto* member :
         aMembers.Preferred(aDataCentre, fleet_members::kCollectorsPerDataCentre + 1, aNow)) {
      if (member != &aMembers.Self() && (!aWithStore || member->mReachesStore)) {
        addresses.push_back(member->mAddress);
      }
    }
  };
  if (!aWidely) {
    add(aMembers.Self().mDataCentre, true);
  }
  if (addresses.empty()) {
    for (const auto& dataCentre : aMembers.DataCentres()) {
      add(dataCentre, false);
    }
  }
  return addresses;
}

bool
LikelyReachesStore(const store_contact& aContact, instant aNow)
{
  if (aContact.mFailures == 0) {
    return true;
  }
  const auto doublings = std::min<std::uint32_t>(aContact.mFailures - 1, 8);
  return aNow - aContact.mFailedAt >=
         std::min(kMaxLossHoldOff, kMinLossHoldOff * (1U << doublings));
}

bool
watch_policy::Watches(bool aChosen, bool aConnected, instant aNow)
{
  const bool first = !mFirstAt;
  mFirstAt = mFirstAt.value_or(aNow);
  if (!aChosen) {
    mChosenSince.reset();
    return !aConnected;
  }
  mChosenSince = mChosenSince.value_or(first ? aNow - kPropagationTime : aNow);
  return !aConnected || aNow - *mFirstAt >= kStartupPeriod ||
         aNow - *mChosenSince >= kPropagationTime;
}

bool
store_watchers::RelaysTo(std::string_view aPeer) const
{
  return mIsCollector && Hash64(aPeer) % mCount == mIndex;
}

} // namespace skylarkwind
