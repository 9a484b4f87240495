#include "gateway_system.h"

#include <cppunit/extensions/HelperMacros.h>

#include <utility>

namespace skylarkwind::sessions {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Objects in the store that a daemon cannot use, left there by another writer.
class gateway_entries_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(gateway_entries_test);
  CPPUNIT_TEST(UnusableServerEntriesLeaveOthersInUse);
  CPPUNIT_TEST(UnusableEntriesPassBetweenDaemons);
  CPPUNIT_TEST(UnusableConfigurationIsNotApplied);
  CPPUNIT_TEST(UnusableObjectsOfDaemonsAreReplaced);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::size_t kDeep = 100'000;

  using named_text = std::pair<std::string, std::string>;

  static std::string Nested(std::size_t aDepth)
  {
    return std::string(aDepth, '[') + std::string(aDepth, ']');
  }

  static std::string NestedObjects(std::size_t aDepth)
  {
    std::string text;
    for (std::size_t i = 0; i < aDepth; ++i) {
      text += R"({"a":)";
    }
    return text + "1" + std::string(aDepth, '}');
  }

  /// An entry of the plain service with this address, and with further members.
  static std::string Entry(const std::string& aAddress, const std::string& aMembers = {})
  {
    return R"({"Service":"plain","Address":)" + aAddress +
           R"(,"Zone":"z","Slots":8,"State":"ready","Seq":1)" + aMembers + "}";
  }

  /// Names and Specs of server entries that name no server to use.
  static std::vector<named_text> ServerEntries()
  {
    const std::string address = R"("127.0.0.1:9")";
    return {
      { "null", "null" },
      { "text", R"("ready")" },
      { "deep", Nested(kDeep) },
      { "deep-objects", NestedObjects(kDeep) },
      { "deep-address", Entry(Nested(kDeep)) },
      { "deep-role", Entry(address, R"(,"Stage":)" + Nested(kDeep)) },
      { "deep-start", Entry(address, R"(,"born":)" + Nested(kDeep)) },
      { "deep-other", Entry(address, R"(,"note":)" + NestedObjects(kDeep)) },
      { "large-number", Entry(address, R"(,"ColdMs":1e999)") },
      { "large-slots",
        R"({"Service":"plain","Address":"127.0.0.1:9","Zone":"z","Slots":1e300,)"
        R"("State":"ready"})" },
      { "negative-slots",
        R"({"Service":"plain","Address":"127.0.0.1:9","Zone":"z","Slots":-1,)"
        R"("State":"ready"})" },
      { "large-port", Entry(R"("127.0.0.1:70000")") },
      { "huge-port", Entry(R"("127.0.0.1:99999999999999999999")") },
      { "no-port", Entry(R"("127.0.0.1")") },
      { "zero-port", Entry(R"("127.0.0.1:0")") },
      { "negative-port", Entry(R"("127.0.0.1:-1")") },
      { "host-name", Entry(R"("localhost:80")") },
      { "empty-address", Entry(R"("")") },
      { "address-with-end", Entry(R"("127.0.0.1\u0000:80")") },
      { "unix-address", Entry(R"("unix:/tmp/skylarkwind-none")") },
      { "bytes", Entry("\"127.0.0.1:\xff\xfe\"") },
    };
  }

  /// Whether a change that follows is applied: the second plain server is removed and listed again.
  static bool FollowsChanges(gateway_system& aSystem)
  {
    const auto count = [&](const std::string& aText) {
      const auto log = aSystem.DaemonLog();
      std::size_t found = 0;
      for (auto at = log.find(aText); at != std::string::npos; at = log.find(aText, at + 1)) {
        ++found;
      }
      return found;
    };
    const auto removed = count("removed id=s2");
    aSystem.Unlist("s2");
    const bool applied = WaitUntil([&] { return count("removed id=s2") > removed; }, seconds{ 4 });
    const auto listed = count("id=s2 draining=0");
    aSystem.List("s2", "ready");
    return applied && WaitUntil([&] { return count("id=s2 draining=0") > listed; }, seconds{ 4 });
  }

  static bool Serves(const gateway_system& aSystem, const std::string& aId)
  {
    return aSystem
             .Send("GET",
                   "/lookup/x",
                   { "X-Skylarkwind-Request-Id: " + aId, "X-Skylarkwind-Deadline-Ms: 2000" })
             .mStatus == 200;
  }

  static std::string LogEnd(const gateway_system& aSystem)
  {
    constexpr std::size_t kShown = 2'000;
    const auto log = aSystem.DaemonLog();
    return log.substr(log.size() - std::min(log.size(), kShown));
  }

  /// What is wrong with the daemon after it has read an object; empty when it runs, applies what
  /// comes after the object, and serves.
  static std::string Problem(gateway_system& aSystem, const std::string& aName)
  {
    const bool follows = FollowsChanges(aSystem);
    if (aSystem.Daemon().WaitForExit(milliseconds{ 0 })) {
      return aName + ": the daemon ended, wait status " +
             std::to_string(aSystem.Daemon().Status()) + "\n";
    }
    if (!follows) {
      return aName + ": changes are not applied\n";
    }
    return Serves(aSystem, "after-" + aName) ? std::string{} : aName + ": requests fail\n";
  }

  static bool Restart(gateway_system& aSystem)
  {
    aSystem.RestartDaemon(0);
    return WaitUntil([&] { return aSystem.Ready().mStatus == 200; }, seconds{ 6 });
  }

  /// Guards against an entry of another writer that ends the daemons which read it, that stops them
  /// from following the store, or that is taken for a server (report of odd entries, issue 30).
  void UnusableServerEntriesLeaveOthersInUse()
  {
    gateway_options options;
    options.mBackends = { { "s1", "plain" }, { "s2", "plain" } };
    gateway_system system{ options };
    std::string problems;
    for (const auto& [name, spec] : ServerEntries()) {
      system.PutRaw("servers", name, spec);
      auto problem = Problem(system, name);
      if (system.DaemonLog().find("id=" + name + " draining") != std::string::npos) {
        problem += name + ": taken for a server\n";
      }
      problems += problem;
      if (!problem.empty()) {
        system.Unlist(name);
        Restart(system);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string{}, problems);
    // A list that contains all of them.
    const auto listedAt = system.DaemonLog().size();
    CPPUNIT_ASSERT_MESSAGE(LogEnd(system), Restart(system));
    CPPUNIT_ASSERT_EQUAL(std::string{}, Problem(system, "list"));
    CPPUNIT_ASSERT_MESSAGE(
      LogEnd(system), system.DaemonLog().find("listed count=2\n", listedAt) != std::string::npos);
  }

  /// Guards against entries that end, or cut off, the daemons that receive them from another
  /// daemon: a change by datagrams, all objects by a snapshot.
  void UnusableEntriesPassBetweenDaemons()
  {
    gateway_options options;
    options.mBackends = { { "s1", "plain" }, { "s2", "plain" } };
    options.mDaemons = 4;
    options.mSeeds = true;
    gateway_system system{ options };
    for (const auto& [name, spec] : ServerEntries()) {
      system.PutRaw("servers", name, spec);
    }
    for (int i = 0; i <= options.mDaemons; ++i) {
      if (i == options.mDaemons) {
        system.AddDaemon();
      }
      CPPUNIT_ASSERT(WaitUntil([&] { return system.Ready(i).mStatus == 200; }, seconds{ 10 }));
    }
    system.Unlist("s2");
    for (int i = 0; i <= options.mDaemons; ++i) {
      const auto applied = [&] {
        const auto log = system.DaemonLog(i);
        return log.find("removed id=s2") != std::string::npos ||
               log.find("listed count=1\n") != std::string::npos;
      };
      CPPUNIT_ASSERT_MESSAGE(std::to_string(i) + "\n" + system.DaemonLog(i),
                             WaitUntil(applied, seconds{ 6 }));
      CPPUNIT_ASSERT(!system.Daemon(i).WaitForExit(milliseconds{ 0 }));
    }
  }

  /// Guards against a configuration object of another writer that ends the daemons or stops them
  /// from following the store, and against a later configuration that is not applied because of it.
  void UnusableConfigurationIsNotApplied()
  {
    gateway_options options;
    options.mBackends = { { "s1", "plain" }, { "s2", "plain" } };
    gateway_system system{ options };
    const std::vector<named_text> specs{
      { "null", "null" },
      { "deep", Nested(kDeep) },
      { "deep-version", R"({"Version":)" + Nested(kDeep) + "}" },
      { "deep-routes", R"({"Version":99,"Routes":)" + Nested(kDeep) + "}" },
      { "large-version", R"({"Version":1e300,"Routes":[]})" },
      { "large-number", R"({"Version":1e999,"Routes":[]})" },
      { "negative-version", R"({"Version":-1,"Routes":[]})" },
      { "bytes", "{\"Version\":99,\"Routes\":[],\"a\":\"\xff\"}" },
    };
    auto configuration = gateway_system::FirstConfiguration();
    auto version = configuration["Version"].get<int>();
    std::string problems;
    for (const auto& [name, spec] : specs) {
      system.PutRaw("config", "main", spec);
      system.PutRaw("config", "other", spec);
      const auto problem = Problem(system, name);
      problems += problem;
      configuration["Version"] = ++version;
      system.Configure(configuration);
      if (!problem.empty()) {
        system.PutRaw("config", "other", "{}");
        Restart(system);
      }
      const auto applied = "applied version=" + std::to_string(version) + ' ';
      if (!WaitUntil([&] { return system.DaemonLog().find(applied) != std::string::npos; },
                     seconds{ 4 })) {
        problems += name + ": the next configuration is not applied\n";
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::string{}, problems);
  }

  /// Guards against unusable objects of the daemons' own kinds, which end the daemons that read
  /// them or keep them from changing the roles of engines: the lease is taken over.
  void UnusableObjectsOfDaemonsAreReplaced()
  {
    struct unusable
    {
      std::string mName;
      std::string mLease;
      std::string mRegistration;
    };
    const std::vector<unusable> cases{
      { "null", "null", "null" },
      { "deep", Nested(kDeep), R"({"address":"127.0.0.1:70000","strength":1e300})" },
      { "deep-holder",
        R"({"fencing":3,"holder":)" + Nested(kDeep) + "}",
        "{\"address\":\"\xff:1\",\"data_centre\":\"z\"}" },
      { "large-fencing",
        R"({"fencing":18446744073709551615,"holder":"vm-9"})",
        R"({"address":"127.0.0.1:9","strength":)" + Nested(kDeep) + "}" },
      { "large-number", R"({"fencing":1e999,"holder":"vm-9"})", Nested(kDeep) },
      { "deep-registration", "{}", R"({"address":)" + NestedObjects(kDeep) + "}" },
    };
    std::string problems;
    for (const auto& [name, lease, registration] : cases) {
      gateway_options options;
      options.mBackends = { { "d1" }, { "d2" }, { "s1", "plain" }, { "s2", "plain" } };
      gateway_system system{ options };
      system.PutRaw("skylarkwind-daemons", "vm-9", registration);
      system.PutRaw("skylarkwind-leases", "engine-orders", lease);
      Restart(system);
      // Half of the two engines are to be prefill engines, so that the daemon needs the lease.
      if (!WaitUntil(
            [&] { return system.DaemonLog().find("answer=accepted") != std::string::npos; },
            seconds{ 12 })) {
        problems += name + ": no role command is accepted\n";
      }
      problems += Problem(system, name);
    }
    CPPUNIT_ASSERT_EQUAL(std::string{}, problems);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_entries_test);

} // namespace skylarkwind::sessions
