#pragma once

#include "caller_response_p.h"
#include "crash_detector_p.h"
#include "monitored_stream_p.h"
#include "server_signals_p.h"
#include "shutdown_signal_p.h"

#include "skylarkwind/backend_directory.h"
#include "skylarkwind/backend_load_tracker.h"
#include "skylarkwind/body_reader.h"
#include "skylarkwind/clock.h"
#include "skylarkwind/counters.h"
#include "skylarkwind/fleet_retry_budget.h"
#include "skylarkwind/http_pool.h"
#include "skylarkwind/load_exchange.h"
#include "skylarkwind/placement.h"
#include "skylarkwind/prompt_quarantine.h"
#include "skylarkwind/protocol_adapter.h"
#include "skylarkwind/request_cost.h"
#include "skylarkwind/route_index.h"
#include "skylarkwind/sse_splitter.h"

#include <kj/async.h>
#include <kj/compat/http.h>
#include <kj/timer.h>

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace skylarkwind {

/// Wakes all that wait for an event that may occur again.
class repeated_signal
{
public:
  repeated_signal()
    : repeated_signal(kj::newPromiseAndFulfiller<void>())
  {
  }
  /// Resolves at the next call of `Notify`.
  kj::Promise<void> Wait() { return mNext.addBranch(); }
  void Notify()
  {
    mFulfiller->fulfill();
    auto next = kj::newPromiseAndFulfiller<void>();
    mNext = next.promise.fork();
    mFulfiller = kj::mv(next.fulfiller);
  }

private:
  explicit repeated_signal(kj::PromiseFulfillerPair<void> aPair)
    : mNext(aPair.promise.fork())
    , mFulfiller(kj::mv(aPair.fulfiller))
  {
  }
  kj::ForkedPromise<void> mNext;
  kj::Own<kj::PromiseFulfiller<void>> mFulfiller;
};

/// One call of an exchange to a server and, if its response is streamed, the reading of it.
struct backend_attempt
{
  backend_server mTarget; ///< a copy: the directory may change during the attempt
  std::optional<backend_load_tracker::ticket> mTicket;
  placement mPlacement;        ///< its pointers are not kept
  instant mSentAt{};           ///< when its last call was sent
  bool mCallSent = false;      ///< of a replacement: its server may have received its call
  bool mTargetFetches = false; ///< the prompt was computed by another engine than the target
  std::uint32_t mTargetAddedTokens = 0; ///< tokens added to the target's KV cache
  std::unique_ptr<http_answer> mBackendResponse;
  response_head mResponseHead;
  bool mStreaming = false;     ///< events of its response are being relayed
  bool mWriting = false;       ///< the caller has not taken the last events yet
  instant mLastEventAt{};      ///< or the start of the stream
  instant mSilentSince{};      ///< the last event, without the time that the caller took
  bool mSilenceLogged = false; ///< since the last event
  sse_splitter mEvents;        ///< of the whole response, so also of earlier attempts
  std::size_t mBytesWithoutEvent = 0;
  kj::Array<kj::byte> mReadBuffer;
};

/// Other requests stop waiting for a shared prefix when its prefill takes this many times as long
/// as predicted.
constexpr double kPrefillWaitFactor = 1.5;

/// State that all exchanges of a daemon share.
struct exchange_context
{
  const protocol_adapter& mProtocolAdapter;
  const route_index& mRoutes;
  backend_directory& mDirectory;
  backend_load_tracker& mLoadTracker;
  prefix_cache_index& mPrefixCacheIndex;
  const placer& mPlacer;
  engine_models& mEngineModels;
  request_cost& mRequestCost;
  fleet_retry_budget& mRetryBudget;
  load_exchange& mLoadExchange;
  http_pool& mPool;
  kj::Timer& mTimer;
  const clock_source& mClock;
  const kj::HttpHeaderTable& mTable;
  counters& mCounters;
  kj::TaskSet& mTasks;             ///< background calls that outlive an exchange
  repeated_signal& mPrefixUpdates; ///< a segment of a prompt is in the KV cache of an engine
  byte_budget& mResponseBodies;
  byte_budget& mRequestBodies;
  shutdown_signal& mShutdown;
  prompt_quarantine& mQuarantine;
  crash_detector& mCrashDetector;
  repeated_signal& mQuarantined; ///< a part of a prompt has been quarantined
  /// Called once for each request of an account that a server has begun to run; may be empty.
  std::function<void(const std::string& aAccount)> mOnRequestBegan = {};
  /// Whether the configuration or the servers are not known yet after the start; may be empty.
  std::function<bool()> mIsStarting = {};
  repeated_signal* mStarted = nullptr; ///< notified when both are known
};

/// Ends of an exchange, as far as servers and the caller decide them.

/// All events of a stream have been relayed.
struct stream_complete
{};
/// The whole response of a server, to be passed on.
struct server_answer
{
  int mStatus = 0;
  header_list mHeaders;
  std::string mBody;
};
/// The request itself is at fault: it has no route or is too large. No server has seen it.
struct request_rejected
{
  unsigned int mStatus = 0;
  std::string mReason;
};
/// No server has given a response that can be passed on.
struct no_answer
{
  std::string mReason;
  std::chrono::milliseconds mRetryAfter{ 400 }; ///< for the caller, when nothing was executed
  unsigned int mFailureStatus = 502;            ///< when the request may have been executed
};
/// The caller has closed its connection.
struct caller_left
{};
using exchange_end =
  std::variant<stream_complete, server_answer, request_rejected, no_answer, caller_left>;

/// Proxies one request of a caller to the backend servers: reads the body, places the request,
/// retries failed attempts and sends the response. Lives from the arrival of the request until the
/// response is complete.
///
/// The attempts only find out how the exchange ends; `Finish` alone turns that into bytes, since
/// the same end takes another form once a part of the response has been sent.
class exchange
{
public:
  exchange(exchange_context& aContext,
           kj::HttpService::Response& aResponse,
           monitored_stream& aConnection);
  ~exchange();

  /// Serves the request whose headers are given. The promise resolves when the response is
  /// complete and rejects when the response has to be aborted. Dropping it cancels all work.
  kj::Promise<void> Serve(forward_request aRequest, kj::AsyncInputStream& aBody);
  /// Responds to a request that is not served; its body is not read.
  kj::Promise<void> Reject(forward_request aRequest, request_rejected aReason);
  /// Whether the whole request has been read.
  bool BodyComplete() const { return mBodyComplete; }

private:
  /// Buffers the request body, then forwards the request. Ends with 413 when the body is too large
  /// and with 503 when the buffers of all requests are full.
  kj::Promise<exchange_end> ReadRequestBody(kj::AsyncInputStream& aBody);
  /// Finds the route and starts the first attempt, bounded by the time limit and the caller's
  /// connection.
  kj::Promise<exchange_end> RouteAndForward();
  /// The end of a request that holds a quarantined part; empty if it may be sent.
  std::optional<exchange_end> RejectQuarantined();
  /// Waits for the configuration and the servers of a daemon that has just started; resolves with
  /// the end of the request.
  kj::Promise<exchange_end> AwaitStart();
  /// Finds the account whose key the caller sent. Rejects a request without a known key on a route
  /// that needs one.
  std::optional<exchange_end> RejectUnknownKey();
  /// Counts the request for the usage of its account, once, when a server has begun to run it.
  void CountUsage();
  /// Resolves when a part of the request's prompt is quarantined, wherever the request is then.
  kj::Promise<exchange_end> WhenQuarantined();
  /// Places the request and sends it to the chosen server.
  kj::Promise<exchange_end> Attempt();
  /// Waits until the shared prefix of the prompt is computed or a timeout passes, then places the
  /// request again.
  kj::Promise<exchange_end> AwaitPrefix(const await_prefix& aPrefix);
  /// Has an engine compute the prompt's KV cache before the request goes to a decode engine. When
  /// the engine takes too long, another one is sought while the call stays open; whichever brings
  /// the request forward first is kept.
  kj::Promise<exchange_end> Prefill(const placement& aPlacement);
  /// A call for a prefill whose response has not begun. Owned by the promise of the prefill.
  struct open_prefill
  {
    explicit open_prefill(exchange& aOwner)
      : mOwner(aOwner)
    {
    }
    KJ_DISALLOW_COPY(open_prefill);
    ~open_prefill();

    exchange& mOwner;
    kj::Canceler mCall;
    /// The attempt of the call, while another engine is sought for the request.
    std::unique_ptr<backend_attempt> mAttempt;
  };
  using prefill_end = std::variant<http_result, exchange_end>;
  /// The engine has taken too long: seeks another one.
  kj::Promise<exchange_end> OnPrefillSilent(open_prefill& aOpen);
  kj::Promise<exchange_end> SeekAnotherEngine();
  /// The call has ended. Does not resolve while another engine is at work on the request.
  kj::Promise<prefill_end> OnPrefillCallEnd(open_prefill& aOpen, http_result aResult);
  /// The call has brought a response: gives up all attempts that began meanwhile. False when the
  /// request may not be sent again.
  bool ReturnToPrefill(open_prefill& aOpen);
  /// Another engine has the request.
  void GiveUpOpenPrefill();
  kj::Promise<exchange_end> OnPrefilled(const placement& aPlacement, std::string_view aBody);
  kj::Promise<exchange_end> Send(const placement& aPlacement, std::optional<kv_source> aKv);
  kj::Promise<exchange_end> OnResponse(http_result aResult);
  kj::Promise<exchange_end> OnBufferedResponse(const response_head& aHead, std::string aBody);
  /// Relays the server's stream of events to the caller until it ends. When the server falls
  /// silent, a replacement is sought while its stream stays open; whichever of the two delivers an
  /// event first is kept.
  kj::Promise<exchange_end> RelayStream();
  kj::Promise<exchange_end> ReadEvents(backend_attempt& aAttempt);
  kj::Promise<exchange_end> OnStreamBytes(backend_attempt& aAttempt, std::size_t aBytes);
  /// Decides between a silent stream and its replacement, if both are open, for the one given.
  void SelectStream(const backend_attempt& aAttempt);
  /// The stream of the attempt cannot be continued.
  kj::Promise<exchange_end> OnStreamFailed(backend_attempt& aAttempt, std::string_view aReason);

  /// Time without a complete event after which a replacement is sought. The first event may take
  /// the route's target latency longer.
  std::chrono::milliseconds SilenceLimit() const;
  bool MayReplace() const;
  void StartSilenceWatch();
  kj::Promise<void> WatchSilence();
  void SeekReplacement();
  /// The calls of a replacement have begun to reach its server.
  void OnReplacementSent();
  /// The replacement may have run, so that the time since it was sent counts for the next one, too.
  void RecordOverlap();
  /// Gives up the silent stream for its replacement.
  void TakeReplacement();
  /// Gives up the replacement, if there still is one, and goes on with the silent stream.
  void KeepSilentStream(std::string_view aReason);
  /// All attempts that began with the current one have ended.
  kj::Promise<void> OnAttemptsEnd(exchange_end aEnd);
  /// Goes on with the silent stream, if there is one, or ends the exchange.
  void EndStream(exchange_end aEnd);
  /// Cancels all reading from servers and closes their connections.
  void EndAttempts();

  /// Adds the time of the prompt's computation, or of the start of a stream that fetched it, to the
  /// model of the service's engines.
  void LearnPromptTime(const placement& aPlacement, instant aNow);
  /// Adds the time of a plain request to what is known of its route and account.
  void LearnServiceTime();
  /// Name of the caller's account; empty without one.
  std::string_view AccountName() const;
  /// Complete events have arrived; `aFirst` when they are the first ones of this request.
  void OnEvents(bool aFirst);
  kj::Promise<exchange_end> OnStreamEnd(backend_attempt& aAttempt);

  /// The attempt was not executed: tries another server or ends. `aSent` tells whether the server
  /// may have received bytes of it; if so, the next attempt needs retry budget.
  kj::Promise<exchange_end> OnNotExecuted(std::string_view aReason, bool aSent);
  /// The attempt may have been executed: retries only where the route allows it.
  kj::Promise<exchange_end> OnAttemptFailed(std::string_view aReason);
  /// Whether the limits of attempts and time allow another attempt.
  bool HasAttemptsLeft() const;
  /// The same with the retry budget. A stream that has begun waits for the budget instead.
  bool MayRetry();
  /// A stream that has begun and has no open server is not refused: it waits for a place or for
  /// retry budget until its time limit.
  bool MayAwaitPlace() const
  {
    return mResponse.Started() && !mSilentAttempt && mOpenPrefill == nullptr;
  }
  kj::Promise<exchange_end> AwaitPlace(std::string_view aReason);
  /// Takes the retry budget that the next attempt needs: one for each prefill and each attempt
  /// after the first one. False when the budget is used up.
  bool TakeRetries(const placement& aPlacement);
  /// Asks the prefill engine to free a KV cache that no decode engine will fetch.
  void ReleaseUnusedKv();
  exchange_end TimeLimitEnd() const;
  /// The end after an error that no other end covers, e.g. a body that is not valid HTTP.
  exchange_end EndOfFailure(const kj::Exception& aError) const;
  /// Resolves when a shutdown of the daemon ends this exchange. A request that has not arrived
  /// whole when the daemon begins to refuse might not finish in time. One whose response has not
  /// begun when the grace period is nearly over is ended while its caller can still be told.
  kj::Promise<exchange_end> EndOfService();
  /// Whether a server may have executed the request or may be doing so. If not, the caller is told
  /// with 503 that it may be sent again.
  bool MayHaveExecuted() const { return mMayHaveExecuted || mAttemptOpen; }

  /// Gives the caller the response that the end calls for, with regard to what has been sent.
  kj::Promise<void> Finish(exchange_end aEnd);
  kj::Promise<void> Finish(const stream_complete& aEnd);
  kj::Promise<void> Finish(server_answer aEnd);
  kj::Promise<void> Finish(const request_rejected& aEnd);
  kj::Promise<void> Finish(const no_answer& aEnd);
  kj::Promise<void> Finish(const caller_left& aEnd);
  /// Ends a stream that has begun such that the caller sees that it is incomplete.
  kj::Promise<void> BreakStream(std::string_view aReason);
  /// Sends a response with a body, bounded by what a slow caller may take.
  kj::Promise<void> Reply(unsigned int aStatus, const header_list& aHeaders, std::string aBody);

  /// Reads the response headers and applies what they say of the server itself.
  void ReadResponseHead();

  std::chrono::milliseconds TimeLeft() const;
  placement_query Query(const std::vector<const backend_server*>& aServers) const;
  /// Whether the response belongs to another request. Servers echo the request's id in every
  /// response; one without it is a late duplicate response to an earlier request on the connection.
  bool BelongsToOtherRequest(const response_head& aHead) const;
  /// Tokens that are added to the KV cache of the engine that computes the prompt.
  std::uint32_t AddedTokens(const placement& aPlacement) const;
  /// Formats the inputs of a placement for the request's log line.
  void RecordPlacement(const placement& aPlacement);
  /// From 0, the most urgent, to 9.
  std::uint32_t EnginePriority() const;
  /// Builds the request to a server; its body is a view of the buffered body of this exchange.
  http_call BuildCall(const backend_server& aServer, forward_attempt aAttempt) const;
  /// Ends the load accounting of the open attempt, if there is one.
  void CloseAttempt(backend_outcome aOutcome) { CloseAttempt(*mAttempt, aOutcome); }
  void CloseAttempt(backend_attempt& aAttempt, backend_outcome aOutcome);
  /// Logs that the exchange is destroyed before it has ended, or before the caller has received all
  /// of its response: nothing else tells of it.
  void LogDropped();
  /// Logs and counts the outcome of the request, or of an attempt that is retried.
  void LogOutcome(std::string_view aOutcome, std::string_view aReason);
  /// Counts the outcome, and for answered requests the time to the first event or response.
  void CountOutcome(std::string_view aOutcome);
  std::uint32_t Daemons() const;

  exchange_context& mContext;
  caller_response mResponse;
  monitored_stream& mConnection; ///< to the caller
  forward_request mRequest;
  buffered_body mBody;
  instant mArrivedAt;
  instant mDeadline;
  /// Keeps the route alive when a newer configuration is applied meanwhile.
  std::shared_ptr<const forward_configuration> mConfiguration;
  const forward_route* mRoute = nullptr;
  const forward_service* mService = nullptr;
  const client_account* mAccount = nullptr; ///< of `mConfiguration`; null without a known key
  bool mHasAwaitedStart = false;
  bool mIsCounted = false; ///< in the usage of the account

  std::vector<std::string> mExcludedServers; ///< ids of servers not to be tried again
  std::optional<instant> mPrefixWaitSince;   ///< since when it waits for its prefix
  std::uint32_t mPrefillsSent = 0;           ///< prefill calls that the engine may have received
  std::uint32_t mAttemptsSent = 0;           ///< calls that servers may have received
  bool mBodyComplete = false;
  bool mIsProbe = false; ///< tests whether a quarantined part still crashes engines
  bool mMayHaveExecuted = false;
  bool mAttemptOpen = false;   ///< sent to a server that has not answered yet
  bool mReplying = false;      ///< a whole response is being written
  bool mOutcomeLogged = false; ///< the request has ended, as far as the log tells

  std::optional<kv_source> mUnusedKv; ///< prefilled, not yet fetched by a decode engine
  std::string mUnusedKvEngine;        ///< id of the engine that holds `mUnusedKv`
  std::uint32_t mKvOffers = 0;        ///< further decode engines tried, after the first one refused
  std::unique_ptr<backend_attempt> mAttempt = std::make_unique<backend_attempt>();
  /// The attempt before, whose stream is silent and open, while `mAttempt` is its replacement.
  std::unique_ptr<backend_attempt> mSilentAttempt;
  /// A prefill that has taken too long and stays open while `mAttempt` looks for another engine.
  open_prefill* mOpenPrefill = nullptr;
  std::uint32_t mSentBeforeSilentPrefill = 0; ///< value of `mAttemptsSent`
  instant mAttemptStartedAt{};                ///< of the last attempt, its prefill included
  std::optional<instant> mFirstEventAt;       ///< first event or whole response
  instant::duration mLongestEventGap{};       ///< longest pause between events
  std::uint64_t mBytesReceived = 0;           ///< of bodies of responses
  std::uint64_t mSentBefore = 0; ///< bytes written to the caller's connection before this request
  std::string mPlacementLog;     ///< inputs of the last placement, as log text
  int mStreamStatus = 0;         ///< of the stream that has begun
  std::string mStreamType;       ///< its media type
  bool mAwaitsPlace = false;     ///< a begun stream has been waiting for a place
  instant mNextReplacementAt{};  ///< no replacement is sought before
  /// When a replacement was sent that has failed and may have run beside the silent stream.
  std::optional<instant> mOverlapSince;

  /// Once a stream is open, each chain of attempts runs in a promise of its own, so that one can be
  /// cancelled from the other, and the end of the exchange is passed on by `mStreamEnd`.
  kj::Own<kj::PromiseFulfiller<exchange_end>> mStreamEnd;
  kj::Promise<void> mRelaying = nullptr;    ///< the current stream, or the silent one
  kj::Promise<void> mReplacement = nullptr; ///< attempts to replace a silent stream
  kj::Promise<void> mSilenceWatch = nullptr;
  kj::Promise<void> mOverlapLimit = nullptr;
};

} // namespace skylarkwind
