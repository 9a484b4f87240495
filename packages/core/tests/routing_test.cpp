#include "skylarkwind/admission.h"
#include "skylarkwind/load_history.h"
#include "skylarkwind/prefix_cache_estimate.h"
#include "skylarkwind/resume_token.h"
#include "skylarkwind/retry_budget.h"
#include "skylarkwind/router.h"

#include <cppunit/extensions/HelperMacros.h>

#include <set>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

class routing_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(routing_test);
  CPPUNIT_TEST(SamePrefixReturnsToTheSameEngines);
  CPPUNIT_TEST(LoadBoundBreaksAffinity);
  CPPUNIT_TEST(HeavierEngineTakesMore);
  CPPUNIT_TEST(OwnDataCentreWinsAtEqualLoad);
  CPPUNIT_TEST(OldReportDoesNotCountNewWorkTwice);
  CPPUNIT_TEST(HolderOfThePrefixIsPreferred);
  CPPUNIT_TEST(EstimateIsDroppedWhenInDoubt);
  CPPUNIT_TEST(ExpectedWaitFollowsTheServiceRate);
  CPPUNIT_TEST(BackoffIsSpreadAndBounded);
  CPPUNIT_TEST(AnyChangeOfATokenIsSeen);
  CPPUNIT_TEST_SUITE_END();

  instant mNow{ seconds{ 100 } };

  static std::vector<engine_view> Engines(int aCount)
  {
    std::vector<engine_view> views(static_cast<std::size_t>(aCount));
    for (int i = 0; i < aCount; ++i) {
      auto& view = views[static_cast<std::size_t>(i)];
      view.mName = "e" + std::to_string(100 + i);
      view.mDataCentre = "a";
      view.mService = "s";
      view.mModel = "m";
      view.mVersion = "1";
      view.mIncarnation = 1;
      view.mStatus = engine_status::Serving;
    }
    return views;
  }
  static route_query Query(std::uint64_t aAffinity, double aWork = 100)
  {
    route_query query;
    query.mService = "s";
    query.mModel = "m";
    query.mAffinity = aAffinity;
    query.mWork = aWork;
    return query;
  }
  static cache_events_read Read(std::vector<cache_event> aEvents, std::uint64_t aIncarnation = 1)
  {
    return { "e100", aIncarnation, std::move(aEvents), 0 };
  }

  /// Guards against requests that lose their cached prefix because engines were added.
  void SamePrefixReturnsToTheSameEngines()
  {
    router before{ "a" };
    router after{ "a" };
    const auto few = Engines(20);
    const auto more = Engines(21);
    int moved = 0;
    std::set<std::string> used;
    for (std::uint64_t key = 0; key < 1'000; ++key) {
      const auto* first = before.Choose(Query(key), few, mNow);
      CPPUNIT_ASSERT(first == before.Choose(Query(key), few, mNow));
      moved += first->mName != after.Choose(Query(key), more, mNow)->mName ? 1 : 0;
      used.insert(first->mName);
    }
    // A new engine takes its share of the keys, 1 in 21, and no other key moves.
    CPPUNIT_ASSERT(moved > 0 && moved < 1'000 * 2 / 21);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 20 }, used.size());
  }

  /// Guards against a single engine that receives all requests with a common prefix.
  void LoadBoundBreaksAffinity()
  {
    router engines{ "a" };
    const auto views = Engines(10);
    for (int i = 0; i < 1'000; ++i) {
      engines.Place(*engines.Choose(Query(7), views, mNow), 100, 0, mNow);
    }
    for (const auto& view : views) {
      CPPUNIT_ASSERT(engines.Load(view.mName) <= 1.25 * 10'000 + 100);
      CPPUNIT_ASSERT(engines.Load(view.mName) >= 5'000);
    }
  }

  /// Guards against engine weights that have no effect.
  void HeavierEngineTakesMore()
  {
    router engines{ "a" };
    auto views = Engines(2);
    views[0].mWeight = 3;
    engines.Refresh(views, mNow);
    int heavier = 0;
    for (std::uint64_t i = 0; i < 400; ++i) {
      const auto* chosen = engines.Choose(Query(i), views, mNow);
      engines.Place(*chosen, 100, 0, mNow);
      heavier += chosen == &views[0] ? 1 : 0;
    }
    CPPUNIT_ASSERT(heavier > 280 && heavier < 320);
  }

  /// Guards against traffic between data centres that brings no benefit.
  void OwnDataCentreWinsAtEqualLoad()
  {
    router engines{ "b" };
    auto views = Engines(2);
    views[1].mDataCentre = "b";
    for (std::uint64_t i = 0; i < 50; ++i) {
      CPPUNIT_ASSERT(engines.Choose(Query(i), views, mNow) == &views[1]);
    }
  }

  /// Guards against herding: own work that a report includes, or that is newer than the report,
  /// must not be counted twice.
  void OldReportDoesNotCountNewWorkTwice()
  {
    router engines{ "a" };
    auto views = Engines(1);
    engines.Refresh(views, mNow);
    const auto work = engines.Place(views[0], 1'000, 0, mNow);
    views[0].mReport.mQueuedPromptTokens = 1'500;
    views[0].mReportSampledAt = mNow + seconds{ 1 };
    engines.Place(views[0], 300, 0, mNow + seconds{ 2 });
    engines.Refresh(views, mNow + seconds{ 3 });
    // The report includes 1,000 tokens of this daemon, so 500 are from others; 300 were sent later.
    CPPUNIT_ASSERT_EQUAL(1'800.0, engines.Load("e100"));
    engines.Finish(work, mNow + seconds{ 3 });
    CPPUNIT_ASSERT_EQUAL(800.0, engines.Load("e100"));
  }

  /// Guards against a known cached prefix that is not used.
  void HolderOfThePrefixIsPreferred()
  {
    router engines{ "a" };
    const auto views = Engines(50);
    const std::vector<prefix_match> holders = { { "e117", 2 } };
    auto query = Query(5, 10'000);
    query.mHolders = holders;
    CPPUNIT_ASSERT_EQUAL(std::string{ "e117" }, engines.Choose(query, views, mNow)->mName);
  }

  /// Guards against routing to an engine whose cache was cleared.
  void EstimateIsDroppedWhenInDoubt()
  {
    prefix_cache_estimate estimate;
    auto engine = Engines(1).front();
    const auto blocks = PrefixBlockHashes(std::string(2 * kBlockBytes + 5, 'x'));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, blocks.size());
    CPPUNIT_ASSERT(blocks[0] != blocks[1]);
    const auto known = [&] { return !estimate.Holders(blocks).empty(); };
    const auto learn = [&] {
      const auto next = estimate.ReadAfter(engine.mName) + 1;
      estimate.OnEvents(engine, Read({ { next, true, blocks[0] } }, engine.mIncarnation));
      CPPUNIT_ASSERT(known());
    };
    learn();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, estimate.Holders(blocks).front().mBlocks);
    estimate.OnEvents(engine, Read({ { 2, false, blocks[0] } }));
    CPPUNIT_ASSERT(!known());
    learn();
    estimate.OnEvents(engine, Read({ { 9, true, 42 } })); // a gap
    CPPUNIT_ASSERT(!known());
    for (int change = 0; change < 3; ++change) {
      learn();
      engine.mRole = change == 0 ? engine_role::Decode : engine.mRole;
      engine.mVersion = change == 1 ? "2" : engine.mVersion;
      engine.mIncarnation += change == 2 ? 1 : 0;
      CPPUNIT_ASSERT(!estimate.Check(engine));
      CPPUNIT_ASSERT(!known());
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, estimate.ReadAfter(engine.mName));
    learn();
    estimate.OnEvents(engine, Read({}, 1)); // a response of an older incarnation
    CPPUNIT_ASSERT(!known());
  }

  /// Guards against queueing requests that cannot be served in time, and against refusing requests
  /// that can.
  void ExpectedWaitFollowsTheServiceRate()
  {
    service_queue queue;
    const auto push = [&](std::uint64_t aId, int aPriority, milliseconds aTime) {
      return queue.Push({ { aId }, aPriority, mNow + aTime }, 10, mNow).mVerdict;
    };
    for (std::uint64_t id = 1; id <= 4; ++id) {
      CPPUNIT_ASSERT(push(id, 0, seconds{ 60 }) == service_queue::verdict::Queued);
    }
    for (std::uint64_t id = 1; id <= 2; ++id) {
      mNow += seconds{ 1 };
      queue.Take({ id }, mNow);
    }
    // Two wait and one goes each second.
    CPPUNIT_ASSERT_EQUAL(std::int64_t{ 3'000 }, queue.ExpectedWait(0, mNow).count());
    CPPUNIT_ASSERT(push(5, 0, milliseconds{ 2'900 }) == service_queue::verdict::WaitTooLong);
    CPPUNIT_ASSERT(push(5, 1, milliseconds{ 2'900 }) == service_queue::verdict::Queued);
    CPPUNIT_ASSERT(push(6, 0, milliseconds{ 4'100 }) == service_queue::verdict::Queued);
  }

  /// Guards against retries that are synchronised or too late.
  void BackoffIsSpreadAndBounded()
  {
    retry_budget budget{ 0.1, 1 };
    std::set<milliseconds> seen;
    for (std::uint32_t failed = 1; failed < 20; ++failed) {
      seen.insert(budget.Backoff(failed));
    }
    CPPUNIT_ASSERT(seen.size() > 10);
    CPPUNIT_ASSERT(*seen.rbegin() <= seconds{ 1 });
    CPPUNIT_ASSERT(budget.Backoff(1) <= milliseconds{ 20 });
  }

  /// Guards against a resume token that was altered or made without the key.
  void AnyChangeOfATokenIsSeen()
  {
    const resume_point point{ "s.1/%", "e 1", "v.2", 7, 12 };
    const auto token = MakeResumeToken(point, "key", 3);
    CPPUNIT_ASSERT(point == ReadResumeToken(token, "key", 3).value());
    for (std::size_t i = 0; i < token.size(); ++i) {
      auto forged = token;
      forged[i] = forged[i] == '1' ? '2' : '1';
      CPPUNIT_ASSERT(!ReadResumeToken(forged, "key", 3));
    }
    CPPUNIT_ASSERT(!ReadResumeToken(token, "other key", 3));
    CPPUNIT_ASSERT(!ReadResumeToken(token, "key", 4));
    CPPUNIT_ASSERT(!ReadResumeToken("", "key", 3));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(routing_test);

} // namespace skylarkwind
