#pragma once

#include "skylarkwind/cache_belief.h"
#include "skylarkwind/engine_view.h"
#include "skylarkwind/types.h"
#include "skylarkwind/work_history.h"

#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkwind {

/// What the router needs to know of a request to place it.
struct route_query
{
  std::string_view mService;
  std::string_view mModel;
  engine_role mRole = engine_role::Both;
  std::string_view mVersion;                   ///< only engines of this version; empty for any
  std::uint64_t mAffinity = 0;                 ///< equal for prompts that share a prefix
  double mWork = 0;                            ///< of this request, in prompt tokens
  std::span<const believed_holder> mHolders{}; ///< engines thought to hold part of the prompt
  std::string_view mFirstChoice{};             ///< engine of an interrupted stream
  std::span<const std::string> mAvoid{};       ///< engines that failed this request
  bool mBegun = false; ///< the caller waits for the rest; a backlog does not hold it up
};

/// Work of one attempt, counted at its engine until it ends.
struct placed_work
{
  std::uint32_t mSlot = 0;
  double mPrompt = 0;    ///< left until the first token
  double mOutput = 0;    ///< left after it
  double mEachToken = 1; ///< price of an output token in prompt tokens
};

/// Chooses backend servers by bounded-load rendezvous hashing (docs/design.md, 4.6). Load is this
/// daemon's own work, known exactly, plus the work of other daemons as far as reports tell it.
class router
{
public:
  using weight_of = std::function<double(std::string_view aService, engine_role aRole)>;

  explicit router(std::string aDataCentre);

  void SetRoleWeights(weight_of aRoleWeight) { mRoleWeight = std::move(aRoleWeight); }

  /// Reads the state of all engines. Called with every tick; the state of a chosen engine is
  /// checked once more when it is chosen.
  void Refresh(std::span<const engine_view> aViews, instant aNow);

  /// The best engine that admits the request; null when none does.
  const engine_view* Choose(const route_query& aQuery,
                            std::span<const engine_view> aViews,
                            instant aNow);

  /// Counts an attempt's work at its engine until `Finish`.
  placed_work Place(const engine_view& aEngine,
                    std::uint64_t aPromptTokens,
                    std::uint64_t aOutputTokens,
                    instant aNow);
  void Progress(placed_work& aWork, std::uint64_t aTokens, instant aNow);
  void Finish(const placed_work& aWork, instant aNow);

  /// Names of engines that became absent since the last call.
  std::vector<std::string> TakeAbsent();
  /// Load of an engine in prompt tokens over its weight; 0 for an unknown one.
  double Load(std::string_view aEngine) const;
  /// Mean of the prefill rates that engines of this role report, in tokens per second; 0 if none.
  double PrefillRate(std::string_view aService, std::string_view aModel, engine_role aRole) const;
  /// The view of this name; null when the table has no such engine.
  const engine_view* Find(std::string_view aEngine, std::span<const engine_view> aViews) const;

private:
  struct engine_slot
  {
    std::string mName;
    std::uint64_t mHash = 0;
    bool mPresent = false;
    std::size_t mView = 0; ///< position among the views
    std::uint32_t mPool = 0;
    bool mLocal = false;
    bool mAdmits = false; ///< at the last refresh
    engine_status mStatus = engine_status::Absent;
    double mWeight = 1; ///< of engine and role, times the ramp factor
    work_history mOwn;
    double mOthers = 0;       ///< work of other daemons
    work_history mOwnPrompts; ///< prompt tokens sent and not yet computed
    double mOthersPrompts = 0;
    double mPrefillRate = 0; ///< as reported, 0 when it is not
    instant mSampledAt{};    ///< of the report that mOthers comes from
    std::uint32_t mAttempts = 0;
  };

  /// Engines of one service, model and role. Sums and means are of the last refresh, but the own
  /// work, which is exact.
  struct pool
  {
    std::string mService;
    std::string mModel;
    engine_role mRole = engine_role::Both;
    std::vector<std::uint32_t> mSlots;
    std::vector<std::uint64_t> mHashes; ///< of the slots, side by side for fast scoring
    double mOwn = 0;
    double mOthers = 0;
    double mWeight = 0;
    double mPrefillRate = 0;
    double mDecodeRate = 0;
    double mMeanInFlight = 0; ///< of the engines that serve without a ramp
  };

  void Rebuild(std::span<const engine_view> aViews);
  std::uint32_t SlotOf(std::string_view aName);
  void ReadPlace(engine_slot& aSlot, const engine_view& aView, bool& aMoved);
  void ReadLoad(engine_slot& aSlot, const engine_view& aView);
  void ReadRates(pool& aPool, std::span<const engine_view> aViews);
  void Regroup();
  std::uint32_t PoolOf(const engine_view& aView);
  const pool* FindPool(std::string_view aService, std::string_view aModel, engine_role aRole) const;
  /// `aPrompt` is the part of the change that is prompt tokens.
  void AddWork(std::uint32_t aSlot, double aDelta, double aPrompt, instant aNow);
  bool IsBacklogged(const engine_slot& aSlot) const;
  static double LoadOf(const engine_slot& aSlot);

  const engine_slot* ChooseIn(const route_query& aQuery, std::span<const engine_view> aViews) const;
  const engine_slot* ChooseBounded(const pool& aPool,
                                   const route_query& aQuery,
                                   std::span<const engine_view> aViews,
                                   double aBound) const;
  const engine_slot* LeastLoaded(const pool& aPool,
                                 const route_query& aQuery,
                                 std::span<const engine_view> aViews,
                                 double aTie) const;
  bool Fits(const engine_slot& aSlot,
            const route_query& aQuery,
            std::span<const engine_view> aViews) const;

  std::string mDataCentre;
  weight_of mRoleWeight;
  std::vector<engine_slot> mSlots;
  std::vector<std::uint32_t> mFreeSlots;
  std::vector<std::uint32_t> mSlotOfView;
  std::map<std::string, std::uint32_t, std::less<>> mByName;
  std::vector<pool> mPools;
  std::map<std::string, std::uint32_t, std::less<>> mPoolByKey;
  std::vector<std::string> mAbsent;
  instant mRefreshedAt{};
};

} // namespace skylarkwind
