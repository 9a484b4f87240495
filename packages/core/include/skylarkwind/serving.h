#pragma once

#include "skylarkwind/counters.h"
#include "skylarkwind/effects.h"
#include "skylarkwind/events.h"
#include "skylarkwind/fleet.h"
#include "skylarkwind/limit_shares.h"
#include "skylarkwind/request_claims.h"
#include "skylarkwind/table.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwind {

/// Settings of `serving`.
struct serving_settings
{
  process_id mSelf;
  std::string mDataCentre;
  std::string mResumeKey; ///< HMAC key of resume tokens; the same in all daemons
  std::chrono::milliseconds mDefaultTimeLimit{ 60'000 };   ///< of services without their own
  std::chrono::milliseconds mFirstProgressLimit{ 10'000 }; ///< until a generation's first byte
  std::chrono::milliseconds mProgressLimit{ 5'000 };       ///< between later bytes
  std::uint32_t mMaxAttempts = 4; ///< consecutive failures without progress that end a request
  double mRetryRatio = 0.1;       ///< retries as a fraction of live traffic
  /// Only longer prompts are split into prefill and decode at two engines.
  std::uint64_t mSplitPromptTokens = 8'192;
  std::uint64_t mRandomSeed = 1;
};

/// Serves all requests of this daemon: admission, routing, attempts, retries, resumption and end.
class serving
{
public:
  /// The references must outlive the object. Fails if a setting is invalid.
  static absl::StatusOr<std::unique_ptr<serving>> Create(serving_settings aSettings,
                                                         fleet& aFleet,
                                                         limit_shares& aLimits,
                                                         request_claims& aClaims,
                                                         counters& aCounters);
  virtual ~serving() = default;

  /// A new table is in force.
  virtual void OnTable(const table& aTable, instant aNow) = 0;
  virtual void OnCaller(const caller_arrived& aArrived, instant aNow, effect_list& aOut) = 0;
  virtual void OnCallerDisconnected(request_id aRequest, instant aNow, effect_list& aOut) = 0;
  virtual void OnAttempt(const attempt_progress& aProgress, instant aNow, effect_list& aOut) = 0;
  /// The decision on the claim of a non-idempotent request.
  virtual void OnClaim(const claim_decision& aDecision, instant aNow, effect_list& aOut) = 0;
  virtual void OnCacheEvents(const cache_events_read& aRead, instant aNow) = 0;
  /// Handles timers, due attempts and the queues.
  virtual void OnTick(instant aNow, effect_list& aOut) = 0;
  /// Refuses new requests as not run from now on; open ones are completed.
  virtual void OnShutdown(instant aNow, effect_list& aOut) = 0;

  /// Whether no request is open.
  virtual bool Idle() const = 0;

  /// Work that waits in the queue of a service. The output tokens are an estimate.
  struct queued_work
  {
    std::string mService;
    std::uint64_t mRequests = 0;
    std::uint64_t mPromptTokens = 0;
    std::uint64_t mOutputTokens = 0;
  };
  virtual std::vector<queued_work> Queued() const = 0;
};

} // namespace skylarkwind
