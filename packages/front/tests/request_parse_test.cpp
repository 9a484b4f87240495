#include "caller_parse_p.h"
#include "front_fixture.h"
#include "skylarkwind/hash.h"

#include <iostream>
#include <random>

namespace skylarkwind {

namespace {

constexpr request_reader::limits kLimits{ 512, 256 };

/// What a reader makes of these bytes, arriving in the given pieces.
std::string
Outcome(const std::vector<std::string>& aPieces)
{
  request_reader reader{ kLimits };
  std::string out;
  for (const auto& piece : aPieces) {
    reader.Feed(piece);
    auto state = reader.Advance();
    while (state == request_reader::progress::Ready) {
      const auto request = reader.Take();
      CPPUNIT_ASSERT(request.mBody.size() <= kLimits.mBodyBytes);
      out += request.mMethod + " " + request.mTarget + " " + request.mBody + "\n";
      for (const auto& [name, value] : request.mHeaders) {
        out.append(name).append("=").append(value).append("\n");
      }
      state = reader.Advance();
    }
    if (state == request_reader::progress::Failed) {
      return out + std::to_string(reader.Failure().mStatus) + " " + reader.Failure().mCode;
    }
    // A request that is not whole yet never holds more than its limits.
    CPPUNIT_ASSERT(reader.Buffered() <= kLimits.mHeaderBytes);
  }
  return out + (reader.MidRequest() ? "more" : "");
}

std::string
Mutated(std::string aText, std::mt19937_64& aRandom)
{
  const auto pick = [&](std::size_t aBelow) { return aBelow == 0 ? 0 : aRandom() % aBelow; };
  constexpr std::string_view kBytes{ "\r\n: ;,{}[]\"\\0F-\x00\xff\xc3G", 19 };
  for (auto rounds = 1 + pick(5); rounds > 0; --rounds) {
    const auto at = pick(aText.size());
    switch (pick(5)) {
      case 0:
        aText.insert(at, 1, kBytes[pick(kBytes.size())]);
        break;
      case 1:
        aText.erase(at, 1 + pick(4));
        break;
      case 2:
        aText.insert(pick(aText.size()), aText.substr(at, pick(40)));
        break;
      case 3:
        aText.resize(at);
        break;
      default:
        if (!aText.empty()) {
          aText[at] = static_cast<char>(aRandom());
        }
    }
  }
  return aText;
}

std::vector<std::string>
RandomPieces(const std::string& aText, std::mt19937_64& aRandom)
{
  std::vector<std::string> pieces;
  for (std::size_t at = 0; at < aText.size(); at += pieces.back().size()) {
    pieces.push_back(aText.substr(at, 1 + aRandom() % 30));
  }
  return pieces;
}

std::vector<std::string>
Corpus()
{
  const std::string chunked = "POST /p HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n";
  return {
    "GET /a?b=2&a=1&b=3 HTTP/1.1\r\nHost: x\r\nX-A: 1\r\nX-A: 2\r\n\r\n",
    chunked + "3;e=1\r\nabc\r\n0\r\nT: 1\r\n\r\n",
    HttpPost("/v1/completions", R"({"model":"m","prompt":"p\u00e9","max_tokens":3,"stop":["a"]})"),
    HttpPost("/v1/chat/completions",
             R"({"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"t"}]}]})",
             "Authorization: Bearer k\r\nX-Request-Timeout-Ms: 5\r\n"),
    HttpPost("/a", "1") + HttpPost("/b", "2"),
  };
}

struct refused_case
{
  std::string mBytes;
  std::string mExpected;
};

} // namespace

class request_parse_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(request_parse_test);
  CPPUNIT_TEST(AmbiguousOrOversizedRequestsAreRefused);
  CPPUNIT_TEST(WrongCompletionsAreRefused);
  CPPUNIT_TEST(FieldsOfACompletionAreRead);
  CPPUNIT_TEST(PlainRequestsKeepTheirBytes);
  CPPUNIT_TEST(MutatedRequestsParseAlikeInAnyPieces);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against request smuggling and against unbounded headers or bodies.
  void AmbiguousOrOversizedRequestsAreRefused()
  {
    const std::string post = "POST / HTTP/1.1\r\nHost: x\r\n";
    const std::vector<refused_case> cases{
      { "GET /\r\n\r\n", "400 malformed_request" },
      { "GET x HTTP/1.1\r\nHost: x\r\n\r\n", "400 malformed_request" },
      { "GE(T / HTTP/1.1\r\nHost: x\r\n\r\n", "400 malformed_request" },
      { "GET / HTTP/2.0\r\nHost: x\r\n\r\n", "505 version_not_supported" },
      { "GET / HTTP/1.1\r\n\r\n", "400 malformed_request" },
      { "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", "400 malformed_request" },
      { "GET / HTTP/1.1\r\nHost: x\r\n folded\r\n\r\n", "400 malformed_request" },
      { "GET / HTTP/1.1\r\nHost : x\r\n\r\n", "400 malformed_request" },
      { "GET / HTTP/1.1\r\nHost: x\nA: b\r\n\r\n", "400 malformed_request" },
      { post + "Content-Length: zz\r\n\r\n", "400 malformed_request" },
      { post + "Content-Length: -1\r\n\r\n", "400 malformed_request" },
      { post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\n", "400 malformed_request" },
      { post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n", "400 malformed_request" },
      { post + "Transfer-Encoding: gzip\r\n\r\n", "501 coding_not_supported" },
      { post + "Transfer-Encoding: chunked\r\n\r\nxyz\r\n", "400 malformed_request" },
      { post + "Transfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", "400 malformed_request" },
      // Recipients that take these line feeds for ends of lines read other chunks.
      { post + "Transfer-Encoding: chunked\r\n\r\n1;a\nb\r\nx\r\n0\r\n\r\n",
        "400 malformed_request" },
      { post + "Transfer-Encoding: chunked\r\n\r\n1;a\rb\r\nx\r\n0\r\n\r\n",
        "400 malformed_request" },
      { post + "Transfer-Encoding: chunked\r\n\r\n 1\r\nx\r\n0\r\n\r\n", "400 malformed_request" },
      { post + "Transfer-Encoding: chunked\r\n\r\n0\r\nGET /b HTTP/1.1\r\n\r\n",
        "400 malformed_request" },
      { post + "Transfer-Encoding: chunked\r\n\r\n0\r\nT: 1\n\r\n\r\n", "400 malformed_request" },
      { post + "Transfer-Encoding: chunked\r\n\r\n101\r\n", "413 body_too_large" },
      { post + "Content-Length: 257\r\n\r\n", "413 body_too_large" },
      { post + "Content-Length: 99999999999999999999\r\n\r\n", "413 body_too_large" },
      { post + "X: " + std::string(600, 'a'), "431 headers_too_large" },
    };
    for (const auto& [bytes, expected] : cases) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, expected, Outcome({ bytes }));
    }
  }

  static std::string RefusalOf(const std::string& aMethod,
                               const std::string& aPath,
                               const std::string& aBody,
                               header_list aHeaders = {})
  {
    const auto parsed = ParseCallerRequest({ aMethod, aPath, std::move(aHeaders), aBody });
    const auto* wrong = std::get_if<refusal>(&parsed);
    return wrong == nullptr ? "accepted" : std::to_string(wrong->mStatus) + " " + wrong->mCode;
  }

  /// Guards against engines that get a body with wrong types, and against unclear errors.
  void WrongCompletionsAreRefused()
  {
    const std::vector<refused_case> bodies{
      { "{", "400 malformed_json" },
      { "{\"model\":\"\xff\"}", "400 malformed_json" },
      { std::string(100, '[') + std::string(100, ']'), "400 malformed_json" },
      { "[]", "400 invalid_value" },
      { R"({"prompt":"p"})", "400 missing_model" },
      { R"({"model":7,"prompt":"p"})", "400 invalid_value" },
      { R"({"model":"m"})", "400 missing_prompt" },
      { R"({"model":"m","prompt":["p"]})", "400 invalid_value" },
      { R"({"model":"m","prompt":"p","stream":"yes"})", "400 invalid_value" },
      { R"({"model":"m","prompt":"p","max_tokens":0})", "400 invalid_value" },
      { R"({"model":"m","prompt":"p","max_tokens":1.5})", "400 invalid_value" },
      { R"({"model":"m","prompt":"p","n":2})", "400 invalid_value" },
      { R"({"model":"m","prompt":"p","stop":[1]})", "400 invalid_value" },
      { R"({"model":"m","prompt":"p","temperature":"hot"})", "400 invalid_value" },
      { R"({"model":"m","prompt":"p","temperature":null})", "accepted" },
    };
    for (const auto& [body, expected] : bodies) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(body, expected, RefusalOf("POST", "/v1/completions", body));
    }
    const std::string chat = "/v1/chat/completions";
    for (const std::string body : { R"({"model":"m","messages":[]})",
                                    R"({"model":"m","messages":[{"content":"c"}]})",
                                    R"({"model":"m","messages":[{"role":"user","content":3}]})" }) {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        body, std::string{ "400 invalid_value" }, RefusalOf("POST", chat, body));
    }
    CPPUNIT_ASSERT_EQUAL(std::string{ "405 method_not_allowed" }, RefusalOf("GET", chat, ""));
    CPPUNIT_ASSERT_EQUAL(std::string{ "400 invalid_time_limit" },
                         RefusalOf("GET", "/plain", "", { { "X-Request-Timeout-Ms", "1s" } }));
  }

  /// Guards against a field of a completion that is lost between the caller and the core.
  void FieldsOfACompletionAreRead()
  {
    const std::string body =
      R"({"model":"m","stream":true,"messages":[{"role":"user","content":"abcd"}]})";
    const auto parsed =
      std::get<caller_request>(ParseCallerRequest({ "POST",
                                                    "/v1/chat/completions?x=1",
                                                    { { "authorization", "bearer key" },
                                                      { "Idempotency-Key", "i" },
                                                      { "Last-Event-ID", "r" },
                                                      { "X-Request-Timeout-Ms", "1500" } },
                                                    body }));
    const auto& completion = std::get<completion_request>(parsed.mOperation);
    CPPUNIT_ASSERT(completion.mChat && completion.mStreaming);
    CPPUNIT_ASSERT_EQUAL(std::string{ "user\nabcd\n" }, completion.mPrompt);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, completion.mPromptTokens);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 256 }, completion.mMaxTokens);
    CPPUNIT_ASSERT_EQUAL(body, completion.mBody);
    CPPUNIT_ASSERT_EQUAL(Sha256Hex("key"), parsed.mApiKeySha256);
    CPPUNIT_ASSERT_EQUAL(std::string{ "i" }, parsed.mIdempotencyKey);
    CPPUNIT_ASSERT_EQUAL(std::string{ "r" }, parsed.mResumeToken);
    CPPUNIT_ASSERT(parsed.mTimeLimit == std::chrono::milliseconds{ 1500 });
  }

  /// Guards against changed queries, leaked API keys and forwarded hop-by-hop headers.
  void PlainRequestsKeepTheirBytes()
  {
    const auto parsed =
      std::get<caller_request>(ParseCallerRequest({ "PUT",
                                                    "/crew/a?b=2&a=%201&b=3",
                                                    { { "X-A", "1" },
                                                      { "Connection", "X-B, close" },
                                                      { "X-B", "2" },
                                                      { "Authorization", "Bearer key" },
                                                      { "Idempotency-Key", "i" },
                                                      { "X-A", "3" } },
                                                    "body" }));
    const auto& plain = std::get<plain_request>(parsed.mOperation);
    CPPUNIT_ASSERT_EQUAL(std::string{ "/crew/a?b=2&a=%201&b=3" }, plain.mPath);
    CPPUNIT_ASSERT_EQUAL(std::string{ "PUT body" }, plain.mMethod + " " + plain.mBody);
    const header_list kept{ { "X-A", "1" }, { "Idempotency-Key", "i" }, { "X-A", "3" } };
    CPPUNIT_ASSERT(kept == plain.mHeaders);
  }

  /// Guards against input that crashes the parsers, passes their limits, or is read differently
  /// when the network cuts it into other pieces.
  void MutatedRequestsParseAlikeInAnyPieces()
  {
    constexpr std::uint64_t kSeed = 20261204;
    std::cout << " seed " << kSeed << std::flush;
    std::mt19937_64 random{ kSeed };
    const auto corpus = Corpus();
    std::size_t refused = 0;
    for (int round = 0; round < 6000; ++round) {
      const auto text = Mutated(corpus[random() % corpus.size()], random);
      const auto whole = Outcome({ text });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(text, whole, Outcome(RandomPieces(text, random)));
      const auto body = text.find("\r\n\r\n");
      if (body != std::string::npos) {
        const bool chat = random() % 2 == 0;
        const auto parsed = ParseCallerRequest(
          { "POST", chat ? "/v1/chat/completions" : "/v1/completions", {}, text.substr(body + 4) });
        refused += std::holds_alternative<refusal>(parsed) ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT(refused > 1000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_parse_test);

} // namespace skylarkwind
