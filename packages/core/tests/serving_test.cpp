#include "serving_world.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using cause = attempt_failed::cause;

class serving_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(serving_test);
  CPPUNIT_TEST(StreamIsDeliveredCompletely);
  CPPUNIT_TEST(UnknownCallersModelsAndPathsAreRefused);
  CPPUNIT_TEST(FailedStreamResumesAfterLastToken);
  CPPUNIT_TEST(GapFailsTheAttempt);
  CPPUNIT_TEST(TruncatedGenerationIsNotCompleted);
  CPPUNIT_TEST(StreamOfAbsentEngineIsResumedElsewhere);
  CPPUNIT_TEST(RejectionIsReturnedToCaller);
  CPPUNIT_TEST(CallerDisconnectCancelsAttempt);
  CPPUNIT_TEST(ResumeTokenWorksAtAnotherDaemon);
  CPPUNIT_TEST(QueueOrdersByPriorityThenArrival);
  CPPUNIT_TEST(BackloggedEnginesGetNoMorePrompts);
  CPPUNIT_TEST(RequestExpiredInQueueIsNotRun);
  CPPUNIT_TEST(ExhaustedLimitsRefuseOthersWait);
  CPPUNIT_TEST(RetriesStayWithinTheBudget);
  CPPUNIT_TEST(StreamsOfLostEngineResumeImmediately);
  CPPUNIT_TEST(SuccessfulRetriesAreRefunded);
  CPPUNIT_TEST(LongPromptIsSplitWhileTransferIsCheaper);
  CPPUNIT_TEST(UnsplitRequestsPreferRolesInOrder);
  CPPUNIT_TEST(ShutdownCompletesOpenRequests);
  CPPUNIT_TEST_SUITE_END();

  void AssertError(const serving_world& aWorld, int aStatus, run_state aRun)
  {
    const auto error = aWorld.Last<caller_error>();
    CPPUNIT_ASSERT_EQUAL(aStatus, error.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string{ RunStateText(aRun) },
                         std::string{ RunStateText(error.mRun) });
  }

  void AssertNothingOpen(const serving_world& aWorld)
  {
    CPPUNIT_ASSERT(aWorld.mServing->Idle());
    CPPUNIT_ASSERT(aWorld.mLimits.mHeld.empty());
    for (const auto& [name, open] : aWorld.mFleet.mOpen) {
      CPPUNIT_ASSERT_EQUAL(0, open);
    }
  }

  /// Guards against lost or reordered tokens and against tickets that are never released.
  void StreamIsDeliveredCompletely()
  {
    serving_world world;
    world.Send(serving_world::Generation());
    const auto attempt = world.Last<start_attempt>().mAttempt;
    CPPUNIT_ASSERT(!world.mLimits.mHeld.empty());
    world.Token(attempt, 1);
    world.Token(attempt, 2);
    world.Token(attempt, 2);
    attempt_generated end{ "stop", { 2, 2, 0 } };
    end.mReport = engine_report{ "e1" };
    world.Report(attempt, end);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, world.All<caller_tokens>().size());
    CPPUNIT_ASSERT_EQUAL(std::string{ "stop" }, world.Last<caller_completed>().mFinishReason);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, world.mFleet.mReports.size());
    CPPUNIT_ASSERT(world.mCounters.PrometheusText().find(
                     R"(service="draft",role="both",outcome="completed"} 1)") != std::string::npos);
    AssertNothingOpen(world);
  }

  /// Guards against serving callers without an account, unknown models and unknown paths.
  void UnknownCallersModelsAndPathsAreRefused()
  {
    serving_world world;
    auto body = serving_world::Generation();
    body.mApiKeySha256 = "";
    world.Send(body);
    AssertError(world, 401, run_state::NotRun);
    body = serving_world::Generation();
    std::get<completion_request>(body.mOperation).mModel = "none";
    world.Send(body);
    AssertError(world, 404, run_state::NotRun);
    body = serving_world::Plain("k");
    std::get<plain_request>(body.mOperation).mPath = "/ordersx";
    world.Send(body);
    AssertError(world, 404, run_state::NotRun);
    world.Send(serving_world::Plain(""));
    AssertError(world, 400, run_state::NotRun);
    AssertNothingOpen(world);
  }

  /// Guards against a stream that ends, restarts or repeats tokens when its engine fails.
  void FailedStreamResumesAfterLastToken()
  {
    serving_world world;
    world.Send(serving_world::Generation());
    const auto first = world.Last<start_attempt>();
    world.Token(first.mAttempt, 1);
    world.Fail(first.mAttempt, cause::Interrupted);
    const auto second = world.NextAttempt();
    const auto start = world.Last<start_attempt>();
    const auto& call = std::get<generate_call>(start.mCall);
    CPPUNIT_ASSERT(start.mBackend != first.mBackend);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, call.mResumeFrom);
    CPPUNIT_ASSERT_EQUAL(std::string{ "t1" }, call.mPriorText);
    CPPUNIT_ASSERT_EQUAL(std::get<generate_call>(first.mCall).mSeed, call.mSeed);
    world.Token(first.mAttempt, 2); // an event of the closed attempt
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, world.All<caller_tokens>().size());
    world.Token(second, 2);
    world.Finish(second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, world.All<caller_tokens>().size());
    CPPUNIT_ASSERT(!world.mFleet.mHealth.front());
    AssertNothingOpen(world);
  }

  /// Guards against a stream that skips a token when an engine's chunk leaves a gap.
  void GapFailsTheAttempt()
  {
    serving_world world;
    world.Send(serving_world::Generation());
    const auto attempt = world.Last<start_attempt>().mAttempt;
    world.Token(attempt, 2);
    CPPUNIT_ASSERT(world.All<caller_tokens>().empty());
    CPPUNIT_ASSERT(world.Last<cancel_attempt>().mAttempt == attempt);
    CPPUNIT_ASSERT(world.NextAttempt() != attempt);
  }

  /// Guards against completing a response whose last tokens were lost.
  void TruncatedGenerationIsNotCompleted()
  {
    serving_world world;
    world.Send(serving_world::Generation());
    const auto attempt = world.Last<start_attempt>().mAttempt;
    world.Token(attempt, 1);
    world.Report(attempt, attempt_generated{ "stop", { 2, 3, 0 } });
    CPPUNIT_ASSERT(world.All<caller_completed>().empty());
    world.NextAttempt();
  }

  /// Guards against callers that wait for an engine that is known to be absent.
  void StreamOfAbsentEngineIsResumedElsewhere()
  {
    serving_world world;
    world.Send(serving_world::Generation());
    const auto first = world.Last<start_attempt>();
    world.mFleet.At(first.mBackend).mStatus = engine_status::Absent;
    world.Tick();
    CPPUNIT_ASSERT(world.Last<cancel_attempt>().mAttempt == first.mAttempt);
    world.Finish(world.NextAttempt());
    AssertNothingOpen(world);
  }

  /// Guards against retries of an invalid request, and against hiding the reason from its caller.
  void RejectionIsReturnedToCaller()
  {
    serving_world world;
    world.Send(serving_world::Generation());
    world.Fail(world.Last<start_attempt>().mAttempt, cause::Rejected, 413);
    AssertError(world, 413, run_state::NotRun);
    AssertNothingOpen(world);
  }

  /// Guards against engines that compute for callers who disconnected.
  void CallerDisconnectCancelsAttempt()
  {
    serving_world world;
    const auto request = world.Send(serving_world::Generation());
    world.Disconnect(request);
    CPPUNIT_ASSERT(world.Last<cancel_attempt>().mAttempt == world.Last<start_attempt>().mAttempt);
    AssertNothingOpen(world);
  }

  /// Guards against streams that are lost with their daemon, and against resume tokens that are
  /// forged or belong to another request.
  void ResumeTokenWorksAtAnotherDaemon()
  {
    serving_world world;
    world.Send(serving_world::Generation());
    const auto first = world.Last<start_attempt>();
    world.Token(first.mAttempt, 1);
    const auto token = world.Last<caller_tokens>().mResumeToken;

    serving_world other;
    auto body = serving_world::Generation();
    body.mResumeToken = token;
    other.Send(body);
    const auto call = std::get<generate_call>(other.Last<start_attempt>().mCall);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, call.mResumeFrom);
    CPPUNIT_ASSERT_EQUAL(std::get<generate_call>(first.mCall).mSeed, call.mSeed);
    CPPUNIT_ASSERT_EQUAL(first.mBackend, other.Last<start_attempt>().mBackend);
    other.Token(other.Last<start_attempt>().mAttempt, 2);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, other.Last<caller_tokens>().mOffset);

    std::get<completion_request>(body.mOperation).mPrompt = "another prompt";
    other.Send(body);
    AssertError(other, 400, run_state::NotRun);
    body = serving_world::Generation();
    body.mResumeToken = "9" + token;
    other.Send(body);
    AssertError(other, 400, run_state::NotRun);
  }

  /// Guards against requests of low priority that are sent first, and against an unbounded queue.
  void QueueOrdersByPriorityThenArrival()
  {
    serving_world world{ 1 };
    auto& engine = world.mFleet.At("e1");
    engine.mStatus = engine_status::Draining;
    const auto low = world.Send(serving_world::Generation());
    const auto high = world.Send(serving_world::Generation("hello", true));
    world.Send(serving_world::Generation("hello", true));
    const auto last = world.Send(serving_world::Generation());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, world.mServing->Queued().front().mRequests);
    world.Send(serving_world::Generation());
    AssertError(world, 503, run_state::NotRun);
    CPPUNIT_ASSERT(world.Last<caller_error>().mRetryAfter.has_value());
    world.Send(serving_world::Generation("hello", true));
    CPPUNIT_ASSERT(world.Last<caller_error>().mRequest == last);

    engine.mStatus = engine_status::Ramping;
    engine.mInFlightLimit = 1;
    world.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, world.All<start_attempt>().size());
    world.Finish(world.Last<start_attempt>().mAttempt);
    CPPUNIT_ASSERT(world.Last<caller_completed>().mRequest == high);
    world.Finish(world.Last<start_attempt>().mAttempt);
    world.Finish(world.Last<start_attempt>().mAttempt);
    world.Finish(world.Last<start_attempt>().mAttempt);
    CPPUNIT_ASSERT(world.Last<caller_completed>().mRequest == low);
    AssertNothingOpen(world);
  }

  /// Guards against prompts that accumulate in the queues of engines, where they can no longer be
  /// refused in time.
  void BackloggedEnginesGetNoMorePrompts()
  {
    serving_world world{ 1 };
    auto& engine = world.mFleet.At("e1");
    engine.mReport.mPrefillTokensPerSecond = 1'000;
    engine.mReportSampledAt = world.mNow;
    world.Tick();
    for (int i = 0; i < 3; ++i) {
      world.Send(serving_world::Generation(std::string(6'000, 'x')));
    }
    // The first two prompts are 3 s of work, more than an engine may have queued.
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, world.All<start_attempt>().size());
    world.Token(world.All<start_attempt>().front().mAttempt, 1);
    world.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, world.All<start_attempt>().size());
  }

  /// Guards against an attempt after the deadline, and against reporting an unknown outcome for a
  /// request that never left the queue.
  void RequestExpiredInQueueIsNotRun()
  {
    serving_world world{ 1 };
    world.mFleet.At("e1").mStatus = engine_status::Absent;
    auto body = serving_world::Generation();
    body.mTimeLimit = std::chrono::milliseconds{ 500 };
    world.Send(body);
    world.Tick(499);
    CPPUNIT_ASSERT(world.All<caller_error>().empty());
    world.mFleet.At("e1").mStatus = engine_status::Serving;
    world.Tick(1);
    AssertError(world, 504, run_state::NotRun);
    CPPUNIT_ASSERT(world.All<start_attempt>().empty());
    AssertNothingOpen(world);
  }

  /// Guards against exceeding a limit, and against refusals while a larger share of it has been
  /// requested.
  void ExhaustedLimitsRefuseOthersWait()
  {
    serving_world world;
    world.mLimits.mAvailableTickets[AccountLimit("low")] = 0;
    world.Send(serving_world::Generation());
    AssertError(world, 429, run_state::NotRun);
    CPPUNIT_ASSERT(world.Last<caller_error>().mRetryAfter.has_value());
    world.mLimits.mIncreaseRequested = true;
    world.Send(serving_world::Generation());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, world.All<caller_error>().size());
    world.mLimits.mAvailableTickets[AccountLimit("low")] = 1;
    world.NextAttempt();
    world.Send(serving_world::Generation());
    for (int i = 0; i < 150; ++i) {
      world.Tick();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, world.All<caller_error>().size());
    AssertError(world, 429, run_state::NotRun);
  }

  /// Guards against retries that multiply the load on the remaining engines during an outage.
  void RetriesStayWithinTheBudget()
  {
    serving_world world{ 8 };
    for (int i = 0; i < 100; ++i) {
      world.Send(serving_world::Generation());
    }
    for (const auto& start : world.All<start_attempt>()) {
      world.Fail(start.mAttempt, cause::NotRun);
    }
    for (int i = 0; i < 50; ++i) {
      world.Tick();
    }
    // 10 % of 100 requests, and the minimum of 3.
    const auto retries = world.All<start_attempt>().size() - 100;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 13 }, retries);
  }

  /// Guards against interrupted streams that wait for the retry budget while engines are idle.
  void StreamsOfLostEngineResumeImmediately()
  {
    constexpr std::size_t kStreams = 200;
    serving_world world{ 2 };
    for (std::size_t i = 0; i < kStreams; ++i) {
      world.Send(serving_world::Generation());
    }
    for (const auto& start : world.All<start_attempt>()) {
      world.Token(start.mAttempt, 1);
    }
    for (const auto& start : world.All<start_attempt>()) {
      world.Fail(start.mAttempt, cause::Interrupted);
    }
    for (int i = 0; i < 50; ++i) {
      world.Tick();
    }
    CPPUNIT_ASSERT_EQUAL(2 * kStreams, world.All<start_attempt>().size());
  }

  /// Guards against requests that are retried only at the minimum rate of the retry budget after an
  /// overload, although retries succeed.
  void SuccessfulRetriesAreRefunded()
  {
    constexpr std::size_t kRequests = 100;
    serving_world world{ 8 };
    for (std::size_t i = 0; i < kRequests; ++i) {
      world.Send(serving_world::Generation());
    }
    for (const auto& start : world.All<start_attempt>()) {
      world.Fail(start.mAttempt, cause::NotRun);
    }
    std::size_t answered = kRequests;
    for (int i = 0; i < 50; ++i) {
      world.Tick();
      const auto starts = world.All<start_attempt>();
      for (; answered < starts.size(); ++answered) {
        world.Token(starts[answered].mAttempt, 1);
      }
    }
    CPPUNIT_ASSERT_EQUAL(2 * kRequests, world.All<start_attempt>().size());
  }

  /// Guards against a separate prefill when the transfer of the KV cache costs more than it saves,
  /// and against a KV cache that is not passed on to the decode engine.
  void LongPromptIsSplitWhileTransferIsCheaper()
  {
    serving_world world{ 0 };
    world.mFleet.mEngines = { serving_world::Engine("d", engine_role::Decode),
                              serving_world::Engine("p", engine_role::Prefill) };
    const std::string prompt(40'000, 'x');
    world.Send(serving_world::Generation(prompt));
    const auto prefill = world.Last<start_attempt>();
    CPPUNIT_ASSERT_EQUAL(std::string{ "p" }, prefill.mBackend);
    CPPUNIT_ASSERT(std::get<generate_call>(prefill.mCall).mPrefillOnly);
    attempt_generated computed{ "stop" };
    computed.mKv = kv_source{ "10.0.0.9:1", "h" };
    world.Report(prefill.mAttempt, computed);
    const auto decode = world.Last<start_attempt>();
    CPPUNIT_ASSERT_EQUAL(std::string{ "d" }, decode.mBackend);
    CPPUNIT_ASSERT_EQUAL(std::string{ "h" }, std::get<generate_call>(decode.mCall).mKv->mHandle);
    // The transfer took 9 s, far longer than computing 10,000 tokens.
    world.mNow += std::chrono::seconds{ 9 };
    world.Token(decode.mAttempt, 1);
    world.Finish(decode.mAttempt);
    world.Send(serving_world::Generation(prompt));
    CPPUNIT_ASSERT_EQUAL(std::string{ "d" }, world.Last<start_attempt>().mBackend);
    CPPUNIT_ASSERT(!std::get<generate_call>(world.Last<start_attempt>().mCall).mPrefillOnly);
  }

  /// Guards against generations that are not split at prefill engines while other engines admit
  /// them.
  void UnsplitRequestsPreferRolesInOrder()
  {
    serving_world world{ 0 };
    world.mFleet.mEngines = { serving_world::Engine("b"),
                              serving_world::Engine("d", engine_role::Decode),
                              serving_world::Engine("p", engine_role::Prefill) };
    for (const auto* name : { "b", "d", "p" }) {
      world.Send(serving_world::Generation());
      CPPUNIT_ASSERT_EQUAL(std::string{ name }, world.Last<start_attempt>().mBackend);
      world.mFleet.At(name).mStatus = engine_status::Draining;
      world.Tick();
    }
  }

  /// Guards against a daemon that aborts open requests or accepts new ones during shutdown.
  void ShutdownCompletesOpenRequests()
  {
    serving_world world{ 1 };
    auto& engine = world.mFleet.At("e1");
    engine.mStatus = engine_status::Ramping;
    engine.mInFlightLimit = 1;
    world.Send(serving_world::Generation());
    world.Send(serving_world::Generation());
    world.mServing->OnShutdown(world.mNow, world.mOut);
    world.Send(serving_world::Generation());
    AssertError(world, 503, run_state::NotRun);
    CPPUNIT_ASSERT(world.Last<caller_error>().mRetryAfter.has_value());
    CPPUNIT_ASSERT(!world.mServing->Idle());
    world.Finish(world.Last<start_attempt>().mAttempt);
    world.Finish(world.Last<start_attempt>().mAttempt);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, world.All<caller_completed>().size());
    AssertNothingOpen(world);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(serving_test);

} // namespace skylarkwind
