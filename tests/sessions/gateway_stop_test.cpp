#include "gateway_system.h"
#include "raw_caller.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sys/wait.h>

#include <sstream>

namespace skylarkwind::sessions {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A daemon that is told to stop while callers use its connections.
class gateway_stop_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(gateway_stop_test);
  CPPUNIT_TEST(ExitNamesOpenRequests);
  CPPUNIT_TEST(RequestCompletedAfterRefusalBeganIsRefused);
  CPPUNIT_TEST(RequestsThatCannotEndAreAnsweredBeforeTheExit);
  CPPUNIT_TEST(AnswerIsNotLostToUnreadInput);
  CPPUNIT_TEST(RequestAfterAnnouncedCloseIsNotRun);
  CPPUNIT_TEST_SUITE_END();

  /// A grace period of two seconds, of which the balancer takes 0.3.
  static gateway_options Options()
  {
    gateway_options options;
    options.mBackends = {
      { "p1", "model", "prefill" }, { "d1" }, { "d2" }, { "s1", "plain" }, { "s2", "plain" }
    };
    options.mPrefillShare = 0.34;
    options.mShutdownGraceS = 2;
    return options;
  }

  static std::string Post(const std::string& aPath,
                          const std::string& aId,
                          const std::string& aBody,
                          int aEvents = 0)
  {
    std::string text = "POST " + aPath + " HTTP/1.1\r\nHost: a.example\r\n";
    if (aEvents > 0) {
      for (const auto& line : gateway_system::StreamHeaders(aId, aEvents)) {
        text += line.starts_with("Host:") ? std::string{} : line + "\r\n";
      }
    } else {
      text += "X-Skylarkwind-Request-Id: " + aId + "\r\nX-Skylarkwind-Deadline-Ms: 4000\r\n";
    }
    return text + "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody;
  }

  static bool Exited(gateway_system& aSystem, milliseconds aLimit)
  {
    return aSystem.Daemon().WaitForExit(aLimit) && WIFEXITED(aSystem.Daemon().Status()) &&
           WEXITSTATUS(aSystem.Daemon().Status()) == 0;
  }

  /// The line of the daemon's log that contains both texts; empty when there is none.
  static std::string LogLine(const gateway_system& aSystem,
                             const std::string& aFirst,
                             const std::string& aSecond)
  {
    std::istringstream log{ aSystem.DaemonLog() };
    for (std::string line; std::getline(log, line);) {
      if (line.find(aFirst) != std::string::npos && line.find(aSecond) != std::string::npos) {
        return line;
      }
    }
    return {};
  }

  /// Guards against requests that a stop ends and of which the log says nothing, so that an exit,
  /// a crash and a lost connection look alike (incident of LOST around SIGTERM).
  void ExitNamesOpenRequests()
  {
    auto options = Options();
    for (auto& backend : options.mBackends) {
      backend.mEventMs = 100;
    }
    gateway_system system{ options };
    raw_caller caller{ system.CallersAddress(0) };
    caller.Send(Post("/once-stream/a", "open-1", "b", 60));
    CPPUNIT_ASSERT(
      WaitUntil([&] { return caller.ReadAnswer(milliseconds{ 1 }).mBody.size() > 40; }));
    system.Daemon().Signal(SIGTERM);
    CPPUNIT_ASSERT(Exited(system, seconds{ 5 }));
    CPPUNIT_ASSERT(
      WaitUntil([&] { return !LogLine(system, "id=open-1", "sent=").empty(); }, seconds{ 2 }));
    CPPUNIT_ASSERT(!LogLine(system, "id=open-1", "reason=\"the daemon exits\"").empty());
    CPPUNIT_ASSERT(!LogLine(system, "stopped vm=", "open_requests=1 connections=1").empty());
  }

  /// Guards against a request whose body arrives around the moment at which the daemon begins to
  /// refuse: it was passed on afterwards, and the exit cut it off.
  void RequestCompletedAfterRefusalBeganIsRefused()
  {
    gateway_system system{ Options() };
    const std::string body(4'000, 'x');
    const auto whole = Post("/order/a", "parts-1", body);
    raw_caller caller{ system.CallersAddress(0) };
    CPPUNIT_ASSERT(caller.Send(whole.substr(0, whole.size() - 1'000)));
    // A request on another connection shows that the daemon has read what was sent before it.
    CPPUNIT_ASSERT_EQUAL(
      200, system.Send("GET", "/lookup/a", { "X-Skylarkwind-Request-Id: other" }).mStatus);
    system.Daemon().Signal(SIGTERM);
    CPPUNIT_ASSERT(
      WaitUntil([&] { return !LogLine(system, "stopped accepting", "connections").empty(); }));
    CPPUNIT_ASSERT(caller.Send(whole.substr(whole.size() - 1'000)));
    const auto answer = caller.ReadAnswer(seconds{ 3 });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(caller.Received(), 503, answer.mStatus);
    CPPUNIT_ASSERT(answer.mWhole);
    CPPUNIT_ASSERT(answer.mHead.find("Retry-After: ") != std::string::npos);
    CPPUNIT_ASSERT(Exited(system, seconds{ 5 }));
    // The only run is that of the request before the stop.
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, system.Count("ran"));
  }

  /// Guards against requests that wait for an engine, or whose body is incomplete, when the grace
  /// period ends: their connections were closed without a response, although the daemon knew that
  /// nothing had run. What may have run gets a failure instead.
  void RequestsThatCannotEndAreAnsweredBeforeTheExit()
  {
    auto options = Options();
    // Requests are ended before the silent prefill engine is given up.
    options.mShutdownGraceS = 1.4;
    gateway_system system{ options };
    for (const auto* id : { "p1", "s1", "s2" }) {
      system.SetMode(id, "mute");
    }
    raw_caller prefilling{ system.CallersAddress(0) };
    raw_caller running{ system.CallersAddress(0) };
    raw_caller sending{ system.CallersAddress(0) };
    prefilling.Send(Post("/stream/a", "prefilling", "b", 10));
    running.Send(Post("/order/a", "running", "b"));
    const auto partial = Post("/order/a", "sending", std::string(4'000, 'x'));
    sending.Send(partial.substr(0, partial.size() - 1'000));
    CPPUNIT_ASSERT(
      WaitUntil([&] { return system.Count("muted") == 1 && system.Count("ran") == 1; }));
    system.Daemon().Signal(SIGTERM);
    const auto refused = prefilling.ReadAnswer(seconds{ 4 });
    const auto failed = running.ReadAnswer(seconds{ 4 });
    const auto unread = sending.ReadAnswer(seconds{ 4 });
    CPPUNIT_ASSERT_EQUAL_MESSAGE(system.DaemonLog(), 503, refused.mStatus);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(system.DaemonLog(), 502, failed.mStatus);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(system.DaemonLog(), 503, unread.mStatus);
    CPPUNIT_ASSERT(refused.mWhole && failed.mWhole && unread.mWhole);
    CPPUNIT_ASSERT(Exited(system, seconds{ 5 }));
    CPPUNIT_ASSERT_MESSAGE(system.DaemonLog(),
                           !LogLine(system, "stopped vm=", "open_requests=0").empty());
  }

  /// Guards against a response that is lost because its connection is closed while input is unread:
  /// the kernel then resets the connection and discards what the caller has not received.
  void AnswerIsNotLostToUnreadInput()
  {
    auto options = Options();
    options.mBalancerNoticesMs = 1'000;
    for (auto& backend : options.mBackends) {
      backend.mEventBytes = 12'000;
    }
    gateway_system system{ options };
    // The send buffer of the daemon's socket holds what the caller does not read.
    constexpr int kReceiveBytes = 4'096;
    constexpr int kEvents = 5;
    raw_caller caller{ system.CallersAddress(0), kReceiveBytes };
    system.Daemon().Signal(SIGTERM);
    CPPUNIT_ASSERT(WaitUntil([&] { return system.Ready().mStatus == 503; }));
    // The next request is larger than what the daemon discards of a body, so that a part stays
    // unread.
    caller.Send(Post("/once-stream/a", "large-1", "b", kEvents) +
                Post("/order/a", "next-1", std::string(120'000, 'x')));
    CPPUNIT_ASSERT(Exited(system, seconds{ 5 }));
    CPPUNIT_ASSERT(!LogLine(system, "id=large-1", "outcome=answered").empty());
    const auto answer = caller.ReadAnswer(seconds{ 5 });
    CPPUNIT_ASSERT_EQUAL(200, answer.mStatus);
    CPPUNIT_ASSERT_MESSAGE(std::to_string(answer.mBody.size()), answer.mWhole);
    CPPUNIT_ASSERT(answer.mBody.find("token" + std::to_string(kEvents)) != std::string::npos);
  }

  /// Guards against a request that is run although the response before it on its connection has
  /// announced the close: its caller takes it for not read and sends it again.
  void RequestAfterAnnouncedCloseIsNotRun()
  {
    gateway_system system{ Options() };
    raw_caller caller{ system.CallersAddress(0) };
    system.Daemon().Signal(SIGTERM);
    CPPUNIT_ASSERT(WaitUntil([&] { return system.Ready().mStatus == 503; }));
    caller.Send(Post("/once-stream/a", "last-1", "b", 3) + Post("/order/a", "next-1", "x"));
    CPPUNIT_ASSERT(caller.ReadToEnd(seconds{ 3 }));
    const auto answer = raw_caller::Parse(caller.Received());
    CPPUNIT_ASSERT_EQUAL(200, answer.mStatus);
    CPPUNIT_ASSERT(answer.mWhole);
    CPPUNIT_ASSERT(answer.mHead.find("Connection: close") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(caller.Received(),
                           caller.Received().find("HTTP/1.1", 1) == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, system.Count("ran"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_stop_test);

} // namespace skylarkwind::sessions
