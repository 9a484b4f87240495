#include "gateway_system.h"
#include "raw_caller.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <fstream>
#include <memory>
#include <sstream>

namespace skylarkwind::sessions {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Limits of callers that change while connections and requests are open.
class gateway_limits_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(gateway_limits_test);
  CPPUNIT_TEST(KeptConnectionOutlivesAFallOfTheIdleLimit);
  CPPUNIT_TEST_SUITE_END();

  static gateway_options Options()
  {
    gateway_options options;
    options.mBackends = { { "s1", "plain" }, { "s2", "plain" } };
    return options;
  }

  static std::string Post(const std::string& aId, const std::string& aBody)
  {
    return "POST /order/a HTTP/1.1\r\nHost: a.example\r\nX-Skylarkwind-Request-Id: " + aId +
           "\r\nX-Skylarkwind-Deadline-Ms: 4000\r\nContent-Length: " +
           std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  /// Applies the limits as a new version of the configuration.
  static void SetLimits(gateway_system& aSystem, int aVersion, const json& aLimits)
  {
    auto next = aSystem.Configuration();
    next["Version"] = aVersion;
    next["Limits"].update(aLimits);
    aSystem.Configure(next);
    const auto applied = "applied version=" + std::to_string(aVersion) + ' ';
    CPPUNIT_ASSERT(
      WaitUntil([&] { return aSystem.DaemonLog().find(applied) != std::string::npos; }));
  }

  /// Sends a whole request and reads its response.
  static raw_answer Ask(raw_caller& aCaller, const std::string& aRequest)
  {
    CPPUNIT_ASSERT(aCaller.Send(aRequest));
    return aCaller.ReadAnswer(seconds{ 4 });
  }
  static void AssertServed(const raw_answer& aAnswer, const gateway_system& aSystem)
  {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aSystem.DaemonLog(), 200, aAnswer.mStatus);
    CPPUNIT_ASSERT(aAnswer.mWhole);
  }

  /// Guards against connections that are closed by a new, lower idle limit while callers still know
  /// the older one: their next request was read and discarded (incident of answers lost beside a
  /// change of the configuration).
  void KeptConnectionOutlivesAFallOfTheIdleLimit()
  {
    gateway_system system{ Options() };
    SetLimits(system, 5, { { "IdleTimeoutMs", 20'000 } });
    raw_caller caller{ system.CallersAddress(0) };
    AssertServed(Ask(caller, Post("first", "b")), system);
    caller.TakeAnswer();
    SetLimits(system, 6, { { "IdleTimeoutMs", 300 } });
    CPPUNIT_ASSERT_MESSAGE("closed", !caller.ReadToEnd(milliseconds{ 700 }));
    AssertServed(Ask(caller, Post("second", "b")), system);
    // The new limit is in force once callers know it.
    CPPUNIT_ASSERT(caller.ReadToEnd(seconds{ 6 }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_limits_test);

} // namespace skylarkwind::sessions
