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
  mLimit = std::clamp(aFleetLimit, kInitialLimit, kMaxLimit);
  ResetWindow(aNow);
}

void
return_ramp::ResetWindow(instant aNow)
{
  mCompleted = 0;
  mWorkBaseline.reset();
  mSteppedAt = aNow;
  mIdleSince = aNow;
}

void
return_ramp::Step(instant aNow)
{
  mLimit = std::min(mLimit * 2, kMaxLimit);
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
  if (!mWorkBaseline || aUnits < *mWorkBaseline) {
    mWorkBaseline = aUnits;
    return false;
  }
  if (aNow - mSteppedAt < kMinStepInterval || aUnits - *mWorkBaseline < kUnitsPerRequest * mLimit) {
    return false;
  }
  Step(aNow);
  return true;
}

bool
return_ramp::OnTick(bool aIsInUse, instant aNow)
{
  if (aIsInUse) {
    mIdleSince = aNow;
    return false;
  }
  if (aNow - mIdleSince < kIdleStepInterval) {
    return false;
  }
  Step(aNow);
  return true;
}

void
return_ramp::OnFailed(instant aNow)
{
  mLimit = std::max(mLimit / 2, kInitialLimit);
  ResetWindow(aNow);
}

std::uint64_t
return_ramp::Share(const ramp_share& aShare) const
{
  const std::uint64_t daemons = std::max<std::uint64_t>(1, aShare.mDaemons);
  return mLimit / daemons + (aShare.mRank < mLimit % daemons ? 1 : 0);
}

} // namespace skylarkwind
