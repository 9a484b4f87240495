#pragma once

#include "../packages/core/tests/fake_membership.h"
#include "flow_engine.h"

#include "skylarkwind/fleet.h"
#include "skylarkwind/membership.h"

#include <array>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace skylarkwind::flow {

inline instant
At(double aSeconds)
{
  return instant{ std::chrono::seconds{ 1'000 } } +
         std::chrono::milliseconds{ std::llround(aSeconds * 1'000) };
}

/// How a daemon picks an engine.
struct routing
{
  bool mLeastLoaded = false;     ///< the least loaded of all engines, not of two drawn ones
  bool mImmediateReturn = false; ///< a returned engine takes any amount of work at once
};

/// One daemon: the real fleet class, and a router that knows its own open work exactly and that of
/// the other daemons from lagged reports.
class daemon
{
public:
  static constexpr double kLongestWait = 0.45; ///< in a queue; longer waits miss the first token
  static constexpr double kStreamsAtLimit = kDecodeRate * kTokenLimit;

  daemon(int aIndex, std::size_t aEngines, routing aRouting, std::uint64_t aSeed)
    : mMembers(std::make_unique<fake_membership>(
        fake_membership::Numbered(kDaemons, static_cast<std::size_t>(aIndex))))
    , mRouting(aRouting)
    , mRandom(aSeed * 100 + static_cast<std::uint64_t>(aIndex))
    , mOwn(aEngines)
    , mPast(aEngines)
  {
    fleet_settings settings;
    settings.mSelf = mMembers->Self();
    settings.mDataCentre = "dc" + std::to_string(aIndex % kDataCentres);
    settings.mRandomSeed = aSeed;
    mFleet = *fleet::Create(settings, *mMembers);
  }

  enum class answer
  {
    Sent,
    Wait,
    Refuse
  };

  /// Chooses an engine for a new request.
  answer RoutePrompt(const request& aRequest,
                     const std::string& aService,
                     double aNow,
                     int& aEngine)
  {
    const auto open = Open(engine_role::Prefill, aService);
    if (open.empty()) {
      return aNow - aRequest.mQueuedAt > kLongestWait ? answer::Refuse : answer::Wait;
    }
    // Refuses a growing share as the limits are about to be missed.
    const double late =
      std::max((PromptWait(open) - 0.25) / 0.4, (StreamPressure(aService) - 0.8) / 0.3);
    if (std::uniform_real_distribution<double>(0, 1)(mRandom) < late) {
      return answer::Refuse;
    }
    aEngine = Pick(open);
    return answer::Sent;
  }

  answer RouteStream(const std::string& aService, int& aEngine)
  {
    const auto open = Open(engine_role::Decode, aService);
    if (open.empty()) {
      return answer::Wait;
    }
    aEngine = Pick(open);
    return answer::Sent;
  }

  void Sent(int aEngine, double aPrompt, double aStreams, double aNow)
  {
    Add(aEngine, aPrompt, aStreams);
    mFleet->OnAttemptStarted(mFleet->Engines()[Index(aEngine)].mName, At(aNow));
  }

  void Ended(int aEngine, double aPrompt, double aStreams, bool aHealthy, double aNow)
  {
    Add(aEngine, -aPrompt, -aStreams);
    mFleet->OnAttemptEnded(mFleet->Engines()[Index(aEngine)].mName,
                           aHealthy ? attempt_health::Answered : attempt_health::Failed,
                           At(aNow));
  }

  /// A mixed engine goes on with the stream of a prompt that it has computed.
  void Add(int aEngine, double aPrompt, double aStreams)
  {
    mOwn[Index(aEngine)].mPrompt += aPrompt;
    mOwn[Index(aEngine)].mStreams += aStreams;
  }

  void EndTick()
  {
    for (std::size_t i = 0; i < mOwn.size(); ++i) {
      mPast[i][mTicks % kPast] = mOwn[i];
    }
    ++mTicks;
  }

  std::unique_ptr<fake_membership> mMembers;
  std::unique_ptr<fleet> mFleet;
  std::deque<int> mPrompts;
  std::deque<int> mStreams;

private:
  struct load
  {
    double mPrompt = 0; ///< tokens
    double mStreams = 0;
  };
  static constexpr std::size_t kPast = 100;

  static std::size_t Index(int aEngine) { return static_cast<std::size_t>(aEngine); }

  bool Admits(const engine_view& aView) const
  {
    const bool returning =
      aView.mStatus == engine_status::Warming || aView.mStatus == engine_status::Ramping;
    return aView.Admits() || (mRouting.mImmediateReturn && returning);
  }

  std::vector<int> Open(engine_role aRole, const std::string& aService) const
  {
    std::vector<int> open;
    const auto views = mFleet->Engines();
    for (std::size_t i = 0; i < views.size(); ++i) {
      const bool able = views[i].mRole == aRole || views[i].mRole == engine_role::Both;
      if (able && views[i].mService == aService && Admits(views[i])) {
        open.push_back(static_cast<int>(i));
      }
    }
    return open;
  }

  load Estimate(int aEngine) const
  {
    const engine_view& view = mFleet->Engines()[Index(aEngine)];
    const load& own = mOwn[Index(aEngine)];
    if (view.mReport.mName.empty()) {
      return own;
    }
    const double sampled = std::chrono::duration<double>(view.mReportSampledAt - At(0)).count();
    const auto tick = static_cast<std::int64_t>(sampled / kTick);
    const bool kept =
      tick >= 0 && static_cast<std::int64_t>(mTicks) - tick < static_cast<std::int64_t>(kPast);
    const load then = kept ? mPast[Index(aEngine)][static_cast<std::size_t>(tick) % kPast] : own;
    return { own.mPrompt +
               std::max(0.0, static_cast<double>(view.mReport.mQueuedPromptTokens) - then.mPrompt),
             own.mStreams +
               std::max(0.0, static_cast<double>(view.mReport.mDecodeStreams) - then.mStreams) };
  }

  /// Mean time that a prompt would wait, if the other daemons have as much open as this one. The
  /// queues in the reports are one to two seconds old, ten times as old as a queue lasts.
  double PromptWait(const std::vector<int>& aOpen) const
  {
    double tokens = 0;
    for (const int each : aOpen) {
      tokens += mOwn[Index(each)].mPrompt * kDaemons;
    }
    return tokens / kPrefillRate / static_cast<double>(aOpen.size());
  }

  /// Load in the sense of both limits. A prompt queue lasts a tenth of the lag of the reports, so
  /// what they say of it counts only in the variant that trusts them; streams last for seconds.
  double Score(int aEngine) const
  {
    const load estimate = Estimate(aEngine);
    const double prompt = mRouting.mLeastLoaded ? estimate.mPrompt : mOwn[Index(aEngine)].mPrompt;
    return prompt / kPrefillRate + estimate.mStreams / kStreamsAtLimit;
  }

  double StreamPressure(const std::string& aService) const
  {
    double streams = 0;
    double engines = 0;
    const auto views = mFleet->Engines();
    for (std::size_t i = 0; i < views.size(); ++i) {
      if (views[i].mService == aService && views[i].mRole != engine_role::Prefill &&
          views[i].mStatus == engine_status::Serving) {
        streams += Estimate(static_cast<int>(i)).mStreams;
        engines += 1;
      }
    }
    return engines > 0 ? streams / engines / kStreamsAtLimit : 0;
  }

  int Least(const std::vector<int>& aOpen) const
  {
    return *std::min_element(aOpen.begin(), aOpen.end(), [this](int aLeft, int aRight) {
      return Score(aLeft) < Score(aRight);
    });
  }

  int Pick(const std::vector<int>& aOpen)
  {
    if (mRouting.mLeastLoaded || aOpen.size() == 1) {
      return Least(aOpen);
    }
    std::uniform_int_distribution<std::size_t> draw(0, aOpen.size() - 1);
    const int first = aOpen[draw(mRandom)];
    const int second = aOpen[draw(mRandom)];
    return Score(first) <= Score(second) ? first : second;
  }

  routing mRouting;
  std::mt19937_64 mRandom;
  std::vector<load> mOwn;
  std::vector<std::array<load, kPast>> mPast;
  std::size_t mTicks = 0;
};

} // namespace skylarkwind::flow
