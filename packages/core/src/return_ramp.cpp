#include "skylarkwind/return_ramp.h"

#include <algorithm>

namespace skylarkwind {

std::uint64_t
WorkUnits(std::uint64_t aPromptTokens, std::uint64_t aOutputTokens)
{
  constexpr std::uint64_t kPromptTokensPerUnit = 16;
  return aOutputTokens + aPromptTokens / kPromptTokensPerUnit;
}

void
return_ramp::Restart(std::uint64_t aFleetLimit, instant aNow)
{
  mLimit = std::clamp(aFleetLimit, kFirstLimit, kHighestLimit);
  ResetWindow(aNow);
}

void
return_ramp::ResetWindow(instant aNow)
{
  mCompleted = 0;
  mWorkBase.reset();
  mSteppedAt = aNow;
  mQuietSince = aNow;
}

void
return_ramp::Step(instant aNow)
{
  mLimit = std::min(mLimit * 2, kHighestLimit);
  ResetWindow(aNow);
}

bool
return_ramp::OnCompleted(const ramp_share& aShare, instant aNow)
{
  ++mCompleted;
  if (mCompleted < std::max<std::uint64_t>(1, Share(aShare))) {
    return false;
  }
  Step(aNow);
  return true;
}

bool
return_ramp::OnWork(std::uint64_t aUnits, instant aSampledAt, instant aNow)
{
  if (aSampledAt < mSteppedAt) {
    return false;
  }
  if (!mWorkBase || aUnits < *mWorkBase) {
    mWorkBase = aUnits;
    return false;
  }
  if (aNow - mSteppedAt < kShortestStep || aUnits - *mWorkBase < kUnitsPerRequest * mLimit) {
    return false;
  }
  Step(aNow);
  return true;
}

bool
return_ramp::OnTick(bool aInUse, instant aNow)
{
  if (aInUse) {
    mQuietSince = aNow;
    return false;
  }
  if (aNow - mQuietSince < kQuietStep) {
    return false;
  }
  Step(aNow);
  return true;
}

void
return_ramp::OnFailed(instant aNow)
{
  mLimit = std::max(mLimit / 2, kFirstLimit);
  ResetWindow(aNow);
}

std::uint64_t
return_ramp::Share(const ramp_share& aShare) const
{
  const std::uint64_t daemons = std::max<std::uint64_t>(1, aShare.mDaemons);
  return mLimit / daemons + (aShare.mRank < mLimit % daemons ? 1 : 0);
}

} // namespace skylarkwind
