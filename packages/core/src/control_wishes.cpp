#include "control_p.h"

#include <algorithm>
#include <utility>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// An older answer is no basis for an intent.
constexpr milliseconds kFreshFor{ 5'000 };

} // namespace

std::string
TargetText(engine_role aRole, std::string_view aModel, std::string_view aVersion)
{
  std::string text{ RoleText(aRole) };
  text.append(" ").append(aModel).append(" ").append(aVersion);
  return text;
}

const engine_row*
control_authority::RowOf(std::string_view aEngine) const
{
  const auto found = mRows.find(aEngine);
  return found == mRows.end() ? nullptr : found->second;
}

const recorded_order*
control_authority::RecordOf(std::string_view aEngine) const
{
  const auto& orders = mRecord.Draft().mOrders;
  const auto found = std::find_if(orders.begin(), orders.end(), [&](const recorded_order& aOrder) {
    return aOrder.mEngine == aEngine;
  });
  return found == orders.end() ? nullptr : &*found;
}

bool
control_authority::IsLeaving(std::string_view aEngine) const
{
  const auto& leaving = mLeaving ? *mLeaving : mRecord.Draft().mLeaving;
  return std::find(leaving.begin(), leaving.end(), aEngine) != leaving.end();
}

/// The target of an engine, if it differs from what the engine reports. The role is the recorded
/// one, which the planner chose or which was observed last; the table's role holds for an engine
/// without a record, or one that is pinned. Model and version are always the table's.
std::optional<control_authority::wish>
control_authority::WishFor(const engine_row& aRow, const engine_report& aReport) const
{
  const auto* record = RecordOf(aRow.mName);
  wish wanted;
  wanted.mRole = record != nullptr && !aRow.mPinned ? record->mRole : aRow.mRole;
  wanted.mModel = aRow.mModel.empty() ? aReport.mModel : aRow.mModel;
  const auto models = mTable.Models();
  const auto model = std::find_if(models.begin(), models.end(), [&](const model_row& aModel) {
    return aModel.mName == wanted.mModel;
  });
  const bool versionKnown = model != models.end() && !model->mVersion.empty();
  wanted.mVersion = versionKnown ? model->mVersion : aReport.mVersion;
  if (wanted.mRole == aReport.mRole && wanted.mModel == aReport.mModel &&
      wanted.mVersion == aReport.mVersion) {
    return std::nullopt;
  }
  const bool drifted = record != nullptr && record->mStage == recorded_order::stage::Settled &&
                       (record->mRole != aReport.mRole || record->mModel != aReport.mModel ||
                        record->mVersion != aReport.mVersion);
  wanted.mReason = drifted ? "the engine differs from its last recorded target" : "the table";
  return wanted;
}

bool
control_authority::MayOrder(const engine_row& aRow, const known_engine& aEngine, instant aNow) const
{
  return aRow.mIntent == engine_intent::Serve && !IsLeaving(aRow.mName) && !aEngine.mProgress &&
         aEngine.mReport && aEngine.mReport->mActivity == engine_report::activity::Ready &&
         aEngine.mReport->mFencing <= mActingFencing && aNow - aEngine.mAskedAt < kFreshFor &&
         aNow >= aEngine.mQuietUntil;
}

bool
control_authority::ServiceHasRoom(std::string_view aService, instant aNow) const
{
  std::uint32_t limit = 1;
  for (const auto& service : mTable.Services()) {
    if (service.mName == aService) {
      limit = std::max(limit, service.mMaxChanging);
    }
  }
  const auto changing = std::count_if(mEngines.begin(), mEngines.end(), [&](const auto& aEntry) {
    const auto& engine = aEntry.second;
    if (engine.mProgress) {
      return engine.mProgress->mService == aService;
    }
    const auto* row = RowOf(aEntry.first);
    // An engine that changes without an order of this holder is out of service as well.
    return row != nullptr && row->mService == aService && engine.mReport &&
           aNow - engine.mAskedAt < kFreshFor &&
           engine.mReport->mActivity != engine_report::activity::Ready;
  });
  return changing < static_cast<std::ptrdiff_t>(limit);
}

bool
control_authority::LoadAllowed(instant aNow) const
{
  const bool waiting = std::any_of(mEngines.begin(), mEngines.end(), [](const auto& aEntry) {
    const auto& progress = aEntry.second.mProgress;
    return progress && progress->mLoads &&
           (progress->mPhase == order_progress::phase::Recording ||
            progress->mPhase == order_progress::phase::Draining);
  });
  return !waiting && aNow >= mNextLoad;
}

void
control_authority::MakeIntents(instant aNow)
{
  if (aNow < mNextPlan || mStopping) {
    return;
  }
  mNextPlan = aNow + mSettings.mPlanEvery;
  for (const auto& [name, row] : mRows) {
    const auto engine = mEngines.find(name);
    if (engine == mEngines.end() || !MayOrder(*row, engine->second, aNow)) {
      continue;
    }
    const auto wanted = WishFor(*row, *engine->second.mReport);
    if (wanted && !Intend(*row, *wanted, aNow)) {
      return;
    }
  }
  AskPlanner(aNow);
}

bool
control_authority::AskPlanner(instant aNow)
{
  if (!mPlans) {
    return true;
  }
  const auto change = mPlans->Plan(mFleet.Engines(), mTable, mSettings.mDataCentre, aNow);
  const auto* row = change ? RowOf(change->mEngine) : nullptr;
  const auto engine = row != nullptr ? mEngines.find(row->mName) : mEngines.end();
  if (engine == mEngines.end() || row->mPinned || !MayOrder(*row, engine->second, aNow)) {
    return true;
  }
  const auto& report = *engine->second.mReport;
  // A table wish of this engine goes first; it did not find room just now.
  if (report.mRole == change->mRole || WishFor(*row, report)) {
    return true;
  }
  return Intend(
    *row,
    { change->mRole, report.mModel, report.mVersion, "the planner: " + change->mReason },
    aNow);
}

/// False when the lease must be acquired again before any further intent.
bool
control_authority::Intend(const engine_row& aRow, const wish& aWish, instant aNow)
{
  auto& engine = mEngines.at(aRow.mName);
  const bool loads =
    aWish.mModel != engine.mReport->mModel || aWish.mVersion != engine.mReport->mVersion;
  if (!ServiceHasRoom(aRow.mService, aNow) || (loads && !LoadAllowed(aNow))) {
    return true;
  }
  if (engine.mUncertainFencing >= mActingFencing) {
    const bool open = std::any_of(mEngines.begin(), mEngines.end(), [](const auto& aEntry) {
      return aEntry.second.mProgress.has_value();
    });
    if (!open) {
      mLease.Reacquire(aNow);
    }
    return open;
  }
  RecordIntent(engine, aRow, aWish);
  return true;
}

void
control_authority::RecordIntent(known_engine& aEngine, const engine_row& aRow, const wish& aWish)
{
  const auto& report = *aEngine.mReport;
  recorded_order order;
  order.mEngine = aRow.mName;
  order.mOrder = mSettings.mSelf.mVm + "-" + std::to_string(mSettings.mSelf.mStartId) + "-" +
                 std::to_string(mActingFencing) + "-" + std::to_string(++mOrders);
  order.mFencing = mActingFencing;
  order.mIncarnation = report.mIncarnation;
  order.mRole = aWish.mRole;
  order.mModel = aWish.mModel;
  order.mVersion = aWish.mVersion;

  auto& orders = mRecord.Change().mOrders;
  std::erase_if(orders, [&](const recorded_order& aEntry) { return aEntry.mEngine == aRow.mName; });
  orders.push_back(order);

  order_progress progress;
  progress.mOrder = order;
  progress.mAddress = aRow.mAddress;
  progress.mService = aRow.mService;
  progress.mChecksFencing = aRow.mChecksFencing && report.mChecksFencing;
  progress.mLoads = aWish.mModel != report.mModel || aWish.mVersion != report.mVersion;
  progress.mRevision = mRecord.NextRevision();
  aEngine.mProgress = std::move(progress);
  Audit("intent " + order.mOrder + " for engine " + order.mEngine + ": " +
        TargetText(order.mRole, order.mModel, order.mVersion) + "; reason: " + aWish.mReason);
}

} // namespace skylarkwind
