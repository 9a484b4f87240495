#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/fleet_members.h"

#include <cstddef>
#include <string_view>

namespace skylarkwind {

/// The daemons of one data centre that follow the store for all of it: the best ones that reach it,
/// so that daemons with the same view agree without a message. A daemon whose view is wrong follows
/// the store itself, or is told late by a summary and then lists.
class store_watchers
{
public:
  static store_watchers Choose(const fleet_members& aMembers, instant aNow);

  bool SelfWatches() const { return mSelfWatches; }
  /// Whether this daemon is the watcher that passes changes on to `aPeer`.
  bool Serves(std::string_view aPeer) const;

private:
  std::size_t mIndex = 0; ///< of this daemon among the watchers
  std::size_t mCount = 1;
  bool mSelfWatches = true;
};

} // namespace skylarkwind
