#pragma once

#include "skylarkwind/clock.h"

#include <chrono>
#include <vector>

namespace skylarkwind {

/// A time limit that others may still know by its former value for a while after a change. A rise
/// takes effect at once, a fall only when nobody relies on the longer limit any more.
class falling_limit
{
public:
  explicit falling_limit(std::chrono::milliseconds aLimit)
    : mLimit(aLimit)
  {
  }

  /// Sets the limit; a longer one of before holds for the given time from now.
  void Set(std::chrono::milliseconds aLimit, std::chrono::milliseconds aHold, instant aNow);
  /// The longest limit that holds.
  std::chrono::milliseconds At(instant aNow) const;

private:
  struct former_limit
  {
    std::chrono::milliseconds mLimit{};
    instant mUntil{};
  };

  std::chrono::milliseconds mLimit;
  std::vector<former_limit> mFormer;
};

} // namespace skylarkwind
