#pragma once

#include "gateway_system.h"
#include "soak_checks.h"
#include "stop_plan.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

namespace skylarkwind::soak {

inline constexpr std::int64_t kStopDeadlineMs = 8'000;

/// The load balancer and the callers behind it. Callers keep connections open, also to daemons that
/// stop, and use them until they end; new connections go to the daemons that the balancer uses.
/// `aMayIdleMs` tells how long a connection may be idle before it is used again; with it, callers
/// pause between requests, and look whether a connection has ended before they use it.
class stop_callers
{
public:
  stop_callers(const sessions::gateway_system& aSystem,
               std::uint64_t aSeed,
               const stop_shape& aShape,
               std::vector<std::int64_t> aRelayMs,
               std::function<std::int64_t()> aMayIdleMs = {});

  /// Ends after the open requests, and returns all.
  std::vector<request_record> Stop();

private:
  void RunBalancer();
  void RunCaller(int aNumber);
  /// A daemon that the balancer uses; any when it uses none.
  int PickDaemon(std::mt19937_64& aRandom) const;

  const sessions::gateway_system& mSystem;
  std::uint64_t mSeed;
  stop_shape mShape;
  std::vector<std::int64_t> mRelayMs; ///< by daemon: delay of its relay for callers
  std::function<std::int64_t()> mMayIdleMs;
  std::vector<std::atomic<bool>> mUsed; ///< by daemon: the balancer sends it new connections
  std::atomic<bool> mStopping{ false };
  std::mutex mMutex;
  std::vector<request_record> mRecords; ///< guarded by mMutex
  std::vector<std::thread> mThreads;
};

} // namespace skylarkwind::soak
