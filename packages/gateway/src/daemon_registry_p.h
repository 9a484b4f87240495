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

/// Lets daemons find one another where their seeds do not. Collectors have an object each in the
/// store, and so has a daemon that is connected with no other. A daemon lists them while it is not
/// connected, a collector while it hears of no daemon of some other data centre.
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
  kj::Promise<void> Look();
  kj::Promise<void> Register();
  static void NoteFailure(const std::optional<store_failure>& aFailure);
  /// Creates or replaces this daemon's object; the failure, if any.
  kj::Promise<std::optional<store_failure>> Write(bool aReplace);
  void OnListed(const stored_object& aObject);
  kj::Promise<void> ListPage(std::string aAfter);
  kj::Promise<void> Pause(std::chrono::milliseconds aTime);

  fleet_member mSelf;
  object_store& mStore;
  kj::Timer& mTimer;
  const clock_source& mClock;
  std::mt19937_64 mRandom;
  work_exchange& mExchange;
  std::optional<std::uint64_t> mRevision; ///< of this daemon's object
  bool mSeenSelf = false;                 ///< in the last list
  std::chrono::milliseconds mPause{ 1'500 };
  instant mNextAt{};
};

} // namespace skylarkwind
