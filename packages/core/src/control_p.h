#pragma once

#include "fleet_record_p.h"
#include "skylarkwind/control.h"
#include "skylarkwind/lease.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// Progress of one unsettled engine command at the lease holder.
struct command_progress
{
  enum class phase
  {
    Inherited, ///< recorded under an earlier acquisition; it may have been sent
    Recording, ///< the intent is being written
    Draining,  ///< the intent is stored; the engine's running requests finish
    Sent,      ///< no response yet, or none came: the command may or may not take effect
    Accepted,  ///< the engine accepted the command
    Refused,   ///< the engine refused the command
    Settling   ///< the settlement is being written
  } mPhase = phase::Recording;
  recorded_command mCommand;
  std::string mAddress;
  std::string mService;
  bool mChecksFencing = false;
  bool mLoads = false;         ///< the engine will load a model or version
  std::uint64_t mRevision = 0; ///< fleet object revision with the command's newest change
  instant mStoredAt;           ///< when the write of the intent was confirmed
  instant mSentAt;             ///< when it was sent, then when the engine responded
  std::optional<instant> mUnreachableSince;
  instant mUncertainUntil; ///< until then a command without effect may still arrive
};

/// What the lease holder knows of one engine.
struct known_engine
{
  std::optional<engine_report> mReport; ///< newest report; empty when unreachable
  instant mAskedAt;                     ///< when the newest poll result was requested
  instant mNextPoll;
  bool mAnswered = false; ///< a poll succeeded or failed since the acquisition
  instant mBackOffUntil;  ///< no new intent before this time
  /// A command of this process under this fencing number may still arrive, although it was settled
  /// as not accepted; the next command needs a higher number.
  std::uint64_t mUncertainFencing = 0;
  std::optional<command_progress> mProgress;
};

/// Implementation of `control`.
class role_controller_impl final : public control
{
public:
  role_controller_impl(control_settings aSettings,
                       const membership& aMembers,
                       const fleet& aFleet,
                       std::unique_ptr<role_change_source> aPlans,
                       lease aLease);

  bool HoldsLease(instant aNow) const override;
  std::uint64_t Fencing() const override { return mLease.Fencing(); }
  std::string Holder() const override { return mLease.Holder().mVm; }
  void OnQueuedWork(std::string_view aService,
                    std::uint64_t aPromptTokens,
                    std::uint64_t aOutputTokens) override;
  void OnTable(const table& aTable, instant aNow) override;
  void OnFleetObject(const fleet_object& aObject, instant aNow) override;
  void OnVmList(const vm_list& aList, instant aNow) override;
  void OnObserved(const engine_state_received& aObserved, instant aNow, effect_list& aOut) override;
  void OnCommandAnswered(const engine_command_completed& aAnswer,
                         instant aNow,
                         effect_list& aOut) override;
  void OnPlatformReply(const platform_replied& aReply, instant aNow, effect_list& aOut) override;
  void OnTick(instant aNow, wall_instant aWallNow, effect_list& aOut) override;
  void OnShutdown(instant aNow, effect_list& aOut) override;
  std::optional<fleet_object> TakeWritten() override { return mRecord.TakeWritten(); }

private:
  /// Steps from an acquisition to sending commands.
  enum class stage
  {
    Idle,       ///< not the holder
    Loading,    ///< reading the fleet object
    Announcing, ///< recording the acquisition, so that later writes of earlier holders conflict
    Observing,  ///< waiting until every engine has been polled once
    Acting
  };

  // control.cpp: the acquisition and the fleet object.
  void FollowLease(instant aNow);
  void StartAcquisition(instant aNow);
  void EndAcquisition();
  void OnRecordOutcome(fleet_record::outcome aOutcome, instant aNow);
  void Announce(instant aNow);
  void InheritCommands(instant aNow);
  void OnConfirmed(instant aNow);
  void Observe(instant aNow, effect_list& aOut);
  bool AllAnswered(instant aNow) const;
  void UpdateLeaving();
  void Audit(const std::string& aText);
  void RefreshViews(instant aNow);
  void ObserveFencingOf(const fleet_object& aObject, instant aNow);
  void Finish(instant aNow, effect_list& aOut);

  // control_commands.cpp: the steps of an engine command.
  void StepCommands(instant aNow, effect_list& aOut);
  void Step(known_engine& aEngine, instant aNow, effect_list& aOut);
  void StepInherited(known_engine& aEngine, instant aNow);
  void StepDraining(known_engine& aEngine, instant aNow, effect_list& aOut);
  void StepSent(known_engine& aEngine, instant aNow);
  void StepAnswered(known_engine& aEngine, instant aNow);
  void Send(known_engine& aEngine, instant aNow, effect_list& aOut);
  std::optional<std::string> ReasonToWithdraw(const known_engine& aEngine, instant aNow) const;
  bool IsDrained(const known_engine& aEngine, instant aNow) const;
  bool UnreachableTooLong(known_engine& aEngine, instant aNow) const;
  bool Reissue(known_engine& aEngine, instant aNow);
  void Settle(known_engine& aEngine, const std::string& aOutcome, instant aNow);
  std::chrono::milliseconds LateDeliveryWindow(const command_progress& aProgress) const;

  // control_targets.cpp: selection of the next engine commands.
  struct desired_target
  {
    engine_role mRole = engine_role::Both;
    std::string mModel;
    std::string mVersion;
    std::string mReason;
  };
  void RecordIntents(instant aNow);
  const engine_row* RowOf(std::string_view aEngine) const;
  const recorded_command* RecordOf(std::string_view aEngine) const;
  std::optional<desired_target> DesiredTarget(const engine_row& aRow,
                                              const engine_report& aReport) const;
  bool MayCommand(const engine_row& aRow, const known_engine& aEngine, instant aNow) const;
  bool ServiceAllowsChange(std::string_view aService, instant aNow) const;
  bool ModelLoadAllowed(instant aNow) const;
  bool ApplyPlan(instant aNow);
  bool TryRecordIntent(const engine_row& aRow, const desired_target& aTarget, instant aNow);
  void RecordIntent(known_engine& aEngine, const engine_row& aRow, const desired_target& aTarget);
  bool IsLeaving(std::string_view aEngine) const;

  control_settings mSettings;
  const membership& mMembers;
  const fleet& mFleet;
  std::unique_ptr<role_change_source> mPlans;
  lease mLease;
  fleet_record mRecord;
  table mTable;
  std::optional<std::vector<std::string>> mLeaving;            ///< empty before the first VM list
  std::map<std::string, const engine_row*, std::less<>> mRows; ///< engines of this data centre
  std::map<std::string, known_engine, std::less<>> mEngines;
  std::vector<process_id> mDaemons; ///< live daemons of this data centre

  stage mStage = stage::Idle;
  std::uint64_t mActingFencing = 0; ///< fencing number of the acquisition that mStage belongs to
  instant mAcquiredAt;
  std::uint64_t mAnnouncementRevision = 0;
  std::uint64_t mOrders = 0;
  instant mNow;
  wall_instant mWallNow;
  instant mNextPlan;
  instant mNextLoad;
  instant mNextRefresh;
  bool mStopping = false;
  bool mReleaseAudited = false;
};

/// Text of a command's target for audit entries, for example "decode small v2".
std::string TargetText(engine_role aRole, std::string_view aModel, std::string_view aVersion);

} // namespace skylarkwind
