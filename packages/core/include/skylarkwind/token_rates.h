#pragma once

#include "skylarkwind/backend_calls.h"
#include "skylarkwind/clock.h"

#include <chrono>
#include <cstdint>
#include <deque>

namespace skylarkwind {

/// Throughput in tokens per second.
struct token_rate
{
  double mPrompt = 0;
  double mOutput = 0;
};

/// Throughput of one engine, from the token counters in its successive reports.
class token_rates
{
public:
  /// `aMaxWindow` is the longest window that MeanOver() is called with; older samples are dropped.
  explicit token_rates(std::chrono::nanoseconds aMaxWindow)
    : mMaxWindow(aMaxWindow)
  {
  }

  /// Adds a report unless it is no newer than the newest one. A new incarnation of the engine
  /// starts its counters at 0; the tokens counted before it stay in the sum.
  void Add(const engine_report& aReport, instant aSampledAt);

  /// Mean over the window that ends with the newest sample; 0 with fewer than two samples. An
  /// engine that has not reported for a whole window counts as idle.
  token_rate MeanOver(std::chrono::nanoseconds aWindow, instant aNow) const;

private:
  struct sample
  {
    instant mAt;
    std::uint64_t mPrompt = 0; ///< summed over incarnations
    std::uint64_t mOutput = 0; ///< summed over incarnations
  };
  std::chrono::nanoseconds mMaxWindow;
  std::deque<sample> mSamples;
  std::uint64_t mIncarnation = 0;
  std::uint64_t mLastPromptTotal = 0; ///< counters of the newest report
  std::uint64_t mLastOutputTotal = 0;
};

} // namespace skylarkwind
