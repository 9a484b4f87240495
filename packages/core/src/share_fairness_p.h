#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace skylarkwind {

/// How many units of a limit one daemon would use.
struct share_demand
{
  std::string mVm;
  std::uint64_t mWanted = 0;
};

/// Max-min fair amount of `aVm`: no daemon gets more than its demand, and no amount can grow
/// without a smaller one shrinking. `aRotation` rotates the units that do not divide evenly, so
/// that with fewer units than daemons each daemon gets one in turn.
std::uint64_t FairAmount(std::vector<share_demand> aDemands,
                         std::uint64_t aLimit,
                         const std::string& aVm,
                         std::uint64_t aRotation);

} // namespace skylarkwind
