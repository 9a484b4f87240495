#pragma once

#include "renewal_tracker_p.h"
#include "share_object_p.h"
#include "share_slot_p.h"
#include "skylarkwind/limit_shares.h"
#include "vm_presence_p.h"

#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkwind {

/// Limits by slot name ("c:<name>" or "r:<name>"), requests in flight or requests per second.
using slot_limits = std::map<std::string, double, std::less<>>;

/// State shared by all shards of one daemon.
struct share_context
{
  limit_shares_settings mSettings;
  const membership* mMembers = nullptr;
  vm_presence mVms{ std::chrono::nanoseconds{ 0 } };
  std::uint64_t mTableSerial = 0;
  std::uint64_t mLastCall = 0;
  bool mClosing = false; ///< the daemon shuts down and returns its shares
  std::mt19937_64 mRandom;

  /// A random duration between half of `aDuration` and all of it.
  std::chrono::nanoseconds Jitter(std::chrono::nanoseconds aDuration);
};

/// How much of a limit this daemon may record, by the last known object.
struct share_allowance
{
  std::uint64_t mLimit = 0;      ///< in force
  std::uint64_t mOwn = 0;        ///< recorded for this VM
  std::uint64_t mOthers = 0;     ///< recorded for other VMs
  bool mMayRaise = false;        ///< whether the recorded amount may grow
  std::uint64_t mFairAmount = 0; ///< most that max-min fairness allows this daemon

  bool Exceeded() const { return mOwn + mOthers > mLimit; }
  /// This daemon's amount when a lowered limit reduces all shares proportionally.
  std::uint64_t Proportional() const;
  /// Most that may be recorded for this daemon.
  std::uint64_t Ceiling() const;
};

/// This daemon's share of the limits in one object `shares/<shard>`. Reads before each write. All
/// changes go into one write, at most one in each write period; a write without effect is
/// retried earlier, after a growing back-off.
class share_shard
{
public:
  share_shard(share_context& aContext, std::uint32_t aNumber);

  /// The slot of a limit, created if absent. It is kept while it is in use.
  share_slot& Slot(std::string_view aName, instant aNow);
  const share_slot* FindSlot(std::string_view aName) const;

  /// Calls `aVisit(name, slot)` for each slot.
  template<class visitor>
  void ForEachSlot(visitor aVisit) const
  {
    for (const auto& [name, tracked] : mSlots) {
      aVisit(name, tracked.mSlot);
    }
  }

  bool Limited(std::string_view aName) const { return mLimits.find(aName) != mLimits.end(); }

  /// Applies the limits of a new table; limits that are not in it no longer hold.
  void SetLimits(slot_limits aLimits, instant aNow);

  /// True when the entry of this daemon stays valid until `aEndsBy`.
  bool CoversTerm(instant aEndsBy, instant aNow);
  /// True when the limit is used up over all daemons, as far as known.
  bool Exhausted(std::string_view aName, instant aNow) const;

  /// Makes the next read and write due at the next tick, regardless of the last write.
  void WriteAtNextTick() { mNextWrite = mNextRead = instant{}; }
  void OnTick(instant aNow, effect_list& aOut);
  std::uint64_t PendingCall() const { return mCall == call_kind::None ? 0 : mCallNumber; }
  void OnReply(const platform_result& aResult, instant aNow, effect_list& aOut);

private:
  struct tracked_slot
  {
    share_slot mSlot;
    share_allowance mAllowance;
  };
  /// The write in flight.
  struct sent_write
  {
    share_object mObject;
    std::uint64_t mRenewal = 0;
    instant mSentAt;
  };
  enum class call_kind
  {
    None,
    Read,
    Write
  };

  share_allowance AllowanceFor(std::string_view aName, const share_slot& aSlot, instant aNow) const;
  share_entry Plan(tracked_slot& aTracked, instant aNow) const;
  bool Removable(std::string_view aVm, instant aNow) const;
  const share_holder* OwnHolder() const;
  share_entry OwnEntry(std::string_view aName) const;
  /// True when a later process on this VM has taken over the entry.
  bool Superseded() const;

  bool NeedsWrite(instant aNow);
  bool NeedsPublishing() const;
  bool RenewalDue(instant aNow) const;
  bool ReadNeeded(instant aNow);
  bool HasDemand(instant aNow);
  share_object Build(instant aNow);
  void Publish(share_object& aObject) const;

  void SendRead(effect_list& aOut);
  void SendWrite(instant aNow, effect_list& aOut);
  void Send(call_kind aKind, platform_operation aOperation, effect_list& aOut);
  void OnFound(const object_found& aFound, instant aNow, effect_list& aOut);
  void OnMissing(instant aNow, effect_list& aOut);
  void OnRefused(instant aNow);
  void OnConflict(instant aNow);
  void OnNoResponse(instant aNow);
  void BackOffAfterFailure(instant aNow);
  void WriteIfNeeded(instant aNow, effect_list& aOut);
  void AdoptObject(share_object aObject, std::uint64_t aVersion, instant aNow);
  void UpdateSlots(instant aNow);
  void UpdateSlot(std::string_view aName, tracked_slot& aTracked, instant aNow);
  void ClearFloors(instant aNow);
  void DropIdleSlots(instant aNow);
  void ScheduleRead(instant aNow);
  void ScheduleRenewal(instant aNow);
  std::chrono::nanoseconds WritePeriod() const;
  std::chrono::nanoseconds ReadPeriod() const;

  share_context& mContext;
  object_key mKey;
  std::map<std::string, tracked_slot, std::less<>> mSlots;
  slot_limits mLimits;
  renewal_tracker mWatch;

  share_object mObject;
  std::uint64_t mVersion = 0; ///< of `mObject`; 0 when there is none
  bool mStarted = false;      ///< the time of the first read is set
  bool mRead = false;         ///< a read has succeeded
  instant mTermEnd;
  bool mRenewSoon = false;
  std::uint64_t mLastRenewal = 0;

  call_kind mCall = call_kind::None;
  std::uint64_t mCallNumber = 0;
  sent_write mSent;
  /// Writes without a response, which may have taken effect or still may: renewal counter and time
  /// of sending.
  std::map<std::uint64_t, instant> mUncertainWrites;
  /// Highest version that a write without a response or a conflicting write expected. When a
  /// higher version is known, no such write can take effect any more.
  std::optional<std::uint64_t> mUncertainVersion;

  instant mNextWrite;
  instant mNextRead;
  instant mRenewAt;
  std::chrono::nanoseconds mBackOff{ 0 };
};

} // namespace skylarkwind
