#include "silence_run.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace skylarkwind::soak {

class silence_run_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(silence_run_test);
  CPPUNIT_TEST(RequestWithoutAnswerCountsUntilItsTimeLimit);
  CPPUNIT_TEST(ReplacedTimeLimitHoldsForTheTimeOfAChange);
  CPPUNIT_TEST(DisturbancesOfAServerKeepApart);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::int64_t kSentMs = 100'000;

  static request_record Ended(std::int64_t aAfterMs, bool aWhole = false)
  {
    request_record record;
    record.mSentMs = kSentMs;
    record.mEndedMs = kSentMs + aAfterMs;
    record.mWhole = aWhole;
    return record;
  }

  static std::size_t Unanswered(std::int64_t aAfterMs, const std::vector<limits_in_force>& aLimits)
  {
    return UnansweredRequests({ Ended(aAfterMs) }, aLimits).size();
  }

  /// Guards against a check that excuses an end before the time limit.
  void RequestWithoutAnswerCountsUntilItsTimeLimit()
  {
    const std::vector<limits_in_force> limits{ { 0, 5'000, 5'000 } };
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Unanswered(0, limits));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Unanswered(4'900, limits));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Unanswered(5'000, limits));
    CPPUNIT_ASSERT(UnansweredRequests({ Ended(10, true) }, limits).empty());
  }

  void ReplacedTimeLimitHoldsForTheTimeOfAChange()
  {
    const auto changed = [](std::int64_t aBeforeMs) {
      return std::vector<limits_in_force>{ { 0, 5'000, 5'000 },
                                           { kSentMs - aBeforeMs, 5'000, 8'000 } };
    };
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Unanswered(5'100, changed(1'900)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Unanswered(5'100, changed(2'100)));
  }

  /// Guards against a control call that waits for a stopped server and delays the plan.
  void DisturbancesOfAServerKeepApart()
  {
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
      auto plan = MakeSilencePlan(seed, 3, 9, 8'000);
      std::erase_if(plan, [](const fault& aFault) { return aFault.mToMs == aFault.mFromMs; });
      CPPUNIT_ASSERT(!plan.empty());
      for (std::size_t i = 0; i < plan.size(); ++i) {
        const auto length = plan[i].mToMs - plan[i].mFromMs;
        CPPUNIT_ASSERT(length >= 800 && length <= 1'500);
        CPPUNIT_ASSERT(std::none_of(
          plan.begin() + static_cast<std::ptrdiff_t>(i) + 1, plan.end(), [&](const fault& aLater) {
            return aLater.mTarget == plan[i].mTarget && aLater.mFromMs <= plan[i].mToMs;
          }));
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(silence_run_test);

} // namespace skylarkwind::soak
