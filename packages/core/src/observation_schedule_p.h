#pragma once

#include "skylarkwind/clock.h"

#include <chrono>
#include <cstdint>
#include <random>

namespace skylarkwind {

/// Schedules the state queries of this daemon to one engine.
class observation_schedule
{
public:
  /// Usual interval between two queries of one daemon. It grows with the number of daemons, so that
  /// the total query rate at one engine does not.
  static std::chrono::nanoseconds Period(std::chrono::milliseconds aBase, std::uint64_t aDaemons);
  /// Interval between queries to an engine that is not in service: a quarter of `Period`.
  static std::chrono::nanoseconds FastPeriod(std::chrono::milliseconds aBase,
                                             std::uint64_t aDaemons);

  /// Brings the next query forward. A random delay keeps daemons that learn of the same event from
  /// sending their queries at the same moment.
  void Expedite(std::chrono::nanoseconds aFastPeriod, instant aNow, std::mt19937_64& aRandom);

  /// Returns whether to send a query now, and schedules the next one.
  bool Due(std::chrono::nanoseconds aPeriod, instant aNow, std::mt19937_64& aRandom);

private:
  bool mStarted = false;
  instant mNext;
};

} // namespace skylarkwind
