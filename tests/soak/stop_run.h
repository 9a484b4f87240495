#pragma once

#include "soak_run.h"

#include <cstdint>
#include <string>

namespace skylarkwind::soak {

/// Plays series of planned stops against real processes under load. `aDaemonProgram` is the daemon
/// that is played; empty: that of this build.
soak_result RunStops(std::uint64_t aSeed,
                     std::int64_t aLengthMs,
                     const std::string& aDaemonProgram);

} // namespace skylarkwind::soak
