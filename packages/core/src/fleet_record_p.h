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

/// The holder's side of the platform object `fleet/<data centre>`. Its version is known by a read
/// first; every write is a conditional update, one at a time, and a doubtful one is settled by a
/// read.
class fleet_record
{
public:
  enum class outcome
  {
    None,
    Loaded,    ///< the object was read; the draft starts from it
    Confirmed, ///< a write took effect
    Displaced  ///< another write came in between; what was drafted is lost
  };

  fleet_record(std::string aDataCentre, std::chrono::milliseconds aCallLimit);

  /// Forgets everything and reads the object. Revisions of an acquisition start above its fencing
  /// number times `kRevisionsPerAcquisition`: after a restore of the platform, the newest copy may
  /// be with a daemon out of reach, and its revisions must not be given out again.
  void Begin(std::uint64_t aFencing, instant aNow);
  void End();

  /// Whether the object was read and nothing has displaced it since.
  bool Loaded() const { return mLoaded; }
  /// What is stored for certain.
  const fleet_object& Stored() const { return mStored; }
  /// What the next write stores.
  const fleet_object& Draft() const { return mDraft; }
  /// Changes the draft; returns the revision that will hold the change.
  fleet_object& Change();
  /// The revision under which the draft as it stands will be written.
  std::uint64_t NextRevision() const;
  bool Dirty() const { return mDirty || mWriting.has_value(); }

  /// The copy that the daemons distribute. It is newer than the platform's after a restore.
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
  std::chrono::milliseconds mCallLimit;
  bool mActive = false;
  bool mLoaded = false;
  bool mDirty = false;
  bool mDoubt = false; ///< `mWriting` may or may not be stored
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
  instant mNextReview;
};

} // namespace skylarkwind
