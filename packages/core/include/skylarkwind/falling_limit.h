#pragma once

#include "skylarkwind/clock.h"

#include <algorithm>
#include <chrono>
#include <vector>

namespace skylarkwind {

/// A limit that others may still know by its former value for a while after a change. A rise takes
/// effect at once, a fall only when nobody relies on the higher limit any more.
template<class value>
class falling_limit
{
public:
  explicit falling_limit(value aLimit)
    : mLimit(aLimit)
  {
  }

  /// Sets the limit; a higher one of before holds for the given time from now.
  void Set(value aLimit, std::chrono::milliseconds aHold, instant aNow)
  {
    std::erase_if(mFormer, [aNow](const former_limit& aFormer) { return aFormer.mUntil <= aNow; });
    if (aLimit < mLimit) {
      mFormer.push_back({ mLimit, aNow + aHold });
    }
    mLimit = aLimit;
  }

  /// The highest limit that holds.
  value At(instant aNow) const
  {
    auto highest = mLimit;
    for (const auto& former : mFormer) {
      if (former.mUntil > aNow) {
        highest = std::max(highest, former.mLimit);
      }
    }
    return highest;
  }

private:
  struct former_limit
  {
    value mLimit{};
    instant mUntil{};
  };

  value mLimit;
  std::vector<former_limit> mFormer;
};

} // namespace skylarkwind
