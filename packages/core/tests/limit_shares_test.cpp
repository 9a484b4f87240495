#include "limit_cluster.h"
#include "schedules.h"
#include "share_fairness_p.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

const std::vector<std::string> kLimit{ "account/a" };

limit_shares_settings
OneShard()
{
  limit_shares_settings settings;
  settings.mShards = 1;
  return settings;
}

limit_shares_settings
ShortTerms()
{
  auto settings = OneShard();
  settings.mShareTerm = seconds{ 20 };
  settings.mVmGoneAfter = seconds{ 6 };
  return settings;
}

} // namespace

class limit_shares_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(limit_shares_test);
  CPPUNIT_TEST(UnusedShareReturnsWithinThreeSeconds);
  CPPUNIT_TEST(WritesOncePerSecondAndNeverAtRest);
  CPPUNIT_TEST(CompetingDaemonsConverge);
  CPPUNIT_TEST(FewerUnitsThanDaemonsGoRound);
  CPPUNIT_TEST(LostReplyLeavesTheLesserAmount);
  CPPUNIT_TEST(NoAdmissionBeyondTheTerm);
  CPPUNIT_TEST(EntryOfKilledDaemonIsReclaimed);
  CPPUNIT_TEST(RestartTakesOverTheEntry);
  CPPUNIT_TEST(ShutdownReturnsEverything);
  CPPUNIT_TEST(ObjectStaysBelowTheLimitAtTargetSize);
  CPPUNIT_TEST(FairAmountsAreMaxMin);
  CPPUNIT_TEST_SUITE_END();

  static std::unique_ptr<limit_cluster> Cluster(std::size_t aCores, std::uint64_t aLimit)
  {
    auto cluster = std::make_unique<limit_cluster>(1, aCores, OneShard());
    cluster->SetLimits({ { "account/a", { aLimit, 0 } } }, milliseconds{ 0 });
    cluster->Run(milliseconds{ 3'000 });
    return cluster;
  }

  /// Offers one request in every tick to each of the cores.
  template<class cores>
  void Load(limit_cluster& aCluster, const cores& aCores, milliseconds aTime, int aEach = 1)
  {
    for (const instant end = aCluster.mTime.Now() + aTime; aCluster.mTime.Now() < end;) {
      for (const std::size_t core : aCores) {
        for (int i = 0; i < aEach; ++i) {
          aCluster.Request(core, kLimit, milliseconds{ 500 });
        }
      }
      aCluster.Tick();
    }
  }

  /// Guards against capacity that a daemon keeps after its load has ended.
  void UnusedShareReturnsWithinThreeSeconds()
  {
    const auto made = Cluster(2, 100);
    auto& cluster = *made;
    Load(cluster, std::vector<std::size_t>{ 0 }, milliseconds{ 5'000 }, 4);
    CPPUNIT_ASSERT(cluster.Stored(0).Sum("c:account/a") > 50);
    cluster.Run(milliseconds{ 500 });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, cluster.InFlight());
    cluster.Run(milliseconds{ 3'000 });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, cluster.Stored(0).Sum("c:account/a"));
  }

  /// Guards against one write for each request, and against writes by idle daemons.
  void WritesOncePerSecondAndNeverAtRest()
  {
    const auto made = Cluster(1, 100);
    auto& cluster = *made;
    const auto before = cluster.mPlatform.mWrites;
    Load(cluster, std::vector<std::size_t>{ 0 }, milliseconds{ 10'000 }, 2);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(cluster.mPlatform.mWrites - before),
                           cluster.mPlatform.mWrites - before <= 11);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(cluster.mCores[0].mGranted),
                           cluster.mCores[0].mGranted > 800);
    cluster.Run(milliseconds{ 5'000 });
    const auto atRest = cluster.mPlatform.mWrites;
    cluster.Run(milliseconds{ 600'000 });
    CPPUNIT_ASSERT_EQUAL(atRest, cluster.mPlatform.mWrites);
  }

  /// Guards against one daemon keeping the whole limit while another has demand.
  void CompetingDaemonsConverge()
  {
    const auto made = Cluster(2, 40);
    auto& cluster = *made;
    Load(cluster, std::vector<std::size_t>{ 0 }, milliseconds{ 8'000 }, 4);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 40 }, cluster.mCores[0].mInFlight);
    Load(cluster, std::vector<std::size_t>{ 0, 1 }, milliseconds{ 10'000 }, 4);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 20 }, cluster.mCores[0].mInFlight);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 20 }, cluster.mCores[1].mInFlight);
  }

  /// Guards against starvation of a daemon when the limit is smaller than the number of daemons.
  void FewerUnitsThanDaemonsGoRound()
  {
    const auto made = Cluster(4, 2);
    auto& cluster = *made;
    Load(cluster, std::vector<std::size_t>{ 0, 1, 2, 3 }, milliseconds{ 180'000 });
    for (const auto& core : cluster.mCores) {
      CPPUNIT_ASSERT(core.mGranted >= 40); // An even split is 180 each.
    }
  }

  /// Guards against use of an amount that a write without a response may have returned.
  void LostReplyLeavesTheLesserAmount()
  {
    const auto made = Cluster(1, 100);
    auto& cluster = *made;
    Load(cluster, std::vector<std::size_t>{ 0 }, milliseconds{ 5'000 }, 4);
    const auto before = cluster.Stored(0).Sum("c:account/a");
    cluster.Run(milliseconds{ 600 });
    cluster.mPlatform.mFaults.mLoseWriteReply = 1;
    const instant end = cluster.mTime.Now() + seconds{ 10 };
    while (cluster.mTime.Now() < end && cluster.Stored(0).Sum("c:account/a") >= before) {
      cluster.Tick();
    }
    const auto after = cluster.Stored(0).Sum("c:account/a");
    CPPUNIT_ASSERT(after < before);
    for (std::uint64_t i = 0; i < before; ++i) {
      cluster.Request(0, kLimit, seconds{ 1 });
    }
    CPPUNIT_ASSERT_EQUAL(after, cluster.InFlight());
  }

  /// Guards against admission of a request that can run beyond the term of its entry.
  void NoAdmissionBeyondTheTerm()
  {
    const auto made = Cluster(1, 10);
    auto& cluster = *made;
    cluster.Request(0, kLimit, seconds{ 1 });
    cluster.Run(milliseconds{ 200 });
    CPPUNIT_ASSERT(cluster.Request(0, kLimit, seconds{ 800 }));
    CPPUNIT_ASSERT(!cluster.Request(0, kLimit, seconds{ 900 }));
    cluster.mPlatform.mFaults.mOutage = true;
    cluster.Run(seconds{ 905 });
    CPPUNIT_ASSERT(!cluster.Request(0, kLimit, milliseconds{ 1 }));
  }

  /// Guards against an amount that stays lost after its daemon died, and against reclaiming it too
  /// early.
  void EntryOfKilledDaemonIsReclaimed()
  {
    limit_cluster cluster{ 1, 2, ShortTerms() };
    cluster.SetLimits({ { "account/a", { 10, 0 } } }, milliseconds{ 0 });
    cluster.Run(seconds{ 3 });
    Load(cluster, std::vector<std::size_t>{ 0 }, seconds{ 4 });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 10 }, cluster.mCores[0].mInFlight);
    cluster.Kill(0);
    Load(cluster, std::vector<std::size_t>{ 1 }, seconds{ 5 });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, cluster.mCores[1].mGranted);
    Load(cluster, std::vector<std::size_t>{ 1 }, seconds{ 6 });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 10 }, cluster.mCores[1].mInFlight);
  }

  /// Guards against a restarted daemon that waits for its own old entry to expire.
  void RestartTakesOverTheEntry()
  {
    const auto made = Cluster(2, 10);
    auto& cluster = *made;
    Load(cluster, std::vector<std::size_t>{ 0 }, seconds{ 4 });
    cluster.Kill(0);
    cluster.Start(0);
    cluster.Request(0, kLimit, milliseconds{ 100 });
    cluster.Run(milliseconds{ 200 });
    CPPUNIT_ASSERT(cluster.Request(0, kLimit, milliseconds{ 100 }));
    cluster.Run(seconds{ 5 });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, cluster.Stored(0).Sum("c:account/a"));
  }

  /// Guards against shares that stay recorded after a planned shutdown.
  void ShutdownReturnsEverything()
  {
    const auto made = Cluster(1, 10);
    auto& cluster = *made;
    Load(cluster, std::vector<std::size_t>{ 0 }, seconds{ 3 });
    effect_list effects;
    cluster.mCores[0].mShares->OnShutdown(cluster.mTime.Now(), effects);
    cluster.ApplyEffects(0, effects);
    cluster.Run(seconds{ 2 });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, cluster.Stored(0).Sum("c:account/a"));
  }

  /// Guards against an object above the platform's limit of 1 MB for a value: 350 daemons hold both
  /// limits of each of the 450 accounts, in 16 shards.
  void ObjectStaysBelowTheLimitAtTargetSize()
  {
    share_object object;
    for (int d = 0; d < 350; ++d) {
      auto& holder = object.mHolders["entry-vm-region-a-" + std::to_string(d)];
      holder = { 1'767'225'600'000, 100'000, {} };
      for (int a = 0; a < 450 / 16 + 1; ++a) {
        const std::string name = "account/account-with-a-long-name-" + std::to_string(a);
        holder.mEntries["c:" + name] = { 1'000, 2'000 };
        holder.mEntries["r:" + name] = { 1'000, 2'000 };
      }
    }
    const std::string json = object.ToJson();
    CPPUNIT_ASSERT(json.size() < 1'000'000);
    CPPUNIT_ASSERT_EQUAL(json, share_object::Parse(json)->ToJson());
  }

  /// Guards against fair amounts that add up to more than the limit or leave some of it.
  void FairAmountsAreMaxMin()
  {
    const std::vector<share_demand> demands{ { "a", 2 }, { "b", 50 }, { "c", 50 } };
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, FairAmount(demands, 13, "a", 0));
    std::uint64_t sum = 0;
    for (const char* vm : { "a", "b", "c" }) {
      sum += FairAmount(demands, 13, vm, 0);
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 13 }, sum);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 50 }, FairAmount(demands, 102, "b", 0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limit_shares_test);

} // namespace skylarkwind
