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

struct lifecycle_settings
{
  std::chrono::milliseconds mAbsentAfter{ 3'000 };
  std::uint32_t mFailuresUntilAbsent = 3; ///< in a row
  std::chrono::milliseconds mFirstBackoff{ 1'000 };
  std::chrono::milliseconds mLongestBackoff{ 30'000 };
  double mBackoffFactor = 1; ///< differs between daemons, so that they do not probe at once
  /// A plain backend server added while the daemon runs is new and ramps up; those of a daemon's
  /// first table are taken to be in service.
  bool mAddedLater = false;
};

/// What a lifecycle needs to know of the daemons and of the other engines of its role.
struct lifecycle_surroundings
{
  ramp_share mShare;
  /// Mean of this daemon's requests in flight at serving engines of the same service and role;
  /// empty when there is none.
  std::optional<double> mPeerInFlight;
};

/// State machine of one backend server as one daemon sees it. docs/lifecycle.md has the diagram
/// and the table of all transitions. The state follows from conditions that are kept apart: the
/// row, the recorded order, evidence of leaving, the newest observation and the open requests.
/// An event changes a condition, and the state then moves until no rule applies, so that an event
/// in the middle of a return needs no case of its own.
class engine_lifecycle
{
public:
  /// A model engine starts absent; it needs an observation.
  engine_lifecycle(const engine_row& aRow, lifecycle_settings aSettings, instant aNow);
  /// A plain backend server reports nothing and serves until calls to it fail.
  engine_lifecycle(const backend_row& aRow, lifecycle_settings aSettings, instant aNow);

  const engine_view& View() const { return mView; }
  bool IsPlain() const { return mPlain; }
  /// Limit for all daemons while warming or ramping.
  std::uint64_t FleetLimit() const { return mRamp.FleetLimit(); }
  /// Withdrawn from the table, and no request of this daemon is open.
  bool Removable() const { return mWithdrawn && mView.mInFlight == 0; }
  std::string Explain() const;

  void OnRow(const engine_row& aRow, instant aNow);
  void OnRow(const backend_row& aRow, instant aNow);
  void OnWithdrawn(instant aNow);
  /// The recorded order of this engine; empty when there is none or it is settled.
  void OnOrder(const std::optional<recorded_order>& aIntended, instant aNow);
  void OnLeaving(bool aLeaving, instant aNow);
  /// A question was sent to the engine.
  void OnAsked(instant aNow);
  void OnObserved(const engine_observed& aObserved, instant aNow);
  /// A report that came with the answer to a request. It updates load figures; a different
  /// incarnation, role, model or version in it only makes an observation urgent, because such a
  /// report may come from a process that has been replaced.
  void OnReport(const engine_report& aReport, instant aNow);
  void OnAttemptStarted(instant aNow);
  void OnAttemptEnded(attempt_health aHealth, instant aNow);
  /// To be called after construction and whenever the daemons or the load of the peers change.
  void OnSurroundings(const lifecycle_surroundings& aSurroundings);
  void OnTick(instant aNow);

  /// Whether an observation should be made soon; resets the mark.
  bool TakeUrgent();

  struct transition
  {
    engine_status mFrom = engine_status::Absent;
    engine_status mTo = engine_status::Absent;
    std::string mWhy;
  };
  std::vector<transition> TakeTransitions();
  /// Grows whenever View() changes.
  std::uint64_t Revision() const { return mRevision; }

private:
  bool DrainWanted() const;
  bool OnlyOrderDrains() const;
  bool OrderDone() const;
  bool Fresh() const;
  bool Ready() const;
  bool Matches() const;
  bool ProvenElsewhere() const;

  void Apply(const engine_row& aRow, bool aRetargeted, instant aNow);
  void Accept(const engine_report& aReport, instant aAskedAt, instant aNow);
  /// False when the figures are older than the known ones.
  bool AcceptLoad(const engine_report& aReport, instant aSampledAt, instant aNow);
  void Lose(std::string aReason, instant aNow);
  void BackOff(instant aNow);
  void EnterObserved(const char* aWhy);
  void Move(engine_status aTo, std::string aWhy);
  void Settle(instant aNow);
  bool SettleOnce(instant aNow);
  bool LeaveAbsent(instant aNow);
  bool LeaveObserved(instant aNow);
  bool LeaveInService(instant aNow);
  bool LeaveDraining(instant aNow);
  bool LeaveDrained();
  bool LeaveChanging();
  void FinishRamp(instant aNow);
  void StartRamp(std::string_view aReason, instant aNow);
  /// The ramp took a step; `aReason` says why.
  void OnStep(std::string_view aReason, instant aNow);
  void UpdateLimit();
  void Touch() { ++mRevision; }

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
  std::optional<recorded_order> mOrder;

  bool mKnown = false;                   ///< observed after the last fault
  bool mSeenBefore = false;              ///< an observation was accepted at any time
  bool mFirstSight = true;               ///< no fault since this daemon first saw it
  instant mAskedAfter = instant::min();  ///< only answers to later questions count
  instant mNewestAsked = instant::min(); ///< question of the newest accepted observation
  std::optional<instant> mOpenQuestion;  ///< oldest one without any answer since
  std::string mFault = "it was not observed yet";
  std::uint32_t mFailures = 0;      ///< in a row
  std::uint32_t mFailedReturns = 0; ///< since it last served
  instant mBackoffUntil = instant::min();
  std::uint64_t mStaleInFlight = 0; ///< requests sent before the last fault
  bool mUrgent = false;

  return_ramp mRamp;
  ramp_share mShare;
  std::optional<double> mPeerInFlight;
  std::vector<transition> mTransitions;
  std::uint64_t mRevision = 1;
};

} // namespace skylarkwind
