#include "skylarkwind/role_planner.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// Queue figures older than this are ignored.
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

/// Mean rate of the engines that report one; 0 if none does.
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
role_planner::CountedRole(const engine_view& aEngine, const plan_request& aRequest) const
{
  const started_change* started = StartedChangeFor(aEngine.mName);
  const engine_history* history = Find(aEngine.mName);
  const auto rows = aRequest.mTable.Engines();
  const auto row = std::find_if(
    rows.begin(), rows.end(), [&](const engine_row& aRow) { return aRow.mName == aEngine.mName; });
  if (row == rows.end() || row->mIntent == engine_intent::Drain) {
    return std::nullopt;
  }
  switch (aEngine.mStatus) {
    case engine_status::Absent:
      if (history == nullptr || aRequest.mNow - history->mStatusSince > mSettings.mAbsentTimeout) {
        return std::nullopt;
      }
      break;
    case engine_status::Draining:
    case engine_status::Drained:
    case engine_status::Changing:
      // The lease holder of another data centre changes it, most likely to the opposite role.
      if (started == nullptr && aEngine.mRole != engine_role::Both &&
          aEngine.mDataCentre != aRequest.mDataCentre) {
        return aEngine.mRole == engine_role::Prefill ? engine_role::Decode : engine_role::Prefill;
      }
      break;
    default:
      break;
  }
  return started != nullptr ? started->mRole : aEngine.mRole;
}

role_counts
role_planner::Counts(std::span<const engine_view* const> aEngines,
                     const plan_request& aRequest) const
{
  role_counts counts;
  for (const engine_view* engine : aEngines) {
    const auto role = CountedRole(*engine, aRequest);
    counts.mPrefill += role == engine_role::Prefill ? 1 : 0;
    counts.mDecode += role == engine_role::Decode ? 1 : 0;
    counts.mBoth += role == engine_role::Both ? 1 : 0;
  }
  return counts;
}

role_demand
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
      const token_rate rate = history->mRates.MeanOver(aWindow, aNow);
      done.mPrompt += rate.mPrompt;
      done.mOutput += rate.mOutput;
    }
    if (engine->mStatus != engine_status::Absent) {
      waitingPrompt += static_cast<double>(engine->mReport.mQueuedPromptTokens);
      streams += static_cast<double>(engine->mReport.mDecodeStreams);
    }
  }
  const double queueSeconds = Seconds(mSettings.mQueueDrainTime);
  // Prompts queued in engines are expected to produce output in the ratio measured so far.
  const double outputPerPrompt = done.mPrompt > 0 ? done.mOutput / done.mPrompt : 0;
  double prompt = done.mPrompt + waitingPrompt / queueSeconds;
  // Streams that are slower than the token interval limit need more decode capacity than the
  // measured output shows.
  double output = std::max(done.mOutput, streams / Seconds(mSettings.mMaxTokenInterval)) +
                  waitingPrompt * outputPerPrompt / queueSeconds;
  const auto waiting = mQueued.find(aGroup.mService->mName);
  if (waiting != mQueued.end() && aNow - waiting->second.mAt < kQueuedLifetime) {
    prompt += static_cast<double>(waiting->second.mPromptTokens) / queueSeconds;
    output += static_cast<double>(waiting->second.mOutputTokens) / queueSeconds;
  }
  return { prompt / prefillRate, output / decodeRate };
}

double
role_planner::GoodputGain(const role_counts& aCounts,
                          engine_role aFrom,
                          const role_demand& aNeeds) const
{
  const double now = ServableFraction(aCounts, aNeeds, mSettings.mTargetUtilisation);
  const double during =
    ServableFraction(Without(aCounts, aFrom), aNeeds, mSettings.mTargetUtilisation);
  const double after =
    ServableFraction(Moved(aCounts, aFrom), aNeeds, mSettings.mTargetUtilisation);
  const double out = Seconds(std::min(mSettings.mRoleChangeTime, mSettings.mHorizon));
  return (Seconds(mSettings.mHorizon) - out) * (after - now) + out * (during - now);
}

double
role_planner::EstimateTotalWork(const role_counts& aCounts,
                                const role_demand& aNeeds,
                                const std::deque<work_sample>& aSamples) const
{
  const double measured = aNeeds.mPrefill + aNeeds.mDecode;
  const auto use = [](double aNeed, double aEngines) {
    return aEngines > 0 ? aNeed / aEngines : 1;
  };
  const double busiest = std::max(use(aNeeds.mPrefill, aCounts.mPrefill + aCounts.mBoth),
                                  use(aNeeds.mDecode, aCounts.mDecode + aCounts.mBoth));
  const double part = std::clamp((busiest - mSettings.mBusyUtilisation) /
                                   (mSettings.mFullUtilisation - mSettings.mBusyUtilisation),
                                 0.0,
                                 1.0);
  double peak = measured;
  bool alwaysBusy = !aSamples.empty() && aSamples.back().mAt - aSamples.front().mAt >=
                                           mSettings.mPeakTime - mSettings.mShortWindow;
  for (const work_sample& each : aSamples) {
    peak = std::max(peak, each.mMeasured);
    alwaysBusy = alwaysBusy && each.mTotal > each.mMeasured;
  }
  // If a role was busy all the time, the measured peak is limited by that role's capacity.
  peak = std::max(peak, alwaysBusy ? measured * (1 + mSettings.mRefusedWorkShare) : 0);
  // A busy sample is marked by a total above the measured work, so the total is always raised by at
  // least a tiny amount.
  constexpr double kBusyMark = 1e-9;
  return measured + part * (peak - measured + kBusyMark);
}

const std::deque<role_planner::work_sample>&
role_planner::Measure(const engine_group& aGroup, const role_counts& aCounts, instant aNow)
{
  auto& samples = mWork[aGroup.mService->mName + "/" + aGroup.mModel];
  const role_demand needs = Needs(aGroup, mSettings.mShortWindow, aNow);
  const double measured = needs.mPrefill + needs.mDecode;
  const double part = measured > 0 ? needs.mPrefill / measured : 0;
  samples.push_back({ aNow, measured, EstimateTotalWork(aCounts, needs, samples), part, {} });
  while (samples.front().mAt < aNow - mSettings.mPeakTime) {
    samples.pop_front();
  }
  work_sample& last = samples.back();
  const double forecast = ForecastPrefillShare(samples);
  last.mForecast = { last.mTotal * forecast, last.mTotal * (1 - forecast) };
  return samples;
}

double
role_planner::ForecastPrefillShare(const std::deque<work_sample>& aSamples) const
{
  const work_sample& now = aSamples.back();
  const auto then = std::find_if(aSamples.begin(), aSamples.end(), [&](const work_sample& aEach) {
    return aEach.mTotal > 0 && aEach.mAt >= now.mAt - mSettings.mTrendTime;
  });
  const double time = then == aSamples.end() ? 0 : Seconds(now.mAt - then->mAt);
  if (time < Seconds(mSettings.mTrendTime) / 2) {
    return now.mPrefillShare;
  }
  const double trend = (now.mPrefillShare - then->mPrefillShare) / time;
  const double change =
    std::clamp(trend * Seconds(mSettings.mLookahead), -mSettings.mMaxTrend, mSettings.mMaxTrend);
  return std::clamp(now.mPrefillShare + change, 0.0, 1.0);
}

int
role_planner::CountReversals(const std::deque<work_sample>& aSamples) const
{
  const instant since = aSamples.back().mAt - mSettings.mLongWindow;
  double low = 1;
  double high = 0;
  int direction = 0;
  int turns = 0;
  for (const work_sample& each : aSamples) {
    if (each.mAt < since || each.mTotal <= 0) {
      continue;
    }
    low = std::min(low, each.mPrefillShare);
    high = std::max(high, each.mPrefillShare);
    const bool rose = direction <= 0 && each.mPrefillShare > low + mSettings.mReversalThreshold;
    const bool fell = direction >= 0 && each.mPrefillShare < high - mSettings.mReversalThreshold;
    if (rose || fell) {
      turns += direction != 0 ? 1 : 0;
      direction = rose ? 1 : -1;
      low = each.mPrefillShare;
      high = each.mPrefillShare;
    }
  }
  return turns;
}

double
role_planner::SustainedGain(const role_counts& aCounts,
                            engine_role aFrom,
                            const std::deque<work_sample>& aSamples) const
{
  const double left = aFrom == engine_role::Prefill ? aCounts.mPrefill : aCounts.mDecode;
  const auto persistence =
    CountReversals(aSamples) >= 2 ? mSettings.mPersistence : mSettings.mBriefPersistence;
  const instant since = aSamples.back().mAt - persistence;
  if (left < 1 || aSamples.front().mAt > since) {
    return 0;
  }
  double least = GoodputGain(aCounts, aFrom, aSamples.back().mForecast);
  for (const work_sample& each : aSamples) {
    if (each.mAt >= since) {
      least = std::min(least, GoodputGain(aCounts, aFrom, each.mForecast));
    }
  }
  return least;
}

std::uint64_t
role_planner::CountProfitableMoves(role_counts aCounts,
                                   engine_role aFrom,
                                   const std::deque<work_sample>& aSamples,
                                   double aPrice) const
{
  std::uint64_t moves = 0;
  while (SustainedGain(aCounts, aFrom, aSamples) > aPrice) {
    aCounts = Moved(aCounts, aFrom);
    ++moves;
  }
  return moves;
}

} // namespace skylarkwind
