#include "skylarkwind/retry_budget.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// Retries that time alone grants; they let a daemon with little traffic recover from a fault.
constexpr double kFloorTokens = 3;
constexpr double kFloorPerSecond = 1;
/// Most retries that can be saved up: the streams of one lost engine at the target size.
constexpr double kMostTokens = 50;
constexpr std::chrono::milliseconds kFirstCeiling{ 20 };
constexpr std::chrono::milliseconds kLastCeiling{ 1'000 };

} // namespace

retry_budget::retry_budget(double aRatio, std::uint64_t aRandomSeed)
  : mRatio(aRatio)
  , mTokens(kFloorTokens)
  , mRandom(aRandomSeed)
{
}

void
retry_budget::OnRequest()
{
  mTokens = std::min(kMostTokens, mTokens + mRatio);
}

bool
retry_budget::TryTake(instant aNow)
{
  Refill(aNow);
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

void
retry_budget::Return()
{
  mTokens = std::min(kMostTokens, mTokens + 1);
}

std::chrono::milliseconds
retry_budget::Backoff(std::uint32_t aFailedAttempts)
{
  const auto doublings = std::min<std::uint32_t>(aFailedAttempts == 0 ? 0 : aFailedAttempts - 1, 6);
  const auto ceiling = std::min(kLastCeiling, kFirstCeiling * (1U << doublings));
  const auto choices = static_cast<std::uint64_t>(ceiling.count()) + 1;
  return std::chrono::milliseconds{ static_cast<std::int64_t>(mRandom() % choices) };
}

void
retry_budget::Refill(instant aNow)
{
  const std::chrono::duration<double> elapsed = aNow - mRefilledAt;
  mRefilledAt = std::max(mRefilledAt, aNow);
  if (mTokens < kFloorTokens && elapsed.count() > 0) {
    mTokens = std::min(kFloorTokens, mTokens + elapsed.count() * kFloorPerSecond);
  }
}

} // namespace skylarkwind
