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

  /// Guards against admission without a known process, against admission while draining, against
  /// shares above the ramp limit, and against a return that never ends, for any order of events.
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
          const std::string broken = schedule.Apply(event % 100'000'000);
          RC_ASSERT(broken == "");
        }
        // The longest backoff is 45 s by its factor; a ramp from 2 to 64 takes under 15 s here.
        const std::string unhealed = schedule.Heal(std::chrono::seconds{ 60 });
        RC_ASSERT(unhealed == "");
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
