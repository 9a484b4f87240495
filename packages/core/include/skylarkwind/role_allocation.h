#pragma once

namespace skylarkwind {

/// Number of engines in each role.
struct role_counts
{
  double mPrefill = 0;
  double mDecode = 0;
  double mBoth = 0;
};

/// Demand for prefill and decode work, as the number of engines that it would keep fully busy.
struct role_demand
{
  double mPrefill = 0;
  double mDecode = 0;
};

/// Fraction of the demand, from 0 to 1, that the engines can serve with no engine's utilisation
/// above `aMaxUtilisation`. Queues grow long before an engine is fully utilised, so a higher
/// utilisation delays the first token.
double ServableFraction(const role_counts& aCounts,
                        const role_demand& aDemand,
                        double aMaxUtilisation);

} // namespace skylarkwind
