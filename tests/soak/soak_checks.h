#pragma once

#include "fault_plan.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwind::soak {

/// What a caller asked for.
enum class request_kind
{
  Stream,     ///< may be resumed at another engine
  OnceStream, ///< may run once
  Order,      ///< may run once
  Lookup      ///< may run again
};

/// One request as its caller saw it. Times in ms of the steady clock.
struct request_record
{
  std::string mId;
  request_kind mKind = request_kind::Lookup;
  int mDaemon = 0;
  int mEventsAsked = 0;
  std::int64_t mSentMs = 0;
  std::int64_t mLastByteMs = 0; ///< when the last byte was handed to the socket
  bool mSentWhole = false;
  std::int64_t mLinkMs = 0; ///< delay between the caller and the daemon, one way
  std::int64_t mEndedMs = 0;
  /// When the connection ended, if it did; a caller that reads late sees it later.
  std::int64_t mClosedMs = 0;
  bool mLeft = false;                          ///< the caller closed the connection before the end
  bool mWhole = false;                         ///< the answer had its end
  int mStatus = 0;                             ///< 0: no answer began
  std::map<std::string, std::string> mHeaders; ///< names in lower case
  std::string mBody;
};

/// A disturbance as it was carried out. Times in ms of the steady clock.
struct injected_fault
{
  fault mFault;
  std::int64_t mFromMs = 0;
  std::int64_t mToMs = 0;
};

/// Everything that one run has shown.
struct soak_evidence
{
  std::vector<request_record> mRequests;
  /// What backend servers recorded: at_ms, backend, id, path and outcome.
  std::vector<nlohmann::json> mRecords;
  std::vector<injected_fault> mFaults;
};

struct soak_bounds
{
  std::int64_t mDeadlineMs = 4'000; ///< that callers state
  /// An answer may come this much later, beyond pauses of its daemon.
  std::int64_t mDeadlineSlackMs = 700;
  /// Heads may arrive in parts; their time limit begins at the latest with the last byte.
  bool mSentInParts = false;
  int mMostRuns = 2;         ///< attempts that the routes allow
  double mRepeatRatio = 0.2; ///< repeats that all daemons may add, for each request
  double mRepeatFloor = 40;  ///< and in each window
  std::int64_t mRepeatWindowMs = 10'000;
  /// Answers that say that the request has not run.
  std::vector<int> mRefusals{ 503 };
  std::int64_t mDrainMs = 2'000; ///< from the entry that says draining to the last request
};

/// The promises that the evidence breaks, one line each; empty when all hold.
std::vector<std::string> BrokenPromises(const soak_evidence& aEvidence, const soak_bounds& aBounds);

} // namespace skylarkwind::soak
