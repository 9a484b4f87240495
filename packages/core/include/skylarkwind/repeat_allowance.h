#pragma once

#include "skylarkwind/clock.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace skylarkwind {

struct repeat_allowance_settings
{
  double mRatio = 0.1;                         ///< repeats for each request, over all daemons
  std::uint32_t mFloor = 0;                    ///< repeats beside the ratio, over all daemons
  std::chrono::milliseconds mWindow{ 10'000 }; ///< any span of this length keeps the bound
};

/// Bounds what reaches a service beyond the first arrival of each request. The bound holds for
/// all daemons together: each takes the ratio of its own requests and an equal part of the floor,
/// so that no messages are needed.
class repeat_allowance
{
public:
  explicit repeat_allowance(repeat_allowance_settings aSettings);

  /// Counts stay; the new bound holds from the next question on.
  void SetSettings(repeat_allowance_settings aSettings) { mSettings = aSettings; }
  void OnRequest(std::string_view aService, instant aNow);
  /// Whether so many repeats are left of this daemon's part. `aDaemons` is the number of daemons
  /// that share the floor.
  bool Has(std::string_view aService, std::uint32_t aCount, std::uint32_t aDaemons, instant aNow);
  /// Takes repeats, all or none.
  bool TryTake(std::string_view aService,
               std::uint32_t aCount,
               std::uint32_t aDaemons,
               instant aNow);
  /// Counts an arrival that turned out to be a repeat after it was sent.
  void Note(std::string_view aService, instant aNow);

private:
  struct service_counts
  {
    std::deque<instant> mRequests;
    std::deque<instant> mRepeats;
  };
  void Trim(service_counts& aCounts, instant aNow) const;

  repeat_allowance_settings mSettings;
  std::map<std::string, service_counts, std::less<>> mServices;
};

} // namespace skylarkwind
