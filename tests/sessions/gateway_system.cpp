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

} // namespace

gateway_system::gateway_system(gateway_options aOptions)
  : mOptions(std::move(aOptions))
{
  std::string pattern = "/tmp/skylarkwind-gateway-XXXXXX";
  mDirectory = mkdtemp(pattern.data());
  mStore = child_process::Start(Program("standin_store"));
  for (const auto& options : mOptions.mBackends) {
    mBackends.push_back(
      { options,
        child_process::Start(Program("standin_backend"),
                             { "--id=" + options.mId,
                               "--stage=" + options.mStage,
                               "--event_ms=" + std::to_string(options.mEventMs) }) });
    List(options.mId, "ready");
  }
  Configure(FirstConfiguration());
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
  std::filesystem::remove_all(mDirectory);
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

http_reply
gateway_system::Store(const std::string& aMethod, const std::string& aPath, const json& aBody) const
{
  return Call(aMethod, mStore->Url(aPath), { "Content-Type: application/json" }, aBody.dump());
}

void
gateway_system::Put(const std::string& aKind, const std::string& aName, const json& aSpec) const
{
  const json body{ { "Metadata", { { "Name", aName } } }, { "Spec", aSpec } };
  const auto path = "/skylarkwind/objects/" + aKind;
  if (Store("POST", path, body).mStatus == 409) {
    Store("PUT", path + "/" + aName, body);
  }
}

void
gateway_system::Configure(const json& aConfiguration)
{
  Put("config", "main", aConfiguration);
}

void
gateway_system::List(const std::string& aId, const std::string& aState)
{
  const auto& entry = Find(aId);
  json spec{ { "Service", entry.mOptions.mService },
             { "Address", entry.mProcess->Address() },
             { "Zone", "z" },
             { "Slots", 8 },
             { "State", aState },
             { "Seq", 1 } };
  if (entry.mOptions.mService == "model") {
    spec["Stage"] = entry.mOptions.mStage;
  }
  Put("servers", aId, spec);
}

void
gateway_system::Unlist(const std::string& aId)
{
  Store("DELETE", "/skylarkwind/objects/servers/" + aId, json::object());
}

void
gateway_system::StoreFaults(const json& aFaults)
{
  Store("POST", "/standin/faults", aFaults);
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
  std::ofstream{ file }
    << "gateway:\n  vm: " << aDaemon.mName << "\n  data_centre: z\n"
    << "  callers_address: " << aDaemon.mCallers << "\n"
    << "  ready_address: " << aDaemon.mReady << "\n"
    << "  store_address: " << mStore->Address() << "\n"
    << "  peer_address: " << aDaemon.mPeers << "\n"
    << "  contact_ms: 1000\n  lease_ms: 1000\n  shutdown_grace_s: 8\n  balancer_notices_ms: 300\n"
    << "  repeat_ratio: 0.2\n  repeat_floor: 40\n"
    << "  prefill_share: " << mOptions.mPrefillShare << "\n";
  return file;
}

void
gateway_system::AddDaemon()
{
  daemon_entry daemon{
    "vm-" + std::to_string(mDaemons.size()), Loopback(), Loopback(), Loopback(), {}
  };
  daemon.mProcess =
    child_process::Start(Program("skylarkwindd"), { "--settings=" + WriteSettings(daemon) });
  mDaemons.push_back(std::move(daemon));
}

std::string
gateway_system::CallerUrl(const std::string& aPath, int aIndex) const
{
  return "http://" + mDaemons[static_cast<std::size_t>(aIndex)].mCallers + aPath;
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
