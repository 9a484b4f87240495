#pragma once

#include "peer_digests_p.h"

#include "skylarkwind/clock.h"
#include "skylarkwind/object_store.h"

#include <kj/async.h>
#include <kj/timer.h>

#include <optional>
#include <random>
#include <string>

namespace skylarkwind {

/// Lets daemons find one another. Each has one object in the store, which it writes at its start
/// unless an earlier process left it, and lists the others then and now and again. Beyond that a
/// daemon learns of another from its first digest, so that the calls do not grow with the square of
/// their number.
class daemon_registry
{
public:
  daemon_registry(std::string aSelf,
                  std::string aAddress,
                  std::string aDataCentre,
                  object_store& aStore,
                  kj::Timer& aTimer,
                  std::uint64_t aRandomSeed,
                  peer_digests& aPeers);

  /// Registers this daemon and keeps the list of the others until it is dropped.
  kj::Promise<void> Run();
  /// Takes this daemon's object back before it stops.
  kj::Promise<void> Leave();
  void OnDigest(const work_digest& aDigest);

private:
  kj::Promise<void> Register();
  kj::Promise<void> RegisterLater(const store_failure& aFailure);
  /// Creates or replaces this daemon's object; the failure, if any.
  kj::Promise<std::optional<store_failure>> Write(bool aReplace);
  void OnListed(const stored_object& aObject);
  kj::Promise<void> ListForever();
  kj::Promise<void> ListPage(std::string aAfter);
  kj::Promise<void> Pause(std::chrono::milliseconds aTime);

  std::string mSelf;
  std::string mAddress;
  std::string mDataCentre;
  object_store& mStore;
  kj::Timer& mTimer;
  std::mt19937_64 mRandom;
  peer_digests& mPeers;
  std::optional<std::uint64_t> mRevision; ///< of this daemon's object
  std::uint32_t mLists = 0;
};

} // namespace skylarkwind
