#include "fleet_p.h"

#include "skylarkwind/hash.h"

#include <algorithm>
#include <utility>

namespace skylarkwind {

namespace {

/// The rank of this daemon among the live daemons is cached for this time, or until their number
/// changes, because computing it takes one hash for each daemon.
constexpr std::chrono::milliseconds kShareLifetime{ 500 };

} // namespace

absl::StatusOr<std::unique_ptr<fleet>>
fleet::Create(fleet_settings aSettings, const membership& aMembers)
{
  if (aSettings.mObservePeriod.count() <= 0 || aSettings.mAbsentTimeout.count() <= 0) {
    return absl::InvalidArgumentError(
      "fleet: the observation period and the absent time-out must be positive");
  }
  return std::make_unique<fleet_state>(std::move(aSettings), aMembers);
}

fleet_state::fleet_state(fleet_settings aSettings, const membership& aMembers)
  : mSettings(std::move(aSettings))
  , mMembers(aMembers)
  , mRandom(Hash64(mSettings.mSelf.mVm, mSettings.mRandomSeed))
{
}

fleet_state::server*
fleet_state::server_group::Find(std::string_view aName)
{
  const auto found = std::lower_bound(
    mServers.begin(), mServers.end(), aName, [](const server& aServer, std::string_view aWanted) {
      return std::string_view(aServer.mLifecycle.View().mName) < aWanted;
    });
  return found != mServers.end() && found->mLifecycle.View().mName == aName ? &*found : nullptr;
}

fleet_state::server*
fleet_state::Find(std::string_view aName)
{
  server* engine = mEngines.Find(aName);
  return engine != nullptr ? engine : mBackends.Find(aName);
}

const fleet_state::server*
fleet_state::Find(std::string_view aName) const
{
  return const_cast<fleet_state*>(this)->Find(aName);
}

std::string
fleet_state::Explain(std::string_view aName) const
{
  const server* found = Find(aName);
  return found != nullptr ? found->mLifecycle.Explain()
                          : std::string(aName) + " is not in the table.";
}

lifecycle_settings
fleet_state::LifecycleSettings(std::string_view aName) const
{
  constexpr std::uint64_t kParts = 1'024;
  lifecycle_settings settings;
  settings.mAbsentTimeout = mSettings.mAbsentTimeout;
  settings.mBackoffFactor =
    1 + 0.5 * static_cast<double>(RendezvousScore(aName, mSettings.mSelf.mVm) % kParts) / kParts;
  settings.mAddedAtRuntime = mHasTable;
  return settings;
}

void
fleet_state::OnAttemptStarted(std::string_view aName, instant aNow)
{
  if (server* found = Find(aName)) {
    found->mLifecycle.OnAttemptStarted(aNow);
    SyncOne(aName);
  }
}

void
fleet_state::OnAttemptEnded(std::string_view aName, attempt_health aHealth, instant aNow)
{
  if (server* found = Find(aName)) {
    found->mLifecycle.OnAttemptEnded(aHealth, aNow);
    SyncOne(aName);
  }
}

void
fleet_state::OnReport(const engine_report& aReport, instant aNow, effect_list& aOut)
{
  if (server* found = Find(aReport.mName)) {
    found->mLifecycle.OnReport(aReport, aNow);
    LogTransitions(*found, aOut);
    SyncOne(aReport.mName);
  }
}

void
fleet_state::OnObserved(const engine_state_received& aObserved, instant aNow, effect_list& aOut)
{
  if (server* found = Find(aObserved.mEngine)) {
    found->mLifecycle.OnObserved(aObserved, aNow);
    LogTransitions(*found, aOut);
    SyncOne(aObserved.mEngine);
  }
}

template<class row>
void
fleet_state::UpdateRows(server_group& aGroup, std::span<const row> aRows, instant aNow)
{
  std::set<std::string_view> listed;
  std::vector<server> added;
  for (const row& each : aRows) {
    listed.insert(each.mName);
    if (server* found = aGroup.Find(each.mName)) {
      found->mLifecycle.OnRow(each, aNow);
    } else {
      added.push_back(
        { engine_lifecycle(each, LifecycleSettings(each.mName), aNow), {}, {}, {}, 0 });
    }
  }
  for (server& each : aGroup.mServers) {
    if (!listed.contains(each.mLifecycle.View().mName)) {
      each.mLifecycle.OnWithdrawn(aNow);
    }
  }
  std::move(added.begin(), added.end(), std::back_inserter(aGroup.mServers));
  std::sort(
    aGroup.mServers.begin(), aGroup.mServers.end(), [](const server& aLeft, const server& aRight) {
      return aLeft.mLifecycle.View().mName < aRight.mLifecycle.View().mName;
    });
}

void
fleet_state::OnTable(const table& aTable, instant aNow, effect_list& aOut)
{
  if (mHasTable && aTable.Serial() < mSerial) {
    return;
  }
  mSerial = aTable.Serial();
  UpdateRows(mEngines, aTable.Engines(), aNow);
  UpdateRows(mBackends, aTable.Backends(), aNow);
  mHasTable = mHasTable || aTable.Serial() > 0;
  ApplyFleetState(mEngines, aNow);
  ApplyFleetState(mBackends, aNow);
  Flush(aNow, aOut);
}

void
fleet_state::OnFleetObject(std::string_view aDataCentre,
                           const fleet_object& aObject,
                           instant aNow,
                           effect_list& aOut)
{
  const auto known = mObjects.find(aDataCentre);
  if (known != mObjects.end() && aObject.mRevision < known->second.mRevision) {
    return;
  }
  mObjects.insert_or_assign(std::string(aDataCentre), aObject);
  ApplyFleetState(mEngines, aNow);
  ApplyFleetState(mBackends, aNow);
  Flush(aNow, aOut);
}

void
fleet_state::OnVmList(const vm_list& aList, instant aNow, effect_list& aOut)
{
  mLeavingNames.clear();
  mLeavingAddresses.clear();
  for (const vm_entry& vm : aList.mVms) {
    if (vm.mKind == vm_kind::Backend && vm.mLeaving) {
      mLeavingNames.insert(vm.mName);
      mLeavingAddresses.insert(vm.mAddress);
    }
  }
  ApplyFleetState(mEngines, aNow);
  ApplyFleetState(mBackends, aNow);
  Flush(aNow, aOut);
}

bool
fleet_state::IsLeaving(const engine_view& aView) const
{
  if (mLeavingNames.contains(aView.mName) || mLeavingAddresses.contains(aView.mAddress)) {
    return true;
  }
  const auto object = mObjects.find(aView.mDataCentre);
  return object != mObjects.end() &&
         std::find(object->second.mLeaving.begin(), object->second.mLeaving.end(), aView.mName) !=
           object->second.mLeaving.end();
}

std::optional<recorded_command>
fleet_state::IntendedCommand(const engine_view& aView) const
{
  const auto object = mObjects.find(aView.mDataCentre);
  if (object == mObjects.end()) {
    return std::nullopt;
  }
  for (const recorded_command& command : object->second.mOrders) {
    if (command.mEngine == aView.mName && command.mStage == recorded_command::stage::Intended) {
      return command;
    }
  }
  return std::nullopt;
}

void
fleet_state::ApplyFleetState(server_group& aGroup, instant aNow)
{
  for (server& each : aGroup.mServers) {
    const engine_view& view = each.mLifecycle.View();
    each.mLifecycle.OnLeaving(IsLeaving(view), aNow);
    if (!each.mLifecycle.IsPlain()) {
      each.mLifecycle.OnCommand(IntendedCommand(view), aNow);
    }
  }
  RemoveWithdrawn(aGroup);
}

void
fleet_state::RemoveWithdrawn(server_group& aGroup)
{
  std::erase_if(aGroup.mServers,
                [](const server& aServer) { return aServer.mLifecycle.Removable(); });
}

void
fleet_state::UpdateShare(server& aServer, instant aNow)
{
  const auto live = mMembers.Live();
  const std::uint64_t daemons = std::max<std::size_t>(1, live.size());
  if (aServer.mShare.mDaemons == daemons && aNow < aServer.mShareUntil) {
    return;
  }
  const std::string& engine = aServer.mLifecycle.View().mName;
  const std::string& self = mSettings.mSelf.mVm;
  const std::uint64_t own = RendezvousScore(engine, self);
  const auto rank = std::count_if(live.begin(), live.end(), [&](const member_update& aMember) {
    return aMember.mProcess.mVm != self && RendezvousScore(engine, aMember.mProcess.mVm) > own;
  });
  aServer.mShare = { daemons, static_cast<std::uint64_t>(rank) };
  aServer.mShareUntil = aNow + kShareLifetime;
}

void
fleet_state::UpdateContext(server_group& aGroup, server& aServer, instant aNow)
{
  UpdateShare(aServer, aNow);
  const engine_view& view = aServer.mLifecycle.View();
  lifecycle_context context{ aServer.mShare, std::nullopt };
  std::uint64_t inFlight = 0;
  std::uint64_t peers = 0;
  if (view.mStatus == engine_status::Ramping) {
    for (const server& each : aGroup.mServers) {
      const engine_view& peer = each.mLifecycle.View();
      if (peer.mStatus == engine_status::Serving && peer.mService == view.mService &&
          peer.mRole == view.mRole) {
        inFlight += peer.mInFlight;
        ++peers;
      }
    }
  }
  if (peers > 0) {
    context.mServingInFlight = static_cast<double>(inFlight) / static_cast<double>(peers);
  }
  aServer.mLifecycle.OnContext(context);
}

void
fleet_state::Observe(server& aServer, instant aNow, effect_list& aOut)
{
  const std::uint64_t daemons = std::max<std::size_t>(1, mMembers.Live().size());
  const auto usual = observation_schedule::Period(mSettings.mObservePeriod, daemons);
  const auto fast = observation_schedule::FastPeriod(mSettings.mObservePeriod, daemons);
  if (aServer.mLifecycle.TakeUrgent()) {
    aServer.mSchedule.Expedite(fast, aNow, mRandom);
  }
  const engine_view& view = aServer.mLifecycle.View();
  const bool settled = view.mStatus == engine_status::Serving ||
                       view.mStatus == engine_status::Draining ||
                       view.mStatus == engine_status::Drained;
  if (aServer.mSchedule.Due(settled ? usual : fast, aNow, mRandom)) {
    aServer.mLifecycle.OnStateQuerySent(aNow);
    aOut.emplace_back(request_engine_state{ view.mName, view.mAddress });
  }
}

void
fleet_state::OnTick(instant aNow, effect_list& aOut)
{
  for (server& each : mEngines.mServers) {
    Observe(each, aNow, aOut);
    UpdateContext(mEngines, each, aNow);
    each.mLifecycle.OnTick(aNow);
  }
  for (server& each : mBackends.mServers) {
    UpdateContext(mBackends, each, aNow);
    each.mLifecycle.OnTick(aNow);
  }
  RemoveWithdrawn(mEngines);
  RemoveWithdrawn(mBackends);
  Flush(aNow, aOut);
}

void
fleet_state::Flush(instant aNow, effect_list& aOut)
{
  for (server_group* group : { &mEngines, &mBackends }) {
    for (server& each : group->mServers) {
      UpdateContext(*group, each, aNow);
      LogTransitions(each, aOut);
    }
    Sync(*group);
  }
}

void
fleet_state::Sync(server_group& aGroup)
{
  const bool moved = aGroup.mViews.size() != aGroup.mServers.size();
  aGroup.mViews.resize(aGroup.mServers.size());
  for (std::size_t i = 0; i < aGroup.mServers.size(); ++i) {
    server& each = aGroup.mServers[i];
    if (moved || each.mCopiedRevision != each.mLifecycle.Revision() ||
        aGroup.mViews[i].mName != each.mLifecycle.View().mName) {
      aGroup.mViews[i] = each.mLifecycle.View();
      each.mCopiedRevision = each.mLifecycle.Revision();
    }
  }
}

void
fleet_state::SyncOne(std::string_view aName)
{
  for (server_group* group : { &mEngines, &mBackends }) {
    const auto found = std::lower_bound(
      group->mViews.begin(),
      group->mViews.end(),
      aName,
      [](const engine_view& aView, std::string_view aWanted) { return aView.mName < aWanted; });
    if (found != group->mViews.end() && found->mName == aName) {
      server& each = group->mServers[static_cast<std::size_t>(found - group->mViews.begin())];
      *found = each.mLifecycle.View();
      each.mCopiedRevision = each.mLifecycle.Revision();
      return;
    }
  }
}

void
fleet_state::LogTransitions(server& aServer, effect_list& aOut)
{
  for (const auto& each : aServer.mLifecycle.TakeTransitions()) {
    const log_level level =
      each.mTo == engine_status::Absent ? log_level::Warning : log_level::Info;
    aOut.emplace_back(log_line{ level,
                                "fleet",
                                aServer.mLifecycle.View().mName + ": " +
                                  std::string(EngineStatusText(each.mFrom)) + " -> " +
                                  std::string(EngineStatusText(each.mTo)) + ", " + each.mWhy });
  }
}

} // namespace skylarkwind
