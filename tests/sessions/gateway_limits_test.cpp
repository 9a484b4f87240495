#include "gateway_system.h"
#include "raw_caller.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sys/resource.h>

#include <csignal>
#include <fstream>
#include <memory>
#include <sstream>
#include <vector>

namespace skylarkwind::sessions {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Limits of callers that change while connections and requests are open.
class gateway_limits_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(gateway_limits_test);
  CPPUNIT_TEST(KeptConnectionOutlivesAFallOfTheIdleLimit);
  CPPUNIT_TEST(RequestOfAHeldUpDaemonIsServed);
  CPPUNIT_TEST(BodyIsHeldToTheLimitOfItsHead);
  CPPUNIT_TEST(HeadIsHeldToTheLimitsOfItsBegin);
  CPPUNIT_TEST(OtherAddressesKeepConnectionsOpen);
  CPPUNIT_TEST(ReadinessTellsThatCallersCannotBeAccepted);
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

  /// Guards against a request that the daemon could not read in time, because it was held up, and
  /// whose connection it then takes for idle.
  void RequestOfAHeldUpDaemonIsServed()
  {
    gateway_system system{ Options() };
    SetLimits(system, 5, { { "IdleTimeoutMs", 500 }, { "HeaderTimeoutMs", 500 } });
    constexpr int kRounds = 4;
    constexpr int kCallers = 10;
    for (int round = 0; round < kRounds; ++round) {
      std::vector<std::unique_ptr<raw_caller>> callers;
      callers.reserve(2 * kCallers);
      const auto id = [&](const char* aName, int aIndex) {
        return aName + std::to_string(round) + "-" + std::to_string(aIndex);
      };
      for (int i = 0; i < kCallers; ++i) {
        callers.push_back(std::make_unique<raw_caller>(system.CallersAddress(0)));
      }
      for (int i = 0; i < kCallers; ++i) {
        auto& caller = *callers[static_cast<std::size_t>(i)];
        AssertServed(Ask(caller, Post(id("first", i), "b")), system);
        caller.TakeAnswer();
      }
      // Fresh connections have not had a request yet.
      for (int i = 0; i < kCallers; ++i) {
        callers.push_back(std::make_unique<raw_caller>(system.CallersAddress(0)));
      }
      AssertServed(Ask(*callers.front(), Post(id("last", 0), "b")), system);
      callers.front()->TakeAnswer();
      system.Daemon().Signal(SIGSTOP);
      for (int i = 0; i < 2 * kCallers; ++i) {
        CPPUNIT_ASSERT(callers[static_cast<std::size_t>(i)]->Send(Post(id("held", i), "b")));
      }
      CPPUNIT_ASSERT(!callers.front()->ReadToEnd(milliseconds{ 900 }));
      system.Daemon().Signal(SIGCONT);
      for (int i = 0; i < 2 * kCallers; ++i) {
        auto& caller = *callers[static_cast<std::size_t>(i)];
        const auto answer = caller.ReadAnswer(seconds{ 4 });
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          id("held", i) + '\n' + system.DaemonLog(), 200, answer.mStatus);
        CPPUNIT_ASSERT(answer.mWhole);
      }
    }
  }

  /// A body whose head came under the older limit is held to that one, a later body to the new one.
  /// Both callers get a whole answer.
  void BodyIsHeldToTheLimitOfItsHead()
  {
    gateway_system system{ Options() };
    raw_caller sized{ system.CallersAddress(0) };
    raw_caller chunked{ system.CallersAddress(0) };
    const std::string body(4'000, 'x');
    const auto request = Post("sized", body);
    const auto sent = request.size() - 1'000;
    CPPUNIT_ASSERT(sized.Send(request.substr(0, sent)));
    CPPUNIT_ASSERT(chunked.Send(
      "POST /order/a HTTP/1.1\r\nHost: a.example\r\nX-Skylarkwind-Request-Id: chunked\r\n"
      "X-Skylarkwind-Deadline-Ms: 4000\r\nTransfer-Encoding: chunked\r\n\r\nbb8\r\n" +
      std::string(3'000, 'x') + "\r\n"));
    // A request on another connection shows that the daemon has read what was sent before it.
    CPPUNIT_ASSERT_EQUAL(
      200, system.Send("GET", "/lookup/a", { "X-Skylarkwind-Request-Id: other" }).mStatus);
    SetLimits(system, 5, { { "MaxBodyBytes", 1'000 } });
    AssertServed(Ask(sized, request.substr(sent)), system);
    AssertServed(Ask(chunked, "3e8\r\n" + std::string(1'000, 'x') + "\r\n0\r\n\r\n"), system);
    raw_caller later{ system.CallersAddress(0) };
    const auto refused = Ask(later, Post("later", body));
    CPPUNIT_ASSERT_EQUAL(413, refused.mStatus);
    CPPUNIT_ASSERT(refused.mWhole);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, system.Count("ran"));
  }

  /// Guards against a head that arrives in parts and whose connection falls under a lower limit
  /// meanwhile, the one for idle connections or the one for heads.
  void HeadIsHeldToTheLimitsOfItsBegin()
  {
    gateway_system system{ Options() };
    raw_caller fresh{ system.CallersAddress(0) };
    raw_caller kept{ system.CallersAddress(0) };
    AssertServed(Ask(kept, Post("first", "b")), system);
    kept.TakeAnswer();
    constexpr std::size_t kPart = 40;
    const auto first = Post("fresh", "b");
    const auto second = Post("kept", "b");
    CPPUNIT_ASSERT(fresh.Send(first.substr(0, kPart)));
    CPPUNIT_ASSERT(kept.Send(second.substr(0, kPart)));
    SetLimits(system,
              5,
              { { "IdleTimeoutMs", 300 }, { "HeaderTimeoutMs", 300 }, { "MaxHeaderBytes", 64 } });
    CPPUNIT_ASSERT(!fresh.ReadToEnd(milliseconds{ 700 }));
    CPPUNIT_ASSERT(!kept.ReadToEnd(milliseconds{ 1 }));
    AssertServed(Ask(fresh, first.substr(kPart)), system);
    AssertServed(Ask(kept, second.substr(kPart)), system);
  }

  /// The daemon goes on at its addresses until it is restarted, and keeps its connections.
  void OtherAddressesKeepConnectionsOpen()
  {
    gateway_system system{ Options() };
    raw_caller kept{ system.CallersAddress(0) };
    AssertServed(Ask(kept, Post("first", "b")), system);
    kept.TakeAnswer();
    const auto file = system.Directory() + "/vm-0.yaml";
    std::ostringstream text;
    text << std::ifstream{ file }.rdbuf();
    auto changed = text.str();
    const auto at = changed.find(system.CallersAddress(0));
    CPPUNIT_ASSERT(at != std::string::npos);
    changed.replace(at, system.CallersAddress(0).size(), "127.0.0.1:1");
    std::ofstream{ file } << changed;
    system.Daemon().Signal(SIGHUP);
    CPPUNIT_ASSERT_MESSAGE(system.DaemonLog(), WaitUntil([&] {
                             return system.DaemonLog().find("need_restart=callers_address") !=
                                    std::string::npos;
                           }));
    AssertServed(Ask(kept, Post("second", "b")), system);
    raw_caller later{ system.CallersAddress(0) };
    AssertServed(Ask(later, Post("third", "b")), system);
  }

  /// Guards against a daemon that answers 200 for readiness while it has no descriptor left for
  /// callers, so that a balancer goes on sending them (review, case 2). The question comes on a
  /// kept connection, as a new one cannot be accepted either.
  void ReadinessTellsThatCallersCannotBeAccepted()
  {
    constexpr rlim_t kDescriptors = 200;
    gateway_system system{ Options() };
    const rlimit limit{ kDescriptors, kDescriptors };
    CPPUNIT_ASSERT_EQUAL(0, prlimit(system.Daemon().Pid(), RLIMIT_NOFILE, &limit, nullptr));
    raw_caller balancer{ system.ReadyAddress(0) };
    const auto status = [&balancer] {
      balancer.Forget();
      CPPUNIT_ASSERT(balancer.Send("GET /skylarkwind/ready HTTP/1.1\r\nHost: a.example\r\n\r\n"));
      return balancer.ReadAnswer(seconds{ 4 }).mStatus;
    };
    CPPUNIT_ASSERT_EQUAL(200, status());
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (rlim_t i = 0; i < kDescriptors; ++i) {
      callers.push_back(std::make_unique<raw_caller>(system.CallersAddress(0)));
    }
    CPPUNIT_ASSERT_MESSAGE(system.DaemonLog(), WaitUntil([&] { return status() == 503; }));
    callers.clear();
    CPPUNIT_ASSERT_MESSAGE(system.DaemonLog(), WaitUntil([&] { return status() == 200; }));
    raw_caller caller{ system.CallersAddress(0) };
    AssertServed(Ask(caller, Post("after", "b")), system);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_limits_test);

} // namespace skylarkwind::sessions
