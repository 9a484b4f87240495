#include "observation_schedule_p.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// Up to this number of daemons the base period applies unchanged.
constexpr std::int64_t kBasePeriodDaemons = 8;
/// Longest random delay of an expedited query.
constexpr std::chrono::milliseconds kMaxExpediteDelay{ 2'000 };

std::chrono::nanoseconds
RandomBetween(std::chrono::nanoseconds aLow,
              std::chrono::nanoseconds aHigh,
              std::mt19937_64& aRandom)
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
  return std::max(base, base * static_cast<std::int64_t>(aDaemons) / kBasePeriodDaemons);
}

std::chrono::nanoseconds
observation_schedule::FastPeriod(std::chrono::milliseconds aBase, std::uint64_t aDaemons)
{
  return Period(aBase, aDaemons) / 4;
}

void
observation_schedule::Expedite(std::chrono::nanoseconds aFastPeriod,
                               instant aNow,
                               std::mt19937_64& aRandom)
{
  const std::chrono::nanoseconds longest =
    std::min<std::chrono::nanoseconds>(aFastPeriod, kMaxExpediteDelay);
  const instant soon = aNow + RandomBetween(longest / 4, longest, aRandom);
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
    mNext = aNow + RandomBetween(std::chrono::nanoseconds{ 1 }, aPeriod, aRandom);
    return false;
  }
  // A period that has become shorter also brings the next query forward.
  mNext = std::min(mNext, aNow + aPeriod * 5 / 4);
  if (aNow < mNext) {
    return false;
  }
  mNext = aNow + RandomBetween(aPeriod * 3 / 4, aPeriod * 5 / 4, aRandom);
  return true;
}

} // namespace skylarkwind
