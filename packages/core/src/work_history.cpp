#include "skylarkwind/work_history.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// Changes closer than this count as one: reports give their age in milliseconds and the driver's
/// tick is 20 ms.
constexpr std::chrono::milliseconds kMarkDistance{ 20 };
/// Covers 5 s of constant change, more than the lag of a report.
constexpr std::size_t kMostMarks = 256;

} // namespace

void
work_history::Add(double aDelta, instant aNow)
{
  // Sums of fractions can end a little below zero.
  mNow = std::max(0.0, mNow + aDelta);
  if (!mMarks.empty()) {
    auto& newest = mMarks[(mOldest + mMarks.size() - 1) % mMarks.size()];
    if (aNow - newest.mSince < kMarkDistance) {
      newest.mWork = mNow;
      return;
    }
  }
  if (mMarks.size() < kMostMarks) {
    mMarks.push_back({ aNow, mNow });
    return;
  }
  mMarks[mOldest] = { aNow, mNow };
  mOldest = (mOldest + 1) % mMarks.size();
}

double
work_history::At(instant aWhen) const
{
  for (std::size_t back = 1; back <= mMarks.size(); ++back) {
    const auto& candidate = mMarks[(mOldest + mMarks.size() - back) % mMarks.size()];
    if (candidate.mSince <= aWhen) {
      return candidate.mWork;
    }
  }
  // Before the first change nothing was in flight; with a full ring the oldest mark is the best
  // that is known.
  return mMarks.size() < kMostMarks ? 0 : mMarks[mOldest].mWork;
}

} // namespace skylarkwind
