#pragma once

#include "shutdown_signal_p.h"

#include <chrono>
#include <cstddef>

namespace skylarkwind {

/// During a shutdown, connections without a request are closed after this idle time.
inline constexpr std::chrono::milliseconds kShutdownIdleLimit{ 300 };

/// Times of a shutdown, from SIGTERM on.
struct shutdown_times
{
  std::chrono::milliseconds mBalancerReaction{}; ///< until no new connections are sent
  std::chrono::milliseconds mGrace{};            ///< until SIGKILL
};

/// What callers still use.
struct open_work
{
  std::size_t mRequests = 0;
  std::size_t mConnections = 0;
};

/// The stage of a shutdown at this time after SIGTERM.
///
/// While most daemons of a data centre stop, the load balancer sends connections to all of them, so
/// that requests are refused once its reaction time is over: they might not finish before the exit.
/// Some time before SIGKILL the requests that are still open are ended, so that their callers
/// receive a response; streams that have begun go on until shortly before it.
shutdown_stage StageAt(const shutdown_times& aTimes,
                       std::chrono::milliseconds aElapsed,
                       const open_work& aOpen);

/// The same for a daemon that is in the stage `aCurrent`: while requests are open, the exit waits
/// for one round after they were ended, also when the daemon was held up past the time to end them.
shutdown_stage NextStage(shutdown_stage aCurrent,
                         const shutdown_times& aTimes,
                         std::chrono::milliseconds aElapsed,
                         const open_work& aOpen);

} // namespace skylarkwind
