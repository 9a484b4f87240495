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

/// What a refusal or failure says about whether the request was run.
enum class run_state
{
  NotRun,
  InProgress,
  OutcomeUnknown
};

/// The text of a run state as callers see it, for example "not run".
std::string_view RunStateText(run_state aState);

/// An error answer, or an error event when the stream has begun.
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

/// Tokens for the caller. The front sends them as one event of the stream, or collects them for
/// a whole answer.
struct caller_tokens
{
  request_id mRequest;
  std::string mText;
  std::uint64_t mOffset = 0;
  std::string mResumeToken;
};

/// The generation is whole.
struct caller_completed
{
  request_id mRequest;
  std::string mFinishReason;
  token_usage mUsage;
};

/// The answer of a plain service, or a recorded outcome.
struct caller_answered
{
  request_id mRequest;
  int mStatus = 200;
  header_list mHeaders;
  std::string mBody;
};

struct start_attempt
{
  attempt_id mAttempt;
  std::string mBackend; ///< name, for logs
  std::string mAddress; ///< ip:port
  backend_call mCall;
  std::chrono::milliseconds mFirstProgressLimit{ 0 }; ///< until the first byte of the answer
  std::chrono::milliseconds mProgressLimit{ 0 };      ///< between bytes after that
};

/// Ends an attempt and cancels its stream at the engine. No event follows for it.
struct cancel_attempt
{
  attempt_id mAttempt;
};

/// Asks an engine for its state.
struct observe_engine
{
  std::string mEngine;
  std::string mAddress;
};

struct send_engine_order
{
  std::string mEngine;
  std::string mAddress;
  engine_order mOrder;
  instant mNotAfter; ///< the driver checks its clock once more right before it writes
};

struct read_cache_events
{
  std::string mEngine;
  std::string mAddress;
  std::uint64_t mAfter = 0;
};

struct call_platform
{
  call_id mCall;
  platform_operation mOperation;
};

struct send_to_peer
{
  peer_call_id mCall;
  std::string mAddress;
  peer_message mMessage;
  std::chrono::milliseconds mTimeLimit{ 0 };
};

struct answer_peer
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

/// All open work has ended; the process may exit.
struct shutdown_complete
{};

using effect = std::variant<caller_error,
                            caller_tokens,
                            caller_completed,
                            caller_answered,
                            start_attempt,
                            cancel_attempt,
                            observe_engine,
                            send_engine_order,
                            read_cache_events,
                            call_platform,
                            send_to_peer,
                            answer_peer,
                            log_line,
                            shutdown_complete>;

using effect_list = std::vector<effect>;

} // namespace skylarkwind
