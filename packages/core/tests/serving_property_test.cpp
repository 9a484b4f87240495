#include "schedules.h"
#include "serving_schedule.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

class serving_property_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(serving_property_test);
  CPPUNIT_TEST(InvariantsHoldForRandomSchedules);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against skipped or repeated tokens, requests that end twice or never, leaked tickets
  /// and attempts, non-idempotent requests that run twice, and a "not run" for a request that may
  /// have run.
  void InvariantsHoldForRandomSchedules()
  {
    const auto failure = CheckSchedules("serving keeps its rules", 20'261'204, 600, [] {
      const auto steps = *rc::gen::container<std::vector<serving_schedule::step>>(
        rc::gen::tuple(rc::gen::inRange(0, serving_schedule::kKinds),
                       rc::gen::inRange<std::uint32_t>(0, 1'000),
                       rc::gen::inRange<std::uint32_t>(0, 10'000)));
      serving_schedule schedule;
      schedule.Run(steps);
    });
    CPPUNIT_ASSERT_EQUAL(std::string{}, failure);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(serving_property_test);

} // namespace skylarkwind
