#include "exchange_p.h"

#include "skylarkwind/log.h"

#include <kj/debug.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// Upper bounds of the buckets of the latency histogram.
constexpr std::array kLatencyBounds{ milliseconds{ 50 },    milliseconds{ 100 },
                                     milliseconds{ 200 },   milliseconds{ 300 },
                                     milliseconds{ 500 },   milliseconds{ 800 },
                                     milliseconds{ 1'500 }, milliseconds{ 3'000 },
                                     milliseconds{ 8'000 } };

/// Outcomes of attempts and streams after which the request goes on.
constexpr std::array<std::string_view, 6> kOpenOutcomes{ "retry",    "repeat",    "silent",
                                                         "replaced", "continued", "waiting" };

std::string
Seconds(milliseconds aTime)
{
  std::array<char, 24> text{};
  std::snprintf(text.data(), text.size(), "%.2f", static_cast<double>(aTime.count()) / 1'000);
  return text.data();
}

} // namespace

kj::Promise<void>
exchange::Finish(exchange_end aEnd)
{
  EndAttempts();
  return std::visit([this](auto&& aOne) { return Finish(std::forward<decltype(aOne)>(aOne)); },
                    std::move(aEnd));
}

kj::Promise<void>
exchange::Finish(const stream_complete&)
{
  LogOutcome("answered", "stream");
  mResponse.FinishStream();
  return kj::READY_NOW;
}

kj::Promise<void>
exchange::Finish(server_answer aEnd)
{
  if (mRoute->mKind != route_kind::Streaming) {
    CountUsage();
  }
  LogOutcome("answered", "status " + std::to_string(aEnd.mStatus));
  return Reply(static_cast<unsigned int>(aEnd.mStatus), aEnd.mHeaders, std::move(aEnd.mBody));
}

kj::Promise<void>
exchange::Finish(const request_rejected& aEnd)
{
  LogOutcome("failed", std::to_string(aEnd.mStatus) + " " + aEnd.mReason);
  constexpr unsigned int kUnauthorized = 401;
  header_list headers;
  if (aEnd.mStatus == kUnauthorized) {
    headers.emplace_back("WWW-Authenticate", "ApiKey");
  }
  return Reply(aEnd.mStatus, headers, aEnd.mReason + '\n');
}

kj::Promise<void>
exchange::Finish(const no_answer& aEnd)
{
  if (mResponse.Started()) {
    return BreakStream(aEnd.mReason);
  }
  if (MayHaveExecuted()) {
    if (mRoute != nullptr && mRoute->mKind != route_kind::Streaming) {
      CountUsage();
    }
    LogOutcome("failed", std::to_string(aEnd.mFailureStatus) + " " + aEnd.mReason);
    return Reply(aEnd.mFailureStatus, {}, aEnd.mReason + '\n');
  }
  constexpr unsigned int kServiceUnavailable = 503;
  LogOutcome("refused", aEnd.mReason);
  return Reply(kServiceUnavailable,
               { { "Retry-After", Seconds(aEnd.mRetryAfter) } },
               "the request has not run\n");
}

void
exchange::CountUsage()
{
  if (mAccount != nullptr && !std::exchange(mIsCounted, true) && mContext.mOnRequestBegan) {
    mContext.mOnRequestBegan(mAccount->mName);
  }
}

kj::Promise<void>
exchange::Finish(const caller_left&)
{
  LogOutcome("gone", "the caller closed its connection");
  return KJ_EXCEPTION(DISCONNECTED, "the caller closed its connection");
}

kj::Promise<void>
exchange::BreakStream(std::string_view aReason)
{
  LogOutcome("broken", aReason);
  return KJ_EXCEPTION(DISCONNECTED, "the stream broke off");
}

kj::Promise<void>
exchange::Reply(unsigned int aStatus, const header_list& aHeaders, std::string aBody)
{
  const auto limit = std::max(milliseconds{ 0 }, TimeLeft()) + kSlowCallerLimit;
  mReplying = true;
  return mContext.mTimer
    .timeoutAfter(ToKj(limit), mResponse.SendWhole(aStatus, aHeaders, std::move(aBody)))
    .then([this] { mReplying = false; });
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
  const std::string_view reason =
    mContext.mShutdown.Reached(shutdown_stage::Exiting) ? "the daemon exits"
    : mConnection.Disconnected()                        ? "the connection to the caller failed"
    : mConnection.Ended()                               ? "the caller closed its connection"
                                                        : "the exchange failed";
  LogOutcome(mReplying ? "undelivered" : "dropped", reason);
}

void
exchange::LogOutcome(std::string_view aOutcome, std::string_view aReason)
{
  mOutcomeLogged =
    std::find(kOpenOutcomes.begin(), kOpenOutcomes.end(), aOutcome) == kOpenOutcomes.end();
  CountOutcome(aOutcome);
  const auto elapsed =
    std::chrono::duration_cast<milliseconds>(mContext.mClock.Now() - mArrivedAt).count();
  std::string text{ "id=" };
  text += mRequest.mId;
  text += " outcome=";
  text += aOutcome;
  text += " ms=" + std::to_string(elapsed);
  text += " sends=" + std::to_string(mAttemptsSent);
  text += " backend=" + mAttempt->mTarget.mId;
  text += " route=";
  text += mRoute != nullptr ? mRoute->mName : "-";
  if (mAccount != nullptr) {
    text += " account=" + mAccount->mName;
  }
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
  if (aOutcome != "answered" && !mRequest.mSharedParts.empty()) {
    text += " parts=";
    for (std::size_t i = 0; i < mRequest.mSharedParts.size(); ++i) {
      text += (i > 0 ? "," : "") + PromptPartText(mRequest.mSharedParts[i]);
    }
  }
  const bool unfinished = aOutcome == "dropped" || aOutcome == "undelivered";
  if (unfinished || aOutcome == "broken") {
    text += " body=" + std::to_string(mBody.Text().size());
    text += " received=" + std::to_string(mBytesReceived);
    text += " sent=" + std::to_string(mConnection.WrittenBytes() - mSentBefore);
    text += " unwritten=" + std::to_string(mConnection.UnwrittenBytes());
  }
  text += " reason=\"";
  text += aReason;
  text += '"';
  // Nothing but this line tells of such a request, so it must not be lost among others.
  Log(unfinished ? log_level::Warning : log_level::Info, "request", text);
}

} // namespace skylarkwind
