#pragma once

#include "change_batch_p.h"

#include "skylarkwind/clock.h"
#include "skylarkwind/object_store.h"

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

struct store_follower_settings
{
  std::string mKind;
  /// Longest time of one watch. A watch whose connection has gone silent is noticed after it, or
  /// when another daemon tells of news that did not come.
  std::chrono::milliseconds mWatch{ 3'000 };
  /// Pause after a change, which doubles up to the second value while changes go on, so that a
  /// series of them takes few calls.
  std::chrono::milliseconds mCoalesce{ 100 };
  std::chrono::milliseconds mCoalesceMost{ 500 };
  /// News elsewhere that has not come here within this time makes the open call begin again.
  std::chrono::milliseconds mNewsWithin{ 1'000 };
  std::chrono::milliseconds mFirstPause{ 50 };
  std::chrono::milliseconds mLongestPause{ 1'000 };
  /// An outage of at least this length may have let entries of live servers lapse.
  std::chrono::milliseconds mLapseAfter{ 1'500 };
  std::uint64_t mRandomSeed = 1;
};

/// Follows all objects of one kind: a list, then watches, or batches that another daemon passes on.
/// Failed calls are repeated after a pause with full jitter that doubles up to a limit.
class store_follower
{
public:
  using on_list = std::function<void(const std::vector<stored_object>&, bool aAfterOutage)>;
  using on_change = std::function<void(const object_change&, bool aAfterOutage)>;
  /// What this daemon has read itself, to be passed on.
  using on_read = std::function<void(const change_batch&)>;
  /// Asks a neighbour for all objects of a kind.
  using ask_neighbour =
    std::function<kj::Promise<std::optional<change_batch>>(const std::string& aKind)>;

  store_follower(store_follower_settings aSettings,
                 object_store& aStore,
                 kj::Timer& aTimer,
                 const clock_source& aClock,
                 on_list aOnList,
                 on_change aOnChange,
                 on_read aOnRead);

  /// Runs until it is dropped.
  kj::Promise<void> Run();
  bool Listed() const { return mListed; }
  /// For the next watch and the next pause on.
  void SetPace(std::chrono::milliseconds aWatch, std::chrono::milliseconds aLongestPause)
  {
    mSettings.mWatch = aWatch;
    mSettings.mLongestPause = aLongestPause;
  }
  /// Revision of the newest object that was seen. It is the same in all daemons that have seen the
  /// same changes.
  std::uint64_t LastChange() const { return mLastChange; }
  /// Another daemon has seen a change at this revision.
  void OnNewsElsewhere(std::uint64_t aRevision);
  /// Where this daemon can learn what was not passed on to it without a call to the store.
  void SetNeighbours(ask_neighbour aAsk) { mAsk = std::move(aAsk); }
  /// While set, nothing is called: who follows the store is not known yet.
  void SetWaiting(bool aWaiting);
  /// Whether other daemons pass the changes on, so that no watch is open. Without neighbours to ask
  /// it takes effect once the objects have been listed and the store is reached.
  void SetPassedOn(bool aPassedOn);
  /// What another daemon passes on. Only used while no call to the store is open; false when it is
  /// not used.
  bool OnBatch(const change_batch& aBatch);
  /// All objects as this daemon knows them; empty before it does, and while it may miss changes.
  std::optional<change_batch> Whole() const;
  const std::string& Kind() const { return mSettings.mKind; }
  /// Begins the open call again, once for each news elsewhere that did not come here in time. A
  /// daemon without a watch makes one call instead.
  void OnTick(instant aNow);
  bool InOutage() const { return mOutageSince != instant{}; }

private:
  kj::Promise<void> Step();
  kj::Promise<void> List();
  kj::Promise<void> OnPage(store_result<object_page> aResult);
  kj::Promise<void> Watch(std::chrono::milliseconds aWait);
  /// One call for what was not passed on.
  kj::Promise<void> CatchUp();
  /// All objects from a neighbour; when none has them for a time, a list of the store.
  kj::Promise<void> TakeFromNeighbour();
  kj::Promise<void> OnNeighbour(std::optional<change_batch> aBatch);
  void Take(const change_batch& aBatch);
  void Remember(const object_change& aChange);
  void Interrupt();
  void ListAgain();
  void PassOnList(const std::vector<stored_object>& aObjects) const;
  kj::Promise<void> OnFailure(const store_failure& aFailure);
  void OnSuccess();
  void NoteRevision(const stored_object& aObject);
  bool AfterOutage() const;

  store_follower_settings mSettings;
  object_store& mStore;
  kj::Timer& mTimer;
  const clock_source& mClock;
  on_list mOnList;
  on_change mOnChange;
  on_read mOnRead;
  ask_neighbour mAsk;
  std::map<std::string, stored_object> mObjects; ///< as of mAt
  std::vector<stored_object> mItems;             ///< of a list that is not complete
  std::uint64_t mListedAt = 0;                   ///< revision of the first page
  std::uint64_t mAt = 0;
  std::uint64_t mLastChange = 0;
  std::uint64_t mChangedAt = 0;   ///< end of the last list or batch with changes
  std::uint64_t mToldOf = 0;      ///< revision of the last news from elsewhere
  std::optional<instant> mToldAt; ///< empty when it has come or was acted on
  std::uint32_t mBusyWatches = 0; ///< watches in a row that brought changes
  kj::Maybe<kj::Own<kj::PromiseFulfiller<void>>> mInterrupt;
  bool mWaiting = false;
  std::optional<instant> mAskingUntil; ///< neighbours, from then on the store
  bool mNeedList = true;
  bool mListed = false;
  bool mPassedOn = false; ///< no watch is open; others pass changes on
  bool mCatchUp = false;  ///< something that was passed on did not arrive
  instant mOutageSince{};
  instant mOutageEndedAt{};
  std::uint32_t mFailures = 0;
  std::mt19937_64 mRandom;
};

} // namespace skylarkwind
