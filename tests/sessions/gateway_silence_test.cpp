#include "gateway_system.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>

namespace skylarkwind::sessions {

using nlohmann::json;
using std::chrono::milliseconds;

/// Streams whose sound engines fall silent for a second and go on.
class gateway_silence_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(gateway_silence_test);
  CPPUNIT_TEST(StreamsOfOneSilentEngineEndWhole);
  CPPUNIT_TEST(StreamsEndWholeWhileAllEnginesAreSilent);
  CPPUNIT_TEST(StreamsEndWholeWhileTheOtherEngineTurnsWorkAway);
  CPPUNIT_TEST(StreamsOfOneSilentEngineEndWholeBesideConfigurations);
  CPPUNIT_TEST(StreamsEndWholeBesideConfigurationsWithoutAnotherEngine);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kStreams = 12;
  static constexpr int kEvents = 25;
  /// Events that each stream has when the silence begins.
  static constexpr int kBegun = 4;
  static constexpr milliseconds kSilence{ 1'200 };

  static gateway_options Options()
  {
    gateway_options options;
    options.mBackends = { { "p1", "model", "prefill" },
                          { "d1" },
                          { "d2" },
                          { "p3", "other", "prefill" },
                          { "d3", "other" } };
    options.mPrefillShare = 0.34;
    for (auto& backend : options.mBackends) {
      backend.mEventMs = 60;
    }
    return options;
  }

  static std::string Event(int aId)
  {
    return "id: " + std::to_string(aId) + "\ndata: token" + std::to_string(aId) + "\n\n";
  }

  /// Changes of all kinds: time limit, attempts, weights, idle limit, and the streams' route on its
  /// way to another service and back.
  static json Changed(const gateway_system& aSystem, int aNumber)
  {
    auto configuration = aSystem.Configuration();
    auto other = configuration["Services"][0];
    other["Name"] = "other";
    configuration["Services"].push_back(other);
    configuration["Version"] = 10 + 3 * aNumber;
    auto& route = configuration["Routes"][0];
    switch (aNumber % 6) {
      case 0:
        route["Service"] = "other";
        break;
      case 1:
        route["MaxAttempts"] = 1;
        route["TimeoutMs"] = 6'000;
        break;
      case 2:
        route["TrafficSplit"] = { { { "Service", "model" }, { "Weight", 1 } },
                                  { { "Service", "other" }, { "Weight", 9 } } };
        break;
      case 3:
        configuration["Limits"]["IdleTimeoutMs"] = 600;
        break;
      case 4:
        configuration["Routes"].erase(3);
        route["MaxAttempts"] = 3;
        break;
      default:
        break;
    }
    return configuration;
  }

  /// Begins streams at both engines, stops the engines named for the time of the silence, and
  /// expects each event of each stream once.
  static void Play(const std::vector<std::string>& aSilent, bool aRefuses, bool aConfigures)
  {
    gateway_system system{ Options() };
    std::vector<std::unique_ptr<open_call>> calls;
    calls.reserve(kStreams);
    for (int i = 0; i < kStreams; ++i) {
      calls.push_back(
        std::make_unique<open_call>(system.CallerUrl("/stream/x"),
                                    gateway_system::StreamHeaders("r" + std::to_string(i), kEvents),
                                    "b"));
    }
    for (const auto& call : calls) {
      CPPUNIT_ASSERT(
        WaitUntil([&] { return call->Received().find(Event(kBegun)) != std::string::npos; },
                  milliseconds{ 3'000 }));
    }
    CPPUNIT_ASSERT(!system.Arrivals("d1").empty());
    if (aRefuses) {
      system.SetMode("d2", "shed");
    }
    if (aConfigures) {
      // The engine of the service that the route moves to has no room.
      system.SetMode("d3", "shed");
    }
    for (const auto& id : aSilent) {
      system.Backend(id).Signal(SIGSTOP);
    }
    const auto until = std::chrono::steady_clock::now() + kSilence;
    for (int i = 0; std::chrono::steady_clock::now() < until; ++i) {
      if (aConfigures) {
        system.Configure(Changed(system, i));
      }
      std::this_thread::sleep_for(milliseconds{ 100 });
    }
    for (const auto& id : aSilent) {
      system.Backend(id).Signal(SIGCONT);
    }
    std::string expected;
    for (int id = 1; id <= kEvents; ++id) {
      expected += Event(id);
    }
    std::string wrong;
    for (std::size_t i = 0; i < calls.size(); ++i) {
      const auto reply = calls[i]->Wait();
      if (reply.mStatus != 200 || reply.mBroken || reply.mBody != expected) {
        wrong += "r" + std::to_string(i) + " status " + std::to_string(reply.mStatus) +
                 (reply.mBroken ? " broken" : "") + ", bytes " +
                 std::to_string(reply.mBody.size()) + '\n';
      }
    }
    CPPUNIT_ASSERT_MESSAGE(wrong + system.DaemonLog(), wrong.empty());
  }

  /// Guards against streams that are ended because their engine is silent for a second, and against
  /// admission that refuses to go on with a begun stream.
  void StreamsOfOneSilentEngineEndWhole() { Play({ "d1" }, false, false); }

  /// Guards against streams that are given up although no other engine can take them.
  void StreamsEndWholeWhileAllEnginesAreSilent() { Play({ "p1", "d1", "d2" }, false, false); }

  /// Guards against streams that end with the refusal of the engine that should have replaced the
  /// silent one.
  void StreamsEndWholeWhileTheOtherEngineTurnsWorkAway() { Play({ "d1" }, true, false); }

  /// Guards against streams that lose their engine or route to a change of the configuration while
  /// their engine is silent.
  void StreamsOfOneSilentEngineEndWholeBesideConfigurations() { Play({ "d1" }, false, true); }

  /// Guards against the same when only the silent engine can go on.
  void StreamsEndWholeBesideConfigurationsWithoutAnotherEngine() { Play({ "d1" }, true, true); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_silence_test);

} // namespace skylarkwind::sessions
