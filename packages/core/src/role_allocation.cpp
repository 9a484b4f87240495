#include "skylarkwind/role_allocation.h"

#include <algorithm>

namespace skylarkwind {

double
ServableFraction(const role_counts& aCounts, const role_demand& aDemand, double aMaxUtilisation)
{
  double share = 1;
  const auto limit = [&share, aMaxUtilisation](double aCapacity, double aRequired) {
    if (aRequired > 0) {
      share = std::min(share, aMaxUtilisation * aCapacity / aRequired);
    }
  };
  limit(aCounts.mPrefill + aCounts.mBoth, aDemand.mPrefill);
  limit(aCounts.mDecode + aCounts.mBoth, aDemand.mDecode);
  limit(aCounts.mPrefill + aCounts.mDecode + aCounts.mBoth, aDemand.mPrefill + aDemand.mDecode);
  return share;
}

} // namespace skylarkwind
