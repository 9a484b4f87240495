#pragma once

#include <chrono>

namespace skylarkwind {

/// Clock that counts on through suspension of the machine (CLOCK_BOOTTIME), so that a lease
/// also ends for a holder that slept.
struct boot_clock
{
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<boot_clock>;
  static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)
};

using instant = boot_clock::time_point;
using wall_instant = std::chrono::sys_time<std::chrono::milliseconds>;

/// Source of time. Decisions never read a clock; they take `instant` arguments.
class clock_source
{
public:
  virtual ~clock_source() = default;
  virtual instant Now() const = 0;
  /// Wall time, for records that people read. No decision depends on it.
  virtual wall_instant WallNow() const = 0;
};

/// The machine's clocks.
class system_clock_source final : public clock_source
{
public:
  instant Now() const override;
  wall_instant WallNow() const override;
};

/// Clock for tests; it moves only when told to.
class manual_clock_source final : public clock_source
{
public:
  instant Now() const override { return mNow; }
  wall_instant WallNow() const override
  {
    return wall_instant{ std::chrono::duration_cast<std::chrono::milliseconds>(
      mNow.time_since_epoch()) };
  }
  void Advance(std::chrono::nanoseconds aStep) { mNow += aStep; }

private:
  instant mNow{ std::chrono::seconds{ 1 } };
};

} // namespace skylarkwind
