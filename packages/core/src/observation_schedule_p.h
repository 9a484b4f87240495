#pragma once

#include "skylarkwind/clock.h"

#include <chrono>
#include <cstdint>
#include <random>

namespace skylarkwind {

/// When to ask one engine for its state.
class observation_schedule
{
public:
  /// Usual time between two questions of one daemon, so that the questions of all daemons to one
  /// engine do not grow with their number.
  static std::chrono::nanoseconds Period(std::chrono::milliseconds aBase, std::uint64_t aDaemons);
  /// Time between questions to an engine that is not in service: a quarter of the period.
  static std::chrono::nanoseconds FastPeriod(std::chrono::milliseconds aBase,
                                             std::uint64_t aDaemons);

  /// Brings the next question forward. The random delay keeps daemons that learn of the same
  /// event from asking at one moment.
  void Hasten(std::chrono::nanoseconds aFastPeriod, instant aNow, std::mt19937_64& aRandom);

  /// Whether to ask now; plans the next question.
  bool Due(std::chrono::nanoseconds aPeriod, instant aNow, std::mt19937_64& aRandom);

private:
  bool mStarted = false;
  instant mNext;
};

} // namespace skylarkwind
