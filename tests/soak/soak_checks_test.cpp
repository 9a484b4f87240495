#include "soak_checks.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind::soak {

/// Each promise is broken once, so that no check of the soak is one that can't fail.
class soak_checks_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(soak_checks_test);
  CPPUNIT_TEST(GoodRunBreaksNothing);
  CPPUNIT_TEST(SecondRunIsFound);
  CPPUNIT_TEST(FalseRefusalIsFound);
  CPPUNIT_TEST(RefusalWithoutRetryAfterIsFound);
  CPPUNIT_TEST(LateEndIsFoundButNotThatOfAPausedDaemon);
  CPPUNIT_TEST(ForeignAndUnsignedAnswersAreFound);
  CPPUNIT_TEST(InventedAnswerIsFound);
  CPPUNIT_TEST(GapsAndShortStreamsAreFound);
  CPPUNIT_TEST(CutByAStopIsFound);
  CPPUNIT_TEST(TooManyRepeatsAreFound);
  CPPUNIT_TEST(UseOfADrainingServerIsFound);
  CPPUNIT_TEST(PlansRepeatAndDoNotCollide);
  CPPUNIT_TEST_SUITE_END();

  static soak_evidence Good()
  {
    soak_evidence evidence;
    request_record order;
    order.mId = "1";
    order.mKind = request_kind::Order;
    order.mSentMs = 100'000;
    order.mEndedMs = 100'050;
    order.mWhole = true;
    order.mStatus = 200;
    order.mHeaders = { { "x-skylarkwind-request-id", "1" },
                       { "x-skylarkwind-response-signature", "s" } };
    order.mBody = "answer of p1 to 1";
    auto stream = order;
    stream.mId = "2";
    stream.mKind = request_kind::Stream;
    stream.mHeaders["x-skylarkwind-request-id"] = "2";
    stream.mEventsAsked = 2;
    stream.mBody = "id: 1\ndata: token1\n\nid: 2\ndata: token2\n\n";
    evidence.mRequests = { order, stream };
    evidence.mRecords = { Ran("1", "p1"), Ran("2", "e1") };
    return evidence;
  }

  static nlohmann::json Ran(const std::string& aId,
                            const std::string& aServer,
                            std::int64_t aAtMs = 100'010)
  {
    return { { "id", aId }, { "backend", aServer }, { "outcome", "ran" }, { "at_ms", aAtMs } };
  }

  static injected_fault During(fault_kind aKind, std::int64_t aFromMs, std::int64_t aToMs)
  {
    injected_fault injected;
    injected.mFault.mKind = aKind;
    injected.mFromMs = aFromMs;
    injected.mToMs = aToMs;
    return injected;
  }

  static std::size_t Broken(const soak_evidence& aEvidence)
  {
    return BrokenPromises(aEvidence, {}).size();
  }

  void GoodRunBreaksNothing() { CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Broken(Good())); }

  void SecondRunIsFound()
  {
    auto evidence = Good();
    evidence.mRecords.push_back(Ran("1", "p2"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
    evidence = Good();
    evidence.mRecords.push_back(Ran("2", "e2"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Broken(evidence));
    evidence.mRecords.push_back(Ran("2", "e3"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
  }

  void FalseRefusalIsFound()
  {
    auto evidence = Good();
    evidence.mRequests[0].mStatus = 503;
    evidence.mRequests[0].mHeaders["retry-after"] = "1";
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
    evidence.mRecords.erase(evidence.mRecords.begin());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Broken(evidence));
  }

  void RefusalWithoutRetryAfterIsFound()
  {
    auto evidence = Good();
    evidence.mRequests[0].mStatus = 503;
    evidence.mRecords.erase(evidence.mRecords.begin());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
  }

  void LateEndIsFoundButNotThatOfAPausedDaemon()
  {
    auto evidence = Good();
    evidence.mRequests[0].mEndedMs = 105'000;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
    evidence.mFaults = { During(fault_kind::PauseDaemon, 102'000, 104'000) };
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Broken(evidence));
    evidence.mFaults[0].mFault.mTarget = 1;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
  }

  void ForeignAndUnsignedAnswersAreFound()
  {
    auto evidence = Good();
    evidence.mRequests[0].mHeaders["x-skylarkwind-request-id"] = "9";
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
    evidence = Good();
    evidence.mRequests[1].mHeaders.erase("x-skylarkwind-response-signature");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
  }

  void InventedAnswerIsFound()
  {
    auto evidence = Good();
    evidence.mRequests[0].mBody = "answer of p2 to 1";
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
    evidence.mRequests[0].mBody = "answer of p1 to 2";
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
  }

  void GapsAndShortStreamsAreFound()
  {
    auto evidence = Good();
    evidence.mRequests[1].mBody = "id: 2\ndata: token2\n\n";
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
    evidence.mRequests[1].mBody = "id: 1\ndata: token1\n\n";
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
    // A stream that broke off may be short; its last event may be incomplete.
    evidence.mRequests[1].mBody = "id: 1\ndata: token1\n\nid: 2\nda";
    evidence.mRequests[1].mWhole = false;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Broken(evidence));
    evidence.mRequests[1].mBody = "id: 1\ndata: other\n\n";
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
  }

  void CutByAStopIsFound()
  {
    auto evidence = Good();
    evidence.mRequests[1].mWhole = false;
    evidence.mFaults = { During(fault_kind::StopDaemon, 100'020, 103'000) };
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
    evidence.mFaults.push_back(During(fault_kind::KillServer, 99'000, 99'500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Broken(evidence));
  }

  void TooManyRepeatsAreFound()
  {
    auto evidence = Good();
    for (int i = 0; i < 42; ++i) {
      const auto id = "r" + std::to_string(i);
      evidence.mRecords.push_back(Ran(id, "p1"));
      evidence.mRecords.push_back(Ran(id, "p2"));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
  }

  void UseOfADrainingServerIsFound()
  {
    auto evidence = Good();
    evidence.mFaults = { During(fault_kind::DrainServer, 97'000, 101'000) };
    evidence.mFaults[0].mFault.mVariant = "p1";
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Broken(evidence));
    // With its store cut off a daemon may not know of it.
    evidence.mFaults.push_back(During(fault_kind::DisturbStore, 97'500, 98'000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, Broken(evidence));
  }

  void PlansRepeatAndDoNotCollide()
  {
    std::size_t faults = 0;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
      const auto plan = MakePlan(seed, {});
      const auto again = MakePlan(seed, {});
      CPPUNIT_ASSERT_EQUAL(plan.size(), again.size());
      for (std::size_t i = 0; i < plan.size(); ++i) {
        CPPUNIT_ASSERT(plan[i].mKind == again[i].mKind && plan[i].mFromMs == again[i].mFromMs);
        for (std::size_t j = 0; j < i; ++j) {
          const bool same = plan[i].mKind == plan[j].mKind && plan[i].mTarget == plan[j].mTarget;
          CPPUNIT_ASSERT(!same || plan[j].mToMs < plan[i].mFromMs);
        }
      }
      faults += plan.size();
    }
    CPPUNIT_ASSERT(faults > 1'000);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(soak_checks_test);

} // namespace skylarkwind::soak
