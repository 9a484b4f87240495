#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace skylarkwind::flow {

/// Rates of one engine and the engine time of a mean request. They follow the target size of
/// docs/design.md, 1.4: 600 engines, 3,300 requests/s and 1.7 million output tokens/s, of which
/// each engine has 5.5 requests/s and, if 76 % of the engines decode, 3,700 output tokens/s.
inline constexpr double kPrefillRate = 20'000; ///< prompt tokens per second
inline constexpr double kDecodeRate = 4'000;   ///< output tokens per second
inline constexpr double kStreamRate = 40;      ///< output tokens per second of one stream, at most
inline constexpr double kRequestSeconds = 0.125;
inline constexpr double kFirstTokenLimit = 0.62;
inline constexpr double kTokenLimit = 0.077;
inline constexpr double kTick = 0.05;
inline constexpr int kDaemons = 8;
inline constexpr int kDataCentres = 3;

struct service_shape
{
  std::string mName;
  int mEngines = 0;
  bool mMixed = false; ///< all engines have role both
  double mUse = 0;     ///< share of the engines' time that the work takes
};

struct deployment
{
  std::string mName;
  std::vector<service_shape> mServices;
  double mRoleChangePrice = 1;
  double mOneWay = 0; ///< seconds between a caller and a daemon
};

/// How the work of the first service varies with time.
struct scenario
{
  std::string mName;
  double mSeconds = 0;
  std::function<double(double)> mPromptShare; ///< of the work, in engine seconds
  std::function<double(double)> mRateFactor;  ///< of the usual rate of arrivals
  double mCrashAt = -1;                       ///< of the first engine
  double mBackAt = -1;
};

struct arrival
{
  double mAt = 0;
  int mService = 0;
  int mDaemon = 0;
  double mPrompt = 0;
  double mOutput = 0;
};

/// Poisson arrivals; the same list is given to all variants.
inline std::vector<arrival>
Arrivals(const deployment& aDeployment, const scenario& aScenario, std::uint64_t aSeed)
{
  std::vector<arrival> all;
  for (std::size_t service = 0; service < aDeployment.mServices.size(); ++service) {
    std::mt19937_64 random(aSeed * 1'000 + service);
    std::uniform_real_distribution<double> spread(0.5, 1.5);
    std::uniform_int_distribution<int> daemon(0, kDaemons - 1);
    const service_shape& shape = aDeployment.mServices[service];
    const double usual = shape.mUse * shape.mEngines / kRequestSeconds;
    double at = 0;
    while (at < aScenario.mSeconds) {
      const double rate = usual * (service == 0 ? aScenario.mRateFactor(at) : 1);
      at += std::exponential_distribution<double>(rate)(random);
      const double share = service == 0 ? aScenario.mPromptShare(at) : 0.5;
      all.push_back({ at,
                      static_cast<int>(service),
                      daemon(random),
                      share * kRequestSeconds * kPrefillRate * spread(random),
                      (1 - share) * kRequestSeconds * kDecodeRate * spread(random) });
    }
  }
  std::sort(all.begin(), all.end(), [](const arrival& aLeft, const arrival& aRight) {
    return aLeft.mAt < aRight.mAt;
  });
  return all;
}

} // namespace skylarkwind::flow
