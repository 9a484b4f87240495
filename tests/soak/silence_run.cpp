#include "silence_run.h"

#include "gateway_system.h"
#include "soak_caller.h"
#include "stop_callers.h"
#include "stop_run.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <fstream>
#include <mutex>
#include <random>
#include <thread>

namespace skylarkwind::soak {

namespace {

using nlohmann::json;
using sessions::gateway_system;

constexpr int kEventMs = 80;
constexpr std::int64_t kLinkMs = 120;
constexpr std::int64_t kShortestSilenceMs = 800;
constexpr std::int64_t kLongestSilenceMs = 1'500;
constexpr std::int64_t kSeriesGapMs = 300;
constexpr double kSilencesPerSecond = 2.5;
/// Part of the disturbances in which a server turns work away instead.
constexpr double kRefusing = 0.35;
/// Part of the disturbances that meet all decode engines of the first service.
constexpr double kAllEngines = 0.4;
constexpr int kFirstEngine = 1;
constexpr int kLastEngine = 3;
constexpr std::int64_t kApartMs = 400;
constexpr double kChangesPerSecond = 2;
constexpr double kHangUpsPerSecond = 0.5;
/// Within this time a change is in force everywhere, and callers know of it.
constexpr std::int64_t kConfigApplyMs = 2'000;
/// The clocks of a caller and a daemon are read and rounded apart.
constexpr std::int64_t kRoundingMs = 10;
/// Every change has its opposite.
constexpr std::array<const char*, 14> kChanges{ "idle 2500",    "idle 4000",     "idle 6000",
                                                "body 90000",   "body 1000000",  "timeout 5000",
                                                "timeout 8000", "attempts 1",    "attempts 3",
                                                "weights",      "other service", "back",
                                                "route gone",   "route added" };

const std::vector<sessions::backend_options>&
Servers()
{
  static const std::vector<sessions::backend_options> kServers{
    { "p1", "model", "prefill", kEventMs }, { "d1", "model", "decode", kEventMs },
    { "d2", "model", "decode", kEventMs },  { "d3", "model", "decode", kEventMs },
    { "p4", "other", "prefill", kEventMs }, { "d4", "other", "decode", kEventMs },
    { "s1", "plain", "decode", kEventMs },  { "s2", "plain", "decode", kEventMs },
    { "s3", "plain-2", "decode", kEventMs }
  };
  return kServers;
}

sessions::gateway_options
Options(int aDaemons, const std::string& aDaemonProgram)
{
  sessions::gateway_options options;
  options.mBackends = Servers();
  options.mDaemons = aDaemons;
  options.mPrefillShare = 0.34;
  options.mRelays = true;
  options.mCallerRelays = true;
  options.mSeeds = true;
  options.mMaxBodyBytes = 1'000'000;
  options.mRouteTimeoutMs = static_cast<int>(kStopDeadlineMs);
  options.mDaemonProgram = aDaemonProgram;
  return options;
}

/// Carries out a plan.
class silencer
{
public:
  silencer(gateway_system& aSystem, std::vector<fault> aPlan)
    : mSystem(aSystem)
    , mPlan(std::move(aPlan))
    , mConfiguration(aSystem.Configuration())
  {
    const auto copy = [this](std::size_t aService, const char* aName) {
      auto service = mConfiguration["Services"][aService];
      service["Name"] = aName;
      mConfiguration["Services"].push_back(service);
    };
    copy(0, "other");
    copy(1, "plain-2");
    mLimits.push_back({ NowMs() });
  }

  void Run()
  {
    const auto start = NowMs();
    std::vector<fault> open;
    const auto pause = [] { std::this_thread::sleep_for(std::chrono::milliseconds{ 2 }); };
    for (std::size_t next = 0; next < mPlan.size() || !open.empty(); pause()) {
      const auto now = NowMs() - start;
      std::erase_if(open, [&](const fault& aFault) {
        if (aFault.mToMs <= now) {
          Silence(aFault, false);
        }
        return aFault.mToMs <= now;
      });
      for (; next < mPlan.size() && mPlan[next].mFromMs <= now; ++next) {
        const auto& fault = mPlan[next];
        ++mCounts[std::string{ FaultName(fault.mKind) }];
        mEvents.push_back(std::to_string(NowMs()) + ' ' + std::string{ FaultName(fault.mKind) } +
                          ' ' + std::to_string(fault.mTarget) + ' ' + fault.mVariant + ' ' +
                          std::to_string(fault.mToMs - fault.mFromMs));
        if (fault.mKind == fault_kind::Configure) {
          Configure(fault.mVariant);
        } else if (fault.mKind == fault_kind::HangUpDaemon) {
          mSystem.Daemon(fault.mTarget).Signal(SIGHUP);
        } else {
          Silence(fault, true);
          open.push_back(fault);
        }
      }
    }
  }

  /// Callers know the limit of this time ago.
  std::int64_t MayIdleMs()
  {
    const std::lock_guard guard{ mMutex };
    auto idle = mLimits.front().mIdleMs;
    for (const auto& limits : mLimits) {
      if (limits.mFromMs + kConfigApplyMs <= NowMs()) {
        idle = limits.mIdleMs;
      }
    }
    return idle * 4 / 5;
  }

  const std::vector<limits_in_force>& Limits() const { return mLimits; }
  const std::map<std::string, std::size_t>& Counts() const { return mCounts; }
  const std::vector<std::string>& Events() const { return mEvents; }

private:
  void Silence(const fault& aFault, bool aOn)
  {
    const auto& id = Servers()[static_cast<std::size_t>(aFault.mTarget)].mId;
    if (aFault.mKind == fault_kind::PauseServer) {
      mSystem.Backend(id).Signal(aOn ? SIGSTOP : SIGCONT);
    } else if (aFault.mKind == fault_kind::MisbehaveServer) {
      mSystem.SetMode(id, aOn ? aFault.mVariant : "ok");
    } else {
      mSystem.DisturbBackend(id, { { aFault.mVariant, aOn } });
    }
  }

  void Configure(const std::string& aChange)
  {
    auto limits = mLimits.back();
    const auto value = std::atoi(aChange.substr(aChange.rfind(' ') + 1).c_str());
    auto& routes = mConfiguration["Routes"];
    auto& model = routes[0];
    if (aChange.starts_with("idle")) {
      limits.mIdleMs = value;
      mConfiguration["Limits"]["IdleTimeoutMs"] = value;
    } else if (aChange.starts_with("body")) {
      mConfiguration["Limits"]["MaxBodyBytes"] = value;
    } else if (aChange.starts_with("timeout")) {
      limits.mTimeoutMs = value;
      for (auto& route : routes) {
        route["TimeoutMs"] = value;
      }
    } else if (aChange.starts_with("attempts")) {
      for (auto& route : routes) {
        route["MaxAttempts"] = value;
      }
    } else if (aChange == "weights") {
      model["TrafficSplit"] = { { { "Service", "model" }, { "Weight", 3 } },
                                { { "Service", "other" }, { "Weight", 2 } } };
    } else if (aChange == "route gone") {
      if (routes.size() > 3) {
        mGone = routes[3];
        routes.erase(3);
      }
    } else if (aChange == "route added") {
      if (routes.size() == 3) {
        routes.push_back(mGone);
      }
    } else {
      const bool other = aChange == "other service";
      model.erase("TrafficSplit");
      model["Service"] = other ? "other" : "model";
      routes[2]["Service"] = other ? "plain-2" : "plain";
    }
    mVersion += 3;
    mConfiguration["Version"] = mVersion;
    mSystem.Configure(mConfiguration);
    limits.mFromMs = NowMs();
    const std::lock_guard guard{ mMutex };
    mLimits.push_back(limits);
  }

  gateway_system& mSystem;
  std::vector<fault> mPlan;
  json mConfiguration;
  json mGone;
  int mVersion = 10;
  std::mutex mMutex;
  std::vector<limits_in_force> mLimits; ///< guarded by mMutex while callers run
  std::map<std::string, std::size_t> mCounts;
  std::vector<std::string> mEvents; ///< one line for each disturbance
};

} // namespace

std::vector<fault>
MakeSilencePlan(std::uint64_t aSeed, int aDaemons, int aServers, std::int64_t aLengthMs)
{
  std::mt19937_64 random{ aSeed };
  const auto number = [&random](std::int64_t aLeast, std::int64_t aMost) {
    return std::uniform_int_distribution<std::int64_t>{ aLeast, aMost }(random);
  };
  std::vector<fault> plan;
  const auto times = [&](double aPerSecond) {
    return static_cast<int>(static_cast<double>(aLengthMs) * aPerSecond / 1'000);
  };
  const auto disturb = [&](int aTarget, std::int64_t aFromMs) {
    const auto to = aFromMs + number(kShortestSilenceMs, kLongestSilenceMs);
    const bool refuses = std::bernoulli_distribution{ kRefusing }(random);
    const auto way = number(0, 3);
    // Control calls wait for a stopped server, so that disturbances of a server keep apart.
    for (const auto& other : plan) {
      if (other.mTarget == aTarget && other.mFromMs <= to + kApartMs &&
          aFromMs <= other.mToMs + kApartMs) {
        return;
      }
    }
    const auto kind = refuses   ? fault_kind::MisbehaveServer
                      : way < 2 ? fault_kind::PauseServer
                                : fault_kind::DisturbServer;
    const auto* variant = refuses ? "shed" : way == 2 ? "silence_up" : "silence_down";
    plan.push_back({ kind, aTarget, variant, aFromMs, to });
  };
  std::int64_t last = 0;
  for (int i = 0; i < times(kSilencesPerSecond); ++i) {
    const bool series = i > 0 && std::bernoulli_distribution{ 0.4 }(random);
    last = series ? last + number(0, kSeriesGapMs) : number(0, aLengthMs);
    if (std::bernoulli_distribution{ kAllEngines }(random)) {
      for (int engine = kFirstEngine; engine <= kLastEngine; ++engine) {
        disturb(engine, last + number(0, kSeriesGapMs));
      }
    } else {
      disturb(static_cast<int>(number(0, aServers - 1)), last);
    }
  }
  for (int i = 0; i < times(kHangUpsPerSecond); ++i) {
    const auto at = number(0, aLengthMs);
    plan.push_back(
      { fault_kind::HangUpDaemon, static_cast<int>(number(0, aDaemons - 1)), {}, at, at });
  }
  for (int i = 0; i < times(kChangesPerSecond); ++i) {
    const auto at = number(0, aLengthMs);
    const auto change = static_cast<std::size_t>(number(0, kChanges.size() - 1));
    plan.push_back({ fault_kind::Configure, 0, kChanges[change], at, at });
  }
  std::stable_sort(plan.begin(), plan.end(), [](const fault& aLeft, const fault& aRight) {
    return aLeft.mFromMs < aRight.mFromMs;
  });
  return plan;
}

std::vector<const request_record*>
UnansweredRequests(const std::vector<request_record>& aRequests,
                   const std::vector<limits_in_force>& aLimits)
{
  std::vector<const request_record*> unanswered;
  for (const auto& request : aRequests) {
    auto limit = kStopDeadlineMs;
    for (std::size_t i = 0; i < aLimits.size(); ++i) {
      const bool over =
        i + 1 < aLimits.size() && aLimits[i + 1].mFromMs + kConfigApplyMs < request.mSentMs;
      if (!over && aLimits[i].mFromMs <= request.mEndedMs) {
        limit = std::min(limit, aLimits[i].mTimeoutMs);
      }
    }
    if (!request.mWhole && request.mEndedMs - request.mSentMs < limit - kRoundingMs) {
      unanswered.push_back(&request);
    }
  }
  return unanswered;
}

soak_result
RunSilences(std::uint64_t aSeed, std::int64_t aLengthMs, const std::string& aDaemonProgram)
{
  const int daemons = aSeed % 2 == 0 ? 2 : 3;
  gateway_system system{ Options(daemons, aDaemonProgram) };
  silencer silencer{
    system, MakeSilencePlan(aSeed, daemons, static_cast<int>(Servers().size()), aLengthMs)
  };
  stop_shape shape;
  shape.mDaemons = daemons;
  std::vector<std::int64_t> links;
  for (int i = 0; i < daemons; ++i) {
    links.push_back(kLinkMs);
    system.DisturbCallers(i, { { "delay_ms", kLinkMs } });
  }
  stop_callers callers{ system, aSeed, shape, links, [&] { return silencer.MayIdleMs(); } };
  silencer.Run();
  const auto requests = callers.Stop();

  soak_result result;
  for (const auto* request : UnansweredRequests(requests, silencer.Limits())) {
    result.mBroken.push_back(
      request->mId + " at daemon " + std::to_string(request->mDaemon) + ": sent at " +
      std::to_string(request->mSentMs) + (request->mSentWhole ? " whole" : " in part") +
      ", ended without a whole answer after " +
      std::to_string(request->mEndedMs - request->mSentMs) + " ms, status " +
      std::to_string(request->mStatus) + ", " + std::to_string(request->mBody.size()) +
      " bytes of the body" + LogLines(system, request->mDaemon, "id=" + request->mId + ' '));
  }
  soak_bounds bounds;
  bounds.mDeadlineMs = kStopDeadlineMs;
  bounds.mSentInParts = true;
  bounds.mMostRuns = 3;
  bounds.mRefusals = { 404, 413, 503 };
  for (auto& line : BrokenPromises({ requests, system.Records(), {} }, bounds)) {
    result.mBroken.push_back(std::move(line));
  }
  for (const auto& server : Servers()) {
    auto& process = system.Backend(server.mId);
    if (process.WaitForExit(std::chrono::milliseconds{ 0 })) {
      result.mBroken.push_back("server " + server.mId + " ended by itself, wait status " +
                               std::to_string(process.Status()));
    }
  }
  result.mRequests = requests.size();
  for (const auto& request : requests) {
    ++result.mStatuses[request.mStatus];
  }
  result.mFaults = silencer.Counts();
  if (!result.mBroken.empty()) {
    system.KeepFiles();
    result.mDirectory = system.Directory();
    WriteRequests(requests, result.mDirectory);
    std::ofstream events{ result.mDirectory + "/disturbances.txt" };
    for (const auto& line : silencer.Events()) {
      events << line << '\n';
    }
  }
  return result;
}

} // namespace skylarkwind::soak
