#include "skylarkwind/token_rates.h"

#include <algorithm>

namespace skylarkwind {

void
token_rates::Add(const engine_report& aReport, instant aSampledAt)
{
  if (!mSamples.empty() && aSampledAt <= mSamples.back().mAt) {
    return;
  }
  sample next{ aSampledAt, 0, 0 };
  if (!mSamples.empty()) {
    const bool restarted = aReport.mIncarnation != mIncarnation ||
                           aReport.mPromptTokensTotal < mLastPromptTotal ||
                           aReport.mOutputTokensTotal < mLastOutputTotal;
    const std::uint64_t promptBefore = restarted ? 0 : mLastPromptTotal;
    const std::uint64_t outputBefore = restarted ? 0 : mLastOutputTotal;
    next.mPrompt = mSamples.back().mPrompt + aReport.mPromptTokensTotal - promptBefore;
    next.mOutput = mSamples.back().mOutput + aReport.mOutputTokensTotal - outputBefore;
  }
  mIncarnation = aReport.mIncarnation;
  mLastPromptTotal = aReport.mPromptTokensTotal;
  mLastOutputTotal = aReport.mOutputTokensTotal;
  mSamples.push_back(next);
  // Keeps one sample from before the window, so that the samples always span it.
  while (mSamples.size() > 2 && mSamples[1].mAt <= aSampledAt - mMaxWindow) {
    mSamples.pop_front();
  }
}

token_rate
token_rates::MeanOver(std::chrono::nanoseconds aWindow, instant aNow) const
{
  if (mSamples.size() < 2 || aNow - mSamples.back().mAt > aWindow) {
    return {};
  }
  const sample& last = mSamples.back();
  const auto after = std::upper_bound(
    mSamples.begin(), mSamples.end(), last.mAt - aWindow, [](instant aAt, const sample& aSample) {
      return aAt < aSample.mAt;
    });
  const sample& first = after == mSamples.begin() ? *after : *std::prev(after);
  const double seconds = std::chrono::duration<double>(last.mAt - first.mAt).count();
  if (seconds <= 0) {
    return {};
  }
  return { static_cast<double>(last.mPrompt - first.mPrompt) / seconds,
           static_cast<double>(last.mOutput - first.mOutput) / seconds };
}

} // namespace skylarkwind
