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

/// An attempt with less time than this left cannot end well.
constexpr milliseconds kLeastTimeLeft{ 20 };
/// Servers that say that they did not run a request may be asked one after the other; the bound
/// ends a round over a service that refuses everywhere.
constexpr std::size_t kMostServersTried = 6;
constexpr milliseconds kRetryAfterRefusal{ 400 };
/// A computed prompt is offered to so many further engines before it is computed again.
constexpr std::uint32_t kMostOffers = 2;
/// Upper bounds of the latency histogram.
constexpr std::array kLatencyBounds{ milliseconds{ 50 },    milliseconds{ 100 },
                                     milliseconds{ 200 },   milliseconds{ 300 },
                                     milliseconds{ 500 },   milliseconds{ 800 },
                                     milliseconds{ 1'500 }, milliseconds{ 3'000 },
                                     milliseconds{ 8'000 } };
/// Bounds of one wait for news of a prompt's parts.
constexpr milliseconds kShortestWait{ 10 };
constexpr milliseconds kLongestWait{ 300 };

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
  return TakeBody(aBody);
}

kj::Promise<void>
exchange::RefuseStopping(forward_request aRequest)
{
  mRequest = std::move(aRequest);
  return Refuse("the daemon stops", kRetryAfterRefusal);
}

kj::Promise<void>
exchange::TakeBody(kj::AsyncInputStream& aBody)
{
  const auto& limits = mConfiguration ? mConfiguration->mLimits : caller_limits{};
  return ReadBody(aBody, limits.mMaxBodyBytes, mContext.mCallerBodies)
    .then([this](body_result aResult) -> kj::Promise<void> {
      if (auto* body = std::get_if<held_body>(&aResult)) {
        mBody = std::move(*body);
        return Begin();
      }
      if (std::get<body_problem>(aResult) == body_problem::TooLong) {
        return Fail(413, "the body is too large");
      }
      return Refuse("too many bytes of requests are held", kRetryAfterRefusal);
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
  query.mDraw = Hash64(mRequest.mId) + mSends + mPrefills;
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
    if (none->mBest) {
      NotePlan(*none->mBest);
    }
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
  mSentAt = mContext.mClock.Now();
  NotePlan(chosen);
  if (chosen.mPrefill != nullptr) {
    return Prefill(chosen);
  }
  return Send(chosen, std::nullopt);
}

void
exchange::NotePlan(const placement& aPlacement)
{
  if (!mRequest.mGeneration) {
    return;
  }
  const auto& prefill = aPlacement.mPrefill;
  const auto* computing = prefill != nullptr ? prefill : aPlacement.mTarget;
  mPlan =
    " prompt=" + std::to_string(mRequest.mGeneration->mPromptTokens) +
    " compute=" + std::to_string(aPlacement.mComputeTokens) + " at=" + computing->mId +
    " ahead=" + std::to_string(aPlacement.mAheadTokens) +
    " fetch=" + (aPlacement.mFetchFrom != nullptr ? aPlacement.mFetchFrom->mId : "-") +
    " wait_ms=" + std::to_string(static_cast<std::int64_t>(aPlacement.mWait.count())) +
    " predicted_ms=" + std::to_string(static_cast<std::int64_t>(aPlacement.mFirstToken.count())) +
    " target_ms=" + std::to_string(mRoute->mTarget.count());
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

std::uint32_t
exchange::Daemons() const
{
  return mContext.mWork.Daemons();
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

kj::Promise<void>
exchange::OnNotRun(std::string_view aReason, bool aSent)
{
  mAvoid.push_back(mTarget.mId);
  const bool again =
    aSent ? MayTryAgain() : mAvoid.size() < kMostServersTried && TimeLeft() >= kLeastTimeLeft;
  if (again) {
    LogEnd("retry", aReason);
    if (mUntaken && !mMayHaveRun && ++mOffers <= kMostOffers) {
      const auto servers = mContext.mDirectory.Usable(mService->mName);
      placement plan;
      plan.mTarget = mContext.mPlacer.PlaceStream(Query(servers), mContext.mClock.Now());
      if (plan.mTarget != nullptr && TakeRepeats(plan)) {
        return Send(plan, *mUntaken);
      }
    }
    ReleaseUntaken();
    return Attempt();
  }
  ReleaseUntaken();
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
