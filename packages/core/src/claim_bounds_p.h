#pragma once

#include "claim_entry_p.h"

#include <chrono>

namespace skylarkwind {

/// Room below the platform's limit of 1 MB for an object's value.
inline constexpr std::size_t kClaimBytesLimit = 950'000;

/// Removes the entries whose retention has passed. A claim without outcome is kept for the
/// retention after its deadline.
void DropOldClaims(claim_map& aClaims, wall_instant aNow, std::chrono::milliseconds aRetention);

/// Makes the claims fit into an object: recorded bodies of the oldest outcomes go first, then the
/// oldest outcomes. Claims without outcome and unknown outcomes stay. False when the rest is too
/// large.
bool BoundClaims(claim_map& aClaims, std::size_t aBytes = kClaimBytesLimit);

} // namespace skylarkwind
