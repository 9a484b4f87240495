#include "fault_plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace skylarkwind::soak {

namespace {

constexpr std::array<std::string_view, kFaultKinds> kNames{ "kill daemon",
                                                            "stop daemon",
                                                            "pause daemon",
                                                            "hang up daemon",
                                                            "kill server",
                                                            "pause server",
                                                            "server answers wrongly",
                                                            "disturb server",
                                                            "drain server",
                                                            "disturb store",
                                                            "store mode",
                                                            "store loses answers",
                                                            "store drops history",
                                                            "configure" };
constexpr std::array<std::string_view, 7> kServerModes{ "shed",     "mute",  "cut", "unsigned",
                                                        "other_id", "error", "torn" };
constexpr std::array<std::string_view, 7> kRelayFaults{ "delay",       "cut",          "reset",
                                                        "silence_all", "silence_open", "silence_up",
                                                        "silence_down" };
constexpr std::array<std::string_view, 2> kStoreModes{ "silent", "busy" };
constexpr std::int64_t kShortestMs = 100;
constexpr std::int64_t kLongestMs = 2'500;
/// Part of the disturbances that hit the target of the one before, soon after it.
constexpr double kSeries = 0.3;
constexpr std::int64_t kSeriesGapMs = 300;

/// Kinds that use the same means on a target; a second one would end the first, or its control call
/// would find no process that answers.
int
MeansOf(fault_kind aKind)
{
  switch (aKind) {
    case fault_kind::KillDaemon:
    case fault_kind::StopDaemon:
    case fault_kind::PauseDaemon:
    case fault_kind::HangUpDaemon:
      return 0;
    case fault_kind::KillServer:
    case fault_kind::PauseServer:
    case fault_kind::MisbehaveServer:
      return 1;
    default:
      return 2 + static_cast<int>(aKind);
  }
}

bool
OnDaemon(fault_kind aKind)
{
  return MeansOf(aKind) == 0 || aKind == fault_kind::DisturbStore;
}

bool
OnServer(fault_kind aKind)
{
  return MeansOf(aKind) == 1 || aKind == fault_kind::DisturbServer ||
         aKind == fault_kind::DrainServer;
}

template<std::size_t count>
std::string
Pick(const std::array<std::string_view, count>& aNames, std::mt19937_64& aRandom)
{
  return std::string{ aNames[std::uniform_int_distribution<std::size_t>{ 0, count - 1 }(aRandom)] };
}

std::string
VariantOf(fault_kind aKind, std::mt19937_64& aRandom)
{
  switch (aKind) {
    case fault_kind::MisbehaveServer:
      return Pick(kServerModes, aRandom);
    case fault_kind::DisturbServer:
    case fault_kind::DisturbStore:
      return Pick(kRelayFaults, aRandom);
    case fault_kind::StoreMode:
      return Pick(kStoreModes, aRandom);
    default:
      return {};
  }
}

/// Writes of the operator need a store that answers.
bool
UsesStore(fault_kind aKind)
{
  return aKind == fault_kind::StoreMode || aKind == fault_kind::StoreLosesAnswers ||
         aKind == fault_kind::Configure || aKind == fault_kind::DrainServer;
}

bool
Collides(const fault& aLeft, const fault& aRight)
{
  const bool same =
    MeansOf(aLeft.mKind) == MeansOf(aRight.mKind) && aLeft.mTarget == aRight.mTarget;
  return (same || (UsesStore(aLeft.mKind) && UsesStore(aRight.mKind))) &&
         aLeft.mFromMs <= aRight.mToMs && aRight.mFromMs <= aLeft.mToMs;
}

} // namespace

std::string_view
FaultName(fault_kind aKind)
{
  return kNames[static_cast<std::size_t>(aKind)];
}

std::vector<fault>
MakePlan(std::uint64_t aSeed, const plan_shape& aShape)
{
  std::mt19937_64 random{ aSeed };
  const auto number = [&random](std::int64_t aLeast, std::int64_t aMost) {
    return std::uniform_int_distribution<std::int64_t>{ aLeast, aMost }(random);
  };
  const auto count =
    static_cast<int>(static_cast<double>(aShape.mLengthMs) / 1'000 * aShape.mPerSecond);
  std::vector<fault> plan;
  for (int i = 0; i < count; ++i) {
    fault next;
    next.mKind = static_cast<fault_kind>(number(0, kFaultKinds - 1));
    if (OnDaemon(next.mKind)) {
      next.mTarget = static_cast<int>(number(0, aShape.mDaemons - 1));
    } else if (OnServer(next.mKind)) {
      next.mTarget = static_cast<int>(number(0, aShape.mServers - 1));
    }
    next.mVariant = VariantOf(next.mKind, random);
    next.mFromMs = number(0, aShape.mLengthMs);
    if (!plan.empty() && std::bernoulli_distribution{ kSeries }(random)) {
      next.mFromMs = plan.back().mToMs + number(1, kSeriesGapMs);
      if (OnDaemon(next.mKind) == OnDaemon(plan.back().mKind) &&
          OnServer(next.mKind) == OnServer(plan.back().mKind)) {
        next.mTarget = plan.back().mTarget;
      }
    }
    next.mToMs = next.mFromMs + number(kShortestMs, kLongestMs);
    const bool collides = std::any_of(
      plan.begin(), plan.end(), [&next](const fault& aOther) { return Collides(next, aOther); });
    if (!collides && next.mToMs <= aShape.mLengthMs) {
      plan.push_back(std::move(next));
    }
  }
  std::sort(plan.begin(), plan.end(), [](const fault& aLeft, const fault& aRight) {
    return aLeft.mFromMs < aRight.mFromMs;
  });
  return plan;
}

} // namespace skylarkwind::soak
