#pragma once

#include "control_fakes.h"
#include "skylarkwind/table.h"

#include <cppunit/TestAssert.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <functional>
#include <sstream>
#include <utility>

namespace skylarkwind {

/// Simulates a few cores, the platform and the engines of data centre "d" on one clock. Checks
/// every invariant at every step and collects violations in `mBreaches`.
class control_world
{
public:
  using ms = std::chrono::milliseconds;
  static constexpr ms kStep{ 100 };
  static constexpr ms kNoticeDelay{ 2'500 };

  struct core
  {
    process_id mSelf;
    fake_membership mMembers;
    fake_fleet mFleet;
    std::optional<planned_role_change> mWanted;
    std::unique_ptr<control> mControl;
    fleet_object mNewest;
    std::deque<std::function<void(core&)>> mBacklog; ///< events that arrived during a pause
    instant mPausedUntil;
    instant mDeadUntil;
    std::uint64_t mLastFencing = 0;
  };

  world_settings mSettings;
  instant mNow{ std::chrono::seconds{ 1000 } };
  fake_platform mPlatform;
  std::vector<std::unique_ptr<core>> mCores;
  std::vector<fake_engine> mEngines;
  std::vector<std::string> mBreaches;
  std::map<std::string, std::size_t> mSent; ///< times that each command was sent, by id
  std::map<part, std::size_t> mPlatformCalls;
  std::size_t mAccepted = 0;
  std::size_t mKnownExposures = 0; ///< late commands accepted after the lease had moved on
  bool mPlannerIdle = false;       ///< the planner requests no further changes
  std::string mVersion = "v1";
  std::string mIntent = "serve";
  std::map<fault_kind, std::map<std::size_t, instant>> mActive;

  explicit control_world(world_settings aSettings)
    : mSettings(aSettings)
    , mRandom(aSettings.mSeed)
  {
    for (std::size_t i = 0; i < mSettings.mEngines; ++i) {
      mEngines.emplace_back();
      mEngines.back().mName = "e" + std::to_string(i);
      mEngines.back().mChecksFencing = mSettings.mChecksFencing;
      mEngines.back().mHonoursExpiry = mSettings.mHonoursExpiry;
    }
    for (std::size_t i = 0; i < mSettings.mCores; ++i) {
      mCores.push_back(std::make_unique<core>());
      Start(*mCores.back(), i, 1);
    }
  }

  void Run(ms aTime)
  {
    for (const auto end = mNow + aTime; mNow < end;) {
      Step();
    }
  }
  bool RunUntil(const std::function<bool()>& aCondition, ms aLimit)
  {
    for (const auto end = mNow + aLimit; mNow < end && !aCondition();) {
      Step();
    }
    return aCondition();
  }

  void Begin(const fault& aFault)
  {
    auto core = aFault.mTarget % mCores.size();
    auto target = aFault.mTarget % mEngines.size();
    for (std::size_t i = 0; i < mCores.size() && aFault.mTarget >= kHolderTarget; ++i) {
      core = mCores[i].get() == Holder() ? i : core;
    }
    for (std::size_t i = 0; i < mEngines.size() && aFault.mTarget >= kHolderTarget; ++i) {
      target = Intent(mEngines[i].mName) != nullptr ? i : target;
    }
    auto& engine = mEngines[target];
    const auto until = mNow + aFault.mDuration;
    switch (aFault.mKind) {
      case fault_kind::PauseCore:
        mCores[core]->mPausedUntil = until;
        return;
      case fault_kind::KillCore:
        mCores[core]->mDeadUntil = until;
        mCores[core]->mControl.reset();
        return;
      case fault_kind::EngineCrash:
        engine.Crash(mNow, 2 * aFault.mDuration);
        return;
      case fault_kind::Restore:
        mRestored = true;
        mPlatform.Restore(1 + aFault.mTarget);
        return;
      case fault_kind::TableEdit:
        mVersion = "v" + std::to_string(++mEdits + 1);
        DistributeTable();
        return;
      case fault_kind::EngineLeaves:
        mIntent = mIntent == "serve" ? "drain" : "serve";
        DistributeTable();
        return;
      default:
        mActive[aFault.mKind][core] = until;
    }
  }

  core* Holder()
  {
    for (auto& each : mCores) {
      if (each->mControl && each->mControl->HoldsLease(mNow)) {
        return each.get();
      }
    }
    return nullptr;
  }
  std::size_t Unsettled()
  {
    const auto& orders = mPlatform.Fleet("d").mOrders;
    return static_cast<std::size_t>(
      std::count_if(orders.begin(), orders.end(), [](const recorded_command& aOrder) {
        return aOrder.mStage == recorded_command::stage::Intended;
      }));
  }
  /// The unsettled command of an engine in the newest fleet object that the daemons have; a
  /// restored platform may hold an older one.
  const recorded_command* Intent(std::string_view aEngine) const
  {
    for (const auto& order : mNewest.mOrders) {
      if (order.mEngine == aEngine && order.mStage == recorded_command::stage::Intended) {
        return &order;
      }
    }
    return nullptr;
  }
  bool Audited(std::string_view aText)
  {
    const auto& audit = mPlatform.Fleet("d").mAudit;
    return std::any_of(audit.begin(), audit.end(), [&](const std::string& aLine) {
      return aLine.find(aText) != std::string::npos;
    });
  }
  table Table() const
  {
    nlohmann::json json{ { "serial", mEdits + 1 },
                         { "services", { { { "name", "s" } } } },
                         { "models",
                           { { { "name", "m" }, { "service", "s" }, { "version", mVersion } } } } };
    for (std::size_t i = 0; i < mEngines.size(); ++i) {
      nlohmann::json row{ { "name", mEngines[i].mName },
                          { "address", "127.0.0.1:" + std::to_string(9000 + i) },
                          { "data_centre", "d" },
                          { "service", "s" },
                          { "model", "m" },
                          { "role", "both" },
                          { "checks_fencing", mEngines[i].mChecksFencing } };
      if (i == 0) {
        row["intent"] = mIntent;
      }
      json["engines"].push_back(row);
    }
    return *table::Parse(json.dump());
  }
  void DistributeTable()
  {
    const auto newest = Table();
    for (auto& each : mCores) {
      ToCore(
        *each, ms{ 300 }, [this, newest](core& aCore) { aCore.mControl->OnTable(newest, mNow); });
    }
  }
  std::string Breaches() const
  {
    std::ostringstream text;
    for (const auto& breach : mBreaches) {
      text << breach << "\n";
    }
    return text.str();
  }

  void Step()
  {
    mNow += kStep;
    while (!mQueue.empty() && mQueue.begin()->first <= mNow) {
      const auto action = std::move(mQueue.begin()->second);
      mQueue.erase(mQueue.begin());
      action();
    }
    for (std::size_t i = 0; i < mEngines.size(); ++i) {
      StepEngine(mEngines[i]);
    }
    for (std::size_t i = 0; i < mCores.size(); ++i) {
      StepCore(i);
    }
    CheckHolders();
  }

private:
  ms RandomDelay(std::int64_t aMost) { return ms{ static_cast<std::int64_t>(mRandom() % aMost) }; }
  bool Chance(unsigned aOneIn) { return mRandom() % aOneIn == 0; }
  bool Active(fault_kind aKind, std::size_t aTarget)
  {
    return mActive[aKind].contains(aTarget) && mNow < mActive[aKind][aTarget];
  }
  bool ActiveAnywhere(fault_kind aKind)
  {
    return std::any_of(mActive[aKind].begin(), mActive[aKind].end(), [this](const auto& aEntry) {
      return mNow < aEntry.second;
    });
  }
  void At(ms aDelay, std::function<void()> aAction)
  {
    mQueue.emplace(mNow + aDelay, std::move(aAction));
  }
  void Breach(const std::string& aText)
  {
    mBreaches.push_back(std::to_string((mNow.time_since_epoch() / ms{ 1 }) - 1'000'000) +
                        " ms: " + aText);
  }

  void Start(core& aCore, std::size_t aIndex, std::uint64_t aStartId)
  {
    aCore.mSelf = { "c" + std::to_string(aIndex), aStartId };
    aCore.mMembers.mLive.clear();
    for (std::size_t i = 0; i < mSettings.mCores; ++i) {
      member_update member;
      member.mProcess = { "c" + std::to_string(i), i == aIndex ? aStartId : 1 };
      member.mLocation.mDataCentre = "d";
      aCore.mMembers.mLive.push_back(member);
    }
    aCore.mFleet.mViews.resize(mEngines.size());
    control_settings settings;
    settings.mSelf = aCore.mSelf;
    settings.mDataCentre = "d";
    settings.mDrainLimit = ms{ 20'000 };
    aCore.mLastFencing = 0;
    aCore.mNewest = {};
    aCore.mBacklog.clear();
    aCore.mControl = *control::Create(
      settings, aCore.mMembers, aCore.mFleet, std::make_unique<fake_planner>(aCore.mWanted));
    aCore.mControl->OnTable(Table(), mNow);
  }

  /// Delivers an event after `aDelay`; a paused process receives it when it resumes.
  void ToCore(core& aCore, ms aDelay, std::function<void(core&)> aEvent)
  {
    At(aDelay, [this, &aCore, self = aCore.mSelf, event = std::move(aEvent)] {
      if (!aCore.mControl || aCore.mSelf != self) {
        return;
      }
      if (mNow < aCore.mPausedUntil) {
        aCore.mBacklog.push_back(event);
      } else {
        event(aCore);
      }
    });
  }

  void StepCore(std::size_t aIndex)
  {
    auto& core = *mCores[aIndex];
    if (!core.mControl && mNow >= core.mDeadUntil) {
      Start(core, aIndex, static_cast<std::uint64_t>(mNow.time_since_epoch() / ms{ 1 }));
    }
    if (!core.mControl || mNow < core.mPausedUntil) {
      return;
    }
    // After a pause the driver may handle queued events before or after the first tick.
    const bool tickFirst = Chance(2);
    if (tickFirst) {
      Tick(core, aIndex);
    }
    for (; !core.mBacklog.empty(); core.mBacklog.pop_front()) {
      core.mBacklog.front()(core);
    }
    if (!tickFirst) {
      Tick(core, aIndex);
    }
  }

  void Tick(core& aCore, std::size_t aIndex)
  {
    for (std::size_t i = 0; i < mEngines.size(); ++i) {
      auto& view = aCore.mFleet.mViews[i];
      view.mName = mEngines[i].mName;
      view.mDataCentre = "d";
      view.mService = "s";
      const auto& orders = aCore.mNewest.mOrders;
      const bool ordered =
        std::any_of(orders.begin(), orders.end(), [&](const recorded_command& aOrder) {
          return aOrder.mEngine == view.mName && aOrder.mStage == recorded_command::stage::Intended;
        });
      view.mStatus = ordered ? engine_status::Drained : engine_status::Serving;
    }
    aCore.mWanted.reset();
    if (mSettings.mPlannerActive && !mPlannerIdle && Chance(4)) {
      aCore.mWanted = planned_role_change{ mEngines[mRandom() % mEngines.size()].mName,
                                           static_cast<engine_role>(mRandom() % 3),
                                           "test" };
    }
    Gossip(aCore);
    effect_list out;
    aCore.mControl->OnTick(mNow, wall_instant{ mNow.time_since_epoch() / ms{ 1 } * ms{ 1 } }, out);
    ApplyEffects(aCore, aIndex, out);
  }

  void ApplyEffects(core& aCore, std::size_t aIndex, const effect_list& aOut)
  {
    for (const auto& effect : aOut) {
      if (const auto* call = std::get_if<call_platform>(&effect)) {
        SimulatePlatformCall(aCore, aIndex, *call);
      } else if (const auto* observe = std::get_if<request_engine_state>(&effect)) {
        SimulatePoll(aCore, aIndex, observe->mEngine);
      } else if (const auto* order = std::get_if<send_engine_command>(&effect)) {
        SimulateCommand(aCore, aIndex, *order);
      }
    }
    while (const auto written = aCore.mControl->TakeWritten()) {
      // A restore of the platform loses a revision that no live daemon holds, so only the live
      // daemons' copies count.
      const bool known = std::any_of(mCores.begin(), mCores.end(), [&](const auto& aEach) {
        return aEach->mControl && aEach->mNewest.mRevision >= written->mRevision;
      });
      if (known) {
        Breach("revision " + std::to_string(written->mRevision) + " is not new");
      }
      mNewest = *written;
      DeliverFleetObject(aCore, *written);
    }
  }

  void DeliverFleetObject(core& aCore, const fleet_object& aObject)
  {
    if (aObject.mRevision > aCore.mNewest.mRevision) {
      aCore.mNewest = aObject;
      aCore.mControl->OnFleetObject(aObject, mNow);
    }
  }

  /// Models a daemon that pulls a newer fleet object from a peer whose probe announces one.
  void Gossip(core& aCore)
  {
    const auto& peer = *mCores[mRandom() % mCores.size()];
    if (peer.mControl && mNow >= peer.mPausedUntil &&
        peer.mNewest.mRevision > aCore.mNewest.mRevision) {
      ToCore(aCore, ms{ 100 }, [this, object = peer.mNewest](core& aTo) {
        DeliverFleetObject(aTo, object);
      });
    }
  }

  void SimulatePlatformCall(core& aCore, std::size_t aIndex, const call_platform& aCall)
  {
    ++mPlatformCalls[aCall.mCall.mPart];
    const auto reply = [this, &aCore, aIndex, id = aCall.mCall](ms aDelay,
                                                                const platform_result& aResult) {
      ToCore(aCore, aDelay, [this, aIndex, id, aResult](core& aTo) {
        effect_list out;
        aTo.mControl->OnPlatformReply({ id, aResult }, mNow, out);
        ApplyEffects(aTo, aIndex, out);
      });
    };
    if (Active(fault_kind::CutFromPlatform, aIndex)) {
      reply(ms{ 1'000 }, platform_outcome_unknown{ "cut off" });
      return;
    }
    if (ActiveAnywhere(fault_kind::Outage)) {
      reply(ms{ 100 }, platform_refused{ "outage" });
      return;
    }
    const bool slow = ActiveAnywhere(fault_kind::SlowPlatform);
    const ms there = slow ? RandomDelay(6'000) : RandomDelay(60);
    const bool lost = ActiveAnywhere(fault_kind::LostReplies) && Chance(mSettings.mLoseOneIn);
    const ms back = slow ? RandomDelay(2'000) : RandomDelay(60);
    const bool late = there + back > ms{ 1'500 };
    if (lost || late) {
      // The driver's timeout passes first; the write may still take effect later.
      reply(ms{ 1'500 }, platform_outcome_unknown{ "no reply in time" });
    }
    At(there, [this, reply, back, answer = !lost && !late, operation = aCall.mOperation] {
      const auto stale = ActiveAnywhere(fault_kind::StaleReads) && Chance(2) ? mRandom() % 4 : 0;
      const auto result = mPlatform.Execute(operation, stale, mNow);
      if (answer) {
        reply(back, result);
      }
    });
  }

  fake_engine& Engine(const std::string& aName)
  {
    return *std::find_if(mEngines.begin(), mEngines.end(), [&](const fake_engine& aEngine) {
      return aEngine.mName == aName;
    });
  }

  void SimulatePoll(core& aCore, std::size_t aIndex, const std::string& aEngine)
  {
    At(RandomDelay(100), [this, &aCore, aIndex, aEngine, asked = mNow] {
      auto& engine = Engine(aEngine);
      engine_state_received observed{ aEngine, std::nullopt, asked };
      const bool reached = mNow >= engine.mDownUntil && !Active(fault_kind::CutFromEngines, aIndex);
      if (reached) {
        observed.mReport = engine.Report();
      }
      ToCore(aCore, reached ? RandomDelay(100) : ms{ 1'000 }, [this, aIndex, observed](core& aTo) {
        effect_list out;
        aTo.mControl->OnObserved(observed, mNow, out);
        ApplyEffects(aTo, aIndex, out);
      });
    });
  }

  void SimulateCommand(core& aCore, std::size_t aIndex, const send_engine_command& aSend)
  {
    const auto& order = aSend.mOrder;
    if (++mSent[order.mOrder] > 1) {
      Breach("order " + order.mOrder + " is sent twice");
    }
    const auto* intent = Intent(aSend.mEngine);
    const auto& stored = mPlatform.Fleet("d").mOrders;
    const bool onPlatform =
      mRestored || std::any_of(stored.begin(), stored.end(), [&](const recorded_command& aEach) {
        return aEach.mOrder == order.mOrder && aEach.mStage == recorded_command::stage::Intended;
      });
    if (intent == nullptr || intent->mOrder != order.mOrder || !onPlatform) {
      Breach("order " + order.mOrder + " is sent without its recorded intent");
    }
    if (std::count_if(mNewest.mOrders.begin(), mNewest.mOrders.end(), [](const auto& aEach) {
          return aEach.mStage == recorded_command::stage::Intended;
        }) > 1) {
      Breach("two engines of the service have an unsettled order");
    }
    if (!aCore.mControl->HoldsLease(mNow)) {
      Breach("order " + order.mOrder + " is sent without the lease");
    }
    const auto answer = [this, &aCore, aIndex, aSend](ms aDelay, engine_command_result aResult) {
      ToCore(aCore, aDelay, [this, aIndex, aSend, aResult](core& aTo) {
        effect_list out;
        aTo.mControl->OnCommandAnswered({ aSend.mEngine, aSend.mOrder.mOrder, aResult }, mNow, out);
        ApplyEffects(aTo, aIndex, out);
      });
    };
    if (ActiveAnywhere(fault_kind::LostOrders) && Chance(mSettings.mLoseOneIn)) {
      answer(ms{ 1'000 }, engine_command_result::NoAnswer);
      return;
    }
    // A late command has passed the driver's check of mNotAfter and is delayed after it.
    const bool held = ActiveAnywhere(fault_kind::LateOrders) && Chance(2);
    const ms there = held ? RandomDelay(60'000) : RandomDelay(200);
    if (there > ms{ 1'000 }) {
      answer(ms{ 1'000 }, engine_command_result::NoAnswer);
    }
    At(there, [this, answer, aSend, there, aIndex, sentAt = mNow] {
      auto& engine = Engine(aSend.mEngine);
      if (mNow < engine.mDownUntil || Active(fault_kind::CutFromEngines, aIndex)) {
        answer(ms{ 1'000 }, engine_command_result::NoAnswer);
        return;
      }
      const auto result = Arrive(engine, aSend, sentAt);
      const bool lost =
        ActiveAnywhere(fault_kind::LostOrderReplies) && Chance(mSettings.mLoseOneIn);
      if (there <= ms{ 1'000 }) {
        answer(lost ? ms{ 1'000 } : RandomDelay(100),
               lost ? engine_command_result::NoAnswer : result);
      }
    });
  }

  engine_command_result Arrive(fake_engine& aEngine,
                               const send_engine_command& aSend,
                               instant aSentAt)
  {
    const auto& order = aSend.mOrder;
    const bool expired = mNow > aSend.mNotAfter;
    const bool changing = aEngine.Changing();
    const auto result = aEngine.Take(order, expired, mNow);
    if (result != engine_command_result::Accepted) {
      return result;
    }
    ++mAccepted;
    const auto& all = mPlatform.mAcquisitions;
    // After a restore of the platform a later acquisition may have a lower fencing number, so the
    // sequence of the acquisitions counts and not their numbers.
    const auto own = std::find_if(all.rbegin(), all.rend(), [&](const auto& aEach) {
      return aEach.mFencing == order.mFencing && order.mOrder.starts_with(aEach.mHolder.mVm + "-");
    });
    const bool replaced = own != all.rbegin();
    // The known exposure that docs/authority.md names: the command was delayed past the end of its
    // sender's authority, and the engine cannot detect it.
    const bool knownExposure = expired && !aEngine.mHonoursExpiry;
    if (replaced) {
      mKnownExposures += knownExposure ? 1 : 0;
      if (!knownExposure) {
        Breach("engine " + aEngine.mName + " took order " + order.mOrder + " after " +
               all.back().mHolder.mVm + " acquired the lease with fencing number " +
               std::to_string(all.back().mFencing));
      }
    }
    // Such a command may hit another change or running requests only after its late delivery
    // window.
    const ms lateWindow{ aEngine.mChecksFencing ? 4'000 : 13'000 };
    const bool pastWindow = knownExposure && mNow - aSentAt > lateWindow;
    if (changing && !pastWindow && !aEngine.mLateChange) {
      Breach("engine " + aEngine.mName + " got order " + order.mOrder + " while it changed");
    }
    if (aEngine.mWorking && !pastWindow) {
      Breach("order " + order.mOrder + " interrupted the work of engine " + aEngine.mName);
    }
    aEngine.mLateChange = pastWindow;
    return result;
  }

  /// The engine's work ends some time after the intent: first the daemons must learn of the intent,
  /// then their requests finish.
  void StepEngine(fake_engine& aEngine)
  {
    aEngine.Advance(mNow);
    auto& since = mIntendedSince[aEngine.mName];
    if (Intent(aEngine.mName) == nullptr) {
      since.reset();
      aEngine.mWorking = true;
      return;
    }
    if (!since) {
      since = mNow + kNoticeDelay + (Chance(2) ? ms{ 0 } : RandomDelay(3'000));
      mNoticed[aEngine.mName] = mNow + kNoticeDelay;
    }
    if (mNow < *since && ActiveAnywhere(fault_kind::DrainStuck)) {
      *since += kStep;
    }
    // Until the last daemon knows of the intent, an idle engine may still receive new requests.
    const bool intermittent = mNow < mNoticed[aEngine.mName];
    aEngine.mWorking = mNow < *since && !(intermittent && Chance(2));
  }

  void CheckHolders()
  {
    std::size_t holders = 0;
    for (auto& each : mCores) {
      if (!each->mControl || !each->mControl->HoldsLease(mNow)) {
        continue;
      }
      ++holders;
      const auto fencing = each->mControl->Fencing();
      if (fencing < each->mLastFencing || (fencing < mHighest && !mRestored)) {
        Breach("the fencing number fell to " + std::to_string(fencing));
      }
      each->mLastFencing = fencing;
      mHighest = std::max(mHighest, fencing);
    }
    if (holders > 1) {
      Breach("two cores hold the lease");
    }
  }

  std::mt19937_64 mRandom;
  std::multimap<instant, std::function<void()>> mQueue;
  std::map<std::string, std::optional<instant>> mIntendedSince;
  std::map<std::string, instant> mNoticed; ///< when the last daemon learns of the intent
  fleet_object mNewest; ///< the newest fleet object that a core reported as written
  std::uint64_t mHighest = 0;
  std::uint64_t mEdits = 0;
  bool mRestored = false;
};

} // namespace skylarkwind
