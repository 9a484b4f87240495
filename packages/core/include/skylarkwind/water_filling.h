#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace skylarkwind {

/// Chooses an option at random with probabilities from water-filling. Other daemons choose at the
/// same time from the same costs without hearing of each other; if all took the cheapest option, it
/// would receive all of their load. `aUnreportedLoad` is the load that they add meanwhile, in the
/// unit of the costs. It is assumed to raise the cheapest options to one common level, and each
/// option is chosen with a probability proportional to its share of that load. Without unreported
/// load the cheapest option is chosen. Infinite costs are never chosen.
///
/// `aDraw` is uniform in [0, 1). Returns the number of costs when there is nothing to choose.
std::size_t ChooseByWaterFilling(std::span<const double> aCosts,
                                 double aUnreportedLoad,
                                 double aDraw);

/// Returns a uniform number in [0, 1) derived from random bits. Different values of `aPurpose` give
/// independent numbers from the same bits.
double UniformFromBits(std::uint64_t aBits, std::uint64_t aPurpose);

} // namespace skylarkwind
