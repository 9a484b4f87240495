#pragma once

#include "skylarkwind/backend_board.h"
#include "skylarkwind/backend_directory.h"
#include "skylarkwind/body_reader.h"
#include "skylarkwind/forward_dialect.h"
#include "skylarkwind/http_pool.h"
#include "skylarkwind/object_store.h"
#include "skylarkwind/role_keeper.h"
#include "skylarkwind/route_index.h"
#include "skylarkwind/work_exchange.h"

#include <kj/async.h>
#include <kj/timer.h>

#include <string>

namespace skylarkwind {

/// Executes the actions that the role controller decides on: reads and writes the command lease in
/// the store, queries engines for their state and sends them role commands.
class role_driver
{
public:
  role_driver(role_keeper_settings aSettings,
              const forward_dialect& aDialect,
              const route_index& aRoutes,
              backend_directory& aDirectory,
              backend_board& aBoard,
              work_exchange& aExchange,
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
  std::vector<role_keeper::service_view> ServiceViews(instant aNow) const;
  void Execute(const std::vector<role_action>& aActions);
  void Execute(const read_lease& aRead);
  void Execute(const write_lease& aWrite);
  void Execute(const ask_engine_state& aQuery);
  void Execute(const give_role_order& aSend);
  /// Calls an engine and returns the status and body of its response; empty when no complete
  /// response arrived in time.
  kj::Promise<std::optional<std::pair<int, std::string>>> CallEngine(const std::string& aBackendId,
                                                                     control_call aCall);

  std::string mSelf;
  role_keeper mController;
  const forward_dialect& mDialect;
  const route_index& mRoutes;
  backend_directory& mDirectory;
  backend_board& mBoard;
  work_exchange& mExchange;
  object_store& mStore;
  http_pool& mPool;
  byte_budget& mBodyBudget;
  kj::Timer& mTimer;
  const clock_source& mClock;
  kj::TaskSet& mTasks;
};

} // namespace skylarkwind
