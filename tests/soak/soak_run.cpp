#include "soak_run.h"

#include "gateway_system.h"
#include "soak_caller.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <fstream>
#include <functional>
#include <mutex>
#include <optional>
#include <random>
#include <thread>

namespace skylarkwind::soak {

namespace {

using nlohmann::json;
using sessions::gateway_system;

constexpr int kDaemons = 3;
constexpr int kCallers = 8;
/// From the end of the last disturbance until every request must be served again. The platform's
/// sheets allow 12 s and more.
constexpr std::int64_t kRecoverMs = 8'000;
constexpr int kProbesAfter = 24;
constexpr std::array<const char*, 4> kPaths{ "/stream/a",
                                             "/once-stream/a",
                                             "/order/a",
                                             "/lookup/a" };

const std::vector<sessions::backend_options>&
Servers()
{
  static const std::vector<sessions::backend_options> kServers{
    { "e1", "model", "prefill", 10 }, { "e2", "model", "decode", 10 },
    { "e3", "model", "decode", 10 },  { "e4", "model", "decode", 10 },
    { "p1", "plain", "decode", 10 },  { "p2", "plain", "decode", 10 }
  };
  return kServers;
}

json
RelayFault(const std::string& aVariant, bool aOn)
{
  if (!aOn) {
    return { { "cut", false },         { "reset", false },        { "delay_ms", 0 },
             { "silence_all", false }, { "silence_open", false }, { "silence_up", false },
             { "silence_down", false } };
  }
  if (aVariant == "delay") {
    return { { "delay_ms", 250 } };
  }
  if (aVariant == "reset") {
    return { { "cut", true }, { "reset", true } };
  }
  return { { aVariant, true } };
}

std::string
RequestText(const request_record& aRecord, std::mt19937_64& aRandom)
{
  std::string text = aRecord.mKind == request_kind::Lookup ? "GET " : "POST ";
  text += kPaths[static_cast<std::size_t>(aRecord.mKind)];
  text += " HTTP/1.1\r\nHost: a.example\r\nX-Skylarkwind-Request-Id: " + aRecord.mId +
          "\r\nX-Skylarkwind-Deadline-Ms: 4000\r\n";
  if (aRecord.mEventsAsked > 0) {
    const auto part = std::to_string(std::uniform_int_distribution<int>{ 0, 5 }(aRandom));
    text += "X-Skylarkwind-Model: m\r\nX-Skylarkwind-Token-Count: 3000," +
            std::to_string(aRecord.mEventsAsked) + "\r\nX-Skylarkwind-Prefix-Hash: 5c1e07a" + part +
            ":2500," + aRecord.mId + ":500\r\n";
  }
  const std::string body = aRecord.mKind == request_kind::Lookup ? "" : "body of " + aRecord.mId;
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The callers' side: threads that send requests of all kinds to all daemons.
class caller_group
{
public:
  caller_group(const gateway_system& aSystem, std::uint64_t aSeed)
    : mSystem(aSystem)
    , mSeed(aSeed)
  {
    for (int i = 0; i < kCallers; ++i) {
      mThreads.emplace_back([this, i] { Run(i); });
    }
  }

  std::vector<request_record> Stop()
  {
    mStopping = true;
    for (auto& thread : mThreads) {
      thread.join();
    }
    mThreads.clear();
    return std::move(mRecords);
  }

  static request_record Make(const std::string& aId, int aDaemon, std::mt19937_64& aRandom)
  {
    request_record record;
    record.mId = aId;
    record.mDaemon = aDaemon;
    record.mKind = static_cast<request_kind>(std::uniform_int_distribution<int>{ 0, 3 }(aRandom));
    if (record.mKind == request_kind::Stream || record.mKind == request_kind::OnceStream) {
      record.mEventsAsked = std::uniform_int_distribution<int>{ 1, 60 }(aRandom);
    }
    return record;
  }

private:
  void Run(int aNumber)
  {
    std::mt19937_64 random{ mSeed * 1'000 + static_cast<std::uint64_t>(aNumber) };
    std::map<int, caller_connection> connections;
    for (int i = 0; !mStopping; ++i) {
      const int daemon = std::uniform_int_distribution<int>{ 0, kDaemons - 1 }(random);
      auto open = connections.find(daemon);
      if (open == connections.end()) {
        auto made = caller_connection::Open(mSystem.CallersAddress(daemon));
        if (!made) {
          std::this_thread::sleep_for(std::chrono::milliseconds{ 20 });
          continue;
        }
        open = connections.emplace(daemon, std::move(*made)).first;
      }
      auto record =
        Make(std::to_string(mSeed) + "-" + std::to_string(aNumber) + "-" + std::to_string(i),
             daemon,
             random);
      caller_habits habits;
      if (std::bernoulli_distribution{ 0.1 }(random)) {
        habits.mLeaveMs = std::uniform_int_distribution<std::int64_t>{ 5, 400 }(random);
      }
      if (!open->second.Ask(RequestText(record, random), habits, record)) {
        connections.erase(open);
      }
      const std::lock_guard guard{ mMutex };
      mRecords.push_back(std::move(record));
    }
  }

  const gateway_system& mSystem;
  std::uint64_t mSeed;
  std::atomic<bool> mStopping{ false };
  std::mutex mMutex;
  std::vector<request_record> mRecords; ///< guarded by mMutex
  std::vector<std::thread> mThreads;
};

/// Carries out the disturbances of a plan.
class injector
{
public:
  injector(gateway_system& aSystem, std::vector<fault> aPlan)
    : mSystem(aSystem)
    , mPlan(std::move(aPlan))
  {
  }

  void Run(std::int64_t aLengthMs)
  {
    const auto start = NowMs();
    std::size_t next = 0;
    while (NowMs() - start < aLengthMs || !mOpen.empty()) {
      const auto now = NowMs() - start;
      for (; next < mPlan.size() && mPlan[next].mFromMs <= now; ++next) {
        Begin(mPlan[next]);
      }
      std::erase_if(mOpen, [&](const open_fault& aOpen) {
        if (now < mPlan[aOpen.mPlanned].mToMs || !End(mPlan[aOpen.mPlanned], aOpen.mDaemon)) {
          return false;
        }
        mDone[aOpen.mDone].mToMs = NowMs();
        return true;
      });
      std::this_thread::sleep_for(std::chrono::milliseconds{ 5 });
    }
  }

  std::vector<injected_fault> Done() const { return mDone; }

private:
  struct open_fault
  {
    std::size_t mPlanned = 0;
    std::size_t mDone = 0;
    pid_t mDaemon = -1; ///< process of a stopped daemon
  };

  const std::string& ServerOf(const fault& aFault) const
  {
    return Servers()[static_cast<std::size_t>(aFault.mTarget)].mId;
  }

  void Begin(const fault& aFault)
  {
    injected_fault done{ aFault, NowMs(), NowMs() };
    pid_t daemon = -1;
    if (aFault.mKind == fault_kind::DrainServer) {
      done.mFault.mVariant = ServerOf(aFault);
    }
    switch (aFault.mKind) {
      case fault_kind::KillDaemon:
        mSystem.Daemon(aFault.mTarget).Signal(SIGKILL);
        break;
      case fault_kind::StopDaemon:
        daemon = mSystem.Daemon(aFault.mTarget).Pid();
        mSystem.Daemon(aFault.mTarget).Signal(SIGTERM);
        break;
      case fault_kind::PauseDaemon:
        mSystem.Daemon(aFault.mTarget).Signal(SIGSTOP);
        break;
      case fault_kind::HangUpDaemon:
        mSystem.Daemon(aFault.mTarget).Signal(SIGHUP);
        break;
      case fault_kind::KillServer:
        mSystem.Backend(ServerOf(aFault)).Signal(SIGKILL);
        break;
      case fault_kind::PauseServer:
        mSystem.Backend(ServerOf(aFault)).Signal(SIGSTOP);
        break;
      case fault_kind::MisbehaveServer:
        mSystem.SetMode(ServerOf(aFault), aFault.mVariant);
        break;
      case fault_kind::DisturbServer:
        mSystem.DisturbBackend(ServerOf(aFault), RelayFault(aFault.mVariant, true));
        break;
      case fault_kind::DrainServer:
        mSystem.List(ServerOf(aFault), "draining");
        break;
      case fault_kind::DisturbStore:
        mSystem.DisturbStore(aFault.mTarget, RelayFault(aFault.mVariant, true));
        break;
      case fault_kind::StoreMode:
        mSystem.StoreFaults({ { "mode", aFault.mVariant } });
        break;
      case fault_kind::StoreLosesAnswers:
        mSystem.StoreFaults({ { "lose_answers", true } });
        break;
      case fault_kind::StoreDropsHistory:
        mSystem.StoreFaults({ { "drop_history", true } });
        break;
      case fault_kind::Configure:
        Configure();
        break;
    }
    done.mToMs = NowMs();
    mDone.push_back(std::move(done));
    mOpen.push_back({ static_cast<std::size_t>(&aFault - mPlan.data()), mDone.size() - 1, daemon });
  }

  /// False when it is not over yet. `aDaemon` is the process that was told to stop.
  bool End(const fault& aFault, pid_t aDaemon)
  {
    switch (aFault.mKind) {
      case fault_kind::KillDaemon:
        mSystem.RestartDaemon(aFault.mTarget);
        break;
      case fault_kind::StopDaemon:
        // Another disturbance may have replaced the process already.
        if (mSystem.Daemon(aFault.mTarget).Pid() != aDaemon) {
          break;
        }
        if (!mSystem.Daemon(aFault.mTarget).WaitForExit(std::chrono::milliseconds{ 0 })) {
          return false;
        }
        mSystem.RestartDaemon(aFault.mTarget);
        break;
      case fault_kind::PauseDaemon:
        mSystem.Daemon(aFault.mTarget).Signal(SIGCONT);
        break;
      case fault_kind::KillServer:
        mSystem.RestartBackend(ServerOf(aFault));
        break;
      case fault_kind::PauseServer:
        mSystem.Backend(ServerOf(aFault)).Signal(SIGCONT);
        break;
      case fault_kind::MisbehaveServer:
        mSystem.SetMode(ServerOf(aFault), "ok");
        break;
      case fault_kind::DisturbServer:
        mSystem.DisturbBackend(ServerOf(aFault), RelayFault({}, false));
        break;
      case fault_kind::DrainServer:
        mSystem.Unlist(ServerOf(aFault));
        mSystem.ListAsRestarted(ServerOf(aFault));
        break;
      case fault_kind::DisturbStore:
        mSystem.DisturbStore(aFault.mTarget, RelayFault({}, false));
        break;
      case fault_kind::StoreMode:
        mSystem.StoreFaults({ { "mode", "ok" } });
        break;
      case fault_kind::StoreLosesAnswers:
        mSystem.StoreFaults({ { "lose_answers", false } });
        break;
      case fault_kind::HangUpDaemon:
      case fault_kind::StoreDropsHistory:
      case fault_kind::Configure:
        break;
    }
    return true;
  }

  void Configure()
  {
    auto configuration = gateway_system::FirstConfiguration();
    mVersion += 3;
    configuration["Version"] = mVersion;
    mSystem.Configure(configuration);
  }

  gateway_system& mSystem;
  std::vector<fault> mPlan;
  std::vector<open_fault> mOpen;
  std::vector<injected_fault> mDone;
  int mVersion = 10;
};

/// Requests after all disturbances, each of which must be served.
void
CheckRecovery(const gateway_system& aSystem, std::uint64_t aSeed, soak_result& aResult)
{
  std::mt19937_64 random{ aSeed };
  for (int i = 0; i < kProbesAfter; ++i) {
    auto record = caller_group::Make(
      std::to_string(aSeed) + "-after-" + std::to_string(i), i % kDaemons, random);
    auto connection = caller_connection::Open(aSystem.CallersAddress(record.mDaemon));
    if (!connection) {
      aResult.mBroken.push_back(record.mId + ": a daemon refuses connections after recovery");
      continue;
    }
    connection->Ask(RequestText(record, random), {}, record);
    if (record.mStatus != 200 || !record.mWhole) {
      aResult.mBroken.push_back(record.mId + " at daemon " + std::to_string(record.mDaemon) +
                                ": not served after recovery, status " +
                                std::to_string(record.mStatus));
    }
  }
}

void
WriteEvidence(const soak_evidence& aEvidence, const std::string& aDirectory)
{
  std::ofstream faults{ aDirectory + "/faults.txt" };
  for (const auto& fault : aEvidence.mFaults) {
    faults << fault.mFromMs << ' ' << fault.mToMs << ' ' << FaultName(fault.mFault.mKind) << ' '
           << fault.mFault.mTarget << ' ' << fault.mFault.mVariant << '\n';
  }
  std::ofstream requests{ aDirectory + "/requests.txt" };
  for (const auto& request : aEvidence.mRequests) {
    requests << request.mSentMs << ' ' << request.mEndedMs << ' ' << request.mId << " daemon "
             << request.mDaemon << " kind " << static_cast<int>(request.mKind) << " status "
             << request.mStatus << (request.mWhole ? " whole" : "")
             << (request.mLeft ? " left" : "") << '\n';
  }
}

} // namespace

soak_result
RunSoak(std::uint64_t aSeed, std::int64_t aLengthMs)
{
  sessions::gateway_options options;
  options.mBackends = Servers();
  options.mDaemons = kDaemons;
  options.mRelays = true;
  gateway_system system{ options };
  plan_shape shape;
  shape.mDaemons = kDaemons;
  shape.mServers = static_cast<int>(Servers().size());
  shape.mLengthMs = aLengthMs;

  caller_group callers{ system, aSeed };
  injector injector{ system, MakePlan(aSeed, shape) };
  injector.Run(aLengthMs);
  std::this_thread::sleep_for(std::chrono::milliseconds{ kRecoverMs });
  soak_evidence evidence;
  evidence.mRequests = callers.Stop();
  soak_result result;
  CheckRecovery(system, aSeed, result);
  evidence.mFaults = injector.Done();
  evidence.mRecords = system.Records();
  const auto broken = BrokenPromises(evidence, {});
  result.mBroken.insert(result.mBroken.end(), broken.begin(), broken.end());
  result.mRequests = evidence.mRequests.size();
  for (const auto& request : evidence.mRequests) {
    ++result.mStatuses[request.mStatus];
  }
  for (const auto& fault : evidence.mFaults) {
    ++result.mFaults[std::string{ FaultName(fault.mFault.mKind) }];
  }
  if (!result.mBroken.empty()) {
    system.KeepFiles();
    result.mDirectory = system.Directory();
    WriteEvidence(evidence, result.mDirectory);
  }
  return result;
}

} // namespace skylarkwind::soak
