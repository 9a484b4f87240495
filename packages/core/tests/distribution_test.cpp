#include "document_cluster.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

class distribution_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(distribution_test);
  CPPUNIT_TEST(TwoDaemonsOfEachDataCentreWatch);
  CPPUNIT_TEST(EditIsInForceWithinSeconds);
  CPPUNIT_TEST(EditReachesDaemonsWithoutPlatform);
  CPPUNIT_TEST(StartingDaemonPullsDuringAnOutage);
  CPPUNIT_TEST(RestoredPlatformIsRefused);
  CPPUNIT_TEST(RestoreWithoutOutageIsNoticed);
  CPPUNIT_TEST(FailuresBackOff);
  CPPUNIT_TEST(FleetObjectReachesTheRegion);
  CPPUNIT_TEST_SUITE_END();

  static std::unique_ptr<document_cluster> Started(std::size_t aCount)
  {
    auto fleet = std::make_unique<document_cluster>(12);
    for (std::size_t i = 0; i < aCount; ++i) {
      fleet->Add(std::string(1, static_cast<char>('a' + i % 3)));
    }
    fleet->StartAll();
    fleet->Edit("table");
    for (const auto* name : { "fleet/a", "fleet/b", "fleet/c" }) {
      fleet->Edit(name, static_cast<std::size_t>(name[6] - 'a'));
    }
    CPPUNIT_ASSERT(fleet->RunUntil(
      [&] {
        return fleet->MembersAgree() && fleet->InForce("table", 1) && fleet->InForce("fleet/c", 1);
      },
      seconds{ 30 }));
    return fleet;
  }

  static bool EditArrives(document_cluster& aFleet, seconds aLimit)
  {
    aFleet.Edit("table");
    const auto version = aFleet.mNewest["table"];
    return aFleet.RunUntil([&] { return aFleet.InForce("table", version); }, aLimit);
  }

  /// Guards against every daemon watching the platform and against a data centre without watchers,
  /// also after a watcher has died.
  void TwoDaemonsOfEachDataCentreWatch()
  {
    const auto fleet = Started(15);
    const auto watchers = [&](const std::string& aDataCentre) {
      return std::count_if(
        fleet->mDaemons.begin(), fleet->mDaemons.end(), [&](const auto& aDaemon) {
          return aDaemon.IsRunning() && aDaemon.mLocation.mDataCentre == aDataCentre &&
                 aDaemon.mDocuments->IsWatcher();
        });
    };
    fleet->mTime.Run(seconds{ 1 });
    for (const auto* dataCentre : { "a", "b", "c" }) {
      CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{ 2 }, watchers(dataCentre));
    }
    for (std::size_t i = 0; i < 15; i += 3) {
      if (fleet->mDaemons[i].mDocuments->IsWatcher()) {
        fleet->Kill(i);
      }
    }
    CPPUNIT_ASSERT(fleet->RunUntil([&] { return watchers("a") == 2; }, seconds{ 40 }));
    CPPUNIT_ASSERT(EditArrives(*fleet, seconds{ 6 }));
  }

  /// Guards against an edit that takes longer than the target of 6 s, also with 10 % message loss.
  void EditIsInForceWithinSeconds()
  {
    const auto fleet = Started(40);
    CPPUNIT_ASSERT(EditArrives(*fleet, seconds{ 6 }));
    fleet->mLossPercent = 10;
    for (int i = 0; i < 10; ++i) {
      CPPUNIT_ASSERT(EditArrives(*fleet, seconds{ 6 }));
    }
  }

  /// Guards against a data centre that keeps an old table because it alone cannot reach the
  /// platform.
  void EditReachesDaemonsWithoutPlatform()
  {
    const auto fleet = Started(12);
    for (std::size_t i = 0; i < 12; i += 3) {
      fleet->mPlatform.mUnreachableFrom[i] = true;
    }
    CPPUNIT_ASSERT(EditArrives(*fleet, seconds{ 6 }));
  }

  /// Guards against a daemon that cannot serve because it was started during an outage.
  void StartingDaemonPullsDuringAnOutage()
  {
    const auto fleet = Started(6);
    fleet->mPlatform.SetOutage(true);
    fleet->Start(4);
    CPPUNIT_ASSERT(fleet->RunUntil(
      [&] { return fleet->InForce("table", 1) && fleet->InForce("fleet/b", 1); }, seconds{ 6 }));
  }

  /// Guards against an older table coming into force after the platform was restored to older data,
  /// at running and at starting daemons, and against a daemon that does not report the stale
  /// platform.
  void RestoredPlatformIsRefused()
  {
    const auto fleet = Started(6);
    for (int i = 0; i < 3; ++i) {
      CPPUNIT_ASSERT(EditArrives(*fleet, seconds{ 6 }));
    }
    fleet->mPlatform.SetOutage(true);
    fleet->mPlatform.Restore(2);
    fleet->mTime.Run(seconds{ 1 });
    fleet->mPlatform.SetOutage(false);
    const auto behind = [&] {
      return std::any_of(fleet->mDaemons.begin(), fleet->mDaemons.end(), [](const auto& aDaemon) {
        return aDaemon.mDocuments->IsPlatformStale("table");
      });
    };
    CPPUNIT_ASSERT(fleet->RunUntil(behind, seconds{ 6 }));
    for (std::size_t i = 0; i < 6; ++i) {
      fleet->Start(i);
      const auto arrived = fleet->RunUntil(
        [&] { return fleet->mDaemons[i].mDocuments->Current("table") != nullptr; }, seconds{ 6 });
      CPPUNIT_ASSERT(arrived);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 },
                           fleet->mDaemons[i].mDocuments->Current("table")->mVersion);
    }
    CPPUNIT_ASSERT(EditArrives(*fleet, seconds{ 6 }));
    CPPUNIT_ASSERT(fleet->RunUntil([&] { return !behind(); }, seconds{ 6 }));
  }

  /// Guards against a watch that never ends because a platform restored without an outage has
  /// gone back to an older object version. The bound is four watches of 30 s and the read that
  /// follows.
  void RestoreWithoutOutageIsNoticed()
  {
    const auto fleet = Started(6);
    CPPUNIT_ASSERT(EditArrives(*fleet, seconds{ 6 }));
    fleet->mPlatform.Restore(1);
    CPPUNIT_ASSERT(EditArrives(*fleet, seconds{ 125 }));
  }

  /// Guards against daemons that overload a recovering platform: during an outage a watcher
  /// requests each of its two documents about every 1.5 s, and the other daemons send no requests.
  void FailuresBackOff()
  {
    const auto fleet = Started(15);
    fleet->mPlatform.SetOutage(true);
    fleet->mTime.Run(seconds{ 20 });
    const auto before = fleet->mPlatform.mCalls;
    fleet->mTime.Run(seconds{ 60 });
    CPPUNIT_ASSERT(fleet->mPlatform.mCalls - before < 6 * 2 * 60);
    CPPUNIT_ASSERT(fleet->mPlatform.mCalls - before > 6 * 2 * 60 / 4);
    fleet->mPlatform.SetOutage(false);
    CPPUNIT_ASSERT(EditArrives(*fleet, seconds{ 6 }));
  }

  /// Guards against daemons of other data centres learning of a drain only by a slow read: I7
  /// leaves 3 s for it.
  void FleetObjectReachesTheRegion()
  {
    const auto fleet = Started(30);
    fleet->Edit("fleet/b", 4);
    CPPUNIT_ASSERT(fleet->RunUntil([&] { return fleet->InForce("fleet/b", 2); }, seconds{ 2 }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(distribution_test);

} // namespace skylarkwind
