#include "exchange_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// Where the requests of a caller end on its connection.
class caller_framing_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(caller_framing_test);
  CPPUNIT_TEST(RequestInTheBodyOfAnotherOneDoesNotRun);
  CPPUNIT_TEST(RequestInSoundFramingIsABody);
  CPPUNIT_TEST(UnusualFramingIsServed);
  CPPUNIT_TEST(InvalidHeadIsAnsweredOnce);
  CPPUNIT_TEST(InvalidHeadAfterARequestIsAnswered);
  CPPUNIT_TEST(LastChunkIsServedBeforeItsTrailersEnd);
  CPPUNIT_TEST(PipelinedRequestsAreServedInOrder);
  CPPUNIT_TEST_SUITE_END();

  /// What happened on a connection of a caller, and at the servers.
  struct played_connection
  {
    std::vector<std::string> mForwarded; ///< requests as the servers received them
    std::string mReceived;               ///< by the caller

    bool HasForwarded(std::string_view aId) const
    {
      return std::any_of(mForwarded.begin(), mForwarded.end(), [&](const std::string& aRequest) {
        return aRequest.find("Id: " + std::string{ aId } + "\r\n") != std::string::npos;
      });
    }
    std::size_t Responses() const
    {
      std::size_t count = 0;
      for (auto at = mReceived.find("HTTP/1.1 "); at != std::string::npos;
           at = mReceived.find("HTTP/1.1 ", at + 1)) {
        ++count;
      }
      return count;
    }
    std::string Text(std::string_view aSent = {}) const
    {
      std::string text{ aSent };
      text += "\nreceived ";
      text += mReceived;
      for (const auto& request : mForwarded) {
        text += "\nforwarded ";
        text += request;
      }
      return text;
    }
  };

  static std::string Head(const std::string& aId, const std::string& aHeaders)
  {
    return "POST /order/a HTTP/1.1\r\nHost: a.example\r\nId: " + aId + "\r\n" + aHeaders + "\r\n";
  }
  static std::string Request(const std::string& aId, const std::string& aBody)
  {
    return Head(aId, "Content-Length: " + std::to_string(aBody.size()) + "\r\n") + aBody;
  }

  /// Plays what servers and the caller do until nothing more happens.
  static void Play(exchange_fixture& aFixture,
                   kj::AsyncIoStream& aCaller,
                   played_connection& aPlayed)
  {
    for (bool goesOn = true; goesOn;) {
      goesOn = false;
      for (auto& server : aFixture.mServers) {
        const auto request = aFixture.Read(*server);
        if (request.empty()) {
          continue;
        }
        goesOn = true;
        aPlayed.mForwarded.push_back(request);
        const auto id = request.find("Id: ") + 4;
        aFixture.Write(
          *server,
          "HTTP/1.1 200 OK\r\nId: " + request.substr(id, request.find("\r\n", id) - id) +
            "\r\nSignature: s\r\nContent-Length: 4\r\n\r\ndone");
      }
      const auto received = aFixture.Read(aCaller);
      aPlayed.mReceived += received;
      goesOn = goesOn || !received.empty();
    }
  }

  static played_connection Send(const std::string& aBytes, bool aOneByOne)
  {
    exchange_fixture fixture;
    auto caller = fixture.mPort.Connect();
    played_connection played;
    if (aOneByOne) {
      fixture.WriteOneByOne(*caller, aBytes);
    } else {
      fixture.Write(*caller, aBytes);
    }
    Play(fixture, *caller, played);
    return played;
  }

  /// Requests whose bodies hold the request `inner`, in framings that recipients read in different
  /// ways.
  static std::vector<std::string> AmbiguousRequests()
  {
    const auto inner = Request("inner", "x");
    const auto covering = "Content-Length: " + std::to_string(inner.size() + 5) + "\r\n";
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const auto first = Head("outer", chunked) + "5\r\nhello\r\n";
    return {
      Head("outer", covering + chunked) + "0\r\n\r\n" + inner,
      Head("outer", chunked + covering) + "0\r\n\r\n" + inner,
      Head("outer", "Content-Length: -18446744073709551611\r\n") + "hello" + inner,
      Head("outer", "Content-Length: +5\r\n") + "hello" + inner,
      Head("outer", "Content-Length:\r\n") + inner,
      Head("outer", "Content-Length : 5\r\n") + inner,
      Head("outer", "Content-Length: 0\r\nContent-Length : 5\r\n") + inner,
      Head("outer", covering + "Transfer-Encoding : chunked\r\n") + "0\r\n\r\n" + inner,
      Head("outer", "Transfer-Encoding:\r\n") + inner,
      Head("outer", covering + "Transfer-Encoding:\r\n chunked\r\n") + "0\r\n\r\n" + inner,
      Head("outer", covering + "Transfer-Encoding: identity\r\n") + "0\r\n\r\n" + inner,
      Head("outer", covering + "A: b\rTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + inner,
      Head("outer", covering + "A: b\nTransfer-Encoding: chunked\r\n") + "0\r\n\r\n" + inner,
      Head("outer", "A: b\n\n" + inner),
      "POST /order/a HTTP/1.0\r\nHost: a.example\r\nId: outer\r\n" + chunked + "\r\n0\r\n\r\n" +
        inner,
      "POST /order/a HTTP/1.1\nHost: a.example\nId: outer\n\n" + inner,
      first + "10000000000000000\r\n" + inner,
      first + "-0\r\n\r\n" + inner,
      first + "0\n\n" + inner,
      first + "0;\n\r\n" + inner,
      first + "5\r\nhello0\r\n\r\n" + inner,
      first + "5\r\nhello\n0\r\n\r\n" + inner,
      first + "0\r\n" + inner,
    };
  }

  /// Requests with the body `hello` in framings that are valid and rare.
  static std::vector<std::string> UnusualRequests()
  {
    return {
      Head("outer", "Content-Length:5\r\n") + "hello",
      Head("outer", "Content-Length: \t5 \t\r\n") + "hello",
      Head("outer", "Content-Length: 0005\r\n") + "hello",
      Head("outer", "Transfer-Encoding:chunked\r\n") + "5\r\nhello\r\n0\r\n\r\n",
      Head("outer", "Transfer-Encoding: chunked \t\r\n") + "5\r\nhello\r\n0\r\n\r\n",
      Head("outer", "transfer-encoding: , Chunked\r\n") + "5\r\nhello\r\n0\r\n\r\n",
      Head("outer", "Transfer-Encoding: chunked\r\n") + "5;a=b\r\nhello\r\n0;c\r\n\r\n",
      Head("outer", "Transfer-Encoding: chunked\r\n") + "5 ; a = \"0\"\r\nhello\r\n00\r\n\r\n",
      Head("outer", "Transfer-Encoding: chunked\r\n") +
        "00000000000000000005\r\nhello\r\n0\r\n\r\n",
      Head("outer", "Transfer-Encoding: chunked\r\nTrailer: Sum\r\n") +
        "5\r\nhello\r\n0\r\nSum: 1\r\nMore:\r\n\r\n",
      "\r\n" + Request("outer", "hello"),
      Request("outer", "hello") + "\r\n",
    };
  }

  /// Guards against an order that runs though it is a part of the body of another request, and
  /// whose response the caller gets besides: the HTTP library and other recipients disagree on
  /// where these bodies end.
  void RequestInTheBodyOfAnotherOneDoesNotRun()
  {
    for (const auto& bytes : AmbiguousRequests()) {
      for (const bool oneByOne : { false, true }) {
        const auto played = Send(bytes, oneByOne);
        const auto context = played.Text(bytes);
        CPPUNIT_ASSERT_MESSAGE(context, !played.HasForwarded("inner"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::size_t{ 1 }, played.Responses());
      }
    }
  }

  /// Guards against a body that is changed or refused because it looks like a request.
  void RequestInSoundFramingIsABody()
  {
    const auto inner = Request("inner", "x");
    // Less than 256 bytes, so that two digits are the size of a chunk.
    CPPUNIT_ASSERT(inner.size() > 0x10 && inner.size() < 0x100);
    const auto end = "\r\n\r\n" + inner;
    const auto size =
      std::string{ "0123456789abcdef"[inner.size() / 16] } + "0123456789abcdef"[inner.size() % 16];
    const std::vector<std::string> requests{ Request("outer", inner),
                                             Head("outer", "Transfer-Encoding: chunked\r\n") +
                                               size + "\r\n" + inner + "\r\n0\r\n\r\n" };
    for (const auto& bytes : requests) {
      for (const bool oneByOne : { false, true }) {
        const auto played = Send(bytes, oneByOne);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(played.Text(), std::size_t{ 1 }, played.mForwarded.size());
        CPPUNIT_ASSERT_MESSAGE(played.Text(), played.mForwarded[0].ends_with(end));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(played.Text(), std::size_t{ 1 }, played.Responses());
      }
    }
  }

  /// Guards against valid requests that are refused, and against a connection that cannot carry the
  /// next request after them.
  void UnusualFramingIsServed()
  {
    for (const auto& bytes : UnusualRequests()) {
      for (const bool oneByOne : { false, true }) {
        const auto played = Send(bytes + Request("next", "n"), oneByOne);
        const auto context = played.Text(bytes);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::size_t{ 2 }, played.mForwarded.size());
        CPPUNIT_ASSERT_MESSAGE(context, played.mForwarded[0].ends_with("\r\n\r\nhello"));
        CPPUNIT_ASSERT_MESSAGE(context, played.HasForwarded("next"));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::size_t{ 2 }, played.Responses());
      }
    }
  }

  /// Guards against a caller that is not told why its connection ends.
  void InvalidHeadIsAnsweredOnce()
  {
    for (const auto& [bytes, status] : std::vector<std::pair<std::string, std::string>>{
           { Head("a", "Content-Length: x\r\n"), "400 Bad Request" },
           { Head("a", "Transfer-Encoding: gzip, chunked\r\n"), "501 Not Implemented" },
           { "POST /order/a HTTP/3.0\r\n\r\n", "505 HTTP Version Not Supported" },
           { "\x16\x03\x01\r\n\r\n", "400 Bad Request" } }) {
      exchange_fixture fixture;
      auto caller = fixture.mPort.Connect();
      fixture.Write(*caller, bytes + Request("next", "n"));
      const auto received = fixture.Read(*caller);
      CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 " + status + "\r\n"));
      CPPUNIT_ASSERT_MESSAGE(received, received.find("Connection: close\r\n") != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(received, received.ends_with("\n"));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.mServers.size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.mListener.OpenRequests());
    }
  }

  void InvalidHeadAfterARequestIsAnswered()
  {
    const auto played =
      Send(Request("first", "f") + Head("second", "Content-Length: x\r\n"), false);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(played.Text(), std::size_t{ 1 }, played.mForwarded.size());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(played.Text(), std::size_t{ 2 }, played.Responses());
    CPPUNIT_ASSERT_MESSAGE(played.Text(),
                           played.mReceived.find("doneHTTP/1.1 400 ") != std::string::npos);
  }

  /// Guards against a request whose body is whole and that waits for the end of its trailers.
  void LastChunkIsServedBeforeItsTrailersEnd()
  {
    exchange_fixture fixture;
    auto caller = fixture.mPort.Connect();
    played_connection played;
    fixture.Write(*caller, Head("first", "Transfer-Encoding: chunked\r\n") + "1\r\nf\r\n0\r\n");
    Play(fixture, *caller, played);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(played.Text(), std::size_t{ 1 }, played.Responses());
    fixture.Write(*caller, "Sum: 1\r\n\r\n" + Request("next", "n"));
    Play(fixture, *caller, played);
    CPPUNIT_ASSERT_MESSAGE(played.Text(), played.HasForwarded("next"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(played.Text(), std::size_t{ 2 }, played.Responses());
  }

  void PipelinedRequestsAreServedInOrder()
  {
    std::string bytes;
    for (int i = 0; i < 6; ++i) {
      const auto id = "r" + std::to_string(i);
      bytes += i % 2 == 0
                 ? Request(id, std::string(3'000, 'b'))
                 : Head(id, "Transfer-Encoding: chunked\r\n") + "2;x\r\nab\r\n0\r\nA: b\r\n\r\n";
    }
    const auto played = Send(bytes, false);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(played.Text(), std::size_t{ 6 }, played.mForwarded.size());
    CPPUNIT_ASSERT_EQUAL_MESSAGE(played.Text(), std::size_t{ 6 }, played.Responses());
    for (std::size_t i = 0; i < 6; ++i) {
      const auto& request = played.mForwarded[i];
      CPPUNIT_ASSERT(request.find("Id: r" + std::to_string(i) + "\r\n") != std::string::npos);
      CPPUNIT_ASSERT(request.ends_with("\r\n\r\n" + (i % 2 == 0 ? std::string(3'000, 'b') : "ab")));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_framing_test);

} // namespace skylarkwind
