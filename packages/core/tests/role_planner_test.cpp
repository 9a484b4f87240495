#include "skylarkwind/role_planner.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cmath>
#include <functional>
#include <map>

namespace skylarkwind {

namespace {

/// Six engines of one service in two data centres: two prefill engines and four decode engines.
/// Each completes the work given by the test; the planner is called once a second.
class planner_driver
{
public:
  explicit planner_driver(const std::string& aRow = "", const std::string& aRoles = "")
    : mPlanner(*role_planner::Create({}))
  {
    std::string engines;
    for (int i = 0; i < 6; ++i) {
      engine_view view;
      view.mName = "e" + std::to_string(i);
      view.mDataCentre = i < 3 ? "a" : "b";
      view.mService = "s";
      view.mModel = "m";
      view.mRole = i % 3 == 0 ? engine_role::Prefill : engine_role::Decode;
      view.mStatus = engine_status::Serving;
      mViews.push_back(view);
      engines += (i > 0 ? "," : "") + std::string(R"({"name":")") + view.mName +
                 R"(","address":"10.0.0.)" + std::to_string(i + 1) + R"(:80","data_centre":")" +
                 view.mDataCentre + R"(","service":"s","model":"m","role":")" +
                 std::string(RoleText(view.mRole)) + "\"" + aRow + "}";
    }
    const auto parsed =
      table::Parse(R"({"serial":1,"services":[{"name":"s","kind":"model"}],)"
                   R"("models":[{"name":"m","service":"s","version":"1"}],"roles":[)" +
                   aRoles + R"(],"engines":[)" + engines + "]}");
    CPPUNIT_ASSERT_MESSAGE(parsed.status().ToString(), parsed.ok());
    mTable = *parsed;
  }

  /// Runs for `aSeconds` and returns the first change planned for `mDataCentre`. The work is given
  /// in engines, divided evenly over those of the role and capped at their capacity.
  std::optional<planned_role_change> Run(int aSeconds,
                                         const std::function<double(int)>& aPrefill,
                                         const std::function<double(int)>& aDecode)
  {
    for (int second = 0; second < aSeconds; ++second) {
      mNow += std::chrono::seconds{ 1 };
      Work(aPrefill(second), aDecode(second));
      if (auto change = mPlanner.Plan(mViews, mTable, mDataCentre, mNow)) {
        return change;
      }
    }
    return std::nullopt;
  }

  std::optional<planned_role_change> Steady(int aSeconds, double aPrefill, double aDecode)
  {
    return Run(
      aSeconds, [&](int) { return aPrefill; }, [&](int) { return aDecode; });
  }

  void Work(double aPrefill, double aDecode)
  {
    std::map<engine_role, double> engines;
    for (const engine_view& view : mViews) {
      engines[view.mRole] += 1;
    }
    for (engine_view& view : mViews) {
      const bool prefill = view.mRole != engine_role::Decode;
      const bool decode = view.mRole != engine_role::Prefill;
      const double both = engines[engine_role::Both];
      view.mReport.mName = view.mName;
      view.mReport.mPrefillTokensPerSecond = 1'000;
      view.mReport.mDecodeTokensPerSecond = 1'000;
      if (prefill) {
        const double share = aPrefill / (engines[engine_role::Prefill] + both);
        view.mReport.mPromptTokensTotal += static_cast<std::uint64_t>(1'000 * std::min(1.0, share));
      }
      if (decode) {
        const double share = aDecode / (engines[engine_role::Decode] + both);
        view.mReport.mOutputTokensTotal += static_cast<std::uint64_t>(1'000 * std::min(1.0, share));
      }
      view.mReportSampledAt = mNow;
      mPlanner.OnReport(view.mReport, mNow);
    }
  }

  role_planner mPlanner;
  std::vector<engine_view> mViews;
  table mTable;
  std::string mDataCentre = "a";
  instant mNow{ std::chrono::seconds{ 1'000 } };
};

} // namespace

class role_planner_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(role_planner_test);
  CPPUNIT_TEST(LastingShortageMovesOneEngine);
  CPPUNIT_TEST(BalancedWorkAndFastSwingsChangeNothing);
  CPPUNIT_TEST(OneDataCentreActsWhenOneMoveIsEnough);
  CPPUNIT_TEST(LimitsOfTheTableAreKept);
  CPPUNIT_TEST(NothingMovesDuringAReturn);
  CPPUNIT_TEST(EmptyRoleIsFilledAtOnce);
  CPPUNIT_TEST(MixedEnginesAbsorbASwing);
  CPPUNIT_TEST(RatesSpanARestart);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a planner that never acts, acts before the minimum stay, or acts twice.
  void LastingShortageMovesOneEngine()
  {
    planner_driver driver;
    CPPUNIT_ASSERT(!driver.Steady(20, 1.5, 3));
    CPPUNIT_ASSERT(!driver.Steady(39, 2.8, 1.5));
    const auto change = driver.Steady(10, 2.8, 1.5);
    CPPUNIT_ASSERT(change);
    CPPUNIT_ASSERT(change->mRole == engine_role::Prefill);
    CPPUNIT_ASSERT(change->mEngine == "e1" || change->mEngine == "e2");
    CPPUNIT_ASSERT(change->mReason.find("goodput seconds") != std::string::npos);
    CPPUNIT_ASSERT(!driver.Steady(9, 2.8, 1.5)); // mMaxChanging is 1
    planner_driver always; // prefill shortage from the start, all excess requests refused
    CPPUNIT_ASSERT(always.Steady(150, 2.8, 1.5));
  }

  /// Guards against changes for balanced work, and against changes that take effect too late for a
  /// fast swing between prefill and decode work.
  void BalancedWorkAndFastSwingsChangeNothing()
  {
    planner_driver balanced;
    CPPUNIT_ASSERT(!balanced.Steady(300, 1.5, 3));
    for (const int period : { 6, 10, 20 }) {
      planner_driver driver;
      const auto swing = [&](int aSecond) { return std::sin(6.2832 * aSecond / period); };
      CPPUNIT_ASSERT(!driver.Run(
        600,
        [&](int aSecond) { return 1.4 + swing(aSecond); },
        [&](int aSecond) { return 2.6 - swing(aSecond); }));
    }
  }

  /// Guards against lease holders of several data centres that all react to the same shortage.
  void OneDataCentreActsWhenOneMoveIsEnough()
  {
    int changes = 0;
    for (const std::string dataCentre : { "a", "b" }) {
      planner_driver driver;
      driver.mDataCentre = dataCentre;
      changes += driver.Steady(150, 2.6, 1.5) ? 1 : 0;
    }
    CPPUNIT_ASSERT_EQUAL(1, changes);
  }

  /// Guards against a planner that overrides the operators' settings.
  void LimitsOfTheTableAreKept()
  {
    planner_driver pinned(R"(,"pinned":true)");
    CPPUNIT_ASSERT(!pinned.Steady(200, 2.8, 1.5));
    planner_driver drained(R"(,"intent":"drain")");
    CPPUNIT_ASSERT(!drained.Steady(200, 2.8, 1.5));
    planner_driver minimum("", R"({"service":"s","role":"decode","minimum_engines":4})");
    CPPUNIT_ASSERT(!minimum.Steady(200, 2.8, 1.5));
    planner_driver last; // one prefill engine in each data centre
    CPPUNIT_ASSERT(!last.Steady(200, 0.1, 4));
  }

  /// Guards against taking a second engine out of service while one is returning, and against an
  /// engine that is gone for good and blocks all changes.
  void NothingMovesDuringAReturn()
  {
    for (const engine_status status :
         { engine_status::Observed, engine_status::Warming, engine_status::Ramping }) {
      planner_driver driver;
      driver.mViews[2].mStatus = status;
      CPPUNIT_ASSERT(!driver.Steady(10, 1.5, 3));
      CPPUNIT_ASSERT(!driver.Steady(100, 2.8, 1.5));
    }
    planner_driver gone;
    gone.mViews[0].mStatus = engine_status::Absent;
    CPPUNIT_ASSERT(!gone.Steady(29, 2.8, 1.5));
    CPPUNIT_ASSERT(gone.Steady(150, 2.8, 1.5));
  }

  /// Guards against waiting for the minimum stay while a service has no prefill engine.
  void EmptyRoleIsFilledAtOnce()
  {
    planner_driver driver;
    driver.mViews[0].mRole = engine_role::Decode;
    driver.mViews[3].mRole = engine_role::Decode;
    const auto change = driver.Steady(5, 0, 2);
    CPPUNIT_ASSERT(change);
    CPPUNIT_ASSERT(change->mRole == engine_role::Prefill);
  }

  /// Guards against a change while engines of role `both` have capacity for the work.
  void MixedEnginesAbsorbASwing()
  {
    planner_driver driver;
    driver.mViews[2].mRole = engine_role::Both;
    driver.mViews[5].mRole = engine_role::Both;
    CPPUNIT_ASSERT(!driver.Steady(300, 2.8, 1.5));
  }

  /// Guards against counting a counter reset after a restart as a burst of work.
  void RatesSpanARestart()
  {
    token_rates rates(std::chrono::seconds{ 60 });
    instant now{ std::chrono::seconds{ 10 } };
    engine_report report;
    report.mIncarnation = 1;
    for (int second = 0; second < 20; ++second) {
      report.mOutputTokensTotal += 100;
      if (second == 10) {
        report.mIncarnation = 2;
        report.mOutputTokensTotal = 100;
      }
      rates.Add(report, now += std::chrono::seconds{ 1 });
      rates.Add(report, now - std::chrono::seconds{ 2 }); // an older sample that arrives late
    }
    const token_rate rate = rates.MeanOver(std::chrono::seconds{ 10 }, now);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(100, rate.mOutput, 0.001);
    CPPUNIT_ASSERT_DOUBLES_EQUAL(
      0,
      rates.MeanOver(std::chrono::seconds{ 10 }, now + std::chrono::seconds{ 11 }).mOutput,
      0.001);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(role_planner_test);

} // namespace skylarkwind
