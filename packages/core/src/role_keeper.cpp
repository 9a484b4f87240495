#include "skylarkwind/role_keeper.h"

#include <algorithm>
#include <cmath>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// A deviation that is shorter than this is not acted on: entries of engines that start or leave
/// come one after the other.
constexpr milliseconds kSettleTime{ 400 };
/// The lease is read again after this long while orders are due, and otherwise, so that a daemon
/// that has to order knows how long the lease has been unused.
constexpr milliseconds kCheckPeriod{ 700 };
constexpr milliseconds kWatchPeriod{ 2'500 };
/// Daemons that watch the lease, the one that gives orders included.
constexpr std::size_t kLeaseWatchers = 3;
/// How long after a write of the lease its holder may order.
constexpr milliseconds kHold{ 1'000 };
/// A store call without an answer is given up after this long.
constexpr milliseconds kCallLimit{ 2'000 };
/// Covers the way of the last order of the holder before.
constexpr milliseconds kHolderMargin{ 600 };
/// An engine whose order was not answered is ordered again no sooner than this after its change
/// should be over.
constexpr milliseconds kOrderAgain{ 1'500 };
/// Part of a service's engines that may change at once while the service is at work.
constexpr double kMostChanging = 0.2;

} // namespace

role_keeper::role_keeper(role_keeper_settings aSettings)
  : mSettings(std::move(aSettings))
{
}

std::vector<std::pair<std::string, engine_role>>
role_keeper::Changes(const service_view& aService, double aPrefillShare)
{
  std::map<std::string, std::vector<const engine_view*>> decoders; ///< by data centre
  std::vector<const engine_view*> prefillers;
  std::size_t known = 0;
  for (const auto& engine : aService.mEngines) {
    const auto role = engine.mServer.mRole;
    known += role ? 1 : 0;
    if (role == engine_role::Prefill) {
      prefillers.push_back(&engine);
    } else if (role == engine_role::Decode) {
      decoders[engine.mServer.mDataCentre].push_back(&engine);
    }
  }
  std::vector<std::pair<std::string, engine_role>> changes;
  if (known < 2) {
    return changes;
  }
  const auto rounded = std::llround(aPrefillShare * static_cast<double>(known));
  const auto wanted = std::clamp<std::int64_t>(rounded, 1, static_cast<std::int64_t>(known) - 1);
  auto missing = wanted - static_cast<std::int64_t>(prefillers.size());
  const auto leastBusyLast = [](const auto* aLeft, const auto* aRight) {
    return aLeft->mRunning > aRight->mRunning;
  };
  for (auto& [dataCentre, engines] : decoders) {
    std::stable_sort(engines.begin(), engines.end(), leastBusyLast);
  }
  while (missing > 0) {
    // The data centre with most decode engines gives one, and none gives its last.
    auto most =
      std::max_element(decoders.begin(), decoders.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.size() < aRight.second.size();
      });
    if (most == decoders.end() || most->second.size() < 2) {
      break;
    }
    changes.emplace_back(most->second.back()->mServer.mId, engine_role::Prefill);
    most->second.pop_back();
    --missing;
  }
  std::stable_sort(prefillers.begin(), prefillers.end(), leastBusyLast);
  while (missing < 0 && !prefillers.empty()) {
    // A data centre without a decode engine is helped first.
    auto given = std::find_if(prefillers.rbegin(), prefillers.rend(), [&](const auto* aEngine) {
      return !decoders.contains(aEngine->mServer.mDataCentre);
    });
    const auto* engine = given == prefillers.rend() ? prefillers.back() : *given;
    changes.emplace_back(engine->mServer.mId, engine_role::Decode);
    std::erase(prefillers, engine);
    ++missing;
  }
  return changes;
}

bool
role_keeper::HoldsLease(instant aNow) const
{
  return mHeldFencing != 0 && aNow < mHeldUntil;
}

std::vector<role_action>
role_keeper::OnTick(std::span<const service_view> aServices, std::size_t aRank, instant aNow)
{
  std::erase_if(mChanging, [&](const auto& aEntry) { return aNow >= aEntry.second; });
  std::erase_if(mNotBefore, [&](const auto& aEntry) { return aNow >= aEntry.second; });
  std::vector<role_action> actions;
  std::vector<std::pair<std::string, wanted_change>> due;
  for (const auto& service : aServices) {
    std::uint32_t running = 0;
    std::size_t changing = 0;
    for (const auto& engine : service.mEngines) {
      running += engine.mRunning;
      changing += mChanging.contains(engine.mServer.mId) ? 1 : 0;
    }
    const auto most =
      running == 0
        ? service.mEngines.size()
        : static_cast<std::size_t>(std::max(
            1.0, std::floor(kMostChanging * static_cast<double>(service.mEngines.size()))));
    for (const auto& change : Changes(service, mSettings.mPrefillShare)) {
      if (changing < most && !mNotBefore.contains(change.first)) {
        due.emplace_back(change.first, wanted_change{ change.second, service.mRoleChange });
        ++changing;
      }
    }
  }
  if (due.empty()) {
    mWantedSince.reset();
  } else {
    mWantedSince = mWantedSince.value_or(aNow);
  }
  if (aRank >= kLeaseWatchers) {
    return actions;
  }
  const bool act = aRank == 0 && mWantedSince && aNow - *mWantedSince >= kSettleTime;
  if (!act || !HoldsLease(aNow)) {
    if (auto action = Acquire(act, aNow)) {
      actions.push_back(*std::move(action));
    }
    return actions;
  }
  for (const auto& [id, change] : due) {
    mNotBefore[id] = aNow + kCheckPeriod;
    mAsked[id] = change;
    actions.emplace_back(ask_engine_state{ id });
  }
  return actions;
}

bool
role_keeper::MayTake(instant aNow) const
{
  const bool mine = mSeen && mSeen->mHolder == mSettings.mSelf && mHeldFencing == mSeen->mFencing;
  // That there is no lease may have changed since an older read.
  const bool none = mSeenNone && aNow - mCheckedAt < kCheckPeriod;
  return none || mine || (mSeen && aNow - mSeenAt >= kHold + mSettings.mLease + kHolderMargin);
}

std::optional<role_action>
role_keeper::Acquire(bool aDue, instant aNow)
{
  if (mCallOpen && aNow - mCallAt < kCallLimit) {
    return std::nullopt;
  }
  if (aDue && MayTake(aNow)) {
    mCallOpen = true;
    mCallAt = aNow;
    return write_lease{ mSeen ? mSeen->mRevision : 0, mSeen ? mSeen->mFencing + 1 : 1 };
  }
  if (aNow - mCheckedAt < (aDue ? kCheckPeriod : kWatchPeriod)) {
    return std::nullopt;
  }
  mCallOpen = true;
  mCallAt = aNow;
  return read_lease{};
}

void
role_keeper::OnLease(const std::optional<order_lease>& aLease, bool aFailed, instant aNow)
{
  mCallOpen = false;
  if (aFailed) {
    return;
  }
  mCheckedAt = aNow;
  mSeenNone = !aLease;
  if (!aLease) {
    mSeen.reset();
    return;
  }
  if (!mSeen || mSeen->mRevision != aLease->mRevision) {
    mSeen = aLease;
    mSeenAt = aNow;
  }
}

void
role_keeper::OnLeaseWritten(const std::optional<std::uint64_t>& aRevision, instant aNow)
{
  mCallOpen = false;
  if (!aRevision) {
    // Whether it was written is not known, or somebody else was faster: begin with a read.
    mHeldFencing = 0;
    mHeldUntil = {};
    mSeenNone = false;
    mSeen.reset();
    mCheckedAt = {};
    return;
  }
  mHeldFencing = mSeen ? mSeen->mFencing + 1 : 1;
  mSeen = order_lease{ *aRevision, mSettings.mSelf, mHeldFencing };
  mSeenNone = false;
  mSeenAt = aNow;
  mCheckedAt = aNow;
  // Time counts from the start of the write: others may have seen the revision since then.
  mHeldUntil = mCallAt + kHold;
}

std::vector<role_action>
role_keeper::OnState(const std::string& aBackendId,
                     const std::optional<engine_state_report>& aReport,
                     instant aNow)
{
  std::vector<role_action> actions;
  const auto asked = mAsked.find(aBackendId);
  if (asked == mAsked.end()) {
    return actions;
  }
  const auto [role, changeTime] = asked->second;
  mAsked.erase(asked);
  if (!aReport || aReport->mChanging || aReport->mRole == role || !HoldsLease(aNow)) {
    return actions;
  }
  role_order order;
  order.mBackendId = aBackendId;
  order.mRole = role;
  order.mHolder = mSettings.mSelf;
  order.mFencing = mHeldFencing;
  order.mExpectedSequence = aReport->mOrders;
  mNotBefore[aBackendId] = aNow + kCallLimit;
  mOrdered[aBackendId] = changeTime;
  actions.emplace_back(give_role_order{ order, mHeldUntil });
  return actions;
}

void
role_keeper::OnOrdered(const std::string& aBackendId, role_order_answer aAnswer, instant aNow)
{
  const auto ordered = mOrdered.find(aBackendId);
  if (ordered == mOrdered.end()) {
    return;
  }
  const auto changeTime = ordered->second;
  mOrdered.erase(ordered);
  if (aAnswer == role_order_answer::Accepted) {
    mChanging[aBackendId] = aNow + changeTime;
  }
  if (aAnswer != role_order_answer::AlreadySo) {
    // An order without an answer may be carried out late; its result is awaited first.
    mNotBefore[aBackendId] = aNow + changeTime + kOrderAgain;
  }
}

} // namespace skylarkwind
