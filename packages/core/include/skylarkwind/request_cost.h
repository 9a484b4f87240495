#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/forward_types.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace skylarkwind {

/// Distribution of the time that a server works on a plain request: log-normal, with a small share
/// of requests that take several times as long.
struct service_time
{
  double mLogMedian = 3.689; ///< natural logarithm of the median in ms; without knowledge 40 ms
  double mLogSpread = 0.5;   ///< standard deviation of the logarithm

  double MedianMs() const;
  double MeanMs() const;
  /// Expected remaining time of a request that has run for `aElapsedMs`. It doesn't reach zero: a
  /// request that has run for longer than most is probably one of the long ones.
  double RemainingMs(double aElapsedMs) const;
};

/// Expected number of output tokens of a generation.
struct output_estimate
{
  double mTokens = 0;    ///< expected
  double mLogSpread = 0; ///< standard deviation of the logarithm of actual / expected
};

/// Learns what requests cost, for each route and account: the service time of plain requests and
/// the output tokens of generations. An account without observations is taken to be like its route,
/// a route without any to be like a fixed prior. Keeps a bounded number of entries; the ones that
/// have not been used for the longest time are replaced.
class request_cost
{
public:
  request_cost();

  /// A server worked on a plain request for this long, without queueing.
  void OnServed(std::string_view aRoute,
                std::string_view aAccount,
                std::chrono::duration<double, std::milli> aTime,
                instant aNow);
  service_time ServiceTime(std::string_view aRoute, std::string_view aAccount) const;

  /// A generation ended by itself after `aTokens` output tokens.
  void OnGenerated(std::string_view aRoute,
                   std::string_view aAccount,
                   const generation_spec& aGeneration,
                   double aTokens,
                   instant aNow);
  output_estimate OutputTokens(std::string_view aRoute,
                               std::string_view aAccount,
                               const generation_spec& aGeneration) const;

  /// Upper bound of the memory of all entries.
  static constexpr std::size_t MaxBytes() { return sizeof(entry_set) * kSets + kRouteBytes; }

private:
  /// Exponentially weighted mean and variance of a logarithm, robust to single far values.
  struct log_estimate
  {
    float mMean = 0;
    float mVariance = 0;
    float mCount = 0; ///< values seen, up to a maximum

    void Add(double aValue, double aPrior, double aPriorVariance);
  };
  struct entry
  {
    std::uint64_t mKey = 0; ///< 0: unused
    std::int64_t mUsedAtMs = 0;
    log_estimate mServiceMs;
    log_estimate mTokens;     ///< output tokens
    log_estimate mHintRatio;  ///< output tokens / the caller's estimate
    log_estimate mLimitRatio; ///< output tokens / the caller's limit
  };
  static constexpr std::size_t kWays = 4;
  using entry_set = std::array<entry, kWays>;
  static constexpr std::size_t kSets = 8'192;
  static constexpr std::size_t kMaxRoutes = 1'024;
  static constexpr std::size_t kRouteBytes = kMaxRoutes * (sizeof(entry) + 32);

  static std::uint64_t Key(std::string_view aRoute, std::string_view aAccount);
  const entry* Find(std::uint64_t aKey) const;
  entry& At(std::uint64_t aKey, instant aNow);
  entry* Route(std::string_view aRoute);
  const entry* Route(std::string_view aRoute) const;
  /// Estimate of the account, drawn towards that of the route and of the prior while it has few
  /// values.
  static log_estimate Combine(const log_estimate* aAccount,
                              const log_estimate* aRoute,
                              double aPrior,
                              double aPriorVariance);
  struct combined_tokens
  {
    log_estimate mTokens, mHintRatio, mLimitRatio;
  };
  combined_tokens Tokens(std::string_view aRoute, std::string_view aAccount) const;

  std::vector<entry_set> mAccounts; ///< empty until the first observation of an account
  std::unordered_map<std::uint64_t, entry> mRoutes;
};

} // namespace skylarkwind
