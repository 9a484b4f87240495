#include "store_replication_p.h"

#include "skylarkwind/log.h"

#include <algorithm>
#include <random>
#include <vector>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// Duration of the watches of all watchers but the first.
constexpr milliseconds kLongWatch{ 25'000 };
/// Longest pauses between calls while the store is unreachable, for the first daemons by rank and
/// for the others. The latter are notified when the store is back.
constexpr milliseconds kShortRetryPause{ 1'000 };
constexpr milliseconds kLongRetryPause{ 4'000 };
/// Number of daemons with short retry pauses.
constexpr std::size_t kShortPauseDaemons = 3;
/// A starting daemon waits this long for other daemons that may supply the store's contents before
/// it calls the store.
constexpr milliseconds kPeerWaitLimit{ 800 };
/// Part of the change deadline for coalescing changes, for asking other daemons for one that was
/// reported, and for a watch of the first watcher. The rest is for a call and for a slow start of
/// it.
constexpr int kDeadlineParts = 4;
/// Heartbeats may be lost one at a time without a call to the store.
constexpr int kHeartbeatsAwaited = 2;
/// Allows for the transit of heartbeats.
constexpr milliseconds kHeartbeatTransit{ 100 };
/// A batch whose objects are at most this large is relayed as it is, in one datagram.
constexpr std::size_t kMaxSentObjectBytes = std::size_t{ 6 } * 1'024;
/// Bytes that a batch has for each object beside the object's name and value.
constexpr std::size_t kObjectOverheadBytes = 16;
/// Rate that each of the daemons that are served at the same time should get at least.
constexpr double kMinServedMbitPerS = 5;
constexpr std::size_t kMinReceivers = 2;
/// How often daemons are told of a large answer of the store, from this long after its begin.
constexpr milliseconds kNoticePeriod{ 200 };
/// Pause between the calls of two daemons that have received no heartbeat. Within it, the first one
/// gets its answer and relays it.
constexpr milliseconds kProbeInterval{ 30 };

double
DrawTurn(std::uint64_t aRandomSeed)
{
  std::mt19937_64 random{ aRandomSeed };
  return std::uniform_real_distribution<double>{}(random);
}

std::size_t
MaxReceivers(double aLinkMbitPerS)
{
  return std::max(kMinReceivers, static_cast<std::size_t>(aLinkMbitPerS / kMinServedMbitPerS));
}

/// Whether a batch goes to other daemons as it is.
bool
FitsOneDatagram(const change_batch& aBatch)
{
  std::size_t bytes = 0;
  for (const auto& change : aBatch.mChanges) {
    bytes += change.mObject.mName.size() + change.mObject.mValue.size() + kObjectOverheadBytes;
  }
  return bytes <= kMaxSentObjectBytes;
}

} // namespace

store_replication::store_replication(store_replication_settings aSettings,
                                     object_store& aStore,
                                     kj::Timer& aTimer,
                                     const clock_source& aClock,
                                     load_exchange& aExchange,
                                     store_replication_callbacks aCallbacks)
  : mSettings(std::move(aSettings))
  , mStore(aStore)
  , mClock(aClock)
  , mExchange(aExchange)
  , mCallbacks(std::move(aCallbacks))
  , mRandom(mSettings.mRandomSeed)
  , mConfiguration(std::make_unique<replica>(*this,
                                             mSettings.mConfigurationKind,
                                             aStore,
                                             aTimer,
                                             mCallbacks.mOnConfigurations,
                                             mCallbacks.mOnConfiguration))
  , mServers(std::make_unique<replica>(*this,
                                       mSettings.mServerKind,
                                       aStore,
                                       aTimer,
                                       mCallbacks.mOnServers,
                                       mCallbacks.mOnServer))
  , mStartedAt(aClock.Now())
  , mTurn(DrawTurn(mSettings.mRandomSeed))
{
}

store_replication::replica::replica(store_replication& aOwner,
                                    const std::string& aKind,
                                    object_store& aStore,
                                    kj::Timer& aTimer,
                                    store_follower::on_list aOnList,
                                    store_follower::on_change aOnChange)
  : mFollower(aOwner.FollowerSettings(aKind),
              aStore,
              aTimer,
              aOwner.mClock,
              std::move(aOnList),
              std::move(aOnChange),
              [&aOwner](const change_batch& aBatch) { aOwner.Relay(aBatch, true); })
  , mServer(mFollower,
            aOwner.mSettings.mAddress,
            MaxReceivers(aOwner.mSettings.mLinkMbitPerS),
            aOwner.mClock)
  , mReceiver(mFollower,
              mServer,
              aOwner.mSettings.mAddress,
              aTimer,
              aOwner.mClock,
              aOwner.mRandom(),
              aOwner.ReceiverCallbacks(aKind))
{
  mFollower.SetPeerFetch(
    [this](const std::string&, std::uint64_t aRevision) { return mReceiver.Fetch(aRevision); },
    [this] { return mReceiver.IsProgressing(); });
  mFollower.SetPaused(true);
}

store_replication::replica*
store_replication::Find(std::string_view aKind) const
{
  for (auto* replica : Replicas()) {
    if (replica->mFollower.Kind() == aKind) {
      return replica;
    }
  }
  return nullptr;
}

state_receiver_callbacks
store_replication::ReceiverCallbacks(const std::string& aKind)
{
  state_receiver_callbacks callbacks;
  callbacks.mFetchPart = mCallbacks.mFetchPart;
  callbacks.mFetchSnapshot = [this, aKind](const std::string& aAddress) {
    return mCallbacks.mFetchSnapshot(aAddress, aKind);
  };
  callbacks.mSources = [this] { return Sources(); };
  callbacks.mOnState = [this, aKind](const change_batch& aBatch, const state_arrival& aArrival) {
    auto& replica = *Find(aKind);
    ++(aArrival.mPushed ? replica.mStatistics.mPushed : replica.mStatistics.mFetched);
    replica.mStatistics.AddAge(aArrival.mAge);
    // A state that waited in this daemon while its process was stalled may be old.
    Apply(replica, aBatch, aArrival.mPushed && !mExchange.MayReadOldMessages(mClock.Now()));
  };
  callbacks.mOnSame = [this, aKind](std::uint64_t aRevision) {
    Find(aKind)->mFollower.OnSameCopy(aRevision);
  };
  return callbacks;
}

std::vector<std::string>
store_replication::Sources()
{
  const auto now = mClock.Now();
  auto addresses = SnapshotSources(mExchange.Members(), false, now);
  std::shuffle(addresses.begin(), addresses.end(), mRandom);
  auto others = SnapshotSources(mExchange.Members(), true, now);
  std::shuffle(others.begin(), others.end(), mRandom);
  addresses.insert(addresses.end(), others.begin(), others.end());
  return addresses;
}

void
replication_statistics::AddAge(milliseconds aAge)
{
  const auto bound = std::lower_bound(kAgeBounds.begin(), kAgeBounds.end(), aAge);
  ++mAges.at(static_cast<std::size_t>(bound - kAgeBounds.begin()));
  mSumOfAges += aAge;
}

std::map<std::string, replication_statistics>
store_replication::Statistics() const
{
  std::map<std::string, replication_statistics> statistics;
  for (const auto* replica : Replicas()) {
    auto& found = statistics[replica->mFollower.Kind()];
    found = replica->mStatistics;
    found.mSentBytes += replica->mServer.ServedBytes();
    found.mReceivedBytes = replica->mReceiver.ReceivedBytes();
  }
  return statistics;
}

void
store_replication::OnAnnouncement(const state_announcement& aAnnouncement)
{
  auto* replica = Find(aAnnouncement.mState.mKind);
  if (replica == nullptr) {
    return;
  }
  if (!aAnnouncement.IsNotice()) {
    replica->mReceiver.OnAnnouncement(aAnnouncement);
    return;
  }
  replica->mFollower.OnStateAwaited();
  if (const auto addresses = RelayAddresses(false);
      !aAnnouncement.mForwarded && !addresses.empty()) {
    auto forwarded = aAnnouncement;
    forwarded.mForwarded = true;
    mCallbacks.mAnnounce(forwarded, addresses);
  }
}

void
store_replication::NotifyOfReading(replica& aReplica, instant aNow)
{
  const auto& kind = aReplica.mFollower.Kind();
  if (!mWatchesStore || !mStore.IsReceiving(kind)) {
    aReplica.mReadingSince.reset();
    return;
  }
  aReplica.mReadingSince = aReplica.mReadingSince.value_or(aNow);
  const auto elapsed = aNow - *aReplica.mReadingSince;
  if (elapsed < kNoticePeriod || elapsed > mSettings.mChangeDeadline ||
      aNow - aReplica.mNoticeAt < kNoticePeriod) {
    return;
  }
  aReplica.mNoticeAt = aNow;
  state_announcement notice;
  notice.mState.mKind = kind;
  notice.mAddress = mSettings.mAddress;
  if (const auto addresses = RelayAddresses(true); !addresses.empty()) {
    mCallbacks.mAnnounce(notice, addresses);
  }
}

part_response
store_replication::Serve(const part_request& aRequest)
{
  part_response lacking;
  lacking.mOutcome = part_response::outcome::Lacking;
  auto* replica = Find(aRequest.mKind);
  return replica != nullptr ? replica->mServer.Serve(aRequest) : lacking;
}

store_follower_settings
store_replication::FollowerSettings(std::string aKind) const
{
  store_follower_settings settings;
  settings.mKind = std::move(aKind);
  settings.mWatch = kLongWatch;
  settings.mMaxCoalesce = mSettings.mChangeDeadline / kDeadlineParts;
  settings.mMaxCatchUpFetch = mSettings.mChangeDeadline / kDeadlineParts;
  settings.mRandomSeed = mSettings.mRandomSeed;
  return settings;
}

kj::Promise<void>
store_replication::Run()
{
  return mConfiguration->mFollower.Run().exclusiveJoin(mServers->mFollower.Run());
}

void
store_replication::OnTick(bool aStopping, instant aNow)
{
  for (auto* replica : Replicas()) {
    replica->mFollower.OnTick(aNow);
    replica->mReceiver.OnTick(aNow);
    NotifyOfReading(*replica, aNow);
  }
  const auto& configuration = mConfiguration->mFollower;
  const auto& servers = mServers->mFollower;
  const bool reaches = servers.Listed() && LikelyReachesStore(configuration.Contact(), aNow) &&
                       LikelyReachesStore(servers.Contact(), aNow);
  // A daemon that shuts down no longer counts as reaching the store, so that another watcher takes
  // over before it exits.
  mExchange.SetOwnState(
    { configuration.NewestRevision(), servers.NewestRevision() }, !aStopping && reaches, aStopping);
}

void
store_replication::UpdateWatch(instant aNow)
{
  const bool connected = mExchange.Connected(aNow);
  if (mAwaitsPeers && !connected && aNow - mStartedAt < kPeerWaitLimit) {
    return;
  }
  const auto& members = mExchange.Members();
  const auto candidates = members.DutyCandidates(aNow);
  const auto own = std::find(candidates.begin(), candidates.end(), &members.Self());
  const auto rank = static_cast<std::size_t>(own - candidates.begin());
  const auto watch = rank == 0 ? mSettings.mChangeDeadline / kDeadlineParts : kLongWatch;
  const auto pause = rank < kShortPauseDaemons ? kShortRetryPause : kLongRetryPause;
  const auto confirmationTimeout = ConfirmationTimeout(rank, candidates.size());
  const bool watchedBefore = mWatchesStore;
  mWatchers = store_watchers::Choose(members, aNow);
  mWatchesStore = mWatchPolicy.Watches(mWatchers.SelfWatches(), connected, aNow);
  if (mWatchesStore != watchedBefore || mAwaitsPeers) {
    Log(log_level::Info,
        "store",
        mWatchesStore ? "watching the store directly" : "receiving changes from other daemons");
  }
  for (auto* replica : Replicas()) {
    auto& follower = replica->mFollower;
    follower.SetTiming(watch, pause);
    follower.SetConfirmationTimeout(confirmationTimeout);
    follower.SetFedByPeers(!mWatchesStore);
    follower.SetPaused(false);
  }
  mAwaitsPeers = false;
}

milliseconds
store_replication::ConfirmationTimeout(std::size_t aRank, std::size_t aCandidates) const
{
  auto place = static_cast<double>(aRank);
  if (aRank == aCandidates && mExchange.DaemonCount() > aCandidates) {
    place += mTurn * (mExchange.DaemonCount() - place);
  }
  // At half of the link's rate, as requests take a part of it.
  constexpr double kBitsPerByte = 8;
  constexpr double kLinkShare = 0.5;
  const auto bytes = std::max(mConfiguration->mFollower.Bytes(), mServers->mFollower.Bytes());
  const milliseconds transfer{ static_cast<std::int64_t>(
    static_cast<double>(bytes) * kBitsPerByte / (mSettings.mLinkMbitPerS * kLinkShare) / 1'000) };
  return mSettings.mChangeDeadline / kDeadlineParts * kHeartbeatsAwaited + kHeartbeatTransit +
         std::chrono::duration_cast<milliseconds>(place * (kProbeInterval + transfer));
}

void
store_replication::OnBatch(const change_batch& aBatch)
{
  const bool fresh = !mExchange.MayReadOldMessages(mClock.Now());
  if (!fresh && aBatch.IsHeartbeat()) {
    return;
  }
  if (auto* replica = Find(aBatch.mKind)) {
    Apply(*replica, aBatch, fresh);
  }
}

void
store_replication::Apply(replica& aReplica, const change_batch& aBatch, bool aFresh)
{
  if (aReplica.mFollower.OnBatch(aBatch, aFresh)) {
    auto forwarded = aBatch;
    forwarded.mForwarded = true;
    Relay(forwarded, false);
  }
}

void
store_replication::OnRemoteRevisions()
{
  mConfiguration->mFollower.OnRemoteRevision(mExchange.NewestRevisions().mConfiguration);
  mServers->mFollower.OnRemoteRevision(mExchange.NewestRevisions().mServers);
}

std::map<std::string, milliseconds>
store_replication::ConfirmationAges(instant aNow) const
{
  std::map<std::string, milliseconds> ages;
  for (const auto* replica : Replicas()) {
    const auto& follower = replica->mFollower;
    ages[follower.Kind()] = std::chrono::duration_cast<milliseconds>(aNow - follower.ConfirmedAt());
  }
  return ages;
}

std::optional<change_batch>
store_replication::Snapshot(std::string_view aKind) const
{
  const auto* replica = Find(aKind);
  return replica != nullptr ? replica->mFollower.Snapshot() : std::nullopt;
}

void
store_replication::Relay(const change_batch& aBatch, bool aToCollectors)
{
  const auto addresses = RelayAddresses(aToCollectors);
  if (addresses.empty()) {
    return;
  }
  if (FitsOneDatagram(aBatch)) {
    mCallbacks.mSend(aBatch, addresses);
    return;
  }
  auto& replica = *Find(aBatch.mKind);
  const auto announcement = replica.mServer.MakeAnnouncement(aBatch.mForwarded);
  replica.mStatistics.mSentBytes += announcement.mState.mBytes.size() * addresses.size();
  mCallbacks.mAnnounce(announcement, addresses);
}

std::vector<std::string>
store_replication::RelayAddresses(bool aToCollectors) const
{
  std::vector<std::string> addresses;
  if (aToCollectors) {
    addresses = mWatchers.Collectors();
  }
  for (const auto* peer : mExchange.Members().LocalPeers()) {
    if (mWatchers.RelaysTo(peer->mName) &&
        std::find(addresses.begin(), addresses.end(), peer->mAddress) == addresses.end()) {
      addresses.push_back(peer->mAddress);
    }
  }
  return addresses;
}

} // namespace skylarkwind
