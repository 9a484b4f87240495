#include "exchange_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <vector>

namespace skylarkwind {

/// Heads of requests and responses that are too long, alone or together.
class caller_head_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(caller_head_test);
  CPPUNIT_TEST(HeadAboveTheLimitIsRejected);
  CPPUNIT_TEST(HeadAtTheLimitIsServedWithItsBody);
  CPPUNIT_TEST(LimitThatRisesHoldsForOpenConnections);
  CPPUNIT_TEST(EndlessHeadIsRejected);
  CPPUNIT_TEST(EndlessHeadAfterARequestIsRejected);
  CPPUNIT_TEST(HeadsOverTheBudgetAreRefused);
  CPPUNIT_TEST(UnreadBodyIsNoHead);
  CPPUNIT_TEST(EndlessHeadOfAServerFails);
  CPPUNIT_TEST(LargeBodyOfAServerIsNoHead);
  CPPUNIT_TEST(LargeBodiesOnAKeptConnectionAreNoHead);
  CPPUNIT_TEST(AllowanceIsReturned);
  CPPUNIT_TEST_SUITE_END();

  /// A request whose head has this size: four bytes frame each header, and the request line.
  static std::string Request(std::size_t aHeadBytes,
                             const std::string& aBody = "b",
                             const std::string& aId = "r1")
  {
    const std::string method = "POST";
    const std::string target = "/order/a";
    std::string headers;
    auto counted = method.size() + target.size() + 4;
    const auto add = [&](const std::string& aName, const std::string& aValue) {
      headers += aName + ": " + aValue + "\r\n";
      counted += aName.size() + aValue.size() + 4;
    };
    add("Host", "a.example");
    add("Id", aId);
    add("Content-Length", std::to_string(aBody.size()));
    add("X", std::string(aHeadBytes - std::min(aHeadBytes, counted + 5), 'x'));
    CPPUNIT_ASSERT_EQUAL(aHeadBytes, counted);
    return method + ' ' + target + " HTTP/1.1\r\n" + headers + "\r\n" + aBody;
  }

  static std::string Response(const std::string& aBody, const std::string& aId = "r1")
  {
    std::string text = "HTTP/1.1 200 OK\r\nId: " + aId + "\r\nSignature: s\r\nContent-Length: ";
    text += std::to_string(aBody.size());
    return text + "\r\n\r\n" + aBody;
  }

  static bool AtEnd(exchange_fixture& aFixture, kj::AsyncIoStream& aCaller)
  {
    bool ended = false;
    char byte = 0;
    auto reading = aCaller.tryRead(&byte, 1, 1)
                     .then([&ended](std::size_t aBytes) { ended = aBytes == 0; },
                           [&ended](kj::Exception&&) { ended = true; })
                     .eagerlyEvaluate(nullptr);
    aFixture.Run();
    return ended;
  }

  /// Asserts that the connection ends after one whole response 431.
  static void AssertRejectedAtTheEnd(exchange_fixture& aFixture, kj::AsyncIoStream& aCaller)
  {
    const auto received = aFixture.Read(aCaller);
    CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 431 "));
    CPPUNIT_ASSERT(received.ends_with("\r\n\r\n"));
    CPPUNIT_ASSERT(AtEnd(aFixture, aCaller));
  }

  /// Guards against MaxHeaderBytes that is configured and not enforced.
  void HeadAboveTheLimitIsRejected()
  {
    exchange_fixture fixture;
    fixture.mListener.SetMaxHeadBytes(1'000);
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, Request(1'500));
    const auto received = fixture.Read(*caller);
    CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 431 "));
    CPPUNIT_ASSERT_MESSAGE(received, received.find("Connection: close") != std::string::npos);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.mServers.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.mListener.OpenRequests());
  }

  /// Guards against a body that is taken for a part of the head, because one read brings both.
  void HeadAtTheLimitIsServedWithItsBody()
  {
    for (const std::size_t limit : { 200, 1'000, 4'097, 5'000, 16'384, 20'000, 40'000 }) {
      exchange_fixture fixture;
      fixture.mListener.SetMaxHeadBytes(limit);
      auto caller = fixture.mPort.Connect();
      const std::string body(100'000, 'b');
      fixture.Write(*caller, Request(limit, body));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        std::to_string(limit), std::size_t{ 1 }, fixture.mServers.size());
      auto& server = *fixture.mServers.front();
      CPPUNIT_ASSERT(fixture.Read(server, 200'000).ends_with("\r\n\r\n" + body));
      fixture.Write(server, Response("done"));
      CPPUNIT_ASSERT(fixture.Read(*caller).ends_with("done"));
    }
  }

  /// Guards against a request that the present limit allows and that is rejected because its
  /// connection was opened under a lower one.
  void LimitThatRisesHoldsForOpenConnections()
  {
    exchange_fixture fixture;
    fixture.mListener.SetMaxHeadBytes(1'000);
    auto caller = fixture.mPort.Connect();
    fixture.Run();
    fixture.mListener.SetMaxHeadBytes(30'000);
    fixture.Write(*caller, Request(29'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mServers.size());
  }

  /// Guards against heads of up to 128 KiB that are kept for each connection, and against a caller
  /// that gets no answer to a longer one.
  void EndlessHeadIsRejected()
  {
    exchange_fixture fixture;
    fixture.mListener.SetMaxHeadBytes(10'000);
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller,
                  "GET /order/a HTTP/1.1\r\nHost: a.example\r\nX: " + std::string(50'000, 'x'));
    AssertRejectedAtTheEnd(fixture, *caller);
  }

  void EndlessHeadAfterARequestIsRejected()
  {
    exchange_fixture fixture;
    fixture.mListener.SetMaxHeadBytes(10'000);
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, Request(200));
    auto& server = *fixture.mServers.front();
    fixture.Read(server);
    fixture.Write(server, Response("done"));
    CPPUNIT_ASSERT(fixture.Read(*caller).ends_with("done"));
    fixture.Write(*caller, "GET /order/a HTTP/1.1\r\nX: " + std::string(50'000, 'x'));
    AssertRejectedAtTheEnd(fixture, *caller);
  }

  /// Guards against the sum of many heads that are within the limit each. Usual heads are served
  /// meanwhile.
  void HeadsOverTheBudgetAreRefused()
  {
    exchange_fixture fixture;
    fixture.mListener.SetMaxHeadBytes(60'000);
    constexpr std::size_t kCallers = 300;
    std::vector<kj::Own<kj::AsyncIoStream>> callers;
    std::size_t refused = 0;
    for (std::size_t i = 0; i < kCallers; ++i) {
      callers.push_back(fixture.mPort.Connect());
      fixture.Write(*callers.back(), "GET /order/a HTTP/1.1\r\nX: " + std::string(50'000, 'x'));
      const auto received = fixture.Read(*callers.back());
      if (!received.empty()) {
        CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 503 "));
        CPPUNIT_ASSERT_MESSAGE(received, received.find("Retry-After: ") != std::string::npos);
        ++refused;
      }
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(refused), refused > 100 && refused < 200);
    auto usual = fixture.mPort.Connect();
    fixture.Write(*usual, Request(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mServers.size());
    // Callers that leave return what they held.
    callers.clear();
    fixture.Run();
    fixture.mListener.CloseIdle({}, fixture.mClock.Now());
    auto large = fixture.mPort.Connect();
    fixture.Write(*large, Request(50'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mServers.size());
  }

  /// Guards against a second response on a connection whose caller goes on sending a body that was
  /// rejected.
  void UnreadBodyIsNoHead()
  {
    exchange_fixture fixture;
    fixture.mListener.SetMaxHeadBytes(1'000);
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller,
                  "POST /order/a HTTP/1.1\r\nHost: a.example\r\nContent-Length: 90000000\r\n\r\n");
    auto received = fixture.Read(*caller);
    CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 413 "));
    fixture.Write(*caller, std::string(200'000, 'b'));
    received += fixture.Read(*caller);
    CPPUNIT_ASSERT_MESSAGE(received, received.find("HTTP/1.1 431") == std::string::npos);
  }

  /// Guards against a head of a response that is kept until it has 128 KiB or its time is over.
  void EndlessHeadOfAServerFails()
  {
    played_exchange played;
    auto& fixture = played.mFixture;
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, Request(200));
    fixture.Read(played.Server(0));
    fixture.Write(played.Server(0), "HTTP/1.1 200 OK\r\nId: r1\r\nX: " + std::string(40'000, 'x'));
    const auto received = fixture.Read(*caller);
    CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 502 "));
    CPPUNIT_ASSERT(played.Closed(0));
  }

  void LargeBodyOfAServerIsNoHead()
  {
    played_exchange played;
    auto& fixture = played.mFixture;
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, Request(200));
    fixture.Read(played.Server(0));
    const std::string body(300'000, 'x');
    fixture.Write(played.Server(0), Response(body));
    CPPUNIT_ASSERT(fixture.Read(*caller, 400'000).ends_with("\r\n\r\n" + body));
  }

  /// Guards against a call that fails because one read brings a head and much of its body: the
  /// library's buffer grows while a connection is kept.
  void LargeBodiesOnAKeptConnectionAreNoHead()
  {
    played_exchange played;
    auto& fixture = played.mFixture;
    const std::string body(100'000, 'x');
    auto caller = fixture.mPort.Connect();
    for (int i = 0; i < 12; ++i) {
      const auto id = "r" + std::to_string(i);
      fixture.Write(*caller, Request(200, body, id));
      auto& server = *fixture.mServers.back();
      CPPUNIT_ASSERT_MESSAGE(id, fixture.Read(server, 200'000).ends_with("\r\n\r\n" + body));
      fixture.Write(server, Response(body, id));
      CPPUNIT_ASSERT_MESSAGE(id, fixture.Read(*caller, 200'000).ends_with("\r\n\r\n" + body));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mServers.size());
  }

  /// Guards against bytes that stay charged when a head is complete, fails or is abandoned.
  void AllowanceIsReturned()
  {
    exchange_fixture fixture;
    head_allowance allowance{ 20'000, byte_budget{ 100'000 } };
    std::string read(20'000, '\0');
    for (const bool completes : { true, false }) {
      auto pipe = kj::newTwoWayPipe();
      auto stream = kj::heap<monitored_stream>(kj::mv(pipe.ends[0]));
      stream->ExpectHead(allowance);
      fixture.Write(*pipe.ends[1], std::string(10'000, 'x'));
      auto reading = stream->tryRead(read.data(), 10'000, 10'000).eagerlyEvaluate(nullptr);
      fixture.Run();
      // Whether these bytes end the head is known when more are read.
      reading = stream->tryRead(read.data(), 1, 10'000).eagerlyEvaluate(nullptr);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 10'000 - 4 * 1'024 }, allowance.mBudget.Used());
      if (completes) {
        stream->HeadComplete();
        CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, allowance.mBudget.Used());
      }
      reading = nullptr;
      stream = nullptr;
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, allowance.mBudget.Used());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_head_test);

} // namespace skylarkwind
