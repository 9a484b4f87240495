#include "message_framing_p.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkwind {

/// Ends of messages, and what the HTTP library gets of them.
class message_framing_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(message_framing_test);
  CPPUNIT_TEST(AmbiguousRequestsAreErrors);
  CPPUNIT_TEST(UnsupportedRequestsHaveTheirOwnStatus);
  CPPUNIT_TEST(UnusualRequestsAreRewritten);
  CPPUNIT_TEST(AmbiguousResponsesAreErrors);
  CPPUNIT_TEST(UnusualResponsesAreRewritten);
  CPPUNIT_TEST(ResponsesWithoutABodyEndWithTheirHead);
  CPPUNIT_TEST(InputAfterAResponseIsNoMessage);
  CPPUNIT_TEST(ReadingStopsBetweenMessages);
  CPPUNIT_TEST(ExtensionsAndTrailersAreBounded);
  CPPUNIT_TEST(SplitsOfTheInputMakeNoDifference);
  CPPUNIT_TEST(DamagedMessagesDoNotThrow);
  CPPUNIT_TEST_SUITE_END();

  struct outcome
  {
    std::string mOutput;
    std::size_t mMessages = 0;
    std::optional<framing_error> mError;
  };

  /// What becomes of an input that arrives in these parts.
  static outcome ReadAll(message_framing aFraming, const std::vector<std::string>& aParts)
  {
    outcome all;
    for (const auto& part : aParts) {
      std::string_view rest = part;
      while (!rest.empty() && !aFraming.Error()) {
        rest.remove_prefix(aFraming.Read(rest, all.mOutput));
        all.mMessages += aFraming.AtStart() || aFraming.Complete() ? 1 : 0;
      }
    }
    all.mError = aFraming.Error();
    return all;
  }

  static std::vector<std::string> Bytes(const std::string& aText)
  {
    std::vector<std::string> bytes;
    for (const char character : aText) {
      bytes.emplace_back(1, character);
    }
    return bytes;
  }

  static message_framing ResponseExpected(bool aToHead = false)
  {
    auto framing = message_framing::OfResponses();
    framing.ExpectResponse(aToHead);
    return framing;
  }

  static std::string Request(const std::string& aHeaders, const std::string& aBody)
  {
    return "POST /a HTTP/1.1\r\nHost: a\r\n" + aHeaders + "\r\n" + aBody;
  }
  static std::string Response(const std::string& aHeaders, const std::string& aBody)
  {
    return "HTTP/1.1 200 OK\r\nId: r\r\n" + aHeaders + "\r\n" + aBody;
  }

  /// Heads and chunks that are valid for neither requests nor responses.
  static std::vector<std::pair<std::string, std::string>> AmbiguousFramings()
  {
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    return {
      { chunked + "Content-Length: 5\r\n", "0\r\n\r\n" },
      { "Content-Length: 5\r\n" + chunked, "0\r\n\r\n" },
      { "Content-Length: -18446744073709551611\r\n", "hello" },
      { "Content-Length: +5\r\n", "hello" },
      { "Content-Length:\r\n", "" },
      { "Content-Length: 5, 5\r\n", "hello" },
      { "Content-Length: 5\r\nContent-Length: 5\r\n", "hello" },
      { "Content-Length: 5\r\nContent-Length: 6\r\n", "hello" },
      { "Content-Length: 18446744073709551621\r\n", "hello" },
      { "Content-Length: 5\r\n  0\r\n", "hello" },
      { "Transfer-Encoding:\r\n", "0\r\n\r\n" },
      { "Transfer-Encoding: ,\r\n", "0\r\n\r\n" },
      { "Transfer-Encoding: chunked, identity\r\n", "0\r\n\r\n" },
      { "Transfer-Encoding: chunked, chunked\r\n", "0\r\n\r\n" },
      { "Transfer-Encoding: chunked;a=b\r\n", "0\r\n\r\n" },
      { "Transfer-Encoding: xchunked\r\n", "0\r\n\r\n" },
      { "Transfer-Encoding:\r\n chunked\r\n", "0\r\n\r\n" },
      { chunked + chunked, "0\r\n\r\n" },
      { chunked + "Transfer-Encoding: identity\r\n", "0\r\n\r\n" },
      { "A: b\rContent-Length: 5\r\n", "hello" },
      { "A: b\nContent-Length: 5\r\n", "hello" },
      { "Content-Length: 5\n", "hello" },
      { "Content-Length: 5\r\n\n", "hello" },
      { "A b: c\r\n", "" },
      { "A\r\n", "" },
      { ": b\r\n", "" },
      { chunked, "10000000000000000\r\nhello" },
      { chunked, "8000000000000000\r\nhello" },
      { chunked, "-5\r\nhello\r\n0\r\n\r\n" },
      { chunked, "+5\r\nhello\r\n0\r\n\r\n" },
      { chunked, "0x5\r\nhello\r\n0\r\n\r\n" },
      { chunked, " 5\r\nhello\r\n0\r\n\r\n" },
      { chunked, "5 \r\nhello\r\n0\r\n\r\n" },
      { chunked, "\r\nhello\r\n0\r\n\r\n" },
      { chunked, "5\nhello\r\n0\r\n\r\n" },
      { chunked, "5;a\nb\r\nhello\r\n0\r\n\r\n" },
      { chunked, "5;a\rb\r\nhello\r\n0\r\n\r\n" },
      { chunked, "5\r\nhello0\r\n\r\n" },
      { chunked, "5\r\nhello\n0\r\n\r\n" },
      { chunked, "5\r\nhello!\r\n0\r\n\r\n" },
      { chunked, "0\n\r\n" },
      { chunked, "0\r\n\n" },
      { chunked, "0\r\nGET /b HTTP/1.1\r\n\r\n" },
      { chunked, "0\r\nA : b\r\n\r\n" },
      { chunked, "0\r\n A: b\r\n\r\n" },
    };
  }

  static void AssertError(const message_framing& aFraming, const std::string& aMessage)
  {
    for (const auto& parts : { std::vector<std::string>{ aMessage }, Bytes(aMessage) }) {
      const auto all = ReadAll(aFraming, parts);
      CPPUNIT_ASSERT_MESSAGE(aMessage, all.mError.has_value());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(aMessage, 400U, all.mError->mStatus);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(aMessage, std::size_t{ 0 }, all.mMessages);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(aMessage, all.mError->mInHead, all.mOutput.empty());
    }
  }

  static void AssertRewritten(const message_framing& aFraming,
                              const std::string& aMessage,
                              const std::string& aExpected)
  {
    for (const auto& parts : { std::vector<std::string>{ aMessage }, Bytes(aMessage) }) {
      const auto all = ReadAll(aFraming, parts);
      CPPUNIT_ASSERT_MESSAGE(aMessage + (all.mError ? all.mError->mReason : ""), !all.mError);
      CPPUNIT_ASSERT_EQUAL(aExpected, all.mOutput);
    }
  }

  /// Guards against a part of a body that is taken for the next request.
  void AmbiguousRequestsAreErrors()
  {
    for (const auto& [headers, body] : AmbiguousFramings()) {
      AssertError(message_framing::OfRequests(), Request(headers, body));
    }
    for (const auto& [headers, body] : std::vector<std::pair<std::string, std::string>>{
           { "Content-Length : 5\r\n", "hello" },
           { "Transfer-Encoding : chunked\r\n", "0\r\n\r\n" },
           { "A: b\r\n c\r\n", "" },
         }) {
      AssertError(message_framing::OfRequests(), Request(headers, body));
    }
    for (const auto* head : { "POST /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
                              "POST /a\r\n\r\n",
                              "POST  /a HTTP/1.1\r\n\r\n",
                              "POST /a  HTTP/1.1\r\n\r\n",
                              "POST /a b HTTP/1.1\r\n\r\n",
                              "POST /a HTTP/1.1 \r\n\r\n",
                              " POST /a HTTP/1.1\r\n\r\n",
                              "POST /a HTTP/1.1\r\n Host: a\r\n\r\n",
                              "POST /a HTTP/1.1\n\n",
                              "POST /a\rb HTTP/1.1\r\n\r\n",
                              "PO(T /a HTTP/1.1\r\n\r\n",
                              "POST /a FTP/1.1\r\n\r\n" }) {
      AssertError(message_framing::OfRequests(), head);
    }
  }

  void UnsupportedRequestsHaveTheirOwnStatus()
  {
    const auto coding = ReadAll(message_framing::OfRequests(),
                                { Request("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n") });
    CPPUNIT_ASSERT_EQUAL(501U, coding.mError->mStatus);
    for (const auto* version : { "HTTP/2.0", "HTTP/0.9", "HTTP/1.10" }) {
      const auto all = ReadAll(message_framing::OfRequests(),
                               { "POST /a " + std::string{ version } + "\r\nHost: a\r\n\r\n" });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(version, 505U, all.mError->mStatus);
    }
  }

  /// Guards against requests that are valid and refused, as the HTTP library cannot read them.
  void UnusualRequestsAreRewritten()
  {
    const auto chunked = Request("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\n\r\n");
    for (const auto* coding : { "Transfer-Encoding:chunked\r\n",
                                "Transfer-Encoding:\t chunked \t\r\n",
                                "transfer-encoding: CHUNKED\r\n",
                                "Transfer-Encoding: , chunked,\r\n",
                                "Transfer-Encoding:\r\nTransfer-Encoding: chunked\r\n" }) {
      AssertRewritten(
        message_framing::OfRequests(), Request(coding, "5\r\nhello\r\n0\r\n\r\n"), chunked);
    }
    for (const auto* body : { "5;a\r\nhello\r\n0;b=c\r\n\r\n",
                              "5 ; a = \"b;c\"\r\nhello\r\n0\r\n\r\n",
                              "00000000000000000005\r\nhello\r\n000\r\n\r\n",
                              "5\r\nhello\r\n0\r\nA: b\r\nC:\r\n\r\n" }) {
      AssertRewritten(
        message_framing::OfRequests(), Request("Transfer-Encoding: chunked\r\n", body), chunked);
    }
    const auto fixed = Request("Content-Length: 5\r\n", "hello");
    for (const auto* length :
         { "Content-Length:5\r\n", "content-length: \t5 \t\r\n", "Content-Length: 005\r\n" }) {
      AssertRewritten(message_framing::OfRequests(), Request(length, "hello"), fixed);
    }
    AssertRewritten(message_framing::OfRequests(), "\r\n\r\n" + fixed, fixed);
    AssertRewritten(message_framing::OfRequests(),
                    Request("A:b \r\nB:\t\r\nC: d  e\r\n", ""),
                    Request("A: b\r\nB: \r\nC: d  e\r\n", ""));
    AssertRewritten(message_framing::OfRequests(),
                    Request("Content-Length: 0\r\n", fixed),
                    Request("Content-Length: 0\r\n", fixed));
  }

  /// Guards against a part of an answer that passes for the whole.
  void AmbiguousResponsesAreErrors()
  {
    for (const auto& [headers, body] : AmbiguousFramings()) {
      AssertError(ResponseExpected(), Response(headers, body));
    }
    for (const auto* head : { "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                              "HTTP/1.1 0200 OK\r\n\r\n",
                              "HTTP/1.1 20 OK\r\n\r\n",
                              "HTTP/1.1\r\n\r\n",
                              "FTP/1.1 200 OK\r\n\r\n",
                              "HTTP/1.1 200 OK\r\n A: b\r\n\r\n" }) {
      AssertError(ResponseExpected(), head);
    }
  }

  /// Guards against answers that are valid and fail, as the HTTP library cannot read them.
  void UnusualResponsesAreRewritten()
  {
    const std::string begin = "HTTP/1.1 200 -\r\nId: r\r\n";
    const auto chunked = begin + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    for (const auto* body : { "5;a=b\r\nhello\r\n0\r\n\r\n", "5\r\nhello\r\n0\r\nA: b\r\n\r\n" }) {
      AssertRewritten(
        ResponseExpected(), Response("Transfer-Encoding: chunked\r\n", body), chunked);
    }
    const auto fixed = begin + "Content-Length: 5\r\n\r\nhello";
    AssertRewritten(ResponseExpected(), Response("Content-Length : 5 \r\n", "hello"), fixed);
    AssertRewritten(ResponseExpected(),
                    Response("A: b\r\n \t c\r\nContent-Length: 5\r\n", "hello"),
                    begin + "A: b c\r\nContent-Length: 5\r\n\r\nhello");
    AssertRewritten(ResponseExpected(), Response("", "to the end"), begin + "\r\nto the end");
    AssertRewritten(ResponseExpected(),
                    "HTTP/1.1 404\r\nContent-Length: 0\r\n\r\n",
                    "HTTP/1.1 404 -\r\nContent-Length: 0\r\n\r\n");
  }

  void ResponsesWithoutABodyEndWithTheirHead()
  {
    for (const auto* status : { "100", "204", "304" }) {
      auto framing = ResponseExpected();
      std::string output;
      framing.Read("HTTP/1.1 " + std::string{ status } + " -\r\nContent-Length: 5\r\n\r\n", output);
      CPPUNIT_ASSERT_MESSAGE(status, framing.Complete());
    }
    for (const auto* header : { "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n", "" }) {
      auto framing = ResponseExpected(true);
      std::string output;
      framing.Read(Response(header, ""), output);
      CPPUNIT_ASSERT_MESSAGE(header, framing.Complete());
    }
  }

  /// Guards against a second response that is kept and read as the one to the next request.
  void InputAfterAResponseIsNoMessage()
  {
    auto framing = ResponseExpected();
    const auto response = Response("Content-Length: 5\r\n", "hello");
    std::string output;
    CPPUNIT_ASSERT_EQUAL(response.size(), framing.Read(response + response, output));
    output.clear();
    framing.Read(response, output);
    CPPUNIT_ASSERT_EQUAL(response, output);
    CPPUNIT_ASSERT(framing.Complete());
  }

  /// Guards against a request whose error ends the one before it.
  void ReadingStopsBetweenMessages()
  {
    const auto request =
      Request("Transfer-Encoding: chunked\r\n", "5\r\nhello\r\n0\r\nA: b\r\n\r\n");
    auto framing = message_framing::OfRequests();
    std::string output;
    CPPUNIT_ASSERT_EQUAL(request.size(), framing.Read(request + "wrong\r\n\r\n", output));
    CPPUNIT_ASSERT(!framing.Error());
    framing.Read("wrong\r\n\r\n", output);
    CPPUNIT_ASSERT(framing.Error() && framing.Error()->mInHead);
  }

  /// Guards against a body without end that has no data, and so no limit.
  void ExtensionsAndTrailersAreBounded()
  {
    const auto head = Request("Transfer-Encoding: chunked\r\n", "");
    const std::string kilobyte(1'000, 'x');
    for (const auto& [first, repeated] :
         { std::pair<std::string, std::string>{ "", "1;a=" + kilobyte + "\r\nx\r\n" },
           { "0\r\n", "A: " + kilobyte + "\r\n" } }) {
      auto message = head + first;
      for (int i = 0; i < 60; ++i) {
        message += repeated;
      }
      CPPUNIT_ASSERT(!ReadAll(message_framing::OfRequests(), { message }).mError);
      for (int i = 0; i < 10; ++i) {
        message += repeated;
      }
      CPPUNIT_ASSERT(ReadAll(message_framing::OfRequests(), { message }).mError);
    }
    // Of a body with as much data, e.g. with a signature of each chunk, they may be more.
    const auto chunk = "3e8;a=" + kilobyte + "\r\n" + kilobyte + "\r\n";
    auto message = head;
    for (int i = 0; i < 200; ++i) {
      message += chunk;
    }
    CPPUNIT_ASSERT(!ReadAll(message_framing::OfRequests(), { message }).mError);
    const std::string line(5'000, 'x');
    CPPUNIT_ASSERT(ReadAll(message_framing::OfRequests(), { head + "1;" + line }).mError);
  }

  static std::string GeneratedRequest()
  {
    const auto body =
      *rc::gen::container<std::string>(rc::gen::elementOf(std::string{ "ab\r\n0: " }));
    if (*rc::gen::arbitrary<bool>()) {
      return Request("Content-Length: " + std::to_string(body.size()) + "\r\n", body);
    }
    std::string chunks;
    for (std::size_t at = 0; at < body.size();) {
      const auto most = std::min<std::size_t>(body.size() - at, 15);
      const auto size = *rc::gen::inRange<std::size_t>(1, most + 1);
      chunks += *rc::gen::element<std::string>("", "0", "00");
      chunks += "0123456789abcdef"[size];
      chunks += *rc::gen::element<std::string>("", ";a", " ;a=b");
      chunks += "\r\n";
      chunks += body.substr(at, size);
      chunks += "\r\n";
      at += size;
    }
    return Request("Transfer-Encoding: chunked\r\n",
                   chunks + "0\r\n" + *rc::gen::element<std::string>("", "A: b\r\n") + "\r\n");
  }

  /// Guards against a result that depends on how the bytes arrive.
  void SplitsOfTheInputMakeNoDifference()
  {
    const bool holds = rc::check("splits make no difference", [] {
      const auto count = *rc::gen::inRange<std::size_t>(1, 5);
      std::string input;
      for (std::size_t i = 0; i < count; ++i) {
        input += GeneratedRequest();
      }
      const auto whole = ReadAll(message_framing::OfRequests(), { input });
      RC_ASSERT(!whole.mError);
      RC_ASSERT(whole.mMessages == count);
      std::vector<std::string> parts;
      for (std::size_t at = 0; at < input.size();) {
        const auto size = *rc::gen::inRange<std::size_t>(1, 20);
        parts.push_back(input.substr(at, size));
        at += size;
      }
      const auto split = ReadAll(message_framing::OfRequests(), parts);
      RC_ASSERT(split.mOutput == whole.mOutput);
      RC_ASSERT(split.mMessages == whole.mMessages);
    });
    CPPUNIT_ASSERT(holds);
  }

  /// Guards against damage whose outcome depends on how the bytes arrive.
  void DamagedMessagesDoNotThrow()
  {
    const bool holds = rc::check("damaged messages don't throw", [] {
      auto input = GeneratedRequest() + GeneratedRequest();
      const auto at = *rc::gen::inRange<std::size_t>(0, input.size());
      input[at] = *rc::gen::arbitrary<char>();
      const auto whole = ReadAll(message_framing::OfRequests(), { input });
      const auto bytes = ReadAll(message_framing::OfRequests(), Bytes(input));
      RC_ASSERT(whole.mError.has_value() == bytes.mError.has_value());
      RC_ASSERT(whole.mOutput == bytes.mOutput);
      RC_ASSERT(whole.mMessages == bytes.mMessages);
    });
    CPPUNIT_ASSERT(holds);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(message_framing_test);

} // namespace skylarkwind
