#pragma once

#include "skylarkwind/clock.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace skylarkwind {

/// Retry budget of a service, for the whole fleet.
struct fleet_retry_budget_settings
{
  double mRatio = 0.1;                         ///< retries allowed for each request
  std::uint32_t mFloor = 0;                    ///< retries allowed in addition to the ratio
  std::chrono::milliseconds mWindow{ 10'000 }; ///< the bound holds in any window of this length
};

/// Limits the retries of each service: everything that reaches the service beyond the first arrival
/// of each request. The bound holds for all daemons together without messages between them: each
/// daemon uses the ratio of its own requests and an equal share of the floor.
class fleet_retry_budget
{
public:
  explicit fleet_retry_budget(fleet_retry_budget_settings aSettings);

  /// Keeps the counts; the new bound holds from the next call on.
  void SetSettings(fleet_retry_budget_settings aSettings) { mSettings = aSettings; }
  /// Counts a request that adds to the budget of its service.
  void OnRequest(std::string_view aService, instant aNow);
  /// Whether `aCount` retries are left in this daemon's share. `aDaemons` is the number of daemons
  /// that share the floor.
  bool CanTake(std::string_view aService,
               std::uint32_t aCount,
               std::uint32_t aDaemons,
               instant aNow);
  /// Takes `aCount` retries, or none when fewer are left.
  bool TryTake(std::string_view aService,
               std::uint32_t aCount,
               std::uint32_t aDaemons,
               instant aNow);
  /// Counts an arrival that turned out to be a retry after it was sent.
  void RecordRetry(std::string_view aService, instant aNow);

private:
  struct service_history
  {
    std::deque<instant> mRequests;
    std::deque<instant> mRetries;
  };
  /// Removes times that have left the window.
  void Trim(service_history& aCounts, instant aNow) const;

  fleet_retry_budget_settings mSettings;
  std::map<std::string, service_history, std::less<>> mServices;
};

} // namespace skylarkwind
