#include "skylarkwind/server_evidence.h"

#include <cmath>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;
using seconds_f = std::chrono::duration<double>;

/// Outcomes lose half of their weight in this time.
constexpr seconds_f kHalfLife{ 0.6 };
/// A server is ejected when the decayed count of refusals and losses reaches this minimum and this
/// fraction of all its outcomes.
constexpr double kMinToEject = 1.5;
constexpr double kEjectFraction = 0.75;
/// An ejected server that nobody has probed for this long is readmitted.
constexpr milliseconds kReadmitAfter{ 5'000 };
/// Assumed successes that are added to the recorded outcomes, so that a single failure has little
/// effect on the failure rate.
constexpr double kPriorSuccesses = 2;
/// A smaller decayed count of answers says nothing about the current state of a server.
constexpr double kMinAnswerWeight = 0.5;
/// Outcomes count as recent for this long.
constexpr milliseconds kRecentFor{ 2'000 };

} // namespace

server_evidence::weights
server_evidence::Decayed(instant aNow) const
{
  const double kept = std::exp2(-(seconds_f{ aNow - mAt } / kHalfLife));
  return {
    mRecent.mAnswered * kept, mRecent.mRefused * kept, mRecent.mFailed * kept, mRecent.mLost * kept
  };
}

void
server_evidence::OnOutcomes(const server_outcomes& aNew, std::uint64_t aReporter, instant aNow)
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
    mEjectedAt.reset();
    return;
  }
  if (aNew.mRefused + aNew.mLost == 0) {
    return;
  }
  mTwoReporters = mTwoReporters || (mFirstReporter != 0 && mFirstReporter != aReporter);
  mFirstReporter = mFirstReporter == 0 ? aReporter : mFirstReporter;
  const double failures = mRecent.mRefused + mRecent.mLost;
  const bool enough =
    failures >= kMinToEject && failures >= kEjectFraction * mRecent.Sum() && mTwoReporters;
  if (enough || Closed(aNow)) {
    mEjectedAt = aNow;
  }
}

bool
server_evidence::Closed(instant aNow) const
{
  return mEjectedAt && aNow - *mEjectedAt < kReadmitAfter;
}

bool
server_evidence::Answers(instant aNow) const
{
  const auto recent = Decayed(aNow);
  return recent.mAnswered > kMinAnswerWeight && recent.mAnswered > recent.Sum() / 2;
}

double
server_evidence::FailedPart(instant aNow) const
{
  const auto recent = Decayed(aNow);
  return (recent.mFailed + recent.mLost) / (recent.Sum() + kPriorSuccesses);
}

bool
server_evidence::Fresh(instant aNow) const
{
  return mAt != instant{} && aNow - mAt < kRecentFor;
}

} // namespace skylarkwind
