#include "serving_world.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

class serving_orders_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(serving_orders_test);
  CPPUNIT_TEST(RepeatGetsTheRecordedOutcome);
  CPPUNIT_TEST(RepeatOfOpenOrLostRequestIsNotSent);
  CPPUNIT_TEST(LostAnswerIsNeverSentAgain);
  CPPUNIT_TEST(UnsentRequestHasOneMoreAttempt);
  CPPUNIT_TEST(RefusedRequestGivesItsClaimBack);
  CPPUNIT_TEST(OutcomeIsRecordedAfterTheCallerLeft);
  CPPUNIT_TEST(OutcomeIsRecordedAfterTheDeadline);
  CPPUNIT_TEST(WithoutClaimsOnlyTheHomeOfAKeyIsUsed);
  CPPUNIT_TEST(PlainRequestWithoutKeyIsRetried);
  CPPUNIT_TEST_SUITE_END();

  using cause = attempt_failed::cause;

  void AssertError(const serving_world& aWorld, int aStatus, run_state aRun)
  {
    const auto error = aWorld.Last<caller_error>();
    CPPUNIT_ASSERT_EQUAL(aStatus, error.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string{ RunStateText(aRun) },
                         std::string{ RunStateText(error.mRun) });
  }
  std::size_t Starts(const serving_world& aWorld) { return aWorld.All<start_attempt>().size(); }

  /// Guards against a second run of a repeated request, and against a key that leaks between
  /// different requests.
  void RepeatGetsTheRecordedOutcome()
  {
    serving_world world;
    world.SendOrder("k");
    const auto call = std::get<plain_call>(world.Last<start_attempt>().mCall);
    CPPUNIT_ASSERT_EQUAL(std::string{ "Idempotency-Key" }, call.mHeaders.back().first);
    world.Report(world.Last<start_attempt>().mAttempt, attempt_answered{ 201, {}, "stone 7" });
    const auto repeat = world.SendOrder("k");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Starts(world));
    CPPUNIT_ASSERT(world.Last<caller_answered>().mRequest == repeat);
    CPPUNIT_ASSERT_EQUAL(201, world.Last<caller_answered>().mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string{ "stone 7" }, world.Last<caller_answered>().mBody);
    world.SendOrder("k", "another body");
    AssertError(world, 422, run_state::NotRun);
    CPPUNIT_ASSERT(world.mServing->Idle());
  }

  /// Guards against a second run while the first is open or its outcome is not known.
  void RepeatOfOpenOrLostRequestIsNotSent()
  {
    serving_world world;
    world.SendOrder("k");
    world.SendOrder("k");
    AssertError(world, 409, run_state::InProgress);
    CPPUNIT_ASSERT(world.Last<caller_error>().mRetryAfter.has_value());
    world.Fail(world.Last<start_attempt>().mAttempt, cause::Silent);
    AssertError(world, 502, run_state::OutcomeUnknown);
    world.SendOrder("k");
    AssertError(world, 502, run_state::OutcomeUnknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Starts(world));
  }

  /// Guards against a stone that is scrubbed twice.
  void LostAnswerIsNeverSentAgain()
  {
    for (const auto lost : { cause::Interrupted, cause::Silent }) {
      serving_world world;
      world.SendOrder("k");
      world.Fail(world.Last<start_attempt>().mAttempt, lost);
      world.Tick(2'000);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Starts(world));
      CPPUNIT_ASSERT(world.mClaims.mEntries.begin()->second.mState ==
                     fake_claim_store::state::Unknown);
    }
  }

  /// Guards against a refusal where sending is still safe, and against sending without end.
  void UnsentRequestHasOneMoreAttempt()
  {
    serving_world world;
    world.SendOrder("k");
    const auto first = world.Last<start_attempt>();
    world.Fail(first.mAttempt, cause::NotSent);
    const auto second = world.NextAttempt();
    CPPUNIT_ASSERT(world.Last<start_attempt>().mBackend != first.mBackend);
    world.Fail(second, cause::NotSent);
    AssertError(world, 503, run_state::NotRun);
    CPPUNIT_ASSERT(world.mClaims.mEntries.empty());
  }

  /// Guards against a key that is blocked by a request that never ran.
  void RefusedRequestGivesItsClaimBack()
  {
    serving_world world;
    world.SendOrder("k");
    world.Fail(world.Last<start_attempt>().mAttempt, cause::NotRun);
    AssertError(world, 503, run_state::NotRun);
    CPPUNIT_ASSERT(world.mClaims.mEntries.empty());
    world.mLimits.mLeft[ServiceLimit("orders")] = 0;
    world.SendOrder("k");
    AssertError(world, 429, run_state::NotRun);
    CPPUNIT_ASSERT(world.mClaims.mEntries.empty());
  }

  /// Guards against an order that is lost or repeated because its caller hung up.
  void OutcomeIsRecordedAfterTheCallerLeft()
  {
    serving_world world;
    const auto request = world.SendOrder("k");
    world.Gone(request);
    CPPUNIT_ASSERT(world.All<cancel_attempt>().empty());
    CPPUNIT_ASSERT(!world.mServing->Idle());
    world.Report(world.Last<start_attempt>().mAttempt, attempt_answered{ 200, {}, "done" });
    CPPUNIT_ASSERT(world.All<caller_answered>().empty());
    CPPUNIT_ASSERT(world.mServing->Idle());
    world.SendOrder("k");
    CPPUNIT_ASSERT_EQUAL(std::string{ "done" }, world.Last<caller_answered>().mBody);
  }

  /// Guards against a late outcome that is thrown away.
  void OutcomeIsRecordedAfterTheDeadline()
  {
    serving_world world;
    world.SendOrder("k");
    world.Tick(10'000);
    AssertError(world, 504, run_state::OutcomeUnknown);
    world.Report(world.Last<start_attempt>().mAttempt, attempt_answered{ 200, {}, "done" });
    CPPUNIT_ASSERT(world.All<caller_answered>().empty());
    CPPUNIT_ASSERT(world.mClaims.mEntries.begin()->second.mState == fake_claim_store::state::Done);
  }

  /// Guards against sending without a claim where nobody remembers the key.
  void WithoutClaimsOnlyTheHomeOfAKeyIsUsed()
  {
    serving_world world;
    world.mClaims.mAvailable = false;
    world.SendOrder("k");
    AssertError(world, 503, run_state::NotRun);
    for (int i = 0; i < 4; ++i) {
      const auto key = "k" + std::to_string(i);
      world.Send(serving_world::Order(key, "x", "/bookings/1"));
      world.DecideClaims();
      const auto home = world.Last<start_attempt>().mBackend;
      world.Fail(world.Last<start_attempt>().mAttempt, cause::Interrupted);
      AssertError(world, 502, run_state::OutcomeUnknown);
      world.mClaims.mAvailable = true;
      world.Send(serving_world::Order(key, "x", "/bookings/1"));
      world.DecideClaims();
      CPPUNIT_ASSERT_EQUAL(home, world.Last<start_attempt>().mBackend);
      world.mClaims.mAvailable = false;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 }, Starts(world));
  }

  /// Guards against claims, or a refusal, where the operators allow repeats.
  void PlainRequestWithoutKeyIsRetried()
  {
    serving_world world;
    world.Send(serving_world::Order("", "x", "/desk/1"));
    CPPUNIT_ASSERT(world.mClaims.mAsked.empty());
    world.Fail(world.Last<start_attempt>().mAttempt, cause::Interrupted);
    world.Report(world.NextAttempt(), attempt_answered{ 200, {}, "done" });
    CPPUNIT_ASSERT_EQUAL(200, world.Last<caller_answered>().mStatus);
    CPPUNIT_ASSERT(world.mServing->Idle());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(serving_orders_test);

} // namespace skylarkwind
