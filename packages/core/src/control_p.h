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

/// What the holder does with one unsettled order.
struct order_progress
{
  enum class phase
  {
    Inherited, ///< recorded by an earlier acquisition; whether it was sent is unknown
    Recording, ///< the intent is being written
    Draining,  ///< the intent is stored; the engine's work ends
    Sent,      ///< no answer yet, or none came: the order may or may not take effect
    Accepted,  ///< the engine took the order
    Refused,   ///< the engine said that it did not take the order
    Settling   ///< the settlement is being written
  } mPhase = phase::Recording;
  recorded_order mOrder;
  std::string mAddress;
  std::string mService;
  bool mChecksFencing = false;
  bool mLoads = false;         ///< the engine will load a model or version
  std::uint64_t mRevision = 0; ///< of the fleet object that holds the newest change
  instant mStoredAt;           ///< when the intent was confirmed
  instant mSentAt;             ///< also: when the answer of the engine came
  std::optional<instant> mUnreachableSince;
  instant mUncertainUntil; ///< until then an order without effect may still arrive
};

/// The holder's knowledge of one engine.
struct known_engine
{
  std::optional<engine_report> mReport; ///< the newest one; empty when unreachable
  instant mAskedAt;                     ///< when the newest answer was asked for
  instant mNextAsk;
  bool mAnswered = false; ///< an answer or a failure came since the acquisition
  instant mQuietUntil;    ///< no new intent before
  /// An own order under this fencing number may still arrive, although it was settled as not
  /// taken; the next order needs a higher number.
  std::uint64_t mUncertainFencing = 0;
  std::optional<order_progress> mProgress;
};

/// The one implementation of `control`.
class control_authority final : public control
{
public:
  control_authority(control_settings aSettings,
                    const membership& aMembers,
                    const fleet& aFleet,
                    std::unique_ptr<plan_source> aPlans,
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
  void OnObserved(const engine_observed& aObserved, instant aNow, effect_list& aOut) override;
  void OnOrderAnswered(const engine_order_answered& aAnswer,
                       instant aNow,
                       effect_list& aOut) override;
  void OnPlatformReply(const platform_replied& aReply, instant aNow, effect_list& aOut) override;
  void OnTick(instant aNow, wall_instant aWallNow, effect_list& aOut) override;
  void OnShutdown(instant aNow, effect_list& aOut) override;
  std::optional<fleet_object> TakeWritten() override { return mRecord.TakeWritten(); }

private:
  /// Where the holder is after an acquisition.
  enum class stage
  {
    Idle,       ///< not the holder
    Loading,    ///< reads the fleet object
    Announcing, ///< records the acquisition; later writes of earlier holders conflict from then on
    Observing,  ///< waits for an answer or a failure of every engine
    Acting
  };

  // control.cpp: the acquisition and the fleet object.
  void FollowLease(instant aNow);
  void StartAcquisition(instant aNow);
  void EndAcquisition();
  void OnRecordOutcome(fleet_record::outcome aOutcome, instant aNow);
  void Announce(instant aNow);
  void InheritOrders(instant aNow);
  void OnConfirmed(instant aNow);
  void Observe(instant aNow, effect_list& aOut);
  bool AllAnswered(instant aNow) const;
  void UpdateLeaving();
  void Audit(const std::string& aText);
  void LookAround(instant aNow);
  void SeeFencing(const fleet_object& aObject, instant aNow);
  void Finish(instant aNow, effect_list& aOut);

  // control_orders.cpp: the steps of an order.
  void StepOrders(instant aNow, effect_list& aOut);
  void Step(known_engine& aEngine, instant aNow, effect_list& aOut);
  void StepInherited(known_engine& aEngine, instant aNow);
  void StepDraining(known_engine& aEngine, instant aNow, effect_list& aOut);
  void StepSent(known_engine& aEngine, instant aNow);
  void StepAnswered(known_engine& aEngine, instant aNow);
  void Send(known_engine& aEngine, instant aNow, effect_list& aOut);
  std::optional<std::string> ReasonToWithdraw(const known_engine& aEngine, instant aNow) const;
  bool IsDrained(const known_engine& aEngine, instant aNow) const;
  bool GoneTooLong(known_engine& aEngine, instant aNow) const;
  bool Reissue(known_engine& aEngine, instant aNow);
  void Settle(known_engine& aEngine, const std::string& aOutcome, instant aNow);
  std::chrono::milliseconds WaitOut(const order_progress& aProgress) const;

  // control_wishes.cpp: which orders are wanted.
  struct wish
  {
    engine_role mRole = engine_role::Both;
    std::string mModel;
    std::string mVersion;
    std::string mReason;
  };
  void MakeIntents(instant aNow);
  const engine_row* RowOf(std::string_view aEngine) const;
  const recorded_order* RecordOf(std::string_view aEngine) const;
  std::optional<wish> WishFor(const engine_row& aRow, const engine_report& aReport) const;
  bool MayOrder(const engine_row& aRow, const known_engine& aEngine, instant aNow) const;
  bool ServiceHasRoom(std::string_view aService, instant aNow) const;
  bool LoadAllowed(instant aNow) const;
  bool AskPlanner(instant aNow);
  bool Intend(const engine_row& aRow, const wish& aWish, instant aNow);
  void RecordIntent(known_engine& aEngine, const engine_row& aRow, const wish& aWish);
  bool IsLeaving(std::string_view aEngine) const;

  control_settings mSettings;
  const membership& mMembers;
  const fleet& mFleet;
  std::unique_ptr<plan_source> mPlans;
  lease mLease;
  fleet_record mRecord;
  table mTable;
  std::optional<std::vector<std::string>> mLeaving;            ///< empty before the first VM list
  std::map<std::string, const engine_row*, std::less<>> mRows; ///< of this data centre
  std::map<std::string, known_engine, std::less<>> mEngines;
  std::vector<process_id> mDaemons; ///< live ones of this data centre

  stage mStage = stage::Idle;
  std::uint64_t mActingFencing = 0; ///< of the acquisition that the stage belongs to
  instant mAcquiredAt;
  std::uint64_t mAnnouncedIn = 0;
  std::uint64_t mOrders = 0;
  instant mNow;
  wall_instant mWallNow;
  instant mNextPlan;
  instant mNextLoad;
  instant mNextLook;
  bool mStopping = false;
  bool mFarewell = false;
};

/// Text of an order's target for records, for example "decode small v2".
std::string TargetText(engine_role aRole, std::string_view aModel, std::string_view aVersion);

} // namespace skylarkwind
