#include "lifecycle_driver.h"

#include <cppunit/extensions/HelperMacros.h>
#include <functional>
#include <string_view>
#include <vector>

namespace skylarkwind {

namespace {

/// Letters of the states, in the order of engine_status.
constexpr std::string_view kLetters = "AOWRSDEC";

/// An event and the resulting state for each initial state; '.' means no change and '-' that the
/// event cannot occur in that state.
struct edge_row
{
  const char* mEvent;
  std::string_view mResult; ///< from A O W R S D E C
  std::function<void(lifecycle_driver&)> mApply;
};

void
ChangeRow(lifecycle_driver& aDriver, const std::function<void(engine_row&)>& aEdit)
{
  engine_row row = lifecycle_driver::Row();
  aEdit(row);
  aDriver.mEngine.OnRow(row, aDriver.Step());
}

std::vector<edge_row>
TableEdges()
{
  return {
    { "edit keeps it",
      "........",
      [](auto& aDriver) { ChangeRow(aDriver, [](auto& aRow) { aRow.mWeight = 2; }); } },
    { "edit changes its address",
      ".AAAAAAA",
      [](auto& aDriver) {
        ChangeRow(aDriver, [](auto& aRow) { aRow.mAddress = "10.0.0.2:80"; });
      } },
    { "edit changes its model",
      "..OOO...",
      [](auto& aDriver) { ChangeRow(aDriver, [](auto& aRow) { aRow.mModel = "m2"; }); } },
    { "edit drains it",
      ".EEEE...",
      [](auto& aDriver) {
        ChangeRow(aDriver, [](auto& aRow) { aRow.mIntent = engine_intent::Drain; });
      } },
    { "edit drains it and another takes that back",
      "..WWW...",
      [](auto& aDriver) {
        ChangeRow(aDriver, [](auto& aRow) { aRow.mIntent = engine_intent::Drain; });
        ChangeRow(aDriver, [](auto&) {});
      } },
    { "edit withdraws it",
      ".EEEE...",
      [](auto& aDriver) { aDriver.mEngine.OnWithdrawn(aDriver.Step()); } },
    { "its VM leaves",
      ".EEEE...",
      [](auto& aDriver) { aDriver.mEngine.OnLeaving(true, aDriver.Step()); } },
    { "an engine command appears",
      ".EEEE...",
      [](auto& aDriver) {
        aDriver.mEngine.OnCommand(lifecycle_driver::Command("o2"), aDriver.Step());
      } },
    { "its engine command ends",
      "......O.",
      [](auto& aDriver) { aDriver.mEngine.OnCommand(std::nullopt, aDriver.Step()); } },
    { "its engine command ends and it is observed",
      "WW...RWW",
      [](auto& aDriver) {
        aDriver.mEngine.OnCommand(std::nullopt, aDriver.Step());
        aDriver.mReport.mActivity = engine_report::activity::Ready;
        aDriver.Observe();
      } },
  };
}

std::vector<edge_row>
EngineEdges()
{
  return {
    { "observed ready with its engine command done",
      "W.....OO",
      [](auto& aDriver) {
        aDriver.mReport.mActivity = engine_report::activity::Ready;
        aDriver.mReport.mOrder = "o1";
        aDriver.Observe();
      } },
    { "observed with a new incarnation",
      "WE.WW..E",
      [](auto& aDriver) {
        aDriver.mReport.mActivity = engine_report::activity::Ready;
        aDriver.mReport.mOrder = "";
        aDriver.mReport.mIncarnation = 6;
        aDriver.Observe();
      } },
    { "observed in another role",
      "WE.WW..E",
      [](auto& aDriver) {
        aDriver.mReport.mActivity = engine_report::activity::Ready;
        aDriver.mReport.mOrder = "";
        aDriver.mReport.mRole = engine_role::Prefill;
        aDriver.Observe();
      } },
    { "observed loading",
      "CCCCCCC.",
      [](auto& aDriver) {
        aDriver.mReport.mActivity = engine_report::activity::Loading;
        aDriver.Observe();
      } },
    { "late response of an older incarnation",
      "........",
      [](auto& aDriver) {
        aDriver.mReport.mIncarnation = 4;
        aDriver.mEngine.OnObserved(
          { "e1", aDriver.mReport, instant{ std::chrono::seconds{ 100 } } }, aDriver.Step());
        aDriver.mEngine.OnReport(aDriver.mReport, aDriver.Step());
      } },
    { "no response for 3 s",
      ".AAAAAAA",
      [](auto& aDriver) {
        aDriver.mEngine.OnStateQuerySent(aDriver.mNow);
        aDriver.mEngine.OnObserved({ "e1", std::nullopt, aDriver.Step() }, aDriver.Step());
        aDriver.Tick(std::chrono::milliseconds{ 3'000 });
      } },
    { "two failed requests", "-OAR-D--", [](auto& aDriver) { aDriver.Complete(2, false); } },
    { "three failed requests", "-AAAAA--", [](auto& aDriver) { aDriver.Complete(3, false); } },
    { "a completed request", "--R...--", [](auto& aDriver) { aDriver.Complete(1); } },
  };
}

} // namespace

class engine_lifecycle_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(engine_lifecycle_test);
  CPPUNIT_TEST(EveryStateAndEventLeadsToTheDocumentedState);
  CPPUNIT_TEST(SecondFaultDuringAReturnStartsTheReturnAnew);
  CPPUNIT_TEST(RequestsOfTheOldIncarnationDoNotCount);
  CPPUNIT_TEST(WithdrawnDrainRestartsAtTheOpenRequests);
  CPPUNIT_TEST(RampGrowsWithCompletedWorkOnly);
  CPPUNIT_TEST(UnusedEngineStillReturns);
  CPPUNIT_TEST(FailedRecoveriesBackOff);
  CPPUNIT_TEST(EngineInServiceIsNotRampedForANewDaemon);
  CPPUNIT_TEST(OlderLoadFiguresAreIgnored);
  CPPUNIT_TEST(PlainServerReturnsThroughOneProbe);
  CPPUNIT_TEST(RefusalsDoNotTakeAnEngineOutOfService);
  CPPUNIT_TEST(ExplanationsNameTheReason);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against an event that leaves an engine in a state that the table of
  /// docs/lifecycle.md does not give.
  void EveryStateAndEventLeadsToTheDocumentedState()
  {
    std::vector<edge_row> edges = TableEdges();
    const auto more = EngineEdges();
    edges.insert(edges.end(), more.begin(), more.end());
    for (const edge_row& edge : edges) {
      for (std::size_t from = 0; from < kLetters.size(); ++from) {
        if (edge.mResult[from] == '-') {
          continue;
        }
        lifecycle_driver driver;
        driver.Reach(static_cast<engine_status>(from));
        CPPUNIT_ASSERT_EQUAL(kLetters[from], Letter(driver));
        edge.mApply(driver);
        const char expected = edge.mResult[from] == '.' ? kLetters[from] : edge.mResult[from];
        CPPUNIT_ASSERT_EQUAL_MESSAGE(
          std::string(edge.mEvent) + " in state " + kLetters[from], expected, Letter(driver));
      }
    }
  }

  /// Guards against a return to service that continues with observations made before a second fault
  /// or table edit.
  void SecondFaultDuringAReturnStartsTheReturnAnew()
  {
    lifecycle_driver driver;
    driver.Reach(engine_status::Ramping);
    driver.mReport.mIncarnation = 6;
    driver.Observe();
    CPPUNIT_ASSERT_EQUAL('W', Letter(driver));
    driver.mEngine.OnCommand(lifecycle_driver::Command("o1"), driver.Step());
    driver.mReport.mActivity = engine_report::activity::Changing;
    driver.Observe();
    driver.mReport.mActivity = engine_report::activity::Ready;
    driver.mReport.mIncarnation = 7; // crashed while it changed
    driver.Observe();
    CPPUNIT_ASSERT_EQUAL('E', Letter(driver));
    driver.mEngine.OnLeaving(true, driver.Step());
    driver.mEngine.OnCommand(std::nullopt, driver.Step());
    driver.Observe();
    CPPUNIT_ASSERT_EQUAL('E', Letter(driver));
    driver.mEngine.OnLeaving(false, driver.Step());
    CPPUNIT_ASSERT_EQUAL('W', Letter(driver));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 7 }, driver.mEngine.View().mIncarnation);
  }

  /// Guards against failed requests of a crashed process that count against its successor.
  void RequestsOfTheOldIncarnationDoNotCount()
  {
    lifecycle_driver driver;
    driver.Reach(engine_status::Serving);
    for (int i = 0; i < 5; ++i) {
      driver.mEngine.OnAttemptStarted(driver.Step());
    }
    driver.mReport.mIncarnation = 6;
    driver.Observe();
    for (int i = 0; i < 5; ++i) {
      driver.mEngine.OnAttemptEnded(attempt_health::Failed, driver.Step());
      CPPUNIT_ASSERT_EQUAL('W', Letter(driver));
    }
    driver.Complete(1);
    CPPUNIT_ASSERT_EQUAL('R', Letter(driver));
  }

  /// Guards against an engine that gets no requests at all after its drain was withdrawn.
  void WithdrawnDrainRestartsAtTheOpenRequests()
  {
    lifecycle_driver driver;
    driver.mContext.mServingInFlight = 100;
    driver.Reach(engine_status::Draining);
    driver.mEngine.OnAttemptStarted(driver.Step());
    driver.mEngine.OnContext(driver.mContext);
    driver.mEngine.OnCommand(std::nullopt, driver.Step());
    driver.Observe();
    CPPUNIT_ASSERT_EQUAL('R', Letter(driver));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, driver.mEngine.View().mInFlightLimit);
  }

  /// Guards against a ramp that grows because of stale load figures, or that a failure does not
  /// reduce.
  void RampGrowsWithCompletedWorkOnly()
  {
    lifecycle_driver driver({ 4, 0 });
    driver.mContext.mServingInFlight = 100;
    driver.mEngine.OnContext(driver.mContext);
    driver.Reach(engine_status::Ramping);
    for (int i = 0; i < 20; ++i) {
      driver.mReport.mRunning = static_cast<std::uint64_t>(i % 2);
      driver.mReport.mKvUsedTokens += 1'000;
      driver.mNow += std::chrono::milliseconds{ 200 };
      driver.Observe();
      driver.Tick(std::chrono::milliseconds{ 10 });
    }
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, driver.mEngine.FleetLimit());
    driver.mReport.mOutputTokensTotal += 2 * return_ramp::kUnitsPerRequest;
    driver.Observe();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, driver.mEngine.FleetLimit());
    driver.Complete(1);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 8 }, driver.mEngine.FleetLimit());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, driver.mEngine.View().mInFlightLimit);
    driver.Complete(1, false);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, driver.mEngine.FleetLimit());
  }

  /// Guards against an engine that never returns to service because no daemon may send to it, or
  /// none has requests for it.
  void UnusedEngineStillReturns()
  {
    lifecycle_driver driver({ 8, 7 });
    driver.Reach(engine_status::Warming);
    CPPUNIT_ASSERT(!driver.mEngine.View().Admits());
    for (int i = 0; i < 200 && Letter(driver) != 'S'; ++i) {
      driver.Tick(std::chrono::milliseconds{ 100 });
    }
    CPPUNIT_ASSERT_EQUAL('S', Letter(driver));
  }

  /// Guards against retrying an engine that fails every request without back-off.
  void FailedRecoveriesBackOff()
  {
    lifecycle_driver driver;
    driver.Reach(engine_status::Warming);
    driver.Complete(1, false);
    for (const int expected : { 1'000, 2'000, 4'000, 8'000, 16'000, 30'000, 30'000 }) {
      const instant failed = driver.mNow;
      driver.Observe();
      while (Letter(driver) != 'W') {
        CPPUNIT_ASSERT_EQUAL('O', Letter(driver));
        driver.Tick(std::chrono::milliseconds{ 10 });
        CPPUNIT_ASSERT(driver.mNow - failed <= std::chrono::milliseconds{ expected + 10 });
      }
      CPPUNIT_ASSERT(driver.mNow - failed >= std::chrono::milliseconds{ expected });
      driver.Complete(1, false);
    }
  }

  /// Guards against a restarted daemon that ramps up engines which are already in service.
  void EngineInServiceIsNotRampedForANewDaemon()
  {
    lifecycle_driver driver;
    driver.mReport.mOutputTokensTotal = 1'000'000;
    driver.Observe();
    CPPUNIT_ASSERT_EQUAL('S', Letter(driver));
    driver.mReport.mIncarnation = 6;
    driver.Observe();
    CPPUNIT_ASSERT_EQUAL('W', Letter(driver));
  }

  /// Guards against load figures that are overwritten by an older sample.
  void OlderLoadFiguresAreIgnored()
  {
    lifecycle_driver driver;
    driver.mReport.mRunning = 9;
    driver.Observe();
    driver.mReport.mRunning = 3;
    driver.mReport.mSampleAge = std::chrono::milliseconds{ 500 };
    driver.mEngine.OnReport(driver.mReport, driver.Step());
    driver.Observe();
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 9 }, driver.mEngine.View().mReport.mRunning);
    driver.mReport.mSampleAge = std::chrono::milliseconds{ 0 };
    driver.mEngine.OnReport(driver.mReport, driver.Step());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, driver.mEngine.View().mReport.mRunning);
  }

  /// Guards against an overload that takes engines out of service and thereby grows.
  void RefusalsDoNotTakeAnEngineOutOfService()
  {
    lifecycle_driver driver;
    driver.Reach(engine_status::Serving);
    for (int i = 0; i < 20; ++i) {
      driver.mEngine.OnAttemptStarted(driver.Step());
      driver.mEngine.OnAttemptEnded(attempt_health::Refused, driver.Step());
      CPPUNIT_ASSERT(driver.mEngine.View().mStatus == engine_status::Serving);
    }
  }

  /// Guards against a plain backend server that gets all waiting calls at once when it returns.
  void PlainServerReturnsThroughOneProbe()
  {
    backend_row row;
    row.mName = "b1";
    instant now{ std::chrono::seconds{ 100 } };
    engine_lifecycle server(row, lifecycle_settings{}, now);
    server.OnContext({ { 2, 1 }, 0.0 });
    CPPUNIT_ASSERT(server.View().mStatus == engine_status::Serving);
    const auto end = [&](bool aHealthy) {
      server.OnAttemptStarted(now);
      server.OnAttemptEnded(aHealthy ? attempt_health::Answered : attempt_health::Failed, now);
    };
    for (int i = 0; i < 3; ++i) {
      end(false);
    }
    CPPUNIT_ASSERT(server.View().mStatus == engine_status::Absent);
    now += std::chrono::milliseconds{ 999 };
    server.OnTick(now);
    CPPUNIT_ASSERT(server.View().mStatus == engine_status::Absent);
    now += std::chrono::milliseconds{ 1 };
    server.OnTick(now);
    CPPUNIT_ASSERT(server.View().mStatus == engine_status::Warming);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 1 }, server.View().mInFlightLimit);
    end(true);
    CPPUNIT_ASSERT(server.View().mStatus == engine_status::Ramping);
    end(true);
    end(true);
    end(true);
    CPPUNIT_ASSERT(server.View().mStatus == engine_status::Serving);
  }

  /// Guards against an explanation that omits what the engine waits for.
  void ExplanationsNameTheReason()
  {
    for (const auto& [status, part] : std::vector<std::pair<engine_status, std::string>>{
           { engine_status::Absent, "not observed yet" },
           { engine_status::Observed, "lease holder settles" },
           { engine_status::Warming, "first completed request" },
           { engine_status::Ramping, "2 requests for all daemons" },
           { engine_status::Draining, "2 open requests" },
           { engine_status::Drained, "order o1" },
           { engine_status::Changing, "ready" } }) {
      lifecycle_driver driver;
      driver.Reach(status);
      const std::string text = driver.mEngine.Explain();
      CPPUNIT_ASSERT_MESSAGE(text, text.find(part) != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(text, text.find(EngineStatusText(status)) != std::string::npos);
    }
  }

  static char Letter(const lifecycle_driver& aDriver)
  {
    return kLetters[static_cast<std::size_t>(aDriver.Status())];
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_lifecycle_test);

} // namespace skylarkwind
