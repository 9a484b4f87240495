#pragma once

#include "skylarkwind/load_exchange.h"
#include "skylarkwind/object_store.h"
#include "skylarkwind/store_position.h"

#include <algorithm>
#include <cstdint>

namespace skylarkwind {

/// Highest era of the store that this daemon has seen in an answer of the store or in the revisions
/// that other daemons report. Most daemons seldom call the store themselves.
inline std::uint64_t
KnownEra(const object_store& aStore, const load_exchange& aExchange)
{
  const auto& reported = aExchange.NewestRevisions();
  return std::max(aStore.Era(), EraOf(std::max(reported.mConfiguration, reported.mServers)));
}

} // namespace skylarkwind
