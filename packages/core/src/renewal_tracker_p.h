#pragma once

#include "share_object_p.h"
#include "skylarkwind/clock.h"

#include <chrono>
#include <map>
#include <string>
#include <string_view>

namespace skylarkwind {

/// Records when this daemon first saw the current renewal counter of each holder, to decide when a
/// holder has expired. A holder measures its term from before it sent the renewal, so its own term
/// always ends first.
class renewal_tracker
{
public:
  explicit renewal_tracker(std::chrono::nanoseconds aTerm)
    : mTerm{ aTerm }
  {
  }

  /// Updates the counters from a newly read object; holders that it no longer lists are dropped.
  void Observe(const share_object& aObject, instant aNow)
  {
    std::erase_if(mSeen, [&](const auto& aSeen) {
      return aObject.mHolders.find(aSeen.first) == aObject.mHolders.end();
    });
    for (const auto& [vm, holder] : aObject.mHolders) {
      auto& seen = mSeen[vm];
      if (seen.mStartId != holder.mStartId || seen.mRenewal != holder.mRenewal) {
        seen = { holder.mStartId, holder.mRenewal, aNow };
      }
    }
  }

  /// True when the holder on this VM has not renewed for the term plus the clock drift margin.
  bool Expired(std::string_view aVm, instant aNow) const
  {
    return UnchangedFor(aVm, aNow) > mTerm + kDriftMargin;
  }

  /// Time since the current start id and renewal counter of a VM's entry were first seen.
  std::chrono::nanoseconds UnchangedFor(std::string_view aVm, instant aNow) const
  {
    const auto seen = mSeen.find(aVm);
    return seen == mSeen.end() ? std::chrono::nanoseconds{ 0 } : aNow - seen->second.mFirstSeen;
  }

private:
  /// The clocks of two machines drift apart by less than this in one term (15 min at 200 ppm is
  /// 0.2 s).
  static constexpr std::chrono::seconds kDriftMargin{ 2 };

  struct seen_renewal
  {
    std::uint64_t mStartId = 0;
    std::uint64_t mRenewal = 0;
    instant mFirstSeen;
  };
  std::chrono::nanoseconds mTerm;
  std::map<std::string, seen_renewal, std::less<>> mSeen;
};

} // namespace skylarkwind
