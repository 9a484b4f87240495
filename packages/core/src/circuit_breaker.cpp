#include "skylarkwind/circuit_breaker.h"

#include <cmath>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;
using seconds_f = std::chrono::duration<double>;

/// Outcomes lose half of their weight in this time.
constexpr seconds_f kHalfLife{ 0.6 };
/// The circuit opens when the decayed count of refusals and losses reaches this minimum and this
/// fraction of their sum with the answers. Failures are not counted: they include silent streams,
/// and a server that has crashed leaves those beside the connections that fail.
constexpr double kMinRefusedOrLostToOpen = 1.5;
constexpr double kOpenFraction = 0.75;
/// An open circuit closes when nobody has probed the server for this long.
constexpr milliseconds kCloseAfter{ 5'000 };
/// Assumed successes that are added to the recorded outcomes, so that a single failure has little
/// effect on the failure ratio.
constexpr double kPriorSuccesses = 2;
/// A smaller decayed count of responses says nothing about the current state of a server.
constexpr double kMinResponseWeight = 0.5;
/// Outcomes count as recent for this long.
constexpr milliseconds kRecentFor{ 2'000 };

} // namespace

circuit_breaker::weights
circuit_breaker::Decayed(instant aNow) const
{
  const double kept = std::exp2(-(seconds_f{ aNow - mAt } / kHalfLife));
  return {
    mRecent.mAnswered * kept, mRecent.mRefused * kept, mRecent.mFailed * kept, mRecent.mLost * kept
  };
}

void
circuit_breaker::OnOutcomes(const server_outcomes& aNew, std::uint64_t aReporter, instant aNow)
{
  mRecent = Decayed(aNow);
  mAt = aNow;
  mRecent.mAnswered += aNew.mAnswered;
  mRecent.mRefused += aNew.mRefused;
  mRecent.mFailed += aNew.mFailed;
  mRecent.mLost += aNew.mLost;
  if (aNew.mAnswered > 0) {
    mFirstReporter = 0;
    mTwoReporters = false;
    mOpenedAt.reset();
    return;
  }
  if (aNew.mRefused + aNew.mLost == 0) {
    return;
  }
  mTwoReporters = mTwoReporters || (mFirstReporter != 0 && mFirstReporter != aReporter);
  mFirstReporter = mFirstReporter == 0 ? aReporter : mFirstReporter;
  const double refusedOrLost = mRecent.mRefused + mRecent.mLost;
  const bool open = refusedOrLost >= kMinRefusedOrLostToOpen &&
                    refusedOrLost >= kOpenFraction * (refusedOrLost + mRecent.mAnswered) &&
                    mTwoReporters;
  if (open || IsOpen(aNow)) {
    mOpenedAt = aNow;
  }
}

bool
circuit_breaker::IsOpen(instant aNow) const
{
  return mOpenedAt && aNow - *mOpenedAt < kCloseAfter;
}

bool
circuit_breaker::MostlyAnswers(instant aNow) const
{
  const auto recent = Decayed(aNow);
  return recent.mAnswered > kMinResponseWeight && recent.mAnswered > recent.Sum() / 2;
}

double
circuit_breaker::FailureRatio(instant aNow) const
{
  const auto recent = Decayed(aNow);
  return (recent.mFailed + recent.mLost) / (recent.Sum() + kPriorSuccesses);
}

bool
circuit_breaker::HasRecentOutcomes(instant aNow) const
{
  return mAt != instant{} && aNow - mAt < kRecentFor;
}

} // namespace skylarkwind
