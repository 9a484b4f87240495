#pragma once

#include "flow_workload.h"

#include "skylarkwind/backend_calls.h"

#include <array>
#include <deque>
#include <string>
#include <vector>

namespace skylarkwind::flow {

struct request
{
  arrival mShape;
  double mLeft = 0;        ///< tokens left in the present phase
  double mFirstToken = -1; ///< when the first output token came
  double mQueuedAt = 0;    ///< when it entered the daemon's queue of its phase
  bool mGood = false;
};

/// An engine as two rates with queues: prompts one after the other, streams side by side.
class engine
{
public:
  std::string mName;
  int mDataCentre = 0;
  int mService = 0;
  engine_role mRole = engine_role::Both;
  bool mUp = true;
  std::uint64_t mIncarnation = 1;
  std::string mOrder;
  engine_role mNextRole = engine_role::Both;
  double mChangeUntil = -1; ///< a change of role is under way until then
  std::deque<int> mPrompts;
  std::vector<int> mStreams;

  bool Idle() const { return mPrompts.empty() && mStreams.empty(); }
  bool Changing() const { return mChangeUntil >= 0; }

  /// Works for one tick. Prompts and streams that ended are appended to the lists.
  void Work(std::vector<request>& aRequests,
            double aNow,
            std::vector<int>& aPrefilled,
            std::vector<int>& aFinished)
  {
    if (Changing() && aNow >= mChangeUntil) {
      mChangeUntil = -1;
      mRole = mNextRole;
    }
    if (mUp && !Changing()) {
      const double share = mRole == engine_role::Both && !mStreams.empty() ? 0.5 : 1;
      const double used = mRole == engine_role::Decode ? 0 : Prefill(aRequests, share, aPrefilled);
      Decode(aRequests, 1 - used, aNow, aFinished);
    }
    Sample(aRequests);
  }

  /// The report that the engine gives now; its load figures are one second old.
  engine_report Report(const std::string& aService) const
  {
    const sample& old = mSamples[mTicks % kLag]; // the oldest of the ring
    engine_report report;
    report.mName = mName;
    report.mIncarnation = mIncarnation;
    report.mService = aService;
    report.mRole = mRole;
    report.mModel = "m-" + aService;
    report.mVersion = "1";
    report.mActivity =
      Changing() ? engine_report::activity::Changing : engine_report::activity::Ready;
    report.mOrder = mOrder;
    report.mRunning = old.mRunning;
    report.mQueuedPromptTokens = old.mQueuedPrompt;
    report.mDecodeStreams = old.mStreams;
    report.mSampleAge = std::chrono::milliseconds{ 1'000 };
    report.mPromptTokensTotal = old.mPromptTotal;
    report.mOutputTokensTotal = old.mOutputTotal;
    report.mPrefillTokensPerSecond = kPrefillRate;
    report.mDecodeTokensPerSecond = kDecodeRate;
    return report;
  }

  void Crash()
  {
    mUp = false;
    mChangeUntil = -1;
    mPrompts.clear();
    mStreams.clear();
  }

  void Restart()
  {
    mUp = true;
    ++mIncarnation;
    mPromptTotal = 0;
    mOutputTotal = 0;
    mSamples.fill({});
  }

private:
  static constexpr std::size_t kLag = 20; ///< ticks in one second
  struct sample
  {
    std::uint64_t mRunning = 0;
    std::uint64_t mQueuedPrompt = 0;
    std::uint64_t mStreams = 0;
    std::uint64_t mPromptTotal = 0;
    std::uint64_t mOutputTotal = 0;
  };

  /// Returns the share of the tick that was used.
  double Prefill(std::vector<request>& aRequests, double aShare, std::vector<int>& aPrefilled)
  {
    const double budget = kPrefillRate * kTick * aShare;
    double left = budget;
    while (left > 0 && !mPrompts.empty()) {
      request& first = aRequests[static_cast<std::size_t>(mPrompts.front())];
      const double done = std::min(left, first.mLeft);
      first.mLeft -= done;
      left -= done;
      mPromptTotal += done;
      if (first.mLeft <= 0) {
        aPrefilled.push_back(mPrompts.front());
        mPrompts.pop_front();
      }
    }
    return (budget - left) / (kPrefillRate * kTick);
  }

  void Decode(std::vector<request>& aRequests,
              double aShare,
              double aNow,
              std::vector<int>& aFinished)
  {
    if (mStreams.empty()) {
      return;
    }
    const double each = std::min(
      kStreamRate * kTick, aShare * kDecodeRate * kTick / static_cast<double>(mStreams.size()));
    std::erase_if(mStreams, [&](int aStream) {
      request& stream = aRequests[static_cast<std::size_t>(aStream)];
      if (stream.mFirstToken < 0 && stream.mShape.mOutput - stream.mLeft + each >= 1) {
        stream.mFirstToken = aNow;
      }
      const double done = std::min(each, stream.mLeft);
      stream.mLeft -= done;
      mOutputTotal += done;
      if (stream.mLeft <= 0) {
        aFinished.push_back(aStream);
        return true;
      }
      return false;
    });
  }

  void Sample(const std::vector<request>& aRequests)
  {
    double queued = 0;
    for (const int prompt : mPrompts) {
      queued += aRequests[static_cast<std::size_t>(prompt)].mLeft;
    }
    mSamples[mTicks % kLag] = { mPrompts.size() + mStreams.size(),
                                static_cast<std::uint64_t>(queued),
                                mStreams.size(),
                                static_cast<std::uint64_t>(mPromptTotal),
                                static_cast<std::uint64_t>(mOutputTotal) };
    ++mTicks;
  }

  double mPromptTotal = 0;
  double mOutputTotal = 0;
  std::size_t mTicks = 0;
  std::array<sample, kLag> mSamples{};
};

} // namespace skylarkwind::flow
