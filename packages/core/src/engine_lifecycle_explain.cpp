#include "skylarkwind/engine_lifecycle.h"

namespace skylarkwind {

std::string
engine_lifecycle::DrainReason() const
{
  if (mWithdrawn) {
    return "it was withdrawn from the table";
  }
  if (mLeaving) {
    return "its VM is leaving";
  }
  if (mRow.mIntent == engine_intent::Drain) {
    return "the table says to drain it";
  }
  if (mCommand) {
    return "order " + mCommand->mOrder + " is recorded for it";
  }
  return "its drain was withdrawn";
}

std::string
engine_lifecycle::Explain() const
{
  const std::string open = std::to_string(mView.mInFlight);
  std::string text = mView.mName + " is " + std::string(EngineStatusText(mView.mStatus));
  switch (mView.mStatus) {
    case engine_status::Absent:
      return text + ExplainAbsent();
    case engine_status::Observed:
      return text + ExplainObserved();
    case engine_status::Warming:
      return text + ExplainWarming();
    case engine_status::Ramping:
      return text + ExplainRamping();
    case engine_status::Serving:
      return text + " and has " + open + " open requests of this daemon.";
    case engine_status::Draining:
      return text + " because " + DrainReason() + "; it waits for " + open +
             " open requests of this daemon" +
             (ShouldDrain() ? "." : " or for an observation newer than its order.");
    case engine_status::Drained:
      return text + " because " + DrainReason() + "; it waits until " +
             (mCommand ? "the order is carried out." : "the drain is withdrawn.");
    case engine_status::Changing:
      return text + ExplainChanging();
  }
  return text;
}

std::string
engine_lifecycle::ExplainAbsent() const
{
  return " because " + mAbsentReason + "; it waits for " +
         (mPlain ? "its backoff to end." : "an answer to a state question asked after that.");
}

std::string
engine_lifecycle::ExplainObserved() const
{
  if (!IsCurrent()) {
    return "; it waits for an observation newer than the end of its order.";
  }
  if (mCommand) {
    return " and carried out order " + mCommand->mOrder +
           "; it waits until the lease holder settles that order.";
  }
  if (!ServesConfiguredModel()) {
    return " with service " + mView.mReport.mService + " and model " + mView.mReport.mModel +
           "; it waits for an order to model " + mRow.mModel + " of service " + mRow.mService + ".";
  }
  return " after failed requests; it waits for its backoff to end.";
}

std::string
engine_lifecycle::ExplainWarming() const
{
  if (mView.mInFlightLimit > 0) {
    return "; it waits for a first completed request of this daemon or for completed work of "
           "others.";
  }
  return "; it waits for completed work of the daemons that may send to it first.";
}

std::string
engine_lifecycle::ExplainRamping() const
{
  return " with a limit of " + std::to_string(mRamp.FleetLimit()) + " requests for all daemons, " +
         std::to_string(mView.mInFlightLimit) +
         " of them for this daemon; it waits for completed work to reach the load of its peers.";
}

std::string
engine_lifecycle::ExplainChanging() const
{
  const std::string target = mCommand ? " to carry out order " + mCommand->mOrder + " and" : "";
  return "; it waits for the engine" + target + " to report that it is ready.";
}

} // namespace skylarkwind
