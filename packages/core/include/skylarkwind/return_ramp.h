#pragma once

#include "skylarkwind/clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace skylarkwind {

/// Rank of this daemon among the live daemons for one engine; it determines the daemon's share of
/// the engine's limit.
struct ramp_share
{
  std::uint64_t mDaemons = 1; ///< live daemons, at least 1
  std::uint64_t mRank = 0;    ///< number of daemons with a higher rendezvous score for this engine
  bool operator==(const ramp_share&) const = default;
};

/// Converts token counts to work units of one output token. A prompt token counts as 1/16, which is
/// about the ratio of prefill to decode speed.
std::uint64_t WorkUnits(std::uint64_t aPromptTokens, std::uint64_t aOutputTokens);

/// Slow start of an engine that returns to service: a limit on its requests in flight. The limit is
/// for all daemons together; each daemon takes limit / daemons, and the daemons with the highest
/// rendezvous scores take one request each of the remainder. Daemons that agree on the live members
/// therefore never exceed the largest limit that any of them has. Except for the slow steps of an
/// idle engine, the limit grows only with completed work: this daemon's completed requests, or the
/// engine's counters of computed tokens, whose lag can delay a step but cannot bring one forward.
/// Load figures (running requests, queue, KV cache) never raise it.
class return_ramp
{
public:
  static constexpr std::uint64_t kInitialLimit = 2;
  static constexpr std::uint64_t kMaxLimit = 4'096;
  /// Work units that the engine has to complete for each admitted request before the next step.
  /// This is long enough for every stream to have passed prefill and to produce tokens steadily.
  static constexpr std::uint64_t kUnitsPerRequest = 16;
  static constexpr std::chrono::milliseconds kMinStepInterval{ 500 };
  /// Interval of steps while the engine is idle. The limit may grow without completed work then,
  /// because no requests are offered that could flood the engine.
  static constexpr std::chrono::milliseconds kIdleStepInterval{ 5'000 };

  void Restart(std::uint64_t aFleetLimit, instant aNow);

  /// A request of this daemon completed; returns true when the limit was raised.
  bool OnCompleted(const ramp_share& aShare, instant aNow);
  /// Takes the engine's counter of work units; returns true when the limit was raised.
  bool OnWork(std::uint64_t aUnits, instant aSampledAt, instant aNow);
  /// Raises the limit of an idle engine; returns true when it did. `aIsInUse` tells whether this
  /// daemon or, according to the newest report, any other daemon has requests at the engine.
  bool OnTick(bool aIsInUse, instant aNow);
  /// Halves the limit.
  void OnFailed(instant aNow);
  /// Restarts the current step: discards the work counted for it.
  void ResetWindow(instant aNow);

  /// Limit for all daemons together.
  std::uint64_t FleetLimit() const { return mLimit; }
  /// This daemon's part of the limit.
  std::uint64_t Share(const ramp_share& aShare) const;
  std::uint64_t Completed() const { return mCompleted; }

private:
  void Step(instant aNow);

  std::uint64_t mLimit = kInitialLimit;
  std::uint64_t mCompleted = 0; ///< this daemon's requests completed since the last step
  std::optional<std::uint64_t> mWorkBaseline; ///< first sample taken after the last step
  instant mSteppedAt;
  instant mIdleSince;
};

} // namespace skylarkwind
