#include "skylarkwind/server_evidence.h"

#include <cmath>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;
using seconds_f = std::chrono::duration<double>;

/// Outcomes lose half of their weight in this time.
constexpr seconds_f kHalfLife{ 0.6 };
/// A server is closed from this many refusals or losses on, when they are this part of its
/// outcomes.
constexpr double kLeastToClose = 1.5;
constexpr double kPartToClose = 0.75;
/// A closed server that nobody tried for this long is open again.
constexpr milliseconds kOpenAgain{ 5'000 };
/// Outcomes that are assumed beside those that were seen, so that a single failure says little.
constexpr double kAssumedGood = 2;
/// Less weight of answers than this says nothing of a server now.
constexpr double kLeastToAnswer = 0.5;
constexpr milliseconds kFreshFor{ 2'000 };

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
server_evidence::OnOutcomes(const server_outcomes& aNew, std::uint64_t aTeller, instant aNow)
{
  mRecent = Decayed(aNow);
  mAt = aNow;
  mRecent.mAnswered += aNew.mAnswered;
  mRecent.mRefused += aNew.mRefused;
  mRecent.mFailed += aNew.mFailed;
  mRecent.mLost += aNew.mLost;
  if (aNew.mAnswered > 0) {
    mFirstTeller = 0;
    mTwoTellers = false;
    mClosedAt.reset();
    return;
  }
  if (aNew.mRefused + aNew.mLost == 0) {
    return;
  }
  mTwoTellers = mTwoTellers || (mFirstTeller != 0 && mFirstTeller != aTeller);
  mFirstTeller = mFirstTeller == 0 ? aTeller : mFirstTeller;
  const double bad = mRecent.mRefused + mRecent.mLost;
  const bool enough = bad >= kLeastToClose && bad >= kPartToClose * mRecent.Sum() && mTwoTellers;
  if (enough || Closed(aNow)) {
    mClosedAt = aNow;
  }
}

bool
server_evidence::Closed(instant aNow) const
{
  return mClosedAt && aNow - *mClosedAt < kOpenAgain;
}

bool
server_evidence::Answers(instant aNow) const
{
  const auto recent = Decayed(aNow);
  return recent.mAnswered > kLeastToAnswer && recent.mAnswered > recent.Sum() / 2;
}

double
server_evidence::FailedPart(instant aNow) const
{
  const auto recent = Decayed(aNow);
  return (recent.mFailed + recent.mLost) / (recent.Sum() + kAssumedGood);
}

bool
server_evidence::Fresh(instant aNow) const
{
  return mAt != instant{} && aNow - mAt < kFreshFor;
}

} // namespace skylarkwind
