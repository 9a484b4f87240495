#include "skylarkwind/retry_budget.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// Retries granted by time alone, so that a daemon with little traffic can recover from a fault.
constexpr double kMinTokens = 3;
constexpr double kMinTokensPerSecond = 1;
/// Most retries that can accumulate: the streams of one lost engine at the target fleet size.
constexpr double kMaxTokens = 50;
/// Ceiling of the back-off after the first failure, and the highest ceiling.
constexpr std::chrono::milliseconds kInitialBackoffCeiling{ 20 };
constexpr std::chrono::milliseconds kMaxBackoffCeiling{ 1'000 };

} // namespace

retry_budget::retry_budget(double aRatio, std::uint64_t aRandomSeed)
  : mRatio(aRatio)
  , mTokens(kMinTokens)
  , mRandom(aRandomSeed)
{
}

void
retry_budget::OnRequest()
{
  mTokens = std::min(kMaxTokens, mTokens + mRatio);
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
retry_budget::Refund()
{
  mTokens = std::min(kMaxTokens, mTokens + 1);
}

std::chrono::milliseconds
retry_budget::Backoff(std::uint32_t aFailedAttempts)
{
  const auto doublings = std::min<std::uint32_t>(aFailedAttempts == 0 ? 0 : aFailedAttempts - 1, 6);
  const auto ceiling = std::min(kMaxBackoffCeiling, kInitialBackoffCeiling * (1U << doublings));
  const auto choices = static_cast<std::uint64_t>(ceiling.count()) + 1;
  return std::chrono::milliseconds{ static_cast<std::int64_t>(mRandom() % choices) };
}

void
retry_budget::Refill(instant aNow)
{
  const std::chrono::duration<double> elapsed = aNow - mRefilledAt;
  mRefilledAt = std::max(mRefilledAt, aNow);
  if (mTokens < kMinTokens && elapsed.count() > 0) {
    mTokens = std::min(kMinTokens, mTokens + elapsed.count() * kMinTokensPerSecond);
  }
}

} // namespace skylarkwind
