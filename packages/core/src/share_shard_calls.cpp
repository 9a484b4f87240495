#include "share_shard_p.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// The first reads after a start are spread over this time, unless a request is waiting.
constexpr std::chrono::seconds kFirstReadSpread{ 2 };
constexpr std::chrono::milliseconds kMinBackOff{ 50 };
constexpr std::chrono::seconds kMaxBackOff{ 5 };

/// Whether the plan must be written. A demand alone is rewritten only when it changed by more than
/// half.
bool
NeedsRewrite(const share_entry& aRecorded, const share_entry& aPlan)
{
  return aRecorded.mAmount != aPlan.mAmount || (aRecorded.mWanted == 0) != (aPlan.mWanted == 0) ||
         aPlan.mWanted > aRecorded.mWanted + aRecorded.mWanted / 2 ||
         aPlan.mWanted < aRecorded.mWanted / 2;
}

} // namespace

bool
share_shard::NeedsWrite(instant aNow)
{
  if (!mRead || Superseded()) {
    return false;
  }
  const auto* own = OwnHolder();
  if (own != nullptr && own->mStartId != mContext.mSettings.mSelf.mStartId) {
    return true; // The entry is of an earlier process of this VM.
  }
  if (RenewalDue(aNow) || NeedsPublishing()) {
    return true;
  }
  return std::any_of(mSlots.begin(), mSlots.end(), [&](auto& aSlot) {
    return NeedsRewrite(OwnEntry(aSlot.first), Plan(aSlot.second, aNow));
  });
}

bool
share_shard::NeedsPublishing() const
{
  if (mContext.mTableSerial <= mObject.mTableSerial) {
    return false;
  }
  return std::any_of(mObject.mLimits.begin(), mObject.mLimits.end(), [&](const auto& aStored) {
    const auto* slot = FindSlot(aStored.first);
    return slot != nullptr && slot->Limited() && slot->Limit() < aStored.second;
  });
}

bool
share_shard::RenewalDue(instant aNow) const
{
  const auto* own = OwnHolder();
  return own != nullptr && !own->mEntries.empty() && (mRenewSoon || aNow >= mRenewAt);
}

bool
share_shard::ReadNeeded(instant aNow)
{
  const auto* own = OwnHolder();
  return !mRead || mUncertainVersion || (own != nullptr && !own->mEntries.empty()) ||
         HasDemand(aNow);
}

share_object
share_shard::Build(instant aNow)
{
  share_object object = mObject;
  std::erase_if(object.mHolders,
                [&](const auto& aHolder) { return Removable(aHolder.first, aNow); });
  auto& own = object.mHolders[mContext.mSettings.mSelf.mVm];
  own.mStartId = mContext.mSettings.mSelf.mStartId;
  own.mRenewal = std::max(own.mRenewal, mLastRenewal) + 1;
  own.mEntries.clear();
  for (auto& [name, tracked] : mSlots) {
    const share_entry entry = Plan(tracked, aNow);
    tracked.mSlot.LowerFloor(entry.mAmount, aNow);
    if (entry.mAmount > 0 || entry.mWanted > 0) {
      own.mEntries[name] = entry;
    }
  }
  Publish(object);
  return object;
}

void
share_shard::Publish(share_object& aObject) const
{
  if (mContext.mTableSerial < aObject.mTableSerial) {
    return;
  }
  aObject.mTableSerial = mContext.mTableSerial;
  const auto publish = [&](const std::string& aName) {
    const auto limit = mLimits.find(aName);
    share_slot units{ aName.starts_with("r:") ? limit_kind::Rate : limit_kind::Concurrency, {} };
    units.SetLimit(limit == mLimits.end() ? 0 : limit->second);
    aObject.mLimits[aName] = units.Limit();
  };
  for (const auto& [name, amount] : mObject.mLimits) {
    publish(name);
  }
  for (const auto& [name, tracked] : mSlots) {
    publish(name);
  }
}

void
share_shard::OnTick(instant aNow, effect_list& aOut)
{
  if (mCall != call_kind::None) {
    return;
  }
  if (!mStarted) {
    mStarted = true;
    mNextRead = aNow + mContext.Jitter(kFirstReadSpread);
  }
  DropIdleSlots(aNow);
  const bool write = aNow >= mNextWrite && (mRead ? NeedsWrite(aNow) : HasDemand(aNow));
  if (write || (aNow >= mNextRead && ReadNeeded(aNow))) {
    SendRead(aOut);
  }
}

bool
share_shard::HasDemand(instant aNow)
{
  return std::any_of(
    mSlots.begin(), mSlots.end(), [&](auto& aSlot) { return aSlot.second.mSlot.Target(aNow) > 0; });
}

void
share_shard::SendRead(effect_list& aOut)
{
  Send(call_kind::Read, read_object{ mKey }, aOut);
}

void
share_shard::SendWrite(instant aNow, effect_list& aOut)
{
  mSent.mObject = Build(aNow);
  mSent.mRenewal = mSent.mObject.mHolders[mContext.mSettings.mSelf.mVm].mRenewal;
  mSent.mSentAt = aNow;
  mLastRenewal = mSent.mRenewal;
  Send(call_kind::Write, write_object{ mKey, mVersion, mSent.mObject.ToJson() }, aOut);
}

void
share_shard::Send(call_kind aKind, platform_operation aOperation, effect_list& aOut)
{
  mCall = aKind;
  mCallNumber = ++mContext.mLastCall;
  aOut.push_back(call_platform{ { part::LimitShares, mCallNumber }, std::move(aOperation) });
}

void
share_shard::OnReply(const platform_result& aResult, instant aNow, effect_list& aOut)
{
  const bool wrote = mCall == call_kind::Write;
  mCall = call_kind::None;
  if (const auto* found = std::get_if<object_found>(&aResult); found != nullptr && !wrote) {
    OnFound(*found, aNow, aOut);
  } else if (std::holds_alternative<object_missing>(aResult) && !wrote) {
    OnMissing(aNow, aOut);
  } else if (const auto* accepted = std::get_if<write_accepted>(&aResult);
             accepted != nullptr && wrote) {
    mBackOff = std::chrono::nanoseconds{ 0 };
    mRenewSoon = false;
    mTermEnd = std::max(mTermEnd, mSent.mSentAt + mContext.mSettings.mShareTerm);
    AdoptObject(std::move(mSent.mObject), accepted->mVersion, aNow);
    mNextWrite = aNow + WritePeriod();
    ScheduleRead(aNow);
    ScheduleRenewal(aNow);
  } else if (std::holds_alternative<write_conflict>(aResult) && wrote) {
    OnConflict(aNow);
  } else if (wrote && !std::holds_alternative<platform_refused>(aResult)) {
    OnNoResponse(aNow);
  } else {
    OnRefused(aNow);
  }
}

void
share_shard::OnFound(const object_found& aFound, instant aNow, effect_list& aOut)
{
  if (aFound.mVersion < mVersion) {
    BackOffAfterFailure(aNow); // The read was stale.
    return;
  }
  if (aFound.mVersion > mVersion) {
    auto object = share_object::Parse(aFound.mValue);
    if (!object.ok()) {
      aOut.push_back(log_line{ log_level::Error,
                               "limits",
                               "object shares/" + mKey.mName +
                                 " cannot be read: " + std::string{ object.status().message() } });
      BackOffAfterFailure(aNow);
      return;
    }
    AdoptObject(std::move(*object), aFound.mVersion, aNow);
  } else {
    UpdateSlots(aNow); // Entries of other daemons may have expired since.
  }
  WriteIfNeeded(aNow, aOut);
}

void
share_shard::OnMissing(instant aNow, effect_list& aOut)
{
  if (mVersion > 0) {
    aOut.push_back(log_line{ log_level::Warning,
                             "limits",
                             "object shares/" + mKey.mName + " is missing; it had version " +
                               std::to_string(mVersion) });
    BackOffAfterFailure(aNow);
    return;
  }
  mRead = true;
  WriteIfNeeded(aNow, aOut);
}

void
share_shard::WriteIfNeeded(instant aNow, effect_list& aOut)
{
  ScheduleRead(aNow);
  if (aNow >= mNextWrite && NeedsWrite(aNow)) {
    SendWrite(aNow, aOut);
  } else {
    mBackOff = std::chrono::nanoseconds{ 0 };
  }
}

void
share_shard::OnRefused(instant aNow)
{
  if (!mUncertainVersion) {
    ClearFloors(aNow);
  }
  BackOffAfterFailure(aNow);
}

void
share_shard::OnConflict(instant aNow)
{
  // The floors stay until a read returns the version that the write conflicted with.
  mUncertainVersion = std::max(mUncertainVersion.value_or(0), mVersion);
  BackOffAfterFailure(aNow);
}

void
share_shard::OnNoResponse(instant aNow)
{
  mUncertainWrites.emplace(mSent.mRenewal, mSent.mSentAt);
  mUncertainVersion = std::max(mUncertainVersion.value_or(0), mVersion);
  BackOffAfterFailure(aNow);
}

void
share_shard::BackOffAfterFailure(instant aNow)
{
  mBackOff = std::clamp<std::chrono::nanoseconds>(mBackOff * 2, kMinBackOff, kMaxBackOff);
  mNextRead = aNow + mContext.Jitter(mBackOff);
  mNextWrite = std::max(mNextWrite, mNextRead);
}

} // namespace skylarkwind
