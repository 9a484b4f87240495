#pragma once

#include "fault_plan.h"

#include <cstdint>
#include <vector>

namespace skylarkwind::soak {

/// Times of a run with series of stops.
struct stop_times
{
  std::int64_t mGraceMs = 8'000;           ///< from SIGTERM to SIGKILL
  std::int64_t mBalancerNoticesMs = 2'600; ///< setting of the daemons
  std::int64_t mBalancerPollMs = 1'000;    ///< the balancer asks each daemon whether it is ready
};

/// Even seeds use the times of the deployment, odd ones a short grace period.
stop_times StopTimesOf(std::uint64_t aSeed);

struct stop_shape
{
  int mDaemons = 6;
  int mDataCentres = 3; ///< daemon i is in data centre i % mDataCentres
  std::int64_t mLengthMs = 10'000;
  stop_times mTimes;
};

/// Planned work only, ordered by its begin: stops of one daemon, of a data centre or of all, in
/// turn and at once, with hang-ups and configurations beside them. The end of a stop is the
/// earliest time of the next start. A stop of a daemon that is still stopping is to be left out.
std::vector<fault> MakeStopPlan(std::uint64_t aSeed, const stop_shape& aShape);

} // namespace skylarkwind::soak
