#include "stop_run.h"

#include "gateway_system.h"
#include "soak_caller.h"
#include "stop_callers.h"
#include "stop_checks.h"
#include "stop_plan.h"

#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <memory>
#include <random>
#include <sstream>
#include <thread>

namespace skylarkwind::soak {

namespace {

using sessions::gateway_system;

constexpr std::int64_t kEventMs = 100;
constexpr int kEventBytes = 2'000;
constexpr std::int64_t kLinkMs = 120;
constexpr std::int64_t kThrottledBytesPerSecond = 60'000;
constexpr std::size_t kMaxBodyBytes = 1'000'000;
/// Log lines of an exit that are printed beside a broken promise.
constexpr const char* kExitLine = "stopped vm=";

sessions::gateway_options
Options(const stop_shape& aShape, const std::string& aDaemonProgram)
{
  sessions::gateway_options options;
  const auto add = [&](const std::string& aId, const std::string& aStage, int aEventBytes) {
    for (const auto* centre : { "z", "z1", "z2" }) {
      const bool plain = aEventBytes == 0;
      options.mBackends.push_back(
        { aId + '-' + centre, plain ? "plain" : "model", aStage, kEventMs, aEventBytes, centre });
    }
  };
  add("p", "prefill", kEventBytes);
  for (const auto* id : { "d1", "d2", "d3" }) {
    add(id, "decode", kEventBytes);
  }
  add("s", "decode", 0);
  options.mDaemons = aShape.mDaemons;
  options.mDataCentres = aShape.mDataCentres;
  options.mCallerRelays = true;
  options.mRecords = true;
  options.mSeeds = true;
  options.mShutdownGraceS = static_cast<double>(aShape.mTimes.mGraceMs) / 1'000;
  options.mBalancerNoticesMs = static_cast<int>(aShape.mTimes.mBalancerNoticesMs);
  options.mMaxBodyBytes = kMaxBodyBytes;
  options.mRouteTimeoutMs = static_cast<int>(kStopDeadlineMs);
  options.mDaemonProgram = aDaemonProgram;
  return options;
}

/// Some links between callers and daemons delay, some limit the rate. Returns the delays.
std::vector<std::int64_t>
SetLinks(gateway_system& aSystem, std::uint64_t aSeed, int aDaemons)
{
  std::mt19937_64 random{ aSeed };
  std::vector<std::int64_t> delays(static_cast<std::size_t>(aDaemons), 0);
  for (int i = 0; i < aDaemons; ++i) {
    switch (std::uniform_int_distribution<int>{ 0, 2 }(random)) {
      case 0:
        aSystem.DisturbCallers(i, { { "delay_ms", kLinkMs } });
        delays[static_cast<std::size_t>(i)] = kLinkMs;
        break;
      case 1:
        aSystem.DisturbCallers(i, { { "bytes_per_second", kThrottledBytesPerSecond } });
        break;
      default:
        break;
    }
  }
  return delays;
}

/// Notices the end of a process at once, whatever else the soak does meanwhile. The process must
/// be waited for only after that.
class exit_watch
{
public:
  explicit exit_watch(pid_t aPid)
    : mThread([this, aPid] {
      siginfo_t info{};
      waitid(P_PID, static_cast<id_t>(aPid), &info, WEXITED | WNOWAIT);
      mExitMs = NowMs();
    })
  {
  }
  ~exit_watch() { mThread.join(); }
  exit_watch(const exit_watch&) = delete;
  exit_watch& operator=(const exit_watch&) = delete;

  /// 0: it still runs.
  std::int64_t ExitMs() const { return mExitMs; }

private:
  std::atomic<std::int64_t> mExitMs = 0;
  std::thread mThread;
};

/// Stops daemons as the platform does, and starts them anew.
class stopper
{
public:
  stopper(gateway_system& aSystem, const stop_shape& aShape, std::vector<fault> aPlan)
    : mSystem(aSystem)
    , mShape(aShape)
    , mPlan(std::move(aPlan))
    , mOpen(static_cast<std::size_t>(aShape.mDaemons))
  {
  }

  void Run()
  {
    mStartMs = NowMs();
    std::size_t next = 0;
    const auto stopping = [this] {
      return std::any_of(
        mOpen.begin(), mOpen.end(), [](const open_stop& aStop) { return aStop.mOn; });
    };
    while (next < mPlan.size() || NowMs() - mStartMs < mShape.mLengthMs || stopping()) {
      for (; next < mPlan.size() && mPlan[next].mFromMs <= NowMs() - mStartMs; ++next) {
        Begin(mPlan[next]);
      }
      for (auto& stop : mOpen) {
        Continue(stop);
      }
      std::this_thread::sleep_for(std::chrono::milliseconds{ 2 });
    }
  }

  const std::vector<daemon_stop>& Stops() const { return mStops; }
  std::map<std::string, std::size_t> Counts() const { return mCounts; }

private:
  struct open_stop
  {
    bool mOn = false;
    bool mExited = false;
    daemon_stop mStop;
    std::int64_t mStartMs = 0; ///< earliest time of the next start
    std::unique_ptr<exit_watch> mWatch;
  };

  void Begin(const fault& aFault)
  {
    auto& stop = mOpen[static_cast<std::size_t>(aFault.mTarget)];
    if (aFault.mKind == fault_kind::StopDaemon && stop.mOn) {
      return;
    }
    ++mCounts[std::string{ FaultName(aFault.mKind) }];
    if (aFault.mKind == fault_kind::StopDaemon) {
      auto& process = mSystem.Daemon(aFault.mTarget);
      stop.mWatch = std::make_unique<exit_watch>(process.Pid());
      stop.mOn = true;
      stop.mExited = false;
      stop.mStop = { aFault.mTarget, NowMs() };
      stop.mStartMs = mStartMs + aFault.mToMs;
      process.Signal(SIGTERM);
    } else if (aFault.mKind == fault_kind::HangUpDaemon) {
      mSystem.Daemon(aFault.mTarget).Signal(SIGHUP);
    } else {
      auto configuration = mSystem.Configuration();
      mVersion += 3;
      configuration["Version"] = mVersion;
      mSystem.Configure(configuration);
    }
  }

  void Continue(open_stop& aOpen)
  {
    if (!aOpen.mOn) {
      return;
    }
    auto& stop = aOpen.mStop;
    auto& process = mSystem.Daemon(stop.mDaemon);
    if (!aOpen.mExited && aOpen.mWatch->ExitMs() != 0) {
      aOpen.mExited = true;
      process.WaitForExit(std::chrono::seconds{ 1 });
      stop.mExitMs = aOpen.mWatch->ExitMs();
      stop.mStatus = process.Status();
      mStops.push_back(stop);
    } else if (!aOpen.mExited && !stop.mKilled &&
               NowMs() - stop.mTermMs >= mShape.mTimes.mGraceMs) {
      stop.mKilled = true;
      process.Signal(SIGKILL);
    }
    if (aOpen.mExited && NowMs() >= aOpen.mStartMs) {
      mSystem.RestartDaemon(stop.mDaemon);
      aOpen.mOn = false;
    }
  }

  gateway_system& mSystem;
  stop_shape mShape;
  std::vector<fault> mPlan;
  std::vector<open_stop> mOpen; ///< by daemon
  std::int64_t mStartMs = 0;
  std::vector<daemon_stop> mStops;
  std::map<std::string, std::size_t> mCounts;
  int mVersion = 10;
};

std::string
Describe(const gateway_system& aSystem, const broken_stop& aBroken)
{
  auto text = "daemon " + std::to_string(aBroken.mDaemon) + ": " + aBroken.mWhat;
  if (aBroken.mId.empty()) {
    return text + LogLines(aSystem, aBroken.mDaemon, kExitLine);
  }
  auto lines = LogLines(aSystem, aBroken.mDaemon, "id=" + aBroken.mId + ' ');
  if (lines.empty()) {
    lines = "\n    no line in the log of the daemon names the request";
  }
  return aBroken.mId + " at " + text + lines + LogLines(aSystem, aBroken.mDaemon, kExitLine);
}

void
WriteEvidence(const stop_evidence& aEvidence, const std::string& aDirectory)
{
  std::ofstream stops{ aDirectory + "/stops.txt" };
  for (const auto& stop : aEvidence.mStops) {
    stops << stop.mTermMs << ' ' << stop.mExitMs << " daemon " << stop.mDaemon << " status "
          << stop.mStatus << (stop.mKilled ? " killed" : "") << '\n';
  }
  WriteRequests(aEvidence.mRequests, aDirectory);
}

} // namespace

std::string
LogLines(const gateway_system& aSystem, int aDaemon, const std::string& aText)
{
  std::string lines;
  std::istringstream log{ aSystem.DaemonLog(aDaemon) };
  for (std::string line; std::getline(log, line);) {
    if (line.find(aText) != std::string::npos) {
      lines += "\n    " + line;
    }
  }
  return lines;
}

void
WriteRequests(const std::vector<request_record>& aRequests, const std::string& aDirectory)
{
  std::ofstream requests{ aDirectory + "/requests.txt" };
  for (const auto& request : aRequests) {
    requests << request.mSentMs << ' ' << request.mLastByteMs << ' ' << request.mEndedMs << ' '
             << request.mId << " daemon " << request.mDaemon << " kind "
             << static_cast<int>(request.mKind) << " events " << request.mEventsAsked << " status "
             << request.mStatus << (request.mWhole ? " whole" : "") << '\n';
  }
}

soak_result
RunStops(std::uint64_t aSeed, std::int64_t aLengthMs, const std::string& aDaemonProgram)
{
  stop_shape shape;
  shape.mLengthMs = aLengthMs;
  shape.mTimes = StopTimesOf(aSeed);
  gateway_system system{ Options(shape, aDaemonProgram) };
  stop_callers callers{ system, aSeed, shape, SetLinks(system, aSeed, shape.mDaemons) };
  stopper stopper{ system, shape, MakeStopPlan(aSeed, shape) };
  stopper.Run();

  stop_evidence evidence;
  evidence.mRequests = callers.Stop();
  evidence.mRecords = system.Records();
  evidence.mStops = stopper.Stops();
  evidence.mTimes = shape.mTimes;
  evidence.mEventMs = kEventMs;
  evidence.mDeadlineMs = kStopDeadlineMs;
  soak_result result;
  for (const auto& broken : BrokenStops(evidence)) {
    result.mBroken.push_back(Describe(system, broken));
  }
  // The promises that hold at all times; the stops are checked above.
  soak_bounds bounds;
  bounds.mDeadlineMs = kStopDeadlineMs;
  for (auto& line : BrokenPromises({ evidence.mRequests, evidence.mRecords, {} }, bounds)) {
    result.mBroken.push_back(std::move(line));
  }
  result.mRequests = evidence.mRequests.size();
  for (const auto& request : evidence.mRequests) {
    ++result.mStatuses[request.mStatus];
  }
  result.mFaults = stopper.Counts();
  if (!result.mBroken.empty()) {
    system.KeepFiles();
    result.mDirectory = system.Directory();
    WriteEvidence(evidence, result.mDirectory);
  }
  return result;
}

} // namespace skylarkwind::soak
