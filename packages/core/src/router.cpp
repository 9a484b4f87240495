#include "skylarkwind/router.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace skylarkwind {

namespace {

/// Load bound for placement by affinity, as a multiple of the pool's mean load.
constexpr double kLoadBound = 1.25;
/// Loads and costs that differ by at most this fraction of the bound count as equal.
constexpr double kTieFraction = 0.01;
/// Number of engines with the highest rendezvous scores that are examined. The first two that are
/// eligible become candidates; the others replace engines that are draining or absent.
constexpr std::size_t kRankedCount = 4;
constexpr std::size_t kCandidateCount = 2;
/// Longest prompt backlog of an engine, in seconds of its own prefill rate. It keeps the engine
/// busy between two reports; a longer one would only delay the first token.
constexpr double kMaxBacklogSeconds = 2;
/// Shortest interval between refreshes that are triggered by a choice without result.
constexpr std::chrono::milliseconds kMinRefreshInterval{ 5 };

/// Finalizer of the SplitMix64 generator.
std::uint64_t
Mix(std::uint64_t aValue)
{
  aValue = (aValue ^ (aValue >> 30U)) * 0xBF58476D1CE4E5B9U;
  aValue = (aValue ^ (aValue >> 27U)) * 0x94D049BB133111EBU;
  return aValue ^ (aValue >> 31U);
}

/// Writes the positions of the highest rendezvous scores, highest first, and returns their number.
std::size_t
Rank(std::span<const std::uint64_t> aHashes,
     std::uint64_t aKey,
     std::array<std::size_t, kRankedCount>& aPositions)
{
  std::array<std::uint64_t, kRankedCount> scores{};
  std::size_t count = 0;
  for (std::size_t i = 0; i < aHashes.size(); ++i) {
    const auto score = Mix(aKey ^ aHashes[i]);
    if (count == kRankedCount && score <= scores[kRankedCount - 1]) {
      continue;
    }
    auto place = count < kRankedCount ? count++ : kRankedCount - 1;
    for (; place > 0 && scores[place - 1] < score; --place) {
      scores[place] = scores[place - 1];
      aPositions[place] = aPositions[place - 1];
    }
    scores[place] = score;
    aPositions[place] = i;
  }
  return count;
}

bool
Contains(std::span<const std::string> aNames, std::string_view aName)
{
  return std::ranges::find(aNames, aName) != aNames.end();
}

} // namespace

const engine_view*
router::Choose(const route_query& aQuery, std::span<const engine_view> aViews, instant aNow)
{
  if (aViews.size() != mSlotOfView.size()) {
    Refresh(aViews, aNow);
  }
  const auto* slot = ChooseFromPool(aQuery, aViews);
  if (slot == nullptr && aNow - mRefreshedAt >= kMinRefreshInterval) {
    Refresh(aViews, aNow);
    slot = ChooseFromPool(aQuery, aViews);
  }
  if (slot == nullptr && !aQuery.mAvoid.empty()) {
    // Retry on an engine that failed this request rather than find none.
    auto query = aQuery;
    query.mAvoid = {};
    slot = ChooseFromPool(query, aViews);
  }
  return slot == nullptr ? nullptr : &aViews[slot->mView];
}

const router::engine_slot*
router::ChooseFromPool(const route_query& aQuery, std::span<const engine_view> aViews) const
{
  const auto* pool = FindPool(aQuery.mService, aQuery.mModel, aQuery.mRole);
  if (pool == nullptr || pool->mSlots.empty()) {
    return nullptr;
  }
  const double weight = std::max(pool->mWeight, 1e-9);
  // The mean includes this request, so that an idle engine is always within the bound.
  const double bound = kLoadBound * (pool->mOwnLoad + pool->mPeerLoad + aQuery.mWork) / weight;
  const auto* slot = ChooseBounded(*pool, aQuery, aViews, bound);
  return slot != nullptr ? slot : ChooseLeastLoaded(*pool, aQuery, aViews, bound * kTieFraction);
}

const router::engine_slot*
router::ChooseBounded(const pool& aPool,
                      const route_query& aQuery,
                      std::span<const engine_view> aViews,
                      double aBound) const
{
  const engine_slot* best = nullptr;
  double bestCost = 0;
  const auto consider = [&](const engine_slot& aSlot, double aCachedTokens) {
    const double load = LoadOf(aSlot);
    if (load > aBound) {
      return;
    }
    const double cost = load + std::max(0.0, aQuery.mWork - aCachedTokens) / aSlot.mWeight;
    const double tie = aBound * kTieFraction;
    const bool equal = best != nullptr && std::abs(cost - bestCost) <= tie;
    if (best == nullptr ||
        (equal ? aSlot.mSameDataCentre && !best->mSameDataCentre : cost < bestCost)) {
      best = &aSlot;
      bestCost = cost;
    }
  };
  std::array<std::size_t, kRankedCount> ranked{};
  const auto count = Rank(aPool.mHashes, aQuery.mAffinity, ranked);
  std::size_t found = 0;
  for (std::size_t i = 0; i < count && found < kCandidateCount; ++i) {
    const auto& slot = mSlots[aPool.mSlots[ranked[i]]];
    if (IsEligible(slot, aQuery, aViews)) {
      ++found;
      consider(slot, 0);
    }
  }
  for (const auto& holder : aQuery.mHolders) {
    const auto name = mSlotByName.find(holder.mEngine);
    if (name != mSlotByName.end() && IsEligible(mSlots[name->second], aQuery, aViews)) {
      consider(mSlots[name->second], static_cast<double>(holder.mBlocks * kBlockTokens));
    }
  }
  const auto first = mSlotByName.find(aQuery.mFirstChoice);
  if (first != mSlotByName.end() && IsEligible(mSlots[first->second], aQuery, aViews)) {
    consider(mSlots[first->second], aQuery.mWork);
  }
  return best;
}

const router::engine_slot*
router::ChooseLeastLoaded(const pool& aPool,
                          const route_query& aQuery,
                          std::span<const engine_view> aViews,
                          double aTolerance) const
{
  const engine_slot* best = nullptr;
  double bestLoad = 0;
  // A start position derived from the affinity spreads requests over engines of equal load.
  const auto count = aPool.mSlots.size();
  const auto start = Mix(aQuery.mAffinity) % count;
  for (std::size_t i = 0; i < count; ++i) {
    const auto& slot = mSlots[aPool.mSlots[(start + i) % count]];
    if (!slot.mAdmits) {
      continue;
    }
    const double load = LoadOf(slot);
    const bool equal = best != nullptr && std::abs(load - bestLoad) <= aTolerance;
    const bool better =
      best == nullptr || (equal ? slot.mSameDataCentre && !best->mSameDataCentre : load < bestLoad);
    if (better && IsEligible(slot, aQuery, aViews)) {
      best = &slot;
      bestLoad = load;
    }
  }
  return best;
}

bool
router::IsEligible(const engine_slot& aSlot,
                   const route_query& aQuery,
                   std::span<const engine_view> aViews) const
{
  if (!aSlot.mPresent || aSlot.mWeight <= 0) {
    return false;
  }
  const auto& view = aViews[aSlot.mView];
  return view.mName == aSlot.mName && view.Admits() && view.mRole == aQuery.mRole &&
         view.mModel == aQuery.mModel && view.mService == aQuery.mService &&
         (aQuery.mVersion.empty() || view.mVersion == aQuery.mVersion) &&
         !Contains(aQuery.mAvoid, aSlot.mName) && (aQuery.mBegun || !IsBacklogged(aSlot));
}

/// A backlogged engine gets no further prompts: they would only wait in its queue, where they can
/// no longer be refused in time or sent to another engine.
bool
router::IsBacklogged(const engine_slot& aSlot) const
{
  if (aSlot.mPrefillRate <= 0) {
    return false;
  }
  // Prompts of other daemons in the report have been computed at the prefill rate since then.
  const double since = std::chrono::duration<double>(mRefreshedAt - aSlot.mSampledAt).count();
  const double others =
    std::max(0.0, aSlot.mPeerPromptLoad - std::max(0.0, since) * aSlot.mPrefillRate);
  return aSlot.mOwnPromptLoad.Now() + others > kMaxBacklogSeconds * aSlot.mPrefillRate;
}

double
router::LoadOf(const engine_slot& aSlot)
{
  return aSlot.mWeight > 0 ? (aSlot.mOwnLoad.Now() + aSlot.mPeerLoad) / aSlot.mWeight : 0;
}

double
router::Load(std::string_view aEngine) const
{
  const auto found = mSlotByName.find(aEngine);
  return found == mSlotByName.end() ? 0 : LoadOf(mSlots[found->second]);
}

const engine_view*
router::Find(std::string_view aEngine, std::span<const engine_view> aViews) const
{
  const auto found = mSlotByName.find(aEngine);
  if (found == mSlotByName.end() || !mSlots[found->second].mPresent) {
    return nullptr;
  }
  const auto position = mSlots[found->second].mView;
  return position < aViews.size() && aViews[position].mName == aEngine ? &aViews[position]
                                                                       : nullptr;
}

} // namespace skylarkwind
