#pragma once

#include "skylarkwind/backend_load_tracker.h"
#include "skylarkwind/engine_model.h"
#include "skylarkwind/forward_types.h"
#include "skylarkwind/prefix_cache_index.h"

#include <chrono>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <variant>

namespace skylarkwind {

/// The backend servers that a request is sent to, with the predicted latency.
struct placement
{
  const backend_server* mTarget = nullptr;
  /// Engine that runs the prefill; null when the target runs it itself.
  const backend_server* mPrefill = nullptr;
  /// Engine that caches a prefix of the prompt, fetched by the engine that runs the prefill.
  const backend_server* mFetchFrom = nullptr;
  std::uint32_t mComputeTokens = 0; ///< prompt tokens that are neither cached nor fetched
  std::uint32_t mFetchTokens = 0;   ///< prompt tokens fetched from another engine
  std::uint32_t mQueuedTokens = 0;  ///< prompt tokens queued ahead at the computing engine
  std::chrono::duration<double, std::milli> mFetchTime{};    ///< to transfer the fetched tokens
  std::chrono::duration<double, std::milli> mHandoverTime{}; ///< to transfer the prompt to a target
                                                             ///< that does not compute it
  std::chrono::duration<double, std::milli> mWait{};         ///< queueing time behind those tokens
  std::chrono::duration<double, std::milli> mPrefillTime{}; ///< from now to the end of the prefill,
                                                            ///< with queueing and transfer
  std::chrono::duration<double, std::milli> mFirstToken{};  ///< predicted time to first token
  /// Of a plain request. mPrefillTime is its predicted time at the usual speed of the server.
  std::optional<service_time> mService = std::nullopt;
  double mWorkTime = 1; ///< of a plain server: time that work takes now / usually, as reported
};

/// No backend server can serve the request in time.
struct placement_refusal
{
  std::string_view mReason;
  std::chrono::milliseconds mRetryAfter{};
  /// The best placement, when it was refused only because it would be too late.
  std::optional<placement> mBest = std::nullopt;
};

/// The shared prefix of the prompt is being computed for another request. If this request were sent
/// now, it would compute the prefix again; sent after mReadyAt, it reuses or fetches it.
struct await_prefix
{
  instant mReadyAt{};
};

/// Weights of the cost function of the placement.
struct placement_settings
{
  std::string mDataCentre; ///< data centre of this daemon
  /// Cost in ms of a backend server in another data centre, because that traffic is billed.
  std::chrono::duration<double, std::milli> mCrossDataCentreCost{ 25 };
  /// Weight of compute time relative to queueing time. Compute time delays the requests queued
  /// behind this one.
  double mComputeWeight = 0.5;
  /// Weight of the time that a KV cache transfer occupies the links between engines.
  double mTransferWeight = 2;
  /// Weight of the time to recompute what one more copy of a prompt segment evicts from the
  /// engine's KV cache.
  double mCopyWeight = 0.25;
};

/// Input of one placement decision.
struct placement_query
{
  const forward_route* mRoute = nullptr;
  const forward_service* mService = nullptr;
  const generation_spec* mGeneration = nullptr; ///< null for a plain service
  std::span<const backend_server* const> mServers;
  std::span<const std::string> mExcludedIds; ///< ids of servers not to be tried again
  std::chrono::milliseconds mTimeLeft{};
  std::uint64_t mRandomBits = 0; ///< random bits, new for each attempt
  /// Expected service time of a plain request.
  service_time mServiceTime;
  bool mBegun = false;  ///< its caller has received events, so that lateness is no reason to refuse
  bool mMayWait = true; ///< false once the request has waited for a prefix as long as it may
};

using placement_result = std::variant<placement, placement_refusal, await_prefix>;

/// Chooses the backend server, and for a generation the engine that runs its prefill, by the lowest
/// cost. The cost is the predicted time to first token plus weighted penalties.
class placer
{
public:
  placer(placement_settings aSettings,
         const backend_load_tracker& aLoadTracker,
         const prefix_cache_index& aPrefixCacheIndex,
         const engine_models& aEngineModels);

  /// Places a request. A generation may be told to wait for a prefix that is being computed.
  placement_result Place(const placement_query& aQuery, instant aNow) const;
  /// Chooses the engine that streams a request whose prefill has been computed already; null when
  /// no engine admits it.
  const backend_server* PlaceStream(const placement_query& aQuery, instant aNow) const;

private:
  struct option
  {
    placement mPlacement;
    double mCost = 0;
  };
  /// A server that admits the request, with its load and health.
  struct candidate
  {
    const backend_server* mServer = nullptr;
    backend_load_tracker::view mView;
    std::uint32_t mCachedTokens = 0; ///< length of the prompt prefix that it caches
  };
  /// Which servers may be chosen.
  enum class eligibility
  {
    Admitting,    ///< those that admit requests
    OrOnlySilent, ///< also those that do not because they were silent
  };
  std::vector<candidate> Candidates(const placement_query& aQuery,
                                    eligibility aEligibility,
                                    instant aNow) const;
  /// Chooses the engine to fetch from among those that cache the longest prefix, preferring the
  /// data centre of the computing engine. The random choice spreads requests over several sources,
  /// because the requests to one source share its link.
  static const candidate* ChooseFetchSource(std::span<const candidate* const> aSources,
                                            const candidate& aEngine,
                                            std::uint64_t aDraw);
  struct stream_choice
  {
    const candidate* mEngine = nullptr;
    double mCost = 0;
  };
  /// Chooses the engine that decodes a request whose prefill runs on another engine.
  stream_choice ChooseStream(const placement_query& aQuery,
                             std::span<const candidate> aCandidates,
                             instant aNow) const;

  /// Builds the refusal for a request that no server admits. When all servers have asked for a
  /// back-off, the caller may retry at the end of the one that ends first.
  placement_refusal MakeRefusal(const placement_query& aQuery,
                                std::string_view aReason,
                                std::chrono::milliseconds aRetryAfter,
                                instant aNow) const;
  placement_result Place(const placement_query& aQuery,
                         eligibility aEligibility,
                         instant aNow) const;
  placement_result PlacePlain(const placement_query& aQuery,
                              eligibility aEligibility,
                              instant aNow) const;
  placement_result PlaceGeneration(const placement_query& aQuery,
                                   eligibility aEligibility,
                                   instant aNow) const;
  /// Predicts latency and cost of the prefill on one engine, given the prefix that it caches and
  /// the one that it can fetch from aSource.
  option EvaluatePrefill(const placement_query& aQuery,
                         const candidate& aEngine,
                         const candidate* aSource) const;
  /// Time in ms by which a decode engine that computes `aTokens` prompt tokens delays its streams.
  double PromptDelayMs(const placement_query& aQuery, double aTokens) const;
  /// Longest gap in ms between events of the streams on a decode engine that would compute
  /// `aTokens` more prompt tokens, with those queued there and those computed in the same interval.
  double GapMs(const placement_query& aQuery,
               const candidate& aEngine,
               double aTokens,
               instant aNow) const;
  const engine_model& ModelOf(const placement_query& aQuery) const;
  /// Cost in ms of a server outside this daemon's data centre.
  double DistanceCost(const backend_server& aServer) const;
  /// Time in ms to transfer the KV cache of aTokens between engines; infinite without a link.
  double TransferMs(const forward_service& aService, double aTokens, bool aSameDataCentre) const;

  placement_settings mSettings;
  const backend_load_tracker& mLoadTracker;
  const prefix_cache_index& mPrefixCacheIndex;
  const engine_models& mEngineModels;
};

} // namespace skylarkwind
