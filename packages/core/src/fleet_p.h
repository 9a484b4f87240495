#pragma once

#include "observation_schedule_p.h"
#include "skylarkwind/engine_lifecycle.h"
#include "skylarkwind/fleet.h"

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace skylarkwind {

/// Holds one engine_lifecycle for each backend server and dispatches events to those concerned.
class fleet_state final : public fleet
{
public:
  fleet_state(fleet_settings aSettings, const membership& aMembers);

  std::span<const engine_view> Engines() const override { return mEngines.mViews; }
  std::span<const engine_view> Backends() const override { return mBackends.mViews; }
  std::string Explain(std::string_view aName) const override;

  void OnAttemptStarted(std::string_view aName, instant aNow) override;
  void OnAttemptEnded(std::string_view aName, attempt_health aHealth, instant aNow) override;
  void OnReport(const engine_report& aReport, instant aNow, effect_list& aOut) override;
  void OnTable(const table& aTable, instant aNow, effect_list& aOut) override;
  void OnFleetObject(std::string_view aDataCentre,
                     const fleet_object& aObject,
                     instant aNow,
                     effect_list& aOut) override;
  void OnVmList(const vm_list& aList, instant aNow, effect_list& aOut) override;
  void OnObserved(const engine_state_received& aObserved, instant aNow, effect_list& aOut) override;
  void OnTick(instant aNow, effect_list& aOut) override;

private:
  struct server
  {
    engine_lifecycle mLifecycle;
    observation_schedule mSchedule;
    ramp_share mShare;
    instant mShareUntil;               ///< mShare is recomputed after this time
    std::uint64_t mCopiedRevision = 0; ///< state of the copy in mViews
  };
  /// Servers and the copies of their views, both sorted by name.
  struct server_group
  {
    std::vector<server> mServers;
    std::vector<engine_view> mViews;

    server* Find(std::string_view aName);
  };

  server* Find(std::string_view aName);
  const server* Find(std::string_view aName) const;
  lifecycle_settings LifecycleSettings(std::string_view aName) const;
  template<class row>
  void UpdateRows(server_group& aGroup, std::span<const row> aRows, instant aNow);
  void RemoveWithdrawn(server_group& aGroup);
  /// Applies the recorded engine commands and the leaving flags to all servers of the group.
  void ApplyFleetState(server_group& aGroup, instant aNow);
  bool IsLeaving(const engine_view& aView) const;
  std::optional<recorded_command> IntendedCommand(const engine_view& aView) const;
  void UpdateContext(server_group& aGroup, server& aServer, instant aNow);
  void UpdateShare(server& aServer, instant aNow);
  void Observe(server& aServer, instant aNow, effect_list& aOut);
  void Flush(instant aNow, effect_list& aOut);
  void Sync(server_group& aGroup);
  void SyncOne(std::string_view aName);
  static void LogTransitions(server& aServer, effect_list& aOut);

  fleet_settings mSettings;
  const membership& mMembers;
  std::mt19937_64 mRandom;
  std::uint64_t mSerial = 0;
  bool mHasTable = false;
  server_group mEngines;
  server_group mBackends;
  std::map<std::string, fleet_object, std::less<>> mObjects;
  std::set<std::string, std::less<>> mLeavingNames;
  std::set<std::string, std::less<>> mLeavingAddresses;
};

} // namespace skylarkwind
