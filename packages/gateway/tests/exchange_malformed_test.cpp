#include "exchange_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// Responses of faulty servers that violate HTTP or the platform's protocol.
class exchange_malformed_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(exchange_malformed_test);
  CPPUNIT_TEST(InvalidStatusIsNotForwarded);
  CPPUNIT_TEST(InvalidStatusIsRetriedOnAnotherServer);
  CPPUNIT_TEST(InvalidHeaderValueIsNotForwarded);
  CPPUNIT_TEST(ReasonPhraseOfAServerIsNotForwarded);
  CPPUNIT_TEST(DifferingLengthsAreNotForwarded);
  CPPUNIT_TEST(StreamIsResumedWithAnEqualStatus);
  CPPUNIT_TEST(ResponseWithoutABodyIsDelivered);
  CPPUNIT_TEST_SUITE_END();

  static std::string Request(const std::string& aRoute)
  {
    return "POST /" + aRoute +
           "/a HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nContent-Length: 1\r\n\r\nb";
  }

  /// A whole response to `Request` with this status line; `aHeaders` are further header lines.
  static std::string Response(const std::string& aStatusLine, const std::string& aHeaders = {})
  {
    return aStatusLine + "\r\nId: r1\r\nSignature: s\r\nContent-Type: text/event-stream\r\n" +
           aHeaders + "Content-Length: 17\r\n\r\n" + kEvent;
  }

  /// What the caller of a request on this route receives when the only server sends these bytes.
  static std::string Exchange(const std::string& aRoute, const std::string& aResponse)
  {
    played_exchange played;
    auto& fixture = played.mFixture;
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, Request(aRoute));
    fixture.Read(played.Server(0));
    fixture.Write(played.Server(0), aResponse);
    return fixture.Read(*caller);
  }

  static std::string Context(std::string_view aSent, std::string_view aReceived)
  {
    std::string text{ aSent };
    text += " gave ";
    text += aReceived;
    return text;
  }

  static constexpr const char* kEvent = "id: 1\ndata: one\n\n";
  static constexpr const char* kBadGateway = "HTTP/1.1 502 Bad Gateway\r\n";

  static std::vector<std::string> InvalidStatusLines()
  {
    std::vector<std::string> lines;
    // The last two give 200 when they are read as a number of 32 bits.
    for (const auto* status : { "000",
                                "0",
                                "00",
                                "1",
                                "20",
                                "99",
                                "100",
                                "101",
                                "103",
                                "199",
                                "600",
                                "700",
                                "999",
                                "1000",
                                "2000",
                                "0200",
                                "4294967496" }) {
      lines.push_back("HTTP/1.1 " + std::string{ status } + " OK");
    }
    return lines;
  }

  /// Guards against status lines that no final response has, e.g. "HTTP/1.1 20 Error", which
  /// callers received when a server spoilt its own.
  void InvalidStatusIsNotForwarded()
  {
    for (const auto* route : { "order", "stream" }) {
      for (const auto& line : InvalidStatusLines()) {
        const auto received = Exchange(route, Response(line));
        const auto context = Context(line, received);
        CPPUNIT_ASSERT_MESSAGE(context, received.starts_with(kBadGateway));
        CPPUNIT_ASSERT_MESSAGE(context, received.find("Signature") == std::string::npos);
      }
    }
  }

  /// Guards against a failure of a request that may be repeated, while another server would serve
  /// it.
  void InvalidStatusIsRetriedOnAnotherServer()
  {
    for (const auto& line : InvalidStatusLines()) {
      played_exchange played;
      auto& fixture = played.mFixture;
      fixture.AddServer("s2");
      auto caller = fixture.mPort.Connect();
      fixture.Write(*caller, Request("resumed"));
      fixture.Read(played.Server(0));
      fixture.Write(played.Server(0), Response(line));
      fixture.Read(played.Server(1));
      fixture.Write(played.Server(1), Response("HTTP/1.1 200 OK"));
      const auto received = fixture.Read(*caller);
      CPPUNIT_ASSERT_MESSAGE(Context(line, received), received.starts_with("HTTP/1.1 200 OK\r\n"));
    }
  }

  /// Guards against header values with control characters, which no valid response has.
  void InvalidHeaderValueIsNotForwarded()
  {
    for (const auto& value : { std::string{ "a\x01z" },
                               std::string{ "a\x1bz" },
                               std::string{ "a\x7fz" },
                               std::string{ "a\0z", 3 },
                               std::string{ "a\rz" } }) {
      for (const auto* route : { "order", "stream" }) {
        const auto received =
          Exchange(route, Response("HTTP/1.1 200 OK", "X-More: " + value + "\r\n"));
        CPPUNIT_ASSERT_MESSAGE(route + std::string{ " gave " } + received,
                               received.starts_with(kBadGateway));
      }
    }
    for (const auto* value : { "", "a b", "a\tb", "\xc3\xa9" }) {
      const auto received =
        Exchange("order", Response("HTTP/1.1 200 OK", std::string{ "X-More: " } + value + "\r\n"));
      CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 200 OK\r\n"));
    }
  }

  /// Guards against arbitrary bytes of a server in the status line of a stream.
  void ReasonPhraseOfAServerIsNotForwarded()
  {
    for (const auto* route : { "order", "stream" }) {
      const auto received = Exchange(route, Response("HTTP/1.1 200 \x01\x1b[2J"));
      CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 200 OK\r\n"));
    }
  }

  /// Guards against a body whose end depends on which of two lengths is taken.
  void DifferingLengthsAreNotForwarded()
  {
    for (const auto* length : { "Content-Length: 5\r\n", "Content-Length: 400\r\n" }) {
      for (const auto* route : { "order", "stream" }) {
        const auto received = Exchange(route, Response("HTTP/1.1 200 OK", length));
        CPPUNIT_ASSERT_MESSAGE(received, received.starts_with(kBadGateway));
      }
    }
  }

  /// Guards against a stream that is continued by a response with another status: the caller has
  /// the status of the first server.
  void StreamIsResumedWithAnEqualStatus()
  {
    for (const auto* status : { "200 OK", "201 Created", "206 Partial Content" }) {
      played_exchange played;
      auto& fixture = played.mFixture;
      fixture.AddServer("s2");
      auto caller = fixture.mPort.Connect();
      fixture.Write(*caller, Request("resumed"));
      const std::string headers =
        "\r\nId: r1\r\nSignature: s\r\nContent-Type: text/event-stream\r\n"
        "Transfer-Encoding: chunked\r\n\r\n11\r\n";
      fixture.Read(played.Server(0));
      fixture.Write(played.Server(0), "HTTP/1.1 200 OK" + headers + kEvent + "\r\n");
      CPPUNIT_ASSERT(fixture.Read(*caller).find("data: one") != std::string::npos);
      played.Server(0).shutdownWrite();
      fixture.Run();
      fixture.Read(played.Server(1));
      fixture.Write(played.Server(1),
                    "HTTP/1.1 " + std::string{ status } + headers +
                      "id: 2\ndata: two\n\n\r\n0\r\n\r\n");
      const auto rest = fixture.Read(*caller);
      const bool same = std::string_view{ status } == "200 OK";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(status, same, rest.find("data: two") != std::string::npos);
    }
  }

  /// Guards against a response without a body that is logged as undelivered and whose connection
  /// is closed without notice.
  void ResponseWithoutABodyIsDelivered()
  {
    for (const auto* status : { "204 No Content", "304 Not Modified" }) {
      played_exchange played;
      auto& fixture = played.mFixture;
      auto caller = fixture.mPort.Connect();
      for (int i = 0; i < 2; ++i) {
        fixture.Write(*caller, Request("order"));
        auto& server = *fixture.mServers.back();
        fixture.Read(server);
        fixture.Write(server,
                      "HTTP/1.1 " + std::string{ status } + "\r\nId: r1\r\nSignature: s\r\n\r\n");
        const auto received = fixture.Read(*caller);
        const auto number = std::string{ status }.substr(0, 3);
        CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 " + number + ' '));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_malformed_test);

} // namespace skylarkwind
