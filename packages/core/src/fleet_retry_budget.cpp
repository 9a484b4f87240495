#include "skylarkwind/fleet_retry_budget.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// Fraction of the bound that is used. The rest covers daemons that restart within a window and so
/// lose their counts.
constexpr double kUsedFraction = 0.75;

} // namespace

fleet_retry_budget::fleet_retry_budget(fleet_retry_budget_settings aSettings)
  : mSettings(aSettings)
{
}

void
fleet_retry_budget::OnRequest(std::string_view aService, instant aNow)
{
  auto found = mServices.find(aService);
  if (found == mServices.end()) {
    found = mServices.try_emplace(std::string{ aService }).first;
  }
  Trim(found->second, aNow);
  found->second.mRequests.push_back(aNow);
}

bool
fleet_retry_budget::CanTake(std::string_view aService,
                            std::uint32_t aCount,
                            std::uint32_t aDaemons,
                            instant aNow)
{
  if (aCount == 0) {
    return true;
  }
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return false;
  }
  auto& counts = found->second;
  Trim(counts, aNow);
  const double bound =
    kUsedFraction * (mSettings.mRatio * static_cast<double>(counts.mRequests.size()) +
                     static_cast<double>(mSettings.mFloor) / std::max<std::uint32_t>(1, aDaemons));
  return static_cast<double>(counts.mRetries.size() + aCount) <= bound;
}

bool
fleet_retry_budget::TryTake(std::string_view aService,
                            std::uint32_t aCount,
                            std::uint32_t aDaemons,
                            instant aNow)
{
  if (!CanTake(aService, aCount, aDaemons, aNow)) {
    return false;
  }
  for (std::uint32_t taken = 0; taken < aCount; ++taken) {
    RecordRetry(aService, aNow);
  }
  return true;
}

void
fleet_retry_budget::RecordRetry(std::string_view aService, instant aNow)
{
  const auto found = mServices.find(aService);
  if (found != mServices.end()) {
    found->second.mRetries.push_back(aNow);
  }
}

void
fleet_retry_budget::Trim(service_history& aCounts, instant aNow) const
{
  for (auto* times : { &aCounts.mRequests, &aCounts.mRetries }) {
    while (!times->empty() && times->front() + mSettings.mWindow < aNow) {
      times->pop_front();
    }
  }
}

} // namespace skylarkwind
