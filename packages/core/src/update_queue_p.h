#pragma once

#include "skylarkwind/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// VMs whose state has changed. Each update is piggybacked on a bounded number of messages.
class update_queue
{
public:
  /// Adds the VM, or resets its count of sent updates.
  void Add(std::string_view aVm, instant aNow);
  bool Contains(std::string_view aVm) const;

  /// Drops the entries added before `aBefore`. After many daemons started at once the queue holds
  /// far more entries than fit into a message, and by then the checksum comparison has spread them.
  void Expire(instant aBefore);

  /// Returns up to `aCount` VMs, least often sent first, and counts them as sent. A VM is removed
  /// when it has been sent `SendLimit(aMembers)` times.
  std::vector<std::string> Take(std::size_t aCount, std::size_t aMembers);

  /// 3 x log2(n) for n members: with that many random receivers an update misses a given member
  /// with a probability below 1 in n; the checksum comparison covers the rest.
  static std::uint32_t SendLimit(std::size_t aMembers);

private:
  struct entry
  {
    std::string mVm;
    instant mAddedAt;
    std::uint32_t mSent = 0;
  };
  std::vector<entry> mEntries; ///< sent least often first
};

} // namespace skylarkwind
