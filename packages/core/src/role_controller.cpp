#include "skylarkwind/role_controller.h"

#include "skylarkwind/store_position.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// Deviations shorter than this are ignored, because the entries of engines that start or shut
/// down arrive one after another.
constexpr milliseconds kSettleTime{ 400 };
/// Interval between reads of the lease while commands are due. Also the minimum time between two
/// queries of an engine's state.
constexpr milliseconds kLeaseReadPeriod{ 700 };
/// Interval between reads while no command is due, so that a daemon that has to send one already
/// knows for how long the lease has been unused.
constexpr milliseconds kIdleLeaseReadPeriod{ 2'500 };
/// Daemons that read the lease regularly, including the one that sends commands.
constexpr std::size_t kLeaseWatchers = 3;
/// How long after the start of a write of the lease its holder may send commands.
constexpr milliseconds kCommandWindow{ 1'000 };
/// A store call without an answer is abandoned after this time. Also the minimum time between a
/// command and the next one to the same engine while its reply is outstanding.
constexpr milliseconds kStoreCallTimeout{ 2'000 };
/// Allows for the network transit of the previous holder's last command.
constexpr milliseconds kCommandTransitMargin{ 600 };
/// Minimum delay between the expected end of a role change and the next command to that engine,
/// which may have missed the previous one or carry it out late.
constexpr milliseconds kCommandRetryDelay{ 1'500 };
/// Fraction of a service's engines that may change roles at the same time while the service has
/// requests in progress.
constexpr double kMaxChangingShare = 0.2;
/// Data centres that keep a decode engine whatever the configured share.
constexpr std::size_t kMinDecodeDataCentres = 2;

} // namespace

role_controller::role_controller(role_controller_settings aSettings)
  : mSettings(std::move(aSettings))
{
}

std::vector<std::pair<std::string, engine_role>>
role_controller::PlanRoleChanges(const service_view& aService, double aPrefillShare)
{
  std::map<std::string, std::vector<const engine_view*>> decodeEngines; ///< by data centre
  std::vector<const engine_view*> prefillEngines;
  std::size_t known = 0;
  for (const auto& engine : aService.mEngines) {
    const auto role = engine.mServer.mRole;
    known += role ? 1 : 0;
    if (role == engine_role::Prefill) {
      prefillEngines.push_back(&engine);
    } else if (role == engine_role::Decode) {
      decodeEngines[engine.mServer.mDataCentre].push_back(&engine);
    }
  }
  std::vector<std::pair<std::string, engine_role>> changes;
  if (known < 2) {
    return changes;
  }
  // Rounded in favour of decode engines: a prompt can wait, or be computed on a decode engine, but
  // a stream without a slot is refused.
  const auto rounded = static_cast<std::int64_t>(aPrefillShare * static_cast<double>(known));
  const auto wanted = std::clamp<std::int64_t>(rounded, 1, static_cast<std::int64_t>(known) - 1);
  auto missing = wanted - static_cast<std::int64_t>(prefillEngines.size());
  const auto byRunningDescending = [](const auto* aLeft, const auto* aRight) {
    return aLeft->mRunning > aRight->mRunning;
  };
  for (auto& [dataCentre, engines] : decodeEngines) {
    std::stable_sort(engines.begin(), engines.end(), byRunningDescending);
  }
  while (missing > 0) {
    // Convert an engine of the data centre with the most decode engines. While two data centres or
    // more have one, the loss of one data centre leaves the others able to decode.
    auto largest = std::max_element(
      decodeEngines.begin(), decodeEngines.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second.size() < aRight.second.size();
      });
    if (largest == decodeEngines.end() ||
        (largest->second.size() < 2 && decodeEngines.size() <= kMinDecodeDataCentres)) {
      break;
    }
    changes.emplace_back(largest->second.back()->mServer.mId, engine_role::Prefill);
    largest->second.pop_back();
    if (largest->second.empty()) {
      decodeEngines.erase(largest);
    }
    --missing;
  }
  std::stable_sort(prefillEngines.begin(), prefillEngines.end(), byRunningDescending);
  while (missing < 0 && !prefillEngines.empty()) {
    // Data centres without a decode engine come first.
    auto donor =
      std::find_if(prefillEngines.rbegin(), prefillEngines.rend(), [&](const auto* aEngine) {
        return !decodeEngines.contains(aEngine->mServer.mDataCentre);
      });
    const auto* engine = donor == prefillEngines.rend() ? prefillEngines.back() : *donor;
    changes.emplace_back(engine->mServer.mId, engine_role::Decode);
    std::erase(prefillEngines, engine);
    ++missing;
  }
  return changes;
}

bool
role_controller::HoldsLease(instant aNow) const
{
  return mHeldFencing != 0 && aNow < mHeldUntil;
}

std::vector<role_action>
role_controller::OnTick(std::span<const service_view> aServices, std::size_t aRank, instant aNow)
{
  std::erase_if(mChanging, [&](const auto& aEntry) { return aNow >= aEntry.second; });
  std::erase_if(mBackoffUntil, [&](const auto& aEntry) { return aNow >= aEntry.second; });
  std::vector<role_action> actions;
  std::vector<std::pair<std::string, planned_change>> due;
  for (const auto& service : aServices) {
    std::uint32_t running = 0;
    std::size_t changing = 0;
    for (const auto& engine : service.mEngines) {
      running += engine.mRunning;
      changing += mChanging.contains(engine.mServer.mId) ? 1 : 0;
    }
    const auto maxChanging =
      running == 0
        ? service.mEngines.size()
        : static_cast<std::size_t>(std::max(
            1.0, std::floor(kMaxChangingShare * static_cast<double>(service.mEngines.size()))));
    for (const auto& change : PlanRoleChanges(service, mSettings.mPrefillShare)) {
      if (changing < maxChanging && !mBackoffUntil.contains(change.first)) {
        due.emplace_back(change.first, planned_change{ change.second, service.mRoleChange });
        ++changing;
      }
    }
  }
  if (due.empty()) {
    mDeviationSince.reset();
  } else {
    mDeviationSince = mDeviationSince.value_or(aNow);
  }
  if (aRank >= kLeaseWatchers) {
    return actions;
  }
  const bool act = aRank == 0 && mDeviationSince && aNow - *mDeviationSince >= kSettleTime;
  if (!act || !HoldsLease(aNow)) {
    if (auto action = AcquireOrReadLease(act, aNow)) {
      actions.push_back(*std::move(action));
    }
    return actions;
  }
  for (const auto& [id, change] : due) {
    mBackoffUntil[id] = aNow + kLeaseReadPeriod;
    mAwaitingState[id] = { ++mLastCall, change };
    actions.emplace_back(query_engine_state{ mLastCall, id });
  }
  return actions;
}

bool
role_controller::MayAcquireLease(instant aNow) const
{
  const bool mine = mObservedLease && mObservedLease->mHolder == mSettings.mSelf &&
                    mHeldFencing == mObservedLease->mFencing;
  // The absence of a lease is trusted only after a recent read: it may have been created since. In
  // a restored store, the holder of the lost lease may still send commands.
  const bool none = mLeaseAbsent && !mWasStoreRestored && aNow - mLastReadAt < kLeaseReadPeriod;
  return none || mine ||
         ((mObservedLease || (mLeaseAbsent && mWasStoreRestored)) &&
          aNow - mObservedAt >= kCommandWindow + mSettings.mLease + kCommandTransitMargin);
}

role_call_id
role_controller::StartStoreCall(std::uint64_t aFencing, instant aNow)
{
  mStoreCall = pending_store_call{ ++mLastCall, aFencing, aNow };
  return mLastCall;
}

std::optional<role_controller::pending_store_call>
role_controller::TakeStoreCall(role_call_id aCall)
{
  if (!mStoreCall || mStoreCall->mCall != aCall) {
    return std::nullopt;
  }
  return std::exchange(mStoreCall, std::nullopt);
}

void
role_controller::ForgetLease()
{
  mHeldFencing = 0;
  mHeldUntil = {};
  mLeaseAbsent = false;
  mObservedLease.reset();
  mLastReadAt = {};
}

std::optional<role_action>
role_controller::AcquireOrReadLease(bool aDue, instant aNow)
{
  if (mStoreCall) {
    if (aNow - mStoreCall->mStartedAt < kStoreCallTimeout) {
      return std::nullopt;
    }
    // The store may still execute an abandoned write.
    if (mStoreCall->mFencing != 0) {
      ForgetLease();
    }
    mStoreCall.reset();
  }
  if (aDue && MayAcquireLease(aNow)) {
    auto fencing = mHighestFencing + 1;
    if (mObservedLease && EraOf(mObservedLease->mRevision) != 0) {
      // A restored lease may not contain the highest number of its era, but its revision is above.
      fencing = std::max(fencing, mObservedLease->mRevision);
    }
    const auto call = StartStoreCall(fencing, aNow);
    return write_lease{ call, mObservedLease ? mObservedLease->mRevision : 0, fencing };
  }
  if (aNow - mLastReadAt < (aDue ? kLeaseReadPeriod : kIdleLeaseReadPeriod)) {
    return std::nullopt;
  }
  return read_lease{ StartStoreCall(0, aNow) };
}

void
role_controller::OnLeaseRead(role_call_id aCall,
                             const std::optional<command_lease>& aLease,
                             bool aFailed,
                             instant aNow)
{
  // Also of an abandoned read: the store has had this number.
  mHighestFencing = std::max(mHighestFencing, aLease ? aLease->mFencing : 0);
  const bool isAwaited = TakeStoreCall(aCall).has_value();
  if (aLease) {
    NoticeEra(aLease->mRevision, aNow);
  }
  if (!isAwaited || aFailed || (aLease && EraOf(aLease->mRevision) < mEra)) {
    return;
  }
  mLastReadAt = aNow;
  const bool wasAbsent = std::exchange(mLeaseAbsent, !aLease);
  if (!aLease) {
    mObservedLease.reset();
    mObservedAt = wasAbsent ? mObservedAt : aNow;
    return;
  }
  if (!mObservedLease || mObservedLease->mRevision != aLease->mRevision) {
    mObservedLease = aLease;
    mObservedAt = aNow;
  }
}

void
role_controller::OnLeaseWritten(role_call_id aCall,
                                const std::optional<std::uint64_t>& aRevision,
                                instant aNow)
{
  const auto call = TakeStoreCall(aCall);
  // In a restored store, the write may have replaced the lease of another holder that has been
  // given the revision of an earlier one.
  if ((aRevision && NoticeEra(*aRevision, aNow)) || !call) {
    return;
  }
  if (!aRevision || EraOf(*aRevision) < mEra) {
    // Either the outcome of the write is unknown or another daemon wrote first: read again.
    ForgetLease();
    return;
  }
  mHeldFencing = call->mFencing;
  mHighestFencing = std::max(mHighestFencing, call->mFencing);
  mObservedLease = command_lease{ *aRevision, mSettings.mSelf, mHeldFencing };
  mLeaseAbsent = false;
  mObservedAt = aNow;
  mLastReadAt = aNow;
  // Measured from the start of the write, since others may have observed the revision from then on.
  mHeldUntil = call->mStartedAt + kCommandWindow;
}

void
role_controller::OnStoreRestored(std::uint64_t aFirstFencing, instant aNow)
{
  ForgetLease();
  mStoreCall.reset();
  mWasStoreRestored = true;
  mEra = std::max(mEra, EraOf(aFirstFencing));
  mHighestFencing = std::max(mHighestFencing, aFirstFencing);
  mObservedAt = aNow;
}

bool
role_controller::NoticeEra(std::uint64_t aRevision, instant aNow)
{
  if (EraOf(aRevision) <= mEra) {
    return false;
  }
  OnStoreRestored(StartOfEra(EraOf(aRevision)), aNow);
  return true;
}

std::vector<role_action>
role_controller::OnEngineState(role_call_id aCall,
                               const std::string& aBackendId,
                               const std::optional<engine_state_report>& aReport,
                               instant aNow)
{
  std::vector<role_action> actions;
  const auto awaiting = mAwaitingState.find(aBackendId);
  if (awaiting == mAwaitingState.end() || awaiting->second.mCall != aCall) {
    return actions;
  }
  const auto change = awaiting->second.mChange;
  mAwaitingState.erase(awaiting);
  if (!aReport || aReport->mChanging || aReport->mRole == change.mRole || !HoldsLease(aNow)) {
    return actions;
  }
  role_command command;
  command.mBackendId = aBackendId;
  command.mRole = change.mRole;
  command.mHolder = mSettings.mSelf;
  command.mFencing = mHeldFencing;
  command.mExpectedCommandCount = aReport->mOrders;
  mBackoffUntil[aBackendId] = aNow + kStoreCallTimeout;
  mAwaitingReply[aBackendId] = { ++mLastCall, change };
  actions.emplace_back(send_role_command{ mLastCall, command, mHeldUntil });
  return actions;
}

void
role_controller::OnRoleCommandResult(role_call_id aCall,
                                     const std::string& aBackendId,
                                     role_command_result aAnswer,
                                     instant aNow)
{
  const auto awaiting = mAwaitingReply.find(aBackendId);
  if (awaiting == mAwaitingReply.end() || awaiting->second.mCall != aCall) {
    return;
  }
  const auto changeTime = awaiting->second.mChange.mDuration;
  mAwaitingReply.erase(awaiting);
  if (aAnswer == role_command_result::Accepted) {
    mChanging[aBackendId] = aNow + changeTime;
  }
  if (aAnswer != role_command_result::Unchanged) {
    // An unanswered command may still be carried out late, so wait for its effect first.
    mBackoffUntil[aBackendId] = aNow + changeTime + kCommandRetryDelay;
  }
}

} // namespace skylarkwind
