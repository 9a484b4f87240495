#include "skylarkwind/hash.h"
#include "skylarkwind/singleton_task.h"
#include "skylarkwind/usage_counts.h"
#include "skylarkwind/usage_reporter.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <memory>
#include <random>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kStep{ 100 };
constexpr seconds kWindow{ 5 };
constexpr seconds kSettle{ 2 };
constexpr seconds kDeadline{ 10 };
constexpr std::uint64_t kWindows = 1'000;
constexpr std::size_t kDaemons = 60;
constexpr std::size_t kDataCentres = 3;
constexpr std::size_t kCollectors = 2;
constexpr std::size_t kAccounts = 77;
constexpr std::size_t kNoRank = 1'000;
/// Windows that daemons send, as in the gateway.
constexpr std::uint64_t kSentWindows = 3;
constexpr std::uint64_t kLongSumWindows = 8;
constexpr std::uint64_t kSumsPerLongSum = 4;
constexpr std::uint64_t kKeptWindows = 24;
/// A daemon is listed so long after it was killed.
constexpr seconds kDetection{ 3 };
/// A daemon is listed so long after it was started.
constexpr milliseconds kListedAfter{ 500 };
constexpr double kRequestsPerStep = 0.1;
constexpr double kMessageLoss = 0.03;
constexpr int kOk = 200;

std::string
AccountName(std::size_t aIndex)
{
  return "account-" + std::to_string(aIndex);
}

/// How the platform behaves at a time.
enum class platform_mode
{
  Answers,
  Refuses, ///< 429
  Slow,    ///< takes reports, and answers later than the caller waits
  Away     ///< takes nothing and does not answer
};

/// Accepts reports. Every body that arrives is compared with the first one of its window.
class report_platform
{
public:
  struct report
  {
    std::map<std::string, std::uint64_t> mCounts;
    milliseconds mAcceptedAt{};
  };

  platform_mode ModeAt(milliseconds aNow) const
  {
    // In every 100 windows: 25 s away, 20 s of 429 and 25 s of slow answers.
    const auto second = (aNow / seconds{ 1 }) % 500;
    if (second >= 200 && second < 225) {
      return platform_mode::Away;
    }
    if (second >= 300 && second < 320) {
      return platform_mode::Refuses;
    }
    return second >= 400 && second < 425 ? platform_mode::Slow : platform_mode::Answers;
  }
  /// Whether it takes reports during all of this time.
  bool TakesDuring(milliseconds aFrom, milliseconds aUntil) const
  {
    for (auto at = aFrom; at <= aUntil; at += kStep) {
      const auto mode = ModeAt(at);
      if (mode == platform_mode::Away || mode == platform_mode::Refuses) {
        return false;
      }
    }
    return true;
  }
  void Take(const usage_window& aWindow, bool aAccepts, milliseconds aNow)
  {
    const auto [first, isNew] = mOffered.emplace(aWindow.mWindow, aWindow.mCounts);
    if (!isNew && first->second != aWindow.mCounts) {
      ++mConflicts;
    }
    if (aAccepts) {
      mReports.emplace(aWindow.mWindow, report{ aWindow.mCounts, aNow });
    }
  }

  std::map<std::uint64_t, std::map<std::string, std::uint64_t>> mOffered;
  std::map<std::uint64_t, report> mReports;
  std::size_t mConflicts = 0;
};

struct fleet_daemon
{
  fleet_daemon(std::size_t aSlot, std::uint64_t aStart, milliseconds aStartedAt)
    : mSlot(aSlot)
    , mName("vm-" + std::to_string(aSlot))
    , mDataCentre(std::string(1, static_cast<char>('a' + aSlot % kDataCentres)))
    , mStart(aStart)
    , mStartedAt(aStartedAt)
    , mCounter(kWindow)
    , mCollector(mDataCentre)
    , mReporter(kWindow, kSettle)
    , mTask(singleton_task_settings{ mName })
    , mCountsTimer(milliseconds{ Hash64(mName) % 200 })
  {
  }

  std::size_t mSlot;
  std::string mName;
  std::string mDataCentre;
  std::uint64_t mStart;
  milliseconds mStartedAt;
  bool mIsAlive = true;
  milliseconds mEndedAt{};
  milliseconds mSkew{};
  true_time mTime;
  usage_counter mCounter;
  usage_collector mCollector;
  usage_reporter mReporter;
  singleton_task mTask;
  std::uint64_t mTerm = 0;
  second_timer mCountsTimer;
  second_timer mSumsTimer{ milliseconds{ 500 } };
  std::size_t mRank = kNoRank;
  std::uint64_t mSumsSent = 0;
  std::uint64_t mDelivered = 0; ///< requests of which another daemon knows
};

/// 60 daemons in 3 data centres, with the parts that count, collect and report usage.
class usage_fleet
{
public:
  /// `aStoreFaults`: share of the calls of the store that fail, and of those whose answer is lost.
  usage_fleet(std::uint64_t aSeed, double aStoreFaults)
    : mRandom(aSeed)
    , mStoreFaults(aStoreFaults)
  {
    std::vector<double> weights(kAccounts, 1);
    // A few large accounts have most of the requests.
    for (std::size_t i = 0; i < 4; ++i) {
      weights[i] = 40;
    }
    mAccounts = { weights.begin(), weights.end() };
    for (std::size_t i = 0; i < kAccounts; ++i) {
      mNames[AccountKey(AccountName(i))] = AccountName(i);
    }
    for (std::size_t slot = 0; slot < kDaemons; ++slot) {
      mByRank.push_back(slot);
      mSlots.emplace_back();
      Start(slot);
    }
    std::sort(mByRank.begin(), mByRank.end(), [](std::size_t aLeft, std::size_t aRight) {
      return Hash64("vm-" + std::to_string(aLeft)) < Hash64("vm-" + std::to_string(aRight));
    });
  }

  void Run(milliseconds aUntil)
  {
    while (mNow < aUntil) {
      mNow += kStep;
      ++mRevision; // writes of other objects
      RunScheduled();
      if (mNow >= mNextKill) {
        Kill();
      }
      for (auto& slot : mSlots) {
        if (slot.mCurrent && slot.mCurrent->mIsAlive) {
          Tick(*slot.mCurrent);
        }
      }
    }
  }

  report_platform mPlatform;
  /// Requests that began to run, by window of true time.
  std::map<std::uint64_t, std::map<std::string, std::uint64_t>> mTruth;
  std::uint64_t mTakenAlong = 0; ///< requests whose counts ended with a daemon
  std::size_t mKills = 0;
  std::size_t mFirstKills = 0;
  std::size_t mCollectorKills = 0;
  std::size_t mTerms = 0;

private:
  using daemon_ptr = std::shared_ptr<fleet_daemon>;
  struct slot
  {
    daemon_ptr mCurrent;
    daemon_ptr mEarlier; ///< still listed for a while
  };

  bool Chance(double aProbability)
  {
    return std::uniform_real_distribution<>{ 0, 1 }(mRandom) < aProbability;
  }
  std::int64_t Between(std::int64_t aLeast, std::int64_t aMost)
  {
    return std::uniform_int_distribution<std::int64_t>{ aLeast, aMost }(mRandom);
  }
  milliseconds Delay(std::int64_t aLeast, std::int64_t aMost)
  {
    return milliseconds{ Between(aLeast, aMost) };
  }
  instant Now() const { return instant{ mNow }; }
  void At(milliseconds aTime, std::function<void()> aAction)
  {
    mScheduled.emplace(std::max(aTime, mNow + milliseconds{ 1 }), std::move(aAction));
  }
  void RunScheduled()
  {
    while (!mScheduled.empty() && mScheduled.begin()->first <= mNow) {
      auto action = std::move(mScheduled.begin()->second);
      mScheduled.erase(mScheduled.begin());
      action();
    }
  }

  void Start(std::size_t aSlot)
  {
    auto& slot = mSlots[aSlot];
    slot.mEarlier = slot.mCurrent;
    slot.mCurrent = std::make_shared<fleet_daemon>(aSlot, mRandom(), mNow);
    slot.mCurrent->mSkew = Delay(-200, 200);
  }
  void Kill()
  {
    mNextKill = mNow + Delay(1'000, 19'000); // 6 in a minute
    std::vector<daemon_ptr> reporting;
    std::vector<daemon_ptr> collectors;
    std::vector<daemon_ptr> all;
    for (const auto& slot : mSlots) {
      if (slot.mCurrent->mIsAlive) {
        all.push_back(slot.mCurrent);
        if (slot.mCurrent->mRank == 0) {
          reporting.push_back(slot.mCurrent);
        }
        if (IsCollector(*slot.mCurrent)) {
          collectors.push_back(slot.mCurrent);
        }
      }
    }
    // Of six in a minute, one reports, two are collectors, and three are any daemons.
    const auto turn = mKills % 6;
    const auto& chosen = turn == 0 && !reporting.empty()                   ? reporting
                         : (turn == 2 || turn == 4) && !collectors.empty() ? collectors
                                                                           : all;
    const auto& victim =
      *chosen[static_cast<std::size_t>(Between(0, static_cast<std::int64_t>(chosen.size()) - 1))];
    ++mKills;
    mFirstKills += victim.mRank == 0 ? 1 : 0;
    mCollectorKills += IsCollector(victim) ? 1 : 0;
    mTakenAlong += victim.mCounter.Changes() - victim.mDelivered;
    auto& ended = *mSlots[victim.mSlot].mCurrent;
    ended.mIsAlive = false;
    ended.mEndedAt = mNow;
    At(mNow + Delay(1'000, 8'000), [this, at = victim.mSlot] { Start(at); });
  }

  bool IsListed(std::size_t aSlot) const
  {
    const auto listed = [this](const daemon_ptr& aDaemon) {
      return aDaemon && mNow >= aDaemon->mStartedAt + kListedAfter &&
             (aDaemon->mIsAlive || mNow < aDaemon->mEndedAt + kDetection);
    };
    return listed(mSlots[aSlot].mCurrent) || listed(mSlots[aSlot].mEarlier);
  }
  /// Listed daemons of a data centre in order of preference.
  std::vector<std::size_t> Preferred(std::size_t aDataCentre, std::size_t aLimit) const
  {
    std::vector<std::size_t> preferred;
    for (const auto at : mByRank) {
      if (at % kDataCentres == aDataCentre && IsListed(at) && preferred.size() < aLimit) {
        preferred.push_back(at);
      }
    }
    return preferred;
  }
  /// The daemon that reports and those that are ready to. The candidates are the first daemons of
  /// each data centre, then the second ones.
  std::vector<std::size_t> Reporting() const
  {
    std::array<std::vector<std::size_t>, kDataCentres> lists;
    for (std::size_t i = 0; i < kDataCentres; ++i) {
      lists[i] = Preferred(i, 2);
    }
    std::vector<std::size_t> candidates;
    for (std::size_t place = 0; place < 2; ++place) {
      for (const auto& list : lists) {
        if (place < list.size()) {
          candidates.push_back(list[place]);
        }
      }
    }
    std::vector<std::string> dataCentres;
    dataCentres.reserve(candidates.size());
    for (const auto candidate : candidates) {
      dataCentres.push_back(std::to_string(candidate % kDataCentres));
    }
    std::vector<std::size_t> reporting;
    for (const auto position : ReportingOrder(dataCentres)) {
      reporting.push_back(candidates[position]);
    }
    return reporting;
  }
  bool IsCollector(const fleet_daemon& aDaemon) const
  {
    const auto collectors = Preferred(aDaemon.mSlot % kDataCentres, kCollectors);
    return std::find(collectors.begin(), collectors.end(), aDaemon.mSlot) != collectors.end();
  }

  /// Sends a message to the daemons that run in these slots now. Returns whether one of them, other
  /// than the sender, will receive it.
  bool Send(const usage_message& aMessage, std::size_t aSender, const std::vector<std::size_t>& aTo)
  {
    bool arrives = false;
    const auto message = std::make_shared<const usage_message>(aMessage);
    for (const auto to : aTo) {
      const auto& receiver = mSlots[to].mCurrent;
      if (to == aSender || message->mCounts.empty() || !receiver->mIsAlive ||
          Chance(kMessageLoss)) {
        continue;
      }
      arrives = true;
      At(mNow + Delay(1, 150), [message, receiver] {
        if (receiver->mIsAlive) {
          receiver->mCollector.OnMessage(*message);
        }
      });
    }
    return arrives;
  }

  void Tick(fleet_daemon& aDaemon)
  {
    aDaemon.mTime.OnTick(wall_instant{ mNow + kEpoch + aDaemon.mSkew }, Now());
    const auto now = aDaemon.mTime.At(Now());
    auto requests = std::poisson_distribution<>{ kRequestsPerStep }(mRandom);
    for (; requests > 0; --requests) {
      const auto name = AccountName(mAccounts(mRandom));
      ++mTruth[static_cast<std::uint64_t>((mNow + kEpoch) / kWindow)][name];
      aDaemon.mCounter.OnRequestBegan(name, now);
    }
    if (aDaemon.mCountsTimer.IsDue(now)) {
      SendCounts(aDaemon, aDaemon.mCounter.WindowAt(now));
    }
    if (aDaemon.mSumsTimer.IsDue(now)) {
      SendSums(aDaemon, aDaemon.mCounter.WindowAt(now));
    }
    // A daemon that has just started does not report before it knows the others.
    if (mNow >= aDaemon.mStartedAt + seconds{ 1 }) {
      Report(aDaemon, now);
    }
  }
  void SendCounts(fleet_daemon& aDaemon, std::uint64_t aWindow)
  {
    const auto first = aWindow + 1 - kSentWindows;
    const usage_message own{
      aDaemon.mName, aDaemon.mStart, aDaemon.mDataCentre, false, aDaemon.mCounter.CountsFrom(first)
    };
    aDaemon.mCollector.OnMessage(own);
    if (Send(own, aDaemon.mSlot, Preferred(aDaemon.mSlot % kDataCentres, kCollectors))) {
      aDaemon.mDelivered = aDaemon.mCounter.Changes();
    }
    aDaemon.mCounter.DropBefore(aWindow - kKeptWindows);
    aDaemon.mCollector.DropBefore(aWindow - kKeptWindows);
  }
  void SendSums(fleet_daemon& aDaemon, std::uint64_t aWindow)
  {
    const auto reporting = Reporting();
    if (IsCollector(aDaemon)) {
      const auto oldest = ++aDaemon.mSumsSent % kSumsPerLongSum == 0 ? aWindow + 1 - kLongSumWindows
                                                                     : aWindow + 1 - kSentWindows;
      Send({ aDaemon.mName,
             aDaemon.mStart,
             aDaemon.mDataCentre,
             true,
             aDaemon.mCollector.LocalSumsFrom(oldest) },
           aDaemon.mSlot,
           reporting);
    }
    const auto place = std::find(reporting.begin(), reporting.end(), aDaemon.mSlot);
    aDaemon.mRank =
      place == reporting.end() ? kNoRank : static_cast<std::size_t>(place - reporting.begin());
  }

  /// As in the gateway's driver.
  void Report(fleet_daemon& aDaemon, wall_instant aNow)
  {
    auto& task = aDaemon.mTask;
    if (task.Token(Now()) && aDaemon.mTerm != task.Term()) {
      aDaemon.mTerm = task.Term();
      ++mTerms;
      aDaemon.mReporter.OnAcquired(task.StoredState(), 1, aNow);
    }
    if (aDaemon.mTerm != 0 && aDaemon.mTerm == task.Term()) {
      const auto count = [&](std::uint64_t aWindow) {
        std::map<std::string, std::uint64_t> counts;
        for (const auto& [account, requests] : aDaemon.mCollector.Total(aWindow)) {
          counts[mNames.at(account)] = requests;
        }
        return counts;
      };
      if (const auto state = aDaemon.mReporter.FixWindows(count, aNow)) {
        task.SetState(*state);
      }
    }
    auto rank = aDaemon.mRank;
    if (rank != kNoRank && aDaemon.mReporter.ActsAsFirst(task.StoredState(), rank, aNow)) {
      rank = 0;
    }
    const auto action = task.OnTick(rank, aDaemon.mReporter.IsDue(aNow), Now());
    if (action) {
      CallStore(mSlots[aDaemon.mSlot].mCurrent, *action);
    }
    if (aDaemon.mTerm == task.Term() && task.Token(Now())) {
      if (const auto window = aDaemon.mReporter.Next(task.StoredState(), Now())) {
        CallPlatform(mSlots[aDaemon.mSlot].mCurrent, *window);
      }
    }
  }

  /// A few calls fail, or are carried out without an answer, up to 5 s later.
  void CallStore(const daemon_ptr& aDaemon, const task_action& aAction)
  {
    const bool fails = Chance(mStoreFaults);
    const bool isUnanswered = !fails && Chance(mStoreFaults);
    const auto arrival = mNow + (isUnanswered ? Delay(1, 5'000) : Delay(1, 50));
    const auto answer = arrival + Delay(1, 50);
    const auto reply = [this, answer, isUnanswered](auto aAction) {
      if (!isUnanswered) {
        At(answer, std::move(aAction));
      }
    };
    if (const auto* read = std::get_if<read_task>(&aAction)) {
      At(arrival, [this, aDaemon, fails, reply, call = read->mCall] {
        reply([this, aDaemon, fails, call, record = mRecord] {
          aDaemon->mTask.OnRead(call, fails ? std::nullopt : record, fails, Now());
        });
      });
      return;
    }
    At(arrival, [this, aDaemon, fails, reply, write = std::get<write_task>(aAction)] {
      std::optional<std::uint64_t> revision;
      if (!fails && write.mRevision == (mRecord ? mRecord->mRevision : 0)) {
        revision = ++mRevision;
        mRecord = task_record{ *revision, aDaemon->mName, write.mFencing, write.mState };
      }
      reply([this, aDaemon, call = write.mCall, revision] {
        aDaemon->mTask.OnWritten(call, revision, Now());
      });
    });
  }

  void CallPlatform(const daemon_ptr& aDaemon, const usage_window& aWindow)
  {
    constexpr milliseconds kCallTimeout{ 400 };
    const auto mode = mPlatform.ModeAt(mNow);
    const auto arrival = mNow + (mode == platform_mode::Slow ? milliseconds{ 300 } : Delay(1, 50));
    // One answer in a hundred is lost.
    constexpr double kLostAnswers = 0.01;
    const bool isAnswered =
      (mode == platform_mode::Answers && !Chance(kLostAnswers)) || mode == platform_mode::Refuses;
    if (mode != platform_mode::Away) {
      At(arrival,
         [this, aWindow, mode] { mPlatform.Take(aWindow, mode != platform_mode::Refuses, mNow); });
    }
    constexpr int kTooManyRequests = 429;
    const int status = !isAnswered ? 0 : mode == platform_mode::Refuses ? kTooManyRequests : kOk;
    At(isAnswered ? arrival + Delay(1, 50) : mNow + kCallTimeout,
       [this, aDaemon, term = aDaemon->mTerm, number = aWindow.mWindow, status] {
         if (aDaemon->mIsAlive && aDaemon->mTerm == term) {
           aDaemon->mReporter.OnSent(number, status, Now());
         }
       });
  }

public:
  /// True time at the begin of the run, a multiple of the length of a window.
  static constexpr milliseconds kEpoch{ 1'700'000'000'000 };

private:
  std::mt19937_64 mRandom;
  double mStoreFaults;
  std::discrete_distribution<std::size_t> mAccounts;
  std::map<account_key, std::string> mNames;
  std::vector<slot> mSlots;
  std::vector<std::size_t> mByRank;
  std::multimap<milliseconds, std::function<void()>> mScheduled;
  std::optional<task_record> mRecord;
  std::uint64_t mRevision = 100;
  milliseconds mNow{};
  milliseconds mNextKill{ 20'000 };
};

std::uint64_t
Total(const std::map<std::string, std::uint64_t>& aCounts)
{
  std::uint64_t total = 0;
  for (const auto& [name, requests] : aCounts) {
    total += requests;
  }
  return total;
}

} // namespace

class usage_fleet_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(usage_fleet_test);
  CPPUNIT_TEST(WindowsAreReportedOnceWithTheirCounts);
  CPPUNIT_TEST(ReportsAreInTime);
  CPPUNIT_TEST(StoreFaultsCauseNoSecondReport);
  CPPUNIT_TEST_SUITE_END();

  struct figures
  {
    std::size_t mConflicts = 0;
    std::size_t mMissing = 0;
    std::size_t mOff = 0; ///< total off by more than 5 %
    std::size_t mLate = 0;
    std::string mLateWindows;
  };

  static figures Run(const char* aName, std::uint64_t aWindows, double aStoreFaults)
  {
    constexpr std::uint64_t kSeed = 21;
    const char* given = std::getenv("SKYLARKWIND_SEED"); // NOLINT(concurrency-mt-unsafe)
    const auto seed = given != nullptr ? std::strtoull(given, nullptr, 10) : kSeed;
    usage_fleet fleet{ seed, aStoreFaults };
    // The first windows end before a daemon has acquired the task.
    constexpr std::uint64_t kSkipped = 2;
    constexpr seconds kDrain{ 20 };
    fleet.Run(kWindow * static_cast<std::int64_t>(kSkipped + aWindows) + kDrain);

    figures result;
    result.mConflicts = fleet.mPlatform.mConflicts;
    const auto first = static_cast<std::uint64_t>(usage_fleet::kEpoch / kWindow) + kSkipped;
    std::uint64_t requests = 0;
    std::uint64_t reported = 0;
    for (auto window = first; window < first + aWindows; ++window) {
      const auto truth = Total(fleet.mTruth[window]);
      requests += truth;
      const auto found = fleet.mPlatform.mReports.find(window);
      if (found == fleet.mPlatform.mReports.end()) {
        ++result.mMissing;
        continue;
      }
      const auto counted = Total(found->second.mCounts);
      reported += counted;
      constexpr double kTolerance = 0.05;
      const auto difference = static_cast<double>(counted) - static_cast<double>(truth);
      result.mOff += std::abs(difference) > kTolerance * static_cast<double>(truth) ? 1 : 0;
      const auto end = kWindow * static_cast<std::int64_t>(window + 1) - usage_fleet::kEpoch;
      if (found->second.mAcceptedAt > end + kDeadline &&
          fleet.mPlatform.TakesDuring(end, end + kDeadline)) {
        ++result.mLate;
        result.mLateWindows += " " + std::to_string(window - first) + " after " +
                               std::to_string((found->second.mAcceptedAt - end).count()) + " ms;";
      }
    }
    std::cout << aName << ": seed " << seed << ", " << aWindows << " windows, " << requests
              << " requests, " << reported << " reported, " << fleet.mTakenAlong
              << " taken along by " << fleet.mKills << " killed daemons (" << fleet.mFirstKills
              << " that reported, " << fleet.mCollectorKills << " collectors), " << fleet.mTerms
              << " acquisitions; " << result.mConflicts << " conflicts, " << result.mMissing
              << " windows missing, " << result.mOff << " off by more than 5 %, " << result.mLate
              << " late" << result.mLateWindows << '\n';
    // The disturbances took place.
    CPPUNIT_ASSERT_GREATER(aWindows / 3, static_cast<std::uint64_t>(fleet.mKills));
    CPPUNIT_ASSERT_GREATER(aWindows / 20, static_cast<std::uint64_t>(fleet.mFirstKills));
    CPPUNIT_ASSERT_GREATER(aWindows / 10, static_cast<std::uint64_t>(fleet.mCollectorKills));
    return result;
  }
  /// The run that two tests judge.
  static const figures& LongRun()
  {
    static const auto kResult = Run("usage of a fleet", kWindows, 0);
    return kResult;
  }

  /// A tenth of the daemons is killed and replaced each minute, the reporting daemon and collectors
  /// among them. Guards against two different reports of a window, and against counts that are lost
  /// on their way.
  void WindowsAreReportedOnceWithTheirCounts()
  {
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, LongRun().mConflicts);
    CPPUNIT_ASSERT_LESSEQUAL(std::size_t{ kWindows / 100 }, LongRun().mMissing + LongRun().mOff);
  }

  /// Guards against reports that wait for a takeover for longer than their deadline. A known fault,
  /// see KNOWN-RED.txt: ctest passes over it and prints it.
  void ReportsAreInTime()
  {
    const char* pass = std::getenv("SKYLARKWIND_PASS_KNOWN_RED"); // NOLINT(concurrency-mt-unsafe)
    if (pass != nullptr && LongRun().mLate > 0) {
      std::cout << "KNOWN-RED: ReportsAreInTime:" << LongRun().mLateWindows << '\n';
      return;
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(LongRun().mLateWindows, std::size_t{ 0 }, LongRun().mLate);
  }

  /// In addition, 3 % of the calls of the store fail and 3 % are carried out without an answer, up
  /// to 5 s later. Guards against a second report with other counts after a write whose result is
  /// unknown.
  void StoreFaultsCauseNoSecondReport()
  {
    constexpr double kFaults = 0.03;
    constexpr std::uint64_t kFewer = 200;
    const auto result = Run("usage of a fleet with store faults", kFewer, kFaults);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, result.mConflicts);
    CPPUNIT_ASSERT_LESSEQUAL(std::size_t{ kFewer / 100 }, result.mMissing + result.mOff);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(usage_fleet_test);

} // namespace skylarkwind
