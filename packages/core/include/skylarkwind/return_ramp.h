#pragma once

#include "skylarkwind/clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace skylarkwind {

/// Place of this daemon among the live daemons, for one engine.
struct ramp_share
{
  std::uint64_t mDaemons = 1; ///< live daemons, at least 1
  std::uint64_t mRank = 0;    ///< daemons with a higher rendezvous score for this engine
  bool operator==(const ramp_share&) const = default;
};

/// Work that an engine has completed since it started, in units of one output token. A prompt
/// token counts for a sixteenth, about the ratio of prefill to decode speed.
std::uint64_t WorkUnits(std::uint64_t aPromptTokens, std::uint64_t aOutputTokens);

/// Limit on the requests in flight at a returning engine. The limit is for all daemons together;
/// each takes limit / daemons, and the daemons with the highest rendezvous scores take the
/// remainder. Daemons that agree on the live members therefore never exceed the largest limit
/// that any of them has. The limit grows only with completed work: this daemon's completed
/// requests, or the engine's counters of computed tokens, whose lag can delay a step but cannot
/// bring one forward. Load figures (running, queue, KV cache) never raise it.
class return_ramp
{
public:
  static constexpr std::uint64_t kFirstLimit = 2;
  static constexpr std::uint64_t kHighestLimit = 4'096;
  /// Work that the engine has to complete for each admitted request before the next step: long
  /// enough that every stream has passed its prefill and produces tokens steadily.
  static constexpr std::uint64_t kUnitsPerRequest = 16;
  static constexpr std::chrono::milliseconds kShortestStep{ 500 };
  /// Without any use, the limit still grows this slowly; nothing is offered that could rush.
  static constexpr std::chrono::milliseconds kQuietStep{ 5'000 };

  void Restart(std::uint64_t aFleetLimit, instant aNow);

  /// Each returns true when the limit took a step.
  bool OnCompleted(const ramp_share& aShare, instant aNow);
  bool OnWork(std::uint64_t aUnits, instant aSampledAt, instant aNow);
  /// `aInUse` says that this daemon or, by the newest report, any other has work there.
  bool OnTick(bool aInUse, instant aNow);
  /// Halves the limit.
  void OnFailed(instant aNow);
  /// Discards work that was counted for the current window.
  void ResetWindow(instant aNow);

  std::uint64_t FleetLimit() const { return mLimit; }
  std::uint64_t Share(const ramp_share& aShare) const;
  std::uint64_t Completed() const { return mCompleted; }

private:
  void Step(instant aNow);

  std::uint64_t mLimit = kFirstLimit;
  std::uint64_t mCompleted = 0;           ///< own requests since the last step
  std::optional<std::uint64_t> mWorkBase; ///< first sample taken after the last step
  instant mSteppedAt;
  instant mQuietSince;
};

} // namespace skylarkwind
