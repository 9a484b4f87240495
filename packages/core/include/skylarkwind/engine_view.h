#pragma once

#include "skylarkwind/backend_calls.h"
#include "skylarkwind/types.h"

#include <cstdint>
#include <string>

namespace skylarkwind {

/// State of an engine in this daemon's view (see docs/design.md, section 4.7).
enum class engine_status
{
  Absent,
  Observed,
  Warming,
  Ramping,
  Serving,
  Draining,
  Drained,
  Changing
};

std::string_view EngineStatusText(engine_status aStatus);

/// What the end of an attempt says of its backend server.
enum class attempt_health
{
  Answered, ///< it did its work, or the attempt ended for a reason that is not its own
  Refused,  ///< it is alive and said that it did not run the request, for example when overloaded
  Failed    ///< it did not answer, or broke the answer off
};

/// What routing needs to know of an engine. Kept by the engine lifecycle, read by the router.
struct engine_view
{
  std::string mName;
  std::string mAddress; ///< ip:port
  std::string mDataCentre;
  std::string mService;
  std::string mModel;
  std::string mVersion;
  engine_role mRole = engine_role::Both;
  double mWeight = 1;
  engine_status mStatus = engine_status::Absent;
  std::uint64_t mIncarnation = 0;
  /// Requests that this daemon may have in flight there; only binding while warming or ramping.
  std::uint64_t mInFlightLimit = 0;
  std::uint64_t mInFlight = 0; ///< requests of this daemon
  engine_report mReport;       ///< the newest one
  instant mReportSampledAt;    ///< when its load figures were true

  /// Whether a new request may be sent there now.
  bool Admits() const;
};

} // namespace skylarkwind
