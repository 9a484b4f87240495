#include "skylarkwind/role_allocation.h"

#include <algorithm>

namespace skylarkwind {

double
ServedShare(const role_counts& aCounts, const role_needs& aNeeds, double aTargetUse)
{
  double share = 1;
  const auto limit = [&share, aTargetUse](double aEngines, double aNeed) {
    if (aNeed > 0) {
      share = std::min(share, aTargetUse * aEngines / aNeed);
    }
  };
  limit(aCounts.mPrefill + aCounts.mBoth, aNeeds.mPrefill);
  limit(aCounts.mDecode + aCounts.mBoth, aNeeds.mDecode);
  limit(aCounts.mPrefill + aCounts.mDecode + aCounts.mBoth, aNeeds.mPrefill + aNeeds.mDecode);
  return share;
}

} // namespace skylarkwind
