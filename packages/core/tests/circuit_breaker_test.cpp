#include "skylarkwind/backend_load_tracker.h"
#include "skylarkwind/circuit_breaker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

class circuit_breaker_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(circuit_breaker_test);
  CPPUNIT_TEST(LostRequestsOfTwoDaemonsOpenTheCircuit);
  CPPUNIT_TEST(PartitionedDaemonOpensNoCircuit);
  CPPUNIT_TEST(ResponsesToOtherDaemonsKeepTheCircuitClosed);
  CPPUNIT_TEST(RefusalsOfAllRequestsOpenTheCircuit);
  CPPUNIT_TEST(CircuitClosesAfterAResponseOrATimeout);
  CPPUNIT_TEST(FailureRatioFollowsRecentRequests);
  CPPUNIT_TEST(SilentStreamsOpenNoCircuit);
  CPPUNIT_TEST(FailedConnectionsBesideSilentStreamsOpenTheCircuit);
  CPPUNIT_TEST_SUITE_END();

  instant mNow{ seconds{ 100 } };
  circuit_breaker mCircuitBreaker;

  static constexpr server_outcomes kAnswered{ 1, 0, 0, 0 };
  static constexpr server_outcomes kRefused{ 0, 1, 0, 0 };
  static constexpr server_outcomes kFailed{ 0, 0, 1, 0 };
  static constexpr server_outcomes kLost{ 0, 0, 0, 1 };

  void LostRequestsOfTwoDaemonsOpenTheCircuit()
  {
    mCircuitBreaker.OnOutcomes(kLost, 1, mNow);
    CPPUNIT_ASSERT(!mCircuitBreaker.IsOpen(mNow));
    mCircuitBreaker.OnOutcomes(kLost, 2, mNow);
    CPPUNIT_ASSERT(mCircuitBreaker.IsOpen(mNow));
  }

  /// Guards against a partitioned daemon that opens the circuits of all servers for all daemons.
  void PartitionedDaemonOpensNoCircuit()
  {
    for (int i = 0; i < 20; ++i) {
      mCircuitBreaker.OnOutcomes(kLost, 1, mNow);
    }
    CPPUNIT_ASSERT(!mCircuitBreaker.IsOpen(mNow));
  }

  /// Guards against a partition that cuts off a third of the daemons and opens the circuits of
  /// servers which answer the others.
  void ResponsesToOtherDaemonsKeepTheCircuitClosed()
  {
    for (int i = 0; i < 60; ++i) {
      mNow += milliseconds{ 50 };
      mCircuitBreaker.OnOutcomes(
        i % 3 == 0 ? kLost : kAnswered, static_cast<std::uint64_t>(i), mNow);
      CPPUNIT_ASSERT(!mCircuitBreaker.IsOpen(mNow));
    }
  }

  /// Guards against an engine that changes its role after a lost role command, looks idle and
  /// refuses the requests of all daemons one after the other (scale-1 of tallow-creek-large).
  void RefusalsOfAllRequestsOpenTheCircuit()
  {
    mCircuitBreaker.OnOutcomes(kRefused, 1, mNow);
    mCircuitBreaker.OnOutcomes(kRefused, 2, mNow + milliseconds{ 20 });
    CPPUNIT_ASSERT(mCircuitBreaker.IsOpen(mNow + milliseconds{ 20 }));
  }

  /// Guards against an unreachable server whose circuit closes for all daemons again and again,
  /// and against one whose circuit stays open because nobody probes it.
  void CircuitClosesAfterAResponseOrATimeout()
  {
    mCircuitBreaker.OnOutcomes(kLost, 1, mNow);
    mCircuitBreaker.OnOutcomes(kLost, 2, mNow);
    for (int i = 0; i < 10; ++i) {
      mNow += seconds{ 2 };
      CPPUNIT_ASSERT(mCircuitBreaker.IsOpen(mNow));
      mCircuitBreaker.OnOutcomes(kLost, 3, mNow);
    }
    auto unprobed = mCircuitBreaker;
    CPPUNIT_ASSERT(!unprobed.IsOpen(mNow + seconds{ 5 }));
    mCircuitBreaker.OnOutcomes(kAnswered, 3, mNow);
    CPPUNIT_ASSERT(!mCircuitBreaker.IsOpen(mNow));
  }

  void FailureRatioFollowsRecentRequests()
  {
    CPPUNIT_ASSERT_EQUAL(0.0, mCircuitBreaker.FailureRatio(mNow));
    mCircuitBreaker.OnOutcomes(kFailed, 1, mNow);
    CPPUNIT_ASSERT(mCircuitBreaker.FailureRatio(mNow) < 0.4);
    for (int i = 0; i < 20; ++i) {
      mCircuitBreaker.OnOutcomes(i % 2 == 0 ? kFailed : kAnswered, 1, mNow);
    }
    const auto ratio = mCircuitBreaker.FailureRatio(mNow);
    CPPUNIT_ASSERT(ratio > 0.4 && ratio < 0.6);
    CPPUNIT_ASSERT(mCircuitBreaker.FailureRatio(mNow + seconds{ 6 }) < 0.05);
  }

  /// Feeds the circuit breaker with what a daemon reports of requests that ended so.
  void Report(backend_outcome aOutcome, std::uint32_t aCount, std::uint64_t aReporter)
  {
    backend_load_tracker tracker{ {} };
    for (std::uint32_t i = 0; i < aCount; ++i) {
      tracker.End(tracker.Begin("e1", 0, {}, mNow), aOutcome, mNow);
    }
    mCircuitBreaker.OnOutcomes(tracker.OwnStatistics(mNow).at(0).mOutcomes, aReporter, mNow);
  }

  /// Guards against a sound server that no daemon uses because its streams paused for a second.
  void SilentStreamsOpenNoCircuit()
  {
    for (std::uint64_t reporter = 1; reporter <= 4; ++reporter) {
      Report(backend_outcome::Silent, 5, reporter);
      CPPUNIT_ASSERT(!mCircuitBreaker.IsOpen(mNow));
    }
    CPPUNIT_ASSERT(mCircuitBreaker.FailureRatio(mNow) > 0.5);
  }

  /// Guards against a server that has crashed without a reset and is tried by all daemons.
  void FailedConnectionsBesideSilentStreamsOpenTheCircuit()
  {
    for (std::uint64_t reporter = 1; reporter <= 2; ++reporter) {
      Report(backend_outcome::Silent, 5, reporter);
      Report(backend_outcome::Unreachable, 1, reporter);
    }
    CPPUNIT_ASSERT(mCircuitBreaker.IsOpen(mNow));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(circuit_breaker_test);

} // namespace skylarkwind
