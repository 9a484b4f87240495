#include "share_shard_p.h"

#include "share_fairness_p.h"

#include <algorithm>
#include <bit>
#include <iterator>

namespace skylarkwind {

namespace {

/// A daemon that waits with nothing renews its wish this often, which also moves the turn on.
constexpr std::chrono::seconds kReminder{ 5 };
/// Daemons that can read a shard every write period before the platform's reads run short.
constexpr std::size_t kDaemonsPerReadPeriod = 32;
constexpr std::size_t kLongestReadPeriods = 10;
/// Daemons that can write all shards every write period before the platform's several hundred
/// writes a second run short (50 daemons with 16 busy shards write 800/s at most).
constexpr std::size_t kDaemonsPerWritePeriod = 50;
constexpr std::size_t kLongestWritePeriods = 7;

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
share_room::Proportional() const
{
  if (!Exceeded()) {
    return UINT64_MAX;
  }
  return static_cast<std::uint64_t>(static_cast<unsigned __int128>(mOwn) * mLimit /
                                    (mOwn + mOthers));
}

std::uint64_t
share_room::Ceiling() const
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
  if (mCall == call_kind::Write || mDoubtVersion) {
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
  // The others reclaim the entry after `mVmGoneAfter`.
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
  // A daemon without demand skips its reads; what it read last says nothing when one is overdue.
  if (!mRead || aNow >= mNextRead || found == mSlots.end()) {
    return false;
  }
  const auto& room = found->second.mRoom;
  return std::min(room.Ceiling(), room.mFair) <= room.mOwn;
}

share_room
share_shard::RoomFor(std::string_view aName, const share_slot& aSlot, instant aNow) const
{
  share_room room;
  room.mLimit = aSlot.Limit();
  room.mMayRaise = true;
  if (mContext.mTableSerial < mObject.mTableSerial) {
    // Another daemon has a newer table. Its limit is in force; when it is not known here, no
    // amount is added until that table arrives.
    const auto stored = mObject.mLimits.find(aName);
    room.mMayRaise = stored != mObject.mLimits.end() && stored->second > 0;
    room.mLimit = room.mMayRaise ? stored->second : room.mLimit;
  }
  const auto& self = mContext.mSettings.mSelf.mVm;
  room.mOwn = OwnEntry(aName).mAmount;
  if (!aSlot.Limited() && room.mOwn == 0) {
    return room;
  }
  std::vector<share_wish> wishes{ { self, room.mLimit } };
  for (const auto& [vm, holder] : mObject.mHolders) {
    const auto entry = holder.mEntries.find(aName);
    if (vm == self || entry == holder.mEntries.end() || Removable(vm, aNow)) {
      continue;
    }
    room.mOthers += entry->second.mAmount;
    const bool live = mContext.mMembers->MayBeAlive({ vm, holder.mStartId });
    wishes.push_back({ vm, std::max(entry->second.mAmount, live ? entry->second.mWanted : 0) });
  }
  const auto holders = static_cast<std::uint64_t>(mObject.mHolders.size());
  const std::uint64_t turn = mVersion >> (std::bit_width(holders) + 2);
  room.mFair = FairAmount(std::move(wishes), room.mLimit, self, turn);
  return room;
}

share_entry
share_shard::Plan(tracked_slot& aTracked, instant aNow) const
{
  auto& slot = aTracked.mSlot;
  const auto& room = aTracked.mRoom;
  const std::uint64_t target = mContext.mClosing ? slot.Held() : slot.Target(aNow);
  std::uint64_t amount = std::min(target, std::max(room.mFair, slot.Held()));
  if (room.Exceeded()) {
    amount = std::min(amount, std::max(room.Proportional(), slot.Held()));
  }
  amount = slot.Limited() ? std::min(amount, room.Ceiling()) : 0;
  return { amount, target > amount && !mContext.mClosing ? target : 0 };
}

bool
share_shard::Removable(std::string_view aVm, instant aNow) const
{
  if (aVm == mContext.mSettings.mSelf.mVm) {
    return false;
  }
  // A VM that returns writes its entry before it is back in the list, so the entry must also have
  // been unchanged for the time that the lists were without the VM.
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
share_shard::Learn(share_object aObject, std::uint64_t aVersion, instant aNow)
{
  mObject = std::move(aObject);
  mVersion = aVersion;
  mRead = true;
  mWatch.Observe(mObject, aNow);
  if (const auto* own = OwnHolder();
      own != nullptr && own->mStartId == mContext.mSettings.mSelf.mStartId) {
    if (const auto sent = mOpenWrites.find(own->mRenewal); sent != mOpenWrites.end()) {
      mTermEnd = std::max(mTermEnd, sent->second + mContext.mSettings.mShareTerm);
    }
  }
  if (!mDoubtVersion || mVersion > *mDoubtVersion) {
    mDoubtVersion.reset();
    mOpenWrites.clear();
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
  const bool mine = own != nullptr && own->mStartId == mContext.mSettings.mSelf.mStartId;
  aTracked.mRoom = RoomFor(aName, aTracked.mSlot, aNow);
  const auto& room = aTracked.mRoom;
  aTracked.mSlot.SetRecorded(mine ? room.mOwn : 0, aNow);
  aTracked.mSlot.SetCap(std::min(room.mFair, room.Proportional()), aNow);
  aTracked.mSlot.SetPlenty(room.mOwn + room.mOthers <= room.mLimit / 2);
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
      mRenewAt = std::min(mRenewAt, aNow + mContext.Jitter(kReminder));
    }
  }
}

std::chrono::nanoseconds
share_shard::WritePeriod() const
{
  const std::size_t live = mContext.mMembers->Live().size();
  return mContext.mSettings.mWritePeriod *
         std::clamp<std::size_t>(live / kDaemonsPerWritePeriod, 1, kLongestWritePeriods);
}

std::chrono::nanoseconds
share_shard::ReadPeriod() const
{
  const std::size_t live = mContext.mMembers->Live().size();
  return mContext.mSettings.mWritePeriod *
         std::clamp<std::size_t>(live / kDaemonsPerReadPeriod, 1, kLongestReadPeriods);
}

} // namespace skylarkwind
