#include "skylarkwind/store_watchers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <vector>

namespace skylarkwind {

class store_watchers_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(store_watchers_test);
  CPPUNIT_TEST(SingleDaemonWatches);
  CPPUNIT_TEST(EveryDaemonHasOneRelay);
  CPPUNIT_TEST(WatchersAreReplaced);
  CPPUNIT_TEST(LateSelectionMustPersist);
  CPPUNIT_TEST_SUITE_END();

  instant mNow{ std::chrono::seconds{ 100 } };

  static fleet_member Member(const std::string& aName, std::uint32_t aStrength = 100)
  {
    return { aName, aName + ":1", "z", aStrength, true, 1 };
  }
  /// The members as seen by daemon `aSelf`.
  fleet_members View(const std::string& aSelf, const std::vector<std::string>& aOthers) const
  {
    fleet_members members{ Member(aSelf) };
    for (const auto& other : aOthers) {
      members.OnHeard(Member(other), mNow);
    }
    return members;
  }
  store_watchers Choose(const fleet_members& aMembers) const
  {
    return store_watchers::Choose(aMembers, mNow);
  }

  void SingleDaemonWatches()
  {
    CPPUNIT_ASSERT(Choose(View("a", {})).SelfWatches());
    CPPUNIT_ASSERT(store_watchers{}.SelfWatches());
    // No other daemon reaches the store, and this one does not know yet whether it does.
    auto starting = View("a", {});
    starting.SetReachesStore(false);
    CPPUNIT_ASSERT(Choose(starting).SelfWatches());
  }

  /// In a single data centre four daemons watch the store. Each daemon that is not a collector gets
  /// changes from exactly one collector, to which every watcher sends.
  void EveryDaemonHasOneRelay()
  {
    std::vector<std::string> all;
    for (int i = 10; i < 40; ++i) {
      all.push_back("vm-" + std::to_string(i));
    }
    int watchers = 0;
    std::vector<std::string> collectors;
    for (const auto& daemon : all) {
      const auto view = Choose(View(daemon, all));
      watchers += view.SelfWatches() ? 1 : 0;
      collectors = view.Collectors();
    }
    CPPUNIT_ASSERT_EQUAL(4, watchers);
    for (const auto& receiver : all) {
      int servers = 0;
      for (const auto& daemon : all) {
        const auto view = Choose(View(daemon, all));
        if (daemon != receiver && view.RelaysTo(receiver)) {
          ++servers;
          const auto others = Choose(View(receiver, all)).Collectors();
          CPPUNIT_ASSERT(std::find(others.begin(), others.end(), daemon + ":1") != others.end());
        }
      }
      const auto own = std::find(collectors.begin(), collectors.end(), receiver + ":1");
      CPPUNIT_ASSERT(servers == 1 || (servers == 0 && own != collectors.end()));
    }
  }

  /// Another daemon takes over when a watcher loses the store or announces its shutdown.
  void WatchersAreReplaced()
  {
    const std::vector<std::string> all{ "a", "b", "c", "d", "e", "f" };
    std::vector<std::string> watching;
    for (const auto& name : all) {
      if (Choose(View(name, all)).SelfWatches()) {
        watching.push_back(name);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, watching.size());
    for (const bool stops : { false, true }) {
      std::size_t replaced = 0;
      for (const auto& name : all) {
        auto view = View(name, all);
        auto lost = Member(watching[1]);
        lost.mReachesStore = stops;
        lost.mIsStopping = stops;
        view.OnHeard(lost, mNow);
        const bool before = std::find(watching.begin(), watching.end(), name) != watching.end();
        replaced += !before && Choose(view).SelfWatches() ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, replaced);
    }
  }

  /// When all daemons start together, each knows for about 0.2 s only of itself that it reaches the
  /// store. Guards against all of them watching the store during that time.
  void LateSelectionMustPersist()
  {
    instant now{ std::chrono::seconds{ 100 } };
    watch_policy early;
    CPPUNIT_ASSERT(early.Watches(true, true, now));
    watch_policy late;
    CPPUNIT_ASSERT(!late.Watches(false, true, now));
    now += std::chrono::milliseconds{ 200 };
    CPPUNIT_ASSERT(!late.Watches(true, true, now));
    now += std::chrono::milliseconds{ 200 };
    CPPUNIT_ASSERT(!late.Watches(false, true, now));
    CPPUNIT_ASSERT(!late.Watches(true, true, now));
    now += std::chrono::milliseconds{ 400 };
    CPPUNIT_ASSERT(late.Watches(true, true, now));
    CPPUNIT_ASSERT(late.Watches(false, false, now));
    // After the startup period a daemon begins at once, as the watchers may have lost the store.
    CPPUNIT_ASSERT(!late.Watches(false, true, now));
    now += std::chrono::seconds{ 5 };
    CPPUNIT_ASSERT(late.Watches(true, true, now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_watchers_test);

} // namespace skylarkwind
