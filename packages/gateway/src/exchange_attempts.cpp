#include "exchange_p.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;
using milliseconds_f = std::chrono::duration<double, std::milli>;

constexpr std::size_t kReadBufferBytes = 8 * 1'024;
/// Responses that are not streamed are buffered until they are complete.
constexpr std::size_t kMaxResponseBytes = 1'024 * 1'024;
/// The response to a prefill holds a handle and two numbers.
constexpr std::size_t kMaxPrefillResponseBytes = 16 * 1'024;
/// Limit of one event, and of the comments between two events. An event holds the tokens of a few
/// decoding steps.
constexpr std::size_t kMaxEventBytes = 64 * 1'024;
/// A resumable stream moves to another engine when its engine sends no complete event for longer
/// than this and than `kSilenceGapFactor` times the route's target event gap.
constexpr milliseconds kMinSilenceTimeout{ 700 };
constexpr int kSilenceGapFactor = 4;
/// A prefill times out after this multiple of its predicted time, but not before
/// `kMinPrefillTimeout`. Work that is abandoned too early is done twice.
constexpr double kPrefillTimeoutFactor = 4;
constexpr milliseconds kMinPrefillTimeout{ 1'300 };
/// Requests that must not be retried reuse only connections that were idle for less than this time,
/// because a server may have closed its end.
constexpr milliseconds kMaxIdleForNonRetryable{ 1'000 };
constexpr milliseconds kMaxIdleForRetryable{ 60'000 };
/// Other requests stop waiting for a shared prefix when its prefill takes this many times as long
/// as predicted.
constexpr double kPrefillWaitFactor = 1.5;

/// Whether a caller would take the status to mean that the request was not executed.
bool
StatusImpliesNotExecuted(int aStatus)
{
  return aStatus == 429 || aStatus == 503 || aStatus == 408 || aStatus == 421;
}

/// The media type of a response in lower case, without parameters.
std::string
MediaType(const response_head& aHead)
{
  for (const auto& [name, value] : aHead.mHeaders) {
    if (absl::EqualsIgnoreCase(name, "Content-Type")) {
      const absl::string_view whole{ value };
      return absl::AsciiStrToLower(absl::StripAsciiWhitespace(whole.substr(0, whole.find(';'))));
    }
  }
  return {};
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

void
exchange::ReadResponseHead()
{
  mResponseHead =
    mContext.mProtocolAdapter.ParseResponse(mBackendResponse->mStatus, mBackendResponse->mHeaders);
  if (BelongsToOtherRequest(mResponseHead)) {
    // Its load, back-off and leaving may be of an earlier time, too.
    return;
  }
  ApplyServerSignals(mResponseHead,
                     mTarget,
                     mContext.mDirectory,
                     mContext.mLoadTracker,
                     mContext.mLoadExchange,
                     mContext.mClock.Now());
}

http_call
exchange::BuildCall(const backend_server& aServer, const forward_attempt& aAttempt) const
{
  http_call call;
  call.mAddress = aServer.mAddress;
  call.mMethod = mRequest.mMethod;
  call.mTarget = mRequest.mTarget;
  call.mHost = mRequest.mHost;
  call.mHeaders = mContext.mProtocolAdapter.MakeAttemptHeaders(mRequest, aAttempt);
  call.mBody = mBody.Text();
  call.mEchoedId = mRequest.mId;
  if (mRequest.mId.empty()) {
    // No response to this request could be told from a repeated one to an earlier request.
    call.mMaxIdleForReuse = milliseconds{ 0 };
  }
  return call;
}

kj::Promise<exchange_end>
exchange::Prefill(const placement& aPlacement)
{
  const auto& engine = *aPlacement.mPrefill;
  const auto now = mContext.mClock.Now();
  mTicket = mContext.mLoadTracker.Begin(
    engine.mId, aPlacement.mComputeTokens, aPlacement.mPrefillTime, now);
  ++mPrefillsSent;
  mContext.mPrefixCacheIndex.OnPrefillStarted(
    engine.mId, mRequest.mGeneration->mSegments, kPrefillWaitFactor * aPlacement.mPrefillTime, now);
  forward_attempt attempt;
  attempt.mBackendId = engine.mId;
  attempt.mTimeLeft = TimeLeft();
  attempt.mPrefillOnly = true;
  attempt.mEnginePriority = std::min<std::uint32_t>(9, mRoute->mPriority + 3);
  if (aPlacement.mFetchFrom != nullptr) {
    attempt.mFetchFrom = aPlacement.mFetchFrom->mAddress;
  }
  mSentAt = now;
  mTargetFetches = false;
  auto call = BuildCall(engine, attempt);
  auto plan = kj::heap<placement>(aPlacement);
  mTarget = engine;
  // The target is copied, as the directory may change before the prefill ends.
  auto target = kj::heap<backend_server>(*aPlacement.mTarget);
  plan->mTarget = target.get();
  plan->mPrefill = &mTarget;
  const auto limit = std::max(
    kMinPrefillTimeout,
    std::chrono::duration_cast<milliseconds>(kPrefillTimeoutFactor * aPlacement.mPrefillTime));
  return mContext.mTimer.timeoutAfter(ToKj(limit), mContext.mPool.Call(std::move(call)))
    .then([](http_result aResult) { return aResult; },
          [](kj::Exception&&) -> http_result {
            return http_failure{ true, "the engine was silent" };
          })
    .then([this, plan = kj::mv(plan), target = kj::mv(target)](
            http_result aResult) mutable -> kj::Promise<exchange_end> {
      if (const auto* failure = std::get_if<http_failure>(&aResult)) {
        CloseAttempt(failure->mSent ? backend_outcome::Silent : backend_outcome::Unreachable);
        if (!failure->mSent) {
          --mPrefillsSent;
        }
        return OnNotExecuted(failure->mReason, failure->mSent);
      }
      mBackendResponse = std::get<std::unique_ptr<http_answer>>(std::move(aResult));
      ReadResponseHead();
      if (BelongsToOtherRequest(mResponseHead)) {
        mBackendResponse = nullptr;
        CloseAttempt(backend_outcome::Failed);
        return OnNotExecuted("the answer to the prefill belongs to another request", true);
      }
      return ReadBodyOrThrow(
               mBackendResponse->Body(), kMaxPrefillResponseBytes, mContext.mResponseBodies)
        .then(
          [this, plan = kj::mv(plan), target = kj::mv(target)](
            buffered_body aText) mutable -> kj::Promise<exchange_end> {
            mContext.mPool.Release(std::move(mBackendResponse),
                                   mResponseHead.mClosesConnection,
                                   mResponseHead.mKeepAlive);
            auto prefilled = OnPrefilled(*plan, aText.Text());
            return prefilled.attach(kj::mv(plan), kj::mv(target));
          },
          [this](kj::Exception&& aError) -> kj::Promise<exchange_end> {
            CloseAttempt(backend_outcome::Failed);
            return OnNotExecuted(aError.getDescription().cStr(), true);
          });
    });
}

void
exchange::LearnPromptTime(const placement& aPlacement, instant aNow)
{
  auto& model = mContext.mEngineModels.At(mService->mName);
  const milliseconds_f taken = aNow - mSentAt;
  if (mTargetFetches) {
    model.OnFetchedStreamStarted((taken - aPlacement.mHandoverTime).count());
    return;
  }
  model.OnPromptComputed(mTarget.mRole,
                         static_cast<double>(aPlacement.mComputeTokens) + aPlacement.mQueuedTokens,
                         (taken - aPlacement.mFetchTime).count());
}

kj::Promise<exchange_end>
exchange::OnPrefilled(const placement& aPlacement, std::string_view aBody)
{
  const auto now = mContext.mClock.Now();
  auto handle = mContext.mProtocolAdapter.ParsePrefillHandle(aBody);
  if (mResponseHead.mStatus != 200 || !handle.ok()) {
    CloseAttempt(mResponseHead.mNotExecuted ? backend_outcome::Refused : backend_outcome::Failed);
    if (mPrefillsSent == 1) {
      // A first prefill costs no retry budget, but only if the engine accepts it.
      mContext.mRetryBudget.RecordRetry(mService->mName, now);
    }
    return OnNotExecuted(
      "the prefill was refused with status " + std::to_string(mResponseHead.mStatus), true);
  }
  mContext.mLoadTracker.OnFirstResponse(*mTicket, now);
  LearnPromptTime(aPlacement, now);
  mContext.mPrefixCacheIndex.OnCached(mTarget.mId, mRequest.mGeneration->mSegments, now);
  mContext.mPrefixUpdates.Notify();
  mContext.mPrefixCacheIndex.OnTokensAdded(mTarget.mId, AddedTokens(aPlacement));
  const kv_source source{ mTarget.mAddress, *handle };
  CloseAttempt(backend_outcome::Answered);
  mUnusedKv = source;
  mUnusedKvEngine = mTarget.mId;
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
  mTarget = *listed;
  mTargetAddedTokens = 0;
  if (mRequest.mGeneration) {
    mTargetAddedTokens = aKv ? mRequest.mGeneration->mPromptTokens : AddedTokens(aPlacement);
  }
  const auto now = mContext.mClock.Now();
  const bool prefilled = aKv.has_value();
  mPlacement = aPlacement;
  mPlacement.mTarget = nullptr;
  mPlacement.mPrefill = nullptr;
  mPlacement.mFetchFrom = nullptr;
  mSentAt = now;
  mTargetFetches = prefilled;
  mTicket = mContext.mLoadTracker.Begin(mTarget.mId,
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
      mContext.mPrefixCacheIndex.OnPrefillStarted(mTarget.mId,
                                                  mRequest.mGeneration->mSegments,
                                                  kPrefillWaitFactor * aPlacement.mPrefillTime,
                                                  now);
    }
    attempt.mEnginePriority = std::min<std::uint32_t>(9, mRoute->mPriority + 3);
    if (!prefilled && aPlacement.mFetchFrom != nullptr) {
      attempt.mFetchFrom = aPlacement.mFetchFrom->mAddress;
    }
  }
  auto call = BuildCall(mTarget, attempt);
  call.mMaxIdleForReuse = std::min(
    call.mMaxIdleForReuse, mRoute->IsRetryable() ? kMaxIdleForRetryable : kMaxIdleForNonRetryable);
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
    mMayHaveExecuted = true;
    return OnAttemptFailed(failure->mReason);
  }
  mBackendResponse = std::get<std::unique_ptr<http_answer>>(std::move(aResult));
  ReadResponseHead();
  if (BelongsToOtherRequest(mResponseHead)) {
    mMayHaveExecuted = true;
    mBackendResponse = nullptr;
    CloseAttempt(backend_outcome::Failed);
    return OnAttemptFailed("the answer belongs to another request");
  }
  const bool success = mResponseHead.mStatus / 100 == 2;
  if (success && !mResponseHead.mSigned) {
    mMayHaveExecuted = true;
    mBackendResponse = nullptr;
    CloseAttempt(backend_outcome::Failed);
    return OnAttemptFailed("the answer carries no signature");
  }
  if (success && mRoute->mKind == route_kind::Streaming) {
    mMayHaveExecuted = true;
    if (mResponse.Started() && MediaType(mResponseHead) != mStreamType) {
      mBackendResponse = nullptr;
      CloseAttempt(backend_outcome::Failed);
      return OnAttemptFailed("the resumed stream is of another content type");
    }
    mUnusedKv.reset();
    mReadBuffer = kj::heapArray<kj::byte>(kReadBufferBytes);
    mLastEventAt = mContext.mClock.Now();
    mBytesWithoutEvent = 0;
    return RelayStream();
  }
  mMayHaveExecuted = mMayHaveExecuted || !mResponseHead.mNotExecuted;
  return ReadBodyOrThrow(mBackendResponse->Body(), kMaxResponseBytes, mContext.mResponseBodies)
    .then(
      [this](buffered_body aBody) {
        mContext.mLoadTracker.OnFirstResponse(*mTicket, mContext.mClock.Now());
        mContext.mPool.Release(
          std::move(mBackendResponse), mResponseHead.mClosesConnection, mResponseHead.mKeepAlive);
        return OnBufferedResponse(mResponseHead, aBody.Text());
      },
      [this](kj::Exception&& aError) -> kj::Promise<exchange_end> {
        mBackendResponse = nullptr;
        CloseAttempt(backend_outcome::Failed);
        if (mResponseHead.mNotExecuted) {
          return OnNotExecuted("a refusal broke off", true);
        }
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
  const bool failed = aHead.mStatus >= 500;
  CloseAttempt(failed ? backend_outcome::Failed : backend_outcome::Answered);
  if (failed && mRoute->IsRetryable() && MayRetry()) {
    mExcludedServers.push_back(mTarget.mId);
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

kj::Promise<exchange_end>
exchange::RelayStream()
{
  auto reading = mBackendResponse->Body().tryRead(mReadBuffer.begin(), 1, mReadBuffer.size());
  const auto* listed = mContext.mDirectory.Find(mTarget.mId);
  const bool hasSilenceTimeout =
    mRoute->IsRetryable() && mAttemptsSent < mRoute->mMaxAttempts && listed != nullptr;
  auto timedReading = kj::mv(reading);
  if (hasSilenceTimeout) {
    // Only complete events count as progress: a stalled engine may still send comments or parts of
    // an event.
    const auto limit = std::max(kMinSilenceTimeout, mRoute->mTargetEventGap * kSilenceGapFactor);
    const auto timeout = mEvents.Events() == 0 ? limit + mRoute->mTargetLatency : limit;
    const auto silent =
      std::chrono::duration_cast<milliseconds>(mContext.mClock.Now() - mLastEventAt);
    timedReading = mContext.mTimer.timeoutAfter(ToKj(std::max(milliseconds{ 0 }, timeout - silent)),
                                                kj::mv(timedReading));
  }
  return timedReading.then(
    [this](size_t aBytes) -> kj::Promise<exchange_end> {
      if (aBytes == 0) {
        return OnStreamEnd();
      }
      const auto before = mEvents.Events();
      const auto complete =
        mEvents.Feed({ reinterpret_cast<const char*>(mReadBuffer.begin()), aBytes });
      mBytesWithoutEvent += aBytes;
      mBytesReceived += aBytes;
      if (mEvents.Events() > before) {
        mBytesWithoutEvent = 0;
        OnEvents(before == 0);
      }
      if (mBytesWithoutEvent > kMaxEventBytes || mEvents.Incomplete().size() > kMaxEventBytes) {
        mBackendResponse = nullptr;
        CloseAttempt(backend_outcome::Failed);
        return OnAttemptFailed("the stream sends bytes without events");
      }
      if (complete.empty() || (!mResponse.Started() && mEvents.Events() == 0)) {
        return RelayStream();
      }
      if (!mResponse.Started()) {
        mStreamType = MediaType(mResponseHead);
        mResponse.StartStream(static_cast<unsigned int>(mResponseHead.mStatus),
                              mBackendResponse->mStatusText,
                              mResponseHead.mHeaders);
      }
      return mResponse.Write(complete).then([this] { return RelayStream(); });
    },
    [this](kj::Exception&& aError) -> kj::Promise<exchange_end> {
      mBackendResponse = nullptr;
      CloseAttempt(aError.getType() == kj::Exception::Type::OVERLOADED ? backend_outcome::Silent
                                                                       : backend_outcome::Failed);
      return OnAttemptFailed(aError.getDescription().cStr());
    });
}

void
exchange::OnEvents(bool aFirst)
{
  const auto now = mContext.mClock.Now();
  mContext.mLoadTracker.OnFirstResponse(*mTicket, now);
  if (mFirstEventAt) {
    mLongestEventGap = std::max(mLongestEventGap, now - mLastEventAt);
  }
  mFirstEventAt = mFirstEventAt.value_or(now);
  mLastEventAt = now;
  if (aFirst && mRequest.mGeneration) {
    LearnPromptTime(mPlacement, now);
    mContext.mPrefixCacheIndex.OnTokensAdded(mTarget.mId, mTargetAddedTokens);
    mContext.mPrefixCacheIndex.OnCached(mTarget.mId, mRequest.mGeneration->mSegments, now);
    mContext.mPrefixUpdates.Notify();
  }
}

kj::Promise<exchange_end>
exchange::OnStreamEnd()
{
  if (!mEvents.Incomplete().empty() || !mResponse.Started()) {
    mBackendResponse = nullptr;
    CloseAttempt(backend_outcome::Failed);
    return OnAttemptFailed("the stream ended within an event");
  }
  mContext.mPool.Release(
    std::move(mBackendResponse), mResponseHead.mClosesConnection, mResponseHead.mKeepAlive);
  CloseAttempt(backend_outcome::Answered);
  if (mRequest.mGeneration && mEvents.Events() > 1) {
    mContext.mEngineModels.At(mService->mName)
      .OnLongestEventGap(milliseconds_f{ mLongestEventGap }.count());
  }
  return exchange_end{ stream_complete{} };
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
  mContext.mTasks.add(mContext.mTimer.timeoutAfter(ToKj(kMinSilenceTimeout), kj::mv(calling))
                        .catch_([](kj::Exception&&) {
                          // The same applies when no response arrives.
                        }));
}

} // namespace skylarkwind
