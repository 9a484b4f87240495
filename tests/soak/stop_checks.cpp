#include "stop_checks.h"

#include <sys/wait.h>

#include <algorithm>
#include <map>

namespace skylarkwind::soak {

namespace {

/// A request that ends so soon may never have been read whole.
constexpr std::int64_t kUnreadMs = 200;
/// Requests that are sent later must be answered or refused in any case.
constexpr std::int64_t kLastExcusedSendMs = 3'000;
constexpr std::int64_t kExcusedPartOfGrace = 6;

/// What the backend servers recorded of a request.
struct engine_work
{
  std::int64_t mBeganMs = -1; ///< the last run
  std::int64_t mCutMs = -1;   ///< the daemon closed the connection before the last event
};

std::map<std::string, engine_work>
WorkOf(const std::vector<nlohmann::json>& aRecords)
{
  std::map<std::string, engine_work> work;
  for (const auto& record : aRecords) {
    const auto at = record["at_ms"].get<std::int64_t>();
    auto& entry = work[record["id"].get<std::string>()];
    if (record["outcome"] == "ran") {
      entry.mBeganMs = std::max(entry.mBeganMs, at);
    } else if (record["outcome"] == "cancelled") {
      entry.mCutMs = std::max(entry.mCutMs, at);
    }
  }
  return work;
}

class stop_checker
{
public:
  explicit stop_checker(const stop_evidence& aEvidence)
    : mEvidence(aEvidence)
    , mWork(WorkOf(aEvidence.mRecords))
  {
  }

  std::vector<broken_stop> Check()
  {
    for (const auto& request : mEvidence.mRequests) {
      CheckRequest(request);
    }
    for (const auto& stop : mEvidence.mStops) {
      CheckProcess(stop);
    }
    return std::move(mBroken);
  }

private:
  void CheckRequest(const request_record& aRequest)
  {
    if (aRequest.mWhole || aRequest.mLeft ||
        aRequest.mEndedMs - aRequest.mSentMs >= mEvidence.mDeadlineMs) {
      return;
    }
    const auto found = mWork.find(aRequest.mId);
    const auto work = found == mWork.end() ? engine_work{} : found->second;
    const bool passedOn = work.mBeganMs >= 0;
    const auto waited = aRequest.mClosedMs - aRequest.mLastByteMs;
    const bool read = aRequest.mSentWhole && waited > kUnreadMs + 2 * aRequest.mLinkMs;
    if ((!passedOn && !read) || Excused(aRequest, work)) {
      return;
    }
    std::string what = passedOn ? "passed on" : "read, not passed on";
    what += "; ended without a whole answer after " +
            std::to_string(aRequest.mEndedMs - aRequest.mSentMs) + " ms, status " +
            std::to_string(aRequest.mStatus) + ", " + std::to_string(aRequest.mBody.size()) +
            " bytes of the body";
    for (const auto& stop : mEvidence.mStops) {
      if (Overlaps(aRequest, stop)) {
        what += "; sent " + std::to_string(aRequest.mSentMs - stop.mTermMs) + " ms and ended " +
                std::to_string(aRequest.mEndedMs - stop.mTermMs) +
                " ms after SIGTERM, exit after " + std::to_string(stop.mExitMs - stop.mTermMs) +
                " ms";
        if (passedOn) {
          what += ", reached its engine " + std::to_string(work.mBeganMs - stop.mTermMs) +
                  " ms after SIGTERM";
        }
      }
    }
    mBroken.push_back({ aRequest.mId, aRequest.mDaemon, what });
  }

  void CheckProcess(const daemon_stop& aStop)
  {
    const auto after = std::to_string(aStop.mExitMs - aStop.mTermMs) + " ms after SIGTERM";
    if (aStop.mKilled || aStop.mExitMs - aStop.mTermMs > mEvidence.mTimes.mGraceMs) {
      mBroken.push_back(
        { {}, aStop.mDaemon, "still ran at the end of the grace period; ended " + after });
    } else if (WIFSIGNALED(aStop.mStatus)) {
      mBroken.push_back(
        { {},
          aStop.mDaemon,
          "ended by signal " + std::to_string(WTERMSIG(aStop.mStatus)) + ' ' + after });
    } else if (WEXITSTATUS(aStop.mStatus) != 0) {
      mBroken.push_back(
        { {},
          aStop.mDaemon,
          "ended with status " + std::to_string(WEXITSTATUS(aStop.mStatus)) + ' ' + after });
    }
  }

  bool Overlaps(const request_record& aRequest, const daemon_stop& aStop) const
  {
    return aStop.mDaemon == aRequest.mDaemon && aRequest.mSentMs <= aStop.mExitMs &&
           aStop.mTermMs <= aRequest.mEndedMs;
  }

  /// Whether the engine was still at work in the last sixth of the grace period of its stop. Unless
  /// the daemon cut the stream, the time of its last event is a lower bound, since the servers'
  /// clock ticks are not counted.
  bool Excused(const request_record& aRequest, const engine_work& aWork) const
  {
    const auto ends = aWork.mCutMs >= 0
                        ? aWork.mCutMs
                        : aWork.mBeganMs + aRequest.mEventsAsked * mEvidence.mEventMs;
    return aWork.mBeganMs >= 0 &&
           std::any_of(
             mEvidence.mStops.begin(), mEvidence.mStops.end(), [&](const daemon_stop& aStop) {
               const auto lastSixth = aStop.mTermMs + mEvidence.mTimes.mGraceMs -
                                      mEvidence.mTimes.mGraceMs / kExcusedPartOfGrace;
               return Overlaps(aRequest, aStop) &&
                      aRequest.mLastByteMs <= aStop.mTermMs + kLastExcusedSendMs &&
                      ends >= lastSixth;
             });
  }

  const stop_evidence& mEvidence;
  std::map<std::string, engine_work> mWork;
  std::vector<broken_stop> mBroken;
};

} // namespace

std::vector<broken_stop>
BrokenStops(const stop_evidence& aEvidence)
{
  return stop_checker{ aEvidence }.Check();
}

} // namespace skylarkwind::soak
