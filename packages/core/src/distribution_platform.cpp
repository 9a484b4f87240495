#include "distribution_p.h"

#include "document_version_p.h"
#include "skylarkwind/hash.h"

#include <algorithm>
#include <utility>

namespace skylarkwind {
namespace {

using std::chrono::milliseconds;

/// Interval at which the watchers are ranked again.
constexpr milliseconds kRankingPeriod{ 250 };

/// How long a call may stay pending beyond the time that the platform was asked to wait.
constexpr milliseconds kCallMargin{ 10'000 };

// Exponential back-off with full jitter: between 0 and a limit that doubles with each failure. The
// cap fits into the 6 s within which an edit must be in force everywhere.
constexpr milliseconds kInitialBackoff{ 200 };
constexpr milliseconds kMaxBackoff{ 3'000 };

/// Pause after a successful call; bounds the load when the platform returns watches at once.
constexpr milliseconds kMinCallInterval{ 50 };

/// An object that does not exist cannot be watched; it is polled at about this interval.
constexpr milliseconds kMissingRetryPeriod{ 2'000 };

/// Ticks arrive every 20 ms; a gap above this limit means that the process was paused.
constexpr milliseconds kPauseThreshold{ 300 };

/// A daemon that has found no other one within this time after its start assumes that it is the
/// first.
constexpr milliseconds kSoloStartDelay{ 2'000 };

/// After this many watches without a change the object is read once: a platform that is restored to
/// older data without an outage never completes a watch for a higher object version.
constexpr std::uint32_t kUnchangedBeforeRead = 4;

} // namespace

void
distribution_core::UpdateWatcherRank(instant aNow)
{
  if (aNow < mNextRankingAt) {
    return;
  }
  mNextRankingAt = aNow + kRankingPeriod;
  // One ranking for all documents: the same daemons watch the table and their fleet object.
  const auto& dataCentre = mMembers.Location().mDataCentre;
  const auto own = RendezvousScore(dataCentre, mMembers.Self().mVm);
  std::uint32_t rank = 0;
  for (const auto& member : mMembers.Live()) {
    if (member.mLocation.mDataCentre == dataCentre && member.mProcess != mMembers.Self() &&
        RendezvousScore(dataCentre, member.mProcess.mVm) > own) {
      ++rank;
    }
  }
  const bool wasWatcher = mWatcherRank.has_value();
  mWatcherRank = rank < mSettings.mWatchersPerDataCentre ? std::optional{ rank } : std::nullopt;
  if (mWatcherRank && !wasWatcher) {
    for (auto& state : mStates) {
      // The platform state that this daemon last read is out of date.
      state.mReadNext = true;
      state.mNextCallAt = std::max(state.mNextCallAt, aNow + Jitter(kInitialBackoff));
    }
  }
}

void
distribution_core::ReadAfterPause(instant aNow)
{
  // If the platform was restored and edited during the pause, its object version may equal the last
  // one read here, so that a watch would miss the change; a read shows it.
  if (aNow - std::exchange(mLastTick, aNow) > kPauseThreshold) {
    for (auto& state : mStates) {
      state.mReadNext = true;
    }
  }
}

bool
distribution_core::MayCallPlatform(instant aNow) const
{
  // A restored platform must not put an older table in force at a starting daemon, so the daemon
  // first learns from a peer which version is in force.
  return mWatcherRank && (mMembers.Live().size() > 1 || aNow >= *mStartedAt + kSoloStartDelay);
}

bool
distribution_core::IsPolledSlowly(const document_state& aState) const
{
  // Fleet objects of other data centres are pushed by their daemons. They are polled only until the
  // first version is known and while no daemon of that data centre is live.
  if (!aState.mCurrent) {
    return true;
  }
  const auto live = mMembers.Live();
  return std::none_of(live.begin(), live.end(), [&](const member_update& aMember) {
    return aMember.mLocation.mDataCentre == aState.mDataCentre;
  });
}

void
distribution_core::CallPlatform(document_state& aState, instant aNow, effect_list& aOut)
{
  aState.mPendingCall = ++mPlatformCalls;
  const call_id call{ part::Configuration, aState.mPendingCall };
  if (aState.mReadNext || !IsLocal(aState)) {
    aState.mCallExpiresAt = aNow + kCallMargin;
    aOut.push_back(call_platform{ call, read_object{ aState.mDocument.mKey } });
    return;
  }
  aState.mCallExpiresAt = aNow + mSettings.mWatchWait + kCallMargin;
  aOut.push_back(call_platform{
    call, watch_object{ aState.mDocument.mKey, aState.mObjectVersion, mSettings.mWatchWait } });
}

void
distribution_core::SetPlatformStale(document_state& aState, bool aStale, effect_list& aOut)
{
  if (std::exchange(aState.mPlatformStale, aStale) == aStale) {
    return;
  }
  const auto& name = aState.mDocument.mName;
  if (aStale) {
    aOut.push_back(log_line{ log_level::Error,
                             "distribution",
                             "the platform returned an older " + name + " than version " +
                               std::to_string(VersionOf(aState)) +
                               "; keeping that version in force" });
  } else {
    aOut.push_back(log_line{
      log_level::Info, "distribution", "the platform no longer returns an older " + name });
  }
}

void
distribution_core::OnFound(document_state& aState,
                           const object_found& aFound,
                           instant aNow,
                           effect_list& aOut)
{
  aState.mObjectVersion = aFound.mVersion;
  const auto hash = Hash64(aFound.mValue);
  if (hash == aState.mRefusedHash) {
    return;
  }
  const auto before = VersionOf(aState);
  const auto found = DocumentVersion(aState.mDocument.mName, aFound.mValue);
  if (before == 0 && found.ok() && *found < aState.mPullVersion) {
    // A newer version is being pulled from a peer. If that fails, the next read accepts this one,
    // which is better than none.
    SetPlatformStale(aState, true, aOut);
    aState.mReadNext = true;
    aState.mNextCallAt = aNow + kInitialBackoff + Jitter(kInitialBackoff);
    return;
  }
  const auto offered = ApplyIfNewer(aState, aFound.mValue, "the platform", aNow, aOut);
  aState.mRefusedHash = offered == apply_result::Refused ? hash : 0;
  if (offered == apply_result::Newer) {
    SetPlatformStale(aState, false, aOut);
    SchedulePush(aState, aNow);
  } else if (offered == apply_result::NotNewer) {
    SetPlatformStale(aState, found.ok() && *found < before, aOut);
  }
}

void
distribution_core::OnMissing(document_state& aState, instant aNow, effect_list& aOut)
{
  aState.mObjectVersion = 0;
  if (IsLocal(aState)) {
    aState.mNextCallAt = aNow + kMissingRetryPeriod / 2 + Jitter(kMissingRetryPeriod);
  }
  if (aState.mCurrent) {
    SetPlatformStale(aState, true, aOut);
  }
}

void
distribution_core::OnFailure(document_state& aState, instant aNow)
{
  mPlatformUnreachable = true;
  aState.mReadNext = true;
  aState.mUnchanged = 0;
  const auto doublings = std::min<std::uint32_t>(aState.mFailures++, 10);
  aState.mNextCallAt = aNow + Jitter(std::min(kInitialBackoff * (1U << doublings), kMaxBackoff));
}

void
distribution_core::OnPlatformReply(const platform_replied& aReply, instant aNow, effect_list& aOut)
{
  const auto found = std::find_if(mStates.begin(), mStates.end(), [&](const auto& aState) {
    return aState.mPendingCall != 0 && aState.mPendingCall == aReply.mCall.mNumber;
  });
  if (found == mStates.end()) {
    return;
  }
  auto& state = *found;
  state.mPendingCall = 0;
  const bool wasRead = std::exchange(state.mReadNext, false);
  if (std::holds_alternative<platform_refused>(aReply.mResult) ||
      std::holds_alternative<platform_outcome_unknown>(aReply.mResult)) {
    OnFailure(state, aNow);
    return;
  }
  mPlatformUnreachable = false;
  state.mFailures = 0;
  state.mNextCallAt =
    aNow + (IsLocal(state) ? milliseconds{ kMinCallInterval }
                           : mSettings.mWatchWait / 2 + Jitter(mSettings.mWatchWait));
  if (const auto* object = std::get_if<object_found>(&aReply.mResult)) {
    state.mUnchanged = 0;
    OnFound(state, *object, aNow, aOut);
  } else if (std::holds_alternative<object_missing>(aReply.mResult)) {
    OnMissing(state, aNow, aOut);
  } else if (!wasRead && ++state.mUnchanged >= kUnchangedBeforeRead) {
    state.mUnchanged = 0;
    state.mReadNext = true;
  }
}

} // namespace skylarkwind
