#include "member_list_p.h"

#include "skylarkwind/hash.h"

#include <algorithm>
#include <tuple>

namespace skylarkwind {
namespace {

auto
PrecedenceOf(const member_update& aUpdate)
{
  return std::tuple{ aUpdate.mProcess.mStartId, aUpdate.mRefutation, aUpdate.mState };
}

std::uint64_t
ProcessHash(const process_id& aProcess)
{
  return Hash64(aProcess.mVm, aProcess.mStartId);
}

} // namespace

bool
IsLive(member_state aState)
{
  return aState == member_state::Alive || aState == member_state::Suspect;
}

member_list::merge_result
member_list::Merge(const member_update& aUpdate, instant aNow)
{
  const auto [found, isNew] = mRecords.try_emplace(aUpdate.mProcess.mVm, record{ aUpdate, aNow });
  auto& known = found->second;
  if (!isNew) {
    if (PrecedenceOf(aUpdate) < PrecedenceOf(known.mUpdate)) {
      return merge_result::Stale;
    }
    if (PrecedenceOf(aUpdate) == PrecedenceOf(known.mUpdate)) {
      return merge_result::Known;
    }
    known = { aUpdate, aNow };
  }
  if (aUpdate.mState == member_state::Suspect) {
    mSuspects[aUpdate.mProcess.mVm] = aNow;
  } else {
    mSuspects.erase(aUpdate.mProcess.mVm);
  }
  UpdateLive(aUpdate);
  return merge_result::Changed;
}

void
member_list::UpdateLive(const member_update& aUpdate)
{
  auto at = std::lower_bound(
    mLive.begin(), mLive.end(), aUpdate.mProcess.mVm, [](const auto& aMember, const auto& aVm) {
      return aMember.mProcess.mVm < aVm;
    });
  const bool present = at != mLive.end() && at->mProcess.mVm == aUpdate.mProcess.mVm;
  if (present) {
    mChecksum ^= ProcessHash(at->mProcess);
  }
  if (IsLive(aUpdate.mState)) {
    mChecksum ^= ProcessHash(aUpdate.mProcess);
    if (present) {
      *at = aUpdate;
    } else {
      mLive.insert(at, aUpdate);
    }
  } else if (present) {
    mLive.erase(at);
  }
}

const member_update*
member_list::Find(std::string_view aVm) const
{
  const auto found = mRecords.find(aVm);
  return found == mRecords.end() ? nullptr : &found->second.mUpdate;
}

bool
member_list::MayBeAlive(const process_id& aProcess) const
{
  const auto* known = Find(aProcess.mVm);
  if (known == nullptr || known->mProcess.mStartId < aProcess.mStartId) {
    return true;
  }
  return known->mProcess == aProcess && IsLive(known->mState);
}

const member_update*
member_list::OlderProcessAt(std::string_view aAddress, const process_id& aProcess) const
{
  const auto found = std::find_if(mLive.begin(), mLive.end(), [&](const member_update& aMember) {
    return aMember.mLocation.mAddress == aAddress && aMember.mProcess.mVm != aProcess.mVm &&
           aMember.mProcess.mStartId < aProcess.mStartId;
  });
  return found == mLive.end() ? nullptr : &*found;
}

std::vector<member_update>
member_list::SuspectsSince(instant aSince) const
{
  std::vector<member_update> suspects;
  for (const auto& [vm, since] : mSuspects) {
    if (since <= aSince) {
      suspects.push_back(*Find(vm));
    }
  }
  return suspects;
}

void
member_list::DelaySuspicions(std::chrono::nanoseconds aGap)
{
  for (auto& [vm, since] : mSuspects) {
    since += aGap;
  }
}

std::vector<member_update>
member_list::UnreachableDead() const
{
  std::vector<member_update> unreachable;
  for (const auto& [vm, known] : mRecords) {
    if (known.mUpdate.mState == member_state::Dead &&
        !IsLiveAddress(known.mUpdate.mLocation.mAddress)) {
      unreachable.push_back(known.mUpdate);
    }
  }
  return unreachable;
}

bool
member_list::IsLiveAddress(std::string_view aAddress) const
{
  return std::any_of(mLive.begin(), mLive.end(), [&](const member_update& aMember) {
    return aMember.mLocation.mAddress == aAddress;
  });
}

void
member_list::Forget(instant aBefore)
{
  std::erase_if(mRecords, [&](const auto& aEntry) {
    return !IsLive(aEntry.second.mUpdate.mState) && aEntry.second.mChangedAt < aBefore;
  });
}

} // namespace skylarkwind
