#include "skylarkwind/singleton_task.h"

#include "skylarkwind/store_position.h"

#include <algorithm>
#include <utility>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// Interval between reads of the record while work is due.
constexpr milliseconds kReadPeriod{ 700 };
/// Interval between reads while none is due, so that a daemon that has to act already knows for how
/// long the record has been unchanged.
constexpr milliseconds kIdleReadPeriod{ 1'000 };
/// Daemons that read the record regularly, including the one that acts.
constexpr std::size_t kStandbys = 3;
/// How long after the start of a confirmed write its holder may make calls.
constexpr milliseconds kCallWindow{ 1'000 };
/// A call to the store without an answer is abandoned after this time.
constexpr milliseconds kStoreCallTimeout{ 2'000 };
/// Allows for the network transit of the previous holder's last call.
constexpr milliseconds kTransitMargin{ 600 };

} // namespace

singleton_task::singleton_task(singleton_task_settings aSettings)
  : mSettings(std::move(aSettings))
{
}

std::optional<std::uint64_t>
singleton_task::Token(instant aNow) const
{
  return mIsHolder && aNow < mCallsUntil ? std::optional{ mOwnToken } : std::nullopt;
}

void
singleton_task::SetState(std::string aState)
{
  if (mIsHolder) {
    mWantedState = std::move(aState);
  }
}

bool
singleton_task::IsOwn() const
{
  return mOwnToken != 0 && mObserved && mObserved->mHolder == mSettings.mSelf &&
         mObserved->mFencing == mOwnToken;
}

bool
singleton_task::MayWrite(instant aNow) const
{
  if (IsOwn()) {
    return true;
  }
  if (mIsAbsent && !mWasRestored) {
    // Trusted only after a recent read: the record may have been created since.
    return aNow - mReadAt < kReadPeriod;
  }
  return (mObserved || mIsAbsent) &&
         aNow - mObservedAt >= kCallWindow + mSettings.mLease + kTransitMargin;
}

write_task
singleton_task::MakeWrite(instant aNow)
{
  if (!IsOwn()) {
    mIsHolder = false;
    mWantedState.reset();
    // Derived from stored tokens alone: a token that grew with each lost write would exceed the
    // revision of its own write, which readers take for a damaged record.
    mOwnToken = std::max(mHighestToken + 1, mObserved ? mObserved->mRevision : 0);
  }
  write_task write;
  write.mCall = ++mLastCall;
  write.mRevision = mObserved ? mObserved->mRevision : 0;
  write.mFencing = mOwnToken;
  write.mState = mWantedState.value_or(mObserved ? mObserved->mState : std::string{});
  mPending = pending_call{ write.mCall, write, aNow };
  return write;
}

std::optional<task_action>
singleton_task::OnTick(std::size_t aRank, bool aDue, instant aNow)
{
  if (mPending && aNow - mPending->mStartedAt >= kStoreCallTimeout) {
    if (mPending->mWrite) {
      // The store may still execute an abandoned write.
      Forget();
    }
    mPending.reset();
  }
  if (mPending || aRank >= kStandbys) {
    return std::nullopt;
  }
  const bool acts = aRank == 0 && aDue;
  if (acts && (!Token(aNow) || HasNewState()) && MayWrite(aNow)) {
    return MakeWrite(aNow);
  }
  if (Token(aNow) || aNow - mReadAt < (acts ? kReadPeriod : kIdleReadPeriod)) {
    return std::nullopt;
  }
  mPending = pending_call{ ++mLastCall, std::nullopt, aNow };
  return read_task{ mLastCall };
}

std::optional<singleton_task::pending_call>
singleton_task::TakeCall(task_call_id aCall)
{
  if (!mPending || mPending->mCall != aCall) {
    return std::nullopt;
  }
  return std::exchange(mPending, std::nullopt);
}

void
singleton_task::Forget()
{
  mCallsUntil = {};
  mIsHolder = false;
  mWantedState.reset();
  mIsAbsent = false;
  mObserved.reset();
  mReadAt = {};
}

void
singleton_task::OnRead(task_call_id aCall,
                       const std::optional<task_record>& aRecord,
                       bool aFailed,
                       instant aNow)
{
  // Also of an abandoned read: the store has had this token.
  mHighestToken = std::max(mHighestToken, aRecord ? aRecord->mFencing : 0);
  const bool isAwaited = TakeCall(aCall).has_value();
  if (aRecord) {
    NoticeEra(aRecord->mRevision, aNow);
  }
  if (!isAwaited || aFailed || (aRecord && EraOf(aRecord->mRevision) < mEra)) {
    return;
  }
  mReadAt = aNow;
  const bool isNew =
    aRecord ? !mObserved || mObserved->mRevision != aRecord->mRevision : !mIsAbsent;
  mIsAbsent = !aRecord;
  mObserved = aRecord;
  mStoredState = aRecord ? aRecord->mState : std::string{};
  if (isNew) {
    mObservedAt = aNow;
  }
}

void
singleton_task::OnWritten(task_call_id aCall,
                          const std::optional<std::uint64_t>& aRevision,
                          instant aNow)
{
  const auto call = TakeCall(aCall);
  // In a restored store, the write may have replaced a record of another holder that has been given
  // the revision of an earlier one.
  if ((aRevision && NoticeEra(*aRevision, aNow)) || !call || !call->mWrite) {
    return;
  }
  if (!aRevision || EraOf(*aRevision) < mEra) {
    // Either the outcome of the write is unknown or another daemon wrote first: read again.
    Forget();
    return;
  }
  mTerm += mIsHolder ? 0 : 1;
  mIsHolder = true;
  mHighestToken = std::max(mHighestToken, mOwnToken);
  mObserved = task_record{ *aRevision, mSettings.mSelf, mOwnToken, call->mWrite->mState };
  mStoredState = call->mWrite->mState;
  mIsAbsent = false;
  mObservedAt = aNow;
  mReadAt = aNow;
  // Measured from the start of the write, since others may have observed the revision from then on.
  mCallsUntil = call->mStartedAt + kCallWindow;
}

void
singleton_task::OnStoreRestored(std::uint64_t aFirstToken, instant aNow)
{
  Forget();
  mPending.reset();
  // The record may be one of this daemon from before another one held the task.
  mOwnToken = 0;
  mWasRestored = true;
  mEra = std::max(mEra, EraOf(aFirstToken));
  mHighestToken = std::max(mHighestToken, aFirstToken);
  mObservedAt = aNow;
}

bool
singleton_task::NoticeEra(std::uint64_t aRevision, instant aNow)
{
  if (EraOf(aRevision) <= mEra) {
    return false;
  }
  OnStoreRestored(StartOfEra(EraOf(aRevision)), aNow);
  return true;
}

} // namespace skylarkwind
