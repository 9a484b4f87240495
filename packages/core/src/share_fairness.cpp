#include "share_fairness_p.h"

#include "skylarkwind/hash.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// Water-filling level: the highest cap on each demand at which the sum stays within the limit.
std::uint64_t
FairLevel(std::vector<share_demand>& aDemands, std::uint64_t aLimit)
{
  std::sort(aDemands.begin(), aDemands.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.mWanted < aRight.mWanted;
  });
  std::uint64_t left = aLimit;
  std::uint64_t level = 0;
  for (std::size_t i = 0; i < aDemands.size(); ++i) {
    level = left / (aDemands.size() - i);
    if (aDemands[i].mWanted > level) {
      return level;
    }
    left -= aDemands[i].mWanted;
  }
  return UINT64_MAX; // The limit covers all demands.
}

} // namespace

std::uint64_t
FairAmount(std::vector<share_demand> aDemands,
           std::uint64_t aLimit,
           const std::string& aVm,
           std::uint64_t aRotation)
{
  const std::uint64_t level = FairLevel(aDemands, aLimit);
  std::uint64_t left = aLimit;
  std::uint64_t own = 0;
  std::vector<std::pair<std::uint64_t, std::string>> cut;
  for (const auto& demand : aDemands) {
    const std::uint64_t amount = std::min(demand.mWanted, level);
    left -= std::min(left, amount);
    own = demand.mVm == aVm ? amount : own;
    if (demand.mWanted > level) {
      cut.emplace_back(Hash64(demand.mVm, aRotation), demand.mVm);
    }
  }
  std::sort(cut.begin(), cut.end());
  for (std::size_t i = 0; i < cut.size() && i < left; ++i) {
    own += cut[i].second == aVm ? 1 : 0;
  }
  return own;
}

} // namespace skylarkwind
