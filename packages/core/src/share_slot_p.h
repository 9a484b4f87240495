#pragma once

#include "skylarkwind/clock.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>

namespace skylarkwind {

enum class limit_kind
{
  Concurrency, ///< one unit is one request in flight
  Rate         ///< one unit is 1/n of the rate, n being the whole part of the rate, at least 1
};

/// This daemon's use of one limit: what it may use, what it uses and what it would use.
///
/// A rate is shared in units of about one request per second. The token bucket of a share of k
/// units holds k requests and starts empty, so that all buckets together never hold more than one
/// second of the rate (a rate below 1/s has a single unit, whose bucket holds one request).
class share_slot
{
public:
  struct timing
  {
    std::chrono::nanoseconds mWindow{ 0 };      ///< half of the time that use is remembered
    std::chrono::nanoseconds mWritePeriod{ 0 }; ///< demand grows at most once in this time
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

  /// The recorded amount of this daemon.
  std::uint64_t Amount() const { return mAmount; }
  /// The amount that may be used: the least of the recorded amount, every amount that a write
  /// whose outcome is open would record, and the cap.
  std::uint64_t Usable() const { return std::min({ mAmount, mFloor, mCap }); }
  std::uint64_t InUse() const { return mInUse; }

  void SetRecorded(std::uint64_t aAmount, instant aNow);
  /// Most that a proportional reduction or the wishes of others leave to this daemon.
  void SetCap(std::uint64_t aCap, instant aNow);
  /// At least half of the limit is free, so that room above the use takes nothing from others.
  void SetPlenty(bool aPlenty) { mPlenty = aPlenty; }
  /// A write that would record this amount is on its way.
  void LowerFloor(std::uint64_t aAmount, instant aNow);
  void ClearFloor(instant aNow);

  bool CanTake(instant aNow);
  /// Time until a request may be granted within the present share; empty when it takes a larger
  /// share or the end of another request.
  std::optional<std::chrono::nanoseconds> TakeableIn() const;
  void Take(instant aNow);
  void Release();
  /// Remembers that a request was denied for want of this limit. `aDaemons` is the number of live
  /// daemons: a quarter of this daemon's fair part is asked for at once, so that an account that
  /// starts here need not wait for one write after another.
  void Deny(std::uint64_t aDaemons, instant aNow);

  /// The amount that cannot be given back now.
  std::uint64_t Held() const { return mKind == limit_kind::Concurrency ? mInUse : 0; }
  /// The amount that this daemon would like to have recorded.
  std::uint64_t Target(instant aNow);
  bool Idle(instant aNow) { return mInUse == 0 && mAmount == 0 && Target(aNow) == 0; }

private:
  void Roll(instant aNow);
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
  std::uint64_t mPeak = 0; ///< of the present window: requests in flight, or requests granted
  std::uint64_t mPreviousPeak = 0;
  std::uint64_t mHeadroom = 0; ///< asked for above the use; 0 when nothing was denied lately
  instant mHeadroomAt;
  bool mPlenty = false;
  std::uint64_t mFairPart = 0; ///< a quarter of this daemon's fair share at the last denial
  std::uint64_t mAsked = 0;    ///< target when the headroom was set
  instant mDeniedAt;
};

} // namespace skylarkwind
