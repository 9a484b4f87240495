#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/forward_types.h"
#include "skylarkwind/protocol_adapter.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace skylarkwind {

/// Engines of a service in one data centre that are listed and not draining.
struct engine_counts
{
  std::string mDataCentre;
  std::uint32_t mStandard = 0;
  std::uint32_t mReclaimable = 0;
};

/// Work of a service as all daemons together see it.
struct engine_demand
{
  /// Time that engines spent on prompts in the last second, in engine-seconds per second.
  double mPromptWork = 0;
  /// Time that engines need for the prompts that wait, in engine-seconds.
  double mWaitingWork = 0;
  double mRunning = 0;      ///< requests in progress
  std::uint32_t mSlots = 1; ///< requests that one engine runs at the same time
};

/// Plans how many engines of a service each data centre should have, from the work that they do
/// rather than from the number of requests. It answers load with bursts that recur: the plan
/// follows the slowly decaying peak of the demand, adds engines at once and removes them slowly.
/// Bursts that are shorter than the start of an engine cannot be answered by orders, so the demand
/// is a mean over a part of that time, and the reserve bears them. Each plan can bear the loss of a
/// data centre, or of all reclaimable engines of one; reclaimable engines take what can be missed.
class engine_count_planner
{
public:
  /// The orders that are due now. To be called regularly with fresh figures, also while no order
  /// can be sent.
  std::vector<engine_count_order> Plan(const std::string& aService,
                                       const engine_ordering& aOrdering,
                                       std::span<const engine_counts> aCounts,
                                       const engine_demand& aDemand,
                                       instant aNow);
  /// Result of an order: the HTTP status, 0 without an answer, below 0 if not sent.
  void OnResult(const engine_count_order& aOrder, int aStatus, instant aNow);
  /// Begins from the orders in the stored state of the task, since another daemon may have ordered
  /// meanwhile.
  void OnAcquired(std::string_view aState);
  /// The orders that the platform has accepted, for the stored state of the task.
  std::string State() const;
  /// Forgets what was ordered.
  void ForgetOrders() { mOrders.clear(); }

  /// Engines that the work needs, by the decaying peak of the demand, without any reserve.
  double Needed(const std::string& aService) const;

private:
  /// The engines of one kind in one data centre.
  struct order_state
  {
    std::uint32_t mOrdered = 0; ///< as last accepted, or as listed when that is not known
    bool mIsKnown = false;      ///< `mOrdered` has been compared with the listed engines
    std::optional<std::uint32_t> mPending; ///< of the order that is under way
    bool mIsRefused = false;               ///< the platform has no engines to replace missing ones
    instant mNotBefore{};                  ///< of the next order after a refusal
    instant mRemoveNotBefore{};            ///< of the next removal
    std::optional<instant> mExcessSince;   ///< more engines than wanted since then
    std::optional<instant> mMissingSince;  ///< fewer engines than ordered since then
    std::optional<instant> mSurplusSince;  ///< more engines than ordered since then
  };
  /// Most engines that were listed in the last seconds: entries of living engines may be missing
  /// after an outage of the store.
  struct listed_peak
  {
    std::uint32_t mEngines = 0;
    instant mAt{};
  };
  /// Counts between which the next order of one kind may lie.
  struct order_range
  {
    std::uint32_t mWanted = 0;
    std::uint32_t mKept = 0; ///< engines that a removal leaves
    std::uint32_t mMost = 0;
  };
  struct service_state
  {
    double mMeanDemand = 0; ///< in engines, over about half of a start-up time
    double mNeeded = 0;     ///< decaying peak of the mean
    instant mUpdatedAt{};
    std::optional<instant> mObservedSince;
    std::optional<instant> mLoadedSince; ///< first request; a service without any shows nothing
    instant mRemoveNotBefore{};          ///< of the next removal in any data centre
  };
  /// Engines wanted in a data centre.
  struct wanted_counts
  {
    std::uint32_t mStandard = 0;
    std::uint32_t mReclaimable = 0;
  };

  static std::vector<wanted_counts> Distribute(const engine_ordering& aOrdering,
                                               std::span<const engine_counts> aCounts,
                                               double aNeeded);
  static void UpdateNeed(service_state& aState,
                         const engine_ordering& aOrdering,
                         const engine_demand& aDemand,
                         instant aNow);
  /// The count to order now for one kind of engines, if it differs from what is ordered.
  std::optional<std::uint32_t> NextCount(order_state& aOrder,
                                         std::uint32_t aListed,
                                         const order_range& aRange,
                                         const engine_ordering& aOrdering,
                                         bool aMayRemove,
                                         instant aNow) const;
  /// Engines of a kind that are there or may be started by orders.
  static std::uint32_t Held(const order_state& aOrder, std::uint32_t aListed);
  /// Engines of a kind that are there and not about to be removed.
  static std::uint32_t Staying(const order_state& aOrder, std::uint32_t aListed);
  /// The orders of a kind, compared with the listed engines.
  order_state& OrderOf(const std::string& aService,
                       const engine_counts& aListed,
                       bool aReclaimable,
                       std::uint32_t aMost);
  void UpdatePeaks(const std::string& aService,
                   const engine_ordering& aOrdering,
                   std::span<const engine_counts> aCounts,
                   instant aNow);

  std::map<std::string, service_state> mServices;
  /// By service, data centre and whether the engines are reclaimable.
  std::map<std::tuple<std::string, std::string, bool>, order_state> mOrders;
  std::map<std::tuple<std::string, std::string, bool>, listed_peak> mListedPeaks;
};

} // namespace skylarkwind
