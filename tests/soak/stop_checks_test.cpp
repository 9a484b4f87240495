#include "stop_checks.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <set>

namespace skylarkwind::soak {

/// Each promise of a planned stop is broken once, and each case that is left out is shown to be.
class stop_checks_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(stop_checks_test);
  CPPUNIT_TEST(WholeAnswersBreakNothing);
  CPPUNIT_TEST(CutRequestIsFound);
  CPPUNIT_TEST(CutRequestWithoutAStopIsFound);
  CPPUNIT_TEST(RequestThatMayBeUnreadIsLeftOut);
  CPPUNIT_TEST(RequestReadAndNotPassedOnIsFound);
  CPPUNIT_TEST(EngineAtWorkInTheLastSixthIsLeftOut);
  CPPUNIT_TEST(TimeLimitIsLeftOut);
  CPPUNIT_TEST(WrongExitsAreFound);
  CPPUNIT_TEST(PlansRepeatAndStopDaemonsTogether);
  CPPUNIT_TEST_SUITE_END();

  static constexpr std::int64_t kTermMs = 100'000;

  /// A stream of one second that is sent one second after SIGTERM, and passed on at once.
  static stop_evidence Stream()
  {
    stop_evidence evidence;
    evidence.mEventMs = 100;
    evidence.mDeadlineMs = 8'000;
    request_record request;
    request.mId = "1";
    request.mKind = request_kind::OnceStream;
    request.mEventsAsked = 10;
    request.mSentMs = request.mLastByteMs = kTermMs + 1'000;
    request.mSentWhole = true;
    request.mEndedMs = request.mClosedMs = kTermMs + 2'000;
    request.mStatus = 200;
    request.mWhole = true;
    evidence.mRequests = { request };
    evidence.mRecords = { Record("ran", kTermMs + 1'010) };
    evidence.mStops = { { 0, kTermMs, kTermMs + 3'000 } };
    return evidence;
  }

  static nlohmann::json Record(const std::string& aOutcome, std::int64_t aAtMs)
  {
    return { { "id", "1" }, { "backend", "d1" }, { "outcome", aOutcome }, { "at_ms", aAtMs } };
  }

  static std::size_t Broken(const stop_evidence& aEvidence)
  {
    return BrokenStops(aEvidence).size();
  }

  void WholeAnswersBreakNothing()
  {
    auto evidence = Stream();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Broken(evidence));
    evidence.mRequests[0].mStatus = 503;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Broken(evidence));
  }

  void CutRequestIsFound()
  {
    auto evidence = Stream();
    evidence.mRequests[0].mWhole = false;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
    // Also when the engine lost its caller and so stopped work early.
    evidence.mRequests[0].mEventsAsked = 70;
    evidence.mRecords.push_back(Record("cancelled", kTermMs + 2'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
  }

  void CutRequestWithoutAStopIsFound()
  {
    auto evidence = Stream();
    evidence.mStops[0].mDaemon = 1;
    evidence.mRequests[0].mWhole = false;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
    evidence.mStops.clear();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
  }

  void RequestThatMayBeUnreadIsLeftOut()
  {
    auto evidence = Stream();
    auto& request = evidence.mRequests[0];
    evidence.mRecords.clear();
    request.mWhole = false;
    request.mStatus = 0;
    request.mClosedMs = request.mLastByteMs + 200;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Broken(evidence));
    request.mClosedMs = request.mLastByteMs + 201;
    request.mSentWhole = false;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Broken(evidence));
    request.mSentWhole = true;
    request.mLinkMs = 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Broken(evidence));
  }

  void RequestReadAndNotPassedOnIsFound()
  {
    auto evidence = Stream();
    evidence.mRecords.clear();
    evidence.mRequests[0].mWhole = false;
    evidence.mRequests[0].mClosedMs = evidence.mRequests[0].mLastByteMs + 201;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
  }

  void EngineAtWorkInTheLastSixthIsLeftOut()
  {
    auto evidence = Stream();
    auto& request = evidence.mRequests[0];
    evidence.mStops[0].mExitMs = kTermMs + 7'700;
    request.mEndedMs = request.mClosedMs = kTermMs + 7'700;
    request.mWhole = false;
    request.mEventsAsked = 70;
    // The last sixth of 8 s begins after 6,667 ms.
    evidence.mRecords = { Record("ran", kTermMs + 1'010), Record("cancelled", kTermMs + 6'667) };
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Broken(evidence));
    evidence.mRecords[1] = Record("cancelled", kTermMs + 6'666);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
    evidence.mRecords[1] = Record("cancelled", kTermMs + 7'600);
    request.mLastByteMs = kTermMs + 3'001;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
    request.mLastByteMs = kTermMs + 3'000;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Broken(evidence));
    // An engine that has sent its last event was not at work any more.
    evidence.mRecords.pop_back();
    request.mEventsAsked = 56;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
    request.mEventsAsked = 57;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Broken(evidence));
  }

  void TimeLimitIsLeftOut()
  {
    auto evidence = Stream();
    auto& request = evidence.mRequests[0];
    request.mWhole = false;
    request.mEndedMs = request.mClosedMs = request.mSentMs + 7'999;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
    request.mEndedMs = request.mClosedMs = request.mSentMs + 8'000;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Broken(evidence));
  }

  void WrongExitsAreFound()
  {
    auto evidence = Stream();
    evidence.mStops[0].mStatus = SIGSEGV;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
    evidence.mStops[0].mStatus = 1 << 8;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
    evidence.mStops[0].mStatus = 0;
    evidence.mStops[0].mKilled = true;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
    // The soak was late to kill it.
    evidence.mStops[0].mKilled = false;
    evidence.mStops[0].mExitMs = kTermMs + evidence.mTimes.mGraceMs + 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
    evidence.mStops[0].mExitMs = kTermMs + evidence.mTimes.mGraceMs;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Broken(evidence));
  }

  void PlansRepeatAndStopDaemonsTogether()
  {
    std::size_t together = 0;
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
      const auto plan = MakeStopPlan(seed, {});
      const auto again = MakeStopPlan(seed, {});
      CPPUNIT_ASSERT_EQUAL(plan.size(), again.size());
      std::map<std::int64_t, std::set<int>> stopped;
      for (std::size_t i = 0; i < plan.size(); ++i) {
        CPPUNIT_ASSERT(plan[i].mKind == again[i].mKind && plan[i].mFromMs == again[i].mFromMs);
        CPPUNIT_ASSERT(i == 0 || plan[i - 1].mFromMs <= plan[i].mFromMs);
        if (plan[i].mKind == fault_kind::StopDaemon) {
          stopped[plan[i].mFromMs].insert(plan[i].mTarget);
        }
      }
      CPPUNIT_ASSERT(stopped.size() >= 3);
      for (const auto& [at, daemons] : stopped) {
        together += daemons.size() > 1 ? 1 : 0;
      }
    }
    CPPUNIT_ASSERT(together > 50);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(stop_checks_test);

} // namespace skylarkwind::soak
