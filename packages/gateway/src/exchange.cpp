#include "exchange_p.h"

#include "skylarkwind/log.h"

#include <kj/debug.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;
using milliseconds_f = std::chrono::duration<double, std::milli>;

constexpr std::size_t kChunkBytes = 8 * 1'024;
constexpr std::uint64_t kMostAnswerBytes = 8 * 1'024 * 1'024;
/// An attempt with less time than this left cannot end well.
constexpr milliseconds kLeastTimeLeft{ 20 };
/// A stream that may go on elsewhere does so when its engine is silent for longer than this and
/// than four times the route's longest pause.
constexpr milliseconds kSilenceFloor{ 700 };
constexpr int kSilenceInGaps = 4;
/// A prefill is given up after this many times its predicted time and this time. Work that is given
/// up too early is done twice.
constexpr double kPrefillLimit = 4;
constexpr milliseconds kPrefillFloor{ 1'300 };
/// Servers that say that they did not run a request may be asked one after the other; the bound
/// ends a round over a service that refuses everywhere.
constexpr std::size_t kMostServersTried = 6;
constexpr milliseconds kRetryAfterRefusal{ 400 };
/// Requests that may run only once use kept connections only within this time, because a server
/// may have closed its end.
constexpr milliseconds kOnceReuseWithin{ 1'000 };
constexpr milliseconds kReuseWithin{ 60'000 };
/// Upper bounds of the latency histogram.
constexpr std::array kLatencyBounds{ milliseconds{ 50 },    milliseconds{ 100 },
                                     milliseconds{ 200 },   milliseconds{ 300 },
                                     milliseconds{ 500 },   milliseconds{ 800 },
                                     milliseconds{ 1'500 }, milliseconds{ 3'000 },
                                     milliseconds{ 8'000 } };
/// Bounds of one wait for news of a prompt's parts.
constexpr milliseconds kShortestWait{ 10 };
constexpr milliseconds kLongestWait{ 300 };
/// A computation that takes this many times as long as predicted is no longer waited for.
constexpr double kComingMargin = 1.5;

std::string_view
StatusText(unsigned int aStatus)
{
  switch (aStatus) {
    case 404:
      return "Not Found";
    case 413:
      return "Payload Too Large";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Error";
  }
}

/// Whether a status says of itself that the request has not run.
bool
PromisesNotRun(int aStatus)
{
  return aStatus == 429 || aStatus == 503 || aStatus == 408 || aStatus == 421;
}

std::string
Seconds(milliseconds aTime)
{
  std::array<char, 24> text{};
  std::snprintf(text.data(), text.size(), "%.2f", static_cast<double>(aTime.count()) / 1'000);
  return text.data();
}

} // namespace

exchange::exchange(exchange_context& aContext,
                   kj::HttpService::Response& aResponse,
                   monitored_stream& aConnection)
  : mContext(aContext)
  , mResponse(aResponse)
  , mConnection(aConnection)
  , mArrived(aContext.mClock.Now())
  , mDeadline(mArrived)
{
}

exchange::~exchange()
{
  Close(backend_outcome::Cancelled);
  ReleaseUntaken();
  if (mOut.get() != nullptr) {
    mConnection.Abort();
  }
}

kj::Promise<void>
exchange::Serve(forward_request aRequest, kj::AsyncInputStream& aBody)
{
  mRequest = std::move(aRequest);
  mConfiguration = mContext.mRoutes.Current();
  const auto& limits = mConfiguration ? mConfiguration->mLimits : caller_limits{};
  KJ_IF_MAYBE (length, aBody.tryGetLength()) {
    if (*length > limits.mMaxBodyBytes) {
      return Fail(413, "the body is too large");
    }
  }
  return ReadBody(aBody).then([this] { return Begin(); });
}

kj::Promise<void>
exchange::RefuseStopping(forward_request aRequest)
{
  mRequest = std::move(aRequest);
  return Refuse("the daemon stops", kRetryAfterRefusal);
}

kj::Promise<void>
exchange::ReadBody(kj::AsyncInputStream& aBody)
{
  const auto& limits = mConfiguration ? mConfiguration->mLimits : caller_limits{};
  return aBody.readAllBytes(limits.mMaxBodyBytes + 1).then([this](kj::Array<kj::byte> aBytes) {
    mRequest.mBody.assign(reinterpret_cast<const char*>(aBytes.begin()), aBytes.size());
  });
}

kj::Promise<void>
exchange::Begin()
{
  // The body may have taken long; the configuration in force now decides.
  mConfiguration = mContext.mRoutes.Current();
  if (!mConfiguration) {
    return Refuse("no configuration is known yet", kRetryAfterRefusal);
  }
  mRoute = mContext.mRoutes.Find(mRequest.mHost, mRequest.mTarget);
  if (mRoute == nullptr) {
    return Fail(404, "no route");
  }
  const auto& service = route_index::ServiceFor(*mRoute, mRequest.mId);
  mService = mConfiguration->FindService(service);
  if (mService == nullptr) {
    return Refuse("the route's service is not configured", kRetryAfterRefusal);
  }
  if (mRoute->mKind != route_kind::Streaming) {
    mRequest.mGeneration.reset();
  }
  mDeadline = mArrived + std::min(mRoute->mLimit, mRequest.mPatience.value_or(mRoute->mLimit));
  mContext.mRepeats.OnRequest(mService->mName, mContext.mClock.Now());
  const auto limit = std::max(milliseconds{ 0 }, TimeLeft());
  // The losers of the race are dropped before its end is handled, so that nothing still uses the
  // connections that are closed then.
  return Attempt()
    .then([] { return race_end::Served; })
    .exclusiveJoin(mContext.mTimer.afterDelay(ToKj(limit)).then([] { return race_end::Expired; }))
    .exclusiveJoin(mConnection.WhenPeerCloses().then([] { return race_end::CallerGone; }))
    .then([this](race_end aEnd) -> kj::Promise<void> {
      switch (aEnd) {
        case race_end::Served:
          return kj::READY_NOW;
        case race_end::Expired:
          return OnTimeLimit();
        case race_end::CallerGone:
          break;
      }
      LogEnd("gone", "the caller closed its connection");
      return KJ_EXCEPTION(DISCONNECTED, "the caller closed its connection");
    });
}

milliseconds
exchange::TimeLeft() const
{
  return std::chrono::duration_cast<milliseconds>(mDeadline - mContext.mClock.Now());
}

placement_query
exchange::Query(const std::vector<const backend_server*>& aServers) const
{
  placement_query query;
  query.mRoute = mRoute;
  query.mService = mService;
  query.mGeneration = mRequest.mGeneration ? &*mRequest.mGeneration : nullptr;
  query.mServers = aServers;
  query.mAvoid = mAvoid;
  query.mTimeLeft = TimeLeft();
  query.mMayWait = !mWaitsSince || mContext.mClock.Now() - *mWaitsSince < mRoute->mTarget;
  return query;
}

kj::Promise<void>
exchange::Attempt()
{
  if (TimeLeft() < kLeastTimeLeft) {
    return OnTimeLimit();
  }
  const auto servers = mContext.mDirectory.Usable(mService->mName);
  const auto result = mContext.mPlacer.Place(Query(servers), mContext.mClock.Now());
  if (const auto* none = std::get_if<no_placement>(&result)) {
    return GiveUp(none->mReason, none->mRetryAfter);
  }
  if (const auto* parts = std::get_if<await_parts>(&result)) {
    return AwaitParts(*parts);
  }
  const auto& chosen = std::get<placement>(result);
  if (!TakeRepeats(chosen)) {
    if (mAnswerBegun) {
      return BreakOff("no repeats are left");
    }
    return GiveUp("no repeats are left", kRetryAfterRefusal);
  }
  NotePlan(chosen);
  if (chosen.mPrefill != nullptr) {
    return Prefill(chosen);
  }
  return Send(chosen, std::nullopt);
}

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
exchange::NotePlan(const placement& aPlacement)
{
  mSentAt = mContext.mClock.Now();
  if (!mRequest.mGeneration) {
    return;
  }
  const auto& prefill = aPlacement.mPrefill;
  const auto* computing = prefill != nullptr ? prefill : aPlacement.mTarget;
  mPlan =
    " prompt=" + std::to_string(mRequest.mGeneration->mPromptTokens) +
    " compute=" + std::to_string(aPlacement.mComputeTokens) + " at=" + computing->mId + " ahead=" +
    std::to_string(static_cast<std::int64_t>(
      mContext.mBoard.WaitingTokens(computing->mId, mContext.mClock.Now()))) +
    " fetch=" + (aPlacement.mFetchFrom != nullptr ? aPlacement.mFetchFrom->mId : "-") +
    " predicted_ms=" + std::to_string(static_cast<std::int64_t>(aPlacement.mFirstToken.count()));
}

kj::Promise<void>
exchange::AwaitParts(const await_parts& aParts)
{
  const auto now = mContext.mClock.Now();
  mWaitsSince = mWaitsSince.value_or(now);
  const auto left = std::chrono::duration_cast<milliseconds>(aParts.mReadyAt - now);
  const auto pause = std::clamp(left, kShortestWait, kLongestWait);
  return mContext.mParts.Wait().exclusiveJoin(mContext.mTimer.afterDelay(ToKj(pause))).then([this] {
    return Attempt();
  });
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
  call.mBody = mRequest.mBody;
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
  mContext.mBoard.OnComing(
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
      mHead = mContext.mDialect.ReadAnswer(mAnswer->mStatus, mAnswer->mHeaders);
      if (IsForeign(mHead)) {
        mAnswer = nullptr;
        Close(backend_outcome::Failed);
        return OnNotRun("the answer to the prefill belongs to another request", true);
      }
      return mAnswer->Body()
        .readAllText(kMostAnswerBytes)
        .then(
          [this, plan = kj::mv(plan), target = kj::mv(target)](
            kj::String aText) mutable -> kj::Promise<void> {
            mContext.mPool.Release(std::move(mAnswer), mHead.mCloses, mHead.mKeepAlive);
            if (mHead.mLoad) {
              mContext.mBoard.OnLoad(mTarget.mId, *mHead.mLoad, mContext.mClock.Now());
            }
            auto prefilled = OnPrefilled(*plan, { aText.cStr(), aText.size() });
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
  mContext.mBoard.OnKept(mTarget.mId, mRequest.mGeneration->mParts, now);
  mContext.mParts.Fire();
  mContext.mBoard.OnAdded(mTarget.mId, AddedTokens(aPlacement));
  const kv_source source{ mTarget.mAddress, *handle };
  Close(backend_outcome::Answered);
  mUntaken = source;
  return Send(aPlacement, source);
}

kj::Promise<void>
exchange::Send(const placement& aPlacement, std::optional<kv_source> aKv)
{
  // The server may have begun to drain since it was chosen.
  const auto* listed = mContext.mDirectory.Find(aPlacement.mTarget->mId);
  if (listed == nullptr || listed->mDraining) {
    return OnNotRun("the chosen server has left", false);
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
      mContext.mBoard.OnComing(
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
  mHead = mContext.mDialect.ReadAnswer(mAnswer->mStatus, mAnswer->mHeaders);
  const auto now = mContext.mClock.Now();
  if (mHead.mLoad) {
    mContext.mBoard.OnLoad(mTarget.mId, *mHead.mLoad, now);
  }
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
    return StreamFurther();
  }
  mMayHaveRun = mMayHaveRun || !mHead.mNotRun;
  auto& body = mAnswer->Body();
  return body.readAllBytes(kMostAnswerBytes)
    .then(
      [this](kj::Array<kj::byte> aBody) {
        mContext.mBoard.OnFirst(*mTicket, mContext.mClock.Now());
        mContext.mPool.Release(std::move(mAnswer), mHead.mCloses, mHead.mKeepAlive);
        return OnWholeAnswer(mHead, kj::mv(aBody));
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
exchange::OnWholeAnswer(const answer_head& aHead, kj::Array<kj::byte> aBody)
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
  return Reply(static_cast<unsigned int>(aHead.mStatus),
               {},
               aHead.mHeaders,
               std::string{ reinterpret_cast<const char*>(aBody.begin()), aBody.size() });
}

kj::Promise<void>
exchange::StreamFurther()
{
  auto reading = mAnswer->Body().tryRead(mChunk.begin(), 1, mChunk.size());
  const auto* listed = mContext.mDirectory.Find(mTarget.mId);
  const bool waits = mRoute->MayRepeat() && mSends < mRoute->mMaxBackends && listed != nullptr;
  auto guarded = kj::mv(reading);
  if (waits) {
    const auto limit = std::max(kSilenceFloor, mRoute->mMaxGap * kSilenceInGaps);
    const auto whole = mEvents.Events() == 0 ? limit + mRoute->mTarget : limit;
    guarded = mContext.mTimer.timeoutAfter(ToKj(whole), kj::mv(guarded));
  }
  return guarded.then(
    [this](size_t aBytes) -> kj::Promise<void> {
      if (aBytes == 0) {
        return OnStreamEnd();
      }
      const auto now = mContext.mClock.Now();
      const bool first = mEvents.Events() == 0;
      const auto whole = mEvents.Feed({ reinterpret_cast<const char*>(mChunk.begin()), aBytes });
      if (whole.empty()) {
        return StreamFurther();
      }
      mContext.mBoard.OnFirst(*mTicket, now);
      if (first && mRequest.mGeneration) {
        mContext.mBoard.OnAdded(mTarget.mId, mAddsAtTarget);
      }
      if (mFirstAt) {
        mLongestGap = std::max(mLongestGap, now - mLastEventAt);
      }
      mFirstAt = mFirstAt.value_or(now);
      mLastEventAt = now;
      if (first && mRequest.mGeneration) {
        mContext.mBoard.OnKept(mTarget.mId, mRequest.mGeneration->mParts, now);
        mContext.mParts.Fire();
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

std::uint32_t
exchange::Daemons() const
{
  return static_cast<std::uint32_t>(mContext.mBoard.Peers(mContext.mClock.Now())) + 1;
}

bool
exchange::MayTryAgain()
{
  return mSends < mRoute->mMaxBackends && mAvoid.size() < kMostServersTried &&
         TimeLeft() >= kLeastTimeLeft &&
         mContext.mRepeats.Has(mService->mName, 1, Daemons(), mContext.mClock.Now());
}

bool
exchange::TakeRepeats(const placement& aPlacement)
{
  const std::uint32_t prefills = aPlacement.mPrefill != nullptr && mPrefills > 0 ? 1 : 0;
  const std::uint32_t runs = mSends > 0 ? 1 : 0;
  return mContext.mRepeats.TryTake(
    mService->mName, prefills + runs, Daemons(), mContext.mClock.Now());
}

void
exchange::ReleaseUntaken()
{
  if (!mUntaken) {
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

kj::Promise<void>
exchange::OnNotRun(std::string_view aReason, bool aSent)
{
  mAvoid.push_back(mTarget.mId);
  ReleaseUntaken();
  const bool again =
    aSent ? MayTryAgain() : mAvoid.size() < kMostServersTried && TimeLeft() >= kLeastTimeLeft;
  if (again) {
    LogEnd("retry", aReason);
    return Attempt();
  }
  if (mAnswerBegun) {
    return OnBroken(aReason);
  }
  return GiveUp(aReason, kRetryAfterRefusal);
}

kj::Promise<void>
exchange::GiveUp(std::string_view aReason, milliseconds aRetryAfter)
{
  if (mMayHaveRun) {
    return Fail(502, aReason);
  }
  return Refuse(aReason, aRetryAfter);
}

kj::Promise<void>
exchange::OnBroken(std::string_view aReason)
{
  mEvents.DropRest();
  mAvoid.push_back(mTarget.mId);
  if (mRoute->MayRepeat() && MayTryAgain()) {
    LogEnd("repeat", aReason);
    return Attempt();
  }
  if (!mAnswerBegun) {
    return Fail(502, aReason);
  }
  return BreakOff(aReason);
}

kj::Promise<void>
exchange::BreakOff(std::string_view aReason)
{
  LogEnd("broken", aReason);
  return KJ_EXCEPTION(DISCONNECTED, "the stream broke off");
}

kj::Promise<void>
exchange::Refuse(std::string_view aReason, milliseconds aRetryAfter)
{
  LogEnd("refused", aReason);
  return Reply(
    503, StatusText(503), { { "Retry-After", Seconds(aRetryAfter) } }, "the request has not run\n");
}

kj::Promise<void>
exchange::Fail(unsigned int aStatus, std::string_view aReason)
{
  LogEnd("failed", std::to_string(aStatus) + " " + std::string{ aReason });
  return Reply(aStatus, StatusText(aStatus), {}, std::string{ aReason } + '\n');
}

kj::Promise<void>
exchange::OnTimeLimit()
{
  mAnswer = nullptr;
  Close(backend_outcome::Cancelled);
  if (mAnswerBegun) {
    return BreakOff("time limit");
  }
  if (mSends == 0) {
    return Refuse("the time limit passed before a server was found", kRetryAfterRefusal);
  }
  return Fail(504, "time limit");
}

kj::Promise<void>
exchange::Reply(unsigned int aStatus,
                std::string_view aStatusText,
                const header_list& aHeaders,
                std::string aBody)
{
  const std::string text{ aStatusText.empty() ? StatusText(aStatus) : aStatusText };
  auto body = kj::heap<std::string>(std::move(aBody));
  mAnswerBegun = true;
  auto out = mResponse.send(aStatus, ToKj(text), ToKj(aHeaders, mContext.mTable), body->size());
  auto& stream = *out;
  return stream.write(body->data(), body->size()).attach(kj::mv(out), kj::mv(body));
}

void
exchange::Close(backend_outcome aOutcome)
{
  if (mTicket) {
    mContext.mBoard.End(*mTicket, aOutcome, mContext.mClock.Now());
    mTicket.reset();
  }
}

void
exchange::CountEnd(std::string_view aOutcome)
{
  auto& counters = mContext.mCounters;
  const auto outcome = "outcome=\"" + std::string{ aOutcome } + '"';
  counters.Get("skylarkwind_requests_total", "Requests by how they ended.", outcome).Add();
  if (aOutcome != "answered") {
    return;
  }
  const auto first = mFirstAt.value_or(mContext.mClock.Now()) - mArrived;
  for (const auto bound : kLatencyBounds) {
    if (first <= bound) {
      counters
        .Get("skylarkwind_first_answer_ms_bucket",
             "Time from a request's arrival to its first event or its answer.",
             "le=\"" + std::to_string(bound.count()) + '"')
        .Add();
    }
  }
  counters.Get("skylarkwind_first_answer_ms_count", "Answered requests.").Add();
}

void
exchange::LogEnd(std::string_view aOutcome, std::string_view aReason)
{
  CountEnd(aOutcome);
  const auto taken =
    std::chrono::duration_cast<milliseconds>(mContext.mClock.Now() - mArrived).count();
  std::string text{ "id=" };
  text += mRequest.mId;
  text += " outcome=";
  text += aOutcome;
  text += " ms=" + std::to_string(taken);
  text += " sends=" + std::to_string(mSends);
  text += " backend=" + mTarget.mId;
  text += " route=";
  text += mRoute != nullptr ? mRoute->mName : "-";
  text += " version=" + std::to_string(mConfiguration ? mConfiguration->mVersion : 0);
  const auto since = [this](instant aFrom, instant aTo) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(aTo - aFrom).count());
  };
  if (mSentAt != instant{}) {
    text += " held_ms=" + since(mArrived, mSentAt);
  }
  text += mPlan;
  if (mFirstAt) {
    text += " first_ms=" + since(mArrived, *mFirstAt);
    text += " gap_ms=" + since(instant{}, instant{} + mLongestGap);
  }
  text += " reason=\"";
  text += aReason;
  text += '"';
  Log(log_level::Info, "request", text);
}

} // namespace skylarkwind
