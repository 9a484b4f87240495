#include "exchange_p.h"

#include <algorithm>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;
using milliseconds_f = std::chrono::duration<double, std::milli>;

constexpr std::size_t kChunkBytes = 8 * 1'024;
/// Answers that are not streamed are held until they are whole.
constexpr std::size_t kMostAnswerBytes = 1'024 * 1'024;
/// The answer to a prefill holds a handle and two numbers.
constexpr std::size_t kMostPrefillBytes = 16 * 1'024;
/// The largest event, and the most comments between two; an event holds the tokens of a few steps.
constexpr std::size_t kMostEventBytes = 64 * 1'024;
/// A stream that may go on elsewhere does so when its engine is silent for longer than this and
/// than four times the route's longest pause.
constexpr milliseconds kSilenceFloor{ 700 };
constexpr int kSilenceInGaps = 4;
/// A prefill is given up after this many times its predicted time and this time. Work that is given
/// up too early is done twice.
constexpr double kPrefillLimit = 4;
constexpr milliseconds kPrefillFloor{ 1'300 };
/// Requests that may run only once use kept connections only within this time, because a server
/// may have closed its end.
constexpr milliseconds kOnceReuseWithin{ 1'000 };
constexpr milliseconds kReuseWithin{ 60'000 };
/// A computation that takes this many times as long as predicted is no longer waited for.
constexpr double kComingMargin = 1.5;

/// Whether a status says of itself that the request has not run.
bool
PromisesNotRun(int aStatus)
{
  return aStatus == 429 || aStatus == 503 || aStatus == 408 || aStatus == 421;
}

} // namespace

bool
exchange::IsForeign(const answer_head& aHead) const
{
  return !mRequest.mId.empty() && aHead.mRequestId != mRequest.mId;
}

std::uint32_t
exchange::AddedTokens(const placement& aPlacement) const
{
  return aPlacement.mComputeTokens + aPlacement.mFetchTokens;
}

void
exchange::NoteHead()
{
  mHead = mContext.mDialect.ReadAnswer(mAnswer->mStatus, mAnswer->mHeaders);
  NoteStatements(
    mHead, mTarget, mContext.mDirectory, mContext.mBoard, mContext.mWork, mContext.mClock.Now());
}

http_call
exchange::CallTo(const backend_server& aServer, const forward_attempt& aAttempt) const
{
  http_call call;
  call.mAddress = aServer.mAddress;
  call.mMethod = mRequest.mMethod;
  call.mTarget = mRequest.mTarget;
  call.mHost = mRequest.mHost;
  call.mHeaders = mContext.mDialect.AttemptHeaders(mRequest, aAttempt);
  call.mBody = mBody.Text();
  return call;
}

kj::Promise<void>
exchange::Prefill(const placement& aPlacement)
{
  const auto& engine = *aPlacement.mPrefill;
  const auto now = mContext.mClock.Now();
  mTicket =
    mContext.mBoard.Begin(engine.mId, aPlacement.mComputeTokens, aPlacement.mPrefillTime, now);
  ++mPrefills;
  mContext.mHolders.OnComing(
    engine.mId, mRequest.mGeneration->mParts, kComingMargin * aPlacement.mPrefillTime, now);
  forward_attempt attempt;
  attempt.mBackendId = engine.mId;
  attempt.mTimeLeft = TimeLeft();
  attempt.mPrefillOnly = true;
  attempt.mUrgency = std::min<std::uint32_t>(9, mRoute->mPriority + 3);
  if (aPlacement.mFetchFrom != nullptr) {
    attempt.mFetchFrom = aPlacement.mFetchFrom->mAddress;
  }
  auto call = CallTo(engine, attempt);
  auto plan = kj::heap<placement>(aPlacement);
  mTarget = engine;
  // The target is kept by value: the directory may change before the prefill ends.
  auto target = kj::heap<backend_server>(*aPlacement.mTarget);
  plan->mTarget = target.get();
  plan->mPrefill = &mTarget;
  const auto limit =
    std::max(kPrefillFloor,
             std::chrono::duration_cast<milliseconds>(kPrefillLimit * aPlacement.mPrefillTime));
  return mContext.mTimer.timeoutAfter(ToKj(limit), mContext.mPool.Call(std::move(call)))
    .then([](http_result aResult) { return aResult; },
          [](kj::Exception&&) -> http_result {
            return http_failure{ true, "the engine was silent" };
          })
    .then([this, plan = kj::mv(plan), target = kj::mv(target)](
            http_result aResult) mutable -> kj::Promise<void> {
      if (const auto* failure = std::get_if<http_failure>(&aResult)) {
        Close(failure->mSent ? backend_outcome::Silent : backend_outcome::Unreachable);
        if (!failure->mSent) {
          --mPrefills;
        }
        return OnNotRun(failure->mReason, failure->mSent);
      }
      mAnswer = std::get<std::unique_ptr<http_answer>>(std::move(aResult));
      NoteHead();
      if (IsForeign(mHead)) {
        mAnswer = nullptr;
        Close(backend_outcome::Failed);
        return OnNotRun("the answer to the prefill belongs to another request", true);
      }
      return ReadWholeBody(mAnswer->Body(), kMostPrefillBytes, mContext.mAnswerBodies)
        .then(
          [this, plan = kj::mv(plan), target = kj::mv(target)](
            held_body aText) mutable -> kj::Promise<void> {
            mContext.mPool.Release(std::move(mAnswer), mHead.mCloses, mHead.mKeepAlive);
            auto prefilled = OnPrefilled(*plan, aText.Text());
            return prefilled.attach(kj::mv(plan), kj::mv(target));
          },
          [this](kj::Exception&& aError) -> kj::Promise<void> {
            Close(backend_outcome::Failed);
            return OnNotRun(aError.getDescription().cStr(), true);
          });
    });
}

kj::Promise<void>
exchange::OnPrefilled(const placement& aPlacement, std::string_view aBody)
{
  const auto now = mContext.mClock.Now();
  auto handle = mContext.mDialect.ReadPrefillHandle(aBody);
  if (mHead.mStatus != 200 || !handle.ok()) {
    Close(mHead.mNotRun ? backend_outcome::Refused : backend_outcome::Failed);
    if (mPrefills == 1) {
      // Only an accepted first prefill is free.
      mContext.mRepeats.Note(mService->mName, now);
    }
    return OnNotRun("the prefill was refused with status " + std::to_string(mHead.mStatus), true);
  }
  mContext.mBoard.OnFirst(*mTicket, now);
  mContext.mHolders.OnKept(mTarget.mId, mRequest.mGeneration->mParts, now);
  mContext.mParts.Fire();
  mContext.mHolders.OnAdded(mTarget.mId, AddedTokens(aPlacement));
  const kv_source source{ mTarget.mAddress, *handle };
  Close(backend_outcome::Answered);
  mUntaken = source;
  mUntakenAt = mTarget.mId;
  return Send(aPlacement, source);
}

kj::Promise<void>
exchange::Send(const placement& aPlacement, std::optional<kv_source> aKv)
{
  // The server may have begun to drain, or asked for quiet, since it was chosen.
  const auto* listed = mContext.mDirectory.Find(aPlacement.mTarget->mId);
  if (listed == nullptr || listed->mDraining) {
    return OnNotRun("the chosen server has left", false);
  }
  if (mContext.mClock.Now() < mContext.mBoard.QuietUntil(listed->mId)) {
    return OnNotRun("the chosen server wants no requests for a time", false);
  }
  mTarget = *listed;
  mAddsAtTarget = 0;
  if (mRequest.mGeneration) {
    mAddsAtTarget = aKv ? mRequest.mGeneration->mPromptTokens : AddedTokens(aPlacement);
  }
  const auto now = mContext.mClock.Now();
  const bool prefilled = aKv.has_value();
  mTicket = mContext.mBoard.Begin(mTarget.mId,
                                  prefilled ? 0 : aPlacement.mComputeTokens,
                                  prefilled ? milliseconds_f{ 0 } : aPlacement.mPrefillTime,
                                  now);
  forward_attempt attempt;
  attempt.mBackendId = mTarget.mId;
  attempt.mTimeLeft = TimeLeft();
  attempt.mResumeAfter = mEvents.LastId().empty() ? mRequest.mResumeAfter : mEvents.LastId();
  attempt.mKv = std::move(aKv);
  if (mRequest.mGeneration) {
    if (!prefilled) {
      mContext.mHolders.OnComing(
        mTarget.mId, mRequest.mGeneration->mParts, kComingMargin * aPlacement.mPrefillTime, now);
    }
    attempt.mUrgency = std::min<std::uint32_t>(9, mRoute->mPriority + 3);
    if (!prefilled && aPlacement.mFetchFrom != nullptr) {
      attempt.mFetchFrom = aPlacement.mFetchFrom->mAddress;
    }
  }
  auto call = CallTo(mTarget, attempt);
  call.mReuseWithin = mRoute->MayRepeat() ? kReuseWithin : kOnceReuseWithin;
  ++mSends;
  auto calling = mContext.mPool.Call(std::move(call)).then([this](http_result aResult) {
    return OnAnswer(std::move(aResult));
  });
  return calling;
}

kj::Promise<void>
exchange::OnAnswer(http_result aResult)
{
  if (const auto* failure = std::get_if<http_failure>(&aResult)) {
    const bool sent = failure->mSent;
    Close(sent ? backend_outcome::Failed : backend_outcome::Unreachable);
    if (!sent) {
      --mSends;
      return OnNotRun(failure->mReason, false);
    }
    mMayHaveRun = true;
    return OnBroken(failure->mReason);
  }
  mAnswer = std::get<std::unique_ptr<http_answer>>(std::move(aResult));
  NoteHead();
  if (IsForeign(mHead)) {
    mMayHaveRun = true;
    mAnswer = nullptr;
    Close(backend_outcome::Failed);
    return OnBroken("the answer belongs to another request");
  }
  const bool success = mHead.mStatus / 100 == 2;
  if (success && !mHead.mSigned) {
    mMayHaveRun = true;
    mAnswer = nullptr;
    Close(backend_outcome::Failed);
    return OnBroken("the answer carries no signature");
  }
  if (success && mRoute->mKind == route_kind::Streaming) {
    mMayHaveRun = true;
    mUntaken.reset();
    mChunk = kj::heapArray<kj::byte>(kChunkBytes);
    mLastEventAt = mContext.mClock.Now();
    mBytesWithoutEvent = 0;
    return StreamFurther();
  }
  mMayHaveRun = mMayHaveRun || !mHead.mNotRun;
  return ReadWholeBody(mAnswer->Body(), kMostAnswerBytes, mContext.mAnswerBodies)
    .then(
      [this](held_body aBody) {
        mContext.mBoard.OnFirst(*mTicket, mContext.mClock.Now());
        mContext.mPool.Release(std::move(mAnswer), mHead.mCloses, mHead.mKeepAlive);
        return OnWholeAnswer(mHead, aBody.Text());
      },
      [this](kj::Exception&& aError) -> kj::Promise<void> {
        mAnswer = nullptr;
        Close(backend_outcome::Failed);
        if (mHead.mNotRun) {
          return OnNotRun("a refusal broke off", true);
        }
        return OnBroken(aError.getDescription().cStr());
      });
}

kj::Promise<void>
exchange::OnWholeAnswer(const answer_head& aHead, std::string aBody)
{
  if (aHead.mNotRun) {
    Close(backend_outcome::Refused);
    return OnNotRun("the server refused with status " + std::to_string(aHead.mStatus), true);
  }
  const bool failed = aHead.mStatus >= 500;
  Close(failed ? backend_outcome::Failed : backend_outcome::Answered);
  if (failed && mRoute->MayRepeat() && MayTryAgain()) {
    mAvoid.push_back(mTarget.mId);
    LogEnd("repeat", "status " + std::to_string(aHead.mStatus));
    return Attempt();
  }
  if (mAnswerBegun) {
    return OnBroken("a resumed stream ended with status " + std::to_string(aHead.mStatus));
  }
  // The request may have run, so a status that promises the opposite is not passed on.
  if (PromisesNotRun(aHead.mStatus)) {
    return Fail(502, "the server refused without saying that it did not run the request");
  }
  LogEnd("answered", "status " + std::to_string(aHead.mStatus));
  return Reply(static_cast<unsigned int>(aHead.mStatus), {}, aHead.mHeaders, std::move(aBody));
}

kj::Promise<void>
exchange::StreamFurther()
{
  auto reading = mAnswer->Body().tryRead(mChunk.begin(), 1, mChunk.size());
  const auto* listed = mContext.mDirectory.Find(mTarget.mId);
  const bool waits = mRoute->MayRepeat() && mSends < mRoute->mMaxBackends && listed != nullptr;
  auto guarded = kj::mv(reading);
  if (waits) {
    // Only whole events are progress: a stalled engine may still send comments or parts of one.
    const auto limit = std::max(kSilenceFloor, mRoute->mMaxGap * kSilenceInGaps);
    const auto whole = mEvents.Events() == 0 ? limit + mRoute->mTarget : limit;
    const auto silent =
      std::chrono::duration_cast<milliseconds>(mContext.mClock.Now() - mLastEventAt);
    guarded = mContext.mTimer.timeoutAfter(ToKj(std::max(milliseconds{ 0 }, whole - silent)),
                                           kj::mv(guarded));
  }
  return guarded.then(
    [this](size_t aBytes) -> kj::Promise<void> {
      if (aBytes == 0) {
        return OnStreamEnd();
      }
      const auto before = mEvents.Events();
      const auto whole = mEvents.Feed({ reinterpret_cast<const char*>(mChunk.begin()), aBytes });
      mBytesWithoutEvent += aBytes;
      if (mEvents.Events() > before) {
        mBytesWithoutEvent = 0;
        OnEvents(before == 0);
      }
      if (mBytesWithoutEvent > kMostEventBytes || mEvents.Rest().size() > kMostEventBytes) {
        mAnswer = nullptr;
        Close(backend_outcome::Failed);
        return OnBroken("the stream sends bytes without events");
      }
      if (whole.empty() || (!mAnswerBegun && mEvents.Events() == 0)) {
        return StreamFurther();
      }
      if (!mAnswerBegun) {
        mAnswerBegun = true;
        mOut = mResponse.send(static_cast<unsigned int>(mHead.mStatus),
                              ToKj(mAnswer->mStatusText),
                              ToKj(mHead.mHeaders, mContext.mTable));
      }
      return mOut->write(whole.data(), whole.size()).then([this] { return StreamFurther(); });
    },
    [this](kj::Exception&& aError) -> kj::Promise<void> {
      mAnswer = nullptr;
      Close(aError.getType() == kj::Exception::Type::OVERLOADED ? backend_outcome::Silent
                                                                : backend_outcome::Failed);
      return OnBroken(aError.getDescription().cStr());
    });
}

void
exchange::OnEvents(bool aFirst)
{
  const auto now = mContext.mClock.Now();
  mContext.mBoard.OnFirst(*mTicket, now);
  if (mFirstAt) {
    mLongestGap = std::max(mLongestGap, now - mLastEventAt);
  }
  mFirstAt = mFirstAt.value_or(now);
  mLastEventAt = now;
  if (aFirst && mRequest.mGeneration) {
    mContext.mHolders.OnAdded(mTarget.mId, mAddsAtTarget);
    mContext.mHolders.OnKept(mTarget.mId, mRequest.mGeneration->mParts, now);
    mContext.mParts.Fire();
  }
}

kj::Promise<void>
exchange::OnStreamEnd()
{
  if (!mEvents.Rest().empty() || !mAnswerBegun) {
    mAnswer = nullptr;
    Close(backend_outcome::Failed);
    return OnBroken("the stream ended within an event");
  }
  mContext.mPool.Release(std::move(mAnswer), mHead.mCloses, mHead.mKeepAlive);
  Close(backend_outcome::Answered);
  LogEnd("answered", "stream");
  mOut = nullptr;
  return kj::READY_NOW;
}

void
exchange::ReleaseUntaken()
{
  if (!mUntaken) {
    return;
  }
  const auto* engine = mContext.mDirectory.Find(mUntakenAt);
  if (engine == nullptr || engine->mDraining ||
      mContext.mClock.Now() < mContext.mBoard.QuietUntil(mUntakenAt)) {
    // The engine drops the cache by itself when it has left, or at the end of the handle's life.
    mUntaken.reset();
    return;
  }
  auto release = mContext.mDialect.ReleaseHandle(mUntaken->mHandle);
  http_call call;
  call.mAddress = mUntaken->mAddress;
  call.mHost = mUntaken->mAddress;
  call.mMethod = std::move(release.mMethod);
  call.mTarget = std::move(release.mPath);
  mUntaken.reset();
  auto calling = mContext.mPool.Call(std::move(call)).then([](const http_result&) {
    // Whatever the answer, the engine drops the cache by itself at the end of the handle's life.
  });
  mContext.mTasks.add(
    mContext.mTimer.timeoutAfter(ToKj(kSilenceFloor), kj::mv(calling)).catch_([](kj::Exception&&) {
      // The same holds when no answer comes.
    }));
}

} // namespace skylarkwind
