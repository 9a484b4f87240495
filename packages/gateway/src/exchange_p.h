#pragma once

#include "monitored_stream_p.h"
#include "server_statements_p.h"

#include "skylarkwind/backend_board.h"
#include "skylarkwind/backend_directory.h"
#include "skylarkwind/body_reader.h"
#include "skylarkwind/clock.h"
#include "skylarkwind/counters.h"
#include "skylarkwind/event_splitter.h"
#include "skylarkwind/forward_dialect.h"
#include "skylarkwind/http_pool.h"
#include "skylarkwind/placement.h"
#include "skylarkwind/repeat_allowance.h"
#include "skylarkwind/route_index.h"
#include "skylarkwind/work_exchange.h"

#include <kj/async.h>
#include <kj/compat/http.h>
#include <kj/timer.h>

#include <memory>
#include <string>
#include <vector>

namespace skylarkwind {

/// Wakes requests that wait until a part of their prompt is computed.
class part_signal
{
public:
  part_signal()
    : part_signal(kj::newPromiseAndFulfiller<void>())
  {
  }
  /// Ends at the next news.
  kj::Promise<void> Wait() { return mNext.addBranch(); }
  void Fire()
  {
    mFulfiller->fulfill();
    auto next = kj::newPromiseAndFulfiller<void>();
    mNext = next.promise.fork();
    mFulfiller = kj::mv(next.fulfiller);
  }

private:
  explicit part_signal(kj::PromiseFulfillerPair<void> aPair)
    : mNext(aPair.promise.fork())
    , mFulfiller(kj::mv(aPair.fulfiller))
  {
  }
  kj::ForkedPromise<void> mNext;
  kj::Own<kj::PromiseFulfiller<void>> mFulfiller;
};

/// What all exchanges of a daemon share.
struct exchange_context
{
  const forward_dialect& mDialect;
  const route_index& mRoutes;
  backend_directory& mDirectory;
  backend_board& mBoard;
  part_holders& mHolders;
  const placer& mPlacer;
  repeat_allowance& mRepeats;
  work_exchange& mWork;
  http_pool& mPool;
  kj::Timer& mTimer;
  const clock_source& mClock;
  const kj::HttpHeaderTable& mTable;
  counters& mCounters;
  kj::TaskSet& mTasks; ///< calls that outlive an exchange
  part_signal& mParts;
  byte_budget& mAnswerBodies;
  byte_budget& mCallerBodies;
};

/// One request of a caller from its arrival to the end of its answer.
class exchange
{
public:
  exchange(exchange_context& aContext,
           kj::HttpService::Response& aResponse,
           monitored_stream& aConnection);
  ~exchange();

  /// Serves the request whose head is given. The promise ends when the answer is complete; it
  /// throws when the answer has to be broken off. Dropping it cancels all work.
  kj::Promise<void> Serve(forward_request aRequest, kj::AsyncInputStream& aBody);

  /// Refuses the request because the daemon stops.
  kj::Promise<void> RefuseStopping(forward_request aRequest);

private:
  /// What ended the race between the work, the time limit and the caller.
  enum class race_end
  {
    Served,
    Expired,
    CallerGone
  };

  /// Holds the caller's body, or answers that it cannot be taken.
  kj::Promise<void> TakeBody(kj::AsyncInputStream& aBody);
  kj::Promise<void> Begin();
  kj::Promise<void> Attempt();
  /// Waits for news of the prompt's parts, then places the request again.
  kj::Promise<void> AwaitParts(const await_parts& aParts);
  kj::Promise<void> Prefill(const placement& aPlacement);
  kj::Promise<void> OnPrefilled(const placement& aPlacement, std::string_view aBody);
  kj::Promise<void> Send(const placement& aPlacement, std::optional<kv_source> aKv);
  kj::Promise<void> OnAnswer(http_result aResult);
  kj::Promise<void> OnWholeAnswer(const answer_head& aHead, std::string aBody);
  kj::Promise<void> StreamFurther();
  /// Whole events have come; `aFirst` before any other of this request.
  void OnEvents(bool aFirst);
  kj::Promise<void> OnStreamEnd();

  /// The attempt has not run. Tries another server or refuses.
  kj::Promise<void> OnNotRun(std::string_view aReason, bool aSent);
  /// The attempt may have run.
  kj::Promise<void> OnBroken(std::string_view aReason);
  bool MayTryAgain();
  /// Takes what the next attempt adds to the arrivals beyond the first: each prefill and each run
  /// after the first one.
  bool TakeRepeats(const placement& aPlacement);
  /// Frees the KV cache of a prefill that no engine will take.
  void ReleaseUntaken();
  /// Refuses the request if it has not run, else fails it.
  kj::Promise<void> GiveUp(std::string_view aReason, std::chrono::milliseconds aRetryAfter);
  kj::Promise<void> Refuse(std::string_view aReason, std::chrono::milliseconds aRetryAfter);
  kj::Promise<void> Fail(unsigned int aStatus, std::string_view aReason);
  kj::Promise<void> OnTimeLimit();
  /// Ends an answer that has begun as incomplete.
  kj::Promise<void> BreakOff(std::string_view aReason);
  kj::Promise<void> Reply(unsigned int aStatus,
                          std::string_view aStatusText,
                          const header_list& aHeaders,
                          std::string aBody);

  /// Takes in what the server said of itself beside its answer.
  void NoteHead();

  std::chrono::milliseconds TimeLeft() const;
  placement_query Query(const std::vector<const backend_server*>& aServers) const;
  /// Whether the answer is not to this request. Servers state the request's id in every answer; one
  /// without it is a late second answer to an earlier request on the connection.
  bool IsForeign(const answer_head& aHead) const;
  /// Tokens that come into the memory of the engine that computes the prompt.
  std::uint32_t AddedTokens(const placement& aPlacement) const;
  /// Notes the inputs of a placement for the log.
  void NotePlan(const placement& aPlacement);
  /// The request as it goes to a server; its body is a view of this exchange's.
  http_call CallTo(const backend_server& aServer, const forward_attempt& aAttempt) const;
  /// Ends the accounting of the open attempt.
  void Close(backend_outcome aOutcome);
  void LogEnd(std::string_view aOutcome, std::string_view aReason);
  /// Counts the end and the time to the first event or answer.
  void CountEnd(std::string_view aOutcome);
  std::uint32_t Daemons() const;

  exchange_context& mContext;
  kj::HttpService::Response& mResponse;
  monitored_stream& mConnection; ///< to the caller
  forward_request mRequest;
  held_body mBody;
  instant mArrived;
  instant mDeadline;
  /// Keeps the route alive while a newer configuration comes into force.
  std::shared_ptr<const forward_configuration> mConfiguration;
  const forward_route* mRoute = nullptr;
  const forward_service* mService = nullptr;

  std::vector<std::string> mAvoid;    ///< servers that failed this request
  std::optional<instant> mWaitsSince; ///< for parts of the prompt
  std::uint32_t mPrefills = 0;        ///< calls that only have the prompt read
  std::uint32_t mSends = 0;           ///< arrivals at servers that count as attempts
  bool mMayHaveRun = false;
  bool mAnswerBegun = false;

  std::optional<kv_source> mUntaken; ///< KV cache that no engine has taken yet
  std::string mUntakenAt;            ///< id of the engine that holds it
  std::uint32_t mOffers = 0;         ///< to further engines, after the first had refused it
  backend_server mTarget;            ///< copy: the directory may change while the attempt is open
  std::optional<backend_board::ticket> mTicket;
  std::uint32_t mAddsAtTarget = 0; ///< tokens that come into the target's memory
  instant mSentAt{};               ///< start of the last attempt, its prefill included
  std::optional<instant> mFirstAt; ///< first event or whole answer
  instant mLastEventAt{};          ///< or the begin of the stream
  instant::duration mLongestGap{}; ///< between events
  std::size_t mBytesWithoutEvent = 0;
  std::string mPlan; ///< what the last placement was decided by, for the log
  std::unique_ptr<http_answer> mAnswer;
  answer_head mHead;
  event_splitter mEvents;
  kj::Own<kj::AsyncOutputStream> mOut;
  kj::Array<kj::byte> mChunk;
};

} // namespace skylarkwind
