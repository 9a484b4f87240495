#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/fleet_members.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// The daemons that follow the store for the whole fleet, and the way by which changes reach the
/// others: from each watcher to the collectors of all data centres, and from these to the daemons
/// of theirs. Daemons with the same view agree without a message. A daemon whose view is wrong
/// follows the store itself, or learns from a summary that it has missed something and asks a
/// neighbour.
class store_watchers
{
public:
  static store_watchers Choose(const fleet_members& aMembers, instant aNow);

  bool SelfWatches() const { return mSelfWatches; }
  /// Whether this daemon, as a collector, passes changes on to a neighbour.
  bool Serves(std::string_view aNeighbour) const;
  /// Addresses of the collectors of all data centres but this daemon.
  const std::vector<std::string>& Collectors() const { return mCollectors; }

private:
  std::size_t mIndex = 0; ///< of this daemon among the collectors of its data centre
  std::size_t mCount = 1;
  bool mIsCollector = true;
  bool mSelfWatches = true;
  std::vector<std::string> mCollectors;
};

/// Whether this daemon follows the store itself. Right after a start, one that becomes chosen later
/// than with its first view of the others begins only when it has stayed so for a time: once it
/// lists what a neighbour told, each daemon knows of itself first that it reaches the store, and
/// for a moment all of them would follow it. Later, and when it is not connected to others, it
/// begins at once: the watchers may have lost the store.
class watch_duty
{
public:
  bool Watches(bool aChosen, bool aConnected, instant aNow);

private:
  std::optional<instant> mFirstAt;
  std::optional<instant> mChosenSince;
};

} // namespace skylarkwind
