#include "daemon_registry_p.h"

#include "skylarkwind/backend_load_tracker.h"
#include "skylarkwind/prefix_cache_index.h"
#include "skylarkwind/store_position.h"

#include <cppunit/extensions/HelperMacros.h>
#include <kj/timer.h>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A store that lists one object at most and answers writes and removals when the test says so.
class manual_store final : public object_store
{
public:
  ~manual_store() noexcept override = default;

  kj::Promise<store_result<object_page>> List(std::string, std::string, bool) override
  {
    ++mLists;
    object_page page;
    if (mObject) {
      page.mObjects.push_back(*mObject);
    }
    return store_result<object_page>{ std::move(page) };
  }
  kj::Promise<store_result<object_changes>> Watch(std::string, std::uint64_t, milliseconds) override
  {
    return store_result<object_changes>{ store_failure{} };
  }
  kj::Promise<store_result<stored_object>> Read(std::string, std::string) override
  {
    return mObject ? store_result<stored_object>{ *mObject }
                   : store_result<stored_object>{ store_failure{} };
  }
  std::uint64_t Era() const override { return mEra; }
  kj::Promise<store_result<object_written>> Write(std::string,
                                                  std::string,
                                                  std::optional<std::uint64_t>,
                                                  std::string) override
  {
    ++mWrites;
    auto pair = kj::newPromiseAndFulfiller<store_result<object_written>>();
    mOpen = kj::mv(pair.fulfiller);
    return kj::mv(pair.promise);
  }
  kj::Promise<store_result<object_written>> Replace(std::string, std::string, std::string) override
  {
    return Write({}, {}, {}, {});
  }
  kj::Promise<store_result<object_written>> Remove(std::string,
                                                   std::string,
                                                   std::uint64_t aRevision) override
  {
    mRemoved.push_back(aRevision);
    return store_result<object_written>{ object_written{ aRevision + 1 } };
  }

  std::optional<stored_object> mObject;
  std::uint64_t mEra = 0;
  int mLists = 0;
  int mWrites = 0;
  std::vector<std::uint64_t> mRemoved; ///< revisions
  kj::Own<kj::PromiseFulfiller<store_result<object_written>>> mOpen;
};

} // namespace

class daemon_registry_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(daemon_registry_test);
  CPPUNIT_TEST(LeavingDaemonDoesNotRegisterAgain);
  CPPUNIT_TEST(RegistrationThatEndsAfterLeavingIsRemoved);
  CPPUNIT_TEST(DaemonRegistersAgainInRestoredStore);
  CPPUNIT_TEST(LeavingDaemonIsRemovedFromRestoredStore);
  CPPUNIT_TEST_SUITE_END();

  /// A daemon that is connected to no other.
  struct daemon
  {
    /// Advances the clocks until the condition holds; false when it does not within the limit.
    template<class condition>
    bool AdvanceUntil(condition aCondition, milliseconds aLimit)
    {
      constexpr milliseconds kStep{ 50 };
      for (milliseconds passed{ 0 }; passed < aLimit && !aCondition(); passed += kStep) {
        mClock.Advance(kStep);
        mTimer.advanceTo(mTimer.now() + kStep.count() * kj::MILLISECONDS);
        mScope.poll();
      }
      return aCondition();
    }

    kj::EventLoop mLoop;
    kj::WaitScope mScope{ mLoop };
    kj::TimerImpl mTimer{ kj::origin<kj::TimePoint>() };
    manual_clock_source mClock;
    fleet_member mSelf{ "vm-0", "127.0.0.1:1", "z" };
    backend_load_tracker mLoadTracker{ backend_load_tracker_settings{} };
    prefix_cache_index mPrefixCacheIndex;
    load_exchange mExchange{ mSelf, {}, mLoadTracker, mPrefixCacheIndex };
    manual_store mStore;
    daemon_registry mRegistry{ mSelf, mStore, mTimer, mClock, 1, mExchange };
    kj::Promise<void> mRunning = mRegistry.Run().eagerlyEvaluate(nullptr);
  };

  /// Guards against a daemon that registers again during its stop, so that others go on to count on
  /// it.
  void LeavingDaemonDoesNotRegisterAgain()
  {
    daemon daemon;
    CPPUNIT_ASSERT(daemon.AdvanceUntil([&] { return daemon.mStore.mWrites == 1; }, seconds{ 5 }));
    daemon.mStore.mOpen->fulfill(object_written{ 7 });
    daemon.mScope.poll();
    const auto leaving = daemon.mRegistry.Leave().eagerlyEvaluate(nullptr);
    const auto lists = daemon.mStore.mLists;
    daemon.AdvanceUntil([] { return false; }, seconds{ 60 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, daemon.mStore.mRemoved.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 7 }, daemon.mStore.mRemoved.front());
    CPPUNIT_ASSERT_EQUAL(1, daemon.mStore.mWrites);
    CPPUNIT_ASSERT_EQUAL(lists, daemon.mStore.mLists);
  }

  /// Guards against an object that stays in the store because the stop began while it was written.
  void RegistrationThatEndsAfterLeavingIsRemoved()
  {
    daemon daemon;
    CPPUNIT_ASSERT(daemon.AdvanceUntil([&] { return daemon.mStore.mWrites == 1; }, seconds{ 5 }));
    const auto leaving = daemon.mRegistry.Leave().eagerlyEvaluate(nullptr);
    daemon.mStore.mOpen->fulfill(object_written{ 7 });
    daemon.AdvanceUntil([] { return false; }, seconds{ 60 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, daemon.mStore.mRemoved.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 7 }, daemon.mStore.mRemoved.front());
    CPPUNIT_ASSERT_EQUAL(1, daemon.mStore.mWrites);
  }

  static constexpr const char* kValue = R"({"address":"127.0.0.1:1","data_centre":"z"})";

  /// Registers the daemon at revision 7, and lists it from then on.
  static void Register(daemon& aDaemon)
  {
    CPPUNIT_ASSERT(aDaemon.AdvanceUntil([&] { return aDaemon.mStore.mWrites == 1; }, seconds{ 5 }));
    aDaemon.mStore.mObject = stored_object{ "vm-0", 7, kValue };
    aDaemon.mStore.mOpen->fulfill(object_written{ 7 });
    aDaemon.AdvanceUntil([] { return false; }, seconds{ 10 });
    CPPUNIT_ASSERT_EQUAL(1, aDaemon.mStore.mWrites);
  }

  /// Guards against a daemon that counts on an object which the store has lost, also when the first
  /// attempt to write it again fails, and against one that writes again and again.
  void DaemonRegistersAgainInRestoredStore()
  {
    daemon daemon;
    Register(daemon);
    constexpr seconds kBound{ 2 };
    daemon.mStore.mEra = 1;
    daemon.mStore.mObject.reset();
    CPPUNIT_ASSERT(daemon.AdvanceUntil([&] { return daemon.mStore.mWrites == 2; }, kBound));
    daemon.mStore.mOpen->fulfill(store_failure{ store_failure::cause::Refused, "" });
    CPPUNIT_ASSERT(daemon.AdvanceUntil([&] { return daemon.mStore.mWrites == 3; }, kBound));
    // The copy has an older object.
    daemon.mStore.mOpen->fulfill(store_failure{ store_failure::cause::Conflict, "" });
    daemon.mScope.poll();
    CPPUNIT_ASSERT_EQUAL(4, daemon.mStore.mWrites);
    daemon.mStore.mObject = stored_object{ "vm-0", PositionOf(1, 5), kValue };
    daemon.mStore.mOpen->fulfill(object_written{ PositionOf(1, 5) });
    daemon.AdvanceUntil([] { return false; }, seconds{ 60 });
    CPPUNIT_ASSERT_EQUAL(4, daemon.mStore.mWrites);
  }

  /// Guards against an object of the copy that stays in the store after its daemon has stopped.
  void LeavingDaemonIsRemovedFromRestoredStore()
  {
    daemon daemon;
    Register(daemon);
    daemon.mStore.mEra = 1;
    daemon.mStore.mObject = stored_object{ "vm-0", PositionOf(1, 3), kValue };
    const auto leaving = daemon.mRegistry.Leave().eagerlyEvaluate(nullptr);
    daemon.AdvanceUntil([] { return false; }, seconds{ 60 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, daemon.mStore.mRemoved.size());
    CPPUNIT_ASSERT_EQUAL(PositionOf(1, 3), daemon.mStore.mRemoved.front());
    CPPUNIT_ASSERT_EQUAL(1, daemon.mStore.mWrites);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(daemon_registry_test);

} // namespace skylarkwind
