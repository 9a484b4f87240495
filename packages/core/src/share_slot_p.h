#pragma once

#include "skylarkwind/clock.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

namespace skylarkwind {

/// What a limit counts.
enum class limit_kind
{
  Concurrency, ///< one unit is one request in flight
  Rate         ///< one unit is 1/n of the rate, n being the whole part of the rate, at least 1
};

/// This daemon's allowed amount, use and demand of one limit.
///
/// A rate is shared in units of about one request per second. The token bucket of a share of k
/// units holds k requests and starts empty, so that all buckets together never hold more than one
/// second of the rate (a rate below 1/s has a single unit, whose bucket holds one request).
class share_slot
{
public:
  struct timing
  {
    std::chrono::nanoseconds mWindow{ 0 };      ///< half of the time for which peak use is kept
    std::chrono::nanoseconds mWritePeriod{ 0 }; ///< headroom grows at most once in this time
  };

  share_slot(limit_kind aKind, timing aTiming)
    : mKind{ aKind }
    , mTiming{ aTiming }
  {
  }

  /// A rate in requests per second or a number of requests in flight; 0 means no limit.
  void SetLimit(double aLimit);
  std::uint64_t Limit() const { return mLimit; }
  bool Limited() const { return mLimit > 0; }

  /// The amount that the shard's object records for this daemon.
  std::uint64_t Amount() const { return mAmount; }
  /// The amount that may be used: the least of the recorded amount, every amount that a write
  /// of unknown outcome would record, and the cap.
  std::uint64_t Usable() const { return std::min({ mAmount, mFloor, mCap }); }
  std::uint64_t InUse() const { return mInUse; }

  void SetRecorded(std::uint64_t aAmount, instant aNow);
  /// Sets the most that a proportional reduction or the demands of other daemons allow this one.
  void SetCap(std::uint64_t aCap, instant aNow);
  /// Tells whether at least half of the limit is free; headroom above the use then takes nothing
  /// from other daemons.
  void SetHalfFree(bool aHalfFree) { mHalfFree = aHalfFree; }
  /// A write that would record this amount is being sent; no more than this is usable until
  /// ClearFloor.
  void LowerFloor(std::uint64_t aAmount, instant aNow);
  void ClearFloor(instant aNow);

  bool CanTake(instant aNow);
  /// Time until a request can be admitted within the present share; empty when that needs a larger
  /// share or the end of another request.
  std::optional<std::chrono::nanoseconds> TimeUntilAvailable() const;
  void Take(instant aNow);
  void Release();
  /// Records that a request was denied because of this limit. `aDaemons` is the number of live
  /// daemons: a quarter of this daemon's even share is requested at once, so that an account whose
  /// traffic starts here need not wait for several writes in a row.
  void Deny(std::uint64_t aDaemons, instant aNow);

  /// The amount that cannot be given back now.
  std::uint64_t Held() const { return mKind == limit_kind::Concurrency ? mInUse : 0; }
  /// The amount that this daemon wants recorded.
  std::uint64_t Target(instant aNow);
  bool Idle(instant aNow) { return mInUse == 0 && mAmount == 0 && Target(aNow) == 0; }

private:
  void AdvanceWindow(instant aNow);
  void Refill(instant aNow);
  std::uint64_t UnitsUsed() const;

  limit_kind mKind;
  timing mTiming;
  std::uint64_t mLimit = 0;
  double mPerUnit = 1; ///< requests per second of one unit of a rate

  std::uint64_t mAmount = 0;
  std::uint64_t mFloor = UINT64_MAX;
  std::uint64_t mCap = UINT64_MAX;
  std::uint64_t mInUse = 0;
  double mTokens = 0;
  instant mRefilledAt;

  instant mWindowStart;
  std::uint64_t mPeak = 0; ///< in this window: most requests in flight, or requests admitted
  std::uint64_t mPreviousPeak = 0;
  std::uint64_t mHeadroom = 0; ///< requested above the use; 0 without a recent denial
  instant mHeadroomAt;
  bool mHalfFree = false;
  std::uint64_t mFairPart = 0;   ///< a quarter of the even share at the last denial
  std::uint64_t mLastTarget = 0; ///< target when the headroom was set
  instant mDeniedAt;
};

} // namespace skylarkwind
