#pragma once

#include "skylarkwind/clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace skylarkwind {

/// Counts of how requests ended at one backend server.
struct server_outcomes
{
  std::uint32_t mAnswered = 0;
  std::uint32_t mRefused = 0; ///< the server said that it did not run the request
  std::uint32_t mFailed = 0;  ///< the server failed the request, broke it off or fell silent
  std::uint32_t mLost = 0;    ///< no connection
  bool operator==(const server_outcomes&) const = default;

  std::uint32_t Sum() const { return mAnswered + mRefused + mFailed + mLost; }
};

/// Circuit breaker for one server, fed with the outcomes that many daemons report. For a server
/// that refuses or loses nearly all requests the circuit is open: only a few daemons send it probe
/// requests, until it answers one of them or nobody has probed it for a while.
///
/// A daemon that has lost its own connectivity cannot open the circuit: that takes refusals
/// or losses reported by two daemons, and responses that others receive at the same time count
/// against it.
class circuit_breaker
{
public:
  /// Adds new outcomes; `aReporter` identifies the daemon that saw them.
  void OnOutcomes(const server_outcomes& aNew, std::uint64_t aReporter, instant aNow);
  /// Fraction of recent requests that failed or were lost, 0 to 1.
  double FailureRatio(instant aNow) const;
  /// Whether the circuit is open, so that the server receives probes only.
  bool IsOpen(instant aNow) const;
  /// Whether most of the recent requests were answered.
  bool MostlyAnswers(instant aNow) const;
  /// Whether outcomes were reported recently.
  bool HasRecentOutcomes(instant aNow) const;

private:
  struct weights
  {
    double mAnswered = 0;
    double mRefused = 0;
    double mFailed = 0;
    double mLost = 0;
    double Sum() const { return mAnswered + mRefused + mFailed + mLost; }
  };
  weights Decayed(instant aNow) const;

  weights mRecent; ///< value at mAt, decays exponentially
  instant mAt{};
  std::uint64_t mFirstReporter = 0; ///< of refusals and losses since the last response; 0 for none
  bool mTwoReporters = false;
  /// Time when the circuit opened, or of the last refusal or loss since then.
  std::optional<instant> mOpenedAt;
};

} // namespace skylarkwind
