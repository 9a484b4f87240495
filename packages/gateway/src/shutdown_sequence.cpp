#include "shutdown_sequence_p.h"

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// Time before SIGKILL at which requests are ended: for writing the responses and for callers to
/// take them.
constexpr milliseconds kEndMargin{ 700 };
/// Time before SIGKILL at which the process exits, which a loaded VM may delay.
constexpr milliseconds kExitMargin{ 300 };

} // namespace

shutdown_stage
StageAt(const shutdown_times& aTimes, milliseconds aElapsed, const open_work& aOpen)
{
  const bool idle = aOpen.mRequests == 0 && aOpen.mConnections == 0 &&
                    aElapsed >= aTimes.mBalancerReaction + kShutdownIdleLimit;
  if (idle || aElapsed >= aTimes.mGrace - kExitMargin) {
    return shutdown_stage::Exiting;
  }
  if (aElapsed >= aTimes.mGrace - kEndMargin) {
    return shutdown_stage::Ending;
  }
  return aElapsed >= aTimes.mBalancerReaction ? shutdown_stage::Refusing : shutdown_stage::Closing;
}

} // namespace skylarkwind
