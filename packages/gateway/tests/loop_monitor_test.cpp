#include "loop_monitor_p.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

class loop_monitor_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(loop_monitor_test);
  CPPUNIT_TEST(DelayIsTheTimeBeyondThePeriod);
  CPPUNIT_TEST(LongestDelayIsForgottenAfterTwoWindows);
  CPPUNIT_TEST(DelayThatHasBegunCounts);
  CPPUNIT_TEST_SUITE_END();

  static constexpr milliseconds kPeriod{ 25 };

  void DelayIsTheTimeBeyondThePeriod()
  {
    loop_monitor monitor{ kPeriod };
    instant now{ seconds{ 100 } };
    CPPUNIT_ASSERT(monitor.OnTick(now) == milliseconds{ 0 });
    CPPUNIT_ASSERT(monitor.OnTick(now += kPeriod) == milliseconds{ 0 });
    CPPUNIT_ASSERT(monitor.OnTick(now += milliseconds{ 725 }) == milliseconds{ 700 });
    CPPUNIT_ASSERT(monitor.OnTick(now += milliseconds{ 10 }) == milliseconds{ 0 });
    CPPUNIT_ASSERT(monitor.LongestDelay(now) == milliseconds{ 700 });
  }

  /// Guards against a gauge that shows an old delay for good, or forgets it before it can be read.
  void LongestDelayIsForgottenAfterTwoWindows()
  {
    loop_monitor monitor{ kPeriod };
    instant now{ seconds{ 100 } };
    monitor.OnTick(now);
    monitor.OnTick(now += milliseconds{ 725 });
    const auto late = now;
    while (now - late < seconds{ 9 }) {
      monitor.OnTick(now += kPeriod);
      CPPUNIT_ASSERT(monitor.LongestDelay(now) == milliseconds{ 700 });
    }
    while (now - late < seconds{ 21 }) {
      monitor.OnTick(now += kPeriod);
    }
    CPPUNIT_ASSERT(monitor.LongestDelay(now) == milliseconds{ 0 });
  }

  void DelayThatHasBegunCounts()
  {
    loop_monitor monitor{ kPeriod };
    const instant now{ seconds{ 100 } };
    CPPUNIT_ASSERT(monitor.LongestDelay(now) == milliseconds{ 0 });
    monitor.OnTick(now);
    CPPUNIT_ASSERT(monitor.LongestDelay(now + milliseconds{ 525 }) == milliseconds{ 500 });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(loop_monitor_test);

} // namespace skylarkwind
