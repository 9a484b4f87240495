#pragma once

#include "claim_entry_p.h"
#include "skylarkwind/order_claims.h"

#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace skylarkwind {

/// What all shards of one daemon have in common.
struct claim_context
{
  order_claims_settings mSettings;
  std::uint64_t mLastCall = 0;
  std::mt19937_64 mRandom;

  /// A random part of the duration, between half of it and all of it.
  std::chrono::nanoseconds Jitter(std::chrono::nanoseconds aDuration);
};

/// One change that a shard shall hold. `mEntry.mState` says which:
///  - Claimed: stores the entry unless the key has one;
///  - Done, Unknown: replaces the claim of the same attempt;
///  - Withdrawn: removes the claim of the same attempt.
struct claim_operation
{
  std::uint64_t mNumber = 0;
  std::string mKey;
  claim_entry mEntry;
};

/// An operation has ended: it was carried out, or the stored entry says that it cannot be.
struct settled_operation
{
  std::uint64_t mNumber = 0;
  std::optional<claim_entry> mStored; ///< the entry of the key after the operation
};

/// One object `claims/<shard>`. Collects operations for a short time and carries them out by one
/// conditional update. After a conflict or a write without an answer it reads, applies the
/// operations to what is stored and writes again, until every operation is settled.
class claim_shard
{
public:
  claim_shard(claim_context& aContext, std::uint32_t aNumber);

  void Add(claim_operation aOperation, instant aNow);
  /// Forgets an operation. A write that is on its way may still carry it out.
  void Remove(std::uint64_t aNumber);
  /// True when a write that holds the operation is on its way or was not answered, and may still
  /// take effect.
  bool InDoubt(std::uint64_t aNumber) const;
  /// True when the last call failed.
  bool Failing() const { return mFailing; }
  /// True when nothing is pending and the shard was not used lately.
  bool Disposable(instant aNow) const;

  void OnTick(instant aNow, wall_instant aWallNow, effect_list& aOut);
  /// The call whose answer is awaited, 0 when none is.
  std::uint64_t PendingCall() const { return mCall == call_kind::None ? 0 : mCallNumber; }
  void OnReply(const platform_result& aResult,
               instant aNow,
               wall_instant aWallNow,
               effect_list& aOut);

  std::vector<settled_operation> TakeSettled() { return std::exchange(mSettled, {}); }

private:
  struct pending_operation
  {
    claim_operation mOperation;
    bool mWritten = false; ///< part of a write since the last version that is known
  };
  enum class call_kind
  {
    None,
    Read,
    Write
  };

  void Carry(bool aFresh, instant aNow, wall_instant aWallNow, effect_list& aOut);
  bool MustInvalidate() const;
  void Write(claim_map aClaims, instant aNow, wall_instant aWallNow, effect_list& aOut);
  void Read(effect_list& aOut);
  void Send(call_kind aKind, platform_operation aOperation, effect_list& aOut);
  void OnFound(const object_found& aFound, instant aNow, wall_instant aWallNow, effect_list& aOut);
  void OnAccepted(std::uint64_t aVersion, instant aNow);
  void OnFailure(instant aNow);
  void Learn(claim_map aClaims, std::uint64_t aVersion);
  void Settle(const pending_operation& aPending, const claim_map& aClaims);

  claim_context& mContext;
  object_key mKey;
  std::vector<pending_operation> mPending;
  std::vector<settled_operation> mSettled;

  bool mKnown = false; ///< the object was read, or written by this daemon
  claim_map mClaims;
  std::uint64_t mVersion = 0;
  /// Highest version that an unanswered write expected. Once a higher version is known, no
  /// unanswered write can take effect any more.
  std::optional<std::uint64_t> mDoubtVersion;

  call_kind mCall = call_kind::None;
  std::uint64_t mCallNumber = 0;
  claim_map mSent;
  std::set<std::uint64_t> mSentOperations;

  instant mNextCall;
  instant mUsedAt;
  std::chrono::nanoseconds mPause{ 0 };
  bool mFailing = false;
};

/// Applies an operation; true when that changed the claims.
bool ApplyClaim(claim_map& aClaims, const claim_operation& aOperation);

} // namespace skylarkwind
