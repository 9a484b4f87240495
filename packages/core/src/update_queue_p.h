#pragma once

#include "skylarkwind/clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// VMs whose state has changed, to be told to others a bounded number of times.
class update_queue
{
public:
  /// Starts anew for this VM.
  void Add(std::string_view aVm, instant aNow);
  bool Contains(std::string_view aVm) const;

  /// Drops what was added before `aBefore`. After a mass start the queue holds far more than a
  /// message can, and by then the comparison of checksums has spread it.
  void Expire(instant aBefore);

  /// Takes up to `aCount` VMs, those sent least often first, and counts them as sent. A VM leaves
  /// the queue when it was sent `SendLimit(aMembers)` times.
  std::vector<std::string> Take(std::size_t aCount, std::size_t aMembers);

  /// 3 x log2: with that many random receivers an update misses a given member with a probability
  /// below 1 in n; the comparison of checksums finds the rest.
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
