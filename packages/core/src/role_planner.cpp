#include "skylarkwind/role_planner.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace skylarkwind {

namespace {

/// The history of an engine that is no longer seen is dropped after this time.
constexpr std::chrono::minutes kHistoryLifetime{ 5 };
/// A planned change that has not taken the engine out of service after this time is assumed to have
/// been dropped by the caller.
constexpr std::chrono::seconds kStartTimeout{ 10 };

engine_role
Opposite(engine_role aRole)
{
  return aRole == engine_role::Prefill ? engine_role::Decode : engine_role::Prefill;
}

const char*
Name(engine_role aRole)
{
  return aRole == engine_role::Prefill ? "prefill" : "decode";
}

const service_row*
ServiceRow(const table& aTable, std::string_view aName)
{
  const auto rows = aTable.Services();
  const auto found = std::find_if(
    rows.begin(), rows.end(), [&](const service_row& aRow) { return aRow.mName == aName; });
  return found == rows.end() ? nullptr : &*found;
}

std::string
GainReason(engine_role aFrom, double aGain, double aPrice)
{
  std::array<char, 200> text{};
  std::snprintf(text.data(),
                text.size(),
                "%s needs the engine more than %s: the change earns at least %.1f goodput "
                "seconds, its price is %.1f",
                Name(Opposite(aFrom)),
                Name(aFrom),
                aGain,
                aPrice);
  return text.data();
}

} // namespace

absl::StatusOr<role_planner>
role_planner::Create(role_planner_settings aSettings)
{
  if (aSettings.mTargetUtilisation <= 0 || aSettings.mTargetUtilisation > 1) {
    return absl::InvalidArgumentError("role planner: the target utilisation must be in (0, 1]");
  }
  if (aSettings.mShortWindow.count() <= 0 || aSettings.mLongWindow < aSettings.mShortWindow ||
      aSettings.mMaxTokenInterval.count() <= 0 || aSettings.mQueueDrainTime.count() <= 0) {
    return absl::InvalidArgumentError("role planner: a window or limit is not positive");
  }
  return role_planner(aSettings);
}

void
role_planner::OnReport(const engine_report& aReport, instant aNow)
{
  const auto [entry, added] =
    mEngines.try_emplace(aReport.mName, engine_history{ token_rates(mSettings.mLongWindow) });
  if (added) {
    entry->second.mRole = aReport.mRole;
    entry->second.mRoleSince = aNow;
    entry->second.mStatusSince = aNow;
  }
  entry->second.mSeenAt = aNow;
  entry->second.mRates.Add(aReport, aNow - aReport.mSampleAge);
}

void
role_planner::OnQueued(std::string_view aService,
                       std::uint64_t aPromptTokens,
                       std::uint64_t aOutputTokens,
                       instant aNow)
{
  mQueued.insert_or_assign(std::string(aService),
                           queued_work{ aPromptTokens, aOutputTokens, aNow });
}

void
role_planner::UpdateHistories(std::span<const engine_view> aEngines, instant aNow)
{
  for (const engine_view& view : aEngines) {
    const auto [entry, added] =
      mEngines.try_emplace(view.mName, engine_history{ token_rates(mSettings.mLongWindow) });
    engine_history& history = entry->second;
    if (added || history.mRole != view.mRole) {
      history.mRole = view.mRole;
      history.mRoleSince = aNow;
    }
    if (added || history.mStatus != view.mStatus) {
      history.mStatus = view.mStatus;
      history.mStatusSince = aNow;
    }
    history.mSeenAt = aNow;
    if (!view.mReport.mName.empty()) {
      history.mRates.Add(view.mReport, view.mReportSampledAt);
    }
  }
  std::erase_if(
    mEngines, [&](const auto& aEntry) { return aNow - aEntry.second.mSeenAt > kHistoryLifetime; });
  std::erase_if(mStartedChanges, [&](const started_change& aChange) {
    const engine_history* history = Find(aChange.mEngine);
    const bool idle = history == nullptr || history->mStatus == engine_status::Serving;
    return history == nullptr || history->mRole == aChange.mRole ||
           aNow - aChange.mAt > mSettings.mReturnTimeout ||
           (idle && aNow - aChange.mAt > kStartTimeout);
  });
}

std::vector<role_planner::engine_group>
role_planner::Groups(std::span<const engine_view> aEngines, const table& aTable)
{
  std::map<std::pair<std::string_view, std::string_view>, engine_group> groups;
  for (const engine_view& view : aEngines) {
    const service_row* service = ServiceRow(aTable, view.mService);
    if (service == nullptr || service->mKind != service_kind::Model) {
      continue;
    }
    engine_group& group = groups[{ view.mService, view.mModel }];
    group.mService = service;
    group.mModel = view.mModel;
    group.mEngines.push_back(&view);
  }
  std::vector<engine_group> result;
  result.reserve(groups.size());
  for (auto& [key, group] : groups) {
    result.push_back(std::move(group));
  }
  return result;
}

std::optional<planned_role_change>
role_planner::Plan(std::span<const engine_view> aEngines,
                   const table& aTable,
                   std::string_view aDataCentre,
                   instant aNow)
{
  UpdateHistories(aEngines, aNow);
  const plan_request request{ aEngines, aTable, aDataCentre, aNow };
  for (const engine_group& group : Groups(aEngines, aTable)) {
    if (auto change = PlanGroup(group, request)) {
      return change;
    }
  }
  return std::nullopt;
}

std::optional<planned_role_change>
role_planner::PlanGroup(const engine_group& aGroup, const plan_request& aRequest)
{
  if (auto change = FillEmptyRole(aGroup, aRequest)) {
    return change;
  }
  return ImproveAllocation(aGroup, aRequest);
}

planned_role_change
role_planner::StartChange(const engine_view& aEngine, std::string aReason, instant aNow)
{
  const engine_role role = Opposite(aEngine.mRole);
  mStartedChanges.push_back({ aEngine.mName, role, aNow });
  return { aEngine.mName, role, std::move(aReason) };
}

std::optional<planned_role_change>
role_planner::FillEmptyRole(const engine_group& aGroup, const plan_request& aRequest)
{
  const role_counts counts = Counts(aGroup.mEngines, aRequest);
  for (const engine_role empty : { engine_role::Prefill, engine_role::Decode }) {
    const std::string key = aGroup.mService->mName + "/" + aGroup.mModel + "/" + Name(empty);
    const double able =
      counts.mBoth + (empty == engine_role::Prefill ? counts.mPrefill : counts.mDecode);
    if (able > 0) {
      mEmptySince.erase(key);
      continue;
    }
    const auto [since, added] = mEmptySince.try_emplace(key, aRequest.mNow);
    if (added || aRequest.mNow - since->second < mSettings.mEmptyRoleDelay) {
      continue;
    }
    if (const engine_view* donor = ChooseDonor(aGroup, aRequest, Opposite(empty), 1, true)) {
      return StartChange(
        *donor, std::string("no engine is left for ") + Name(empty), aRequest.mNow);
    }
  }
  return std::nullopt;
}

std::optional<planned_role_change>
role_planner::ImproveAllocation(const engine_group& aGroup, const plan_request& aRequest)
{
  const role_counts counts = Counts(aGroup.mEngines, aRequest);
  const std::deque<work_sample>& samples = Measure(aGroup, counts, aRequest.mNow);
  const double price = aGroup.mService->mRoleChangePrice;
  for (const engine_role from : { engine_role::Prefill, engine_role::Decode }) {
    const std::uint64_t moves = CountProfitableMoves(counts, from, samples, price);
    const engine_view* donor =
      moves > 0 ? ChooseDonor(aGroup, aRequest, from, moves, false) : nullptr;
    if (donor != nullptr) {
      return StartChange(
        *donor, GainReason(from, SustainedGain(counts, from, samples), price), aRequest.mNow);
    }
  }
  return std::nullopt;
}

const role_planner::engine_history*
role_planner::Find(std::string_view aEngine) const
{
  const auto found = mEngines.find(aEngine);
  return found == mEngines.end() ? nullptr : &found->second;
}

const role_planner::started_change*
role_planner::StartedChangeFor(std::string_view aEngine) const
{
  const auto found =
    std::find_if(mStartedChanges.begin(),
                 mStartedChanges.end(),
                 [&](const started_change& aChange) { return aChange.mEngine == aEngine; });
  return found == mStartedChanges.end() ? nullptr : &*found;
}

} // namespace skylarkwind
