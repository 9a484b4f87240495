#pragma once

#include "skylarkwind/backend_calls.h"
#include "skylarkwind/peer_messages.h"
#include "skylarkwind/platform_calls.h"
#include "skylarkwind/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace skylarkwind {

/// A generation request, parsed and checked by the front.
struct completion_request
{
  bool mChat = false;
  bool mStreaming = false;
  std::string mModel;
  std::string mPrompt;             ///< the prompt, or all messages joined, for prefix hashing
  std::uint64_t mPromptTokens = 0; ///< estimated: 4 bytes a token
  std::uint64_t mMaxTokens = 0;
  std::string mBody; ///< the caller's JSON object
};

/// Any other request, to be matched with a plain service's path prefix.
struct plain_request
{
  std::string mMethod;
  std::string mPath; ///< with query
  header_list mHeaders;
  std::string mBody;
};

/// A request of a caller.
struct caller_request
{
  std::string mApiKeySha256; ///< empty when the caller sent none
  std::variant<completion_request, plain_request> mOperation;
  std::string mIdempotencyKey;                         ///< empty when none
  std::string mResumeToken;                            ///< Last-Event-ID, empty when none
  std::optional<std::chrono::milliseconds> mTimeLimit; ///< header X-Request-Timeout-Ms
};

struct caller_arrived
{
  request_id mRequest;
  caller_request mBody;
};

/// The caller's connection ended before its answer did.
struct caller_gone
{
  request_id mRequest;
};

struct attempt_progress
{
  attempt_id mAttempt;
  attempt_outcome mOutcome;
};

/// The answer to `observe_engine`.
struct engine_observed
{
  std::string mEngine;
  std::optional<engine_report> mReport; ///< empty when the engine could not be reached
  instant mAskedAt;                     ///< when the question was sent
};

struct engine_order_answered
{
  std::string mEngine;
  std::string mOrder;
  engine_order_result mResult = engine_order_result::NoAnswer;
};

struct cache_events_read
{
  std::string mEngine;
  std::uint64_t mIncarnation = 0;
  std::vector<cache_event> mEvents;
  std::uint64_t mNext = 0;
};

struct platform_replied
{
  call_id mCall;
  platform_result mResult;
};

/// A message of another daemon; `mCall` names the answer that it waits for.
struct peer_asked
{
  peer_call_id mCall;
  peer_message mMessage;
};

/// The answer to `send_to_peer`; empty when none came in time.
struct peer_answered
{
  peer_call_id mCall;
  std::optional<peer_reply> mReply;
};

/// Time has passed. The driver sends one every 20 ms.
struct tick
{};

/// SIGTERM: take no new work, end what is open, then emit `shutdown_complete`.
struct shutdown_requested
{};

using event = std::variant<caller_arrived,
                           caller_gone,
                           attempt_progress,
                           engine_observed,
                           engine_order_answered,
                           cache_events_read,
                           platform_replied,
                           peer_asked,
                           peer_answered,
                           tick,
                           shutdown_requested>;

} // namespace skylarkwind
