#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>

namespace skylarkwind {

/// The daemons of one data centre that follow the store for all of it. The first ones by name are
/// chosen, so that daemons with the same view agree without a message. A daemon whose view is
/// wrong follows the store itself, or is told late by a digest and then lists.
class store_watchers
{
public:
  /// `aPeers` are the other daemons of the data centre that are alive and reach the store, in the
  /// order of their names.
  static store_watchers Choose(std::string_view aSelf, std::span<const std::string> aPeers);

  bool SelfWatches() const { return mSelfWatches; }
  /// Whether this daemon is the watcher that passes changes on to `aPeer`.
  bool Serves(std::string_view aPeer) const;

private:
  std::size_t mIndex = 0; ///< of this daemon among the watchers
  std::size_t mCount = 1;
  bool mSelfWatches = true;
};

} // namespace skylarkwind
