#pragma once

#include <cstdint>

namespace skylarkwind {

/// A revision of the store as used in this code base: the number of times that the store was
/// restored from a copy (its era) above the store's own revision. A restored store gives revisions
/// out again, so that its own revisions cannot be compared across a restoration; positions only
/// grow. Without any restoration a position is the revision itself.
using store_position = std::uint64_t;

inline constexpr unsigned int kEraShift = 40;
/// Positions stay below 2^53, so that they are exact in JSON numbers.
inline constexpr std::uint64_t kMaxEra = (std::uint64_t{ 1 } << 13U) - 1;
inline constexpr std::uint64_t kMaxRevision = (std::uint64_t{ 1 } << kEraShift) - 1;

constexpr store_position
PositionOf(std::uint64_t aEra, std::uint64_t aRevision)
{
  return (aEra << kEraShift) | aRevision;
}

constexpr std::uint64_t
EraOf(store_position aPosition)
{
  return aPosition >> kEraShift;
}

/// A position above all those of earlier eras and not above those of this one.
constexpr store_position
StartOfEra(std::uint64_t aEra)
{
  return PositionOf(aEra, 0);
}

constexpr std::uint64_t
RevisionOf(store_position aPosition)
{
  return aPosition & kMaxRevision;
}

} // namespace skylarkwind
