#include "serving_world.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

class serving_non_idempotent_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(serving_non_idempotent_test);
  CPPUNIT_TEST(RetryReturnsRecordedOutcome);
  CPPUNIT_TEST(RetryOfOpenOrLostRequestIsNotSent);
  CPPUNIT_TEST(RequestWithLostResponseIsNotRetried);
  CPPUNIT_TEST(UnsentRequestIsRetriedOnce);
  CPPUNIT_TEST(RefusedRequestWithdrawsItsClaim);
  CPPUNIT_TEST(OutcomeIsRecordedAfterCallerDisconnects);
  CPPUNIT_TEST(OutcomeIsRecordedAfterTheDeadline);
  CPPUNIT_TEST(WithoutClaimsKeyStaysAtItsBackend);
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

  /// Guards against a second run of a request that its caller retries, and against returning the
  /// recorded outcome of a key to a different request.
  void RetryReturnsRecordedOutcome()
  {
    serving_world world;
    world.SendNonIdempotent("k");
    const auto call = std::get<plain_call>(world.Last<start_attempt>().mCall);
    CPPUNIT_ASSERT_EQUAL(std::string{ "Idempotency-Key" }, call.mHeaders.back().first);
    world.Report(world.Last<start_attempt>().mAttempt, attempt_response{ 201, {}, "order 7" });
    const auto repeat = world.SendNonIdempotent("k");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Starts(world));
    CPPUNIT_ASSERT(world.Last<caller_response>().mRequest == repeat);
    CPPUNIT_ASSERT_EQUAL(201, world.Last<caller_response>().mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string{ "order 7" }, world.Last<caller_response>().mBody);
    world.SendNonIdempotent("k", "another body");
    AssertError(world, 422, run_state::NotRun);
    CPPUNIT_ASSERT(world.mServing->Idle());
  }

  /// Guards against a second run while the first one is open or its outcome is unknown.
  void RetryOfOpenOrLostRequestIsNotSent()
  {
    serving_world world;
    world.SendNonIdempotent("k");
    world.SendNonIdempotent("k");
    AssertError(world, 409, run_state::InProgress);
    CPPUNIT_ASSERT(world.Last<caller_error>().mRetryAfter.has_value());
    world.Fail(world.Last<start_attempt>().mAttempt, cause::Silent);
    AssertError(world, 502, run_state::OutcomeUnknown);
    world.SendNonIdempotent("k");
    AssertError(world, 502, run_state::OutcomeUnknown);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Starts(world));
  }

  /// Guards against a non-idempotent request that runs twice because the response to its first run
  /// was lost.
  void RequestWithLostResponseIsNotRetried()
  {
    for (const auto lost : { cause::Interrupted, cause::Silent }) {
      serving_world world;
      world.SendNonIdempotent("k");
      world.Fail(world.Last<start_attempt>().mAttempt, lost);
      world.Tick(2'000);
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Starts(world));
      CPPUNIT_ASSERT(world.mClaims.mEntries.begin()->second.mState ==
                     fake_claim_store::state::Unknown);
    }
  }

  /// Guards against a refusal while a retry is still safe because no byte was sent, and against
  /// unlimited retries.
  void UnsentRequestIsRetriedOnce()
  {
    serving_world world;
    world.SendNonIdempotent("k");
    const auto first = world.Last<start_attempt>();
    world.Fail(first.mAttempt, cause::NotSent);
    const auto second = world.NextAttempt();
    CPPUNIT_ASSERT(world.Last<start_attempt>().mBackend != first.mBackend);
    world.Fail(second, cause::NotSent);
    AssertError(world, 503, run_state::NotRun);
    CPPUNIT_ASSERT(world.mClaims.mEntries.empty());
  }

  /// Guards against a key that stays claimed by a request that never ran.
  void RefusedRequestWithdrawsItsClaim()
  {
    serving_world world;
    world.SendNonIdempotent("k");
    world.Fail(world.Last<start_attempt>().mAttempt, cause::NotRun);
    AssertError(world, 503, run_state::NotRun);
    CPPUNIT_ASSERT(world.mClaims.mEntries.empty());
    world.mLimits.mAvailableTickets[ServiceLimit("orders")] = 0;
    world.SendNonIdempotent("k");
    AssertError(world, 429, run_state::NotRun);
    CPPUNIT_ASSERT(world.mClaims.mEntries.empty());
  }

  /// Guards against a non-idempotent request that is cancelled, or run again, because its caller
  /// disconnected.
  void OutcomeIsRecordedAfterCallerDisconnects()
  {
    serving_world world;
    const auto request = world.SendNonIdempotent("k");
    world.Disconnect(request);
    CPPUNIT_ASSERT(world.All<cancel_attempt>().empty());
    CPPUNIT_ASSERT(!world.mServing->Idle());
    world.Report(world.Last<start_attempt>().mAttempt, attempt_response{ 200, {}, "done" });
    CPPUNIT_ASSERT(world.All<caller_response>().empty());
    CPPUNIT_ASSERT(world.mServing->Idle());
    world.SendNonIdempotent("k");
    CPPUNIT_ASSERT_EQUAL(std::string{ "done" }, world.Last<caller_response>().mBody);
  }

  /// Guards against an outcome that is not recorded because it arrives after the deadline.
  void OutcomeIsRecordedAfterTheDeadline()
  {
    serving_world world;
    world.SendNonIdempotent("k");
    world.Tick(10'000);
    AssertError(world, 504, run_state::OutcomeUnknown);
    world.Report(world.Last<start_attempt>().mAttempt, attempt_response{ 200, {}, "done" });
    CPPUNIT_ASSERT(world.All<caller_response>().empty());
    CPPUNIT_ASSERT(world.mClaims.mEntries.begin()->second.mState == fake_claim_store::state::Done);
  }

  /// Guards against sending a request without a claim to a backend server that does not honour
  /// keys, and against sending its key to another backend server later.
  void WithoutClaimsKeyStaysAtItsBackend()
  {
    serving_world world;
    world.mClaims.mAvailable = false;
    world.SendNonIdempotent("k");
    AssertError(world, 503, run_state::NotRun);
    for (int i = 0; i < 4; ++i) {
      const auto key = "k" + std::to_string(i);
      world.Send(serving_world::Plain(key, "x", "/bookings/1"));
      world.DecideClaims();
      const auto keyBackend = world.Last<start_attempt>().mBackend;
      world.Fail(world.Last<start_attempt>().mAttempt, cause::Interrupted);
      AssertError(world, 502, run_state::OutcomeUnknown);
      world.mClaims.mAvailable = true;
      world.Send(serving_world::Plain(key, "x", "/bookings/1"));
      world.DecideClaims();
      CPPUNIT_ASSERT_EQUAL(keyBackend, world.Last<start_attempt>().mBackend);
      world.mClaims.mAvailable = false;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 8 }, Starts(world));
  }

  /// Guards against claims or refusals for a service that the operators allow to be retried.
  void PlainRequestWithoutKeyIsRetried()
  {
    serving_world world;
    world.Send(serving_world::Plain("", "x", "/desk/1"));
    CPPUNIT_ASSERT(world.mClaims.mPendingRequests.empty());
    world.Fail(world.Last<start_attempt>().mAttempt, cause::Interrupted);
    world.Report(world.NextAttempt(), attempt_response{ 200, {}, "done" });
    CPPUNIT_ASSERT_EQUAL(200, world.Last<caller_response>().mStatus);
    CPPUNIT_ASSERT(world.mServing->Idle());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(serving_non_idempotent_test);

} // namespace skylarkwind
