#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/forward_types.h"
#include "skylarkwind/protocol_adapter.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace skylarkwind {

struct role_controller_settings
{
  std::string mSelf; ///< id of this daemon, written to the lease as its holder
  /// Fraction of a model service's engines that should have the prefill role.
  double mPrefillShare = 0.5;
  /// Minimum time between the last command of one lease holder and the first of the next.
  std::chrono::milliseconds mLease{ 3'000 };
};

/// The stored command lease: the daemon that may send role commands to engines, and its fencing
/// token.
struct command_lease
{
  std::uint64_t mRevision = 0; ///< of the stored object
  std::string mHolder;
  std::uint64_t mFencing = 0;
};

/// Identifies a call of the role controller. Its result carries the same id, since the results of
/// calls that were abandoned may arrive after those of newer ones.
using role_call_id = std::uint64_t;

/// Reads the stored lease. The result goes to `OnLeaseRead`.
struct read_lease
{
  role_call_id mCall = 0;
};

/// Writes the lease if its stored revision is still `mRevision`, or creates it if that is 0. The
/// result goes to `OnLeaseWritten`.
struct write_lease
{
  role_call_id mCall = 0;
  std::uint64_t mRevision = 0;
  std::uint64_t mFencing = 0;
};

/// Requests an engine's state. The result goes to `OnEngineState`.
struct query_engine_state
{
  role_call_id mCall = 0;
  std::string mBackendId;
};

/// Sends a role command, not later than `mNotAfter`. The result goes to `OnRoleCommandResult`.
struct send_role_command
{
  role_call_id mCall = 0;
  role_command mOrder;
  instant mNotAfter{};
};

using role_action = std::variant<read_lease, write_lease, query_engine_state, send_role_command>;

/// Role controller: keeps the configured share of prefill engines in each model service. Only the
/// holder of the command lease sends role commands. It is acquired when a command is due and is
/// not renewed otherwise, so that it costs no writes while the roles are as configured.
///
/// A holder sends commands only within one second of the start of the write that acquired the
/// lease, measured by a clock that keeps running during a suspension, and writes the lease again
/// before later commands. Another daemon acquires the lease only after it has observed the same
/// revision for that second plus the lease time and a margin for the transit of commands. Its
/// conditional write then proves that nobody wrote in between, so commands of different holders are
/// always at least a lease time apart.
///
/// The result of a call that is no longer awaited is ignored. A write without a result in time has
/// an unknown outcome, and the lease is read before the next write. A fencing token is always
/// higher than all that this daemon has read or written.
class role_controller
{
public:
  explicit role_controller(role_controller_settings aSettings);
  void SetPrefillShare(double aShare) { mSettings.mPrefillShare = aShare; }

  /// An engine and its load, as this daemon knows them.
  struct engine_view
  {
    backend_server mServer;
    std::uint32_t mRunning = 0; ///< requests in progress, from all daemons
  };
  /// A model service and its engines that are eligible for requests.
  struct service_view
  {
    std::string mService;
    std::chrono::milliseconds mRoleChange{}; ///< duration of a role change
    std::vector<engine_view> mEngines;
  };

  /// Returns the actions that are due. `aRank` is this daemon's position in the order of the live
  /// daemons, from 0. The first daemon sends commands, and the next two read the lease regularly so
  /// that they can take over without delay. The rank merely avoids contention; mutual exclusion
  /// rests on the lease.
  std::vector<role_action> OnTick(std::span<const service_view> aServices,
                                  std::size_t aRank,
                                  instant aNow);
  /// Result of `read_lease`: empty if there is no lease; `aFailed` if the store did not answer.
  void OnLeaseRead(role_call_id aCall,
                   const std::optional<command_lease>& aLease,
                   bool aFailed,
                   instant aNow);
  /// Result of `write_lease`: the new revision, empty if the write failed or its outcome is
  /// unknown.
  void OnLeaseWritten(role_call_id aCall,
                      const std::optional<std::uint64_t>& aRevision,
                      instant aNow);
  /// The store was restored from a copy: its lease may be gone or older than the last one, so that
  /// everybody waits before a write. `aFirstFencing` is above all fencing tokens used before.
  void OnStoreRestored(std::uint64_t aFirstFencing, instant aNow);
  /// Result of `query_engine_state`: the report, empty if the engine gave none.
  std::vector<role_action> OnEngineState(role_call_id aCall,
                                         const std::string& aBackendId,
                                         const std::optional<engine_state_report>& aReport,
                                         instant aNow);
  /// Result of `send_role_command`.
  void OnRoleCommandResult(role_call_id aCall,
                           const std::string& aBackendId,
                           role_command_result aAnswer,
                           instant aNow);

  /// Engines with a role change in progress, and the time at which each should be complete.
  const std::map<std::string, instant>& Changing() const { return mChanging; }

  /// Engines whose role should change and their new role, in the order in which to change them.
  static std::vector<std::pair<std::string, engine_role>> PlanRoleChanges(
    const service_view& aService,
    double aPrefillShare);

private:
  struct planned_change
  {
    engine_role mRole = engine_role::Both;
    std::chrono::milliseconds mDuration{};
  };
  /// A planned change whose engine was called.
  struct pending_change
  {
    role_call_id mCall = 0;
    planned_change mChange;
  };
  /// A call to the store without a result so far.
  struct pending_store_call
  {
    role_call_id mCall = 0;
    std::uint64_t mFencing = 0; ///< of a write; 0 for a read
    instant mStartedAt{};
  };

  /// Ends the wait for the call's result; empty if that is not awaited.
  std::optional<pending_store_call> TakeStoreCall(role_call_id aCall);
  /// Starts a call to the store and returns its id.
  role_call_id StartStoreCall(std::uint64_t aFencing, instant aNow);
  /// Discards what is known of the lease, so that it is read before the next write.
  void ForgetLease();
  /// Whether the revision is of a later era of the store than all seen before, i.e. the store was
  /// restored. A daemon may learn that from the answer to its own call first.
  bool NoticeEra(std::uint64_t aRevision, instant aNow);
  bool HoldsLease(instant aNow) const;
  /// Whether this daemon may write the lease now, judging by the last observed revision.
  bool MayAcquireLease(instant aNow) const;
  /// Writes the lease if commands are due and it may be acquired, and reads it periodically
  /// otherwise.
  std::optional<role_action> AcquireOrReadLease(bool aDue, instant aNow);

  role_controller_settings mSettings;
  std::optional<instant> mDeviationSince; ///< since when roles have differed from the target
  std::optional<command_lease> mObservedLease;
  bool mLeaseAbsent = false; ///< the last read found no lease
  bool mWasStoreRestored = false;
  /// When the revision of `mObservedLease`, or its absence in a restored store, was first observed.
  instant mObservedAt{};
  instant mLastReadAt{}; ///< last successful read or write
  role_call_id mLastCall = 0;
  std::optional<pending_store_call> mStoreCall;
  std::uint64_t mEra = 0;            ///< of the store, from the revisions seen
  std::uint64_t mHighestFencing = 0; ///< of all that were read or written
  std::uint64_t mHeldFencing = 0;    ///< 0 while no lease is held
  instant mHeldUntil{};
  /// Planned changes for which the engine's state was requested, by engine id.
  std::map<std::string, pending_change> mAwaitingState;
  /// Planned changes with an unanswered command, by engine id.
  std::map<std::string, pending_change> mAwaitingReply;
  std::map<std::string, instant> mChanging;
  std::map<std::string, instant> mBackoffUntil; ///< engines that get no command before that time
};

} // namespace skylarkwind
