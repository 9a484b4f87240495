#pragma once

#include <cstdint>

namespace skylarkwind {

/// Revisions of the store as its client reports them: a restored store gives out its revisions
/// again, so its era, the number of restorations, stands above them.
constexpr int kEraShift = 40;

constexpr std::uint64_t
EraOf(std::uint64_t aRevision)
{
  return aRevision >> kEraShift;
}

/// A number above all revisions of earlier eras and below those of this one.
constexpr std::uint64_t
StartOfEra(std::uint64_t aEra)
{
  return aEra << kEraShift;
}

} // namespace skylarkwind
