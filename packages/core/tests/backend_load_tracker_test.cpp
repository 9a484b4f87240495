#include "skylarkwind/backend_load_tracker.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

class backend_board_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(backend_board_test);
  CPPUNIT_TEST(LoadOfPeersIsCounted);
  CPPUNIT_TEST(StalePeerLoadIsIgnored);
  CPPUNIT_TEST(EndedLoadIsReportedAsZero);
  CPPUNIT_TEST(FirstTokenRemovesThePromptFromTheQueue);
  CPPUNIT_TEST(UnreachableServerIsEjectedAndProbedOnce);
  CPPUNIT_TEST(SingleFailureDoesNotEject);
  CPPUNIT_TEST(SlowdownOfAServerIsMeasured);
  CPPUNIT_TEST(MeasurementsCorrectAWrongConfiguredRate);
  CPPUNIT_TEST(ServerWithOpenCircuitIsProbedByFewDaemons);
  CPPUNIT_TEST(ServerThatChangesItsRoleAdmitsNothing);
  CPPUNIT_TEST(BackoffIsRespectedAndNotCountedAsAFailure);
  CPPUNIT_TEST_SUITE_END();

  instant mNow{ seconds{ 100 } };

  static backend_load_tracker Board() { return backend_load_tracker{ {} }; }

  void LoadOfPeersIsCounted()
  {
    auto board = Board();
    board.Begin("e1", 1'000, milliseconds{ 20 }, mNow);
    board.OnPeerLoad({ BackendKey("e1"), 7'000, 3 }, mNow);
    CPPUNIT_ASSERT_EQUAL(8'000.0, board.Look("e1", mNow).mWaitingTokens);
    CPPUNIT_ASSERT_EQUAL(4U, board.Look("e1", mNow).mRunning);
    CPPUNIT_ASSERT_EQUAL(0.0, board.Look("e2", mNow).mWaitingTokens);
  }

  /// Guards against load that counts for ever because the message about its end was lost.
  void StalePeerLoadIsIgnored()
  {
    auto board = Board();
    board.OnPeerLoad({ BackendKey("e1"), 7'000, 3 }, mNow);
    CPPUNIT_ASSERT_EQUAL(0.0, board.Look("e1", mNow + seconds{ 2 }).mWaitingTokens);
    CPPUNIT_ASSERT_EQUAL(0U, board.Look("e1", mNow + seconds{ 2 }).mRunning);
  }

  void EndedLoadIsReportedAsZero()
  {
    auto board = Board();
    CPPUNIT_ASSERT(board.OwnLoad(mNow).empty());
    const auto before = board.Changes();
    const auto ticket = board.Begin("e1", 500, milliseconds{ 20 }, mNow);
    CPPUNIT_ASSERT(board.Changes() > before);
    CPPUNIT_ASSERT_EQUAL(500U, board.OwnLoad(mNow).at(0).mPrefillTokens);
    board.End(ticket, backend_outcome::Answered, mNow);
    CPPUNIT_ASSERT_EQUAL(0U, board.OwnLoad(mNow).at(0).mRunning);
    CPPUNIT_ASSERT(board.OwnLoad(mNow + seconds{ 1 }).empty());
  }

  void FirstTokenRemovesThePromptFromTheQueue()
  {
    auto board = Board();
    const auto ticket = board.Begin("e1", 1'000, milliseconds{ 20 }, mNow);
    board.OnFirstResponse(ticket, mNow + milliseconds{ 20 });
    CPPUNIT_ASSERT_EQUAL(0.0, board.Look("e1", mNow).mWaitingTokens);
    CPPUNIT_ASSERT_EQUAL(1U, board.Look("e1", mNow).mRunning);
    board.End(ticket, backend_outcome::Answered, mNow);
    CPPUNIT_ASSERT_EQUAL(0U, board.Look("e1", mNow).mRunning);
  }

  /// Guards against a dead server that receives every request, and against one that never returns
  /// to service.
  void UnreachableServerIsEjectedAndProbedOnce()
  {
    auto board = Board();
    const auto admits = [&](instant aNow) { return board.Look("e1", aNow).mAdmits; };
    const auto ticket = board.Begin("e1", 0, {}, mNow);
    board.End(ticket, backend_outcome::Unreachable, mNow);
    CPPUNIT_ASSERT(!admits(mNow + milliseconds{ 100 }));
    const auto later = mNow + seconds{ 1 };
    CPPUNIT_ASSERT(admits(later));
    const auto probe = board.Begin("e1", 0, {}, later);
    CPPUNIT_ASSERT(!admits(later));
    board.End(probe, backend_outcome::Answered, later);
    CPPUNIT_ASSERT(admits(later));
  }

  void SingleFailureDoesNotEject()
  {
    auto board = Board();
    board.End(board.Begin("e1", 0, {}, mNow), backend_outcome::Failed, mNow);
    CPPUNIT_ASSERT(board.Look("e1", mNow).mAdmits);
    CPPUNIT_ASSERT(board.Look("e1", mNow).mFailedPart > 0);
  }

  void SlowdownOfAServerIsMeasured()
  {
    auto board = Board();
    for (int i = 0; i < 40; ++i) {
      const auto slowdown = board.Look("e1", mNow).mSlowdown;
      const auto ticket = board.Begin("e1", 1'000, milliseconds{ 20 } * slowdown, mNow);
      board.OnFirstResponse(ticket, mNow + milliseconds{ 60 });
      board.End(ticket, backend_outcome::Answered, mNow);
    }
    const auto slowdown = board.Look("e1", mNow).mSlowdown;
    CPPUNIT_ASSERT(slowdown > 2.5 && slowdown < 3.5);
    for (int i = 0; i < 40; ++i) {
      const auto ticket =
        board.Begin("e2", 1'000, milliseconds{ 20 } * board.Look("e2", mNow).mSlowdown, mNow);
      board.OnFirstResponse(ticket, mNow + milliseconds{ 20 });
      board.End(ticket, backend_outcome::Answered, mNow);
    }
    const auto unaffected = board.Look("e2", mNow).mSlowdown;
    CPPUNIT_ASSERT(unaffected > 0.85 && unaffected < 1.2);
  }

  /// Guards against predictions that stay wrong because the configured rate is that of another
  /// engine: servers here are up to twenty times as fast, or ten times as slow, as configured.
  void MeasurementsCorrectAWrongConfiguredRate()
  {
    for (const double trueSlowdown : { 0.05, 0.16, 10.0 }) {
      auto board = Board();
      for (int i = 0; i < 6; ++i) {
        const auto id = "e" + std::to_string(i % 3);
        const auto slowdown = board.Look(id, mNow).mSlowdown;
        const auto ticket = board.Begin(id, 9'000, milliseconds{ 180 } * slowdown, mNow);
        const auto taken = std::chrono::duration<double, std::milli>{ 180 * trueSlowdown };
        board.OnFirstResponse(ticket, mNow + std::chrono::duration_cast<instant::duration>(taken));
        board.End(ticket, backend_outcome::Answered, mNow);
      }
      // This also holds for a server that was never used.
      for (const auto* id : { "e1", "new" }) {
        const auto measured = board.Look(id, mNow).mSlowdown;
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
      auto board = Board();
      board.SetFleet(self * 7'919, kDaemons);
      slots = 0;
      for (auto now = mNow; now < mNow + seconds{ 4 }; now += milliseconds{ 400 }) {
        dispatched_load reported{ BackendKey("e1") };
        reported.mClosed = true;
        board.OnPeerLoad(reported, now);
        probes += board.Look("e1", now).mAdmits ? 1 : 0;
        ++slots;
      }
      // Without further reports the circuit counts as closed.
      CPPUNIT_ASSERT(board.Look("e1", mNow + seconds{ 6 }).mAdmits);
    }
    CPPUNIT_ASSERT_MESSAGE(std::to_string(probes), probes >= slots / 4 && probes < 4 * slots);
  }

  void ServerThatChangesItsRoleAdmitsNothing()
  {
    auto board = Board();
    board.OnChanging(BackendKey("e1"), mNow + seconds{ 3 });
    CPPUNIT_ASSERT(!board.Look("e1", mNow).mAdmits);
    CPPUNIT_ASSERT(board.Look("e1", mNow + seconds{ 3 }).mAdmits);
  }

  /// Guards against requests to a server during the back-off that it asked for.
  void BackoffIsRespectedAndNotCountedAsAFailure()
  {
    auto board = Board();
    board.End(board.Begin("e1", 0, {}, mNow), backend_outcome::Refused, mNow);
    board.OnBackoffRequested("e1", seconds{ 2 }, mNow);
    // A shorter back-off does not end a longer one.
    board.OnBackoffRequested("e1", seconds{ 1 }, mNow);
    CPPUNIT_ASSERT(!board.Look("e1", mNow + milliseconds{ 1'999 }).mAdmits);
    CPPUNIT_ASSERT(board.Look("e1", mNow + seconds{ 2 }).mAdmits);
    CPPUNIT_ASSERT_EQUAL(0.0, board.Look("e1", mNow).mFailedPart);
    board.OnBackoffRequested("e2", std::chrono::hours{ 24 }, mNow);
    CPPUNIT_ASSERT(board.Look("e2", mNow + seconds{ 60 }).mAdmits);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(backend_board_test);

} // namespace skylarkwind
