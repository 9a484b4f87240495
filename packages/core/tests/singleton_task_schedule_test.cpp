#include "schedules.h"
#include "singleton_task_simulation.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <sstream>

namespace skylarkwind {

namespace {

constexpr std::uint64_t kSeed = 20'261'206;
constexpr int kSchedules = 10'000;
/// Schedules within which a planted fault has to be found.
constexpr std::uint64_t kSchedulesToFind = 3'000;

} // namespace

/// The rules of singleton tasks over schedules with a slow, lossy and restored store.
class singleton_task_schedule_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(singleton_task_schedule_test);
  CPPUNIT_TEST(RulesHold);
  CPPUNIT_TEST(ShortWaitIsFound);
  CPPUNIT_TEST(WindowFromTheAnswerIsFound);
  CPPUNIT_TEST(TokenKeptWhilePausedIsFound);
  CPPUNIT_TEST(ClockThatStopsInAPauseIsFound);
  CPPUNIT_TEST(TokenThatDoesNotGrowIsFound);
  CPPUNIT_TEST(IgnoredEraIsFound);
  CPPUNIT_TEST(IgnoredCallIdsAreFound);
  CPPUNIT_TEST(LostAnswerTakenForSuccessIsFound);
  CPPUNIT_TEST(UnconditionalWriteIsFound);
  CPPUNIT_TEST(IgnoredStateIsFound);
  CPPUNIT_TEST(EndlessWaitIsFound);
  CPPUNIT_TEST_SUITE_END();

  /// Fails unless the checks report a violation of this rule under the fault. Other rules may be
  /// violated by it as well.
  static void Find(planted_fault aFault, const std::string& aRule)
  {
    std::string others;
    for (std::uint64_t seed = kSeed; seed < kSeed + kSchedulesToFind; ++seed) {
      const auto violations = singleton_task_simulation{ seed, aFault }.Run();
      if (const auto found = violations.find(aRule); found != violations.end()) {
        std::cout << "planted fault found in schedule " << seed << ": " << aRule << ": "
                  << found->second << '\n';
        return;
      }
      others = violations.empty() ? others : violations.begin()->first;
    }
    CPPUNIT_FAIL("no violation of \"" + aRule + "\"; last other one: " + others);
  }

  /// Guards against holders that share a token or use a lower one, act within the lease time of
  /// another, act after their time or lose the stored state, and against a task that stays free.
  void RulesHold()
  {
    std::size_t takeovers = 0;
    std::uint64_t restorations = 0;
    const auto failure = CheckSchedules("singleton task", kSeed, kSchedules, [&] {
      const auto seed =
        *rc::gen::noShrink(rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>()));
      singleton_task_simulation simulation{ seed, planted_fault::None };
      const auto violations = simulation.Run();
      takeovers += simulation.Takeovers();
      restorations += simulation.Restorations();
      for (const auto& [rule, detail] : violations) {
        std::ostringstream text;
        text << "schedule " << seed << ": " << rule << ": " << detail;
        RC_FAIL(text.str());
      }
    });
    std::cout << "singleton task: " << takeovers << " takeovers, " << restorations
              << " restorations\n";
    CPPUNIT_ASSERT_EQUAL(std::string{}, failure);
    CPPUNIT_ASSERT(takeovers > 0 && restorations > 0);
  }

  // Each of the following fails if the check of the rule can't find the fault.

  void ShortWaitIsFound()
  {
    Find(planted_fault::ShortWait, "lease time");
    Find(planted_fault::ShortWait, "holders A, B, A");
  }
  void WindowFromTheAnswerIsFound() { Find(planted_fault::WindowFromAnswer, "call window"); }
  void TokenKeptWhilePausedIsFound() { Find(planted_fault::TokenKeptWhilePaused, "call window"); }
  void ClockThatStopsInAPauseIsFound() { Find(planted_fault::ClockStopsInPause, "call window"); }
  void TokenThatDoesNotGrowIsFound() { Find(planted_fault::TokenDoesNotGrow, "shared token"); }
  void IgnoredEraIsFound()
  {
    Find(planted_fault::EraIgnored, "lower token");
    Find(planted_fault::EraIgnored, "lease time");
  }
  void IgnoredCallIdsAreFound() { Find(planted_fault::CallIdsIgnored, "call window"); }
  void LostAnswerTakenForSuccessIsFound()
  {
    Find(planted_fault::LostAnswerIsSuccess, "call window");
  }
  void UnconditionalWriteIsFound() { Find(planted_fault::UnconditionalWrite, "lease time"); }
  void IgnoredStateIsFound() { Find(planted_fault::StateIgnored, "state"); }
  void EndlessWaitIsFound() { Find(planted_fault::WaitsForever, "liveness"); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(singleton_task_schedule_test);

} // namespace skylarkwind
