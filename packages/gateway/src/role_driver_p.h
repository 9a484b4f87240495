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

/// Carries out what the role keeper decides: calls of the store and of engines.
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

  /// `aFollows`: whether this daemon follows the store; others leave the lease alone.
  void OnTick(bool aFollows, instant aNow);
  void SetPrefillShare(double aShare) { mKeeper.SetPrefillShare(aShare); }

private:
  std::vector<role_keeper::service_view> Views(instant aNow) const;
  void Carry(const std::vector<role_action>& aActions);
  void Carry(const read_lease& aRead);
  void Carry(const write_lease& aWrite);
  void Carry(const ask_engine_state& aAsk);
  void Carry(const give_role_order& aGive);
  /// Calls an engine; empty when no whole answer came in time.
  kj::Promise<std::optional<std::pair<int, std::string>>> CallEngine(const std::string& aBackendId,
                                                                     control_call aCall);

  std::string mSelf;
  role_keeper mKeeper;
  const forward_dialect& mDialect;
  const route_index& mRoutes;
  backend_directory& mDirectory;
  backend_board& mBoard;
  work_exchange& mExchange;
  object_store& mStore;
  http_pool& mPool;
  byte_budget& mBodies;
  kj::Timer& mTimer;
  const clock_source& mClock;
  kj::TaskSet& mTasks;
};

} // namespace skylarkwind
