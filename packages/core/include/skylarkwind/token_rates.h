#pragma once

#include "skylarkwind/backend_calls.h"
#include "skylarkwind/clock.h"

#include <chrono>
#include <cstdint>
#include <deque>

namespace skylarkwind {

struct token_rate
{
  double mPrompt = 0; ///< tokens per second
  double mOutput = 0;
};

/// Tokens per second of one engine, from the counters in its successive reports.
class token_rates
{
public:
  /// Samples older than `aLongest` are dropped.
  explicit token_rates(std::chrono::nanoseconds aLongest)
    : mLongest(aLongest)
  {
  }

  /// Ignores reports that are not newer than the newest one. A new incarnation starts its
  /// counters at 0, so what was measured before it is kept as work already done.
  void Add(const engine_report& aReport, instant aSampledAt);

  /// Mean over the window that ends with the newest sample; 0 with fewer than two samples. An
  /// engine that has not reported for a whole window does no work.
  token_rate Over(std::chrono::nanoseconds aWindow, instant aNow) const;

private:
  struct sample
  {
    instant mAt;
    std::uint64_t mPrompt = 0; ///< summed over incarnations
    std::uint64_t mOutput = 0;
  };
  std::chrono::nanoseconds mLongest;
  std::deque<sample> mSamples;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mPromptSeen = 0; ///< counters of the newest report
  std::uint64_t mOutputSeen = 0;
};

} // namespace skylarkwind
