#include "skylarkwind/placement.h"

#include "skylarkwind/hash.h"
#include "skylarkwind/levelled_choice.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace skylarkwind {

namespace {

using milliseconds_f = std::chrono::duration<double, std::milli>;

/// Cost added for each recent failure in ten, in ms: a server that fails half of its requests is
/// used only when the others are far behind.
constexpr double kFailureCostMs = 400;
/// From the end of the computation to the first event, and the hop between the engines.
constexpr double kFirstStepMs = 15;
/// Start of a transfer between engines.
constexpr double kTransferSetupMs = 4;
/// A decode engine that computes prompts too has steps of about this length.
constexpr double kSharedStepMs = 45;
/// Tokens that a decode engine computes of prompts in one step of its streams.
constexpr double kSharedStepTokens = 1'024;
/// Length of a step without prompt tokens.
constexpr double kPlainStepMs = 8;
/// Pauses longer than this part of the allowed one are avoided.
constexpr double kUsableGap = 0.75;
/// Weight of the time by which a step with prompt tokens holds up each stream of the engine.
constexpr double kSharedStepWeight = 0.15;
/// Part of the prompts whose kept start a decode engine has evicted for its running streams.
constexpr double kDecodeMissRisk = 0.3;
/// Cost for each stream of the engine that a long pause would make late.
constexpr double kLateStreamMs = 120;
/// Part of a plain request's time that one more request on the same server costs.
constexpr double kPlainRequestMs = 30;
/// Callers give up on a stream without an event after the longest of these.
constexpr std::chrono::milliseconds kLeastPatience{ 2'000 };
constexpr int kPatienceInTargets = 4;
constexpr int kPatienceInGaps = 8;
/// Part of the patience that a prediction may fill; predictions err.
constexpr double kUsablePatience = 0.8;
/// What may wait ahead of a request, as a multiple of its target: with its own time, and at least.
constexpr double kLine = 1.2;
constexpr double kLeastLine = 0.7;
constexpr std::chrono::milliseconds kLeastRetryAfter{ 200 };
/// While no engine admits work, one is changing its role or coming back.
constexpr std::chrono::milliseconds kNoEngineRetryAfter{ 1'000 };
/// Cost of the engine that is farthest from being a part's home. Larger differences between engines
/// go before homes.
constexpr double kHomeWeightMs = 30;
/// Shorter parts are computed in less time than a wait for news of them takes.
constexpr std::uint32_t kWorthWaitingTokens = 1'000;

/// What a request's draw decides.
constexpr std::uint64_t kStreamDraw = 1;
constexpr std::uint64_t kComputeDraw = 2;
constexpr std::uint64_t kHolderDraw = 3;

bool
Contains(std::span<const std::string> aIds, std::string_view aId)
{
  return std::find(aIds.begin(), aIds.end(), aId) != aIds.end();
}

/// How long the caller of this route waits for the first event.
milliseconds_f
FirstEventPatience(const forward_route& aRoute, std::chrono::milliseconds aTimeLeft)
{
  const auto patience = std::max(
    { kLeastPatience, aRoute.mTarget * kPatienceInTargets, aRoute.mMaxGap * kPatienceInGaps });
  return std::min(patience, aTimeLeft);
}

/// Longest pause between events of streams on a decode engine that computes `aTokens` of prompts
/// meanwhile. An event covers several steps.
double
GapMs(const engine_traits& aEngine, double aTokens)
{
  const double steps = std::max<std::uint32_t>(1, aEngine.mTokensEachEvent);
  const double shared = std::min(steps, std::ceil(aTokens / kSharedStepTokens));
  return shared * kSharedStepMs + (steps - shared) * kPlainStepMs;
}

std::uint64_t
HomeKey(const generation_shape& aShape)
{
  return aShape.mParts.size() < 2 ? 0 : aShape.mParts[aShape.mParts.size() - 2].mKey;
}

} // namespace

placer::placer(placement_settings aSettings,
               const backend_board& aBoard,
               const part_holders& aParts)
  : mSettings(std::move(aSettings))
  , mBoard(aBoard)
  , mParts(aParts)
{
}

std::vector<placer::candidate>
placer::Candidates(const placement_query& aQuery, instant aNow) const
{
  kept_starts kept;
  if (aQuery.mGeneration != nullptr) {
    kept = mParts.Kept(aQuery.mGeneration->mParts);
  }
  std::vector<candidate> candidates;
  candidates.reserve(aQuery.mServers.size());
  for (const auto* server : aQuery.mServers) {
    if (Contains(aQuery.mAvoid, server->mId)) {
      continue;
    }
    auto seen = mBoard.Look(server->mId, aNow);
    if (seen.mAdmits) {
      candidates.push_back({ server, seen, kept.At(BackendKey(server->mId)) });
    }
  }
  return candidates;
}

placement_result
placer::Place(const placement_query& aQuery, instant aNow) const
{
  return aQuery.mGeneration != nullptr && aQuery.mService->mEngine ? PlaceGeneration(aQuery, aNow)
                                                                   : PlacePlain(aQuery, aNow);
}

double
placer::DistanceCost(const backend_server& aServer) const
{
  return aServer.mDataCentre == mSettings.mDataCentre ? 0 : mSettings.mOtherDataCentre.count();
}

double
placer::TransferMs(const forward_service& aService, double aTokens, bool aNear) const
{
  const auto& engine = *aService.mEngine;
  if (engine.mLinkMegabits <= 0) {
    return std::numeric_limits<double>::infinity();
  }
  const double bitsEach = engine.mKvBytesEach * 8;
  const double transfer = aTokens * bitsEach / (engine.mLinkMegabits * 1'000);
  return kTransferSetupMs + (aNear ? transfer : 2 * transfer);
}

no_placement
placer::NoneAdmits(const placement_query& aQuery,
                   std::string_view aReason,
                   std::chrono::milliseconds aRetryAfter,
                   instant aNow) const
{
  auto earliest = instant::max();
  for (const auto* server : aQuery.mServers) {
    const auto until = mBoard.QuietUntil(server->mId);
    if (until <= aNow) {
      return { aReason, aRetryAfter };
    }
    earliest = std::min(earliest, until);
  }
  if (aQuery.mServers.empty()) {
    return { aReason, aRetryAfter };
  }
  const auto left = std::chrono::ceil<std::chrono::milliseconds>(earliest - aNow);
  return { "all servers want no requests for a time", std::max(kLeastRetryAfter, left) };
}

placement_result
placer::PlacePlain(const placement_query& aQuery, instant aNow) const
{
  const backend_server* best = nullptr;
  double bestCost = std::numeric_limits<double>::infinity();
  for (const auto& [server, seen, kept] : Candidates(aQuery, aNow)) {
    const double slots = std::max<double>(1, server->mSlots);
    const double over = seen.mRunning - slots;
    const double cost = seen.mRunning * kPlainRequestMs / slots +
                        std::max(0.0, over) * kPlainRequestMs + DistanceCost(*server) +
                        seen.mFailedPart * kFailureCostMs;
    if (cost < bestCost) {
      best = server;
      bestCost = cost;
    }
  }
  if (best == nullptr) {
    return NoneAdmits(aQuery, "no server admits the request", kLeastRetryAfter, aNow);
  }
  placement chosen;
  chosen.mTarget = best;
  return chosen;
}

placer::option
placer::Compute(const placement_query& aQuery,
                const candidate& aEngine,
                const candidate* aHolder) const
{
  const auto& shape = *aQuery.mGeneration;
  std::uint32_t have = aEngine.mKept;
  option made;
  double transfer = 0;
  double copied = 0;
  if (aHolder != nullptr && aHolder != &aEngine && aHolder->mKept > aEngine.mKept) {
    const bool near = aHolder->mServer->mDataCentre == aEngine.mServer->mDataCentre;
    transfer = TransferMs(*aQuery.mService, aHolder->mKept - aEngine.mKept, near);
    made.mPlacement.mFetchFrom = aHolder->mServer;
    made.mPlacement.mFetchTokens = aHolder->mKept - aEngine.mKept;
    copied = made.mPlacement.mFetchTokens;
    have = aHolder->mKept;
  }
  const double rate = mBoard.Rate(aEngine.mServer->mRole, aEngine.mSeen.mSlowdown);
  const auto compute = shape.mPromptTokens > have ? shape.mPromptTokens - have : 1;
  const double wait = aEngine.mSeen.mWaitingTokens / rate;
  const double computing = compute / rate;
  made.mPlacement.mComputeTokens = compute;
  made.mPlacement.mAheadTokens = static_cast<std::uint32_t>(aEngine.mSeen.mWaitingTokens);
  made.mPlacement.mWait = milliseconds_f{ wait };
  made.mPlacement.mPrefillTime = milliseconds_f{ wait + computing + transfer };
  made.mPlacement.mFirstToken = made.mPlacement.mPrefillTime + milliseconds_f{ kFirstStepMs };
  made.mCost = made.mPlacement.mFirstToken.count() + mSettings.mComputeWeight * computing +
               mSettings.mTransferWeight * transfer + mSettings.mCopyWeight * copied / rate +
               DistanceCost(*aEngine.mServer) + aEngine.mSeen.mFailedPart * kFailureCostMs;
  return made;
}

const placer::candidate*
placer::HolderFor(std::span<const candidate* const> aHolders,
                  const candidate& aEngine,
                  std::uint64_t aDraw)
{
  std::vector<const candidate*> near;
  std::copy_if(
    aHolders.begin(), aHolders.end(), std::back_inserter(near), [&](const candidate* aHolder) {
      return aHolder->mServer->mDataCentre == aEngine.mServer->mDataCentre;
    });
  const auto from = near.empty() ? aHolders : std::span<const candidate* const>{ near };
  if (from.empty()) {
    return nullptr;
  }
  const auto drawn = UniformOf(aDraw, kHolderDraw) * static_cast<double>(from.size());
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
    const auto& seen = engine.mSeen;
    if (engine.mServer->mRole == engine_role::Prefill ||
        seen.mRunning >= aQuery.mService->mEngine->mSlots) {
      costs.push_back(std::numeric_limits<double>::infinity());
      continue;
    }
    const double busy = seen.mWaitingTokens > 0 ? kSharedStepMs : 0;
    costs.push_back(busy + seen.mRunning * seen.mSlowdown + DistanceCost(*engine.mServer) +
                    seen.mFailedPart * kFailureCostMs);
  }
  // Each request adds about one ms to the cost of its engine.
  const auto chosen =
    ChooseLevelled(costs, mBoard.Unseen(aNow).mRequests, UniformOf(aQuery.mDraw, kStreamDraw));
  if (chosen == costs.size()) {
    return { nullptr, std::numeric_limits<double>::infinity() };
  }
  return { &aCandidates[chosen], costs[chosen] };
}

const backend_server*
placer::PlaceStream(const placement_query& aQuery, instant aNow) const
{
  const auto candidates = Candidates(aQuery, aNow);
  const auto* engine = ChooseStream(aQuery, candidates, aNow).mEngine;
  return engine == nullptr ? nullptr : engine->mServer;
}

placement_result
placer::PlaceGeneration(const placement_query& aQuery, instant aNow) const
{
  const auto& shape = *aQuery.mGeneration;
  const auto& traits = *aQuery.mService->mEngine;
  const auto home = std::to_string(HomeKey(shape));
  const auto candidates = Candidates(aQuery, aNow);
  // The engines that keep most of the prompt; where none is known, the part's home by hashing, so
  // that most daemons have a new part computed at the same engine.
  std::vector<const candidate*> holders;
  const auto [decode, decodeCost] = ChooseStream(aQuery, candidates, aNow);
  for (const auto& engine : candidates) {
    if (engine.mKept == 0 || (!holders.empty() && engine.mKept < holders.front()->mKept)) {
      continue;
    }
    if (!holders.empty() && engine.mKept > holders.front()->mKept) {
      holders.clear();
    }
    holders.push_back(&engine);
  }
  if (aQuery.mMayWait) {
    const auto holderTokens = holders.empty() ? 0 : holders.front()->mKept;
    const auto coming = mParts.Coming(shape.mParts, aNow);
    if (coming.mTokens >= holderTokens + kWorthWaitingTokens && coming.mReadyAt > aNow) {
      return await_parts{ coming.mReadyAt };
    }
  }
  std::vector<option> options(candidates.size());
  std::vector<double> costs(candidates.size(), std::numeric_limits<double>::infinity());
  std::vector<std::uint64_t> ties(candidates.size());
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    const auto& engine = candidates[i];
    auto made = Compute(aQuery, engine, HolderFor(holders, engine, aQuery.mDraw));
    if (engine.mServer->mRole == engine_role::Prefill) {
      if (decode == nullptr) {
        continue;
      }
      const bool near = decode->mServer->mDataCentre == engine.mServer->mDataCentre;
      const double transfer = TransferMs(*aQuery.mService, shape.mPromptTokens, near);
      made.mPlacement.mPrefill = engine.mServer;
      made.mPlacement.mTarget = decode->mServer;
      made.mPlacement.mFirstToken += milliseconds_f{ transfer + decodeCost };
      made.mCost += transfer * (1 + mSettings.mTransferWeight) + decodeCost;
    } else {
      const auto running = engine.mSeen.mRunning;
      if (running >= traits.mSlots) {
        continue;
      }
      made.mPlacement.mTarget = engine.mServer;
      const auto kept =
        shape.mPromptTokens - std::min(shape.mPromptTokens, made.mPlacement.mComputeTokens);
      const auto likely = made.mPlacement.mComputeTokens + kDecodeMissRisk * kept;
      const double gap = GapMs(traits, engine.mSeen.mWaitingTokens + likely);
      const double shared = std::ceil(likely / kSharedStepTokens);
      made.mCost += kSharedStepWeight * shared * kSharedStepMs * running;
      if (gap > kUsableGap * static_cast<double>(aQuery.mRoute->mMaxGap.count())) {
        made.mCost += kLateStreamMs * running;
      }
    }
    // Nearly equal engines are told apart by the part's home, so that parts gather there.
    const auto tie = RendezvousScore(home, engine.mServer->mId);
    made.mCost +=
      kHomeWeightMs * (1 - static_cast<double>(tie) /
                             static_cast<double>(std::numeric_limits<std::uint64_t>::max()));
    costs[i] = made.mCost;
    options[i] = made;
    ties[i] = tie;
  }
  const auto chosen =
    ChooseLevelled(costs, mBoard.Unseen(aNow).mPrefillMs, UniformOf(aQuery.mDraw, kComputeDraw));
  if (chosen == costs.size()) {
    return NoneAdmits(aQuery, "no engine admits the request", kNoEngineRetryAfter, aNow);
  }
  const auto& best = options[chosen].mPlacement;
  const auto patience = FirstEventPatience(*aQuery.mRoute, aQuery.mTimeLeft);
  // What waits ahead is bounded by the target: a longer line serves no more callers and makes all
  // of them late. The request's own computation and transfer may take longer than the target.
  const milliseconds_f target{ aQuery.mRoute->mTarget };
  const auto own = best.mFirstToken - best.mWait;
  const auto line = std::max(kLeastLine * target, kLine * target - own);
  const bool late = best.mWait > line;
  if (late || best.mFirstToken > kUsablePatience * patience) {
    const auto excess = best.mFirstToken - milliseconds_f{ aQuery.mRoute->mTarget };
    const auto spread =
      0.75 + 0.5 * static_cast<double>(ties[chosen] >> 11U) / static_cast<double>(1ULL << 53U);
    return no_placement{ "the first token would come too late",
                         std::max(
                           kLeastRetryAfter,
                           std::chrono::duration_cast<std::chrono::milliseconds>(excess * spread)),
                         best };
  }
  return best;
}

} // namespace skylarkwind
