#pragma once

#include "change_batch_p.h"
#include "object_history_p.h"

#include "skylarkwind/clock.h"
#include "skylarkwind/object_store.h"
#include "skylarkwind/store_watchers.h"

#include <kj/async.h>
#include <kj/function.h>
#include <kj/timer.h>

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace skylarkwind {

/// Time limits and pauses of a store follower.
struct store_follower_settings
{
  std::string mKind;
  /// Longest duration of one watch. A watch whose connection is dead is detected when it expires,
  /// or earlier when another daemon reports a newer revision that the watch did not deliver.
  std::chrono::milliseconds mWatch{ 3'000 };
  /// Pause after a watch that returned changes. It doubles up to mMaxCoalesce while changes
  /// continue, so that a series of changes takes few calls.
  std::chrono::milliseconds mCoalesce{ 100 };
  std::chrono::milliseconds mMaxCoalesce{ 500 };
  /// A revision reported by another daemon that does not arrive here within this time restarts the
  /// open call.
  std::chrono::milliseconds mRemoteChangeTimeout{ 1'000 };
  /// Limits of the upper bound of the pause after a failed call, which doubles with each failure.
  std::chrono::milliseconds mMinBackoff{ 50 };
  std::chrono::milliseconds mMaxBackoff{ 1'000 };
  /// During an outage of at least this length, entries of live servers may have expired in the
  /// store.
  std::chrono::milliseconds mLapseAfter{ 1'500 };
  /// Longest time for which a change that another daemon reported is requested from other daemons
  /// before the store is called.
  std::chrono::milliseconds mMaxCatchUpFetch{ 500 };
  std::uint64_t mRandomSeed = 1;
};

/// Keeps a local copy of all objects of one kind. It lists them once and then either watches the
/// store or applies batches of changes that other daemons relay. Failed calls are retried after a
/// jittered pause of a quarter to the whole of a bound that doubles up to a limit.
///
/// The copy is confirmed when the store, or a daemon that has just read from it, shows that it is
/// complete. Open watches and silent daemons confirm nothing, so a daemon whose copy has not been
/// confirmed for a time lists from the store itself, whoever else is supposed to watch it.
class store_follower
{
public:
  /// Called with all objects of the kind. `aAfterOutage`: absent objects may have expired while the
  /// store was unreachable, although their servers are alive.
  using on_list = std::function<void(const std::vector<stored_object>&, bool aAfterOutage)>;
  /// Called with one change; `aAfterOutage` as for `on_list`.
  using on_change = std::function<void(const object_change&, bool aAfterOutage)>;
  /// Called with what this daemon has read from the store itself, for relaying to other daemons.
  using on_read = std::function<void(const change_batch&)>;
  /// Asks other daemons for all objects of a kind. `aRevision`: one that they have to contain. What
  /// arrives is passed to `OnBatch` or `OnSameCopy`; the promise resolves then or after a while.
  using fetch_from_peer =
    std::function<kj::Promise<void>(const std::string& aKind, std::uint64_t aRevision)>;

  store_follower(store_follower_settings aSettings,
                 object_store& aStore,
                 kj::Timer& aTimer,
                 const clock_source& aClock,
                 on_list aOnList,
                 on_change aOnChange,
                 on_read aOnRead);

  /// Keeps the copy up to date until the promise is dropped.
  kj::Promise<void> Run();
  /// Whether all objects have been received at least once.
  bool Listed() const { return mListed; }
  /// Sets the duration of a watch and the longest back-off. A shorter duration replaces the open
  /// watch, whose connection may be silent since long; others apply from the next call on.
  void SetTiming(std::chrono::milliseconds aWatch, std::chrono::milliseconds aMaxBackoff);
  /// Revision of the newest object received, or of the list that showed a removal. It is not higher
  /// than the revision of the copy of any daemon that has received the same changes and a heartbeat
  /// since.
  std::uint64_t NewestRevision() const { return mNewestRevision; }
  /// All changes up to this revision have been applied.
  std::uint64_t SyncedRevision() const { return mSyncedRevision; }
  /// Revision up to which the objects are those of the copy; it is equal for equal contents only.
  std::uint64_t ContentRevision() const { return mLastBatchEnd; }
  const object_map& Objects() const { return mObjects; }
  /// Size of the names and values of all objects.
  std::size_t Bytes() const { return mBytes; }
  /// The objects as of an earlier revision; empty when it is too old.
  std::optional<object_map> ObjectsAt(std::uint64_t aRevision) const
  {
    return mHistory.At(mObjects, aRevision);
  }
  /// Revision of the state before the newest change; empty when there is none.
  std::optional<std::uint64_t> PreviousRevision() const { return mHistory.PreviousRevision(); }
  /// Time since a daemon read the newest change from the store.
  std::chrono::milliseconds Age(instant aNow) const
  {
    return std::chrono::duration_cast<std::chrono::milliseconds>(aNow - mReadAt);
  }
  /// Whether entries of live servers may have expired in the store.
  bool AfterOutage() const;
  /// Notes that another daemon has received a change at this revision.
  void OnRemoteRevision(std::uint64_t aRevision);
  /// Sets how to fetch the objects from other daemons, which recovers missed changes without a call
  /// to the store, and how to tell whether that progresses. While it does, a daemon that other
  /// daemons keep up to date does not list from the store as well.
  void SetPeerFetch(fetch_from_peer aFetch, std::function<bool()> aIsReceiving)
  {
    mFetchFromPeer = std::move(aFetch);
    mIsReceiving = std::move(aIsReceiving);
  }
  /// While set, no calls are made, because it is not known yet which daemons watch the store.
  void SetPaused(bool aPaused);
  /// Sets whether other daemons relay the changes, so that no watch is open. Without a way to fetch
  /// snapshots from them, it only takes effect while the objects are listed and the store is
  /// reachable.
  void SetFedByPeers(bool aFedByPeers);
  /// Sets how long the copy may stay unconfirmed before this daemon lists from the store itself.
  void SetConfirmationTimeout(std::chrono::milliseconds aTimeout)
  {
    mConfirmationTimeout = aTimeout;
  }
  /// Time of the last confirmation, or of the start when there was none.
  instant ConfirmedAt() const { return mConfirmedAt; }
  /// Applies a batch that another daemon relays, also while this daemon watches the store itself,
  /// as its own connection may be silent. Returns false when the batch is ignored because it is old
  /// or does not continue the local state, and for heartbeats that were forwarded already.
  /// `aFresh`: the batch has not waited while this process was stalled, so that it confirms the
  /// copy.
  bool OnBatch(const change_batch& aBatch, bool aFresh = true);
  /// Notes that a daemon is reading a newer state from the store, which this one may await.
  void OnStateAwaited() { mAwaitedAt = mClock.Now(); }
  /// Notes that another daemon's copy, complete up to this revision, is the same as this one, so
  /// that none is needed from it. It confirms nothing, as that daemon may be behind the store.
  void OnSameCopy(std::uint64_t aRevision);
  /// All objects as of the last revision up to which this daemon has all changes; empty before the
  /// first list. It is as complete without a connection to the store as with one.
  std::optional<change_batch> Snapshot() const;
  /// The kind of the objects in the store.
  const std::string& Kind() const { return mSettings.mKind; }
  /// Restarts the open call, once for each reported revision that did not arrive here in time. A
  /// daemon without a watch makes one call instead. Lists from the store when the copy has not been
  /// confirmed in time.
  void OnTick(instant aNow);
  /// Whether the store is considered unreachable: from a failed call until the next successful one.
  bool InOutage() const { return mOutageSince != instant{}; }
  /// Results of the recent calls to the store.
  const store_contact& Contact() const { return mContact; }

private:
  /// The next list, watch or fetch; never completes while there is nothing to call for.
  kj::Promise<void> Step();
  kj::Promise<void> List();
  /// Reads the pages that are missing from the partial list and takes over the complete one.
  kj::Promise<std::optional<store_failure>> ReadPages();
  void OnListed(const std::vector<stored_object>& aObjects);
  kj::Promise<void> Watch(std::chrono::milliseconds aWait);
  /// Pauses after a watch that returned changes.
  kj::Promise<void> Coalesce();
  /// Recovers changes that were not relayed here: from another daemon if possible, else by one call
  /// to the store.
  kj::Promise<void> CatchUp();
  /// Fetches a snapshot from another daemon; lists from the store when none had one for some time.
  kj::Promise<void> FetchFromPeer();
  /// Revision that a snapshot of another daemon has to contain: that daemon may lack the change
  /// that was reported to this one, or be behind it.
  std::uint64_t NeededRevision() const;
  /// Starts to list from the store beside what else is in progress. The copy stays in use.
  void Probe();
  bool MayProbe(instant aNow) const;
  /// Whether the copy has not been confirmed for the confirmation timeout.
  bool IsUnconfirmed(instant aNow) const;
  void ProbeIfUnconfirmed(instant aNow);
  void Confirm();
  /// The copy is complete: no list is needed, and no snapshot of another daemon.
  void EndRequests();
  void Apply(const change_batch& aBatch);
  /// Applies again what was applied while the list was read and is newer than the list.
  void ReapplyNewer();
  void UpdateObject(const object_change& aChange);
  /// Takes over all objects and notes what they replace.
  void ReplaceObjects(const std::vector<stored_object>& aObjects, std::uint64_t aFrom);
  void Interrupt();
  void RestartList();
  void PublishList(const std::vector<stored_object>& aObjects) const;
  /// Tells other daemons that nothing changed up to mSyncedRevision.
  void PublishHeartbeat() const;
  /// Notes whether the newest state is the first one here since the store was restored from a copy.
  /// `aFrom`: the position before it.
  bool NoteEra(std::uint64_t aFrom);
  /// Whether these objects are the same as those of the copy.
  bool IsCopy(const std::vector<stored_object>& aObjects) const;
  /// Whether an object of the copy is not among these.
  bool LacksKnownObject(const std::vector<stored_object>& aObjects) const;
  /// Notes a failed call in the contact to the store.
  void RecordFailure(const store_failure& aFailure);
  kj::Promise<void> OnFailure(const store_failure& aFailure);
  void OnSuccess();
  void NoteRevision(const stored_object& aObject);

  store_follower_settings mSettings;
  object_store& mStore;
  kj::Timer& mTimer;
  const clock_source& mClock;
  on_list mOnList;
  on_change mOnChange;
  on_read mOnRead;
  fetch_from_peer mFetchFromPeer;
  std::function<bool()> mIsReceiving = [] { return false; };
  object_map mObjects;    ///< as of mSyncedRevision
  std::size_t mBytes = 0; ///< of the names and values in mObjects
  object_history mHistory;
  instant mReadAt; ///< when a daemon read the newest change from the store, as far as known
  std::vector<stored_object> mPartialList;      ///< pages read so far of the current list
  std::uint64_t mListRevision = 0;              ///< revision of the first page of that list
  std::vector<change_batch> mAppliedDuringList; ///< batches applied while that list is read
  std::uint64_t mSyncedRevision = 0;            ///< all changes up to it have been applied
  std::uint64_t mNewestRevision = 0;            ///< of the newest change known
  std::uint64_t mLastBatchEnd = 0;   ///< revision at the end of the last list or batch with changes
  std::uint64_t mRemoteRevision = 0; ///< newest revision known from other daemons
  std::optional<instant> mRemoteRevisionAt; ///< when it became known; empty once handled
  std::uint32_t mWatchesWithChanges = 0;    ///< consecutive watches that returned changes
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> mInterrupt;
  bool mPaused = false;
  std::optional<instant> mFetchFromPeersUntil; ///< afterwards the store is listed
  bool mNeedList = true;
  bool mListed = false;
  bool mFedByPeers = false;  ///< no watch is open; other daemons relay changes
  bool mAsksPeers = false;   ///< other daemons are asked for a change that one reported
  bool mNeedCatchUp = false; ///< a relayed change did not arrive
  std::optional<std::chrono::milliseconds> mConfirmationTimeout; ///< empty: no limit
  instant mConfirmedAt;
  bool mListing = false;             ///< the current step lists from the store
  std::optional<instant> mAwaitedAt; ///< when a daemon was last known to read a newer state
  store_contact mContact;
  instant mOutageSince{};
  instant mOutageEndedAt{};
  std::uint32_t mFailures = 0;
  std::mt19937_64 mRandom;
  bool mProbing = false;
  kj::Promise<void> mProbe = nullptr;
};

} // namespace skylarkwind
