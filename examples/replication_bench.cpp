// Bytes and processor time that one change of the configuration costs a daemon, in simulated fleets
// of 88 and 350 daemons: replication_bench

#include "routes_text.h"
#include "state_codec_p.h"
#include "store_fleet.h"

#include "skylarkwind/log.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

namespace skylarkwind {
namespace {

using std::chrono::seconds;

constexpr const char* kKind = store_fleet::kConfigurationKind;

/// The next version, with this many routes.
std::string
With(routes_text& aRoutes, int aCount)
{
  aRoutes.Add(aCount - static_cast<int>(aRoutes.Count()));
  return aRoutes.Next();
}

double
ProcessorMs()
{
  timespec time{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

void
PrintBytes(const char* aChange, store_fleet& aFleet, const std::string& aText)
{
  std::vector<std::uint64_t> before;
  before.reserve(static_cast<std::size_t>(aFleet.Count()));
  for (int i = 0; i < aFleet.Count(); ++i) {
    before.push_back(aFleet.StateBytes(i, kKind));
  }
  aFleet.Store().Change(kKind, "current", false, aText);
  aFleet.Run(seconds{ 4 });
  std::uint64_t sum = 0;
  std::uint64_t most = 0;
  int behind = 0;
  for (int i = 0; i < aFleet.Count(); ++i) {
    const auto sent = aFleet.StateBytes(i, kKind) - before[static_cast<std::size_t>(i)];
    sum += sent;
    most = std::max(most, sent);
    behind += aFleet.Value(i, kKind, "current") == aText ? 0 : 1;
  }
  std::printf(
    "daemons %d, %s, object %zu B: sent by a daemon %llu B on average, %llu B at most; %d "
    "behind after 4 s\n",
    aFleet.Count(),
    aChange,
    aText.size(),
    static_cast<unsigned long long>(sum / static_cast<unsigned>(aFleet.Count())),
    static_cast<unsigned long long>(most),
    behind);
}

void
MeasureBytes(int aDataCentres, int aEach, int aFast)
{
  store_fleet fleet{ aDataCentres, aEach, 3 };
  for (int i = 0; i < fleet.Count(); ++i) {
    const bool fast = i % aEach < aFast;
    fleet.SetVm(i, fast ? 200 : 10, 0.2, fast ? 500 : 120);
    fleet.Kill(i);
    fleet.Start(i);
  }
  routes_text routes{ 1 };
  fleet.Store().Change(kKind, "current", false, With(routes, 1'448));
  fleet.Run(seconds{ 10 });
  PrintBytes("1,400 routes more", fleet, With(routes, 2'848));
  PrintBytes("one route more", fleet, With(routes, 2'849));
}

void
MeasureProcessor(const char* aChange, const std::string& aBefore, const std::string& aAfter)
{
  constexpr int kRounds = 20;
  const auto before = MakeStateText({ { "current", { "current", 1, aBefore } } }, 1);
  double encoding = 0;
  double decoding = 0;
  std::size_t bytes = 0;
  for (int i = 0; i < kRounds; ++i) {
    auto start = ProcessorMs();
    const auto after = MakeStateText({ { "current", { "current", 2, aAfter } } }, 2);
    const auto state = EncodeState("kind", after, &before);
    encoding += ProcessorMs() - start;
    bytes = state.mBytes.size();
    start = ProcessorMs();
    const auto text = DecodeState(state, before.mText);
    const auto objects = ParseStateText(*text);
    decoding += ProcessorMs() - start;
  }
  std::printf("%s, object %zu B: %zu B, encoding %.1f ms, decoding %.1f ms of a core\n",
              aChange,
              aAfter.size(),
              bytes,
              encoding / kRounds,
              decoding / kRounds);
}

} // namespace
} // namespace skylarkwind

int
main()
{
  using namespace skylarkwind;
  SetLogLevel(log_level::Error);
  routes_text routes{ 1 };
  const auto small = With(routes, 1'448);
  const auto large = With(routes, 2'848);
  const auto larger = With(routes, 2'849);
  MeasureProcessor("1,400 routes more", small, large);
  MeasureProcessor("one route more", large, larger);
  MeasureBytes(4, 22, 2);
  MeasureBytes(4, 22, 0);
  MeasureBytes(10, 35, 2);
  MeasureBytes(10, 35, 0);
  return 0;
}
