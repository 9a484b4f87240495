#pragma once

#include "skylarkwind/effects.h"
#include "skylarkwind/events.h"
#include "skylarkwind/fleet.h"
#include "skylarkwind/membership.h"
#include "skylarkwind/role_change_source.h"
#include "skylarkwind/table.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkwind {

/// Settings of the role controller.
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
  /// Minimum interval between two model loads in the data centre, because the weight store is
  /// rate-limited.
  std::chrono::milliseconds mLoadSpacing{ 10'000 };
  /// Time after a recorded intent from which on no daemon sends the engine new requests
  /// (invariant I7).
  std::chrono::milliseconds mNoticeTime{ 3'000 };
  std::chrono::milliseconds mObserveEvery{ 1'000 };
  /// An engine command is settled without its engine once the engine has been unreachable for this
  /// long.
  std::chrono::milliseconds mUnreachableLimit{ 30'000 };
  /// Delay before the next engine command to an engine whose last one failed or was withdrawn.
  std::chrono::milliseconds mRetryAfter{ 10'000 };
  std::chrono::milliseconds mCallLimit{ 2'000 };
  std::uint64_t mRandomSeed = 1;
};

/// Role controller of this daemon's data centre: holds the command lease, runs the role planner and
/// sends engine commands to engines. While another daemon holds the lease it only watches the lease
/// object.
class control
{
public:
  /// Fails on invalid settings. Without `aPlans`, roles change only through the table.
  static absl::StatusOr<std::unique_ptr<control>> Create(
    control_settings aSettings,
    const membership& aMembers,
    const fleet& aFleet,
    std::unique_ptr<role_change_source> aPlans = nullptr);
  virtual ~control() = default;

  /// True while this daemon may send engine commands.
  virtual bool HoldsLease(instant aNow) const = 0;
  /// Fencing number of this process's current or latest acquisition.
  virtual std::uint64_t Fencing() const = 0;
  /// VM name of the last known lease holder, for operators; empty when there is none.
  virtual std::string Holder() const = 0;

  /// Prompt and output tokens of the requests that wait in this daemon's queue for a service. The
  /// planner adds them to the load that engines report.
  virtual void OnQueuedWork(std::string_view aService,
                            std::uint64_t aPromptTokens,
                            std::uint64_t aOutputTokens) = 0;

  /// A new table: engines, services, models and their targets.
  virtual void OnTable(const table& aTable, instant aNow) = 0;
  /// The newest fleet object of this data centre.
  virtual void OnFleetObject(const fleet_object& aObject, instant aNow) = 0;
  /// The platform's VM list. Its leaving backend servers are recorded in the fleet object.
  virtual void OnVmList(const vm_list& aList, instant aNow) = 0;
  /// The result of polling an engine; it has no report when the engine could not be reached.
  virtual void OnObserved(const engine_state_received& aObserved,
                          instant aNow,
                          effect_list& aOut) = 0;
  /// An engine's response to an engine command, or the lack of one.
  virtual void OnCommandAnswered(const engine_command_completed& aAnswer,
                                 instant aNow,
                                 effect_list& aOut) = 0;
  /// Handles platform replies to part::Lease and part::EngineCommands.
  virtual void OnPlatformReply(const platform_replied& aReply, instant aNow, effect_list& aOut) = 0;
  /// Renews the lease, polls engines and advances engine commands. `aWallNow` dates audit entries.
  virtual void OnTick(instant aNow, wall_instant aWallNow, effect_list& aOut) = 0;
  /// Stops issuing engine commands and releases the lease once every command is settled.
  virtual void OnShutdown(instant aNow, effect_list& aOut) = 0;

  /// Returns, once per write, the fleet object that this daemon has just written, so that it can be
  /// distributed to the other daemons.
  virtual std::optional<fleet_object> TakeWritten() = 0;
};

} // namespace skylarkwind
