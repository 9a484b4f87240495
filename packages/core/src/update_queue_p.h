#pragma once

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
  void Add(std::string_view aVm);
  bool Contains(std::string_view aVm) const;

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
    std::uint32_t mSent = 0;
  };
  std::vector<entry> mEntries; ///< sent least often first
};

} // namespace skylarkwind
