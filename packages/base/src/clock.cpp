#include "skylarkwind/clock.h"

#include <ctime>

namespace skylarkwind {

instant
system_clock_source::Now() const
{
  timespec value{};
  clock_gettime(CLOCK_BOOTTIME, &value);
  return instant{ std::chrono::seconds{ value.tv_sec } +
                  std::chrono::nanoseconds{ value.tv_nsec } };
}

wall_instant
system_clock_source::WallNow() const
{
  return std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
}

} // namespace skylarkwind
