#pragma once

#include "skylarkwind/engine_view.h"
#include "skylarkwind/events.h"
#include "skylarkwind/fleet.h"
#include "skylarkwind/return_ramp.h"
#include "skylarkwind/table.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwind {

/// Time-outs, thresholds and back-off of one lifecycle.
struct lifecycle_settings
{
  std::chrono::milliseconds mAbsentTimeout{ 3'000 }; ///< absent after a query unanswered this long
  std::uint32_t mFailureThreshold = 3;               ///< absent after this many failures in a row
  std::chrono::milliseconds mInitialBackoff{ 1'000 };
  std::chrono::milliseconds mMaxBackoff{ 30'000 };
  double mBackoffFactor = 1; ///< differs between daemons, so that they do not retry all at once
  /// A plain backend server that is added while the daemon runs is new and ramps up; those of the
  /// daemon's first table are assumed to be in service.
  bool mAddedAtRuntime = false;
};

/// State of the daemons and of the other engines of the same role, as input to a lifecycle.
struct lifecycle_context
{
  ramp_share mShare;
  /// Mean number of this daemon's requests in flight at the serving engines of the same service and
  /// role; empty when no such engine exists.
  std::optional<double> mServingInFlight;
};

/// State machine of one backend server as seen by one daemon. docs/lifecycle.md has the diagram
/// and the table of all transitions. The state is derived from independent conditions: the table
/// row, the recorded engine command, the leaving flag, the newest observation and the open
/// requests. An event changes a condition, and transitions are then applied until no rule matches,
/// so an event in the middle of a return to service needs no special case.
class engine_lifecycle
{
public:
  /// A model engine starts absent until it is observed.
  engine_lifecycle(const engine_row& aRow, lifecycle_settings aSettings, instant aNow);
  /// A plain backend server sends no reports and serves until calls to it fail.
  engine_lifecycle(const backend_row& aRow, lifecycle_settings aSettings, instant aNow);

  const engine_view& View() const { return mView; }
  bool IsPlain() const { return mPlain; }
  /// Limit on the requests in flight of all daemons while warming or ramping.
  std::uint64_t FleetLimit() const { return mRamp.FleetLimit(); }
  /// Whether the row was withdrawn from the table and no request of this daemon is open.
  bool Removable() const { return mWithdrawn && mView.mInFlight == 0; }
  /// Returns one sentence for operators: the status, its reason and the condition it waits for.
  std::string Explain() const;

  void OnRow(const engine_row& aRow, instant aNow);
  void OnRow(const backend_row& aRow, instant aNow);
  void OnWithdrawn(instant aNow);
  /// Sets the recorded engine command of this engine; empty when there is none or it is settled.
  void OnCommand(const std::optional<recorded_command>& aCommand, instant aNow);
  void OnLeaving(bool aLeaving, instant aNow);
  /// A state query was sent to the engine.
  void OnStateQuerySent(instant aNow);
  void OnObserved(const engine_state_received& aObserved, instant aNow);
  /// Handles a report that arrived with the response to a request. It updates the load figures. A
  /// different incarnation, role, model or version in it only makes an observation urgent, because
  /// the report may come from a process that has since been replaced.
  void OnReport(const engine_report& aReport, instant aNow);
  void OnAttemptStarted(instant aNow);
  void OnAttemptEnded(attempt_health aHealth, instant aNow);
  /// To be called after construction and whenever the set of daemons or the load of the other
  /// engines changes.
  void OnContext(const lifecycle_context& aContext);
  void OnTick(instant aNow);

  /// Returns whether the engine should be observed soon, and resets the flag.
  bool TakeUrgent();

  struct transition
  {
    engine_status mFrom = engine_status::Absent;
    engine_status mTo = engine_status::Absent;
    std::string mWhy;
  };
  std::vector<transition> TakeTransitions();
  /// Increases whenever View() changes.
  std::uint64_t Revision() const { return mRevision; }

private:
  bool ShouldDrain() const;
  bool DrainsOnlyForCommand() const;
  bool IsCommandDone() const;
  /// Whether the last accepted observation answers a query that is new enough to count.
  bool IsCurrent() const;
  bool IsReady() const;
  bool ServesConfiguredModel() const;
  bool IsInServiceElsewhere() const;

  void Apply(const engine_row& aRow, bool aAddressChanged, instant aNow);
  void Accept(const engine_report& aReport, instant aQueriedAt, instant aNow);
  /// Returns false when the sample is older than the known one.
  bool AcceptLoad(const engine_report& aReport, instant aSampledAt, instant aNow);
  void MarkAbsent(std::string aReason, instant aNow);
  void StartBackoff(instant aNow);
  /// Enters the observed state; the engine no longer counts as possibly in service elsewhere.
  void EnterObserved(const char* aWhy);
  void SetStatus(engine_status aTo, std::string aWhy);
  void ApplyTransitions(instant aNow);
  bool ApplyTransition(instant aNow);
  bool LeaveAbsent(instant aNow);
  bool LeaveObserved(instant aNow);
  bool LeaveInService(instant aNow);
  bool LeaveDraining(instant aNow);
  bool LeaveDrained();
  bool LeaveChanging();
  void FinishRamp(instant aNow);
  void StartRamp(std::string_view aReason, instant aNow);
  /// Called when the ramp raised its limit; `aReason` says why.
  void OnLimitRaised(std::string_view aReason, instant aNow);
  void UpdateLimit();
  void BumpRevision() { ++mRevision; }

  std::string DrainReason() const;
  std::string ExplainAbsent() const;
  std::string ExplainObserved() const;
  std::string ExplainWarming() const;
  std::string ExplainRamping() const;
  std::string ExplainChanging() const;

  lifecycle_settings mSettings;
  bool mPlain = false;
  engine_view mView;
  engine_row mRow;
  bool mWithdrawn = false;
  bool mLeaving = false;
  std::optional<recorded_command> mCommand;

  bool mKnown = false;      ///< observed since the last fault
  bool mSeenBefore = false; ///< an observation was accepted at any time
  /// No fault and no return to service since this daemon first saw the engine, so it may already
  /// serve requests of other daemons.
  bool mMayBeInService = true;
  instant mQueriedAfter = instant::min();      ///< only responses to later queries count
  instant mLastAcceptedQuery = instant::min(); ///< query time of the newest accepted observation
  std::optional<instant> mPendingQuerySince;   ///< oldest query without any response since
  std::string mAbsentReason = "it was not observed yet";
  std::uint32_t mFailures = 0;         ///< in a row
  std::uint32_t mFailedRecoveries = 0; ///< back-offs since it last served
  instant mBackoffUntil = instant::min();
  std::uint64_t mStaleInFlight = 0; ///< open requests that were sent before the last fault
  bool mUrgent = false;

  return_ramp mRamp;
  ramp_share mShare;
  std::optional<double> mServingInFlight;
  std::vector<transition> mTransitions;
  std::uint64_t mRevision = 1;
};

} // namespace skylarkwind
