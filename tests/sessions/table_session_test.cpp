#include "control_checks.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace skylarkwind::sessions {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kInForceLimit{ 6'000 };

/// The table: cuts, outages, operators at once, and the time until an edit is in force.
class table_session_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(table_session_test);
  CPPUNIT_TEST(DataCentreCutOff);
  CPPUNIT_TEST(DaemonStartedInAnOutage);
  CPPUNIT_TEST(TwoOperatorsAtOnce);
  CPPUNIT_TEST(EditInForceEverywhere);
  CPPUNIT_TEST_SUITE_END();

  /// Watches that the serial of a daemon never falls.
  class serial_watch
  {
  public:
    serial_watch(const test_system& aSystem, std::string aVm)
      : mThread{ [this, &aSystem, vm = std::move(aVm)] {
        std::uint64_t last = 0;
        while (!mStopped) {
          const auto serial = SerialOf(aSystem, vm);
          mFell = mFell || serial < last;
          last = serial;
          std::this_thread::sleep_for(milliseconds{ 20 });
        }
      } }
    {
    }
    ~serial_watch() { Fell(); }
    bool Fell()
    {
      mStopped = true;
      if (mThread.joinable()) {
        mThread.join();
      }
      return mFell;
    }

  private:
    std::atomic<bool> mStopped{ false };
    std::atomic<bool> mFell{ false };
    std::thread mThread;
  };

  /// Guards against a data centre that stops serving, orders engines without a lease, or falls
  /// back to an older table, when it is cut off from the platform and then from the others.
  void DataCentreCutOff()
  {
    system_options options;
    options.mEngines = { { "e1" }, { "e2" }, { "e3", "ga-b" } };
    options.mEngines[0].mRelayed = options.mEngines[1].mRelayed = true;
    options.mDaemons = { { "entry-1", "ga-a", false, true }, { "entry-2", "ga-b", true, true } };
    test_system system{ options };
    serial_watch watch{ system, "entry-2" };
    traffic load{ system, { "entry-2" } };
    CPPUNIT_ASSERT(WaitUntil([&] { return HolderOf(system, { "entry-2" }) == "entry-2"; }));
    const auto cut = [&](const std::string& aRelay, bool aCut) {
      CPPUNIT_ASSERT_EQUAL(
        200,
        system.Relay(aRelay, "/standin/faults", aCut ? R"({"cut":true})" : R"({"cut":false})")
          .mStatus);
    };
    cut("platform/entry-2", true);
    CPPUNIT_ASSERT(WaitUntil([&] { return HolderOf(system, { "entry-2" }).empty(); }));
    // The peers still pass the table on, so the daemon knows of a change that it may not order.
    auto table = system.Table();
    RowOf(table, "e3")["role"] = "decode";
    RowOf(table, "e3")["pinned"] = true;
    ApplyOrFail(system, table);
    CPPUNIT_ASSERT(WaitUntil([&] { return SerialOf(system, "entry-2") == 2; }, kInForceLimit));

    for (const auto& relay : { "links/entry-1", "links/entry-2", "engine/e1", "engine/e2" }) {
      cut(relay, true);
    }
    table = system.Table();
    table["services"][0]["time_limit_ms"] = 50'000;
    ApplyOrFail(system, table);
    CPPUNIT_ASSERT(WaitUntil([&] { return SerialOf(system, "entry-1") == 3; }, kInForceLimit));
    // A lease holder needs less for such an order: an intent, 3 s of notice, an observation.
    CPPUNIT_ASSERT(
      !WaitUntil([&] { return !EngineLog(system, "e3")["orders"].empty(); }, seconds{ 6 }));
    CPPUNIT_ASSERT(load.More(10));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, SerialOf(system, "entry-2"));
    load.CheckWhole();

    for (const auto& relay :
         { "engine/e1", "engine/e2", "links/entry-1", "links/entry-2", "platform/entry-2" }) {
      cut(relay, false);
    }
    CPPUNIT_ASSERT(WaitUntil([&] { return SerialOf(system, "entry-2") == 3; }, kInForceLimit));
    CPPUNIT_ASSERT(
      WaitUntil([&] { return IsReadyWith(system, "e3", "role", "decode"); }, seconds{ 40 }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, EngineLog(system, "e3")["orders"].size());
    CPPUNIT_ASSERT(!watch.Fell());
  }

  /// Guards against requests that fail, or a daemon that cannot start, while the platform is away.
  void DaemonStartedInAnOutage()
  {
    system_options options;
    options.mDaemons = { { "entry-1" }, { "entry-2", "ga-b" }, { "entry-3" } };
    test_system system{ options };
    system.KillDaemon("entry-3");
    CPPUNIT_ASSERT(WaitUntil([&] {
      return !HolderOf(system, { "entry-1" }).empty() && !HolderOf(system, { "entry-2" }).empty();
    }));
    traffic load{ system, { "entry-1", "entry-2" } };
    CPPUNIT_ASSERT(load.More(10));
    const auto start = std::chrono::steady_clock::now();
    SetPlatformFault(system, R"({"outage":true})");
    const auto away = [&] {
      return system.Status("entry-1").value("platform_away", false) &&
             HolderOf(system, { "entry-1", "entry-2" }).empty();
    };
    CPPUNIT_ASSERT(WaitUntil(away));
    system.StartDaemon("entry-3");
    CPPUNIT_ASSERT(WaitUntil([&] { return SerialOf(system, "entry-3") == 1; }, kInForceLimit));
    CPPUNIT_ASSERT(
      WaitUntil([&] { return Call("GET", system.Url("entry-3", "/readyz")).mStatus == 200; }));
    traffic late{ system, { "entry-3" } };
    CPPUNIT_ASSERT(late.More(20));
    CPPUNIT_ASSERT(load.More(20));
    // The outage lasts twice the lease term, so that every lease ends in it.
    CPPUNIT_ASSERT(
      WaitUntil([&] { return std::chrono::steady_clock::now() - start >= seconds{ 4 }; }));
    CPPUNIT_ASSERT_EQUAL(std::string{}, HolderOf(system, system.Vms()));
    CPPUNIT_ASSERT(load.More(20));
    SetPlatformFault(system, R"({"outage":false})");
    const auto back = [&] {
      return !system.Status("entry-3").value("platform_away", true) &&
             !HolderOf(system, { "entry-1", "entry-3" }).empty();
    };
    CPPUNIT_ASSERT(WaitUntil(back));
    late.CheckWhole();
    load.CheckWhole();
  }

  /// Guards against an edit that silently overwrites another one, or is half applied.
  void TwoOperatorsAtOnce()
  {
    test_system system;
    for (int round = 0; round < 5; ++round) {
      const auto base = system.Table();
      auto tables = std::array{ base, base };
      RowOf(tables[0], "e1")["weight"] = 2 + round;
      RowOf(tables[1], "e2")["weight"] = 2 + round;
      std::array<int, 2> status{};
      std::array<std::string, 2> output;
      std::thread other{ [&] { status[0] = ApplyAs(system, "anna", tables[0], &output[0]); } };
      status[1] = ApplyAs(system, "boris", tables[1], &output[1]);
      other.join();
      const auto winner = status[0] == 0 ? 0U : 1U;
      const auto loser = 1U - winner;
      const auto both = output[0] + output[1];
      CPPUNIT_ASSERT_EQUAL_MESSAGE(both, 0, status.at(winner));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(both, 3, status.at(loser));
      const std::string row = winner == 0 ? "e1" : "e2";
      const std::string who = winner == 0 ? "anna" : "boris";
      CPPUNIT_ASSERT_MESSAGE(both, output.at(loser).find(row) != std::string::npos);
      CPPUNIT_ASSERT_MESSAGE(both, output.at(loser).find("by " + who) != std::string::npos);
      auto expected = tables.at(winner);
      expected["serial"] = base["serial"].get<std::uint64_t>() + 1;
      // Not compared as text: the client writes 2 as 2.0.
      CPPUNIT_ASSERT_MESSAGE(system.Table().dump(), expected == system.Table());
    }
    CPPUNIT_ASSERT(WaitUntil([&] { return AllAtSerial(system, 6); }, kInForceLimit));
  }

  /// Guards against an accepted edit that takes longer than 6 s to be in force in all daemons.
  void EditInForceEverywhere()
  {
    system_options options;
    options.mEngines = { { "e1" }, { "e2", "ga-b" }, { "e3", "ga-c" } };
    options.mDaemons = { { "entry-1", "ga-a" }, { "entry-2", "ga-b" }, { "entry-3", "ga-c" },
                         { "entry-4", "ga-a" }, { "entry-5", "ga-b" }, { "entry-6", "ga-c" } };
    test_system system{ options };
    milliseconds longest{ 0 };
    constexpr int kEdits = 5;
    for (int edit = 0; edit < kEdits; ++edit) {
      auto table = system.Table();
      const auto serial = table["serial"].get<std::uint64_t>() + 1;
      RowOf(table, "e1")["weight"] = 2 + edit;
      const auto start = std::chrono::steady_clock::now();
      ApplyOrFail(system, table);
      CPPUNIT_ASSERT(WaitUntil([&] { return AllAtSerial(system, serial); }));
      longest = std::max(
        longest,
        std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start));
    }
    std::cout << "\nlongest of " << kEdits
              << " edits, from `table apply` until in force in 6 daemons: " << longest.count()
              << " ms\n";
    CPPUNIT_ASSERT(longest < kInForceLimit);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(table_session_test);

} // namespace skylarkwind::sessions
