#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/peer_messages.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// Whether others count the process as live. Suspects do.
bool IsLive(member_state aState);

/// What is known of each VM's newest process. Holds one record for each VM name.
class member_list
{
public:
  enum class merge_result
  {
    Changed,
    Known, ///< nothing new
    Stale  ///< this list knows something newer
  };

  /// Keeps the newer of the record and the update: the higher start id, then the higher refutation
  /// count, then the later of Alive, Suspect, Dead and Left.
  merge_result Merge(const member_update& aUpdate, instant aNow);

  const member_update* Find(std::string_view aVm) const;
  bool MayBeAlive(const process_id& aProcess) const;

  /// Live members sorted by process.
  std::span<const member_update> Live() const { return mLive; }

  /// Checksum of the set of live processes; equal for equal sets.
  std::uint64_t Checksum() const { return mChecksum; }

  /// The live process at this address other than `aProcess` that started earlier.
  const member_update* ReplacedAt(std::string_view aAddress, const process_id& aProcess) const;

  /// Suspects since before `aSince`.
  std::vector<member_update> SuspectsSince(instant aSince) const;

  /// Adds to the start of each suspicion, so that time in which this process did not run does not
  /// count.
  void DelaySuspicions(std::chrono::nanoseconds aGap);

  /// Dead members at whose address no live member is.
  std::vector<member_update> Lost() const;
  bool IsLiveAddress(std::string_view aAddress) const;

  /// Removes members that died or left before `aBefore`.
  void Forget(instant aBefore);

private:
  struct record
  {
    member_update mUpdate;
    instant mChangedAt;
  };

  void UpdateLive(const member_update& aUpdate);

  std::map<std::string, record, std::less<>> mRecords;
  std::vector<member_update> mLive;
  std::map<std::string, instant, std::less<>> mSuspects; ///< VM and start of the suspicion
  std::uint64_t mChecksum = 0;
};

} // namespace skylarkwind
