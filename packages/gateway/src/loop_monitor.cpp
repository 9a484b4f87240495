#include "loop_monitor_p.h"

#include <algorithm>
#include <utility>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kWindow{ 10'000 };

} // namespace

milliseconds
loop_monitor::Delay(instant aNow) const
{
  if (!mLastTick) {
    return milliseconds{ 0 };
  }
  const auto passed = std::chrono::duration_cast<milliseconds>(aNow - *mLastTick);
  return std::max(milliseconds{ 0 }, passed - mPeriod);
}

milliseconds
loop_monitor::OnTick(instant aNow)
{
  const auto delay = Delay(aNow);
  mLastTick = aNow;
  if (aNow - mWindowStart >= kWindow) {
    // A delay that exceeds a window has no window before it.
    mLongestPrevious =
      aNow - mWindowStart >= 2 * kWindow ? milliseconds{ 0 } : std::exchange(mLongest, {});
    mLongest = {};
    mWindowStart = aNow;
  }
  mLongest = std::max(mLongest, delay);
  return delay;
}

milliseconds
loop_monitor::LongestDelay(instant aNow) const
{
  return std::max({ mLongest, mLongestPrevious, Delay(aNow) });
}

} // namespace skylarkwind
