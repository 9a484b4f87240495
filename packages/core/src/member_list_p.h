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

/// Whether a process in this state counts as live. Suspects do.
bool IsLive(member_state aState);

/// State of the newest known process of each VM. Holds one record per VM name.
class member_list
{
public:
  enum class merge_result
  {
    Changed,
    Known, ///< equal to the record
    Stale  ///< the record is newer
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

  /// The live process of another VM at this address that started earlier than `aProcess`; null when
  /// there is none.
  const member_update* OlderProcessAt(std::string_view aAddress, const process_id& aProcess) const;

  /// Members that have been suspect since `aSince` or longer.
  std::vector<member_update> SuspectsSince(instant aSince) const;

  /// Moves the start of each suspicion by `aGap`, so that time in which this process was paused
  /// does not count.
  void DelaySuspicions(std::chrono::nanoseconds aGap);

  /// Dead members whose address is not used by a live member.
  std::vector<member_update> UnreachableDead() const;
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
