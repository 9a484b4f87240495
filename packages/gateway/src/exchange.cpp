#include "exchange_p.h"

#include "skylarkwind/hash.h"
#include "skylarkwind/log.h"

#include <kj/debug.h>

#include <algorithm>
#include <array>
#include <cstdio>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// Attempts are not started with less time than this left, as they could not finish in time.
constexpr milliseconds kMinTimeLeft{ 20 };
/// A request that a server refused without executing it is tried on other servers. The bound stops
/// the search when all servers of a service refuse.
constexpr std::size_t kMaxServersTried = 6;
constexpr milliseconds kDefaultRetryAfter{ 400 };
/// A prefilled prompt is offered to this many further decode engines before it is computed again.
constexpr std::uint32_t kMaxKvOffers = 2;
/// Upper bounds of the buckets of the latency histogram.
constexpr std::array kLatencyBounds{ milliseconds{ 50 },    milliseconds{ 100 },
                                     milliseconds{ 200 },   milliseconds{ 300 },
                                     milliseconds{ 500 },   milliseconds{ 800 },
                                     milliseconds{ 1'500 }, milliseconds{ 3'000 },
                                     milliseconds{ 8'000 } };
/// Bounds of one wait for a shared prefix that is being computed for another request.
constexpr milliseconds kMinPrefixWait{ 10 };
constexpr milliseconds kMaxPrefixWait{ 300 };

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
  , mArrivedAt(aContext.mClock.Now())
  , mDeadline(mArrivedAt)
  , mSentBefore(aConnection.WrittenBytes())
{
}

exchange::~exchange()
{
  if (!mOutcomeLogged) {
    LogDropped();
  }
  CloseAttempt(backend_outcome::Cancelled);
  ReleaseUnusedKv();
  if (mCallerStream.get() != nullptr) {
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
  return ReadRequestBody(aBody);
}

kj::Promise<void>
exchange::RefuseForShutdown(forward_request aRequest)
{
  mRequest = std::move(aRequest);
  mConfiguration = mContext.mRoutes.Current();
  return Refuse("the daemon stops", kDefaultRetryAfter);
}

kj::Promise<void>
exchange::ReadRequestBody(kj::AsyncInputStream& aBody)
{
  const auto& limits = mConfiguration ? mConfiguration->mLimits : caller_limits{};
  return ReadBody(aBody, limits.mMaxBodyBytes, mContext.mRequestBodies)
    .then([this](body_result aResult) -> kj::Promise<void> {
      if (auto* body = std::get_if<buffered_body>(&aResult)) {
        mBody = std::move(*body);
        return RouteAndForward();
      }
      if (std::get<body_error>(aResult) == body_error::TooLong) {
        return Fail(413, "the body is too large");
      }
      return Refuse("too many bytes of requests are held", kDefaultRetryAfter);
    });
}

kj::Promise<void>
exchange::RouteAndForward()
{
  // The configuration may have changed while the body was read; the current one applies.
  mConfiguration = mContext.mRoutes.Current();
  if (!mConfiguration) {
    return Refuse("no configuration is known yet", kDefaultRetryAfter);
  }
  mRoute = mContext.mRoutes.Find(mRequest.mHost, mRequest.mTarget);
  if (mRoute == nullptr) {
    return Fail(404, "no route");
  }
  const auto& service = route_index::ServiceFor(*mRoute, mRequest.mId);
  mService = mConfiguration->FindService(service);
  if (mService == nullptr) {
    return Refuse("the route's service is not configured", kDefaultRetryAfter);
  }
  if (mRoute->mKind != route_kind::Streaming) {
    mRequest.mGeneration.reset();
  }
  mDeadline =
    mArrivedAt + std::min(mRoute->mTimeout, mRequest.mCallerTimeout.value_or(mRoute->mTimeout));
  mContext.mRetryBudget.OnRequest(mService->mName, mContext.mClock.Now());
  const auto limit = std::max(milliseconds{ 0 }, TimeLeft());
  // `exclusiveJoin` cancels the other promises before the outcome is handled, so that nothing still
  // uses the connections that are closed then.
  return Attempt()
    .then([] { return race_outcome::Served; })
    .exclusiveJoin(
      mContext.mTimer.afterDelay(ToKj(limit)).then([] { return race_outcome::TimedOut; }))
    .exclusiveJoin(
      mConnection.WhenPeerCloses().then([] { return race_outcome::CallerDisconnected; }))
    .then([this](race_outcome aEnd) -> kj::Promise<void> {
      switch (aEnd) {
        case race_outcome::Served:
          return kj::READY_NOW;
        case race_outcome::TimedOut:
          return OnTimeLimit();
        case race_outcome::CallerDisconnected:
          break;
      }
      LogOutcome("gone", "the caller closed its connection");
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
  query.mExcludedIds = mExcludedServers;
  query.mTimeLeft = TimeLeft();
  query.mRandomBits = Hash64(mRequest.mId) + mAttemptsSent + mPrefillsSent;
  query.mMayWait =
    !mPrefixWaitSince || mContext.mClock.Now() - *mPrefixWaitSince < mRoute->mTargetLatency;
  return query;
}

kj::Promise<void>
exchange::Attempt()
{
  if (TimeLeft() < kMinTimeLeft) {
    return OnTimeLimit();
  }
  const auto servers = mContext.mDirectory.Eligible(mService->mName);
  const auto result = mContext.mPlacer.Place(Query(servers), mContext.mClock.Now());
  if (const auto* none = std::get_if<placement_refusal>(&result)) {
    if (none->mBest) {
      RecordPlacement(*none->mBest);
    }
    return GiveUp(none->mReason, none->mRetryAfter);
  }
  if (const auto* prefix = std::get_if<await_prefix>(&result)) {
    return AwaitPrefix(*prefix);
  }
  const auto& chosen = std::get<placement>(result);
  if (!TakeRetries(chosen)) {
    if (mResponseStarted) {
      return AbortResponse("no repeats are left");
    }
    return GiveUp("no repeats are left", kDefaultRetryAfter);
  }
  mAttemptStartedAt = mContext.mClock.Now();
  RecordPlacement(chosen);
  if (chosen.mPrefill != nullptr) {
    return Prefill(chosen);
  }
  return Send(chosen, std::nullopt);
}

void
exchange::RecordPlacement(const placement& aPlacement)
{
  if (!mRequest.mGeneration) {
    return;
  }
  const auto& prefill = aPlacement.mPrefill;
  const auto* computing = prefill != nullptr ? prefill : aPlacement.mTarget;
  mPlacementLog =
    " prompt=" + std::to_string(mRequest.mGeneration->mPromptTokens) +
    " compute=" + std::to_string(aPlacement.mComputeTokens) + " at=" + computing->mId +
    " ahead=" + std::to_string(aPlacement.mQueuedTokens) +
    " fetch=" + (aPlacement.mFetchFrom != nullptr ? aPlacement.mFetchFrom->mId : "-") +
    " wait_ms=" + std::to_string(static_cast<std::int64_t>(aPlacement.mWait.count())) +
    " predicted_ms=" + std::to_string(static_cast<std::int64_t>(aPlacement.mFirstToken.count())) +
    " target_ms=" + std::to_string(mRoute->mTargetLatency.count());
}

kj::Promise<void>
exchange::AwaitPrefix(const await_prefix& aPrefix)
{
  const auto now = mContext.mClock.Now();
  mPrefixWaitSince = mPrefixWaitSince.value_or(now);
  const auto left = std::chrono::duration_cast<milliseconds>(aPrefix.mReadyAt - now);
  const auto pause = std::clamp(left, kMinPrefixWait, kMaxPrefixWait);
  return mContext.mPrefixUpdates.Wait()
    .exclusiveJoin(mContext.mTimer.afterDelay(ToKj(pause)))
    .then([this] { return Attempt(); });
}

std::uint32_t
exchange::Daemons() const
{
  return mContext.mLoadExchange.DaemonCount();
}

bool
exchange::MayRetry()
{
  return mAttemptsSent < mRoute->mMaxAttempts && mExcludedServers.size() < kMaxServersTried &&
         TimeLeft() >= kMinTimeLeft &&
         mContext.mRetryBudget.CanTake(mService->mName, 1, Daemons(), mContext.mClock.Now());
}

bool
exchange::TakeRetries(const placement& aPlacement)
{
  const std::uint32_t prefills = aPlacement.mPrefill != nullptr && mPrefillsSent > 0 ? 1 : 0;
  const std::uint32_t runs = mAttemptsSent > 0 ? 1 : 0;
  return mContext.mRetryBudget.TryTake(
    mService->mName, prefills + runs, Daemons(), mContext.mClock.Now());
}

kj::Promise<void>
exchange::OnNotExecuted(std::string_view aReason, bool aSent)
{
  mExcludedServers.push_back(mTarget.mId);
  const bool mayRetry =
    aSent ? MayRetry() : mExcludedServers.size() < kMaxServersTried && TimeLeft() >= kMinTimeLeft;
  if (mayRetry) {
    LogOutcome("retry", aReason);
    if (mUnusedKv && !mMayHaveExecuted && ++mKvOffers <= kMaxKvOffers) {
      const auto servers = mContext.mDirectory.Eligible(mService->mName);
      placement plan;
      plan.mTarget = mContext.mPlacer.PlaceStream(Query(servers), mContext.mClock.Now());
      if (plan.mTarget != nullptr && TakeRetries(plan)) {
        return Send(plan, *mUnusedKv);
      }
    }
    ReleaseUnusedKv();
    return Attempt();
  }
  ReleaseUnusedKv();
  if (mResponseStarted) {
    return OnAttemptFailed(aReason);
  }
  return GiveUp(aReason, kDefaultRetryAfter);
}

kj::Promise<void>
exchange::GiveUp(std::string_view aReason, milliseconds aRetryAfter)
{
  if (mMayHaveExecuted) {
    return Fail(502, aReason);
  }
  return Refuse(aReason, aRetryAfter);
}

kj::Promise<void>
exchange::OnAttemptFailed(std::string_view aReason)
{
  mEvents.DiscardIncomplete();
  mExcludedServers.push_back(mTarget.mId);
  if (mRoute->IsRetryable() && MayRetry()) {
    LogOutcome("repeat", aReason);
    return Attempt();
  }
  if (!mResponseStarted) {
    return Fail(502, aReason);
  }
  return AbortResponse(aReason);
}

kj::Promise<void>
exchange::AbortResponse(std::string_view aReason)
{
  LogOutcome("broken", aReason);
  return KJ_EXCEPTION(DISCONNECTED, "the stream broke off");
}

kj::Promise<void>
exchange::Refuse(std::string_view aReason, milliseconds aRetryAfter)
{
  LogOutcome("refused", aReason);
  return Reply(
    503, StatusText(503), { { "Retry-After", Seconds(aRetryAfter) } }, "the request has not run\n");
}

kj::Promise<void>
exchange::Fail(unsigned int aStatus, std::string_view aReason)
{
  LogOutcome("failed", std::to_string(aStatus) + " " + std::string{ aReason });
  return Reply(aStatus, StatusText(aStatus), {}, std::string{ aReason } + '\n');
}

kj::Promise<void>
exchange::OnTimeLimit()
{
  mBackendResponse = nullptr;
  CloseAttempt(backend_outcome::Cancelled);
  if (mResponseStarted) {
    return AbortResponse("time limit");
  }
  if (mAttemptsSent == 0) {
    return Refuse("the time limit passed before a server was found", kDefaultRetryAfter);
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
  mResponseStarted = true;
  auto out = mResponse.send(aStatus, ToKj(text), ToKj(aHeaders, mContext.mTable), body->size());
  auto& stream = *out;
  return stream.write(body->data(), body->size()).attach(kj::mv(out), kj::mv(body));
}

void
exchange::CloseAttempt(backend_outcome aOutcome)
{
  if (mTicket) {
    mContext.mLoadTracker.End(*mTicket, aOutcome, mContext.mClock.Now());
    mTicket.reset();
  }
}

void
exchange::CountOutcome(std::string_view aOutcome)
{
  auto& counters = mContext.mCounters;
  const auto outcome = "outcome=\"" + std::string{ aOutcome } + '"';
  counters.Get("skylarkwind_requests_total", "Requests by how they ended.", outcome).Add();
  if (aOutcome != "answered") {
    return;
  }
  const auto first = mFirstEventAt.value_or(mContext.mClock.Now()) - mArrivedAt;
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
exchange::LogDropped()
{
  const std::string_view reason = mContext.mExiting ? "the daemon exits"
                                  : mConnection.Disconnected()
                                    ? "the connection to the caller failed"
                                  : mConnection.Ended() ? "the caller closed its connection"
                                                        : "the exchange failed";
  LogOutcome("dropped", reason);
}

void
exchange::LogOutcome(std::string_view aOutcome, std::string_view aReason)
{
  mOutcomeLogged = aOutcome != "retry" && aOutcome != "repeat";
  CountOutcome(aOutcome);
  const auto elapsed =
    std::chrono::duration_cast<milliseconds>(mContext.mClock.Now() - mArrivedAt).count();
  std::string text{ "id=" };
  text += mRequest.mId;
  text += " outcome=";
  text += aOutcome;
  text += " ms=" + std::to_string(elapsed);
  text += " sends=" + std::to_string(mAttemptsSent);
  text += " backend=" + mTarget.mId;
  text += " route=";
  text += mRoute != nullptr ? mRoute->mName : "-";
  text += " version=" + std::to_string(mConfiguration ? mConfiguration->mVersion : 0);
  const auto since = [this](instant aFrom, instant aTo) {
    return std::to_string(std::chrono::duration_cast<milliseconds>(aTo - aFrom).count());
  };
  if (mAttemptStartedAt != instant{}) {
    text += " held_ms=" + since(mArrivedAt, mAttemptStartedAt);
  }
  text += mPlacementLog;
  if (mFirstEventAt) {
    text += " first_ms=" + since(mArrivedAt, *mFirstEventAt);
    text += " gap_ms=" + since(instant{}, instant{} + mLongestEventGap);
  }
  if (aOutcome == "dropped" || aOutcome == "broken") {
    text += " body=" + std::to_string(mBody.Text().size());
    text += " received=" + std::to_string(mBytesReceived);
    text += " sent=" + std::to_string(mConnection.WrittenBytes() - mSentBefore);
    text += " unwritten=" + std::to_string(mConnection.UnwrittenBytes());
  }
  text += " reason=\"";
  text += aReason;
  text += '"';
  Log(log_level::Info, "request", text);
}

} // namespace skylarkwind
