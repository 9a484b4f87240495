#include "plain_placement_model.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iomanip>
#include <iostream>

namespace skylarkwind {

/// Compares the placement of plain requests with the rule before it, in the same runs of a model.
class plain_placement_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(plain_placement_test);
  CPPUNIT_TEST(SlowServerDoesNotMakeOneInTenLate);
  CPPUNIT_TEST(FailingServerDoesNotMakeOneInTenLate);
  CPPUNIT_TEST(HealthyServersServeAsBefore);
  CPPUNIT_TEST_SUITE_END();

  static plain_model_result Run(bool aNewRule, server_fault aFault, double aLoad, bool aReports)
  {
    plain_model_result sum;
    for (const std::uint32_t seed : { 11U, 12U, 13U }) {
      plain_model_settings settings;
      settings.mNewRule = aNewRule;
      settings.mFault = aFault;
      settings.mLoad = aLoad;
      settings.mReportsWorkTime = aReports;
      settings.mSeed = seed;
      const auto result = plain_model{ settings }.Run(std::chrono::seconds{ 40 });
      sum.mRequests += result.mRequests;
      sum.mLate += result.mLate;
      sum.mFailed += result.mFailed;
      sum.mRefused += result.mRefused;
      sum.mAtFaulty += result.mAtFaulty;
    }
    return sum;
  }

  /// Prints the late shares of both rules and returns that of the new one.
  static std::pair<double, double> Compare(const char* aName,
                                           server_fault aFault,
                                           double aLoad,
                                           bool aReports = false)
  {
    const auto before = Run(false, aFault, aLoad, aReports);
    const auto now = Run(true, aFault, aLoad, aReports);
    std::cout << std::fixed << std::setprecision(4) << "\nplain placement, " << aName << ", load "
              << aLoad << (aReports ? ", work time reported" : "") << ", seeds 11-13"
              << ": late before " << before.LateShare() << ", now " << now.LateShare()
              << "; sent to s1 " << before.mAtFaulty << " -> " << now.mAtFaulty << ", failed "
              << before.mFailed << " -> " << now.mFailed << ", refused " << before.mRefused
              << " -> " << now.mRefused << " of " << now.mRequests << std::flush;
    return { before.LateShare(), now.LateShare() };
  }

  /// Guards against requests that queue at a slow server while the others have free slots.
  void SlowServerDoesNotMakeOneInTenLate()
  {
    for (const double load : { 0.25, 0.35 }) {
      for (const bool reports : { false, true }) {
        const auto [before, now] = Compare("slow server", server_fault::Slow, load, reports);
        CPPUNIT_ASSERT_LESS(0.1, now);
        CPPUNIT_ASSERT_LESS(before, now);
      }
    }
  }

  /// Guards against requests that are lost or repeated because one server fails half of them.
  void FailingServerDoesNotMakeOneInTenLate()
  {
    for (const double load : { 0.25, 0.35 }) {
      const auto [before, now] = Compare("failing server", server_fault::Failing, load);
      CPPUNIT_ASSERT_LESS(0.1, now);
    }
  }

  /// Guards against a rule that helps with a fault and costs without one. 1 in 100 requests is late
  /// by its own work.
  void HealthyServersServeAsBefore()
  {
    for (const double load : { 0.25, 0.35, 0.5 }) {
      const auto [before, now] = Compare("healthy servers", server_fault::None, load);
      CPPUNIT_ASSERT_LESS(before + 0.005, now);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(plain_placement_test);

} // namespace skylarkwind
