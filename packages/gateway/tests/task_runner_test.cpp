#include "task_runner_p.h"

#include <cppunit/extensions/HelperMacros.h>
#include <kj/async.h>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kEra = std::uint64_t{ 1 } << 40U;
/// An unchanged record may be replaced after this time.
constexpr milliseconds kWait{ 4'600 };
constexpr milliseconds kTick{ 100 };

/// A store with one object at most.
class era_store final : public object_store
{
public:
  ~era_store() noexcept override = default;
  std::uint64_t Era() const override { return mEra; }

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
    mEra = mEraOfAnswers;
    if (mRevision == 0) {
      return store_result<stored_object>{ store_failure{ store_failure::cause::Missing, {} } };
    }
    return store_result<stored_object>{ stored_object{ std::move(aName), mRevision, mValue } };
  }
  kj::Promise<store_result<object_written>> Write(std::string,
                                                  std::string,
                                                  std::optional<std::uint64_t> aRevision,
                                                  std::string aValue) override
  {
    mEra = mEraOfAnswers;
    ++mWrites;
    if (aRevision.value_or(0) != mRevision) {
      return store_result<object_written>{ store_failure{ store_failure::cause::Conflict, {} } };
    }
    mValue = std::move(aValue);
    mRevision = std::max(mRevision, mEra * kEra) + 1;
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

  std::uint64_t mEra = 0;          ///< of the last answer
  std::uint64_t mEraOfAnswers = 0; ///< of the next answers
  std::uint64_t mRevision = 0;
  std::string mValue;
  int mWrites = 0;
};

} // namespace

/// The record of a singleton task in the store.
class task_runner_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(task_runner_test);
  CPPUNIT_TEST(RecordIsWrittenAndReadBack);
  CPPUNIT_TEST(DamagedRecordIsReplacedAboveItsRevision);
  CPPUNIT_TEST(NewProcessDoesNotCreateAtOnceInARestoredStore);
  CPPUNIT_TEST(HolderStopsWhenTheStoreWasRestored);
  CPPUNIT_TEST_SUITE_END();

  struct process : private kj::TaskSet::ErrorHandler
  {
    void Tick()
    {
      mClock.Advance(kTick);
      mRunner.OnTick(0, true, mClock.Now());
      mScope.poll();
    }
    std::optional<std::uint64_t> Token() { return mRunner.Task().Token(mClock.Now()); }
    /// The time until the first token, at most ten seconds.
    milliseconds Acquire()
    {
      milliseconds time{};
      while (!Token() && time < seconds{ 10 }) {
        Tick();
        time += kTick;
      }
      CPPUNIT_ASSERT(Token().has_value());
      return time;
    }
    void taskFailed(kj::Exception&& aException) override
    {
      mFailure = aException.getDescription().cStr();
    }

    kj::EventLoop mLoop;
    kj::WaitScope mScope{ mLoop };
    manual_clock_source mClock;
    era_store mStore;
    std::string mFailure;
    kj::TaskSet mTasks{ *this };
    task_runner mRunner{ "t", { "a" }, mStore, mClock, mTasks };
  };

  /// Guards against a record that other daemons can't read.
  void RecordIsWrittenAndReadBack()
  {
    process first;
    first.Acquire();
    first.mRunner.Task().SetState("s\"1");
    first.Tick();
    CPPUNIT_ASSERT_EQUAL(std::string{ R"({"fencing":1,"holder":"a","state":"s\"1"})" },
                         first.mStore.mValue);
    CPPUNIT_ASSERT_EQUAL(std::string{}, first.mFailure);
    first.mStore.mValue = R"({"fencing":2,"holder":"b","state":"s2"})";
    ++first.mStore.mRevision;
    first.mClock.Advance(seconds{ 2 });
    CPPUNIT_ASSERT(first.Acquire() >= kWait);
    CPPUNIT_ASSERT_EQUAL(std::string{ "s2" }, first.mRunner.Task().StoredState());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, *first.Token());
  }

  /// Guards against a token at the end of the range of numbers, or one that was used before.
  void DamagedRecordIsReplacedAboveItsRevision()
  {
    for (const auto* text : { "",
                              "[]",
                              R"({"holder":1})",
                              R"({"holder":"a","fencing":-1})",
                              R"({"holder":"a","fencing":18446744073709551615,"state":"s"})" }) {
      process damaged;
      damaged.mStore.mRevision = 7;
      damaged.mStore.mValue = text;
      CPPUNIT_ASSERT(damaged.Acquire() >= kWait);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 8 }, *damaged.Token());
      CPPUNIT_ASSERT_EQUAL(std::string{}, damaged.mRunner.Task().StoredState());
    }
  }

  /// Guards against a create while the holder of the lost record may still call: a process that has
  /// just started learns only from the answer that the store was restored.
  void NewProcessDoesNotCreateAtOnceInARestoredStore()
  {
    process started;
    started.mStore.mEraOfAnswers = 1;
    CPPUNIT_ASSERT(started.Acquire() >= kWait);
    CPPUNIT_ASSERT_EQUAL(kEra + 1, *started.Token());
    CPPUNIT_ASSERT_EQUAL(1, started.mStore.mWrites);
  }

  /// Guards against calls and writes of a holder whose record is from an older copy of the store.
  void HolderStopsWhenTheStoreWasRestored()
  {
    process holder;
    holder.Acquire();
    holder.mStore.mEra = 1;
    holder.mStore.mEraOfAnswers = 1;
    holder.mStore.mRevision = kEra + 1;
    holder.Tick();
    CPPUNIT_ASSERT(!holder.Token());
    CPPUNIT_ASSERT_EQUAL(1, holder.mStore.mWrites);
    CPPUNIT_ASSERT(holder.Acquire() >= kWait - kTick);
    CPPUNIT_ASSERT_EQUAL(kEra + 1, *holder.Token());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, holder.mRunner.Task().Term());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(task_runner_test);

} // namespace skylarkwind
