#pragma once

#include "skylarkwind/backend_calls.h"
#include "skylarkwind/types.h"

#include <cstdint>
#include <string>

namespace skylarkwind {

/// Status of an engine as seen by this daemon (see docs/design.md, section 4.7).
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

/// Health of a backend server as shown by the end of an attempt.
enum class attempt_health
{
  Answered, ///< the server did its work, or the attempt ended for a reason not of its making
  Refused,  ///< the server stated that it did not run the request, for example when overloaded
  Failed    ///< the server did not respond, or the response broke off
};

/// The properties of an engine that routing uses. Written by the engine lifecycle, read by the
/// router.
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
  /// Limit on this daemon's requests in flight at the engine; it applies only while warming or
  /// ramping.
  std::uint64_t mInFlightLimit = 0;
  std::uint64_t mInFlight = 0; ///< open requests of this daemon
  engine_report mReport;       ///< newest report
  instant mReportSampledAt;    ///< sample time of the load figures in the report

  /// Whether a new request may be sent to the engine now.
  bool Admits() const;
};

} // namespace skylarkwind
