#pragma once

#include "claim_entry_p.h"
#include "skylarkwind/request_claims.h"

#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace skylarkwind {

/// State shared by all shards of one daemon.
struct claim_context
{
  request_claims_settings mSettings;
  std::uint64_t mLastCall = 0;
  std::mt19937_64 mRandom;

  /// Returns a random duration between half of `aDuration` and all of it.
  std::chrono::nanoseconds Jitter(std::chrono::nanoseconds aDuration);
};

/// One change to be applied to a shard. `mEntry.mState` selects the change:
///  - Claimed: stores the entry unless the key has one;
///  - Done, Unknown: replaces the claim of the same attempt;
///  - Withdrawn: removes the claim of the same attempt.
struct claim_operation
{
  std::uint64_t mNumber = 0;
  std::string mKey;
  claim_entry mEntry;
};

/// A finished operation: it was applied, or the stored entry shows that it cannot be.
struct settled_operation
{
  std::uint64_t mNumber = 0;
  std::optional<claim_entry> mStored; ///< the entry of the key after the operation
};

/// One object `claims/<shard>`. Collects operations for mBatchDelay and applies them with one
/// conditional update. After a conflict or a write without a reply it reads the object, applies the
/// operations to what is stored and writes again, until every operation is settled.
class claim_shard
{
public:
  claim_shard(claim_context& aContext, std::uint32_t aNumber);

  /// Queues an operation.
  void Add(claim_operation aOperation, instant aNow);
  /// Drops an operation. A write in flight may still apply it.
  void Remove(std::uint64_t aNumber);
  /// True when a write that contains the operation is in flight or got no reply, and may still take
  /// effect.
  bool MayStillApply(std::uint64_t aNumber) const;
  /// True when the last call failed.
  bool Failing() const { return mFailing; }
  /// True when nothing is pending and the shard has not been used for some time.
  bool Disposable(instant aNow) const;

  /// Sends the next call if one is due.
  void OnTick(instant aNow, wall_instant aWallNow, effect_list& aOut);
  /// Number of the call in flight, 0 when there is none.
  std::uint64_t PendingCall() const { return mCall == call_kind::None ? 0 : mCallNumber; }
  /// Handles the reply to the call in flight.
  void OnReply(const platform_result& aResult,
               instant aNow,
               wall_instant aWallNow,
               effect_list& aOut);

  /// Returns the operations settled since the last call.
  std::vector<settled_operation> TakeSettled() { return std::exchange(mSettled, {}); }

private:
  struct pending_operation
  {
    claim_operation mOperation;
    bool mWritten = false; ///< part of a write that may still take effect
  };
  enum class call_kind
  {
    None,
    Read,
    Write
  };

  void ProcessPending(bool aFresh, instant aNow, wall_instant aWallNow, effect_list& aOut);
  bool NeedsConfirmingWrite() const;
  void Write(claim_map aClaims, instant aNow, wall_instant aWallNow, effect_list& aOut);
  void Read(effect_list& aOut);
  void Send(call_kind aKind, platform_operation aOperation, effect_list& aOut);
  void OnFound(const object_found& aFound, instant aNow, wall_instant aWallNow, effect_list& aOut);
  void OnAccepted(std::uint64_t aVersion, instant aNow);
  void OnFailure(instant aNow);
  void SetKnownState(claim_map aClaims, std::uint64_t aVersion);
  void Settle(const pending_operation& aPending, const claim_map& aClaims);

  claim_context& mContext;
  object_key mKey;
  std::vector<pending_operation> mPending;
  std::vector<settled_operation> mSettled;

  bool mKnown = false; ///< the object was read, or written by this daemon
  claim_map mClaims;
  std::uint64_t mVersion = 0;
  /// Highest version expected by a write that got no reply. Once a higher version is known, no such
  /// write can take effect any more.
  std::optional<std::uint64_t> mUncertainVersion;

  call_kind mCall = call_kind::None;
  std::uint64_t mCallNumber = 0;
  claim_map mSent;
  std::set<std::uint64_t> mSentOperations;

  instant mNextCall;
  instant mUsedAt;
  std::chrono::nanoseconds mPause{ 0 };
  bool mFailing = false;
};

/// Applies an operation; true when it changed the claims.
bool ApplyClaim(claim_map& aClaims, const claim_operation& aOperation);

} // namespace skylarkwind
