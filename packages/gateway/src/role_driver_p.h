#pragma once

#include "skylarkwind/backend_directory.h"
#include "skylarkwind/backend_load_tracker.h"
#include "skylarkwind/body_reader.h"
#include "skylarkwind/http_pool.h"
#include "skylarkwind/load_exchange.h"
#include "skylarkwind/object_store.h"
#include "skylarkwind/protocol_adapter.h"
#include "skylarkwind/role_controller.h"
#include "skylarkwind/route_index.h"

#include <kj/async.h>
#include <kj/timer.h>

#include <cstdint>
#include <string>

namespace skylarkwind {

/// Executes the actions that the role controller decides on: reads and writes the command lease in
/// the store, queries engines for their state and sends them role commands.
class role_driver
{
public:
  role_driver(role_controller_settings aSettings,
              const protocol_adapter& aProtocolAdapter,
              const route_index& aRoutes,
              backend_directory& aDirectory,
              backend_load_tracker& aLoadTracker,
              load_exchange& aExchange,
              object_store& aStore,
              http_pool& aPool,
              byte_budget& aBodies,
              kj::Timer& aTimer,
              const clock_source& aClock,
              kj::TaskSet& aTasks);

  /// Runs one step of the role controller. `aWatchesStore`: whether this daemon watches the store;
  /// other daemons do not touch the command lease.
  void OnTick(bool aWatchesStore, instant aNow);
  /// Sets the share (0 to 1) of a model service's engines that should prefill.
  void SetPrefillShare(double aShare) { mController.SetPrefillShare(aShare); }

private:
  std::vector<role_controller::service_view> ServiceViews(instant aNow) const;
  /// Tells the controller when the store was restored since the last call, or before the start.
  void NoticeEra(instant aNow);
  void Execute(const std::vector<role_action>& aActions);
  void Execute(const read_lease& aRead);
  void Execute(const write_lease& aWrite);
  void Execute(const query_engine_state& aQuery);
  void Execute(const send_role_command& aSend);
  /// Calls an engine and returns the status and body of its response; empty when no complete
  /// response arrived in time.
  kj::Promise<std::optional<std::pair<int, std::string>>> CallEngine(const std::string& aBackendId,
                                                                     control_request aCall);

  std::string mSelf;
  role_controller mController;
  const protocol_adapter& mProtocolAdapter;
  const route_index& mRoutes;
  backend_directory& mDirectory;
  backend_load_tracker& mLoadTracker;
  load_exchange& mExchange;
  object_store& mStore;
  http_pool& mPool;
  byte_budget& mBodyBudget;
  kj::Timer& mTimer;
  const clock_source& mClock;
  kj::TaskSet& mTasks;
  std::uint64_t mEra = 0; ///< era of the store that the controller knows
};

} // namespace skylarkwind
