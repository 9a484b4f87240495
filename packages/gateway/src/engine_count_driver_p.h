#pragma once

#include "platform_api_p.h"
#include "task_runner_p.h"

#include "skylarkwind/backend_directory.h"
#include "skylarkwind/backend_load_tracker.h"
#include "skylarkwind/engine_count_planner.h"
#include "skylarkwind/engine_model.h"
#include "skylarkwind/load_exchange.h"
#include "skylarkwind/route_index.h"

#include <kj/async.h>

#include <string>
#include <vector>

namespace skylarkwind {

/// Orders engines from the platform as the planner decides, when this daemon holds the task.
class engine_count_driver
{
public:
  engine_count_driver(singleton_task_settings aSettings,
                      const protocol_adapter& aProtocolAdapter,
                      const route_index& aRoutes,
                      const backend_directory& aDirectory,
                      const backend_load_tracker& aLoadTracker,
                      const engine_models& aModels,
                      const load_exchange& aExchange,
                      object_store& aStore,
                      platform_api& aApi,
                      const clock_source& aClock,
                      counters& aCounters,
                      kj::TaskSet& aTasks);

  /// `aWatchesStore`: whether this daemon watches the store; others do not order engines.
  void OnTick(bool aWatchesStore, instant aNow);

private:
  std::vector<engine_count_order> PlanAll(instant aNow);
  std::vector<engine_counts> CountEngines(const forward_service& aService) const;
  engine_demand Demand(const forward_service& aService, instant aNow) const;
  /// Another daemon acts from now on, or none.
  void EndDuty(instant aNow);
  void Send(const engine_count_order& aOrder, std::uint64_t aToken);
  void OnStatus(const engine_count_order& aOrder, int aStatus);

  std::string mSelf;
  const protocol_adapter& mProtocolAdapter;
  const route_index& mRoutes;
  const backend_directory& mDirectory;
  const backend_load_tracker& mLoadTracker;
  const engine_models& mModels;
  const load_exchange& mExchange;
  platform_api& mApi;
  const clock_source& mClock;
  counters& mCounters;
  kj::TaskSet& mTasks;
  engine_count_planner mPlanner;
  task_runner mRunner;
  std::uint64_t mTerm = 0; ///< of the task, in which the planner's orders were sent; 0: in none
  std::size_t mCallsUnderWay = 0;
  std::vector<engine_count_order> mWaiting; ///< due, until this daemon may call
};

} // namespace skylarkwind
