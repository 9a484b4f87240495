#include "test_system.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind::sessions {

class serving_session_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(serving_session_test);
  CPPUNIT_TEST(EngineKilledInAStream);
  CPPUNIT_TEST(DaemonKilledInAStream);
  CPPUNIT_TEST(OrderRepeatedAtTwoDaemons);
  CPPUNIT_TEST(OrderWhoseAnswerIsLost);
  CPPUNIT_TEST_SUITE_END();

  static system_options SlowEngines()
  {
    system_options options;
    for (auto& engine : options.mEngines) {
      engine.mFlags = { "--stream_tokens_per_s=100" };
    }
    return options;
  }

  /// The daemon's view of the engine that streams now.
  static std::string BusyEngine(const test_system& aSystem, const std::string& aVm)
  {
    const auto status = aSystem.Status(aVm);
    for (const auto& row : status["backend_servers"]) {
      if (row.value("in_flight", 0) > 0) {
        return row["name"];
      }
    }
    return "";
  }

  static std::string WholeText(const test_system& aSystem, const http_reply& aReply)
  {
    CPPUNIT_ASSERT(!aReply.mBroken);
    const auto view = ReadStream(aReply.mBody);
    CPPUNIT_ASSERT_MESSAGE(aReply.mBody, view.mDone);
    (void)aSystem;
    return view.mText;
  }

  static long Tokens(const std::string& aText)
  {
    return std::count(aText.begin(), aText.end(), ' ');
  }

  /// Guards against an answer that is cut, or has text twice, when its engine crashes.
  void EngineKilledInAStream()
  {
    test_system system{ SlowEngines() };
    const auto call = system.Stream("entry-1", "engine killed", 200);
    CPPUNIT_ASSERT(WaitUntil([&] { return Tokens(ReadStream(call->Received()).mText) >= 20; }));
    const auto engine = BusyEngine(system, "entry-1");
    CPPUNIT_ASSERT(!engine.empty());
    system.KillEngine(engine);
    const auto text = WholeText(system, call->Wait());
    CPPUNIT_ASSERT_EQUAL(200L, Tokens(text));
  }

  /// Guards against a caller that cannot get the rest of its answer when its daemon crashes.
  void DaemonKilledInAStream()
  {
    test_system system{ SlowEngines() };
    const auto call = system.Stream("entry-1", "daemon killed", 200);
    CPPUNIT_ASSERT(WaitUntil([&] { return Tokens(ReadStream(call->Received()).mText) >= 20; }));
    system.KillDaemon("entry-1");
    const auto first = ReadStream(call->Wait().mBody);
    CPPUNIT_ASSERT(!first.mDone);
    const auto rest = system.Stream("entry-2", "daemon killed", 200, first.mLastEventId);
    const auto text = first.mText + WholeText(system, rest->Wait());
    CPPUNIT_ASSERT_EQUAL(200L, Tokens(text));
  }

  /// Guards against an order that runs twice when a caller repeats it at another VM.
  void OrderRepeatedAtTwoDaemons()
  {
    test_system system;
    Call("POST", system.Service().Url("/standin/faults"), {}, R"({"delay_ms":300})");
    for (int i = 0; i < 5; ++i) {
      const auto key = "twice-" + std::to_string(i);
      http_reply one;
      std::thread other{ [&] { one = system.Order("entry-1", key, "{}"); } };
      const auto two = system.Order("entry-2", key, "{}");
      other.join();
      CPPUNIT_ASSERT_EQUAL(1, system.RunsOf(key));
      for (const auto& reply : { one, two }) {
        CPPUNIT_ASSERT_MESSAGE(reply.mBody, reply.mStatus == 200 || reply.mStatus == 409);
      }
      const auto later = system.Order("entry-2", key, "{}");
      CPPUNIT_ASSERT_EQUAL(200, later.mStatus);
      CPPUNIT_ASSERT_EQUAL(1, system.RunsOf(key));
    }
  }

  /// Guards against an order that runs again because the platform or the service lost an answer.
  void OrderWhoseAnswerIsLost()
  {
    test_system system;
    Call("POST", system.Platform().Url("/standin/faults"), {}, R"({"lose_replies":1})");
    CPPUNIT_ASSERT_EQUAL(200, system.Order("entry-1", "lost-platform", "{}").mStatus);
    CPPUNIT_ASSERT_EQUAL(1, system.RunsOf("lost-platform"));

    Call("POST", system.Service().Url("/standin/faults"), {}, R"({"close_after_run":1})");
    const auto lost = system.Order("entry-1", "lost-service", "{}");
    CPPUNIT_ASSERT_EQUAL(502, lost.mStatus);
    CPPUNIT_ASSERT(lost.mBody.find("outcome unknown") != std::string::npos);
    const auto again = system.Order("entry-2", "lost-service", "{}");
    CPPUNIT_ASSERT_EQUAL(502, again.mStatus);
    CPPUNIT_ASSERT_EQUAL(1, system.RunsOf("lost-service"));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(serving_session_test);

} // namespace skylarkwind::sessions
