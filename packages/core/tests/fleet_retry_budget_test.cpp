#include "skylarkwind/fleet_retry_budget.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <algorithm>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

class fleet_retry_budget_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(fleet_retry_budget_test);
  CPPUNIT_TEST(AllDaemonsTogetherStayWithinTheBound);
  CPPUNIT_TEST(ServiceWithoutRequestsAllowsNoRetries);
  CPPUNIT_TEST(FirstAttemptsNeedNoBudget);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a retry storm: in any window, for any schedule of requests and retries at
  /// several daemons, the sum stays within ratio x requests + floor.
  void AllDaemonsTogetherStayWithinTheBound()
  {
    const bool holds = rc::check("retries stay within the bound", [] {
      const auto daemons = *rc::gen::inRange<std::size_t>(1, 8);
      const fleet_retry_budget_settings settings{ 0.2, 52, seconds{ 10 } };
      std::vector<fleet_retry_budget> allowances(daemons, fleet_retry_budget{ settings });
      std::vector<instant> requests;
      std::vector<instant> retries;
      instant now{ seconds{ 1'000 } };
      const auto steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        400, rc::gen::pair(rc::gen::inRange(0, 200), rc::gen::inRange(0, 100)));
      for (const auto& [pause, choice] : steps) {
        now += milliseconds{ pause };
        auto& allowance = allowances[static_cast<std::size_t>(choice) % daemons];
        if (choice < 50) {
          allowance.OnRequest("s", now);
          requests.push_back(now);
        } else {
          // A retry of a generation may be two arrivals: its prefill and its decoding.
          const auto count = static_cast<std::uint32_t>(1 + choice % 2);
          if (allowance.TryTake("s", count, static_cast<std::uint32_t>(daemons), now)) {
            retries.insert(retries.end(), count, now);
          }
        }
      }
      for (const auto end : retries) {
        const auto within = [&](instant aTime) {
          return aTime <= end && aTime + settings.mWindow >= end;
        };
        const auto taken = std::count_if(retries.begin(), retries.end(), within);
        const auto asked = std::count_if(requests.begin(), requests.end(), within);
        RC_ASSERT(static_cast<double>(taken) <=
                  settings.mRatio * static_cast<double>(asked) + settings.mFloor);
      }
    });
    CPPUNIT_ASSERT(holds);
  }

  void ServiceWithoutRequestsAllowsNoRetries()
  {
    fleet_retry_budget allowance{ { 0.2, 52, seconds{ 10 } } };
    CPPUNIT_ASSERT(!allowance.TryTake("s", 1, 1, instant{ seconds{ 1 } }));
    allowance.OnRequest("s", instant{ seconds{ 1 } });
    CPPUNIT_ASSERT(allowance.TryTake("s", 1, 1, instant{ seconds{ 1 } }));
  }

  /// Guards against requests that are refused without having been sent, because the retries of a
  /// busier time, or of fewer daemons, exceed the bound of now.
  void FirstAttemptsNeedNoBudget()
  {
    fleet_retry_budget allowance{ { 0.2, 52, seconds{ 10 } } };
    const instant now{ seconds{ 100 } };
    allowance.OnRequest("s", now);
    while (allowance.TryTake("s", 1, 1, now)) {
    }
    constexpr std::uint32_t kManyDaemons = 100;
    allowance.OnRequest("s", now);
    CPPUNIT_ASSERT(!allowance.TryTake("s", 1, kManyDaemons, now));
    CPPUNIT_ASSERT(allowance.TryTake("s", 0, kManyDaemons, now));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(fleet_retry_budget_test);

} // namespace skylarkwind
