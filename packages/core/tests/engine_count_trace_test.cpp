#include "skylarkwind/engine_count_planner.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <iostream>
#include <random>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kSeed = 7;
constexpr double kTickS = 0.1;
constexpr double kDayS = 1'800;
constexpr double kStartupS = 4;
constexpr double kTargetS = 2; ///< until the first token; later ones are late
constexpr std::size_t kSlots = 16;
constexpr std::size_t kMost = 30; ///< engines in a data centre
constexpr double kReclaimablePrice = 0.18;
constexpr std::size_t kSites = 3;
constexpr double kPrices[kSites] = { 1.0, 0.8, 1.25 };
/// An engine without cached prompts takes twice as long for them until its cache is filled.
constexpr double kColdS = 10;
constexpr double kColdFactor = 2;

struct request
{
  double mArrival = 0;
  double mPrompt = 0; ///< seconds of an engine's time
  double mAnswer = 0; ///< seconds in a slot
};

/// A server of prompt work with a queue, and slots for answers.
struct engine
{
  std::size_t mSite = 0;
  bool mReclaimable = false;
  double mReadyAt = 0;
  double mFreeAt = 0; ///< when its prompts are computed
  bool mDraining = false;
  struct running
  {
    request mRequest;
    double mFirstToken = 0;
    double mEnd = 0;
  };
  std::vector<running> mRunning;
};

struct arrivals
{
  /// A compressed day: the rate follows the hours, bursts of twice the rate take 3 to 14 s, and
  /// long prompts alternate with long answers every 3 s.
  arrivals()
  {
    std::mt19937 random{ kSeed };
    const auto uniform = [&](double aFrom, double aTo) {
      return std::uniform_real_distribution<>{ aFrom, aTo }(random);
    };
    double burst = uniform(15, 45);
    double burstEnd = burst + uniform(3, 14);
    for (double now = 0; now < kDayS;) {
      if (now > burstEnd) {
        burst = now + uniform(10, 60);
        burstEnd = burst + uniform(3, 14);
      }
      const double rate =
        (14 - 8 * std::cos(2 * M_PI * now / kDayS)) * (now >= burst && now < burstEnd ? 2 : 1);
      now += std::exponential_distribution<>{ rate }(random);
      const bool prompts = static_cast<int>(now / 3) % 2 == 0;
      const bool isLongPrompt = uniform(0, 1) < (prompts ? 0.8 : 0.2);
      mRequests.push_back(isLongPrompt ? request{ now, uniform(0.5, 0.9), 0.5 }
                                       : request{ now, 0.05, uniform(3, 9) });
    }
  }
  std::deque<request> mRequests;
};

struct order
{
  std::size_t mSite = 0;
  bool mReclaimable = false;
  std::size_t mEngines = 0;
};

/// Engines and the platform that starts them, one after another step of time.
struct fleet
{
  explicit fleet(std::size_t aAtStart)
  {
    for (std::size_t site = 0; site < kSites; ++site) {
      mDesired[site][0] = aAtStart;
      for (std::size_t i = 0; i < aAtStart; ++i) {
        mEngines.push_back({ site });
      }
    }
  }

  bool IsListed(const engine& aEngine) const
  {
    return !aEngine.mDraining && aEngine.mReadyAt <= mNow &&
           !(aEngine.mSite == mCutSite && mNow < mCutUntil);
  }

  bool Order(const order& aOrder)
  {
    auto& desired = mDesired[aOrder.mSite][aOrder.mReclaimable ? 1 : 0];
    if (aOrder.mReclaimable && aOrder.mEngines > desired && mNow < mNoneUntil[aOrder.mSite]) {
      return false;
    }
    desired = aOrder.mEngines;
    return true;
  }

  void Count(const engine::running& aOne)
  {
    mLate += aOne.mFirstToken - aOne.mRequest.mArrival > kTargetS ? 1 : 0;
    ++mServed;
  }

  /// The unfinished requests of lost engines are computed again.
  template<class condition>
  void Lose(condition aIsLost)
  {
    for (auto& one : mEngines) {
      if (aIsLost(one)) {
        for (const auto& running : one.mRunning) {
          if (running.mFirstToken > mNow) {
            mQueue.push_back(running.mRequest);
          } else {
            Count(running);
          }
        }
        one.mRunning.clear();
        one.mFreeAt = mNow;
      }
    }
  }

  void Reclaim(std::size_t aSite)
  {
    for (auto& one : mEngines) {
      one.mDraining = one.mDraining || (one.mReclaimable && one.mSite == aSite);
    }
    mDesired[aSite][1] = 0;
    mNoneUntil[aSite] = mNow + 10;
  }

  void Crash()
  {
    std::size_t index = 0;
    Lose([&](const engine&) { return index++ % 4 == 0; });
    index = 0;
    std::erase_if(mEngines, [&](const engine&) { return index++ % 4 == 0; });
  }

  void Cut(std::size_t aSite)
  {
    mCutSite = aSite;
    mCutUntil = mNow + 20;
    Lose([&](const engine& aOne) { return aOne.mSite == aSite; });
  }

  void StartAndDrain()
  {
    std::size_t draining = 0;
    for (std::size_t site = 0; site < kSites; ++site) {
      for (int kind = 0; kind < 2; ++kind) {
        std::vector<engine*> present;
        for (auto& one : mEngines) {
          if (one.mSite == site && one.mReclaimable == (kind == 1) && !one.mDraining) {
            present.push_back(&one);
          }
        }
        // Engines that start go first, then those with the fewest requests.
        std::sort(
          present.begin(), present.end(), [this](const engine* aLeft, const engine* aRight) {
            return std::pair{ aLeft->mReadyAt <= mNow, aLeft->mRunning.size() } <
                   std::pair{ aRight->mReadyAt <= mNow, aRight->mRunning.size() };
          });
        for (std::size_t i = 0; i + mDesired[site][kind] < present.size(); ++i) {
          present[i]->mDraining = true;
          ++draining;
        }
        for (auto i = present.size(); i < mDesired[site][kind]; ++i) {
          mStarting.push_back({ site, kind == 1, mNow + kStartupS, mNow + kStartupS });
        }
      }
    }
    mEngines.insert(mEngines.end(), mStarting.begin(), mStarting.end());
    mStarting.clear();
    mRemoved.push_back(draining);
    const auto listed = std::count_if(
      mEngines.begin(), mEngines.end(), [this](const auto& aOne) { return IsListed(aOne); });
    std::size_t recent = 0;
    for (std::size_t i = mRemoved.size() - std::min<std::size_t>(mRemoved.size(), 20);
         i < mRemoved.size();
         ++i) {
      recent += mRemoved[i];
    }
    mMostRemoved =
      std::max(mMostRemoved, static_cast<double>(recent) / static_cast<double>(listed + recent));
  }

  void Serve(std::deque<request>& aArrivals)
  {
    while (!aArrivals.empty() && aArrivals.front().mArrival <= mNow) {
      mQueue.push_back(aArrivals.front());
      aArrivals.pop_front();
    }
    while (!mQueue.empty()) {
      engine* best = nullptr;
      for (auto& one : mEngines) {
        if (IsListed(one) && one.mRunning.size() < kSlots &&
            (best == nullptr || std::pair{ one.mFreeAt, one.mRunning.size() } <
                                  std::pair{ best->mFreeAt, best->mRunning.size() })) {
          best = &one;
        }
      }
      if (best == nullptr) {
        return;
      }
      const auto work = mQueue.front();
      mQueue.pop_front();
      const bool isCold = best->mReadyAt > 0 && mNow < best->mReadyAt + kColdS;
      best->mFreeAt = std::max(best->mFreeAt, mNow) + work.mPrompt * (isCold ? kColdFactor : 1);
      best->mRunning.push_back({ work, best->mFreeAt, best->mFreeAt + work.mAnswer });
    }
  }

  /// Counts what ended, and the price of this step.
  void Finish()
  {
    mPromptWork = mWaiting = mRunning = 0;
    for (auto& one : mEngines) {
      mCost += kTickS * kPrices[one.mSite] * (one.mReclaimable ? kReclaimablePrice : 1);
      std::erase_if(one.mRunning, [&](const engine::running& aOne) {
        const bool ended = aOne.mEnd <= mNow;
        if (ended) {
          Count(aOne);
        }
        return ended;
      });
      mPromptWork += one.mFreeAt > mNow ? 1 : 0;
      mWaiting += std::clamp(one.mFreeAt - mNow - 1, 0.0, 1.0);
      mRunning += static_cast<double>(one.mRunning.size());
    }
    std::erase_if(mEngines,
                  [](const auto& aOne) { return aOne.mDraining && aOne.mRunning.empty(); });
    mBusy += (kTickS / 1.0) * (mPromptWork - mBusy);
  }

  double mNow = 0;
  std::vector<engine> mEngines;
  std::vector<engine> mStarting;
  std::deque<request> mQueue;
  std::size_t mDesired[kSites][2] = {};
  double mNoneUntil[kSites] = {};
  std::size_t mCutSite = kSites;
  double mCutUntil = 0;
  double mPromptWork = 0;
  double mWaiting = 0;
  double mRunning = 0;
  double mBusy = 0;                  ///< engines that computed prompts, mean over a second
  std::vector<std::size_t> mRemoved; ///< engines whose removal began, by step
  double mMostRemoved = 0;           ///< fraction of the engines within 2 s
  double mCost = 0;
  std::size_t mLate = 0;
  std::size_t mServed = 0;
};

template<class strategy>
fleet
Play(const char* aName, strategy aStrategy)
{
  auto requests = arrivals().mRequests;
  fleet fleet(kMost);
  for (int step = 0; fleet.mNow < kDayS + 60; ++step) {
    fleet.mNow = step * kTickS;
    const auto isAt = [&](double aTime) { return step == static_cast<int>(aTime / kTickS); };
    for (std::size_t site = 0; site < kSites; ++site) {
      if (isAt(400 + 100.0 * static_cast<double>(site)) || isAt(1'300)) {
        fleet.Reclaim(site);
      }
    }
    if (isAt(820) || isAt(1'100)) {
      fleet.Crash();
    }
    if (isAt(950) || isAt(1'200)) {
      fleet.Cut(isAt(950) ? 1 : 0);
    }
    aStrategy(fleet);
    fleet.StartAndDrain();
    fleet.Serve(requests);
    fleet.Finish();
  }
  std::cout << "  " << aName << ": priced engine-seconds " << std::llround(fleet.mCost) << ", late "
            << fleet.mLate << " of " << fleet.mServed << ", removed within 2 s at most "
            << std::llround(100 * fleet.mMostRemoved) << " %\n";
  return fleet;
}

/// Orders the same number everywhere: more above 70 % load, fewer below 30 %.
struct threshold
{
  void operator()(fleet& aFleet)
  {
    const auto engines = static_cast<double>(
      std::count_if(aFleet.mEngines.begin(), aFleet.mEngines.end(), [&](const auto& aOne) {
        return aFleet.IsListed(aOne);
      }));
    const auto load = (aFleet.mBusy + aFleet.mWaiting) / std::max(1.0, engines);
    if (aFleet.mNow >= mNext && (load > 0.7 || load < 0.3)) {
      mNext = aFleet.mNow + kStartupS;
      const auto each = std::ceil(engines * load / 0.5 / kSites);
      for (std::size_t site = 0; site < kSites; ++site) {
        aFleet.Order({ site, false, static_cast<std::size_t>(std::clamp(each, 2.0, 30.0)) });
      }
    }
  }
  double mNext = 30;
};

struct planned
{
  planned()
  {
    mOrdering.mMinEngines = 2;
    mOrdering.mMaxEngines = kMost;
    mOrdering.mStartupTime = milliseconds{ 4'000 };
    mOrdering.mReclaimablePrice = kReclaimablePrice;
    mOrdering.mPrices = { { "0", kPrices[0] }, { "1", kPrices[1] }, { "2", kPrices[2] } };
  }

  void operator()(fleet& aFleet)
  {
    std::vector<engine_counts> counts{ { "0" }, { "1" }, { "2" } };
    for (const auto& one : aFleet.mEngines) {
      if (aFleet.IsListed(one)) {
        auto& count = counts[one.mSite];
        (one.mReclaimable ? count.mReclaimable : count.mStandard) += 1;
      }
    }
    const instant now{ milliseconds{ 1'000'000 + std::llround(aFleet.mNow * 1'000) } };
    const engine_demand demand{
      aFleet.mBusy, aFleet.mWaiting, aFleet.mRunning, static_cast<std::uint32_t>(kSlots)
    };
    for (const auto& due : mPlanner.Plan("s", mOrdering, counts, demand, now)) {
      const auto site = static_cast<std::size_t>(due.mDataCentre[0] - '0');
      const bool accepted = aFleet.Order({ site, due.mReclaimable, due.mEngines });
      mPlanner.OnResult(due, accepted ? 200 : 409, now);
      CPPUNIT_ASSERT(aFleet.mDesired[site][0] >= 2);
    }
  }

  engine_ordering mOrdering;
  engine_count_planner mPlanner;
};

} // namespace

class engine_count_trace_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(engine_count_trace_test);
  CPPUNIT_TEST(PlannedFleetCostsLessAndIsNotLater);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a planner that is no better than a threshold, or removes so many engines at a
  /// time that the cached prompts are lost and the rest are late.
  void PlannedFleetCostsLessAndIsNotLater()
  {
    std::cout << "a day of arrivals, seed " << kSeed << '\n';
    const auto all = Play("all engines", [](fleet&) {});
    const auto plain = Play("threshold on load", threshold{});
    const auto plan = Play("planner", planned{});
    CPPUNIT_ASSERT_EQUAL(all.mServed, plan.mServed);
    // Four of five engines are idle outside bursts, so the price should fall clearly.
    CPPUNIT_ASSERT(plan.mCost <= 0.6 * all.mCost);
    CPPUNIT_ASSERT(plan.mLate <= plain.mLate);
    // A crash of 25 % of the engines is to be borne, so a removal must not be larger.
    CPPUNIT_ASSERT(plan.mMostRemoved <= 0.25);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_count_trace_test);

} // namespace skylarkwind
