#include "share_fairness_p.h"

#include "skylarkwind/hash.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// Highest level such that nobody who is cut to it makes the sum exceed the limit.
std::uint64_t
FairLevel(std::vector<share_wish>& aWishes, std::uint64_t aLimit)
{
  std::sort(aWishes.begin(), aWishes.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mWanted < aRight.mWanted;
  });
  std::uint64_t left = aLimit;
  std::uint64_t level = 0;
  for (std::size_t i = 0; i < aWishes.size(); ++i) {
    level = left / (aWishes.size() - i);
    if (aWishes[i].mWanted > level) {
      return level;
    }
    left -= aWishes[i].mWanted;
  }
  return UINT64_MAX; // All wishes fit.
}

} // namespace

std::uint64_t
FairAmount(std::vector<share_wish> aWishes,
           std::uint64_t aLimit,
           const std::string& aVm,
           std::uint64_t aTurn)
{
  const std::uint64_t level = FairLevel(aWishes, aLimit);
  std::uint64_t left = aLimit;
  std::uint64_t own = 0;
  std::vector<std::pair<std::uint64_t, std::string>> cut;
  for (const auto& wish : aWishes) {
    const std::uint64_t amount = std::min(wish.mWanted, level);
    left -= std::min(left, amount);
    own = wish.mVm == aVm ? amount : own;
    if (wish.mWanted > level) {
      cut.emplace_back(Hash64(wish.mVm, aTurn), wish.mVm);
    }
  }
  std::sort(cut.begin(), cut.end());
  for (std::size_t i = 0; i < cut.size() && i < left; ++i) {
    own += cut[i].second == aVm ? 1 : 0;
  }
  return own;
}

} // namespace skylarkwind
