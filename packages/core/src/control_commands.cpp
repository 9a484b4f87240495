#include "control_p.h"

#include <algorithm>
#include <utility>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;
using phase = command_progress::phase;

/// A command is sent only with at least this much lease time left; less could run out in the driver
/// before the command is sent.
constexpr milliseconds kMinAuthority{ 500 };
/// Added to the expiry before a command without a response counts as not accepted; covers the time
/// that the engine's response to a poll may take.
constexpr milliseconds kExpiryMargin{ 1'000 };
/// An older report does not show whether the engine is idle now.
constexpr milliseconds kMaxReportAge{ 2'000 };

bool
IsReady(const known_engine& aEngine)
{
  return aEngine.mReport && aEngine.mReport->mActivity == engine_report::activity::Ready;
}

bool
AcceptedCommand(const known_engine& aEngine, const recorded_command& aCommand)
{
  return aEngine.mReport && aEngine.mReport->mOrder == aCommand.mOrder &&
         aEngine.mReport->mIncarnation == aCommand.mIncarnation;
}

bool
MatchesTarget(const engine_report& aReport, const recorded_command& aCommand)
{
  return aReport.mRole == aCommand.mRole && aReport.mModel == aCommand.mModel &&
         aReport.mVersion == aCommand.mVersion;
}

const engine_view*
ViewOf(std::span<const engine_view> aViews, std::string_view aName)
{
  const auto found = std::lower_bound(
    aViews.begin(), aViews.end(), aName, [](const engine_view& aView, std::string_view aKey) {
      return aView.mName < aKey;
    });
  return found != aViews.end() && found->mName == aName ? &*found : nullptr;
}

} // namespace

void
role_controller_impl::OnCommandAnswered(const engine_command_completed& aAnswer,
                                        instant aNow,
                                        effect_list& aOut)
{
  FollowLease(aNow);
  const auto found = mEngines.find(aAnswer.mEngine);
  const bool current = found != mEngines.end() && found->second.mProgress &&
                       found->second.mProgress->mCommand.mOrder == aAnswer.mOrder &&
                       found->second.mProgress->mPhase == phase::Sent;
  if (!current) {
    return;
  }
  auto& progress = *found->second.mProgress;
  switch (aAnswer.mResult) {
    case engine_command_result::NoAnswer:
      return;
    case engine_command_result::Accepted:
      progress.mPhase = phase::Accepted;
      break;
    case engine_command_result::StaleFencing:
    case engine_command_result::WrongIncarnation:
    case engine_command_result::Busy:
      progress.mPhase = phase::Refused;
      aOut.emplace_back(
        log_line{ log_level::Warning,
                  "control",
                  "engine " + aAnswer.mEngine + " refused engine command " + aAnswer.mOrder });
      break;
  }
  progress.mSentAt = aNow;
}

void
role_controller_impl::StepCommands(instant aNow, effect_list& aOut)
{
  for (auto& [name, engine] : mEngines) {
    if (engine.mProgress) {
      Step(engine, aNow, aOut);
    }
  }
}

void
role_controller_impl::Step(known_engine& aEngine, instant aNow, effect_list& aOut)
{
  switch (aEngine.mProgress->mPhase) {
    case phase::Inherited:
      StepInherited(aEngine, aNow);
      return;
    case phase::Draining:
      StepDraining(aEngine, aNow, aOut);
      return;
    case phase::Sent:
      StepSent(aEngine, aNow);
      return;
    case phase::Accepted:
    case phase::Refused:
      StepAnswered(aEngine, aNow);
      return;
    case phase::Recording:
    case phase::Settling:
      return; // until the write is confirmed
  }
}

/// A command of an earlier acquisition may have been sent and may still arrive until
/// `mUncertainUntil`. Only an engine that checks fencing can get a new command at once, because it
/// then refuses the old one for its lower fencing number.
void
role_controller_impl::StepInherited(known_engine& aEngine, instant aNow)
{
  auto& progress = *aEngine.mProgress;
  if (AcceptedCommand(aEngine, progress.mCommand)) {
    progress.mPhase = phase::Accepted;
    StepAnswered(aEngine, aNow);
    return;
  }
  if (Reissue(aEngine, aNow) || aNow < progress.mUncertainUntil) {
    return;
  }
  if (RowOf(progress.mCommand.mEngine) == nullptr) {
    Settle(aEngine, "the engine is not in the table", aNow);
  } else if (IsReady(aEngine) && aEngine.mAskedAt >= progress.mUncertainUntil) {
    Settle(aEngine, "settled by observation after a takeover", aNow);
  } else if (UnreachableTooLong(aEngine, aNow)) {
    Settle(aEngine, "the engine cannot be reached", aNow);
  }
}

bool
role_controller_impl::Reissue(known_engine& aEngine, instant aNow)
{
  const auto* row = RowOf(aEngine.mProgress->mCommand.mEngine);
  const bool possible = row != nullptr && row->mChecksFencing && IsReady(aEngine) &&
                        aEngine.mReport->mChecksFencing && !mStopping &&
                        row->mIntent == engine_intent::Serve && !IsLeaving(row->mName);
  if (!possible) {
    return false;
  }
  auto wanted = DesiredTarget(*row, *aEngine.mReport);
  if (!wanted) {
    return false;
  }
  wanted->mReason = "issued again in place of order " + aEngine.mProgress->mCommand.mOrder;
  aEngine.mBackOffUntil = aNow;
  RecordIntent(aEngine, *row, *wanted);
  return true;
}

void
role_controller_impl::StepDraining(known_engine& aEngine, instant aNow, effect_list& aOut)
{
  if (const auto reason = ReasonToWithdraw(aEngine, aNow)) {
    Settle(aEngine, "withdrawn before it was sent: " + *reason, aNow);
    return;
  }
  const bool mayLoad = !aEngine.mProgress->mLoads || aNow >= mNextLoad;
  if (mayLoad && IsDrained(aEngine, aNow)) {
    Send(aEngine, aNow, aOut);
  }
}

std::optional<std::string>
role_controller_impl::ReasonToWithdraw(const known_engine& aEngine, instant aNow) const
{
  const auto& progress = *aEngine.mProgress;
  const auto& command = progress.mCommand;
  const auto* row = RowOf(command.mEngine);
  if (mStopping) {
    return "this daemon shuts down";
  }
  if (row == nullptr) {
    return "the engine is not in the table";
  }
  if (row->mIntent != engine_intent::Serve || IsLeaving(command.mEngine)) {
    return "the engine leaves service";
  }
  if (aEngine.mReport && aEngine.mReport->mIncarnation != command.mIncarnation) {
    return "the engine restarted";
  }
  if (aEngine.mReport) {
    if (MatchesTarget(*aEngine.mReport, command)) {
      return "the engine is in the target already";
    }
    const auto wanted = DesiredTarget(*row, *aEngine.mReport);
    const bool same = wanted && wanted->mRole == command.mRole &&
                      wanted->mModel == command.mModel && wanted->mVersion == command.mVersion;
    if (!same) {
      return "the table asks for another target";
    }
  }
  if (aNow - progress.mStoredAt >= mSettings.mDrainLimit) {
    return "the drain limit passed";
  }
  return std::nullopt;
}

bool
role_controller_impl::IsDrained(const known_engine& aEngine, instant aNow) const
{
  const auto& progress = *aEngine.mProgress;
  const auto* view = ViewOf(mFleet.Engines(), progress.mCommand.mEngine);
  if (view == nullptr || view->mStatus != engine_status::Drained || !IsReady(aEngine)) {
    return false;
  }
  const auto& report = *aEngine.mReport;
  // Other daemons learn of the intent within mNoticeTime, so only a later report counts.
  return aEngine.mAskedAt >= progress.mStoredAt + mSettings.mNoticeTime &&
         aNow - aEngine.mAskedAt < kMaxReportAge && report.mRunning == 0 &&
         report.mQueuedPromptTokens == 0 && report.mDecodeStreams == 0;
}

void
role_controller_impl::Send(known_engine& aEngine, instant aNow, effect_list& aOut)
{
  if (!mLease.Holds(aNow) || mLease.HeldUntil() - aNow < kMinAuthority) {
    return;
  }
  auto& progress = *aEngine.mProgress;
  const auto& command = progress.mCommand;
  const auto notAfter = std::min(mLease.HeldUntil(), aNow + mSettings.mOrderExpiry);
  send_engine_command sent{ command.mEngine, progress.mAddress, {}, notAfter };
  sent.mOrder = { command.mOrder,       command.mFencing,
                  command.mIncarnation, std::chrono::duration_cast<milliseconds>(notAfter - aNow),
                  command.mRole,        command.mModel,
                  command.mVersion };
  aOut.emplace_back(std::move(sent));
  progress.mPhase = phase::Sent;
  progress.mSentAt = aNow;
  progress.mUncertainUntil = aNow + LateDeliveryWindow(progress);
  if (progress.mLoads) {
    mNextLoad = aNow + mSettings.mLoadSpacing;
  }
  Audit("order " + command.mOrder + " sent to engine " + command.mEngine);
}

milliseconds
role_controller_impl::LateDeliveryWindow(const command_progress& aProgress) const
{
  return aProgress.mChecksFencing ? mSettings.mOrderExpiry + kExpiryMargin
                                  : mSettings.mLeaseTerm + mSettings.mOrderExpiry;
}

/// No response has come yet. The command is never sent again; the engine's reports settle it.
void
role_controller_impl::StepSent(known_engine& aEngine, instant aNow)
{
  auto& progress = *aEngine.mProgress;
  if (AcceptedCommand(aEngine, progress.mCommand)) {
    progress.mPhase = phase::Accepted;
    StepAnswered(aEngine, aNow);
    return;
  }
  if (aNow < progress.mUncertainUntil) {
    return;
  }
  if (IsReady(aEngine) && aEngine.mAskedAt >= progress.mUncertainUntil) {
    aEngine.mUncertainFencing = std::max(aEngine.mUncertainFencing, progress.mCommand.mFencing);
    Settle(aEngine, "no answer, and the engine did not take it", aNow);
  } else if (UnreachableTooLong(aEngine, aNow)) {
    aEngine.mUncertainFencing = std::max(aEngine.mUncertainFencing, progress.mCommand.mFencing);
    Settle(aEngine, "the engine cannot be reached", aNow);
  }
}

void
role_controller_impl::StepAnswered(known_engine& aEngine, instant aNow)
{
  auto& progress = *aEngine.mProgress;
  if (IsReady(aEngine) && aEngine.mAskedAt >= progress.mSentAt) {
    const bool restarted = aEngine.mReport->mIncarnation != progress.mCommand.mIncarnation;
    const bool refused = progress.mPhase == phase::Refused;
    Settle(aEngine,
           restarted ? "the engine restarted"
           : refused ? "the engine refused it"
                     : "the engine carried it out",
           aNow);
  } else if (UnreachableTooLong(aEngine, aNow)) {
    Settle(aEngine, "the engine cannot be reached", aNow);
  }
}

bool
role_controller_impl::UnreachableTooLong(known_engine& aEngine, instant aNow) const
{
  auto& since = aEngine.mProgress->mUnreachableSince;
  if (aEngine.mReport || !aEngine.mAnswered) {
    since.reset();
    return false;
  }
  if (!since) {
    since = aNow;
  }
  return aNow - *since >= mSettings.mUnreachableLimit;
}

/// Records the engine's reported role, model and version as the target to keep it at. An engine
/// that cannot be reached or is not in the table keeps no record.
void
role_controller_impl::Settle(known_engine& aEngine, const std::string& aOutcome, instant aNow)
{
  auto& progress = *aEngine.mProgress;
  const auto command = progress.mCommand;
  auto& commands = mRecord.Change().mOrders;
  const auto entry =
    std::find_if(commands.begin(), commands.end(), [&](const recorded_command& aEntry) {
      return aEntry.mEngine == command.mEngine;
    });
  bool reached = false;
  std::string found = "unknown";
  if (aEngine.mReport) {
    const auto& report = *aEngine.mReport;
    reached = MatchesTarget(report, command);
    found = TargetText(report.mRole, report.mModel, report.mVersion);
  }
  if (entry != commands.end()) {
    if (!aEngine.mReport || RowOf(command.mEngine) == nullptr) {
      commands.erase(entry);
    } else {
      entry->mIncarnation = aEngine.mReport->mIncarnation;
      entry->mRole = aEngine.mReport->mRole;
      entry->mModel = aEngine.mReport->mModel;
      entry->mVersion = aEngine.mReport->mVersion;
      entry->mStage = recorded_command::stage::Settled;
    }
  }
  if (!reached) {
    aEngine.mBackOffUntil = aNow + mSettings.mRetryAfter;
  }
  Audit("order " + command.mOrder + " of engine " + command.mEngine + " settled: " + aOutcome +
        "; the engine is " + found);
  progress.mPhase = phase::Settling;
  progress.mRevision = mRecord.NextRevision();
}

} // namespace skylarkwind
