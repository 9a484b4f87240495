#pragma once

#include <kj/async.h>

namespace skylarkwind {

/// Stages of a planned shutdown, in their order.
enum class shutdown_stage
{
  Serving,
  Closing,  ///< connections are closed after the next response
  Refusing, ///< requests that have not arrived whole are refused
  Ending,   ///< requests whose response has not begun get the response that is true of them
  Exiting   ///< the process is about to exit and drops what is still open
};

/// The stage that a daemon has reached, for its listener and its exchanges.
class shutdown_signal
{
public:
  bool Reached(shutdown_stage aStage) const { return mStage >= aStage; }
  shutdown_stage Stage() const { return mStage; }
  /// Stages are never left for an earlier one.
  void Enter(shutdown_stage aStage)
  {
    if (Reached(aStage)) {
      return;
    }
    mStage = aStage;
    if (Reached(shutdown_stage::Refusing)) {
      mRefusing.mFulfiller->fulfill();
    }
    if (Reached(shutdown_stage::Ending)) {
      mEnding.mFulfiller->fulfill();
    }
  }
  /// Resolve when the stage is reached.
  kj::Promise<void> WhenRefusing() { return mRefusing.mReached.addBranch(); }
  kj::Promise<void> WhenEnding() { return mEnding.mReached.addBranch(); }

private:
  /// Wakes everyone who waits for a stage.
  struct waiters
  {
    waiters()
      : waiters(kj::newPromiseAndFulfiller<void>())
    {
    }
    explicit waiters(kj::PromiseFulfillerPair<void> aPair)
      : mReached(aPair.promise.fork())
      , mFulfiller(kj::mv(aPair.fulfiller))
    {
    }
    kj::ForkedPromise<void> mReached;
    kj::Own<kj::PromiseFulfiller<void>> mFulfiller;
  };

  shutdown_stage mStage = shutdown_stage::Serving;
  waiters mRefusing;
  waiters mEnding;
};

} // namespace skylarkwind
