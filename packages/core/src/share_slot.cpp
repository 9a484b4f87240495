#include "share_slot_p.h"

#include <cmath>

namespace skylarkwind {

namespace {

/// Least headroom that a daemon without use requests.
constexpr std::uint64_t kFirstHeadroom = 8;
/// A daemon requests its even share divided by this as headroom.
constexpr std::uint64_t kFairShareDivisor = 4;

double
Seconds(std::chrono::nanoseconds aDuration)
{
  return std::chrono::duration<double>{ aDuration }.count();
}

} // namespace

void
share_slot::SetLimit(double aLimit)
{
  if (aLimit <= 0) {
    mLimit = 0;
  } else if (mKind == limit_kind::Concurrency) {
    mLimit = static_cast<std::uint64_t>(aLimit);
  } else {
    mLimit = std::max<std::uint64_t>(1, static_cast<std::uint64_t>(aLimit));
    mPerUnit = aLimit / static_cast<double>(mLimit);
  }
}

// Every change of the usable amount first refills the bucket at the old rate, so that added units
// contribute no tokens for the time before they were added.

void
share_slot::SetRecorded(std::uint64_t aAmount, instant aNow)
{
  Refill(aNow);
  mAmount = aAmount;
}

void
share_slot::SetCap(std::uint64_t aCap, instant aNow)
{
  Refill(aNow);
  mCap = aCap;
}

void
share_slot::LowerFloor(std::uint64_t aAmount, instant aNow)
{
  Refill(aNow);
  mFloor = std::min(mFloor, aAmount);
}

void
share_slot::ClearFloor(instant aNow)
{
  Refill(aNow);
  mFloor = UINT64_MAX;
}

bool
share_slot::CanTake(instant aNow)
{
  if (!Limited()) {
    return true;
  }
  if (mKind == limit_kind::Concurrency) {
    return mInUse < Usable();
  }
  Refill(aNow);
  return mTokens >= 1;
}

std::optional<std::chrono::nanoseconds>
share_slot::TimeUntilAvailable() const
{
  if (mKind == limit_kind::Concurrency || Usable() == 0) {
    return std::nullopt;
  }
  const double missing = std::max(0.0, 1 - mTokens);
  return std::chrono::nanoseconds{ static_cast<std::int64_t>(
    1e9 * missing / (mPerUnit * static_cast<double>(Usable()))) };
}

void
share_slot::Take(instant aNow)
{
  AdvanceWindow(aNow);
  ++mInUse;
  if (mKind == limit_kind::Concurrency) {
    mPeak = std::max(mPeak, mInUse);
  } else {
    mTokens -= Limited() ? 1 : 0;
    ++mPeak;
  }
}

void
share_slot::Release()
{
  mInUse -= mInUse > 0 ? 1 : 0;
}

void
share_slot::Deny(std::uint64_t aDaemons, instant aNow)
{
  AdvanceWindow(aNow);
  mDeniedAt = aNow;
  const std::uint64_t used = UnitsUsed();
  mFairPart = mLimit / (kFairShareDivisor * std::max<std::uint64_t>(1, aDaemons));
  if (mHeadroom == 0) {
    mHeadroom =
      used == 0 ? std::max(mFairPart, kFirstHeadroom) : std::max<std::uint64_t>(1, used / 4);
    mHeadroomAt = aNow;
    mLastTarget = used + mHeadroom;
  } else if (aNow - mHeadroomAt >= mTiming.mWritePeriod && mAmount >= mLastTarget) {
    // The headroom grows only when the last request was granted in full and did not suffice,
    // because a recorded demand keeps other daemons from using free units.
    mHeadroom = std::min(mHeadroom * 2, mLimit);
    mHeadroomAt = aNow;
    mLastTarget = std::min(mLimit, used + mHeadroom);
  }
}

std::uint64_t
share_slot::Target(instant aNow)
{
  AdvanceWindow(aNow);
  if (!Limited()) {
    return 0;
  }
  const std::uint64_t used = UnitsUsed();
  // Without headroom above its use, an account with growing traffic waits for a write at each step.
  // When the limit is scarce, headroom would leave units unused, so it is kept only while half of
  // the limit is free.
  const std::uint64_t baseHeadroom =
    used == 0 || !mHalfFree ? 0 : std::min(mFairPart, std::max(kFirstHeadroom, used / 4));
  return std::max(Held(), std::min(mLimit, used + std::max(mHeadroom, baseHeadroom)));
}

void
share_slot::AdvanceWindow(instant aNow)
{
  if (aNow - mWindowStart >= mTiming.mWindow) {
    const bool skipped = aNow - mWindowStart >= 2 * mTiming.mWindow;
    mPreviousPeak = skipped ? Held() : mPeak;
    mPeak = Held();
    mWindowStart = aNow;
  }
  if (mHeadroom > 0 && aNow - mDeniedAt >= mTiming.mWindow) {
    mHeadroom = 0;
  }
}

void
share_slot::Refill(instant aNow)
{
  const auto usable = static_cast<double>(Usable());
  if (aNow > mRefilledAt) {
    mTokens += usable * mPerUnit * Seconds(aNow - mRefilledAt);
    mRefilledAt = aNow;
  }
  mTokens = std::min(mTokens, usable);
}

std::uint64_t
share_slot::UnitsUsed() const
{
  const std::uint64_t peak = std::max(mPeak, mPreviousPeak);
  if (mKind == limit_kind::Concurrency) {
    return std::max(peak, mInUse);
  }
  return static_cast<std::uint64_t>(
    std::ceil(static_cast<double>(peak) / (mPerUnit * Seconds(mTiming.mWindow))));
}

} // namespace skylarkwind
