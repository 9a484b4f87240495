#include "exchange_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>
#include <utility>
#include <vector>

namespace skylarkwind {

/// Where the responses of servers end, and streams.
class server_framing_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(server_framing_test);
  CPPUNIT_TEST(PartOfAnAnswerDoesNotPassForTheWhole);
  CPPUNIT_TEST(PartOfAStreamDoesNotPassForTheWhole);
  CPPUNIT_TEST(AmbiguousAnswerIsRetriedOnAnotherServer);
  CPPUNIT_TEST(UnusualFramingIsDelivered);
  CPPUNIT_TEST(ConnectionWithIncompleteTrailersIsNotReused);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char* kEvent = "id: 1\ndata: one\n\n"; ///< 17 bytes
  static constexpr const char* kChunked = "Transfer-Encoding: chunked\r\n";

  static std::string Request(const std::string& aRoute, const std::string& aId = "r1")
  {
    return "POST /" + aRoute + "/a HTTP/1.1\r\nHost: a.example\r\nId: " + aId +
           "\r\nContent-Length: 1\r\n\r\nb";
  }
  static std::string Head(const std::string& aHeaders, const std::string& aVersion = "HTTP/1.1")
  {
    return aVersion + " 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Type: text/event-stream\r\n" +
           aHeaders + "\r\n";
  }

  /// Responses whose first event is not the whole body, or of which it cannot be told.
  static std::vector<std::string> AmbiguousResponses()
  {
    const std::string event = kEvent;
    const std::string chunk = "11\r\n" + event + "\r\n";
    return {
      Head(kChunked) + chunk + "10000000000000000\r\n" + event,
      Head(kChunked) + chunk + "-0\r\n\r\n",
      Head(kChunked) + chunk + "0\n\n",
      Head(kChunked) + chunk + "0;\n\r\n\r\n",
      Head(kChunked) + chunk + "\r\n0\r\n\r\n",
      Head(kChunked) + "11\r\n" + event + "0\r\n\r\n",
      Head("Content-Length: -18446744073709551599\r\n") + event + event,
      Head("Content-Length: +17\r\n") + event + event,
      Head("Content-Length:\r\n") + event,
      Head("Content-Length: 17\r\nContent-Length : 34\r\n") + event + event,
      Head("Content-Length: 34\r\n" + std::string{ kChunked }) + chunk + "0\r\n\r\n",
      Head(kChunked + std::string{ "Content-Length: 34\r\n" }) + chunk + "0\r\n\r\n",
      Head("Transfer-Encoding:\r\nContent-Length: 17\r\n") + event + event,
      Head("Transfer-Encoding: gzip, chunked\r\n") + chunk + "0\r\n\r\n",
      Head("Transfer-Encoding: chunked, chunked\r\n") + chunk + "0\r\n\r\n",
      Head("Transfer-Encoding: identity\r\nContent-Length: 17\r\n") + event + event,
      Head("A: b\nContent-Length: 17\r\n") + event + event,
      Head("A: b\rContent-Length: 17\r\n") + event + event,
      Head(kChunked, "HTTP/1.0") + chunk + "0\r\n\r\n",
    };
  }

  static std::string Context(const std::string& aSent, const std::string& aReceived)
  {
    std::string text = aSent;
    text += "\ngave ";
    text += aReceived;
    return text;
  }

  static void Write(exchange_fixture& aFixture,
                    kj::AsyncIoStream& aServer,
                    const std::string& aBytes,
                    bool aOneByOne)
  {
    if (aOneByOne) {
      aFixture.WriteOneByOne(aServer, aBytes);
    } else {
      aFixture.Write(aServer, aBytes);
    }
  }

  /// What the caller of a request on this route receives when the only server sends these bytes.
  static std::string Exchange(const std::string& aRoute,
                              const std::string& aResponse,
                              bool aOneByOne)
  {
    played_exchange played;
    auto& fixture = played.mFixture;
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, Request(aRoute));
    fixture.Read(played.Server(0));
    Write(fixture, played.Server(0), aResponse, aOneByOne);
    return fixture.Read(*caller);
  }

  /// Guards against the first bytes of an answer that reach its caller as the whole, e.g. after a
  /// chunk size that counts as 0 modulo 2^64.
  void PartOfAnAnswerDoesNotPassForTheWhole()
  {
    for (const auto& response : AmbiguousResponses()) {
      for (const bool oneByOne : { false, true }) {
        const auto received = Exchange("order", response, oneByOne);
        const auto context = Context(response, received);
        CPPUNIT_ASSERT_MESSAGE(context, received.starts_with("HTTP/1.1 502 Bad Gateway\r\n"));
        CPPUNIT_ASSERT_MESSAGE(context, received.find("Signature") == std::string::npos);
      }
    }
  }

  /// Guards against a stream that ends as complete where its server spoilt it.
  void PartOfAStreamDoesNotPassForTheWhole()
  {
    for (const auto& response : AmbiguousResponses()) {
      for (const bool oneByOne : { false, true }) {
        const auto received = Exchange("stream", response, oneByOne);
        const bool failed = received.starts_with("HTTP/1.1 502 Bad Gateway\r\n");
        const bool broken = received.find(kEvent) != std::string::npos &&
                            received.find("\r\n0\r\n") == std::string::npos;
        CPPUNIT_ASSERT_MESSAGE(Context(response, received), failed || broken);
      }
    }
  }

  void AmbiguousAnswerIsRetriedOnAnotherServer()
  {
    for (const auto& response : AmbiguousResponses()) {
      played_exchange played;
      auto& fixture = played.mFixture;
      fixture.AddServer("s2");
      auto caller = fixture.mPort.Connect();
      fixture.Write(*caller, Request("resumed"));
      fixture.Read(played.Server(0));
      fixture.Write(played.Server(0), response);
      auto received = fixture.Read(*caller);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(response, std::size_t{ 2 }, fixture.mServers.size());
      const bool begun =
        fixture.Read(played.Server(1)).find("\r\nResume-After: 1\r\n") != std::string::npos;
      const auto first = begun ? std::string{} : std::string{ "11\r\n" } + kEvent + "\r\n";
      fixture.Write(played.Server(1),
                    Head(kChunked) + first + "11\r\nid: 2\ndata: two\n\n\r\n0\r\n\r\n");
      received += fixture.Read(*caller);
      const auto context = Context(response, received);
      CPPUNIT_ASSERT_MESSAGE(context, received.starts_with("HTTP/1.1 200 OK\r\n"));
      CPPUNIT_ASSERT_MESSAGE(context, received.find("data: one") != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(context, received.find("data: two") != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(context, received.ends_with("\r\n0\r\n\r\n"));
    }
  }

  /// Guards against valid answers that fail, and connections that are not reused after them.
  void UnusualFramingIsDelivered()
  {
    const std::string event = kEvent;
    for (const auto& response : {
           Head("Content-Length:17\r\n") + event,
           Head("Content-Length: \t17 \t\r\n") + event,
           Head("Content-Length : 017\r\n") + event,
           Head("Transfer-Encoding:chunked \t\r\n") + "11\r\n" + event + "\r\n0\r\n\r\n",
           Head("transfer-encoding: , Chunked,\r\n") + "11\r\n" + event + "\r\n0\r\n\r\n",
           Head(kChunked) + "11;a=b\r\n" + event + "\r\n0;c=\"d;e\"\r\n\r\n",
           Head(kChunked) + "11 ; a\r\n" + event + "\r\n0\r\n\r\n",
           Head(kChunked) + "0000000000000000011\r\n" + event + "\r\n000\r\n\r\n",
           Head(kChunked) + "11\r\n" + event + "\r\n0\r\nSum: 1\r\nMore:\r\n\r\n",
         }) {
      for (const auto* route : { "order", "stream" }) {
        for (const bool oneByOne : { false, true }) {
          played_exchange played;
          auto& fixture = played.mFixture;
          auto caller = fixture.mPort.Connect();
          for (int i = 0; i < 2; ++i) {
            const auto id = "r" + std::to_string(i);
            fixture.Write(*caller, Request(route, id));
            auto answer = response;
            answer.replace(answer.find("Id: r1"), 6, "Id: " + id);
            auto& server = *fixture.mServers.back();
            fixture.Read(server);
            Write(fixture, server, answer, oneByOne);
            const auto received = fixture.Read(*caller);
            const auto context = Context(answer, received);
            CPPUNIT_ASSERT_MESSAGE(context, received.starts_with("HTTP/1.1 200 OK\r\n"));
            CPPUNIT_ASSERT_MESSAGE(context,
                                   received.find("\r\nSignature: s\r\n") != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(context, received.find(event) != std::string::npos);
            CPPUNIT_ASSERT_MESSAGE(
              context, received.ends_with(event) || received.ends_with("\r\n0\r\n\r\n"));
          }
          // Bytes that arrive one by one may end after the answer has been handled.
          CPPUNIT_ASSERT_MESSAGE(response, oneByOne || fixture.mServers.size() == 1);
        }
      }
    }
  }

  /// Guards against trailers that are read as the begin of the next response.
  void ConnectionWithIncompleteTrailersIsNotReused()
  {
    played_exchange played;
    auto& fixture = played.mFixture;
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, Request("order", "r1"));
    fixture.Read(played.Server(0));
    fixture.Write(played.Server(0), Head(kChunked) + "11\r\n" + kEvent + "\r\n0\r\nSum: ");
    const auto received = fixture.Read(*caller);
    CPPUNIT_ASSERT_MESSAGE(received, received.ends_with(kEvent));
    fixture.Write(*caller, Request("order", "r2"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, fixture.mServers.size());
    CPPUNIT_ASSERT(played.Closed(0));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_framing_test);

} // namespace skylarkwind
