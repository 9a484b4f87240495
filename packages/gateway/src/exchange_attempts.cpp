#include "exchange_p.h"

#include <algorithm>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;
using milliseconds_f = std::chrono::duration<double, std::milli>;

/// Responses that are not streamed are buffered until they are complete.
constexpr std::size_t kMaxResponseBytes = 1'024 * 1'024;
/// Limit of the call that frees a KV cache.
constexpr milliseconds kReleaseTimeout{ 700 };
/// Requests that must not be retried reuse only connections that were idle for less than this time,
/// because a server may have closed its end.
constexpr milliseconds kMaxIdleForNonRetryable{ 1'000 };
constexpr milliseconds kMaxIdleForRetryable{ 60'000 };

/// Service times are learnt from requests that were expected to wait for less than this part of it.
constexpr double kMaxWaitShare = 0.25;

/// Whether a caller would take the status to mean that the request was not executed.
bool
StatusImpliesNotExecuted(int aStatus)
{
  return aStatus == 429 || aStatus == 503 || aStatus == 408 || aStatus == 421;
}

} // namespace

bool
exchange::BelongsToOtherRequest(const response_head& aHead) const
{
  return !mRequest.mId.empty() && aHead.mRequestId != mRequest.mId;
}

std::uint32_t
exchange::AddedTokens(const placement& aPlacement) const
{
  return aPlacement.mComputeTokens + aPlacement.mFetchTokens;
}

std::uint32_t
exchange::EnginePriority() const
{
  // A stream that is resumed goes ahead of those that have not begun.
  constexpr std::uint32_t kNotBegun = 3;
  constexpr std::uint32_t kLeastUrgent = 9;
  const auto priority =
    mAccount != nullptr && mAccount->mPriority ? *mAccount->mPriority : mRoute->mPriority;
  return std::min(kLeastUrgent,
                  std::min(kLeastUrgent, priority) + (mResponse.Started() ? 0 : kNotBegun));
}

void
exchange::ReadResponseHead()
{
  mAttempt->mResponseHead = mContext.mProtocolAdapter.ParseResponse(
    mAttempt->mBackendResponse->mStatus, mAttempt->mBackendResponse->mHeaders);
  if (BelongsToOtherRequest(mAttempt->mResponseHead)) {
    // Its load, back-off and leaving may be of an earlier time, too.
    return;
  }
  ApplyServerSignals(mAttempt->mResponseHead,
                     mAttempt->mTarget,
                     mContext.mDirectory,
                     mContext.mLoadTracker,
                     mContext.mLoadExchange,
                     mContext.mClock.Now());
}

http_call
exchange::BuildCall(const backend_server& aServer, forward_attempt aAttempt) const
{
  aAttempt.mHasAccounts = mConfiguration->mAccounts.has_value();
  if (mAccount != nullptr) {
    aAttempt.mAccount = mAccount->mName;
  }
  http_call call;
  call.mAddress = aServer.mAddress;
  call.mMethod = mRequest.mMethod;
  call.mTarget = mRequest.mTarget;
  call.mHost = mRequest.mHost;
  call.mHeaders = mContext.mProtocolAdapter.MakeAttemptHeaders(mRequest, aAttempt);
  call.mBody = mBody.Text();
  call.mEchoedId = mRequest.mId;
  call.mSendBy = mDeadline;
  if (mRequest.mId.empty()) {
    // No response to this request could be told from a repeated one to an earlier request.
    call.mMaxIdleForReuse = milliseconds{ 0 };
  }
  return call;
}

void
exchange::LearnPromptTime(const placement& aPlacement, instant aNow)
{
  auto& model = mContext.mEngineModels.At(mService->mName);
  const milliseconds_f taken = aNow - mAttempt->mSentAt;
  if (mAttempt->mTargetFetches) {
    model.OnFetchedStreamStarted((taken - aPlacement.mHandoverTime).count());
    return;
  }
  model.OnPromptComputed(mAttempt->mTarget.mRole,
                         static_cast<double>(aPlacement.mComputeTokens) + aPlacement.mQueuedTokens,
                         (taken - aPlacement.mFetchTime).count());
}

void
exchange::LearnServiceTime()
{
  const auto& placed = mAttempt->mPlacement;
  if (!placed.mService || placed.mWait.count() > kMaxWaitShare * placed.mService->MedianMs()) {
    return;
  }
  const auto now = mContext.mClock.Now();
  const milliseconds_f taken = now - mAttempt->mSentAt;
  mContext.mRequestCost.OnServed(mRoute->mName, AccountName(), taken / placed.mWorkTime, now);
}

std::string_view
exchange::AccountName() const
{
  return mAccount != nullptr ? std::string_view{ mAccount->mName } : std::string_view{};
}

kj::Promise<exchange_end>
exchange::OnPrefilled(const placement& aPlacement, std::string_view aBody)
{
  const auto now = mContext.mClock.Now();
  auto handle = mContext.mProtocolAdapter.ParsePrefillHandle(aBody);
  if (mAttempt->mResponseHead.mStatus != 200 || !handle.ok()) {
    CloseAttempt(mAttempt->mResponseHead.mNotExecuted ? backend_outcome::Refused
                                                      : backend_outcome::Failed);
    if (mPrefillsSent == 1) {
      // A first prefill costs no retry budget, but only if the engine accepts it.
      mContext.mRetryBudget.RecordRetry(mService->mName, now);
    }
    return OnNotExecuted("the prefill was refused with status " +
                           std::to_string(mAttempt->mResponseHead.mStatus),
                         true);
  }
  mContext.mLoadTracker.OnFirstResponse(*mAttempt->mTicket, now);
  LearnPromptTime(aPlacement, now);
  mContext.mPrefixCacheIndex.OnCached(mAttempt->mTarget.mId, mRequest.mGeneration->mSegments, now);
  mContext.mPrefixUpdates.Notify();
  mContext.mPrefixCacheIndex.OnTokensAdded(mAttempt->mTarget.mId, AddedTokens(aPlacement));
  const kv_source source{ mAttempt->mTarget.mAddress, *handle };
  CloseAttempt(backend_outcome::Answered);
  mUnusedKv = source;
  mUnusedKvEngine = mAttempt->mTarget.mId;
  return Send(aPlacement, source);
}

kj::Promise<exchange_end>
exchange::Send(const placement& aPlacement, std::optional<kv_source> aKv)
{
  // The server may have started to drain, or asked for back-off, since it was chosen.
  const auto* listed = mContext.mDirectory.Find(aPlacement.mTarget->mId);
  if (listed == nullptr || listed->mDraining) {
    return OnNotExecuted("the chosen server has left", false);
  }
  if (mContext.mClock.Now() < mContext.mLoadTracker.BackoffUntil(listed->mId)) {
    return OnNotExecuted("the chosen server wants no requests for a time", false);
  }
  if (aKv) {
    GiveUpOpenPrefill();
  }
  mOverlapLimit = nullptr;
  mAttempt->mTarget = *listed;
  mAttempt->mTargetAddedTokens = 0;
  if (mRequest.mGeneration) {
    mAttempt->mTargetAddedTokens =
      aKv ? mRequest.mGeneration->mPromptTokens : AddedTokens(aPlacement);
  }
  const auto now = mContext.mClock.Now();
  const bool prefilled = aKv.has_value();
  mAttempt->mPlacement = aPlacement;
  mAttempt->mPlacement.mTarget = nullptr;
  mAttempt->mPlacement.mPrefill = nullptr;
  mAttempt->mPlacement.mFetchFrom = nullptr;
  mAttempt->mSentAt = now;
  mAttempt->mTargetFetches = prefilled;
  if (aPlacement.mService) {
    mAttempt->mTicket = mContext.mLoadTracker.BeginPlain(
      mAttempt->mTarget.mId, *aPlacement.mService, aPlacement.mPrefillTime, now);
  } else {
    mAttempt->mTicket =
      mContext.mLoadTracker.Begin(mAttempt->mTarget.mId,
                                  prefilled ? 0 : aPlacement.mComputeTokens,
                                  prefilled ? milliseconds_f{ 0 } : aPlacement.mPrefillTime,
                                  now);
  }
  forward_attempt attempt;
  attempt.mBackendId = mAttempt->mTarget.mId;
  attempt.mTimeLeft = TimeLeft();
  attempt.mResumeAfter =
    mAttempt->mEvents.LastId().empty() ? mRequest.mResumeAfter : mAttempt->mEvents.LastId();
  attempt.mKv = std::move(aKv);
  if (mRequest.mGeneration) {
    if (!prefilled) {
      mContext.mPrefixCacheIndex.OnPrefillStarted(mAttempt->mTarget.mId,
                                                  mRequest.mGeneration->mSegments,
                                                  kPrefillWaitFactor * aPlacement.mPrefillTime,
                                                  now);
    }
    attempt.mEnginePriority = EnginePriority();
    if (!prefilled && aPlacement.mFetchFrom != nullptr) {
      attempt.mFetchFrom = aPlacement.mFetchFrom->mAddress;
    }
  }
  auto call = BuildCall(mAttempt->mTarget, attempt);
  call.mMaxIdleForReuse = std::min(
    call.mMaxIdleForReuse, mRoute->IsRetryable() ? kMaxIdleForRetryable : kMaxIdleForNonRetryable);
  if (mSilentAttempt) {
    call.mOnSend = [this] { OnReplacementSent(); };
  }
  mAttempt->mCallSent = false;
  ++mAttemptsSent;
  mAttemptOpen = true;
  auto calling = mContext.mPool.Call(std::move(call)).then([this](http_result aResult) {
    return OnResponse(std::move(aResult));
  });
  return calling;
}

kj::Promise<exchange_end>
exchange::OnResponse(http_result aResult)
{
  mAttemptOpen = false;
  if (const auto* failure = std::get_if<http_failure>(&aResult)) {
    const bool sent = failure->mSent;
    CloseAttempt(sent ? backend_outcome::Failed : backend_outcome::Unreachable);
    if (!sent) {
      --mAttemptsSent;
      return OnNotExecuted(failure->mReason, false);
    }
    GiveUpOpenPrefill();
    mMayHaveExecuted = true;
    mContext.mCrashDetector.OnCut(mAttempt->mTarget, mRequest.mSharedParts);
    return OnAttemptFailed(failure->mReason);
  }
  mAttempt->mBackendResponse = std::get<std::unique_ptr<http_answer>>(std::move(aResult));
  ReadResponseHead();
  if (BelongsToOtherRequest(mAttempt->mResponseHead) || !mAttempt->mResponseHead.mNotExecuted) {
    GiveUpOpenPrefill();
  }
  if (BelongsToOtherRequest(mAttempt->mResponseHead)) {
    mMayHaveExecuted = true;
    mAttempt->mBackendResponse = nullptr;
    CloseAttempt(backend_outcome::Failed);
    return OnAttemptFailed("the answer belongs to another request");
  }
  const bool success = mAttempt->mResponseHead.mStatus / 100 == 2;
  if (success && !mAttempt->mResponseHead.mSigned) {
    mMayHaveExecuted = true;
    mAttempt->mBackendResponse = nullptr;
    CloseAttempt(backend_outcome::Failed);
    return OnAttemptFailed("the answer carries no signature");
  }
  if (success && mRoute->mKind == route_kind::Streaming) {
    mMayHaveExecuted = true;
    mUnusedKv.reset();
    return RelayStream();
  }
  mMayHaveExecuted = mMayHaveExecuted || !mAttempt->mResponseHead.mNotExecuted;
  return ReadBodyOrThrow(
           mAttempt->mBackendResponse->Body(), kMaxResponseBytes, mContext.mResponseBodies)
    .then(
      [this, success](const buffered_body& aBody) {
        // A server that stops right after its head cannot be told from one with an empty body.
        if (success && aBody.Text().empty() && mAttempt->mBackendResponse->EndsWithConnection()) {
          mAttempt->mBackendResponse = nullptr;
          CloseAttempt(backend_outcome::Failed);
          mContext.mCrashDetector.OnCut(mAttempt->mTarget, mRequest.mSharedParts);
          return OnAttemptFailed("the answer states no length and has no body");
        }
        if (success) {
          mContext.mCrashDetector.OnAnswerEnd(mAttempt->mTarget,
                                              mRequest.mSharedParts,
                                              !mAttempt->mBackendResponse->EndsWithConnection());
        }
        if (mAttempt->mPlacement.mService && !success) {
          mContext.mLoadTracker.OnUnservedResponse(*mAttempt->mTicket, mContext.mClock.Now());
        } else {
          mContext.mLoadTracker.OnFirstResponse(*mAttempt->mTicket, mContext.mClock.Now());
          LearnServiceTime();
        }
        mContext.mPool.Release(std::move(mAttempt->mBackendResponse),
                               mAttempt->mResponseHead.mClosesConnection,
                               mAttempt->mResponseHead.mKeepAlive);
        return OnBufferedResponse(mAttempt->mResponseHead, aBody.Text());
      },
      [this](kj::Exception&& aError) -> kj::Promise<exchange_end> {
        mAttempt->mBackendResponse = nullptr;
        CloseAttempt(backend_outcome::Failed);
        if (mAttempt->mResponseHead.mNotExecuted) {
          return OnNotExecuted("a refusal broke off", true);
        }
        mContext.mCrashDetector.OnCut(mAttempt->mTarget, mRequest.mSharedParts);
        return OnAttemptFailed(aError.getDescription().cStr());
      });
}

kj::Promise<exchange_end>
exchange::OnBufferedResponse(const response_head& aHead, std::string aBody)
{
  if (aHead.mNotExecuted) {
    CloseAttempt(backend_outcome::Refused);
    return OnNotExecuted("the server refused with status " + std::to_string(aHead.mStatus), true);
  }
  RecordOverlap();
  const bool failed = aHead.mStatus >= 500;
  CloseAttempt(failed ? backend_outcome::Failed : backend_outcome::Answered);
  if (failed && mRoute->IsRetryable() && MayRetry()) {
    mExcludedServers.push_back(mAttempt->mTarget.mId);
    LogOutcome("repeat", "status " + std::to_string(aHead.mStatus));
    return Attempt();
  }
  if (mResponse.Started()) {
    return OnAttemptFailed("a resumed stream ended with status " + std::to_string(aHead.mStatus));
  }
  // The request may have been executed, so a status that implies the opposite is not forwarded.
  if (StatusImpliesNotExecuted(aHead.mStatus)) {
    return exchange_end{ no_answer{
      "the server refused without saying that it did not run the request" } };
  }
  return exchange_end{ server_answer{ aHead.mStatus, aHead.mHeaders, std::move(aBody) } };
}

void
exchange::ReleaseUnusedKv()
{
  if (!mUnusedKv) {
    return;
  }
  const auto* engine = mContext.mDirectory.Find(mUnusedKvEngine);
  if (engine == nullptr || engine->mDraining ||
      mContext.mClock.Now() < mContext.mLoadTracker.BackoffUntil(mUnusedKvEngine)) {
    // The engine frees the cache by itself when it shuts down or when the handle expires.
    mUnusedKv.reset();
    return;
  }
  auto release = mContext.mProtocolAdapter.ReleaseHandleRequest(mUnusedKv->mHandle);
  http_call call;
  call.mAddress = mUnusedKv->mAddress;
  call.mHost = mUnusedKv->mAddress;
  call.mMethod = std::move(release.mMethod);
  call.mTarget = std::move(release.mPath);
  mUnusedKv.reset();
  auto calling = mContext.mPool.Call(std::move(call)).then([](const http_result&) {
    // Best effort: on an error the engine frees the cache by itself when the handle expires.
  });
  mContext.mTasks.add(mContext.mTimer.timeoutAfter(ToKj(kReleaseTimeout), kj::mv(calling))
                        .catch_([](kj::Exception&&) {
                          // The same applies when no response arrives.
                        }));
}

} // namespace skylarkwind
