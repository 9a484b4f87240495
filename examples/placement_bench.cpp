#include "skylarkwind/hash.h"
#include "skylarkwind/placement.h"
#include "skylarkwind/request_cost.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <string>
#include <vector>

/// Measures the time of one placement decision: a generation among 600 engines, a plain request
/// among 3 and among 600 servers, and one estimate of a request's cost among 10,000 accounts.
namespace skylarkwind {

namespace {

constexpr int kDecisions = 20'000;
constexpr std::uint32_t kAccounts = 10'000;

void
Print(const char* aName, std::vector<double> aMicroseconds)
{
  std::sort(aMicroseconds.begin(), aMicroseconds.end());
  std::printf("%s: median %.1f us, 99 in 100 %.1f us\n",
              aName,
              aMicroseconds[aMicroseconds.size() / 2],
              aMicroseconds[aMicroseconds.size() * 99 / 100]);
}

template<typename decision>
void
Measure(const char* aName, decision aDecide)
{
  std::vector<double> times;
  times.reserve(kDecisions);
  for (int i = 0; i < kDecisions; ++i) {
    const auto begin = std::chrono::steady_clock::now();
    aDecide(i);
    times.push_back(
      std::chrono::duration<double, std::micro>{ std::chrono::steady_clock::now() - begin }
        .count());
  }
  Print(aName, std::move(times));
}

std::vector<backend_server>
Servers(const char* aPrefix, int aCount, bool aEngines)
{
  std::vector<backend_server> servers;
  for (int i = 0; i < aCount; ++i) {
    backend_server server;
    server.mId = aPrefix + std::to_string(i);
    server.mService = "s";
    server.mDataCentre = "dc" + std::to_string(i % 3);
    server.mSlots = aEngines ? 64 : 6;
    if (aEngines) {
      server.mRole = i % 2 == 0 ? engine_role::Prefill : engine_role::Decode;
    }
    servers.push_back(server);
  }
  return servers;
}

} // namespace

} // namespace skylarkwind

int
main()
{
  using namespace skylarkwind;
  const instant now{ std::chrono::seconds{ 100 } };
  backend_load_tracker tracker{ backend_load_tracker_settings{} };
  tracker.SetFleet(1, 350);
  prefix_cache_index prefixes;
  engine_models models{ 50 };
  placement_settings settings;
  settings.mDataCentre = "dc0";
  const placer place{ settings, tracker, prefixes, models };
  forward_route route;
  route.mTargetLatency = std::chrono::milliseconds{ 600 };
  route.mTargetEventGap = std::chrono::milliseconds{ 200 };
  forward_service engines;
  engines.mName = "s";
  engines.mEngine = engine_capacity{};
  engines.mEngine->mSlots = 64;
  engines.mEngine->mLinkMbps = 3'200'000;
  engines.mEngine->mKvBytesPerToken = 327'680;
  forward_service plain;
  plain.mName = "p";
  generation_spec generation;
  generation.mSegments = { { 1, 13'300 }, { 2, 3'720 } };
  generation.mPromptTokens = 17'020;
  const auto measure =
    [&](const char* aName, const std::vector<backend_server>& aServers, bool aGeneration) {
      std::vector<const backend_server*> usable;
      for (const auto& server : aServers) {
        usable.push_back(&server);
        for (int i = 0; i < 4; ++i) {
          if (aGeneration) {
            tracker.Begin(server.mId, 1'000, {}, now);
          } else {
            tracker.BeginPlain(server.mId, {}, std::chrono::milliseconds{ 40 }, now);
          }
        }
      }
      placement_query query;
      query.mRoute = &route;
      query.mService = aGeneration ? &engines : &plain;
      query.mGeneration = aGeneration ? &generation : nullptr;
      query.mServers = usable;
      query.mTimeLeft = std::chrono::seconds{ 8 };
      Measure(aName, [&](int aRun) {
        query.mRandomBits = Hash64(std::to_string(aRun));
        place.Place(query, now + std::chrono::milliseconds{ 20 });
      });
    };
  measure("generation, 600 engines", Servers("e", 600, true), true);
  measure("plain request, 3 servers", Servers("p", 3, false), false);
  measure("plain request, 600 servers", Servers("q", 600, false), false);
  request_cost cost;
  std::vector<std::string> names;
  for (std::uint32_t i = 0; i < kAccounts; ++i) {
    names.push_back("account-" + std::to_string(i));
    cost.OnServed("route", names.back(), std::chrono::milliseconds{ 40 }, now);
  }
  double sum = 0;
  Measure("estimate of a service time, 10,000 accounts", [&](int aRun) {
    sum +=
      cost.ServiceTime("route", names[static_cast<std::size_t>(aRun) * 7 % kAccounts]).MeanMs();
  });
  std::printf(
    "entries of request_cost: at most %zu bytes (checksum %.0f)\n", request_cost::MaxBytes(), sum);
  return 0;
}
