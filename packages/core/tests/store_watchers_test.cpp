#include "skylarkwind/store_watchers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace skylarkwind {

class store_watchers_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(store_watchers_test);
  CPPUNIT_TEST(AloneADaemonWatches);
  CPPUNIT_TEST(EveryOtherDaemonIsServedByExactlyOneWatcher);
  CPPUNIT_TEST(WatchersAreReplaced);
  CPPUNIT_TEST_SUITE_END();

  instant mNow{ std::chrono::seconds{ 100 } };

  static fleet_member Member(const std::string& aName, std::uint32_t aStrength = 100)
  {
    return { aName, aName + ":1", "z", aStrength, true, 1 };
  }
  /// The daemon `aSelf` with this view of the others.
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

  void AloneADaemonWatches()
  {
    CPPUNIT_ASSERT(Choose(View("a", {})).SelfWatches());
    CPPUNIT_ASSERT(store_watchers{}.SelfWatches());
    // Nobody else reaches the store, and whether this daemon does is not known yet.
    auto starting = View("a", {});
    starting.SetReachesStore(false);
    CPPUNIT_ASSERT(Choose(starting).SelfWatches());
  }

  void EveryOtherDaemonIsServedByExactlyOneWatcher()
  {
    std::vector<std::string> all;
    for (int i = 10; i < 40; ++i) {
      all.push_back("vm-" + std::to_string(i));
    }
    for (const auto& receiver : all) {
      int watchers = 0;
      int servers = 0;
      for (const auto& daemon : all) {
        const auto view = Choose(View(daemon, all));
        watchers += view.SelfWatches() ? 1 : 0;
        servers += view.Serves(receiver) ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL(3, watchers);
      CPPUNIT_ASSERT_EQUAL(1, servers);
    }
  }

  /// Another daemon takes over when a watcher has lost the store or says that it stops.
  void WatchersAreReplaced()
  {
    const std::vector<std::string> all{ "a", "b", "c", "d" };
    std::vector<std::string> watching;
    std::string other;
    for (const auto& name : all) {
      if (Choose(View(name, all)).SelfWatches()) {
        watching.push_back(name);
      } else {
        other = name;
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, watching.size());
    auto cutOff = View(other, all);
    auto lost = Member(watching[1]);
    lost.mReachesStore = false;
    cutOff.OnHeard(lost, mNow);
    CPPUNIT_ASSERT(Choose(cutOff).SelfWatches());
    auto stopping = View(other, all);
    auto ending = Member(watching[0]);
    ending.mStops = true;
    stopping.OnHeard(ending, mNow);
    CPPUNIT_ASSERT(Choose(stopping).SelfWatches());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_watchers_test);

} // namespace skylarkwind
