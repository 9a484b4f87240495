#include "share_shard_p.h"

#include "share_fairness_p.h"

#include <algorithm>
#include <bit>
#include <iterator>

namespace skylarkwind {

namespace {

/// A daemon with unmet demand and no units renews its entry this often. Each renewal raises the
/// object's version, which also advances the rotation of units that do not divide evenly.
constexpr std::chrono::seconds kUnmetDemandRenewal{ 5 };
/// Daemons that can read a shard every write period before the platform's read capacity is
/// exhausted.
constexpr std::size_t kDaemonsPerReadPeriod = 32;
constexpr std::size_t kMaxReadPeriods = 10;
/// Daemons that can write all shards every write period before the platform's capacity of several
/// hundred writes a second is exhausted (50 daemons with 16 busy shards write 800/s at most).
constexpr std::size_t kDaemonsPerWritePeriod = 50;
constexpr std::size_t kMaxWritePeriods = 7;

share_slot::timing
SlotTiming(const limit_shares_settings& aSettings)
{
  // Two windows and one write period pass before an unused amount is returned.
  return { aSettings.mReleaseAfter * 9 / 20, aSettings.mWritePeriod };
}

limit_kind
KindOf(std::string_view aName)
{
  return aName.starts_with("r:") ? limit_kind::Rate : limit_kind::Concurrency;
}

} // namespace

std::chrono::nanoseconds
share_context::Jitter(std::chrono::nanoseconds aDuration)
{
  std::uniform_int_distribution<std::int64_t> part{ aDuration.count() / 2, aDuration.count() };
  return std::chrono::nanoseconds{ part(mRandom) };
}

std::uint64_t
share_allowance::Proportional() const
{
  if (!Exceeded()) {
    return UINT64_MAX;
  }
  return static_cast<std::uint64_t>(static_cast<unsigned __int128>(mOwn) * mLimit /
                                    (mOwn + mOthers));
}

std::uint64_t
share_allowance::Ceiling() const
{
  if (!mMayRaise) {
    return mOwn;
  }
  return std::max(mOwn, mLimit > mOthers ? mLimit - mOthers : 0);
}

share_shard::share_shard(share_context& aContext, std::uint32_t aNumber)
  : mContext{ aContext }
  , mKey{ "shares", std::to_string(aNumber) }
  , mWatch{ aContext.mSettings.mShareTerm }
{
}

share_slot&
share_shard::Slot(std::string_view aName, instant aNow)
{
  if (const auto found = mSlots.find(aName); found != mSlots.end()) {
    return found->second.mSlot;
  }
  tracked_slot tracked{ share_slot{ KindOf(aName), SlotTiming(mContext.mSettings) }, {} };
  auto& slot = tracked.mSlot;
  const auto limit = mLimits.find(aName);
  slot.SetLimit(limit == mLimits.end() ? 0 : limit->second);
  if (mCall == call_kind::Write || mUncertainVersion) {
    slot.LowerFloor(0, aNow); // The write was built without this slot.
  }
  auto& placed = mSlots.emplace(aName, tracked).first->second;
  UpdateSlot(aName, placed, aNow);
  return placed.mSlot;
}

const share_slot*
share_shard::FindSlot(std::string_view aName) const
{
  const auto found = mSlots.find(aName);
  return found == mSlots.end() ? nullptr : &found->second.mSlot;
}

void
share_shard::SetLimits(slot_limits aLimits, instant aNow)
{
  mLimits = std::move(aLimits);
  for (auto& [name, tracked] : mSlots) {
    const auto limit = mLimits.find(name);
    tracked.mSlot.SetLimit(limit == mLimits.end() ? 0 : limit->second);
  }
  UpdateSlots(aNow);
  mNextRead = std::min(mNextRead, aNow + mContext.Jitter(mContext.mSettings.mWritePeriod));
}

bool
share_shard::CoversTerm(instant aEndsBy, instant aNow)
{
  const auto& settings = mContext.mSettings;
  // The other daemons reclaim the entry after `mVmGoneAfter`.
  const bool vmGone = mContext.mVms.MissingFor(settings.mSelf.mVm) >= settings.mVmGoneAfter / 2;
  if (vmGone || Superseded()) {
    return false;
  }
  if (aNow < mTermEnd && aEndsBy <= mTermEnd) {
    return true;
  }
  mRenewSoon = mRenewSoon || aEndsBy <= aNow + settings.mShareTerm;
  return false;
}

bool
share_shard::Exhausted(std::string_view aName, instant aNow) const
{
  const auto found = mSlots.find(aName);
  // A daemon without demand skips its reads, so an object whose next read is overdue is too old to
  // decide on.
  if (!mRead || aNow >= mNextRead || found == mSlots.end()) {
    return false;
  }
  const auto& allowance = found->second.mAllowance;
  return std::min(allowance.Ceiling(), allowance.mFairAmount) <= allowance.mOwn;
}

share_allowance
share_shard::AllowanceFor(std::string_view aName, const share_slot& aSlot, instant aNow) const
{
  share_allowance allowance;
  allowance.mLimit = aSlot.Limit();
  allowance.mMayRaise = true;
  if (mContext.mTableSerial < mObject.mTableSerial) {
    // Another daemon has a newer table, whose limits are in force. When the object does not state
    // this limit, the amount may not grow until that table arrives.
    const auto stored = mObject.mLimits.find(aName);
    allowance.mMayRaise = stored != mObject.mLimits.end() && stored->second > 0;
    allowance.mLimit = allowance.mMayRaise ? stored->second : allowance.mLimit;
  }
  const auto& self = mContext.mSettings.mSelf.mVm;
  allowance.mOwn = OwnEntry(aName).mAmount;
  if (!aSlot.Limited() && allowance.mOwn == 0) {
    return allowance;
  }
  std::vector<share_demand> demands{ { self, allowance.mLimit } };
  for (const auto& [vm, holder] : mObject.mHolders) {
    const auto entry = holder.mEntries.find(aName);
    if (vm == self || entry == holder.mEntries.end() || Removable(vm, aNow)) {
      continue;
    }
    allowance.mOthers += entry->second.mAmount;
    const bool live = mContext.mMembers->MayBeAlive({ vm, holder.mStartId });
    demands.push_back({ vm, std::max(entry->second.mAmount, live ? entry->second.mWanted : 0) });
  }
  const auto holders = static_cast<std::uint64_t>(mObject.mHolders.size());
  const std::uint64_t rotation = mVersion >> (std::bit_width(holders) + 2);
  allowance.mFairAmount = FairAmount(std::move(demands), allowance.mLimit, self, rotation);
  return allowance;
}

share_entry
share_shard::Plan(tracked_slot& aTracked, instant aNow) const
{
  auto& slot = aTracked.mSlot;
  const auto& allowance = aTracked.mAllowance;
  const std::uint64_t target = mContext.mClosing ? slot.Held() : slot.Target(aNow);
  std::uint64_t amount = std::min(target, std::max(allowance.mFairAmount, slot.Held()));
  if (allowance.Exceeded()) {
    amount = std::min(amount, std::max(allowance.Proportional(), slot.Held()));
  }
  amount = slot.Limited() ? std::min(amount, allowance.Ceiling()) : 0;
  return { amount, target > amount && !mContext.mClosing ? target : 0 };
}

bool
share_shard::Removable(std::string_view aVm, instant aNow) const
{
  if (aVm == mContext.mSettings.mSelf.mVm) {
    return false;
  }
  // A VM that comes back writes its entry before the VM list holds it again. The entry must
  // therefore also have been unchanged for as long as a VM must be missing from the lists.
  const bool gone =
    mContext.mVms.Gone(aVm) && mWatch.UnchangedFor(aVm, aNow) >= mContext.mSettings.mVmGoneAfter;
  return gone || mWatch.Expired(aVm, aNow);
}

const share_holder*
share_shard::OwnHolder() const
{
  const auto own = mObject.mHolders.find(mContext.mSettings.mSelf.mVm);
  return own == mObject.mHolders.end() ? nullptr : &own->second;
}

share_entry
share_shard::OwnEntry(std::string_view aName) const
{
  const auto* own = OwnHolder();
  if (own == nullptr) {
    return {};
  }
  const auto entry = own->mEntries.find(aName);
  return entry == own->mEntries.end() ? share_entry{} : entry->second;
}

bool
share_shard::Superseded() const
{
  const auto* own = OwnHolder();
  return own != nullptr && own->mStartId > mContext.mSettings.mSelf.mStartId;
}

void
share_shard::AdoptObject(share_object aObject, std::uint64_t aVersion, instant aNow)
{
  mObject = std::move(aObject);
  mVersion = aVersion;
  mRead = true;
  mWatch.Observe(mObject, aNow);
  if (const auto* own = OwnHolder();
      own != nullptr && own->mStartId == mContext.mSettings.mSelf.mStartId) {
    if (const auto sent = mUncertainWrites.find(own->mRenewal); sent != mUncertainWrites.end()) {
      mTermEnd = std::max(mTermEnd, sent->second + mContext.mSettings.mShareTerm);
    }
  }
  if (!mUncertainVersion || mVersion > *mUncertainVersion) {
    mUncertainVersion.reset();
    mUncertainWrites.clear();
    ClearFloors(aNow);
  }
  UpdateSlots(aNow);
}

void
share_shard::UpdateSlots(instant aNow)
{
  for (auto& [name, tracked] : mSlots) {
    UpdateSlot(name, tracked, aNow);
  }
}

void
share_shard::UpdateSlot(std::string_view aName, tracked_slot& aTracked, instant aNow)
{
  const auto* own = OwnHolder();
  const bool ownProcess = own != nullptr && own->mStartId == mContext.mSettings.mSelf.mStartId;
  aTracked.mAllowance = AllowanceFor(aName, aTracked.mSlot, aNow);
  const auto& allowance = aTracked.mAllowance;
  aTracked.mSlot.SetRecorded(ownProcess ? allowance.mOwn : 0, aNow);
  aTracked.mSlot.SetCap(std::min(allowance.mFairAmount, allowance.Proportional()), aNow);
  aTracked.mSlot.SetHalfFree(allowance.mOwn + allowance.mOthers <= allowance.mLimit / 2);
}

void
share_shard::ClearFloors(instant aNow)
{
  for (auto& [name, tracked] : mSlots) {
    tracked.mSlot.ClearFloor(aNow);
  }
}

void
share_shard::DropIdleSlots(instant aNow)
{
  for (auto slot = mSlots.begin(); slot != mSlots.end();) {
    const bool idle = slot->second.mSlot.Idle(aNow) && OwnEntry(slot->first) == share_entry{};
    slot = idle ? mSlots.erase(slot) : std::next(slot);
  }
}

void
share_shard::ScheduleRead(instant aNow)
{
  mNextRead = aNow + mContext.Jitter(ReadPeriod());
}

void
share_shard::ScheduleRenewal(instant aNow)
{
  mRenewAt = aNow + mContext.Jitter(mContext.mSettings.mShareTerm / 3);
  for (auto& [name, tracked] : mSlots) {
    if (const auto entry = OwnEntry(name); entry.mAmount == 0 && entry.mWanted > 0) {
      mRenewAt = std::min(mRenewAt, aNow + mContext.Jitter(kUnmetDemandRenewal));
    }
  }
}

std::chrono::nanoseconds
share_shard::WritePeriod() const
{
  const std::size_t live = mContext.mMembers->Live().size();
  return mContext.mSettings.mWritePeriod *
         std::clamp<std::size_t>(live / kDaemonsPerWritePeriod, 1, kMaxWritePeriods);
}

std::chrono::nanoseconds
share_shard::ReadPeriod() const
{
  const std::size_t live = mContext.mMembers->Live().size();
  return mContext.mSettings.mWritePeriod *
         std::clamp<std::size_t>(live / kDaemonsPerReadPeriod, 1, kMaxReadPeriods);
}

} // namespace skylarkwind
