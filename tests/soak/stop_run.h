#pragma once

#include "gateway_system.h"
#include "soak_run.h"

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkwind::soak {

/// Plays series of planned stops against real processes under load. `aDaemonProgram` is the daemon
/// that is played; empty: that of this build.
soak_result RunStops(std::uint64_t aSeed,
                     std::int64_t aLengthMs,
                     const std::string& aDaemonProgram);

/// The lines of a daemon's log that contain the text, each on a line of its own.
std::string LogLines(const sessions::gateway_system& aSystem,
                     int aDaemon,
                     const std::string& aText);

/// Keeps what callers saw of each request in a file.
void WriteRequests(const std::vector<request_record>& aRequests, const std::string& aDirectory);

} // namespace skylarkwind::soak
