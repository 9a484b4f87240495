#include "gateway_system.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind::sessions {

using std::chrono::seconds;

/// Servers that leave while the store shows older states of their entries.
class gateway_leaving_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(gateway_leaving_test);
  CPPUNIT_TEST(LateWriteBringsNoRequests);
  CPPUNIT_TEST(RestoredStoreBringsNoRequests);
  CPPUNIT_TEST(RestartedServerGetsRequests);
  CPPUNIT_TEST_SUITE_END();

  /// For what all daemons have to see or do.
  static constexpr seconds kLimit{ 6 };

  static gateway_options Options()
  {
    gateway_options options;
    options.mBackends = { { "s1", "plain" }, { "s2", "plain" }, { "s3", "plain" } };
    // Four daemons watch the store, the others get changes from them.
    options.mDaemons = 6;
    options.mSeeds = true;
    return options;
  }

  /// Whether a daemon has last decided to get changes from others.
  static bool IsRelayedTo(const gateway_system& aSystem, int aDaemon)
  {
    const auto log = aSystem.DaemonLog(aDaemon);
    const auto relays = log.rfind("receiving changes from other daemons");
    const auto watches = log.rfind("watching the store directly");
    return relays != std::string::npos && (watches == std::string::npos || relays > watches);
  }

  /// Waits until two daemons get changes from others.
  static void AwaitRelays(const gateway_system& aSystem)
  {
    CPPUNIT_ASSERT(WaitUntil(
      [&] {
        int relayed = 0;
        for (int i = 0; i < aSystem.DaemonCount(); ++i) {
          relayed += IsRelayedTo(aSystem, i) ? 1 : 0;
        }
        return relayed >= 2;
      },
      seconds{ 10 }));
  }

  /// Sends requests to a daemon, all of which have to succeed, and counts those that reach s1.
  static std::size_t RequestsAtS1(const gateway_system& aSystem, int aDaemon)
  {
    const auto before = aSystem.Arrivals("s1").size();
    for (int i = 0; i < 12; ++i) {
      const auto reply = Call("GET",
                              aSystem.CallerUrl("/lookup/a", aDaemon),
                              { "Host: a.example",
                                "X-Skylarkwind-Request-Id: r" + std::to_string(i),
                                "X-Skylarkwind-Deadline-Ms: 2000" });
      CPPUNIT_ASSERT_EQUAL(200, reply.mStatus);
    }
    return aSystem.Arrivals("s1").size() - before;
  }

  static bool NoneReachesS1(const gateway_system& aSystem)
  {
    return aSystem.WaitForAllDaemons(
      [&](int aDaemon) { return RequestsAtS1(aSystem, aDaemon) == 0; }, kLimit);
  }

  /// Removes s3 and waits until each daemon has seen that, and so everything that the store did
  /// before.
  static void AwaitChanges(gateway_system& aSystem)
  {
    aSystem.Unlist("s3");
    CPPUNIT_ASSERT(aSystem.WaitForAllDaemons(
      [&](int aDaemon) {
        const auto log = aSystem.DaemonLog(aDaemon);
        return log.find("removed id=s3") != std::string::npos ||
               log.find("listed count=2\n") != std::string::npos;
      },
      kLimit));
  }

  /// Guards against requests to a leaving server after the store has executed an older write of its
  /// entry late, at daemons that watch the store and at those that get changes from them (review
  /// case 10).
  void LateWriteBringsNoRequests()
  {
    gateway_system system{ Options() };
    AwaitRelays(system);
    system.List("s1", "ready");
    system.List("s1", "draining");
    CPPUNIT_ASSERT(NoneReachesS1(system));
    system.ListLate("s1", "ready");
    AwaitChanges(system);
    for (int i = 0; i < system.DaemonCount(); ++i) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, RequestsAtS1(system, i));
    }
  }

  /// Guards against requests to a leaving server after the store has come back from a copy in which
  /// it is ready, until the server writes its entry again (review case 6).
  void RestoredStoreBringsNoRequests()
  {
    gateway_system system{ Options() };
    AwaitRelays(system);
    system.StoreFaults({ { "copy", nlohmann::json::object() } });
    system.List("s1", "draining");
    CPPUNIT_ASSERT(NoneReachesS1(system));
    system.StoreFaults({ { "restore", true } });
    CPPUNIT_ASSERT(system.WaitForAllDaemons(
      [&](int aDaemon) {
        return system.DaemonLog(aDaemon).find("restored from a copy kind=servers") !=
               std::string::npos;
      },
      kLimit));
    for (int i = 0; i < system.DaemonCount(); ++i) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, RequestsAtS1(system, i));
    }
  }

  /// Guards against a server that stays out of use after it has left and started again under its
  /// id.
  void RestartedServerGetsRequests()
  {
    gateway_system system{ Options() };
    system.List("s1", "draining");
    CPPUNIT_ASSERT(NoneReachesS1(system));
    system.RestartBackend("s1");
    system.List("s1", "ready");
    CPPUNIT_ASSERT(system.WaitForAllDaemons(
      [&](int aDaemon) { return RequestsAtS1(system, aDaemon) > 0; }, kLimit));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_leaving_test);

} // namespace skylarkwind::sessions
