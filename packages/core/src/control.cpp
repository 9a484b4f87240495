#include "control_p.h"

#include <absl/status/status.h>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <utility>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// Refresh period of the member list and the fleet view. Reading them on every tick (20 ms) would
/// be expensive with hundreds of members and engines.
constexpr milliseconds kViewRefreshPeriod{ 500 };
/// Poll period of an engine with an unsettled engine command.
constexpr milliseconds kFastPollPeriod{ 500 };
/// An engine without a poll result for this long after the acquisition counts as unreachable. It
/// gets no engine command, because a command needs a recent report.
constexpr milliseconds kFirstReportTimeout{ 10'000 };

std::string
UtcText(wall_instant aTime)
{
  const std::time_t seconds = std::chrono::system_clock::to_time_t(
    std::chrono::time_point_cast<std::chrono::system_clock::duration>(aTime));
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::string text(sizeof "0000-00-00T00:00:00Z", '\0');
  text.resize(std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts));
  return text;
}

/// Appends the names under which the table lists a backend VM, or the VM's own name if there are
/// none.
void
AddTableNames(const table& aTable, const vm_entry& aVm, std::vector<std::string>& aNames)
{
  const auto before = aNames.size();
  const auto add = [&](const std::string& aName, const std::string& aAddress) {
    const auto host = aAddress.substr(0, aAddress.rfind(':'));
    const auto vmHost = aVm.mAddress.substr(0, aVm.mAddress.rfind(':'));
    const bool portGiven = aVm.mAddress.find(':') != std::string::npos;
    if (aName == aVm.mName || (portGiven ? aAddress == aVm.mAddress : host == vmHost)) {
      aNames.push_back(aName);
    }
  };
  for (const auto& row : aTable.Engines()) {
    add(row.mName, row.mAddress);
  }
  for (const auto& row : aTable.Backends()) {
    add(row.mName, row.mAddress);
  }
  if (aNames.size() == before) {
    aNames.push_back(aVm.mName);
  }
}

} // namespace

absl::StatusOr<std::unique_ptr<control>>
control::Create(control_settings aSettings,
                const membership& aMembers,
                const fleet& aFleet,
                std::unique_ptr<role_change_source> aPlans)
{
  lease_settings settings;
  settings.mSelf = aSettings.mSelf;
  settings.mDataCentre = aSettings.mDataCentre;
  settings.mTerm = aSettings.mLeaseTerm;
  settings.mRenewEvery = aSettings.mLeaseRenewEvery;
  settings.mStopAfter = aSettings.mLeaseStopAfter;
  settings.mCallLimit = aSettings.mCallLimit;
  auto held = lease::Create(settings);
  if (!held.ok()) {
    return held.status();
  }
  if (aSettings.mOrderExpiry <= milliseconds{ 0 }) {
    return absl::InvalidArgumentError("the expiry of engine commands must be positive");
  }
  return std::make_unique<role_controller_impl>(
    std::move(aSettings), aMembers, aFleet, std::move(aPlans), *std::move(held));
}

role_controller_impl::role_controller_impl(control_settings aSettings,
                                           const membership& aMembers,
                                           const fleet& aFleet,
                                           std::unique_ptr<role_change_source> aPlans,
                                           lease aLease)
  : mSettings(std::move(aSettings))
  , mMembers(aMembers)
  , mFleet(aFleet)
  , mPlans(std::move(aPlans))
  , mLease(std::move(aLease))
  , mRecord(mSettings.mDataCentre, mSettings.mCallLimit)
{
}

bool
role_controller_impl::HoldsLease(instant aNow) const
{
  return mLease.Holds(aNow);
}

void
role_controller_impl::OnQueuedWork(std::string_view aService,
                                   std::uint64_t aPromptTokens,
                                   std::uint64_t aOutputTokens)
{
  if (mPlans) {
    mPlans->OnQueued(aService, aPromptTokens, aOutputTokens, mNow);
  }
}

void
role_controller_impl::OnTable(const table& aTable, instant aNow)
{
  mNow = aNow;
  mTable = aTable;
  mRows.clear();
  for (const auto& row : mTable.Engines()) {
    if (row.mDataCentre == mSettings.mDataCentre) {
      mRows.emplace(row.mName, &row);
    }
  }
  std::erase_if(mEngines, [this](const auto& aEntry) {
    return !aEntry.second.mProgress && RowOf(aEntry.first) == nullptr;
  });
}

void
role_controller_impl::OnFleetObject(const fleet_object& aObject, instant aNow)
{
  mRecord.OnDistributed(aObject);
  ObserveFencingOf(aObject, aNow);
}

void
role_controller_impl::OnVmList(const vm_list& aList, instant aNow)
{
  mNow = aNow;
  std::vector<std::string> leaving;
  for (const auto& vm : aList.mVms) {
    if (vm.mKind == vm_kind::Backend && vm.mLeaving && vm.mDataCentre == mSettings.mDataCentre) {
      AddTableNames(mTable, vm, leaving);
    }
  }
  std::sort(leaving.begin(), leaving.end());
  leaving.erase(std::unique(leaving.begin(), leaving.end()), leaving.end());
  mLeaving = std::move(leaving);
}

void
role_controller_impl::OnObserved(const engine_state_received& aObserved,
                                 instant aNow,
                                 effect_list& aOut)
{
  if (aObserved.mReport) {
    mLease.OnFencingObserved(aObserved.mReport->mFencing, aNow);
    if (mPlans) {
      mPlans->OnReport(*aObserved.mReport, aNow);
    }
  }
  FollowLease(aNow);
  if (mStage == stage::Idle) {
    return;
  }
  const auto found = mEngines.find(aObserved.mEngine);
  const bool current = found != mEngines.end() && aObserved.mAskedAt >= mAcquiredAt &&
                       aObserved.mAskedAt >= found->second.mAskedAt;
  if (!current) {
    return;
  }
  auto& engine = found->second;
  engine.mReport = aObserved.mReport;
  engine.mAskedAt = aObserved.mAskedAt;
  engine.mAnswered = true;
  if (mStage == stage::Acting && engine.mProgress) {
    Step(engine, aNow, aOut);
  }
}

void
role_controller_impl::OnPlatformReply(const platform_replied& aReply,
                                      instant aNow,
                                      effect_list& aOut)
{
  if (aReply.mCall.mPart == part::Lease) {
    mLease.OnPlatformReply(aReply, aNow, aOut);
    FollowLease(aNow);
    return;
  }
  FollowLease(aNow);
  OnRecordOutcome(mRecord.OnPlatformReply(aReply, aNow), aNow);
}

void
role_controller_impl::OnTick(instant aNow, wall_instant aWallNow, effect_list& aOut)
{
  mNow = aNow;
  mWallNow = aWallNow;
  if (aNow >= mNextRefresh) {
    mNextRefresh = aNow + kViewRefreshPeriod;
    RefreshViews(aNow);
  }
  mLease.OnTick(mDaemons, aNow, aOut);
  FollowLease(aNow);
  if (mStage == stage::Idle) {
    return;
  }
  Observe(aNow, aOut);
  if (mStage == stage::Observing && AllAnswered(aNow)) {
    mStage = stage::Acting;
    mNextPlan = aNow;
  }
  if (mStage == stage::Acting) {
    StepCommands(aNow, aOut);
    RecordIntents(aNow);
    FollowLease(aNow);
  }
  if (mRecord.Loaded() && mStage != stage::Idle) {
    UpdateLeaving();
  }
  if (mStopping) {
    Finish(aNow, aOut);
  }
  mRecord.OnTick(aNow, mLease.Holds(aNow), aOut);
}

void
role_controller_impl::OnShutdown(instant aNow, effect_list& aOut)
{
  mStopping = true;
  if (!mLease.Holds(aNow)) {
    mLease.GiveUp(aNow, aOut);
  }
}

void
role_controller_impl::Finish(instant aNow, effect_list& aOut)
{
  const bool open = std::any_of(mEngines.begin(), mEngines.end(), [](const auto& aEntry) {
    return aEntry.second.mProgress.has_value();
  });
  if (open || mStage != stage::Acting) {
    return;
  }
  if (!mReleaseAudited) {
    mReleaseAudited = true;
    Audit("gives the lease up");
  } else if (!mRecord.Dirty()) {
    mLease.GiveUp(aNow, aOut);
    EndAcquisition();
  }
}

/// Follows the lease state: starts or ends the acquisition when the lease was acquired, lost or
/// acquired again.
void
role_controller_impl::FollowLease(instant aNow)
{
  if (!mLease.Holds(aNow)) {
    EndAcquisition();
  } else if (mStage == stage::Idle || mActingFencing != mLease.Fencing()) {
    StartAcquisition(aNow);
  }
}

void
role_controller_impl::StartAcquisition(instant aNow)
{
  EndAcquisition();
  mActingFencing = mLease.Fencing();
  mAcquiredAt = aNow;
  mStage = stage::Loading;
  // It is unknown when the previous holder last loaded a model.
  mNextLoad = aNow + mSettings.mLoadSpacing;
  mRecord.Begin(mActingFencing, aNow);
}

void
role_controller_impl::EndAcquisition()
{
  if (mStage == stage::Idle) {
    return;
  }
  mStage = stage::Idle;
  mRecord.End();
  for (auto& [name, engine] : mEngines) {
    engine.mProgress.reset();
    engine.mReport.reset();
    engine.mAnswered = false;
    engine.mNextPoll = {};
  }
}

void
role_controller_impl::OnRecordOutcome(fleet_record::outcome aOutcome, instant aNow)
{
  switch (aOutcome) {
    case fleet_record::outcome::None:
      return;
    case fleet_record::outcome::Loaded:
      Announce(aNow);
      return;
    case fleet_record::outcome::Confirmed:
      OnConfirmed(aNow);
      return;
    case fleet_record::outcome::Displaced:
      // Another daemon has written the object, so the draft is void. Restart as after a new
      // acquisition, which waits until commands already sent can no longer arrive.
      StartAcquisition(aNow);
      return;
  }
}

void
role_controller_impl::Announce(instant aNow)
{
  ObserveFencingOf(mRecord.Stored(), aNow);
  if (!mLease.Holds(aNow)) {
    EndAcquisition();
    return;
  }
  InheritCommands(aNow);
  Audit("acquired the lease of " + mSettings.mDataCentre);
  mAnnouncementRevision = mRecord.NextRevision();
  mStage = stage::Announcing;
}

void
role_controller_impl::ObserveFencingOf(const fleet_object& aObject, instant aNow)
{
  mLease.OnFencingObserved(aObject.mRevision / kRevisionsPerAcquisition, aNow);
  for (const auto& command : aObject.mOrders) {
    mLease.OnFencingObserved(command.mFencing, aNow);
  }
}

void
role_controller_impl::InheritCommands(instant aNow)
{
  for (const auto& command : mRecord.Stored().mOrders) {
    if (command.mStage != recorded_command::stage::Intended) {
      continue;
    }
    command_progress progress;
    progress.mPhase = command_progress::phase::Inherited;
    progress.mCommand = command;
    if (const auto* row = RowOf(command.mEngine)) {
      progress.mAddress = row->mAddress;
      progress.mService = row->mService;
      progress.mChecksFencing = row->mChecksFencing;
    }
    progress.mUncertainUntil = aNow + mSettings.mLeaseTerm + mSettings.mOrderExpiry;
    mEngines[command.mEngine].mProgress = std::move(progress);
  }
}

void
role_controller_impl::OnConfirmed(instant aNow)
{
  const auto revision = mRecord.Stored().mRevision;
  if (mStage == stage::Announcing && revision >= mAnnouncementRevision) {
    mStage = stage::Observing;
  }
  for (auto& [name, engine] : mEngines) {
    if (!engine.mProgress || revision < engine.mProgress->mRevision) {
      continue;
    }
    if (engine.mProgress->mPhase == command_progress::phase::Recording) {
      engine.mProgress->mPhase = command_progress::phase::Draining;
      engine.mProgress->mStoredAt = aNow;
    } else if (engine.mProgress->mPhase == command_progress::phase::Settling) {
      engine.mProgress.reset();
    }
  }
}

void
role_controller_impl::Observe(instant aNow, effect_list& aOut)
{
  for (const auto& [name, row] : mRows) {
    mEngines.try_emplace(name);
  }
  for (auto& [name, engine] : mEngines) {
    const auto* row = RowOf(name);
    const auto address = engine.mProgress && !engine.mProgress->mAddress.empty()
                           ? engine.mProgress->mAddress
                         : row != nullptr ? row->mAddress
                                          : std::string{};
    const auto period = engine.mProgress ? kFastPollPeriod : mSettings.mObserveEvery;
    // A poll result that another component of the daemon requested counts as well.
    const bool fresh = engine.mAnswered && aNow - engine.mAskedAt < period;
    if (address.empty() || aNow < engine.mNextPoll || fresh) {
      continue;
    }
    engine.mNextPoll = aNow + period;
    aOut.emplace_back(request_engine_state{ name, address });
  }
}

bool
role_controller_impl::AllAnswered(instant aNow) const
{
  const bool longEnough = aNow - mAcquiredAt >= kFirstReportTimeout;
  return std::all_of(mEngines.begin(), mEngines.end(), [&](const auto& aEntry) {
    return longEnough || aEntry.second.mAnswered || RowOf(aEntry.first) == nullptr;
  });
}

void
role_controller_impl::UpdateLeaving()
{
  if (mLeaving && mRecord.Draft().mLeaving != *mLeaving) {
    mRecord.Change().mLeaving = *mLeaving;
  }
}

void
role_controller_impl::Audit(const std::string& aText)
{
  auto& audit = mRecord.Change().mAudit;
  audit.push_back(UtcText(mWallNow) + " " + mSettings.mSelf.mVm + " fencing " +
                  std::to_string(mActingFencing) + ": " + aText);
  if (audit.size() > kFleetAuditLimit) {
    audit.erase(audit.begin(), audit.end() - kFleetAuditLimit);
  }
}

void
role_controller_impl::RefreshViews(instant aNow)
{
  mDaemons.clear();
  for (const auto& member : mMembers.Live()) {
    if (member.mLocation.mDataCentre == mSettings.mDataCentre) {
      mDaemons.push_back(member.mProcess);
    }
  }
  for (const auto& view : mFleet.Engines()) {
    if (view.mDataCentre == mSettings.mDataCentre) {
      mLease.OnFencingObserved(view.mReport.mFencing, aNow);
    }
  }
}

} // namespace skylarkwind
