#include "gateway_system.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <set>
#include <string>
#include <vector>

namespace skylarkwind::sessions {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A store that comes back from a copy, in which what was written last is missing.
class gateway_restored_store_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(gateway_restored_store_test);
  CPPUNIT_TEST(DaemonsGoOnWithRestoredStore);
  CPPUNIT_TEST_SUITE_END();

  static std::set<std::string> Registered(const gateway_system& aSystem)
  {
    std::set<std::string> names;
    const auto list = nlohmann::json::parse(aSystem.StoredText("skylarkwind-daemons"));
    for (const auto& object : list.at("items")) {
      names.insert(object.at("Metadata").at("Name").get<std::string>());
    }
    return names;
  }

  static bool AllApply(const gateway_system& aSystem, int aVersion, milliseconds aLimit)
  {
    const auto applied = "applied version=" + std::to_string(aVersion) + ' ';
    return aSystem.WaitForAllDaemons(
      [&](int aDaemon) { return aSystem.DaemonLog(aDaemon).find(applied) != std::string::npos; },
      aLimit);
  }

  static std::size_t Failures(const gateway_system& aSystem, const std::string& aId, int aRequests)
  {
    std::size_t failures = 0;
    for (int i = 0; i < aRequests; ++i) {
      const auto reply = aSystem.Send("GET",
                                      "/lookup/x",
                                      { "X-Skylarkwind-Request-Id: " + aId + std::to_string(i),
                                        "X-Skylarkwind-Deadline-Ms: 2000" });
      failures += reply.mStatus == 200 ? 0 : 1;
    }
    return failures;
  }

  /// The store comes back twice, without the newest configuration and without the registrations.
  /// Guards against daemons that stop serving, that ignore what is written afterwards because its
  /// revisions were given out before, that apply the older configuration, or that are not
  /// registered any more.
  void DaemonsGoOnWithRestoredStore()
  {
    gateway_options options;
    options.mBackends = { { "s1", "plain" }, { "s2", "plain" } };
    options.mDaemons = 3;
    options.mSeeds = true;
    gateway_system system{ options };
    CPPUNIT_ASSERT(WaitUntil([&] { return !Registered(system).empty(); }, seconds{ 6 }));
    auto configuration = system.Configuration();
    auto version = configuration["Version"].get<int>();
    for (const std::string round : { "first", "second" }) {
      system.StoreFaults({ { "copy", { { "without", { "skylarkwind-daemons" } } } } });
      const auto oldVersion = version;
      // Written several times, so that its last revision is above those of the restored store.
      for (int i = 0; i < 5; ++i) {
        configuration["Version"] = ++version;
        system.Configure(configuration);
      }
      CPPUNIT_ASSERT_MESSAGE(round, AllApply(system, version, seconds{ 3 }));
      const auto registered = Registered(system);
      std::vector<std::size_t> logged;
      logged.reserve(static_cast<std::size_t>(system.DaemonCount()));
      for (int i = 0; i < system.DaemonCount(); ++i) {
        logged.push_back(system.DaemonLog(i).size());
      }
      system.StoreFaults({ { "restore", true } });
      CPPUNIT_ASSERT(Registered(system) != registered);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Failures(system, round + "-after-", 50));
      // A daemon notices the return with its next call, which its cut watch causes at once.
      const bool again = WaitUntil(
        [&] {
          const auto now = Registered(system);
          return std::includes(now.begin(), now.end(), registered.begin(), registered.end());
        },
        milliseconds{ 2'500 });
      CPPUNIT_ASSERT_MESSAGE(round + "\n" + system.DaemonLog(), again);
      configuration["Version"] = ++version;
      system.Configure(configuration);
      CPPUNIT_ASSERT_MESSAGE(round + "\n" + system.DaemonLog(),
                             AllApply(system, version, seconds{ 3 }));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Failures(system, round + "-later-", 50));
      for (int i = 0; i < system.DaemonCount(); ++i) {
        const auto log = system.DaemonLog(i).substr(logged[static_cast<std::size_t>(i)]);
        CPPUNIT_ASSERT_MESSAGE(log,
                               log.find("applied version=" + std::to_string(oldVersion) + ' ') ==
                                 std::string::npos);
        CPPUNIT_ASSERT_MESSAGE(log, log.find("restored from a copy") != std::string::npos);
        CPPUNIT_ASSERT(!system.Daemon(i).WaitForExit(milliseconds{ 0 }));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_restored_store_test);

} // namespace skylarkwind::sessions
