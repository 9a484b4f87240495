#include "distribution_p.h"

#include "document_version_p.h"
#include "skylarkwind/hash.h"

#include <algorithm>
#include <utility>

namespace skylarkwind {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kRankPeriod{ 250 };

/// How long a call may stay open beyond the time that the platform was asked to wait.
constexpr milliseconds kCallMargin{ 10'000 };

// Full jitter between 0 and a limit that doubles with each failure. The cap leaves room within the
// 6 s until an edit is in force everywhere.
constexpr milliseconds kFirstBackoff{ 200 };
constexpr milliseconds kLongestBackoff{ 3'000 };

/// Between two successful calls, so that a platform that answers watches at once costs little.
constexpr milliseconds kCallGap{ 50 };

/// An object that does not exist cannot be watched; it is asked for again.
constexpr milliseconds kMissingPeriod{ 2'000 };

/// Ticks arrive every 20 ms; a longer gap means that the process did not run.
constexpr milliseconds kPause{ 300 };

/// A daemon that has heard of no other one for this long takes itself for the first one.
constexpr milliseconds kAloneAfter{ 2'000 };

/// After this many watches without a change the object is read once, because a platform restored
/// to older data without an outage never wakes a watch that waits for a higher object version.
constexpr std::uint32_t kUnchangedBeforeRead = 4;

} // namespace

void
distribution_core::UpdateRank(instant aNow)
{
  if (aNow < mNextRankAt) {
    return;
  }
  mNextRankAt = aNow + kRankPeriod;
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
  const bool wasWatcher = mRank.has_value();
  mRank = rank < mSettings.mWatchersPerDataCentre ? std::optional{ rank } : std::nullopt;
  if (mRank && !wasWatcher) {
    for (auto& state : mStates) {
      // What this daemon knew of the platform is old by now.
      state.mReadNext = true;
      state.mNextCallAt = std::max(state.mNextCallAt, aNow + Jitter(kFirstBackoff));
    }
  }
}

void
distribution_core::ReadAfterPause(instant aNow)
{
  // A platform that was restored and edited meanwhile may have reached the object version that the
  // next watch would wait for, so that only a read shows the change.
  if (aNow - std::exchange(mLastTick, aNow) > kPause) {
    for (auto& state : mStates) {
      state.mReadNext = true;
    }
  }
}

bool
distribution_core::MayAskPlatform(instant aNow) const
{
  // A platform that was restored must not put an older table in force at a daemon that starts, so
  // the daemon first hears from a peer what is in force.
  return mRank && (mMembers.Live().size() > 1 || aNow >= *mStartedAt + kAloneAfter);
}

bool
distribution_core::ReadsSlowly(const document_state& aState) const
{
  // Other data centres' fleet objects come from their daemons, except while none of them is known.
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
  aState.mOpenCall = ++mPlatformCalls;
  const call_id call{ part::Configuration, aState.mOpenCall };
  if (aState.mReadNext || !IsOwn(aState)) {
    aState.mCallExpiresAt = aNow + kCallMargin;
    aOut.push_back(call_platform{ call, read_object{ aState.mDocument.mKey } });
    return;
  }
  aState.mCallExpiresAt = aNow + mSettings.mWatchWait + kCallMargin;
  aOut.push_back(call_platform{
    call, watch_object{ aState.mDocument.mKey, aState.mObjectVersion, mSettings.mWatchWait } });
}

void
distribution_core::NoteBehind(document_state& aState, bool aBehind, effect_list& aOut)
{
  if (std::exchange(aState.mBehind, aBehind) == aBehind) {
    return;
  }
  const auto& name = aState.mDocument.mName;
  if (aBehind) {
    aOut.push_back(log_line{ log_level::Error,
                             "distribution",
                             "the platform holds an older " + name + " than version " +
                               std::to_string(VersionOf(aState)) + ", which stays in force" });
  } else {
    aOut.push_back(
      log_line{ log_level::Info, "distribution", "the platform has caught up with " + name });
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
  if (before == 0 && found.ok() && *found < aState.mWanted) {
    // A peer has a newer one, which is pulled. Should that fail, this one is better than none.
    NoteBehind(aState, true, aOut);
    aState.mReadNext = true;
    aState.mNextCallAt = aNow + kFirstBackoff + Jitter(kFirstBackoff);
    return;
  }
  const auto offered = Offer(aState, aFound.mValue, "the platform", aNow, aOut);
  aState.mRefusedHash = offered == acceptance::Refused ? hash : 0;
  if (offered == acceptance::Newer) {
    NoteBehind(aState, false, aOut);
    SchedulePush(aState, aNow);
  } else if (offered == acceptance::NotNewer) {
    NoteBehind(aState, found.ok() && *found < before, aOut);
  }
}

void
distribution_core::OnMissing(document_state& aState, instant aNow, effect_list& aOut)
{
  aState.mObjectVersion = 0;
  if (IsOwn(aState)) {
    aState.mNextCallAt = aNow + kMissingPeriod / 2 + Jitter(kMissingPeriod);
  }
  if (aState.mCurrent) {
    NoteBehind(aState, true, aOut);
  }
}

void
distribution_core::OnFailure(document_state& aState, instant aNow)
{
  mPlatformAway = true;
  aState.mReadNext = true;
  aState.mUnchanged = 0;
  const auto doublings = std::min<std::uint32_t>(aState.mFailures++, 10);
  aState.mNextCallAt = aNow + Jitter(std::min(kFirstBackoff * (1U << doublings), kLongestBackoff));
}

void
distribution_core::OnPlatformReply(const platform_replied& aReply, instant aNow, effect_list& aOut)
{
  const auto found = std::find_if(mStates.begin(), mStates.end(), [&](const auto& aState) {
    return aState.mOpenCall != 0 && aState.mOpenCall == aReply.mCall.mNumber;
  });
  if (found == mStates.end()) {
    return;
  }
  auto& state = *found;
  state.mOpenCall = 0;
  const bool wasRead = std::exchange(state.mReadNext, false);
  if (std::holds_alternative<platform_refused>(aReply.mResult) ||
      std::holds_alternative<platform_no_answer>(aReply.mResult)) {
    OnFailure(state, aNow);
    return;
  }
  mPlatformAway = false;
  state.mFailures = 0;
  state.mNextCallAt =
    aNow + (IsOwn(state) ? milliseconds{ kCallGap }
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
