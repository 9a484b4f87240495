#include "skylarkwind/usage_counts.h"

#include "schedules.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

class usage_counts_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(usage_counts_test);
  CPPUNIT_TEST(RequestsAreCountedInTheirWindow);
  CPPUNIT_TEST(LostRepeatedAndReorderedMessagesKeepTheCounts);
  CPPUNIT_TEST(DaemonsThatEndKeepTheirCounts);
  CPPUNIT_TEST(LargestSumOfTheCollectorsCounts);
  CPPUNIT_TEST(ReportsOfOtherDataCentresAreNotCounted);
  CPPUNIT_TEST(OldWindowsAreDropped);
  CPPUNIT_TEST(KnownCountGrowsWhenTheListIsFull);
  CPPUNIT_TEST(CountsAreSentOnceASecondAfterItsBegin);
  CPPUNIT_TEST(StepThatIsUndoneHasNoEffect);
  CPPUNIT_TEST(PermanentStepIsFollowed);
  CPPUNIT_TEST_SUITE_END();

  static usage_message Message(const std::string& aSender,
                               std::vector<usage_count> aCounts,
                               std::uint64_t aStart = 1)
  {
    return { aSender, aStart, "z", false, std::move(aCounts) };
  }
  static usage_message Sum(const std::string& aSender,
                           const std::string& aDataCentre,
                           std::vector<usage_count> aCounts)
  {
    return { aSender, 1, aDataCentre, true, std::move(aCounts) };
  }

  void RequestsAreCountedInTheirWindow()
  {
    usage_counter counter{ seconds{ 5 } };
    CPPUNIT_ASSERT(counter.EndOf(7) == wall_instant{ seconds{ 40 } });
    for (const auto at : { 34'999, 35'000, 39'999, 40'000 }) {
      counter.OnRequestBegan("a", wall_instant{ milliseconds{ at } });
    }
    const auto account = AccountKey("a");
    const std::vector<usage_count> expected{ { 6, account, 1 },
                                             { 7, account, 2 },
                                             { 8, account, 1 } };
    CPPUNIT_ASSERT(counter.CountsFrom(0) == expected);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, counter.CountsFrom(7).size());
    counter.DropBefore(8);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, counter.CountsFrom(0).size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, counter.Changes());
  }

  /// Guards against counts that are added twice, or replaced by older ones.
  void LostRepeatedAndReorderedMessagesKeepTheCounts()
  {
    const auto failure = CheckSchedules("usage messages", 11, 200, [] {
      usage_collector collector{ "z" };
      std::map<std::pair<std::uint64_t, account_key>, std::uint64_t> expected;
      std::vector<usage_message> sent;
      for (const auto* name : { "d1", "d2", "d3" }) {
        usage_counter counter{ seconds{ 5 } };
        const auto messages = *rc::gen::inRange(1, 8);
        for (int i = 0; i < messages; ++i) {
          const auto requests = *rc::gen::inRange(0, 5);
          for (int request = 0; request < requests; ++request) {
            const std::string account = *rc::gen::element<std::string>("a", "b");
            const auto window = *rc::gen::inRange(3, 5);
            counter.OnRequestBegan(account, wall_instant{ seconds{ window * 5 } });
            ++expected[{ static_cast<std::uint64_t>(window), AccountKey(account) }];
          }
          // Only the last message of a daemon must arrive.
          const auto copies = *rc::gen::inRange(i + 1 == messages ? 1 : 0, 3);
          for (int copy = 0; copy < copies; ++copy) {
            sent.push_back(Message(name, counter.CountsFrom(0)));
          }
        }
      }
      while (!sent.empty()) {
        const auto at = sent.begin() + *rc::gen::inRange<std::ptrdiff_t>(
                                         0, static_cast<std::ptrdiff_t>(sent.size()));
        collector.OnMessage(*at);
        sent.erase(at);
      }
      const auto sums = collector.LocalSumsFrom(0);
      RC_ASSERT(sums.size() == expected.size());
      for (const auto& sum : sums) {
        RC_ASSERT(sum.mRequests == (expected[{ sum.mWindow, sum.mAccount }]));
        RC_ASSERT(collector.Total(sum.mWindow).at(sum.mAccount) == sum.mRequests);
      }
    });
    CPPUNIT_ASSERT_MESSAGE(failure, failure.empty());
  }

  /// Guards against counts that are lost with the daemon, or replaced by those of its successor of
  /// the same name, which begin at 0.
  void DaemonsThatEndKeepTheirCounts()
  {
    usage_collector collector{ "z" };
    collector.OnMessage(Message("d1", { { 7, 1, 100 } }, 11));
    collector.OnMessage(Message("d1", { { 7, 1, 3 } }, 12));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 103 }, collector.Total(7).at(1));
    collector.OnMessage(Message("d1", { { 8, 1, 5 } }, 12));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 103 }, collector.Total(7).at(1));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 5 }, collector.Total(8).at(1));
  }

  /// Guards against sums of two collectors that are added, or of which the smaller one counts.
  void LargestSumOfTheCollectorsCounts()
  {
    usage_collector collector{ "z" };
    collector.OnMessage(Message("d1", { { 7, 1, 4 }, { 7, 2, 1 } }));
    collector.OnMessage(Sum("c1", "z", { { 7, 1, 3 }, { 7, 2, 6 } }));
    collector.OnMessage(Sum("c2", "y", { { 7, 1, 10 }, { 7, 2, 20 } }));
    collector.OnMessage(Sum("c3", "y", { { 7, 1, 11 }, { 7, 2, 19 }, { 7, 3, 1 } }));
    const std::map<account_key, std::uint64_t> expected{ { 1, 4 + 11 }, { 2, 6 + 20 }, { 3, 1 } };
    CPPUNIT_ASSERT(collector.Total(7) == expected);
    CPPUNIT_ASSERT(collector.Total(8).empty());
    // Sums of others are no reports of this data centre.
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, collector.LocalSumsFrom(7).front().mRequests);
  }

  /// Guards against requests that are counted in two data centres while a daemon has a wrong list
  /// of collectors.
  void ReportsOfOtherDataCentresAreNotCounted()
  {
    usage_collector collector{ "y" };
    collector.OnMessage(Message("d1", { { 7, 1, 4 } }));
    CPPUNIT_ASSERT(collector.LocalSumsFrom(0).empty());
    CPPUNIT_ASSERT(collector.Total(7).empty());
  }

  void OldWindowsAreDropped()
  {
    usage_collector collector{ "z" };
    collector.OnMessage(Message("d1", { { 7, 1, 4 }, { 8, 1, 5 } }));
    collector.OnMessage(Sum("c2", "y", { { 7, 1, 10 }, { 8, 1, 20 } }));
    collector.DropBefore(8);
    CPPUNIT_ASSERT(collector.Total(7).empty());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 25 }, collector.Total(8).at(1));
    collector.DropBefore(9);
    CPPUNIT_ASSERT(collector.LocalSumsFrom(0).empty());
  }

  /// 10,000 accounts, the design size, in each of the 24 windows that are kept, and one more, as a
  /// window is dropped up to a second after the next one begins. Guards against a limit on the list
  /// that stops the counts of the newest windows.
  void KnownCountGrowsWhenTheListIsFull()
  {
    constexpr std::uint64_t kAccounts = 10'000;
    constexpr std::uint64_t kWindows = 25;
    usage_collector collector{ "z" };
    for (std::uint64_t window = 0; window < kWindows; ++window) {
      std::vector<usage_count> counts;
      for (std::uint64_t account = 0; account < kAccounts; ++account) {
        counts.push_back({ window, account, 1 });
      }
      collector.OnMessage(Message("d1", counts));
      for (auto& count : counts) {
        count.mRequests = 2;
      }
      collector.OnMessage(Message("d1", std::move(counts)));
    }
    const auto total = collector.Total(kWindows - 1);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ kAccounts }, total.size());
    CPPUNIT_ASSERT(std::all_of(
      total.begin(), total.end(), [](const auto& aCount) { return aCount.second == 2; }));
  }

  /// Guards against the last counts of a window that are sent up to a second after its end.
  void CountsAreSentOnceASecondAfterItsBegin()
  {
    second_timer timer{ milliseconds{ 150 } };
    CPPUNIT_ASSERT(timer.IsDue(wall_instant{ milliseconds{ 40'700 } }));
    std::vector<int> due;
    for (int at = 40'800; at < 43'000; at += 50) {
      if (timer.IsDue(wall_instant{ milliseconds{ at } })) {
        due.push_back(at);
      }
    }
    CPPUNIT_ASSERT((due == std::vector<int>{ 41'150, 42'150 }));
  }

  /// Ticks for the given time with this difference between the time of day and the true time.
  /// Returns the largest error of the estimate.
  static milliseconds Run(true_time& aTime, instant& aNow, seconds aFor, milliseconds aStep)
  {
    const milliseconds start{ 1'700'000'000'000 };
    milliseconds worst{};
    for (const auto until = aNow + aFor; aNow < until; aNow += milliseconds{ 100 }) {
      const auto truth =
        wall_instant{ start + std::chrono::duration_cast<milliseconds>(aNow.time_since_epoch()) };
      aTime.OnTick(truth + aStep, aNow);
      worst = std::max(worst, std::chrono::abs(aTime.At(aNow) - truth));
    }
    return worst;
  }

  /// Guards against windows that begin or end with a step of the time of day.
  void StepThatIsUndoneHasNoEffect()
  {
    const auto failure = CheckSchedules("steps of the time of day", 12, 300, [] {
      true_time time;
      instant now{ seconds{ 1'000 } };
      // An earlier step is forgotten a minute after it was undone.
      constexpr int kMinute = 61;
      RC_ASSERT(Run(time, now, seconds{ *rc::gen::inRange(kMinute, 200) }, {}) == milliseconds{});
      for (int i = 0; i < 3; ++i) {
        const auto worst = Run(time,
                               now,
                               seconds{ *rc::gen::inRange(1, 21) },
                               milliseconds{ *rc::gen::inRange(-30'000, 30'000) });
        RC_ASSERT(worst == milliseconds{});
        const seconds rest{ *rc::gen::inRange(kMinute, 200) };
        RC_ASSERT(Run(time, now, rest, {}) == milliseconds{});
      }
    });
    CPPUNIT_ASSERT_MESSAGE(failure, failure.empty());
  }

  /// Guards against an estimate that stays apart from the time of day for good.
  void PermanentStepIsFollowed()
  {
    for (const milliseconds step : { seconds{ 7 }, seconds{ -7 } }) {
      true_time time;
      CPPUNIT_ASSERT(time.At(instant{ seconds{ 3 } }) == wall_instant{});
      instant now{ seconds{ 1'000 } };
      Run(time, now, seconds{ 100 }, {});
      // The first half a minute could still be a step that is undone.
      CPPUNIT_ASSERT(Run(time, now, seconds{ 30 }, step) == milliseconds{});
      Run(time, now, seconds{ 2 }, step);
      for (int i = 0; i < 100; ++i) {
        const auto before = time.At(now);
        const auto error = Run(time, now, seconds{ 1 }, step);
        CPPUNIT_ASSERT(error == std::chrono::abs(step));
        CPPUNIT_ASSERT(time.At(now) - before == seconds{ 1 });
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(usage_counts_test);

} // namespace skylarkwind
