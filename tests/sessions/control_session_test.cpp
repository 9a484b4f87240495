#include "control_checks.h"

#include <cppunit/extensions/HelperMacros.h>

#include <iostream>

namespace skylarkwind::sessions {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Engine orders: who gives them, and what requests notice of them.
class control_session_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(control_session_test);
  CPPUNIT_TEST(VersionEditUnderLoad);
  CPPUNIT_TEST(HolderPausedInAChangeWithFencingChecks);
  CPPUNIT_TEST(HolderPausedInAChangeWithoutFencingChecks);
  CPPUNIT_TEST(EngineCrashesInAChange);
  CPPUNIT_TEST(DrainWithdrawnHalfWay);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kChangeMs = 600;

  /// Guards against a version edit that cuts requests, takes two engines of a data centre out at
  /// once, or orders an engine twice.
  void VersionEditUnderLoad()
  {
    system_options options;
    for (auto& engine : options.mEngines) {
      engine.mFlags = { "--change_ms=" + std::to_string(kChangeMs) };
    }
    options.mDaemons = { { "entry-1" }, { "entry-2" }, { "entry-3", "ga-b" } };
    test_system system{ options };
    traffic load{ system, system.Vms() };
    CPPUNIT_ASSERT(load.More(10));
    auto table = system.Table();
    table["models"][0]["version"] = "2";
    ApplyOrFail(system, table);
    const std::vector<std::string> names{ "e1", "e2", "e3" };
    const auto changed = [&] {
      CPPUNIT_ASSERT(OpenOrders(system, "ga-a").size() <= 1);
      return std::ranges::all_of(names, [&](const std::string& aName) {
        return IsReadyWith(system, aName, "version", "2");
      });
    };
    CPPUNIT_ASSERT(WaitUntil(changed, seconds{ 60 }));
    CPPUNIT_ASSERT(WaitUntil(
      [&] { return OpenOrders(system, "ga-a").empty() && OpenOrders(system, "ga-b").empty(); }));
    load.CheckWhole();

    std::map<std::string, json> order;
    for (const auto& name : names) {
      const auto log = EngineLog(system, name);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(log["orders"].dump(), std::size_t{ 1 }, log["orders"].size());
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, log["refused_orders"].size());
      order[name] = log["orders"][0];
      CPPUNIT_ASSERT_EQUAL_MESSAGE("requests ran", 0, order[name]["running"].get<int>());
    }
    const auto apart =
      order["e1"]["at_ms"].get<std::int64_t>() - order["e2"]["at_ms"].get<std::int64_t>();
    CPPUNIT_ASSERT(std::abs(apart) >= kChangeMs);
    CheckAudit(system, order);
  }

  /// Each order has an intent, a sending and a settlement in the audit, next to the edit.
  static void CheckAudit(const test_system& aSystem, const std::map<std::string, json>& aOrders)
  {
    std::string audit;
    const auto complete = [&] {
      CPPUNIT_ASSERT_EQUAL_MESSAGE(audit, 0, aSystem.Client("entry-1", { "audit" }, &audit));
      return std::ranges::all_of(aOrders, [&](const auto& aEntry) {
        const auto id = aEntry.second["order"].template get<std::string>();
        const auto has = [&](const std::string& aText) {
          return audit.find(aText) != std::string::npos;
        };
        return has("intent " + id + " for engine " + aEntry.first) &&
               has("order " + id + " sent to engine " + aEntry.first) &&
               has("order " + id + " of engine " + aEntry.first +
                   " settled: the engine carried it out");
      });
    };
    CPPUNIT_ASSERT_MESSAGE(audit, WaitUntil(complete, seconds{ 6 }));
    CPPUNIT_ASSERT_MESSAGE(audit, audit.find("test: table serial 2, 1 rows") != std::string::npos);
  }

  /// Guards against orders of a daemon that lost its lease while it was paused (I1, I3).
  void HolderPausedInAChangeWithFencingChecks() { PauseHolder(true); }

  /// The same with engines that take any fencing number.
  void HolderPausedInAChangeWithoutFencingChecks() { PauseHolder(false); }

  static void PauseHolder(bool aChecksFencing)
  {
    system_options options;
    options.mEngines = { { "e1" }, { "e2" } };
    options.mDaemons.clear();
    for (auto& engine : options.mEngines) {
      engine.mChecksFencing = aChecksFencing;
    }
    for (const auto& vm : { "entry-1", "entry-2", "entry-3" }) {
      options.mDaemons.push_back({ vm, "ga-a", true });
    }
    test_system system{ options };
    std::string paused;
    CPPUNIT_ASSERT(WaitUntil([&] { return !(paused = HolderOf(system, system.Vms())).empty(); }));
    auto table = system.Table();
    RowOf(table, "e1")["role"] = "decode";
    RowOf(table, "e1")["pinned"] = true;
    ApplyOrFail(system, table);
    CPPUNIT_ASSERT(WaitUntil([&] { return !OpenOrders(system, "ga-a").empty(); }));
    const auto intended = std::chrono::steady_clock::now();
    system.Daemon(paused).Signal(SIGSTOP);
    CPPUNIT_ASSERT(EngineLog(system, "e1")["orders"].empty());

    auto others = system.Vms();
    std::erase(others, paused);
    std::string next;
    CPPUNIT_ASSERT(WaitUntil([&] { return !(next = HolderOf(system, others)).empty(); }));
    const auto fencing = system.Status(next)["fencing"].get<std::uint64_t>();
    // On waking, the platform does not answer, so that only its own clock tells the daemon that
    // its lease ended; and the notice time of its intent has passed, so that it could order.
    const auto relay = "platform/" + paused;
    system.Relay(relay, "/standin/faults", R"({"silence_all":true})");
    CPPUNIT_ASSERT(WaitUntil(
      [&] { return std::chrono::steady_clock::now() - intended > milliseconds{ 3'300 }; }));
    CPPUNIT_ASSERT(EngineLog(system, "e1")["orders"].empty());
    system.Daemon(paused).Signal(SIGCONT);
    const auto changed = [&] {
      return IsReadyWith(system, "e1", "role", "decode") && OpenOrders(system, "ga-a").empty();
    };
    CPPUNIT_ASSERT(WaitUntil(changed, seconds{ 40 }));
    system.Relay(relay, "/standin/faults", R"({"silence_all":false})");
    const auto woken = [&] {
      const auto status = system.Status(paused);
      return status.value("lease_holder", "").find(next) != std::string::npos &&
             !status.value("holds_lease", true);
    };
    CPPUNIT_ASSERT(WaitUntil(woken));
    for (const auto& name : { "e1", "e2" }) {
      CheckOrders(EngineLog(system, name), paused, fencing);
    }
    CPPUNIT_ASSERT(EngineLog(system, "e2")["orders"].empty());
    for (const auto& vm : system.Vms()) {
      CPPUNIT_ASSERT_EQUAL(200, system.Complete(vm, "after the pause", 10).mStatus);
    }
  }

  /// All orders have one target, fencing numbers do not fall, and the paused daemon gave none.
  static void CheckOrders(const json& aLog, const std::string& aPaused, std::uint64_t aFencing)
  {
    std::uint64_t last = aFencing;
    std::set<std::string> targets;
    for (const auto& order : aLog["orders"]) {
      CPPUNIT_ASSERT_MESSAGE(aLog.dump(), order["fencing"].get<std::uint64_t>() >= last);
      last = order["fencing"];
      targets.insert(order["role"].dump() + order["model"].dump() + order["version"].dump());
      CPPUNIT_ASSERT_EQUAL_MESSAGE(aLog.dump(), 0, order["running"].get<int>());
    }
    CPPUNIT_ASSERT_MESSAGE(aLog.dump(), targets.size() <= 1);
    CPPUNIT_ASSERT_MESSAGE(aLog.dump(), aLog["refused_orders"].empty());
    for (const auto& order : aLog["orders"]) {
      const auto id = order["order"].get<std::string>();
      CPPUNIT_ASSERT_MESSAGE(aLog.dump(), !id.starts_with(aPaused + "-"));
    }
  }

  /// Guards against an engine that stays out of service, or requests that fail, after a crash in
  /// the middle of an order.
  void EngineCrashesInAChange()
  {
    system_options options;
    options.mEngines = { { "e1" }, { "e2" }, { "e3" } };
    options.mEngines[0].mRole = "decode";
    options.mEngines[0].mFlags = { "--crash_in_change=true" };
    options.mDaemons = { { "entry-1" }, { "entry-2" } };
    test_system system{ options };
    traffic load{ system, system.Vms() };
    CPPUNIT_ASSERT(load.More(10));
    auto table = system.Table();
    RowOf(table, "e1")["role"] = "both";
    RowOf(table, "e1")["pinned"] = true;
    ApplyOrFail(system, table);
    CPPUNIT_ASSERT(system.Engine("e1").WaitForExit(seconds{ 20 }));
    CPPUNIT_ASSERT(WIFEXITED(system.Engine("e1").Status()));
    CPPUNIT_ASSERT(load.More(10));
    system.RestartEngine("e1", {});
    const auto serves = [&] {
      return IsReadyWith(system, "e1", "role", "both") &&
             !EngineLog(system, "e1")["streams"].empty();
    };
    CPPUNIT_ASSERT_MESSAGE(system.EngineStatus("entry-1", "e1"), WaitUntil(serves, seconds{ 40 }));
    const auto inService = [&] {
      return std::ranges::all_of(system.Vms(), [&](const std::string& aVm) {
        const auto status = system.EngineStatus(aVm, "e1");
        return status == "ramping" || status == "serving";
      });
    };
    CPPUNIT_ASSERT(WaitUntil(inService));
    load.CheckWhole();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, EngineLog(system, "e1")["orders"].size());
  }

  /// Guards against a stream that a drain cuts, and an engine that a withdrawn drain leaves out.
  void DrainWithdrawnHalfWay()
  {
    system_options options;
    for (auto& engine : options.mEngines) {
      engine.mFlags = { "--stream_tokens_per_s=40" };
    }
    test_system system{ options };
    constexpr long kTokens = 400;
    const auto stream = system.Stream("entry-1", "long stream", kTokens);
    std::string engine;
    const auto busy = [&] {
      const auto status = system.Status("entry-1");
      for (const auto& row : status["backend_servers"]) {
        engine = row.value("in_flight", 0) > 0 ? row["name"].get<std::string>() : engine;
      }
      return !engine.empty();
    };
    CPPUNIT_ASSERT(WaitUntil(busy));
    const auto everywhere = [&](const std::set<std::string>& aStatuses) {
      return WaitUntil([&] {
        return std::ranges::all_of(system.Vms(), [&](const std::string& aVm) {
          return aStatuses.contains(system.EngineStatus(aVm, engine));
        });
      });
    };
    const std::vector<std::string> edit{ "--who=test", "--why=session" };
    std::string output;
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      output, 0, system.Client("entry-1", { edit[0], edit[1], "drain", engine }, &output));
    CPPUNIT_ASSERT(everywhere({ "draining", "drained" }));
    const auto before = EngineLog(system, engine)["streams"].size();
    CPPUNIT_ASSERT_EQUAL(std::string{ "draining" }, system.EngineStatus("entry-1", engine));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      output, 0, system.Client("entry-1", { edit[0], edit[1], "serve", engine }, &output));
    CPPUNIT_ASSERT(everywhere({ "warming", "ramping", "serving" }));
    CPPUNIT_ASSERT(!stream->Ended());
    {
      traffic load{ system, system.Vms() };
      CPPUNIT_ASSERT(
        WaitUntil([&] { return EngineLog(system, engine)["streams"].size() > before; }));
      load.CheckWhole();
    }
    const auto view = ReadStream(stream->Wait().mBody);
    CPPUNIT_ASSERT(view.mDone);
    CPPUNIT_ASSERT_EQUAL(kTokens,
                         static_cast<long>(std::count(view.mText.begin(), view.mText.end(), ' ')));
    const auto log = EngineLog(system, engine);
    const auto stayed = std::ranges::any_of(log["streams"], [&](const json& aStream) {
      return aStream.value("tokens", 0L) == kTokens && aStream.value("resume_from", 0L) == 0;
    });
    CPPUNIT_ASSERT_MESSAGE("the stream moved to another engine", stayed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, log["orders"].size());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(control_session_test);

} // namespace skylarkwind::sessions
