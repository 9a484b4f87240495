#include "skylarkwind/node.h"

#include "skylarkwind/role_planner.h"

#include <algorithm>
#include <utility>

namespace skylarkwind {

namespace {

constexpr std::string_view kTableDocument = "table";
constexpr std::string_view kFleetPrefix = "fleet/";
constexpr std::chrono::milliseconds kVmListPeriod{ 1'000 };
/// Up to this many daemons each one reads the VM list often. In a larger fleet only the watchers
/// and the lease holder do; the others learn of leaving servers from the fleet object.
constexpr std::size_t kMaxFrequentVmListReaders = 16;
constexpr std::uint32_t kVmListSlowdown = 30;
/// Bounds the rounds of exchange between the components after one event; each round forwards only
/// new outputs.
constexpr int kMaxPropagationRounds = 8;

std::string
FleetDocument(std::string_view aDataCentre)
{
  return std::string{ kFleetPrefix } + std::string{ aDataCentre };
}

std::vector<distributed_document>
DocumentsOf(const node_settings& aSettings)
{
  std::vector<distributed_document> documents{ { std::string{ kTableDocument },
                                                 { "table", "current" } } };
  for (const auto& dataCentre : aSettings.mDataCentres) {
    documents.push_back({ FleetDocument(dataCentre), { "fleet", dataCentre } });
  }
  return documents;
}

/// Copies the identity of the node into the settings of the components, gives each its own random
/// seed and lists the documents.
void
CopyIdentity(node_settings& aSettings)
{
  aSettings.mMembership.mSelf = aSettings.mSelf;
  aSettings.mMembership.mLocation = aSettings.mLocation;
  aSettings.mLimitShares.mSelf = aSettings.mSelf;
  aSettings.mRequestClaims.mSelf = aSettings.mSelf;
  aSettings.mFleet.mSelf = aSettings.mSelf;
  aSettings.mFleet.mDataCentre = aSettings.mLocation.mDataCentre;
  aSettings.mControl.mSelf = aSettings.mSelf;
  aSettings.mControl.mDataCentre = aSettings.mLocation.mDataCentre;
  aSettings.mServing.mSelf = aSettings.mSelf;
  aSettings.mServing.mDataCentre = aSettings.mLocation.mDataCentre;
  aSettings.mDistribution.mDocuments = DocumentsOf(aSettings);
  std::uint64_t seed = aSettings.mRandomSeed;
  for (auto* part : { &aSettings.mMembership.mRandomSeed,
                      &aSettings.mDistribution.mRandomSeed,
                      &aSettings.mLimitShares.mRandomSeed,
                      &aSettings.mRequestClaims.mRandomSeed,
                      &aSettings.mFleet.mRandomSeed,
                      &aSettings.mControl.mRandomSeed,
                      &aSettings.mServing.mRandomSeed }) {
    *part = ++seed;
  }
}

template<class... handlers>
struct overloaded : handlers...
{
  using handlers::operator()...;
};
template<class... handlers>
overloaded(handlers...) -> overloaded<handlers...>;

/// Stores a created component, or adds its error to `aStatus`, which keeps the first one.
template<class component_type>
void
AssignOrKeepError(std::unique_ptr<component_type>& aInto,
                  absl::StatusOr<std::unique_ptr<component_type>> aCreated,
                  absl::Status& aStatus)
{
  if (aCreated.ok()) {
    aInto = *std::move(aCreated);
  } else {
    aStatus.Update(aCreated.status());
  }
}

} // namespace

absl::StatusOr<std::unique_ptr<node>>
node::Create(node_settings aSettings, counters& aCounters)
{
  CopyIdentity(aSettings);
  std::unique_ptr<node> made{ new node };
  auto& self = *made;
  self.mSettings = std::move(aSettings);
  const auto& settings = self.mSettings;
  absl::Status status;
  AssignOrKeepError(self.mMembers, membership::Create(settings.mMembership), status);
  if (!status.ok()) {
    return status;
  }
  AssignOrKeepError(
    self.mDocuments, distribution::Create(settings.mDistribution, *self.mMembers), status);
  AssignOrKeepError(
    self.mLimits, limit_shares::Create(settings.mLimitShares, *self.mMembers), status);
  AssignOrKeepError(
    self.mClaims, request_claims::Create(settings.mRequestClaims, *self.mMembers), status);
  AssignOrKeepError(self.mFleet, fleet::Create(settings.mFleet, *self.mMembers), status);
  if (!status.ok()) {
    return status;
  }
  auto planner = role_planner::Create({});
  if (!planner.ok()) {
    return planner.status();
  }
  AssignOrKeepError(self.mControl,
                    control::Create(settings.mControl,
                                    *self.mMembers,
                                    *self.mFleet,
                                    std::make_unique<role_planner>(*std::move(planner))),
                    status);
  AssignOrKeepError(
    self.mServing,
    serving::Create(settings.mServing, *self.mFleet, *self.mLimits, *self.mClaims, aCounters),
    status);
  if (!status.ok()) {
    return status;
  }
  return made;
}

effect_list
node::Handle(const event& aEvent, instant aNow, wall_instant aWallNow)
{
  effect_list out;
  Dispatch(aEvent, aNow, aWallNow, out);
  PropagateChanges(aNow, out);
  return out;
}

bool
node::Ready() const
{
  return mTable.Serial() > 0 && !mShuttingDown;
}

void
node::Dispatch(const event& aEvent, instant aNow, wall_instant aWallNow, effect_list& aOut)
{
  std::visit(
    overloaded{
      [&](const caller_arrived& aArrived) { mServing->OnCaller(aArrived, aNow, aOut); },
      [&](const caller_disconnected& aGone) {
        mServing->OnCallerDisconnected(aGone.mRequest, aNow, aOut);
      },
      [&](const attempt_progress& aProgress) { mServing->OnAttempt(aProgress, aNow, aOut); },
      [&](const engine_state_received& aObserved) {
        mFleet->OnObserved(aObserved, aNow, aOut);
        mControl->OnObserved(aObserved, aNow, aOut);
      },
      [&](const engine_command_completed& aAnswer) {
        mControl->OnCommandAnswered(aAnswer, aNow, aOut);
      },
      [&](const cache_events_read& aRead) { mServing->OnCacheEvents(aRead, aNow); },
      [&](const platform_replied& aReply) { OnPlatform(aReply, aNow, aOut); },
      [&](const peer_request_received& aPeerRequest) { OnPeerRequest(aPeerRequest, aNow, aOut); },
      [&](const peer_response_received& aPeerResponse) { OnPeerReply(aPeerResponse, aNow, aOut); },
      [&](const tick&) { OnTick(aNow, aWallNow, aOut); },
      [&](const shutdown_requested&) { OnShutdown(aNow, aOut); } },
    aEvent);
}

void
node::OnPlatform(const platform_replied& aReply, instant aNow, effect_list& aOut)
{
  switch (aReply.mCall.mPart) {
    case part::Configuration:
      mDocuments->OnPlatformReply(aReply, aNow, aOut);
      return;
    case part::LimitShares:
      mLimits->OnPlatformReply(aReply, aNow, aOut);
      return;
    case part::RequestClaims:
      mClaims->OnPlatformReply(aReply, aNow, aOut);
      return;
    case part::Lease:
    case part::EngineCommands:
      mControl->OnPlatformReply(aReply, aNow, aOut);
      return;
    case part::VmList:
      mVmListPending = false;
      if (const auto* list = std::get_if<vm_list>(&aReply.mResult)) {
        OnVmList(*list, aNow, aOut);
      }
      return;
    case part::Membership:
      return;
  }
}

void
node::OnVmList(const vm_list& aList, instant aNow, effect_list& aOut)
{
  mMembers->OnVmList(aList, aNow);
  mLimits->OnVmList(aList, aNow);
  mFleet->OnVmList(aList, aNow, aOut);
  mControl->OnVmList(aList, aNow);
}

void
node::OnPeerRequest(const peer_request_received& aPeerRequest, instant aNow, effect_list& aOut)
{
  const bool handled = mMembers->OnPeerRequestReceived(aPeerRequest, aNow, aOut) ||
                       mDocuments->OnPeerRequestReceived(aPeerRequest, aNow, aOut) ||
                       mClaims->OnPeerRequestReceived(aPeerRequest, aNow, aOut);
  if (!handled) {
    aOut.emplace_back(
      log_line{ log_level::Warning, "node", "no component handles this message of a peer" });
  }
}

void
node::OnPeerReply(const peer_response_received& aPeerResponse, instant aNow, effect_list& aOut)
{
  // Each component recognises its own calls, so the order does not matter.
  if (!mMembers->OnPeerResponse(aPeerResponse, aNow, aOut) &&
      !mDocuments->OnPeerResponse(aPeerResponse, aNow, aOut)) {
    mClaims->OnPeerResponse(aPeerResponse, aNow, aOut);
  }
}

void
node::OnTick(instant aNow, wall_instant aWallNow, effect_list& aOut)
{
  const auto versions = mDocuments->Versions();
  mMembers->SetDocuments(versions);
  mMembers->OnTick(aNow, aOut);
  mDocuments->OnTick(aNow, aOut);
  mLimits->OnTick(aNow, aOut);
  mClaims->OnTick(aNow, aWallNow, aOut);
  mFleet->OnTick(aNow, aOut);
  // The platform's load balancer spreads callers evenly, so the queue of the fleet is estimated as
  // this daemon's queue times the number of live daemons.
  const auto daemons = mMembers->Live().size();
  for (const auto& queued : mServing->Queued()) {
    mControl->OnQueuedWork(
      queued.mService, queued.mPromptTokens * daemons, queued.mOutputTokens * daemons);
  }
  mControl->OnTick(aNow, aWallNow, aOut);
  mServing->OnTick(aNow, aOut);
  PollVmList(aNow, aOut);
}

void
node::OnShutdown(instant aNow, effect_list& aOut)
{
  if (mShuttingDown) {
    return;
  }
  mShuttingDown = true;
  aOut.emplace_back(log_line{ log_level::Info, "node", "shutting down, open requests go on" });
  mServing->OnShutdown(aNow, aOut);
  mControl->OnShutdown(aNow, aOut);
}

void
node::PropagateChanges(instant aNow, effect_list& aOut)
{
  for (int round = 0; round < kMaxPropagationRounds && PropagateChangesOnce(aNow, aOut); ++round) {
  }
  if (mShuttingDown && !mShutdownReported && mServing->Idle() && mClaims->Idle()) {
    mShutdownReported = true;
    mLimits->OnShutdown(aNow, aOut);
    mMembers->OnShutdown(aNow, aOut);
    aOut.emplace_back(shutdown_complete{});
  }
}

bool
node::PropagateChangesOnce(instant aNow, effect_list& aOut)
{
  bool any = false;
  for (const auto& seen : mMembers->TakeSeenDocuments()) {
    mDocuments->OnSeenDocument(seen, aNow, aOut);
    any = true;
  }
  while (const auto written = mControl->TakeWritten()) {
    mDocuments->OnOwnWrite(FleetDocument(mSettings.mLocation.mDataCentre),
                           written->mRevision,
                           written->ToJson(),
                           aNow,
                           aOut);
    any = true;
  }
  for (const auto& name : mDocuments->TakeChanged()) {
    OnDocument(name, aNow, aOut);
    any = true;
  }
  for (const auto& decision : mClaims->TakeDecisions()) {
    mServing->OnClaim(decision, aNow, aOut);
    any = true;
  }
  return any;
}

void
node::OnDocument(std::string_view aName, instant aNow, effect_list& aOut)
{
  const auto* document = mDocuments->Current(aName);
  if (document == nullptr) {
    return;
  }
  if (aName == kTableDocument) {
    auto object = table_object::Parse(document->mValue);
    if (!object.ok()) {
      aOut.emplace_back(log_line{
        log_level::Error, "node", "cannot parse the new table; keeping the previous one" });
      return;
    }
    mTable = std::move(object->mTable);
    mLimits->OnTable(mTable, aNow);
    mFleet->OnTable(mTable, aNow, aOut);
    mControl->OnTable(mTable, aNow);
    mServing->OnTable(mTable, aNow);
    return;
  }
  const auto object = fleet_object::Parse(document->mValue);
  if (!object.ok()) {
    aOut.emplace_back(
      log_line{ log_level::Error, "node", "cannot parse a fleet object; ignoring it" });
    return;
  }
  const auto dataCentre = aName.substr(kFleetPrefix.size());
  mFleet->OnFleetObject(dataCentre, *object, aNow, aOut);
  if (dataCentre == mSettings.mLocation.mDataCentre) {
    mControl->OnFleetObject(*object, aNow);
  }
}

void
node::PollVmList(instant aNow, effect_list& aOut)
{
  if (mVmListPending || aNow < mNextVmList) {
    return;
  }
  const bool often = mDocuments->IsWatcher() || mControl->HoldsLease(aNow) ||
                     mMembers->Live().size() <= kMaxFrequentVmListReaders;
  mNextVmList = aNow + (often ? kVmListPeriod : kVmListPeriod * kVmListSlowdown);
  mVmListPending = true;
  aOut.emplace_back(call_platform{ { part::VmList, ++mVmListCalls }, read_vm_list{} });
}

} // namespace skylarkwind
