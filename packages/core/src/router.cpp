#include "skylarkwind/router.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace skylarkwind {

namespace {

/// An engine takes a request by affinity while its load is below this multiple of the mean.
constexpr double kLoadBound = 1.25;
/// Loads that differ by less than this share of the bound count as equal.
constexpr double kEqualShare = 0.01;
/// Engines looked at in the order of their rendezvous scores; two that admit are enough, the
/// others stand in for engines that are draining or away.
constexpr std::size_t kRanked = 4;
constexpr std::size_t kCandidates = 2;
/// Prompt work that an engine may have waiting, by its own rate. It keeps the engine busy between
/// two reports; more would only lengthen the wait for the first token.
constexpr double kMostBacklogSeconds = 2;
/// A search that found nothing reads all states again, but not more often than this.
constexpr std::chrono::milliseconds kRereadDistance{ 5 };

/// Finalizer of the SplitMix64 generator.
std::uint64_t
Mix(std::uint64_t aValue)
{
  aValue = (aValue ^ (aValue >> 30U)) * 0xBF58476D1CE4E5B9U;
  aValue = (aValue ^ (aValue >> 27U)) * 0x94D049BB133111EBU;
  return aValue ^ (aValue >> 31U);
}

/// Positions of the highest rendezvous scores, highest first.
std::size_t
Rank(std::span<const std::uint64_t> aHashes,
     std::uint64_t aKey,
     std::array<std::size_t, kRanked>& aPositions)
{
  std::array<std::uint64_t, kRanked> scores{};
  std::size_t count = 0;
  for (std::size_t i = 0; i < aHashes.size(); ++i) {
    const auto score = Mix(aKey ^ aHashes[i]);
    if (count == kRanked && score <= scores[kRanked - 1]) {
      continue;
    }
    auto place = count < kRanked ? count++ : kRanked - 1;
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
  const auto* slot = ChooseIn(aQuery, aViews);
  if (slot == nullptr && aNow - mRefreshedAt >= kRereadDistance) {
    Refresh(aViews, aNow);
    slot = ChooseIn(aQuery, aViews);
  }
  if (slot == nullptr && !aQuery.mAvoid.empty()) {
    // An engine that failed the request before is better than none.
    auto query = aQuery;
    query.mAvoid = {};
    slot = ChooseIn(query, aViews);
  }
  return slot == nullptr ? nullptr : &aViews[slot->mView];
}

const router::engine_slot*
router::ChooseIn(const route_query& aQuery, std::span<const engine_view> aViews) const
{
  const auto* pool = FindPool(aQuery.mService, aQuery.mModel, aQuery.mRole);
  if (pool == nullptr || pool->mSlots.empty()) {
    return nullptr;
  }
  const double weight = std::max(pool->mWeight, 1e-9);
  // The mean counts this request, so that an idle engine is always within the bound.
  const double bound = kLoadBound * (pool->mOwn + pool->mOthers + aQuery.mWork) / weight;
  const auto* slot = ChooseBounded(*pool, aQuery, aViews, bound);
  return slot != nullptr ? slot : LeastLoaded(*pool, aQuery, aViews, bound * kEqualShare);
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
    const double tie = aBound * kEqualShare;
    const bool equal = best != nullptr && std::abs(cost - bestCost) <= tie;
    if (best == nullptr || (equal ? aSlot.mLocal && !best->mLocal : cost < bestCost)) {
      best = &aSlot;
      bestCost = cost;
    }
  };
  std::array<std::size_t, kRanked> ranked{};
  const auto count = Rank(aPool.mHashes, aQuery.mAffinity, ranked);
  std::size_t found = 0;
  for (std::size_t i = 0; i < count && found < kCandidates; ++i) {
    const auto& slot = mSlots[aPool.mSlots[ranked[i]]];
    if (Fits(slot, aQuery, aViews)) {
      ++found;
      consider(slot, 0);
    }
  }
  for (const auto& holder : aQuery.mHolders) {
    const auto name = mByName.find(holder.mEngine);
    if (name != mByName.end() && Fits(mSlots[name->second], aQuery, aViews)) {
      consider(mSlots[name->second], static_cast<double>(holder.mPieces * kPieceTokens));
    }
  }
  const auto first = mByName.find(aQuery.mFirstChoice);
  if (first != mByName.end() && Fits(mSlots[first->second], aQuery, aViews)) {
    consider(mSlots[first->second], aQuery.mWork);
  }
  return best;
}

const router::engine_slot*
router::LeastLoaded(const pool& aPool,
                    const route_query& aQuery,
                    std::span<const engine_view> aViews,
                    double aTie) const
{
  const engine_slot* best = nullptr;
  double bestLoad = 0;
  // Starting anywhere spreads requests over engines of equal load.
  const auto count = aPool.mSlots.size();
  const auto start = Mix(aQuery.mAffinity) % count;
  for (std::size_t i = 0; i < count; ++i) {
    const auto& slot = mSlots[aPool.mSlots[(start + i) % count]];
    if (!slot.mAdmits) {
      continue;
    }
    const double load = LoadOf(slot);
    const bool equal = best != nullptr && std::abs(load - bestLoad) <= aTie;
    const bool better = best == nullptr || (equal ? slot.mLocal && !best->mLocal : load < bestLoad);
    if (better && Fits(slot, aQuery, aViews)) {
      best = &slot;
      bestLoad = load;
    }
  }
  return best;
}

bool
router::Fits(const engine_slot& aSlot,
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

/// Further prompts would only wait in the engine's queue, where they can no longer be refused in
/// time or sent elsewhere.
bool
router::IsBacklogged(const engine_slot& aSlot) const
{
  if (aSlot.mPrefillRate <= 0) {
    return false;
  }
  // What the report showed of others has been computed at this rate since.
  const double since = std::chrono::duration<double>(mRefreshedAt - aSlot.mSampledAt).count();
  const double others =
    std::max(0.0, aSlot.mOthersPrompts - std::max(0.0, since) * aSlot.mPrefillRate);
  return aSlot.mOwnPrompts.Now() + others > kMostBacklogSeconds * aSlot.mPrefillRate;
}

double
router::LoadOf(const engine_slot& aSlot)
{
  return aSlot.mWeight > 0 ? (aSlot.mOwn.Now() + aSlot.mOthers) / aSlot.mWeight : 0;
}

double
router::Load(std::string_view aEngine) const
{
  const auto found = mByName.find(aEngine);
  return found == mByName.end() ? 0 : LoadOf(mSlots[found->second]);
}

const engine_view*
router::Find(std::string_view aEngine, std::span<const engine_view> aViews) const
{
  const auto found = mByName.find(aEngine);
  if (found == mByName.end() || !mSlots[found->second].mPresent) {
    return nullptr;
  }
  const auto position = mSlots[found->second].mView;
  return position < aViews.size() && aViews[position].mName == aEngine ? &aViews[position]
                                                                       : nullptr;
}

} // namespace skylarkwind
