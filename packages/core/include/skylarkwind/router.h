#pragma once

#include "skylarkwind/engine_view.h"
#include "skylarkwind/load_history.h"
#include "skylarkwind/prefix_cache_estimate.h"
#include "skylarkwind/types.h"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkwind {

/// Properties of a request that the router uses to choose an engine.
struct route_query
{
  std::string_view mService;
  std::string_view mModel;
  engine_role mRole = engine_role::Both;
  std::string_view mVersion;                ///< required model version; empty for any
  std::uint64_t mAffinity = 0;              ///< hash key, equal for prompts that share a prefix
  double mWork = 0;                         ///< cost of the request in prompt tokens
  std::span<const prefix_match> mHolders{}; ///< engines that probably cache a prompt prefix
  std::string_view mFirstChoice{};          ///< engine whose stream was interrupted
  std::span<const std::string> mAvoid{};    ///< engines that failed this request
  /// The response has begun and the caller waits for the rest, so a prompt backlog at an engine
  /// does not exclude that engine.
  bool mBegun = false;
};

/// Dispatched load of one attempt, in prompt tokens. It counts at the engine until the attempt
/// ends.
struct attempt_load
{
  std::uint32_t mSlot = 0;
  double mPrompt = 0;          ///< prefill load; 0 from the first output token on
  double mOutput = 0;          ///< remaining decode load
  double mOutputTokenCost = 1; ///< cost of an output token in prompt tokens
};

/// Chooses backend servers by bounded-load rendezvous hashing (docs/design.md, 4.6). The load of
/// an engine is the load dispatched by this daemon, which is known exactly, plus the load of other
/// daemons as derived from engine reports.
class router
{
public:
  using role_weight_function = std::function<double(std::string_view aService, engine_role aRole)>;

  explicit router(std::string aDataCentre);

  void SetRoleWeights(role_weight_function aRoleWeight) { mRoleWeight = std::move(aRoleWeight); }

  /// Updates status, load and weight of all engines. Called on every tick; the status of a
  /// candidate is checked again when it is chosen.
  void Refresh(std::span<const engine_view> aViews, instant aNow);

  /// Returns the best engine that admits the request, or null when none does.
  const engine_view* Choose(const route_query& aQuery,
                            std::span<const engine_view> aViews,
                            instant aNow);

  /// Adds the load of a new attempt to its engine; it counts until `Finish`.
  attempt_load Place(const engine_view& aEngine,
                     std::uint64_t aPromptTokens,
                     std::uint64_t aOutputTokens,
                     instant aNow);
  /// Removes the prompt load and the load of `aTokens` output tokens that have been received.
  void Progress(attempt_load& aWork, std::uint64_t aTokens, instant aNow);
  /// Removes the remaining load of an attempt that has ended.
  void Finish(const attempt_load& aWork, instant aNow);

  /// Returns the names of the engines that became absent since the last call.
  std::vector<std::string> TakeNewlyAbsent();
  /// Load of an engine in prompt tokens, divided by its weight; 0 for an unknown engine.
  double Load(std::string_view aEngine) const;
  /// Mean prefill rate reported by the engines of this role, in tokens per second; 0 if none
  /// reports one.
  double PrefillRate(std::string_view aService, std::string_view aModel, engine_role aRole) const;
  /// Returns the view of this engine, or null when the table does not list it.
  const engine_view* Find(std::string_view aEngine, std::span<const engine_view> aViews) const;

private:
  struct engine_slot
  {
    std::string mName;
    std::uint64_t mHash = 0;
    bool mPresent = false;
    std::size_t mView = 0; ///< index in the views
    std::uint32_t mPool = 0;
    bool mSameDataCentre = false;
    bool mAdmits = false; ///< as of the last refresh
    engine_status mStatus = engine_status::Absent;
    double mWeight = 1; ///< engine weight times role weight times ramp factor
    load_history mOwnLoad;
    double mPeerLoad = 0;        ///< load of other daemons
    load_history mOwnPromptLoad; ///< prompt tokens sent by this daemon and not yet computed
    double mPeerPromptLoad = 0;
    double mPrefillRate = 0; ///< as reported, in tokens per second; 0 when not reported
    instant mSampledAt{};    ///< sample time of the report that mPeerLoad is derived from
    std::uint32_t mAttempts = 0;
  };

  /// Engines of one service, model and role. Sums and means are as of the last refresh, except
  /// mOwnLoad, which is kept up to date.
  struct pool
  {
    std::string mService;
    std::string mModel;
    engine_role mRole = engine_role::Both;
    std::vector<std::uint32_t> mSlots;
    std::vector<std::uint64_t> mHashes; ///< hashes of mSlots, contiguous for fast scoring
    double mOwnLoad = 0;
    double mPeerLoad = 0;
    double mWeight = 0;
    double mPrefillRate = 0;
    double mDecodeRate = 0;
    double mMeanInFlight = 0; ///< mean over the engines in status Serving (not ramping)
  };

  void Rebuild(std::span<const engine_view> aViews);
  std::uint32_t SlotOf(std::string_view aName);
  void UpdateStatus(engine_slot& aSlot, const engine_view& aView, bool& aPoolsChanged);
  void UpdateLoad(engine_slot& aSlot, const engine_view& aView);
  void UpdatePool(pool& aPool, std::span<const engine_view> aViews);
  void AssignPools();
  std::uint32_t PoolOf(const engine_view& aView);
  const pool* FindPool(std::string_view aService, std::string_view aModel, engine_role aRole) const;
  /// Changes the own load of an engine by `aDelta`; `aPrompt` is the share of prompt tokens in it.
  void AddLoad(std::uint32_t aSlot, double aDelta, double aPrompt, instant aNow);
  bool IsBacklogged(const engine_slot& aSlot) const;
  static double LoadOf(const engine_slot& aSlot);

  const engine_slot* ChooseFromPool(const route_query& aQuery,
                                    std::span<const engine_view> aViews) const;
  const engine_slot* ChooseBounded(const pool& aPool,
                                   const route_query& aQuery,
                                   std::span<const engine_view> aViews,
                                   double aBound) const;
  const engine_slot* ChooseLeastLoaded(const pool& aPool,
                                       const route_query& aQuery,
                                       std::span<const engine_view> aViews,
                                       double aTolerance) const;
  bool IsEligible(const engine_slot& aSlot,
                  const route_query& aQuery,
                  std::span<const engine_view> aViews) const;

  std::string mDataCentre;
  role_weight_function mRoleWeight;
  std::vector<engine_slot> mSlots;
  std::vector<std::uint32_t> mFreeSlots;
  std::vector<std::uint32_t> mSlotOfView;
  std::map<std::string, std::uint32_t, std::less<>> mSlotByName;
  std::vector<pool> mPools;
  std::map<std::string, std::uint32_t, std::less<>> mPoolByKey;
  std::vector<std::string> mAbsent;
  instant mRefreshedAt{};
};

} // namespace skylarkwind
