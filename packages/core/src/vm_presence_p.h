#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/platform_calls.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace skylarkwind {

/// Tracks which VMs have been removed from the VM list. The list lags, so a VM counts as gone only
/// when it was listed before and has been missing from every list read over `aGoneAfter`.
class vm_presence
{
public:
  explicit vm_presence(std::chrono::nanoseconds aGoneAfter)
    : mGoneAfter{ aGoneAfter }
  {
  }

  void OnList(const vm_list& aList, instant aNow)
  {
    for (auto& [vm, state] : mVms) {
      if (state.mPresent) {
        state = { false, aNow, aNow };
      } else {
        state.mMissingUntil = aNow;
      }
    }
    for (const auto& vm : aList.mVms) {
      mVms[vm.mName] = { true, aNow, aNow };
    }
    std::erase_if(mVms, [](const auto& aVm) {
      return aVm.second.mMissingUntil - aVm.second.mMissingSince > kForgetAfter;
    });
  }

  bool Gone(std::string_view aVm) const { return MissingFor(aVm) >= mGoneAfter; }

  /// Time between the first and the last list without the VM; 0 for a listed or an unknown VM.
  std::chrono::nanoseconds MissingFor(std::string_view aVm) const
  {
    const auto vm = mVms.find(aVm);
    if (vm == mVms.end() || vm->second.mPresent) {
      return std::chrono::nanoseconds{ 0 };
    }
    return vm->second.mMissingUntil - vm->second.mMissingSince;
  }

private:
  static constexpr std::chrono::hours kForgetAfter{ 1 };

  struct state
  {
    bool mPresent = false;
    instant mMissingSince;
    instant mMissingUntil;
  };
  std::chrono::nanoseconds mGoneAfter;
  std::map<std::string, state, std::less<>> mVms;
};

} // namespace skylarkwind
