#pragma once

#include "skylarkwind/effects.h"
#include "skylarkwind/events.h"
#include "skylarkwind/membership.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace skylarkwind {

/// Settings of at-most-once claims.
struct request_claims_settings
{
  process_id mSelf;
  std::uint32_t mShards = 256;
  std::chrono::milliseconds mBatchDelay{ 5 }; ///< operations wait this long for a common write
  std::chrono::milliseconds mPeerTimeout{ 500 };
  std::chrono::milliseconds mDecisionLimit{ 5'000 }; ///< longest time until a claim is decided
  std::chrono::hours mRetention{ 24 };               ///< of recorded outcomes
  std::size_t mRecordedBodyLimit = 4'096; ///< bytes; a longer outcome is recorded without its body
  std::uint64_t mRandomSeed = 1;
};

/// This process may send the request once.
struct claim_granted
{};

/// The request was executed before; this is its recorded outcome.
struct claim_recorded
{
  int mStatus = 0;
  header_list mHeaders;
  std::string mBody;
  bool mBodyRecorded = true;
};

/// Another process is executing the request.
struct claim_in_progress
{};

/// Whether the request was executed cannot be determined.
struct claim_unknown
{};

/// The same key was used with a different request.
struct claim_mismatch
{};

/// No claim was made and none can exist for this attempt, so the request was not executed.
struct claim_unavailable
{
  std::string mReason;
};

using claim_verdict = std::variant<claim_granted,
                                   claim_recorded,
                                   claim_in_progress,
                                   claim_unknown,
                                   claim_mismatch,
                                   claim_unavailable>;

/// The verdict on one call of `request_claims::Claim`.
struct claim_decision
{
  request_id mRequest;
  claim_verdict mVerdict;
};

/// At-most-once claims of non-idempotent requests. Safety rests only on conditional updates of the
/// object `claims/<shard>`; the preferred owner of a shard merely reduces the number of writes.
class request_claims
{
public:
  /// Fails on a shard count of 0, an empty VM name or a time limit that is not positive.
  static absl::StatusOr<std::unique_ptr<request_claims>> Create(request_claims_settings aSettings,
                                                                const membership& aMembers);
  virtual ~request_claims() = default;

  /// Requests the right to send the request. `aKey` combines account, service and idempotency key;
  /// `aFingerprint` is a hash of method, path and body. Exactly one decision follows.
  virtual void Claim(request_id aRequest,
                     std::string_view aKey,
                     std::string_view aFingerprint,
                     instant aDeadline,
                     instant aNow,
                     effect_list& aOut) = 0;
  /// Records the outcome of a granted request.
  virtual void Record(request_id aRequest,
                      const attempt_response& aOutcome,
                      instant aNow,
                      effect_list& aOut) = 0;
  /// Records that the granted request was sent and its outcome is not known.
  virtual void RecordUnknown(request_id aRequest, instant aNow, effect_list& aOut) = 0;
  /// Removes the claim of a granted request of which no byte was sent, or which the backend server
  /// reports as not executed.
  virtual void Withdraw(request_id aRequest, instant aNow, effect_list& aOut) = 0;

  /// Returns the decisions made since the last call.
  virtual std::vector<claim_decision> TakeDecisions() = 0;
  /// True when no write of an outcome is pending.
  virtual bool Idle() const = 0;

  /// Sends due writes and checks time limits. `aWallNow` dates stored entries.
  virtual void OnTick(instant aNow, wall_instant aWallNow, effect_list& aOut) = 0;
  /// Handles platform replies to part::RequestClaims.
  virtual void OnPlatformReply(const platform_replied& aReply, instant aNow, effect_list& aOut) = 0;
  /// Handles `claim_message` from a peer; false for any other message.
  virtual bool OnPeerRequestReceived(const peer_request_received& aPeerRequest,
                                     instant aNow,
                                     effect_list& aOut) = 0;
  /// Handles the response to a call of this component; false for any other call.
  virtual bool OnPeerResponse(const peer_response_received& aPeerResponse,
                              instant aNow,
                              effect_list& aOut) = 0;
};

} // namespace skylarkwind
