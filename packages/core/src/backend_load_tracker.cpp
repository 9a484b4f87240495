#include "skylarkwind/backend_load_tracker.h"

#include "skylarkwind/hash.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace skylarkwind {

namespace {

using milliseconds_f = std::chrono::duration<double, std::milli>;

/// Weight of a new measurement in the exponentially weighted mean of one server.
constexpr double kSlowdownWeight = 0.15;
constexpr double kFailureWeight = 0.2;
/// The same for the mean over all servers, which is used for servers without measurements.
constexpr double kMeanSlowdownWeight = 0.05;
/// Slowdowns are clamped to this factor and its inverse, so that one extreme measurement does not
/// distort the mean. Engines differ from the configured rates by less.
constexpr double kMaxSlowdown = 64;
/// The weight in the same mean of a slowdown that other daemons report for one server, several
/// times a second.
constexpr double kReportedSlowdownWeight = 0.002;
/// Average number of daemons that probe a server with an open circuit in each time slot; other
/// daemons do so in the next slot.
constexpr std::uint32_t kProbingDaemons = 1;
constexpr std::chrono::milliseconds kProbeSlot{ 1'600 };
/// Time until a daemon has received a report of load that another one dispatched. The second value
/// is added for each daemon that the sums pass.
constexpr milliseconds_f kReportDelay{ 60 };
constexpr milliseconds_f kReportDelayPerDaemon{ 0.3 };
/// Decay time of this daemon's own request and token rates.
constexpr milliseconds_f kRateDecayTime{ 3'000 };
/// Shorter expected times are not measured, because network latency dominates them.
constexpr milliseconds_f kMinMeasuredTime{ 5 };
/// Consecutive failures or silences that eject a server; one failed connection is enough.
constexpr std::uint32_t kFailuresToEject = 3;
/// A server that has been silent is ranked like one that fails this fraction of its requests.
constexpr double kSilentFailureRatio = 0.5;
constexpr std::chrono::milliseconds kFirstEjection{ 400 };
constexpr std::chrono::milliseconds kMaxEjection{ 3'200 };
/// Longest back-off that a server can ask for; longer ones are cut to this, so that a wrong value
/// does not take the server out of use for good.
constexpr std::chrono::milliseconds kMaxBackoff{ 60'000 };
/// A load report older than this no longer describes the current load.
constexpr std::chrono::milliseconds kLoadTtl{ 500 };
/// How long the load that a plain server reports counts, and the time in which its weight falls to
/// a third. The sums of other daemons' load reach all daemons at about the same time, so that they
/// choose alike; each has another report. In a model of 40 daemons long trust made fewer late.
constexpr std::chrono::milliseconds kPlainLoadTtl{ 1'000 };
constexpr milliseconds_f kReportTrust{ 4'000 };
/// Weight of a newly reported work time. It changes many times a second and is aged out linearly.
constexpr double kWorkTimeWeight = 0.5;
constexpr std::chrono::milliseconds kWorkTimeTtl{ 1'000 };
/// Half-lives of the slowdown and of the failure ratio of a plain server without newer ones, so
/// that a server that was avoided is used again.
constexpr milliseconds_f kPlainSlowdownHalfLife{ 6'000 };
constexpr milliseconds_f kPlainFailureHalfLife{ 2'000 };
/// A request that takes this many times the expected time is overdue.
constexpr double kOverdueFactor = 2;
/// Ended load is reported as zero for this long, in case a message is lost.
constexpr std::chrono::milliseconds kReportEndedFor{ 500 };

} // namespace

backend_load_tracker::backend_load_tracker(backend_load_tracker_settings aSettings)
  : mSettings(aSettings)
{
}

void
backend_load_tracker::MarkOwnChange(backend_state& aState, instant aNow)
{
  aState.mOwnChangedAt = aNow;
  ++mChanges;
}

backend_load_tracker::ticket
backend_load_tracker::BeginPlain(std::string_view aBackendId,
                                 const service_time& aService,
                                 milliseconds_f aExpected,
                                 instant aNow)
{
  const auto started = Begin(aBackendId, 0, aExpected, aNow);
  auto& request = mInFlight[started];
  request.mSlowdown = 1;
  request.mService = aService;
  mStates[request.mBackend].mPlainRequests.push_back(started);
  return started;
}

void
backend_load_tracker::OnUnservedResponse(ticket aTicket, instant aNow)
{
  if (const auto found = mInFlight.find(aTicket); found != mInFlight.end()) {
    found->second.mExpected = {};
  }
  OnFirstResponse(aTicket, aNow);
}

backend_load_tracker::ticket
backend_load_tracker::Begin(std::string_view aBackendId,
                            std::uint32_t aPrefillTokens,
                            milliseconds_f aExpected,
                            instant aNow)
{
  const auto key = BackendKey(aBackendId);
  auto& state = mStates[key];
  state.mOwnTokens += aPrefillTokens;
  state.mOwnRunning += 1;
  state.mProbeInFlight = true;
  MarkOwnChange(state, aNow);
  mOwnTokenRate.Add(aPrefillTokens, aNow);
  mOwnRequestRate.Add(1, aNow);
  state.mRequestRate.Add(1, aNow);
  mInFlight[++mLastTicket] = { key, aPrefillTokens, aExpected, Slowdown(state), aNow, false };
  return mLastTicket;
}

void
backend_load_tracker::OnFirstResponse(ticket aTicket, instant aNow)
{
  const auto found = mInFlight.find(aTicket);
  if (found == mInFlight.end()) {
    return;
  }
  auto& work = found->second;
  auto& state = mStates[work.mBackend];
  state.mSilences = {};
  if (work.mHasFirstToken) {
    return;
  }
  work.mHasFirstToken = true;
  state.mOwnTokens -= work.mPrefillTokens;
  OnFinished(state, work.mPrefillTokens, aNow);
  MarkOwnChange(state, aNow);
  const milliseconds_f taken = aNow - work.mBeganAt;
  if (work.mExpected >= kMinMeasuredTime) {
    OnSlowdown(state, taken / work.mExpected * work.mSlowdown, work.mService.has_value(), aNow);
  }
}

void
backend_load_tracker::OnSlowdown(backend_state& aState, double aRatio, bool aIsPlain, instant aNow)
{
  const double ratio = std::log(std::clamp(aRatio, 1 / kMaxSlowdown, kMaxSlowdown));
  auto& record = aState.mRecord;
  record.mLogSlowdownSum += ratio;
  aState.mSlowdownAt = aNow;
  // The first measurements form a plain mean, so that the estimate converges quickly.
  const auto weight = [](double aMinWeight, std::uint32_t aPriorCount) {
    return std::max(aMinWeight, 1.0 / (1 + aPriorCount));
  };
  aState.mOwnLogSlowdown +=
    weight(kSlowdownWeight, record.mSlowdownCount++) * (ratio - aState.mOwnLogSlowdown);
  // Plain servers say nothing about engines without measurements.
  if (!aIsPlain) {
    mMeanLogSlowdown += weight(kMeanSlowdownWeight, mMeasurements++) * (ratio - mMeanLogSlowdown);
  }
}

void
backend_load_tracker::End(ticket aTicket, backend_outcome aOutcome, instant aNow)
{
  const auto found = mInFlight.find(aTicket);
  if (found == mInFlight.end()) {
    return;
  }
  auto& state = mStates[found->second.mBackend];
  if (!found->second.mHasFirstToken) {
    state.mOwnTokens -= found->second.mPrefillTokens;
  }
  state.mOwnRunning -= 1;
  if (found->second.mService) {
    std::erase(state.mPlainRequests, aTicket);
    const milliseconds_f taken = aNow - found->second.mBeganAt;
    // A request that was given up after more than the expected time shows at least this slowdown.
    if (!found->second.mHasFirstToken && found->second.mExpected >= kMinMeasuredTime &&
        taken > kOverdueFactor * found->second.mExpected) {
      OnSlowdown(state, taken / found->second.mExpected, true, aNow);
    }
  }
  mInFlight.erase(found);
  MarkOwnChange(state, aNow);
  auto& outcomes = state.mRecord.mOutcomes;
  switch (aOutcome) {
    case backend_outcome::Answered:
      ++outcomes.mAnswered;
      break;
    case backend_outcome::Refused:
      ++outcomes.mRefused;
      break;
    case backend_outcome::Failed:
    case backend_outcome::Silent:
      // Silence is reported as a failure and not as a loss, because it must not open the circuit
      // of a server that only pauses.
      ++outcomes.mFailed;
      break;
    case backend_outcome::Unreachable:
      ++outcomes.mLost;
      break;
    case backend_outcome::Cancelled:
      state.mProbeInFlight = false;
      return;
  }
  if (aOutcome == backend_outcome::Answered || aOutcome == backend_outcome::Refused) {
    state.mProbeInFlight = false;
    state.mSilences = {};
    if (aOutcome == backend_outcome::Answered) {
      state.mFailures = {};
      state.mOwnFailureRatio -= kFailureWeight * state.mOwnFailureRatio;
      state.mFailureChangedAt = aNow;
    }
    return;
  }
  OnFailure(state, aOutcome, aNow);
}

void
backend_load_tracker::OnFailure(backend_state& aState, backend_outcome aOutcome, instant aNow)
{
  aState.mProbeInFlight = false;
  const bool silent = aOutcome == backend_outcome::Silent;
  auto& run = silent ? aState.mSilences : aState.mFailures;
  run.mCount += 1;
  if (!silent) {
    aState.mOwnFailureRatio += kFailureWeight * (1 - aState.mOwnFailureRatio);
    aState.mFailureChangedAt = aNow;
  }
  const auto count = aState.mFailures.mCount + aState.mSilences.mCount;
  const auto threshold = aOutcome == backend_outcome::Unreachable ? 1U : kFailuresToEject;
  if (count < threshold || aNow < run.mEjectedUntil) {
    return;
  }
  const auto doublings = std::min(count - threshold, 3U);
  run.mEjectedUntil = aNow + std::min(kMaxEjection, kFirstEjection * (1U << doublings));
}

void
backend_load_tracker::OnLoad(std::string_view aBackendId, const backend_load& aLoad, instant aNow)
{
  auto& state = StateOf(aBackendId);
  state.mLoad = aLoad;
  state.mLoadAt = aNow;
  if (aLoad.mWorkTimePercent > 0) {
    const double reported =
      std::log(std::clamp(aLoad.mWorkTimePercent / 100.0, 1 / kMaxSlowdown, kMaxSlowdown));
    const bool aged = aNow - state.mWorkTimeAt >= kWorkTimeTtl;
    state.mLogWorkTime += (aged ? 1 : kWorkTimeWeight) * (reported - state.mLogWorkTime);
    state.mWorkTimeAt = aNow;
  }
}

void
backend_load_tracker::OnBackoffRequested(std::string_view aBackendId,
                                         std::chrono::milliseconds aDuration,
                                         instant aNow)
{
  auto& state = StateOf(aBackendId);
  state.mBackoffUntil = std::max(state.mBackoffUntil, aNow + std::min(aDuration, kMaxBackoff));
}

void
backend_load_tracker::OnRoleChange(backend_key aBackend, instant aUntil)
{
  auto& state = mStates[aBackend];
  state.mChangingUntil = std::max(state.mChangingUntil, aUntil);
}

void
backend_load_tracker::OnRoleChanged(std::string_view aBackendId, instant aNow)
{
  auto& state = StateOf(aBackendId);
  state.mChangingUntil = std::min(state.mChangingUntil, aNow);
}

void
backend_load_tracker::Reset(std::string_view aBackendId)
{
  auto& state = StateOf(aBackendId);
  state.mFailures = {};
  state.mSilences = {};
  state.mOwnFailureRatio = 0;
  state.mFleetSlowdown = 0;
  state.mFleetCircuitOpen = false;
  state.mOwnLogSlowdown = 0;
  state.mRecord.mSlowdownCount = 0;
  state.mBackoffUntil = {};
}

void
backend_load_tracker::SetFleet(std::uint64_t aSelf, std::uint32_t aDaemons)
{
  mSelf = aSelf;
  mDaemons = std::max(1U, aDaemons);
}

bool
backend_load_tracker::MayProbe(backend_key aBackend, instant aNow) const
{
  const auto slot = aNow.time_since_epoch() / kProbeSlot;
  const std::array<std::uint64_t, 3> turn{ mSelf, aBackend, static_cast<std::uint64_t>(slot) };
  const auto drawn = Hash64({ reinterpret_cast<const char*>(turn.data()), sizeof(turn) });
  return drawn % mDaemons < kProbingDaemons;
}

double
backend_load_tracker::Slowdown(const backend_state& aState) const
{
  if (aState.mFleetSlowdown > 0) {
    return aState.mFleetSlowdown;
  }
  return std::exp(aState.mRecord.mSlowdownCount > 0 ? aState.mOwnLogSlowdown : mMeanLogSlowdown);
}

bool
backend_load_tracker::Admits(backend_key aBackend, const backend_state& aState, instant aNow) const
{
  if (aNow < aState.mChangingUntil || aNow < aState.mBackoffUntil) {
    return false;
  }
  const bool circuitOpen =
    aState.mFleetCircuitOpen && aNow - aState.mPeerAt < mSettings.mPeerLoadTtl;
  if (circuitOpen && (aState.mProbeInFlight || !MayProbe(aBackend, aNow))) {
    return false;
  }
  return Admits(aState.mFailures, aState, aNow);
}

bool
backend_load_tracker::Admits(const failure_run& aRun, const backend_state& aState, instant aNow)
{
  if (aRun.mEjectedUntil == instant{}) {
    return true;
  }
  // When the ejection expires, one probe request is admitted; further ones only after its result.
  return aNow >= aRun.mEjectedUntil && !aState.mProbeInFlight;
}

backend_load_tracker::view
backend_load_tracker::View(std::string_view aBackendId, instant aNow) const
{
  const auto key = BackendKey(aBackendId);
  const auto found = mStates.find(key);
  view snapshot;
  if (found == mStates.end()) {
    snapshot.mSlowdown = std::exp(mMeanLogSlowdown);
    return snapshot;
  }
  const auto& state = found->second;
  snapshot.mWaitingTokens = state.mOwnTokens;
  snapshot.mRunning = state.mOwnRunning;
  if (aNow - state.mPeerAt < mSettings.mPeerLoadTtl) {
    snapshot.mWaitingTokens += state.mPeerTokens;
    snapshot.mRunning += state.mPeerRunning;
  }
  if (aNow - state.mLoadAt < kLoadTtl) {
    snapshot.mRunning = std::max(snapshot.mRunning, state.mLoad.mWaiting);
  }
  snapshot.mSlowdown = Slowdown(state);
  snapshot.mFailureRatio = state.mOwnFailureRatio;
  if (aNow - state.mPeerAt < mSettings.mPeerLoadTtl) {
    snapshot.mFailureRatio = std::max(snapshot.mFailureRatio, state.mFleetFailureRatio);
  }
  if (state.mSilences.mCount > 0) {
    snapshot.mFailureRatio = std::max(snapshot.mFailureRatio, kSilentFailureRatio);
  }
  const bool otherwise = Admits(key, state, aNow);
  snapshot.mAdmits = otherwise && Admits(state.mSilences, state, aNow);
  snapshot.mOnlySilent = otherwise && !snapshot.mAdmits;
  return snapshot;
}

backend_load_tracker::plain_work
backend_load_tracker::PlainWork(std::string_view aBackendId,
                                const service_time& aUsual,
                                instant aNow) const
{
  plain_work work;
  const auto found = mStates.find(BackendKey(aBackendId));
  if (found == mStates.end()) {
    return work;
  }
  const auto& state = found->second;
  const double mean = aUsual.MeanMs();
  const bool peersKnown = aNow - state.mPeerAt < mSettings.mPeerLoadTtl;
  const double known = state.mFleetSlowdown > 0           ? std::log(state.mFleetSlowdown)
                       : state.mRecord.mSlowdownCount > 0 ? state.mOwnLogSlowdown
                                                          : 0.0;
  const auto measuredAt =
    state.mFleetSlowdown > 0 ? std::max(state.mPeerAt, state.mSlowdownAt) : state.mSlowdownAt;
  work.mSlowdown =
    std::exp(known * std::exp2(-(milliseconds_f{ aNow - measuredAt } / kPlainSlowdownHalfLife)));
  if (const milliseconds_f age = aNow - state.mWorkTimeAt; age < kWorkTimeTtl) {
    work.mWorkTime = std::exp(state.mLogWorkTime * (1 - age / kWorkTimeTtl));
  }
  const double speed = work.mSlowdown * work.mWorkTime;
  for (const auto request : state.mPlainRequests) {
    const auto& sent = mInFlight.at(request);
    const milliseconds_f elapsed = aNow - sent.mBeganAt;
    work.mAheadMs += sent.mService->RemainingMs(elapsed.count() / speed);
  }
  work.mRunning = state.mOwnRunning;
  const auto others = state.mOwnRunning - static_cast<double>(state.mPlainRequests.size());
  work.mAheadMs += std::max(0.0, others) * mean;
  if (peersKnown) {
    work.mRunning += state.mPeerRunning;
    work.mAheadMs += state.mPeerRunning * mean;
  }
  if (const milliseconds_f age = aNow - state.mLoadAt; age < kPlainLoadTtl) {
    work.mReported = true;
    // The report covers all daemons, but not what was sent after it.
    const auto sentSince =
      std::count_if(state.mPlainRequests.begin(), state.mPlainRequests.end(), [&](ticket aRequest) {
        return mInFlight.at(aRequest).mBeganAt > state.mLoadAt;
      });
    const double reported = static_cast<double>(state.mLoad.mRunning) + state.mLoad.mWaiting +
                            static_cast<double>(sentSince);
    // A single daemon knows the load by itself. What a report counted is done after about the time
    // of one request.
    const double trusted = mDaemons > 1 ? kReportTrust.count() : mean * speed;
    const double correction = std::exp(-age.count() / trusted) * (reported - work.mRunning);
    work.mRunning += correction;
    work.mAheadMs = std::max(0.0, work.mAheadMs + correction * mean);
  }
  work.mFailureRatio =
    state.mOwnFailureRatio *
    std::exp2(-(milliseconds_f{ aNow - state.mFailureChangedAt } / kPlainFailureHalfLife));
  if (peersKnown) {
    work.mFailureRatio = std::max(work.mFailureRatio, state.mFleetFailureRatio);
  }
  if (state.mSilences.mCount > 0) {
    work.mFailureRatio = std::max(work.mFailureRatio, kSilentFailureRatio);
  }
  return work;
}

double
backend_load_tracker::RequestRate(std::string_view aBackendId, instant aNow) const
{
  const auto found = mStates.find(BackendKey(aBackendId));
  return found == mStates.end() ? 0 : found->second.mRequestRate.At(aNow);
}

milliseconds_f
backend_load_tracker::ReportDelay() const
{
  return kReportDelay + kReportDelayPerDaemon * mDaemons;
}

void
backend_load_tracker::OnFinished(backend_state& aState, double aTokens, instant aNow)
{
  while (!aState.mFinished.empty() && aNow - aState.mFinished.front().first >= kFinishedRetention) {
    aState.mFinished.pop_front();
  }
  if (aTokens > 0) {
    aState.mFinished.emplace_back(aNow, aTokens);
  }
}

double
backend_load_tracker::FinishedTokens(std::string_view aBackendId, instant aSince) const
{
  const auto found = mStates.find(BackendKey(aBackendId));
  if (found == mStates.end()) {
    return 0;
  }
  double tokens = 0;
  const auto& finished = found->second.mFinished;
  for (auto entry = finished.rbegin(); entry != finished.rend() && entry->first > aSince; ++entry) {
    tokens += entry->second;
  }
  return tokens;
}

instant
backend_load_tracker::BackoffUntil(std::string_view aBackendId) const
{
  const auto found = mStates.find(BackendKey(aBackendId));
  return found == mStates.end() ? instant{} : found->second.mBackoffUntil;
}

double
backend_load_tracker::decaying_rate::At(instant aNow) const
{
  return mPerMs * std::exp(-milliseconds_f{ aNow - mAt } / kRateDecayTime);
}

void
backend_load_tracker::decaying_rate::Add(double aAmount, instant aNow)
{
  mPerMs = At(aNow) + aAmount / kRateDecayTime.count();
  mAt = aNow;
}

backend_load_tracker::unreported_load
backend_load_tracker::UnreportedLoad(instant aNow) const
{
  const double others = (mDaemons - 1) * ReportDelay().count();
  return { others * mOwnTokenRate.At(aNow), others * mOwnRequestRate.At(aNow) };
}

std::vector<dispatched_load>
backend_load_tracker::OwnLoad(instant aNow) const
{
  std::vector<dispatched_load> work;
  for (const auto& [key, state] : mStates) {
    if (state.mOwnRunning > 0 || aNow - state.mOwnChangedAt < kReportEndedFor) {
      work.push_back(
        { key, static_cast<std::uint32_t>(std::max(0.0, state.mOwnTokens)), state.mOwnRunning, 0 });
    }
  }
  return work;
}

std::vector<backend_statistics>
backend_load_tracker::OwnStatistics(instant aNow) const
{
  std::vector<backend_statistics> records;
  for (const auto& [key, state] : mStates) {
    if (state.mOwnRunning > 0 || aNow - state.mOwnChangedAt < kReportEndedFor) {
      records.push_back(state.mRecord);
      records.back().mBackend = key;
    }
  }
  return records;
}

void
backend_load_tracker::OnPeerLoad(const dispatched_load& aOthers, instant aNow)
{
  auto& state = mStates[aOthers.mBackend];
  if (aOthers.mPrefillTokens < state.mPeerTokens) {
    OnFinished(state, state.mPeerTokens - aOthers.mPrefillTokens, aNow);
  }
  state.mPeerTokens = aOthers.mPrefillTokens;
  state.mPeerRunning = aOthers.mRunning;
  state.mPeerAt = aNow;
  state.mFleetFailureRatio = aOthers.mFailureRatio;
  state.mFleetCircuitOpen = aOthers.mCircuitOpen;
  if (aOthers.mSlowdown > 0) {
    state.mFleetSlowdown = aOthers.mSlowdown;
    mMeanLogSlowdown +=
      kReportedSlowdownWeight *
      (std::log(std::clamp(aOthers.mSlowdown, 1 / kMaxSlowdown, kMaxSlowdown)) - mMeanLogSlowdown);
  }
}

std::vector<role_change>
backend_load_tracker::ServersChangingRole(instant aNow) const
{
  std::vector<role_change> changing;
  for (const auto& [key, state] : mStates) {
    if (aNow < state.mChangingUntil) {
      const auto left =
        std::chrono::duration_cast<std::chrono::milliseconds>(state.mChangingUntil - aNow);
      changing.push_back({ key, static_cast<std::uint32_t>(left.count()) });
    }
  }
  return changing;
}

} // namespace skylarkwind
