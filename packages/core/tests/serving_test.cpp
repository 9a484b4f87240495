#include "serving_world.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using cause = attempt_failed::cause;

class serving_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(serving_test);
  CPPUNIT_TEST(StreamReachesTheCallerWhole);
  CPPUNIT_TEST(UnknownCallersAndPlacesAreRefused);
  CPPUNIT_TEST(FailedStreamResumesWhereItStood);
  CPPUNIT_TEST(GapFailsTheAttempt);
  CPPUNIT_TEST(ShortAnswerIsNotPassedOffAsWhole);
  CPPUNIT_TEST(StreamOfAbsentEngineMoves);
  CPPUNIT_TEST(RejectionReachesTheCaller);
  CPPUNIT_TEST(CallerGoneCancelsAtOnce);
  CPPUNIT_TEST(TokenResumesAtAnotherDaemon);
  CPPUNIT_TEST(QueueGoesByPriorityThenArrival);
  CPPUNIT_TEST(BackloggedEnginesGetNoMorePrompts);
  CPPUNIT_TEST(DeadlineInTheQueueIsNotRun);
  CPPUNIT_TEST(LimitsRefuseOrWait);
  CPPUNIT_TEST(RetriesStayWithinTheBudget);
  CPPUNIT_TEST(StreamsOfALostEngineResumeAtOnce);
  CPPUNIT_TEST(RetriesThatSucceedMakeRoomForMore);
  CPPUNIT_TEST(LongPromptIsSplitWhileMovingIsCheaper);
  CPPUNIT_TEST(RolesServeWholeRequestsInOrder);
  CPPUNIT_TEST(ShutdownEndsOpenWork);
  CPPUNIT_TEST_SUITE_END();

  void AssertError(const serving_world& aWorld, int aStatus, run_state aRun)
  {
    const auto error = aWorld.Last<caller_error>();
    CPPUNIT_ASSERT_EQUAL(aStatus, error.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::string{ RunStateText(aRun) },
                         std::string{ RunStateText(error.mRun) });
  }

  void AssertAtRest(const serving_world& aWorld)
  {
    CPPUNIT_ASSERT(aWorld.mServing->Idle());
    CPPUNIT_ASSERT(aWorld.mLimits.mHeld.empty());
    for (const auto& [name, open] : aWorld.mFleet.mOpen) {
      CPPUNIT_ASSERT_EQUAL(0, open);
    }
  }

  /// Guards against lost or reordered tokens and against tickets that are never given back.
  void StreamReachesTheCallerWhole()
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
    AssertAtRest(world);
  }

  /// Guards against work for callers without an account, and for places that do not exist.
  void UnknownCallersAndPlacesAreRefused()
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
    body = serving_world::Order("k");
    std::get<plain_request>(body.mOperation).mPath = "/ordersx";
    world.Send(body);
    AssertError(world, 404, run_state::NotRun);
    world.Send(serving_world::Order(""));
    AssertError(world, 400, run_state::NotRun);
    AssertAtRest(world);
  }

  /// Guards against a stream that breaks off, restarts or repeats tokens when its engine fails.
  void FailedStreamResumesWhereItStood()
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
    world.Token(first.mAttempt, 2); // a late event of the old attempt
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, world.All<caller_tokens>().size());
    world.Token(second, 2);
    world.Finish(second);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, world.All<caller_tokens>().size());
    CPPUNIT_ASSERT(!world.mFleet.mHealth.front());
    AssertAtRest(world);
  }

  /// Guards against a skipped token.
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

  /// Guards against an answer whose last tokens were lost.
  void ShortAnswerIsNotPassedOffAsWhole()
  {
    serving_world world;
    world.Send(serving_world::Generation());
    const auto attempt = world.Last<start_attempt>().mAttempt;
    world.Token(attempt, 1);
    world.Report(attempt, attempt_generated{ "stop", { 2, 3, 0 } });
    CPPUNIT_ASSERT(world.All<caller_completed>().empty());
    world.NextAttempt();
  }

  /// Guards against a caller that waits for an engine that is known to be away.
  void StreamOfAbsentEngineMoves()
  {
    serving_world world;
    world.Send(serving_world::Generation());
    const auto first = world.Last<start_attempt>();
    world.mFleet.At(first.mBackend).mStatus = engine_status::Absent;
    world.Tick();
    CPPUNIT_ASSERT(world.Last<cancel_attempt>().mAttempt == first.mAttempt);
    world.Finish(world.NextAttempt());
    AssertAtRest(world);
  }

  /// Guards against retries of a request that is wrong, and against hiding why.
  void RejectionReachesTheCaller()
  {
    serving_world world;
    world.Send(serving_world::Generation());
    world.Fail(world.Last<start_attempt>().mAttempt, cause::Rejected, 413);
    AssertError(world, 413, run_state::NotRun);
    AssertAtRest(world);
  }

  /// Guards against engines that compute for callers who left.
  void CallerGoneCancelsAtOnce()
  {
    serving_world world;
    const auto request = world.Send(serving_world::Generation());
    world.Gone(request);
    CPPUNIT_ASSERT(world.Last<cancel_attempt>().mAttempt == world.Last<start_attempt>().mAttempt);
    AssertAtRest(world);
  }

  /// Guards against streams that end with their daemon, and against forged or foreign tokens.
  void TokenResumesAtAnotherDaemon()
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

  /// Guards against a low priority that goes first, and against a queue without bound.
  void QueueGoesByPriorityThenArrival()
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
    AssertAtRest(world);
  }

  /// Guards against prompts that pile up in engines, where they can no longer be refused in time.
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
    // The first two are 3 s of work, more than an engine may have waiting.
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, world.All<start_attempt>().size());
    world.Token(world.All<start_attempt>().front().mAttempt, 1);
    world.Tick();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, world.All<start_attempt>().size());
  }

  /// Guards against a late start and against doubt about a request that never left the queue.
  void DeadlineInTheQueueIsNotRun()
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
    AssertAtRest(world);
  }

  /// Guards against a limit that is exceeded, and against refusals while a share is being raised.
  void LimitsRefuseOrWait()
  {
    serving_world world;
    world.mLimits.mLeft[AccountLimit("low")] = 0;
    world.Send(serving_world::Generation());
    AssertError(world, 429, run_state::NotRun);
    CPPUNIT_ASSERT(world.Last<caller_error>().mRetryAfter.has_value());
    world.mLimits.mRaising = true;
    world.Send(serving_world::Generation());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, world.All<caller_error>().size());
    world.mLimits.mLeft[AccountLimit("low")] = 1;
    world.NextAttempt();
    world.Send(serving_world::Generation());
    for (int i = 0; i < 150; ++i) {
      world.Tick();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, world.All<caller_error>().size());
    AssertError(world, 429, run_state::NotRun);
  }

  /// Guards against an outage that multiplies the load on the engines that are left.
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
    // 10 % of 100 requests, and 3 of the floor.
    const auto retries = world.All<start_attempt>().size() - 100;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 13 }, retries);
  }

  /// Guards against accepted streams that wait for a retry budget while engines are idle.
  void StreamsOfALostEngineResumeAtOnce()
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

  /// Guards against refused requests that trickle in at the budget's floor after an overload.
  void RetriesThatSucceedMakeRoomForMore()
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

  /// Guards against a prefill that is moved when moving costs more, and against a lost cache.
  void LongPromptIsSplitWhileMovingIsCheaper()
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
    // Moving took 9 s, far longer than computing 10,000 tokens.
    world.mNow += std::chrono::seconds{ 9 };
    world.Token(decode.mAttempt, 1);
    world.Finish(decode.mAttempt);
    world.Send(serving_world::Generation(prompt));
    CPPUNIT_ASSERT_EQUAL(std::string{ "d" }, world.Last<start_attempt>().mBackend);
    CPPUNIT_ASSERT(!std::get<generate_call>(world.Last<start_attempt>().mCall).mPrefillOnly);
  }

  /// Guards against whole generations at prefill engines while others admit.
  void RolesServeWholeRequestsInOrder()
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

  /// Guards against requests cut off, or taken in, by a daemon that is going away.
  void ShutdownEndsOpenWork()
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
    AssertAtRest(world);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(serving_test);

} // namespace skylarkwind
