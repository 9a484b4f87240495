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

/// The member list and the fleet view are read this often: a tick comes every 20 ms and there may
/// be hundreds of members and engines.
constexpr milliseconds kLookEvery{ 500 };
/// Poll period of an engine with an unsettled order.
constexpr milliseconds kCloseLook{ 500 };
/// An engine without answer for this long after the acquisition counts as unreachable. It gets no
/// order, because an order needs a fresh answer.
constexpr milliseconds kFirstLookLimit{ 10'000 };

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

/// The names under which the table knows a backend VM, or the VM's own name.
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
                std::unique_ptr<plan_source> aPlans)
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
    return absl::InvalidArgumentError("the expiry of engine orders must be positive");
  }
  return std::make_unique<control_authority>(
    std::move(aSettings), aMembers, aFleet, std::move(aPlans), *std::move(held));
}

control_authority::control_authority(control_settings aSettings,
                                     const membership& aMembers,
                                     const fleet& aFleet,
                                     std::unique_ptr<plan_source> aPlans,
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
control_authority::HoldsLease(instant aNow) const
{
  return mLease.Holds(aNow);
}

void
control_authority::OnQueuedWork(std::string_view aService,
                                std::uint64_t aPromptTokens,
                                std::uint64_t aOutputTokens)
{
  if (mPlans) {
    mPlans->OnQueued(aService, aPromptTokens, aOutputTokens, mNow);
  }
}

void
control_authority::OnTable(const table& aTable, instant aNow)
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
control_authority::OnFleetObject(const fleet_object& aObject, instant aNow)
{
  mRecord.OnDistributed(aObject);
  SeeFencing(aObject, aNow);
}

void
control_authority::OnVmList(const vm_list& aList, instant aNow)
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
control_authority::OnObserved(const engine_observed& aObserved, instant aNow, effect_list& aOut)
{
  if (aObserved.mReport) {
    mLease.OnSeenFencing(aObserved.mReport->mFencing, aNow);
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
control_authority::OnPlatformReply(const platform_replied& aReply, instant aNow, effect_list& aOut)
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
control_authority::OnTick(instant aNow, wall_instant aWallNow, effect_list& aOut)
{
  mNow = aNow;
  mWallNow = aWallNow;
  if (aNow >= mNextLook) {
    mNextLook = aNow + kLookEvery;
    LookAround(aNow);
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
    StepOrders(aNow, aOut);
    MakeIntents(aNow);
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
control_authority::OnShutdown(instant aNow, effect_list& aOut)
{
  mStopping = true;
  if (!mLease.Holds(aNow)) {
    mLease.GiveUp(aNow, aOut);
  }
}

void
control_authority::Finish(instant aNow, effect_list& aOut)
{
  const bool open = std::any_of(mEngines.begin(), mEngines.end(), [](const auto& aEntry) {
    return aEntry.second.mProgress.has_value();
  });
  if (open || mStage != stage::Acting) {
    return;
  }
  if (!mFarewell) {
    mFarewell = true;
    Audit("gives the lease up");
  } else if (!mRecord.Dirty()) {
    mLease.GiveUp(aNow, aOut);
    EndAcquisition();
  }
}

/// Starts or ends the stage when the lease was acquired, lost or acquired again.
void
control_authority::FollowLease(instant aNow)
{
  if (!mLease.Holds(aNow)) {
    EndAcquisition();
  } else if (mStage == stage::Idle || mActingFencing != mLease.Fencing()) {
    StartAcquisition(aNow);
  }
}

void
control_authority::StartAcquisition(instant aNow)
{
  EndAcquisition();
  mActingFencing = mLease.Fencing();
  mAcquiredAt = aNow;
  mStage = stage::Loading;
  // When the previous holder loaded a model is unknown.
  mNextLoad = aNow + mSettings.mLoadSpacing;
  mRecord.Begin(mActingFencing, aNow);
}

void
control_authority::EndAcquisition()
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
    engine.mNextAsk = {};
  }
}

void
control_authority::OnRecordOutcome(fleet_record::outcome aOutcome, instant aNow)
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
      // Someone else wrote in between. Everything drafted is void: start as a new holder does,
      // so that orders already sent are waited out.
      StartAcquisition(aNow);
      return;
  }
}

void
control_authority::Announce(instant aNow)
{
  SeeFencing(mRecord.Stored(), aNow);
  if (!mLease.Holds(aNow)) {
    EndAcquisition();
    return;
  }
  InheritOrders(aNow);
  Audit("acquired the lease of " + mSettings.mDataCentre);
  mAnnouncedIn = mRecord.NextRevision();
  mStage = stage::Announcing;
}

void
control_authority::SeeFencing(const fleet_object& aObject, instant aNow)
{
  mLease.OnSeenFencing(aObject.mRevision / kRevisionsPerAcquisition, aNow);
  for (const auto& order : aObject.mOrders) {
    mLease.OnSeenFencing(order.mFencing, aNow);
  }
}

void
control_authority::InheritOrders(instant aNow)
{
  for (const auto& order : mRecord.Stored().mOrders) {
    if (order.mStage != recorded_order::stage::Intended) {
      continue;
    }
    order_progress progress;
    progress.mPhase = order_progress::phase::Inherited;
    progress.mOrder = order;
    if (const auto* row = RowOf(order.mEngine)) {
      progress.mAddress = row->mAddress;
      progress.mService = row->mService;
      progress.mChecksFencing = row->mChecksFencing;
    }
    progress.mUncertainUntil = aNow + mSettings.mLeaseTerm + mSettings.mOrderExpiry;
    mEngines[order.mEngine].mProgress = std::move(progress);
  }
}

void
control_authority::OnConfirmed(instant aNow)
{
  const auto revision = mRecord.Stored().mRevision;
  if (mStage == stage::Announcing && revision >= mAnnouncedIn) {
    mStage = stage::Observing;
  }
  for (auto& [name, engine] : mEngines) {
    if (!engine.mProgress || revision < engine.mProgress->mRevision) {
      continue;
    }
    if (engine.mProgress->mPhase == order_progress::phase::Recording) {
      engine.mProgress->mPhase = order_progress::phase::Draining;
      engine.mProgress->mStoredAt = aNow;
    } else if (engine.mProgress->mPhase == order_progress::phase::Settling) {
      engine.mProgress.reset();
    }
  }
}

void
control_authority::Observe(instant aNow, effect_list& aOut)
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
    const auto period = engine.mProgress ? kCloseLook : mSettings.mObserveEvery;
    // An answer that another part of the daemon asked for counts as well.
    const bool fresh = engine.mAnswered && aNow - engine.mAskedAt < period;
    if (address.empty() || aNow < engine.mNextAsk || fresh) {
      continue;
    }
    engine.mNextAsk = aNow + period;
    aOut.emplace_back(observe_engine{ name, address });
  }
}

bool
control_authority::AllAnswered(instant aNow) const
{
  const bool longEnough = aNow - mAcquiredAt >= kFirstLookLimit;
  return std::all_of(mEngines.begin(), mEngines.end(), [&](const auto& aEntry) {
    return longEnough || aEntry.second.mAnswered || RowOf(aEntry.first) == nullptr;
  });
}

void
control_authority::UpdateLeaving()
{
  if (mLeaving && mRecord.Draft().mLeaving != *mLeaving) {
    mRecord.Change().mLeaving = *mLeaving;
  }
}

void
control_authority::Audit(const std::string& aText)
{
  auto& audit = mRecord.Change().mAudit;
  audit.push_back(UtcText(mWallNow) + " " + mSettings.mSelf.mVm + " fencing " +
                  std::to_string(mActingFencing) + ": " + aText);
  if (audit.size() > kFleetAuditLimit) {
    audit.erase(audit.begin(), audit.end() - kFleetAuditLimit);
  }
}

void
control_authority::LookAround(instant aNow)
{
  mDaemons.clear();
  for (const auto& member : mMembers.Live()) {
    if (member.mLocation.mDataCentre == mSettings.mDataCentre) {
      mDaemons.push_back(member.mProcess);
    }
  }
  for (const auto& view : mFleet.Engines()) {
    if (view.mDataCentre == mSettings.mDataCentre) {
      mLease.OnSeenFencing(view.mReport.mFencing, aNow);
    }
  }
}

} // namespace skylarkwind
