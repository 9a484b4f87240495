#include "skylarkwind/effects.h"
#include "skylarkwind/engine_view.h"

namespace skylarkwind {

std::string_view
RunStateText(run_state aState)
{
  switch (aState) {
    case run_state::NotRun:
      return "not run";
    case run_state::InProgress:
      return "in progress";
    case run_state::OutcomeUnknown:
      return "outcome unknown";
  }
  return "outcome unknown";
}

std::string_view
EngineStatusText(engine_status aStatus)
{
  switch (aStatus) {
    case engine_status::Absent:
      return "absent";
    case engine_status::Observed:
      return "observed";
    case engine_status::Warming:
      return "warming";
    case engine_status::Ramping:
      return "ramping";
    case engine_status::Serving:
      return "serving";
    case engine_status::Draining:
      return "draining";
    case engine_status::Drained:
      return "drained";
    case engine_status::Changing:
      return "changing";
  }
  return "absent";
}

bool
engine_view::Admits() const
{
  switch (mStatus) {
    case engine_status::Serving:
      return true;
    case engine_status::Warming:
    case engine_status::Ramping:
      return mInFlight < mInFlightLimit;
    default:
      return false;
  }
}

} // namespace skylarkwind
