#include "skylarkwind/server_evidence.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

class server_evidence_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(server_evidence_test);
  CPPUNIT_TEST(TwoDaemonsThatLoseRequestsCloseAServer);
  CPPUNIT_TEST(DaemonThatIsCutOffClosesNothing);
  CPPUNIT_TEST(AnswersOfOthersKeepAServerOpen);
  CPPUNIT_TEST(ServerThatRefusesAllIsClosed);
  CPPUNIT_TEST(ClosedServerOpensWithAnAnswerOrWithTime);
  CPPUNIT_TEST(FailedPartFollowsTheRecentRequests);
  CPPUNIT_TEST_SUITE_END();

  instant mNow{ seconds{ 100 } };
  server_evidence mEvidence;

  static constexpr server_outcomes kAnswered{ 1, 0, 0, 0 };
  static constexpr server_outcomes kRefused{ 0, 1, 0, 0 };
  static constexpr server_outcomes kFailed{ 0, 0, 1, 0 };
  static constexpr server_outcomes kLost{ 0, 0, 0, 1 };

  void TwoDaemonsThatLoseRequestsCloseAServer()
  {
    mEvidence.OnOutcomes(kLost, 1, mNow);
    CPPUNIT_ASSERT(!mEvidence.Closed(mNow));
    mEvidence.OnOutcomes(kLost, 2, mNow);
    CPPUNIT_ASSERT(mEvidence.Closed(mNow));
  }

  /// Guards against a daemon behind a cut that takes all servers from the others.
  void DaemonThatIsCutOffClosesNothing()
  {
    for (int i = 0; i < 20; ++i) {
      mEvidence.OnOutcomes(kLost, 1, mNow);
    }
    CPPUNIT_ASSERT(!mEvidence.Closed(mNow));
  }

  /// Guards against a third of the daemons behind a cut that close servers which answer the others.
  void AnswersOfOthersKeepAServerOpen()
  {
    for (int i = 0; i < 60; ++i) {
      mNow += milliseconds{ 50 };
      mEvidence.OnOutcomes(i % 3 == 0 ? kLost : kAnswered, static_cast<std::uint64_t>(i), mNow);
      CPPUNIT_ASSERT(!mEvidence.Closed(mNow));
    }
  }

  /// Guards against an engine that changes its role after a lost engine command, looks idle and
  /// refuses the requests of all daemons one after the other (scale-1 of tallow-creek-large).
  void ServerThatRefusesAllIsClosed()
  {
    mEvidence.OnOutcomes(kRefused, 1, mNow);
    mEvidence.OnOutcomes(kRefused, 2, mNow + milliseconds{ 20 });
    CPPUNIT_ASSERT(mEvidence.Closed(mNow + milliseconds{ 20 }));
  }

  /// Guards against a server that is opened to all again and again while it is dark, and against
  /// one that stays closed because nobody tries it.
  void ClosedServerOpensWithAnAnswerOrWithTime()
  {
    mEvidence.OnOutcomes(kLost, 1, mNow);
    mEvidence.OnOutcomes(kLost, 2, mNow);
    for (int i = 0; i < 10; ++i) {
      mNow += seconds{ 2 };
      CPPUNIT_ASSERT(mEvidence.Closed(mNow));
      mEvidence.OnOutcomes(kLost, 3, mNow);
    }
    auto untried = mEvidence;
    CPPUNIT_ASSERT(!untried.Closed(mNow + seconds{ 5 }));
    mEvidence.OnOutcomes(kAnswered, 3, mNow);
    CPPUNIT_ASSERT(!mEvidence.Closed(mNow));
  }

  void FailedPartFollowsTheRecentRequests()
  {
    CPPUNIT_ASSERT_EQUAL(0.0, mEvidence.FailedPart(mNow));
    mEvidence.OnOutcomes(kFailed, 1, mNow);
    CPPUNIT_ASSERT(mEvidence.FailedPart(mNow) < 0.4);
    for (int i = 0; i < 20; ++i) {
      mEvidence.OnOutcomes(i % 2 == 0 ? kFailed : kAnswered, 1, mNow);
    }
    const auto part = mEvidence.FailedPart(mNow);
    CPPUNIT_ASSERT(part > 0.4 && part < 0.6);
    CPPUNIT_ASSERT(mEvidence.FailedPart(mNow + seconds{ 6 }) < 0.05);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(server_evidence_test);

} // namespace skylarkwind
