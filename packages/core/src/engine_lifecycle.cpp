#include "skylarkwind/engine_lifecycle.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace skylarkwind {

namespace {

/// Work of a whole ramp from 2 to 64 requests. An engine that has completed it since its start
/// is in service for other daemons, so a daemon that starts need not ramp it up again.
constexpr std::uint64_t kProvenUnits = 2'048;
/// An engine is never called serving below this limit, so that an idle service still ramps.
constexpr std::uint64_t kLowestFullLimit = 8;
/// Limit to reach when no engine of the same role serves that could be compared with.
constexpr std::uint64_t kFullLimitAlone = 64;

engine_row
AsEngineRow(const backend_row& aRow)
{
  engine_row row;
  row.mName = aRow.mName;
  row.mAddress = aRow.mAddress;
  row.mDataCentre = aRow.mDataCentre;
  row.mService = aRow.mService;
  row.mWeight = aRow.mWeight;
  row.mIntent = aRow.mIntent;
  return row;
}

/// Takes the load figures of `aFrom`, whose sample is newer than that of `aTo`.
void
CopyLoad(const engine_report& aFrom, engine_report& aTo)
{
  aTo.mRunning = aFrom.mRunning;
  aTo.mQueuedPromptTokens = aFrom.mQueuedPromptTokens;
  aTo.mDecodeStreams = aFrom.mDecodeStreams;
  aTo.mKvUsedTokens = aFrom.mKvUsedTokens;
  aTo.mSampledAgo = aFrom.mSampledAgo;
  aTo.mPromptTokensTotal = aFrom.mPromptTokensTotal;
  aTo.mOutputTokensTotal = aFrom.mOutputTokensTotal;
}

} // namespace

engine_lifecycle::engine_lifecycle(const engine_row& aRow,
                                   lifecycle_settings aSettings,
                                   instant aNow)
  : mSettings(aSettings)
{
  Apply(aRow, true, aNow);
  mView.mRole = aRow.mRole;
  Settle(aNow);
}

engine_lifecycle::engine_lifecycle(const backend_row& aRow,
                                   lifecycle_settings aSettings,
                                   instant aNow)
  : mSettings(aSettings)
  , mPlain(true)
  , mFirstSight(!aSettings.mAddedLater)
{
  Apply(AsEngineRow(aRow), true, aNow);
  Settle(aNow);
}

bool
engine_lifecycle::DrainWanted() const
{
  return mWithdrawn || mLeaving || mOrder || mRow.mIntent == engine_intent::Drain;
}

bool
engine_lifecycle::OnlyOrderDrains() const
{
  return mOrder && !mWithdrawn && !mLeaving && mRow.mIntent == engine_intent::Serve;
}

bool
engine_lifecycle::OrderDone() const
{
  return mOrder && Fresh() && Ready() && mView.mReport.mOrder == mOrder->mOrder;
}

bool
engine_lifecycle::Fresh() const
{
  return mPlain || (mKnown && mNewestAsked > mAskedAfter);
}

bool
engine_lifecycle::Ready() const
{
  return mPlain || mView.mReport.mActivity == engine_report::activity::Ready;
}

bool
engine_lifecycle::Matches() const
{
  return mPlain || (mView.mReport.mService == mRow.mService && mView.mReport.mModel == mRow.mModel);
}

bool
engine_lifecycle::ProvenElsewhere() const
{
  return mFirstSight && (mPlain || WorkUnits(mView.mReport.mPromptTokensTotal,
                                             mView.mReport.mOutputTokensTotal) >= kProvenUnits);
}

void
engine_lifecycle::Apply(const engine_row& aRow, bool aRetargeted, instant aNow)
{
  mRow = aRow;
  mView.mName = aRow.mName;
  mView.mAddress = aRow.mAddress;
  mView.mDataCentre = aRow.mDataCentre;
  mView.mService = aRow.mService;
  mView.mWeight = aRow.mWeight;
  if (!mSeenBefore) {
    mView.mModel = aRow.mModel;
    mView.mRole = aRow.mRole;
  }
  if (aRetargeted) {
    mUrgent = true;
    if (mPlain) {
      mKnown = true;
    }
    mAskedAfter = aNow;
  }
  Touch();
}

void
engine_lifecycle::OnRow(const engine_row& aRow, instant aNow)
{
  const bool retargeted = aRow.mAddress != mRow.mAddress;
  if (!mWithdrawn && aRow == mRow) {
    return;
  }
  mWithdrawn = false;
  Apply(aRow, retargeted, aNow);
  if (retargeted) {
    Lose("its address changed", aNow);
    mFirstSight = !mPlain;
  }
  Settle(aNow);
}

void
engine_lifecycle::OnRow(const backend_row& aRow, instant aNow)
{
  OnRow(AsEngineRow(aRow), aNow);
}

void
engine_lifecycle::OnWithdrawn(instant aNow)
{
  mWithdrawn = true;
  Settle(aNow);
}

void
engine_lifecycle::OnOrder(const std::optional<recorded_order>& aIntended, instant aNow)
{
  if (mOrder == aIntended) {
    return;
  }
  if (mOrder && !aIntended) {
    // The engine may have changed since it was last observed; what is known of it is too old.
    mAskedAfter = aNow;
  }
  mOrder = aIntended;
  mUrgent = true;
  Settle(aNow);
}

void
engine_lifecycle::OnLeaving(bool aLeaving, instant aNow)
{
  mLeaving = aLeaving;
  Settle(aNow);
}

void
engine_lifecycle::OnAsked(instant aNow)
{
  if (!mOpenQuestion) {
    mOpenQuestion = aNow;
  }
}

void
engine_lifecycle::OnObserved(const engine_observed& aObserved, instant aNow)
{
  if (mPlain || aObserved.mAskedAt <= mAskedAfter || aObserved.mAskedAt <= mNewestAsked) {
    return;
  }
  if (!aObserved.mReport) {
    mUrgent = true;
    return;
  }
  Accept(*aObserved.mReport, aObserved.mAskedAt, aNow);
  Settle(aNow);
}

void
engine_lifecycle::Accept(const engine_report& aReport, instant aAskedAt, instant aNow)
{
  if (aReport.mName != mView.mName) {
    return; // another engine answers at this address
  }
  const bool wasKnown = mKnown;
  const bool restarted = mKnown && aReport.mIncarnation != mView.mIncarnation;
  const bool changed = mKnown && !restarted &&
                       (aReport.mRole != mView.mRole || aReport.mModel != mView.mModel ||
                        aReport.mVersion != mView.mVersion);
  mNewestAsked = aAskedAt;
  mOpenQuestion.reset();
  mKnown = true;
  mSeenBefore = true;
  if (!wasKnown || restarted) {
    mView.mReportSampledAt = instant::min(); // figures of an earlier process
  }
  const engine_report previous = std::exchange(mView.mReport, aReport);
  if (!AcceptLoad(aReport, aAskedAt - aReport.mSampledAgo, aNow)) {
    CopyLoad(previous, mView.mReport);
  }
  mView.mIncarnation = aReport.mIncarnation;
  mView.mRole = aReport.mRole;
  mView.mModel = aReport.mModel;
  mView.mVersion = aReport.mVersion;
  Touch();
  if ((restarted || changed) && mView.mStatus != engine_status::Absent) {
    mStaleInFlight = mView.mInFlight;
    mFailures = 0;
    EnterObserved(restarted ? "it restarted" : "its role, model or version changed");
  }
}

void
engine_lifecycle::EnterObserved(const char* aWhy)
{
  mFirstSight = false;
  if (mView.mStatus != engine_status::Observed) {
    Move(engine_status::Observed, aWhy);
  }
}

bool
engine_lifecycle::AcceptLoad(const engine_report& aReport, instant aSampledAt, instant aNow)
{
  if (aSampledAt < mView.mReportSampledAt) {
    return false;
  }
  mView.mReportSampledAt = aSampledAt;
  const bool inReturn =
    mView.mStatus == engine_status::Warming || mView.mStatus == engine_status::Ramping;
  const std::uint64_t units = WorkUnits(aReport.mPromptTokensTotal, aReport.mOutputTokensTotal);
  if (inReturn && aReport.mIncarnation == mView.mIncarnation &&
      mRamp.OnWork(units, aSampledAt, aNow)) {
    OnStep("it reported the work of a first request", aNow);
  }
  return true;
}

void
engine_lifecycle::OnReport(const engine_report& aReport, instant aNow)
{
  if (mPlain || !mKnown || aReport.mName != mView.mName) {
    mUrgent = mUrgent || !mKnown;
    return;
  }
  const engine_report& known = mView.mReport;
  if (aReport.mIncarnation != known.mIncarnation || aReport.mRole != known.mRole ||
      aReport.mModel != known.mModel || aReport.mVersion != known.mVersion ||
      aReport.mActivity != known.mActivity || aReport.mOrder != known.mOrder) {
    mUrgent = true;
    return;
  }
  mOpenQuestion.reset();
  if (AcceptLoad(aReport, aNow - aReport.mSampledAgo, aNow)) {
    mView.mReport = aReport;
    Touch();
  }
  Settle(aNow);
}

void
engine_lifecycle::OnAttemptStarted(instant aNow)
{
  ++mView.mInFlight;
  Touch();
  Settle(aNow);
}

void
engine_lifecycle::OnAttemptEnded(attempt_health aHealth, instant aNow)
{
  if (mView.mInFlight > 0) {
    --mView.mInFlight;
  }
  Touch();
  if (mStaleInFlight > 0) {
    // Sent before the last fault: says nothing of the engine as it is now.
    mStaleInFlight = std::min(mStaleInFlight - 1, mView.mInFlight);
  } else if (aHealth == attempt_health::Answered) {
    mFailures = 0;
    mOpenQuestion.reset();
    if (mView.mStatus == engine_status::Warming ||
        (mView.mStatus == engine_status::Ramping && mRamp.OnCompleted(mShare, aNow))) {
      OnStep("it completed a first request", aNow);
    }
  } else if (aHealth == attempt_health::Refused && mView.mStatus != engine_status::Warming) {
    // An overloaded engine is not lost: taking it out of service would add to the overload.
    mFailures = 0;
    mRamp.OnFailed(aNow);
    UpdateLimit();
  } else {
    ++mFailures;
    mUrgent = true;
    mRamp.OnFailed(aNow);
    UpdateLimit();
    if (mView.mStatus != engine_status::Absent &&
        (mView.mStatus == engine_status::Warming || mFailures >= mSettings.mFailuresUntilAbsent)) {
      BackOff(aNow);
      Lose("requests to it failed", aNow);
    }
  }
  Settle(aNow);
}

void
engine_lifecycle::BackOff(instant aNow)
{
  const auto doublings = std::min<std::uint32_t>(mFailedReturns, 10);
  const auto backoff =
    std::min(mSettings.mFirstBackoff * (1U << doublings), mSettings.mLongestBackoff);
  mBackoffUntil =
    aNow + std::chrono::duration_cast<boot_clock::duration>(backoff * mSettings.mBackoffFactor);
  ++mFailedReturns;
}

void
engine_lifecycle::Lose(std::string aReason, instant aNow)
{
  mFault = std::move(aReason);
  mKnown = mPlain;
  mFirstSight = false;
  mAskedAfter = aNow;
  mOpenQuestion.reset();
  mFailures = 0;
  mStaleInFlight = mView.mInFlight;
  mUrgent = true;
  if (mView.mStatus != engine_status::Absent) {
    Move(engine_status::Absent, mFault);
  }
}

void
engine_lifecycle::OnSurroundings(const lifecycle_surroundings& aSurroundings)
{
  mShare = aSurroundings.mShare;
  mPeerInFlight = aSurroundings.mPeerInFlight;
  UpdateLimit();
}

void
engine_lifecycle::OnTick(instant aNow)
{
  if (mOpenQuestion && aNow - *mOpenQuestion >= mSettings.mAbsentAfter) {
    mOpenQuestion.reset();
    if (mView.mStatus != engine_status::Absent) {
      Lose("it did not answer", aNow);
    }
  }
  const bool inReturn =
    mView.mStatus == engine_status::Warming || mView.mStatus == engine_status::Ramping;
  const bool inUse = mView.mInFlight > 0 || (!mPlain && mView.mReport.mRunning > 0);
  const bool mayStep = inReturn && !(mPlain && mView.mStatus == engine_status::Warming);
  if (mayStep && mRamp.OnTick(inUse, aNow)) {
    OnStep("nothing was sent to it for a while", aNow);
  }
  Settle(aNow);
}

bool
engine_lifecycle::TakeUrgent()
{
  return std::exchange(mUrgent, false);
}

std::vector<engine_lifecycle::transition>
engine_lifecycle::TakeTransitions()
{
  return std::exchange(mTransitions, {});
}

void
engine_lifecycle::Move(engine_status aTo, std::string aWhy)
{
  mTransitions.push_back({ mView.mStatus, aTo, std::move(aWhy) });
  mView.mStatus = aTo;
  UpdateLimit();
  Touch();
}

void
engine_lifecycle::Settle(instant aNow)
{
  while (SettleOnce(aNow)) {
  }
  UpdateLimit();
}

bool
engine_lifecycle::SettleOnce(instant aNow)
{
  switch (mView.mStatus) {
    case engine_status::Absent:
      return LeaveAbsent(aNow);
    case engine_status::Observed:
      return LeaveObserved(aNow);
    case engine_status::Warming:
    case engine_status::Ramping:
    case engine_status::Serving:
      return LeaveInService(aNow);
    case engine_status::Draining:
      return LeaveDraining(aNow);
    case engine_status::Drained:
      return LeaveDrained();
    case engine_status::Changing:
      return LeaveChanging();
  }
  return false;
}

bool
engine_lifecycle::LeaveAbsent(instant aNow)
{
  if (!Fresh() || (mPlain && aNow < mBackoffUntil)) {
    return false;
  }
  Move(engine_status::Observed, "it answered");
  return true;
}

bool
engine_lifecycle::LeaveObserved(instant aNow)
{
  if (!Ready()) {
    Move(engine_status::Changing, "it reports a change in progress");
    return true;
  }
  if (DrainWanted()) {
    if (OrderDone() && OnlyOrderDrains()) {
      return false;
    }
    Move(mView.mInFlight > 0 ? engine_status::Draining : engine_status::Drained, DrainReason());
    return true;
  }
  if (!Fresh() || !Matches() || aNow < mBackoffUntil) {
    return false;
  }
  if (ProvenElsewhere()) {
    mFirstSight = false;
    Move(engine_status::Serving, "it is in service already");
    return true;
  }
  mFirstSight = false;
  mRamp.Restart(return_ramp::kFirstLimit, aNow);
  Move(engine_status::Warming, "it is ready");
  return true;
}

bool
engine_lifecycle::LeaveInService(instant aNow)
{
  if (!Ready()) {
    Move(engine_status::Changing, "it reports a change in progress");
    return true;
  }
  if (DrainWanted()) {
    Move(engine_status::Draining, DrainReason());
    return true;
  }
  if (!Matches()) {
    Move(engine_status::Observed, "it serves another model than the table says");
    return true;
  }
  FinishRamp(aNow);
  return false;
}

void
engine_lifecycle::FinishRamp(instant aNow)
{
  if (mView.mStatus != engine_status::Ramping) {
    return;
  }
  std::uint64_t full = kFullLimitAlone;
  if (mPeerInFlight) {
    const double fleetMean = *mPeerInFlight * static_cast<double>(mShare.mDaemons);
    full = std::max(kLowestFullLimit, static_cast<std::uint64_t>(std::ceil(fleetMean)));
  }
  if (mRamp.FleetLimit() >= std::min(full, return_ramp::kHighestLimit)) {
    mFailedReturns = 0;
    mBackoffUntil = aNow;
    Move(engine_status::Serving, "its limit reached the load of its peers");
  }
}

bool
engine_lifecycle::LeaveDraining(instant aNow)
{
  if (!Ready()) {
    Move(engine_status::Changing, "it reports a change in progress");
    return true;
  }
  if (!DrainWanted() && Fresh()) {
    mRamp.Restart(mView.mInFlight * mShare.mDaemons, aNow);
    Move(engine_status::Ramping, "the drain was withdrawn");
    return true;
  }
  if (mView.mInFlight == 0) {
    Move(engine_status::Drained, "its last request ended");
    return true;
  }
  return false;
}

bool
engine_lifecycle::LeaveDrained()
{
  if (!Ready()) {
    Move(engine_status::Changing, "it reports a change in progress");
    return true;
  }
  if (mView.mInFlight > 0) {
    Move(engine_status::Draining, DrainReason());
    return true;
  }
  if (!DrainWanted()) {
    Move(engine_status::Observed, "the drain was withdrawn");
    return true;
  }
  if (OrderDone() && OnlyOrderDrains()) {
    Move(engine_status::Observed, "it carried out its order");
    return true;
  }
  return false;
}

bool
engine_lifecycle::LeaveChanging()
{
  if (!Fresh() || !Ready()) {
    return false;
  }
  EnterObserved("its change is resolved");
  return true;
}

void
engine_lifecycle::StartRamp(std::string_view aReason, instant aNow)
{
  // A plain backend server has no report that shows other daemons' requests, so each daemon
  // needs a request of its own to learn from.
  mRamp.Restart(mPlain ? mShare.mDaemons : return_ramp::kFirstLimit, aNow);
  Move(engine_status::Ramping, std::string{ aReason });
}

void
engine_lifecycle::OnStep(std::string_view aReason, instant aNow)
{
  if (mView.mStatus == engine_status::Warming) {
    StartRamp(aReason, aNow);
  }
  Touch();
}

void
engine_lifecycle::UpdateLimit()
{
  std::uint64_t limit = 0;
  if (mView.mStatus == engine_status::Warming) {
    limit = mPlain ? 1 : std::min<std::uint64_t>(1, mRamp.Share(mShare));
  } else if (mView.mStatus == engine_status::Ramping) {
    limit = mRamp.Share(mShare);
  }
  if (limit != mView.mInFlightLimit) {
    mView.mInFlightLimit = limit;
    Touch();
  }
}

} // namespace skylarkwind
