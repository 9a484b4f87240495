#include "quarantine_sync_p.h"

#include "skylarkwind/backend_load_tracker.h"
#include "skylarkwind/prefix_cache_index.h"
#include "skylarkwind/quarantine_json.h"
#include "skylarkwind/store_position.h"

#include <cppunit/extensions/HelperMacros.h>
#include <kj/async.h>

#include <memory>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

/// A store with one object, which is reachable or not.
class one_object_store final : public object_store
{
public:
  ~one_object_store() noexcept override = default;

  kj::Promise<store_result<object_page>> List(std::string, std::string, bool) override
  {
    return store_result<object_page>{ store_failure{} };
  }
  kj::Promise<store_result<object_changes>> Watch(std::string, std::uint64_t, milliseconds) override
  {
    return store_result<object_changes>{ store_failure{} };
  }
  kj::Promise<store_result<stored_object>> Read(std::string, std::string aName) override
  {
    ++mReads;
    if (!mReachable) {
      return store_result<stored_object>{ store_failure{} };
    }
    if (RevisionOf(mRevision) == 0) {
      return store_result<stored_object>{ store_failure{ store_failure::cause::Missing, {} } };
    }
    return store_result<stored_object>{ stored_object{ std::move(aName), mRevision, mValue } };
  }
  kj::Promise<store_result<object_written>> Write(std::string,
                                                  std::string,
                                                  std::optional<std::uint64_t> aRevision,
                                                  std::string aValue) override
  {
    ++mWrites;
    if (!mReachable) {
      return store_result<object_written>{ store_failure{} };
    }
    if (aRevision.value_or(PositionOf(Era(), 0)) != mRevision) {
      return store_result<object_written>{ store_failure{ store_failure::cause::Conflict, {} } };
    }
    mValue = std::move(aValue);
    ++mRevision;
    if (mLosesAnswers) {
      return store_result<object_written>{ store_failure{} };
    }
    return store_result<object_written>{ object_written{ mRevision } };
  }
  kj::Promise<store_result<object_written>> Replace(std::string, std::string, std::string) override
  {
    return store_result<object_written>{ store_failure{} };
  }
  kj::Promise<store_result<object_written>> Remove(std::string, std::string, std::uint64_t) override
  {
    return store_result<object_written>{ store_failure{} };
  }

  std::uint64_t Era() const override { return EraOf(mRevision); }
  /// Comes back from a copy.
  void Restore(std::uint64_t aRevision, std::string aValue)
  {
    mRevision = PositionOf(Era() + 1, aRevision);
    mValue = std::move(aValue);
  }

  bool mReachable = true;
  bool mLosesAnswers = false;
  std::uint64_t mRevision = 0; ///< position; no object while the store's own revision is 0
  std::string mValue;
  int mReads = 0;
  int mWrites = 0;
};

} // namespace

/// Daemons that share the state of their quarantine by datagrams, by the store, or by both.
class quarantine_sync_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(quarantine_sync_test);
  CPPUNIT_TEST(DaemonsWithoutDatagramsShareTheStore);
  CPPUNIT_TEST(DaemonsWithoutStoreShareDatagrams);
  CPPUNIT_TEST(DaemonThatStartsReadsTheStore);
  CPPUNIT_TEST(DaemonThatStartsWithoutStoreAsksItsPeers);
  CPPUNIT_TEST(OnlyOneDaemonSendsAProbe);
  CPPUNIT_TEST(ProbeIsNotSentWithoutAnAnswerOfTheStore);
  CPPUNIT_TEST(InvalidObjectIsReplaced);
  CPPUNIT_TEST(CallsOfTheStoreAreFew);
  CPPUNIT_TEST(DatagramSurvivesItsBytes);
  CPPUNIT_TEST(StateIsWrittenAgainIntoRestoredStore);
  CPPUNIT_TEST_SUITE_END();

  static constexpr prompt_part kPart = 0xbad;
  static constexpr milliseconds kContact{ 3'000 };
  /// As many as may happen: five, and three more requests that reach engines.
  static constexpr int kCrashes = 8;

  struct fleet : private kj::TaskSet::ErrorHandler
  {
    struct daemon
    {
      daemon(fleet& aFleet, int aNumber)
        : mSelf{ "vm-" + std::to_string(aNumber), "127.0.0.1:" + std::to_string(aNumber + 1), "z" }
        , mQuarantine(quarantine_settings{}, aFleet.mClock.Now())
        , mSync(
            mQuarantine,
            aFleet.mStore,
            aFleet.mClock,
            mExchange,
            aFleet.mTasks,
            mCounters,
            static_cast<std::uint64_t>(aNumber),
            [&aFleet](const std::string& aBytes, std::span<const std::string> aTo) {
              for (const auto& to : aTo) {
                aFleet.mDatagrams.emplace_back(to, aBytes);
              }
            },
            [this] { ++mNotified; })
      {
      }

      fleet_member mSelf;
      backend_load_tracker mLoadTracker{ backend_load_tracker_settings{} };
      prefix_cache_index mPrefixCacheIndex;
      load_exchange mExchange{ mSelf, {}, mLoadTracker, mPrefixCacheIndex };
      counters mCounters;
      prompt_quarantine mQuarantine;
      quarantine_sync mSync;
      int mNotified = 0;
    };

    explicit fleet(int aDaemons)
      : mScope(mLoop)
      , mTasks(*this)
    {
      for (int i = 0; i < aDaemons; ++i) {
        Add();
      }
      Pass(seconds{ 3 });
    }
    daemon& Add()
    {
      mDaemons.push_back(std::make_unique<daemon>(*this, static_cast<int>(mDaemons.size())));
      for (auto& one : mDaemons) {
        for (auto& other : mDaemons) {
          if (mHasDatagrams && one != other) {
            one->mExchange.OnListed(other->mSelf, mClock.Now());
          }
        }
      }
      return *mDaemons.back();
    }
    void Pass(milliseconds aTime)
    {
      constexpr milliseconds kTick{ 25 };
      for (milliseconds passed{ 0 }; passed < aTime; passed += kTick) {
        mClock.Advance(kTick);
        for (auto& one : mDaemons) {
          one->mSync.OnTick(18, mClock.Now());
        }
        mScope.poll();
        for (const auto& [to, bytes] : std::exchange(mDatagrams, {})) {
          Deliver(to, bytes);
        }
      }
    }
    void Deliver(const std::string& aTo, const std::string& aBytes)
    {
      for (auto& one : mDaemons) {
        const auto message = DecodeQuarantine(aBytes, mClock.Now());
        CPPUNIT_ASSERT(message.has_value());
        if (mHasDatagrams && one->mSelf.mAddress == aTo) {
          one->mSync.OnMessage(*message);
        }
      }
    }
    /// Each crash is seen by one daemon only.
    void CrashEngines(int aCount)
    {
      for (int i = 0; i < aCount; ++i) {
        auto& witness = *mDaemons[static_cast<std::size_t>(i) % mDaemons.size()];
        witness.mQuarantine.OnCrash(
          ++mEngine, std::vector<crash_part>{ { kPart, 1 } }, mClock.Now());
        Pass(milliseconds{ 200 });
      }
    }
    bool AllHold() const
    {
      return std::all_of(mDaemons.begin(), mDaemons.end(), [](const auto& aDaemon) {
        return aDaemon->mQuarantine.Holds(std::vector{ kPart });
      });
    }
    void taskFailed(kj::Exception&& aError) override
    {
      CPPUNIT_FAIL(aError.getDescription().cStr());
    }

    kj::EventLoop mLoop;
    kj::WaitScope mScope;
    manual_clock_source mClock;
    kj::TaskSet mTasks;
    one_object_store mStore;
    bool mHasDatagrams = false;
    std::vector<std::pair<std::string, std::string>> mDatagrams;
    std::uint64_t mEngine = 0;
    std::vector<std::unique_ptr<daemon>> mDaemons;
  };

  /// Guards against daemons that can't reach each other and count their crashes alone.
  void DaemonsWithoutDatagramsShareTheStore()
  {
    fleet fleet{ 5 };
    fleet.CrashEngines(kCrashes);
    fleet.Pass(kContact);
    CPPUNIT_ASSERT(fleet.AllHold());
    for (const auto& daemon : fleet.mDaemons) {
      CPPUNIT_ASSERT_EQUAL(1, daemon->mNotified);
    }
  }

  /// Guards against a decision that needs the store.
  void DaemonsWithoutStoreShareDatagrams()
  {
    fleet fleet{ 0 };
    fleet.mStore.mReachable = false;
    fleet.mHasDatagrams = true;
    for (int i = 0; i < 5; ++i) {
      fleet.Add();
    }
    fleet.Pass(seconds{ 3 });
    fleet.CrashEngines(kCrashes);
    fleet.Pass(seconds{ 1 });
    CPPUNIT_ASSERT(fleet.AllHold());
  }

  /// Guards against a fleet that forgets with its last daemon.
  void DaemonThatStartsReadsTheStore()
  {
    fleet fleet{ 2 };
    fleet.CrashEngines(kCrashes);
    fleet.Pass(kContact);
    fleet.mDaemons.clear();
    fleet.Add();
    fleet.Pass(milliseconds{ 100 });
    CPPUNIT_ASSERT(fleet.AllHold());
  }

  void DaemonThatStartsWithoutStoreAsksItsPeers()
  {
    fleet fleet{ 0 };
    fleet.mHasDatagrams = true;
    fleet.Add();
    fleet.Pass(seconds{ 3 });
    fleet.CrashEngines(kCrashes);
    fleet.Pass(seconds{ 3 });
    fleet.mStore.mReachable = false;
    fleet.Add();
    fleet.Pass(milliseconds{ 300 });
    CPPUNIT_ASSERT(fleet.AllHold());
  }

  /// Guards against a probe of each daemon.
  void OnlyOneDaemonSendsAProbe()
  {
    fleet fleet{ 4 };
    fleet.CrashEngines(kCrashes);
    fleet.Pass(seconds{ 29 });
    int probes = 0;
    for (int i = 0; i < 200; ++i) {
      for (auto& daemon : fleet.mDaemons) {
        const auto decision = daemon->mQuarantine.Decide(std::vector{ kPart }, fleet.mClock.Now());
        probes += std::holds_alternative<request_admitted_as_probe>(decision) ? 1 : 0;
      }
      fleet.Pass(milliseconds{ 100 });
    }
    CPPUNIT_ASSERT_EQUAL(1, probes);
  }

  void ProbeIsNotSentWithoutAnAnswerOfTheStore()
  {
    fleet fleet{ 2 };
    fleet.CrashEngines(kCrashes);
    fleet.Pass(seconds{ 29 });
    fleet.mStore.mLosesAnswers = true;
    for (int i = 0; i < 100; ++i) {
      for (auto& daemon : fleet.mDaemons) {
        CPPUNIT_ASSERT(std::holds_alternative<request_quarantined>(
          daemon->mQuarantine.Decide(std::vector{ kPart }, fleet.mClock.Now())));
      }
      fleet.Pass(milliseconds{ 100 });
    }
  }

  /// Guards against an object of a foreign writer that stops the exchange of states.
  void InvalidObjectIsReplaced()
  {
    fleet fleet{ 3 };
    fleet.mStore.mValue = "{\"parts\":7}";
    ++fleet.mStore.mRevision;
    fleet.CrashEngines(kCrashes);
    fleet.Pass(kContact);
    CPPUNIT_ASSERT(fleet.AllHold());
    CPPUNIT_ASSERT(fleet.mStore.mValue.find("bad") != std::string::npos);
  }

  /// Guards against calls that never end once the store has everything.
  void CallsOfTheStoreAreFew()
  {
    fleet fleet{ 4 };
    fleet.CrashEngines(kCrashes);
    fleet.Pass(seconds{ 5 });
    const auto reads = fleet.mStore.mReads;
    const auto writes = fleet.mStore.mWrites;
    fleet.Pass(seconds{ 20 });
    CPPUNIT_ASSERT_EQUAL(writes, fleet.mStore.mWrites);
    CPPUNIT_ASSERT(fleet.mStore.mReads - reads <= 4 * 20 + 4);
  }

  void DatagramSurvivesItsBytes()
  {
    const instant now{ seconds{ 1'000 } };
    quarantine_message message{ "10.0.0.1:7", true, {} };
    message.mState.mParts.push_back({ kPart, 2, true, now, now, 4, 1, now });
    const auto bytes = EncodeQuarantine(message, now);
    CPPUNIT_ASSERT(IsQuarantineMessage(bytes));
    const auto read = DecodeQuarantine(bytes, now);
    CPPUNIT_ASSERT(read.has_value());
    CPPUNIT_ASSERT_EQUAL(message.mSender, read->mSender);
    CPPUNIT_ASSERT(read->mAsks);
    CPPUNIT_ASSERT_EQUAL(2U, read->mState.mParts.front().mTerm);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
      CPPUNIT_ASSERT(!DecodeQuarantine(bytes.substr(0, size), now).has_value());
    }
  }

  /// Guards against a quarantine that only the running daemons know of, because the object that
  /// they have written is gone from the store or is an older one, and against a call of each
  /// daemon.
  void StateIsWrittenAgainIntoRestoredStore()
  {
    for (const bool datagrams : { true, false }) {
      for (const bool older : { true, false }) {
        fleet fleet{ 0 };
        fleet.mHasDatagrams = datagrams;
        for (int i = 0; i < 6; ++i) {
          fleet.Add();
        }
        fleet.Pass(seconds{ 3 });
        fleet.CrashEngines(1);
        fleet.Pass(seconds{ 3 });
        const auto revision = RevisionOf(fleet.mStore.mRevision);
        const auto value = fleet.mStore.mValue;
        CPPUNIT_ASSERT(!value.empty());
        fleet.CrashEngines(kCrashes - 1);
        fleet.Pass(seconds{ 15 });
        CPPUNIT_ASSERT(fleet.AllHold());
        const auto writes = fleet.mStore.mWrites;
        const auto reads = fleet.mStore.mReads;
        fleet.mStore.Restore(older ? revision : 0, older ? value : std::string{});
        fleet.Pass(seconds{ 2 });
        CPPUNIT_ASSERT(fleet.mStore.mWrites > writes);
        const auto stored = QuarantineFromJson(fleet.mStore.mValue, fleet.mClock.Now());
        CPPUNIT_ASSERT(stored.has_value());
        prompt_quarantine started{ quarantine_settings{}, fleet.mClock.Now() };
        started.Merge(*stored, fleet.mClock.Now());
        CPPUNIT_ASSERT(started.Holds(std::vector{ kPart }));
        CPPUNIT_ASSERT(fleet.AllHold());
        // Daemons without contact read once a second. The return makes each of them read once more,
        // and again when another one has written first.
        constexpr int kReads = 6 * (2 + 2);
        CPPUNIT_ASSERT_MESSAGE(std::to_string(fleet.mStore.mReads - reads),
                               fleet.mStore.mReads - reads <= kReads);
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(quarantine_sync_test);

} // namespace skylarkwind
