#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/object_store.h"
#include "skylarkwind/work_exchange.h"

#include <kj/async.h>
#include <kj/timer.h>

#include <optional>
#include <random>
#include <string>

namespace skylarkwind {

/// Lets daemons find one another when they start. Each has one object in the store, which it writes
/// at its start unless an earlier process left it. A daemon lists the others until it is connected
/// with them, and again when it has lost all of them; what it needs to know beyond that comes with
/// their messages.
class daemon_registry
{
public:
  daemon_registry(fleet_member aSelf,
                  object_store& aStore,
                  kj::Timer& aTimer,
                  const clock_source& aClock,
                  std::uint64_t aRandomSeed,
                  work_exchange& aExchange);

  /// Registers this daemon and lists the others when that is needed, until it is dropped.
  kj::Promise<void> Run();
  /// Takes this daemon's object back before it stops.
  kj::Promise<void> Leave();

private:
  kj::Promise<void> Register();
  kj::Promise<void> RegisterLater(const store_failure& aFailure);
  /// Creates or replaces this daemon's object; the failure, if any.
  kj::Promise<std::optional<store_failure>> Write(bool aReplace);
  void OnListed(const stored_object& aObject);
  kj::Promise<void> ListForever();
  kj::Promise<void> ListPage(std::string aAfter);
  kj::Promise<void> Pause(std::chrono::milliseconds aTime);

  fleet_member mSelf;
  object_store& mStore;
  kj::Timer& mTimer;
  const clock_source& mClock;
  std::mt19937_64 mRandom;
  work_exchange& mExchange;
  std::optional<std::uint64_t> mRevision; ///< of this daemon's object
  std::uint32_t mLists = 0;
};

} // namespace skylarkwind
