#include "control_p.h"

#include <algorithm>
#include <utility>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;
using phase = order_progress::phase;

/// An order is sent only with this much authority left; a shorter rest would end in the driver.
constexpr milliseconds kLeastAuthority{ 500 };
/// Added to the expiry before an order without an answer counts as not taken: the time that the
/// engine's answer to an observation may take.
constexpr milliseconds kExpiryMargin{ 1'000 };
/// An answer older than this proves nothing about the work that runs now.
constexpr milliseconds kFreshFor{ 2'000 };

bool
IsReady(const known_engine& aEngine)
{
  return aEngine.mReport && aEngine.mReport->mActivity == engine_report::activity::Ready;
}

bool
TookOrder(const known_engine& aEngine, const recorded_order& aOrder)
{
  return aEngine.mReport && aEngine.mReport->mOrder == aOrder.mOrder &&
         aEngine.mReport->mIncarnation == aOrder.mIncarnation;
}

bool
InTarget(const engine_report& aReport, const recorded_order& aOrder)
{
  return aReport.mRole == aOrder.mRole && aReport.mModel == aOrder.mModel &&
         aReport.mVersion == aOrder.mVersion;
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
control_authority::OnOrderAnswered(const engine_order_answered& aAnswer,
                                   instant aNow,
                                   effect_list& aOut)
{
  FollowLease(aNow);
  const auto found = mEngines.find(aAnswer.mEngine);
  const bool current = found != mEngines.end() && found->second.mProgress &&
                       found->second.mProgress->mOrder.mOrder == aAnswer.mOrder &&
                       found->second.mProgress->mPhase == phase::Sent;
  if (!current) {
    return;
  }
  auto& progress = *found->second.mProgress;
  switch (aAnswer.mResult) {
    case engine_order_result::NoAnswer:
      return;
    case engine_order_result::Accepted:
      progress.mPhase = phase::Accepted;
      break;
    case engine_order_result::StaleFencing:
    case engine_order_result::WrongIncarnation:
    case engine_order_result::Busy:
      progress.mPhase = phase::Refused;
      aOut.emplace_back(
        log_line{ log_level::Warning,
                  "control",
                  "engine " + aAnswer.mEngine + " refused order " + aAnswer.mOrder });
      break;
  }
  progress.mSentAt = aNow;
}

void
control_authority::StepOrders(instant aNow, effect_list& aOut)
{
  for (auto& [name, engine] : mEngines) {
    if (engine.mProgress) {
      Step(engine, aNow, aOut);
    }
  }
}

void
control_authority::Step(known_engine& aEngine, instant aNow, effect_list& aOut)
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

/// An order of an earlier acquisition may have been sent, and may still arrive until it is waited
/// out. Only an engine that checks fencing can be ordered at once: the new number shuts the old
/// order out.
void
control_authority::StepInherited(known_engine& aEngine, instant aNow)
{
  auto& progress = *aEngine.mProgress;
  if (TookOrder(aEngine, progress.mOrder)) {
    progress.mPhase = phase::Accepted;
    StepAnswered(aEngine, aNow);
    return;
  }
  if (Reissue(aEngine, aNow) || aNow < progress.mUncertainUntil) {
    return;
  }
  if (RowOf(progress.mOrder.mEngine) == nullptr) {
    Settle(aEngine, "the engine is not in the table", aNow);
  } else if (IsReady(aEngine) && aEngine.mAskedAt >= progress.mUncertainUntil) {
    Settle(aEngine, "settled by observation after a takeover", aNow);
  } else if (GoneTooLong(aEngine, aNow)) {
    Settle(aEngine, "the engine cannot be reached", aNow);
  }
}

bool
control_authority::Reissue(known_engine& aEngine, instant aNow)
{
  const auto* row = RowOf(aEngine.mProgress->mOrder.mEngine);
  const bool possible = row != nullptr && row->mChecksFencing && IsReady(aEngine) &&
                        aEngine.mReport->mChecksFencing && !mStopping &&
                        row->mIntent == engine_intent::Serve && !IsLeaving(row->mName);
  if (!possible) {
    return false;
  }
  auto wanted = WishFor(*row, *aEngine.mReport);
  if (!wanted) {
    return false;
  }
  wanted->mReason = "issued again in place of order " + aEngine.mProgress->mOrder.mOrder;
  aEngine.mQuietUntil = aNow;
  RecordIntent(aEngine, *row, *wanted);
  return true;
}

void
control_authority::StepDraining(known_engine& aEngine, instant aNow, effect_list& aOut)
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
control_authority::ReasonToWithdraw(const known_engine& aEngine, instant aNow) const
{
  const auto& progress = *aEngine.mProgress;
  const auto& order = progress.mOrder;
  const auto* row = RowOf(order.mEngine);
  if (mStopping) {
    return "this daemon shuts down";
  }
  if (row == nullptr) {
    return "the engine is not in the table";
  }
  if (row->mIntent != engine_intent::Serve || IsLeaving(order.mEngine)) {
    return "the engine leaves service";
  }
  if (aEngine.mReport && aEngine.mReport->mIncarnation != order.mIncarnation) {
    return "the engine restarted";
  }
  if (aEngine.mReport) {
    if (InTarget(*aEngine.mReport, order)) {
      return "the engine is in the target already";
    }
    const auto wanted = WishFor(*row, *aEngine.mReport);
    const bool same = wanted && wanted->mRole == order.mRole && wanted->mModel == order.mModel &&
                      wanted->mVersion == order.mVersion;
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
control_authority::IsDrained(const known_engine& aEngine, instant aNow) const
{
  const auto& progress = *aEngine.mProgress;
  const auto* view = ViewOf(mFleet.Engines(), progress.mOrder.mEngine);
  if (view == nullptr || view->mStatus != engine_status::Drained || !IsReady(aEngine)) {
    return false;
  }
  const auto& report = *aEngine.mReport;
  // Other daemons learn of the intent within the notice time, so only a later answer counts.
  return aEngine.mAskedAt >= progress.mStoredAt + mSettings.mNoticeTime &&
         aNow - aEngine.mAskedAt < kFreshFor && report.mRunning == 0 &&
         report.mQueuedPromptTokens == 0 && report.mDecodeStreams == 0;
}

void
control_authority::Send(known_engine& aEngine, instant aNow, effect_list& aOut)
{
  if (!mLease.Holds(aNow) || mLease.HeldUntil() - aNow < kLeastAuthority) {
    return;
  }
  auto& progress = *aEngine.mProgress;
  const auto& order = progress.mOrder;
  const auto notAfter = std::min(mLease.HeldUntil(), aNow + mSettings.mOrderExpiry);
  send_engine_order sent{ order.mEngine, progress.mAddress, {}, notAfter };
  sent.mOrder = { order.mOrder,       order.mFencing,
                  order.mIncarnation, std::chrono::duration_cast<milliseconds>(notAfter - aNow),
                  order.mRole,        order.mModel,
                  order.mVersion };
  aOut.emplace_back(std::move(sent));
  progress.mPhase = phase::Sent;
  progress.mSentAt = aNow;
  progress.mUncertainUntil = aNow + WaitOut(progress);
  if (progress.mLoads) {
    mNextLoad = aNow + mSettings.mLoadSpacing;
  }
  Audit("order " + order.mOrder + " sent to engine " + order.mEngine);
}

milliseconds
control_authority::WaitOut(const order_progress& aProgress) const
{
  return aProgress.mChecksFencing ? mSettings.mOrderExpiry + kExpiryMargin
                                  : mSettings.mLeaseTerm + mSettings.mOrderExpiry;
}

/// No answer came yet. The order is never sent again; what the engine reports settles it.
void
control_authority::StepSent(known_engine& aEngine, instant aNow)
{
  auto& progress = *aEngine.mProgress;
  if (TookOrder(aEngine, progress.mOrder)) {
    progress.mPhase = phase::Accepted;
    StepAnswered(aEngine, aNow);
    return;
  }
  if (aNow < progress.mUncertainUntil) {
    return;
  }
  if (IsReady(aEngine) && aEngine.mAskedAt >= progress.mUncertainUntil) {
    aEngine.mUncertainFencing = std::max(aEngine.mUncertainFencing, progress.mOrder.mFencing);
    Settle(aEngine, "no answer, and the engine did not take it", aNow);
  } else if (GoneTooLong(aEngine, aNow)) {
    aEngine.mUncertainFencing = std::max(aEngine.mUncertainFencing, progress.mOrder.mFencing);
    Settle(aEngine, "the engine cannot be reached", aNow);
  }
}

void
control_authority::StepAnswered(known_engine& aEngine, instant aNow)
{
  auto& progress = *aEngine.mProgress;
  if (IsReady(aEngine) && aEngine.mAskedAt >= progress.mSentAt) {
    const bool restarted = aEngine.mReport->mIncarnation != progress.mOrder.mIncarnation;
    const bool refused = progress.mPhase == phase::Refused;
    Settle(aEngine,
           restarted ? "the engine restarted"
           : refused ? "the engine refused it"
                     : "the engine carried it out",
           aNow);
  } else if (GoneTooLong(aEngine, aNow)) {
    Settle(aEngine, "the engine cannot be reached", aNow);
  }
}

bool
control_authority::GoneTooLong(known_engine& aEngine, instant aNow) const
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

/// Records what the engine was found to be, so that the record holds a target to keep it at. An
/// engine that cannot be reached or is not in the table keeps no record.
void
control_authority::Settle(known_engine& aEngine, const std::string& aOutcome, instant aNow)
{
  auto& progress = *aEngine.mProgress;
  const auto order = progress.mOrder;
  auto& orders = mRecord.Change().mOrders;
  const auto entry = std::find_if(orders.begin(), orders.end(), [&](const recorded_order& aEntry) {
    return aEntry.mEngine == order.mEngine;
  });
  bool reached = false;
  std::string found = "unknown";
  if (aEngine.mReport) {
    const auto& report = *aEngine.mReport;
    reached = InTarget(report, order);
    found = TargetText(report.mRole, report.mModel, report.mVersion);
  }
  if (entry != orders.end()) {
    if (!aEngine.mReport || RowOf(order.mEngine) == nullptr) {
      orders.erase(entry);
    } else {
      entry->mIncarnation = aEngine.mReport->mIncarnation;
      entry->mRole = aEngine.mReport->mRole;
      entry->mModel = aEngine.mReport->mModel;
      entry->mVersion = aEngine.mReport->mVersion;
      entry->mStage = recorded_order::stage::Settled;
    }
  }
  if (!reached) {
    aEngine.mQuietUntil = aNow + mSettings.mRetryAfter;
  }
  Audit("order " + order.mOrder + " of engine " + order.mEngine + " settled: " + aOutcome +
        "; the engine is " + found);
  progress.mPhase = phase::Settling;
  progress.mRevision = mRecord.NextRevision();
}

} // namespace skylarkwind
