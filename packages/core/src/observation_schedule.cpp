#include "observation_schedule_p.h"

#include <algorithm>

namespace skylarkwind {

namespace {

constexpr std::int64_t kDaemonsOfBasePeriod = 8;
/// The longest random delay of a hastened question.
constexpr std::chrono::milliseconds kLongestHaste{ 2'000 };

std::chrono::nanoseconds
Between(std::chrono::nanoseconds aLow, std::chrono::nanoseconds aHigh, std::mt19937_64& aRandom)
{
  std::uniform_int_distribution<std::int64_t> draw(aLow.count(),
                                                   std::max(aLow.count(), aHigh.count()));
  return std::chrono::nanoseconds{ draw(aRandom) };
}

} // namespace

std::chrono::nanoseconds
observation_schedule::Period(std::chrono::milliseconds aBase, std::uint64_t aDaemons)
{
  const std::chrono::nanoseconds base = aBase;
  return std::max(base, base * static_cast<std::int64_t>(aDaemons) / kDaemonsOfBasePeriod);
}

std::chrono::nanoseconds
observation_schedule::FastPeriod(std::chrono::milliseconds aBase, std::uint64_t aDaemons)
{
  return Period(aBase, aDaemons) / 4;
}

void
observation_schedule::Hasten(std::chrono::nanoseconds aFastPeriod,
                             instant aNow,
                             std::mt19937_64& aRandom)
{
  const std::chrono::nanoseconds longest =
    std::min<std::chrono::nanoseconds>(aFastPeriod, kLongestHaste);
  const instant soon = aNow + Between(longest / 4, longest, aRandom);
  if (!mStarted || soon < mNext) {
    mNext = soon;
  }
  mStarted = true;
}

bool
observation_schedule::Due(std::chrono::nanoseconds aPeriod, instant aNow, std::mt19937_64& aRandom)
{
  if (!mStarted) {
    mStarted = true;
    mNext = aNow + Between(std::chrono::nanoseconds{ 1 }, aPeriod, aRandom);
    return false;
  }
  // A period that has become shorter also brings the next question forward.
  mNext = std::min(mNext, aNow + aPeriod * 5 / 4);
  if (aNow < mNext) {
    return false;
  }
  mNext = aNow + Between(aPeriod * 3 / 4, aPeriod * 5 / 4, aRandom);
  return true;
}

} // namespace skylarkwind
