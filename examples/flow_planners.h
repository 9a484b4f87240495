#pragma once

#include "flow_daemon.h"

#include "skylarkwind/role_allocation.h"
#include "skylarkwind/role_planner.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwind::flow {

/// What a planner of one data centre is asked with, once a second.
struct planner_input
{
  std::span<const engine_view> mEngines;
  const table& mTable;
  std::string mDataCentre;
  double mNow = 0;
  bool mChanging = false;  ///< a change of this data centre is under way
  int mPlannedPrefill = 0; ///< engines of the first service, with changes under way as done
  int mPlannedDecode = 0;
};

class planner
{
public:
  virtual ~planner() = default;
  virtual void OnReport(const engine_report&, double) {}
  virtual void OnQueued(const std::string&, double, double, double) {}
  virtual std::optional<planned_role_change> Plan(const planner_input& aInput) = 0;
};

class fixed_roles final : public planner
{
public:
  std::optional<planned_role_change> Plan(const planner_input&) override { return std::nullopt; }
};

/// The serving engine of the data centre with the least work that has the role.
inline const engine_view*
LeastBusy(const planner_input& aInput, engine_role aRole, const std::string& aService)
{
  const engine_view* best = nullptr;
  int engines = 0;
  for (const engine_view& view : aInput.mEngines) {
    if (view.mDataCentre != aInput.mDataCentre || view.mService != aService ||
        view.mRole != aRole || view.mStatus != engine_status::Serving) {
      continue;
    }
    ++engines;
    if (best == nullptr || view.mReport.mRunning < best->mReport.mRunning) {
      best = &view;
    }
  }
  return engines > 1 ? best : nullptr; // never the last one of a role
}

inline std::optional<planned_role_change>
Change(const engine_view* aEngine, engine_role aRole)
{
  return aEngine == nullptr ? std::nullopt
                            : std::optional(planned_role_change{ aEngine->mName, aRole, "" });
}

/// Divides the engines in proportion to the work of the last 10 s, with no hysteresis.
class proportional_planner final : public planner
{
public:
  explicit proportional_planner(std::string aService)
    : mService(std::move(aService))
  {
  }

  void OnReport(const engine_report& aReport, double aNow) override
  {
    const auto [entry, added] = mRates.try_emplace(aReport.mName, std::chrono::seconds{ 60 });
    entry->second.Add(aReport, At(aNow) - aReport.mSampleAge);
  }

  std::optional<planned_role_change> Plan(const planner_input& aInput) override
  {
    double prefill = 0;
    double decode = 0;
    int engines = 0;
    int prefillEngines = 0;
    for (const engine_view& view : aInput.mEngines) {
      if (view.mService != mService || view.mRole == engine_role::Both) {
        continue;
      }
      if (const auto rates = mRates.find(view.mName); rates != mRates.end()) {
        const token_rate rate = rates->second.MeanOver(std::chrono::seconds{ 10 }, At(aInput.mNow));
        prefill += rate.mPrompt / kPrefillRate;
        decode += rate.mOutput / kDecodeRate;
      }
      if (view.mDataCentre == aInput.mDataCentre) {
        ++engines;
        prefillEngines += view.mRole == engine_role::Prefill ? 1 : 0;
      }
    }
    if (aInput.mChanging || prefill + decode <= 0 || engines < 2) {
      return std::nullopt;
    }
    const int target = std::clamp(
      static_cast<int>(std::lround(engines * prefill / (prefill + decode))), 1, engines - 1);
    if (target > prefillEngines) {
      return Change(LeastBusy(aInput, engine_role::Decode, mService), engine_role::Prefill);
    }
    if (target < prefillEngines) {
      return Change(LeastBusy(aInput, engine_role::Prefill, mService), engine_role::Decode);
    }
    return std::nullopt;
  }

private:
  std::string mService;
  std::map<std::string, token_rates, std::less<>> mRates;
};

/// Knows the mix and the rate of all future arrivals. Uses the mean over a coming interval.
class clairvoyant_planner final : public planner
{
public:
  struct outlook
  {
    double mFrom = 0; ///< seconds from now
    double mTo = 0;
    double mGain = 0; ///< served share that a change must add
  };

  clairvoyant_planner(const deployment& aDeployment, const scenario& aScenario, outlook aOutlook)
    : mShape(aDeployment.mServices[0])
    , mScenario(aScenario)
    , mOutlook(aOutlook)
  {
  }

  std::optional<planned_role_change> Plan(const planner_input& aInput) override
  {
    if (aInput.mChanging) {
      return std::nullopt;
    }
    const role_counts now{ static_cast<double>(aInput.mPlannedPrefill),
                           static_cast<double>(aInput.mPlannedDecode),
                           0 };
    const double served = Served(now, aInput.mNow);
    const double more = Served({ now.mPrefill + 1, now.mDecode - 1, 0 }, aInput.mNow);
    const double less = Served({ now.mPrefill - 1, now.mDecode + 1, 0 }, aInput.mNow);
    if (more > served + mOutlook.mGain && more >= less) {
      return Change(LeastBusy(aInput, engine_role::Decode, mShape.mName), engine_role::Prefill);
    }
    if (less > served + mOutlook.mGain) {
      return Change(LeastBusy(aInput, engine_role::Prefill, mShape.mName), engine_role::Decode);
    }
    return std::nullopt;
  }

private:
  double Served(const role_counts& aCounts, double aNow) const
  {
    double sum = 0;
    int samples = 0;
    for (double at = aNow + mOutlook.mFrom; at <= aNow + mOutlook.mTo; at += 5) {
      const double need = mShape.mUse * mShape.mEngines * mScenario.mRateFactor(at);
      const double prompt = mScenario.mPromptShare(at);
      sum += ServableFraction(aCounts, { need * prompt, need * (1 - prompt) }, 0.9);
      ++samples;
    }
    return sum / samples;
  }

  service_shape mShape;
  scenario mScenario;
  outlook mOutlook;
};

/// The planner of this repository.
class real_planner final : public planner
{
public:
  explicit real_planner(const role_planner_settings& aSettings = {})
    : mPlanner(*role_planner::Create(aSettings))
  {
  }
  void OnReport(const engine_report& aReport, double aNow) override
  {
    mPlanner.OnReport(aReport, At(aNow));
  }
  void OnQueued(const std::string& aService, double aPrompt, double aOutput, double aNow) override
  {
    mPlanner.OnQueued(
      aService, static_cast<std::uint64_t>(aPrompt), static_cast<std::uint64_t>(aOutput), At(aNow));
  }
  std::optional<planned_role_change> Plan(const planner_input& aInput) override
  {
    return mPlanner.Plan(aInput.mEngines, aInput.mTable, aInput.mDataCentre, At(aInput.mNow));
  }

private:
  role_planner mPlanner;
};

} // namespace skylarkwind::flow
