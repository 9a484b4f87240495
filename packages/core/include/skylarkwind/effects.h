#pragma once

#include "skylarkwind/backend_calls.h"
#include "skylarkwind/log.h"
#include "skylarkwind/peer_messages.h"
#include "skylarkwind/platform_calls.h"
#include "skylarkwind/types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace skylarkwind {

/// What an error response says about whether the request was run.
enum class run_state
{
  NotRun,
  InProgress,
  OutcomeUnknown
};

/// The run state as written in error responses, for example "not run".
std::string_view RunStateText(run_state aState);

/// An error response, or an error event if the stream has begun.
struct caller_error
{
  request_id mRequest;
  int mStatus = 500;
  std::string mType; ///< for example "rate_limit_error"
  std::string mCode; ///< for example "deadline_exceeded"
  std::string mMessage;
  run_state mRun = run_state::NotRun;
  std::optional<std::chrono::milliseconds> mRetryAfter;
};

/// Tokens for the caller. The front sends them as one event of the stream, or collects them if the
/// caller did not ask for a stream.
struct caller_tokens
{
  request_id mRequest;
  std::string mText;
  std::uint64_t mOffset = 0; ///< tokens of the response up to the end of this text
  std::string mResumeToken;  ///< id of the stream event; empty if the stream cannot be resumed
};

/// The generation is complete; all of its tokens have been delivered.
struct caller_completed
{
  request_id mRequest;
  std::string mFinishReason;
  token_usage mUsage;
};

/// The response of a plain service, or the recorded outcome of an earlier request with its key.
struct caller_response
{
  request_id mRequest;
  int mStatus = 200;
  header_list mHeaders;
  std::string mBody;
};

/// Sends a request to a backend server. `attempt_progress` events follow.
struct start_attempt
{
  attempt_id mAttempt;
  std::string mBackend; ///< name for log lines
  std::string mAddress; ///< ip:port
  backend_call mCall;
  std::chrono::milliseconds mFirstProgressLimit{ 0 }; ///< until the first byte of the response
  std::chrono::milliseconds mProgressLimit{ 0 };      ///< between later bytes
};

/// Ends an attempt and cancels its stream at the engine. No further events follow for it.
struct cancel_attempt
{
  attempt_id mAttempt;
};

/// Requests an engine's state; the result is `engine_state_received`.
struct request_engine_state
{
  std::string mEngine;
  std::string mAddress;
};

/// Sends a command to an engine; the result is `engine_command_completed`.
struct send_engine_command
{
  std::string mEngine;
  std::string mAddress;
  engine_command mOrder;
  instant mNotAfter; ///< the driver checks its clock again immediately before it writes
};

/// Reads an engine's cache events after a sequence number; the result is `cache_events_read`.
struct read_cache_events
{
  std::string mEngine;
  std::string mAddress;
  std::uint64_t mAfter = 0;
};

/// Calls the platform; the result is `platform_replied`.
struct call_platform
{
  call_id mCall;
  platform_operation mOperation;
};

/// Sends a message to another daemon; the result is `peer_response_received`.
struct send_to_peer
{
  peer_call_id mCall;
  std::string mAddress;
  peer_message mMessage;
  std::chrono::milliseconds mTimeLimit{ 0 };
};

/// Responds to a message of another daemon (`peer_request_received`).
struct respond_to_peer
{
  peer_call_id mCall;
  peer_reply mReply;
};

struct log_line
{
  log_level mLevel = log_level::Info;
  std::string mPrefix;
  std::string mText;
};

/// No request is open any more; the process may exit.
struct shutdown_complete
{};

/// Everything that the core asks of the driver.
using effect = std::variant<caller_error,
                            caller_tokens,
                            caller_completed,
                            caller_response,
                            start_attempt,
                            cancel_attempt,
                            request_engine_state,
                            send_engine_command,
                            read_cache_events,
                            call_platform,
                            send_to_peer,
                            respond_to_peer,
                            log_line,
                            shutdown_complete>;

using effect_list = std::vector<effect>;

} // namespace skylarkwind
