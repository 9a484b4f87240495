#include "control_p.h"

#include <algorithm>
#include <utility>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// An older report is not used to decide on an intent.
constexpr milliseconds kMaxReportAge{ 5'000 };

} // namespace

std::string
TargetText(engine_role aRole, std::string_view aModel, std::string_view aVersion)
{
  std::string text{ RoleText(aRole) };
  text.append(" ").append(aModel).append(" ").append(aVersion);
  return text;
}

const engine_row*
role_controller_impl::RowOf(std::string_view aEngine) const
{
  const auto found = mRows.find(aEngine);
  return found == mRows.end() ? nullptr : found->second;
}

const recorded_command*
role_controller_impl::RecordOf(std::string_view aEngine) const
{
  const auto& commands = mRecord.Draft().mOrders;
  const auto found =
    std::find_if(commands.begin(), commands.end(), [&](const recorded_command& aCommand) {
      return aCommand.mEngine == aEngine;
    });
  return found == commands.end() ? nullptr : &*found;
}

bool
role_controller_impl::IsLeaving(std::string_view aEngine) const
{
  const auto& leaving = mLeaving ? *mLeaving : mRecord.Draft().mLeaving;
  return std::find(leaving.begin(), leaving.end(), aEngine) != leaving.end();
}

/// Returns the target of an engine if it differs from what the engine reports. The role is the
/// recorded one, which the planner chose or which was observed last; an engine without a record or
/// one that is pinned takes the table's role. Model and version come from the table, or from the
/// report where the table names none.
std::optional<role_controller_impl::desired_target>
role_controller_impl::DesiredTarget(const engine_row& aRow, const engine_report& aReport) const
{
  const auto* record = RecordOf(aRow.mName);
  desired_target wanted;
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
  const bool drifted = record != nullptr && record->mStage == recorded_command::stage::Settled &&
                       (record->mRole != aReport.mRole || record->mModel != aReport.mModel ||
                        record->mVersion != aReport.mVersion);
  wanted.mReason = drifted ? "the engine differs from its last recorded target" : "the table";
  return wanted;
}

bool
role_controller_impl::MayCommand(const engine_row& aRow,
                                 const known_engine& aEngine,
                                 instant aNow) const
{
  return aRow.mIntent == engine_intent::Serve && !IsLeaving(aRow.mName) && !aEngine.mProgress &&
         aEngine.mReport && aEngine.mReport->mActivity == engine_report::activity::Ready &&
         aEngine.mReport->mFencing <= mActingFencing && aNow - aEngine.mAskedAt < kMaxReportAge &&
         aNow >= aEngine.mBackOffUntil;
}

bool
role_controller_impl::ServiceAllowsChange(std::string_view aService, instant aNow) const
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
    // An engine that changes without a command of this holder is out of service as well.
    return row != nullptr && row->mService == aService && engine.mReport &&
           aNow - engine.mAskedAt < kMaxReportAge &&
           engine.mReport->mActivity != engine_report::activity::Ready;
  });
  return changing < static_cast<std::ptrdiff_t>(limit);
}

bool
role_controller_impl::ModelLoadAllowed(instant aNow) const
{
  const bool waiting = std::any_of(mEngines.begin(), mEngines.end(), [](const auto& aEntry) {
    const auto& progress = aEntry.second.mProgress;
    return progress && progress->mLoads &&
           (progress->mPhase == command_progress::phase::Recording ||
            progress->mPhase == command_progress::phase::Draining);
  });
  return !waiting && aNow >= mNextLoad;
}

void
role_controller_impl::RecordIntents(instant aNow)
{
  if (aNow < mNextPlan || mStopping) {
    return;
  }
  mNextPlan = aNow + mSettings.mPlanEvery;
  for (const auto& [name, row] : mRows) {
    const auto engine = mEngines.find(name);
    if (engine == mEngines.end() || !MayCommand(*row, engine->second, aNow)) {
      continue;
    }
    const auto wanted = DesiredTarget(*row, *engine->second.mReport);
    if (wanted && !TryRecordIntent(*row, *wanted, aNow)) {
      return;
    }
  }
  ApplyPlan(aNow);
}

bool
role_controller_impl::ApplyPlan(instant aNow)
{
  if (!mPlans) {
    return true;
  }
  const auto change = mPlans->Plan(mFleet.Engines(), mTable, mSettings.mDataCentre, aNow);
  const auto* row = change ? RowOf(change->mEngine) : nullptr;
  const auto engine = row != nullptr ? mEngines.find(row->mName) : mEngines.end();
  if (engine == mEngines.end() || row->mPinned || !MayCommand(*row, engine->second, aNow)) {
    return true;
  }
  const auto& report = *engine->second.mReport;
  // A change that the table requests for this engine takes precedence; a limit holds it back now.
  if (report.mRole == change->mRole || DesiredTarget(*row, report)) {
    return true;
  }
  return TryRecordIntent(
    *row,
    { change->mRole, report.mModel, report.mVersion, "the planner: " + change->mReason },
    aNow);
}

/// Records an intent if the limits allow it. False when the lease must be acquired again before any
/// further intent, because a command under the current fencing number may still arrive.
bool
role_controller_impl::TryRecordIntent(const engine_row& aRow,
                                      const desired_target& aTarget,
                                      instant aNow)
{
  auto& engine = mEngines.at(aRow.mName);
  const bool loads =
    aTarget.mModel != engine.mReport->mModel || aTarget.mVersion != engine.mReport->mVersion;
  if (!ServiceAllowsChange(aRow.mService, aNow) || (loads && !ModelLoadAllowed(aNow))) {
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
  RecordIntent(engine, aRow, aTarget);
  return true;
}

void
role_controller_impl::RecordIntent(known_engine& aEngine,
                                   const engine_row& aRow,
                                   const desired_target& aTarget)
{
  const auto& report = *aEngine.mReport;
  recorded_command command;
  command.mEngine = aRow.mName;
  command.mOrder = mSettings.mSelf.mVm + "-" + std::to_string(mSettings.mSelf.mStartId) + "-" +
                   std::to_string(mActingFencing) + "-" + std::to_string(++mOrders);
  command.mFencing = mActingFencing;
  command.mIncarnation = report.mIncarnation;
  command.mRole = aTarget.mRole;
  command.mModel = aTarget.mModel;
  command.mVersion = aTarget.mVersion;

  auto& commands = mRecord.Change().mOrders;
  std::erase_if(commands,
                [&](const recorded_command& aEntry) { return aEntry.mEngine == aRow.mName; });
  commands.push_back(command);

  command_progress progress;
  progress.mCommand = command;
  progress.mAddress = aRow.mAddress;
  progress.mService = aRow.mService;
  progress.mChecksFencing = aRow.mChecksFencing && report.mChecksFencing;
  progress.mLoads = aTarget.mModel != report.mModel || aTarget.mVersion != report.mVersion;
  progress.mRevision = mRecord.NextRevision();
  aEngine.mProgress = std::move(progress);
  Audit("intent " + command.mOrder + " for engine " + command.mEngine + ": " +
        TargetText(command.mRole, command.mModel, command.mVersion) +
        "; reason: " + aTarget.mReason);
}

} // namespace skylarkwind
