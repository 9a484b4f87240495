#include "front_fixture.h"

namespace skylarkwind {

class front_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(front_test);
  CPPUNIT_TEST(StreamsHaveTheUsualShape);
  CPPUNIT_TEST(WholeAnswersHaveTheUsualShape);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char* kStreaming = R"({"model":"m","prompt":"abcde","stream":true})";

  static void SendTwoTokens(caller_front& aFront, const caller_arrived& aArrived)
  {
    aFront.Apply(caller_tokens{ aArrived.mRequest, "Hel", 1, "r1" });
    aFront.Apply(caller_tokens{ aArrived.mRequest, "lo\n", 2, "r2" });
    aFront.Apply(caller_completed{ aArrived.mRequest, "stop", { 2, 2, 1 } });
  }

  /// Guards against SSE events or chunks that a usual OpenAI client cannot read.
  void StreamsHaveTheUsualShape()
  {
    test_front front{ SendTwoTokens };
    test_caller caller{ front.Port() };
    caller.Send(HttpPost("/v1/completions", kStreaming));
    CPPUNIT_ASSERT_MESSAGE(caller.Read(), caller.ReadUntil("\r\n0\r\n\r\n"));
    CPPUNIT_ASSERT_EQUAL(std::string{ "x" }, Dechunked(caller.Read()));
  }

  /// Guards against a whole answer without its text or usage.
  void WholeAnswersHaveTheUsualShape()
  {
    test_front front{ SendTwoTokens };
    test_caller caller{ front.Port() };
    caller.Send(HttpPost(
      "/v1/chat/completions", R"({"model":"m","messages":[{"role":"user","content":"hi"}]})"));
    CPPUNIT_ASSERT(caller.ReadUntil("}}}"));
    CPPUNIT_ASSERT_EQUAL(std::string{ "x" }, caller.Read());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_test);

} // namespace skylarkwind
