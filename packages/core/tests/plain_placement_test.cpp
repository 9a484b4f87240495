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
  CPPUNIT_TEST(ServersWithoutReportsServeAsBefore);
  CPPUNIT_TEST(HopelessRequestIsRefusedAtOnce);
  CPPUNIT_TEST(RequestIsNotRefusedWhileASlotIsFree);
  CPPUNIT_TEST(OverdueRequestsCountAsWork);
  CPPUNIT_TEST(ReportedWorkTimeIsAgedOut);
  CPPUNIT_TEST(SlowdownIsForgottenWithoutMeasurements);
  CPPUNIT_TEST_SUITE_END();

  static plain_model_result Run(bool aNewRule,
                                server_fault aFault,
                                double aLoad,
                                bool aReports,
                                bool aReportsLoad = true)
  {
    plain_model_result sum;
    for (const std::uint32_t seed : { 11U, 12U, 13U }) {
      plain_model_settings settings;
      settings.mNewRule = aNewRule;
      settings.mFault = aFault;
      settings.mLoad = aLoad;
      settings.mReportsWorkTime = aReports;
      settings.mReportsLoad = aReportsLoad;
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

  /// Guards against daemons that choose alike when only the sums of their load are known.
  void ServersWithoutReportsServeAsBefore()
  {
    for (const double load : { 0.25, 0.35, 0.5 }) {
      const auto before = Run(false, server_fault::None, load, false, false).LateShare();
      const auto now = Run(true, server_fault::None, load, false, false).LateShare();
      std::cout << "\nplain placement, healthy servers without reports, load " << load
                << ", seeds 11-13: late before " << before << ", now " << now << std::flush;
      CPPUNIT_ASSERT_LESS(before + 0.005, now);
    }
  }

  /// One daemon and three servers of six slots.
  struct one_daemon
  {
    instant mNow{ std::chrono::seconds{ 100 } };
    backend_load_tracker mTracker{ backend_load_tracker_settings{} };
    prefix_cache_index mPrefixes;
    engine_models mModels{ 50 };
    placer mPlacer{ placement_settings{}, mTracker, mPrefixes, mModels };
    forward_route mRoute;
    forward_service mService;
    std::vector<backend_server> mServers{ 3 };

    one_daemon()
    {
      for (std::size_t i = 0; i < mServers.size(); ++i) {
        mServers[i].mId = "s" + std::to_string(i);
        mServers[i].mSlots = 6;
      }
    }
    placement_result Place(std::chrono::milliseconds aLeft, std::uint64_t aBits)
    {
      std::vector<const backend_server*> usable;
      for (const auto& server : mServers) {
        usable.push_back(&server);
      }
      placement_query query;
      query.mRoute = &mRoute;
      query.mService = &mService;
      query.mServers = usable;
      query.mTimeLeft = aLeft;
      query.mRandomBits = aBits;
      return mPlacer.Place(query, mNow);
    }
    void Send(const std::string& aId, int aCount)
    {
      for (int i = 0; i < aCount; ++i) {
        mTracker.BeginPlain(aId, {}, std::chrono::milliseconds{ 40 }, mNow);
      }
    }
  };

  /// Guards against queueing a request that can only time out, and against callers that all return
  /// at the same time.
  void HopelessRequestIsRefusedAtOnce()
  {
    one_daemon daemon;
    for (const auto* id : { "s0", "s1", "s2" }) {
      daemon.Send(id, 300);
    }
    auto shortest = std::chrono::milliseconds::max();
    std::chrono::milliseconds longest{};
    for (std::uint64_t i = 0; i < 100; ++i) {
      const auto result = daemon.Place(std::chrono::milliseconds{ 500 }, i);
      CPPUNIT_ASSERT(std::holds_alternative<placement_refusal>(result));
      const auto retry = std::get<placement_refusal>(result).mRetryAfter;
      shortest = std::min(shortest, retry);
      longest = std::max(longest, retry);
    }
    CPPUNIT_ASSERT(longest >= 2 * shortest);
    CPPUNIT_ASSERT(
      std::holds_alternative<placement>(daemon.Place(std::chrono::milliseconds{ 10'000 }, 1)));
  }

  void RequestIsNotRefusedWhileASlotIsFree()
  {
    one_daemon daemon;
    daemon.Send("s0", 300);
    daemon.Send("s1", 300);
    daemon.Send("s2", 5);
    for (std::uint64_t i = 0; i < 100; ++i) {
      CPPUNIT_ASSERT(
        std::holds_alternative<placement>(daemon.Place(std::chrono::milliseconds{ 20 }, i)));
    }
  }

  /// Guards against a server that looks idle because its requests have run for long.
  void OverdueRequestsCountAsWork()
  {
    one_daemon daemon;
    daemon.Send("s0", 6);
    daemon.mNow += std::chrono::milliseconds{ 400 };
    const auto work = daemon.mTracker.PlainWork("s0", {}, daemon.mNow);
    CPPUNIT_ASSERT_GREATER(6 * service_time{}.MeanMs(), work.mAheadMs);
  }

  void ReportedWorkTimeIsAgedOut()
  {
    one_daemon daemon;
    daemon.mTracker.OnLoad("s0", { 0, 0, 6, 300 }, daemon.mNow);
    const auto workTime = [&] {
      return daemon.mTracker.PlainWork("s0", {}, daemon.mNow).mWorkTime;
    };
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3, workTime(), 0.01);
    // Not reported: neither usual nor slow.
    daemon.mTracker.OnLoad("s0", { 0, 0, 6, 0 }, daemon.mNow);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(3, workTime(), 0.01);
    daemon.mNow += std::chrono::milliseconds{ 1'000 };
    CPPUNIT_ASSERT_DOUBLES_EQUAL(1, workTime(), 0.001);
  }

  /// Guards against a server that is avoided for good after it was slow.
  void SlowdownIsForgottenWithoutMeasurements()
  {
    one_daemon daemon;
    for (int i = 0; i < 10; ++i) {
      const auto sent =
        daemon.mTracker.BeginPlain("s0", {}, std::chrono::milliseconds{ 40 }, daemon.mNow);
      daemon.mNow += std::chrono::milliseconds{ 300 };
      daemon.mTracker.OnFirstResponse(sent, daemon.mNow);
      daemon.mTracker.End(sent, backend_outcome::Answered, daemon.mNow);
    }
    const auto slowdown = [&] {
      return daemon.mTracker.PlainWork("s0", {}, daemon.mNow).mSlowdown;
    };
    CPPUNIT_ASSERT_DOUBLES_EQUAL(7.5, slowdown(), 0.1);
    daemon.mNow += std::chrono::seconds{ 30 };
    CPPUNIT_ASSERT_LESS(1.1, slowdown());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(plain_placement_test);

} // namespace skylarkwind
