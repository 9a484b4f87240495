#pragma once

#include "skylarkwind/engine_view.h"
#include "skylarkwind/plan_source.h"
#include "skylarkwind/role_allocation.h"
#include "skylarkwind/table.h"
#include "skylarkwind/token_rates.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

struct role_planner_settings
{
  std::chrono::milliseconds mHorizon{ 120'000 }; ///< over which a change must earn its price
  std::chrono::milliseconds mShortWindow{ 10'000 };
  std::chrono::milliseconds mLongWindow{ 60'000 };
  /// The mix is extrapolated by its trend over this time. Measuring lags by some 15 s, because the
  /// output of a request follows its prompt, and a change takes effect after another 20 s.
  std::chrono::milliseconds mTrendTime{ 20'000 };
  std::chrono::milliseconds mLookahead{ 40'000 };
  /// A change must pay at every moment of this time. The longer one applies while the mix swings
  /// to and fro within the long window; it is longer than half of such a swing.
  std::chrono::milliseconds mBriefPersistence{ 4'000 };
  std::chrono::milliseconds mPersistence{ 12'000 };
  /// Time that an engine is out of service for a change: drain, change, return.
  std::chrono::milliseconds mChangeTime{ 20'000 };
  /// Time in which waiting work shall be worked off; waiting work counts as this much more need.
  std::chrono::milliseconds mQueueTime{ 10'000 };
  std::chrono::milliseconds mTokenLimit{ 77 }; ///< longest time between tokens
  /// Change of the prefill part of the work that counts as a turn of the mix.
  double mTurn = 0.1;
  /// Largest change of the prefill part that is expected from the trend.
  double mLargestTrend = 0.25;
  double mTargetUse = 1;
  /// Requests that are refused leave no trace in the reports. Between these uses of the busiest
  /// role, the work is taken to rise from what is measured to the largest of the peak time.
  double mBusyUse = 0.8;
  double mFullUse = 0.9;
  std::chrono::milliseconds mPeakTime{ 120'000 };
  /// Share of the work that is taken to be refused after a role was busy for the whole peak time.
  double mHiddenWork = 0.1;
  /// An engine that left service blocks changes of its group for this long, because it is
  /// expected back; after that it is taken to be gone.
  std::chrono::milliseconds mReturnWait{ 120'000 };
  std::chrono::milliseconds mAbsentWait{ 30'000 };
  /// How long a role may be without any engine before another one takes it over.
  std::chrono::milliseconds mEmptyRoleWait{ 2'000 };
};

/// Decides how many engines of each service and model do prefill and how many decode. Asked by
/// the lease holder of a data centre; changes only engines of that data centre, at most one a
/// call. Engines of role `both` take either work and are never changed, so that a short swing is
/// met by them first.
class role_planner final : public plan_source
{
public:
  static absl::StatusOr<role_planner> Create(role_planner_settings aSettings);

  void OnReport(const engine_report& aReport, instant aNow) override;
  /// Work that waits in queues before the engines. Replaces the earlier figures of the service.
  void OnQueued(std::string_view aService,
                std::uint64_t aPromptTokens,
                std::uint64_t aOutputTokens,
                instant aNow) override;

  /// To be asked about once a second with all engines that this daemon knows, those of other data
  /// centres included. The caller records the change as an order or drops it; until the engine
  /// leaves service, the change counts as begun for a few seconds.
  std::optional<planned_change> Plan(std::span<const engine_view> aEngines,
                                     const table& aTable,
                                     std::string_view aDataCentre,
                                     instant aNow) override;

private:
  explicit role_planner(role_planner_settings aSettings)
    : mSettings(aSettings)
  {
  }

  /// What is remembered of one engine between calls.
  struct engine_history
  {
    token_rates mRates;
    engine_role mRole = engine_role::Both;
    instant mRoleSince;
    engine_status mStatus = engine_status::Absent;
    instant mStatusSince;
    instant mSeenAt;
  };
  struct queued
  {
    std::uint64_t mPromptTokens = 0;
    std::uint64_t mOutputTokens = 0;
    instant mAt;
  };
  struct begun_change
  {
    std::string mEngine;
    engine_role mRole = engine_role::Both;
    instant mAt;
  };
  /// Work over the short window, one sample for each call.
  struct work_sample
  {
    instant mAt;
    double mMeasured = 0;    ///< engines
    double mTotal = 0;       ///< with the work that is taken to be refused
    double mPrefillPart = 0; ///< of the total
    role_demand mForecast;
  };
  /// The engines of one service and model, which may do each other's work.
  struct engine_group
  {
    const service_row* mService = nullptr;
    std::string mModel;
    std::vector<const engine_view*> mEngines;
  };
  /// One call of Plan.
  struct question
  {
    std::span<const engine_view> mEngines;
    const table& mTable;
    std::string_view mDataCentre;
    instant mNow;
  };

  void Remember(std::span<const engine_view> aEngines, instant aNow);
  static std::vector<engine_group> Groups(std::span<const engine_view> aEngines,
                                          const table& aTable);
  std::optional<planned_change> PlanGroup(const engine_group& aGroup, const question& aQuestion);
  std::optional<planned_change> FillEmptyRole(const engine_group& aGroup,
                                              const question& aQuestion);
  std::optional<planned_change> Improve(const engine_group& aGroup, const question& aQuestion);
  planned_change Begin(const engine_view& aEngine, std::string aReason, instant aNow);

  /// The role that the engine has or will have; empty when it is no longer counted on.
  std::optional<engine_role> CountedRole(const engine_view& aEngine,
                                         const question& aQuestion) const;
  role_counts Counts(std::span<const engine_view* const> aEngines, const question& aQuestion) const;
  role_demand Needs(const engine_group& aGroup,
                    std::chrono::milliseconds aWindow,
                    instant aNow) const;
  /// Goodput seconds that moving one engine away from role `aFrom` earns over the horizon.
  double Gain(const role_counts& aCounts, engine_role aFrom, const role_demand& aNeeds) const;
  /// Least gain over the time of persistence; the price must be below it.
  double LastingGain(const role_counts& aCounts,
                     engine_role aFrom,
                     const std::deque<work_sample>& aSamples) const;
  /// How many moves away from `aFrom` would each earn the price.
  std::uint64_t MovesThatPay(role_counts aCounts,
                             engine_role aFrom,
                             const std::deque<work_sample>& aSamples,
                             double aPrice) const;
  /// Adds the present needs to the group's samples.
  const std::deque<work_sample>& Measure(const engine_group& aGroup,
                                         const role_counts& aCounts,
                                         instant aNow);
  /// Turns of the mix within the long window.
  int Turns(const std::deque<work_sample>& aSamples) const;
  double ForecastPart(const std::deque<work_sample>& aSamples) const;
  /// Adds the work that is taken to be refused.
  double AssumedTotal(const role_counts& aCounts,
                      const role_demand& aNeeds,
                      const std::deque<work_sample>& aSamples) const;

  /// The holders of all data centres see about the same engines, so each can tell which data
  /// centres should make the next `aMoves` changes without asking the others.
  const engine_view* DonorInTurn(const engine_group& aGroup,
                                 const question& aQuestion,
                                 engine_role aFrom,
                                 std::uint64_t aMoves,
                                 bool aUrgent) const;
  /// The engine of a data centre that would change, or null when none may.
  const engine_view* Donor(const engine_group& aGroup,
                           const question& aQuestion,
                           std::string_view aDataCentre,
                           engine_role aFrom,
                           bool aUrgent) const;
  bool Blocked(const service_row& aService,
               const question& aQuestion,
               std::string_view aDataCentre,
               bool aUrgent) const;
  bool MayChange(const engine_view& aEngine,
                 const engine_group& aGroup,
                 const question& aQuestion,
                 bool aUrgent) const;
  const engine_history* Find(std::string_view aEngine) const;
  const begun_change* BegunFor(std::string_view aEngine) const;

  role_planner_settings mSettings;
  std::map<std::string, engine_history, std::less<>> mEngines;
  std::map<std::string, queued, std::less<>> mQueued;
  std::vector<begun_change> mBegun;
  std::map<std::string, std::deque<work_sample>, std::less<>> mWork; ///< by service and model
  std::map<std::string, instant, std::less<>> mEmptySince;           ///< by service, model and role
};

} // namespace skylarkwind
