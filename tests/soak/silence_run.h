#pragma once

#include "soak_checks.h"
#include "soak_run.h"

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkwind::soak {

/// Limits of a configuration, from the time at which the store acknowledged it.
struct limits_in_force
{
  std::int64_t mFromMs = 0;
  std::int64_t mIdleMs = 5'000;
  std::int64_t mTimeoutMs = 8'000;
};

/// Silences of servers, in series and overlapping, beside servers that turn work away, changes of
/// the configuration of every kind, and hang-ups; ordered by their begin. A fault of kind Configure
/// names its change.
std::vector<fault> MakeSilencePlan(std::uint64_t aSeed,
                                   int aDaemons,
                                   int aServers,
                                   std::int64_t aLengthMs);

/// Requests that ended without an answer before their time limit. Each counts: no process ends and
/// every server goes on. The time limit is the shortest that may have held for the request.
std::vector<const request_record*> UnansweredRequests(const std::vector<request_record>& aRequests,
                                                      const std::vector<limits_in_force>& aLimits);

/// Plays silences beside changes of the configuration against real processes under load.
/// `aDaemonProgram` is the daemon that is played; empty: that of this build.
soak_result RunSilences(std::uint64_t aSeed,
                        std::int64_t aLengthMs,
                        const std::string& aDaemonProgram);

} // namespace skylarkwind::soak
