#pragma once

#include "skylarkwind/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace skylarkwind {

struct singleton_task_settings
{
  std::string mSelf; ///< name of this daemon, stored as the holder
  /// Minimum time between the last call of one holder and the first call of the next.
  std::chrono::milliseconds mLease{ 3'000 };
};

/// The stored record of a task: who may do its work, and the state that the work has reached.
struct task_record
{
  std::uint64_t mRevision = 0; ///< of the stored object
  std::string mHolder;
  std::uint64_t mFencing = 0;
  std::string mState;
};

/// Identifies a call of the task to the store. Its result carries the same id, since the results of
/// abandoned calls may arrive after those of newer ones.
using task_call_id = std::uint64_t;

/// Reads the record. The result goes to `OnRead`.
struct read_task
{
  task_call_id mCall = 0;
};

/// Writes the record if its stored revision is still `mRevision`, or creates it if that is 0. The
/// result goes to `OnWritten`.
struct write_task
{
  task_call_id mCall = 0;
  std::uint64_t mRevision = 0;
  std::uint64_t mFencing = 0;
  std::string mState;
};

using task_action = std::variant<read_task, write_task>;

/// Work that only one daemon at a time may do: a lease with a fencing token and a state, kept in
/// one object of the store. It is acquired when work is due and not renewed otherwise, so that it
/// costs no writes while there is nothing to do.
///
/// A holder makes its calls within one second of the start of a confirmed write, measured by a
/// clock that runs during a suspension, and writes again before later calls. Another daemon writes
/// only after it has observed the same revision for that second plus the lease time and a margin
/// for calls in transit. Its conditional write then proves that nobody wrote in between, so that
/// calls of different holders are always at least the lease time apart.
///
/// The token stays the same while one daemon holds the task without interruption: a call that is
/// carried out late then never has a lower token than a later call of the same holder. Each
/// acquisition takes a token above all that were read or written, and not below the revision that
/// it replaces. Revisions of a restored store are above all earlier ones, so that its tokens are
/// too, although the record that held the last token is lost.
class singleton_task
{
public:
  explicit singleton_task(singleton_task_settings aSettings);

  /// The call to the store that is due. `aDue`: there is work to do or to prepare. `aRank`:
  /// position of this daemon in the order of the live daemons; the first one acts, and the next two
  /// read the record regularly so that they can take over without delay. The rank merely avoids
  /// contention.
  std::optional<task_action> OnTick(std::size_t aRank, bool aDue, instant aNow);
  /// Result of `read_task`: empty if there is no record; `aFailed` if the store did not answer.
  void OnRead(task_call_id aCall,
              const std::optional<task_record>& aRecord,
              bool aFailed,
              instant aNow);
  /// Result of `write_task`: the new revision, empty if the write failed or its outcome is unknown.
  void OnWritten(task_call_id aCall, const std::optional<std::uint64_t>& aRevision, instant aNow);
  /// The store was restored from a copy. The record may be gone or older than the last one;
  /// `aFirstToken` is above all tokens that any daemon has used before.
  void OnStoreRestored(std::uint64_t aFirstToken, instant aNow);

  /// Sets the state to be stored with the next write, which this makes due. Only for a daemon that
  /// holds the task; calls that depend on the state wait until `StoredState` returns it.
  void SetState(std::string aState);
  /// Whether a state was set that is not known to be stored.
  bool HasNewState() const { return mWantedState && *mWantedState != mStoredState; }
  /// The state in the record as this daemon last read or wrote it. Up to date after an acquisition,
  /// i.e. when `Token` returned a value in the current `Term`.
  const std::string& StoredState() const { return mStoredState; }

  /// The token for a call that is sent now; empty while this daemon may make none.
  std::optional<std::uint64_t> Token(instant aNow) const;
  /// End of the time during which this daemon may make calls.
  instant CallsUntil() const { return mCallsUntil; }
  /// Number of acquisitions by this daemon. A new one means that other daemons may have held the
  /// task, or that the store was restored, so that work begins from the stored state.
  std::uint64_t Term() const { return mTerm; }

private:
  /// A call to the store without a result so far.
  struct pending_call
  {
    task_call_id mCall = 0;
    std::optional<write_task> mWrite; ///< empty for a read
    instant mStartedAt{};
  };

  std::optional<pending_call> TakeCall(task_call_id aCall);
  /// Whether the observed record is the last one that this daemon wrote or tried to write.
  bool IsOwn() const;
  bool MayWrite(instant aNow) const;
  write_task MakeWrite(instant aNow);
  /// Ends the permission to call and reads the record before the next write.
  void Forget();
  /// Whether the revision is of a later era of the store than all seen before, i.e. the store was
  /// restored. A daemon may learn that from the answer to its own call first.
  bool NoticeEra(std::uint64_t aRevision, instant aNow);

  singleton_task_settings mSettings;
  std::optional<task_record> mObserved;
  bool mIsAbsent = false; ///< the last read found no record
  bool mWasRestored = false;
  instant mObservedAt{}; ///< when the revision, or its absence in a restored store, was first seen
  instant mReadAt{};     ///< last successful read or write
  task_call_id mLastCall = 0;
  std::optional<pending_call> mPending;
  std::uint64_t mEra = 0;          ///< of the store, from the revisions seen
  std::uint64_t mHighestToken = 0; ///< of all that are known to be stored
  std::uint64_t mOwnToken = 0;     ///< of the last acquisition that was tried; 0 when none counts
  bool mIsHolder = false;          ///< the last write of the own token was confirmed
  instant mCallsUntil{};
  std::uint64_t mTerm = 0;
  std::string mStoredState;
  std::optional<std::string> mWantedState; ///< empty when the stored one is to be kept
};

} // namespace skylarkwind
