#include "skylarkwind/engine_count_planner.h"

#include "skylarkwind/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
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
/// Of the engines of a kind in a data centre, and of all engines of the service, at most this
/// fraction is removed in one period. The cached prompts of the removed ones are lost, and roles
/// are assigned anew.
constexpr double kRemovedFraction = 0.15;
constexpr milliseconds kRemovalPeriod{ 2'000 };
/// Pause after an order that the platform refused or did not answer.
constexpr milliseconds kRetryPause{ 3'000 };
/// Pause after an order that was not sent because the calls of this daemon are limited.
constexpr milliseconds kNotSentPause{ 500 };
/// Time beyond the start-up time after which engines that were ordered and are not listed are
/// ordered again.
constexpr milliseconds kListingDelay{ 3'000 };
/// Engines that a data centre keeps: one of each role.
constexpr std::uint32_t kMinPerDataCentre = 2;
/// Fraction of the standard engines that one data centre may have, however cheap it is.
constexpr double kMaxStandardShare = 0.5;
constexpr int kOk = 200;
constexpr int kNoneAvailable = 409;
constexpr int kNoAnswer = 0;

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
    sites > 1 ? std::max(kMinPerDataCentre, std::min(perSite, Ceil(kMaxStandardShare * standard)))
              : perSite;
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
                                const order_range& aRange,
                                const engine_ordering& aOrdering,
                                bool aMayRemove,
                                instant aNow) const
{
  const auto track = [&](std::optional<instant>& aSince, bool aHolds) {
    aSince = aHolds ? std::optional{ aSince.value_or(aNow) } : std::nullopt;
  };
  const auto listingTime = aOrdering.mStartupTime + kListingDelay;
  track(aOrder.mSurplusSince, aListed > aOrder.mOrdered);
  if (!aOrder.mPending && aOrder.mSurplusSince && aNow - *aOrder.mSurplusSince >= listingTime) {
    // An order without answer was carried out, or one for fewer engines was not.
    aOrder.mOrdered = aListed;
    aOrder.mSurplusSince.reset();
  }
  const auto wanted = std::min(aRange.mWanted, aRange.mMost);
  const auto kept = std::max(wanted, aRange.mKept);
  const auto most = std::max(aListed, aRange.mMost);
  track(aOrder.mMissingSince, aListed < aOrder.mOrdered);
  track(aOrder.mExcessSince, kept < aOrder.mOrdered);
  if (aOrder.mPending || aNow < aOrder.mNotBefore) {
    return std::nullopt;
  }
  if (wanted > aOrder.mOrdered) {
    return wanted;
  }
  if (aMayRemove && aOrder.mExcessSince && aNow >= aOrder.mRemoveNotBefore &&
      aNow - *aOrder.mExcessSince >= kStableStartups * aOrdering.mStartupTime) {
    const auto step = std::max(1U, static_cast<std::uint32_t>(kRemovedFraction * aOrder.mOrdered));
    return std::min(most, std::max(kept, aOrder.mOrdered - std::min(aOrder.mOrdered, step)));
  }
  if (aOrder.mMissingSince && (aOrder.mIsRefused || aNow - *aOrder.mMissingSince >= listingTime)) {
    aOrder.mMissingSince = aNow;
    return std::min(most, aOrder.mOrdered);
  }
  return std::nullopt;
}

std::uint32_t
engine_count_planner::Held(const order_state& aOrder, std::uint32_t aListed)
{
  const auto pending = aOrder.mPending.value_or(0);
  return std::max({ aListed, pending, aOrder.mIsRefused ? 0 : aOrder.mOrdered });
}

std::uint32_t
engine_count_planner::Staying(const order_state& aOrder, std::uint32_t aListed)
{
  return std::min(aListed, aOrder.mPending.value_or(aOrder.mOrdered));
}

engine_count_planner::order_state&
engine_count_planner::OrderOf(const std::string& aService,
                              const engine_counts& aListed,
                              bool aReclaimable,
                              std::uint32_t aMost)
{
  auto& order = mOrders[{ aService, aListed.mDataCentre, aReclaimable }];
  if (!std::exchange(order.mIsKnown, true)) {
    // The stored orders may lack the last one. The larger number removes no engine by mistake.
    const auto& peak = mListedPeaks[{ aService, aListed.mDataCentre, aReclaimable }];
    order.mOrdered = std::max(std::min(order.mOrdered, aMost), peak.mEngines);
  }
  return order;
}

void
engine_count_planner::UpdatePeaks(const std::string& aService,
                                  const engine_ordering& aOrdering,
                                  std::span<const engine_counts> aCounts,
                                  instant aNow)
{
  for (const auto& listed : aCounts) {
    for (const bool isReclaimable : { false, true }) {
      auto& peak = mListedPeaks[{ aService, listed.mDataCentre, isReclaimable }];
      const auto engines = isReclaimable ? listed.mReclaimable : listed.mStandard;
      if (engines >= peak.mEngines || aNow - peak.mAt >= aOrdering.mStartupTime + kListingDelay) {
        peak = { engines, aNow };
      }
    }
  }
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
  UpdatePeaks(aService, aOrdering, aCounts, aNow);
  const auto needed = state.mNeeded;
  if (aNow - *state.mObservedSince < aOrdering.mStartupTime) {
    // The entries of engines that start together arrive one after another.
    return due;
  }
  const auto wanted = Distribute(aOrdering, aCounts, needed);
  const bool mayRemove =
    state.mLoadedSince && aNow - *state.mLoadedSince >= kLearnStartups * aOrdering.mStartupTime;
  const auto withoutReserve = Ceil(needed / static_cast<double>(aCounts.size()));
  const auto most = std::max(aOrdering.mMinEngines, aOrdering.mMaxEngines);
  const auto allEngines = static_cast<double>(engines);
  for (std::size_t i = 0; i < aCounts.size(); ++i) {
    const auto& listed = aCounts[i];
    auto& standard = OrderOf(aService, listed, false, most);
    auto& reclaimable = OrderOf(aService, listed, true, most);
    const auto order = [&](order_state& aOrder, bool aReclaimable, const order_range& aRange) {
      const auto present = aReclaimable ? listed.mReclaimable : listed.mStandard;
      const bool removes = mayRemove && aNow >= state.mRemoveNotBefore;
      if (const auto count = NextCount(aOrder, present, aRange, aOrdering, removes, aNow)) {
        if (*count < aOrder.mOrdered) {
          const auto periods = (aOrder.mOrdered - *count) / (kRemovedFraction * allEngines);
          state.mRemoveNotBefore =
            aNow + std::chrono::duration_cast<milliseconds>(periods * kRemovalPeriod);
        }
        aOrder.mPending = *count;
        due.push_back({ aService, listed.mDataCentre, *count, aReclaimable });
      }
    };
    // Standard engines stand in for reclaimable ones that cannot be had, as far as the work needs
    // them now. Engines of a kind are removed only when those of the other kind that take over are
    // listed.
    const auto all = wanted[i].mStandard + wanted[i].mReclaimable;
    const auto standIns = withoutReserve - std::min(withoutReserve, listed.mReclaimable);
    const auto wantedStandard = std::max(wanted[i].mStandard, standIns);
    if (aOrdering.mReclaimablePrice) {
      order(reclaimable,
            true,
            { wanted[i].mReclaimable,
              all - std::min(all, Staying(standard, listed.mStandard)),
              most - std::min(most, Held(standard, listed.mStandard)) });
    }
    order(standard,
          false,
          { wantedStandard,
            all - std::min(all, Staying(reclaimable, listed.mReclaimable)),
            most - std::min(most, Held(reclaimable, listed.mReclaimable)) });
  }
  return due;
}

std::string
engine_count_planner::State() const
{
  auto orders = json::array();
  for (const auto& [key, order] : mOrders) {
    const auto& [service, dataCentre, isReclaimable] = key;
    if (order.mOrdered > 0) {
      orders.push_back({ service, dataCentre, isReclaimable, order.mOrdered });
    }
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
  order.mPending.reset();
  const bool removes = aOrder.mEngines < order.mOrdered;
  order.mIsRefused = aStatus == kNoneAvailable && aOrder.mEngines == order.mOrdered;
  if (removes) {
    // The next step waits for the effect of this one.
    order.mRemoveNotBefore = aNow + kRemovalPeriod;
  }
  if (aStatus != kOk) {
    order.mNotBefore = aNow + (aStatus < 0 ? kNotSentPause : kRetryPause);
  }
  if (aStatus == kOk || (aStatus == kNoAnswer && removes)) {
    // A removal without answer may have been carried out. Taken as accepted, it does not hide a
    // later need; engines that stay listed are removed again.
    order.mOrdered = aOrder.mEngines;
    order.mSurplusSince.reset();
    order.mMissingSince.reset();
  }
}

} // namespace skylarkwind
