#include "skylarkwind/store_watchers.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
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

  static std::vector<std::string> Others(std::vector<std::string> aAll, const std::string& aSelf)
  {
    std::erase(aAll, aSelf);
    return aAll;
  }

  void AloneADaemonWatches()
  {
    CPPUNIT_ASSERT(store_watchers::Choose("a", {}).SelfWatches());
    CPPUNIT_ASSERT(store_watchers{}.SelfWatches());
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
        const auto view = store_watchers::Choose(daemon, Others(all, daemon));
        watchers += view.SelfWatches() ? 1 : 0;
        servers += view.Serves(receiver) ? 1 : 0;
      }
      CPPUNIT_ASSERT_EQUAL(3, watchers);
      CPPUNIT_ASSERT_EQUAL(1, servers);
    }
  }

  /// The fourth daemon takes over when one of the first three is gone or has lost the store.
  void WatchersAreReplaced()
  {
    const std::vector<std::string> all{ "a", "b", "c" };
    CPPUNIT_ASSERT(!store_watchers::Choose("d", all).SelfWatches());
    CPPUNIT_ASSERT(store_watchers::Choose("d", Others(all, "b")).SelfWatches());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_watchers_test);

} // namespace skylarkwind
