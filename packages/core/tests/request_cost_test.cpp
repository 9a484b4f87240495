#include "skylarkwind/request_cost.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <iostream>
#include <random>
#include <string>
#include <vector>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;
using milliseconds_f = std::chrono::duration<double, std::milli>;

class request_cost_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(request_cost_test);
  CPPUNIT_TEST(ServiceTimesAreLearntByAccount);
  CPPUNIT_TEST(LongRequestsDoNotRaiseTheMedian);
  CPPUNIT_TEST(ShiftIsFollowedWithinSeconds);
  CPPUNIT_TEST(UnknownAccountIsLikeItsRoute);
  CPPUNIT_TEST(OverdueRequestHasRemainingTime);
  CPPUNIT_TEST(MemoryIsBounded);
  CPPUNIT_TEST(OutputTokensUseHintsAsFarAsTheyAreRight);
  CPPUNIT_TEST(OutputTokensStayBelowTheLimit);
  CPPUNIT_TEST_SUITE_END();

  std::mt19937 mRandom{ 41 };
  instant mNow{ seconds{ 100 } };

  double LogNormal(double aMedian, double aSpread)
  {
    return std::lognormal_distribution<double>{ std::log(aMedian), aSpread }(mRandom);
  }
  bool OneIn(int aCount) { return std::uniform_int_distribution<int>{ 1, aCount }(mRandom) == 1; }
  double ServiceMs(double aMedian) { return LogNormal(aMedian, 0.21) * (OneIn(100) ? 5 : 1); }

  /// Prints median and 90 in 100 of the relative errors and returns the median.
  static double PrintErrors(const char* aName, std::vector<double> aErrors)
  {
    std::sort(aErrors.begin(), aErrors.end());
    const double median = aErrors[aErrors.size() / 2];
    std::cout << std::fixed << std::setprecision(3) << "\nrelative error, seed 41, " << aName
              << ": median " << median << ", 90 in 100 " << aErrors[aErrors.size() * 9 / 10]
              << std::flush;
    return median;
  }

  /// Guards against one estimate for accounts whose requests differ.
  void ServiceTimesAreLearntByAccount()
  {
    request_cost cost;
    std::vector<double> learnt;
    std::vector<double> constant;
    for (int i = 0; i < 6'000; ++i) {
      const int account = i % 20;
      const double actual = ServiceMs(30 + 1.5 * account);
      const auto name = "a" + std::to_string(account);
      if (i > 1'000) {
        learnt.push_back(std::abs(cost.ServiceTime("r", name).MedianMs() / actual - 1));
        constant.push_back(std::abs(30 / actual - 1));
      }
      cost.OnServed("r", name, milliseconds_f{ actual }, mNow);
    }
    const double now = PrintErrors("service time, learnt", learnt);
    const double before = PrintErrors("service time, constant of 30 ms", constant);
    CPPUNIT_ASSERT_LESS(before, now);
  }

  /// Guards against an estimate that each of the rare long requests moves.
  void LongRequestsDoNotRaiseTheMedian()
  {
    request_cost cost;
    double highest = 0;
    for (int i = 0; i < 5'000; ++i) {
      cost.OnServed("r", {}, milliseconds_f{ ServiceMs(42) }, mNow);
      if (i > 100) {
        highest = std::max(highest, cost.ServiceTime("r", {}).MedianMs());
      }
    }
    CPPUNIT_ASSERT_LESS(42 * 1.4, highest);
  }

  /// Guards against an average over a time long past. Five requests a second for 6 s.
  void ShiftIsFollowedWithinSeconds()
  {
    request_cost cost;
    for (int i = 0; i < 1'000; ++i) {
      cost.OnServed("r", "a", milliseconds_f{ ServiceMs(30) }, mNow);
    }
    for (int i = 0; i < 30; ++i) {
      cost.OnServed("r", "a", milliseconds_f{ ServiceMs(90) }, mNow);
    }
    CPPUNIT_ASSERT_GREATER(65.0, cost.ServiceTime("r", "a").MedianMs());
  }

  void UnknownAccountIsLikeItsRoute()
  {
    request_cost cost;
    CPPUNIT_ASSERT_DOUBLES_EQUAL(40, cost.ServiceTime("r", "a").MedianMs(), 1);
    for (int i = 0; i < 200; ++i) {
      cost.OnServed("r", "a", milliseconds_f{ ServiceMs(80) }, mNow);
    }
    CPPUNIT_ASSERT_DOUBLES_EQUAL(80, cost.ServiceTime("r", "other").MedianMs(), 12);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(40, cost.ServiceTime("other", "a").MedianMs(), 1);
    CPPUNIT_ASSERT_GREATER(0.0, cost.ServiceTime("r", "other").mLogSpread);
  }

  /// Guards against counting a request as done because it has run for as long as expected.
  void OverdueRequestHasRemainingTime()
  {
    const service_time usual{ std::log(42.0), 0.21 };
    CPPUNIT_ASSERT_DOUBLES_EQUAL(usual.MeanMs(), usual.RemainingMs(0), 0.01);
    CPPUNIT_ASSERT_LESS(usual.MeanMs(), usual.RemainingMs(30));
    CPPUNIT_ASSERT_GREATER(80.0, usual.RemainingMs(100));
    for (const double elapsed : { 1.0, 40.0, 100.0, 400.0, 2'000.0, 60'000.0 }) {
      CPPUNIT_ASSERT_GREATER(0.0, usual.RemainingMs(elapsed));
    }
  }

  void MemoryIsBounded()
  {
    CPPUNIT_ASSERT_LESS(std::size_t{ 8'000'000 }, request_cost::MaxBytes());
    request_cost cost;
    for (int round = 0; round < 10; ++round) {
      for (int i = 0; i < 10'000; ++i) {
        mNow += milliseconds{ 1 };
        cost.OnServed("r", std::to_string(i), milliseconds_f{ i % 2 == 0 ? 20.0 : 200.0 }, mNow);
      }
    }
    int kept = 0;
    for (int i = 0; i < 10'000; ++i) {
      const double median = cost.ServiceTime("r", std::to_string(i)).MedianMs();
      kept += i % 2 == 0 ? static_cast<int>(median < 40) : static_cast<int>(median > 100);
    }
    CPPUNIT_ASSERT_GREATER(9'000, kept);
  }

  /// Guards against trusting callers' estimates that are far off. They are right at the median; for
  /// half of the accounts they are off by a factor of e at one standard deviation.
  void OutputTokensUseHintsAsFarAsTheyAreRight()
  {
    request_cost cost;
    std::vector<double> learnt;
    std::vector<double> hints;
    std::vector<double> limits;
    for (int i = 0; i < 8'000; ++i) {
      const int account = i % 20;
      const auto name = "a" + std::to_string(account);
      generation_spec spec;
      spec.mOutputTokens = 2'000;
      const double actual = std::clamp(LogNormal(50.0 + 20 * account, 0.5), 1.0, 2'000.0);
      const double off = LogNormal(1, account % 2 == 0 ? 1.0 : 0.2);
      spec.mExpectedOutputTokens = static_cast<std::uint32_t>(std::max(1.0, actual * off));
      if (i > 1'000) {
        const auto error = [&](double aTokens) { return std::abs(aTokens / actual - 1); };
        learnt.push_back(error(cost.OutputTokens("r", name, spec).mTokens));
        hints.push_back(error(*spec.mExpectedOutputTokens));
        limits.push_back(error(spec.mOutputTokens));
      }
      cost.OnGenerated("r", name, spec, actual, mNow);
    }
    const double now = PrintErrors("output tokens, learnt", learnt);
    const double hint = PrintErrors("output tokens, caller's estimate", hints);
    PrintErrors("output tokens, caller's limit", limits);
    CPPUNIT_ASSERT_LESS(hint, now);
  }

  void OutputTokensStayBelowTheLimit()
  {
    request_cost cost;
    generation_spec spec;
    spec.mOutputTokens = 10;
    spec.mExpectedOutputTokens = 5'000;
    CPPUNIT_ASSERT(cost.OutputTokens("r", {}, spec).mTokens <= 10);
    CPPUNIT_ASSERT(cost.OutputTokens("r", {}, spec).mTokens > 0);
    CPPUNIT_ASSERT(cost.OutputTokens("r", {}, spec).mLogSpread > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(request_cost_test);

} // namespace skylarkwind
