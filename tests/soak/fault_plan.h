#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind::soak {

/// What the soak does to the system from outside its processes.
enum class fault_kind
{
  KillDaemon,      ///< SIGKILL, then a new start
  StopDaemon,      ///< SIGTERM, then a new start once it has ended
  PauseDaemon,     ///< SIGSTOP, then SIGCONT
  HangUpDaemon,    ///< SIGHUP
  KillServer,      ///< a backend server: SIGKILL, then a new start
  PauseServer,     ///< SIGSTOP, then SIGCONT
  MisbehaveServer, ///< the backend server answers wrongly; the variant says how
  DisturbServer,   ///< the relay before a backend server
  DrainServer,     ///< its entry says draining, goes, and comes back
  DisturbStore,    ///< the relay between one daemon and the store
  StoreMode,       ///< the store itself: silent or busy
  StoreLosesAnswers,
  StoreDropsHistory,
  Configure ///< a new version of the configuration
};
inline constexpr int kFaultKinds = 14;

std::string_view FaultName(fault_kind aKind);

/// One disturbance; times in ms from the start of the run.
struct fault
{
  fault_kind mKind = fault_kind::Configure;
  int mTarget = 0; ///< index of the daemon or backend server
  std::string mVariant;
  std::int64_t mFromMs = 0;
  std::int64_t mToMs = 0;
};

struct plan_shape
{
  int mDaemons = 3;
  int mServers = 6;
  std::int64_t mLengthMs = 10'000;
  double mPerSecond = 2.5; ///< disturbances that begin in a second
};

/// Disturbances of one seed, ordered by their begin. They come in series and overlap; two that use
/// the same means on the same target do not.
std::vector<fault> MakePlan(std::uint64_t aSeed, const plan_shape& aShape);

} // namespace skylarkwind::soak
