#pragma once

namespace skylarkwind {

/// Engines of each role.
struct role_counts
{
  double mPrefill = 0;
  double mDecode = 0;
  double mBoth = 0;
};

/// Work to be done each second, in engines that do nothing else.
struct role_needs
{
  double mPrefill = 0;
  double mDecode = 0;
};

/// Share of the needs that the engines meet when no engine is used above `aTargetUse`, at most 1.
/// Queues grow long before an engine is fully used, so the first token is late above that use.
double ServedShare(const role_counts& aCounts, const role_needs& aNeeds, double aTargetUse);

} // namespace skylarkwind
