#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/load_exchange.h"
#include "skylarkwind/object_store.h"

#include <kj/async.h>
#include <kj/timer.h>

#include <optional>
#include <random>
#include <string>

namespace skylarkwind {

/// Lets daemons discover one another through the store when their seeds are not enough. Each
/// collector registers an object in the store, and so does a daemon that is connected to no other.
/// A daemon lists these objects while it is not connected, a collector also while it knows of no
/// daemon in some other data centre.
class daemon_registry
{
public:
  daemon_registry(fleet_member aSelf,
                  object_store& aStore,
                  kj::Timer& aTimer,
                  const clock_source& aClock,
                  std::uint64_t aRandomSeed,
                  load_exchange& aExchange);

  /// Registers this daemon and lists the others when needed, until the promise is dropped.
  kj::Promise<void> Run();
  /// Removes this daemon's object from the store before the daemon stops. It is not registered
  /// again.
  kj::Promise<void> Leave();

private:
  /// Lists and registers when this daemon is not connected, knows of no daemon in some data centre,
  /// or is an unregistered collector.
  kj::Promise<void> RefreshIfNeeded();
  kj::Promise<void> Register();
  kj::Promise<void> Deregister();
  kj::Promise<void> Remove(std::uint64_t aRevision);
  /// Removes the object that the copy from which the store was restored may hold of this daemon.
  kj::Promise<void> RemoveFromRestoredStore();
  static void LogDeregistrationFailure(const store_failure& aFailure);
  /// Makes the next check register again when the store was restored from a copy.
  void NoticeRestoredStore();
  static void LogFailure(const std::optional<store_failure>& aFailure);
  /// Creates or replaces this daemon's object; returns the failure, if any.
  kj::Promise<std::optional<store_failure>> Write(bool aReplace);
  void OnListed(const stored_object& aObject);
  kj::Promise<void> ListPage(std::string aAfter);
  kj::Promise<void> Delay(std::chrono::milliseconds aTime);

  fleet_member mSelf;
  object_store& mStore;
  kj::Timer& mTimer;
  const clock_source& mClock;
  std::mt19937_64 mRandom;
  load_exchange& mExchange;
  std::optional<std::uint64_t> mRevision; ///< of this daemon's object; empty when not registered
  std::uint64_t mEra = 0;                 ///< of the store, as known at the last check
  bool mWritesAgain = false; ///< the object was lost with the store's newest objects, or is older
  bool mLeaving = false;
  bool mFoundSelf = false; ///< whether the last list held this daemon's current object
  std::chrono::milliseconds mListInterval{ 1'500 };
  instant mNextListAt{};
};

} // namespace skylarkwind
