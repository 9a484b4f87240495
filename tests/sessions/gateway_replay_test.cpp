#include "gateway_system.h"

#include <cppunit/extensions/HelperMacros.h>

#include <map>
#include <set>

namespace skylarkwind::sessions {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

enum class caller_ids
{
  Unique,
  Reused,
  None
};

const char*
Name(caller_ids aIds)
{
  switch (aIds) {
    case caller_ids::Unique:
      return "unique ids";
    case caller_ids::Reused:
      return "reused ids";
    case caller_ids::None:
      return "no ids";
  }
  return "";
}

} // namespace

/// Backend servers that write an earlier refusal once more on a kept connection, and process the
/// request that follows it.
class gateway_replay_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(gateway_replay_test);
  CPPUNIT_TEST(RepeatedRefusalIsNoAnswerToUniqueRequests);
  CPPUNIT_TEST(RepeatedRefusalIsNoAnswerToRequestsThatReuseAnId);
  CPPUNIT_TEST(RepeatedRefusalIsNoAnswerToRequestsWithoutId);
  CPPUNIT_TEST(RepeatedRefusalIsNoAnswerToStreams);
  CPPUNIT_TEST(RepeatedReportIsNoAnswerToARoleCommand);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kRequests = 12;
  static constexpr std::string_view kKeepingMode = "refuse_again_next";

  static header_lines Headers(const std::string& aPath, const std::string& aId)
  {
    if (aPath.ends_with("stream/x")) {
      return gateway_system::StreamHeaders(aId, 2);
    }
    header_lines headers{ "X-Skylarkwind-Deadline-Ms: 3000" };
    if (!aId.empty()) {
      headers.push_back("X-Skylarkwind-Request-Id: " + aId);
    }
    return headers;
  }

  static std::vector<std::string> Ids(const std::vector<backend_options>& aBackends)
  {
    std::vector<std::string> ids;
    ids.reserve(aBackends.size());
    for (const auto& backend : aBackends) {
      ids.push_back(backend.mId);
    }
    return ids;
  }

  static gateway_options Options(std::vector<backend_options> aBackends)
  {
    gateway_options options;
    options.mBackends = std::move(aBackends);
    options.mPrefillShare = 0.34;
    return options;
  }

  /// How often each request ran, by its body.
  static std::map<std::string, int> Runs(const gateway_system& aSystem,
                                         const std::vector<std::string>& aBackends)
  {
    std::map<std::string, int> runs;
    for (const auto& backend : aBackends) {
      for (const auto& arrival : aSystem.Arrivals(backend)) {
        if (arrival["outcome"] == "ran") {
          ++runs[arrival["body"].get<std::string>()];
        }
      }
    }
    return runs;
  }

  /// Sends requests, each with a body of its own, to servers that repeat refusals. No request that
  /// was answered with 503 may have run, and none may run twice. Returns how many ran.
  static std::size_t Play(gateway_system& aSystem,
                          const std::vector<std::string>& aBackends,
                          const std::string& aMode,
                          const std::string& aPath,
                          caller_ids aIds)
  {
    const auto played = aMode + ", " + std::to_string(aBackends.size()) + " servers, " + Name(aIds);
    const auto setModes = [&](const std::string& aName) {
      for (const auto& backend : aBackends) {
        aSystem.SetMode(backend, aName);
      }
    };
    // The daemon may still avoid servers that failed in an earlier mode.
    setModes("ok");
    int probes = 0;
    CPPUNIT_ASSERT_MESSAGE(played, WaitUntil([&] {
                             const auto id = "ok-" + aMode + std::to_string(probes++);
                             return aSystem.Send("POST", aPath, Headers(aPath, id), id).mStatus ==
                                    200;
                           }));
    setModes(aMode);
    const auto ranBefore = Runs(aSystem, aBackends).size();
    std::set<std::string> refused;
    for (int i = 0; i < kRequests; ++i) {
      const auto body = aMode + Name(aIds) + std::to_string(i);
      std::string id;
      if (aIds != caller_ids::None) {
        id = aIds == caller_ids::Unique ? aMode + std::to_string(i) : aMode;
      }
      if (aSystem.Send("POST", aPath, Headers(aPath, id), body).mStatus == 503) {
        refused.insert(body);
      }
      if (i % 4 == 3) {
        // Lets late copies arrive on idle connections.
        std::this_thread::sleep_for(milliseconds{ 120 });
      }
    }
    const auto runs = Runs(aSystem, aBackends);
    for (const auto& [body, count] : runs) {
      auto seen = played;
      seen += ": " + body + " ran";
      CPPUNIT_ASSERT_EQUAL_MESSAGE(seen, 1, count);
      seen += " and was refused";
      CPPUNIT_ASSERT_MESSAGE(seen, !refused.contains(body));
    }
    return runs.size() - ranBefore;
  }

  static void PlayOrders(caller_ids aIds)
  {
    for (const auto& backends :
         { std::vector<backend_options>{ { "s1", "plain" } },
           std::vector<backend_options>{ { "s1", "plain" }, { "s2", "plain" } } }) {
      gateway_system system{ Options(backends) };
      for (const auto* mode : { "refuse_again",
                                "refuse_again_late",
                                "refuse_again_next",
                                "refuse_again_no_id",
                                "refuse_again_late_no_id",
                                "refuse_again_next_no_id" }) {
        const auto ran = Play(system, Ids(backends), mode, "/order/a", aIds);
        // In this mode a connection is kept until its second request.
        const bool reused = aIds == caller_ids::Unique && std::string_view{ mode } == kKeepingMode;
        CPPUNIT_ASSERT_MESSAGE(mode + ("\n" + system.DaemonLog()), ran > 0 || !reused);
      }
    }
  }

  /// Guards against a 503 for a request that ran, or that runs at a second server, after its server
  /// repeated the refusal of another request.
  void RepeatedRefusalIsNoAnswerToUniqueRequests() { PlayOrders(caller_ids::Unique); }

  /// Guards against the same when the caller reuses the id of the request that was refused, so that
  /// the id in the repeated refusal is that of the request.
  void RepeatedRefusalIsNoAnswerToRequestsThatReuseAnId() { PlayOrders(caller_ids::Reused); }

  /// Guards against the same when the caller sends no id, so that no response can be told from a
  /// repeated one by its id.
  void RepeatedRefusalIsNoAnswerToRequestsWithoutId() { PlayOrders(caller_ids::None); }

  /// Guards against the same for streams, whose prefill and run share an id.
  void RepeatedRefusalIsNoAnswerToStreams()
  {
    const std::vector<backend_options> backends{ { "p1", "model", "prefill" }, { "d1" }, { "d2" } };
    for (const auto ids : { caller_ids::Unique, caller_ids::Reused }) {
      gateway_system system{ Options(backends) };
      for (const auto* mode : { "refuse_again", "refuse_again_late", "refuse_again_next" }) {
        Play(system, Ids(backends), mode, "/once-stream/x", ids);
      }
    }
  }

  /// Guards against a role command that is taken for needless although the engine carries it out,
  /// after the engine repeated its state report on the connection: neither carries an id.
  void RepeatedReportIsNoAnswerToARoleCommand()
  {
    gateway_options options;
    options.mBackends = {
      { "e1", "model", "prefill" }, { "e2", "model", "prefill" }, { "e3" }, { "e4" }, { "e5" }
    };
    gateway_system system{ options };
    for (const auto& id : Ids(options.mBackends)) {
      system.SetMode(id, "report_again");
    }
    system.Unlist("e1");
    system.Unlist("e2");
    const std::string answer = " answer=";
    CPPUNIT_ASSERT(WaitUntil([&] { return system.DaemonLog().find(answer) != std::string::npos; },
                             seconds{ 10 }));
    const auto log = system.DaemonLog();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(
      log,
      std::string{ "accepted" },
      log.substr(log.find(answer) + answer.size(), std::string_view{ "accepted" }.size()));
    CPPUNIT_ASSERT(system.Count("order") > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_replay_test);

} // namespace skylarkwind::sessions
