#pragma once

#include "skylarkwind/types.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace skylarkwind {

/// HTTP header names and values, in order.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// Where an engine can fetch the KV cache of a prompt. Engines transfer it directly between them.
struct kv_source
{
  std::string mAddress; ///< ip:port of the exporting engine
  std::string mHandle;  ///< names the cache at that engine
};

/// A generation request to an engine.
struct generate_call
{
  bool mChat = false;  ///< /v1/chat/completions instead of /v1/completions
  std::string mBody;   ///< the caller's JSON object; the adapter adds the fields below
  std::string mModel;  ///< model name that the engine serves
  std::string mStream; ///< stream id, unique across all daemons
  std::uint64_t mSeed = 0;
  std::uint64_t mResumeFrom = 0; ///< tokens already delivered
  std::string mPriorText;        ///< text of those tokens; empty if unknown
  std::optional<kv_source> mKv;  ///< where the prompt's KV cache can be fetched, if computed
  int mPriority = 0;
  bool mPrefillOnly = false; ///< compute the prompt's KV cache, generate nothing
};

/// A request that is passed through to a plain service.
struct plain_call
{
  std::string mMethod;
  std::string mPath;
  header_list mHeaders;
  std::string mBody;
};

using backend_call = std::variant<generate_call, plain_call>;

/// Load and state as an engine reports them. `mSampleAge` is the age of the load figures when the
/// engine wrote the report.
struct engine_report
{
  std::string mName;
  std::uint64_t mIncarnation = 0;
  std::string mService;
  engine_role mRole = engine_role::Both;
  std::string mModel;
  std::string mVersion;
  enum class activity
  {
    Ready,
    Loading,
    Changing
  } mActivity = activity::Ready;
  bool mChecksFencing = false; ///< the engine rejects commands with a stale fencing token
  std::uint64_t mFencing = 0;
  std::string mOrder; ///< id of the last command that it accepted
  std::uint64_t mRunning = 0;
  std::uint64_t mQueuedPromptTokens = 0;
  std::uint64_t mDecodeStreams = 0;
  std::uint64_t mKvUsedTokens = 0;
  std::chrono::milliseconds mSampleAge{ 0 };
  std::uint64_t mPromptTokensTotal = 0; ///< prompt tokens computed since the engine started
  std::uint64_t mOutputTokensTotal = 0; ///< tokens generated since the engine started
  double mPrefillTokensPerSecond = 0;
  double mDecodeTokensPerSecond = 0;
};

/// A chunk of a stream with one or more tokens, in order.
struct attempt_tokens
{
  std::string mText;
  std::uint64_t mFrom = 0;   ///< tokens of the response before this chunk
  std::uint64_t mOffset = 0; ///< tokens of the response including this chunk
};

/// Token counts of a generation as the engine reports them.
struct token_usage
{
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mCompletionTokens = 0;
  std::uint64_t mCachedTokens = 0;
};

/// The generation is complete. After a prefill-only call, `mKv` says where the KV cache is.
struct attempt_generated
{
  std::string mFinishReason;
  token_usage mUsage;
  std::optional<kv_source> mKv;
  std::optional<engine_report> mReport;
};

/// The response of a plain service.
struct attempt_response
{
  int mStatus = 0;
  header_list mHeaders;
  std::string mBody;
};

/// The attempt failed. The cause says whether the request may have run.
struct attempt_failed
{
  enum class cause
  {
    NotSent,     ///< no byte was written to the backend server
    NotRun,      ///< the backend server stated that it did not run the request
    Rejected,    ///< the backend server considers the request invalid; `mStatus` is its status
    Interrupted, ///< anything else: the request may have run
    Silent       ///< timed out without progress: the request may have run
  } mCause = cause::Interrupted;
  int mStatus = 0;
  std::string mReason;
};

using attempt_outcome =
  std::variant<attempt_tokens, attempt_generated, attempt_response, attempt_failed>;

/// A command to an engine to change role, model or version. The engine can check the fencing token
/// and its own incarnation, and so reject a command that is out of date.
struct engine_command
{
  std::string mOrder; ///< unique id
  std::uint64_t mFencing = 0;
  std::uint64_t mIncarnation = 0;
  std::chrono::milliseconds mExpiresIn{ 0 };
  engine_role mRole = engine_role::Both;
  std::string mModel;
  std::string mVersion;
};

/// Result of a command to an engine.
enum class engine_command_result
{
  Accepted,
  StaleFencing,     ///< the engine has seen a newer fencing token
  WrongIncarnation, ///< the engine has restarted
  Busy,
  NoAnswer ///< it may or may not have taken effect; a later state report tells
};

/// A change of an engine's prefix cache.
struct cache_event
{
  std::uint64_t mSequence = 0;
  bool mAdded = false;      ///< true if added, false if evicted
  std::uint64_t mBlock = 0; ///< hash of the prefix up to and including this 4,096-token segment
};

} // namespace skylarkwind
