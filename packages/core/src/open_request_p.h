#pragma once

#include "service_index_p.h"

#include "skylarkwind/events.h"
#include "skylarkwind/limit_shares.h"
#include "skylarkwind/request_progress.h"
#include "skylarkwind/router.h"

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwind {

/// What an open request is waiting for.
enum class request_stage
{
  Claiming, ///< the decision on its idempotency claim
  Queued,   ///< capacity for its first attempt
  Running,  ///< the open attempt
  Waiting   ///< its next attempt, after an earlier one ended
};

/// State of the claim that allows a non-idempotent request to be sent.
enum class claim_status
{
  None,
  Granted, ///< held until an outcome is recorded or the claim is withdrawn
  /// No claim could be made. The request may go only to a backend server that honours the key.
  DelegatedToBackend,
  Settled ///< an outcome is recorded, or the claim is withdrawn
};

/// The open attempt of a request.
struct open_attempt
{
  attempt_id mId;
  std::string mBackend;
  std::string mVersion;
  engine_role mRole = engine_role::Both;
  attempt_load mWork; ///< its work as counted by the router
  instant mStartedAt;
  bool mPrefillOnly = false;
  bool mFetchesCache = false; ///< the prompt's KV cache is fetched from another engine
  bool mProgressed = false;   ///< it delivered tokens
};

/// How long after the deadline the outcome of a non-idempotent request that was sent is awaited, so
/// that it can be recorded.
inline constexpr std::chrono::milliseconds kOutcomeGrace{ 30'000 };

/// State of a caller's request from its arrival to its end.
struct open_request
{
  request_id mId;
  caller_request mBody;
  std::shared_ptr<const service_entry> mService;
  std::string mAccount;
  std::string mAccountLimit; ///< name of the account's limit
  int mPriority = 0;
  instant mDeadline;
  request_stage mStage = request_stage::Queued;
  request_progress mFlow;
  std::optional<open_attempt> mAttempt;

  /// The caller has its response or disconnected; only the outcome is still awaited.
  bool mCallerDone = false;
  bool mNonIdempotent = false; ///< must run at most once
  bool mGraceStarted = false;  ///< the deadline was extended by kOutcomeGrace
  claim_status mClaim = claim_status::None;

  std::vector<limit_ticket> mTickets;
  std::array<bool, kRoles> mRolesCovered{}; ///< roles whose limits the tickets cover
  /// Until when a first attempt waits for a share of a limit before it is refused.
  std::optional<instant> mShareWaitDeadline;
  instant mNextShareAttempt{}; ///< when the limits are next asked for a ticket

  instant mNextAttemptAt{};
  bool mRetryAllowed = false; ///< the next attempt needs no further retry from the budget
  bool mRetryCharged = false; ///< a retry was taken from the budget; refunded on progress
  std::vector<std::string> mFailedBackends; ///< backend servers that failed this request

  // Generations only.
  std::vector<std::uint64_t> mSegments; ///< prefix hashes of the prompt's segments
  std::uint64_t mAffinity = 0;          ///< equal for prompts that share a prefix
  std::uint64_t mFingerprint = 0;       ///< binds resume tokens to this request
  std::string mStream;                  ///< id that stays the same when the stream is resumed
  std::uint64_t mSeed = 0;
  std::string mVersion; ///< model version of the delivered tokens; empty before the first
  /// Tokens of two versions were delivered, so that no resume token can be issued.
  bool mMixedVersions = false;
  std::string mPreferredEngine; ///< the engine that generated the last token
  std::optional<kv_source> mKv; ///< the prompt's KV cache, computed by a prefill engine
  std::string mKvVersion;

  /// How long after the deadline its outcome may be awaited.
  std::chrono::milliseconds Grace() const
  {
    return mNonIdempotent ? kOutcomeGrace : std::chrono::milliseconds{ 0 };
  }
  const completion_request* Completion() const
  {
    return std::get_if<completion_request>(&mBody.mOperation);
  }
  const plain_request* Plain() const { return std::get_if<plain_request>(&mBody.mOperation); }
};

} // namespace skylarkwind
