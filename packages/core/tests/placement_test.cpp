#include "skylarkwind/placement.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Uses the figures of the operators' data sheets: prompts of 17,000 tokens of which 13,300 are
/// shared, first events within 600 ms, gaps up to 200 ms.
class placement_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(placement_test);
  CPPUNIT_TEST(PromptsGoToPrefillEnginesAndStreamsToDecodeEngines);
  CPPUNIT_TEST(RequestGoesToTheEngineThatCachesItsPrefix);
  CPPUNIT_TEST(BusyEngineIsAvoidedAndItsPrefixFetched);
  CPPUNIT_TEST(NewPrefixIsComputedOnce);
  CPPUNIT_TEST(LongPromptDoesNotDelayRunningStreams);
  CPPUNIT_TEST(RequestThatWouldTimeOutIsRefusedAtOnce);
  CPPUNIT_TEST(QueueingTimeIsBoundedByTheTarget);
  CPPUNIT_TEST(LongPromptIsNotRefusedForItsComputeTime);
  CPPUNIT_TEST(BegunStreamIsNotRefusedForLateness);
  CPPUNIT_TEST(RetryAfterGrowsWithTheBacklog);
  CPPUNIT_TEST(BurstSpreadsOverAllPrefillEngines);
  CPPUNIT_TEST(DaemonsDoNotAllChooseTheSameEngine);
  CPPUNIT_TEST(NoDecodeEngineMeansNoPlacement);
  CPPUNIT_TEST(PlainRequestsSpreadOverServers);
  CPPUNIT_TEST(OwnDataCentreIsPreferredAtEqualLoad);
  CPPUNIT_TEST(FailingServerIsAvoided);
  CPPUNIT_TEST(ServerWithASilentStreamIsRankedLower);
  CPPUNIT_TEST(SilentEnginesAreUsedWhenNoOtherAdmits);
  CPPUNIT_TEST(SilentPlainServersAreUsedWhenNoOtherAdmits);
  CPPUNIT_TEST(PrefilledPromptGoesToASilentEngineWhenNoOtherAdmits);
  CPPUNIT_TEST(BurstUsesDecodeEnginesWithinTheGapOfTheirStreams);
  CPPUNIT_TEST(RetryAfterIsTheEndOfTheEarliestBackoff);
  CPPUNIT_TEST_SUITE_END();

  instant mNow{ seconds{ 100 } };
  std::uint64_t mRandomBits = 0;
  std::vector<backend_server> mServers;
  forward_route mRoute;
  forward_service mService;
  std::unique_ptr<backend_load_tracker> mLoadTracker;
  std::unique_ptr<prefix_cache_index> mPrefixCacheIndex;
  engine_models mEngineModels{ 50 };
  std::unique_ptr<placer> mPlacer;

public:
  void setUp() override
  {
    mServers.clear();
    mLoadTracker = std::make_unique<backend_load_tracker>(backend_load_tracker_settings{});
    mPrefixCacheIndex = std::make_unique<prefix_cache_index>();
    for (int i = 0; i < 6; ++i) {
      AddEngine("p" + std::to_string(i), engine_role::Prefill);
    }
    for (int i = 0; i < 3; ++i) {
      AddEngine("d" + std::to_string(i), engine_role::Decode);
    }
    mRoute.mKind = route_kind::Streaming;
    mRoute.mTargetLatency = milliseconds{ 600 };
    mRoute.mTargetEventGap = milliseconds{ 200 };
    mService.mName = "s";
    mService.mEngine = engine_capacity{};
    mService.mEngine->mSlots = 64;
    mService.mEngine->mKvTokens = 470'000;
    mService.mEngine->mTokensPerEvent = 6;
    mService.mEngine->mKvBytesPerToken = 327'680;
    mService.mEngine->mLinkMbps = 3'200'000;
    placement_settings settings;
    settings.mDataCentre = "a";
    mPlacer = std::make_unique<placer>(settings, *mLoadTracker, *mPrefixCacheIndex, mEngineModels);
  }

private:
  void AddEngine(const std::string& aId, engine_role aRole)
  {
    backend_server server;
    server.mId = aId;
    server.mService = "s";
    server.mDataCentre = "a";
    server.mRole = aRole;
    mServers.push_back(server);
    mPrefixCacheIndex->SetCapacity(aId, 470'000);
  }

  static generation_spec Shape(std::uint64_t aSegment, std::uint32_t aOwn = 3'720)
  {
    generation_spec shape;
    shape.mSegments = { { aSegment, 13'300 }, { aSegment + 1'000'000, aOwn } };
    shape.mPromptTokens = 13'300 + aOwn;
    shape.mOutputTokens = 120;
    return shape;
  }

  placement_result Place(const generation_spec* aShape, bool aMayWait = true, bool aBegun = false)
  {
    std::vector<const backend_server*> usable;
    for (const auto& server : mServers) {
      usable.push_back(&server);
    }
    placement_query query;
    query.mRoute = &mRoute;
    query.mService = &mService;
    query.mGeneration = aShape;
    query.mServers = usable;
    query.mTimeLeft = seconds{ 8 };
    query.mMayWait = aMayWait;
    query.mBegun = aBegun;
    query.mRandomBits = mRandomBits;
    return mPlacer->Place(query, mNow);
  }

  placement Placed(const generation_spec& aShape)
  {
    const auto result = Place(&aShape);
    CPPUNIT_ASSERT(std::holds_alternative<placement>(result));
    return std::get<placement>(result);
  }

  void PromptsGoToPrefillEnginesAndStreamsToDecodeEngines()
  {
    const auto placed = Placed(Shape(1));
    CPPUNIT_ASSERT(placed.mPrefill != nullptr && placed.mPrefill->mRole == engine_role::Prefill);
    CPPUNIT_ASSERT(placed.mTarget->mRole == engine_role::Decode);
  }

  void RequestGoesToTheEngineThatCachesItsPrefix()
  {
    const auto shape = Shape(1);
    mPrefixCacheIndex->OnCached("p3", shape.mSegments, mNow);
    const auto placed = Placed(shape);
    CPPUNIT_ASSERT_EQUAL(std::string{ "p3" }, placed.mPrefill->mId);
    CPPUNIT_ASSERT_EQUAL(3'720U, placed.mComputeTokens);
    CPPUNIT_ASSERT(placed.mFetchFrom == nullptr);
  }

  /// Guards against a frequently requested segment that makes all its requests queue at one engine.
  void BusyEngineIsAvoidedAndItsPrefixFetched()
  {
    const auto shape = Shape(1);
    mPrefixCacheIndex->OnCached("p3", shape.mSegments, mNow);
    mLoadTracker->Begin("p3", 40'000, seconds{ 1 }, mNow);
    const auto placed = Placed(shape);
    CPPUNIT_ASSERT(placed.mPrefill->mId != "p3");
    CPPUNIT_ASSERT(placed.mFetchFrom != nullptr && placed.mFetchFrom->mId == "p3");
    CPPUNIT_ASSERT_EQUAL(3'720U, placed.mComputeTokens);
  }

  /// Guards against a burst of requests for a new segment that every engine computes again.
  void NewPrefixIsComputedOnce()
  {
    const auto shape = Shape(1);
    const auto first = Placed(shape);
    mPrefixCacheIndex->OnPrefillStarted(
      first.mPrefill->mId, shape.mSegments, milliseconds{ 400 }, mNow);
    const auto second = Place(&shape);
    CPPUNIT_ASSERT(std::holds_alternative<await_prefix>(second));
    CPPUNIT_ASSERT(std::get<await_prefix>(second).mReadyAt == mNow + milliseconds{ 400 });
    CPPUNIT_ASSERT(std::holds_alternative<placement>(Place(&shape, false)));
  }

  /// Guards against growing gaps in streams because a decode engine runs the prefill of a long
  /// prompt.
  void LongPromptDoesNotDelayRunningStreams()
  {
    for (const auto* id : { "d0", "d1", "d2" }) {
      for (int i = 0; i < 10; ++i) {
        mLoadTracker->Begin(id, 0, {}, mNow);
      }
    }
    for (const auto* id : { "p0", "p1", "p2", "p3", "p4", "p5" }) {
      mLoadTracker->Begin(id, 20'000, milliseconds{ 400 }, mNow);
    }
    CPPUNIT_ASSERT(Placed(Shape(1)).mPrefill != nullptr);
  }

  /// Guards against queueing work whose caller will have left before the first event.
  void RequestThatWouldTimeOutIsRefusedAtOnce()
  {
    for (const auto& server : mServers) {
      mLoadTracker->Begin(server.mId, 200'000, seconds{ 4 }, mNow);
    }
    const auto shape = Shape(1);
    const auto result = Place(&shape);
    CPPUNIT_ASSERT(std::holds_alternative<placement_refusal>(result));
    CPPUNIT_ASSERT(std::get<placement_refusal>(result).mRetryAfter >= milliseconds{ 200 });
  }

  /// Scenario: a burst of prompts to engines that are fast relative to their target, from callers
  /// who wait two seconds for first events due within 150 ms. Guards against a queue that makes
  /// every first event late, and against one so short that engines idle.
  void QueueingTimeIsBoundedByTheTarget()
  {
    mRoute.mTargetLatency = milliseconds{ 150 };
    int placed = 0;
    for (std::uint64_t part = 1; part <= 400; ++part) {
      generation_spec shape;
      shape.mSegments = { { part, 2'000 } };
      shape.mPromptTokens = 2'000;
      const auto result = Place(&shape);
      if (const auto* chosen = std::get_if<placement>(&result)) {
        CPPUNIT_ASSERT(chosen->mWait <= mRoute.mTargetLatency * 1.2);
        const auto* engine = chosen->mPrefill != nullptr ? chosen->mPrefill : chosen->mTarget;
        mLoadTracker->Begin(engine->mId, chosen->mComputeTokens, chosen->mPrefillTime, mNow);
        ++placed;
      }
    }
    // Each of the six prefill engines has work for more than half of the target.
    CPPUNIT_ASSERT(placed > 6 * 2);
    for (const auto& server : mServers) {
      if (server.mRole == engine_role::Prefill) {
        const auto waiting = mLoadTracker->View(server.mId, mNow).mWaitingTokens;
        CPPUNIT_ASSERT(waiting * mEngineModels.Find("s").MsPerPromptToken(server.mRole) > 75);
      }
    }
  }

  /// Guards against callers with long prompts who are never served: computing 40,000 tokens always
  /// takes longer than the target.
  void LongPromptIsNotRefusedForItsComputeTime()
  {
    for (const auto& server : mServers) {
      mLoadTracker->Begin(server.mId, 10'000, milliseconds{ 200 }, mNow);
    }
    CPPUNIT_ASSERT(Placed(Shape(1, 26'700)).mFirstToken > mRoute.mTargetLatency);
  }

  /// Guards against a stream that is broken off in the middle because its server fails while all
  /// engines have a queue.
  void BegunStreamIsNotRefusedForLateness()
  {
    for (const auto& server : mServers) {
      mLoadTracker->Begin(server.mId, 200'000, milliseconds{ 4'000 }, mNow);
    }
    const auto shape = Shape(1);
    CPPUNIT_ASSERT(std::holds_alternative<placement_refusal>(Place(&shape, false, false)));
    CPPUNIT_ASSERT(std::holds_alternative<placement>(Place(&shape, false, true)));
  }

  /// Pattern: burst of long prompts while all decode engines stream. The engines are six times as
  /// fast as the initial figures. Guards against decode engines that stay idle while the prefill
  /// engines have a queue, and against streams whose gaps grow over a series of prompts of which
  /// each alone is short enough.
  void BurstUsesDecodeEnginesWithinTheGapOfTheirStreams()
  {
    auto& model = mEngineModels.At("s");
    for (int i = 0; i < 64; ++i) {
      const double tokens = 500 + 100 * (i % 32);
      model.OnPromptComputed(engine_role::Prefill, tokens, 5 + tokens / 300);
      model.OnPromptComputed(engine_role::Decode, tokens, 2 + tokens / 130);
      model.OnFetchedStreamStarted(6);
      model.OnLongestEventGap(45);
    }
    mRoute.mTargetLatency = milliseconds{ 150 };
    mRoute.mTargetEventGap = milliseconds{ 150 };
    mService.mEngine->mTokensPerEvent = 51;
    for (const auto& server : mServers) {
      for (int i = 0; i < 9 && server.mRole == engine_role::Decode; ++i) {
        const auto stream = mLoadTracker->Begin(server.mId, 0, milliseconds{ 0 }, mNow);
        mLoadTracker->OnFirstResponse(stream, mNow);
      }
    }
    std::map<std::string, double> sent;
    std::vector<std::pair<backend_load_tracker::ticket, instant>> openWork;
    constexpr int kIntervals = 4;
    for (int step = 0; step < 15 * kIntervals; ++step) {
      // Eight prompts in 10 ms are twice what the prefill engines compute.
      for (std::uint64_t i = 0; i < 8; ++i) {
        generation_spec shape;
        shape.mSegments = { { static_cast<std::uint64_t>(step) * 100 + i, 3'000 } };
        shape.mPromptTokens = 3'000;
        shape.mOutputTokens = 2;
        const auto result = Place(&shape, false);
        const auto* chosen = std::get_if<placement>(&result);
        if (chosen != nullptr && chosen->mPrefill == nullptr) {
          sent[chosen->mTarget->mId] += chosen->mComputeTokens;
          openWork.emplace_back(
            mLoadTracker->Begin(chosen->mTarget->mId, 3'000, chosen->mPrefillTime, mNow),
            mNow + milliseconds{ 23 });
        } else if (chosen != nullptr) {
          openWork.emplace_back(
            mLoadTracker->Begin(chosen->mPrefill->mId, 3'000, chosen->mPrefillTime, mNow),
            mNow + std::chrono::duration_cast<milliseconds>(chosen->mPrefillTime));
        }
      }
      mNow += milliseconds{ 10 };
      std::erase_if(openWork, [&](const auto& aOpen) {
        if (aOpen.second > mNow) {
          return false;
        }
        mLoadTracker->OnFirstResponse(aOpen.first, mNow);
        mLoadTracker->End(aOpen.first, backend_outcome::Answered, mNow);
        return true;
      });
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, sent.size());
    for (const auto& [id, tokens] : sent) {
      // In an interval of 150 ms: the gap without prompts and the time of these prompts.
      const double gap = 45 + tokens / kIntervals / 130;
      CPPUNIT_ASSERT_MESSAGE(id + " " + std::to_string(gap), gap > 60 && gap < 150);
    }
  }

  void RetryAfterGrowsWithTheBacklog()
  {
    const auto shape = Shape(1);
    milliseconds before{ 0 };
    for (int round = 0; round < 2; ++round) {
      for (const auto& server : mServers) {
        mLoadTracker->Begin(server.mId, 250'000, seconds{ 5 }, mNow);
      }
      const auto after = std::get<placement_refusal>(Place(&shape)).mRetryAfter;
      CPPUNIT_ASSERT(after > before);
      before = after;
    }
  }

  /// For a burst of different prompts, no prefill engine gets more than twice the mean.
  void BurstSpreadsOverAllPrefillEngines()
  {
    std::map<std::string, int> counts;
    for (std::uint64_t part = 1; part <= 60; ++part) {
      const auto shape = Shape(part);
      const auto result = Place(&shape);
      if (const auto* placed = std::get_if<placement>(&result)) {
        const auto& engine = placed->mPrefill != nullptr ? *placed->mPrefill : *placed->mTarget;
        mLoadTracker->Begin(engine.mId, placed->mComputeTokens, placed->mPrefillTime, mNow);
        ++counts[engine.mId];
      }
    }
    int sum = 0;
    int most = 0;
    std::set<std::string> used;
    for (const auto& [id, count] : counts) {
      if (id.starts_with('p')) {
        sum += count;
        most = std::max(most, count);
        used.insert(id);
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 6 }, used.size());
    CPPUNIT_ASSERT(most * 6 <= 2 * sum);
  }

  /// Scenario: 300 daemons place a request for the same frequently requested segment before they
  /// receive reports of each other's load. Guards against all of them choosing the same engines for
  /// prefill and decoding while others idle.
  void DaemonsDoNotAllChooseTheSameEngine()
  {
    constexpr int kDaemons = 300;
    constexpr int kRequests = 120;
    mLoadTracker->SetFleet(1, kDaemons);
    const auto shape = Shape(1);
    mPrefixCacheIndex->OnCached("p3", shape.mSegments, mNow);
    // This daemon places three requests per second, and so do the others.
    for (int i = 0; i < 9; ++i) {
      const auto began = mNow - milliseconds{ 300 } * (9 - i);
      const auto ticket = mLoadTracker->Begin("p0", 3'720, milliseconds{ 75 }, began);
      mLoadTracker->OnFirstResponse(ticket, began + milliseconds{ 75 });
      mLoadTracker->End(ticket, backend_outcome::Answered, began + milliseconds{ 75 });
    }
    std::map<std::string, int> computed;
    std::map<std::string, int> streamed;
    for (int i = 0; i < kRequests; ++i) {
      mRandomBits = static_cast<std::uint64_t>(i) + 1;
      const auto placed = Placed(shape);
      ++computed[placed.mPrefill != nullptr ? placed.mPrefill->mId : placed.mTarget->mId];
      ++streamed[placed.mTarget->mId];
    }
    for (const auto& [id, count] : computed) {
      CPPUNIT_ASSERT_MESSAGE(id + ' ' + std::to_string(count), count <= 2 * kRequests / 6);
    }
    for (const auto& [id, count] : streamed) {
      CPPUNIT_ASSERT_MESSAGE(id + ' ' + std::to_string(count), count <= kRequests / 2);
    }
  }

  void NoDecodeEngineMeansNoPlacement()
  {
    std::erase_if(mServers,
                  [](const auto& aServer) { return aServer.mRole == engine_role::Decode; });
    const auto shape = Shape(1);
    CPPUNIT_ASSERT(std::holds_alternative<placement_refusal>(Place(&shape)));
  }

  void PlainRequestsSpreadOverServers()
  {
    mService.mEngine.reset();
    std::map<std::string, int> counts;
    for (int i = 0; i < 90; ++i) {
      const auto placed = std::get<placement>(Place(nullptr));
      mLoadTracker->Begin(placed.mTarget->mId, 0, {}, mNow);
      ++counts[placed.mTarget->mId];
    }
    for (const auto& [id, count] : counts) {
      CPPUNIT_ASSERT_EQUAL(10, count);
    }
  }

  void OwnDataCentreIsPreferredAtEqualLoad()
  {
    mService.mEngine.reset();
    for (auto& server : mServers) {
      server.mDataCentre = server.mId == "d1" ? "a" : "b";
    }
    CPPUNIT_ASSERT_EQUAL(std::string{ "d1" }, std::get<placement>(Place(nullptr)).mTarget->mId);
  }

  /// Guards against callers that retry while every server is still in its back-off.
  void RetryAfterIsTheEndOfTheEarliestBackoff()
  {
    const auto shape = Shape(1);
    for (std::size_t i = 0; i < mServers.size(); ++i) {
      mLoadTracker->OnBackoffRequested(
        mServers[i].mId, seconds{ 2 } + milliseconds{ 100 * i }, mNow);
    }
    CPPUNIT_ASSERT(std::get<placement_refusal>(Place(&shape)).mRetryAfter == seconds{ 2 });
    mService.mEngine.reset();
    CPPUNIT_ASSERT(std::get<placement_refusal>(Place(nullptr)).mRetryAfter == seconds{ 2 });
  }

  /// Guards against using a server that fails a part of its requests while its health check
  /// succeeds.
  void FailingServerIsAvoided()
  {
    mService.mEngine.reset();
    for (int i = 0; i < 2; ++i) {
      mLoadTracker->End(mLoadTracker->Begin("d0", 0, {}, mNow), backend_outcome::Failed, mNow);
    }
    for (int i = 0; i < 30; ++i) {
      CPPUNIT_ASSERT(std::get<placement>(Place(nullptr)).mTarget->mId != "d0");
    }
  }

  void EndAt(const std::string& aId, backend_outcome aOutcome, int aCount)
  {
    for (int i = 0; i < aCount; ++i) {
      mLoadTracker->End(mLoadTracker->Begin(aId, 0, {}, mNow), aOutcome, mNow);
    }
  }

  void ServerWithASilentStreamIsRankedLower()
  {
    mService.mEngine.reset();
    EndAt("d0", backend_outcome::Silent, 1);
    for (int i = 0; i < 30; ++i) {
      CPPUNIT_ASSERT(std::get<placement>(Place(nullptr)).mTarget->mId != "d0");
    }
  }

  /// Guards against a refusal while all engines of one role pause for a second.
  void SilentEnginesAreUsedWhenNoOtherAdmits()
  {
    const auto shape = Shape(1);
    for (const auto* id : { "d0", "d1", "d2" }) {
      EndAt(id, backend_outcome::Silent, 5);
    }
    CPPUNIT_ASSERT(Placed(shape).mTarget->mId.starts_with("d"));
    // One that admits requests is preferred.
    EndAt("d1", backend_outcome::Answered, 1);
    CPPUNIT_ASSERT_EQUAL(std::string{ "d1" }, Placed(shape).mTarget->mId);
    // Engines that cannot be reached are not used.
    for (const auto& server : mServers) {
      EndAt(server.mId, backend_outcome::Unreachable, 1);
    }
    CPPUNIT_ASSERT(std::holds_alternative<placement_refusal>(Place(&shape)));
  }

  void SilentPlainServersAreUsedWhenNoOtherAdmits()
  {
    mService.mEngine.reset();
    for (const auto& server : mServers) {
      EndAt(server.mId, backend_outcome::Silent, 5);
    }
    CPPUNIT_ASSERT(std::holds_alternative<placement>(Place(nullptr)));
    EndAt("p4", backend_outcome::Answered, 1);
    CPPUNIT_ASSERT_EQUAL(std::string{ "p4" }, std::get<placement>(Place(nullptr)).mTarget->mId);
  }

  void PrefilledPromptGoesToASilentEngineWhenNoOtherAdmits()
  {
    for (const auto* id : { "d0", "d1", "d2" }) {
      EndAt(id, backend_outcome::Silent, 5);
    }
    std::vector<const backend_server*> usable;
    for (const auto& server : mServers) {
      usable.push_back(&server);
    }
    placement_query query;
    query.mRoute = &mRoute;
    query.mService = &mService;
    query.mServers = usable;
    CPPUNIT_ASSERT(mPlacer->PlaceStream(query, mNow) != nullptr);
    EndAt("d2", backend_outcome::Answered, 1);
    CPPUNIT_ASSERT_EQUAL(std::string{ "d2" }, mPlacer->PlaceStream(query, mNow)->mId);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(placement_test);

} // namespace skylarkwind
