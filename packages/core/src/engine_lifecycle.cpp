#include "skylarkwind/engine_lifecycle.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace skylarkwind {

namespace {

/// Work units of a complete ramp from 2 to 64 requests. An engine that has completed this much
/// since its start is in service for other daemons, so a newly started daemon does not ramp it
/// again.
constexpr std::uint64_t kInServiceUnits = 2'048;
/// Smallest limit at which a ramp ends, so that engines of an idle service still ramp.
constexpr std::uint64_t kMinServingLimit = 8;
/// Limit at which a ramp ends when no engine of the same role serves for comparison.
constexpr std::uint64_t kDefaultServingLimit = 64;

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

/// Copies the load figures of `aFrom`, whose sample is newer than that of `aTo`.
void
CopyLoad(const engine_report& aFrom, engine_report& aTo)
{
  aTo.mRunning = aFrom.mRunning;
  aTo.mQueuedPromptTokens = aFrom.mQueuedPromptTokens;
  aTo.mDecodeStreams = aFrom.mDecodeStreams;
  aTo.mKvUsedTokens = aFrom.mKvUsedTokens;
  aTo.mSampleAge = aFrom.mSampleAge;
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
  ApplyTransitions(aNow);
}

engine_lifecycle::engine_lifecycle(const backend_row& aRow,
                                   lifecycle_settings aSettings,
                                   instant aNow)
  : mSettings(aSettings)
  , mPlain(true)
  , mMayBeInService(!aSettings.mAddedAtRuntime)
{
  Apply(AsEngineRow(aRow), true, aNow);
  ApplyTransitions(aNow);
}

bool
engine_lifecycle::ShouldDrain() const
{
  return mWithdrawn || mLeaving || mCommand || mRow.mIntent == engine_intent::Drain;
}

bool
engine_lifecycle::DrainsOnlyForCommand() const
{
  return mCommand && !mWithdrawn && !mLeaving && mRow.mIntent == engine_intent::Serve;
}

bool
engine_lifecycle::IsCommandDone() const
{
  return mCommand && IsCurrent() && IsReady() && mView.mReport.mOrder == mCommand->mOrder;
}

bool
engine_lifecycle::IsCurrent() const
{
  return mPlain || (mKnown && mLastAcceptedQuery > mQueriedAfter);
}

bool
engine_lifecycle::IsReady() const
{
  return mPlain || mView.mReport.mActivity == engine_report::activity::Ready;
}

bool
engine_lifecycle::ServesConfiguredModel() const
{
  return mPlain || (mView.mReport.mService == mRow.mService && mView.mReport.mModel == mRow.mModel);
}

bool
engine_lifecycle::IsInServiceElsewhere() const
{
  return mMayBeInService &&
         (mPlain || WorkUnits(mView.mReport.mPromptTokensTotal, mView.mReport.mOutputTokensTotal) >=
                      kInServiceUnits);
}

void
engine_lifecycle::Apply(const engine_row& aRow, bool aAddressChanged, instant aNow)
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
  if (aAddressChanged) {
    mUrgent = true;
    if (mPlain) {
      mKnown = true;
    }
    mQueriedAfter = aNow;
  }
  BumpRevision();
}

void
engine_lifecycle::OnRow(const engine_row& aRow, instant aNow)
{
  const bool addressChanged = aRow.mAddress != mRow.mAddress;
  if (!mWithdrawn && aRow == mRow) {
    return;
  }
  mWithdrawn = false;
  Apply(aRow, addressChanged, aNow);
  if (addressChanged) {
    MarkAbsent("its address changed", aNow);
    mMayBeInService = !mPlain;
  }
  ApplyTransitions(aNow);
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
  ApplyTransitions(aNow);
}

void
engine_lifecycle::OnCommand(const std::optional<recorded_command>& aCommand, instant aNow)
{
  if (mCommand == aCommand) {
    return;
  }
  if (mCommand && !aCommand) {
    // The engine may have changed its role since it was last observed, so only responses to later
    // queries count.
    mQueriedAfter = aNow;
  }
  mCommand = aCommand;
  mUrgent = true;
  ApplyTransitions(aNow);
}

void
engine_lifecycle::OnLeaving(bool aLeaving, instant aNow)
{
  mLeaving = aLeaving;
  ApplyTransitions(aNow);
}

void
engine_lifecycle::OnStateQuerySent(instant aNow)
{
  if (!mPendingQuerySince) {
    mPendingQuerySince = aNow;
  }
}

void
engine_lifecycle::OnObserved(const engine_state_received& aObserved, instant aNow)
{
  if (mPlain || aObserved.mAskedAt <= mQueriedAfter || aObserved.mAskedAt <= mLastAcceptedQuery) {
    return;
  }
  if (!aObserved.mReport) {
    mUrgent = true;
    return;
  }
  Accept(*aObserved.mReport, aObserved.mAskedAt, aNow);
  ApplyTransitions(aNow);
}

void
engine_lifecycle::Accept(const engine_report& aReport, instant aQueriedAt, instant aNow)
{
  if (aReport.mName != mView.mName) {
    return; // another engine responds at this address
  }
  const bool wasKnown = mKnown;
  const bool restarted = mKnown && aReport.mIncarnation != mView.mIncarnation;
  const bool changed = mKnown && !restarted &&
                       (aReport.mRole != mView.mRole || aReport.mModel != mView.mModel ||
                        aReport.mVersion != mView.mVersion);
  mLastAcceptedQuery = aQueriedAt;
  mPendingQuerySince.reset();
  mKnown = true;
  mSeenBefore = true;
  if (!wasKnown || restarted) {
    mView.mReportSampledAt = instant::min(); // figures of an earlier process
  }
  const engine_report previous = std::exchange(mView.mReport, aReport);
  if (!AcceptLoad(aReport, aQueriedAt - aReport.mSampleAge, aNow)) {
    CopyLoad(previous, mView.mReport);
  }
  mView.mIncarnation = aReport.mIncarnation;
  mView.mRole = aReport.mRole;
  mView.mModel = aReport.mModel;
  mView.mVersion = aReport.mVersion;
  BumpRevision();
  if ((restarted || changed) && mView.mStatus != engine_status::Absent) {
    mStaleInFlight = mView.mInFlight;
    mFailures = 0;
    EnterObserved(restarted ? "it restarted" : "its role, model or version changed");
  }
}

void
engine_lifecycle::EnterObserved(const char* aWhy)
{
  mMayBeInService = false;
  if (mView.mStatus != engine_status::Observed) {
    SetStatus(engine_status::Observed, aWhy);
  }
}

bool
engine_lifecycle::AcceptLoad(const engine_report& aReport, instant aSampledAt, instant aNow)
{
  if (aSampledAt < mView.mReportSampledAt) {
    return false;
  }
  mView.mReportSampledAt = aSampledAt;
  const bool isReturning =
    mView.mStatus == engine_status::Warming || mView.mStatus == engine_status::Ramping;
  const std::uint64_t units = WorkUnits(aReport.mPromptTokensTotal, aReport.mOutputTokensTotal);
  if (isReturning && aReport.mIncarnation == mView.mIncarnation &&
      mRamp.OnWork(units, aSampledAt, aNow)) {
    OnLimitRaised("it reported the work of a first request", aNow);
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
  mPendingQuerySince.reset();
  if (AcceptLoad(aReport, aNow - aReport.mSampleAge, aNow)) {
    mView.mReport = aReport;
    BumpRevision();
  }
  ApplyTransitions(aNow);
}

void
engine_lifecycle::OnAttemptStarted(instant aNow)
{
  ++mView.mInFlight;
  BumpRevision();
  ApplyTransitions(aNow);
}

void
engine_lifecycle::OnAttemptEnded(attempt_health aHealth, instant aNow)
{
  if (mView.mInFlight > 0) {
    --mView.mInFlight;
  }
  BumpRevision();
  if (mStaleInFlight > 0) {
    // The request was sent before the last fault; its outcome does not concern the current process.
    mStaleInFlight = std::min(mStaleInFlight - 1, mView.mInFlight);
  } else if (aHealth == attempt_health::Answered) {
    mFailures = 0;
    mPendingQuerySince.reset();
    if (mView.mStatus == engine_status::Warming ||
        (mView.mStatus == engine_status::Ramping && mRamp.OnCompleted(mShare, aNow))) {
      OnLimitRaised("it completed a first request", aNow);
    }
  } else if (aHealth == attempt_health::Refused && mView.mStatus != engine_status::Warming) {
    // An overloaded engine does not become absent: taking it out of service would add to the
    // overload.
    mFailures = 0;
    mRamp.OnFailed(aNow);
    UpdateLimit();
  } else {
    ++mFailures;
    mUrgent = true;
    mRamp.OnFailed(aNow);
    UpdateLimit();
    if (mView.mStatus != engine_status::Absent &&
        (mView.mStatus == engine_status::Warming || mFailures >= mSettings.mFailureThreshold)) {
      StartBackoff(aNow);
      MarkAbsent("requests to it failed", aNow);
    }
  }
  ApplyTransitions(aNow);
}

void
engine_lifecycle::StartBackoff(instant aNow)
{
  const auto doublings = std::min<std::uint32_t>(mFailedRecoveries, 10);
  const auto backoff =
    std::min(mSettings.mInitialBackoff * (1U << doublings), mSettings.mMaxBackoff);
  mBackoffUntil =
    aNow + std::chrono::duration_cast<boot_clock::duration>(backoff * mSettings.mBackoffFactor);
  ++mFailedRecoveries;
}

void
engine_lifecycle::MarkAbsent(std::string aReason, instant aNow)
{
  mAbsentReason = std::move(aReason);
  mKnown = mPlain;
  mMayBeInService = false;
  mQueriedAfter = aNow;
  mPendingQuerySince.reset();
  mFailures = 0;
  mStaleInFlight = mView.mInFlight;
  mUrgent = true;
  if (mView.mStatus != engine_status::Absent) {
    SetStatus(engine_status::Absent, mAbsentReason);
  }
}

void
engine_lifecycle::OnContext(const lifecycle_context& aContext)
{
  mShare = aContext.mShare;
  mServingInFlight = aContext.mServingInFlight;
  UpdateLimit();
}

void
engine_lifecycle::OnTick(instant aNow)
{
  if (mPendingQuerySince && aNow - *mPendingQuerySince >= mSettings.mAbsentTimeout) {
    mPendingQuerySince.reset();
    if (mView.mStatus != engine_status::Absent) {
      MarkAbsent("it did not answer", aNow);
    }
  }
  const bool isReturning =
    mView.mStatus == engine_status::Warming || mView.mStatus == engine_status::Ramping;
  const bool inUse = mView.mInFlight > 0 || (!mPlain && mView.mReport.mRunning > 0);
  const bool mayStep = isReturning && !(mPlain && mView.mStatus == engine_status::Warming);
  if (mayStep && mRamp.OnTick(inUse, aNow)) {
    OnLimitRaised("nothing was sent to it for a while", aNow);
  }
  ApplyTransitions(aNow);
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
engine_lifecycle::SetStatus(engine_status aTo, std::string aWhy)
{
  mTransitions.push_back({ mView.mStatus, aTo, std::move(aWhy) });
  mView.mStatus = aTo;
  UpdateLimit();
  BumpRevision();
}

void
engine_lifecycle::ApplyTransitions(instant aNow)
{
  while (ApplyTransition(aNow)) {
  }
  UpdateLimit();
}

bool
engine_lifecycle::ApplyTransition(instant aNow)
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
  if (!IsCurrent() || (mPlain && aNow < mBackoffUntil)) {
    return false;
  }
  SetStatus(engine_status::Observed, "it answered");
  return true;
}

bool
engine_lifecycle::LeaveObserved(instant aNow)
{
  if (!IsReady()) {
    SetStatus(engine_status::Changing, "it reports a change in progress");
    return true;
  }
  if (ShouldDrain()) {
    if (IsCommandDone() && DrainsOnlyForCommand()) {
      return false;
    }
    SetStatus(mView.mInFlight > 0 ? engine_status::Draining : engine_status::Drained,
              DrainReason());
    return true;
  }
  if (!IsCurrent() || !ServesConfiguredModel() || aNow < mBackoffUntil) {
    return false;
  }
  if (IsInServiceElsewhere()) {
    mMayBeInService = false;
    SetStatus(engine_status::Serving, "it is in service already");
    return true;
  }
  mMayBeInService = false;
  mRamp.Restart(return_ramp::kInitialLimit, aNow);
  SetStatus(engine_status::Warming, "it is ready");
  return true;
}

bool
engine_lifecycle::LeaveInService(instant aNow)
{
  if (!IsReady()) {
    SetStatus(engine_status::Changing, "it reports a change in progress");
    return true;
  }
  if (ShouldDrain()) {
    SetStatus(engine_status::Draining, DrainReason());
    return true;
  }
  if (!ServesConfiguredModel()) {
    SetStatus(engine_status::Observed, "it serves another model than the table says");
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
  std::uint64_t full = kDefaultServingLimit;
  if (mServingInFlight) {
    const double fleetMean = *mServingInFlight * static_cast<double>(mShare.mDaemons);
    full = std::max(kMinServingLimit, static_cast<std::uint64_t>(std::ceil(fleetMean)));
  }
  if (mRamp.FleetLimit() >= std::min(full, return_ramp::kMaxLimit)) {
    mFailedRecoveries = 0;
    mBackoffUntil = aNow;
    SetStatus(engine_status::Serving, "its limit reached the load of its peers");
  }
}

bool
engine_lifecycle::LeaveDraining(instant aNow)
{
  if (!IsReady()) {
    SetStatus(engine_status::Changing, "it reports a change in progress");
    return true;
  }
  if (!ShouldDrain() && IsCurrent()) {
    mRamp.Restart(mView.mInFlight * mShare.mDaemons, aNow);
    SetStatus(engine_status::Ramping, "the drain was withdrawn");
    return true;
  }
  if (mView.mInFlight == 0) {
    SetStatus(engine_status::Drained, "its last request ended");
    return true;
  }
  return false;
}

bool
engine_lifecycle::LeaveDrained()
{
  if (!IsReady()) {
    SetStatus(engine_status::Changing, "it reports a change in progress");
    return true;
  }
  if (mView.mInFlight > 0) {
    SetStatus(engine_status::Draining, DrainReason());
    return true;
  }
  if (!ShouldDrain()) {
    SetStatus(engine_status::Observed, "the drain was withdrawn");
    return true;
  }
  if (IsCommandDone() && DrainsOnlyForCommand()) {
    SetStatus(engine_status::Observed, "it carried out its order");
    return true;
  }
  return false;
}

bool
engine_lifecycle::LeaveChanging()
{
  if (!IsCurrent() || !IsReady()) {
    return false;
  }
  EnterObserved("its change is resolved");
  return true;
}

void
engine_lifecycle::StartRamp(std::string_view aReason, instant aNow)
{
  // A plain backend server does not report other daemons' requests, so each daemon needs a request
  // of its own to observe it.
  mRamp.Restart(mPlain ? mShare.mDaemons : return_ramp::kInitialLimit, aNow);
  SetStatus(engine_status::Ramping, std::string{ aReason });
}

void
engine_lifecycle::OnLimitRaised(std::string_view aReason, instant aNow)
{
  if (mView.mStatus == engine_status::Warming) {
    StartRamp(aReason, aNow);
  }
  BumpRevision();
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
    BumpRevision();
  }
}

} // namespace skylarkwind
