#pragma once

#include "limit_list_p.h"
#include "share_shard_p.h"

#include <deque>
#include <unordered_map>

namespace skylarkwind {

/// The shares of all limits, spread over the shards by the hash of the limit's name.
class limit_shares_impl final : public limit_shares
{
public:
  limit_shares_impl(limit_shares_settings aSettings, const membership& aMembers);

  limit_decision TryAcquire(std::span<const std::string> aLimits,
                            instant aEndsBy,
                            instant aNow) override;
  void Release(limit_ticket aTicket, instant aNow) override;
  void OnTable(const table& aTable, instant aNow) override;
  void OnVmList(const vm_list& aList, instant aNow) override;
  void OnTick(instant aNow, effect_list& aOut) override;
  void OnPlatformReply(const platform_replied& aReply, instant aNow, effect_list& aOut) override;
  void OnShutdown(instant aNow, effect_list& aOut) override;
  std::vector<share_view> View() const override;

  /// Applies the limits of the table with this serial.
  void SetLimits(std::uint64_t aSerial, const std::vector<limit_row>& aRows, instant aNow);

private:
  /// A slot that a request needs, with its shard and the name of its limit.
  struct needed_slot
  {
    share_shard* mShard = nullptr;
    share_slot* mSlot = nullptr;
    std::string mSlotName;
    const std::string* mLimit = nullptr;
  };

  share_shard& ShardOf(std::string_view aLimit);
  std::vector<needed_slot> SlotsFor(std::span<const std::string> aLimits, instant aNow);
  limit_denied Denied(needed_slot& aSlot, instant aNow);

  share_context mContext;
  std::deque<share_shard> mShards;
  std::unordered_map<std::uint64_t, std::vector<share_slot*>> mTickets;
  std::uint64_t mLastTicket = 0;
};

} // namespace skylarkwind
