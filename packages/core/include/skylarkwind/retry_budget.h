#pragma once

#include "skylarkwind/clock.h"

#include <chrono>
#include <cstdint>
#include <random>

namespace skylarkwind {

/// Limits retries to a fraction of live traffic, since an outage of a few engines would otherwise
/// multiply the load on the others. Every new request adds `aRatio` of a retry, a retry that makes
/// progress is refunded, and a small minimum refills with time so that a daemon with little traffic
/// can still retry.
class retry_budget
{
public:
  retry_budget(double aRatio, std::uint64_t aRandomSeed);

  /// A new request was sent for the first time.
  void OnRequest();
  /// Takes one retry from the budget; false if none is left.
  bool TryTake(instant aNow);
  /// Refunds a retry that made progress, since the fleet can then take more of them.
  void Refund();
  /// Back-off with full jitter: uniform between 0 and a ceiling that doubles with each failure.
  std::chrono::milliseconds Backoff(std::uint32_t aFailedAttempts);

private:
  void Refill(instant aNow);

  double mRatio;
  double mTokens;
  instant mRefilledAt{};
  std::mt19937_64 mRandom;
};

} // namespace skylarkwind
