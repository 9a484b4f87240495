#pragma once

#include "flow_planners.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace skylarkwind::flow {

inline constexpr double kChangeSeconds = 8;   ///< a role change, once the engine is empty
inline constexpr double kNoticeSeconds = 0.3; ///< until all daemons know a recorded engine command

/// One policy under test.
struct variant
{
  std::string mName;
  routing mRouting;
  std::function<std::unique_ptr<planner>()> mPlanner; ///< one for each data centre
};

struct outcome
{
  std::vector<double> mArrived; ///< requests by the second of their arrival
  std::vector<double> mGood;
  int mChanges = 0;
  double mServingAgainAt = -1; ///< when every daemon called the crashed engine serving

  /// Share of good requests among those that arrived in an interval.
  double Share(double aFrom, double aTo) const
  {
    double arrived = 0;
    double good = 0;
    for (auto i = static_cast<std::size_t>(aFrom); i < static_cast<std::size_t>(aTo); ++i) {
      arrived += mArrived.at(i);
      good += mGood.at(i);
    }
    return arrived > 0 ? good / arrived : 1;
  }
};

/// Engines, daemons and the lease holders of one run.
class world
{
public:
  world(const deployment& aDeployment,
        const scenario& aScenario,
        const variant& aVariant,
        std::uint64_t aSeed)
    : mDeployment(aDeployment)
    , mScenario(aScenario)
  {
    MakeEngines();
    mTable = *table::Parse(TableJson());
    for (int i = 0; i < kDaemons; ++i) {
      mDaemons.emplace_back(i, mEngines.size(), aVariant.mRouting, aSeed);
      mDaemons.back().mFleet->OnTable(mTable, At(0), mEffects);
    }
    for (int i = 0; i < kDataCentres; ++i) {
      mHolders.push_back({ aVariant.mPlanner(), {}, std::nullopt, {} });
    }
    for (const arrival& each : Arrivals(aDeployment, aScenario, aSeed)) {
      mRequests.push_back({ each, each.mPrompt });
    }
    const auto seconds = static_cast<std::size_t>(aScenario.mSeconds) + 2;
    mOutcome.mArrived.resize(seconds);
    mOutcome.mGood.resize(seconds);
  }

  outcome Run()
  {
    // Requests that are still open at the end get time to finish.
    for (int tick = 0; tick * kTick < mScenario.mSeconds + 60; ++tick) {
      mNow = tick * kTick;
      Faults();
      Admit();
      Route();
      Work();
      Observe();
      if (tick % 20 == 0) {
        Control();
      }
      Deliver();
      NoteReturn();
    }
    for (const request& each : mRequests) {
      const auto second = static_cast<std::size_t>(each.mShape.mAt);
      mOutcome.mArrived.at(second) += 1;
      mOutcome.mGood.at(second) += each.mGood ? 1 : 0;
    }
    return mOutcome;
  }

private:
  struct change
  {
    int mEngine = 0;
    recorded_command mOrder;
    bool mSent = false;
  };
  struct holder
  {
    std::unique_ptr<planner> mPlanner;
    fleet_object mObject;
    std::optional<change> mChange;
    std::vector<std::pair<double, fleet_object>> mNotices;
  };

  void MakeEngines()
  {
    for (std::size_t service = 0; service < mDeployment.mServices.size(); ++service) {
      const service_shape& shape = mDeployment.mServices[service];
      for (int i = 0; i < shape.mEngines; ++i) {
        engine made;
        made.mName = std::string(1, static_cast<char>('a' + service)) + std::to_string(100 + i);
        made.mDataCentre = i % kDataCentres;
        made.mService = static_cast<int>(service);
        const bool prefill = i / kDataCentres % 2 == 0;
        made.mRole = shape.mMixed ? engine_role::Both
                     : prefill    ? engine_role::Prefill
                                  : engine_role::Decode;
        mEngines.push_back(made);
      }
    }
  }

  std::string TableJson() const
  {
    std::string services;
    std::string models;
    std::string engines;
    const auto add = [](std::string& aList, const std::string& aItem) {
      aList += aList.empty() ? "" : ",";
      aList += aItem;
    };
    for (const service_shape& shape : mDeployment.mServices) {
      add(services,
          R"({"name":")" + shape.mName + R"(","kind":"model","role_change_price":)" +
            std::to_string(mDeployment.mRoleChangePrice) + "}");
      add(models,
          R"({"name":"m-)" + shape.mName + R"(","service":")" + shape.mName +
            R"(","version":"1"})");
    }
    for (std::size_t i = 0; i < mEngines.size(); ++i) {
      add(engines, EngineJson(mEngines[i], i + 1));
    }
    return R"({"serial":1,"services":[)" + services + R"(],"models":[)" + models +
           R"(],"engines":[)" + engines + "]}";
  }

  std::string EngineJson(const engine& aEngine, std::size_t aHost) const
  {
    const std::string& service = Service(aEngine.mService);
    return R"({"name":")" + aEngine.mName + R"(","address":"10.0.0.)" + std::to_string(aHost) +
           R"(:80","data_centre":"dc)" + std::to_string(aEngine.mDataCentre) + R"(","service":")" +
           service + R"(","model":"m-)" + service + R"(","role":")" +
           std::string(RoleText(aEngine.mRole)) + R"("})";
  }

  const std::string& Service(int aService) const
  {
    return mDeployment.mServices[static_cast<std::size_t>(aService)].mName;
  }
  request& Request(int aRequest) { return mRequests[static_cast<std::size_t>(aRequest)]; }
  engine& Engine(int aEngine) { return mEngines[static_cast<std::size_t>(aEngine)]; }
  daemon& DaemonOf(int aRequest)
  {
    return mDaemons[static_cast<std::size_t>(Request(aRequest).mShape.mDaemon)];
  }

  void Faults()
  {
    engine& first = mEngines.front();
    if (first.mUp && mScenario.mCrashAt >= 0 && mNow >= mScenario.mCrashAt &&
        mNow < mScenario.mBackAt) {
      for (const int prompt : first.mPrompts) {
        DaemonOf(prompt).Ended(0, Request(prompt).mShape.mPrompt, 0, false, mNow);
      }
      for (const int stream : first.mStreams) {
        DaemonOf(stream).Ended(0, 0, 1, false, mNow);
      }
      first.Crash();
    } else if (!first.mUp && mNow >= mScenario.mBackAt) {
      first.Restart();
    }
  }

  void Admit()
  {
    while (mNextArrival < mRequests.size() && mRequests[mNextArrival].mShape.mAt <= mNow) {
      const int index = static_cast<int>(mNextArrival++);
      Request(index).mQueuedAt = mNow;
      DaemonOf(index).mPrompts.push_back(index);
    }
  }

  void Route()
  {
    for (daemon& each : mDaemons) {
      RoutePrompts(each);
      RouteStreams(each);
    }
  }

  void RoutePrompts(daemon& aDaemon)
  {
    for (std::size_t left = aDaemon.mPrompts.size(); left > 0; --left) {
      const int index = aDaemon.mPrompts.front();
      aDaemon.mPrompts.pop_front();
      const request& each = Request(index);
      int engine = 0;
      switch (aDaemon.RoutePrompt(each, Service(each.mShape.mService), mNow, engine)) {
        case daemon::answer::Sent:
          aDaemon.Sent(engine, each.mShape.mPrompt, 0, mNow);
          if (Engine(engine).mUp) {
            Engine(engine).mPrompts.push_back(index);
          } else { // the connection fails at once; the request is lost
            aDaemon.Ended(engine, each.mShape.mPrompt, 0, false, mNow);
          }
          break;
        case daemon::answer::Wait:
          aDaemon.mPrompts.push_back(index);
          break;
        case daemon::answer::Refuse:
          break;
      }
    }
  }

  void RouteStreams(daemon& aDaemon)
  {
    for (std::size_t left = aDaemon.mStreams.size(); left > 0; --left) {
      const int index = aDaemon.mStreams.front();
      aDaemon.mStreams.pop_front();
      int engine = 0;
      if (aDaemon.RouteStream(Service(Request(index).mShape.mService), engine) ==
          daemon::answer::Wait) {
        aDaemon.mStreams.push_back(index);
        continue;
      }
      aDaemon.Sent(engine, 0, 1, mNow);
      if (Engine(engine).mUp) {
        Engine(engine).mStreams.push_back(index);
      } else {
        aDaemon.Ended(engine, 0, 1, false, mNow);
      }
    }
  }

  void Work()
  {
    for (std::size_t i = 0; i < mEngines.size(); ++i) {
      mPrefilled.clear();
      mFinished.clear();
      mEngines[i].Work(mRequests, mNow, mPrefilled, mFinished);
      for (const int prompt : mPrefilled) {
        OnPrefilled(static_cast<int>(i), prompt);
      }
      for (const int stream : mFinished) {
        OnFinished(static_cast<int>(i), stream);
      }
    }
  }

  void OnPrefilled(int aEngine, int aRequest)
  {
    request& each = Request(aRequest);
    each.mLeft = each.mShape.mOutput;
    each.mQueuedAt = mNow;
    daemon& owner = DaemonOf(aRequest);
    if (Engine(aEngine).mRole == engine_role::Both) {
      Engine(aEngine).mStreams.push_back(aRequest);
      owner.Add(aEngine, -each.mShape.mPrompt, 1);
    } else {
      owner.Ended(aEngine, each.mShape.mPrompt, 0, true, mNow);
      owner.mStreams.push_back(aRequest);
    }
  }

  void OnFinished(int aEngine, int aRequest)
  {
    request& each = Request(aRequest);
    DaemonOf(aRequest).Ended(aEngine, 0, 1, true, mNow);
    const double first = each.mFirstToken - each.mShape.mAt + 2 * mDeployment.mOneWay;
    const double between = (mNow - each.mFirstToken) / std::max(1.0, each.mShape.mOutput - 1);
    each.mGood = each.mFirstToken >= 0 && first <= kFirstTokenLimit && between <= kTokenLimit;
  }

  void Observe()
  {
    for (int i = 0; i < kDaemons; ++i) {
      daemon& each = mDaemons[static_cast<std::size_t>(i)];
      mEffects.clear();
      each.mFleet->OnTick(At(mNow), mEffects);
      for (const effect& made : effect_list(mEffects)) {
        if (const auto* asked = std::get_if<request_engine_state>(&made)) {
          Answer(i, each, asked->mEngine);
        }
      }
      each.EndTick();
    }
  }

  void Answer(int aDaemon, daemon& aAsking, const std::string& aEngine)
  {
    const auto found = std::find_if(mEngines.begin(), mEngines.end(), [&](const engine& aEach) {
      return aEach.mName == aEngine;
    });
    engine_state_received observed{ aEngine, std::nullopt, At(mNow) };
    if (found->mUp) {
      observed.mReport = found->Report(Service(found->mService));
      if (aDaemon < kDataCentres) {
        mHolders[static_cast<std::size_t>(aDaemon)].mPlanner->OnReport(*observed.mReport, mNow);
      }
    }
    aAsking.mFleet->OnObserved(observed, At(mNow) + std::chrono::milliseconds{ 3 }, mEffects);
  }

  /// Daemon i holds the lease of data centre i.
  void Control()
  {
    for (int i = 0; i < kDataCentres; ++i) {
      holder& each = mHolders[static_cast<std::size_t>(i)];
      daemon& self = mDaemons[static_cast<std::size_t>(i)];
      if (each.mChange) {
        Advance(each, self);
      }
      ReportQueue(each, self);
      const auto [prefill, decode] = Planned();
      const planner_input input{ self.mFleet->Engines(),
                                 mTable,
                                 "dc" + std::to_string(i),
                                 mNow,
                                 each.mChange.has_value(),
                                 prefill,
                                 decode };
      const auto planned = each.mPlanner->Plan(input);
      if (planned && !each.mChange && mNow < mScenario.mSeconds) {
        Record(each, *planned);
      }
    }
  }

  void ReportQueue(holder& aHolder, daemon& aSelf)
  {
    for (std::size_t service = 0; service < mDeployment.mServices.size(); ++service) {
      double prompt = 0;
      double output = 0;
      for (const int index : aSelf.mPrompts) {
        if (Request(index).mShape.mService == static_cast<int>(service)) {
          prompt += Request(index).mShape.mPrompt;
          output += Request(index).mShape.mOutput;
        }
      }
      aHolder.mPlanner->OnQueued(Service(static_cast<int>(service)), prompt, output, mNow);
    }
  }

  /// Engines of the first service, with changes under way as done.
  std::pair<int, int> Planned() const
  {
    int prefill = 0;
    int decode = 0;
    for (std::size_t i = 0; i < mEngines.size(); ++i) {
      engine_role role = mEngines[i].mRole;
      for (const holder& each : mHolders) {
        if (each.mChange && each.mChange->mEngine == static_cast<int>(i)) {
          role = each.mChange->mOrder.mRole;
        }
      }
      prefill += mEngines[i].mService == 0 && role == engine_role::Prefill ? 1 : 0;
      decode += mEngines[i].mService == 0 && role == engine_role::Decode ? 1 : 0;
    }
    return { prefill, decode };
  }

  void Record(holder& aHolder, const planned_role_change& aPlanned)
  {
    const auto found = std::find_if(mEngines.begin(), mEngines.end(), [&](const engine& aEach) {
      return aEach.mName == aPlanned.mEngine;
    });
    change made;
    made.mEngine = static_cast<int>(found - mEngines.begin());
    made.mOrder = { aPlanned.mEngine, "o" + std::to_string(++mOutcome.mChanges) };
    made.mOrder.mRole = aPlanned.mRole;
    aHolder.mChange = made;
    Publish(aHolder, { made.mOrder });
  }

  void Publish(holder& aHolder, std::vector<recorded_command> aOrders)
  {
    ++aHolder.mObject.mRevision;
    aHolder.mObject.mOrders = std::move(aOrders);
    aHolder.mNotices.emplace_back(mNow + kNoticeSeconds, aHolder.mObject);
  }

  void Advance(holder& aHolder, daemon& aSelf)
  {
    change& under = *aHolder.mChange;
    engine& target = Engine(under.mEngine);
    const engine_view& view = aSelf.mFleet->Engines()[static_cast<std::size_t>(under.mEngine)];
    // The wait for an empty engine begins when all daemons know the engine command.
    if (!under.mSent && aHolder.mNotices.empty() && target.Idle() && target.mUp) {
      under.mSent = true;
      target.mNextRole = under.mOrder.mRole;
      target.mOrder = under.mOrder.mOrder;
      target.mChangeUntil = mNow + kChangeSeconds;
    } else if (under.mSent && view.mReport.mOrder == under.mOrder.mOrder &&
               view.mReport.mActivity == engine_report::activity::Ready) {
      Publish(aHolder, {});
      aHolder.mChange.reset();
    }
  }

  void Deliver()
  {
    for (int i = 0; i < kDataCentres; ++i) {
      auto& notices = mHolders[static_cast<std::size_t>(i)].mNotices;
      while (!notices.empty() && notices.front().first <= mNow) {
        for (daemon& each : mDaemons) {
          each.mFleet->OnFleetObject(
            "dc" + std::to_string(i), notices.front().second, At(mNow), mEffects);
        }
        notices.erase(notices.begin());
      }
    }
  }

  void NoteReturn()
  {
    if (mScenario.mBackAt < 0 || mNow < mScenario.mBackAt || mOutcome.mServingAgainAt >= 0) {
      return;
    }
    const bool all = std::all_of(mDaemons.begin(), mDaemons.end(), [&](const daemon& aDaemon) {
      const engine_view& view = aDaemon.mFleet->Engines()[0];
      return view.mStatus == engine_status::Serving &&
             view.mIncarnation == mEngines.front().mIncarnation;
    });
    mOutcome.mServingAgainAt = all ? mNow : -1;
  }

  deployment mDeployment;
  scenario mScenario;
  table mTable;
  std::vector<engine> mEngines; ///< sorted by name, as the views of the fleet
  std::vector<daemon> mDaemons;
  std::vector<holder> mHolders;
  std::vector<request> mRequests;
  std::size_t mNextArrival = 0;
  std::vector<int> mPrefilled;
  std::vector<int> mFinished;
  effect_list mEffects;
  double mNow = 0;
  outcome mOutcome;
};

} // namespace skylarkwind::flow
