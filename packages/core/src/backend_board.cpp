#include "skylarkwind/backend_board.h"

#include "skylarkwind/hash.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace skylarkwind {

namespace {

using milliseconds_f = std::chrono::duration<double, std::milli>;

/// Weight of a new measurement against the ones before.
constexpr double kSlowdownStep = 0.15;
constexpr double kFailureStep = 0.2;
/// The weight in the mean of all servers, for those without a measurement of their own.
constexpr double kUsualStep = 0.05;
/// Bounds against a single absurd measurement. Engines differ from the figures in the settings by
/// less.
constexpr double kMostSlowdown = 64;
/// The same for a value that other daemons tell of one server, several times a second.
constexpr double kToldStep = 0.002;
/// A closed server is tried by this many daemons in each such time, others in the next.
constexpr std::uint32_t kTriers = 1;
constexpr std::chrono::milliseconds kTrySlot{ 1'600 };
/// After this time a daemon has heard of what another one began; the time for each daemon that the
/// sums pass comes to it.
constexpr milliseconds_f kHeardAfter{ 60 };
constexpr milliseconds_f kHeardAfterEach{ 0.3 };
/// Time in which this daemon's own rate is measured.
constexpr milliseconds_f kRateLife{ 3'000 };
/// Measurements of less than this are dominated by the network.
constexpr milliseconds_f kLeastMeasured{ 10 };
/// Failures in a row that set a server aside; one refused connection is enough.
constexpr std::uint32_t kFailuresToSetAside = 3;
constexpr std::chrono::milliseconds kFirstAside{ 400 };
constexpr std::chrono::milliseconds kLongestAside{ 3'200 };
/// A server that asks for a longer time without requests gets this one, so that a wrong figure does
/// not take it out of use for good.
constexpr std::chrono::milliseconds kLongestQuiet{ 60'000 };
/// A stated load older than this says nothing of the load now.
constexpr std::chrono::milliseconds kLoadLife{ 500 };
/// Work that has ended is told as none for this long, in case a message is lost.
constexpr std::chrono::milliseconds kToldAsEnded{ 500 };

} // namespace

backend_board::backend_board(backend_board_settings aSettings)
  : mSettings(aSettings)
{
}

void
backend_board::NoteOwnChange(backend_state& aState, instant aNow)
{
  aState.mOwnChangedAt = aNow;
  ++mChanges;
}

backend_board::ticket
backend_board::Begin(std::string_view aBackendId,
                     std::uint32_t aPrefillTokens,
                     milliseconds_f aExpected,
                     instant aNow)
{
  const auto key = BackendKey(aBackendId);
  auto& state = mStates[key];
  state.mOwnTokens += aPrefillTokens;
  state.mOwnRunning += 1;
  state.mTrialOpen = true;
  NoteOwnChange(state, aNow);
  mOwnTokens.Add(aPrefillTokens, aNow);
  mOwnRequests.Add(1, aNow);
  mOpen[++mLastTicket] = { key, aPrefillTokens, aExpected, Slowdown(state), aNow, false };
  return mLastTicket;
}

void
backend_board::OnFirst(ticket aTicket, instant aNow)
{
  const auto found = mOpen.find(aTicket);
  if (found == mOpen.end() || found->second.mFirst) {
    return;
  }
  auto& work = found->second;
  auto& state = mStates[work.mBackend];
  work.mFirst = true;
  state.mOwnTokens -= work.mPrefillTokens;
  NoteOwnChange(state, aNow);
  const milliseconds_f taken = aNow - work.mBegun;
  if (work.mExpected >= kLeastMeasured) {
    const double ratio =
      std::clamp(taken / work.mExpected * work.mSlowdown, 1 / kMostSlowdown, kMostSlowdown);
    auto& record = state.mRecord;
    record.mSlowSum += std::log(ratio);
    // The first measurements count as a plain mean, so that the figures are right soon.
    const auto weight = [](double aLeast, std::uint32_t aBefore) {
      return std::max(aLeast, 1.0 / (1 + aBefore));
    };
    state.mOwnSlowLog +=
      weight(kSlowdownStep, record.mSlowCount++) * (std::log(ratio) - state.mOwnSlowLog);
    mUsualSlowLog += weight(kUsualStep, mMeasurements++) * (std::log(ratio) - mUsualSlowLog);
  }
}

void
backend_board::End(ticket aTicket, backend_outcome aOutcome, instant aNow)
{
  const auto found = mOpen.find(aTicket);
  if (found == mOpen.end()) {
    return;
  }
  auto& state = mStates[found->second.mBackend];
  if (!found->second.mFirst) {
    state.mOwnTokens -= found->second.mPrefillTokens;
  }
  state.mOwnRunning -= 1;
  mOpen.erase(found);
  NoteOwnChange(state, aNow);
  auto& outcomes = state.mRecord.mOutcomes;
  switch (aOutcome) {
    case backend_outcome::Answered:
      ++outcomes.mAnswered;
      break;
    case backend_outcome::Refused:
      ++outcomes.mRefused;
      break;
    case backend_outcome::Failed:
      ++outcomes.mFailed;
      break;
    case backend_outcome::Unreachable:
    case backend_outcome::Silent:
      ++outcomes.mLost;
      break;
    case backend_outcome::Cancelled:
      state.mTrialOpen = false;
      return;
  }
  if (aOutcome == backend_outcome::Answered || aOutcome == backend_outcome::Refused) {
    state.mTrialOpen = false;
    if (aOutcome == backend_outcome::Answered) {
      state.mFailuresInARow = 0;
      state.mFailedPart -= kFailureStep * state.mFailedPart;
    }
    return;
  }
  OnFailure(state, aOutcome != backend_outcome::Failed, aNow);
}

void
backend_board::OnFailure(backend_state& aState, bool aUnreachable, instant aNow)
{
  aState.mTrialOpen = false;
  aState.mFailuresInARow += 1;
  aState.mFailedPart += kFailureStep * (1 - aState.mFailedPart);
  const auto threshold = aUnreachable ? 1U : kFailuresToSetAside;
  if (aState.mFailuresInARow < threshold || aNow < aState.mSetAsideUntil) {
    return;
  }
  const auto doublings = std::min(aState.mFailuresInARow - threshold, 3U);
  aState.mSetAsideUntil = aNow + std::min(kLongestAside, kFirstAside * (1U << doublings));
}

void
backend_board::OnLoad(std::string_view aBackendId, const backend_load& aLoad, instant aNow)
{
  auto& state = StateOf(aBackendId);
  state.mLoad = aLoad;
  state.mLoadAt = aNow;
}

void
backend_board::OnQuiet(std::string_view aBackendId, std::chrono::milliseconds aFor, instant aNow)
{
  auto& state = StateOf(aBackendId);
  state.mQuietUntil = std::max(state.mQuietUntil, aNow + std::min(aFor, kLongestQuiet));
}

void
backend_board::OnChanging(backend_key aBackend, instant aUntil)
{
  auto& state = mStates[aBackend];
  state.mChangingUntil = std::max(state.mChangingUntil, aUntil);
}

void
backend_board::OnChanged(std::string_view aBackendId, instant aNow)
{
  auto& state = StateOf(aBackendId);
  state.mChangingUntil = std::min(state.mChangingUntil, aNow);
}

void
backend_board::Forget(std::string_view aBackendId)
{
  auto& state = StateOf(aBackendId);
  state.mFailuresInARow = 0;
  state.mFailedPart = 0;
  state.mFleetSlowdown = 0;
  state.mFleetClosed = false;
  state.mOwnSlowLog = 0;
  state.mRecord.mSlowCount = 0;
  state.mSetAsideUntil = {};
  state.mQuietUntil = {};
}

void
backend_board::SetFleet(std::uint64_t aSelf, std::uint32_t aDaemons)
{
  mSelf = aSelf;
  mDaemons = std::max(1U, aDaemons);
}

bool
backend_board::MayTry(backend_key aBackend, instant aNow) const
{
  const auto slot = aNow.time_since_epoch() / kTrySlot;
  const std::array<std::uint64_t, 3> turn{ mSelf, aBackend, static_cast<std::uint64_t>(slot) };
  const auto drawn = Hash64({ reinterpret_cast<const char*>(turn.data()), sizeof(turn) });
  return drawn % mDaemons < kTriers;
}

double
backend_board::Slowdown(const backend_state& aState) const
{
  if (aState.mFleetSlowdown > 0) {
    return aState.mFleetSlowdown;
  }
  return std::exp(aState.mRecord.mSlowCount > 0 ? aState.mOwnSlowLog : mUsualSlowLog);
}

bool
backend_board::Admits(backend_key aBackend, const backend_state& aState, instant aNow) const
{
  if (aNow < aState.mChangingUntil || aNow < aState.mQuietUntil) {
    return false;
  }
  const bool closed = aState.mFleetClosed && aNow - aState.mOthersAt < mSettings.mOthersLife;
  if (closed && (aState.mTrialOpen || !MayTry(aBackend, aNow))) {
    return false;
  }
  if (aState.mFailuresInARow == 0) {
    return true;
  }
  if (aNow < aState.mSetAsideUntil) {
    return false;
  }
  // After a time set aside one request tries the server; the others wait for its result.
  return aState.mSetAsideUntil == instant{} || !aState.mTrialOpen;
}

backend_board::view
backend_board::Look(std::string_view aBackendId, instant aNow) const
{
  const auto key = BackendKey(aBackendId);
  const auto found = mStates.find(key);
  view seen;
  if (found == mStates.end()) {
    seen.mSlowdown = std::exp(mUsualSlowLog);
    return seen;
  }
  const auto& state = found->second;
  seen.mWaitingTokens = state.mOwnTokens;
  seen.mRunning = state.mOwnRunning;
  if (aNow - state.mOthersAt < mSettings.mOthersLife) {
    seen.mWaitingTokens += state.mOthersTokens;
    seen.mRunning += state.mOthersRunning;
  }
  if (aNow - state.mLoadAt < kLoadLife) {
    seen.mRunning = std::max(seen.mRunning, state.mLoad.mWaiting);
  }
  seen.mSlowdown = Slowdown(state);
  seen.mFailedPart = state.mFailedPart;
  if (aNow - state.mOthersAt < mSettings.mOthersLife) {
    seen.mFailedPart = std::max(seen.mFailedPart, state.mFleetFailedPart);
  }
  seen.mAdmits = Admits(key, state, aNow);
  return seen;
}

instant
backend_board::QuietUntil(std::string_view aBackendId) const
{
  const auto found = mStates.find(BackendKey(aBackendId));
  return found == mStates.end() ? instant{} : found->second.mQuietUntil;
}

double
backend_board::Rate(std::optional<engine_role> aRole, double aSlowdown) const
{
  const double part = aRole == engine_role::Prefill ? 1 : mSettings.mDecodePart;
  return mSettings.mPrefillTokensPerMs * part / aSlowdown;
}

double
backend_board::recent_rate::At(instant aNow) const
{
  return mEachMs * std::exp(-milliseconds_f{ aNow - mAt } / kRateLife);
}

void
backend_board::recent_rate::Add(double aAmount, instant aNow)
{
  mEachMs = At(aNow) + aAmount / kRateLife.count();
  mAt = aNow;
}

backend_board::unseen_work
backend_board::Unseen(instant aNow) const
{
  const auto heardAfter = kHeardAfter + kHeardAfterEach * mDaemons;
  const double others = (mDaemons - 1) * heardAfter.count();
  const double rate = Rate(engine_role::Prefill, std::exp(mUsualSlowLog));
  return { others * mOwnTokens.At(aNow) / rate, others * mOwnRequests.At(aNow) };
}

std::vector<backend_work>
backend_board::OwnWork(instant aNow) const
{
  std::vector<backend_work> work;
  for (const auto& [key, state] : mStates) {
    if (state.mOwnRunning > 0 || aNow - state.mOwnChangedAt < kToldAsEnded) {
      work.push_back(
        { key, static_cast<std::uint32_t>(std::max(0.0, state.mOwnTokens)), state.mOwnRunning, 0 });
    }
  }
  return work;
}

std::vector<backend_record>
backend_board::OwnRecords(instant aNow) const
{
  std::vector<backend_record> records;
  for (const auto& [key, state] : mStates) {
    if (state.mOwnRunning > 0 || aNow - state.mOwnChangedAt < kToldAsEnded) {
      records.push_back(state.mRecord);
      records.back().mBackend = key;
    }
  }
  return records;
}

void
backend_board::OnOthers(const backend_work& aOthers, instant aNow)
{
  auto& state = mStates[aOthers.mBackend];
  state.mOthersTokens = aOthers.mPrefillTokens;
  state.mOthersRunning = aOthers.mRunning;
  state.mOthersAt = aNow;
  state.mFleetFailedPart = aOthers.mFailedPart;
  state.mFleetClosed = aOthers.mClosed;
  if (aOthers.mSlowdown > 0) {
    state.mFleetSlowdown = aOthers.mSlowdown;
    mUsualSlowLog +=
      kToldStep *
      (std::log(std::clamp(aOthers.mSlowdown, 1 / kMostSlowdown, kMostSlowdown)) - mUsualSlowLog);
  }
}

std::vector<changing_backend>
backend_board::Changing(instant aNow) const
{
  std::vector<changing_backend> changing;
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
