#include "gateway_system.h"

#include <filesystem>
#include <fstream>
#include <stdexcept>

namespace skylarkwind::sessions {

namespace {

using nlohmann::json;

constexpr const char* kHost = "a.example";

std::string
Program(const std::string& aName)
{
  return std::string{ SKYLARKWIND_BIN_DIR } + "/" + aName;
}

std::string
Loopback()
{
  return "127.0.0.1:" + std::to_string(FreePort());
}

json
Route(const std::string& aName, const std::string& aKind, const std::string& aService)
{
  return { { "Name", aName },
           { "Host", kHost },
           { "PathPrefix", "/" + aName + "/" },
           { "Kind", aKind },
           { "TimeoutMs", 4'000 },
           { "TargetLatencyMs", 500 },
           { "TargetGapMs", 200 },
           { "Priority", 1 },
           { "MaxAttempts", 2 },
           { "Service", aService },
           { "Resumable", aName == "stream" } };
}

std::unique_ptr<child_process>
StartRelay(const std::string& aTarget)
{
  return child_process::Start(Program("standin_relay"), { "--target=" + aTarget });
}

std::string
RelayAddress(const child_process& aRelay)
{
  return json::parse(Call("GET", aRelay.Url("/standin/state")).mBody)["address"].get<std::string>();
}

void
SetFaults(const child_process& aRelay, const json& aFaults)
{
  Call("POST", aRelay.Url("/standin/faults"), {}, aFaults.dump());
}

} // namespace

gateway_system::gateway_system(gateway_options aOptions)
  : mOptions(std::move(aOptions))
{
  std::string pattern = "/tmp/skylarkwind-gateway-XXXXXX";
  mDirectory = mkdtemp(pattern.data());
  mStore = child_process::Start(Program("standin_store"));
  for (const auto& options : mOptions.mBackends) {
    backend_entry entry{ options, Loopback(), {}, {}, {}, options.mId, {} };
    StartBackend(entry);
    entry.mAddress = entry.mProcess->Address();
    if (mOptions.mRelays) {
      entry.mRelay = StartRelay(entry.mAddress);
      entry.mAddress = RelayAddress(*entry.mRelay);
    }
    mBackends.push_back(std::move(entry));
    List(options.mId, "ready");
  }
  Configure(Configuration());
  for (int i = 0; i < mOptions.mDaemons; ++i) {
    AddDaemon();
  }
  for (int i = 0; i < mOptions.mDaemons; ++i) {
    if (!WaitUntil([&] { return Ready(i).mStatus == 200; })) {
      throw std::runtime_error("a daemon is not ready");
    }
  }
}

gateway_system::~gateway_system()
{
  mDaemons.clear();
  if (!mKeepsFiles) {
    std::filesystem::remove_all(mDirectory);
  }
}

json
gateway_system::FirstConfiguration()
{
  const json engine{ { "Slots", 8 },        { "KvTokens", 400'000 }, { "KvTokenBytes", 1'000 },
                     { "LinkMbps", 1e6 },   { "Stride", 1 },         { "HandleTtlS", 5 },
                     { "RoleSwitchS", 0.3 } };
  return {
    { "Version", 4 },
    { "Routes",
      { Route("stream", "streaming", "model"),
        Route("once-stream", "streaming", "model"),
        Route("order", "non_idempotent", "plain"),
        Route("lookup", "idempotent", "plain") } },
    { "Services",
      { { { "Name", "model" }, { "HealthCheck", "/health" }, { "Engine", engine } },
        { { "Name", "plain" }, { "HealthCheck", "/health" } } } },
    { "Limits",
      { { "MaxBodyBytes", 10'000 }, { "HeaderTimeoutMs", 3'000 }, { "IdleTimeoutMs", 5'000 } } }
  };
}

json
gateway_system::Configuration() const
{
  auto configuration = FirstConfiguration();
  configuration["Limits"]["MaxBodyBytes"] = mOptions.mMaxBodyBytes;
  for (auto& route : configuration["Routes"]) {
    route["TimeoutMs"] = mOptions.mRouteTimeoutMs;
  }
  return configuration;
}

http_reply
gateway_system::Store(const std::string& aMethod,
                      const std::string& aPath,
                      const json& aBody,
                      std::chrono::milliseconds aLimit) const
{
  return Call(
    aMethod, mStore->Url(aPath), { "Content-Type: application/json" }, aBody.dump(), aLimit);
}

bool
gateway_system::Put(const std::string& aKind,
                    const std::string& aName,
                    const json& aSpec,
                    std::chrono::milliseconds aLimit) const
{
  const json body{ { "Metadata", { { "Name", aName } } }, { "Spec", aSpec } };
  const auto path = "/skylarkwind/objects/" + aKind;
  constexpr int kConflict = 409;
  auto status = Store("POST", path, body, aLimit).mStatus;
  if (status == kConflict) {
    status = Store("PUT", path + "/" + aName, body, aLimit).mStatus;
  }
  return status / 100 == 2;
}

void
gateway_system::Configure(const json& aConfiguration)
{
  Put("config", "main", aConfiguration);
}

bool
gateway_system::List(const std::string& aId,
                     const std::string& aState,
                     std::chrono::milliseconds aLimit)
{
  auto& entry = Find(aId);
  return Put("servers", aId, EntryOf(entry, aState, ++entry.mWrites), aLimit);
}

void
gateway_system::ListLate(const std::string& aId, const std::string& aState)
{
  const auto& entry = Find(aId);
  Put("servers", aId, EntryOf(entry, aState, entry.mWrites - 1));
}

void
gateway_system::ListAsRestarted(const std::string& aId)
{
  NoteStart(Find(aId));
  List(aId, "ready");
}

void
gateway_system::NoteStart(backend_entry& aBackend)
{
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
  aBackend.mStartedAt = std::max(aBackend.mStartedAt + 1, static_cast<std::uint64_t>(now.count()));
  aBackend.mWrites = 0;
}

json
gateway_system::EntryOf(const backend_entry& aBackend,
                        const std::string& aState,
                        std::uint64_t aWrite)
{
  json spec{ { "Service", aBackend.mOptions.mService },
             { "Address", aBackend.mAddress },
             { "Zone", aBackend.mOptions.mDataCentre },
             { "Slots", 8 },
             { "State", aState },
             { "Seq", aWrite },
             { "born", aBackend.mStartedAt } };
  if (!aBackend.mOptions.mService.starts_with("plain")) {
    spec["Stage"] = aBackend.mOptions.mStage;
  }
  return spec;
}

void
gateway_system::Unlist(const std::string& aId)
{
  Store("DELETE", "/skylarkwind/objects/servers/" + aId, json::object());
}

void
gateway_system::PutRaw(const std::string& aKind, const std::string& aName, const std::string& aSpec)
{
  const auto reply =
    Call("POST", mStore->Url("/standin/raw?kind=" + aKind + "&name=" + aName), {}, aSpec);
  if (reply.mStatus != 200) {
    throw std::runtime_error("the store did not take a raw object: " + reply.mBody);
  }
}

void
gateway_system::StoreFaults(const json& aFaults)
{
  Store("POST", "/standin/faults", aFaults);
}

std::string
gateway_system::StoredText(const std::string& aKind) const
{
  return Call("GET", mStore->Url("/skylarkwind/objects/" + aKind)).mBody;
}

std::uint64_t
gateway_system::StoreCalls() const
{
  return json::parse(Call("GET", mStore->Url("/standin/calls")).mBody)["calls"]
    .get<std::uint64_t>();
}

void
gateway_system::SetMode(const std::string& aBackend, const std::string& aMode)
{
  Call("POST", Find(aBackend).mProcess->Url("/standin/mode"), {}, json{ { "mode", aMode } }.dump());
}

void
gateway_system::StartBackend(backend_entry& aBackend) const
{
  std::vector<std::string> arguments{
    "--id=" + aBackend.mOptions.mId,
    "--stage=" + aBackend.mOptions.mStage,
    "--event_ms=" + std::to_string(aBackend.mOptions.mEventMs),
    "--event_bytes=" + std::to_string(aBackend.mOptions.mEventBytes),
    "--crash_part=" + aBackend.mOptions.mCrashPart,
    "--crash_after=" + std::to_string(aBackend.mOptions.mCrashAfter),
    "--listen=" + aBackend.mListen
  };
  if (aBackend.mOptions.mUndelimited) {
    arguments.emplace_back("--undelimited");
  }
  if (mOptions.mRelays || mOptions.mRecords) {
    arguments.push_back("--log_file=" + LogFile(aBackend.mFirstId));
  }
  aBackend.mProcess = child_process::Start(Program("standin_backend"), arguments);
  NoteStart(aBackend);
}

void
gateway_system::RestartBackend(const std::string& aId)
{
  auto& entry = Find(aId);
  entry.mProcess->Signal(SIGKILL);
  entry.mProcess = nullptr;
  StartBackend(entry);
}

std::string
gateway_system::ReplaceBackend(const std::string& aId)
{
  auto& entry = Find(aId);
  entry.mProcess->Signal(SIGKILL);
  entry.mProcess = nullptr;
  if (entry.mListedId.empty()) {
    entry.mListedId = aId;
  }
  entry.mOptions.mId = entry.mFirstId + '.' + std::to_string(++entry.mReplaced);
  StartBackend(entry);
  return entry.mOptions.mId;
}

bool
gateway_system::ListReplaced(const std::string& aId)
{
  constexpr std::chrono::milliseconds kLimit{ 300 };
  auto& listed = Find(aId).mListedId;
  Store("DELETE", "/skylarkwind/objects/servers/" + listed, json::object(), kLimit);
  if (!List(aId, "ready", kLimit)) {
    return false;
  }
  listed.clear();
  return true;
}

bool
gateway_system::WaitForAllDaemons(const std::function<bool(int)>& aCondition,
                                  std::chrono::milliseconds aLimit) const
{
  return WaitUntil(
    [&] {
      for (int i = 0; i < DaemonCount(); ++i) {
        if (!aCondition(i)) {
          return false;
        }
      }
      return true;
    },
    aLimit);
}

void
gateway_system::RestartDaemon(int aIndex)
{
  auto& daemon = mDaemons[static_cast<std::size_t>(aIndex)];
  daemon.mProcess->Signal(SIGKILL);
  daemon.mProcess = nullptr;
  StartDaemon(daemon);
}

void
gateway_system::StartDaemon(daemon_entry& aDaemon) const
{
  const auto program =
    mOptions.mDaemonProgram.empty() ? Program("skylarkwindd") : mOptions.mDaemonProgram;
  aDaemon.mProcess = child_process::Start(program, { "--settings=" + WriteSettings(aDaemon) });
  aDaemon.mProcess->KeepOutput(mDirectory + "/" + aDaemon.mName + ".out");
}

std::string
gateway_system::DaemonLog(int aIndex) const
{
  std::ifstream file{ mDirectory + "/" + mDaemons[static_cast<std::size_t>(aIndex)].mName +
                      ".out" };
  return { std::istreambuf_iterator<char>{ file }, {} };
}

void
gateway_system::DisturbBackend(const std::string& aId, const json& aFaults)
{
  SetFaults(*Find(aId).mRelay, aFaults);
}

void
gateway_system::DisturbStore(int aDaemon, const json& aFaults)
{
  SetFaults(*mDaemons[static_cast<std::size_t>(aDaemon)].mStoreRelay, aFaults);
}

void
gateway_system::DisturbCallers(int aDaemon, const json& aFaults)
{
  SetFaults(*mDaemons[static_cast<std::size_t>(aDaemon)].mCallerRelay, aFaults);
}

std::vector<json>
gateway_system::Records() const
{
  std::vector<json> records;
  for (const auto& backend : mBackends) {
    std::ifstream file{ LogFile(backend.mFirstId) };
    for (std::string line; std::getline(file, line);) {
      // A killed server may leave an unfinished last line.
      if (auto record = json::parse(line, nullptr, false); record.is_object()) {
        records.push_back(std::move(record));
      }
    }
  }
  return records;
}

gateway_system::backend_entry&
gateway_system::Find(const std::string& aId)
{
  return const_cast<backend_entry&>(std::as_const(*this).Find(aId));
}

const gateway_system::backend_entry&
gateway_system::Find(const std::string& aId) const
{
  for (const auto& backend : mBackends) {
    if (backend.mOptions.mId == aId) {
      return backend;
    }
  }
  throw std::runtime_error("no backend server " + aId);
}

std::string
gateway_system::WriteSettings(const daemon_entry& aDaemon) const
{
  auto file = mDirectory + "/" + aDaemon.mName + ".yaml";
  std::ofstream{ file } << "gateway:\n  vm: " << aDaemon.mName
                        << "\n  data_centre: " << aDaemon.mDataCentre << "\n"
                        << "  callers_address: " << aDaemon.mCallers << "\n"
                        << "  ready_address: " << aDaemon.mReady << "\n"
                        << "  store_address: " << aDaemon.mStore << "\n"
                        << "  peer_address: " << aDaemon.mPeers << "\n"
                        << "  lease_ms: 1000\n  shutdown_grace_s: " << mOptions.mShutdownGraceS
                        << "\n  balancer_notices_ms: " << mOptions.mBalancerNoticesMs << "\n"
                        << "  repeat_ratio: " << mOptions.mRepeatRatio
                        << "\n  repeat_floor: " << mOptions.mRepeatFloor << "\n"
                        << "  prefill_share: " << mOptions.mPrefillShare << "\n"
                        << "  seeds: \""
                        << (mOptions.mSeeds && !mDaemons.empty() ? mDaemons[0].mPeers : "")
                        << "\"\n";
  return file;
}

std::size_t
gateway_system::PeakMegabytes(int aIndex)
{
  std::ifstream status{ "/proc/" + std::to_string(Daemon(aIndex).Pid()) + "/status" };
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmHWM:")) {
      return std::stoul(line.substr(6)) / 1'024;
    }
  }
  return 0;
}

void
gateway_system::AddDaemon()
{
  daemon_entry daemon{ "vm-" + std::to_string(mDaemons.size()),
                       Loopback(),
                       Loopback(),
                       Loopback(),
                       {},
                       {},
                       {},
                       "z",
                       {},
                       {} };
  if (const auto centre = mDaemons.size() % static_cast<std::size_t>(mOptions.mDataCentres);
      centre > 0) {
    daemon.mDataCentre += std::to_string(centre);
  }
  if (mOptions.mCallerRelays) {
    daemon.mCallerRelay = StartRelay(daemon.mCallers);
    daemon.mRelayedCallers = RelayAddress(*daemon.mCallerRelay);
  }
  daemon.mStore = mStore->Address();
  if (mOptions.mRelays) {
    daemon.mStoreRelay = StartRelay(daemon.mStore);
    daemon.mStore = RelayAddress(*daemon.mStoreRelay);
  }
  StartDaemon(daemon);
  mDaemons.push_back(std::move(daemon));
}

std::string
gateway_system::CallerUrl(const std::string& aPath, int aIndex) const
{
  return "http://" + mDaemons[static_cast<std::size_t>(aIndex)].mCallers + aPath;
}

std::string
gateway_system::Metrics(int aIndex) const
{
  return Call("GET", "http://" + mDaemons[static_cast<std::size_t>(aIndex)].mReady + "/metrics")
    .mBody;
}

http_reply
gateway_system::Ready(int aIndex) const
{
  return Call("GET",
              "http://" + mDaemons[static_cast<std::size_t>(aIndex)].mReady + "/skylarkwind/ready");
}

http_reply
gateway_system::Send(const std::string& aMethod,
                     const std::string& aPath,
                     header_lines aHeaders,
                     const std::string& aBody) const
{
  aHeaders.push_back(std::string{ "Host: " } + kHost);
  return Call(aMethod, CallerUrl(aPath), aHeaders, aBody);
}

header_lines
gateway_system::StreamHeaders(const std::string& aId, int aEvents)
{
  return { std::string{ "Host: " } + kHost,
           "X-Skylarkwind-Request-Id: " + aId,
           "X-Skylarkwind-Deadline-Ms: 4000",
           "X-Skylarkwind-Model: m",
           "X-Skylarkwind-Token-Count: 3000," + std::to_string(aEvents),
           "X-Skylarkwind-Prefix-Hash: 5c1e07a2:2500," + aId + ":500" };
}

json
gateway_system::Arrivals(const std::string& aBackend) const
{
  return json::parse(Call("GET", Find(aBackend).mProcess->Url("/standin/log")).mBody);
}

std::size_t
gateway_system::Count(const std::string& aOutcome) const
{
  std::size_t count = 0;
  for (const auto& backend : mBackends) {
    for (const auto& arrival : Arrivals(backend.mOptions.mId)) {
      count += arrival["outcome"] == aOutcome ? 1 : 0;
    }
  }
  return count;
}

} // namespace skylarkwind::sessions
