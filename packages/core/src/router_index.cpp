#include "skylarkwind/router.h"

#include "skylarkwind/hash.h"

#include <algorithm>
#include <utility>

namespace skylarkwind {

namespace {

/// Assumed number of output tokens left in a running stream; engines report only how many streams
/// they decode.
constexpr double kRemainingOutputTokens = 128;

std::string
PoolKey(std::string_view aService, std::string_view aModel, engine_role aRole)
{
  std::string key{ aService };
  key += '\n';
  key += aModel;
  key += '\n';
  key += static_cast<char>('0' + static_cast<int>(aRole));
  return key;
}

double
ReportedLoad(const engine_report& aReport, double aOutputTokenCost)
{
  return static_cast<double>(aReport.mQueuedPromptTokens) +
         static_cast<double>(aReport.mDecodeStreams) * kRemainingOutputTokens * aOutputTokenCost;
}

/// Cost of an output token in prompt tokens. Rates reported by idle engines can be far off, so the
/// ratio is clamped to the range seen on accelerators.
double
OutputTokenCost(double aPrefillRate, double aDecodeRate)
{
  return aPrefillRate > 0 && aDecodeRate > 0 ? std::clamp(aPrefillRate / aDecodeRate, 1.0, 64.0)
                                             : 1.0;
}

} // namespace

router::router(std::string aDataCentre)
  : mDataCentre(std::move(aDataCentre))
{
}

void
router::Refresh(std::span<const engine_view> aViews, instant aNow)
{
  mRefreshedAt = aNow;
  bool poolsChanged = false;
  const auto sameName = [this](const engine_view& aView, std::uint32_t aSlot) {
    return aView.mName == mSlots[aSlot].mName;
  };
  if (!std::ranges::equal(aViews, mSlotOfView, sameName)) {
    Rebuild(aViews);
    poolsChanged = true;
  }
  for (std::size_t i = 0; i < aViews.size(); ++i) {
    UpdateStatus(mSlots[mSlotOfView[i]], aViews[i], poolsChanged);
  }
  if (poolsChanged) {
    AssignPools();
  }
  for (std::size_t i = 0; i < aViews.size(); ++i) {
    UpdateLoad(mSlots[mSlotOfView[i]], aViews[i]);
  }
  for (auto& pool : mPools) {
    UpdatePool(pool, aViews);
  }
}

void
router::Rebuild(std::span<const engine_view> aViews)
{
  for (auto& slot : mSlots) {
    slot.mPresent = false;
  }
  mSlotOfView.clear();
  for (std::size_t i = 0; i < aViews.size(); ++i) {
    const auto index = SlotOf(aViews[i].mName);
    mSlots[index].mPresent = true;
    mSlots[index].mView = i;
    mSlotOfView.push_back(index);
  }
  // The slot of an engine that left the table is reused once its last attempt has ended.
  for (std::uint32_t i = 0; i < mSlots.size(); ++i) {
    auto& slot = mSlots[i];
    if (!slot.mPresent && slot.mAttempts == 0 && !slot.mName.empty()) {
      mSlotByName.erase(slot.mName);
      slot = engine_slot{};
      mFreeSlots.push_back(i);
    }
  }
}

std::uint32_t
router::SlotOf(std::string_view aName)
{
  const auto found = mSlotByName.find(aName);
  if (found != mSlotByName.end()) {
    return found->second;
  }
  auto index = static_cast<std::uint32_t>(mSlots.size());
  if (mFreeSlots.empty()) {
    mSlots.emplace_back();
  } else {
    index = mFreeSlots.back();
    mFreeSlots.pop_back();
  }
  mSlots[index].mName = aName;
  mSlots[index].mHash = Hash64(aName);
  mSlotByName.emplace(aName, index);
  return index;
}

void
router::UpdateStatus(engine_slot& aSlot, const engine_view& aView, bool& aPoolsChanged)
{
  if (aView.mStatus == engine_status::Absent && aSlot.mStatus != engine_status::Absent) {
    mAbsent.push_back(aSlot.mName);
  }
  aSlot.mStatus = aView.mStatus;
  aSlot.mAdmits = aView.Admits();
  aSlot.mSameDataCentre = aView.mDataCentre == mDataCentre;
  const auto* known = aSlot.mPool < mPools.size() ? &mPools[aSlot.mPool] : nullptr;
  if (known == nullptr || known->mRole != aView.mRole || known->mModel != aView.mModel ||
      known->mService != aView.mService) {
    aSlot.mPool = PoolOf(aView);
    aPoolsChanged = true;
  }
}

void
router::UpdateLoad(engine_slot& aSlot, const engine_view& aView)
{
  const auto& pool = mPools[aSlot.mPool];
  const double roleWeight = mRoleWeight ? mRoleWeight(aView.mService, aView.mRole) : 1.0;
  double ramp = 1;
  if (aView.mStatus == engine_status::Warming || aView.mStatus == engine_status::Ramping) {
    const auto limit = static_cast<double>(aView.mInFlightLimit);
    ramp = limit > 0 ? std::min(1.0, limit / std::max(limit, pool.mMeanInFlight)) : 1.0;
  }
  aSlot.mWeight = aView.mWeight * roleWeight * ramp;
  if (aView.mReportSampledAt != aSlot.mSampledAt) {
    aSlot.mSampledAt = aView.mReportSampledAt;
    aSlot.mPrefillRate = aView.mReport.mPrefillTokensPerSecond;
    aSlot.mPeerPromptLoad = std::max(0.0,
                                     static_cast<double>(aView.mReport.mQueuedPromptTokens) -
                                       aSlot.mOwnPromptLoad.At(aSlot.mSampledAt));
    const double price = OutputTokenCost(pool.mPrefillRate, pool.mDecodeRate);
    aSlot.mPeerLoad =
      std::max(0.0, ReportedLoad(aView.mReport, price) - aSlot.mOwnLoad.At(aSlot.mSampledAt));
  }
}

void
router::AssignPools()
{
  for (auto& pool : mPools) {
    pool.mSlots.clear();
    pool.mHashes.clear();
    pool.mOwnLoad = 0;
  }
  for (const auto index : mSlotOfView) {
    const auto& slot = mSlots[index];
    auto& pool = mPools[slot.mPool];
    pool.mSlots.push_back(index);
    pool.mHashes.push_back(slot.mHash);
  }
}

void
router::UpdatePool(pool& aPool, std::span<const engine_view> aViews)
{
  double prefill = 0;
  double decode = 0;
  double reporting = 0;
  double inFlight = 0;
  double serving = 0;
  aPool.mOwnLoad = aPool.mPeerLoad = aPool.mWeight = 0;
  for (const auto index : aPool.mSlots) {
    const auto& slot = mSlots[index];
    const auto& view = aViews[slot.mView];
    if (slot.mAdmits && slot.mWeight > 0) {
      aPool.mOwnLoad += slot.mOwnLoad.Now();
      aPool.mPeerLoad += slot.mPeerLoad;
      aPool.mWeight += slot.mWeight;
    }
    if (view.mReport.mPrefillTokensPerSecond > 0 && view.mReport.mDecodeTokensPerSecond > 0) {
      prefill += view.mReport.mPrefillTokensPerSecond;
      decode += view.mReport.mDecodeTokensPerSecond;
      reporting += 1;
    }
    if (view.mStatus == engine_status::Serving) {
      inFlight += static_cast<double>(view.mInFlight);
      serving += 1;
    }
  }
  aPool.mPrefillRate = reporting > 0 ? prefill / reporting : 0;
  aPool.mDecodeRate = reporting > 0 ? decode / reporting : 0;
  aPool.mMeanInFlight = serving > 0 ? inFlight / serving : 0;
}

std::uint32_t
router::PoolOf(const engine_view& aView)
{
  const auto key = PoolKey(aView.mService, aView.mModel, aView.mRole);
  const auto found = mPoolByKey.find(key);
  if (found != mPoolByKey.end()) {
    return found->second;
  }
  const auto index = static_cast<std::uint32_t>(mPools.size());
  mPools.push_back({ aView.mService, aView.mModel, aView.mRole });
  mPoolByKey.emplace(key, index);
  return index;
}

const router::pool*
router::FindPool(std::string_view aService, std::string_view aModel, engine_role aRole) const
{
  const auto found = mPoolByKey.find(PoolKey(aService, aModel, aRole));
  return found == mPoolByKey.end() ? nullptr : &mPools[found->second];
}

double
router::PrefillRate(std::string_view aService, std::string_view aModel, engine_role aRole) const
{
  const auto* pool = FindPool(aService, aModel, aRole);
  return pool == nullptr ? 0 : pool->mPrefillRate;
}

attempt_load
router::Place(const engine_view& aEngine,
              std::uint64_t aPromptTokens,
              std::uint64_t aOutputTokens,
              instant aNow)
{
  attempt_load work;
  work.mSlot = SlotOf(aEngine.mName);
  const auto* pool = FindPool(aEngine.mService, aEngine.mModel, aEngine.mRole);
  work.mOutputTokenCost =
    pool == nullptr ? 1.0 : OutputTokenCost(pool->mPrefillRate, pool->mDecodeRate);
  work.mPrompt = static_cast<double>(aPromptTokens);
  work.mOutput = static_cast<double>(aOutputTokens) * work.mOutputTokenCost;
  ++mSlots[work.mSlot].mAttempts;
  AddLoad(work.mSlot, work.mPrompt + work.mOutput, work.mPrompt, aNow);
  return work;
}

void
router::Progress(attempt_load& aWork, std::uint64_t aTokens, instant aNow)
{
  // The cost of one output token stays until the attempt ends, so that a stream that exceeds its
  // estimated length still counts.
  const double generated = static_cast<double>(aTokens) * aWork.mOutputTokenCost;
  const double output = std::min(generated, std::max(0.0, aWork.mOutput - aWork.mOutputTokenCost));
  aWork.mOutput -= output;
  AddLoad(aWork.mSlot, -(aWork.mPrompt + output), -aWork.mPrompt, aNow);
  aWork.mPrompt = 0;
}

void
router::Finish(const attempt_load& aWork, instant aNow)
{
  --mSlots[aWork.mSlot].mAttempts;
  AddLoad(aWork.mSlot, -(aWork.mPrompt + aWork.mOutput), -aWork.mPrompt, aNow);
}

void
router::AddLoad(std::uint32_t aSlot, double aDelta, double aPrompt, instant aNow)
{
  auto& slot = mSlots[aSlot];
  slot.mOwnLoad.Add(aDelta, aNow);
  if (aPrompt != 0) {
    slot.mOwnPromptLoad.Add(aPrompt, aNow);
  }
  if (slot.mPresent && slot.mAdmits) {
    auto& pool = mPools[slot.mPool];
    pool.mOwnLoad = std::max(0.0, pool.mOwnLoad + aDelta);
  }
}

std::vector<std::string>
router::TakeNewlyAbsent()
{
  return std::exchange(mAbsent, {});
}

} // namespace skylarkwind
