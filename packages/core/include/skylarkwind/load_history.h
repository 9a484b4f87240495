#pragma once

#include "skylarkwind/clock.h"

#include <cstddef>
#include <vector>

namespace skylarkwind {

/// Load dispatched by this daemon to one engine, now and over the last seconds. An engine report
/// does not include the load sent since it was sampled; the history tells how much of the reported
/// load was this daemon's own.
class load_history
{
public:
  void Add(double aDelta, instant aNow);
  double Now() const { return mNow; }
  /// Load at the given time, or at the oldest time that is still recorded.
  double At(instant aWhen) const;

private:
  struct sample
  {
    instant mSince;
    double mWork = 0;
  };

  double mNow = 0;
  std::vector<sample> mSamples; ///< ring buffer with the oldest sample at mOldest
  std::size_t mOldest = 0;
};

} // namespace skylarkwind
