#pragma once

#include "skylarkwind/effects.h"
#include "skylarkwind/events.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// Settings of the command lease of a data centre.
struct lease_settings
{
  process_id mSelf;
  std::string mDataCentre;
  std::chrono::milliseconds mTerm{ 10'000 };
  std::chrono::milliseconds mRenewEvery{ 3'000 };
  std::chrono::milliseconds mStopAfter{ 7'000 };
  /// Read period of the first `mPollers` daemons in rendezvous order.
  std::chrono::milliseconds mPollEvery{ 1'000 };
  /// Read period of all others; they are needed only when every poller is cut off from the
  /// platform.
  std::chrono::milliseconds mSlowPollEvery{ 20'000 };
  std::chrono::milliseconds mCallLimit{ 2'000 };
  std::uint32_t mPollers = 3;
};

/// The platform object `lease/<data centre>`:
/// {"holder":..,"start_id":..,"fencing":..,"renewal":..}. An empty holder means that the lease was
/// released.
struct lease_record
{
  process_id mHolder;
  std::uint64_t mFencing = 0; ///< number of acquisitions so far
  std::uint64_t mRenewal = 0; ///< incremented by each attempted write
  bool operator==(const lease_record&) const = default;

  static absl::StatusOr<lease_record> Parse(std::string_view aJson);
  std::string ToJson() const;
};

/// The command lease of a data centre as one daemon sees it. The holder counts its authority from
/// before it sent the write that acquired or renewed the lease; the others wait a whole term from
/// when they first saw the current renewal counter, so that two daemons never hold the lease at
/// once.
class lease
{
public:
  /// Fails on missing names, or unless mRenewEvery < mStopAfter < mTerm.
  static absl::StatusOr<lease> Create(lease_settings aSettings);

  /// True while this process may act as the holder.
  bool Holds(instant aNow) const;
  /// End of the authority; only meaningful while the lease is held.
  instant HeldUntil() const;
  /// Fencing number of this process's current or latest acquisition.
  std::uint64_t Fencing() const { return mFencing; }
  /// The last known holder; its name is empty when there is none.
  const process_id& Holder() const { return mStored.mHolder; }

  /// Takes note of a fencing number seen in any object or report. One above the own number ends the
  /// authority, and the next acquisition gets a number above it. Such numbers appear after the
  /// platform was restored from older data.
  void OnFencingObserved(std::uint64_t aFencing, instant aNow);
  /// Ends the authority so that the lease is acquired again under a higher fencing number.
  void Reacquire(instant aNow);
  /// Sends the reads and writes that are due. `aDaemons` are the live daemons of the data centre.
  void OnTick(std::span<const process_id> aDaemons, instant aNow, effect_list& aOut);
  /// Handles a platform reply; one that does not answer the open call is ignored.
  void OnPlatformReply(const platform_replied& aReply, instant aNow, effect_list& aOut);
  /// Releases the lease and never acquires it again.
  void GiveUp(instant aNow, effect_list& aOut);

private:
  explicit lease(lease_settings aSettings);

  struct sent_write
  {
    lease_record mRecord;
    instant mSentAt;
  };
  struct open_call
  {
    std::uint64_t mNumber = 0;
    instant mSentAt;
    std::optional<lease_record> mWrite; ///< empty for a read
  };

  void Read(instant aNow, effect_list& aOut);
  void Write(const lease_record& aRecord, instant aNow, effect_list& aOut);
  void Call(platform_operation aOperation, instant aNow, effect_list& aOut);
  void OnOwnWrite(const open_call& aCall, const platform_result& aResult, instant aNow);
  void OnRead(const platform_result& aResult, instant aNow, effect_list& aOut);
  void Observe(const lease_record& aRecord, std::uint64_t aVersion, instant aNow);
  void ConfirmAuthority(const lease_record& aRecord, instant aSentAt, instant aNow);
  void EndAuthority(instant aNow);
  void SendNextCall(instant aNow, effect_list& aOut);
  void ConsiderTakeover(instant aNow, effect_list& aOut);
  bool IsStoredHolder() const { return mStored.mHolder == mSettings.mSelf; }
  std::uint32_t Rank() const;
  instant TakeoverAt() const;
  std::chrono::milliseconds Jitter(std::uint64_t aSalt, std::chrono::milliseconds aBelow) const;

  lease_settings mSettings;
  std::vector<process_id> mDaemons;

  bool mKnown = false; ///< mStored and mVersion are the newest as far as is known
  std::uint64_t mVersion = 0;
  std::uint64_t mOwnVersion = 0; ///< newest version written by an acquisition or renewal of its own
  lease_record mStored;
  instant mFirstSeen; ///< when the current renewal counter was first seen
  std::optional<instant> mLastRead;
  bool mReleaseObserved = false; ///< the release was read right after the holder's renewals

  bool mHeld = false;
  instant mHeldFrom;
  std::uint64_t mFencing = 0;      ///< fencing number of the own acquisition
  std::uint64_t mEndedFencing = 0; ///< own acquisitions up to this number have ended
  std::uint64_t mSeenFencing = 0;
  std::uint64_t mLastRenewal = 0;
  std::vector<sent_write> mSent; ///< writes that may still prove authority

  std::optional<open_call> mCall;
  std::uint64_t mCalls = 0;
  instant mNextAt;
  bool mStopping = false;
};

} // namespace skylarkwind
