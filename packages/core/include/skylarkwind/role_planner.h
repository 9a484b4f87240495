#pragma once

#include "skylarkwind/engine_view.h"
#include "skylarkwind/role_allocation.h"
#include "skylarkwind/role_change_source.h"
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

/// Tuning of the role planner.
struct role_planner_settings
{
  std::chrono::milliseconds mHorizon{ 120'000 }; ///< time in which a change must pay its price
  std::chrono::milliseconds mShortWindow{ 10'000 };
  std::chrono::milliseconds mLongWindow{ 60'000 };
  /// The ratio of prefill to decode work is extrapolated over mLookahead by its trend over
  /// mTrendTime. Measurements lag by about 15 s, because the output of a request follows its
  /// prompt, and a role change takes effect after another 20 s.
  std::chrono::milliseconds mTrendTime{ 20'000 };
  std::chrono::milliseconds mLookahead{ 40'000 };
  /// A change must be profitable for this long without interruption. mPersistence applies while the
  /// ratio of prefill to decode work oscillates within the long window; it is longer than half a
  /// period of such an oscillation.
  std::chrono::milliseconds mBriefPersistence{ 4'000 };
  std::chrono::milliseconds mPersistence{ 12'000 };
  /// Time for which a role change takes an engine out of service: drain, change, return.
  std::chrono::milliseconds mRoleChangeTime{ 20'000 };
  /// Target time for working off queued work; queued work divided by it is added to the needs.
  std::chrono::milliseconds mQueueDrainTime{ 10'000 };
  std::chrono::milliseconds mMaxTokenInterval{ 77 }; ///< longest time between tokens of a stream
  /// Change of the prefill share of the work that counts as a reversal of its direction.
  double mReversalThreshold = 0.1;
  /// Largest change of the prefill share that is extrapolated from the trend.
  double mMaxTrend = 0.25;
  double mTargetUtilisation = 1;
  /// Refused requests do not appear in the reports. As the utilisation of the busiest role rises
  /// from mBusyUtilisation to mFullUtilisation, the estimated work rises from the measured value to
  /// the maximum measured within mPeakTime.
  double mBusyUtilisation = 0.8;
  double mFullUtilisation = 0.9;
  std::chrono::milliseconds mPeakTime{ 120'000 };
  /// Share of the work that is assumed to be refused when a role was busy for all of mPeakTime.
  double mRefusedWorkShare = 0.1;
  /// An engine that left service blocks changes of its group for this long, because it is expected
  /// to return; after that it is considered gone. mReturnTimeout applies while it is observed,
  /// warming or ramping, mAbsentTimeout while it is absent.
  std::chrono::milliseconds mReturnTimeout{ 120'000 };
  std::chrono::milliseconds mAbsentTimeout{ 30'000 };
  /// How long a role may have no engine before an engine of the other role is moved to it.
  std::chrono::milliseconds mEmptyRoleDelay{ 2'000 };
};

/// Decides how many engines of each service and model run prefill and how many run decode. Called
/// by the lease holder of a data centre; changes only engines of that data centre, at most one per
/// call. Engines of role `both` run either kind of work and are never changed; they absorb short
/// swings in the ratio.
class role_planner final : public role_change_source
{
public:
  static absl::StatusOr<role_planner> Create(role_planner_settings aSettings);

  void OnReport(const engine_report& aReport, instant aNow) override;
  /// Takes the number of tokens queued in front of the engines; replaces the earlier figures of the
  /// service.
  void OnQueued(std::string_view aService,
                std::uint64_t aPromptTokens,
                std::uint64_t aOutputTokens,
                instant aNow) override;

  /// To be called about once a second with all engines known to this daemon, including those of
  /// other data centres. The caller records the change as an engine command or drops it. Until the
  /// engine leaves service, the change counts as started for a few seconds.
  std::optional<planned_role_change> Plan(std::span<const engine_view> aEngines,
                                          const table& aTable,
                                          std::string_view aDataCentre,
                                          instant aNow) override;

private:
  explicit role_planner(role_planner_settings aSettings)
    : mSettings(aSettings)
  {
  }

  /// State of one engine that is kept between calls.
  struct engine_history
  {
    token_rates mRates;
    engine_role mRole = engine_role::Both;
    instant mRoleSince;
    engine_status mStatus = engine_status::Absent;
    instant mStatusSince;
    instant mSeenAt;
  };
  struct queued_work
  {
    std::uint64_t mPromptTokens = 0;
    std::uint64_t mOutputTokens = 0;
    instant mAt;
  };
  struct started_change
  {
    std::string mEngine;
    engine_role mRole = engine_role::Both;
    instant mAt;
  };
  /// Work over the short window, in engines; one sample per call.
  struct work_sample
  {
    instant mAt;
    double mMeasured = 0;     ///< number of engines needed for the measured work
    double mTotal = 0;        ///< mMeasured plus the work that is assumed to be refused
    double mPrefillShare = 0; ///< share of prefill in the work, 0 to 1
    role_demand mForecast;
  };
  /// The engines of one service and model, which can replace each other.
  struct engine_group
  {
    const service_row* mService = nullptr;
    std::string mModel;
    std::vector<const engine_view*> mEngines;
  };
  /// Arguments of one call of Plan.
  struct plan_request
  {
    std::span<const engine_view> mEngines;
    const table& mTable;
    std::string_view mDataCentre;
    instant mNow;
  };

  void UpdateHistories(std::span<const engine_view> aEngines, instant aNow);
  static std::vector<engine_group> Groups(std::span<const engine_view> aEngines,
                                          const table& aTable);
  std::optional<planned_role_change> PlanGroup(const engine_group& aGroup,
                                               const plan_request& aRequest);
  std::optional<planned_role_change> FillEmptyRole(const engine_group& aGroup,
                                                   const plan_request& aRequest);
  std::optional<planned_role_change> ImproveAllocation(const engine_group& aGroup,
                                                       const plan_request& aRequest);
  planned_role_change StartChange(const engine_view& aEngine, std::string aReason, instant aNow);

  /// The role that the engine has or will have after a change in progress; empty when the engine is
  /// not counted as capacity.
  std::optional<engine_role> CountedRole(const engine_view& aEngine,
                                         const plan_request& aRequest) const;
  role_counts Counts(std::span<const engine_view* const> aEngines,
                     const plan_request& aRequest) const;
  role_demand Needs(const engine_group& aGroup,
                    std::chrono::milliseconds aWindow,
                    instant aNow) const;
  /// Goodput gained over the horizon by moving one engine away from role `aFrom`, in goodput
  /// seconds.
  double GoodputGain(const role_counts& aCounts,
                     engine_role aFrom,
                     const role_demand& aNeeds) const;
  /// Smallest gain over the persistence time; a change is made when it exceeds the price.
  double SustainedGain(const role_counts& aCounts,
                       engine_role aFrom,
                       const std::deque<work_sample>& aSamples) const;
  /// Number of successive moves away from `aFrom` of which each gains more than the price.
  std::uint64_t CountProfitableMoves(role_counts aCounts,
                                     engine_role aFrom,
                                     const std::deque<work_sample>& aSamples,
                                     double aPrice) const;
  /// Appends a sample of the current needs and returns the group's samples.
  const std::deque<work_sample>& Measure(const engine_group& aGroup,
                                         const role_counts& aCounts,
                                         instant aNow);
  /// Counts the reversals of the prefill share within the long window.
  int CountReversals(const std::deque<work_sample>& aSamples) const;
  double ForecastPrefillShare(const std::deque<work_sample>& aSamples) const;
  /// The measured work plus the work that is assumed to be refused.
  double EstimateTotalWork(const role_counts& aCounts,
                           const role_demand& aNeeds,
                           const std::deque<work_sample>& aSamples) const;

  /// Returns the engine that this data centre should change, or null when it is not its turn. The
  /// lease holders of all data centres see about the same engines, so each can determine without
  /// coordination which data centres should make the next `aMoves` changes.
  const engine_view* ChooseDonor(const engine_group& aGroup,
                                 const plan_request& aRequest,
                                 engine_role aFrom,
                                 std::uint64_t aMoves,
                                 bool aUrgent) const;
  /// Returns the least loaded engine of a data centre that may change its role, or null.
  const engine_view* FindDonor(const engine_group& aGroup,
                               const plan_request& aRequest,
                               std::string_view aDataCentre,
                               engine_role aFrom,
                               bool aUrgent) const;
  bool AreChangesBlocked(const service_row& aService,
                         const plan_request& aRequest,
                         std::string_view aDataCentre,
                         bool aUrgent) const;
  bool IsEligibleDonor(const engine_view& aEngine,
                       const engine_group& aGroup,
                       const plan_request& aRequest,
                       bool aUrgent) const;
  const engine_history* Find(std::string_view aEngine) const;
  const started_change* StartedChangeFor(std::string_view aEngine) const;

  role_planner_settings mSettings;
  std::map<std::string, engine_history, std::less<>> mEngines;
  std::map<std::string, queued_work, std::less<>> mQueued;
  std::vector<started_change> mStartedChanges;
  std::map<std::string, std::deque<work_sample>, std::less<>> mWork; ///< by service and model
  std::map<std::string, instant, std::less<>> mEmptySince;           ///< by service, model and role
};

} // namespace skylarkwind
