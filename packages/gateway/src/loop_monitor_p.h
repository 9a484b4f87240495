#pragma once

#include "skylarkwind/clock.h"

#include <chrono>
#include <optional>

namespace skylarkwind {

/// Measures by how much a periodic timer of the event loop is late. All timers and sockets wait
/// while one kind of work keeps the loop busy or the process is paused.
class loop_monitor
{
public:
  /// `aPeriod`: time between two ticks of a loop that is not held up.
  explicit loop_monitor(std::chrono::milliseconds aPeriod)
    : mPeriod(aPeriod)
  {
  }
  /// Records a tick and returns its delay.
  std::chrono::milliseconds OnTick(instant aNow);
  /// The longest delay of the last 10 to 20 seconds, the one that has begun included.
  std::chrono::milliseconds LongestDelay(instant aNow) const;

private:
  std::chrono::milliseconds Delay(instant aNow) const;

  std::chrono::milliseconds mPeriod;
  std::optional<instant> mLastTick;
  instant mWindowStart{};
  std::chrono::milliseconds mLongest{};         ///< of the current window
  std::chrono::milliseconds mLongestPrevious{}; ///< of the one before
};

} // namespace skylarkwind
