#pragma once

#include "skylarkwind/clock.h"

#include <chrono>
#include <cstdint>
#include <random>

namespace skylarkwind {

/// Retries as a fraction of live traffic: every new request adds `ratio` of a retry, a retry that
/// makes progress gives itself back, and a small floor refills with time so that a quiet daemon can
/// still retry. Without it, an outage of a few
/// engines would multiply the load on the others.
class retry_budget
{
public:
  retry_budget(double aRatio, std::uint64_t aRandomSeed);

  /// A new request was sent for the first time.
  void OnRequest();
  /// Takes one retry from the budget; false when there is none left.
  bool TryTake(instant aNow);
  /// A retry made progress: the fleet can take more of them.
  void Return();
  /// Full jitter: evenly between zero and a ceiling that doubles with each attempt.
  std::chrono::milliseconds Backoff(std::uint32_t aFailedAttempts);

private:
  void Refill(instant aNow);

  double mRatio;
  double mTokens;
  instant mRefilledAt{};
  std::mt19937_64 mRandom;
};

} // namespace skylarkwind
