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

/// A generation request, parsed and validated by the front.
struct completion_request
{
  bool mChat = false;
  bool mStreaming = false;
  std::string mModel;
  std::string mPrompt;             ///< the prompt, or all chat messages joined; hashed by prefix
  std::uint64_t mPromptTokens = 0; ///< estimated at 4 bytes per token
  std::uint64_t mMaxTokens = 0;
  std::string mBody; ///< the caller's JSON object
};

/// Any other request. It is routed to the plain service whose path prefix matches.
struct plain_request
{
  std::string mMethod;
  std::string mPath; ///< including the query string
  header_list mHeaders;
  std::string mBody;
};

/// A request as a caller sent it, with the headers that control how it is served.
struct caller_request
{
  std::string mApiKeySha256; ///< empty if the caller sent no key
  std::variant<completion_request, plain_request> mOperation;
  std::string mIdempotencyKey;                         ///< empty if absent
  std::string mResumeToken;                            ///< header Last-Event-ID; empty if absent
  std::optional<std::chrono::milliseconds> mTimeLimit; ///< header X-Request-Timeout-Ms
};

/// A caller sent a request.
struct caller_arrived
{
  request_id mRequest;
  caller_request mBody;
};

/// The caller's connection closed before its response was complete.
struct caller_disconnected
{
  request_id mRequest;
};

/// Tokens, the result or the failure of an attempt that `start_attempt` began.
struct attempt_progress
{
  attempt_id mAttempt;
  attempt_outcome mOutcome;
};

/// The result of `request_engine_state`.
struct engine_state_received
{
  std::string mEngine;
  std::optional<engine_report> mReport; ///< empty if the engine could not be reached
  instant mAskedAt;                     ///< when the request for the state was sent
};

/// The result of `send_engine_command`.
struct engine_command_completed
{
  std::string mEngine;
  std::string mOrder;
  engine_command_result mResult = engine_command_result::NoAnswer;
};

/// The result of `read_cache_events`.
struct cache_events_read
{
  std::string mEngine;
  std::uint64_t mIncarnation = 0;
  std::vector<cache_event> mEvents;
  std::uint64_t mNext = 0;
};

/// The result of `call_platform`.
struct platform_replied
{
  call_id mCall;
  platform_result mResult;
};

/// A message from another daemon. The response (`respond_to_peer`) carries the same `mCall`.
struct peer_request_received
{
  peer_call_id mCall;
  peer_message mMessage;
};

/// The response to `send_to_peer`; empty if none arrived within the time limit.
struct peer_response_received
{
  peer_call_id mCall;
  std::optional<peer_reply> mReply;
};

/// Periodic event for timers. The driver sends one every 20 ms.
struct tick
{};

/// SIGTERM: refuse new requests, complete open ones, then emit `shutdown_complete`.
struct shutdown_requested
{};

/// Everything that the driver reports to the core.
using event = std::variant<caller_arrived,
                           caller_disconnected,
                           attempt_progress,
                           engine_state_received,
                           engine_command_completed,
                           cache_events_read,
                           platform_replied,
                           peer_request_received,
                           peer_response_received,
                           tick,
                           shutdown_requested>;

} // namespace skylarkwind
