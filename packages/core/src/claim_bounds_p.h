#pragma once

#include "claim_entry_p.h"

#include <chrono>

namespace skylarkwind {

/// Maximum bytes of a claims object; stays below the platform's limit of 1 MB for an object's
/// value.
inline constexpr std::size_t kClaimBytesLimit = 950'000;

/// Removes the entries whose retention has passed. The retention of a claim without
/// outcome starts at its deadline, that of any other entry at its last change.
void RemoveExpiredClaims(claim_map& aClaims,
                         wall_instant aNow,
                         std::chrono::milliseconds aRetention);

/// Reduces the claims to `aBytes` of JSON: removes recorded headers and bodies of the oldest
/// outcomes first, then the oldest outcomes. Claims without outcome and unknown outcomes stay.
/// False when the rest is too large.
bool LimitClaimBytes(claim_map& aClaims, std::size_t aBytes = kClaimBytesLimit);

} // namespace skylarkwind
