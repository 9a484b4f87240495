#include "skylarkwind/falling_limit.h"

#include <algorithm>

namespace skylarkwind {

void
falling_limit::Set(std::chrono::milliseconds aLimit, std::chrono::milliseconds aHold, instant aNow)
{
  std::erase_if(mFormer, [aNow](const former_limit& aFormer) { return aFormer.mUntil <= aNow; });
  if (aLimit < mLimit) {
    mFormer.push_back({ mLimit, aNow + aHold });
  }
  mLimit = aLimit;
}

std::chrono::milliseconds
falling_limit::At(instant aNow) const
{
  auto longest = mLimit;
  for (const auto& former : mFormer) {
    if (former.mUntil > aNow) {
      longest = std::max(longest, former.mLimit);
    }
  }
  return longest;
}

} // namespace skylarkwind
