#pragma once

#include "skylarkwind/counters.h"
#include "skylarkwind/effects.h"
#include "skylarkwind/events.h"
#include "skylarkwind/fleet.h"
#include "skylarkwind/limit_shares.h"
#include "skylarkwind/order_claims.h"
#include "skylarkwind/table.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwind {

struct serving_settings
{
  process_id mSelf;
  std::string mDataCentre;
  std::string mResumeKey; ///< HMAC key of resume tokens, the same in all daemons
  std::chrono::milliseconds mDefaultTimeLimit{ 60'000 };
  std::chrono::milliseconds mFirstProgressLimit{ 10'000 };
  std::chrono::milliseconds mProgressLimit{ 5'000 };
  std::uint32_t mMaxAttempts = 4;
  double mRetryRatio = 0.1;                 ///< retries as a share of live traffic
  std::uint64_t mSplitPromptTokens = 8'192; ///< shorter prompts are never split
  std::uint64_t mRandomSeed = 1;
};

/// The life of all requests of this daemon: admission, routing, attempts, retry, resume, end.
class serving
{
public:
  static absl::StatusOr<std::unique_ptr<serving>> Create(serving_settings aSettings,
                                                         fleet& aFleet,
                                                         limit_shares& aLimits,
                                                         order_claims& aClaims,
                                                         counters& aCounters);
  virtual ~serving() = default;

  virtual void OnTable(const table& aTable, instant aNow) = 0;
  virtual void OnCaller(const caller_arrived& aArrived, instant aNow, effect_list& aOut) = 0;
  virtual void OnCallerGone(request_id aRequest, instant aNow, effect_list& aOut) = 0;
  virtual void OnAttempt(const attempt_progress& aProgress, instant aNow, effect_list& aOut) = 0;
  virtual void OnClaim(const claim_decision& aDecision, instant aNow, effect_list& aOut) = 0;
  virtual void OnCacheEvents(const cache_events_read& aRead, instant aNow) = 0;
  virtual void OnTick(instant aNow, effect_list& aOut) = 0;
  /// From now on new requests are refused as not run; open ones go on.
  virtual void OnShutdown(instant aNow, effect_list& aOut) = 0;

  /// True when no request is open.
  virtual bool Idle() const = 0;

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
