#include "limit_shares_impl_p.h"

#include "skylarkwind/hash.h"

#include <absl/status/status.h>

namespace skylarkwind {

namespace {

/// A larger share takes one read and one write of the shard's object.
constexpr std::chrono::milliseconds kRetryAfterShareUpdate{ 100 };
constexpr std::chrono::milliseconds kRetryAfterExhausted{ 1'000 };

} // namespace

absl::StatusOr<std::unique_ptr<limit_shares>>
limit_shares::Create(limit_shares_settings aSettings, const membership& aMembers)
{
  if (aSettings.mShards == 0) {
    return absl::InvalidArgumentError("limit shares: the number of shards is 0");
  }
  if (aSettings.mSelf.mVm.empty()) {
    return absl::InvalidArgumentError("limit shares: the VM has no name");
  }
  if (aSettings.mWritePeriod.count() <= 0 || aSettings.mReleaseAfter.count() <= 0) {
    return absl::InvalidArgumentError("limit shares: a period is not positive");
  }
  return std::make_unique<limit_shares_impl>(std::move(aSettings), aMembers);
}

limit_shares_impl::limit_shares_impl(limit_shares_settings aSettings, const membership& aMembers)
{
  mContext.mMembers = &aMembers;
  mContext.mVms = vm_presence{ aSettings.mVmGoneAfter };
  mContext.mRandom.seed(aSettings.mRandomSeed);
  mContext.mSettings = std::move(aSettings);
  for (std::uint32_t i = 0; i < mContext.mSettings.mShards; ++i) {
    mShards.emplace_back(mContext, i);
  }
}

share_shard&
limit_shares_impl::ShardOf(std::string_view aLimit)
{
  return mShards[Hash64(aLimit) % mShards.size()];
}

std::vector<limit_shares_impl::needed_slot>
limit_shares_impl::SlotsFor(std::span<const std::string> aLimits, instant aNow)
{
  std::vector<needed_slot> slots;
  for (const auto& limit : aLimits) {
    auto& shard = ShardOf(limit);
    for (const char* prefix : { "c:", "r:" }) {
      std::string name = prefix + limit;
      // Requests in flight are counted even without a limit, so that a limit that is set later
      // includes them.
      if (name.starts_with("r:") && !shard.Limited(name)) {
        continue;
      }
      auto& slot = shard.Slot(name, aNow);
      slots.push_back({ &shard, &slot, std::move(name), &limit });
    }
  }
  return slots;
}

limit_decision
limit_shares_impl::TryAcquire(std::span<const std::string> aLimits, instant aEndsBy, instant aNow)
{
  auto slots = SlotsFor(aLimits, aNow);
  for (auto& needed : slots) {
    if (!needed.mSlot->CanTake(aNow)) {
      return Denied(needed, aNow);
    }
  }
  for (const auto& needed : slots) {
    if (needed.mSlot->Limited() && !needed.mShard->CoversTerm(aEndsBy, aNow)) {
      return limit_denied{ *needed.mLimit, kRetryAfterExhausted, false };
    }
  }
  const limit_ticket ticket{ ++mLastTicket };
  auto& held = mTickets[ticket.mNumber];
  for (const auto& needed : slots) {
    needed.mSlot->Take(aNow);
    held.push_back(needed.mSlot);
  }
  return ticket;
}

limit_denied
limit_shares_impl::Denied(needed_slot& aSlot, instant aNow)
{
  aSlot.mSlot->Deny(mContext.mMembers->Live().size(), aNow);
  const bool exhausted = aSlot.mShard->Exhausted(aSlot.mSlotName, aNow);
  auto retryAfter = exhausted ? kRetryAfterExhausted : kRetryAfterShareUpdate;
  if (const auto wait = aSlot.mSlot->TimeUntilAvailable()) {
    retryAfter = std::min(retryAfter, std::chrono::ceil<std::chrono::milliseconds>(*wait));
  }
  return { *aSlot.mLimit, retryAfter, exhausted };
}

void
limit_shares_impl::Release(limit_ticket aTicket, instant /*aNow*/)
{
  const auto held = mTickets.find(aTicket.mNumber);
  if (held == mTickets.end()) {
    return;
  }
  for (auto* slot : held->second) {
    slot->Release();
  }
  mTickets.erase(held);
}

void
limit_shares_impl::OnTable(const table& aTable, instant aNow)
{
  SetLimits(aTable.Serial(), LimitsOf(aTable), aNow);
}

void
limit_shares_impl::SetLimits(std::uint64_t aSerial,
                             const std::vector<limit_row>& aRows,
                             instant aNow)
{
  mContext.mTableSerial = aSerial;
  std::vector<slot_limits> limits(mShards.size());
  for (const auto& row : aRows) {
    auto& shard = limits[Hash64(row.mName) % mShards.size()];
    if (row.mLimits.mMaxConcurrent > 0) {
      shard["c:" + row.mName] = static_cast<double>(row.mLimits.mMaxConcurrent);
    }
    if (row.mLimits.mMaxRequestsPerSecond > 0) {
      shard["r:" + row.mName] = row.mLimits.mMaxRequestsPerSecond;
    }
  }
  for (std::size_t i = 0; i < mShards.size(); ++i) {
    mShards[i].SetLimits(std::move(limits[i]), aNow);
  }
}

void
limit_shares_impl::OnVmList(const vm_list& aList, instant aNow)
{
  mContext.mVms.OnList(aList, aNow);
}

void
limit_shares_impl::OnTick(instant aNow, effect_list& aOut)
{
  for (auto& shard : mShards) {
    shard.OnTick(aNow, aOut);
  }
}

void
limit_shares_impl::OnPlatformReply(const platform_replied& aReply, instant aNow, effect_list& aOut)
{
  for (auto& shard : mShards) {
    if (shard.PendingCall() == aReply.mCall.mNumber) {
      shard.OnReply(aReply.mResult, aNow, aOut);
      return;
    }
  }
}

void
limit_shares_impl::OnShutdown(instant aNow, effect_list& aOut)
{
  mContext.mClosing = true;
  for (auto& shard : mShards) {
    shard.WriteAtNextTick();
    shard.OnTick(aNow, aOut);
  }
}

std::vector<limit_shares::share_view>
limit_shares_impl::View() const
{
  std::vector<share_view> views;
  for (const auto& shard : mShards) {
    shard.ForEachSlot([&](const std::string& aName, const share_slot& aSlot) {
      if (aSlot.Limited()) {
        const bool rate = aName.starts_with("r:");
        views.push_back({ aName.substr(2) + (rate ? " (per second)" : ""),
                          aSlot.Limit(),
                          aSlot.Usable(),
                          aSlot.InUse() });
      }
    });
  }
  return views;
}

} // namespace skylarkwind
