#include "store_follower_p.h"

#include "skylarkwind/http_pool.h"
#include "skylarkwind/log.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// Removals within this time after an outage may be lapses of entries whose servers live.
constexpr std::chrono::milliseconds kLapsesSeenFor{ 2'000 };
/// The change is in the store already when a daemon that was told of it asks for it.
constexpr std::chrono::milliseconds kCatchUpWait{ 300 };
/// Neighbours are asked for a time within these bounds before a call to the store. It is drawn, so
/// that of many daemons that start together only a few call the store, and the others ask those.
constexpr std::chrono::milliseconds kLeastAsking{ 300 };
constexpr std::chrono::milliseconds kMostAsking{ 4'000 };
/// Pause between two neighbours.
constexpr std::chrono::milliseconds kAskAgain{ 80 };
/// News that was not passed on within this time is asked for. It takes no call to the store.
constexpr std::chrono::milliseconds kNewsWithinNeighbours{ 250 };

} // namespace

store_follower::store_follower(store_follower_settings aSettings,
                               object_store& aStore,
                               kj::Timer& aTimer,
                               const clock_source& aClock,
                               on_list aOnList,
                               on_change aOnChange,
                               on_read aOnRead)
  : mSettings(std::move(aSettings))
  , mStore(aStore)
  , mTimer(aTimer)
  , mClock(aClock)
  , mOnList(std::move(aOnList))
  , mOnChange(std::move(aOnChange))
  , mOnRead(std::move(aOnRead))
  , mRandom(mSettings.mRandomSeed)
{
}

kj::Promise<void>
store_follower::Run()
{
  auto interrupt = kj::newPromiseAndFulfiller<void>();
  mInterrupt = kj::mv(interrupt.fulfiller);
  return Step().exclusiveJoin(kj::mv(interrupt.promise)).then([this] { return Run(); });
}

kj::Promise<void>
store_follower::Step()
{
  if (mWaiting) {
    return kj::NEVER_DONE;
  }
  if (mNeedList) {
    return mPassedOn && mAsk ? TakeFromNeighbour() : List();
  }
  if (!mPassedOn) {
    return Watch(mSettings.mWatch);
  }
  return mCatchUp ? CatchUp() : kj::Promise<void>{ kj::NEVER_DONE };
}

kj::Promise<void>
store_follower::TakeFromNeighbour()
{
  const auto now = mClock.Now();
  if (!mAskingUntil) {
    std::uniform_int_distribution<std::int64_t> asking{ kLeastAsking.count(), kMostAsking.count() };
    mAskingUntil = now + std::chrono::milliseconds{ asking(mRandom) };
  }
  if (now >= *mAskingUntil) {
    mAskingUntil.reset();
    return List();
  }
  return mAsk(mSettings.mKind).then([this](std::optional<change_batch> aBatch) {
    return OnNeighbour(std::move(aBatch));
  });
}

kj::Promise<void>
store_follower::OnNeighbour(std::optional<change_batch> aBatch)
{
  // Neighbours may lack the news that this daemon was told of, or be behind it.
  const auto least = std::max(mAt, mToldAt ? mToldOf : 0);
  if (aBatch && aBatch->mWhole && aBatch->mTo >= least) {
    Take(*aBatch);
    return kj::READY_NOW;
  }
  return mTimer.afterDelay(ToKj(kAskAgain));
}

void
store_follower::Remember(const object_change& aChange)
{
  if (aChange.mRemoved) {
    mObjects.erase(aChange.mObject.mName);
  } else {
    mObjects[aChange.mObject.mName] = aChange.mObject;
  }
}

std::optional<change_batch>
store_follower::Whole() const
{
  if (!mListed || mNeedList || InOutage()) {
    return std::nullopt;
  }
  change_batch batch{ mSettings.mKind, mLastChange, mAt, true, AfterOutage(), {} };
  for (const auto& [name, object] : mObjects) {
    batch.mChanges.push_back({ object, false });
  }
  return batch;
}

void
store_follower::SetWaiting(bool aWaiting)
{
  if (mWaiting != aWaiting) {
    mWaiting = aWaiting;
    Interrupt();
  }
}

kj::Promise<void>
store_follower::CatchUp()
{
  mCatchUp = false;
  if (mAsk) {
    mNeedList = true;
    return kj::READY_NOW;
  }
  const auto before = mLastChange;
  return Watch(kCatchUpWait).then([this, before] {
    // The store may drop its history without a word to open watches; a list is right in any case.
    mNeedList = mNeedList || mLastChange == before;
  });
}

void
store_follower::Interrupt()
{
  KJ_IF_MAYBE (interrupt, mInterrupt) {
    (*interrupt)->fulfill();
  }
}

void
store_follower::ListAgain()
{
  mItems.clear();
  mNeedList = true;
  Interrupt();
}

void
store_follower::SetPassedOn(bool aPassedOn)
{
  if (mPassedOn == aPassedOn || (aPassedOn && !mAsk && (mNeedList || InOutage()))) {
    return;
  }
  mPassedOn = aPassedOn;
  if (mAsk && aPassedOn) {
    // Whether the store is away is for those to find out who follow it.
    mOutageSince = {};
    mFailures = 0;
  }
  if (!mNeedList || mAsk) {
    Interrupt();
  }
}

bool
store_follower::OnBatch(const change_batch& aBatch)
{
  if (!mPassedOn || aBatch.mTo <= mAt || (mNeedList && !(mAsk && aBatch.mWhole))) {
    return false;
  }
  if (!aBatch.mWhole && mAt < aBatch.mFrom) {
    // A batch before this one was lost.
    mToldOf = std::max(mToldOf, mLastChange + 1);
    mToldAt = mToldAt.value_or(mClock.Now());
    return false;
  }
  const bool listed = mNeedList;
  Take(aBatch);
  if (listed) {
    Interrupt();
  }
  return true;
}

void
store_follower::Take(const change_batch& aBatch)
{
  mAt = mChangedAt = aBatch.mTo;
  if (!aBatch.mWhole) {
    for (const auto& change : aBatch.mChanges) {
      NoteRevision(change.mObject);
      Remember(change);
      mOnChange(change, aBatch.mAfterOutage);
    }
    return;
  }
  mLastChange = std::max(mLastChange, aBatch.mFrom);
  mNeedList = false;
  mListed = true;
  mAskingUntil.reset();
  mObjects.clear();
  std::vector<stored_object> objects;
  for (const auto& change : aBatch.mChanges) {
    NoteRevision(change.mObject);
    Remember(change);
    objects.push_back(change.mObject);
  }
  mOnList(objects, aBatch.mAfterOutage);
}

void
store_follower::OnNewsElsewhere(std::uint64_t aRevision)
{
  if (aRevision <= mLastChange || aRevision <= mToldOf || (mPassedOn && mAsk && aRevision <= mAt)) {
    return;
  }
  mToldOf = aRevision;
  mToldAt = mToldAt.value_or(mClock.Now());
}

void
store_follower::OnTick(instant aNow)
{
  if (!mToldAt) {
    return;
  }
  const bool fromNeighbours = mPassedOn && mAsk;
  // What neighbours tell covers everything up to its revision, a removal too.
  if (mLastChange >= mToldOf || (fromNeighbours && mAt >= mToldOf)) {
    mToldAt.reset();
    return;
  }
  if (aNow - *mToldAt < (fromNeighbours ? kNewsWithinNeighbours : mSettings.mNewsWithin)) {
    return;
  }
  if (fromNeighbours) {
    mToldAt = aNow;
    if (!mNeedList) {
      mCatchUp = true;
      Interrupt();
    }
    return;
  }
  mToldAt.reset();
  if (mPassedOn && !mNeedList) {
    mCatchUp = true;
    Interrupt();
    return;
  }
  ListAgain();
}

kj::Promise<void>
store_follower::List()
{
  const std::string after = mItems.empty() ? std::string{} : mItems.back().mName;
  return mStore.List(mSettings.mKind, after, false).then([this](store_result<object_page> aResult) {
    return OnPage(std::move(aResult));
  });
}

kj::Promise<void>
store_follower::OnPage(store_result<object_page> aResult)
{
  if (const auto* failure = std::get_if<store_failure>(&aResult)) {
    mItems.clear();
    return OnFailure(*failure);
  }
  auto& page = std::get<object_page>(aResult);
  OnSuccess();
  if (mItems.empty()) {
    // Changes between the pages are seen again by the watch.
    mListedAt = page.mAt;
  }
  const bool more = page.mMore && !page.mObjects.empty();
  std::move(page.mObjects.begin(), page.mObjects.end(), std::back_inserter(mItems));
  if (more) {
    return List();
  }
  mAt = mListedAt;
  mObjects.clear();
  for (const auto& object : mItems) {
    NoteRevision(object);
    Remember({ object, false });
  }
  mChangedAt = mAt;
  mNeedList = false;
  mListed = true;
  mOnList(mItems, AfterOutage());
  PassOnList(mItems);
  mItems.clear();
  return kj::READY_NOW;
}

void
store_follower::PassOnList(const std::vector<stored_object>& aObjects) const
{
  change_batch batch{ mSettings.mKind, mLastChange, mAt, true, AfterOutage(), {} };
  for (const auto& object : aObjects) {
    batch.mChanges.push_back({ object, false });
  }
  mOnRead(batch);
}

kj::Promise<void>
store_follower::Watch(std::chrono::milliseconds aWait)
{
  return mStore.Watch(mSettings.mKind, mAt, aWait)
    .then([this](store_result<object_changes> aResult) -> kj::Promise<void> {
      if (const auto* failure = std::get_if<store_failure>(&aResult)) {
        if (failure->mCause == store_failure::cause::HistoryGone) {
          Log(log_level::Info, "store", "the history of " + mSettings.mKind + " is gone; listing");
          mNeedList = true;
          return kj::READY_NOW;
        }
        return OnFailure(*failure);
      }
      auto& changes = std::get<object_changes>(aResult);
      OnSuccess();
      if (!changes.mChanges.empty() && changes.mAt <= mAt) {
        // A batch that came meanwhile holds these changes and newer ones.
        return kj::READY_NOW;
      }
      mAt = std::max(mAt, changes.mAt);
      if (changes.mChanges.empty()) {
        mBusyWatches = 0;
        return kj::READY_NOW;
      }
      for (const auto& change : changes.mChanges) {
        NoteRevision(change.mObject);
        Remember(change);
        mOnChange(change, AfterOutage());
      }
      // Nothing changed between the end of the last batch and the begin of this watch.
      mOnRead(
        { mSettings.mKind, mChangedAt, mAt, false, AfterOutage(), std::move(changes.mChanges) });
      mChangedAt = mAt;
      const auto doublings = std::min<std::uint32_t>(mBusyWatches++, 4);
      return mTimer.afterDelay(
        ToKj(std::min(mSettings.mCoalesceMost, mSettings.mCoalesce * (1U << doublings))));
    });
}

void
store_follower::NoteRevision(const stored_object& aObject)
{
  mLastChange = std::max(mLastChange, aObject.mRevision);
}

void
store_follower::OnSuccess()
{
  const auto now = mClock.Now();
  if (mOutageSince != instant{}) {
    const auto lasted = std::chrono::duration_cast<std::chrono::milliseconds>(now - mOutageSince);
    Log(log_level::Info,
        "store",
        "regained kind=" + mSettings.mKind + " after_ms=" + std::to_string(lasted.count()));
    if (lasted >= mSettings.mLapseAfter) {
      mOutageEndedAt = now;
    }
    mOutageSince = {};
  }
  mFailures = 0;
}

bool
store_follower::AfterOutage() const
{
  return mOutageEndedAt != instant{} && mClock.Now() - mOutageEndedAt < kLapsesSeenFor;
}

kj::Promise<void>
store_follower::OnFailure(const store_failure& aFailure)
{
  if (mOutageSince == instant{}) {
    mOutageSince = mClock.Now();
    Log(log_level::Warning,
        "store",
        "lost kind=" + mSettings.mKind + " reason=\"" + aFailure.mReason + '"');
  }
  // The store may drop its history while it is away, and a watch that begins right before that
  // never hears of the changes in between.
  mNeedList = true;
  const auto doublings = std::min<std::uint32_t>(mFailures, 8);
  const auto ceiling = std::min(mSettings.mLongestPause, mSettings.mFirstPause * (1U << doublings));
  ++mFailures;
  std::uniform_int_distribution<std::int64_t> pause{ ceiling.count() / 4, ceiling.count() };
  return mTimer.afterDelay(ToKj(std::chrono::milliseconds{ pause(mRandom) }));
}

} // namespace skylarkwind
