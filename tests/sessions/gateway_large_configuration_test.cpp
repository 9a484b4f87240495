#include "gateway_system.h"

#include <cppunit/extensions/HelperMacros.h>

#include <chrono>
#include <random>
#include <sstream>
#include <string>

namespace skylarkwind::sessions {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// Time after an acknowledgement within which a change has to be in force, beside the time that the
/// link of a daemon takes for the object.
constexpr milliseconds kChangeDeadline{ 2'000 };

json
WithRoutes(json aConfiguration, int aVersion, int aCount)
{
  std::mt19937_64 random{ 1 };
  aConfiguration["Version"] = aVersion;
  const auto known = aConfiguration["Routes"].back();
  for (int i = 0; i < aCount; ++i) {
    auto route = known;
    route["Name"] = "r-" + std::to_string(random() % 1'000'000'000);
    route["PathPrefix"] = "/extra-" + std::to_string(i) + "/";
    route["Host"] = std::to_string(random()) + ".example";
    aConfiguration["Routes"].push_back(route);
  }
  return aConfiguration;
}

bool
HasApplied(const gateway_system& aSystem, int aDaemon, int aVersion)
{
  return aSystem.DaemonLog(aDaemon).find("applied version=" + std::to_string(aVersion) + " ") !=
         std::string::npos;
}

/// The value of a metric; zero if there is none.
double
Metric(const gateway_system& aSystem, int aDaemon, const std::string& aName)
{
  std::istringstream lines{ aSystem.Metrics(aDaemon) };
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with(aName + " ")) {
      return std::stod(line.substr(aName.size()));
    }
  }
  return 0;
}

} // namespace

/// A configuration that is large for the links of the daemons.
class gateway_large_configuration_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(gateway_large_configuration_test);
  CPPUNIT_TEST(LargeConfigurationArrivesOverSlowLinks);
  CPPUNIT_TEST(OneRouteCostsBytesOfOneRoute);
  CPPUNIT_TEST_SUITE_END();

  static gateway_options Options()
  {
    gateway_options options;
    options.mBackends = { { .mId = "p1", .mService = "plain" } };
    options.mDaemons = 6;
    options.mDataCentres = 2;
    options.mSeeds = true;
    options.mRelays = true;
    return options;
  }

  static void ExpectAppliedEverywhere(gateway_system& aSystem, int aVersion, milliseconds aLimit)
  {
    const auto until = std::chrono::steady_clock::now() + aLimit;
    for (int i = 0; i < aSystem.DaemonCount(); ++i) {
      WaitUntil([&] {
        return HasApplied(aSystem, i, aVersion) || std::chrono::steady_clock::now() > until;
      });
      CPPUNIT_ASSERT_MESSAGE("daemon " + std::to_string(i) + " version " +
                               std::to_string(aVersion) + "\n" + aSystem.DaemonLog(i),
                             HasApplied(aSystem, i, aVersion));
    }
  }

  /// Guards against daemons that never receive a configuration for which their links need longer
  /// than the time limit of a call to the store, as each call begins anew (incident CONFIG, issue
  /// 45).
  void LargeConfigurationArrivesOverSlowLinks()
  {
    gateway_system system{ Options() };
    constexpr int kBytesPerSecond = 150'000;
    for (int i = 0; i < system.DaemonCount(); ++i) {
      system.DisturbStore(i, { { "bytes_per_second", kBytesPerSecond } });
    }
    for (const int version : { 5, 6 }) {
      const auto configuration = WithRoutes(system.Configuration(), version, 1'000 * (version - 3));
      const milliseconds transfer{ configuration.dump().size() * 1'000 / kBytesPerSecond };
      CPPUNIT_ASSERT(transfer > seconds{ 2 });
      system.Configure(configuration);
      ExpectAppliedEverywhere(system, version, transfer + kChangeDeadline);
    }
    const auto reply = system.Send("GET", "/lookup/x");
    CPPUNIT_ASSERT_EQUAL(200, static_cast<int>(reply.mStatus));
  }

  /// Guards against changes of one route that are exchanged as whole configurations.
  void OneRouteCostsBytesOfOneRoute()
  {
    gateway_system system{ Options() };
    system.Configure(WithRoutes(system.Configuration(), 5, 1'000));
    ExpectAppliedEverywhere(system, 5, kChangeDeadline);
    const std::string name =
      "skylarkwind_replication_bytes_total{kind=\"config\",direction=\"received\"}";
    std::vector<double> before;
    before.reserve(static_cast<std::size_t>(system.DaemonCount()));
    for (int i = 0; i < system.DaemonCount(); ++i) {
      before.push_back(Metric(system, i, name));
    }
    system.Configure(WithRoutes(system.Configuration(), 6, 1'001));
    ExpectAppliedEverywhere(system, 6, kChangeDeadline);
    for (int i = 0; i < system.DaemonCount(); ++i) {
      constexpr double kFewBytes = 2'000;
      const auto received = Metric(system, i, name) - before[static_cast<std::size_t>(i)];
      CPPUNIT_ASSERT_MESSAGE("daemon " + std::to_string(i) + " received " +
                               std::to_string(received),
                             received <= kFewBytes);
    }
    // Those that don't watch the store have it from others.
    double received = 0;
    for (int i = 0; i < system.DaemonCount(); ++i) {
      received += Metric(system, i, "skylarkwind_replication_age_ms_count{kind=\"config\"}");
    }
    std::string logs;
    for (int i = 0; i < system.DaemonCount(); ++i) {
      logs += "\ndaemon " + std::to_string(i) + "\n" + system.DaemonLog(i);
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(received) + " states received" + logs, received >= 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_large_configuration_test);

} // namespace skylarkwind::sessions
