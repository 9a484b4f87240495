#include "gateway_system.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sys/wait.h>

#include <fstream>

namespace skylarkwind::sessions {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// The daemon before a stand-in of the users' platform, with the faults of its pages.
class gateway_session_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(gateway_session_test);
  CPPUNIT_TEST(StreamRunsThroughPrefillAndDecode);
  CPPUNIT_TEST(HeadersOfDaemonsAreTakenOffRequests);
  CPPUNIT_TEST(CutStreamGoesOnAtAnotherEngine);
  CPPUNIT_TEST(CutStreamThatMayNotRepeatIsBrokenOff);
  CPPUNIT_TEST(OrderWithoutAnswerRunsOnce);
  CPPUNIT_TEST(RefusedOrderGoesToAnotherServer);
  CPPUNIT_TEST(RefusalSaysWhenToComeBack);
  CPPUNIT_TEST(UnsignedAnswerIsNoSuccess);
  CPPUNIT_TEST(AnswerOfAnotherRequestIsNotPassedOn);
  CPPUNIT_TEST(CallerThatLeavesEndsTheWork);
  CPPUNIT_TEST(TimeLimitIsKept);
  CPPUNIT_TEST(LargeBodyIsRefused);
  CPPUNIT_TEST(SilentPrefillEngineIsLeft);
  CPPUNIT_TEST(ComputedPromptGoesToAnotherDecodeEngine);
  CPPUNIT_TEST(ChangedSettingsAreReadWhileItServes);
  CPPUNIT_TEST(RefusedConnectionIsNoRepeat);
  CPPUNIT_TEST(UntakenCacheIsReleased);
  CPPUNIT_TEST(NewConfigurationComesIntoForceAndStays);
  CPPUNIT_TEST(DrainingServerGetsNothingNew);
  CPPUNIT_TEST(ChangeInALostHistoryIsSeen);
  CPPUNIT_TEST(ServesWhileTheStoreIsAway);
  CPPUNIT_TEST(StartsFromANeighbourWhileTheStoreIsAway);
  CPPUNIT_TEST(ChangeReachesDaemonsThatDoNotFollowTheStore);
  CPPUNIT_TEST(StoreThatIsAwayIsNotCalledInALoop);
  CPPUNIT_TEST(StopEndsOpenStreamsWhole);
  CPPUNIT_TEST(OneDaemonOrdersTheWantedRoles);
  CPPUNIT_TEST_SUITE_END();

  static gateway_options Options()
  {
    gateway_options options;
    options.mBackends = {
      { "p1", "model", "prefill" }, { "d1" }, { "d2" }, { "s1", "plain" }, { "s2", "plain" }
    };
    // As the stand-ins are: one of three model servers prefills.
    options.mPrefillShare = 0.34;
    return options;
  }

  static std::string Events(int aFrom, int aTo)
  {
    std::string text;
    for (int id = aFrom; id <= aTo; ++id) {
      text += "id: " + std::to_string(id) + "\ndata: token" + std::to_string(id) + "\n\n";
    }
    return text;
  }

  static header_lines OrderHeaders(const std::string& aId)
  {
    return { "X-Skylarkwind-Request-Id: " + aId, "X-Skylarkwind-Deadline-Ms: 3000" };
  }

  /// Length of the whole stream that a request asks for.
  static constexpr int kEvents = 12;

  static http_reply Stream(const gateway_system& aSystem, const std::string& aRoute)
  {
    return aSystem.Send(
      "POST", "/" + aRoute + "/x", gateway_system::StreamHeaders("r1", kEvents), "b");
  }

  void StreamRunsThroughPrefillAndDecode()
  {
    const gateway_system system{ Options() };
    const auto reply = Stream(system, "stream");
    CPPUNIT_ASSERT_EQUAL(200, reply.mStatus);
    CPPUNIT_ASSERT_EQUAL(Events(1, kEvents), reply.mBody);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, system.Count("ran"));
  }

  /// Guards against a caller that uses the KV cache or the hold of another, and against requests
  /// that reach another server than the one that was chosen.
  void HeadersOfDaemonsAreTakenOffRequests()
  {
    const gateway_system system{ Options() };
    auto headers = OrderHeaders("r1");
    headers.insert(headers.end(),
                   { "X-Skylarkwind-Kv-Hold: 7",
                     "X-Skylarkwind-Kv-Source: 10.0.0.1:1/x",
                     "X-Skylarkwind-Pin-Ms: 9",
                     "X-Skylarkwind-Kv-Backup: 10.0.0.1:1",
                     "X-Skylarkwind-Stage: prefill",
                     "X-Skylarkwind-Expect-Instance: nobody",
                     "Kv-Fetch: 10.0.0.1:1",
                     "X-Own: kept" });
    CPPUNIT_ASSERT_EQUAL(200, system.Send("POST", "/order/a?q=1", headers, "body").mStatus);
    auto arrivals = system.Arrivals("s1");
    if (arrivals.empty()) {
      arrivals = system.Arrivals("s2");
    }
    const auto& seen = arrivals.at(0)["headers"];
    for (const auto* name : { "x-skylarkwind-kv-hold",
                              "x-skylarkwind-kv-source",
                              "x-skylarkwind-pin-ms",
                              "x-skylarkwind-kv-backup",
                              "x-skylarkwind-stage",
                              "kv-fetch" }) {
      CPPUNIT_ASSERT_MESSAGE(name, !seen.contains(name));
    }
    CPPUNIT_ASSERT_EQUAL(std::string{ "kept" }, seen["x-own"].get<std::string>());
    CPPUNIT_ASSERT(seen["x-skylarkwind-expect-instance"].get<std::string>().starts_with("s"));
    CPPUNIT_ASSERT(std::stoi(seen["x-skylarkwind-deadline-ms"].get<std::string>()) <= 3'000);
    CPPUNIT_ASSERT_EQUAL(std::string{ "body" }, arrivals.at(0)["body"].get<std::string>());
  }

  /// Guards against pieces that are missing or come twice after an engine stops within an event.
  void CutStreamGoesOnAtAnotherEngine()
  {
    gateway_system system{ Options() };
    system.SetMode("d1", "cut");
    for (int i = 0; i < 4; ++i) {
      const auto reply = Stream(system, "stream");
      CPPUNIT_ASSERT(!reply.mBroken);
      CPPUNIT_ASSERT_EQUAL(Events(1, kEvents), reply.mBody);
    }
  }

  /// Guards against a stream that looks complete although its engine broke it off.
  void CutStreamThatMayNotRepeatIsBrokenOff()
  {
    gateway_system system{ Options() };
    system.SetMode("d1", "cut");
    system.SetMode("d2", "cut");
    const auto reply = Stream(system, "once-stream");
    CPPUNIT_ASSERT(reply.mBroken);
    CPPUNIT_ASSERT_EQUAL(Events(1, 3), reply.mBody);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, system.Count("ran"));
  }

  /// Guards against an order that runs twice because its first answer was lost.
  void OrderWithoutAnswerRunsOnce()
  {
    gateway_system system{ Options() };
    system.SetMode("s1", "torn");
    system.SetMode("s2", "torn");
    const auto reply = system.Send("POST", "/order/a", OrderHeaders("r1"), "x");
    CPPUNIT_ASSERT_EQUAL(502, reply.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, system.Count("ran"));
  }

  void RefusedOrderGoesToAnotherServer()
  {
    gateway_system system{ Options() };
    system.SetMode("s1", "shed");
    for (int i = 0; i < 6; ++i) {
      CPPUNIT_ASSERT_EQUAL(
        200, system.Send("POST", "/order/a", OrderHeaders("r" + std::to_string(i)), "x").mStatus);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 6 }, system.Count("ran"));
  }

  void RefusalSaysWhenToComeBack()
  {
    gateway_system system{ Options() };
    system.SetMode("s1", "shed");
    system.SetMode("s2", "shed");
    const auto reply = system.Send("POST", "/order/a", OrderHeaders("r1"), "x");
    CPPUNIT_ASSERT_EQUAL(503, reply.mStatus);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, system.Count("ran"));
  }

  void UnsignedAnswerIsNoSuccess()
  {
    gateway_system system{ Options() };
    system.SetMode("s1", "unsigned");
    system.SetMode("s2", "unsigned");
    CPPUNIT_ASSERT_EQUAL(502, system.Send("POST", "/order/a", OrderHeaders("r1"), "x").mStatus);
  }

  /// Guards against a late second answer that is taken for the next one on its connection (MIXED on
  /// scale-1 of tallow-creek-grown: it bore no id).
  void AnswerOfAnotherRequestIsNotPassedOn()
  {
    gateway_system system{ Options() };
    for (const auto* mode : { "other_id", "no_id" }) {
      system.SetMode("s1", mode);
      system.SetMode("s2", mode);
      CPPUNIT_ASSERT_EQUAL(502, system.Send("POST", "/order/a", OrderHeaders("r1"), "x").mStatus);
    }
  }

  /// Guards against engines at work for callers that have left; the bound is half a second.
  void CallerThatLeavesEndsTheWork()
  {
    auto options = Options();
    for (auto& backend : options.mBackends) {
      backend.mEventMs = 50;
    }
    const gateway_system system{ options };
    open_call call{ system.CallerUrl("/stream/x"), gateway_system::StreamHeaders("r1", 70), "b" };
    CPPUNIT_ASSERT(WaitUntil([&] { return call.Received().find("token2") != std::string::npos; }));
    call.Abort();
    CPPUNIT_ASSERT(WaitUntil([&] { return call.Ended(); }));
    CPPUNIT_ASSERT(WaitUntil([&] { return system.Count("cancelled") == 1; }, milliseconds{ 500 }));
  }

  void TimeLimitIsKept()
  {
    gateway_system system{ Options() };
    system.SetMode("s1", "mute");
    system.SetMode("s2", "mute");
    const auto began = std::chrono::steady_clock::now();
    const auto reply =
      system.Send("POST",
                  "/order/a",
                  { "X-Skylarkwind-Request-Id: r1", "X-Skylarkwind-Deadline-Ms: 800" },
                  "x");
    const auto taken = std::chrono::steady_clock::now() - began;
    CPPUNIT_ASSERT_EQUAL(504, reply.mStatus);
    CPPUNIT_ASSERT(taken >= milliseconds{ 700 } && taken < milliseconds{ 1'300 });
  }

  void LargeBodyIsRefused()
  {
    const gateway_system system{ Options() };
    const std::string body(20'000, 'x');
    CPPUNIT_ASSERT_EQUAL(413, system.Send("POST", "/order/a", OrderHeaders("r1"), body).mStatus);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, system.Count("ran"));
  }

  /// Guards against settings that take effect only with a restart, and against a faulty file that
  /// ends a daemon or changes a part of them.
  void ChangedSettingsAreReadWhileItServes()
  {
    gateway_system system{ Options() };
    const auto file = system.Directory() + "/vm-0.yaml";
    const auto counted = [&](const std::string& aOutcome) {
      const auto row = "skylarkwind_settings_readings_total{outcome=\"" + aOutcome + "\"} 1";
      return system.Metrics().find(row) != std::string::npos;
    };
    std::ofstream{ file, std::ios::app } << "  log_level: warning\n";
    CPPUNIT_ASSERT(WaitUntil([&] { return counted("taken"); }, seconds{ 4 }));
    std::ofstream{ file, std::ios::app } << "  repeat_floor: many\n";
    system.Daemon().Signal(SIGHUP);
    CPPUNIT_ASSERT(WaitUntil([&] { return counted("faulty"); }, seconds{ 4 }));
    CPPUNIT_ASSERT_EQUAL(200, Stream(system, "stream").mStatus);
  }

  /// Guards against requests that are refused although no server has seen them: connections to
  /// engines that have crashed are no repeats.
  void RefusedConnectionIsNoRepeat()
  {
    auto options = Options();
    options.mBackends.push_back({ "p2", "model", "prefill" });
    options.mBackends.push_back({ "p3", "model", "prefill" });
    options.mPrefillShare = 0.6;
    options.mRepeatRatio = 0;
    options.mRepeatFloor = 0;
    gateway_system system{ options };
    for (const auto* crashed : { "p1", "p2" }) {
      system.Backend(crashed).Signal(SIGKILL);
      CPPUNIT_ASSERT(system.Backend(crashed).WaitForExit(seconds{ 5 }));
    }
    for (int i = 0; i < 6; ++i) {
      const auto reply = system.Send(
        "POST", "/stream/x", gateway_system::StreamHeaders("r" + std::to_string(i), kEvents), "b");
      CPPUNIT_ASSERT_EQUAL(200, reply.mStatus);
    }
  }

  /// Guards against prompts that wait for a dark engine until their callers leave.
  void SilentPrefillEngineIsLeft()
  {
    gateway_system system{ Options() };
    system.SetMode("p1", "mute");
    const auto began = std::chrono::steady_clock::now();
    const auto reply = Stream(system, "stream");
    CPPUNIT_ASSERT_EQUAL(Events(1, kEvents), reply.mBody);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - began < milliseconds{ 2'000 });
  }

  /// Guards against prompts that are computed once more because the decode engine, chosen before,
  /// has no room: the pattern of a swing to long outputs, when many daemons choose the same engine.
  void ComputedPromptGoesToAnotherDecodeEngine()
  {
    gateway_system system{ Options() };
    system.SetMode("d1", "shed");
    CPPUNIT_ASSERT_EQUAL(Events(1, kEvents), Stream(system, "stream").mBody);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, system.Count("shed"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, system.Count("prefilled"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, system.Count("ran"));
    const auto arrivals = system.Arrivals("d2");
    CPPUNIT_ASSERT(arrivals.at(0)["headers"].contains("x-skylarkwind-kv-source"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, system.Count("released"));
  }

  /// Guards against KV caches that stay in an engine's memory although nobody will take them.
  void UntakenCacheIsReleased()
  {
    gateway_system system{ Options() };
    system.SetMode("d1", "shed");
    system.SetMode("d2", "shed");
    CPPUNIT_ASSERT_EQUAL(503, Stream(system, "stream").mStatus);
    CPPUNIT_ASSERT(system.Count("prefilled") > 0);
    CPPUNIT_ASSERT(WaitUntil([&] { return system.Count("released") == system.Count("prefilled"); },
                             seconds{ 3 }));
  }

  void NewConfigurationComesIntoForceAndStays()
  {
    gateway_system system{ Options() };
    auto next = gateway_system::FirstConfiguration();
    next["Version"] = 9;
    next["Routes"].erase(3);
    system.Configure(next);
    const auto status = [&] { return system.Send("GET", "/lookup/a", OrderHeaders("r1")).mStatus; };
    CPPUNIT_ASSERT(WaitUntil([&] { return status() == 404; }, seconds{ 2 }));
    // A late write of an older version changes nothing.
    system.Configure(gateway_system::FirstConfiguration());
    system.Configure(next);
    CPPUNIT_ASSERT(!WaitUntil([&] { return status() != 404; }, milliseconds{ 700 }));
  }

  void DrainingServerGetsNothingNew()
  {
    gateway_system system{ Options() };
    system.List("s1", "draining");
    std::size_t before = 0;
    CPPUNIT_ASSERT(WaitUntil(
      [&] {
        before = system.Arrivals("s1").size();
        for (int i = 0; i < 4; ++i) {
          system.Send("GET", "/lookup/a", OrderHeaders("r"));
        }
        return system.Arrivals("s1").size() == before;
      },
      seconds{ 2 }));
    system.Unlist("s2");
    CPPUNIT_ASSERT(
      WaitUntil([&] { return system.Send("GET", "/lookup/a", OrderHeaders("r")).mStatus == 503; },
                seconds{ 2 }));
    CPPUNIT_ASSERT_EQUAL(before, system.Arrivals("s1").size());
  }

  /// Guards against a change that is made right before the store drops its history and cuts its
  /// watches (scale-1 of gepm-encargos-grown: a version was not in force for five seconds).
  void ChangeInALostHistoryIsSeen()
  {
    gateway_system system{ Options() };
    system.StoreFaults({ { "mode", "busy" }, { "drop_history", true } });
    system.StoreFaults({ { "mode", "none" } });
    auto next = gateway_system::FirstConfiguration();
    next["Version"] = 9;
    next["Routes"].erase(3);
    system.Configure(next);
    CPPUNIT_ASSERT(
      WaitUntil([&] { return system.Send("GET", "/lookup/a", OrderHeaders("r1")).mStatus == 404; },
                seconds{ 2 }));
  }

  void ServesWhileTheStoreIsAway()
  {
    gateway_system system{ Options() };
    system.StoreFaults({ { "mode", "silent" }, { "drop_history", true } });
    CPPUNIT_ASSERT_EQUAL(200, Stream(system, "stream").mStatus);
    CPPUNIT_ASSERT_EQUAL(200, system.Send("POST", "/order/a", OrderHeaders("r1"), "x").mStatus);
    CPPUNIT_ASSERT_EQUAL(200, system.Ready().mStatus);
    // A daemon that starts now knows nothing and says so.
    system.AddDaemon();
    CPPUNIT_ASSERT_EQUAL(503, system.Ready(1).mStatus);
    const auto refused = Call("POST", system.CallerUrl("/order/a", 1), { "Host: a.example" }, "x");
    CPPUNIT_ASSERT_EQUAL(503, refused.mStatus);
    system.StoreFaults({ { "mode", "none" } });
    CPPUNIT_ASSERT(WaitUntil([&] { return system.Ready(1).mStatus == 200; }, seconds{ 5 }));
  }

  /// Guards against daemons that cannot serve after a restart because the store is away, although
  /// their neighbours know what it holds.
  void StartsFromANeighbourWhileTheStoreIsAway()
  {
    auto options = Options();
    options.mSeeds = true;
    gateway_system system{ options };
    system.StoreFaults({ { "mode", "silent" } });
    system.AddDaemon();
    CPPUNIT_ASSERT(WaitUntil([&] { return system.Ready(1).mStatus == 200; }, seconds{ 3 }));
    const auto reply = Call("POST",
                            system.CallerUrl("/order/a", 1),
                            { "Host: a.example", "X-Skylarkwind-Request-Id: r" },
                            "x");
    CPPUNIT_ASSERT_EQUAL(200, reply.mStatus);
  }

  /// Six daemons of which four follow the store: a change is in force at each one, and a start
  /// costs no list of the store.
  void ChangeReachesDaemonsThatDoNotFollowTheStore()
  {
    auto options = Options();
    options.mSeeds = true;
    options.mDaemons = 6;
    gateway_system system{ options };
    // The choice of those who follow the store settles.
    std::this_thread::sleep_for(seconds{ 2 });
    const auto before = system.StoreCalls();
    auto next = gateway_system::FirstConfiguration();
    next["Version"] = 9;
    next["Routes"].erase(3);
    system.Configure(next);
    for (int i = 0; i < 6; ++i) {
      CPPUNIT_ASSERT(WaitUntil(
        [&] {
          return Call("GET", system.CallerUrl("/lookup/a", i), { "Host: a.example" }).mStatus ==
                 404;
        },
        seconds{ 2 }));
    }
    // The operator's own two calls, and two watches of each of the four.
    CPPUNIT_ASSERT(system.StoreCalls() - before <= 2 + 4 * 4);
  }

  /// Guards against calls that are repeated without a pause while the store refuses them.
  void StoreThatIsAwayIsNotCalledInALoop()
  {
    gateway_system system{ Options() };
    system.StoreFaults({ { "mode", "busy" }, { "drop_history", true } });
    const auto calls = [&] { return system.StoreCalls(); };
    const auto before = calls();
    std::this_thread::sleep_for(seconds{ 3 });
    // Three followers with pauses of a quarter to the whole of at most a second each.
    CPPUNIT_ASSERT(calls() - before < 60);
  }

  void StopEndsOpenStreamsWhole()
  {
    auto options = Options();
    for (auto& backend : options.mBackends) {
      backend.mEventMs = 30;
    }
    gateway_system system{ options };
    open_call call{ system.CallerUrl("/stream/x"), gateway_system::StreamHeaders("r1", 50), "b" };
    CPPUNIT_ASSERT(WaitUntil([&] { return call.Received().find("token2") != std::string::npos; }));
    system.Daemon().Signal(SIGTERM);
    CPPUNIT_ASSERT(WaitUntil([&] { return system.Ready().mStatus == 503; }, seconds{ 1 }));
    const auto reply = call.Wait();
    CPPUNIT_ASSERT(!reply.mBroken);
    CPPUNIT_ASSERT_EQUAL(Events(1, 50), reply.mBody);
    CPPUNIT_ASSERT(system.Daemon().WaitForExit(seconds{ 8 }));
    CPPUNIT_ASSERT(WIFEXITED(system.Daemon().Status()) &&
                   WEXITSTATUS(system.Daemon().Status()) == 0);
  }

  /// Guards against several daemons that order the same engines.
  void OneDaemonOrdersTheWantedRoles()
  {
    gateway_options options;
    options.mBackends = { { "e1" }, { "e2" }, { "e3" }, { "e4" } };
    options.mDaemons = 3;
    options.mPrefillShare = 0.5;
    const gateway_system system{ options };
    CPPUNIT_ASSERT(WaitUntil([&] { return system.Count("order") >= 2; }, seconds{ 10 }));
    std::string holder;
    for (const auto* id : { "e1", "e2", "e3", "e4" }) {
      for (const auto& arrival : system.Arrivals(id)) {
        if (arrival["outcome"] == "order") {
          const auto by =
            json::parse(arrival["body"].get<std::string>())["Holder"].get<std::string>();
          CPPUNIT_ASSERT(holder.empty() || holder == by);
          holder = by;
        }
      }
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_session_test);

} // namespace skylarkwind::sessions
