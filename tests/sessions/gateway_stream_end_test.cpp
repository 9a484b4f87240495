#include "gateway_system.h"
#include "raw_caller.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sstream>

namespace skylarkwind::sessions {

using std::chrono::seconds;

/// How a stream ends for its caller once a part of it has been sent.
class gateway_stream_end_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(gateway_stream_end_test);
  CPPUNIT_TEST(BegunStreamIsNeverFollowedByAnError);
  CPPUNIT_TEST_SUITE_END();

  static std::string Request(const std::string& aId)
  {
    std::string text = "POST /stream/x HTTP/1.1\r\n";
    for (const auto& line : gateway_system::StreamHeaders(aId, 12)) {
      text += line + "\r\n";
    }
    return text + "Content-Length: 1\r\n\r\nb";
  }

  static std::vector<std::string> Outcomes(const gateway_system& aSystem, const std::string& aId)
  {
    std::vector<std::string> outcomes;
    std::istringstream log{ aSystem.DaemonLog() };
    for (std::string line; std::getline(log, line);) {
      const std::string field = "outcome=";
      const auto at = line.find(field);
      if (line.find("id=" + aId + ' ') != std::string::npos && at != std::string::npos) {
        outcomes.push_back(line.substr(at + field.size(), line.find(' ', at) - at - field.size()));
      }
    }
    return outcomes;
  }

  /// Guards against a second response head, or the text of an error, in a stream that broke off and
  /// whose next engine refuses, fails or cannot be found, and against a log that calls such a
  /// stream refused or failed.
  void BegunStreamIsNeverFollowedByAnError()
  {
    const std::string events = "id: 1\ndata: token1\n\nid: 2\ndata: token2\n\nid: 3\ndata: "
                               "token3\n\n";
    for (const auto* mode :
         { "shed", "misdirected", "absent", "fail", "unsigned", "other_id", "torn" }) {
      gateway_options options;
      options.mBackends = { { "p1", "model", "prefill" }, { "d1" }, { "d2" } };
      options.mPrefillShare = 0.34;
      gateway_system system{ options };
      system.SetMode("d1", "cut");
      if (std::string_view{ mode } == "absent") {
        system.Unlist("d2");
      } else {
        system.SetMode("d2", mode);
      }
      const auto id = std::string{ mode } + "-1";
      CPPUNIT_ASSERT(WaitUntil([&] {
        return std::string_view{ mode } != "absent" ||
               system.DaemonLog().find("removed id=d2") != std::string::npos;
      }));
      raw_caller caller{ system.CallersAddress(0) };
      caller.Send(Request(id));
      const auto answer = caller.ReadAnswer(seconds{ 6 });
      const auto seen = id + ": " + caller.Received();
      CPPUNIT_ASSERT_MESSAGE(seen, caller.ReadToEnd(seconds{ 2 }));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, 200, answer.mStatus);
      CPPUNIT_ASSERT_MESSAGE(seen, !answer.mWhole);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, events, answer.mBody);
      CPPUNIT_ASSERT_MESSAGE(seen, caller.Received().find("HTTP/1.1", 1) == std::string::npos);
      std::vector<std::string> outcomes;
      CPPUNIT_ASSERT_MESSAGE(seen, WaitUntil([&] {
                               outcomes = Outcomes(system, id);
                               return !outcomes.empty() && outcomes.back() != "repeat" &&
                                      outcomes.back() != "retry" && outcomes.back() != "waiting";
                             }));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        seen + system.DaemonLog(), std::string{ "broken" }, outcomes.back());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_stream_end_test);

} // namespace skylarkwind::sessions
