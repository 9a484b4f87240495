#pragma once

#include "fake_membership.h"
#include "skylarkwind/control.h"
#include "skylarkwind/lease.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace skylarkwind {

/// Faults that a schedule can inject.
enum class fault_kind
{
  PauseCore,
  KillCore,
  CutFromPlatform,
  CutFromEngines,
  Outage,
  SlowPlatform,
  LostReplies,
  StaleReads,
  Restore,
  EngineCrash,
  LateOrders,
  LostOrderReplies,
  LostOrders,
  DrainStuck,
  TableEdit,
  EngineLeaves
};
inline constexpr int kFaultKinds = 16;

/// One fault of a schedule. `mTarget` is the index of a core or engine, modulo their number; from
/// `kHolderTarget` on it selects the lease holder and the engine with an unsettled intent, if there
/// is one.
inline constexpr std::size_t kHolderTarget = 6;
struct fault
{
  fault_kind mKind = fault_kind::PauseCore;
  std::chrono::milliseconds mAt{ 0 };
  std::chrono::milliseconds mDuration{ 0 };
  std::size_t mTarget = 0;
};

struct world_settings
{
  std::size_t mCores = 3;
  std::size_t mEngines = 3;
  bool mChecksFencing = true;
  bool mHonoursExpiry = true;
  std::uint64_t mSeed = 1;
  unsigned mLoseOneIn = 2;    ///< a fault loses one in this many commands and replies
  bool mPlannerActive = true; ///< the planner keeps requesting changes
};

/// Fleet whose views the test sets.
class fake_fleet final : public fleet
{
public:
  std::vector<engine_view> mViews;

  std::span<const engine_view> Engines() const override { return mViews; }
  std::span<const engine_view> Backends() const override { return {}; }
  std::string Explain(std::string_view) const override { return {}; }
  void OnAttemptStarted(std::string_view, instant) override {}
  void OnAttemptEnded(std::string_view, attempt_health, instant) override {}
  void OnReport(const engine_report&, instant, effect_list&) override {}
  void OnTable(const table&, instant, effect_list&) override {}
  void OnFleetObject(std::string_view, const fleet_object&, instant, effect_list&) override {}
  void OnVmList(const vm_list&, instant, effect_list&) override {}
  void OnObserved(const engine_state_received&, instant, effect_list&) override {}
  void OnTick(instant, effect_list&) override {}
};

/// Planner that requests the change that the test sets.
class fake_planner final : public role_change_source
{
public:
  explicit fake_planner(std::optional<planned_role_change>& aNext)
    : mNext(aNext)
  {
  }
  void OnReport(const engine_report&, instant) override {}
  void OnQueued(std::string_view, std::uint64_t, std::uint64_t, instant) override {}
  std::optional<planned_role_change> Plan(std::span<const engine_view>,
                                          const table&,
                                          std::string_view,
                                          instant) override
  {
    return mNext;
  }

private:
  std::optional<planned_role_change>& mNext;
};

/// The platform's objects with all their versions. Records every acquisition of the lease.
class fake_platform
{
public:
  struct stored
  {
    std::uint64_t mVersion = 0;
    std::string mValue;
  };
  struct acquisition
  {
    process_id mHolder;
    std::uint64_t mFencing = 0;
    instant mAt;
  };
  std::map<std::string, std::vector<stored>> mObjects; ///< by kind/name
  std::vector<acquisition> mAcquisitions;

  /// `aBack` is the number of versions by which a read is stale.
  platform_result Execute(const platform_operation& aOperation,
                          std::size_t aVersionsBack,
                          instant aNow)
  {
    if (const auto* read = std::get_if<read_object>(&aOperation)) {
      const auto& versions = mObjects[read->mKey.mKind + "/" + read->mKey.mName];
      if (versions.size() <= aVersionsBack) {
        return versions.empty() ? platform_result{ object_missing{} }
                                : platform_result{ object_found{ versions.front().mVersion,
                                                                 versions.front().mValue } };
      }
      const auto& at = versions[versions.size() - 1 - aVersionsBack];
      return object_found{ at.mVersion, at.mValue };
    }
    const auto& write = std::get<write_object>(aOperation);
    auto& versions = mObjects[write.mKey.mKind + "/" + write.mKey.mName];
    const auto version = versions.empty() ? 0 : versions.back().mVersion;
    if (version != write.mExpectedVersion) {
      return write_conflict{ version };
    }
    versions.push_back({ version + 1, write.mValue });
    if (write.mKey.mKind == "lease") {
      NoteLease(*lease_record::Parse(write.mValue), aNow);
    }
    return write_accepted{ version + 1 };
  }

  /// Puts back the content of up to `aBack` versions ago, as a restore from a backup does.
  void Restore(std::size_t aVersionsBack)
  {
    for (auto& [key, versions] : mObjects) {
      if (!versions.empty()) {
        const auto old =
          versions[versions.size() - 1 - std::min(aVersionsBack, versions.size() - 1)];
        versions.push_back({ versions.back().mVersion + 1, old.mValue });
      }
    }
  }

  const fleet_object& Fleet(const std::string& aDataCentre)
  {
    const auto& versions = mObjects["fleet/" + aDataCentre];
    if (mParsed != versions.size()) {
      mParsed = versions.size();
      mFleet = *fleet_object::Parse(versions.back().mValue);
    }
    return mFleet;
  }

private:
  std::size_t mParsed = 0; ///< number of versions when `mFleet` was read
  fleet_object mFleet;

  void NoteLease(const lease_record& aRecord, instant aNow)
  {
    const bool known = !mAcquisitions.empty() &&
                       mAcquisitions.back().mFencing == aRecord.mFencing &&
                       mAcquisitions.back().mHolder == aRecord.mHolder;
    if (!aRecord.mHolder.mVm.empty() && !known) {
      mAcquisitions.push_back({ aRecord.mHolder, aRecord.mFencing, aNow });
    }
  }
};

/// An engine that follows those wire rules of docs/design.md 5.2 that its flags enable. It accepts
/// a command even during a change, so that the tests detect a sender that sends a second one.
struct fake_engine
{
  std::string mName;
  bool mChecksFencing = true; ///< checks the incarnation as well
  bool mHonoursExpiry = true;
  std::uint64_t mIncarnation = 1;
  std::uint64_t mFencing = 0;
  engine_role mRole = engine_role::Both;
  std::string mVersion = "v1";
  std::string mOrder;
  instant mChangingUntil;
  instant mDownUntil;
  bool mWorking = true;     ///< requests are running
  bool mLateChange = false; ///< the change in progress came from a late command
  engine_role mNextRole = engine_role::Both;
  std::string mNextVersion;

  void Advance(instant aNow)
  {
    if (!mNextVersion.empty() && aNow >= mChangingUntil) {
      mRole = mNextRole;
      mVersion = std::exchange(mNextVersion, {});
      mLateChange = false;
    }
  }
  void Crash(instant aNow, std::chrono::milliseconds aDown)
  {
    ++mIncarnation;
    mRole = engine_role::Both;
    mNextVersion.clear();
    mOrder.clear();
    mLateChange = false;
    mDownUntil = aNow + aDown;
  }
  bool Changing() const { return !mNextVersion.empty(); }
  engine_command_result Take(const engine_command& aOrder, bool aExpired, instant aNow)
  {
    if (mChecksFencing && aOrder.mFencing < mFencing) {
      return engine_command_result::StaleFencing;
    }
    if (mChecksFencing && aOrder.mIncarnation != mIncarnation) {
      return engine_command_result::WrongIncarnation;
    }
    if (mHonoursExpiry && aExpired) {
      return engine_command_result::Busy;
    }
    mFencing = std::max(mFencing, aOrder.mFencing);
    mOrder = aOrder.mOrder;
    mNextRole = aOrder.mRole;
    mNextVersion = aOrder.mVersion;
    mChangingUntil = aNow + std::chrono::seconds{ 4 };
    return engine_command_result::Accepted;
  }
  engine_report Report() const
  {
    engine_report report;
    report.mName = mName;
    report.mIncarnation = mIncarnation;
    report.mService = "s";
    report.mRole = mRole;
    report.mModel = "m";
    report.mVersion = mVersion;
    report.mActivity =
      Changing() ? engine_report::activity::Changing : engine_report::activity::Ready;
    report.mChecksFencing = mChecksFencing;
    report.mFencing = mChecksFencing ? mFencing : 0;
    report.mOrder = mOrder;
    report.mRunning = mWorking ? 1 : 0;
    return report;
  }
};

} // namespace skylarkwind
