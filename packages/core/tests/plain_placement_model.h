#pragma once

#include "skylarkwind/load_aggregator.h"
#include "skylarkwind/placement.h"
#include "skylarkwind/request_cost.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace skylarkwind {

/// What goes wrong in a run of the model, at server "s1" from 5 s on.
enum class server_fault
{
  None,
  Slow,    ///< work takes 7.5 times as long
  Failing, ///< half of the requests fail at once
};

struct plain_model_settings
{
  bool mNewRule = true;
  server_fault mFault = server_fault::None;
  double mLoad = 0.5;  ///< of all slots, outside bursts
  double mBurst = 1.7; ///< factor on the rate for 3 s out of 10
  std::uint32_t mSeed = 1;
  bool mReportsLoad = true;
  bool mReportsWorkTime = false;
  double mTargetMs = 150;
  double mLogMedian = std::log(42.0);
  double mLogSpread = 0.21;
};

struct plain_model_result
{
  std::size_t mRequests = 0;
  std::size_t mLate = 0; ///< later than the target, failed ones included
  std::size_t mFailed = 0;
  std::size_t mRefused = 0;
  std::size_t mAtFaulty = 0;  ///< attempts sent to "s1" since its fault
  std::size_t mLateAfter = 0; ///< late from 2 s after the fault on
  std::size_t mRequestsAfter = 0;
  double LateShare() const { return static_cast<double>(mLate) / static_cast<double>(mRequests); }
};

/// 40 daemons in front of 3 plain servers of 6 slots, in three data centres. Daemons exchange load
/// through one collector: reports every 60 ms, sums with the same delay. The rule in use before is
/// kept here, so that both can be compared in one run.
class plain_model
{
public:
  explicit plain_model(plain_model_settings aSettings)
    : mSettings(aSettings)
    , mRandom(aSettings.mSeed)
  {
    mService.mName = "plain";
    mRoute.mName = "plain";
    mRoute.mKind = route_kind::Idempotent;
    mRoute.mTargetLatency = std::chrono::milliseconds{ 150 };
    for (int i = 0; i < 3; ++i) {
      backend_server server;
      server.mId = "s" + std::to_string(i);
      server.mService = "plain";
      server.mSlots = kSlots;
      server.mDataCentre = "dc" + std::to_string(i);
      mBackends.push_back(server);
    }
    for (const auto& server : mBackends) {
      mUsable.push_back(&server);
    }
    mServers.resize(mBackends.size());
    for (std::uint32_t i = 0; i < kDaemons; ++i) {
      auto& daemon = *mDaemons.emplace_back(std::make_unique<daemon_model>());
      daemon.mDataCentre = "dc" + std::to_string(i % 3);
      daemon.mTracker.SetFleet(i + 1, kDaemons);
      placement_settings settings;
      settings.mDataCentre = daemon.mDataCentre;
      daemon.mPlacer =
        std::make_unique<placer>(settings, daemon.mTracker, mPrefixes, mEngineModels);
    }
  }

  plain_model_result Run(std::chrono::seconds aTime)
  {
    const double end = std::chrono::duration<double, std::milli>{ aTime }.count();
    const double meanMs =
      std::exp(mSettings.mLogMedian + mSettings.mLogSpread * mSettings.mLogSpread / 2) * 1.04;
    const double rate = mSettings.mLoad * 3 * kSlots / meanMs;
    double next = 0;
    double nextExchange = 0;
    while (next < end || !mDone.empty()) {
      const double done = mDone.empty() ? end * 10 : mDone.top().first;
      if (next < end && next <= done && next <= nextExchange) {
        mNowMs = next;
        Arrive();
        const bool burst = std::fmod(next, 10'000) > 7'000;
        next +=
          std::exponential_distribution<double>{ rate * (burst ? mSettings.mBurst : 1) }(mRandom);
      } else if (nextExchange <= done && nextExchange < end) {
        mNowMs = nextExchange;
        Exchange();
        nextExchange += 60;
      } else {
        mNowMs = done;
        const auto request = mDone.top().second;
        mDone.pop();
        Finish(request);
      }
    }
    return mResult;
  }

private:
  static constexpr std::uint32_t kSlots = 6;
  static constexpr std::uint32_t kDaemons = 40;
  static constexpr double kFaultMs = 5'000;
  struct daemon_model
  {
    std::string mDataCentre;
    backend_load_tracker mTracker{ backend_load_tracker_settings{} };
    request_cost mCost;
    std::unique_ptr<placer> mPlacer;
    std::uint64_t mSequence = 0;
    std::vector<dispatched_load> mReported;
  };
  struct request
  {
    std::uint32_t mDaemon = 0;
    double mArrivedMs = 0;
    double mSentMs = 0;
    double mWorkMs = 0;
    std::size_t mServer = 0;
    bool mFails = false;
    int mAttempts = 0;
    backend_load_tracker::ticket mTicket = 0;
    placement mPlacement;
    std::vector<std::string> mExcluded;
  };
  struct server_model
  {
    std::uint32_t mRunning = 0;
    std::deque<std::size_t> mWaiting;
  };

  instant Now() const
  {
    return instant{ std::chrono::seconds{ 1'000 } } +
           std::chrono::duration_cast<instant::duration>(
             std::chrono::duration<double, std::milli>{ mNowMs });
  }

  bool Faulty(std::size_t aServer) const { return aServer == 1 && mNowMs >= kFaultMs; }

  void Arrive()
  {
    request arrived;
    arrived.mDaemon = static_cast<std::uint32_t>(mRandom() % kDaemons);
    arrived.mArrivedMs = mNowMs;
    const bool isLong = std::uniform_real_distribution<double>{}(mRandom) < 0.01;
    arrived.mWorkMs =
      std::lognormal_distribution<double>{ mSettings.mLogMedian, mSettings.mLogSpread }(mRandom) *
      (isLong ? 5 : 1);
    mRequests.push_back(arrived);
    ++mResult.mRequests;
    if (mNowMs > kFaultMs + 2'000) {
      ++mResult.mRequestsAfter;
    }
    Send(mRequests.size() - 1);
  }

  /// The rule before: requests in flight times 30 ms.
  const backend_server* PlaceBefore(daemon_model& aDaemon, const request& aRequest)
  {
    const backend_server* best = nullptr;
    double bestCost = 1e9;
    for (const auto* server : mUsable) {
      const auto view = aDaemon.mTracker.View(server->mId, Now());
      if (!view.mAdmits ||
          std::find(aRequest.mExcluded.begin(), aRequest.mExcluded.end(), server->mId) !=
            aRequest.mExcluded.end()) {
        continue;
      }
      const double over = std::max(0.0, static_cast<double>(view.mRunning) - kSlots);
      const double cost = view.mRunning * 30.0 / kSlots + over * 30 +
                          (server->mDataCentre == aDaemon.mDataCentre ? 0 : 25) +
                          view.mFailureRatio * 400;
      if (cost < bestCost) {
        bestCost = cost;
        best = server;
      }
    }
    return best;
  }

  void Send(std::size_t aRequest)
  {
    auto& sent = mRequests[aRequest];
    auto& daemon = *mDaemons[sent.mDaemon];
    const backend_server* target = nullptr;
    if (mSettings.mNewRule) {
      placement_query query;
      query.mRoute = &mRoute;
      query.mService = &mService;
      query.mServers = mUsable;
      query.mExcludedIds = sent.mExcluded;
      query.mTimeLeft = std::chrono::milliseconds{ 2'000 };
      query.mRandomBits = (static_cast<std::uint64_t>(mDecisions()) << 32U) + mDecisions();
      query.mServiceTime = daemon.mCost.ServiceTime("plain", "a");
      const auto placed = daemon.mPlacer->Place(query, Now());
      if (const auto* chosen = std::get_if<placement>(&placed)) {
        sent.mPlacement = *chosen;
        target = chosen->mTarget;
      }
    } else {
      target = PlaceBefore(daemon, sent);
    }
    if (target == nullptr) {
      ++mResult.mRefused;
      Late();
      return;
    }
    sent.mServer = static_cast<std::size_t>(target - mBackends.data());
    sent.mSentMs = mNowMs;
    ++sent.mAttempts;
    sent.mFails = Faulty(sent.mServer) && mSettings.mFault == server_fault::Failing &&
                  std::uniform_real_distribution<double>{}(mDecisions) < 0.5;
    mResult.mAtFaulty += Faulty(sent.mServer) ? 1 : 0;
    sent.mTicket =
      mSettings.mNewRule
        ? daemon.mTracker.BeginPlain(
            target->mId, *sent.mPlacement.mService, sent.mPlacement.mPrefillTime, Now())
        : daemon.mTracker.Begin(target->mId, 0, {}, Now());
    auto& server = mServers[sent.mServer];
    if (server.mRunning < kSlots) {
      Start(aRequest);
    } else {
      server.mWaiting.push_back(aRequest);
    }
  }

  double Speed(std::size_t aServer) const
  {
    return Faulty(aServer) && mSettings.mFault == server_fault::Slow ? 7.5 : 1;
  }

  void Start(std::size_t aRequest)
  {
    const auto& started = mRequests[aRequest];
    ++mServers[started.mServer].mRunning;
    mDone.push(
      { mNowMs + started.mWorkMs * (started.mFails ? 0.1 : Speed(started.mServer)), aRequest });
  }

  void Late()
  {
    ++mResult.mLate;
    mResult.mLateAfter += mNowMs > kFaultMs + 2'000 ? 1 : 0;
  }

  void Finish(std::size_t aRequest)
  {
    auto& ended = mRequests[aRequest];
    auto& server = mServers[ended.mServer];
    --server.mRunning;
    if (!server.mWaiting.empty()) {
      const auto next = server.mWaiting.front();
      server.mWaiting.pop_front();
      Start(next);
    }
    auto& daemon = *mDaemons[ended.mDaemon];
    const auto& id = mBackends[ended.mServer].mId;
    backend_load load{ server.mRunning,
                       static_cast<std::uint32_t>(server.mWaiting.size()),
                       kSlots,
                       mSettings.mReportsWorkTime
                         ? static_cast<std::uint32_t>(100 * Speed(ended.mServer))
                         : 0 };
    if (mSettings.mReportsLoad) {
      daemon.mTracker.OnLoad(id, load, Now());
    }
    if (ended.mFails) {
      if (mSettings.mNewRule) {
        daemon.mTracker.OnUnservedResponse(ended.mTicket, Now());
      }
      daemon.mTracker.End(ended.mTicket, backend_outcome::Failed, Now());
      ended.mExcluded.push_back(id);
      if (ended.mAttempts < 3) {
        Send(aRequest);
      } else {
        ++mResult.mFailed;
        Late();
      }
      return;
    }
    daemon.mTracker.OnFirstResponse(ended.mTicket, Now());
    daemon.mTracker.End(ended.mTicket, backend_outcome::Answered, Now());
    if (mSettings.mNewRule &&
        ended.mPlacement.mWait.count() <= 0.25 * ended.mPlacement.mService->MedianMs()) {
      daemon.mCost.OnServed("plain",
                            "a",
                            std::chrono::duration<double, std::milli>{ (mNowMs - ended.mSentMs) /
                                                                       ended.mPlacement.mWorkTime },
                            Now());
    }
    if (mNowMs - ended.mArrivedMs > mSettings.mTargetMs) {
      Late();
    }
  }

  /// The sums of the previous exchange arrive, and the reports of this one are sent.
  void Exchange()
  {
    for (std::size_t i = 0; i < mDaemons.size(); ++i) {
      auto& daemon = *mDaemons[i];
      for (auto others : mFleet) {
        for (const auto& own : daemon.mReported) {
          if (own.mBackend == others.mBackend) {
            others.mRunning -= std::min(others.mRunning, own.mRunning);
          }
        }
        daemon.mTracker.OnPeerLoad(others, Now());
      }
      load_report report;
      report.mSender.mName = "d" + std::to_string(i);
      report.mSender.mStart = i + 1;
      report.mSequence = ++daemon.mSequence;
      report.mDispatchedLoad = daemon.mTracker.OwnLoad(Now());
      report.mRecords = daemon.mTracker.OwnStatistics(Now());
      daemon.mReported = report.mDispatchedLoad;
      mCollector.OnReport(report, Now());
    }
    mFleet = mCollector.FleetLoad(Now());
  }

  plain_model_settings mSettings;
  std::mt19937 mRandom;         ///< of arrivals, which are the same for both rules
  std::mt19937 mDecisions{ 7 }; ///< of decisions and failures
  double mNowMs = 0;
  forward_route mRoute;
  forward_service mService;
  std::vector<backend_server> mBackends;
  std::vector<const backend_server*> mUsable;
  prefix_cache_index mPrefixes;
  engine_models mEngineModels{ 50 };
  std::vector<server_model> mServers;
  std::vector<std::unique_ptr<daemon_model>> mDaemons;
  std::vector<request> mRequests;
  std::priority_queue<std::pair<double, std::size_t>,
                      std::vector<std::pair<double, std::size_t>>,
                      std::greater<>>
    mDone;
  load_aggregator mCollector{ "dc0" };
  std::vector<dispatched_load> mFleet;
  plain_model_result mResult;
};

} // namespace skylarkwind
