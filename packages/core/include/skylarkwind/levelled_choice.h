#pragma once

#include <cstddef>
#include <cstdint>
#include <span>

namespace skylarkwind {

/// Chooses among options when others choose at the same time from the same costs without hearing of
/// each other: if all took the cheapest one, it would get all of their work. `aUnseen` is the work
/// that they add meanwhile, in the unit of the costs. It is thought to fill the cheapest options up
/// to one level; each option is chosen with a probability that follows from its share in that. With
/// no unseen work this is the cheapest option. Infinite costs are never chosen.
///
/// `aDraw` is uniform in [0, 1). Returns the number of costs when there is nothing to choose.
std::size_t ChooseLevelled(std::span<const double> aCosts, double aUnseen, double aDraw);

/// A number in [0, 1) from random bits; `aPurpose` tells draws from the same bits apart.
double UniformOf(std::uint64_t aBits, std::uint64_t aPurpose);

} // namespace skylarkwind
