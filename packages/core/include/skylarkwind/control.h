#pragma once

#include "skylarkwind/effects.h"
#include "skylarkwind/events.h"
#include "skylarkwind/fleet.h"
#include "skylarkwind/membership.h"
#include "skylarkwind/plan_source.h"
#include "skylarkwind/table.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkwind {

struct control_settings
{
  process_id mSelf;
  std::string mDataCentre;
  std::chrono::milliseconds mLeaseTerm{ 10'000 };
  std::chrono::milliseconds mLeaseRenewEvery{ 3'000 };
  std::chrono::milliseconds mLeaseStopAfter{ 7'000 };
  std::chrono::milliseconds mOrderExpiry{ 3'000 };
  std::chrono::milliseconds mDrainLimit{ 120'000 };
  std::chrono::milliseconds mPlanEvery{ 1'000 };
  /// Between two model loads of the data centre; the weight store is rate-limited.
  std::chrono::milliseconds mLoadSpacing{ 10'000 };
  /// After this time since the intent no daemon sends the engine new work (invariant I7).
  std::chrono::milliseconds mNoticeTime{ 3'000 };
  std::chrono::milliseconds mObserveEvery{ 1'000 };
  /// An order whose engine cannot be reached for this long is settled without it.
  std::chrono::milliseconds mUnreachableLimit{ 30'000 };
  /// Before the next order to an engine whose last one failed or was withdrawn.
  std::chrono::milliseconds mRetryAfter{ 10'000 };
  std::chrono::milliseconds mCallLimit{ 2'000 };
  std::uint64_t mRandomSeed = 1;
};

/// Authority over the engines of this daemon's data centre: the lease, the role planner and the
/// orders to engines. Does nothing but watch the lease object while another daemon holds it.
class control
{
public:
  /// Without `aPlans`, roles change only by the table.
  static absl::StatusOr<std::unique_ptr<control>> Create(
    control_settings aSettings,
    const membership& aMembers,
    const fleet& aFleet,
    std::unique_ptr<plan_source> aPlans = nullptr);
  virtual ~control() = default;

  virtual bool HoldsLease(instant aNow) const = 0;
  virtual std::uint64_t Fencing() const = 0;
  /// The holder as last seen, for operators.
  virtual std::string Holder() const = 0;

  /// Requests that wait in this daemon's queue, as prompt and output tokens for each service;
  /// the planner adds them to the work that engines report.
  virtual void OnQueuedWork(std::string_view aService,
                            std::uint64_t aPromptTokens,
                            std::uint64_t aOutputTokens) = 0;

  virtual void OnTable(const table& aTable, instant aNow) = 0;
  /// The newest fleet object of this data centre.
  virtual void OnFleetObject(const fleet_object& aObject, instant aNow) = 0;
  virtual void OnVmList(const vm_list& aList, instant aNow) = 0;
  virtual void OnObserved(const engine_observed& aObserved, instant aNow, effect_list& aOut) = 0;
  virtual void OnOrderAnswered(const engine_order_answered& aAnswer,
                               instant aNow,
                               effect_list& aOut) = 0;
  /// Replies with part::Lease and part::EngineOrders.
  virtual void OnPlatformReply(const platform_replied& aReply, instant aNow, effect_list& aOut) = 0;
  virtual void OnTick(instant aNow, wall_instant aWallNow, effect_list& aOut) = 0;
  /// Gives the lease up when no order is unsettled.
  virtual void OnShutdown(instant aNow, effect_list& aOut) = 0;

  /// The fleet object that this daemon has just written, to be distributed; once for each write.
  virtual std::optional<fleet_object> TakeWritten() = 0;
};

} // namespace skylarkwind
