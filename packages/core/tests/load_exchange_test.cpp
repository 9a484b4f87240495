#include "skylarkwind/load_exchange.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <functional>
#include <iostream>
#include <random>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Daemons that exchange messages over a simulated datagram network.
class simulated_fleet
{
public:
  struct daemon
  {
    fleet_member mMember;
    backend_load_tracker mLoadTracker{ {} };
    prefix_cache_index mPrefixCacheIndex;
    std::unique_ptr<load_exchange> mExchange;
    bool mUp = true;
    bool mPaused = false;
    std::uint64_t mSent = 0;
    std::uint64_t mReceived = 0;
  };

  simulated_fleet(int aDataCentres, int aEach, std::uint32_t aSeed = 7)
    : mRandom(aSeed)
  {
    for (int dc = 0; dc < aDataCentres; ++dc) {
      for (int i = 0; i < aEach; ++i) {
        const auto name = "dc" + std::to_string(dc) + "-vm-" + std::to_string(i);
        auto made = std::make_unique<daemon>();
        made->mMember = { name, name, "dc" + std::to_string(dc), i < 3 ? 500U : 120U, true };
        made->mMember.mStart = mDaemons.size() + 1;
        mDaemons.push_back(std::move(made));
      }
    }
    // One daemon of the first data centre and one of the last, neither of them a collector, and an
    // address without a daemon.
    mSeeds = { mDaemons[static_cast<std::size_t>(aEach) - 1]->mMember.mName,
               mDaemons.back()->mMember.mName,
               "nobody" };
    for (auto& daemon : mDaemons) {
      Start(*daemon);
    }
  }

  void Start(daemon& aDaemon)
  {
    aDaemon.mExchange = std::make_unique<load_exchange>(
      aDaemon.mMember, mSeeds, aDaemon.mLoadTracker, aDaemon.mPrefixCacheIndex);
    aDaemon.mExchange->SetOwnState({}, true, false);
  }

  /// Advances the time in steps of 5 ms; daemons tick every 25 ms, staggered over the steps.
  void Run(milliseconds aTime)
  {
    const auto until = mNow + aTime;
    while (mNow < until) {
      mNow += milliseconds{ 5 };
      ++mStep;
      auto due = mInFlight.begin();
      while (due != mInFlight.end() && due->first <= mNow) {
        Deliver(due->second);
        due = mInFlight.erase(due);
      }
      for (std::size_t i = 0; i < mDaemons.size(); ++i) {
        auto& daemon = *mDaemons[i];
        if (daemon.mUp && !daemon.mPaused && (mStep + i) % 5 == 0) {
          Send(daemon, daemon.mExchange->OnTick(mNow));
        }
      }
    }
  }

  daemon& At(const std::string& aName)
  {
    return **std::find_if(mDaemons.begin(), mDaemons.end(), [&](const auto& aDaemon) {
      return aDaemon->mMember.mName == aName;
    });
  }

  /// Number of requests running at a server, in the view of a daemon.
  std::uint32_t RunningSeenBy(daemon& aDaemon, const std::string& aBackend) const
  {
    return aDaemon.mLoadTracker.View(aBackend, mNow).mRunning;
  }

  /// Collectors of the daemon's data centre, as it selects them.
  std::vector<std::string> Collectors(daemon& aDaemon)
  {
    std::vector<std::string> names;
    for (const auto* member :
         aDaemon.mExchange->Members().Preferred(aDaemon.mMember.mDataCentre, 2, mNow)) {
      names.push_back(member->mName);
    }
    return names;
  }

  /// Time until every running daemon sees the expected count; 10 s if one of them does not.
  milliseconds TimeUntilSeen(const std::string& aBackend, std::uint32_t aCount)
  {
    const auto began = mNow;
    const auto all = [&] {
      return std::all_of(mDaemons.begin(), mDaemons.end(), [&](const auto& aDaemon) {
        return !aDaemon->mUp || aDaemon->mPaused || RunningSeenBy(*aDaemon, aBackend) == aCount;
      });
    };
    while (!all() && mNow - began < seconds{ 10 }) {
      Run(milliseconds{ 5 });
    }
    return std::chrono::duration_cast<milliseconds>(mNow - began);
  }

  instant mNow{ seconds{ 100 } };
  std::vector<std::unique_ptr<daemon>> mDaemons;
  double mLossRate = 0;
  std::function<bool(const std::string&, const std::string&)> mBlocked =
    [](const std::string&, const std::string&) { return false; };

private:
  struct datagram
  {
    std::string mTo;
    std::variant<load_report, load_summary> mMessage;
  };

  void Send(daemon& aFrom, const std::vector<outgoing_message>& aMessages)
  {
    std::uniform_real_distribution<double> chance{ 0, 1 };
    for (const auto& message : aMessages) {
      for (const auto& receiver : message.mReceivers) {
        ++aFrom.mSent;
        if (chance(mRandom) < mLossRate || mBlocked(aFrom.mMember.mName, receiver.mAddress)) {
          continue;
        }
        auto content = message.mMessage;
        if (auto* summary = std::get_if<load_summary>(&content)) {
          summary->mIncludedSequence = receiver.mIncludedSequence;
        }
        mInFlight.emplace(mNow + milliseconds{ 1 },
                          datagram{ receiver.mAddress, std::move(content) });
      }
    }
  }

  void Deliver(const datagram& aDatagram)
  {
    const auto known = std::any_of(mDaemons.begin(), mDaemons.end(), [&](const auto& aDaemon) {
      return aDaemon->mMember.mName == aDatagram.mTo;
    });
    if (!known) {
      return;
    }
    auto& daemon = At(aDatagram.mTo);
    if (!daemon.mUp || daemon.mPaused) {
      return;
    }
    ++daemon.mReceived;
    if (const auto* report = std::get_if<load_report>(&aDatagram.mMessage)) {
      daemon.mExchange->OnReport(*report, mNow);
    } else {
      daemon.mExchange->OnSummary(std::get<load_summary>(aDatagram.mMessage), mNow);
    }
  }

  std::mt19937 mRandom;
  std::vector<std::string> mSeeds;
  std::uint64_t mStep = 0;
  std::multimap<instant, datagram> mInFlight;
};

} // namespace

class load_exchange_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(load_exchange_test);
  CPPUNIT_TEST(DaemonsConnectThroughSeeds);
  CPPUNIT_TEST(DaemonsReconnectAfterSimultaneousRestart);
  CPPUNIT_TEST(LoadChangesReachEveryDaemon);
  CPPUNIT_TEST(SumsConvergeAfterRandomLoad);
  CPPUNIT_TEST(OwnLoadIsNeverCountedTwice);
  CPPUNIT_TEST(MessageRateDoesNotGrowWithTheFleet);
  CPPUNIT_TEST(TerminatedCollectorsAreReplaced);
  CPPUNIT_TEST(TerminatedCollectorsAreForgottenByOtherDataCentres);
  CPPUNIT_TEST(PausedCollectorDoesNotDisruptUpdates);
  CPPUNIT_TEST(MessagesReadAfterStallMayBeOld);
  CPPUNIT_TEST(StoppingCollectorsAreReplacedAtOnce);
  CPPUNIT_TEST(PartitionedDataCentreKeepsExchanging);
  CPPUNIT_TEST(ServerUpdatesReachEveryDaemonDespiteLoss);
  CPPUNIT_TEST(DaemonFailuresDoNotEnlargeSharesAtOnce);
  CPPUNIT_TEST(RemoteAddedTokensAreCountedOnce);
  CPPUNIT_TEST(UnreachableEnginesLoseFewRequests);
  CPPUNIT_TEST(MeasuredSlowdownReachesEveryDaemon);
  CPPUNIT_TEST_SUITE_END();

  /// Up to 300 daemons start at once, knowing only three addresses, one of which is not in use.
  void DaemonsConnectThroughSeeds()
  {
    for (const auto& [dataCentres, each] : { std::pair{ 5, 60 }, { 3, 2 }, { 1, 9 } }) {
      simulated_fleet fleet{ dataCentres, each };
      fleet.Run(milliseconds{ 1'500 });
      for (const auto& daemon : fleet.mDaemons) {
        const auto where = daemon->mMember.mName + " of " + std::to_string(dataCentres * each);
        CPPUNIT_ASSERT_MESSAGE(where, daemon->mExchange->Connected(fleet.mNow));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          where, static_cast<std::uint32_t>(dataCentres * each), daemon->mExchange->DaemonCount());
      }
    }
  }

  void DaemonsReconnectAfterSimultaneousRestart()
  {
    simulated_fleet fleet{ 3, 10 };
    fleet.Run(seconds{ 2 });
    for (auto& daemon : fleet.mDaemons) {
      daemon->mMember.mStart += 1'000;
      fleet.Start(*daemon);
    }
    fleet.Run(seconds{ 2 });
    fleet.At("dc1-vm-6").mLoadTracker.Begin("e2", 10, milliseconds{ 9 }, fleet.mNow);
    CPPUNIT_ASSERT(fleet.TimeUntilSeen("e2", 1) < milliseconds{ 300 });
  }

  void LoadChangesReachEveryDaemon()
  {
    simulated_fleet fleet{ 3, 4 };
    fleet.Run(seconds{ 2 });
    auto& worker = fleet.At("dc1-vm-3");
    const auto ticket = worker.mLoadTracker.Begin("e1", 9'000, milliseconds{ 200 }, fleet.mNow);
    CPPUNIT_ASSERT(fleet.TimeUntilSeen("e1", 1) < milliseconds{ 200 });
    for (const auto& daemon : fleet.mDaemons) {
      CPPUNIT_ASSERT_EQUAL(9'000.0, daemon->mLoadTracker.View("e1", fleet.mNow).mWaitingTokens);
    }
    worker.mLoadTracker.End(ticket, backend_outcome::Answered, fleet.mNow);
    CPPUNIT_ASSERT(fleet.TimeUntilSeen("e1", 0) < milliseconds{ 200 });
  }

  /// Random load with a tenth of the messages lost: within a second after the last change and the
  /// end of the losses, all daemons see the true counts.
  void SumsConvergeAfterRandomLoad()
  {
    for (std::uint32_t seed = 1; seed <= 5; ++seed) {
      simulated_fleet fleet{ 3, 5, seed };
      fleet.mLossRate = 0.1;
      std::mt19937 random{ seed };
      std::vector<std::pair<std::size_t, backend_load_tracker::ticket>> open;
      std::map<std::size_t, std::string> at;
      for (int i = 0; i < 400; ++i) {
        fleet.Run(milliseconds{ 10 });
        if (open.size() > 20 || (!open.empty() && random() % 2 == 0)) {
          const auto which = random() % open.size();
          fleet.mDaemons[open[which].first]->mLoadTracker.End(
            open[which].second, backend_outcome::Answered, fleet.mNow);
          open.erase(open.begin() + static_cast<std::ptrdiff_t>(which));
        } else {
          const auto who = random() % fleet.mDaemons.size();
          // Each daemon uses a server of its own or the common one.
          const auto backend = random() % 3 == 0 ? "own" + std::to_string(who) : "common";
          open.emplace_back(
            who,
            fleet.mDaemons[who]->mLoadTracker.Begin(backend, 100, milliseconds{ 9 }, fleet.mNow));
          at[open.back().second * 100 + who] = backend;
        }
      }
      fleet.mLossRate = 0;
      fleet.Run(seconds{ 1 });
      std::map<std::string, std::uint32_t> truth{ { "common", 0 } };
      for (const auto& [who, ticket] : open) {
        ++truth[at[ticket * 100 + who]];
      }
      for (const auto& [backend, count] : truth) {
        for (const auto& daemon : fleet.mDaemons) {
          CPPUNIT_ASSERT_EQUAL(count, fleet.RunningSeenBy(*daemon, backend));
        }
      }
    }
  }

  /// Guards against a daemon that counts its own requests again in the sums, and so avoids the
  /// server.
  void OwnLoadIsNeverCountedTwice()
  {
    simulated_fleet fleet{ 2, 6 };
    fleet.Run(seconds{ 2 });
    auto& worker = fleet.At("dc0-vm-5");
    std::vector<backend_load_tracker::ticket> open;
    for (int i = 0; i < 200; ++i) {
      if (i % 3 == 2) {
        worker.mLoadTracker.End(open.back(), backend_outcome::Answered, fleet.mNow);
        open.pop_back();
      } else {
        open.push_back(worker.mLoadTracker.Begin("e1", 10, milliseconds{ 9 }, fleet.mNow));
      }
      fleet.Run(milliseconds{ 15 });
      CPPUNIT_ASSERT_EQUAL(static_cast<std::uint32_t>(open.size()),
                           fleet.RunningSeenBy(worker, "e1"));
    }
  }

  /// Ten requests a second per daemon, at 30, 100 and 300 daemons: the median message rate of a
  /// daemon does not grow, the rate at which a collector sends is bounded, and changes still reach
  /// all daemons in time.
  void MessageRateDoesNotGrowWithTheFleet()
  {
    for (const int each : { 6, 20, 60 }) {
      simulated_fleet fleet{ 5, each };
      fleet.Run(seconds{ 2 });
      for (auto& daemon : fleet.mDaemons) {
        daemon->mSent = daemon->mReceived = 0;
      }
      for (int round = 0; round < 20; ++round) {
        for (std::size_t i = 0; i < fleet.mDaemons.size(); ++i) {
          auto& tracker = fleet.mDaemons[i]->mLoadTracker;
          tracker.End(
            tracker.Begin("e" + std::to_string(i % 160), 100, milliseconds{ 9 }, fleet.mNow),
            backend_outcome::Answered,
            fleet.mNow);
        }
        fleet.Run(milliseconds{ 100 });
      }
      std::vector<std::uint64_t> totals;
      std::uint64_t most = 0;
      for (const auto& daemon : fleet.mDaemons) {
        totals.push_back(daemon->mSent + daemon->mReceived);
        most = std::max(most, daemon->mSent);
      }
      std::sort(totals.begin(), totals.end());
      // Over two seconds; at most 25 reports, and two collectors with at most 40 summaries a
      // second.
      const auto median = totals[totals.size() / 2] / 2;
      CPPUNIT_ASSERT_MESSAGE(std::to_string(each) + ": " + std::to_string(median), median <= 130);
      CPPUNIT_ASSERT_MESSAGE(std::to_string(most), most / 2 <= 1'000);
      auto& worker = fleet.At("dc1-vm-5");
      worker.mLoadTracker.Begin("fresh", 10, milliseconds{ 9 }, fleet.mNow);
      const auto age = fleet.TimeUntilSeen("fresh", 1);
      std::cout << "work_exchange: daemons=" << 5 * each << " datagrams_per_s median=" << median
                << " most_sent=" << most / 2 << " known_by_all_ms=" << age.count() << std::endl;
      CPPUNIT_ASSERT(age <= milliseconds{ 450 });
    }
  }

  /// Guards against daemons that keep placing requests on stale load after their collectors have
  /// terminated.
  void TerminatedCollectorsAreReplaced()
  {
    simulated_fleet fleet{ 3, 8 };
    fleet.Run(seconds{ 2 });
    for (const auto& name : fleet.Collectors(fleet.At("dc1-vm-5"))) {
      fleet.At(name).mUp = false;
    }
    fleet.At("dc0-vm-7").mLoadTracker.Begin("e1", 10, milliseconds{ 9 }, fleet.mNow);
    CPPUNIT_ASSERT(fleet.TimeUntilSeen("e1", 1) < milliseconds{ 2'000 });
    fleet.Run(seconds{ 1 });
    fleet.At("dc1-vm-6").mLoadTracker.Begin("e2", 10, milliseconds{ 9 }, fleet.mNow);
    CPPUNIT_ASSERT(fleet.TimeUntilSeen("e2", 1) < milliseconds{ 600 });
  }

  /// Guards against two data centres that tell each other that the terminated collectors of a third
  /// one are live, so that store changes are relayed to these forever.
  void TerminatedCollectorsAreForgottenByOtherDataCentres()
  {
    simulated_fleet fleet{ 3, 8 };
    fleet.Run(seconds{ 2 });
    const auto terminated = fleet.Collectors(fleet.At("dc1-vm-5"));
    for (const auto& name : terminated) {
      fleet.At(name).mUp = false;
    }
    fleet.Run(seconds{ 3 });
    for (const auto& daemon : fleet.mDaemons) {
      for (const auto* member : daemon->mExchange->Members().Preferred("dc1", 2, fleet.mNow)) {
        CPPUNIT_ASSERT_MESSAGE(daemon->mMember.mName + " prefers " + member->mName,
                               !daemon->mUp ||
                                 std::find(terminated.begin(), terminated.end(), member->mName) ==
                                   terminated.end());
      }
    }
  }

  void PausedCollectorDoesNotDisruptUpdates()
  {
    simulated_fleet fleet{ 2, 8 };
    fleet.Run(seconds{ 2 });
    auto& paused = fleet.At(fleet.Collectors(fleet.At("dc1-vm-5")).at(0));
    paused.mPaused = true;
    fleet.At("dc1-vm-5").mLoadTracker.Begin("e1", 10, milliseconds{ 9 }, fleet.mNow);
    CPPUNIT_ASSERT(fleet.TimeUntilSeen("e1", 1) < milliseconds{ 300 });
    fleet.Run(seconds{ 3 });
    // Its sums are stale and lack the load since then.
    paused.mPaused = false;
    fleet.At("dc1-vm-6").mLoadTracker.Begin("e1", 10, milliseconds{ 9 }, fleet.mNow);
    CPPUNIT_ASSERT(fleet.TimeUntilSeen("e1", 2) < milliseconds{ 1'500 });
    fleet.Run(seconds{ 1 });
    for (int i = 0; i < 20; ++i) {
      fleet.Run(milliseconds{ 25 });
      for (const auto& daemon : fleet.mDaemons) {
        CPPUNIT_ASSERT_EQUAL(2U, fleet.RunningSeenBy(*daemon, "e1"));
      }
    }
  }

  /// Guards against taking what waited in the socket of a paused process for news.
  void MessagesReadAfterStallMayBeOld()
  {
    simulated_fleet fleet{ 1, 3 };
    fleet.Run(seconds{ 1 });
    auto& daemon = fleet.At("dc0-vm-1");
    CPPUNIT_ASSERT(!daemon.mExchange->MayReadOldMessages(fleet.mNow));
    daemon.mPaused = true;
    fleet.Run(seconds{ 1 });
    CPPUNIT_ASSERT(daemon.mExchange->MayReadOldMessages(fleet.mNow));
    daemon.mPaused = false;
    fleet.Run(milliseconds{ 50 });
    CPPUNIT_ASSERT(daemon.mExchange->MayReadOldMessages(fleet.mNow));
    fleet.Run(milliseconds{ 500 });
    CPPUNIT_ASSERT(!daemon.mExchange->MayReadOldMessages(fleet.mNow));
  }

  void StoppingCollectorsAreReplacedAtOnce()
  {
    simulated_fleet fleet{ 2, 8 };
    fleet.Run(seconds{ 2 });
    const auto collectors = fleet.Collectors(fleet.At("dc1-vm-5"));
    for (const auto& name : collectors) {
      fleet.At(name).mExchange->SetOwnState({}, false, true);
    }
    fleet.Run(milliseconds{ 800 });
    for (const auto& name : fleet.Collectors(fleet.At("dc1-vm-5"))) {
      CPPUNIT_ASSERT(name != collectors[0] && name != collectors[1]);
    }
    for (const auto& name : collectors) {
      fleet.At(name).mUp = false;
    }
    fleet.At("dc1-vm-6").mLoadTracker.Begin("e1", 10, milliseconds{ 9 }, fleet.mNow);
    CPPUNIT_ASSERT(fleet.TimeUntilSeen("e1", 1) < milliseconds{ 400 });
  }

  void PartitionedDataCentreKeepsExchanging()
  {
    simulated_fleet fleet{ 3, 5 };
    fleet.Run(seconds{ 2 });
    fleet.mBlocked = [](const std::string& aFrom, const std::string& aTo) {
      return aFrom.starts_with("dc2") != aTo.starts_with("dc2");
    };
    fleet.Run(seconds{ 4 });
    fleet.At("dc2-vm-4").mLoadTracker.Begin("e1", 10, milliseconds{ 9 }, fleet.mNow);
    fleet.Run(milliseconds{ 300 });
    CPPUNIT_ASSERT_EQUAL(1U, fleet.RunningSeenBy(fleet.At("dc2-vm-0"), "e1"));
    CPPUNIT_ASSERT_EQUAL(0U, fleet.RunningSeenBy(fleet.At("dc0-vm-0"), "e1"));
    fleet.mBlocked = [](const std::string&, const std::string&) { return false; };
    CPPUNIT_ASSERT(fleet.TimeUntilSeen("e1", 1) < milliseconds{ 1'000 });
  }

  void ServerUpdatesReachEveryDaemonDespiteLoss()
  {
    simulated_fleet fleet{ 3, 6 };
    fleet.Run(seconds{ 2 });
    fleet.mLossRate = 0.05;
    const std::vector<prompt_segment> segments{ { 77, 10'000 }, { 78, 10 } };
    for (const auto& daemon : fleet.mDaemons) {
      daemon->mPrefixCacheIndex.SetCapacity("e1", 100'000);
    }
    auto& worker = fleet.At("dc0-vm-5");
    worker.mPrefixCacheIndex.OnCached("e1", segments, fleet.mNow);
    worker.mExchange->OnLeaving({ "e9", 5 }, fleet.mNow);
    worker.mExchange->OnRoleChange(BackendKey("e7"), fleet.mNow + seconds{ 3 });
    fleet.Run(milliseconds{ 600 });
    for (auto& daemon : fleet.mDaemons) {
      CPPUNIT_ASSERT_EQUAL(10'000U,
                           daemon->mPrefixCacheIndex.CachedPrefixes(segments).At(BackendKey("e1")));
      CPPUNIT_ASSERT(!daemon->mLoadTracker.View("e7", fleet.mNow).mAdmits);
      if (daemon.get() != &worker) {
        CPPUNIT_ASSERT(!daemon->mExchange->TakeLeavingBackends().empty());
      }
    }
  }

  /// Guards against surviving daemons that take over the shares of failed ones in the retry budget
  /// while arrivals that these have caused still count against it.
  void DaemonFailuresDoNotEnlargeSharesAtOnce()
  {
    simulated_fleet fleet{ 2, 10 };
    fleet.Run(seconds{ 2 });
    auto& survivor = fleet.At("dc0-vm-9");
    CPPUNIT_ASSERT_EQUAL(20U, survivor.mExchange->DaemonCount());
    for (const auto& daemon : fleet.mDaemons) {
      daemon->mUp = daemon.get() == &survivor;
    }
    fleet.Run(seconds{ 9 });
    CPPUNIT_ASSERT_EQUAL(20U, survivor.mExchange->DaemonCount());
  }

  /// Guards against prompt segments that count as evicted because tokens added by one daemon are
  /// reported by several collectors, and counted more than once.
  void RemoteAddedTokensAreCountedOnce()
  {
    simulated_fleet fleet{ 2, 6 };
    fleet.Run(seconds{ 2 });
    for (const auto& daemon : fleet.mDaemons) {
      daemon->mPrefixCacheIndex.SetCapacity("e1", 1'000'000);
    }
    const std::vector<prompt_segment> segments{ { 77, 10'000 }, { 78, 10 } };
    auto& holder = fleet.At("dc0-vm-5");
    holder.mPrefixCacheIndex.OnCached("e1", segments, fleet.mNow);
    fleet.Run(milliseconds{ 500 });
    // In total 0.6 of the cache capacity; segments count as cached up to 0.75 of it.
    for (int i = 0; i < 60; ++i) {
      auto& worker = *fleet.mDaemons[static_cast<std::size_t>(i) % fleet.mDaemons.size()];
      worker.mLoadTracker.End(worker.mLoadTracker.Begin("e1", 100, milliseconds{ 9 }, fleet.mNow),
                              backend_outcome::Answered,
                              fleet.mNow);
      worker.mPrefixCacheIndex.OnTokensAdded("e1", 10'048);
      fleet.Run(milliseconds{ 30 });
    }
    fleet.Run(milliseconds{ 500 });
    CPPUNIT_ASSERT_EQUAL(10'000U,
                         holder.mPrefixCacheIndex.CachedPrefixes(segments).At(BackendKey("e1")));
    for (int i = 0; i < 20; ++i) {
      auto& worker = *fleet.mDaemons[static_cast<std::size_t>(i) % fleet.mDaemons.size()];
      worker.mLoadTracker.End(worker.mLoadTracker.Begin("e1", 100, milliseconds{ 9 }, fleet.mNow),
                              backend_outcome::Answered,
                              fleet.mNow);
      worker.mPrefixCacheIndex.OnTokensAdded("e1", 10'048);
      fleet.Run(milliseconds{ 30 });
    }
    fleet.Run(milliseconds{ 500 });
    CPPUNIT_ASSERT_EQUAL(0U,
                         holder.mPrefixCacheIndex.CachedPrefixes(segments).At(BackendKey("e1")));
  }

  /// A fifth of the engines become unreachable at once for 150 daemons (as in trouble-1 and scale-1
  /// of tallow-creek-large). Each daemon uses an engine rarely, so that without shared outcomes
  /// each one would have to detect the failure itself. 300 requests a second at 40 engines, 8 of
  /// them unreachable.
  void UnreachableEnginesLoseFewRequests()
  {
    simulated_fleet fleet{ 3, 50 };
    fleet.Run(seconds{ 2 });
    std::mt19937 random{ 5 };
    int lost = 0;
    int requests = 0;
    for (int step = 0; step < 800; ++step) {
      fleet.Run(milliseconds{ 5 });
      for (int i = 0; i < (step % 2 == 0 ? 2 : 1); ++i) {
        auto& daemon = *fleet.mDaemons[random() % fleet.mDaemons.size()];
        const auto engine = random() % 40;
        const auto id = "e" + std::to_string(engine);
        if (!daemon.mLoadTracker.View(id, fleet.mNow).mAdmits) {
          continue;
        }
        ++requests;
        const auto ticket = daemon.mLoadTracker.Begin(id, 100, milliseconds{ 20 }, fleet.mNow);
        const bool unreachable = engine < 8;
        lost += unreachable ? 1 : 0;
        daemon.mLoadTracker.End(ticket,
                                unreachable ? backend_outcome::Unreachable
                                            : backend_outcome::Answered,
                                fleet.mNow);
      }
    }
    // Without sharing it would be a fifth of the requests: 240.
    CPPUNIT_ASSERT_MESSAGE(std::to_string(lost) + " of " + std::to_string(requests), lost <= 75);
    // The engines get used again after some time.
    fleet.Run(seconds{ 4 });
    std::size_t admits = 0;
    for (const auto& daemon : fleet.mDaemons) {
      admits += daemon->mLoadTracker.View("e3", fleet.mNow).mAdmits ? 1 : 0;
    }
    CPPUNIT_ASSERT(admits > fleet.mDaemons.size() * 3 / 4);
  }

  void MeasuredSlowdownReachesEveryDaemon()
  {
    simulated_fleet fleet{ 2, 10 };
    fleet.Run(seconds{ 2 });
    // The daemons of one data centre measure two engines a few times; one is six times slower.
    for (int round = 0; round < 3; ++round) {
      for (std::size_t i = 0; i < 10; ++i) {
        auto& tracker = fleet.mDaemons[i]->mLoadTracker;
        for (const auto* id : { "slow", "usual" }) {
          const auto ticket = tracker.Begin(
            id, 1'000, milliseconds{ 20 } * tracker.View(id, fleet.mNow).mSlowdown, fleet.mNow);
          tracker.OnFirstResponse(ticket, fleet.mNow + milliseconds{ *id == 's' ? 120 : 20 });
          tracker.End(ticket, backend_outcome::Answered, fleet.mNow);
        }
        fleet.Run(milliseconds{ 50 });
      }
    }
    fleet.Run(milliseconds{ 300 });
    for (const auto& daemon : fleet.mDaemons) {
      CPPUNIT_ASSERT(daemon->mLoadTracker.View("slow", fleet.mNow).mSlowdown > 3.5);
      CPPUNIT_ASSERT(daemon->mLoadTracker.View("usual", fleet.mNow).mSlowdown < 1.5);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_exchange_test);

} // namespace skylarkwind
