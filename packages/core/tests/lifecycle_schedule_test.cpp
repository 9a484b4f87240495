#include "lifecycle_schedule.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>
#include <iostream>

namespace skylarkwind {

class lifecycle_schedule_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(lifecycle_schedule_test);
  CPPUNIT_TEST(AnyScheduleKeepsTheRulesAndEndsInService);
  CPPUNIT_TEST_SUITE_END();

  /// Checks for arbitrary event orders that no requests are admitted without a known incarnation or
  /// while draining, that the shares do not exceed the ramp limit, and that a return to service
  /// completes.
  void AnyScheduleKeepsTheRulesAndEndsInService()
  {
    rc::detail::TestParams params;
    params.seed = 20261204;
    const char* cases = std::getenv("SKYLARKWIND_SCHEDULES");
    params.maxSuccess = std::max(1, cases != nullptr ? std::atoi(cases) : 400);
    params.maxSize = 300;
    std::cerr << "lifecycle schedules: " << params.maxSuccess << " of seed " << params.seed << "\n";
    const auto result = rc::detail::checkTestable(
      [](const std::vector<std::uint32_t>& aEvents) {
        lifecycle_schedule schedule;
        for (const std::uint32_t event : aEvents) {
          const std::string violations = schedule.Apply(event % 100'000'000);
          RC_ASSERT(violations == "");
        }
        // The longest back-off is 45 s (30 s times a factor of up to 1.5); a ramp from 2 to 64
        // takes less than 15 s in this test.
        const std::string notServing = schedule.Recover(std::chrono::seconds{ 60 });
        RC_ASSERT(notServing == "");
      },
      rc::detail::TestMetadata{ "lifecycle schedules", "" },
      params);
    rc::detail::printResultMessage(result, std::cerr);
    std::cerr << "\n";
    CPPUNIT_ASSERT(result.template is<rc::detail::SuccessResult>());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(lifecycle_schedule_test);

} // namespace skylarkwind
