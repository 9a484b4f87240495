#pragma once

#include "skylarkwind/effects.h"
#include "skylarkwind/engine_view.h"
#include "skylarkwind/events.h"
#include "skylarkwind/membership.h"
#include "skylarkwind/table.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// Engine command recorded for one engine in `fleet/<data centre>`, and its stage.
struct recorded_command
{
  std::string mEngine;
  std::string mOrder;
  std::uint64_t mFencing = 0;
  std::uint64_t mIncarnation = 0;
  engine_role mRole = engine_role::Both;
  std::string mModel;
  std::string mVersion;
  enum class stage
  {
    Intended, ///< the engine gets no new requests; the command may be sent once it is drained
    Settled   ///< the engine was observed in the target role, or the command was withdrawn
  } mStage = stage::Intended;
  bool operator==(const recorded_command&) const = default;
};

/// The platform object `fleet/<data centre>`:
/// {"revision":N,"orders":[...],"audit":[...],"leaving":[...]}.
struct fleet_object
{
  std::uint64_t mRevision = 0;
  std::vector<recorded_command> mOrders;
  std::vector<std::string> mAudit;   ///< newest last, at most kFleetAuditLimit
  std::vector<std::string> mLeaving; ///< backend servers whose VMs are listed as leaving

  static absl::StatusOr<fleet_object> Parse(std::string_view aJson);
  std::string ToJson() const;
};

inline constexpr std::size_t kFleetAuditLimit = 200;

/// Identity, query period and time-outs of a fleet.
struct fleet_settings
{
  process_id mSelf;
  std::string mDataCentre;
  std::chrono::milliseconds mObservePeriod{ 1'000 }; ///< up to 8 daemons; grows with their number
  std::chrono::milliseconds mAbsentTimeout{ 3'000 }; ///< time without any response
  std::uint64_t mRandomSeed = 1;
};

/// The backend servers as seen by this daemon, with the lifecycle of each (docs/design.md, 4.7).
/// Plain backend servers send no reports; their state follows from the calls made to them.
class fleet
{
public:
  static absl::StatusOr<std::unique_ptr<fleet>> Create(fleet_settings aSettings,
                                                       const membership& aMembers);
  virtual ~fleet() = default;

  /// All engines of the table, sorted by name. An engine that was withdrawn stays listed as
  /// draining until the last request of this daemon at it has ended.
  virtual std::span<const engine_view> Engines() const = 0;
  /// All backend servers of plain services, sorted by name.
  virtual std::span<const engine_view> Backends() const = 0;
  /// Explains in one sentence for operators why a backend server is in its state.
  virtual std::string Explain(std::string_view aName) const = 0;

  virtual void OnAttemptStarted(std::string_view aName, instant aNow) = 0;
  virtual void OnAttemptEnded(std::string_view aName, attempt_health aHealth, instant aNow) = 0;
  /// Handles an engine report that arrived with a response.
  virtual void OnReport(const engine_report& aReport, instant aNow, effect_list& aOut) = 0;

  virtual void OnTable(const table& aTable, instant aNow, effect_list& aOut) = 0;
  virtual void OnFleetObject(std::string_view aDataCentre,
                             const fleet_object& aObject,
                             instant aNow,
                             effect_list& aOut) = 0;
  virtual void OnVmList(const vm_list& aList, instant aNow, effect_list& aOut) = 0;
  virtual void OnObserved(const engine_state_received& aObserved,
                          instant aNow,
                          effect_list& aOut) = 0;
  virtual void OnTick(instant aNow, effect_list& aOut) = 0;
};

} // namespace skylarkwind
