#include "skylarkwind/placement.h"

#include "skylarkwind/hash.h"
#include "skylarkwind/water_filling.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace skylarkwind {

namespace {

using milliseconds_f = std::chrono::duration<double, std::milli>;

/// Cost in ms at a failure ratio of 1, proportionally less below. A server that fails half of its
/// requests is used only when the others have a far higher cost.
constexpr double kFailureRatioCostMs = 400;
/// Setup time of a KV cache transfer between engines: a request and its answer.
constexpr double kTransferSetupMs = 2;
/// A decode step that also computes prompt tokens takes this many plain steps.
constexpr double kMixedStepsLength = 5;
/// Gaps longer than this fraction of the allowed gap are penalised. Prompts that are sent later to
/// the same engine use the rest.
constexpr double kUsableGapFraction = 0.65;
/// Weight of the time by which prompt tokens delay each stream of the engine.
constexpr double kPromptDelayWeight = 0.15;
/// Fraction of the prompts whose cached prefix a decode engine has evicted to make room for its
/// running streams.
constexpr double kDecodeCacheMissRate = 0.3;
/// Cost for each stream of the engine that a long gap would make late.
constexpr double kLateStreamCostMs = 120;
/// Share of plain requests that go to a server without regard to its cost, so that a slow or
/// failing server is seen to recover.
constexpr double kPlainProbeShare = 0.005;
/// Factor on the load that other daemons have not reported yet, when no server has reported its own
/// load. All daemons choose by nearly the same sums then, so that their choices are spread wider
/// than that load alone would call for.
constexpr double kHerdFactor = 4;
/// Slowdowns below this are what queueing in a burst causes, too, so that they don't tell servers
/// apart.
constexpr double kUsualSlowdown = 1.5;
/// Callers give up on a stream without an event after the longest of this time, a multiple of the
/// target and a multiple of the allowed gap.
constexpr std::chrono::milliseconds kMinFirstEventTimeout{ 2'000 };
constexpr int kFirstEventTimeoutTargets = 4;
constexpr int kFirstEventTimeoutGaps = 8;
/// Fraction of the first-event timeout that a prediction may use, because predictions are inexact.
constexpr double kUsableTimeoutFraction = 0.8;
/// Multiple of the target within which queueing plus the time of the request itself must stay.
constexpr double kMaxQueueTargets = 1.2;
/// Multiple of the target up to which queueing is accepted whatever the time of the request itself.
constexpr double kMinQueueTargets = 0.7;
constexpr std::chrono::milliseconds kMinRetryAfter{ 200 };
/// While no engine admits work, one is changing its role or coming back.
constexpr std::chrono::milliseconds kNoEngineRetryAfter{ 1'000 };
/// Cost of the engine with the lowest rendezvous score for a prompt segment. Larger cost
/// differences between engines take precedence over this affinity.
constexpr double kAffinityWeightMs = 30;
/// Shorter prefixes are computed faster than a report about them arrives.
constexpr std::uint32_t kMinAwaitedTokens = 1'000;

/// Purposes of the random numbers that are derived from the bits of a query.
constexpr std::uint64_t kStreamDraw = 1;
constexpr std::uint64_t kComputeDraw = 2;
constexpr std::uint64_t kSourceDraw = 3;
constexpr std::uint64_t kPlainDraw = 4;
constexpr std::uint64_t kProbeDraw = 5;
constexpr std::uint64_t kRetryDraw = 6;

bool
Contains(std::span<const std::string> aIds, std::string_view aId)
{
  return std::find(aIds.begin(), aIds.end(), aId) != aIds.end();
}

/// How long the caller of this route waits for the first event.
milliseconds_f
FirstEventTimeout(const forward_route& aRoute, std::chrono::milliseconds aTimeLeft)
{
  const auto timeout = std::max({ kMinFirstEventTimeout,
                                  aRoute.mTargetLatency * kFirstEventTimeoutTargets,
                                  aRoute.mTargetEventGap * kFirstEventTimeoutGaps });
  return std::min(timeout, aTimeLeft);
}

std::uint64_t
AffinityKey(const generation_spec& aGeneration)
{
  return aGeneration.mSegments.size() < 2
           ? 0
           : aGeneration.mSegments[aGeneration.mSegments.size() - 2].mKey;
}

} // namespace

placer::placer(placement_settings aSettings,
               const backend_load_tracker& aLoadTracker,
               const prefix_cache_index& aPrefixCacheIndex,
               const engine_models& aEngineModels)
  : mSettings(std::move(aSettings))
  , mLoadTracker(aLoadTracker)
  , mPrefixCacheIndex(aPrefixCacheIndex)
  , mEngineModels(aEngineModels)
{
}

const engine_model&
placer::ModelOf(const placement_query& aQuery) const
{
  return mEngineModels.Find(aQuery.mService->mName);
}

double
placer::PromptDelayMs(const placement_query& aQuery, double aTokens) const
{
  const auto& model = ModelOf(aQuery);
  // An event covers several steps, of which each computes a limited number of prompt tokens.
  return std::min(aTokens * model.MsPerPromptToken(engine_role::Decode),
                  (kMixedStepsLength - 1) * model.EventIntervalMs());
}

double
placer::GapMs(const placement_query& aQuery,
              const candidate& aEngine,
              double aTokens,
              instant aNow) const
{
  const auto& model = ModelOf(aQuery);
  const double queued = aEngine.mView.mWaitingTokens + aTokens;
  // An event interval of the allowed length that ends with the queue began this long ago.
  const double before = static_cast<double>(aQuery.mRoute->mTargetEventGap.count()) -
                        queued * model.MsPerPromptToken(engine_role::Decode);
  const double finished =
    before > 0 ? mLoadTracker.FinishedTokens(
                   aEngine.mServer->mId,
                   aNow - std::chrono::duration_cast<instant::duration>(milliseconds_f{ before }))
               : 0;
  return model.EventIntervalMs() + PromptDelayMs(aQuery, queued + finished);
}

std::vector<placer::candidate>
placer::Candidates(const placement_query& aQuery, eligibility aEligibility, instant aNow) const
{
  cached_prefixes cached;
  if (aQuery.mGeneration != nullptr) {
    cached = mPrefixCacheIndex.CachedPrefixes(aQuery.mGeneration->mSegments);
  }
  std::vector<candidate> candidates;
  candidates.reserve(aQuery.mServers.size());
  for (const auto* server : aQuery.mServers) {
    if (Contains(aQuery.mExcludedIds, server->mId)) {
      continue;
    }
    auto view = mLoadTracker.View(server->mId, aNow);
    if (view.mAdmits || (view.mOnlySilent && aEligibility == eligibility::OrOnlySilent)) {
      candidates.push_back({ server, view, cached.At(BackendKey(server->mId)) });
    }
  }
  return candidates;
}

placement_result
placer::Place(const placement_query& aQuery, instant aNow) const
{
  auto result = Place(aQuery, eligibility::Admitting, aNow);
  const auto* none = std::get_if<placement_refusal>(&result);
  // A server that was silent may work; a refusal certainly serves nobody.
  return none != nullptr && !none->mBest ? Place(aQuery, eligibility::OrOnlySilent, aNow) : result;
}

placement_result
placer::Place(const placement_query& aQuery, eligibility aEligibility, instant aNow) const
{
  return aQuery.mGeneration != nullptr && aQuery.mService->mEngine
           ? PlaceGeneration(aQuery, aEligibility, aNow)
           : PlacePlain(aQuery, aEligibility, aNow);
}

double
placer::DistanceCost(const backend_server& aServer) const
{
  return aServer.mDataCentre == mSettings.mDataCentre ? 0 : mSettings.mCrossDataCentreCost.count();
}

double
placer::TransferMs(const forward_service& aService, double aTokens, bool aSameDataCentre) const
{
  const auto& engine = *aService.mEngine;
  if (engine.mLinkMbps <= 0) {
    return std::numeric_limits<double>::infinity();
  }
  const double bitsPerToken = engine.mKvBytesPerToken * 8;
  const double transfer = aTokens * bitsPerToken / (engine.mLinkMbps * 1'000);
  return kTransferSetupMs + (aSameDataCentre ? transfer : 2 * transfer);
}

placement_refusal
placer::MakeRefusal(const placement_query& aQuery,
                    std::string_view aReason,
                    std::chrono::milliseconds aRetryAfter,
                    instant aNow) const
{
  auto earliest = instant::max();
  for (const auto* server : aQuery.mServers) {
    const auto until = mLoadTracker.BackoffUntil(server->mId);
    if (until <= aNow) {
      return { aReason, aRetryAfter };
    }
    earliest = std::min(earliest, until);
  }
  if (aQuery.mServers.empty()) {
    return { aReason, aRetryAfter };
  }
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(earliest - aNow);
  return { "all servers want no requests for a time", std::max(kMinRetryAfter, left) };
}

placement_result
placer::PlacePlain(const placement_query& aQuery, eligibility aEligibility, instant aNow) const
{
  const auto candidates = Candidates(aQuery, aEligibility, aNow);
  if (candidates.empty()) {
    return MakeRefusal(aQuery, "no server admits the request", kMinRetryAfter, aNow);
  }
  const double mean = aQuery.mServiceTime.MeanMs();
  std::vector<backend_load_tracker::plain_work> works;
  std::vector<double> costs;
  std::vector<double> waits;
  std::vector<std::string_view> dataCentres;
  works.reserve(candidates.size());
  costs.reserve(candidates.size());
  waits.reserve(candidates.size());
  double ownRate = 0;
  double allSlots = 0;
  bool full = true;
  double earliest = std::numeric_limits<double>::infinity();
  for (const auto& [server, view, cached] : candidates) {
    const auto& work =
      works.emplace_back(mLoadTracker.PlainWork(server->mId, aQuery.mServiceTime, aNow));
    const double slots = std::max<double>(1, server->mSlots);
    const double speed = std::max(1.0, work.mSlowdown / kUsualSlowdown) * work.mWorkTime;
    const double wait = work.mRunning >= slots ? work.mAheadMs / slots : 0;
    waits.push_back(wait);
    const double over = std::max(0.0, work.mRunning - slots);
    costs.push_back(speed * (mean + work.mAheadMs / slots + over * mean) + DistanceCost(*server) +
                    work.mFailureRatio * kFailureRatioCostMs);
    full = full && work.mRunning >= slots;
    earliest = std::min(earliest, speed * (wait + aQuery.mServiceTime.MedianMs()));
    ownRate += mLoadTracker.RequestRate(server->mId, aNow);
    allSlots += slots;
    if (std::find(dataCentres.begin(), dataCentres.end(), server->mDataCentre) ==
        dataCentres.end()) {
      dataCentres.push_back(server->mDataCentre);
    }
  }
  if (const auto left = static_cast<double>(aQuery.mTimeLeft.count()); full && earliest > left) {
    const double spread = 0.5 + UniformFromBits(aQuery.mRandomBits, kRetryDraw);
    return placement_refusal{ "no server can answer within the time limit",
                              std::max(kMinRetryAfter,
                                       std::chrono::duration_cast<std::chrono::milliseconds>(
                                         milliseconds_f{ (earliest - left) * spread })) };
  }
  std::size_t chosen = 0;
  if (UniformFromBits(aQuery.mRandomBits, kProbeDraw) < kPlainProbeShare) {
    chosen = static_cast<std::size_t>(UniformFromBits(aQuery.mRandomBits, kPlainDraw) *
                                      static_cast<double>(candidates.size()));
  } else {
    // Requests that other daemons have sent and not reported yet, as far as they still run. Those
    // of other data centres have other costs and are assumed to raise all servers alike.
    const double delay = mLoadTracker.ReportDelay().count();
    const double others =
      ownRate * (mLoadTracker.Daemons() - 1) / static_cast<double>(dataCentres.size());
    const double unreported = others * mean * (1 - std::exp(-delay / mean));
    const bool reported =
      std::any_of(works.begin(), works.end(), [](const auto& aWork) { return aWork.mReported; });
    const double spread = reported ? 1 : kHerdFactor;
    const double costOfOne = mean * static_cast<double>(candidates.size()) / allSlots;
    chosen = ChooseByWaterFilling(
      costs, spread * unreported * costOfOne, UniformFromBits(aQuery.mRandomBits, kPlainDraw));
  }
  placement result;
  result.mTarget = candidates[chosen].mServer;
  result.mWorkTime = works[chosen].mWorkTime;
  result.mService = aQuery.mServiceTime;
  result.mWait = milliseconds_f{ waits[chosen] };
  result.mPrefillTime =
    milliseconds_f{ result.mWorkTime * (waits[chosen] + aQuery.mServiceTime.MedianMs()) };
  return result;
}

placer::option
placer::EvaluatePrefill(const placement_query& aQuery,
                        const candidate& aEngine,
                        const candidate* aSource) const
{
  const auto& generation = *aQuery.mGeneration;
  std::uint32_t reusedTokens = aEngine.mCachedTokens;
  option evaluated;
  double transfer = 0;
  double copiedTokens = 0;
  if (aSource != nullptr && aSource != &aEngine && aSource->mCachedTokens > aEngine.mCachedTokens) {
    const bool sameDataCentre = aSource->mServer->mDataCentre == aEngine.mServer->mDataCentre;
    transfer =
      TransferMs(*aQuery.mService, aSource->mCachedTokens - aEngine.mCachedTokens, sameDataCentre);
    evaluated.mPlacement.mFetchFrom = aSource->mServer;
    evaluated.mPlacement.mFetchTokens = aSource->mCachedTokens - aEngine.mCachedTokens;
    copiedTokens = evaluated.mPlacement.mFetchTokens;
    reusedTokens = aSource->mCachedTokens;
  }
  const auto& model = ModelOf(aQuery);
  const auto role = aEngine.mServer->mRole;
  const double rate = 1 / (model.MsPerPromptToken(role) * aEngine.mView.mSlowdown);
  const auto compute =
    generation.mPromptTokens > reusedTokens ? generation.mPromptTokens - reusedTokens : 1;
  const double queueTime = aEngine.mView.mWaitingTokens / rate;
  const double computing = compute / rate;
  evaluated.mPlacement.mComputeTokens = compute;
  evaluated.mPlacement.mQueuedTokens = static_cast<std::uint32_t>(aEngine.mView.mWaitingTokens);
  evaluated.mPlacement.mFetchTime = milliseconds_f{ transfer };
  evaluated.mPlacement.mWait = milliseconds_f{ queueTime };
  evaluated.mPlacement.mPrefillTime =
    milliseconds_f{ model.FixedPrefillMs(role) + queueTime + computing + transfer };
  evaluated.mPlacement.mFirstToken = evaluated.mPlacement.mPrefillTime;
  evaluated.mCost = evaluated.mPlacement.mFirstToken.count() +
                    mSettings.mComputeWeight * computing + mSettings.mTransferWeight * transfer +
                    mSettings.mCopyWeight * copiedTokens / rate + DistanceCost(*aEngine.mServer) +
                    aEngine.mView.mFailureRatio * kFailureRatioCostMs;
  return evaluated;
}

const placer::candidate*
placer::ChooseFetchSource(std::span<const candidate* const> aSources,
                          const candidate& aEngine,
                          std::uint64_t aDraw)
{
  std::vector<const candidate*> sameDataCentre;
  std::copy_if(aSources.begin(),
               aSources.end(),
               std::back_inserter(sameDataCentre),
               [&](const candidate* aSource) {
                 return aSource->mServer->mDataCentre == aEngine.mServer->mDataCentre;
               });
  const auto from =
    sameDataCentre.empty() ? aSources : std::span<const candidate* const>{ sameDataCentre };
  if (from.empty()) {
    return nullptr;
  }
  const auto drawn = UniformFromBits(aDraw, kSourceDraw) * static_cast<double>(from.size());
  return from[static_cast<std::size_t>(drawn)];
}

placer::stream_choice
placer::ChooseStream(const placement_query& aQuery,
                     std::span<const candidate> aCandidates,
                     instant aNow) const
{
  std::vector<double> costs;
  costs.reserve(aCandidates.size());
  for (const auto& engine : aCandidates) {
    const auto& view = engine.mView;
    if (engine.mServer->mRole == engine_role::Prefill ||
        view.mRunning >= aQuery.mService->mEngine->mSlots) {
      costs.push_back(std::numeric_limits<double>::infinity());
      continue;
    }
    const auto& model = ModelOf(aQuery);
    const double stepMs = model.EventIntervalMs() /
                          std::max<std::uint32_t>(1, aQuery.mService->mEngine->mTokensPerEvent);
    const double busy = std::min(kMixedStepsLength * stepMs,
                                 view.mWaitingTokens * model.MsPerPromptToken(engine_role::Decode));
    costs.push_back(busy + view.mRunning * view.mSlowdown + DistanceCost(*engine.mServer) +
                    view.mFailureRatio * kFailureRatioCostMs);
  }
  // Each request adds about one ms to the cost of its engine.
  const auto chosen = ChooseByWaterFilling(costs,
                                           mLoadTracker.UnreportedLoad(aNow).mRequests,
                                           UniformFromBits(aQuery.mRandomBits, kStreamDraw));
  if (chosen == costs.size()) {
    return { nullptr, std::numeric_limits<double>::infinity() };
  }
  return { &aCandidates[chosen], costs[chosen] };
}

const backend_server*
placer::PlaceStream(const placement_query& aQuery, instant aNow) const
{
  for (const auto eligible : { eligibility::Admitting, eligibility::OrOnlySilent }) {
    const auto candidates = Candidates(aQuery, eligible, aNow);
    if (const auto* engine = ChooseStream(aQuery, candidates, aNow).mEngine) {
      return engine->mServer;
    }
  }
  return nullptr;
}

placement_result
placer::PlaceGeneration(const placement_query& aQuery, eligibility aEligibility, instant aNow) const
{
  const auto& generation = *aQuery.mGeneration;
  const auto& traits = *aQuery.mService->mEngine;
  const auto affinityKey = std::to_string(AffinityKey(generation));
  const auto candidates = Candidates(aQuery, aEligibility, aNow);
  // The engines that cache the longest prefix of the prompt.
  std::vector<const candidate*> sources;
  const auto [decode, decodeCost] = ChooseStream(aQuery, candidates, aNow);
  for (const auto& engine : candidates) {
    if (engine.mCachedTokens == 0 ||
        (!sources.empty() && engine.mCachedTokens < sources.front()->mCachedTokens)) {
      continue;
    }
    if (!sources.empty() && engine.mCachedTokens > sources.front()->mCachedTokens) {
      sources.clear();
    }
    sources.push_back(&engine);
  }
  if (aQuery.mMayWait) {
    const auto sourceTokens = sources.empty() ? 0 : sources.front()->mCachedTokens;
    const auto pending = mPrefixCacheIndex.PendingPrefix(generation.mSegments, aNow);
    if (pending.mTokens >= sourceTokens + kMinAwaitedTokens && pending.mReadyAt > aNow) {
      return await_prefix{ pending.mReadyAt };
    }
  }
  std::vector<option> options(candidates.size());
  std::vector<double> costs(candidates.size(), std::numeric_limits<double>::infinity());
  std::vector<std::uint64_t> affinities(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto& engine = candidates[i];
    auto evaluated =
      EvaluatePrefill(aQuery, engine, ChooseFetchSource(sources, engine, aQuery.mRandomBits));
    if (engine.mServer->mRole == engine_role::Prefill) {
      if (decode == nullptr) {
        continue;
      }
      const bool sameDataCentre = decode->mServer->mDataCentre == engine.mServer->mDataCentre;
      const double transfer =
        TransferMs(*aQuery.mService, generation.mPromptTokens, sameDataCentre);
      evaluated.mPlacement.mPrefill = engine.mServer;
      evaluated.mPlacement.mTarget = decode->mServer;
      const double start = ModelOf(aQuery).FetchedStreamStartMs();
      evaluated.mPlacement.mHandoverTime = milliseconds_f{ transfer };
      evaluated.mPlacement.mFirstToken += milliseconds_f{ transfer + start + decodeCost };
      evaluated.mCost += transfer * (1 + mSettings.mTransferWeight) + start + decodeCost;
    } else {
      const auto running = engine.mView.mRunning;
      if (running >= traits.mSlots) {
        continue;
      }
      evaluated.mPlacement.mTarget = engine.mServer;
      const auto cached = generation.mPromptTokens -
                          std::min(generation.mPromptTokens, evaluated.mPlacement.mComputeTokens);
      const auto likelyTokens = evaluated.mPlacement.mComputeTokens + kDecodeCacheMissRate * cached;
      const double gap = GapMs(aQuery, engine, likelyTokens, aNow);
      evaluated.mCost += kPromptDelayWeight * PromptDelayMs(aQuery, likelyTokens) * running;
      if (gap > kUsableGapFraction * static_cast<double>(aQuery.mRoute->mTargetEventGap.count())) {
        evaluated.mCost += kLateStreamCostMs * running;
      }
    }
    // Breaks near ties by affinity to the prompt segment (rendezvous hashing), so that the requests
    // for a segment use the same engine. When no engine is known to cache any prefix, this makes
    // most daemons have a new segment computed at the same engine.
    const auto affinity = RendezvousScore(affinityKey, engine.mServer->mId);
    evaluated.mCost +=
      kAffinityWeightMs * (1 - static_cast<double>(affinity) /
                                 static_cast<double>(std::numeric_limits<std::uint64_t>::max()));
    costs[i] = evaluated.mCost;
    options[i] = evaluated;
    affinities[i] = affinity;
  }
  const auto chosen = ChooseByWaterFilling(costs,
                                           mLoadTracker.UnreportedLoad(aNow).mPrefillTokens *
                                             ModelOf(aQuery).MsPerPromptToken(engine_role::Prefill),
                                           UniformFromBits(aQuery.mRandomBits, kComputeDraw));
  if (chosen == costs.size()) {
    return MakeRefusal(aQuery, "no engine admits the request", kNoEngineRetryAfter, aNow);
  }
  const auto& best = options[chosen].mPlacement;
  const auto timeout = FirstEventTimeout(*aQuery.mRoute, aQuery.mTimeLeft);
  // The queueing time is bounded by the target: a longer queue serves no more callers and makes all
  // of them late. The prefill and transfer of the request itself may take longer than the target.
  const milliseconds_f target{ aQuery.mRoute->mTargetLatency };
  const auto ownTime = best.mFirstToken - best.mWait;
  const auto maxQueueWait =
    std::max(kMinQueueTargets * target, kMaxQueueTargets * target - ownTime);
  const bool late = best.mWait > maxQueueWait;
  if (!aQuery.mBegun && (late || best.mFirstToken > kUsableTimeoutFraction * timeout)) {
    const auto excess = best.mFirstToken - milliseconds_f{ aQuery.mRoute->mTargetLatency };
    const auto jitter = 0.75 + 0.5 * static_cast<double>(affinities[chosen] >> 11U) /
                                 static_cast<double>(1ULL << 53U);
    return placement_refusal{ "the first token would come too late",
                              std::max(kMinRetryAfter,
                                       std::chrono::duration_cast<std::chrono::milliseconds>(
                                         excess * jitter)),
                              best };
  }
  return best;
}

} // namespace skylarkwind
