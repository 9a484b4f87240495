#include "stop_plan.h"

#include <algorithm>
#include <random>

namespace skylarkwind::soak {

namespace {

/// Between two groups of stops.
constexpr std::int64_t kShortestGapMs = 200;
constexpr std::int64_t kLongestGapMs = 2'000;
/// Between the stops of a group.
constexpr std::int64_t kLongestStaggerMs = 400;
constexpr std::int64_t kLongestDownMs = 600;
constexpr double kHangUpsPerSecond = 1.0;
constexpr double kConfigurationsPerSecond = 0.4;

/// The daemons of a group: mostly one, at times a data centre, seldom all.
std::vector<int>
Group(const stop_shape& aShape, std::mt19937_64& aRandom)
{
  const int first = std::uniform_int_distribution<int>{ 0, aShape.mDaemons - 1 }(aRandom);
  std::discrete_distribution<int> size{ 6, 3, 1 };
  const int chosen = size(aRandom);
  if (chosen == 0) {
    return { first };
  }
  std::vector<int> group;
  for (int i = 0; i < aShape.mDaemons; ++i) {
    if (chosen == 2 || i % aShape.mDataCentres == first % aShape.mDataCentres) {
      group.push_back(i);
    }
  }
  return group;
}

} // namespace

stop_times
StopTimesOf(std::uint64_t aSeed)
{
  return aSeed % 2 == 0 ? stop_times{} : stop_times{ 3'000, 900, 300 };
}

std::vector<fault>
MakeStopPlan(std::uint64_t aSeed, const stop_shape& aShape)
{
  std::mt19937_64 random{ aSeed };
  const auto number = [&random](std::int64_t aLeast, std::int64_t aMost) {
    return std::uniform_int_distribution<std::int64_t>{ aLeast, aMost }(random);
  };
  std::vector<fault> plan;
  const auto add = [&](fault_kind aKind, int aTarget, std::int64_t aFromMs, std::int64_t aToMs) {
    if (aFromMs <= aShape.mLengthMs) {
      plan.push_back({ aKind, aTarget, {}, aFromMs, aToMs });
    }
  };
  for (auto at = number(0, kLongestGapMs); at < aShape.mLengthMs;
       at += number(kShortestGapMs, kLongestGapMs)) {
    const bool atOnce = std::bernoulli_distribution{ 0.5 }(random);
    for (const int daemon : Group(aShape, random)) {
      const auto from = at + (atOnce ? 0 : number(0, kLongestStaggerMs));
      add(fault_kind::StopDaemon, daemon, from, from + number(0, kLongestDownMs));
    }
  }
  const double seconds = static_cast<double>(aShape.mLengthMs) / 1'000;
  for (int i = 0; i < static_cast<int>(seconds * kHangUpsPerSecond); ++i) {
    const auto at = number(0, aShape.mLengthMs);
    add(fault_kind::HangUpDaemon, static_cast<int>(number(0, aShape.mDaemons - 1)), at, at);
  }
  for (int i = 0; i < static_cast<int>(seconds * kConfigurationsPerSecond); ++i) {
    const auto at = number(0, aShape.mLengthMs);
    add(fault_kind::Configure, 0, at, at);
  }
  std::stable_sort(plan.begin(), plan.end(), [](const fault& aLeft, const fault& aRight) {
    return aLeft.mFromMs < aRight.mFromMs;
  });
  return plan;
}

} // namespace skylarkwind::soak
