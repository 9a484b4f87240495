#pragma once

#include "change_batch_p.h"
#include "state_receiver_p.h"
#include "state_server_p.h"
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
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// What the replication needs to know of its daemon and of the bounds in force.
struct store_replication_settings
{
  std::string mConfigurationKind;
  std::string mServerKind;
  /// Time after an acknowledgement of the store within which a change has to be in force.
  std::chrono::milliseconds mChangeDeadline{ 2'000 };
  std::uint64_t mRandomSeed = 1;
  std::string mAddress; ///< of this daemon, as other daemons know it
  /// Rate of this VM's link in Mbit/s. It bounds how many daemons this one serves at a time.
  double mLinkMbitPerS = 100;
};

/// Who applies and who carries what the replication receives.
struct store_replication_callbacks
{
  store_follower::on_list mOnConfigurations;
  store_follower::on_change mOnConfiguration;
  store_follower::on_list mOnServers;
  store_follower::on_change mOnServer;
  /// Sends a small batch to other daemons. It may be lost.
  std::function<void(const change_batch&, std::span<const std::string> aAddresses)> mSend;
  /// Sends an announcement to other daemons. It may be lost.
  std::function<void(const state_announcement&, std::span<const std::string> aAddresses)> mAnnounce;
  /// Asks another daemon for a part of a state.
  std::function<kj::Promise<part_response>(const std::string& aAddress, const part_request&)>
    mFetchPart;
  /// Fetches all objects of a kind from a daemon of an earlier release.
  std::function<kj::Promise<std::optional<change_batch>>(const std::string& aAddress,
                                                         const std::string& aKind)>
    mFetchSnapshot;
};

/// What the exchange of one kind of object with other daemons has done since the start.
struct replication_statistics
{
  /// Upper bounds of the ages that are counted; older ones are counted apart.
  static constexpr std::array<std::chrono::milliseconds, 8> kAgeBounds{
    std::chrono::milliseconds{ 100 },   std::chrono::milliseconds{ 200 },
    std::chrono::milliseconds{ 300 },   std::chrono::milliseconds{ 500 },
    std::chrono::milliseconds{ 1'000 }, std::chrono::milliseconds{ 2'000 },
    std::chrono::milliseconds{ 3'000 }, std::chrono::milliseconds{ 6'000 }
  };

  std::uint64_t mSentBytes = 0;     ///< of encoded states
  std::uint64_t mReceivedBytes = 0; ///< of encoded states
  std::uint64_t mPushed = 0;        ///< states received with their announcement
  std::uint64_t mFetched = 0;       ///< states received in parts
  /// Ages at which states of other daemons were applied, by bound and not cumulative.
  std::array<std::uint64_t, kAgeBounds.size() + 1> mAges{};
  std::chrono::milliseconds mSumOfAges{};

  void AddAge(std::chrono::milliseconds aAge);
};

/// Keeps this daemon's copies of the configuration and of the server entries up to date. A few
/// daemons watch the store and relay what they read; the others apply what is relayed to them. The
/// first of the watchers uses short watches, each of which ends with a batch of changes or with a
/// heartbeat. When these stop, daemons list from the store themselves, one after the other in order
/// of rank, until one of them gets an answer.
///
/// A change that fits one datagram is relayed as it is. Of a larger one an announcement is relayed,
/// with the difference between the two states if that fits; else its receivers fetch the difference
/// in parts.
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
  /// Applies or fetches what another daemon announces, and relays it once it is applied.
  void OnAnnouncement(const state_announcement& aAnnouncement);
  /// Answers a daemon that asks for a part of a state.
  part_response Serve(const part_request& aRequest);
  /// Takes over the newest revisions that other daemons have reported.
  void OnRemoteRevisions();
  /// All objects of a kind as known here; empty before they have been listed.
  std::optional<change_batch> Snapshot(std::string_view aKind) const;
  /// Time since each kind of object was last confirmed to be complete here, by kind.
  std::map<std::string, std::chrono::milliseconds> ConfirmationAges(instant aNow) const;
  /// By kind.
  std::map<std::string, replication_statistics> Statistics() const;
  bool ServersListed() const { return mServers->mFollower.Listed(); }
  /// Whether this daemon still waits for others that may supply the store's contents at start-up.
  bool AwaitsPeers() const { return mAwaitsPeers; }
  bool WatchesStore() const { return mWatchesStore; }

private:
  /// The copy of one kind of object, and its exchange with other daemons.
  struct replica
  {
    replica(store_replication& aOwner,
            const std::string& aKind,
            object_store& aStore,
            kj::Timer& aTimer,
            store_follower::on_list aOnList,
            store_follower::on_change aOnChange);

    store_follower mFollower;
    state_server mServer;
    state_receiver mReceiver;
    replication_statistics mStatistics;
    std::optional<instant> mReadingSince; ///< since when an answer of the store is arriving
    instant mNoticeAt{};
  };

  std::array<replica*, 2> Replicas() const { return { mConfiguration.get(), mServers.get() }; }
  /// Null for a kind that is not replicated.
  replica* Find(std::string_view aKind) const;
  state_receiver_callbacks ReceiverCallbacks(const std::string& aKind);
  /// Daemons that may have a state, in the order in which to ask them: a random order of those that
  /// most likely have it, then the others.
  std::vector<std::string> Sources();
  void Apply(replica& aReplica, const change_batch& aBatch, bool aFresh);
  /// Tells other daemons that a large answer of the store is arriving here, so that they don't all
  /// read it themselves meanwhile.
  void NotifyOfReading(replica& aReplica, instant aNow);
  store_follower_settings FollowerSettings(std::string aKind) const;
  /// Time without a confirmation after which this daemon lists from the store. `aRank`: zero-based
  /// rank among the `aCandidates` candidates for duties, or their number if it is not one. Two
  /// daemons are so far apart that the first one's list arrives in between.
  std::chrono::milliseconds ConfirmationTimeout(std::size_t aRank, std::size_t aCandidates) const;
  /// Relays changes, or an announcement of them, to other daemons. What this daemon read from the
  /// store goes to the collectors of all data centres; what it read or received goes to the local
  /// peers that it relays to.
  void Relay(const change_batch& aBatch, bool aToCollectors);
  std::vector<std::string> RelayAddresses(bool aToCollectors) const;

  store_replication_settings mSettings;
  object_store& mStore;
  const clock_source& mClock;
  load_exchange& mExchange;
  store_replication_callbacks mCallbacks;
  std::mt19937_64 mRandom;
  std::unique_ptr<replica> mConfiguration;
  std::unique_ptr<replica> mServers;
  store_watchers mWatchers;
  watch_policy mWatchPolicy;
  instant mStartedAt;
  double mTurn; ///< place among the daemons that have no duty rank, from 0 to 1
  bool mAwaitsPeers = true;
  bool mWatchesStore = false;
};

} // namespace skylarkwind
