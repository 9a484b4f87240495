#include "skylarkwind/load_history.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// Changes less than this apart share one sample: reports give their age in milliseconds, and the
/// driver ticks every 20 ms.
constexpr std::chrono::milliseconds kMinSampleInterval{ 20 };
/// Covers 5 s of continuous change, which is more than the age of a report.
constexpr std::size_t kMaxSamples = 256;

} // namespace

void
load_history::Add(double aDelta, instant aNow)
{
  // Rounding errors can bring the sum slightly below zero.
  mNow = std::max(0.0, mNow + aDelta);
  if (!mSamples.empty()) {
    auto& newest = mSamples[(mOldest + mSamples.size() - 1) % mSamples.size()];
    if (aNow - newest.mSince < kMinSampleInterval) {
      newest.mWork = mNow;
      return;
    }
  }
  if (mSamples.size() < kMaxSamples) {
    mSamples.push_back({ aNow, mNow });
    return;
  }
  mSamples[mOldest] = { aNow, mNow };
  mOldest = (mOldest + 1) % mSamples.size();
}

double
load_history::At(instant aWhen) const
{
  for (std::size_t back = 1; back <= mSamples.size(); ++back) {
    const auto& candidate = mSamples[(mOldest + mSamples.size() - back) % mSamples.size()];
    if (candidate.mSince <= aWhen) {
      return candidate.mWork;
    }
  }
  // Before the first change nothing was in flight. When the ring is full, the oldest sample is the
  // best approximation.
  return mSamples.size() < kMaxSamples ? 0 : mSamples[mOldest].mWork;
}

} // namespace skylarkwind
