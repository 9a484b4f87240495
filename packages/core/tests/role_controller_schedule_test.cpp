#include "role_controller_fixture.h"
#include "schedules.h"

#include "skylarkwind/store_position.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::uint64_t kSeed = 20'261'205;
constexpr int kSchedules = 2'000;
/// The controller abandons a call to the store after this time.
constexpr milliseconds kStoreCallTimeout{ 2'000 };
/// Once faults have ended, some daemon sends commands within this time.
constexpr milliseconds kMaxAcquisition{ 15'000 };

/// How the store handles the calls of one daemon for a time.
struct store_mood
{
  milliseconds mRequestDelay{}; ///< until the store executes a call
  milliseconds mReplyDelay{};   ///< until the daemon gets the result
  bool mLosesRequests = false;  ///< the call fails after both delays, and is not executed
  bool mLosesReplies = false;   ///< the call is executed, and fails after both delays
};

/// Daemons that always have commands to send, and one store that executes calls late, loses them or
/// loses their results. A paused daemon handles neither results nor ticks; afterwards it handles
/// either first.
class delayed_store_simulation
{
public:
  explicit delayed_store_simulation(std::size_t aDaemons)
  {
    for (std::size_t i = 0; i < aDaemons; ++i) {
      mDaemons.push_back({ role_controller{ { "d" + std::to_string(i), 0.5, kLease } }, {}, {} });
    }
  }

  void SetMood(std::size_t aDaemon, store_mood aMood) { mDaemons[aDaemon].mMood = aMood; }
  void SetPaused(std::size_t aDaemon, bool aPaused) { mDaemons[aDaemon].mPaused = aPaused; }
  /// Whether a daemon is told of a new era before it gets the answer that says so.
  void SetTellsOfEra(bool aTellsOfEra) { mTellsOfEra = aTellsOfEra; }
  /// Whether ticks come before the results that are due in the same step.
  void SetTicksFirst(bool aTicksFirst) { mTicksFirst = aTicksFirst; }
  /// Deletes the stored lease. The revisions of the store go on.
  void RemoveLease() { mLease.reset(); }
  /// Restores the store from a copy of this age and gives out its revisions again in a new era. A
  /// daemon learns of it from its next answer.
  void Restore(milliseconds aAge)
  {
    const auto copy = std::find_if(mCopies.rbegin(), mCopies.rend(), [&](const store_copy& aCopy) {
      return aCopy.mAt <= mNow - aAge;
    });
    mLease = copy == mCopies.rend() ? std::nullopt : copy->mLease;
    mRevision = mLease ? mLease->mRevision : 0;
    mCopies.push_back({ mLease, mNow });
    ++mEra;
  }
  /// Replaces a daemon by a new process of the same name.
  void Restart(std::size_t aDaemon)
  {
    auto& daemon = mDaemons[aDaemon];
    daemon.mRoleController = role_controller{ { "d" + std::to_string(aDaemon), 0.5, kLease } };
    daemon.mQueries.clear();
    daemon.mKnownEra = 0;
    for (auto& call : daemon.mCalls) {
      call.mIsOfEarlierProcess = true;
    }
  }

  void Step()
  {
    mNow += kStep;
    for (std::size_t i = 0; i < mDaemons.size(); ++i) {
      ExecuteDueCalls(mDaemons[i], i);
      if (mDaemons[i].mPaused) {
        continue;
      }
      if (mTicksFirst) {
        Tick(i);
        DeliverResults(i);
      } else {
        DeliverResults(i);
        Tick(i);
      }
    }
  }

  const std::vector<sent_command>& Commands() const { return mCommands; }
  const std::vector<command_lease>& Writes() const { return mWrites; }

private:
  struct store_call
  {
    role_action mAction;
    store_mood mMood;
    instant mExecuteAt{};
    instant mDeliverAt{};
    bool mExecuted = false;
    std::optional<command_lease> mRead;
    std::optional<std::uint64_t> mWritten;
    std::uint64_t mEra = 0; ///< of the store when it executed the call
    bool mIsOfEarlierProcess = false;
  };
  struct store_copy
  {
    std::optional<command_lease> mLease;
    instant mAt{};
  };
  struct daemon
  {
    role_controller mRoleController;
    store_mood mMood;
    std::vector<store_call> mCalls;
    bool mPaused = false;
    std::vector<query_engine_state> mQueries;
    std::uint64_t mKnownEra = 0;
  };

  void ExecuteDueCalls(daemon& aDaemon, std::size_t aIndex)
  {
    for (auto& call : aDaemon.mCalls) {
      if (call.mExecuted || mNow < call.mExecuteAt) {
        continue;
      }
      call.mExecuted = true;
      if (call.mMood.mLosesRequests) {
        continue;
      }
      call.mEra = mEra;
      const auto* write = std::get_if<write_lease>(&call.mAction);
      // The store compares plain revisions: it doesn't know from which era they are.
      if (write == nullptr) {
        call.mRead = mLease;
      } else if (write->mRevision - StartOfEra(EraOf(write->mRevision)) ==
                 (mLease ? mLease->mRevision : 0)) {
        mLease = command_lease{ ++mRevision, "d" + std::to_string(aIndex), write->mFencing };
        mWrites.push_back(*mLease);
        mCopies.push_back({ mLease, mNow });
        call.mWritten = mRevision;
      }
    }
  }

  void DeliverResults(std::size_t aIndex)
  {
    auto& daemon = mDaemons[aIndex];
    std::vector<store_call> due;
    std::erase_if(daemon.mCalls, [&](const store_call& aCall) {
      if (!aCall.mExecuted || mNow < aCall.mDeliverAt) {
        return false;
      }
      due.push_back(aCall);
      return true;
    });
    for (auto& call : due) {
      if (call.mIsOfEarlierProcess) {
        continue;
      }
      bool failed = call.mMood.mLosesRequests || call.mMood.mLosesReplies;
      if (!failed && call.mEra > daemon.mKnownEra) {
        daemon.mKnownEra = call.mEra;
        // Otherwise the revision in the answer says it.
        if (mTellsOfEra || (!call.mRead && !call.mWritten)) {
          daemon.mRoleController.OnStoreRestored(StartOfEra(call.mEra), mNow);
        }
      }
      failed = failed || call.mEra < daemon.mKnownEra;
      if (call.mRead) {
        call.mRead->mRevision += StartOfEra(call.mEra);
      }
      if (call.mWritten) {
        *call.mWritten += StartOfEra(call.mEra);
      }
      if (const auto* read = std::get_if<read_lease>(&call.mAction)) {
        daemon.mRoleController.OnLeaseRead(
          read->mCall, failed ? std::nullopt : call.mRead, failed, mNow);
      } else if (const auto* write = std::get_if<write_lease>(&call.mAction)) {
        daemon.mRoleController.OnLeaseWritten(
          write->mCall, failed ? std::nullopt : call.mWritten, mNow);
      }
    }
    for (const auto& query : std::exchange(daemon.mQueries, {})) {
      engine_state_report report;
      report.mRole = engine_role::Decode;
      Execute(aIndex,
              daemon.mRoleController.OnEngineState(query.mCall, query.mBackendId, report, mNow));
    }
  }

  void Tick(std::size_t aIndex)
  {
    // Every daemon has rank 0, so that mutual exclusion rests on the lease alone.
    Execute(aIndex, mDaemons[aIndex].mRoleController.OnTick(ServiceWithACommandDue(), 0, mNow));
  }

  void Execute(std::size_t aIndex, const std::vector<role_action>& aActions)
  {
    auto& daemon = mDaemons[aIndex];
    for (const auto& action : aActions) {
      if (const auto* query = std::get_if<query_engine_state>(&action)) {
        daemon.mQueries.push_back(*query);
      } else if (const auto* send = std::get_if<send_role_command>(&action)) {
        if (mNow < send->mNotAfter) {
          mCommands.push_back({ aIndex, send->mOrder.mFencing, mNow });
        }
        daemon.mRoleController.OnRoleCommandResult(
          send->mCall, send->mOrder.mBackendId, role_command_result::Unchanged, mNow);
      } else {
        const auto& mood = daemon.mMood;
        daemon.mCalls.push_back({ action,
                                  mood,
                                  mNow + mood.mRequestDelay,
                                  mNow + mood.mRequestDelay + mood.mReplyDelay,
                                  false,
                                  {},
                                  {} });
      }
    }
  }

  instant mNow{ seconds{ 1'000 } };
  std::vector<daemon> mDaemons;
  bool mTicksFirst = false;
  bool mTellsOfEra = true;
  std::vector<store_copy> mCopies;
  std::uint64_t mEra = 0;
  std::optional<command_lease> mLease;
  std::uint64_t mRevision = 0;
  std::vector<sent_command> mCommands;
  std::vector<command_lease> mWrites;
};

store_mood
AnyMood()
{
  store_mood mood;
  mood.mRequestDelay = *rc::gen::elementOf(
    std::vector<milliseconds>{ {}, {}, kStep, milliseconds{ 900 }, milliseconds{ 2'400 } });
  mood.mReplyDelay = *rc::gen::elementOf(
    std::vector<milliseconds>{ {}, kStep, milliseconds{ 1'200 }, milliseconds{ 4'100 } });
  const auto loss = *rc::gen::inRange(0, 6);
  mood.mLosesRequests = loss == 0;
  mood.mLosesReplies = loss == 1;
  return mood;
}

/// Plays a generated sequence of pauses, delays and losses; `aRemovals`: the lease is deleted at
/// times, too; `aRestorations`: the store is restored and processes start again at times, too.
void
PlayAnySchedule(delayed_store_simulation& aSimulation,
                std::size_t aDaemons,
                bool aRemovals,
                bool aRestorations = false)
{
  const auto phases = *rc::gen::inRange(5, 40);
  for (int phase = 0; phase < phases; ++phase) {
    for (std::size_t i = 0; i < aDaemons; ++i) {
      aSimulation.SetMood(i, AnyMood());
      aSimulation.SetPaused(i, *rc::gen::inRange(0, 4) == 0);
    }
    aSimulation.SetTicksFirst(*rc::gen::arbitrary<bool>());
    if (aRemovals && *rc::gen::inRange(0, 6) == 0) {
      aSimulation.RemoveLease();
    }
    if (aRestorations && *rc::gen::inRange(0, 3) == 0) {
      aSimulation.Restore(kStep * *rc::gen::inRange(0, 120));
    }
    if (aRestorations && *rc::gen::inRange(0, 4) == 0) {
      aSimulation.Restart(*rc::gen::inRange<std::size_t>(0, aDaemons));
    }
    const auto steps = *rc::gen::inRange(1, 60);
    for (int step = 0; step < steps; ++step) {
      aSimulation.Step();
    }
  }
}

} // namespace

/// The command lease over schedules in which results of store calls are late, lost or failed.
class role_controller_schedule_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(role_controller_schedule_test);
  CPPUNIT_TEST(LateFailureOfAnAbandonedWriteKeepsTheFencing);
  CPPUNIT_TEST(LateAbsenceAfterACreateIsIgnored);
  CPPUNIT_TEST(LateStateReportIsIgnored);
  CPPUNIT_TEST(FencingTokensOfOneHolderNeverDecrease);
  CPPUNIT_TEST(HoldersNeverShareAFencingToken);
  CPPUNIT_TEST(HoldersStayApartWhenTheStoreIsRestored);
  CPPUNIT_TEST_SUITE_END();

  /// The only action of a tick.
  template<typename action>
  static action OnlyAction(role_controller& aController, instant aNow)
  {
    const auto actions = aController.OnTick(ServiceWithACommandDue(), 0, aNow);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, actions.size());
    CPPUNIT_ASSERT(std::holds_alternative<action>(actions[0]));
    return std::get<action>(actions[0]);
  }

  /// A controller that has read that there is no lease, with a command due.
  static role_controller WithoutLease(instant& aNow)
  {
    role_controller controller{ { "d0", 0.5, kLease } };
    const auto read = OnlyAction<read_lease>(controller, aNow);
    controller.OnLeaseRead(read.mCall, std::nullopt, false, aNow);
    aNow += milliseconds{ 500 };
    return controller;
  }

  /// Guards against fencing tokens that start again at 1: the holder was paused while its write got
  /// no answer, and the failure of that write arrived while the next call was in progress.
  void LateFailureOfAnAbandonedWriteKeepsTheFencing()
  {
    instant now{ seconds{ 1'000 } };
    auto controller = WithoutLease(now);
    const auto first = OnlyAction<write_lease>(controller, now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, first.mFencing);
    controller.OnLeaseWritten(first.mCall, 10, now);
    now += milliseconds{ 1'100 };
    const auto second = OnlyAction<write_lease>(controller, now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, second.mFencing);

    now += kStoreCallTimeout + kStep;
    const auto read = OnlyAction<read_lease>(controller, now);
    controller.OnLeaseWritten(second.mCall, std::nullopt, now);
    CPPUNIT_ASSERT(controller.OnTick(ServiceWithACommandDue(), 0, now).empty());
    controller.OnLeaseRead(read.mCall, command_lease{ 11, "d0", 2 }, false, now);

    now += kLease + seconds{ 2 };
    const auto third = OnlyAction<write_lease>(controller, now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 11 }, third.mRevision);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, third.mFencing);
  }

  /// Guards against a lease that is forgotten because a read from before its creation returns late.
  void LateAbsenceAfterACreateIsIgnored()
  {
    instant now{ seconds{ 1'000 } };
    role_controller controller{ { "d0", 0.5, kLease } };
    const auto abandoned = OnlyAction<read_lease>(controller, now);
    now += kStoreCallTimeout + kStep;
    const auto read = OnlyAction<read_lease>(controller, now);
    controller.OnLeaseRead(read.mCall, std::nullopt, false, now);
    const auto create = OnlyAction<write_lease>(controller, now);
    controller.OnLeaseWritten(create.mCall, 10, now);
    controller.OnLeaseRead(abandoned.mCall, std::nullopt, false, now);
    now += milliseconds{ 1'100 };
    const auto renewal = OnlyAction<write_lease>(controller, now);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 10 }, renewal.mRevision);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, renewal.mFencing);
  }

  /// Guards against a command that is based on the answer to an earlier question.
  void LateStateReportIsIgnored()
  {
    instant now{ seconds{ 1'000 } };
    auto controller = WithoutLease(now);
    const auto write = OnlyAction<write_lease>(controller, now);
    controller.OnLeaseWritten(write.mCall, 10, now);
    const auto first = OnlyAction<query_engine_state>(controller, now);
    now += milliseconds{ 800 };
    const auto second = OnlyAction<query_engine_state>(controller, now);
    CPPUNIT_ASSERT_EQUAL(first.mBackendId, second.mBackendId);
    engine_state_report report;
    report.mRole = engine_role::Decode;
    report.mOrders = 1;
    CPPUNIT_ASSERT(controller.OnEngineState(first.mCall, first.mBackendId, report, now).empty());
    report.mOrders = 2;
    const auto commands = controller.OnEngineState(second.mCall, second.mBackendId, report, now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, commands.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 },
                         std::get<send_role_command>(commands[0]).mOrder.mExpectedCommandCount);
  }

  /// Guards against a holder whose fencing tokens decrease, whatever the order in which results
  /// arrive, and also when the stored lease disappears.
  void FencingTokensOfOneHolderNeverDecrease()
  {
    const auto failure = CheckSchedules("fencing tokens of one holder", kSeed, kSchedules, [] {
      delayed_store_simulation simulation{ 1 };
      PlayAnySchedule(simulation, 1, true);
      const auto& writes = simulation.Writes();
      for (std::size_t i = 1; i < writes.size(); ++i) {
        // The number of a write with an unknown outcome was in no command, so it may be written
        // once more if the lease disappears before it is read.
        RC_ASSERT(writes[i].mFencing >= writes[i - 1].mFencing);
      }
      CheckCommands(simulation.Commands());
      RC_CLASSIFY(!simulation.Commands().empty(), "with commands");
    });
    CPPUNIT_ASSERT_EQUAL(std::string{}, failure);
  }

  /// Guards against two holders with one fencing token, and against holders that send commands less
  /// than a lease time apart.
  void HoldersNeverShareAFencingToken()
  {
    const auto failure = CheckSchedules("fencing tokens of all holders", kSeed, kSchedules, [] {
      constexpr std::size_t kDaemons = 3;
      delayed_store_simulation simulation{ kDaemons };
      PlayAnySchedule(simulation, kDaemons, false);
      const auto& writes = simulation.Writes();
      for (std::size_t i = 1; i < writes.size(); ++i) {
        RC_ASSERT(writes[i].mFencing > writes[i - 1].mFencing);
      }
      CheckCommands(simulation.Commands());
      RC_CLASSIFY(!simulation.Commands().empty(), "with commands");
    });
    CPPUNIT_ASSERT_EQUAL(std::string{}, failure);
  }

  /// Guards against a lease of a restored store, missing or older than the last one, that is taken
  /// at once or with a fencing token that was used before.
  void HoldersStayApartWhenTheStoreIsRestored()
  {
    const auto failure = CheckSchedules("holders of a restored store", kSeed, kSchedules, [] {
      constexpr std::size_t kDaemons = 3;
      delayed_store_simulation simulation{ kDaemons };
      simulation.SetTellsOfEra(*rc::gen::arbitrary<bool>());
      PlayAnySchedule(simulation, kDaemons, false, true);
      CheckCommands(simulation.Commands());
      RC_CLASSIFY(!simulation.Commands().empty(), "with commands");
      // A restored store must not keep all daemons waiting either.
      const auto commands = simulation.Commands().size();
      for (std::size_t i = 0; i < kDaemons; ++i) {
        simulation.SetMood(i, {});
        simulation.SetPaused(i, false);
      }
      for (milliseconds time{}; time < kMaxAcquisition; time += kStep) {
        simulation.Step();
      }
      RC_ASSERT(simulation.Commands().size() > commands);
      CheckCommands(simulation.Commands());
    });
    CPPUNIT_ASSERT_EQUAL(std::string{}, failure);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(role_controller_schedule_test);

} // namespace skylarkwind
