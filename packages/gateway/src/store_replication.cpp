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
/// Pause between the calls of two daemons that have received no heartbeat. Within it, the first one
/// gets its answer and relays it.
constexpr milliseconds kProbeInterval{ 30 };

double
DrawTurn(std::uint64_t aRandomSeed)
{
  std::mt19937_64 random{ aRandomSeed };
  return std::uniform_real_distribution<double>{}(random);
}

} // namespace

store_replication::store_replication(store_replication_settings aSettings,
                                     object_store& aStore,
                                     kj::Timer& aTimer,
                                     const clock_source& aClock,
                                     load_exchange& aExchange,
                                     store_replication_callbacks aCallbacks)
  : mSettings(std::move(aSettings))
  , mClock(aClock)
  , mExchange(aExchange)
  , mCallbacks(std::move(aCallbacks))
  , mConfiguration(FollowerSettings(mSettings.mConfigurationKind),
                   aStore,
                   aTimer,
                   aClock,
                   mCallbacks.mOnConfigurations,
                   mCallbacks.mOnConfiguration,
                   [this](const change_batch& aBatch) { Relay(aBatch, true); })
  , mServers(FollowerSettings(mSettings.mServerKind),
             aStore,
             aTimer,
             aClock,
             mCallbacks.mOnServers,
             mCallbacks.mOnServer,
             [this](const change_batch& aBatch) { Relay(aBatch, true); })
  , mStartedAt(aClock.Now())
  , mTurn(DrawTurn(mSettings.mRandomSeed))
{
  for (auto* follower : Followers()) {
    follower->SetPeerFetch(mCallbacks.mFetchFromPeer);
    follower->SetPaused(true);
  }
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
  return mConfiguration.Run().exclusiveJoin(mServers.Run());
}

void
store_replication::OnTick(bool aStopping, instant aNow)
{
  for (auto* follower : Followers()) {
    follower->OnTick(aNow);
  }
  const bool reaches = mServers.Listed() && LikelyReachesStore(mConfiguration.Contact(), aNow) &&
                       LikelyReachesStore(mServers.Contact(), aNow);
  // A daemon that shuts down no longer counts as reaching the store, so that another watcher takes
  // over before it exits.
  mExchange.SetOwnState({ mConfiguration.NewestRevision(), mServers.NewestRevision() },
                        !aStopping && reaches,
                        aStopping);
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
  for (auto* follower : Followers()) {
    follower->SetTiming(watch, pause);
    follower->SetConfirmationTimeout(confirmationTimeout);
    follower->SetFedByPeers(!mWatchesStore);
    follower->SetPaused(false);
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
  return mSettings.mChangeDeadline / kDeadlineParts * kHeartbeatsAwaited + kHeartbeatTransit +
         std::chrono::duration_cast<milliseconds>(place * kProbeInterval);
}

void
store_replication::OnBatch(const change_batch& aBatch)
{
  const bool fresh = !mExchange.MayReadOldMessages(mClock.Now());
  if (!fresh && aBatch.IsHeartbeat()) {
    return;
  }
  for (auto* follower : Followers()) {
    if (follower->Kind() == aBatch.mKind && follower->OnBatch(aBatch, fresh)) {
      auto forwarded = aBatch;
      forwarded.mForwarded = true;
      Relay(forwarded, false);
    }
  }
}

void
store_replication::OnRemoteRevisions()
{
  mConfiguration.OnRemoteRevision(mExchange.NewestRevisions().mConfiguration);
  mServers.OnRemoteRevision(mExchange.NewestRevisions().mServers);
}

std::map<std::string, milliseconds>
store_replication::ConfirmationAges(instant aNow) const
{
  std::map<std::string, milliseconds> ages;
  for (const auto* follower : { &mConfiguration, &mServers }) {
    ages[follower->Kind()] =
      std::chrono::duration_cast<milliseconds>(aNow - follower->ConfirmedAt());
  }
  return ages;
}

std::optional<change_batch>
store_replication::Snapshot(std::string_view aKind) const
{
  for (const auto* follower : { &mConfiguration, &mServers }) {
    if (follower->Kind() == aKind) {
      return follower->Snapshot();
    }
  }
  return std::nullopt;
}

void
store_replication::Relay(const change_batch& aBatch, bool aToCollectors) const
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
  mCallbacks.mSend(aBatch, addresses);
}

} // namespace skylarkwind
