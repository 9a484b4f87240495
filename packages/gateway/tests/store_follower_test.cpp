#include "store_follower_p.h"

#include <cppunit/extensions/HelperMacros.h>
#include <kj/async-io.h>

#include <algorithm>
#include <deque>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;
using cause = store_failure::cause;

namespace {

/// Answers each call with the next scripted result; calls beyond the script stay open.
class scripted_store final : public object_store
{
public:
  ~scripted_store() noexcept override = default;
  kj::Promise<store_result<object_page>> List(std::string, std::string aAfter, bool) override
  {
    mCalls.push_back("list " + aAfter);
    return Next(mLists);
  }
  kj::Promise<store_result<object_changes>> Watch(std::string,
                                                  std::uint64_t aFrom,
                                                  milliseconds) override
  {
    mCalls.push_back("watch " + std::to_string(aFrom));
    if (mWatches.empty()) {
      auto open = kj::newPromiseAndFulfiller<store_result<object_changes>>();
      mOpenWatch = kj::mv(open.fulfiller);
      return kj::mv(open.promise);
    }
    return Next(mWatches);
  }
  kj::Promise<store_result<stored_object>> Read(std::string, std::string) override
  {
    return store_result<stored_object>{ store_failure{} };
  }
  kj::Promise<store_result<object_written>> Write(std::string,
                                                  std::string,
                                                  std::optional<std::uint64_t>,
                                                  std::string) override
  {
    return store_result<object_written>{ store_failure{} };
  }
  kj::Promise<store_result<object_written>> Replace(std::string, std::string, std::string) override
  {
    return store_result<object_written>{ store_failure{} };
  }
  kj::Promise<store_result<object_written>> Remove(std::string, std::string, std::uint64_t) override
  {
    return store_result<object_written>{ store_failure{} };
  }

  std::deque<store_result<object_page>> mLists;
  std::deque<store_result<object_changes>> mWatches;
  kj::Own<kj::PromiseFulfiller<store_result<object_changes>>> mOpenWatch;
  std::vector<std::string> mCalls;

private:
  template<class value>
  static kj::Promise<store_result<value>> Next(std::deque<store_result<value>>& aScript)
  {
    if (aScript.empty()) {
      return kj::NEVER_DONE;
    }
    auto next = std::move(aScript.front());
    aScript.pop_front();
    return next;
  }
};

object_page
Page(std::vector<std::string> aNames, std::uint64_t aAt, bool aMore = false)
{
  object_page page;
  for (auto& name : aNames) {
    page.mObjects.push_back({ std::move(name), aAt, "{}" });
  }
  page.mAt = aAt;
  page.mMore = aMore;
  return page;
}

} // namespace

class store_follower_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(store_follower_test);
  CPPUNIT_TEST(PagesAreReadAndWatchedFromTheFirst);
  CPPUNIT_TEST(LostHistoryMeansANewList);
  CPPUNIT_TEST(FailedWatchMeansANewList);
  CPPUNIT_TEST(LongOutageIsReported);
  CPPUNIT_TEST(NewsElsewhereBeginsTheCallAgainOnce);
  CPPUNIT_TEST(WhatIsReadIsPassedOnWithoutAGap);
  CPPUNIT_TEST(PassedOnBatchesReplaceTheWatch);
  CPPUNIT_TEST(OldAndRepeatedBatchesChangeNothing);
  CPPUNIT_TEST(LostBatchMeansOneCall);
  CPPUNIT_TEST(NewsThatNoWatchShowsMeansAList);
  CPPUNIT_TEST(LateAnswerDoesNotUndoABatch);
  CPPUNIT_TEST(WatchGoesOnFromTheLastBatch);
  CPPUNIT_TEST(BatchesAreNotMixedWithOwnCalls);
  CPPUNIT_TEST(FewOfManyThatStartTogetherCallTheStore);
  CPPUNIT_TEST_SUITE_END();

public:
  ~store_follower_test() noexcept override = default;
  // A thread has one loop at a time, and fixtures of all tests exist at once.
  void setUp() override { mLoop = std::make_unique<kj::AsyncIoContext>(kj::setupAsyncIo()); }
  void tearDown() override { mLoop = nullptr; }

private:
  std::unique_ptr<kj::AsyncIoContext> mLoop;
  manual_clock_source mClock;
  scripted_store mStore;
  std::vector<std::string> mSeen;
  std::vector<change_batch> mPassedOn;

  std::unique_ptr<store_follower> Follower(std::uint64_t aSeed = 1)
  {
    store_follower_settings settings;
    settings.mRandomSeed = aSeed;
    settings.mFirstPause = milliseconds{ 4 };
    settings.mLongestPause = milliseconds{ 4 };
    return std::make_unique<store_follower>(
      settings,
      mStore,
      mLoop->provider->getTimer(),
      mClock,
      [this](const auto& aObjects, bool aAfter) {
        mSeen.push_back("list " + std::to_string(aObjects.size()) +
                        (aAfter ? " after outage" : ""));
      },
      [this](const object_change& aChange, bool) { mSeen.push_back(aChange.mObject.mName); },
      [this](const change_batch& aBatch) { mPassedOn.push_back(aBatch); });
  }

  static change_batch Batch(std::uint64_t aFrom, std::uint64_t aTo, const std::string& aName)
  {
    return { "", aFrom, aTo, false, false, { { { aName, aTo, "{}" }, false } } };
  }

  /// A follower at revision 10 whose changes come from other daemons.
  std::unique_ptr<store_follower> Receiver(kj::Promise<void>& aRunning)
  {
    mStore.mLists = { Page({ "a" }, 10) };
    auto follower = Follower();
    aRunning = follower->Run();
    Until(2);
    follower->SetPassedOn(true);
    // Lets the interrupted watch end.
    mLoop->provider->getTimer().afterDelay(2 * kj::MILLISECONDS).wait(mLoop->waitScope);
    mSeen.clear();
    return follower;
  }

  /// Runs the loop until that many calls were made.
  void Until(std::size_t aCalls)
  {
    for (int i = 0; i < 2'000 && mStore.mCalls.size() < aCalls; ++i) {
      mLoop->provider->getTimer().afterDelay(1 * kj::MILLISECONDS).wait(mLoop->waitScope);
    }
    CPPUNIT_ASSERT_EQUAL(aCalls, mStore.mCalls.size());
  }

  /// The pattern: all daemons start at once, and nobody has the objects yet. Guards against each of
  /// them calling the store, as the first ones that did would have told the others.
  void FewOfManyThatStartTogetherCallTheStore()
  {
    constexpr std::size_t kDaemons = 30;
    constexpr std::size_t kAsked = 4; // the same ones by all
    mStore.mLists.assign(kDaemons, Page({ "a" }, 10));
    std::vector<std::unique_ptr<store_follower>> followers;
    std::vector<kj::Promise<void>> running;
    followers.reserve(kDaemons);
    running.reserve(kDaemons);
    std::size_t turn = 0;
    for (std::uint64_t i = 0; i < kDaemons; ++i) {
      followers.push_back(Follower(i + 1));
      followers.back()->SetNeighbours([&followers, &turn](const std::string&) {
        return kj::Promise<std::optional<change_batch>>{ followers[++turn % kAsked]->Whole() };
      });
      followers.back()->SetPassedOn(true);
    }
    for (auto& follower : followers) {
      running.push_back(follower->Run());
    }
    const auto all = [&] {
      return std::all_of(followers.begin(), followers.end(), [](const auto& aFollower) {
        return aFollower->Listed();
      });
    };
    for (int i = 0; i < 300 && !all(); ++i) {
      mLoop->provider->getTimer().afterDelay(20 * kj::MILLISECONDS).wait(mLoop->waitScope);
      mClock.Advance(milliseconds{ 20 });
    }
    CPPUNIT_ASSERT(all());
    CPPUNIT_ASSERT_MESSAGE(std::to_string(mStore.mCalls.size()),
                           mStore.mCalls.size() <= kDaemons / 2);
  }

  void PagesAreReadAndWatchedFromTheFirst()
  {
    mStore.mLists = { Page({ "a", "b" }, 10, true), Page({ "c" }, 14) };
    const auto follower = Follower();
    const auto running = follower->Run();
    Until(3);
    CPPUNIT_ASSERT_EQUAL(std::string{ "list b" }, mStore.mCalls[1]);
    // Changes between the pages are seen by the watch.
    CPPUNIT_ASSERT_EQUAL(std::string{ "watch 10" }, mStore.mCalls[2]);
    CPPUNIT_ASSERT_EQUAL(std::string{ "list 3" }, mSeen.at(0));
  }

  void LostHistoryMeansANewList()
  {
    mStore.mLists = { Page({ "a" }, 10), Page({}, 20) };
    mStore.mWatches = { store_failure{ cause::HistoryGone, "" } };
    const auto follower = Follower();
    const auto running = follower->Run();
    Until(4);
    CPPUNIT_ASSERT_EQUAL(std::string{ "watch 20" }, mStore.mCalls[3]);
    CPPUNIT_ASSERT_EQUAL(std::string{ "list 0" }, mSeen.at(1));
  }

  /// Guards against changes that are missed when the store drops its history after a cut.
  void FailedWatchMeansANewList()
  {
    mStore.mLists = { Page({ "a" }, 10), Page({ "a" }, 20) };
    mStore.mWatches = { store_failure{ cause::NoAnswer, "" } };
    const auto follower = Follower();
    const auto running = follower->Run();
    Until(4);
    CPPUNIT_ASSERT_EQUAL(std::string{ "list " }, mStore.mCalls[2]);
    // The failure was short: what is missing from the list is gone.
    CPPUNIT_ASSERT_EQUAL(std::string{ "list 1" }, mSeen.at(1));
  }

  void LongOutageIsReported()
  {
    mStore.mLists = { Page({ "a" }, 10) };
    mStore.mWatches = { store_failure{ cause::Refused, "" } };
    const auto follower = Follower();
    const auto running = follower->Run();
    Until(3);
    mClock.Advance(seconds{ 4 });
    CPPUNIT_ASSERT(follower->InOutage());
    mStore.mLists = { Page({}, 30) };
    // The open list call stays without an answer; news from elsewhere begins it again.
    follower->OnNewsElsewhere(30);
    mClock.Advance(seconds{ 2 });
    follower->OnTick(mClock.Now());
    Until(5);
    CPPUNIT_ASSERT_EQUAL(std::string{ "list 0 after outage" }, mSeen.at(1));
  }

  /// Guards against a watch whose connection has gone silent, and against a call for every digest.
  void NewsElsewhereBeginsTheCallAgainOnce()
  {
    mStore.mLists = { Page({ "a" }, 10), Page({ "a" }, 10) };
    const auto follower = Follower();
    const auto running = follower->Run();
    Until(2);
    follower->OnNewsElsewhere(15);
    follower->OnTick(mClock.Now());
    mClock.Advance(seconds{ 2 });
    follower->OnTick(mClock.Now());
    Until(4);
    for (int i = 0; i < 5; ++i) {
      follower->OnNewsElsewhere(15);
      mClock.Advance(seconds{ 2 });
      follower->OnTick(mClock.Now());
    }
    mLoop->provider->getTimer().afterDelay(20 * kj::MILLISECONDS).wait(mLoop->waitScope);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, mStore.mCalls.size());
  }

  /// A watch that ended without changes moves the revision on; the next batch still begins where
  /// the one before it ended, because receivers have not heard of that watch.
  void WhatIsReadIsPassedOnWithoutAGap()
  {
    mStore.mLists = { Page({ "a" }, 10) };
    mStore.mWatches = { object_changes{ {}, 14 },
                        object_changes{ { { { "b", 16, "{}" }, false } }, 17 } };
    const auto follower = Follower();
    const auto running = follower->Run();
    Until(4);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, mPassedOn.size());
    CPPUNIT_ASSERT(mPassedOn[0].mWhole);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 10 }, mPassedOn[0].mTo);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 10 }, mPassedOn[1].mFrom);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 17 }, mPassedOn[1].mTo);
  }

  void PassedOnBatchesReplaceTheWatch()
  {
    kj::Promise<void> running = nullptr;
    const auto follower = Receiver(running);
    follower->OnBatch(Batch(10, 12, "b"));
    follower->OnBatch(Batch(11, 15, "c"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, mSeen.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 15 }, follower->LastChange());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, mStore.mCalls.size());
  }

  /// Guards against a daemon that goes back to an older state when datagrams overtake one another.
  void OldAndRepeatedBatchesChangeNothing()
  {
    kj::Promise<void> running = nullptr;
    const auto follower = Receiver(running);
    follower->OnBatch(Batch(10, 15, "c"));
    follower->OnBatch(Batch(10, 15, "c"));
    follower->OnBatch(Batch(10, 12, "b"));
    follower->OnBatch({ "", 0, 14, true, false, {} });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mSeen.size());
  }

  void LostBatchMeansOneCall()
  {
    kj::Promise<void> running = nullptr;
    const auto follower = Receiver(running);
    mStore.mWatches = { object_changes{
      { { { "b", 12, "{}" }, false }, { { "c", 15, "{}" }, false } }, 16 } };
    follower->OnBatch(Batch(12, 15, "c"));
    CPPUNIT_ASSERT(mSeen.empty());
    mClock.Advance(seconds{ 2 });
    follower->OnTick(mClock.Now());
    Until(3);
    CPPUNIT_ASSERT_EQUAL(std::string{ "watch 10" }, mStore.mCalls[2]);
    // The pause after a change and the next step.
    mLoop->provider->getTimer().afterDelay(150 * kj::MILLISECONDS).wait(mLoop->waitScope);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, mSeen.size());
    follower->OnBatch(Batch(15, 22, "d"));
    CPPUNIT_ASSERT_EQUAL(std::string{ "d" }, mSeen.at(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, mStore.mCalls.size());
  }

  /// A store that drops its history may leave open watches without the changes before that.
  void NewsThatNoWatchShowsMeansAList()
  {
    kj::Promise<void> running = nullptr;
    const auto follower = Receiver(running);
    mStore.mWatches = { object_changes{ {}, 18 } };
    mStore.mLists = { Page({ "a", "b", "c" }, 20) };
    follower->OnNewsElsewhere(15);
    follower->OnTick(mClock.Now());
    mClock.Advance(seconds{ 2 });
    follower->OnTick(mClock.Now());
    Until(4);
    mLoop->provider->getTimer().afterDelay(2 * kj::MILLISECONDS).wait(mLoop->waitScope);
    CPPUNIT_ASSERT_EQUAL(std::string{ "list 3" }, mSeen.at(0));
  }

  /// Guards against a draining server that is used again because an older answer came last.
  void LateAnswerDoesNotUndoABatch()
  {
    kj::Promise<void> running = nullptr;
    const auto follower = Receiver(running);
    follower->OnNewsElsewhere(15);
    follower->OnTick(mClock.Now());
    mClock.Advance(seconds{ 2 });
    follower->OnTick(mClock.Now());
    Until(3);
    follower->OnBatch(Batch(10, 30, "newer"));
    mStore.mOpenWatch->fulfill(object_changes{ { { { "older", 15, "{}" }, false } }, 20 });
    mLoop->provider->getTimer().afterDelay(5 * kj::MILLISECONDS).wait(mLoop->waitScope);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mSeen.size());
    CPPUNIT_ASSERT_EQUAL(std::string{ "newer" }, mSeen[0]);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, mStore.mCalls.size());
  }

  void WatchGoesOnFromTheLastBatch()
  {
    kj::Promise<void> running = nullptr;
    const auto follower = Receiver(running);
    follower->OnBatch(Batch(10, 15, "b"));
    follower->SetPassedOn(false);
    Until(3);
    CPPUNIT_ASSERT_EQUAL(std::string{ "watch 15" }, mStore.mCalls[2]);
  }

  /// A watch that is open could otherwise bring changes that are older than a batch.
  void BatchesAreNotMixedWithOwnCalls()
  {
    mStore.mLists = { Page({ "a" }, 10) };
    const auto follower = Follower();
    const auto running = follower->Run();
    Until(2);
    mSeen.clear();
    follower->OnBatch(Batch(10, 15, "b"));
    CPPUNIT_ASSERT(mSeen.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(store_follower_test);

} // namespace skylarkwind
