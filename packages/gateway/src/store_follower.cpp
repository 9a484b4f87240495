#include "store_follower_p.h"

#include "skylarkwind/http_pool.h"
#include "skylarkwind/log.h"
#include "skylarkwind/store_position.h"

#include <algorithm>
#include <set>
#include <string_view>

namespace skylarkwind {

namespace {

/// Removals within this time after an outage may be expired entries of servers that are alive.
constexpr std::chrono::milliseconds kLapseWindow{ 2'000 };
/// Duration of the watch that recovers a missed change. It is short because the change is already
/// in the store when another daemon has reported it.
constexpr std::chrono::milliseconds kCatchUpWait{ 300 };
/// Bounds of the random time for which snapshots are requested from other daemons before the store
/// is called. Of many daemons that start together, only the few with the shortest times call the
/// store; the others fetch the snapshot from them.
constexpr std::chrono::milliseconds kMinPeerFetch{ 300 };
constexpr std::chrono::milliseconds kMaxPeerFetch{ 4'000 };
/// Pause between two attempts to fetch a snapshot from another daemon.
constexpr std::chrono::milliseconds kPeerRetryPause{ 80 };
/// How long a notice that another daemon reads from the store is valid. It is repeated more often.
constexpr std::chrono::milliseconds kNoticeValidity{ 500 };
/// A reported revision that was not relayed within this time is requested from another daemon. This
/// takes no call to the store.
constexpr std::chrono::milliseconds kPeerChangeTimeout{ 250 };

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
  , mReadAt(aClock.Now())
  , mConfirmedAt(aClock.Now())
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
  mListing = false;
  if (mPaused) {
    return kj::NEVER_DONE;
  }
  if (mNeedList) {
    return mFetchFromPeer && (mFedByPeers || mAsksPeers) ? FetchFromPeer() : List();
  }
  if (!mFedByPeers) {
    return Watch(mSettings.mWatch);
  }
  return mNeedCatchUp ? CatchUp() : kj::Promise<void>{ kj::NEVER_DONE };
}

kj::Promise<void>
store_follower::FetchFromPeer()
{
  const auto now = mClock.Now();
  if (!mFetchFromPeersUntil) {
    const auto longest =
      mListed ? std::min(kMaxPeerFetch, mSettings.mMaxCatchUpFetch) : kMaxPeerFetch;
    std::uniform_int_distribution<std::int64_t> duration{ std::min(kMinPeerFetch, longest).count(),
                                                          longest.count() };
    mFetchFromPeersUntil = now + std::chrono::milliseconds{ duration(mRandom) };
  }
  // The store may be silent to this daemon, so other daemons are asked while it is called.
  if ((!mFedByPeers || (now >= *mFetchFromPeersUntil && !mIsReceiving())) && MayProbe(now)) {
    Probe();
  }
  if (now >= *mFetchFromPeersUntil) {
    mFetchFromPeersUntil.reset();
    return kj::READY_NOW;
  }
  auto timeout = mTimer.afterDelay(
    ToKj(std::chrono::ceil<std::chrono::milliseconds>(*mFetchFromPeersUntil - now)));
  return mFetchFromPeer(mSettings.mKind, NeededRevision())
    .exclusiveJoin(kj::mv(timeout))
    .then([this] { return mTimer.afterDelay(ToKj(kPeerRetryPause)); });
}

std::uint64_t
store_follower::NeededRevision() const
{
  return std::max(mSyncedRevision, mRemoteRevisionAt ? mRemoteRevision : 0);
}

void
store_follower::OnSameCopy(std::uint64_t aRevision)
{
  if (!mListed || aRevision < NeededRevision()) {
    return;
  }
  mSyncedRevision = std::max(mSyncedRevision, aRevision);
  if (mNeedList && (mFedByPeers || mAsksPeers)) {
    EndRequests();
    Interrupt();
  }
}

void
store_follower::ReplaceObjects(const std::vector<stored_object>& aObjects, std::uint64_t aFrom)
{
  const auto before = std::exchange(mObjects, {});
  mBytes = 0;
  for (const auto& object : aObjects) {
    NoteRevision(object);
    mObjects[object.mName] = object;
    mBytes += object.mName.size() + object.mValue.size();
  }
  mHistory.Begin(aFrom, mSyncedRevision);
  mHistory.KeepDifferences(before, mObjects);
}

void
store_follower::UpdateObject(const object_change& aChange)
{
  const auto before = mObjects.find(aChange.mObject.mName);
  mHistory.Keep(aChange.mObject.mName,
                before == mObjects.end() ? std::nullopt : std::optional{ before->second });
  const auto size = [](const stored_object& aObject) {
    return aObject.mName.size() + aObject.mValue.size();
  };
  mBytes -= before == mObjects.end() ? 0 : size(before->second);
  if (aChange.mRemoved) {
    mObjects.erase(aChange.mObject.mName);
  } else {
    mObjects[aChange.mObject.mName] = aChange.mObject;
    mBytes += size(aChange.mObject);
  }
}

void
store_follower::SetTiming(std::chrono::milliseconds aWatch, std::chrono::milliseconds aMaxBackoff)
{
  const bool isShorter = aWatch < mSettings.mWatch;
  mSettings.mWatch = aWatch;
  mSettings.mMaxBackoff = aMaxBackoff;
  if (isShorter && !mFedByPeers && !mNeedList) {
    Interrupt();
  }
}

std::optional<change_batch>
store_follower::Snapshot() const
{
  if (!mListed) {
    return std::nullopt;
  }
  change_batch batch{ mSettings.mKind, mNewestRevision, mSyncedRevision, true, AfterOutage(), {} };
  for (const auto& [name, object] : mObjects) {
    batch.mChanges.push_back({ object, false });
  }
  return batch;
}

void
store_follower::SetPaused(bool aPaused)
{
  if (mPaused != aPaused) {
    mPaused = aPaused;
    Interrupt();
  }
}

kj::Promise<void>
store_follower::CatchUp()
{
  mNeedCatchUp = false;
  const auto revisionBefore = mNewestRevision;
  return Watch(kCatchUpWait).then([this, revisionBefore] {
    // The store may drop its history without notifying open watches; a list is always correct.
    mNeedList = mNeedList || mNewestRevision == revisionBefore;
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
store_follower::RestartList()
{
  mNeedList = true;
  Interrupt();
}

void
store_follower::SetFedByPeers(bool aFedByPeers)
{
  if (mFedByPeers == aFedByPeers || (aFedByPeers && !mFetchFromPeer && (mNeedList || InOutage()))) {
    return;
  }
  mFedByPeers = aFedByPeers;
  if (mFetchFromPeer && aFedByPeers) {
    mOutageSince = {};
    mFailures = 0;
  }
  if (!mNeedList || mFetchFromPeer) {
    Interrupt();
  }
}

void
store_follower::Confirm()
{
  mConfirmedAt = mClock.Now();
}

bool
store_follower::IsUnconfirmed(instant aNow) const
{
  return mConfirmationTimeout && aNow - mConfirmedAt >= *mConfirmationTimeout;
}

void
store_follower::ProbeIfUnconfirmed(instant aNow)
{
  const bool receiving = mStore.IsReceiving(mSettings.mKind) || (mFedByPeers && mIsReceiving()) ||
                         (mAwaitedAt && aNow - *mAwaitedAt < kNoticeValidity);
  if (mPaused || mListing || receiving || !IsUnconfirmed(aNow) || !MayProbe(aNow)) {
    return;
  }
  const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(aNow - mConfirmedAt);
  Log(log_level::Info,
      "store",
      "the newest revision is not confirmed, listing kind=" + mSettings.mKind +
        " confirmed_ms=" + std::to_string(age.count()));
  Probe();
}

bool
store_follower::MayProbe(instant aNow) const
{
  const bool needsStore = !mFedByPeers || !mListed;
  const auto pause =
    needsStore ? mSettings.mMaxBackoff : mConfirmationTimeout.value_or(mSettings.mMaxBackoff);
  return !mProbing && (mContact.mFailures == 0 || aNow - mContact.mFailedAt >= pause);
}

void
store_follower::Probe()
{
  mPartialList.clear();
  mAppliedDuringList.clear();
  mProbing = true;
  mProbe = ReadPages()
             .then([this](const std::optional<store_failure>& aFailure) {
               mProbing = false;
               if (aFailure) {
                 RecordFailure(*aFailure);
               } else {
                 // An open watch has confirmed nothing, as its connection may be silent.
                 Interrupt();
               }
             })
             .eagerlyEvaluate(nullptr);
}

bool
store_follower::OnBatch(const change_batch& aBatch, bool aFresh)
{
  if (mListed && aBatch.IsHeartbeat() && aBatch.mTo == mSyncedRevision) {
    Confirm();
    return !aBatch.mForwarded;
  }
  if (aBatch.mTo <= mSyncedRevision || (!aBatch.mIsSnapshot && !mListed)) {
    return false;
  }
  if (!aBatch.mIsSnapshot &&
      (mSyncedRevision < aBatch.mFrom || EraOf(mSyncedRevision) != EraOf(aBatch.mTo))) {
    // An earlier batch was lost, or the store was restored from a copy, after which only a whole
    // state can be taken over.
    mRemoteRevision = std::max(mRemoteRevision, aBatch.mTo);
    mRemoteRevisionAt = mRemoteRevisionAt.value_or(mClock.Now());
    return false;
  }
  const bool neededList = mNeedList;
  Apply(aBatch);
  if (aFresh) {
    Confirm();
  }
  // A watcher lists all the same, as its own connection has failed.
  if (mFedByPeers && mSyncedRevision >= NeededRevision()) {
    EndRequests();
  }
  if (neededList && !mNeedList) {
    Interrupt();
  }
  return !aBatch.IsHeartbeat() || !aBatch.mForwarded;
}

void
store_follower::Apply(const change_batch& aBatch)
{
  if (mListing || mProbing) {
    mAppliedDuringList.push_back(aBatch);
  }
  const auto from = std::exchange(mSyncedRevision, aBatch.mTo);
  NoteEra(from);
  if (aBatch.IsHeartbeat()) {
    return;
  }
  mLastBatchEnd = aBatch.mTo;
  mReadAt = mClock.Now() - aBatch.mAge;
  if (!aBatch.mIsSnapshot) {
    mHistory.Begin(from, aBatch.mTo);
    for (const auto& change : aBatch.mChanges) {
      NoteRevision(change.mObject);
      UpdateObject(change);
      mOnChange(change, aBatch.mAfterOutage);
    }
    return;
  }
  mNewestRevision = std::max(mNewestRevision, aBatch.mFrom);
  mListed = true;
  EndRequests();
  std::vector<stored_object> objects;
  for (const auto& change : aBatch.mChanges) {
    objects.push_back(change.mObject);
  }
  ReplaceObjects(objects, from);
  mOnList(objects, aBatch.mAfterOutage || AfterOutage());
}

void
store_follower::EndRequests()
{
  mNeedList = false;
  mAsksPeers = false;
  mFetchFromPeersUntil.reset();
}

void
store_follower::OnRemoteRevision(std::uint64_t aRevision)
{
  if (aRevision <= mSyncedRevision || aRevision <= mRemoteRevision) {
    return;
  }
  mRemoteRevision = aRevision;
  mRemoteRevisionAt = mRemoteRevisionAt.value_or(mClock.Now());
}

void
store_follower::OnTick(instant aNow)
{
  ProbeIfUnconfirmed(aNow);
  if (mListed && !mFedByPeers && !mNeedList && EraOf(mSyncedRevision) < mStore.Era()) {
    // Another call has shown that the store was restored from a copy. The open watch is of the
    // history before that, and its connection may be silent.
    RestartList();
  }
  if (!mRemoteRevisionAt) {
    return;
  }
  if (mSyncedRevision >= mRemoteRevision) {
    mRemoteRevisionAt.reset();
    return;
  }
  // An open watch returns the change soon, unless its connection is silent.
  const bool watching = !mFedByPeers && !mNeedList && !IsUnconfirmed(aNow);
  const auto timeout =
    mFetchFromPeer && !watching ? kPeerChangeTimeout : mSettings.mRemoteChangeTimeout;
  if (aNow - *mRemoteRevisionAt < timeout) {
    return;
  }
  if (mFetchFromPeer) {
    mRemoteRevisionAt = aNow;
    if (!mAsksPeers) {
      mAsksPeers = true;
      RestartList();
    }
    return;
  }
  mRemoteRevisionAt.reset();
  if (mFedByPeers && !mNeedList) {
    mNeedCatchUp = true;
    Interrupt();
    return;
  }
  RestartList();
}

void
store_follower::ReapplyNewer()
{
  for (const auto& batch : std::exchange(mAppliedDuringList, {})) {
    if (batch.mTo > mSyncedRevision) {
      Apply(batch);
    }
  }
}

kj::Promise<void>
store_follower::List()
{
  mProbe = nullptr;
  mProbing = false;
  mPartialList.clear();
  mAppliedDuringList.clear();
  mListing = true;
  return ReadPages().then([this](const std::optional<store_failure>& aFailure) {
    mListing = false;
    return aFailure ? OnFailure(*aFailure) : kj::Promise<void>{ kj::READY_NOW };
  });
}

kj::Promise<std::optional<store_failure>>
store_follower::ReadPages()
{
  const std::string after = mPartialList.empty() ? std::string{} : mPartialList.back().mName;
  return mStore.List(mSettings.mKind, after, false)
    .then([this](store_result<object_page> aResult) -> kj::Promise<std::optional<store_failure>> {
      if (const auto* failure = std::get_if<store_failure>(&aResult)) {
        return std::optional{ *failure };
      }
      auto& page = std::get<object_page>(aResult);
      if (mListed && EraOf(page.mAt) < EraOf(mSyncedRevision)) {
        // Another daemon has relayed what the store holds since it was restored from a copy.
        return std::optional{ store_failure{ store_failure::cause::NoAnswer,
                                             "the list is older than the store's restoration" } };
      }
      OnSuccess();
      if (!mPartialList.empty() && EraOf(page.mAt) != EraOf(mListRevision)) {
        // The store was restored between the pages, which would make up a state that never was.
        mPartialList.clear();
        return ReadPages();
      }
      if (mPartialList.empty()) {
        // The watch starts at the first page's revision, so that it returns changes between the
        // pages.
        mListRevision = page.mAt;
      }
      const bool more = page.mMore && !page.mObjects.empty();
      std::move(page.mObjects.begin(), page.mObjects.end(), std::back_inserter(mPartialList));
      if (more) {
        return ReadPages();
      }
      OnListed(std::exchange(mPartialList, {}));
      return std::optional<store_failure>{};
    });
}

void
store_follower::OnListed(const std::vector<stored_object>& aObjects)
{
  Confirm();
  if (!mNeedList && mListRevision < mSyncedRevision) {
    // What was relayed meanwhile is newer.
    return;
  }
  const auto from = std::exchange(mSyncedRevision, mListRevision);
  const bool restored = NoteEra(from);
  // A heartbeat states that nothing has changed since the last batch, which does not hold across a
  // restoration of the store: other daemons may have seen changes that were lost in it.
  if (!mNeedList && !restored && IsCopy(aObjects)) {
    PublishHeartbeat();
    return;
  }
  if (LacksKnownObject(aObjects)) {
    // A removal leaves no object with its revision, and other daemons may not know of it.
    mNewestRevision = std::max(mNewestRevision, mListRevision);
  }
  ReplaceObjects(aObjects, from);
  mLastBatchEnd = mSyncedRevision;
  mReadAt = mClock.Now();
  mListed = true;
  EndRequests();
  mOnList(aObjects, AfterOutage());
  PublishList(aObjects);
  ReapplyNewer();
}

bool
store_follower::NoteEra(std::uint64_t aFrom)
{
  if (!mListed || EraOf(mSyncedRevision) <= EraOf(aFrom)) {
    return false;
  }
  Log(log_level::Warning,
      "store",
      "objects of a store that was restored from a copy kind=" + mSettings.mKind +
        " era=" + std::to_string(EraOf(mSyncedRevision)));
  // The entries of servers that were written after the copy was taken are missing from it.
  mOutageEndedAt = mClock.Now();
  return true;
}

bool
store_follower::IsCopy(const std::vector<stored_object>& aObjects) const
{
  return aObjects.size() == mObjects.size() &&
         std::all_of(aObjects.begin(), aObjects.end(), [this](const stored_object& aObject) {
           const auto found = mObjects.find(aObject.mName);
           return found != mObjects.end() && found->second.mRevision == aObject.mRevision;
         });
}

bool
store_follower::LacksKnownObject(const std::vector<stored_object>& aObjects) const
{
  std::set<std::string_view> listed;
  for (const auto& object : aObjects) {
    listed.insert(object.mName);
  }
  return std::any_of(mObjects.begin(), mObjects.end(), [&](const auto& aKnown) {
    return !listed.contains(aKnown.first);
  });
}

void
store_follower::PublishHeartbeat() const
{
  mOnRead({ mSettings.mKind, mLastBatchEnd, mSyncedRevision, false, AfterOutage(), {} });
}

void
store_follower::PublishList(const std::vector<stored_object>& aObjects) const
{
  change_batch batch{ mSettings.mKind, mNewestRevision, mSyncedRevision, true, AfterOutage(), {} };
  for (const auto& object : aObjects) {
    batch.mChanges.push_back({ object, false });
  }
  mOnRead(batch);
}

kj::Promise<void>
store_follower::Watch(std::chrono::milliseconds aWait)
{
  return mStore.Watch(mSettings.mKind, mSyncedRevision, aWait)
    .then([this](store_result<object_changes> aResult) -> kj::Promise<void> {
      if (const auto* failure = std::get_if<store_failure>(&aResult)) {
        if (failure->mCause == store_failure::cause::HistoryGone) {
          Log(log_level::Info,
              "store",
              "the watch history of " + mSettings.mKind + " has expired; listing again");
          mNeedList = true;
          return kj::READY_NOW;
        }
        return OnFailure(*failure);
      }
      auto& changes = std::get<object_changes>(aResult);
      OnSuccess();
      Confirm();
      if (changes.mChanges.empty()) {
        mSyncedRevision = std::max(mSyncedRevision, changes.mAt);
        mWatchesWithChanges = 0;
        PublishHeartbeat();
        return kj::READY_NOW;
      }
      if (changes.mAt <= mSyncedRevision) {
        // A batch that arrived in the meantime contains these changes and newer ones.
        return Coalesce();
      }
      // The batch begins where the last one with changes ended, as nothing changed between that and
      // the start of this watch.
      const change_batch batch{ mSettings.mKind, mLastBatchEnd, changes.mAt,
                                false,           AfterOutage(), std::move(changes.mChanges) };
      Apply(batch);
      mOnRead(batch);
      return Coalesce();
    });
}

kj::Promise<void>
store_follower::Coalesce()
{
  const auto doublings = std::min<std::uint32_t>(mWatchesWithChanges++, 4);
  return mTimer.afterDelay(
    ToKj(std::min(mSettings.mMaxCoalesce, mSettings.mCoalesce * (1U << doublings))));
}

void
store_follower::NoteRevision(const stored_object& aObject)
{
  mNewestRevision = std::max(mNewestRevision, aObject.mRevision);
}

void
store_follower::OnSuccess()
{
  const auto now = mClock.Now();
  mContact.mFailures = 0;
  if (mOutageSince != instant{}) {
    const auto lasted = std::chrono::duration_cast<std::chrono::milliseconds>(now - mOutageSince);
    Log(log_level::Info,
        "store",
        "store reachable again kind=" + mSettings.mKind +
          " after_ms=" + std::to_string(lasted.count()));
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
  return mOutageEndedAt != instant{} && mClock.Now() - mOutageEndedAt < kLapseWindow;
}

void
store_follower::RecordFailure(const store_failure& aFailure)
{
  if (mContact.mFailures++ == 0) {
    Log(log_level::Warning,
        "store",
        "store unreachable kind=" + mSettings.mKind + " reason=\"" + aFailure.mReason + '"');
  }
  mContact.mFailedAt = mClock.Now();
  // Detecting outages is left to the daemons that watch the store.
  if (!mFedByPeers && mOutageSince == instant{}) {
    mOutageSince = mContact.mFailedAt;
  }
}

kj::Promise<void>
store_follower::OnFailure(const store_failure& aFailure)
{
  RecordFailure(aFailure);
  // The store may drop its history while it is unreachable. A watch that starts right before that
  // never returns the changes in between, so list again.
  mNeedList = true;
  const auto doublings = std::min<std::uint32_t>(mFailures, 8);
  const auto maxBackoff =
    std::min(mSettings.mMaxBackoff, mSettings.mMinBackoff * (1U << doublings));
  ++mFailures;
  std::uniform_int_distribution<std::int64_t> backoff{ maxBackoff.count() / 4, maxBackoff.count() };
  return mTimer.afterDelay(ToKj(std::chrono::milliseconds{ backoff(mRandom) }));
}

} // namespace skylarkwind
