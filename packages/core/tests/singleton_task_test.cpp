#include "skylarkwind/singleton_task.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr milliseconds kLease{ 3'000 };
/// An unchanged record may be replaced after this time: call window, lease time and transit.
constexpr milliseconds kWait{ 4'600 };
constexpr milliseconds kReadPeriod{ 700 };
constexpr milliseconds kStoreCallTimeout{ 2'000 };
constexpr std::uint64_t kEra = std::uint64_t{ 1 } << 40U;

task_record
RecordOf(std::string aHolder, std::uint64_t aRevision, std::uint64_t aFencing, std::string aState)
{
  return { aRevision, std::move(aHolder), aFencing, std::move(aState) };
}

} // namespace

/// The decisions of one daemon on a singleton task.
class singleton_task_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(singleton_task_test);
  CPPUNIT_TEST(CreatesTheRecordOnlyWhenWorkIsDue);
  CPPUNIT_TEST(CallsUntilOneSecondAfterTheStartOfTheWrite);
  CPPUNIT_TEST(LateAnswerGivesNoToken);
  CPPUNIT_TEST(WaitsForAnUnchangedRecord);
  CPPUNIT_TEST(ChangedRevisionBeginsTheWaitAgain);
  CPPUNIT_TEST(TokenIsAboveTheOldOneAndNotBelowTheRevision);
  CPPUNIT_TEST(TokenStaysWithoutInterruption);
  CPPUNIT_TEST(LostAnswerIsSettledByARead);
  CPPUNIT_TEST(LostWritesDoNotRaiseTheToken);
  CPPUNIT_TEST(FailedWriteEndsTheCalls);
  CPPUNIT_TEST(AnswerOfAnAbandonedCallIsIgnored);
  CPPUNIT_TEST(RestartedProcessWaitsForItsOwnRecord);
  CPPUNIT_TEST(StateIsStoredWithTheLease);
  CPPUNIT_TEST(StateOfAnotherHolderReplacesAnUnstoredOne);
  CPPUNIT_TEST(OnlyTheFirstRanksReadAndOnlyTheFirstWrites);
  CPPUNIT_TEST(IdleHolderNeitherWritesNorReadsOften);
  CPPUNIT_TEST(OwnRecordDoesNotCountAfterARestoration);
  CPPUNIT_TEST(AbsentRecordOfARestoredStoreIsNotCreatedAtOnce);
  CPPUNIT_TEST(ReadOfALaterEraIsARestoration);
  CPPUNIT_TEST(WriteConfirmedInALaterEraGivesNoToken);
  CPPUNIT_TEST(AnswerOfAnEarlierEraIsIgnored);
  CPPUNIT_TEST_SUITE_END();

  instant mNow{ seconds{ 1'000 } };

  static singleton_task Task() { return singleton_task{ { "a", kLease } }; }

  template<typename action>
  action Expect(singleton_task& aTask, std::size_t aRank = 0, bool aDue = true)
  {
    const auto due = aTask.OnTick(aRank, aDue, mNow);
    CPPUNIT_ASSERT(due.has_value());
    CPPUNIT_ASSERT(std::holds_alternative<action>(*due));
    return std::get<action>(*due);
  }
  void ExpectNothing(singleton_task& aTask, std::size_t aRank = 0, bool aDue = true)
  {
    CPPUNIT_ASSERT(!aTask.OnTick(aRank, aDue, mNow).has_value());
  }
  void Read(singleton_task& aTask, const std::optional<task_record>& aRecord)
  {
    aTask.OnRead(Expect<read_task>(aTask).mCall, aRecord, false, mNow);
  }
  write_task Write(singleton_task& aTask, std::uint64_t aRevision)
  {
    auto write = Expect<write_task>(aTask);
    aTask.OnWritten(write.mCall, aRevision, mNow);
    return write;
  }
  /// A task that has created its record with this revision.
  singleton_task Holder(std::uint64_t aRevision)
  {
    auto task = Task();
    Read(task, std::nullopt);
    Write(task, aRevision);
    return task;
  }
  /// Reads a record of another holder and lets the time pass after which it may be replaced.
  void WaitFor(singleton_task& aTask, const std::optional<task_record>& aRecord)
  {
    Read(aTask, aRecord);
    mNow += kWait - milliseconds{ 1 };
    Read(aTask, aRecord);
    ExpectNothing(aTask);
    mNow += milliseconds{ 1 };
  }
  void AssertToken(std::uint64_t aToken, const singleton_task& aTask)
  {
    const auto token = aTask.Token(mNow);
    CPPUNIT_ASSERT(token.has_value());
    CPPUNIT_ASSERT_EQUAL(aToken, *token);
  }

  /// Guards against writes while no work is due, and against a create that is based on an old read.
  void CreatesTheRecordOnlyWhenWorkIsDue()
  {
    auto task = Task();
    const auto read = Expect<read_task>(task, 0, false);
    task.OnRead(read.mCall, std::nullopt, false, mNow);
    ExpectNothing(task, 0, false);
    mNow += kReadPeriod;
    Read(task, std::nullopt);
    const auto write = Expect<write_task>(task);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, write.mRevision);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, write.mFencing);
    CPPUNIT_ASSERT(!task.Token(mNow));
    task.OnWritten(write.mCall, 1, mNow);
    AssertToken(1, task);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, task.Term());
  }

  /// Guards against calls for which other daemons don't wait: they may have observed the revision
  /// since the start of the write.
  void CallsUntilOneSecondAfterTheStartOfTheWrite()
  {
    auto task = Task();
    Read(task, std::nullopt);
    const auto start = mNow;
    const auto write = Expect<write_task>(task);
    mNow += milliseconds{ 900 };
    task.OnWritten(write.mCall, 1, mNow);
    CPPUNIT_ASSERT(task.CallsUntil() == start + seconds{ 1 });
    mNow = start + milliseconds{ 999 };
    AssertToken(1, task);
    mNow = start + seconds{ 1 };
    CPPUNIT_ASSERT(!task.Token(mNow));
  }

  /// Guards against calls of a daemon that was paused while its write was confirmed.
  void LateAnswerGivesNoToken()
  {
    auto task = Task();
    Read(task, std::nullopt);
    const auto write = Expect<write_task>(task);
    mNow += seconds{ 60 };
    task.OnWritten(write.mCall, 1, mNow);
    CPPUNIT_ASSERT(!task.Token(mNow));
  }

  /// Guards against a takeover less than the call window, lease time and transit after the record
  /// was first seen.
  void WaitsForAnUnchangedRecord()
  {
    auto task = Task();
    const auto record = RecordOf("b", 7, 3, "s");
    WaitFor(task, record);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 7 }, Expect<write_task>(task).mRevision);
  }

  /// Guards against a wait that is counted from an earlier revision.
  void ChangedRevisionBeginsTheWaitAgain()
  {
    auto task = Task();
    Read(task, RecordOf("b", 7, 3, ""));
    mNow += kWait - milliseconds{ 1 };
    WaitFor(task, RecordOf("b", 8, 3, ""));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 8 }, Expect<write_task>(task).mRevision);
  }

  /// Guards against tokens that another daemon has used, also when the record that held the last
  /// one is lost.
  void TokenIsAboveTheOldOneAndNotBelowTheRevision()
  {
    auto task = Task();
    WaitFor(task, RecordOf("b", 7, 7, ""));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 8 }, Expect<write_task>(task).mFencing);
    auto other = Task();
    WaitFor(other, RecordOf("b", 9, 2, ""));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 }, Expect<write_task>(other).mFencing);
  }

  /// Guards against a call that is carried out late with a lower token than a later one of the same
  /// holder.
  void TokenStaysWithoutInterruption()
  {
    auto task = Holder(5);
    mNow += seconds{ 90 };
    const auto write = Write(task, 8);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 5 }, write.mRevision);
    AssertToken(1, task);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, task.Term());
  }

  /// Guards against calls after a write with an unknown outcome, and against a wait for a record
  /// that this daemon wrote itself.
  void LostAnswerIsSettledByARead()
  {
    auto task = Task();
    Read(task, std::nullopt);
    Expect<write_task>(task);
    mNow += kStoreCallTimeout;
    const auto read = Expect<read_task>(task);
    CPPUNIT_ASSERT(!task.Token(mNow));
    task.OnRead(read.mCall, RecordOf("a", 1, 1, ""), false, mNow);
    CPPUNIT_ASSERT(!task.Token(mNow));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, Write(task, 2).mRevision);
    AssertToken(1, task);
  }

  /// Guards against a token above the revision of its write, which is read as a damaged record: its
  /// state would be lost, and the next holder would take a lower token.
  void LostWritesDoNotRaiseTheToken()
  {
    auto task = Task();
    const auto record = RecordOf("b", 7, 7, "s");
    for (int i = 0; i < 4; ++i) {
      WaitFor(task, record);
      CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 8 }, Expect<write_task>(task).mFencing);
      mNow += kStoreCallTimeout;
    }
  }

  /// Guards against calls after another daemon wrote the record.
  void FailedWriteEndsTheCalls()
  {
    auto task = Holder(5);
    task.SetState("s");
    const auto write = Expect<write_task>(task);
    AssertToken(1, task);
    task.OnWritten(write.mCall, std::nullopt, mNow);
    CPPUNIT_ASSERT(!task.Token(mNow));
    CPPUNIT_ASSERT(!task.HasNewState());
    Read(task, RecordOf("b", 6, 5, ""));
    ExpectNothing(task);
  }

  /// Guards against the answer of an abandoned call that is taken for that of the current one.
  void AnswerOfAnAbandonedCallIsIgnored()
  {
    auto task = Task();
    Read(task, std::nullopt);
    const auto write = Expect<write_task>(task);
    mNow += kStoreCallTimeout;
    const auto read = Expect<read_task>(task);
    task.OnWritten(write.mCall, 1, mNow);
    CPPUNIT_ASSERT(!task.Token(mNow));
    task.OnRead(read.mCall, RecordOf("b", 2, 2, ""), false, mNow);
    task.OnRead(read.mCall, std::nullopt, false, mNow);
    ExpectNothing(task);
  }

  /// Guards against a process that takes the record of its predecessor of the same name for its own
  /// and begins without a wait.
  void RestartedProcessWaitsForItsOwnRecord()
  {
    auto task = Task();
    WaitFor(task, RecordOf("a", 7, 7, "s"));
    const auto write = Expect<write_task>(task);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 8 }, write.mFencing);
    CPPUNIT_ASSERT_EQUAL(std::string{ "s" }, write.mState);
  }

  /// Guards against a state that counts as stored before its write is confirmed, or is not written
  /// during the time for calls.
  void StateIsStoredWithTheLease()
  {
    auto task = Holder(5);
    task.SetState("s");
    CPPUNIT_ASSERT(task.HasNewState());
    const auto write = Expect<write_task>(task);
    CPPUNIT_ASSERT_EQUAL(std::string{ "s" }, write.mState);
    CPPUNIT_ASSERT_EQUAL(std::string{}, task.StoredState());
    task.SetState("t");
    task.OnWritten(write.mCall, 6, mNow);
    CPPUNIT_ASSERT_EQUAL(std::string{ "s" }, task.StoredState());
    CPPUNIT_ASSERT_EQUAL(std::string{ "t" }, Write(task, 7).mState);
    CPPUNIT_ASSERT(!task.HasNewState());
    ExpectNothing(task);
  }

  /// Guards against a holder that overwrites the state of another one with an older plan of its
  /// own.
  void StateOfAnotherHolderReplacesAnUnstoredOne()
  {
    auto task = Holder(5);
    mNow += seconds{ 2 };
    task.SetState("old");
    task.OnWritten(Expect<write_task>(task).mCall, std::nullopt, mNow);
    task.SetState("older");
    WaitFor(task, RecordOf("b", 9, 6, "new"));
    CPPUNIT_ASSERT_EQUAL(std::string{ "new" }, Write(task, 10).mState);
    CPPUNIT_ASSERT_EQUAL(std::string{ "new" }, task.StoredState());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, task.Term());
  }

  /// Guards against contention and reads by all daemons of a large fleet.
  void OnlyTheFirstRanksReadAndOnlyTheFirstWrites()
  {
    constexpr std::size_t kStandby = 2;
    auto task = Task();
    ExpectNothing(task, kStandby + 1);
    const auto read = Expect<read_task>(task, kStandby);
    task.OnRead(read.mCall, RecordOf("b", 7, 7, ""), false, mNow);
    mNow += milliseconds{ 900 };
    ExpectNothing(task, kStandby);
    mNow += milliseconds{ 100 };
    Expect<read_task>(task, kStandby);
  }

  /// Guards against store calls of an idle task beyond one read a second.
  void IdleHolderNeitherWritesNorReadsOften()
  {
    auto task = Holder(5);
    mNow += milliseconds{ 900 };
    ExpectNothing(task, 0, false);
    mNow += milliseconds{ 100 };
    Expect<read_task>(task, 0, false);
  }

  /// Guards against a daemon that goes on with its record of a restored store, which may be from
  /// before another daemon held the task.
  void OwnRecordDoesNotCountAfterARestoration()
  {
    auto task = Holder(5);
    task.OnStoreRestored(kEra, mNow);
    CPPUNIT_ASSERT(!task.Token(mNow));
    WaitFor(task, RecordOf("a", kEra + 5, 1, "s"));
    const auto write = Expect<write_task>(task);
    CPPUNIT_ASSERT_EQUAL(kEra + 5, write.mFencing);
    task.OnWritten(write.mCall, kEra + 6, mNow);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, task.Term());
  }

  /// Guards against a create while the holder of the lost record still makes calls, and against its
  /// token being used again.
  void AbsentRecordOfARestoredStoreIsNotCreatedAtOnce()
  {
    auto task = Task();
    Read(task, RecordOf("b", 7, 7, ""));
    task.OnStoreRestored(kEra, mNow);
    WaitFor(task, std::nullopt);
    const auto write = Expect<write_task>(task);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, write.mRevision);
    CPPUNIT_ASSERT_EQUAL(kEra + 1, write.mFencing);
  }

  /// Guards against a daemon that learns of the restoration from its own read only and takes the
  /// restored record for its current one.
  void ReadOfALaterEraIsARestoration()
  {
    auto task = Holder(5);
    mNow += seconds{ 3 };
    const auto read = Expect<read_task>(task, 0, false);
    const auto record = RecordOf("a", kEra + 5, 1, "");
    task.OnRead(read.mCall, record, false, mNow);
    mNow += kWait - milliseconds{ 1 };
    Read(task, record);
    ExpectNothing(task);
    mNow += milliseconds{ 1 };
    CPPUNIT_ASSERT_EQUAL(kEra + 5, Expect<write_task>(task).mFencing);
  }

  /// Guards against a conditional write that replaces the record of a new holder, since the
  /// restored store has given out the same revision again.
  void WriteConfirmedInALaterEraGivesNoToken()
  {
    auto task = Holder(5);
    mNow += seconds{ 3 };
    const auto write = Expect<write_task>(task);
    task.OnWritten(write.mCall, kEra + 6, mNow);
    CPPUNIT_ASSERT(!task.Token(mNow));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, task.Term());
    WaitFor(task, RecordOf("a", kEra + 6, 1, ""));
    CPPUNIT_ASSERT_EQUAL(kEra + 6, Expect<write_task>(task).mFencing);
  }

  /// Guards against a record from before the restoration that arrives after it.
  void AnswerOfAnEarlierEraIsIgnored()
  {
    auto task = Task();
    task.OnStoreRestored(kEra, mNow);
    Read(task, RecordOf("b", 7, 7, "old"));
    CPPUNIT_ASSERT_EQUAL(std::string{}, task.StoredState());
    Read(task, RecordOf("b", kEra + 3, 2, "restored"));
    CPPUNIT_ASSERT_EQUAL(std::string{ "restored" }, task.StoredState());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(singleton_task_test);

} // namespace skylarkwind
