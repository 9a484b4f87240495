#pragma once

#include "skylarkwind/circuit_breaker.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Messages by which daemons share load and state of backend servers. They are sent as datagrams,
/// so that each message has to make up for lost earlier ones: load is sent as absolute values, and
/// updates on servers are sent more than once.
namespace skylarkwind {

/// Identifies a backend server in messages between daemons: a hash of its id. Other daemons would
/// see the summed load of two servers whose keys collide; with 600 servers the probability of a
/// collision is one in 24,000.
using backend_key = std::uint32_t;

backend_key BackendKey(std::string_view aBackendId);

/// Load that one or more daemons have dispatched to one backend server.
struct dispatched_load
{
  backend_key mBackend = 0;
  std::uint32_t mPrefillTokens = 0; ///< to prefill, of requests that have no first token yet
  std::uint32_t mRunning = 0;       ///< requests in progress
  std::uint64_t mAddedTokens = 0;   ///< added to its KV cache since the sender started
  /// In summaries only: factor by which the server is slower than the configured figures of its
  /// service; 0 when unknown.
  double mSlowdown = 0;
  double mFailureRatio = 0; ///< in summaries only: failure ratio of recent requests, 0 to 1
  /// In summaries only: the circuit breaker of the server is open, so that it gets only a few
  /// probes.
  bool mCircuitOpen = false;
  bool operator==(const dispatched_load&) const = default;
};

/// Request outcomes and slowdown of one server, as measured by one daemon or by all daemons of a
/// data centre since the sender started.
struct backend_statistics
{
  backend_key mBackend = 0;
  server_outcomes mOutcomes;
  /// Sum of the natural logarithms of the measured slowdowns, and the number of measurements.
  double mLogSlowdownSum = 0;
  std::uint32_t mSlowdownCount = 0;
  bool operator==(const backend_statistics&) const = default;
};

/// A prompt segment that a backend server holds in its prefix cache, or is about to compute.
struct cached_segment
{
  std::uint64_t mKey = 0;
  backend_key mBackend = 0;
  bool mComputed = false;       ///< false while the request that computes it is queued there
  std::uint32_t mReadyInMs = 0; ///< expected time until it is computed
  bool operator==(const cached_segment&) const = default;
};

/// A backend server that is changing its role and rejects requests meanwhile.
struct role_change
{
  backend_key mBackend = 0;
  std::uint32_t mRemainingMs = 0; ///< remaining time of the role change
  bool operator==(const role_change&) const = default;
};

/// A backend server that announced in a response that it is leaving.
struct leaving_backend
{
  std::string mBackendId;
  std::uint64_t mStartedAt = 0; ///< start time of the process that announced it, Unix ms
  bool operator==(const leaving_backend&) const = default;
};

/// State of backend servers that is valid whichever daemon reports it.
struct backend_updates
{
  std::vector<cached_segment> mCachedSegments; ///< recent changes
  std::vector<role_change> mRoleChanges;
  std::vector<leaving_backend> mLeaving;

  bool Empty() const { return mCachedSegments.empty() && mRoleChanges.empty() && mLeaving.empty(); }
  bool operator==(const backend_updates&) const = default;
};

/// A daemon as known to the other daemons.
struct fleet_member
{
  std::string mName;
  std::string mAddress; ///< ip:port, receives messages
  std::string mDataCentre;
  /// CPU share of its VM, in thousandths of a core. Daemons with a larger share are preferred as
  /// collectors and for duties of the whole fleet.
  std::uint32_t mCpuMillicores = 0;
  bool mReachesStore = false; ///< false while its store calls fail, and during shutdown
  std::uint64_t mStart = 0;   ///< random id drawn at process start; 0 when unknown
  bool mIsStopping = false;   ///< shutting down; takes on no further duties
  bool operator==(const fleet_member&) const = default;
};

/// Store revisions of the newest changes that a daemon has received.
struct store_revisions
{
  std::uint64_t mConfiguration = 0;
  std::uint64_t mServers = 0;
  bool operator==(const store_revisions&) const = default;
};

/// Sent by each daemon to the collectors of its data centre.
struct load_report
{
  fleet_member mSender;
  std::uint64_t mSequence = 0; ///< starts at 1 and increases while the process runs
  store_revisions mStoreRevisions;
  std::vector<dispatched_load> mDispatchedLoad; ///< servers with load now or until shortly before
  std::vector<backend_statistics> mRecords;     ///< of the same servers
  backend_updates mBackendUpdates;
  bool operator==(const load_report&) const = default;
};

/// Sent by a collector: the load of the whole fleet to the daemons of its data centre, or the load
/// of its data centre to the collectors of the other ones.
struct load_summary
{
  fleet_member mSender;
  std::uint64_t mSequence = 0;
  bool mWholeFleet = false;
  /// Sequence of the receiver's newest report that is included in the sums; 0 when none is.
  std::uint64_t mIncludedSequence = 0;
  std::uint32_t mDaemons = 0; ///< number of daemons whose load is summed
  store_revisions mStoreRevisions;
  std::vector<dispatched_load> mDispatchedLoad; ///< servers with load now or until shortly before
  /// Between data centres only: servers at which requests were recently refused, failed or lost.
  /// Slowdowns are not included.
  std::vector<backend_statistics> mRecords;
  backend_updates mBackendUpdates;
  /// Some of the live daemons. Fleet summaries list all daemons of the sender's data centre in
  /// turn, and collectors of the others; summaries between data centres list collectors only.
  std::vector<fleet_member> mMembers;
  bool operator==(const load_summary&) const = default;
};

} // namespace skylarkwind
