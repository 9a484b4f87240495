#pragma once

#include "skylarkwind/effects.h"
#include "skylarkwind/events.h"
#include "skylarkwind/fleet.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

namespace skylarkwind {

inline constexpr std::uint64_t kRevisionsPerAcquisition = 1'000'000;

/// Reads and writes the platform object `fleet/<data centre>` on behalf of the lease holder. The
/// object is read first to learn its version. Every write is a conditional update, one at a time;
/// after a write with unknown outcome the object is read again.
class fleet_record
{
public:
  enum class outcome
  {
    None,
    Loaded,    ///< the object was read; the draft starts from it
    Confirmed, ///< a write took effect
    Displaced  ///< another writer updated the object first; the draft is lost
  };

  fleet_record(std::string aDataCentre, std::chrono::milliseconds aCallTimeout);

  /// Resets the state and reads the object. Revisions of a lease acquisition start above its
  /// fencing number times `kRevisionsPerAcquisition`: after a restore of the platform, the newest
  /// copy may be at an unreachable daemon, and its revisions must not be assigned again.
  void Begin(std::uint64_t aFencing, instant aNow);
  void End();

  /// Whether the object was read and no other writer has changed it since.
  bool Loaded() const { return mLoaded; }
  /// The newest content that is known to be stored.
  const fleet_object& Stored() const { return mStored; }
  /// The content that the next write stores.
  const fleet_object& Draft() const { return mDraft; }
  /// Returns the draft for modification and marks it as changed.
  fleet_object& Change();
  /// The revision that the next write of the draft will get.
  std::uint64_t NextRevision() const;
  bool Dirty() const { return mDirty || mWriting.has_value(); }

  /// Takes the copy that the daemons distribute. After a restore of the platform it is newer than
  /// the stored object.
  void OnDistributed(const fleet_object& aObject);
  void OnTick(instant aNow, bool aMayWrite, effect_list& aOut);
  outcome OnPlatformReply(const platform_replied& aReply, instant aNow);
  std::optional<fleet_object> TakeWritten();

private:
  struct open_call
  {
    std::uint64_t mNumber = 0;
    instant mSentAt;
    bool mWrite = false;
  };

  void Call(platform_operation aOperation, bool aWrite, instant aNow, effect_list& aOut);
  outcome OnWriteReply(const platform_result& aResult, instant aNow);
  outcome OnReadReply(const platform_result& aResult, instant aNow);
  outcome Load(fleet_object aObject, std::uint64_t aVersion);
  outcome Confirm(std::uint64_t aVersion);

  object_key mKey;
  std::chrono::milliseconds mCallTimeout;
  bool mActive = false;
  bool mLoaded = false;
  bool mDirty = false;
  bool mWriteInDoubt = false; ///< unknown whether `mWriting` was stored
  std::uint64_t mVersion = 0;
  std::uint64_t mRevisionFloor = 0;
  fleet_object mStored;
  fleet_object mDraft;
  std::optional<fleet_object> mWriting;
  std::optional<fleet_object> mDistributed;
  std::optional<fleet_object> mWritten;
  std::optional<open_call> mCall;
  std::uint64_t mCalls = 0;
  instant mNextAt;
  instant mNextReread;
};

} // namespace skylarkwind
