#include "exchange_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using std::chrono::milliseconds;

/// Requests whose server is slow to answer, or is no longer in the configuration or the list.
class exchange_slow_server_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(exchange_slow_server_test);
  CPPUNIT_TEST(SilentServerIsWaitedForUntilTheTimeLimit);
  CPPUNIT_TEST(OrderGoesToAnotherServerWhenOneCannotBeReached);
  CPPUNIT_TEST(OrderThatReachesNoServerIsRefused);
  CPPUNIT_TEST(SilentStreamOutlivesItsRouteAndItsServer);
  CPPUNIT_TEST(StreamIsResumedAfterItsRouteHasMoved);
  CPPUNIT_TEST_SUITE_END();

  static std::string Request(const std::string& aRoute)
  {
    return "POST /" + aRoute +
           "/a HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nContent-Length: 1\r\n\r\nb";
  }

  static constexpr const char* kAnswer =
    "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok";
  static constexpr const char* kStreamHead =
    "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Type: text/event-stream"
    "\r\nTransfer-Encoding: chunked\r\n\r\n";
  static constexpr const char* kEvent = "11\r\nid: 1\ndata: one\n\n\r\n";
  static constexpr const char* kLastEvent = "11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n";

  static void Pass(exchange_fixture& aFixture, milliseconds aTime)
  {
    for (milliseconds passed{ 0 }; passed < aTime; passed += milliseconds{ 50 }) {
      aFixture.Advance(milliseconds{ 50 });
    }
  }

  /// Guards against a timer that gives up a server before the time limit of the request.
  void SilentServerIsWaitedForUntilTheTimeLimit()
  {
    for (const auto kind : { route_kind::NonIdempotent, route_kind::Idempotent }) {
      exchange_fixture fixture;
      fixture.AddServer("s2");
      forward_configuration configuration = *fixture.mRoutes.Current();
      ++configuration.mVersion;
      for (auto& route : configuration.mRoutes) {
        route.mKind = route.mName == "order" ? kind : route.mKind;
      }
      fixture.mRoutes.Apply(std::make_shared<const forward_configuration>(configuration));
      auto caller = fixture.mPort.Connect();
      fixture.Write(*caller, Request("order"));
      fixture.Read(*fixture.mServers.front());
      Pass(fixture, milliseconds{ 3'900 });
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mServers.size());
      fixture.Write(*fixture.mServers.front(), kAnswer);
      const auto answer = fixture.Read(*caller);
      CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 200 "));
    }
  }

  /// Guards against an order that ends with a connection over which nothing was sent.
  void OrderGoesToAnotherServerWhenOneCannotBeReached()
  {
    exchange_fixture fixture;
    fixture.AddServer("s2");
    fixture.mNetwork.mConnects = false;
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, Request("order"));
    fixture.mNetwork.mConnects = true;
    Pass(fixture, milliseconds{ 600 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mServers.size());
    fixture.Read(*fixture.mServers.front());
    fixture.Write(*fixture.mServers.front(), kAnswer);
    CPPUNIT_ASSERT(fixture.Read(*caller).starts_with("HTTP/1.1 200 "));
  }

  /// Its caller is told that nothing has run, so that it may be sent again.
  void OrderThatReachesNoServerIsRefused()
  {
    exchange_fixture fixture;
    fixture.mNetwork.mConnects = false;
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, Request("order"));
    Pass(fixture, milliseconds{ 600 });
    const auto answer = fixture.Read(*caller);
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(answer.find("Retry-After: ") != std::string::npos);
  }

  /// The configuration no longer has the route and the service of the request.
  static void MoveAllRoutes(exchange_fixture& aFixture)
  {
    forward_configuration configuration;
    configuration.mVersion = aFixture.mRoutes.Current()->mVersion + 1;
    configuration.mServices = { { "other" } };
    aFixture.mRoutes.Apply(std::make_shared<const forward_configuration>(configuration));
  }

  static kj::Own<kj::AsyncIoStream> BeginStream(exchange_fixture& aFixture)
  {
    auto caller = aFixture.mPort.Connect();
    aFixture.Write(*caller, Request("resumed"));
    aFixture.Read(*aFixture.mServers.front());
    aFixture.Write(*aFixture.mServers.front(), std::string{ kStreamHead } + kEvent);
    CPPUNIT_ASSERT(aFixture.Read(*caller).ends_with(kEvent));
    return caller;
  }

  /// Guards against a stream that its server could end and that ends with the configuration, or
  /// because the entry of its server is missing for a time.
  void SilentStreamOutlivesItsRouteAndItsServer()
  {
    for (const bool others : { false, true }) {
      exchange_fixture fixture;
      auto caller = BeginStream(fixture);
      MoveAllRoutes(fixture);
      fixture.mDirectory.Remove("s1", false, fixture.mClock.Now());
      if (others) {
        fixture.AddServer("s2");
      }
      Pass(fixture, milliseconds{ 1'500 });
      fixture.Write(*fixture.mServers.front(), kLastEvent);
      CPPUNIT_ASSERT_EQUAL(std::string{ kLastEvent }, fixture.Read(*caller));
    }
  }

  void StreamIsResumedAfterItsRouteHasMoved()
  {
    exchange_fixture fixture;
    auto caller = BeginStream(fixture);
    MoveAllRoutes(fixture);
    fixture.AddServer("s2");
    fixture.mDirectory.Remove("s1", false, fixture.mClock.Now());
    fixture.mServers.front()->shutdownWrite();
    Pass(fixture, milliseconds{ 50 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mServers.size());
    fixture.Read(*fixture.mServers.back());
    fixture.Write(*fixture.mServers.back(), std::string{ kStreamHead } + kLastEvent);
    CPPUNIT_ASSERT_EQUAL(std::string{ kLastEvent }, fixture.Read(*caller));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_slow_server_test);

} // namespace skylarkwind
