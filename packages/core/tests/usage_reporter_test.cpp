#include "skylarkwind/usage_reporter.h"

#include "schedules.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <limits>

namespace skylarkwind {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

class usage_reporter_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(usage_reporter_test);
  CPPUNIT_TEST(WindowIsFixedWhenItHasSettled);
  CPPUNIT_TEST(NothingIsSentThatIsNotStored);
  CPPUNIT_TEST(StoredWindowsAreSentWhileTheNextOneIsStored);
  CPPUNIT_TEST(SuccessorsReceiveTheSums);
  CPPUNIT_TEST(SuccessorActsWhenAWindowIsOverdue);
  CPPUNIT_TEST(HolderActsUntilItsWindowsAreSent);
  CPPUNIT_TEST(RepeatsHaveTheSameCounts);
  CPPUNIT_TEST(WindowsAreSentInOrder);
  CPPUNIT_TEST(RefusedReportsAreNotRepeated);
  CPPUNIT_TEST(UnansweredReportDoesNotHoldUpOthers);
  CPPUNIT_TEST(NextHolderSendsWhatIsStored);
  CPPUNIT_TEST(EmptyOrMalformedStateBeginsWithTheOpenWindow);
  CPPUNIT_TEST(StateOfAnotherEraIsSkipped);
  CPPUNIT_TEST(MalformedWindowsAreSkipped);
  CPPUNIT_TEST(FixedWindowsAreNotFixedAgain);
  CPPUNIT_TEST(WaitingWindowsAreBounded);
  CPPUNIT_TEST(StateStaysBelowTheLimitOfTheStore);
  CPPUNIT_TEST(DamagedStateDoesNotThrow);
  CPPUNIT_TEST_SUITE_END();

  using counts = std::map<std::string, std::uint64_t>;
  static constexpr std::uint64_t kFirst = 1'000;
  static constexpr std::size_t kMostWaiting = 120;
  static constexpr seconds kWindow{ 5 };
  static constexpr seconds kSettle{ 3 };

  static usage_reporter Reporter() { return { kWindow, kSettle }; }
  /// Time after the begin of a window.
  static wall_instant Begin(std::uint64_t aWindow, milliseconds aAfter = {})
  {
    return wall_instant{ kWindow * static_cast<std::int64_t>(aWindow) } + aAfter;
  }
  static instant At(milliseconds aTime) { return instant{ seconds{ 100 } + aTime }; }
  static counts CountOf(std::uint64_t aWindow) { return { { "a", aWindow }, { "b", 1 } }; }
  /// A later count of the same window, which must never be used.
  static counts OtherCountOf(std::uint64_t aWindow) { return { { "a", aWindow + 1 } }; }

  /// A reporter that has fixed so many windows from `kFirst` on, and its state.
  static std::pair<usage_reporter, std::string> WithWindows(std::uint64_t aCount)
  {
    auto reporter = Reporter();
    reporter.OnAcquired({}, 1, Begin(kFirst));
    auto state = reporter.FixWindows(CountOf, Begin(kFirst + aCount, kSettle));
    CPPUNIT_ASSERT(state);
    return { std::move(reporter), *std::move(state) };
  }
  static std::string StateWith(const json& aWindows, const json& aNext = kFirst + 2)
  {
    return json{ { "next", aNext }, { "era", 1 }, { "windows", aWindows } }.dump();
  }

  void WindowIsFixedWhenItHasSettled()
  {
    auto reporter = Reporter();
    CPPUNIT_ASSERT(reporter.IsDue(Begin(kFirst)));
    CPPUNIT_ASSERT(!reporter.FixWindows(CountOf, Begin(kFirst)));
    reporter.OnAcquired({}, 1, Begin(kFirst));
    const auto before = Begin(kFirst + 1, kSettle - milliseconds{ 1 });
    CPPUNIT_ASSERT(!reporter.IsDue(before));
    CPPUNIT_ASSERT(!reporter.FixWindows(CountOf, before));
    CPPUNIT_ASSERT(reporter.IsDue(Begin(kFirst + 1, kSettle)));
    CPPUNIT_ASSERT(reporter.FixWindows(CountOf, Begin(kFirst + 1, kSettle)));
    CPPUNIT_ASSERT(!reporter.FixWindows(CountOf, Begin(kFirst + 1, kSettle)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, reporter.Waiting());
  }

  /// Guards against counts that the next holder does not know.
  void NothingIsSentThatIsNotStored()
  {
    auto [reporter, state] = WithWindows(1);
    CPPUNIT_ASSERT(!reporter.Next({}, At({})));
    const auto next = reporter.FixWindows(CountOf, Begin(kFirst + 2, kSettle));
    CPPUNIT_ASSERT(next);
    CPPUNIT_ASSERT(!reporter.Next(state, At({})));
    CPPUNIT_ASSERT(reporter.Next(*next, At({})));
  }

  /// Guards against windows that wait for a write that they do not need after a takeover.
  void StoredWindowsAreSentWhileTheNextOneIsStored()
  {
    const auto [first, state] = WithWindows(1);
    auto second = Reporter();
    second.OnAcquired(state, 1, Begin(kFirst + 3));
    const auto next = second.FixWindows(OtherCountOf, Begin(kFirst + 3));
    CPPUNIT_ASSERT(next);
    const auto window = second.Next(state, At({}));
    CPPUNIT_ASSERT(window && *window == (usage_window{ kFirst, CountOf(kFirst) }));
    second.OnSent(kFirst, 200, At({}));
    CPPUNIT_ASSERT(!second.Next(state, At({})));
    CPPUNIT_ASSERT(second.Next(*next, At({})));
  }

  /// Guards against a successor that has no sums: when the first daemon ends, the next one of its
  /// data centre ranks first, not the second one in the list.
  void SuccessorsReceiveTheSums()
  {
    using order = std::vector<std::size_t>;
    const auto of = [](const std::vector<std::string>& aDataCentres) {
      return ReportingOrder(aDataCentres);
    };
    CPPUNIT_ASSERT(of({}).empty());
    CPPUNIT_ASSERT(of({ "a" }) == order{ 0 });
    CPPUNIT_ASSERT((of({ "a", "a", "a" }) == order{ 0, 1 }));
    CPPUNIT_ASSERT((of({ "a", "b", "c" }) == order{ 0, 1 }));
    CPPUNIT_ASSERT((of({ "a", "b", "c", "a", "b" }) == order{ 0, 3, 1 }));
  }

  /// Guards against reports that wait for a first daemon that has just started.
  void SuccessorActsWhenAWindowIsOverdue()
  {
    const auto [first, state] = WithWindows(1);
    auto second = Reporter();
    const auto due = Begin(kFirst + 2, kSettle);
    const milliseconds late{ 3'000 };
    CPPUNIT_ASSERT(second.ActsAsFirst(state, 0, due));
    CPPUNIT_ASSERT(!second.ActsAsFirst(state, 1, due + late - milliseconds{ 1 }));
    CPPUNIT_ASSERT(second.ActsAsFirst(state, 1, due + late));
    CPPUNIT_ASSERT(!second.ActsAsFirst(state, 2, due + late));
    CPPUNIT_ASSERT(second.ActsAsFirst(state, 2, due + late + seconds{ 1 }));
    for (const auto* none : { "", "{", "[]", R"({"next":-1})" }) {
      CPPUNIT_ASSERT(!second.ActsAsFirst(none, 1, due + seconds{ 100 }));
    }
  }

  /// Guards against windows that a holder has stored and not sent when another daemon ranks first
  /// again.
  void HolderActsUntilItsWindowsAreSent()
  {
    auto [reporter, state] = WithWindows(1);
    const auto now = Begin(kFirst + 1, kSettle);
    CPPUNIT_ASSERT(reporter.ActsAsFirst(state, 1, now));
    // Also while the next window is not stored yet, and not once another daemon has written.
    CPPUNIT_ASSERT(reporter.FixWindows(CountOf, now + kWindow));
    CPPUNIT_ASSERT(reporter.ActsAsFirst(state, 1, now + kWindow));
    CPPUNIT_ASSERT(!reporter.ActsAsFirst(StateWith(json::object(), kFirst + 2), 1, now + kWindow));
    CPPUNIT_ASSERT(reporter.Next(state, At({})));
    reporter.OnSent(kFirst, 200, At({}));
    reporter.OnAcquired(StateWith(json::object(), kFirst + 2), 1, now + kWindow);
    CPPUNIT_ASSERT(!reporter.ActsAsFirst(StateWith(json::object(), kFirst + 2), 1, now + kWindow));
  }

  /// Guards against two different reports of one window, and against repeats in quick succession.
  void RepeatsHaveTheSameCounts()
  {
    for (const auto status : { 429, 500, 503, 0, -1 }) {
      auto [reporter, state] = WithWindows(1);
      auto now = milliseconds{};
      const usage_window expected{ kFirst, CountOf(kFirst) };
      for (int i = 0; i < 10; ++i) {
        const auto window = reporter.Next(state, At(now));
        CPPUNIT_ASSERT(window && *window == expected);
        // Slow: nothing else is sent before this attempt has ended.
        now += milliseconds{ 400 };
        CPPUNIT_ASSERT(!reporter.Next(state, At(now)));
        reporter.OnSent(kFirst, status, At(now));
        CPPUNIT_ASSERT(!reporter.FixWindows(OtherCountOf, Begin(kFirst + 1, kSettle)));
        now += milliseconds{ 499 };
        CPPUNIT_ASSERT(!reporter.Next(state, At(now)));
        now += milliseconds{ 1 };
      }
      CPPUNIT_ASSERT(reporter.Next(state, At(now)));
      reporter.OnSent(kFirst, 200, At(now));
      CPPUNIT_ASSERT(!reporter.Next(state, At(now + seconds{ 1 })));
      CPPUNIT_ASSERT(!reporter.IsDue(Begin(kFirst + 1, kSettle)));
    }
  }

  void WindowsAreSentInOrder()
  {
    auto [reporter, state] = WithWindows(5);
    auto now = milliseconds{};
    for (std::uint64_t number = kFirst; number < kFirst + 5; ++number) {
      for (const auto status : { 429, 503, 429, 503, 429, 0, 200 }) {
        const auto window = reporter.Next(state, At(now));
        CPPUNIT_ASSERT(window);
        CPPUNIT_ASSERT_EQUAL(number, window->mWindow);
        reporter.OnSent(number, status, At(now));
        now += milliseconds{ status == 200 ? 0 : 500 };
      }
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, reporter.Waiting());
  }

  /// Guards against a report that the platform never takes and that holds up all later ones.
  void RefusedReportsAreNotRepeated()
  {
    for (const auto status : { 200, 204, 400, 409 }) {
      auto [reporter, state] = WithWindows(2);
      CPPUNIT_ASSERT(reporter.Next(state, At({})));
      reporter.OnSent(kFirst, status, At({}));
      const auto window = reporter.Next(state, At({}));
      CPPUNIT_ASSERT(window && window->mWindow == kFirst + 1);
    }
  }

  /// A platform that takes reports and answers later than the caller waits. Guards against one
  /// report that is repeated without end while no other one is sent.
  void UnansweredReportDoesNotHoldUpOthers()
  {
    auto [reporter, state] = WithWindows(4);
    std::map<std::uint64_t, counts> sent;
    auto now = milliseconds{};
    std::uint64_t last = kFirst;
    for (int i = 0; i < 40; ++i, now += milliseconds{ 500 }) {
      const auto window = reporter.Next(state, At(now));
      CPPUNIT_ASSERT(window);
      if (!sent.contains(window->mWindow)) {
        CPPUNIT_ASSERT_GREATEREQUAL(last, window->mWindow);
        last = window->mWindow;
      }
      sent[window->mWindow] = window->mCounts;
      reporter.OnSent(window->mWindow, 0, At(now));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 4 }, sent.size());
    for (int i = 0; i < 4; ++i) {
      const auto window = reporter.Next(state, At(now));
      CPPUNIT_ASSERT(window && window->mCounts == sent[window->mWindow]);
      reporter.OnSent(window->mWindow, 200, At(now));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, reporter.Waiting());
  }

  /// Guards against other counts after a takeover, and against windows that are left out.
  void NextHolderSendsWhatIsStored()
  {
    const auto [first, state] = WithWindows(2);
    auto second = Reporter();
    second.OnAcquired(state, 1, Begin(kFirst + 4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, second.Waiting());
    const auto repeated = second.Next(state, At({}));
    CPPUNIT_ASSERT(repeated && *repeated == (usage_window{ kFirst, CountOf(kFirst) }));
    second.OnSent(kFirst, 200, At({}));
    const auto next = second.FixWindows(OtherCountOf, Begin(kFirst + 4));
    CPPUNIT_ASSERT(next);
    for (const auto& [number, expected] : { std::pair{ kFirst + 1, CountOf(kFirst + 1) },
                                            std::pair{ kFirst + 2, OtherCountOf(kFirst + 2) } }) {
      const auto window = second.Next(*next, At({}));
      CPPUNIT_ASSERT(window && *window == (usage_window{ number, expected }));
      second.OnSent(number, 200, At({}));
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, second.Waiting());
  }

  /// Guards against windows that an earlier holder may have sent with other counts.
  void EmptyOrMalformedStateBeginsWithTheOpenWindow()
  {
    const auto huge = std::numeric_limits<std::uint64_t>::max();
    for (const auto& state : { std::string{},
                               std::string{ "{" },
                               std::string{ "[]" },
                               std::string{ "7" },
                               std::string{ R"({"next":-1,"era":1})" },
                               std::string{ R"({"next":1.5,"era":1})" },
                               std::string{ R"({"next":5})" },
                               std::string{ R"({"next":5,"era":"1"})" },
                               StateWith(json::object(), huge) }) {
      auto reporter = Reporter();
      reporter.OnAcquired(state, 1, Begin(kFirst, seconds{ 4 }));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, reporter.Waiting());
      CPPUNIT_ASSERT_MESSAGE(state, !reporter.FixWindows(CountOf, Begin(kFirst, seconds{ 4 })));
      const auto next = reporter.FixWindows(CountOf, Begin(kFirst + 1, kSettle));
      CPPUNIT_ASSERT_MESSAGE(state, next);
      const auto window = reporter.Next(*next, At({}));
      CPPUNIT_ASSERT(window && *window == (usage_window{ kFirst, CountOf(kFirst) }));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, reporter.Waiting());
    }
  }

  /// Guards against windows that were sent after the copy was made from which the store was
  /// restored.
  void StateOfAnotherEraIsSkipped()
  {
    const auto [first, state] = WithWindows(2);
    auto reporter = Reporter();
    reporter.OnAcquired(state, 2, Begin(kFirst + 6));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, reporter.Waiting());
    CPPUNIT_ASSERT(!reporter.Next(state, At({})));
    const auto next = reporter.FixWindows(OtherCountOf, Begin(kFirst + 7, kSettle));
    CPPUNIT_ASSERT(next);
    const auto window = reporter.Next(*next, At({}));
    CPPUNIT_ASSERT(window && window->mWindow == kFirst + 6);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, reporter.Waiting());
    // The state belongs to the new era.
    auto successor = Reporter();
    successor.OnAcquired(*next, 2, Begin(kFirst + 8));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, successor.Waiting());
  }

  /// Guards against reports of windows that do not exist, and against a window that is sent with a
  /// part of its counts. A window from `next` on would be sent as it is and again when it is fixed.
  void MalformedWindowsAreSkipped()
  {
    const json good{ { "a", 4 } };
    const json windows{ { "1000", good },
                        { "", good },
                        { "7x", good },
                        { "-1", good },
                        { "99999999999999999999999", good },
                        { "1001", { { "a", 4 }, { "b", -1 } } },
                        { "999", { { "a", "4" } } },
                        { "998", 3 },
                        { "1002", good },
                        { "5000", good } };
    auto reporter = Reporter();
    const auto state = StateWith(windows);
    reporter.OnAcquired(state, 1, Begin(kFirst + 2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, reporter.Waiting());
    const auto window = reporter.Next(state, At({}));
    CPPUNIT_ASSERT(window && *window == (usage_window{ kFirst, { { "a", 4 } } }));
    for (const auto& none : { json{}, json::array(), json("x") }) {
      reporter.OnAcquired(StateWith(none), 1, Begin(kFirst + 2));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, reporter.Waiting());
    }
  }

  /// Guards against a holder whose clock is behind that of the one before.
  void FixedWindowsAreNotFixedAgain()
  {
    const auto [first, state] = WithWindows(4);
    auto second = Reporter();
    second.OnAcquired(state, 1, Begin(kFirst + 1));
    CPPUNIT_ASSERT(!second.FixWindows(OtherCountOf, Begin(kFirst + 2, kSettle)));
    CPPUNIT_ASSERT(!second.FixWindows(OtherCountOf, Begin(kFirst + 4, kSettle)));
    CPPUNIT_ASSERT(second.FixWindows(OtherCountOf, Begin(kFirst + 5, kSettle)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 5 }, second.Waiting());
  }

  /// Guards against a state that grows without bound while the platform does not answer.
  void WaitingWindowsAreBounded()
  {
    auto reporter = Reporter();
    reporter.OnAcquired({}, 1, Begin(kFirst));
    std::string state;
    for (std::uint64_t window = kFirst + 1; window <= kFirst + 300; ++window) {
      state = reporter.FixWindows(CountOf, Begin(window, kSettle)).value_or(state);
      CPPUNIT_ASSERT_LESSEQUAL(kMostWaiting, reporter.Waiting());
    }
    CPPUNIT_ASSERT_EQUAL(kMostWaiting, reporter.Waiting());
    const auto oldest = reporter.Next(state, At({}));
    CPPUNIT_ASSERT(oldest && oldest->mWindow == kFirst + 300 - kMostWaiting);
    // The same after a time without any holder.
    auto [next, before] = WithWindows(2);
    const auto after = next.FixWindows(CountOf, Begin(kFirst + 100'000, kSettle));
    CPPUNIT_ASSERT(after);
    CPPUNIT_ASSERT_EQUAL(kMostWaiting, next.Waiting());
    // A state with more of them.
    json windows = json::object();
    for (std::uint64_t window = kFirst; window < kFirst + 200; ++window) {
      windows[std::to_string(window)] = CountOf(window);
    }
    auto third = Reporter();
    third.OnAcquired(StateWith(windows, kFirst + 200), 1, Begin(kFirst + 200));
    CPPUNIT_ASSERT_EQUAL(kMostWaiting, third.Waiting());
  }

  /// 10,000 accounts, the design size, while the platform does not answer. Guards against a record
  /// that the store rejects, after which nothing can be reported any more.
  void StateStaysBelowTheLimitOfTheStore()
  {
    constexpr std::size_t kMostBytes = 1'000'000;
    counts many;
    for (std::uint64_t account = 0; account < 10'000; ++account) {
      many["account-" + std::to_string(account)] = 1'000'000 + account;
    }
    auto reporter = Reporter();
    reporter.OnAcquired({}, 1, Begin(kFirst));
    std::string state;
    for (std::uint64_t window = kFirst + 1; window <= kFirst + 20; ++window) {
      state = reporter.FixWindows([&](std::uint64_t) { return many; }, Begin(window, kSettle))
                .value_or(state);
      // The state is a text in another JSON object, where each quote takes a second byte.
      const auto stored = json(state).dump().size();
      CPPUNIT_ASSERT_MESSAGE(std::to_string(stored), stored < kMostBytes);
    }
    CPPUNIT_ASSERT_GREATER(std::size_t{ 0 }, reporter.Waiting());
    auto next = Reporter();
    next.OnAcquired(state, 1, Begin(kFirst + 20));
    CPPUNIT_ASSERT_EQUAL(reporter.Waiting(), next.Waiting());
    const auto window = reporter.Next(state, At({}));
    CPPUNIT_ASSERT(window && window->mCounts == many);
  }

  void DamagedStateDoesNotThrow()
  {
    const auto [first, intact] = WithWindows(3);
    const auto failure = CheckSchedules("damaged states", 13, 500, [&state = intact] {
      auto damaged = state;
      const auto at = *rc::gen::inRange<std::size_t>(0, damaged.size());
      if (*rc::gen::arbitrary<bool>()) {
        damaged.resize(at);
      } else {
        damaged[at] = *rc::gen::arbitrary<char>();
      }
      auto reporter = Reporter();
      reporter.OnAcquired(damaged, 1, Begin(kFirst + 3));
      RC_ASSERT(reporter.Waiting() <= 3U);
      reporter.FixWindows(CountOf, Begin(kFirst + 4, kSettle));
    });
    CPPUNIT_ASSERT_MESSAGE(failure, failure.empty());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(usage_reporter_test);

} // namespace skylarkwind
