#include "node_world.h"

#include <cppunit/extensions/HelperMacros.h>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

namespace skylarkwind {

namespace {

using ms = std::chrono::milliseconds;

/// Compares the trace with tests/golden/<name>.txt; SKYLARKWIND_UPDATE_GOLDEN=1 rewrites the file.
void
CompareWithGolden(const std::string& aName, const node_world& aWorld)
{
  std::ostringstream text;
  for (const auto& line : aWorld.mTrace) {
    text << line << "\n";
  }
  const auto path =
    std::string{ SKYLARKWIND_SOURCE_DIR } + "/packages/core/tests/golden/" + aName + ".txt";
  const char* update = std::getenv("SKYLARKWIND_UPDATE_GOLDEN"); // NOLINT(concurrency-mt-unsafe)
  if (update != nullptr && std::string{ update } == "1") {
    std::ofstream{ path } << text.str();
    return;
  }
  std::ostringstream golden;
  golden << std::ifstream{ path }.rdbuf();
  if (golden.str() != text.str()) {
    const auto actual = "/tmp/skylarkwind_" + aName + ".txt";
    std::ofstream{ actual } << text.str();
    CPPUNIT_FAIL("the session differs from " + path + ", see " + actual);
  }
}

node_world_settings
Traced(std::vector<std::string> aDaemons, std::vector<std::string> aEngines)
{
  node_world_settings settings;
  settings.mDaemons = std::move(aDaemons);
  settings.mEngines = std::move(aEngines);
  settings.mTrace = true;
  return settings;
}

} // namespace

class node_golden_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(node_golden_test);
  CPPUNIT_TEST(StreamedAnswer);
  CPPUNIT_TEST(EngineKilledMidStream);
  CPPUNIT_TEST(OrderRepeatedElsewhere);
  CPPUNIT_TEST(ConcurrencyLimit);
  CPPUNIT_TEST(DrainWithdrawn);
  CPPUNIT_TEST(GracefulShutdown);
  CPPUNIT_TEST(EditRace);
  CPPUNIT_TEST(ReturnWithEdit);
  CPPUNIT_TEST(CutAndHeal);
  CPPUNIT_TEST(AuthorityFailover);
  CPPUNIT_TEST_SUITE_END();

  /// Waits until all daemons serve, and clears the trace of the start.
  static void Settle(node_world& aWorld)
  {
    CPPUNIT_ASSERT(aWorld.RunUntil([&] { return aWorld.AllServing(); }, ms{ 60'000 }));
    aWorld.Run(ms{ 2'000 });
    aWorld.mTrace.clear();
  }
  static void Await(node_world& aWorld, std::uint64_t aCaller)
  {
    CPPUNIT_ASSERT(aWorld.RunUntil([&] { return aWorld.Ended(aCaller); }, ms{ 15'000 }));
  }
  static void Finish(const std::string& aName, const node_world& aWorld)
  {
    CPPUNIT_ASSERT_EQUAL(std::string{},
                         aWorld.mViolations.empty() ? std::string{} : aWorld.mViolations.front());
    CompareWithGolden(aName, aWorld);
  }

public:
  // Guards against tokens of a stream that are lost, repeated or belong to another request, from
  // the start of the daemon on.
  void StreamedAnswer()
  {
    node_world world{ Traced({ "a" }, { "a", "a" }) };
    CPPUNIT_ASSERT(world.RunUntil([&] { return world.AllServing(); }, ms{ 60'000 }));
    const auto caller = world.Generate(0, 5);
    Await(world, caller);
    CPPUNIT_ASSERT(world.Caller(caller).mComplete);
    Finish("streamed_answer", world);
  }

  // Guards against a stream that ends or restarts when its engine is killed.
  void EngineKilledMidStream()
  {
    node_world world{ Traced({ "a" }, { "a", "a" }) };
    Settle(world);
    const auto caller = world.Generate(0, 8);
    CPPUNIT_ASSERT(world.RunUntil([&] { return world.Caller(caller).mOffset == 3; }, ms{ 5'000 }));
    for (std::size_t i = 0; i < 2; ++i) {
      if (world.OpenAt(i) > 0) {
        world.Note(world.mBackends[i].mEngine.mName, "is killed");
        world.mBackends[i].Crash(world.mTime.Now(), ms{ 2'000 });
        break;
      }
    }
    Await(world, caller);
    CPPUNIT_ASSERT(world.Caller(caller).mComplete);
    world.Run(ms{ 4'000 });
    CPPUNIT_ASSERT(world.RunUntil([&] { return world.AllServing(); }, ms{ 20'000 }));
    Finish("engine_killed_mid_stream", world);
  }

  // Guards against a second execution of a non-idempotent request that the caller retries at
  // another daemon.
  void OrderRepeatedElsewhere()
  {
    node_world world{ Traced({ "a", "a" }, { "a" }) };
    Settle(world);
    Await(world, world.Order(0, "k"));
    Await(world, world.Order(1, "k"));
    CPPUNIT_ASSERT_EQUAL(1,
                         world.mBackends[1].mOrderRuns["k"] + world.mBackends[2].mOrderRuns["k"]);
    Finish("order_repeated", world);
  }

  // Guards against more requests in flight across two daemons than the limit of the account.
  void ConcurrencyLimit()
  {
    auto settings = Traced({ "a", "a" }, { "a", "a" });
    settings.mLimit = 2;
    node_world world{ settings };
    Settle(world);
    const auto first = world.Generate(0, 40, true);
    const auto second = world.Generate(0, 40, true);
    world.Run(ms{ 500 });
    const auto third = world.Generate(1, 3, true);
    Await(world, third);
    CPPUNIT_ASSERT_EQUAL(429, world.Caller(third).mStatus);
    CPPUNIT_ASSERT(world.Caller(third).mSaidNotRun);
    Await(world, first);
    Await(world, second);
    world.Run(ms{ 3'500 }); // An unused amount is released within 3 s.
    const auto fourth = world.Generate(1, 3, true);
    Await(world, fourth);
    CPPUNIT_ASSERT(world.Caller(fourth).mComplete);
    Finish("concurrency_limit", world);
  }

  // Guards against new work on a draining engine, and against one that stays out of use after the
  // drain is withdrawn.
  void DrainWithdrawn()
  {
    node_world world{ Traced({ "a", "a" }, { "a", "a" }) };
    Settle(world);
    const auto open = world.Generate(0, 60);
    world.SetIntent("operator", 0, true);
    world.Run(ms{ 1'500 });
    Await(world, world.Generate(1, 3));
    Await(world, world.Generate(0, 3));
    Await(world, open);
    world.Run(ms{ 500 });
    world.SetIntent("operator", 0, false);
    world.Run(ms{ 500 });
    CPPUNIT_ASSERT(world.RunUntil([&] { return world.AllServing(); }, ms{ 20'000 }));
    Finish("drain_withdrawn", world);
  }

  // Guards against a shutdown that interrupts a stream or accepts new work.
  void GracefulShutdown()
  {
    node_world world{ Traced({ "a", "a" }, { "a", "a" }) };
    Settle(world);
    const auto open = world.Generate(0, 8);
    world.Run(ms{ 100 });
    world.Shutdown(0);
    const auto late = world.Generate(0, 3);
    Await(world, open);
    CPPUNIT_ASSERT(world.Caller(open).mComplete && world.Caller(late).mSaidNotRun);
    CPPUNIT_ASSERT(world.RunUntil([&] { return world.mDaemons[0].mStopped; }, ms{ 5'000 }));
    Finish("graceful_shutdown", world);
  }

  // Guards against a lost edit when two operators write at once.
  void EditRace()
  {
    node_world world{ Traced({ "a", "a" }, { "a", "a" }) };
    Settle(world);
    world.SetIntent("operator 1", 0, true);
    world.SetIntent("operator 2", 1, true);
    world.Run(ms{ 1'000 });
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, world.mDaemons[0].mNode->Table().Serial());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 2 }, world.mDaemons[1].mNode->Table().Serial());
    Finish("edit_race", world);
  }

  // Guards against an edit that restarts or skips the ramp-up of a returning engine.
  void ReturnWithEdit()
  {
    node_world world{ Traced({ "a" }, { "a", "a" }) };
    Settle(world);
    world.Note("e0", "is killed");
    world.mBackends[0].Crash(world.mTime.Now(), ms{ 5'000 });
    const auto status = [&] { return world.mDaemons[0].mNode->Fleet().Engines()[0].mStatus; };
    CPPUNIT_ASSERT(world.RunUntil([&] { return status() == engine_status::Absent; }, ms{ 10'000 }));
    CPPUNIT_ASSERT(
      world.RunUntil([&] { return status() == engine_status::Warming; }, ms{ 20'000 }));
    world.Edit("operator", [](nlohmann::json& aTable) { aTable["engines"][0]["weight"] = 2; });
    world.Run(ms{ 200 });
    for (int i = 0; i < 4; ++i) {
      Await(world, world.Generate(0, 2));
    }
    CPPUNIT_ASSERT(world.RunUntil([&] { return world.AllServing(); }, ms{ 20'000 }));
    Finish("return_with_edit", world);
  }

  // Guards against a data centre that stops serving during a network partition, or keeps an old
  // table after it.
  void CutAndHeal()
  {
    node_world world{ Traced({ "a", "b" }, { "a", "b" }) };
    Settle(world);
    world.Note("network", "cuts b off from a and the platform");
    world.mPartitions = { { "a", "b" }, { "b", "platform" } };
    world.Edit("operator", [](nlohmann::json& aTable) { aTable["engines"][0]["weight"] = 2; });
    world.Run(ms{ 9'000 });
    Await(world, world.Generate(0, 2));
    Await(world, world.Generate(1, 2));
    Await(world, world.Order(1, "k"));
    world.Note("network", "heals");
    world.mPartitions.clear();
    CPPUNIT_ASSERT(world.RunUntil(
      [&] { return world.mDaemons[1].mNode->Table().Serial() == 2 && world.AllServing(); },
      ms{ 30'000 }));
    Await(world, world.Order(1, "k"));
    Finish("cut_and_heal", world);
  }

  // Guards against two lease holders, or none, after the holder is killed.
  void AuthorityFailover()
  {
    node_world world{ Traced({ "a", "a" }, { "a", "a" }) };
    Settle(world);
    const auto holds = [&](std::size_t aDaemon) {
      return world.mDaemons[aDaemon].mNode &&
             world.mDaemons[aDaemon].mNode->Control().HoldsLease(world.mTime.Now());
    };
    CPPUNIT_ASSERT(world.RunUntil([&] { return holds(0) || holds(1); }, ms{ 20'000 }));
    const std::size_t first = holds(0) ? 0 : 1;
    world.Kill(first);
    CPPUNIT_ASSERT(world.RunUntil([&] { return holds(1 - first); }, ms{ 20'000 }));
    world.Edit("operator", [](nlohmann::json& aTable) { aTable["models"][0]["version"] = "2"; });
    CPPUNIT_ASSERT(world.RunUntil(
      [&] {
        return world.mBackends[0].mEngine.mVersion == "2" &&
               world.mBackends[1].mEngine.mVersion == "2";
      },
      ms{ 120'000 }));
    Finish("authority_failover", world);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_golden_test);

} // namespace skylarkwind
