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

struct order_claims_settings
{
  process_id mSelf;
  std::uint32_t mShards = 256;
  std::chrono::milliseconds mBatchDelay{ 5 };
  std::chrono::milliseconds mPeerTimeLimit{ 500 };
  std::chrono::milliseconds mDecisionLimit{ 5'000 };
  std::chrono::hours mRetention{ 24 };
  std::size_t mRecordedBodyLimit = 4'096; ///< bytes; a longer outcome is recorded without its body
  std::uint64_t mRandomSeed = 1;
};

/// This process may send the request once.
struct claim_granted
{};

/// The request was run before; this is its recorded outcome.
struct claim_recorded
{
  int mStatus = 0;
  header_list mHeaders;
  std::string mBody;
  bool mBodyRecorded = true;
};

/// Another process runs it now.
struct claim_in_progress
{};

/// It may have been run; nobody knows.
struct claim_unknown
{};

/// The same key was used with a different request.
struct claim_mismatch
{};

/// No claim was made and none can exist for this attempt: the request was not run.
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

struct claim_decision
{
  request_id mRequest;
  claim_verdict mVerdict;
};

/// At-most-once claims of non-idempotent requests. Safety rests on the conditional update of
/// `claims/<shard>` alone; the preferred owner of a shard only saves writes.
class order_claims
{
public:
  static absl::StatusOr<std::unique_ptr<order_claims>> Create(order_claims_settings aSettings,
                                                              const membership& aMembers);
  virtual ~order_claims() = default;

  /// Asks for the right to run the request. `aKey` joins account, service and idempotency key;
  /// `aFingerprint` is a hash of method, path and body. Exactly one decision follows.
  virtual void Claim(request_id aRequest,
                     std::string_view aKey,
                     std::string_view aFingerprint,
                     instant aDeadline,
                     instant aNow,
                     effect_list& aOut) = 0;
  /// Records the outcome of a granted request.
  virtual void Record(request_id aRequest,
                      const attempt_answered& aOutcome,
                      instant aNow,
                      effect_list& aOut) = 0;
  /// The granted request was sent and its outcome is not known.
  virtual void RecordUnknown(request_id aRequest, instant aNow, effect_list& aOut) = 0;
  /// No byte of the granted request was sent, or the backend server says that it was not run.
  virtual void Withdraw(request_id aRequest, instant aNow, effect_list& aOut) = 0;

  virtual std::vector<claim_decision> TakeDecisions() = 0;
  /// True when no write of an outcome is pending.
  virtual bool Idle() const = 0;

  virtual void OnTick(instant aNow, wall_instant aWallNow, effect_list& aOut) = 0;
  /// Replies with part::OrderClaims.
  virtual void OnPlatformReply(const platform_replied& aReply, instant aNow, effect_list& aOut) = 0;
  /// Handles `claim_message`; true when the message was one.
  virtual bool OnPeerAsked(const peer_asked& aAsked, instant aNow, effect_list& aOut) = 0;
  virtual bool OnPeerAnswered(const peer_answered& aAnswered, instant aNow, effect_list& aOut) = 0;
};

} // namespace skylarkwind
