#include "front_fixture.h"

#include "connection_p.h"

#include <fstream>
#include <regex>
#include <sstream>

namespace skylarkwind {

class front_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(front_test);
  CPPUNIT_TEST(StreamsHaveTheUsualShape);
  CPPUNIT_TEST(WholeAnswersHaveTheUsualShape);
  CPPUNIT_TEST(ErrorsBeforeAndInAStream);
  CPPUNIT_TEST(PlainAnswersPassWithoutHopByHopHeaders);
  CPPUNIT_TEST(PipelinedRequestsAreAnsweredInOrder);
  CPPUNIT_TEST(RefusalsReachTheSender);
  CPPUNIT_TEST(CallersThatLeaveAreReportedAtOnce);
  CPPUNIT_TEST(StoppedReadersAreBounded);
  CPPUNIT_TEST(StoppedReadersHoldUpNobody);
  CPPUNIT_TEST(TimeLimitsCloseConnections);
  CPPUNIT_TEST(SlowSendersAreClosed);
  CPPUNIT_TEST(ShutdownFinishesOpenRequests);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char* kStreaming = R"({"model":"m","prompt":"abcde","stream":true})";
  static constexpr const char* kChat =
    R"({"model":"m","stream":true,"messages":[{"role":"user","content":"hi"}]})";
  static constexpr const char* kWhole = R"({"model":"m","prompt":"abcde"})";

  static void SendTwoTokens(caller_front& aFront, const caller_arrived& aArrived)
  {
    const auto request = aArrived.mRequest;
    aFront.Apply(caller_tokens{ request, "Hel", 1, "r1" });
    aFront.Apply(caller_tokens{ request, "lo\n", 2, "r2" });
    aFront.Apply(caller_completed{ request, "stop", { 2, 2, 1 } });
    // The request is closed; none of these may reach the caller.
    aFront.Apply(caller_tokens{ request, "late", 3, "r3" });
    aFront.Apply(caller_error{ request, 500, "late", "late", "late" });
    aFront.Apply(caller_tokens{ request_id{ request.mValue + 1 }, "unknown", 1, "r" });
  }

  /// Compares with a golden file, with ids and times replaced.
  static void CompareGolden(const std::string& aName, const std::string& aSeen)
  {
    std::ifstream file{ std::string{ SKYLARKWIND_SOURCE_DIR "/packages/front/tests/golden/" } +
                        aName };
    std::stringstream golden;
    golden << file.rdbuf();
    auto seen = std::regex_replace(aSeen, std::regex{ "cmpl-[0-9]+" }, "cmpl-ID");
    seen = std::regex_replace(seen, std::regex{ "\"created\":[0-9]+" }, "\"created\":TIME");
    seen = std::regex_replace(seen, std::regex{ "\r\n" }, "\n");
    CPPUNIT_ASSERT_EQUAL(golden.str(), seen);
  }

  static std::string Answer(test_front& aFront,
                            const std::string& aRequest,
                            std::string_view aUntil)
  {
    test_caller caller{ aFront.Port() };
    caller.Send(aRequest);
    CPPUNIT_ASSERT_MESSAGE(caller.Read(), caller.ReadUntil(aUntil));
    return caller.Read();
  }

  /// Guards against SSE events or chunks that a usual OpenAI client cannot read.
  void StreamsHaveTheUsualShape()
  {
    test_front front{ SendTwoTokens };
    const auto text = Answer(front, HttpPost("/v1/completions", kStreaming), "\r\n0\r\n\r\n");
    CompareGolden("stream_head.txt", text.substr(0, text.find("\r\n\r\n") + 4));
    CompareGolden("stream_text.txt", Dechunked(text));
    const auto chat = Answer(front, HttpPost("/v1/chat/completions", kChat), "\r\n0\r\n\r\n");
    CompareGolden("stream_chat.txt", Dechunked(chat));
    test_caller old{ front.Port() };
    auto request = HttpPost("/v1/completions", kStreaming);
    old.Send(request.replace(request.find("HTTP/1.1"), 8, "HTTP/1.0"));
    const auto unchunked = old.ReadToEnd();
    CompareGolden("stream_text.txt", unchunked.substr(unchunked.find("\r\n\r\n") + 4));
  }

  /// Replaces the content length, which depends on the digits of the id, if it is right.
  static std::string WithoutLength(const std::string& aAnswer)
  {
    const auto body = aAnswer.find("\r\n\r\n") + 4;
    const auto length = "Content-Length: " + std::to_string(aAnswer.size() - body) + "\r";
    return std::regex_replace(aAnswer, std::regex{ length }, "Content-Length: LENGTH\r");
  }

  /// Guards against a whole answer without its text or usage.
  void WholeAnswersHaveTheUsualShape()
  {
    test_front front{ SendTwoTokens };
    const auto text = Answer(front, HttpPost("/v1/completions", kWhole), "}}}");
    CompareGolden("whole_text.txt", WithoutLength(text));
    const std::string chat = R"({"model":"m","messages":[{"role":"user","content":"hi"}]})";
    CompareGolden("whole_chat.txt",
                  WithoutLength(Answer(front, HttpPost("/v1/chat/completions", chat), "}}}")));
  }

  /// Guards against an error that a caller takes for the end of a whole answer, and against a
  /// Retry-After that is too early.
  void ErrorsBeforeAndInAStream()
  {
    test_front front{ [](caller_front& aFront, const caller_arrived& aArrived) {
      const auto& completion = std::get<completion_request>(aArrived.mBody.mOperation);
      if (completion.mPrompt == "begun") {
        aFront.Apply(caller_tokens{ aArrived.mRequest, "a", 1, "r1" });
      }
      aFront.Apply(caller_error{ aArrived.mRequest,
                                 503,
                                 "unavailable_error",
                                 "no_capacity",
                                 "no engine",
                                 run_state::OutcomeUnknown,
                                 std::chrono::milliseconds{ 1001 } });
    } };
    CompareGolden("error_whole.txt", Answer(front, HttpPost("/v1/completions", kStreaming), "}}"));
    const std::string begun = R"({"model":"m","prompt":"begun","stream":true})";
    const auto stream = Answer(front, HttpPost("/v1/completions", begun), "\r\n0\r\n\r\n");
    CompareGolden("error_stream.txt", Dechunked(stream));
  }

  /// Guards against framing headers of a backend server that would break the caller's answer.
  void PlainAnswersPassWithoutHopByHopHeaders()
  {
    test_front front{ [](caller_front& aFront, const caller_arrived& aArrived) {
      const header_list headers{ { "X-A", "1" },
                                 { "Transfer-Encoding", "chunked" },
                                 { "Connection", "x" },
                                 { "Content-Length", "99" },
                                 { "X-Bad", "a\r\nB:c" } };
      aFront.Apply(caller_response{ aArrived.mRequest, 418, headers, "body" });
    } };
    const std::string head = "HTTP/1.1 418 I'm a teapot\r\nX-A: 1\r\nContent-Length: 4\r\n\r\n";
    CPPUNIT_ASSERT_EQUAL(head + "body", Answer(front, HttpPost("/crew/x", "b"), "body"));
    test_caller caller{ front.Port() };
    caller.Send("HEAD /crew HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    CPPUNIT_ASSERT(caller.ReadToEnd().ends_with("Content-Length: 4\r\n\r\n"));
    CPPUNIT_ASSERT(
      Answer(front,
             "GET /admin/status?x HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer op\r\n\r\n",
             "/admin/status|op")
        .starts_with("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"));
  }

  /// Guards against a lost pipelined request and against answers that change places.
  void PipelinedRequestsAreAnsweredInOrder()
  {
    test_front front{ [](caller_front& aFront, const caller_arrived& aArrived) {
      const auto& plain = std::get<plain_request>(aArrived.mBody.mOperation);
      aFront.Apply(caller_response{ aArrived.mRequest, 200, {}, "<" + plain.mBody + ">" });
    } };
    test_caller caller{ front.Port() };
    std::string sent;
    for (int number = 0; number < 50; ++number) {
      sent += HttpPost("/p", std::to_string(number), number == 49 ? "Connection: close\r\n" : "");
    }
    caller.Send(sent);
    const auto seen = caller.ReadToEnd();
    std::size_t at = 0;
    for (int number = 0; number < 50; ++number) {
      const auto found = seen.find('<', at);
      const auto expected = "<" + std::to_string(number) + ">";
      CPPUNIT_ASSERT_EQUAL(expected, seen.substr(std::min(found, seen.size()), expected.size()));
      at = found + 1;
    }
  }

  /// Guards against a refusal that is destroyed by a connection reset while the body still comes.
  void RefusalsReachTheSender()
  {
    front_settings settings;
    settings.mMaxOpenRequests = 1;
    test_front front{ [](caller_front&, const caller_arrived&) {}, settings };
    const auto refused = [&](const std::string& aRequest) {
      test_caller caller{ front.Port() };
      caller.Send(aRequest);
      return caller.ReadToEnd();
    };
    const std::string oversized(settings.mMaxBodyBytes + 1, 'x');
    CompareGolden("refused_body.txt", refused(HttpPost("/v1/completions", oversized)));
    const auto header = "X: " + std::string(settings.mMaxHeaderBytes, 'x') + "\r\n";
    CPPUNIT_ASSERT(refused(HttpPost("/x", "", header)).starts_with("HTTP/1.1 431 "));
    const auto wrongMethod = refused("GET /v1/completions HTTP/1.1\r\nHost: x\r\nConnection: "
                                     "close\r\n\r\n");
    CPPUNIT_ASSERT(wrongMethod.starts_with("HTTP/1.1 405 "));
    CPPUNIT_ASSERT(wrongMethod.find("Allow: POST\r\n") != std::string::npos);
    test_caller open{ front.Port() };
    open.Send(HttpPost("/v1/completions", kWhole));
    CPPUNIT_ASSERT(test_front::WaitFor([&] { return front.Arrived() == 1; }));
    const auto full = refused(HttpPost("/v1/completions", kWhole, "Connection: close\r\n"));
    CPPUNIT_ASSERT(full.starts_with("HTTP/1.1 503 "));
    CPPUNIT_ASSERT(full.find(R"("run":"not run")") != std::string::npos);
  }

  /// Guards against an engine that goes on generating for a caller that left: the design allows 1
  /// s.
  void CallersThatLeaveAreReportedAtOnce()
  {
    test_front front{ [](caller_front& aFront, const caller_arrived& aArrived) {
      aFront.Apply(caller_tokens{ aArrived.mRequest, "a", 1, "r1" });
    } };
    for (const bool reset : { false, true }) {
      const auto before = front.Gone();
      {
        test_caller caller{ front.Port() };
        caller.Send(HttpPost("/v1/completions", kStreaming));
        CPPUNIT_ASSERT(caller.ReadUntil("\"a\""));
        if (reset) {
          caller.Reset();
        }
      }
      const auto left = std::chrono::steady_clock::now();
      CPPUNIT_ASSERT(test_front::WaitFor([&] { return front.Gone() == before + 1; }));
      CPPUNIT_ASSERT(std::chrono::steady_clock::now() - left < std::chrono::seconds{ 1 });
    }
    CPPUNIT_ASSERT(test_front::WaitFor([&] { return front.Open() == 0; }));
  }

  /// Guards against memory that grows without bound for a caller that stops reading.
  void StoppedReadersAreBounded()
  {
    const std::string text(16384, 't');
    test_front front{ [&](caller_front& aFront, const caller_arrived& aArrived) {
      for (int count = 0; count < 2000; ++count) {
        aFront.Apply(caller_tokens{ aArrived.mRequest, text, 1, "r1" });
      }
    } };
    test_caller caller{ front.Port(), 4096 };
    caller.Send(HttpPost("/v1/completions", kStreaming));
    CPPUNIT_ASSERT(test_front::WaitFor([&] { return front.Gone() == 1; }));
    const auto closed = front.Count("skylarkwind_front_closed_total", "reason=\"pending_bytes\"");
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 }, closed);
    CPPUNIT_ASSERT(test_front::WaitFor([&] { return front.Open() == 0; }));
  }

  /// Guards against a write that is repeated until a stopped reader takes it, on the thread that
  /// writes for all callers. Pistache's own write queue does this.
  void StoppedReadersHoldUpNobody()
  {
    front_settings settings;
    settings.mMaxPendingBytes = std::size_t{ 64 } << 20U;
    const std::string text(16384, 't');
    std::atomic<bool> wasFull{ false };
    test_front front{ [&](caller_front& aFront, const caller_arrived& aArrived) {
                       const bool first = !wasFull.exchange(true);
                       for (int count = 0; count < (first ? 2000 : 1); ++count) {
                         aFront.Apply(caller_tokens{ aArrived.mRequest, text, 1, "r1" });
                       }
                       aFront.Apply(caller_completed{ aArrived.mRequest, "stop", {} });
                     },
                      settings };
    test_caller stopped{ front.Port(), 4096 };
    stopped.Send(HttpPost("/v1/completions", kStreaming));
    CPPUNIT_ASSERT(test_front::WaitFor([&] { return wasFull.load(); }));
    Answer(front, HttpPost("/v1/completions", kStreaming), "data: [DONE]\n\n\r\n0\r\n\r\n");
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, front.Gone());
    // Once it reads again, it gets its whole answer.
    CPPUNIT_ASSERT(stopped.ReadUntil(
      [](const std::string& aRead) { return aRead.ends_with("[DONE]\n\n\r\n0\r\n\r\n"); }));
    CPPUNIT_ASSERT(Dechunked(stopped.Read()).size() > 2000 * text.size());
  }

  /// Guards against connections that hold memory for ever, and against limits that strike early.
  void TimeLimitsCloseConnections()
  {
    struct limit_case
    {
      std::string mInput;
      std::string mOutput;
      std::chrono::milliseconds mLimit;
      std::string mReason;
    };
    const front_settings settings;
    const std::string request = HttpPost("/p", "body");
    for (const auto& [input, output, limit, reason] :
         { limit_case{ "GET / HT", "", settings.mHeaderTimeLimit, "slow_sender" },
           limit_case{
             request.substr(0, request.size() - 1), "", settings.mHeaderTimeLimit, "slow_sender" },
           limit_case{ "", "", settings.mIdleTimeLimit, "idle" },
           limit_case{ request, "answer", settings.mStalledWriteLimit, "stalled" } }) {
      counters registry;
      front_shared shared{ settings, registry };
      int ends[2];
      CPPUNIT_ASSERT_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM, 0, ends));
      const steady_instant start{ std::chrono::hours{ 1 } };
      const auto held = std::make_shared<connection>(
        1, Pistache::Tcp::Peer::Create(ends[0], Pistache::Address{}), shared, start);
      held->Receive(input, start);
      held->Write({ 1, held->Request(), output }, start);
      auto& closed =
        registry.Get("skylarkwind_front_closed_total", {}, "reason=\"" + reason + "\"");
      held->CheckLimits(start + limit, false);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reason, std::int64_t{ 0 }, closed.Value());
      held->CheckLimits(start + limit + std::chrono::milliseconds{ 1 }, false);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reason, std::int64_t{ 1 }, closed.Value());
      char byte = 0;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(reason, ssize_t{ 0 }, recv(ends[1], &byte, 1, 0));
      close(ends[1]);
    }
  }

  /// Guards against time limits that never run in the server.
  void SlowSendersAreClosed()
  {
    front_settings settings;
    settings.mHeaderTimeLimit = std::chrono::milliseconds{ 50 };
    test_front front{ SendTwoTokens, settings };
    test_caller caller{ front.Port() };
    caller.Send("POST /v1/completions HTTP/1.1\r\nHost: ");
    CPPUNIT_ASSERT_EQUAL(std::string{}, caller.ReadToEnd());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 1 },
                         front.Count("skylarkwind_front_closed_total", "reason=\"slow_sender\""));
  }

  /// Guards against a planned stop that cuts an answer or runs a request that came too late.
  void ShutdownFinishesOpenRequests()
  {
    std::atomic<std::uint64_t> request{ 0 };
    test_front front{ [&](caller_front&, const caller_arrived& aArrived) {
      request = aArrived.mRequest.mValue;
    } };
    test_caller open{ front.Port() };
    test_caller idle{ front.Port() };
    open.Send(HttpPost("/v1/completions", kStreaming));
    CPPUNIT_ASSERT(test_front::WaitFor([&] { return request != 0; }));
    front.Post([](caller_front& aFront) { aFront.StopAccepting(); });
    CPPUNIT_ASSERT_EQUAL(std::string{}, idle.ReadToEnd());
    test_caller late{ front.Port() };
    late.Send(HttpPost("/v1/completions", kWhole));
    CPPUNIT_ASSERT(late.ReadToEnd().starts_with("HTTP/1.1 503 "));
    front.Post([&](caller_front& aFront) {
      aFront.Apply(caller_tokens{ request_id{ request }, "kept", 1, "r1" });
      aFront.Apply(caller_completed{ request_id{ request }, "stop", {} });
    });
    CPPUNIT_ASSERT(open.ReadUntil("data: [DONE]\n\n\r\n0\r\n\r\n"));
    CPPUNIT_ASSERT(test_front::WaitFor([&] { return front.Open() == 0; }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, front.Arrived());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_test);

} // namespace skylarkwind
