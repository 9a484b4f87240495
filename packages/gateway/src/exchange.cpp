#include "exchange_p.h"

#include "skylarkwind/hash.h"

#include <algorithm>
#include <utility>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// Attempts are not started with less time than this left, as they could not finish in time.
constexpr milliseconds kMinTimeLeft{ 20 };
/// A request that a server refused without executing it is tried on other servers. The bound stops
/// the search when all servers of a service refuse.
constexpr std::size_t kMaxServersTried = 6;
constexpr milliseconds kDefaultRetryAfter{ 400 };
/// For callers whose request was under way when a part of it was quarantined.
constexpr milliseconds kQuarantineRetryAfter{ 30'000 };
/// A prefilled prompt is offered to this many further decode engines before it is computed again.
constexpr std::uint32_t kMaxKvOffers = 2;
/// How long a request waits for the configuration after the start of the daemon. Other daemons
/// send it within half a second; a caller that is refused meanwhile uses up a retry.
constexpr milliseconds kStartWait{ 600 };
/// Bounds of one wait for a shared prefix that is being computed for another request.
constexpr milliseconds kMinPrefixWait{ 10 };
constexpr milliseconds kMaxPrefixWait{ 300 };
/// How often a stream that has begun looks for a place while it waits for one.
constexpr milliseconds kPlacePause{ 50 };

} // namespace

exchange::exchange(exchange_context& aContext,
                   kj::HttpService::Response& aResponse,
                   monitored_stream& aConnection)
  : mContext(aContext)
  , mResponse(aResponse, aContext.mTable)
  , mConnection(aConnection)
  , mArrivedAt(aContext.mClock.Now())
  , mDeadline(mArrivedAt)
  , mSentBefore(aConnection.WrittenBytes())
{
}

exchange::~exchange()
{
  if (!mOutcomeLogged || mReplying) {
    LogDropped();
  }
  EndAttempts();
  ReleaseUnusedKv();
  if (mResponse.Streaming()) {
    mConnection.Abort();
  }
}

kj::Promise<void>
exchange::Serve(forward_request aRequest, kj::AsyncInputStream& aBody)
{
  mRequest = std::move(aRequest);
  mConfiguration = mContext.mRoutes.Current();
  return ReadRequestBody(aBody)
    .exclusiveJoin(EndOfService())
    .catch_([this](kj::Exception&& aError) { return EndOfFailure(aError); })
    .then([this](exchange_end aEnd) { return Finish(std::move(aEnd)); });
}

kj::Promise<void>
exchange::Reject(forward_request aRequest, request_rejected aReason)
{
  mRequest = std::move(aRequest);
  mConfiguration = mContext.mRoutes.Current();
  return Finish(exchange_end{ std::move(aReason) });
}

exchange_end
exchange::EndOfFailure(const kj::Exception& aError) const
{
  if (mBodyComplete) {
    return no_answer{ aError.getDescription().cStr() };
  }
  if (aError.getType() == kj::Exception::Type::DISCONNECTED) {
    return caller_left{};
  }
  constexpr unsigned int kBadRequest = 400;
  return request_rejected{ kBadRequest, aError.getDescription().cStr() };
}

kj::Promise<exchange_end>
exchange::EndOfService()
{
  return mContext.mShutdown.WhenRefusing().then([this]() -> kj::Promise<exchange_end> {
    if (!mBodyComplete) {
      return exchange_end{ no_answer{ "the daemon stops" } };
    }
    return mContext.mShutdown.WhenEnding().then([this]() -> kj::Promise<exchange_end> {
      if (mResponse.Started()) {
        return kj::NEVER_DONE;
      }
      return exchange_end{ no_answer{ "the daemon stops" } };
    });
  });
}

kj::Promise<exchange_end>
exchange::ReadRequestBody(kj::AsyncInputStream& aBody)
{
  if (mContext.mShutdown.Reached(shutdown_stage::Refusing)) {
    return exchange_end{ no_answer{ "the daemon stops" } };
  }
  const auto& limits = mConfiguration ? mConfiguration->mLimits : caller_limits{};
  KJ_IF_MAYBE (length, aBody.tryGetLength()) {
    if (*length > limits.mMaxBodyBytes) {
      return exchange_end{ request_rejected{ 413, "the body is too large" } };
    }
  }
  return ReadBody(aBody, limits.mMaxBodyBytes, mContext.mRequestBodies)
    .then([this](body_result aResult) -> kj::Promise<exchange_end> {
      if (auto* body = std::get_if<buffered_body>(&aResult)) {
        mBody = std::move(*body);
        return RouteAndForward();
      }
      if (std::get<body_error>(aResult) == body_error::TooLong) {
        return exchange_end{ request_rejected{ 413, "the body is too large" } };
      }
      return exchange_end{ no_answer{ "too many bytes of requests are held" } };
    });
}

kj::Promise<exchange_end>
exchange::RouteAndForward()
{
  if (mContext.mShutdown.Reached(shutdown_stage::Refusing)) {
    return exchange_end{ no_answer{ "the daemon stops" } };
  }
  mBodyComplete = true;
  if (mContext.mIsStarting && mContext.mIsStarting() && !std::exchange(mHasAwaitedStart, true)) {
    return AwaitStart();
  }
  // The configuration may have changed while the body was read; the current one applies.
  mConfiguration = mContext.mRoutes.Current();
  if (!mConfiguration) {
    return exchange_end{ no_answer{ "no configuration is known yet" } };
  }
  mRoute = mContext.mRoutes.Find(mRequest.mHost, mRequest.mTarget);
  if (mRoute == nullptr) {
    return exchange_end{ request_rejected{ 404, "no route" } };
  }
  if (auto rejected = RejectUnknownKey()) {
    return *std::move(rejected);
  }
  const auto& service = route_index::ServiceFor(*mRoute, mRequest.mId);
  mService = mConfiguration->FindService(service);
  if (mService == nullptr) {
    return exchange_end{ no_answer{ "the route's service is not configured" } };
  }
  if (auto rejected = RejectQuarantined()) {
    return *std::move(rejected);
  }
  if (mRoute->mKind != route_kind::Streaming) {
    mRequest.mGeneration.reset();
  }
  mDeadline =
    mArrivedAt + std::min(mRoute->mTimeout, mRequest.mCallerTimeout.value_or(mRoute->mTimeout));
  mContext.mRetryBudget.OnRequest(mService->mName, mContext.mClock.Now());
  const auto limit = std::max(milliseconds{ 0 }, TimeLeft());
  // `exclusiveJoin` cancels the other promises before the end is handled, so that nothing still
  // uses the connections that are closed then. Sending a response that is ready is not part of it:
  // a late response is delivered.
  return Attempt()
    .exclusiveJoin(mContext.mTimer.afterDelay(ToKj(limit)).then([this] { return TimeLimitEnd(); }))
    .exclusiveJoin(
      mConnection.WhenPeerCloses().then([]() -> exchange_end { return caller_left{}; }))
    .exclusiveJoin(WhenQuarantined());
}

kj::Promise<exchange_end>
exchange::AwaitStart()
{
  return mContext.mStarted->Wait()
    .exclusiveJoin(mContext.mTimer.afterDelay(ToKj(kStartWait)))
    .then([this] { return RouteAndForward(); })
    .exclusiveJoin(
      mConnection.WhenPeerCloses().then([]() -> exchange_end { return caller_left{}; }));
}

std::optional<exchange_end>
exchange::RejectUnknownKey()
{
  if (!mConfiguration->mAccounts) {
    return std::nullopt;
  }
  mAccount = mContext.mRoutes.Accounts().Find(mRequest.mApiKey);
  if (mAccount != nullptr || mRoute->mIsPublic) {
    return std::nullopt;
  }
  const std::string reason = mRequest.mApiKey.empty() ? "missing" : "unknown";
  mContext.mCounters
    .Get("skylarkwind_key_rejections_total",
         "Requests that were rejected as their caller's key is missing or unknown.",
         "reason=\"" + reason + '"')
    .Add();
  constexpr unsigned int kUnauthorized = 401;
  return exchange_end{ request_rejected{ kUnauthorized, "the key is " + reason } };
}

std::optional<exchange_end>
exchange::RejectQuarantined()
{
  const auto decision = mContext.mQuarantine.Decide(mRequest.mSharedParts, mContext.mClock.Now());
  mIsProbe = std::holds_alternative<request_admitted_as_probe>(decision);
  const auto* held = std::get_if<request_quarantined>(&decision);
  if (held == nullptr) {
    return std::nullopt;
  }
  mContext.mCounters
    .Get("skylarkwind_quarantine_rejections_total",
         "Requests that were rejected on arrival, as a part of their prompt is quarantined.")
    .Add();
  return exchange_end{ no_answer{ "quarantined part " + PromptPartText(held->mPart),
                                  held->mRetryAfter } };
}

kj::Promise<exchange_end>
exchange::WhenQuarantined()
{
  if (mRequest.mSharedParts.empty() || mIsProbe) {
    return kj::NEVER_DONE;
  }
  return mContext.mQuarantined.Wait().then([this]() -> kj::Promise<exchange_end> {
    if (!mContext.mQuarantine.Holds(mRequest.mSharedParts)) {
      return WhenQuarantined();
    }
    return exchange_end{ no_answer{ "a part of the prompt has been quarantined",
                                    kQuarantineRetryAfter } };
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
  if (query.mGeneration == nullptr) {
    query.mServiceTime = mContext.mRequestCost.ServiceTime(mRoute->mName, AccountName());
  }
  query.mRandomBits = Hash64(mRequest.mId) + mAttemptsSent + mPrefillsSent;
  query.mBegun = MayAwaitPlace();
  query.mMayWait =
    !mPrefixWaitSince || mContext.mClock.Now() - *mPrefixWaitSince < mRoute->mTargetLatency;
  return query;
}

kj::Promise<exchange_end>
exchange::Attempt()
{
  mOverlapLimit = nullptr;
  if (TimeLeft() < kMinTimeLeft) {
    return TimeLimitEnd();
  }
  const auto servers = mContext.mDirectory.Eligible(mService->mName);
  const auto result = mContext.mPlacer.Place(Query(servers), mContext.mClock.Now());
  if (const auto* none = std::get_if<placement_refusal>(&result)) {
    if (none->mBest) {
      RecordPlacement(*none->mBest);
    }
    if (MayAwaitPlace()) {
      return AwaitPlace(none->mReason);
    }
    return exchange_end{ no_answer{ std::string{ none->mReason }, none->mRetryAfter } };
  }
  if (const auto* prefix = std::get_if<await_prefix>(&result)) {
    return AwaitPrefix(*prefix);
  }
  const auto& chosen = std::get<placement>(result);
  if (!TakeRetries(chosen)) {
    constexpr std::string_view kNoRepeats = "no repeats are left";
    if (MayAwaitPlace()) {
      return AwaitPlace(kNoRepeats);
    }
    return exchange_end{ no_answer{ std::string{ kNoRepeats } } };
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

kj::Promise<exchange_end>
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

kj::Promise<exchange_end>
exchange::AwaitPlace(std::string_view aReason)
{
  if (!std::exchange(mAwaitsPlace, true)) {
    LogOutcome("waiting", aReason);
  }
  // What did not serve before may do so by then, e.g. a server that was full.
  mExcludedServers.clear();
  return mContext.mTimer.afterDelay(ToKj(kPlacePause)).then([this] { return Attempt(); });
}

bool
exchange::HasAttemptsLeft() const
{
  return mAttemptsSent < mRoute->mMaxAttempts && mExcludedServers.size() < kMaxServersTried &&
         TimeLeft() >= kMinTimeLeft;
}

bool
exchange::MayRetry()
{
  if (MayAwaitPlace()) {
    return HasAttemptsLeft();
  }
  return HasAttemptsLeft() &&
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

kj::Promise<exchange_end>
exchange::OnNotExecuted(std::string_view aReason, bool aSent)
{
  mExcludedServers.push_back(mAttempt->mTarget.mId);
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
  if (MayAwaitPlace() && mAttemptsSent < mRoute->mMaxAttempts) {
    return AwaitPlace(aReason);
  }
  return exchange_end{ no_answer{ std::string{ aReason } } };
}

kj::Promise<exchange_end>
exchange::OnAttemptFailed(std::string_view aReason)
{
  RecordOverlap();
  mAttempt->mEvents.DiscardIncomplete();
  mExcludedServers.push_back(mAttempt->mTarget.mId);
  if (mRoute->IsRetryable() && !mContext.mQuarantine.IsSuspected(mRequest.mSharedParts) &&
      MayRetry()) {
    LogOutcome("repeat", aReason);
    return Attempt();
  }
  return exchange_end{ no_answer{ std::string{ aReason } } };
}

exchange_end
exchange::TimeLimitEnd() const
{
  constexpr unsigned int kGatewayTimeout = 504;
  return no_answer{ mAttemptsSent == 0 ? "the time limit passed before a server was found"
                                       : "time limit",
                    kDefaultRetryAfter,
                    kGatewayTimeout };
}

void
exchange::CloseAttempt(backend_attempt& aAttempt, backend_outcome aOutcome)
{
  if (aAttempt.mTicket) {
    mContext.mLoadTracker.End(*aAttempt.mTicket, aOutcome, mContext.mClock.Now());
    aAttempt.mTicket.reset();
  }
}

} // namespace skylarkwind
