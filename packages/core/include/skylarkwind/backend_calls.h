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

using header_list = std::vector<std::pair<std::string, std::string>>;

/// Where the KV cache of a prompt can be fetched; engines move it directly to one another.
struct kv_source
{
  std::string mAddress; ///< ip:port of the exporting engine
  std::string mHandle;
};

/// One generation sent to an engine.
struct generate_call
{
  bool mChat = false;  ///< /v1/chat/completions instead of /v1/completions
  std::string mBody;   ///< the caller's JSON object; the adapter adds the fields below
  std::string mModel;  ///< model name that the engine serves
  std::string mStream; ///< stream id, unique over all daemons
  std::uint64_t mSeed = 0;
  std::uint64_t mResumeFrom = 0; ///< tokens already delivered
  std::string mPriorText;        ///< text of those tokens, when known
  std::optional<kv_source> mKv;
  int mPriority = 0;
  bool mPrefillOnly = false; ///< compute the prompt's KV cache, generate nothing
};

/// One call of a plain service, passed through.
struct plain_call
{
  std::string mMethod;
  std::string mPath;
  header_list mHeaders;
  std::string mBody;
};

using backend_call = std::variant<generate_call, plain_call>;

/// Load and state as the engine reports it. `mSampledAgo` is the age of the load figures when
/// the answer was made.
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
  bool mChecksFencing = false;
  std::uint64_t mFencing = 0;
  std::string mOrder; ///< id of the last engine order it accepted
  std::uint64_t mRunning = 0;
  std::uint64_t mQueuedPromptTokens = 0;
  std::uint64_t mDecodeStreams = 0;
  std::uint64_t mKvUsedTokens = 0;
  std::chrono::milliseconds mSampledAgo{ 0 };
  std::uint64_t mPromptTokensTotal = 0; ///< computed since the engine started
  std::uint64_t mOutputTokensTotal = 0; ///< generated since the engine started
  double mPrefillTokensPerSecond = 0;
  double mDecodeTokensPerSecond = 0;
};

/// Tokens of a stream, in order. An engine may send several in one chunk.
struct attempt_tokens
{
  std::string mText;
  std::uint64_t mFrom = 0;   ///< tokens of the answer before this chunk
  std::uint64_t mOffset = 0; ///< tokens of the answer after this chunk
};

struct token_usage
{
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mCompletionTokens = 0;
  std::uint64_t mCachedTokens = 0;
};

/// The generation ended whole. For a prefill-only call `mKv` says where the cache is.
struct attempt_generated
{
  std::string mFinishReason;
  token_usage mUsage;
  std::optional<kv_source> mKv;
  std::optional<engine_report> mReport;
};

/// A plain service answered.
struct attempt_answered
{
  int mStatus = 0;
  header_list mHeaders;
  std::string mBody;
};

/// The attempt failed.
struct attempt_failed
{
  enum class cause
  {
    NotSent,     ///< no byte was written to the backend server
    NotRun,      ///< the backend server itself said that it did not run the request
    Rejected,    ///< the backend server says that the request is wrong; `mStatus` is its status
    Interrupted, ///< anything else: the request may have run
    Silent       ///< no progress within the time limit
  } mCause = cause::Interrupted;
  int mStatus = 0;
  std::string mReason;
};

using attempt_outcome =
  std::variant<attempt_tokens, attempt_generated, attempt_answered, attempt_failed>;

/// An order to an engine to change role, model or version.
struct engine_order
{
  std::string mOrder; ///< unique id
  std::uint64_t mFencing = 0;
  std::uint64_t mIncarnation = 0;
  std::chrono::milliseconds mExpiresIn{ 0 };
  engine_role mRole = engine_role::Both;
  std::string mModel;
  std::string mVersion;
};

enum class engine_order_result
{
  Accepted,
  StaleFencing,
  WrongIncarnation,
  Busy,
  NoAnswer ///< it may or may not have taken effect; settled by observation
};

struct cache_event
{
  std::uint64_t mSequence = 0;
  bool mAdded = false;
  std::uint64_t mPiece = 0; ///< hash of the prefix up to and including this 4,096-token piece
};

} // namespace skylarkwind
