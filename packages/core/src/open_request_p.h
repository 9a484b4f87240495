#pragma once

#include "service_index_p.h"

#include "skylarkwind/events.h"
#include "skylarkwind/limit_shares.h"
#include "skylarkwind/request_flow.h"
#include "skylarkwind/router.h"

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwind {

enum class request_stage
{
  Claiming, ///< the decision on its claim is awaited
  Queued,
  Running, ///< an attempt is open
  Waiting  ///< for its next attempt, after one that ended
};

/// What allows a non-idempotent request to be sent.
enum class claim_hold
{
  None,
  Granted,       ///< the claim is held until an outcome is recorded or it is withdrawn
  LeftToBackend, ///< no claim could be made; the backend server honours the key
  Settled        ///< the claim's outcome is recorded, or it is withdrawn
};

/// The attempt of a request that is open now.
struct open_attempt
{
  attempt_id mId;
  std::string mBackend;
  std::string mVersion;
  engine_role mRole = engine_role::Both;
  placed_work mWork;
  instant mStartedAt;
  bool mPrefillOnly = false;
  bool mFetchesCache = false; ///< the prompt's KV cache comes from another engine
  bool mProgressed = false;
};

/// After its deadline the outcome of a non-idempotent request is awaited this much longer, so that
/// it can be recorded.
inline constexpr std::chrono::milliseconds kOutcomeGrace{ 30'000 };

/// A request of a caller from its arrival to its end.
struct open_request
{
  request_id mId;
  caller_request mBody;
  std::shared_ptr<const service_entry> mService;
  std::string mAccount;
  std::string mAccountLimit;
  int mPriority = 0;
  instant mDeadline;
  request_stage mStage = request_stage::Queued;
  request_flow mFlow;
  std::optional<open_attempt> mAttempt;

  /// The caller has its answer, or left; only an outcome is still awaited.
  bool mCallerDone = false;
  bool mOrder = false;      ///< non-idempotent: sent once
  bool mGraceGiven = false; ///< its outcome is awaited beyond the deadline
  claim_hold mClaim = claim_hold::None;

  std::vector<limit_ticket> mTickets;
  std::array<bool, kRoles> mRoleHeld{}; ///< roles whose limit the tickets cover
  std::optional<instant> mShareWaitEnds;
  instant mNextShareTry{};

  instant mNextAttempt{};
  bool mRetryPaid = false; ///< the next attempt is already counted against the retry budget
  bool mTookRetry = false; ///< the open attempt was taken from the retry budget
  std::vector<std::string> mAvoid;

  // Generations only.
  std::vector<std::uint64_t> mPieces;
  std::uint64_t mAffinity = 0;
  std::uint64_t mFingerprint = 0; ///< ties resume tokens to this request
  std::string mStream;
  std::uint64_t mSeed = 0;
  std::string mVersion;     ///< of the tokens delivered; empty before the first
  bool mMixed = false;      ///< tokens of two versions were delivered, so no token can resume it
  std::string mFirstChoice; ///< the engine that the stream was at
  std::optional<kv_source> mKv; ///< the prompt's cache, computed by a prefill engine
  std::string mKvVersion;

  /// How much longer than the deadline its outcome may be awaited.
  std::chrono::milliseconds Grace() const
  {
    return mOrder ? kOutcomeGrace : std::chrono::milliseconds{ 0 };
  }
  const completion_request* Completion() const
  {
    return std::get_if<completion_request>(&mBody.mOperation);
  }
  const plain_request* Plain() const { return std::get_if<plain_request>(&mBody.mOperation); }
};

} // namespace skylarkwind
