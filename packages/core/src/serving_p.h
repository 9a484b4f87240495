#pragma once

#include "open_request_p.h"
#include "service_index_p.h"

#include "skylarkwind/admission.h"
#include "skylarkwind/prefix_cache_estimate.h"
#include "skylarkwind/retry_budget.h"
#include "skylarkwind/router.h"
#include "skylarkwind/serving.h"

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace skylarkwind {

/// Status, codes and message of an error response.
struct refusal
{
  int mStatus = 503;
  std::string mType;
  std::string mCode;
  std::string mMessage;
  std::optional<std::chrono::milliseconds> mRetryAfter;
};

/// Measured means of a service's generations.
struct service_statistics
{
  double mOutputTokens = 256; ///< mean length of a response
  /// Mean time to transfer the KV cache of one prompt token between engines, in seconds. The
  /// initial value is low enough for the first long prompts to be split, so that the time gets
  /// measured.
  double mTransferSecondsPerToken = 2e-6;
};

/// Implementation of `serving`.
class request_serving final : public serving
{
public:
  request_serving(serving_settings aSettings,
                  fleet& aFleet,
                  limit_shares& aLimits,
                  request_claims& aClaims,
                  counters& aCounters);

  void OnTable(const table& aTable, instant aNow) override;
  void OnCaller(const caller_arrived& aArrived, instant aNow, effect_list& aOut) override;
  void OnCallerDisconnected(request_id aRequest, instant aNow, effect_list& aOut) override;
  void OnAttempt(const attempt_progress& aProgress, instant aNow, effect_list& aOut) override;
  void OnClaim(const claim_decision& aDecision, instant aNow, effect_list& aOut) override;
  void OnCacheEvents(const cache_events_read& aRead, instant aNow) override;
  void OnTick(instant aNow, effect_list& aOut) override;
  void OnShutdown(instant aNow, effect_list& aOut) override;
  bool Idle() const override { return mOpenRequests.empty(); }
  std::vector<queued_work> Queued() const override;

private:
  /// Result of an attempt to send a request.
  enum class start_result
  {
    Started,
    NoEngine, ///< no backend server admits the request
    NoShare,  ///< a limit has no ticket left; a larger share has been requested
    Refused   ///< the request has ended with an error response
  };

  /// The engine or backend server for the next attempt; null if none admits the request.
  struct placement
  {
    const engine_view* mEngine = nullptr;
    bool mPrefillOnly = false;
    std::optional<engine_role> mNextRole; ///< role of the engine that decodes after the prefill
  };

  /// Times with the numbers of their requests.
  using timer_set = std::set<std::pair<instant, std::uint64_t>>;

  // Arrival and admission (serving_arrival.cpp).
  void RefuseArrival(request_id aRequest, refusal aRefusal, effect_list& aOut);
  std::shared_ptr<const service_entry> FindService(const caller_request& aBody) const;
  bool PrepareGeneration(open_request& aRequest, effect_list& aOut);
  bool VersionExists(std::string_view aModel, std::string_view aVersion) const;
  open_request& Open(open_request aRequest);
  void Admit(open_request& aRequest, instant aNow, effect_list& aOut);
  void Enqueue(open_request& aRequest, instant aNow, effect_list& aOut);
  void DispatchAll(instant aNow, effect_list& aOut);
  void Dispatch(const std::string& aService, instant aNow, effect_list& aOut);

  // Placement (serving_placement.cpp).
  placement Place(open_request& aRequest, instant aNow);
  placement PlacePlain(open_request& aRequest, instant aNow);
  placement PlaceUnsplit(open_request& aRequest, route_query aQuery, instant aNow);
  std::optional<placement> PlaceSplit(open_request& aRequest, route_query aQuery, instant aNow);
  /// Engines that cache a prefix of the prompt. Drops the entries of those that have changed or
  /// restarted.
  std::vector<prefix_match> Holders(const open_request& aRequest);
  double UnsplitPrefillSeconds(const open_request& aRequest, const route_query& aQuery) const;
  std::uint64_t OutputEstimate(const open_request& aRequest) const;
  start_result TryStart(open_request& aRequest, instant aNow, effect_list& aOut);
  start_result AcquireTickets(open_request& aRequest,
                              const placement& aPlacement,
                              instant aNow,
                              effect_list& aOut);
  void StartAttempt(open_request& aRequest,
                    const placement& aPlacement,
                    instant aNow,
                    effect_list& aOut);
  backend_call MakeCall(const open_request& aRequest,
                        const engine_view& aEngine,
                        bool aPrefillOnly) const;

  // Attempts (serving_attempts.cpp).
  void OnTokens(open_request& aRequest,
                const attempt_tokens& aTokens,
                instant aNow,
                effect_list& aOut);
  void OnGenerated(open_request& aRequest,
                   const attempt_generated& aGenerated,
                   instant aNow,
                   effect_list& aOut);
  void OnAnswered(open_request& aRequest,
                  const attempt_response& aResponse,
                  instant aNow,
                  effect_list& aOut);
  void OnFailed(open_request& aRequest,
                const attempt_failed& aFailed,
                instant aNow,
                effect_list& aOut);
  void DeliverToken(open_request& aRequest,
                    const attempt_tokens& aTokens,
                    instant aNow,
                    effect_list& aOut);
  void CloseAttempt(open_request& aRequest, attempt_health aHealth, instant aNow);
  void CancelAttempt(open_request& aRequest,
                     attempt_health aHealth,
                     instant aNow,
                     effect_list& aOut);
  void ScheduleAttempt(open_request& aRequest, instant aWhen);
  void StartDueAttempts(instant aNow, effect_list& aOut);
  void ResumeFromAbsentEngines(instant aNow, effect_list& aOut);

  // Non-idempotent requests (serving_non_idempotent.cpp).
  void RequestClaim(open_request& aRequest, instant aNow, effect_list& aOut);
  void OnNonIdempotentFailed(open_request& aRequest,
                             const std::string& aBackend,
                             const attempt_failed& aFailed,
                             instant aNow,
                             effect_list& aOut);
  void OnClaimGranted(open_request& aRequest, instant aNow, effect_list& aOut);
  void OnClaimUnavailable(open_request& aRequest,
                          const claim_unavailable& aUnavailable,
                          instant aNow,
                          effect_list& aOut);
  void RecordOutcome(open_request& aRequest,
                     const attempt_response& aOutcome,
                     instant aNow,
                     effect_list& aOut);
  void RecordUnknown(open_request& aRequest, instant aNow, effect_list& aOut);
  void WithdrawClaim(open_request& aRequest, instant aNow, effect_list& aOut);

  // Ends (serving_ends.cpp).
  void Refuse(open_request& aRequest, refusal aRefusal, instant aNow, effect_list& aOut);
  void SendError(open_request& aRequest, refusal aRefusal, run_state aRun, effect_list& aOut);
  void End(open_request& aRequest, request_outcome aOutcome, instant aNow);
  void OnDeadline(open_request& aRequest, instant aNow, effect_list& aOut);
  void RunDeadlines(instant aNow, effect_list& aOut);
  void ReadCacheEvents(instant aNow, effect_list& aOut);

  open_request* FindRequest(request_id aRequest);
  service_statistics& Statistics(const open_request& aRequest);
  router& RouterOf(const open_request& aRequest);

  serving_settings mSettings;
  fleet& mFleet;
  limit_shares& mLimits;
  request_claims& mClaims;
  counters& mCounters;
  service_index mIndex;
  admission mAdmission;
  router mEngineRouter;
  router mBackendRouter;
  prefix_cache_estimate mPrefixCaches;
  retry_budget mBudget;
  std::mt19937_64 mRandom;

  std::unordered_map<request_id, open_request> mOpenRequests;
  std::unordered_map<attempt_id, request_id> mAttempts;
  timer_set mDeadlines;
  timer_set mScheduledAttempts; ///< next attempts of waiting requests
  /// Requests that await a claim decision, by service.
  std::map<std::string, std::uint32_t> mPendingClaims;
  std::map<std::string, service_statistics> mStatistics;
  std::uint64_t mLastAttempt = 0;
  std::uint64_t mLastStream = 0;
  bool mShuttingDown = false;
  bool mSegmentsSeen = false; ///< some prompt was long enough to be cached by engines
  std::size_t mNextCacheEngine = 0;
  instant mLastCacheRead{};
};

} // namespace skylarkwind
