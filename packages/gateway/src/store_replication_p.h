#pragma once

#include "change_batch_p.h"
#include "store_follower_p.h"

#include "skylarkwind/clock.h"
#include "skylarkwind/load_exchange.h"
#include "skylarkwind/object_store.h"
#include "skylarkwind/store_watchers.h"

#include <kj/async.h>
#include <kj/timer.h>

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace skylarkwind {

/// What the replication needs to know of its daemon and of the bounds in force.
struct store_replication_settings
{
  std::string mConfigurationKind;
  std::string mServerKind;
  /// Time after an acknowledgement of the store within which a change has to be in force.
  std::chrono::milliseconds mChangeDeadline{ 2'000 };
  std::uint64_t mRandomSeed = 1;
};

/// Who applies and who carries what the replication receives.
struct store_replication_callbacks
{
  store_follower::on_list mOnConfigurations;
  store_follower::on_change mOnConfiguration;
  store_follower::on_list mOnServers;
  store_follower::on_change mOnServer;
  /// Sends a batch to other daemons. It may be lost.
  std::function<void(const change_batch&, std::span<const std::string> aAddresses)> mSend;
  store_follower::fetch_from_peer mFetchFromPeer;
};

/// Keeps this daemon's copies of the configuration and of the server entries up to date. A few
/// daemons watch the store and relay what they read; the others apply what is relayed to them. The
/// first of the watchers uses short watches, each of which ends with a batch of changes or with a
/// heartbeat. When these stop, daemons list from the store themselves, one after the other in order
/// of rank, until one of them gets an answer.
class store_replication
{
public:
  store_replication(store_replication_settings aSettings,
                    object_store& aStore,
                    kj::Timer& aTimer,
                    const clock_source& aClock,
                    load_exchange& aExchange,
                    store_replication_callbacks aCallbacks);

  /// Keeps the copies up to date until the promise is dropped.
  kj::Promise<void> Run();
  /// Advances the timers. `aStopping`: the daemon shuts down and takes on no duties.
  void OnTick(bool aStopping, instant aNow);
  /// Decides whether this daemon watches the store itself.
  void UpdateWatch(instant aNow);
  /// Applies and relays a batch from another daemon.
  void OnBatch(const change_batch& aBatch);
  /// Takes over the newest revisions that other daemons have reported.
  void OnRemoteRevisions();
  /// All objects of a kind as known here; empty before they have been listed.
  std::optional<change_batch> Snapshot(std::string_view aKind) const;
  /// Time since each kind of object was last confirmed to be complete here, by kind.
  std::map<std::string, std::chrono::milliseconds> ConfirmationAges(instant aNow) const;
  bool ServersListed() const { return mServers.Listed(); }
  /// Whether this daemon still waits for others that may supply the store's contents at start-up.
  bool AwaitsPeers() const { return mAwaitsPeers; }
  bool WatchesStore() const { return mWatchesStore; }

private:
  std::array<store_follower*, 2> Followers() { return { &mConfiguration, &mServers }; }
  store_follower_settings FollowerSettings(std::string aKind) const;
  /// Time without a confirmation after which this daemon lists from the store. `aRank`: zero-based
  /// rank among the `aCandidates` candidates for duties, or their number if it is not one.
  std::chrono::milliseconds ConfirmationTimeout(std::size_t aRank, std::size_t aCandidates) const;
  /// Relays changes to other daemons. What this daemon read from the store goes to the collectors
  /// of all data centres; what it read or received goes to the local peers that it relays to.
  void Relay(const change_batch& aBatch, bool aToCollectors) const;

  store_replication_settings mSettings;
  const clock_source& mClock;
  load_exchange& mExchange;
  store_replication_callbacks mCallbacks;
  store_follower mConfiguration;
  store_follower mServers;
  store_watchers mWatchers;
  watch_policy mWatchPolicy;
  instant mStartedAt;
  double mTurn; ///< place among the daemons that have no duty rank, from 0 to 1
  bool mAwaitsPeers = true;
  bool mWatchesStore = false;
};

} // namespace skylarkwind
