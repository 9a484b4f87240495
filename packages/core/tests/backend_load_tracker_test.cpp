#include "skylarkwind/backend_load_tracker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

class backend_load_tracker_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(backend_load_tracker_test);
  CPPUNIT_TEST(LoadOfPeersIsCounted);
  CPPUNIT_TEST(StalePeerLoadIsIgnored);
  CPPUNIT_TEST(EndedLoadIsReportedAsZero);
  CPPUNIT_TEST(FirstTokenRemovesThePromptFromTheQueue);
  CPPUNIT_TEST(UnreachableServerIsEjectedAndProbedOnce);
  CPPUNIT_TEST(SingleFailureDoesNotEject);
  CPPUNIT_TEST(OneSilentStreamLowersTheRankOnly);
  CPPUNIT_TEST(SignOfLifeEndsTheSuspicionOfSilence);
  CPPUNIT_TEST(SilentStreamsInARowEject);
  CPPUNIT_TEST(SilenceAndFailuresAddUp);
  CPPUNIT_TEST(FailedConnectionBesideSilenceEjects);
  CPPUNIT_TEST(SlowdownOfAServerIsMeasured);
  CPPUNIT_TEST(MeasurementsCorrectAWrongConfiguredRate);
  CPPUNIT_TEST(ServerWithOpenCircuitIsProbedByFewDaemons);
  CPPUNIT_TEST(ServerThatChangesItsRoleAdmitsNothing);
  CPPUNIT_TEST(BackoffIsRespectedAndNotCountedAsAFailure);
  CPPUNIT_TEST_SUITE_END();

  instant mNow{ seconds{ 100 } };

  static backend_load_tracker MakeLoadTracker() { return backend_load_tracker{ {} }; }

  void LoadOfPeersIsCounted()
  {
    auto tracker = MakeLoadTracker();
    tracker.Begin("e1", 1'000, milliseconds{ 20 }, mNow);
    tracker.OnPeerLoad({ BackendKey("e1"), 7'000, 3 }, mNow);
    CPPUNIT_ASSERT_EQUAL(8'000.0, tracker.View("e1", mNow).mWaitingTokens);
    CPPUNIT_ASSERT_EQUAL(4U, tracker.View("e1", mNow).mRunning);
    CPPUNIT_ASSERT_EQUAL(0.0, tracker.View("e2", mNow).mWaitingTokens);
  }

  /// Guards against load that counts for ever because the message about its end was lost.
  void StalePeerLoadIsIgnored()
  {
    auto tracker = MakeLoadTracker();
    tracker.OnPeerLoad({ BackendKey("e1"), 7'000, 3 }, mNow);
    CPPUNIT_ASSERT_EQUAL(0.0, tracker.View("e1", mNow + seconds{ 2 }).mWaitingTokens);
    CPPUNIT_ASSERT_EQUAL(0U, tracker.View("e1", mNow + seconds{ 2 }).mRunning);
  }

  void EndedLoadIsReportedAsZero()
  {
    auto tracker = MakeLoadTracker();
    CPPUNIT_ASSERT(tracker.OwnLoad(mNow).empty());
    const auto before = tracker.ChangeCount();
    const auto ticket = tracker.Begin("e1", 500, milliseconds{ 20 }, mNow);
    CPPUNIT_ASSERT(tracker.ChangeCount() > before);
    CPPUNIT_ASSERT_EQUAL(500U, tracker.OwnLoad(mNow).at(0).mPrefillTokens);
    tracker.End(ticket, backend_outcome::Answered, mNow);
    CPPUNIT_ASSERT_EQUAL(0U, tracker.OwnLoad(mNow).at(0).mRunning);
    CPPUNIT_ASSERT(tracker.OwnLoad(mNow + seconds{ 1 }).empty());
  }

  void FirstTokenRemovesThePromptFromTheQueue()
  {
    auto tracker = MakeLoadTracker();
    const auto ticket = tracker.Begin("e1", 1'000, milliseconds{ 20 }, mNow);
    tracker.OnFirstResponse(ticket, mNow + milliseconds{ 20 });
    CPPUNIT_ASSERT_EQUAL(0.0, tracker.View("e1", mNow).mWaitingTokens);
    CPPUNIT_ASSERT_EQUAL(1U, tracker.View("e1", mNow).mRunning);
    tracker.End(ticket, backend_outcome::Answered, mNow);
    CPPUNIT_ASSERT_EQUAL(0U, tracker.View("e1", mNow).mRunning);
  }

  /// Guards against a dead server that receives every request, and against one that never returns
  /// to service.
  void UnreachableServerIsEjectedAndProbedOnce()
  {
    auto tracker = MakeLoadTracker();
    const auto admits = [&](instant aNow) { return tracker.View("e1", aNow).mAdmits; };
    const auto ticket = tracker.Begin("e1", 0, {}, mNow);
    tracker.End(ticket, backend_outcome::Unreachable, mNow);
    CPPUNIT_ASSERT(!admits(mNow + milliseconds{ 100 }));
    const auto later = mNow + seconds{ 1 };
    CPPUNIT_ASSERT(admits(later));
    const auto probe = tracker.Begin("e1", 0, {}, later);
    CPPUNIT_ASSERT(!admits(later));
    tracker.End(probe, backend_outcome::Answered, later);
    CPPUNIT_ASSERT(admits(later));
  }

  void SingleFailureDoesNotEject()
  {
    auto tracker = MakeLoadTracker();
    tracker.End(tracker.Begin("e1", 0, {}, mNow), backend_outcome::Failed, mNow);
    CPPUNIT_ASSERT(tracker.View("e1", mNow).mAdmits);
    CPPUNIT_ASSERT(tracker.View("e1", mNow).mFailureRatio > 0);
  }

  void EndWith(backend_load_tracker& aTracker, backend_outcome aOutcome, int aCount = 1)
  {
    for (int i = 0; i < aCount; ++i) {
      aTracker.End(aTracker.Begin("e1", 0, {}, mNow), aOutcome, mNow);
    }
  }

  /// Guards against a sound server that is out of service because one stream paused.
  void OneSilentStreamLowersTheRankOnly()
  {
    auto tracker = MakeLoadTracker();
    EndWith(tracker, backend_outcome::Silent);
    CPPUNIT_ASSERT(tracker.View("e1", mNow).mAdmits);
    CPPUNIT_ASSERT(tracker.View("e1", mNow).mFailureRatio >= 0.5);
    // That an earlier ejection has ended makes no difference.
    EndWith(tracker, backend_outcome::Unreachable);
    mNow += seconds{ 1 };
    EndWith(tracker, backend_outcome::Answered);
    tracker.Begin("e1", 0, {}, mNow);
    EndWith(tracker, backend_outcome::Silent);
    tracker.Begin("e1", 0, {}, mNow);
    CPPUNIT_ASSERT(tracker.View("e1", mNow).mAdmits);
  }

  /// Guards against a server that stays suspected although it goes on.
  void SignOfLifeEndsTheSuspicionOfSilence()
  {
    for (const int silences : { 1, 4 }) {
      auto tracker = MakeLoadTracker();
      const auto running = tracker.Begin("e1", 0, {}, mNow);
      tracker.OnFirstResponse(running, mNow);
      EndWith(tracker, backend_outcome::Silent, silences);
      CPPUNIT_ASSERT_EQUAL(silences < 3, tracker.View("e1", mNow).mAdmits);
      tracker.OnFirstResponse(running, mNow);
      CPPUNIT_ASSERT(tracker.View("e1", mNow).mAdmits);
      CPPUNIT_ASSERT_EQUAL(0.0, tracker.View("e1", mNow).mFailureRatio);
      for (const auto outcome : { backend_outcome::Answered, backend_outcome::Refused }) {
        EndWith(tracker, backend_outcome::Silent, silences);
        EndWith(tracker, outcome);
        CPPUNIT_ASSERT(tracker.View("e1", mNow).mAdmits);
        CPPUNIT_ASSERT_EQUAL(0.0, tracker.View("e1", mNow).mFailureRatio);
      }
    }
  }

  /// Guards against a server that has crashed without a reset and goes on to attract work.
  void SilentStreamsInARowEject()
  {
    auto tracker = MakeLoadTracker();
    EndWith(tracker, backend_outcome::Silent, 3);
    CPPUNIT_ASSERT(!tracker.View("e1", mNow).mAdmits);
    CPPUNIT_ASSERT(tracker.View("e1", mNow).mOnlySilent);
    const auto later = mNow + seconds{ 1 };
    CPPUNIT_ASSERT(tracker.View("e1", later).mAdmits);
    const auto probe = tracker.Begin("e1", 0, {}, later);
    CPPUNIT_ASSERT(!tracker.View("e1", later).mAdmits);
    tracker.End(probe, backend_outcome::Silent, later);
    CPPUNIT_ASSERT(!tracker.View("e1", later + milliseconds{ 500 }).mAdmits);
  }

  void SilenceAndFailuresAddUp()
  {
    auto tracker = MakeLoadTracker();
    EndWith(tracker, backend_outcome::Silent, 2);
    EndWith(tracker, backend_outcome::Failed);
    CPPUNIT_ASSERT(!tracker.View("e1", mNow).mAdmits);
    CPPUNIT_ASSERT(!tracker.View("e1", mNow).mOnlySilent);
  }

  void FailedConnectionBesideSilenceEjects()
  {
    auto tracker = MakeLoadTracker();
    const auto running = tracker.Begin("e1", 0, {}, mNow);
    tracker.OnFirstResponse(running, mNow);
    EndWith(tracker, backend_outcome::Silent);
    EndWith(tracker, backend_outcome::Unreachable);
    CPPUNIT_ASSERT(!tracker.View("e1", mNow).mAdmits);
    CPPUNIT_ASSERT(!tracker.View("e1", mNow).mOnlySilent);
    // The stream that runs shows nothing of new connections.
    tracker.OnFirstResponse(running, mNow);
    CPPUNIT_ASSERT(!tracker.View("e1", mNow).mAdmits);
  }

  void SlowdownOfAServerIsMeasured()
  {
    auto tracker = MakeLoadTracker();
    for (int i = 0; i < 40; ++i) {
      const auto slowdown = tracker.View("e1", mNow).mSlowdown;
      const auto ticket = tracker.Begin("e1", 1'000, milliseconds{ 20 } * slowdown, mNow);
      tracker.OnFirstResponse(ticket, mNow + milliseconds{ 60 });
      tracker.End(ticket, backend_outcome::Answered, mNow);
    }
    const auto slowdown = tracker.View("e1", mNow).mSlowdown;
    CPPUNIT_ASSERT(slowdown > 2.5 && slowdown < 3.5);
    for (int i = 0; i < 40; ++i) {
      const auto ticket =
        tracker.Begin("e2", 1'000, milliseconds{ 20 } * tracker.View("e2", mNow).mSlowdown, mNow);
      tracker.OnFirstResponse(ticket, mNow + milliseconds{ 20 });
      tracker.End(ticket, backend_outcome::Answered, mNow);
    }
    const auto unaffected = tracker.View("e2", mNow).mSlowdown;
    CPPUNIT_ASSERT(unaffected > 0.85 && unaffected < 1.2);
  }

  /// Guards against predictions that stay wrong because the configured rate is that of another
  /// engine: servers here are up to twenty times as fast, or ten times as slow, as configured.
  void MeasurementsCorrectAWrongConfiguredRate()
  {
    for (const double trueSlowdown : { 0.05, 0.16, 10.0 }) {
      auto tracker = MakeLoadTracker();
      for (int i = 0; i < 6; ++i) {
        const auto id = "e" + std::to_string(i % 3);
        const auto slowdown = tracker.View(id, mNow).mSlowdown;
        const auto ticket = tracker.Begin(id, 9'000, milliseconds{ 180 } * slowdown, mNow);
        const auto taken = std::chrono::duration<double, std::milli>{ 180 * trueSlowdown };
        tracker.OnFirstResponse(ticket,
                                mNow + std::chrono::duration_cast<instant::duration>(taken));
        tracker.End(ticket, backend_outcome::Answered, mNow);
      }
      // This also holds for a server that was never used.
      for (const auto* id : { "e1", "new" }) {
        const auto measured = tracker.View(id, mNow).mSlowdown;
        CPPUNIT_ASSERT_MESSAGE(std::to_string(trueSlowdown) + ": " + std::to_string(measured),
                               measured > 0.8 * trueSlowdown && measured < 1.25 * trueSlowdown);
      }
    }
  }

  void ServerWithOpenCircuitIsProbedByFewDaemons()
  {
    constexpr std::uint32_t kDaemons = 300;
    int probes = 0;
    int slots = 0;
    for (std::uint64_t self = 1; self <= kDaemons; ++self) {
      auto tracker = MakeLoadTracker();
      tracker.SetFleet(self * 7'919, kDaemons);
      slots = 0;
      for (auto now = mNow; now < mNow + seconds{ 4 }; now += milliseconds{ 400 }) {
        dispatched_load reported{ BackendKey("e1") };
        reported.mCircuitOpen = true;
        tracker.OnPeerLoad(reported, now);
        probes += tracker.View("e1", now).mAdmits ? 1 : 0;
        ++slots;
      }
      // Without further reports the circuit counts as closed.
      CPPUNIT_ASSERT(tracker.View("e1", mNow + seconds{ 6 }).mAdmits);
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(probes), probes >= slots / 4 && probes < 4 * slots);
  }

  void ServerThatChangesItsRoleAdmitsNothing()
  {
    auto tracker = MakeLoadTracker();
    tracker.OnRoleChange(BackendKey("e1"), mNow + seconds{ 3 });
    CPPUNIT_ASSERT(!tracker.View("e1", mNow).mAdmits);
    CPPUNIT_ASSERT(tracker.View("e1", mNow + seconds{ 3 }).mAdmits);
  }

  /// Guards against requests to a server during the back-off that it asked for.
  void BackoffIsRespectedAndNotCountedAsAFailure()
  {
    auto tracker = MakeLoadTracker();
    tracker.End(tracker.Begin("e1", 0, {}, mNow), backend_outcome::Refused, mNow);
    tracker.OnBackoffRequested("e1", seconds{ 2 }, mNow);
    // A shorter back-off does not end a longer one.
    tracker.OnBackoffRequested("e1", seconds{ 1 }, mNow);
    CPPUNIT_ASSERT(!tracker.View("e1", mNow + milliseconds{ 1'999 }).mAdmits);
    CPPUNIT_ASSERT(tracker.View("e1", mNow + seconds{ 2 }).mAdmits);
    CPPUNIT_ASSERT_EQUAL(0.0, tracker.View("e1", mNow).mFailureRatio);
    tracker.OnBackoffRequested("e2", std::chrono::hours{ 24 }, mNow);
    CPPUNIT_ASSERT(tracker.View("e2", mNow + seconds{ 60 }).mAdmits);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_load_tracker_test);

} // namespace skylarkwind
