#include "soak_checks.h"

#include <algorithm>
#include <functional>
#include <sstream>

namespace skylarkwind::soak {

namespace {

/// Whether the line is the comment with which the backend stand-in pads an event.
bool
IsPadding(const std::string& aLine)
{
  return aLine.starts_with(':') && aLine.find_first_not_of('.', 1) == std::string::npos;
}

/// Ids of the events of a stream in order; empty when an event is malformed. Comments are part of
/// the format; the stand-ins pad events with them.
std::optional<std::vector<int>>
EventIds(const std::string& aBody)
{
  std::vector<int> ids;
  std::istringstream lines{ aBody };
  for (std::string line; std::getline(lines, line);) {
    if (line.starts_with("id: ")) {
      ids.push_back(std::atoi(line.c_str() + 4));
    } else if (line.starts_with("data: ")) {
      if (ids.empty() || line != "data: token" + std::to_string(ids.back())) {
        return std::nullopt;
      }
    } else if (!line.empty() && !IsPadding(line)) {
      return std::nullopt;
    }
  }
  return ids;
}

class checker
{
public:
  checker(const soak_evidence& aEvidence, const soak_bounds& aBounds)
    : mEvidence(aEvidence)
    , mBounds(aBounds)
  {
    for (const auto& record : aEvidence.mRecords) {
      if (record["outcome"] == "ran") {
        mRuns[record["id"].get<std::string>()].push_back(record["backend"].get<std::string>());
      }
    }
  }

  std::vector<std::string> Check()
  {
    for (const auto& request : mEvidence.mRequests) {
      CheckRuns(request);
      CheckTime(request);
      CheckAnswer(request);
      CheckStop(request);
    }
    CheckRepeats();
    CheckDrains();
    return std::move(mBroken);
  }

private:
  void Broken(const request_record& aRequest, const std::string& aWhat)
  {
    mBroken.push_back(aRequest.mId + " at daemon " + std::to_string(aRequest.mDaemon) + ": " +
                      aWhat);
  }

  bool Refused(const request_record& aRequest) const
  {
    return std::find(mBounds.mRefusals.begin(), mBounds.mRefusals.end(), aRequest.mStatus) !=
           mBounds.mRefusals.end();
  }

  std::size_t Runs(const std::string& aId) const
  {
    const auto found = mRuns.find(aId);
    return found == mRuns.end() ? 0 : found->second.size();
  }

  /// Whether a disturbance that the predicate holds for overlapped the time.
  bool Disturbed(std::int64_t aFromMs,
                 std::int64_t aToMs,
                 const std::function<bool(const fault&)>& aWhich) const
  {
    return std::any_of(
      mEvidence.mFaults.begin(), mEvidence.mFaults.end(), [&](const injected_fault& aFault) {
        return aFault.mFromMs <= aToMs && aFromMs <= aFault.mToMs && aWhich(aFault.mFault);
      });
  }

  void CheckRuns(const request_record& aRequest)
  {
    const auto runs = Runs(aRequest.mId);
    const bool once =
      aRequest.mKind == request_kind::Order || aRequest.mKind == request_kind::OnceStream;
    if (once && runs > 1) {
      Broken(aRequest, "a request that may run once ran " + std::to_string(runs) + " times");
    } else if (runs > static_cast<std::size_t>(mBounds.mMostRuns)) {
      Broken(aRequest, "ran " + std::to_string(runs) + " times");
    }
    if (Refused(aRequest) && runs > 0) {
      Broken(aRequest, "was refused as not run, but ran");
    }
  }

  void CheckTime(const request_record& aRequest)
  {
    std::int64_t allowed = mBounds.mDeadlineMs + mBounds.mDeadlineSlackMs;
    for (const auto& fault : mEvidence.mFaults) {
      if (fault.mFault.mKind == fault_kind::PauseDaemon &&
          fault.mFault.mTarget == aRequest.mDaemon) {
        allowed += std::max<std::int64_t>(
          0, std::min(fault.mToMs, aRequest.mEndedMs) - std::max(fault.mFromMs, aRequest.mSentMs));
      }
    }
    const auto taken =
      aRequest.mEndedMs - (mBounds.mSentInParts ? aRequest.mLastByteMs : aRequest.mSentMs);
    if (taken > allowed) {
      Broken(aRequest, "ended after " + std::to_string(taken) + " ms");
    }
  }

  void CheckAnswer(const request_record& aRequest)
  {
    if (aRequest.mStatus == 0) {
      return;
    }
    const auto& headers = aRequest.mHeaders;
    const bool stream =
      aRequest.mKind == request_kind::Stream || aRequest.mKind == request_kind::OnceStream;
    if (aRequest.mStatus == 503 && !headers.contains("retry-after")) {
      Broken(aRequest, "a refusal without Retry-After");
    }
    if (aRequest.mStatus != 200) {
      const bool known = aRequest.mStatus == 500 || aRequest.mStatus == 502 ||
                         aRequest.mStatus == 504 || Refused(aRequest);
      if (!known) {
        Broken(aRequest, "unexpected status " + std::to_string(aRequest.mStatus));
      }
      return;
    }
    const auto id = headers.find("x-skylarkwind-request-id");
    if (id == headers.end() || id->second != aRequest.mId) {
      Broken(aRequest, "the answer names another request");
    }
    if (!headers.contains("x-skylarkwind-response-signature")) {
      Broken(aRequest, "an answer without signature");
    }
    if (stream) {
      CheckEvents(aRequest);
    } else if (aRequest.mWhole) {
      CheckPlainBody(aRequest);
    }
  }

  void CheckPlainBody(const request_record& aRequest)
  {
    const auto runs = mRuns.find(aRequest.mId);
    const bool real = runs != mRuns.end() &&
                      std::any_of(runs->second.begin(), runs->second.end(), [&](const auto& aId) {
                        return aRequest.mBody == "answer of " + aId + " to " + aRequest.mId;
                      });
    if (!real) {
      Broken(aRequest, "the answer is of no server that ran it: " + aRequest.mBody);
    }
  }

  void CheckEvents(const request_record& aRequest)
  {
    const auto body =
      aRequest.mWhole ? aRequest.mBody : aRequest.mBody.substr(0, aRequest.mBody.rfind("\n\n") + 2);
    const auto ids = EventIds(aRequest.mBody.find("\n\n") == std::string::npos ? "" : body);
    if (!ids) {
      Broken(aRequest, "a malformed event");
      return;
    }
    for (std::size_t i = 0; i < ids->size(); ++i) {
      if ((*ids)[i] != static_cast<int>(i) + 1) {
        Broken(aRequest,
               "event " + std::to_string((*ids)[i]) + " at place " + std::to_string(i + 1));
        return;
      }
    }
    if (aRequest.mWhole && static_cast<int>(ids->size()) != aRequest.mEventsAsked) {
      Broken(aRequest,
             "a stream that ended as whole had " + std::to_string(ids->size()) + " of " +
               std::to_string(aRequest.mEventsAsked) + " events");
    }
  }

  /// A stop ends nothing that was accepted, as long as nothing else is wrong.
  void CheckStop(const request_record& aRequest)
  {
    constexpr std::int64_t kAfterEffectsMs = 4'000;
    const auto from = aRequest.mSentMs - kAfterEffectsMs;
    const auto harmless = [](const fault& aFault) {
      return aFault.mKind == fault_kind::StopDaemon || aFault.mKind == fault_kind::HangUpDaemon ||
             aFault.mKind == fault_kind::Configure;
    };
    const bool stopped = Disturbed(aRequest.mSentMs, aRequest.mEndedMs, [&](const fault& aFault) {
      return aFault.mKind == fault_kind::StopDaemon && aFault.mTarget == aRequest.mDaemon;
    });
    if (!stopped || aRequest.mLeft || Disturbed(from, aRequest.mEndedMs, [&](const fault& aFault) {
          return !harmless(aFault);
        })) {
      return;
    }
    const bool refused = aRequest.mStatus == 503;
    const bool neverTaken = aRequest.mStatus == 0 && Runs(aRequest.mId) == 0;
    if (!refused && !neverTaken && !(aRequest.mStatus == 200 && aRequest.mWhole)) {
      Broken(aRequest, "was cut by a stop, status " + std::to_string(aRequest.mStatus));
    }
  }

  void CheckRepeats()
  {
    std::map<std::int64_t, double> extra;
    std::map<std::int64_t, double> asked;
    std::map<std::string, int> seen;
    for (const auto& request : mEvidence.mRequests) {
      asked[request.mSentMs / mBounds.mRepeatWindowMs] += 1;
    }
    for (const auto& record : mEvidence.mRecords) {
      if (record["outcome"] == "ran" && ++seen[record["id"].get<std::string>()] > 1) {
        extra[record["at_ms"].get<std::int64_t>() / mBounds.mRepeatWindowMs] += 1;
      }
    }
    for (const auto& [window, repeats] : extra) {
      const double most = mBounds.mRepeatRatio * asked[window] + mBounds.mRepeatFloor;
      if (repeats > most) {
        mBroken.push_back("repeats: " + std::to_string(repeats) + " in a window that allows " +
                          std::to_string(most));
      }
    }
  }

  void CheckDrains()
  {
    for (const auto& drain : mEvidence.mFaults) {
      if (drain.mFault.mKind != fault_kind::DrainServer) {
        continue;
      }
      const auto from = drain.mFromMs + mBounds.mDrainMs;
      const bool hidden =
        Disturbed(drain.mFromMs - mBounds.mDrainMs, drain.mToMs, [](const fault& aFault) {
          return aFault.mKind == fault_kind::PauseDaemon ||
                 aFault.mKind == fault_kind::DisturbStore ||
                 aFault.mKind == fault_kind::StoreMode ||
                 aFault.mKind == fault_kind::StoreDropsHistory ||
                 aFault.mKind == fault_kind::StoreLosesAnswers;
        });
      if (hidden) {
        continue;
      }
      for (const auto& record : mEvidence.mRecords) {
        const auto at = record["at_ms"].get<std::int64_t>();
        if (record["backend"] == drain.mFault.mVariant && at > from && at < drain.mToMs &&
            (record["outcome"] == "ran" || record["outcome"] == "prefilled")) {
          mBroken.push_back(record["id"].get<std::string>() + " reached the draining server " +
                            drain.mFault.mVariant);
        }
      }
    }
  }

  const soak_evidence& mEvidence;
  const soak_bounds& mBounds;
  std::map<std::string, std::vector<std::string>> mRuns; ///< servers that ran a request
  std::vector<std::string> mBroken;
};

} // namespace

std::vector<std::string>
BrokenPromises(const soak_evidence& aEvidence, const soak_bounds& aBounds)
{
  return checker{ aEvidence, aBounds }.Check();
}

} // namespace skylarkwind::soak
