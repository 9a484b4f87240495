#pragma once

#include "skylarkwind/clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace skylarkwind {

/// How requests ended at one backend server, as counts.
struct server_outcomes
{
  std::uint32_t mAnswered = 0;
  std::uint32_t mRefused = 0; ///< it said that it did not run the request
  std::uint32_t mFailed = 0;  ///< it failed the request, or broke it off
  std::uint32_t mLost = 0;    ///< no connection, or no sign of life
  bool operator==(const server_outcomes&) const = default;

  std::uint32_t Sum() const { return mAnswered + mRefused + mFailed + mLost; }
};

/// What the outcomes that many daemons saw say of one server. A server at which nearly all requests
/// are refused or lost is closed until it answers one of the few daemons that try it, or nobody has
/// tried it for a time. A daemon that reaches no server itself closes none: it takes two of them,
/// and answers that others get at the same time count against it.
class server_evidence
{
public:
  /// New outcomes; `aTeller` names the daemon that saw them.
  void OnOutcomes(const server_outcomes& aNew, std::uint64_t aTeller, instant aNow);
  /// Part of the recent requests that failed or were lost, 0 to 1.
  double FailedPart(instant aNow) const;
  bool Closed(instant aNow) const;
  /// Whether most of the recent requests were answered.
  bool Answers(instant aNow) const;
  /// Whether there were outcomes lately.
  bool Fresh(instant aNow) const;

private:
  struct weights
  {
    double mAnswered = 0;
    double mRefused = 0;
    double mFailed = 0;
    double mLost = 0;
    double Sum() const { return mAnswered + mRefused + mFailed + mLost; }
  };
  weights Decayed(instant aNow) const;

  weights mRecent; ///< at mAt; they fade
  instant mAt{};
  std::uint64_t mFirstTeller = 0; ///< of refusals and losses since the last answer
  bool mTwoTellers = false;
  std::optional<instant> mClosedAt; ///< or the last refusal or loss since then
};

} // namespace skylarkwind
