#include "update_queue_p.h"

#include <algorithm>
#include <bit>

namespace skylarkwind {

void
update_queue::Add(std::string_view aVm, instant aNow)
{
  std::erase_if(mEntries, [&](const entry& aEntry) { return aEntry.mVm == aVm; });
  mEntries.insert(mEntries.begin(), entry{ std::string{ aVm }, aNow, 0 });
}

bool
update_queue::Contains(std::string_view aVm) const
{
  return std::any_of(
    mEntries.begin(), mEntries.end(), [&](const entry& aEntry) { return aEntry.mVm == aVm; });
}

void
update_queue::Expire(instant aBefore)
{
  std::erase_if(mEntries, [&](const entry& aEntry) { return aEntry.mAddedAt < aBefore; });
}

std::uint32_t
update_queue::SendLimit(std::size_t aMembers)
{
  return 3 * static_cast<std::uint32_t>(std::bit_width(aMembers));
}

std::vector<std::string>
update_queue::Take(std::size_t aCount, std::size_t aMembers)
{
  const auto taken = std::min(aCount, mEntries.size());
  std::vector<std::string> vms;
  vms.reserve(taken);
  for (std::size_t i = 0; i < taken; ++i) {
    vms.push_back(mEntries[i].mVm);
    ++mEntries[i].mSent;
  }
  const auto limit = SendLimit(aMembers);
  std::erase_if(mEntries, [&](const entry& aEntry) { return aEntry.mSent >= limit; });
  std::stable_sort(mEntries.begin(), mEntries.end(), [](const entry& aLeft, const entry& aRight) {
    return aLeft.mSent < aRight.mSent;
  });
  return vms;
}

} // namespace skylarkwind
