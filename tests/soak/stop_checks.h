#pragma once

#include "soak_checks.h"
#include "stop_plan.h"

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkwind::soak {

/// A planned stop as it was carried out. Times in ms of the steady clock.
struct daemon_stop
{
  int mDaemon = 0;
  std::int64_t mTermMs = 0;
  std::int64_t mExitMs = 0;
  int mStatus = 0;      ///< wait status
  bool mKilled = false; ///< SIGKILL was necessary at the end of the grace period
};

struct stop_evidence
{
  std::vector<request_record> mRequests;
  std::vector<nlohmann::json> mRecords; ///< as in soak_evidence
  std::vector<daemon_stop> mStops;
  stop_times mTimes;
  std::int64_t mEventMs = 0;    ///< between two events of a stream
  std::int64_t mDeadlineMs = 0; ///< that callers state
};

/// A request without a whole answer, or a process that did not end as it should.
struct broken_stop
{
  std::string mId; ///< of the request; empty for a process
  int mDaemon = 0;
  std::string mWhat;
};

/// Where planned work alone disturbs the system, a request that a daemon has passed on, or that
/// ends later than 200 ms after its last byte, gets a whole answer. Left out are requests whose
/// time limit passed, and those whose last byte was sent no later than 3 s after SIGTERM and whose
/// engine was still at work in the last sixth of the grace period. Every stop ends with status 0
/// before the end of the grace period.
std::vector<broken_stop> BrokenStops(const stop_evidence& aEvidence);

} // namespace skylarkwind::soak
