#include "skylarkwind/water_filling.h"

#include "skylarkwind/hash.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <vector>

namespace skylarkwind {

std::size_t
ChooseByWaterFilling(std::span<const double> aCosts, double aUnreportedLoad, double aDraw)
{
  std::vector<double> sorted;
  sorted.reserve(aCosts.size());
  std::copy_if(aCosts.begin(), aCosts.end(), std::back_inserter(sorted), [](double aCost) {
    return std::isfinite(aCost);
  });
  if (sorted.empty()) {
    return aCosts.size();
  }
  std::sort(sorted.begin(), sorted.end());
  double level = sorted.front();
  double sum = std::max(0.0, aUnreportedLoad);
  for (std::size_t filled = 0; filled < sorted.size(); ++filled) {
    if (filled > 0 && level <= sorted[filled]) {
      break;
    }
    sum += sorted[filled];
    level = sum / static_cast<double>(filled + 1);
  }
  double left = aDraw * std::max(0.0, aUnreportedLoad);
  std::size_t cheapest = aCosts.size();
  for (std::size_t i = 0; i < aCosts.size(); ++i) {
    if (!std::isfinite(aCosts[i])) {
      continue;
    }
    if (cheapest == aCosts.size() || aCosts[i] < aCosts[cheapest]) {
      cheapest = i;
    }
    const double share = level - aCosts[i];
    if (share > 0) {
      if (left < share) {
        return i;
      }
      left -= share;
    }
  }
  return cheapest;
}

double
UniformFromBits(std::uint64_t aBits, std::uint64_t aPurpose)
{
  const std::array<std::uint64_t, 2> input{ aBits, aPurpose };
  const auto drawn = Hash64({ reinterpret_cast<const char*>(input.data()), sizeof(input) });
  constexpr unsigned int kDroppedBits = 11;
  return static_cast<double>(drawn >> kDroppedBits) /
         static_cast<double>(1ULL << (64 - kDroppedBits));
}

} // namespace skylarkwind
