#pragma once

#include "skylarkwind/singleton_task.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace skylarkwind {

/// A defect that the simulation introduces between the task and its surroundings, to show that the
/// checks of the rules can fail.
enum class planted_fault
{
  None,
  ShortWait,            ///< another daemon doesn't wait for the lease time
  WindowFromAnswer,     ///< the time for calls begins with the answer of the write, not its start
  TokenKeptWhilePaused, ///< calls after a pause use the token from before it
  ClockStopsInPause,    ///< the clock of a daemon doesn't run while it is paused
  TokenDoesNotGrow,     ///< an acquisition often keeps the number of the previous holder
  EraIgnored,     ///< positions lack the era, and no daemon is told that the store was restored
  CallIdsIgnored, ///< the answer of an abandoned call is taken for that of the current one
  LostAnswerIsSuccess, ///< a write without an answer counts as stored
  UnconditionalWrite,  ///< the store replaces the record whatever its revision
  StateIgnored,        ///< a new holder begins without the stored state
  WaitsForever         ///< another daemon never takes over
};

/// Daemons that always have work, and one store that executes their calls late, loses them or their
/// answers, and is restored to older copies. Between the tasks and the store stands a client that
/// behaves like that of the gateway: positions are era x 2^40 + revision, an answer of an older era
/// changes nothing, and a write from a position of another era than the newest known one fails
/// without a call. A paused daemon handles neither answers nor ticks; afterwards it handles either
/// first. Each rule is checked on the calls that the daemons make.
class singleton_task_simulation
{
public:
  static constexpr std::chrono::milliseconds kLease{ 3'000 };

  singleton_task_simulation(std::uint64_t aSeed, planted_fault aFault)
    : mFault(aFault)
    , mRandom(aSeed)
  {
  }

  /// Plays one schedule of faults and then a quiet time. Returns the first violation of each rule
  /// by the name of the rule.
  std::map<std::string, std::string> Run()
  {
    constexpr std::size_t kMostDaemons = 4;
    mMayRestore = Chance(0.6);
    mMayDamage = Chance(0.2);
    // Otherwise the client tells the task about a new era only when it has no other sign of it.
    mTellsOfEraWithAnswers = Chance(0.5);
    mDaemons.resize(2 + Below(kMostDaemons - 1));
    for (std::size_t i = 0; i < mDaemons.size(); ++i) {
      Start(i);
    }
    const auto phases = 3 + Below(12);
    for (std::uint64_t phase = 0; phase < phases && mViolations.empty(); ++phase) {
      BeginPhase();
      for (auto steps = 1 + Below(50); steps > 0 && mViolations.empty(); --steps) {
        Step();
      }
    }
    if (mViolations.empty()) {
      CheckLiveness();
    }
    std::stable_sort(mCalls.begin(), mCalls.end(), [](const call& aLeft, const call& aRight) {
      return aLeft.mSentAt < aRight.mSentAt;
    });
    CheckOrder("sent", &call::mSentAt);
    std::stable_sort(mCalls.begin(), mCalls.end(), [](const call& aLeft, const call& aRight) {
      return aLeft.mArrivedAt < aRight.mArrivedAt;
    });
    CheckOrder("arrived", &call::mArrivedAt);
    return mViolations;
  }

  /// Number of changes of the daemon that makes calls.
  std::size_t Takeovers() const { return mTakeovers; }
  std::uint64_t Restorations() const { return mEra; }

private:
  using milliseconds = std::chrono::milliseconds;
  static constexpr milliseconds kStep{ 100 };
  static constexpr milliseconds kCallWindow{ 1'000 };
  static constexpr milliseconds kMaxTransit{ 600 };
  static constexpr milliseconds kMaxAcquisition{ 15'000 };
  static constexpr int kEraShift = 40;
  static constexpr std::uint64_t kRevisionMask = (std::uint64_t{ 1 } << kEraShift) - 1;

  /// How the store handles the calls of one daemon for a time.
  struct store_mood
  {
    milliseconds mRequestDelay{};
    milliseconds mReplyDelay{};
    bool mLosesRequests = false;
    bool mLosesReplies = false;
  };
  /// A call to the store that was sent or failed in the client.
  struct store_call
  {
    task_action mAction;
    store_mood mMood;
    std::uint64_t mIncarnation = 0;
    std::uint64_t mSentInEra = 0;
    instant mStartedAt{};
    instant mExecuteAt{};
    instant mDeliverAt{};
    bool mIsExecuted = false;
    bool mIsRefusedByClient = false;
    std::uint64_t mEra = 0;     ///< of the store when it executed the call
    std::uint64_t mHistory = 0; ///< history of the record when it was executed
    std::optional<task_record> mRead;
    std::optional<std::uint64_t> mWritten;
  };
  struct daemon
  {
    std::optional<singleton_task> mTask; ///< empty while it is stopped
    std::uint64_t mIncarnation = 0;
    std::uint64_t mKnownEra = 0;
    std::optional<instant> mNoticesAt; ///< when it is told of a restoration
    instant mStartsAt{};
    store_mood mMood;
    std::vector<store_call> mCalls;
    std::size_t mRank = 0;
    bool mIsPaused = false;
    milliseconds mClockLag{};
    std::optional<std::uint64_t> mTokenBeforePause;
    /// Start and answer of the last write that was confirmed to this process.
    instant mConfirmedStart{};
    instant mConfirmedAt{};
    std::uint64_t mConfirmedHistory = 0;
    std::uint64_t mTerm = 0; ///< last term in which it made calls
  };
  struct call
  {
    std::pair<std::size_t, std::uint64_t> mProcess; ///< daemon and incarnation
    std::uint64_t mToken = 0;
    instant mSentAt{};
    instant mArrivedAt{};
  };
  struct store_copy
  {
    std::optional<task_record> mRecord;
    std::uint64_t mRevision = 0;
    instant mAt{};
  };

  bool Chance(double aProbability)
  {
    return std::uniform_real_distribution<>{ 0, 1 }(mRandom) < aProbability;
  }
  std::uint64_t Below(std::uint64_t aBound)
  {
    return std::uniform_int_distribution<std::uint64_t>{ 0, aBound - 1 }(mRandom);
  }
  milliseconds UpTo(milliseconds aDuration)
  {
    return milliseconds{ static_cast<std::int64_t>(
      Below(static_cast<std::uint64_t>(aDuration.count()) + 1)) };
  }

  void Violate(const std::string& aRule, const std::string& aDetail)
  {
    const auto time = std::chrono::duration_cast<milliseconds>(mNow - kBegin).count();
    mViolations.emplace(aRule, aDetail + " at " + std::to_string(time) + " ms");
  }

  std::uint64_t Position(std::uint64_t aEra, std::uint64_t aRevision) const
  {
    return mFault == planted_fault::EraIgnored ? aRevision : (aEra << kEraShift) + aRevision;
  }

  void Start(std::size_t aIndex)
  {
    auto& daemon = mDaemons[aIndex];
    singleton_task_settings settings;
    settings.mSelf = "d" + std::to_string(aIndex);
    settings.mLease = kLease;
    if (mFault == planted_fault::ShortWait) {
      settings.mLease = {};
    } else if (mFault == planted_fault::WaitsForever) {
      settings.mLease = std::chrono::hours{ 1 };
    }
    daemon.mTask.emplace(settings);
    ++daemon.mIncarnation;
    daemon.mKnownEra = 0;
    daemon.mNoticesAt.reset();
    daemon.mIsPaused = false;
    daemon.mClockLag = {};
    daemon.mTokenBeforePause.reset();
    daemon.mConfirmedStart = {};
    daemon.mConfirmedAt = {};
    daemon.mTerm = 0;
  }

  instant ClockOf(const daemon& aDaemon) const { return mNow - aDaemon.mClockLag; }

  store_mood AnyMood()
  {
    constexpr std::array kRequestDelays{ 0, 0, 0, 100, 900, 2'400, 6'000 };
    constexpr std::array kReplyDelays{ 0, 0, 100, 700, 1'200, 4'100 };
    store_mood mood;
    mood.mRequestDelay = milliseconds{ kRequestDelays.at(Below(kRequestDelays.size())) };
    mood.mReplyDelay = milliseconds{ kReplyDelays.at(Below(kReplyDelays.size())) };
    mood.mLosesRequests = Chance(0.15);
    mood.mLosesReplies = Chance(0.15);
    return mood;
  }

  void BeginPhase()
  {
    mTicksFirst = Chance(0.5);
    for (auto& daemon : mDaemons) {
      // Several daemons have rank 0 at times, so that mutual exclusion rests on the record alone.
      daemon.mRank = Chance(0.6) ? 0 : Below(4);
      daemon.mMood = Chance(0.4) ? store_mood{} : AnyMood();
      if (!daemon.mTask) {
        continue;
      }
      if (Chance(0.1)) {
        daemon.mTask.reset();
        daemon.mStartsAt = mNow + UpTo(milliseconds{ 4'000 });
      } else {
        SetPaused(daemon, Chance(0.25));
      }
    }
    if (mMayRestore && Chance(0.3)) {
      Restore();
    }
    if (mMayDamage && mRecord && Chance(0.2)) {
      // Read as the gateway reads a record that no daemon can have written.
      ++mRevision;
      mRecord = task_record{ mRevision, {}, mRevision, {} };
      BeginHistory();
    }
  }

  void SetPaused(daemon& aDaemon, bool aIsPaused)
  {
    if (aIsPaused && !aDaemon.mIsPaused) {
      aDaemon.mTokenBeforePause = aDaemon.mTask->Token(ClockOf(aDaemon));
    }
    aDaemon.mIsPaused = aIsPaused;
  }

  /// States that were seen as stored no longer have to be those that the next holder begins from.
  void BeginHistory()
  {
    ++mHistory;
    mStoredState = 0;
  }

  void Restore()
  {
    const auto age = UpTo(milliseconds{ 12'000 });
    auto copy = std::find_if(mCopies.rbegin(), mCopies.rend(), [&](const store_copy& aCopy) {
      return aCopy.mAt <= mNow - age;
    });
    const auto restored = copy == mCopies.rend() ? store_copy{} : *copy;
    ++mEra;
    mRecord = restored.mRecord;
    mRevision = restored.mRevision;
    mCopies.push_back({ mRecord, mRevision, mNow });
    BeginHistory();
    for (auto& daemon : mDaemons) {
      if (daemon.mTask && !daemon.mNoticesAt) {
        daemon.mNoticesAt = mNow + (Chance(0.3) ? milliseconds{} : UpTo(milliseconds{ 8'000 }));
      }
    }
  }

  void Step()
  {
    mNow += kStep;
    for (std::size_t i = 0; i < mDaemons.size(); ++i) {
      auto& daemon = mDaemons[i];
      ExecuteCalls(i);
      if (!daemon.mTask && mNow >= daemon.mStartsAt) {
        Start(i);
      }
      if (!daemon.mTask) {
        continue;
      }
      if (daemon.mIsPaused) {
        if (mFault == planted_fault::ClockStopsInPause) {
          daemon.mClockLag += kStep;
        }
        continue;
      }
      MakeCall(i);
      daemon.mTokenBeforePause.reset();
      if (daemon.mNoticesAt && mNow >= *daemon.mNoticesAt) {
        daemon.mNoticesAt.reset();
        NoticeEra(daemon, mEra, true);
      }
      if (mTicksFirst) {
        Tick(daemon);
        MakeCall(i);
        DeliverAnswers(i);
      } else {
        DeliverAnswers(i);
        MakeCall(i);
        Tick(daemon);
      }
      MakeCall(i);
    }
  }

  void ExecuteCalls(std::size_t aIndex)
  {
    for (auto& call : mDaemons[aIndex].mCalls) {
      if (call.mIsExecuted || mNow < call.mExecuteAt) {
        continue;
      }
      call.mIsExecuted = true;
      if (call.mMood.mLosesRequests || call.mIsRefusedByClient) {
        continue;
      }
      call.mEra = mEra;
      if (const auto* write = std::get_if<write_task>(&call.mAction)) {
        ExecuteWrite(call, *write, "d" + std::to_string(aIndex));
      } else {
        call.mRead = mRecord;
      }
      call.mHistory = mHistory;
    }
  }

  void ExecuteWrite(store_call& aCall, const write_task& aWrite, const std::string& aHolder)
  {
    // The store compares plain revisions: it doesn't know from which era they are.
    if (mFault != planted_fault::UnconditionalWrite &&
        (aWrite.mRevision & kRevisionMask) != (mRecord ? mRecord->mRevision : 0)) {
      return;
    }
    mRecord = task_record{ ++mRevision, aHolder, aWrite.mFencing, aWrite.mState };
    if (aCall.mSentInEra != mEra) {
      // The write of an earlier era may have replaced a record that it doesn't know.
      BeginHistory();
    }
    mCopies.push_back({ mRecord, mRevision, mNow });
    aCall.mWritten = mRevision;
  }

  /// `aTell`: the task is told, too.
  void NoticeEra(daemon& aDaemon, std::uint64_t aEra, bool aTell)
  {
    if (aEra <= aDaemon.mKnownEra && !aTell) {
      return;
    }
    aDaemon.mKnownEra = std::max(aDaemon.mKnownEra, aEra);
    if (aTell && mFault != planted_fault::EraIgnored) {
      aDaemon.mTask->OnStoreRestored(aEra << kEraShift, ClockOf(aDaemon));
    }
  }

  void DeliverAnswers(std::size_t aIndex)
  {
    auto& daemon = mDaemons[aIndex];
    std::vector<store_call> due;
    std::erase_if(daemon.mCalls, [&](const store_call& aCall) {
      if (!aCall.mIsExecuted || mNow < aCall.mDeliverAt) {
        return false;
      }
      due.push_back(aCall);
      return true;
    });
    for (const auto& call : due) {
      if (call.mIncarnation == daemon.mIncarnation) {
        Deliver(daemon, call);
      }
    }
  }

  void Deliver(daemon& aDaemon, const store_call& aCall)
  {
    bool failed = aCall.mMood.mLosesRequests || aCall.mMood.mLosesReplies;
    if (!failed && !aCall.mIsRefusedByClient) {
      if (aCall.mEra > aDaemon.mKnownEra) {
        const bool hasPosition = aCall.mRead.has_value() || aCall.mWritten.has_value();
        NoticeEra(aDaemon, aCall.mEra, mTellsOfEraWithAnswers || !hasPosition);
      } else if (aCall.mEra < aDaemon.mKnownEra && mFault != planted_fault::EraIgnored) {
        failed = true;
      }
    }
    const auto id =
      mFault == planted_fault::CallIdsIgnored
        ? mNewestCall[&aDaemon]
        : std::visit([](const auto& aAction) { return aAction.mCall; }, aCall.mAction);
    const auto now = ClockOf(aDaemon);
    if (const auto* write = std::get_if<write_task>(&aCall.mAction)) {
      DeliverWritten(aDaemon, aCall, *write, id, failed);
      return;
    }
    auto record = aCall.mRead;
    if (record) {
      // As the gateway reads it: no token exceeds the revision of its own write.
      const auto position = Position(aCall.mEra, record->mRevision);
      if (record->mFencing > position) {
        record = task_record{ position, {}, position, {} };
      }
      record->mRevision = position;
      if (mFault == planted_fault::StateIgnored) {
        record->mState.clear();
      }
    }
    aDaemon.mTask->OnRead(id, failed ? std::nullopt : record, failed, now);
  }

  void DeliverWritten(daemon& aDaemon,
                      const store_call& aCall,
                      const write_task& aWrite,
                      task_call_id aId,
                      bool aFailed)
  {
    std::optional<std::uint64_t> written;
    if (aCall.mWritten && !aFailed) {
      written = Position(aCall.mEra, *aCall.mWritten);
    } else if (mFault == planted_fault::LostAnswerIsSuccess && aFailed) {
      written = aWrite.mRevision + 1;
    }
    aDaemon.mTask->OnWritten(aId, written, ClockOf(aDaemon));
    if (!aCall.mWritten || aFailed) {
      return;
    }
    if (aCall.mStartedAt > aDaemon.mConfirmedStart) {
      aDaemon.mConfirmedStart = aCall.mStartedAt;
      aDaemon.mConfirmedAt = mNow;
      aDaemon.mConfirmedHistory = aCall.mHistory;
    }
    if (aCall.mHistory == mHistory && aDaemon.mTask->StoredState() == aWrite.mState) {
      mStoredState = std::max(mStoredState, NumberOf(aWrite.mState));
    }
  }

  void Tick(daemon& aDaemon)
  {
    const auto now = ClockOf(aDaemon);
    auto action = aDaemon.mTask->OnTick(aDaemon.mRank, true, now);
    if (!action) {
      return;
    }
    store_call call{ *action, aDaemon.mMood };
    call.mIncarnation = aDaemon.mIncarnation;
    call.mSentInEra = aDaemon.mKnownEra;
    call.mStartedAt = mNow;
    call.mExecuteAt = mNow + call.mMood.mRequestDelay;
    call.mDeliverAt = call.mExecuteAt + call.mMood.mReplyDelay;
    if (const auto* write = std::get_if<write_task>(&*action)) {
      call.mIsRefusedByClient = mFault != planted_fault::EraIgnored && write->mRevision != 0 &&
                                write->mRevision >> kEraShift != aDaemon.mKnownEra;
    }
    mNewestCall[&aDaemon] = std::visit([](const auto& aAction) { return aAction.mCall; }, *action);
    aDaemon.mCalls.push_back(std::move(call));
  }

  std::optional<std::uint64_t> TokenOf(const daemon& aDaemon) const
  {
    auto now = ClockOf(aDaemon);
    if (mFault == planted_fault::TokenKeptWhilePaused && aDaemon.mTokenBeforePause) {
      return aDaemon.mTokenBeforePause;
    }
    if (mFault == planted_fault::WindowFromAnswer) {
      now -= aDaemon.mConfirmedAt - aDaemon.mConfirmedStart;
    }
    auto token = aDaemon.mTask->Token(now);
    if (token && mFault == planted_fault::TokenDoesNotGrow) {
      constexpr std::uint64_t kKept = 8;
      *token /= kKept;
    }
    return token;
  }

  void MakeCall(std::size_t aIndex)
  {
    auto& daemon = mDaemons[aIndex];
    const auto token = TokenOf(daemon);
    if (!token) {
      return;
    }
    auto& task = *daemon.mTask;
    mCalls.push_back({ { aIndex, daemon.mIncarnation }, *token, mNow, mNow + UpTo(kMaxTransit) });
    if (mNow - daemon.mConfirmedStart >= kCallWindow) {
      Violate("call window", DaemonName(aIndex) + " called " + std::to_string(*token));
    }
    if (task.Term() == daemon.mTerm) {
      // The next step of the work begins once the previous one is stored.
      if (!task.HasNewState() && Chance(0.3)) {
        task.SetState(std::to_string(StateOf(task) + 1));
      }
      return;
    }
    daemon.mTerm = task.Term();
    if (daemon.mConfirmedHistory == mHistory && StateOf(task) < mStoredState) {
      Violate("state",
              DaemonName(aIndex) + " begins from " + std::to_string(StateOf(task)) + " after " +
                std::to_string(mStoredState));
    }
  }

  static std::string DaemonName(std::size_t aIndex) { return "d" + std::to_string(aIndex); }

  static std::uint64_t NumberOf(const std::string& aState)
  {
    return aState.empty() ? 0 : std::stoull(aState);
  }
  static std::uint64_t StateOf(const singleton_task& aTask)
  {
    return NumberOf(aTask.StoredState());
  }

  void CheckLiveness()
  {
    for (std::size_t i = 0; i < mDaemons.size(); ++i) {
      auto& daemon = mDaemons[i];
      if (!daemon.mTask) {
        Start(i);
      }
      daemon.mIsPaused = false;
      daemon.mMood = {};
      daemon.mRank = i;
      if (daemon.mNoticesAt) {
        daemon.mNoticesAt = mNow;
      }
    }
    const auto end = mNow + kMaxAcquisition;
    const auto calls = mCalls.size();
    while (mNow < end && mCalls.size() == calls && mViolations.empty()) {
      Step();
    }
    if (mCalls.size() == calls) {
      Violate("liveness", "no daemon acquired the task");
    }
  }

  /// Checks the calls in the order of the time `aAt`.
  void CheckOrder(const std::string& aOrder, instant call::*aAt)
  {
    std::map<std::uint64_t, std::size_t> holders;
    std::map<std::size_t, instant> lastOf;
    for (std::size_t i = 0; i < mCalls.size(); ++i) {
      const auto& call = mCalls[i];
      mNow = call.*aAt;
      const auto daemon = call.mProcess.first;
      const auto text = DaemonName(daemon) + " token " + std::to_string(call.mToken) + ' ' + aOrder;
      if (holders.emplace(call.mToken, daemon).first->second != daemon) {
        Violate("shared token", text);
      }
      if (i > 0) {
        const auto& previous = mCalls[i - 1];
        if (call.mToken < previous.mToken) {
          Violate("lower token", text + " after " + std::to_string(previous.mToken));
        }
        if (previous.mProcess.first != daemon) {
          ++mTakeovers;
          const auto last = lastOf.find(daemon);
          if (last != lastOf.end() && mNow - last->second < kLease) {
            Violate("holders A, B, A", text);
          }
          if (mNow - previous.*aAt < kLease) {
            Violate("lease time", text + " after " + DaemonName(previous.mProcess.first));
          }
        }
      }
      lastOf[daemon] = mNow;
    }
  }

  static constexpr instant kBegin{ std::chrono::seconds{ 1'000 } };
  planted_fault mFault;
  std::mt19937_64 mRandom;
  instant mNow = kBegin;
  bool mMayRestore = false;
  bool mMayDamage = false;
  bool mTellsOfEraWithAnswers = false;
  bool mTicksFirst = false;
  std::vector<daemon> mDaemons;
  std::map<const daemon*, task_call_id> mNewestCall;
  std::optional<task_record> mRecord; ///< with a plain revision
  std::uint64_t mRevision = 0;
  std::uint64_t mEra = 0;
  /// Changes when a record is lost or replaced by something other than a write that knew it.
  std::uint64_t mHistory = 0;
  std::uint64_t mStoredState = 0; ///< highest one that a holder saw as stored in this history
  std::vector<store_copy> mCopies;
  std::vector<call> mCalls;
  std::size_t mTakeovers = 0;
  std::map<std::string, std::string> mViolations;
};

} // namespace skylarkwind
