#include "gateway_system.h"
#include "raw_caller.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <fstream>
#include <functional>
#include <sstream>

namespace skylarkwind::sessions {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// A daemon that is told to stop while something else happens: further signals, changes of settings
/// and objects, an unavailable store. Its streams must end whole, and it must exit by itself.
class gateway_stop_signals_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(gateway_stop_signals_test);
  CPPUNIT_TEST(FurtherSignalsDoNotCutStreams);
  CPPUNIT_TEST(SettingsChangesDoNotCutStreams);
  CPPUNIT_TEST(GraceChangedDuringStopDoesNotCutStreams);
  CPPUNIT_TEST(ConfigurationChangesDoNotCutStreams);
  CPPUNIT_TEST(ServerChangesDoNotCutStreams);
  CPPUNIT_TEST(UnavailableStoreDoesNotDisturbTheStop);
  CPPUNIT_TEST(StopDuringStoreOutageCompletesStreams);
  CPPUNIT_TEST(StoppedDaemonStaysDeregistered);
  CPPUNIT_TEST(StopBeforeAConfigurationAnswersAndExits);
  CPPUNIT_TEST(StopDuringTheStartEndsTheProcess);
  CPPUNIT_TEST(DaemonsThatStopTogetherCompleteStreams);
  CPPUNIT_TEST(StreamsInRecoveryCompleteDuringTheStop);
  CPPUNIT_TEST(LogOfASlowReaderIsComplete);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kEvents = 40;
  static constexpr int kStreams = 6;

  static gateway_options Options()
  {
    gateway_options options;
    options.mBackends = {
      { "p1", "model", "prefill" }, { "d1" }, { "d2" }, { "s1", "plain" }, { "s2", "plain" }
    };
    for (auto& backend : options.mBackends) {
      backend.mEventMs = 20;
    }
    options.mPrefillShare = 0.34;
    options.mShutdownGraceS = 4;
    return options;
  }

  static std::string StreamRequest(const std::string& aRoute, const std::string& aId, int aEvents)
  {
    std::string text = "POST /" + aRoute + "/a HTTP/1.1\r\n";
    for (const auto& line : gateway_system::StreamHeaders(aId, aEvents)) {
      text += line + "\r\n";
    }
    return text + "Content-Length: 1\r\n\r\nb";
  }

  static std::string Order(const std::string& aId)
  {
    return "POST /order/a HTTP/1.1\r\nHost: a.example\r\nX-Skylarkwind-Request-Id: " + aId +
           "\r\nX-Skylarkwind-Deadline-Ms: 3000\r\nContent-Length: 1\r\n\r\nx";
  }

  /// Streams of one daemon, half of them resumable.
  struct open_streams
  {
    open_streams(const gateway_system& aSystem, int aDaemon, int aCount = kStreams)
    {
      for (int i = 0; i < aCount; ++i) {
        mIds.push_back("v" + std::to_string(aDaemon) + "-" + std::to_string(i));
        mCallers.push_back(std::make_unique<raw_caller>(aSystem.CallersAddress(aDaemon)));
        const auto* route = i % 2 == 0 ? "stream" : "once-stream";
        mCallers.back()->Send(StreamRequest(route, mIds.back(), kEvents));
      }
    }

    /// Waits until each stream has begun.
    void AwaitBegin()
    {
      for (const auto& caller : mCallers) {
        CPPUNIT_ASSERT(WaitUntil([&] {
          return caller->ReadAnswer(milliseconds{ 1 }).mBody.find("token2\n") != std::string::npos;
        }));
      }
    }

    /// Reads the streams to their end and closes the connections.
    void AssertWhole(const std::string& aLog)
    {
      for (std::size_t i = 0; i < mCallers.size(); ++i) {
        AssertEvents(mCallers[i]->ReadAnswer(seconds{ 5 }), mIds[i], aLog);
        mCallers[i] = nullptr;
      }
    }

    std::vector<std::string> mIds;
    std::vector<std::unique_ptr<raw_caller>> mCallers;
  };

  /// The body without the comments of the protocol of event streams.
  static std::string WithoutComments(const std::string& aBody)
  {
    std::string text;
    for (std::size_t at = 0; at < aBody.size();) {
      const auto end = aBody.find("\n\n", at);
      const auto next = end == std::string::npos ? aBody.size() : end + 2;
      if (aBody[at] != ':') {
        text += aBody.substr(at, next - at);
      }
      at = next;
    }
    return text;
  }

  static void AssertEvents(const raw_answer& aAnswer,
                           const std::string& aId,
                           const std::string& aLog)
  {
    std::string expected;
    for (int i = 1; i <= kEvents; ++i) {
      expected += "id: " + std::to_string(i) + "\ndata: token" + std::to_string(i) + "\n\n";
    }
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aId + "\n" + aLog, 200, aAnswer.mStatus);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(aId + "\n" + aLog, expected, WithoutComments(aAnswer.mBody));
    CPPUNIT_ASSERT_MESSAGE(aId + "\n" + aLog, aAnswer.mWhole);
  }

  static bool LogHas(const gateway_system& aSystem,
                     const std::string& aFirst,
                     const std::string& aSecond,
                     int aDaemon = 0)
  {
    std::istringstream log{ aSystem.DaemonLog(aDaemon) };
    for (std::string line; std::getline(log, line);) {
      if (line.find(aFirst) != std::string::npos && line.find(aSecond) != std::string::npos) {
        return true;
      }
    }
    return false;
  }

  /// Tells a daemon to stop and waits until it has begun to.
  static void BeginStop(gateway_system& aSystem, int aDaemon = 0)
  {
    aSystem.Daemon(aDaemon).Signal(SIGTERM);
    CPPUNIT_ASSERT(
      WaitUntil([&] { return LogHas(aSystem, "shutdown requested", "", aDaemon); }, seconds{ 5 }));
  }

  static void AssertExited(gateway_system& aSystem, int aDaemon = 0)
  {
    CPPUNIT_ASSERT_MESSAGE(aSystem.DaemonLog(aDaemon),
                           aSystem.Daemon(aDaemon).WaitForExit(seconds{ 6 }));
    const auto status = aSystem.Daemon(aDaemon).Status();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(status) + "\n" + aSystem.DaemonLog(aDaemon),
                           WIFEXITED(status) && WEXITSTATUS(status) == 0);
    CPPUNIT_ASSERT_MESSAGE(
      aSystem.DaemonLog(aDaemon),
      WaitUntil(
        [&] { return LogHas(aSystem, "stopped vm=", "open_requests=0 connections=0", aDaemon); },
        seconds{ 2 }));
  }

  /// Plays something during a stop with open streams.
  static void StopDuring(gateway_system& aSystem, const std::function<void()>& aDisturb)
  {
    open_streams streams{ aSystem, 0 };
    streams.AwaitBegin();
    BeginStop(aSystem);
    aDisturb();
    streams.AssertWhole(aSystem.DaemonLog());
    AssertExited(aSystem);
  }

  /// Address of the store from a daemon's settings file.
  static std::string StoreUrl(const gateway_system& aSystem, const std::string& aPath)
  {
    std::ifstream settings{ aSystem.Directory() + "/vm-0.yaml" };
    const std::string key = "  store_address: ";
    for (std::string line; std::getline(settings, line);) {
      if (line.starts_with(key)) {
        return "http://" + line.substr(key.size()) + aPath;
      }
    }
    return {};
  }

  static std::string RegisteredDaemons(const gateway_system& aSystem)
  {
    return Call("GET", StoreUrl(aSystem, "/skylarkwind/objects/skylarkwind-daemons")).mBody;
  }

  static bool Registered(const gateway_system& aSystem, int aDaemon)
  {
    return RegisteredDaemons(aSystem).find("\"vm-" + std::to_string(aDaemon) + '"') !=
           std::string::npos;
  }

  static bool AwaitRegistration(const gateway_system& aSystem, int aDaemon)
  {
    return WaitUntil([&] { return Registered(aSystem, aDaemon); }, seconds{ 5 });
  }

  /// Guards against a second signal that ends the process at once or begins the stop anew.
  void FurtherSignalsDoNotCutStreams()
  {
    gateway_system system{ Options() };
    StopDuring(system, [&] {
      for (const int signal : { SIGTERM, SIGINT, SIGTERM, SIGHUP, SIGTERM, SIGPIPE }) {
        system.Daemon().Signal(signal);
        CPPUNIT_ASSERT_EQUAL(503, system.Ready().mStatus);
      }
    });
  }

  /// Guards against a settings file that is changed, invalid or gone during a stop and ends it.
  void SettingsChangesDoNotCutStreams()
  {
    gateway_system system{ Options() };
    const auto file = system.Directory() + "/vm-0.yaml";
    StopDuring(system, [&] {
      std::ofstream{ file, std::ios::app } << "  repeat_window_s: 20\n";
      system.Daemon().Signal(SIGHUP);
      CPPUNIT_ASSERT(WaitUntil([&] { return LogHas(system, "reloaded file=", ""); }, seconds{ 2 }));
      std::ofstream{ file, std::ios::app } << "  repeat_floor: many\n";
      system.Daemon().Signal(SIGHUP);
      CPPUNIT_ASSERT(
        WaitUntil([&] { return LogHas(system, "invalid settings file", ""); }, seconds{ 2 }));
      unlink(file.c_str());
      system.Daemon().Signal(SIGHUP);
      CPPUNIT_ASSERT_EQUAL(503, system.Ready().mStatus);
    });
  }

  /// Guards against a stop that ends streams at once because a shorter grace period is read while
  /// it goes on. The process is killed when the period of the time of SIGTERM is over.
  void GraceChangedDuringStopDoesNotCutStreams()
  {
    gateway_system system{ Options() };
    const auto file = system.Directory() + "/vm-0.yaml";
    StopDuring(system, [&] {
      std::ostringstream text;
      text << std::ifstream{ file }.rdbuf();
      auto changed = text.str();
      const std::string key = "shutdown_grace_s: ";
      const auto at = changed.find(key) + key.size();
      changed.replace(at, changed.find('\n', at) - at, "0.5");
      std::ofstream{ file } << changed;
      system.Daemon().Signal(SIGHUP);
      CPPUNIT_ASSERT(
        WaitUntil([&] { return LogHas(system, "reloaded file=", "in_force=shutdown_grace_s"); },
                  seconds{ 2 }));
    });
  }

  /// Guards against a configuration that drops the routes of open streams, shortens their limits or
  /// is invalid, and ends them during a stop.
  void ConfigurationChangesDoNotCutStreams()
  {
    gateway_system system{ Options() };
    StopDuring(system, [&] {
      auto next = gateway_system::FirstConfiguration();
      next["Version"] = 9;
      next["Routes"] = json::array();
      next["Limits"]["IdleTimeoutMs"] = 100;
      system.Configure(next);
      CPPUNIT_ASSERT(WaitUntil([&] { return LogHas(system, "applied version=9", ""); }));
      system.Configure({ { "Version", "none" }, { "Routes", 3 } });
      CPPUNIT_ASSERT(WaitUntil([&] { return LogHas(system, " error configuration:", ""); }));
    });
  }

  /// Guards against streams that end because the entries of their engines change during a stop.
  void ServerChangesDoNotCutStreams()
  {
    gateway_system system{ Options() };
    StopDuring(system, [&] {
      system.List("d1", "draining");
      system.Unlist("d2");
      CPPUNIT_ASSERT(WaitUntil([&] {
        return LogHas(system, "id=d1", "draining=1") && LogHas(system, "removed id=d2", "");
      }));
      system.List("d2", "ready");
      CPPUNIT_ASSERT(WaitUntil([&] { return LogHas(system, "id=d2", "draining=0"); }));
    });
  }

  /// Guards against a stop that fails or hangs when the daemon cannot deregister.
  void UnavailableStoreDoesNotDisturbTheStop()
  {
    auto options = Options();
    options.mRelays = true;
    options.mDaemons = 3;
    gateway_system system{ options };
    std::vector<std::unique_ptr<open_streams>> streams;
    streams.reserve(static_cast<std::size_t>(options.mDaemons));
    for (int i = 0; i < options.mDaemons; ++i) {
      CPPUNIT_ASSERT(AwaitRegistration(system, i));
    }
    for (int i = 0; i < options.mDaemons; ++i) {
      streams.push_back(std::make_unique<open_streams>(system, i, 4));
    }
    for (const auto& of : streams) {
      of->AwaitBegin();
    }
    system.DisturbStore(0, { { "cut", true } });
    system.DisturbStore(1, { { "silence_all", true } });
    system.StoreFaults({ { "mode", "busy" } });
    for (int i = 0; i < options.mDaemons; ++i) {
      BeginStop(system, i);
    }
    for (int i = 0; i < options.mDaemons; ++i) {
      streams[static_cast<std::size_t>(i)]->AssertWhole(system.DaemonLog(i));
    }
    for (int i = 0; i < options.mDaemons; ++i) {
      AssertExited(system, i);
    }
    // The faults have met the call that deregisters the daemon.
    for (const int daemon : { 0, 2 }) {
      CPPUNIT_ASSERT_MESSAGE(system.DaemonLog(daemon),
                             LogHas(system, "deregistration failed", "", daemon));
    }
  }

  /// Guards against a stop that ends streams because the daemon has lost the store before.
  void StopDuringStoreOutageCompletesStreams()
  {
    gateway_system system{ Options() };
    system.StoreFaults({ { "mode", "busy" }, { "drop_history", true } });
    CPPUNIT_ASSERT(WaitUntil([&] { return LogHas(system, "store unreachable", ""); }));
    StopDuring(system, [] {});
  }

  /// Guards against a daemon that registers again after it has deregistered, so that others go on
  /// to count on it.
  void StoppedDaemonStaysDeregistered()
  {
    auto options = Options();
    options.mShutdownGraceS = 6;
    options.mBalancerNoticesMs = 3'500;
    gateway_system system{ options };
    CPPUNIT_ASSERT(AwaitRegistration(system, 0));
    BeginStop(system);
    const auto registered = [&] { return Registered(system, 0); };
    CPPUNIT_ASSERT(WaitUntil([&] { return !registered(); }, seconds{ 2 }));
    CPPUNIT_ASSERT_MESSAGE(RegisteredDaemons(system),
                           !WaitUntil(registered, milliseconds{ 3'300 }));
    AssertExited(system);
    CPPUNIT_ASSERT_MESSAGE(RegisteredDaemons(system), !registered());
  }

  /// Guards against a daemon without a configuration that cannot be stopped, or leaves its callers
  /// without an answer.
  void StopBeforeAConfigurationAnswersAndExits()
  {
    gateway_system system{ Options() };
    system.StoreFaults({ { "mode", "silent" } });
    system.AddDaemon();
    std::vector<std::unique_ptr<raw_caller>> callers;
    for (const auto* id : { "before", "after" }) {
      callers.push_back(std::make_unique<raw_caller>(system.CallersAddress(1)));
      callers.back()->Send(Order(id));
      if (callers.size() == 1) {
        BeginStop(system, 1);
      }
    }
    for (const auto& caller : callers) {
      const auto answer = caller->ReadAnswer(seconds{ 3 });
      CPPUNIT_ASSERT_EQUAL_MESSAGE(system.DaemonLog(1), 503, answer.mStatus);
      CPPUNIT_ASSERT(answer.mWhole);
      CPPUNIT_ASSERT(answer.mHead.find("Retry-After: ") != std::string::npos);
    }
    callers.clear();
    AssertExited(system, 1);
  }

  /// A daemon whose output nobody reads until the test does.
  struct unread_daemon
  {
    unread_daemon(const std::string& aSettings, int aPipeBytes)
    {
      int ends[2];
      CPPUNIT_ASSERT_EQUAL(0, pipe2(ends, O_CLOEXEC));
      if (aPipeBytes > 0) {
        CPPUNIT_ASSERT(fcntl(ends[1], F_SETPIPE_SZ, aPipeBytes) > 0);
      }
      mOutput = ends[0];
      std::string program = std::string{ SKYLARKWIND_BIN_DIR } + "/skylarkwindd";
      std::string argument = "--settings=" + aSettings;
      std::array<char*, 3> arguments{ program.data(), argument.data(), nullptr };
      posix_spawn_file_actions_t actions;
      posix_spawn_file_actions_init(&actions);
      posix_spawn_file_actions_adddup2(&actions, ends[1], STDOUT_FILENO);
      const int failure =
        posix_spawn(&mPid, program.c_str(), &actions, nullptr, arguments.data(), environ);
      posix_spawn_file_actions_destroy(&actions);
      close(ends[1]);
      CPPUNIT_ASSERT_EQUAL(0, failure);
    }
    ~unread_daemon()
    {
      if (mPid > 0) {
        kill(mPid, SIGKILL);
        waitpid(mPid, &mStatus, 0);
      }
      close(mOutput);
    }
    unread_daemon(const unread_daemon&) = delete;
    unread_daemon& operator=(const unread_daemon&) = delete;

    /// Reads until the process has closed its output, and waits for its exit.
    std::string ReadToExit()
    {
      std::string text;
      std::array<char, 4'096> part{};
      pollfd ready{ mOutput, POLLIN, 0 };
      constexpr int kLimitMs = 8'000;
      while (poll(&ready, 1, kLimitMs) == 1) {
        const auto count = read(mOutput, part.data(), part.size());
        if (count <= 0) {
          waitpid(mPid, &mStatus, 0);
          mPid = -1;
          break;
        }
        text.append(part.data(), static_cast<std::size_t>(count));
      }
      return text;
    }

    pid_t mPid = -1;
    int mOutput = -1;
    int mStatus = 0;
  };

  /// Guards against a daemon that fails or ignores the signal when it comes during the start.
  /// Before the daemon serves, the signal may end it in the default way.
  void StopDuringTheStartEndsTheProcess()
  {
    gateway_system system{ Options() };
    system.Daemon().Signal(SIGKILL);
    CPPUNIT_ASSERT(system.Daemon().WaitForExit(seconds{ 5 }));
    // From a signal before the daemon captures it to some after it serves.
    constexpr milliseconds kStep{ 3 };
    constexpr milliseconds kLongest{ 3'000 };
    constexpr int kEnough = 4;
    int stopped = 0;
    for (milliseconds delay{ 0 }; stopped < kEnough; delay += kStep) {
      CPPUNIT_ASSERT(delay < kLongest);
      unread_daemon daemon{ system.Directory() + "/vm-0.yaml", 0 };
      std::this_thread::sleep_for(delay);
      kill(daemon.mPid, SIGTERM);
      const auto log = daemon.ReadToExit();
      auto what = std::to_string(delay.count()) + " ms, status " + std::to_string(daemon.mStatus);
      what += '\n' + log;
      CPPUNIT_ASSERT_EQUAL_MESSAGE(what, -1, daemon.mPid);
      if (log.find("started vm=") == std::string::npos && WIFSIGNALED(daemon.mStatus)) {
        CPPUNIT_ASSERT_EQUAL_MESSAGE(what, SIGTERM, WTERMSIG(daemon.mStatus));
        continue;
      }
      CPPUNIT_ASSERT_MESSAGE(what, WIFEXITED(daemon.mStatus) && WEXITSTATUS(daemon.mStatus) == 0);
      CPPUNIT_ASSERT_MESSAGE(what, log.find("stopped vm=") != std::string::npos);
      ++stopped;
    }
  }

  /// Guards against streams that are cut, and changes that are lost, when daemons that watch the
  /// store and relay its changes stop at the same time.
  void DaemonsThatStopTogetherCompleteStreams()
  {
    auto options = Options();
    options.mDaemons = 5;
    options.mSeeds = true;
    gateway_system system{ options };
    CPPUNIT_ASSERT(WaitUntil([&] {
      int watching = 0;
      for (int i = 0; i < options.mDaemons; ++i) {
        watching += LogHas(system, "receiving changes from other daemons", "", i) ? 0 : 1;
      }
      return watching < options.mDaemons;
    }));
    std::vector<std::unique_ptr<open_streams>> streams;
    streams.reserve(static_cast<std::size_t>(options.mDaemons));
    for (int i = 0; i < options.mDaemons; ++i) {
      streams.push_back(std::make_unique<open_streams>(system, i, 3));
    }
    for (const auto& of : streams) {
      of->AwaitBegin();
    }
    const int remaining = options.mDaemons - 1;
    for (int i = 0; i < remaining; ++i) {
      system.Daemon(i).Signal(SIGTERM);
    }
    auto next = gateway_system::FirstConfiguration();
    next["Version"] = 9;
    system.Configure(next);
    CPPUNIT_ASSERT_MESSAGE(
      system.DaemonLog(remaining),
      WaitUntil([&] { return LogHas(system, "applied version=9", "", remaining); }, seconds{ 2 }));
    for (int i = 0; i < options.mDaemons; ++i) {
      streams[static_cast<std::size_t>(i)]->AssertWhole(system.DaemonLog(i));
    }
    for (int i = 0; i < remaining; ++i) {
      AssertExited(system, i);
    }
  }

  /// Guards against streams that a stop ends while they wait for a prefill or move to another
  /// engine, although they can still complete.
  void StreamsInRecoveryCompleteDuringTheStop()
  {
    for (const auto* mode : { "prefill", "cut", "trickle" }) {
      gateway_system system{ Options() };
      const bool prefill = std::string_view{ mode } == "prefill";
      system.SetMode(prefill ? "p1" : "d1", prefill ? "mute" : mode);
      std::vector<std::unique_ptr<raw_caller>> callers;
      for (int i = 0; i < 4; ++i) {
        callers.push_back(std::make_unique<raw_caller>(system.CallersAddress(0)));
        callers.back()->Send(StreamRequest("stream", "r" + std::to_string(i), kEvents));
      }
      // One request has its prompt prefilled; the others wait for that prefix.
      CPPUNIT_ASSERT_MESSAGE(
        std::string{ mode } + "\n" + system.DaemonLog(),
        WaitUntil([&] { return system.Count(prefill ? "muted" : "ran") >= (prefill ? 1U : 2U); },
                  seconds{ 5 }));
      BeginStop(system);
      for (int i = 0; i < 4; ++i) {
        AssertEvents(callers[static_cast<std::size_t>(i)]->ReadAnswer(seconds{ 5 }),
                     std::string{ mode } + " r" + std::to_string(i),
                     system.DaemonLog());
      }
      callers.clear();
      AssertExited(system);
    }
  }

  /// Guards against lines that are lost before the exit because the reader of the log was behind
  /// (incident of LOST around SIGTERM).
  void LogOfASlowReaderIsComplete()
  {
    gateway_system system{ Options() };
    system.Daemon().Signal(SIGKILL);
    CPPUNIT_ASSERT(system.Daemon().WaitForExit(seconds{ 5 }));
    constexpr int kPageBytes = 4'096;
    unread_daemon daemon{ system.Directory() + "/vm-0.yaml", kPageBytes };
    CPPUNIT_ASSERT(WaitUntil([&] { return system.Ready().mStatus == 200; }));
    constexpr int kRequests = 60; // their lines exceed the pipe
    for (int i = 0; i < kRequests; ++i) {
      raw_caller caller{ system.CallersAddress(0) };
      caller.Send(Order("slow-" + std::to_string(i) + "."));
      CPPUNIT_ASSERT_EQUAL(200, caller.ReadAnswer(seconds{ 5 }).mStatus);
    }
    kill(daemon.mPid, SIGTERM);
    CPPUNIT_ASSERT(WaitUntil([&] { return system.Ready().mStatus == 503; }));
    const auto log = daemon.ReadToExit();
    CPPUNIT_ASSERT(WIFEXITED(daemon.mStatus) && WEXITSTATUS(daemon.mStatus) == 0);
    for (int i = 0; i < kRequests; ++i) {
      CPPUNIT_ASSERT_MESSAGE(
        log, log.find("id=slow-" + std::to_string(i) + ". outcome=answered") != std::string::npos);
    }
    CPPUNIT_ASSERT_MESSAGE(log, log.find("shutdown requested") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(log, log.find("stopped vm=") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(log, log.find("dropped=") == std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_stop_signals_test);

} // namespace skylarkwind::sessions
