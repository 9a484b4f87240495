#include "shutdown_sequence_p.h"

#include <algorithm>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// A margin before SIGKILL: an absolute time, and at most a part of the grace period, so that a
/// short grace period is not spent on margins.
struct margin
{
  milliseconds mMost;
  int mPart = 1; ///< one part of this many

  milliseconds Of(milliseconds aGrace) const { return std::min(mMost, aGrace / mPart); }
};

/// Requests are ended this long before SIGKILL: for writing the responses and for callers to take
/// them.
constexpr margin kEndMargin{ milliseconds{ 700 }, 5 };
/// The process exits this long before SIGKILL, as a loaded VM may delay it.
constexpr margin kExitMargin{ milliseconds{ 300 }, 10 };

} // namespace

shutdown_stage
StageAt(const shutdown_times& aTimes, milliseconds aElapsed, const open_work& aOpen)
{
  const bool idle = aOpen.mRequests == 0 && aOpen.mConnections == 0 &&
                    aElapsed >= aTimes.mBalancerReaction + kShutdownIdleLimit;
  if (idle || aElapsed >= aTimes.mGrace - kExitMargin.Of(aTimes.mGrace)) {
    return shutdown_stage::Exiting;
  }
  if (aElapsed >= aTimes.mGrace - kEndMargin.Of(aTimes.mGrace)) {
    return shutdown_stage::Ending;
  }
  return aElapsed >= aTimes.mBalancerReaction ? shutdown_stage::Refusing : shutdown_stage::Closing;
}

shutdown_stage
NextStage(shutdown_stage aCurrent,
          const shutdown_times& aTimes,
          milliseconds aElapsed,
          const open_work& aOpen)
{
  const auto stage = StageAt(aTimes, aElapsed, aOpen);
  if (stage == shutdown_stage::Exiting && aCurrent < shutdown_stage::Ending &&
      aOpen.mRequests > 0) {
    return shutdown_stage::Ending;
  }
  return stage;
}

} // namespace skylarkwind
