#include "skylarkwind/engine_count_planner.h"

#include "skylarkwind/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <utility>

namespace skylarkwind {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// Fraction of its time that an engine may spend on prompts. With random arrivals a prompt then
/// waits on average for less than its own computation, which keeps most within their target.
constexpr double kBusyFraction = 0.5;
/// Fraction up to which engines are used while others are missing; beyond, queues grow without end.
constexpr double kMaxBusyFraction = 0.85;
/// Time in which the prompts that wait should be computed.
constexpr double kWaitingDrainS = 1;
/// Fraction of the slots of an engine that requests in progress may use.
constexpr double kSlotFraction = 0.4;
/// Time constant of the decay of a peak, in start-up times. An engine that is removed and needed
/// again is missing for one of them, so bursts that recur within a few keep their engines.
constexpr int kPeakDecayStartups = 3;
/// Start-up times with requests after which the bursts of a service are known well enough to remove
/// engines.
constexpr int kLearnStartups = 3;
/// Engines are removed only when fewer have been enough for this many start-up times, so that the
/// effect of the last change is seen before the next one.
constexpr int kStableStartups = 1;
/// Of the engines of a kind in a data centre, at most this fraction is removed in one step.
constexpr double kRemovedFraction = 0.15;
constexpr milliseconds kRemovalPeriod{ 2'000 };
/// Pause after an order that the platform refused or did not answer.
constexpr milliseconds kRetryPause{ 3'000 };
/// Time beyond the start-up time after which engines that were ordered and are not listed are
/// ordered again.
constexpr milliseconds kListingDelay{ 3'000 };
/// Engines that a data centre keeps: one of each role.
constexpr std::uint32_t kMinPerDataCentre = 2;
/// Fraction of the standard engines that one data centre may have, however cheap it is.
constexpr double kMaxStandardShare = 0.5;
constexpr int kOk = 200;

double
DemandInEngines(const engine_demand& aDemand)
{
  return aDemand.mPromptWork / kBusyFraction + aDemand.mWaitingWork / kWaitingDrainS +
         aDemand.mRunning / (kSlotFraction * std::max<std::uint32_t>(1, aDemand.mSlots));
}

std::uint32_t
Ceil(double aValue)
{
  return static_cast<std::uint32_t>(std::ceil(std::clamp(aValue, 0.0, 1e6)));
}

double
PriceIn(const engine_ordering& aOrdering, const std::string& aDataCentre)
{
  const auto found = aOrdering.mPrices.find(aDataCentre);
  return found == aOrdering.mPrices.end() ? 1 : found->second;
}

} // namespace

void
engine_count_planner::UpdateNeed(service_state& aState,
                                 const engine_ordering& aOrdering,
                                 const engine_demand& aDemand,
                                 instant aNow)
{
  if (!aState.mObservedSince) {
    aState.mObservedSince = aNow;
    aState.mUpdatedAt = aNow;
  }
  if (!aState.mLoadedSince && aDemand.mRunning > 0) {
    aState.mLoadedSince = aNow;
  }
  const std::chrono::duration<double> passed = aNow - std::exchange(aState.mUpdatedAt, aNow);
  const std::chrono::duration<double> meanTime = aOrdering.mStartupTime / 2;
  const std::chrono::duration<double> peakDecay =
    kPeakDecayStartups * std::max(aOrdering.mStartupTime, milliseconds{ 1 });
  const auto weight = meanTime.count() > 0 ? 1 - std::exp(-passed / meanTime) : 1;
  aState.mMeanDemand += weight * (DemandInEngines(aDemand) - aState.mMeanDemand);
  aState.mNeeded = std::max(aState.mMeanDemand, aState.mNeeded * std::exp(-passed / peakDecay));
}

double
engine_count_planner::Needed(const std::string& aService) const
{
  const auto found = mServices.find(aService);
  return found == mServices.end() ? 0 : found->second.mNeeded;
}

std::vector<engine_count_planner::wanted_counts>
engine_count_planner::Distribute(const engine_ordering& aOrdering,
                                 std::span<const engine_counts> aCounts,
                                 double aNeeded)
{
  const auto sites = aCounts.size();
  std::vector<wanted_counts> wanted(sites);
  // Without one data centre, the others can serve the need while they are busier than usual.
  constexpr double kMaxBusyRatio = kBusyFraction / kMaxBusyFraction;
  const auto count = static_cast<double>(sites);
  const auto withReserve =
    sites > 1 ? std::max(aNeeded / count, aNeeded * kMaxBusyRatio / (count - 1)) : aNeeded;
  const auto perSite = std::clamp(std::max(Ceil(withReserve), kMinPerDataCentre),
                                  aOrdering.mMinEngines,
                                  std::max(aOrdering.mMinEngines, aOrdering.mMaxEngines));
  if (!aOrdering.mReclaimablePrice) {
    for (auto& one : wanted) {
      one.mStandard = perSite;
    }
    return wanted;
  }
  // The standard engines alone can serve the need while they are busier than usual, so that the
  // loss of reclaimable engines in all data centres is borne.
  const auto standard =
    std::max(Ceil(aNeeded * kMaxBusyRatio), kMinPerDataCentre * static_cast<std::uint32_t>(sites));
  const auto most =
    std::max(kMinPerDataCentre, std::min(perSite, Ceil(kMaxStandardShare * standard)));
  std::vector<std::size_t> byPrice(sites);
  std::iota(byPrice.begin(), byPrice.end(), std::size_t{ 0 });
  std::stable_sort(byPrice.begin(), byPrice.end(), [&](std::size_t aLeft, std::size_t aRight) {
    return PriceIn(aOrdering, aCounts[aLeft].mDataCentre) <
           PriceIn(aOrdering, aCounts[aRight].mDataCentre);
  });
  auto left = standard;
  for (std::size_t i = 0; i < sites; ++i) {
    const auto later = kMinPerDataCentre * static_cast<std::uint32_t>(sites - i - 1);
    auto& one = wanted[byPrice[i]];
    one.mStandard =
      std::min(perSite, std::min(most, std::max(kMinPerDataCentre, left - std::min(left, later))));
    left -= std::min(left, one.mStandard);
  }
  for (auto& one : wanted) {
    one.mReclaimable = perSite - std::min(perSite, one.mStandard);
  }
  return wanted;
}

std::optional<std::uint32_t>
engine_count_planner::NextCount(order_state& aOrder,
                                std::uint32_t aListed,
                                std::uint32_t aWanted,
                                const engine_ordering& aOrdering,
                                bool aMayRemove,
                                instant aNow) const
{
  if (aListed >= aOrder.mOrdered) {
    aOrder.mMissingSince.reset();
  } else {
    aOrder.mMissingSince = aOrder.mMissingSince.value_or(aNow);
  }
  if (aWanted >= aOrder.mOrdered) {
    aOrder.mExcessSince.reset();
  } else {
    aOrder.mExcessSince = aOrder.mExcessSince.value_or(aNow);
  }
  if (aOrder.mIsPending || aNow < aOrder.mNotBefore) {
    return std::nullopt;
  }
  if (aWanted > aOrder.mOrdered) {
    return aWanted;
  }
  if (aMayRemove && aOrder.mExcessSince &&
      aNow - *aOrder.mExcessSince >= kStableStartups * aOrdering.mStartupTime) {
    const auto step = std::max(1U, static_cast<std::uint32_t>(kRemovedFraction * aOrder.mOrdered));
    return std::max(aWanted, aOrder.mOrdered - std::min(aOrder.mOrdered, step));
  }
  if (aOrder.mMissingSince &&
      aNow - *aOrder.mMissingSince >= aOrdering.mStartupTime + kListingDelay) {
    aOrder.mMissingSince = aNow;
    return aOrder.mOrdered;
  }
  return std::nullopt;
}

std::vector<engine_count_order>
engine_count_planner::Plan(const std::string& aService,
                           const engine_ordering& aOrdering,
                           std::span<const engine_counts> aCounts,
                           const engine_demand& aDemand,
                           instant aNow)
{
  std::vector<engine_count_order> due;
  auto& state = mServices[aService];
  const auto engines =
    std::accumulate(aCounts.begin(), aCounts.end(), 0U, [](std::uint32_t aSum, const auto& aOne) {
      return aSum + aOne.mStandard + aOne.mReclaimable;
    });
  if (engines == 0) {
    // Not listed yet, or all lost: nothing tells how many there should be.
    return due;
  }
  UpdateNeed(state, aOrdering, aDemand, aNow);
  const auto needed = state.mNeeded;
  if (aNow - *state.mObservedSince < aOrdering.mStartupTime) {
    // The entries of engines that start together arrive one after another.
    return due;
  }
  const auto wanted = Distribute(aOrdering, aCounts, needed);
  const bool mayRemove =
    state.mLoadedSince && aNow - *state.mLoadedSince >= kLearnStartups * aOrdering.mStartupTime;
  const auto withoutReserve = Ceil(needed / static_cast<double>(aCounts.size()));
  for (std::size_t i = 0; i < aCounts.size(); ++i) {
    const auto& listed = aCounts[i];
    const auto most = std::max(aOrdering.mMinEngines, aOrdering.mMaxEngines);
    // Standard engines stand in for reclaimable ones that cannot be had, as far as the work needs
    // them now.
    const auto standard =
      std::min(most,
               std::max(wanted[i].mStandard,
                        withoutReserve - std::min(withoutReserve, listed.mReclaimable)));
    const auto enoughReclaimable = listed.mReclaimable >= wanted[i].mReclaimable;
    const auto order = [&](bool aReclaimable, std::uint32_t aListed, std::uint32_t aWanted) {
      auto& one = mOrders[{ aService, listed.mDataCentre, aReclaimable }];
      if (!std::exchange(one.mIsKnown, true)) {
        // The stored orders may lack the last one. The larger number removes no engine by mistake.
        one.mOrdered = std::max(one.mOrdered, aListed);
      }
      // Standard engines go only when the reclaimable ones that take over are there.
      const bool removes = mayRemove && (aReclaimable || enoughReclaimable);
      if (const auto count = NextCount(one, aListed, aWanted, aOrdering, removes, aNow)) {
        one.mIsPending = true;
        due.push_back({ aService, listed.mDataCentre, *count, aReclaimable });
      }
    };
    if (aOrdering.mReclaimablePrice) {
      const auto room = most - std::min(most, std::max(standard, listed.mStandard));
      order(true, listed.mReclaimable, std::min(room, wanted[i].mReclaimable));
    }
    order(false, listed.mStandard, standard);
  }
  return due;
}

std::string
engine_count_planner::State() const
{
  auto orders = json::array();
  for (const auto& [key, order] : mOrders) {
    const auto& [service, dataCentre, isReclaimable] = key;
    orders.push_back({ service, dataCentre, isReclaimable, order.mOrdered });
  }
  return orders.dump();
}

void
engine_count_planner::OnAcquired(std::string_view aState)
{
  mOrders.clear();
  const auto orders = ParseUntrustedJson(aState);
  constexpr std::size_t kMembers = 4;
  if (!orders.is_array()) {
    return;
  }
  for (const auto& order : orders) {
    if (order.is_array() && order.size() == kMembers && order[0].is_string() &&
        order[1].is_string() && order[2].is_boolean() && order[3].is_number_unsigned()) {
      mOrders[{ order[0].get<std::string>(), order[1].get<std::string>(), order[2].get<bool>() }]
        .mOrdered = Ceil(order[3].get<double>());
    }
  }
}

void
engine_count_planner::OnResult(const engine_count_order& aOrder, int aStatus, instant aNow)
{
  const auto found = mOrders.find({ aOrder.mService, aOrder.mDataCentre, aOrder.mReclaimable });
  if (found == mOrders.end()) {
    return;
  }
  auto& order = found->second;
  order.mIsPending = false;
  if (aStatus != kOk) {
    order.mNotBefore = aNow + kRetryPause;
    return;
  }
  const bool removed = aOrder.mEngines < order.mOrdered;
  order.mOrdered = aOrder.mEngines;
  if (removed) {
    // The next step waits for the effect of this one.
    order.mNotBefore = aNow + kRemovalPeriod;
  }
}

} // namespace skylarkwind
