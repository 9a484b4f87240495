#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/fleet_members.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// Selects the daemons that watch the store on behalf of the whole fleet, and the paths by which
/// changes reach the others: from each watcher to the collectors of all data centres, and from each
/// collector to daemons of its own data centre. Daemons with the same view of the members agree
/// without messages. A daemon with a wrong view watches the store itself, or learns from a summary
/// that it has missed a change and asks a daemon of its data centre.
class store_watchers
{
public:
  static store_watchers Choose(const fleet_members& aMembers, instant aNow);

  bool SelfWatches() const { return mSelfWatches; }
  /// Whether this daemon, as a collector, relays changes to a daemon of its data centre.
  bool RelaysTo(std::string_view aPeer) const;
  /// Addresses of the collectors of all data centres, without this daemon.
  const std::vector<std::string>& Collectors() const { return mCollectors; }

private:
  std::size_t mIndex = 0; ///< of this daemon among the collectors of its data centre
  std::size_t mCount = 1;
  bool mIsCollector = true;
  bool mSelfWatches = true;
  std::vector<std::string> mCollectors;
};

/// Addresses of the daemons from which this one may fetch a copy of stored objects: collectors of
/// its data centre that reach the store. `aWidely`, or when there is none: collectors of all data
/// centres, also those without the store, as they receive what others relay.
std::vector<std::string> SnapshotSources(const fleet_members& aMembers, bool aWidely, instant aNow);

/// Results of this daemon's recent calls to the store.
struct store_contact
{
  std::uint32_t mFailures = 0; ///< consecutive failures up to the last call
  instant mFailedAt{};         ///< time of the last failure
};

/// Whether the store will probably answer this daemon. A daemon that was replaced as a watcher
/// makes no calls, so that it does not learn when the store answers it again: after a time that
/// doubles with each failure it counts as reaching the store.
bool LikelyReachesStore(const store_contact& aContact, instant aNow);

/// Decides whether this daemon watches the store itself. Shortly after its start, a daemon that was
/// not selected with its first view of the others, but is later, begins only once it has stayed
/// selected for a time: after it has listed what another daemon sent, each daemon learns first of
/// itself that it reaches the store, and for a moment all of them would watch it. After that
/// period, and whenever it is not connected to the others, it begins at once, as the watchers may
/// have lost the store.
class watch_policy
{
public:
  /// `aChosen`: selected as a watcher. `aConnected`: receives fleet summaries.
  bool Watches(bool aChosen, bool aConnected, instant aNow);

private:
  std::optional<instant> mFirstAt;
  std::optional<instant> mChosenSince;
};

} // namespace skylarkwind
