#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkwind {

/// What one daemon would use of a limit.
struct share_wish
{
  std::string mVm;
  std::uint64_t mWanted = 0;
};

/// Max-min fair amount of `aVm`: nobody gets more than it wants, and no amount can grow without a
/// smaller one shrinking. Units that do not divide evenly go round with `aTurn`, so that with
/// fewer units than daemons each of them has its turn.
std::uint64_t FairAmount(std::vector<share_wish> aWishes,
                         std::uint64_t aLimit,
                         const std::string& aVm,
                         std::uint64_t aTurn);

} // namespace skylarkwind
