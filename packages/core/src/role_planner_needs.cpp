#include "skylarkwind/role_planner.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// Queue figures older than this are not used.
constexpr std::chrono::seconds kQueuedLifetime{ 10 };

double
Seconds(std::chrono::nanoseconds aTime)
{
  return std::chrono::duration<double>(aTime).count();
}

role_counts
Moved(role_counts aCounts, engine_role aFrom)
{
  const double step = aFrom == engine_role::Prefill ? -1 : 1;
  aCounts.mPrefill += step;
  aCounts.mDecode -= step;
  return aCounts;
}

role_counts
Without(role_counts aCounts, engine_role aFrom)
{
  (aFrom == engine_role::Prefill ? aCounts.mPrefill : aCounts.mDecode) -= 1;
  return aCounts;
}

/// Mean rate of the engines that state one.
double
MeanRate(std::span<const engine_view* const> aEngines, double engine_report::*aRate)
{
  double sum = 0;
  int stated = 0;
  for (const engine_view* engine : aEngines) {
    if (engine->mReport.*aRate > 0) {
      sum += engine->mReport.*aRate;
      ++stated;
    }
  }
  return stated > 0 ? sum / stated : 0;
}

} // namespace

std::optional<engine_role>
role_planner::CountedRole(const engine_view& aEngine, const question& aQuestion) const
{
  const begun_change* begun = BegunFor(aEngine.mName);
  const engine_history* history = Find(aEngine.mName);
  const auto rows = aQuestion.mTable.Engines();
  const auto row = std::find_if(
    rows.begin(), rows.end(), [&](const engine_row& aRow) { return aRow.mName == aEngine.mName; });
  if (row == rows.end() || row->mIntent == engine_intent::Drain) {
    return std::nullopt;
  }
  switch (aEngine.mStatus) {
    case engine_status::Absent:
      if (history == nullptr || aQuestion.mNow - history->mStatusSince > mSettings.mAbsentWait) {
        return std::nullopt;
      }
      break;
    case engine_status::Draining:
    case engine_status::Drained:
    case engine_status::Changing:
      // Another data centre's holder changes it; a change of role is the usual reason.
      if (begun == nullptr && aEngine.mRole != engine_role::Both &&
          aEngine.mDataCentre != aQuestion.mDataCentre) {
        return aEngine.mRole == engine_role::Prefill ? engine_role::Decode : engine_role::Prefill;
      }
      break;
    default:
      break;
  }
  return begun != nullptr ? begun->mRole : aEngine.mRole;
}

role_counts
role_planner::Counts(std::span<const engine_view* const> aEngines, const question& aQuestion) const
{
  role_counts counts;
  for (const engine_view* engine : aEngines) {
    const auto role = CountedRole(*engine, aQuestion);
    counts.mPrefill += role == engine_role::Prefill ? 1 : 0;
    counts.mDecode += role == engine_role::Decode ? 1 : 0;
    counts.mBoth += role == engine_role::Both ? 1 : 0;
  }
  return counts;
}

role_needs
role_planner::Needs(const engine_group& aGroup,
                    std::chrono::milliseconds aWindow,
                    instant aNow) const
{
  const double prefillRate = MeanRate(aGroup.mEngines, &engine_report::mPrefillTokensPerSecond);
  const double decodeRate = MeanRate(aGroup.mEngines, &engine_report::mDecodeTokensPerSecond);
  if (prefillRate <= 0 || decodeRate <= 0) {
    return {};
  }
  token_rate done;
  double waitingPrompt = 0;
  double streams = 0;
  for (const engine_view* engine : aGroup.mEngines) {
    if (const engine_history* history = Find(engine->mName)) {
      const token_rate rate = history->mRates.Over(aWindow, aNow);
      done.mPrompt += rate.mPrompt;
      done.mOutput += rate.mOutput;
    }
    if (engine->mStatus != engine_status::Absent) {
      waitingPrompt += static_cast<double>(engine->mReport.mQueuedPromptTokens);
      streams += static_cast<double>(engine->mReport.mDecodeStreams);
    }
  }
  const double queueSeconds = Seconds(mSettings.mQueueTime);
  // Prompts that wait inside engines will produce output in the ratio seen until now.
  const double outputPerPrompt = done.mPrompt > 0 ? done.mOutput / done.mPrompt : 0;
  double prompt = done.mPrompt + waitingPrompt / queueSeconds;
  // Streams that are slower than the limit need more than what is generated now.
  double output = std::max(done.mOutput, streams / Seconds(mSettings.mTokenLimit)) +
                  waitingPrompt * outputPerPrompt / queueSeconds;
  const auto waiting = mQueued.find(aGroup.mService->mName);
  if (waiting != mQueued.end() && aNow - waiting->second.mAt < kQueuedLifetime) {
    prompt += static_cast<double>(waiting->second.mPromptTokens) / queueSeconds;
    output += static_cast<double>(waiting->second.mOutputTokens) / queueSeconds;
  }
  return { prompt / prefillRate, output / decodeRate };
}

double
role_planner::Gain(const role_counts& aCounts, engine_role aFrom, const role_needs& aNeeds) const
{
  const double now = ServedShare(aCounts, aNeeds, mSettings.mTargetUse);
  const double during = ServedShare(Without(aCounts, aFrom), aNeeds, mSettings.mTargetUse);
  const double after = ServedShare(Moved(aCounts, aFrom), aNeeds, mSettings.mTargetUse);
  const double out = Seconds(std::min(mSettings.mChangeTime, mSettings.mHorizon));
  return (Seconds(mSettings.mHorizon) - out) * (after - now) + out * (during - now);
}

bool
role_planner::Pays(const role_counts& aCounts,
                   engine_role aFrom,
                   const role_needs& aShort,
                   const role_needs& aLong,
                   double aPrice) const
{
  const double left = aFrom == engine_role::Prefill ? aCounts.mPrefill : aCounts.mDecode;
  return left >= 1 && Gain(aCounts, aFrom, aShort) > aPrice && Gain(aCounts, aFrom, aLong) > 0;
}

std::uint64_t
role_planner::MovesThatPay(role_counts aCounts,
                           engine_role aFrom,
                           const role_needs& aShort,
                           const role_needs& aLong,
                           double aPrice) const
{
  std::uint64_t moves = 0;
  while (Pays(aCounts, aFrom, aShort, aLong, aPrice)) {
    aCounts = Moved(aCounts, aFrom);
    ++moves;
  }
  return moves;
}

} // namespace skylarkwind
