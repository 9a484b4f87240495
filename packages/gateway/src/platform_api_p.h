#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/counters.h"
#include "skylarkwind/http_pool.h"
#include "skylarkwind/protocol_adapter.h"

#include <kj/async.h>
#include <kj/timer.h>

#include <string>

namespace skylarkwind {

/// Client of the platform's API, which takes calls for the whole fleet from one daemon at a time.
class platform_api
{
public:
  /// `aAddress`: ip:port; empty when the deployment has none. `aCallsPerS`: calls that this client
  /// may make; those beyond are not sent. 0: no limit.
  platform_api(std::string aAddress,
               double aCallsPerS,
               http_pool& aPool,
               kj::Timer& aTimer,
               const clock_source& aClock,
               counters& aCounters);

  bool IsConfigured() const { return !mAddress.empty(); }
  /// Sends one call, without retries, unless its connection is ready only after `aSendBy`: a call
  /// must not be sent after the time of its holder. Returns the HTTP status of its response; 0 when
  /// no whole response arrived in time, so that the call may have been carried out; `kNotSent` when
  /// it was not sent.
  kj::Promise<int> Call(control_request aCall, instant aSendBy);
  static constexpr int kNotSent = -1;

private:
  bool TakeAllowance();
  void Count(const std::string& aPath, int aStatus);

  std::string mAddress;
  double mCallsPerS;
  double mAllowance; ///< calls that may be made now
  instant mAllowanceAt;
  http_pool& mPool;
  kj::Timer& mTimer;
  const clock_source& mClock;
  counters& mCounters;
};

} // namespace skylarkwind
