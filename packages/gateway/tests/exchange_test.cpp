#include "exchange_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Ends of exchanges, in one event loop.
class exchange_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(exchange_test);
  CPPUNIT_TEST(ReadyResponseIsDeliveredAfterTheTimeLimit);
  CPPUNIT_TEST(BegunStreamIsBrokenOffAtTheTimeLimit);
  CPPUNIT_TEST(EndOfServiceAnswersByWhatHasRun);
  CPPUNIT_TEST(EndOfServiceLeavesBegunStreams);
  CPPUNIT_TEST(BegunStreamTakesNoTextOfAnotherType);
  CPPUNIT_TEST(StreamIsResumedWithAnEqualMediaType);
  CPPUNIT_TEST(RequestWaitsForTheStart);
  CPPUNIT_TEST(WaitForTheStartIsBounded);
  CPPUNIT_TEST_SUITE_END();

  static std::string Request(const std::string& aRoute)
  {
    return "POST /" + aRoute +
           "/a HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nContent-Length: 1\r\n\r\nb";
  }

  static constexpr const char* kStreamHead =
    "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
  static constexpr const char* kEvent = "11\r\nid: 1\ndata: one\n\n\r\n";

  /// Guards against a response that is complete in the daemon and is cut off because its caller
  /// takes it after the time limit.
  void ReadyResponseIsDeliveredAfterTheTimeLimit()
  {
    exchange_fixture fixture;
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, Request("order"));
    const std::string body(20'000, 'x');
    fixture.Write(*fixture.mServers.front(),
                  "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Length: 20000\r\n\r\n" +
                    body);
    fixture.Read(*fixture.mServers.front());
    fixture.Run();
    fixture.Advance(seconds{ 5 });
    const auto received = fixture.Read(*caller);
    CPPUNIT_ASSERT(received.starts_with("HTTP/1.1 200 OK\r\n"));
    CPPUNIT_ASSERT(received.ends_with("\r\n\r\n" + body));
  }

  void BegunStreamIsBrokenOffAtTheTimeLimit()
  {
    exchange_fixture fixture;
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, Request("stream"));
    fixture.Read(*fixture.mServers.front());
    fixture.Write(*fixture.mServers.front(), std::string{ kStreamHead } + kEvent);
    const auto begun = fixture.Read(*caller);
    CPPUNIT_ASSERT_MESSAGE(begun, begun.ends_with(kEvent));
    fixture.Advance(seconds{ 5 });
    CPPUNIT_ASSERT_EQUAL(std::string{}, fixture.Read(*caller));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.mListener.OpenRequests());
  }

  /// Guards against refusals of requests that arrive in the first moments after the start, for
  /// which callers use up their retry.
  void RequestWaitsForTheStart()
  {
    exchange_fixture fixture;
    bool isStarting = true;
    fixture.mContext.mIsStarting = [&isStarting] { return isStarting; };
    fixture.mContext.mStarted = &fixture.mStarted;
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, Request("order"));
    fixture.Advance(milliseconds{ 400 });
    CPPUNIT_ASSERT(fixture.mServers.empty());
    CPPUNIT_ASSERT_EQUAL(std::string{}, fixture.Read(*caller));
    isStarting = false;
    fixture.mStarted.Notify();
    fixture.Run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mServers.size());
  }

  /// Guards against callers that wait for a daemon that never gets its configuration.
  void WaitForTheStartIsBounded()
  {
    exchange_fixture fixture;
    fixture.mRoutes = route_index{};
    fixture.mContext.mIsStarting = [] { return true; };
    fixture.mContext.mStarted = &fixture.mStarted;
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, Request("order"));
    fixture.Advance(milliseconds{ 599 });
    CPPUNIT_ASSERT_EQUAL(std::string{}, fixture.Read(*caller));
    fixture.Advance(milliseconds{ 2 });
    const auto response = fixture.Read(*caller);
    CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT_MESSAGE(response, response.find("Retry-After: ") != std::string::npos);
  }

  /// Guards against requests that the end of a shutdown drops without a response, and against a
  /// claim that a request has not run while a server may run it.
  void EndOfServiceAnswersByWhatHasRun()
  {
    exchange_fixture fixture;
    auto sent = fixture.mPort.Connect();
    fixture.Run();
    auto incomplete = fixture.mPort.Connect();
    fixture.Write(*sent, Request("order"));
    fixture.Write(*incomplete, Request("order").substr(0, Request("order").size() - 1));
    fixture.mShutdown.Enter(shutdown_stage::Refusing);
    CPPUNIT_ASSERT(fixture.Read(*incomplete).starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT_EQUAL(std::string{}, fixture.Read(*sent));
    fixture.mShutdown.Enter(shutdown_stage::Ending);
    CPPUNIT_ASSERT(fixture.Read(*sent).starts_with("HTTP/1.1 502 "));
  }

  void EndOfServiceLeavesBegunStreams()
  {
    exchange_fixture fixture;
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, Request("stream"));
    fixture.Read(*fixture.mServers.front());
    fixture.Write(*fixture.mServers.front(), std::string{ kStreamHead } + kEvent);
    CPPUNIT_ASSERT(fixture.Read(*caller).ends_with(kEvent));
    fixture.mShutdown.Enter(shutdown_stage::Ending);
    fixture.Advance(milliseconds{ 100 });
    fixture.Write(*fixture.mServers.front(), std::string{ kEvent } + "0\r\n\r\n");
    const auto rest = fixture.Read(*caller);
    CPPUNIT_ASSERT_MESSAGE(rest, rest.ends_with("0\r\n\r\n"));
  }

  /// Guards against the text of an error in the middle of a stream that broke off: the next server
  /// answers 200 with a page instead of events.
  void BegunStreamTakesNoTextOfAnotherType()
  {
    exchange_fixture fixture;
    fixture.AddServer("s2");
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, Request("resumed"));
    auto& first = *fixture.mServers.front();
    fixture.Read(first);
    fixture.Write(first,
                  "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Type: text/event-stream"
                  "\r\nTransfer-Encoding: chunked\r\n\r\n" +
                    std::string{ kEvent });
    CPPUNIT_ASSERT(fixture.Read(*caller).ends_with(kEvent));
    first.shutdownWrite();
    fixture.Run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mServers.size());
    auto& second = *fixture.mServers.back();
    fixture.Read(second);
    fixture.Write(second,
                  "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Type: text/plain"
                  "\r\nContent-Length: 16\r\n\r\nit went wrong\n\n\n");
    CPPUNIT_ASSERT_EQUAL(std::string{}, fixture.Read(*caller));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.mListener.OpenRequests());
  }

  /// Guards against a resumed stream that is refused for the case or the parameters of its content
  /// type.
  void StreamIsResumedWithAnEqualMediaType()
  {
    exchange_fixture fixture;
    fixture.AddServer("s2");
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, Request("resumed"));
    const auto stream = [](const std::string& aType) {
      return "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Type: " + aType +
             "\r\nTransfer-Encoding: chunked\r\n\r\n" + std::string{ kEvent };
    };
    auto& first = *fixture.mServers.front();
    fixture.Read(first);
    fixture.Write(first, stream("text/event-stream"));
    CPPUNIT_ASSERT(fixture.Read(*caller).ends_with(kEvent));
    first.shutdownWrite();
    fixture.Run();
    auto& second = *fixture.mServers.back();
    fixture.Read(second);
    fixture.Write(second, stream("Text/Event-Stream; charset=utf-8") + "0\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::string{ kEvent } + "0\r\n\r\n", fixture.Read(*caller));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_test);

} // namespace skylarkwind
