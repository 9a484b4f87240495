#include "shutdown_sequence_p.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using std::chrono::milliseconds;

class shutdown_sequence_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(shutdown_sequence_test);
  CPPUNIT_TEST(OpenRequestsAreServedAndThenEnded);
  CPPUNIT_TEST(ExitWaitsForRequestsAndConnections);
  CPPUNIT_TEST(ShortGracePeriodStillEndsRequests);
  CPPUNIT_TEST(StreamsGoOnIntoTheLastSixthOfAnyGracePeriod);
  CPPUNIT_TEST(DelayedDaemonEndsRequestsBeforeItsExit);
  CPPUNIT_TEST(StagesAreNeverLeftForEarlierOnes);
  CPPUNIT_TEST_SUITE_END();

  static shutdown_stage Stage(int aElapsedMs, const open_work& aOpen)
  {
    return StageAt(
      { milliseconds{ 2'600 }, milliseconds{ 8'000 } }, milliseconds{ aElapsedMs }, aOpen);
  }

  void OpenRequestsAreServedAndThenEnded()
  {
    const open_work busy{ 3, 4 };
    CPPUNIT_ASSERT(Stage(0, busy) == shutdown_stage::Closing);
    CPPUNIT_ASSERT(Stage(2'599, busy) == shutdown_stage::Closing);
    CPPUNIT_ASSERT(Stage(2'600, busy) == shutdown_stage::Refusing);
    CPPUNIT_ASSERT(Stage(7'299, busy) == shutdown_stage::Refusing);
    CPPUNIT_ASSERT(Stage(7'300, busy) == shutdown_stage::Ending);
    CPPUNIT_ASSERT(Stage(7'699, busy) == shutdown_stage::Ending);
    CPPUNIT_ASSERT(Stage(7'700, busy) == shutdown_stage::Exiting);
  }

  /// Guards against an exit while a connection still carries the end of a response, although its
  /// request is no longer open.
  void ExitWaitsForRequestsAndConnections()
  {
    CPPUNIT_ASSERT(Stage(2'700, {}) == shutdown_stage::Refusing);
    CPPUNIT_ASSERT(Stage(2'900, {}) == shutdown_stage::Exiting);
    CPPUNIT_ASSERT(Stage(2'900, { 1, 1 }) == shutdown_stage::Refusing);
    CPPUNIT_ASSERT(Stage(2'900, { 0, 1 }) == shutdown_stage::Refusing);
    CPPUNIT_ASSERT(Stage(7'300, { 0, 1 }) == shutdown_stage::Ending);
  }

  /// Guards against requests that get no response because the grace period ends before the reaction
  /// time of the load balancer.
  void ShortGracePeriodStillEndsRequests()
  {
    const shutdown_times times{ milliseconds{ 2'600 }, milliseconds{ 2'000 } };
    CPPUNIT_ASSERT(StageAt(times, milliseconds{ 1'000 }, { 1, 1 }) == shutdown_stage::Closing);
    CPPUNIT_ASSERT(StageAt(times, milliseconds{ 1'600 }, { 1, 1 }) == shutdown_stage::Ending);
    CPPUNIT_ASSERT(StageAt(times, milliseconds{ 1'800 }, { 1, 1 }) == shutdown_stage::Exiting);
  }

  /// Guards against streams that are cut earlier than the users allow because a margin is fixed: it
  /// was 0.6 s, more than a sixth of each grace period below 3.6 s.
  void StreamsGoOnIntoTheLastSixthOfAnyGracePeriod()
  {
    for (const auto grace : { 500, 1'000, 2'000, 3'000, 8'000, 30'000 }) {
      const shutdown_times times{ milliseconds{ grace / 4 }, milliseconds{ grace } };
      const auto lastSixth = milliseconds{ grace - grace / 6 };
      CPPUNIT_ASSERT(StageAt(times, lastSixth, { 1, 1 }) < shutdown_stage::Exiting);
    }
  }

  /// Guards against an exit that drops requests without a response because the daemon was held up
  /// from before the time to end them until after the time to exit.
  void DelayedDaemonEndsRequestsBeforeItsExit()
  {
    const shutdown_times times{ milliseconds{ 2'600 }, milliseconds{ 8'000 } };
    const milliseconds late{ 7'900 };
    CPPUNIT_ASSERT(NextStage(shutdown_stage::Refusing, times, late, { 1, 1 }) ==
                   shutdown_stage::Ending);
    CPPUNIT_ASSERT(NextStage(shutdown_stage::Ending, times, late, { 1, 1 }) ==
                   shutdown_stage::Exiting);
    CPPUNIT_ASSERT(NextStage(shutdown_stage::Refusing, times, late, { 0, 1 }) ==
                   shutdown_stage::Exiting);
  }

  void StagesAreNeverLeftForEarlierOnes()
  {
    kj::EventLoop loop;
    const kj::WaitScope scope{ loop };
    shutdown_signal signal;
    signal.Enter(shutdown_stage::Ending);
    signal.Enter(shutdown_stage::Refusing);
    CPPUNIT_ASSERT(signal.Reached(shutdown_stage::Ending));
    CPPUNIT_ASSERT(!signal.Reached(shutdown_stage::Exiting));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(shutdown_sequence_test);

} // namespace skylarkwind
