#include "gateway_system.h"
#include "raw_caller.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind::sessions {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Connections on which a request is answered before its body has been read.
class gateway_early_answer_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(gateway_early_answer_test);
  CPPUNIT_TEST(RequestAfterAnOversizedBodyIsNotLost);
  CPPUNIT_TEST_SUITE_END();

  static std::string Order(const std::string& aId, std::size_t aBodyBytes)
  {
    return "POST /order/x HTTP/1.1\r\nHost: a.example\r\nX-Skylarkwind-Request-Id: " + aId +
           "\r\nX-Skylarkwind-Deadline-Ms: 3000\r\nContent-Length: " + std::to_string(aBodyBytes) +
           "\r\n\r\n" + std::string(aBodyBytes, 'x');
  }

  /// Guards against a whole request that gets no answer because the one before it was too large:
  /// the close of the connection must be announced, or the next request answered. A limit that
  /// falls brings callers into this place.
  void RequestAfterAnOversizedBodyIsNotLost()
  {
    gateway_options options;
    options.mBackends = { { "s1", "plain" } };
    options.mMaxBodyBytes = 60'000;
    const gateway_system system{ options };
    for (const std::size_t size : { 60'001, 130'000, 500'000 }) {
      const auto id = std::to_string(size);
      raw_caller caller{ system.CallersAddress(0) };
      caller.Send(Order("large-" + id, size));
      const auto answer = caller.ReadAnswer(seconds{ 3 });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(id, 413, answer.mStatus);
      CPPUNIT_ASSERT_MESSAGE(id, answer.mWhole);
      if (answer.mHead.find("Connection: close\r\n") != std::string::npos) {
        continue;
      }
      caller.Send(Order("next-" + id, 10));
      CPPUNIT_ASSERT_MESSAGE(id + ": " + caller.Received() + system.DaemonLog(),
                             WaitUntil(
                               [&] {
                                 caller.ReadToEnd(milliseconds{ 20 });
                                 return caller.Received().find("HTTP/1.1 200") != std::string::npos;
                               },
                               seconds{ 3 }));
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_early_answer_test);

} // namespace skylarkwind::sessions
