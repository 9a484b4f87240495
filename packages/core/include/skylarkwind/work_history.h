#pragma once

#include "skylarkwind/clock.h"

#include <cstddef>
#include <vector>

namespace skylarkwind {

/// This daemon's work at one engine, now and over the last seconds. A load report is older than
/// the work sent since; the history tells which part of the report was this daemon's own.
class work_history
{
public:
  void Add(double aDelta, instant aNow);
  double Now() const { return mNow; }
  /// Work in flight at that time, or at the oldest time kept.
  double At(instant aWhen) const;

private:
  struct mark
  {
    instant mSince;
    double mWork = 0;
  };

  double mNow = 0;
  std::vector<mark> mMarks; ///< ring, the oldest mark at mOldest
  std::size_t mOldest = 0;
};

} // namespace skylarkwind
