#include "skylarkwind/role_planner.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace skylarkwind {

namespace {

/// Returns the table row of the engine, or null when it is not in the table.
const engine_row*
RowOf(const table& aTable, std::string_view aName)
{
  const auto rows = aTable.Engines();
  const auto found = std::find_if(
    rows.begin(), rows.end(), [&](const engine_row& aRow) { return aRow.mName == aName; });
  return found == rows.end() ? nullptr : &*found;
}

std::uint32_t
MinimumEngines(const table& aTable, std::string_view aService, engine_role aRole)
{
  const auto rows = aTable.Roles();
  const auto found = std::find_if(rows.begin(), rows.end(), [&](const role_row& aRow) {
    return aRow.mService == aService && aRow.mRole == aRole;
  });
  return found == rows.end() ? 0 : found->mMinimumEngines;
}

} // namespace

bool
role_planner::AreChangesBlocked(const service_row& aService,
                                const plan_request& aRequest,
                                std::string_view aDataCentre,
                                bool aUrgent) const
{
  std::uint32_t changing = 0;
  for (const engine_view& engine : aRequest.mEngines) {
    if (engine.mService != aService.mName || engine.mDataCentre != aDataCentre) {
      continue;
    }
    const engine_history* history = Find(engine.mName);
    const auto since =
      history == nullptr ? std::chrono::nanoseconds{ 0 } : aRequest.mNow - history->mStatusSince;
    const engine_row* row = RowOf(aRequest.mTable, engine.mName);
    const bool drained = row == nullptr || row->mIntent == engine_intent::Drain;
    switch (engine.mStatus) {
      case engine_status::Serving:
        changing += StartedChangeFor(engine.mName) != nullptr ? 1 : 0;
        break;
      case engine_status::Draining:
      case engine_status::Drained:
      case engine_status::Changing:
        changing += drained ? 0 : 1;
        break;
      case engine_status::Absent:
        if (!drained && !aUrgent && since < mSettings.mAbsentTimeout) {
          return true;
        }
        break;
      case engine_status::Observed:
      case engine_status::Warming:
      case engine_status::Ramping:
        if (!drained && !aUrgent && since < mSettings.mReturnTimeout) {
          return true;
        }
        break;
    }
  }
  return changing >= aService.mMaxChanging;
}

bool
role_planner::IsEligibleDonor(const engine_view& aEngine,
                              const engine_group& aGroup,
                              const plan_request& aRequest,
                              bool aUrgent) const
{
  const engine_row* row = RowOf(aRequest.mTable, aEngine.mName);
  const engine_history* history = Find(aEngine.mName);
  if (row == nullptr || row->mPinned || row->mIntent == engine_intent::Drain ||
      aEngine.mStatus != engine_status::Serving || StartedChangeFor(aEngine.mName) != nullptr ||
      history == nullptr) {
    return false;
  }
  return aUrgent || aRequest.mNow - history->mRoleSince >= aGroup.mService->mMinimumStay;
}

const engine_view*
role_planner::FindDonor(const engine_group& aGroup,
                        const plan_request& aRequest,
                        std::string_view aDataCentre,
                        engine_role aFrom,
                        bool aUrgent) const
{
  std::vector<const engine_view*> local;
  const engine_view* best = nullptr;
  for (const engine_view* engine : aGroup.mEngines) {
    if (engine->mDataCentre != aDataCentre) {
      continue;
    }
    local.push_back(engine);
    const auto load = [](const engine_view& aView) {
      return std::tuple(aView.mReport.mRunning, aView.mReport.mKvUsedTokens);
    };
    if (engine->mRole == aFrom && IsEligibleDonor(*engine, aGroup, aRequest, aUrgent) &&
        (best == nullptr || load(*engine) < load(*best))) {
      best = engine;
    }
  }
  const role_counts counts = Counts(local, aRequest);
  const double left = aFrom == engine_role::Prefill ? counts.mPrefill : counts.mDecode;
  // A data centre needs engines of both roles in case it is partitioned from the others, unless it
  // has only a single engine.
  const bool last = left < 2 && local.size() > 1;
  return last || AreChangesBlocked(*aGroup.mService, aRequest, aDataCentre, aUrgent) ? nullptr
                                                                                     : best;
}

const engine_view*
role_planner::ChooseDonor(const engine_group& aGroup,
                          const plan_request& aRequest,
                          engine_role aFrom,
                          std::uint64_t aMoves,
                          bool aUrgent) const
{
  const role_counts counts = Counts(aGroup.mEngines, aRequest);
  const double have = aFrom == engine_role::Prefill ? counts.mPrefill : counts.mDecode;
  const double keep =
    std::max<std::uint32_t>(1, MinimumEngines(aRequest.mTable, aGroup.mService->mName, aFrom));
  if (have <= keep) {
    return nullptr;
  }
  std::set<std::string_view> dataCentres;
  for (const engine_view* engine : aGroup.mEngines) {
    dataCentres.insert(engine->mDataCentre);
  }
  // The data centre with the most engines of the role comes first.
  std::vector<std::tuple<double, std::string_view, const engine_view*>> turns;
  for (const std::string_view dataCentre : dataCentres) {
    const engine_view* donor = FindDonor(aGroup, aRequest, dataCentre, aFrom, aUrgent);
    if (donor != nullptr) {
      const auto local = std::count_if(
        aGroup.mEngines.begin(), aGroup.mEngines.end(), [&](const engine_view* aEngine) {
          return aEngine->mDataCentre == dataCentre && aEngine->mRole == aFrom;
        });
      turns.emplace_back(-static_cast<double>(local), dataCentre, donor);
    }
  }
  std::sort(turns.begin(), turns.end());
  const auto moves = std::min<std::uint64_t>(aMoves, static_cast<std::uint64_t>(have - keep));
  for (std::size_t i = 0; i < std::min<std::size_t>(moves, turns.size()); ++i) {
    if (std::get<std::string_view>(turns[i]) == aRequest.mDataCentre) {
      return std::get<const engine_view*>(turns[i]);
    }
  }
  return nullptr;
}

} // namespace skylarkwind
