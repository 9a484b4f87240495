#pragma once

#include "skylarkwind/engine_lifecycle.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace skylarkwind {

/// One engine and several daemons that learn of it at different times. Each number of a schedule
/// is one event.
class lifecycle_schedule
{
public:
  static constexpr std::size_t kDaemons = 3;

  lifecycle_schedule()
  {
    mRow.mName = "e1";
    mRow.mAddress = "10.0.0.1:80";
    mRow.mService = "stones";
    mRow.mModel = "m1";
    mTruth.mName = "e1";
    mTruth.mIncarnation = 1;
    mTruth.mService = "stones";
    mTruth.mModel = "m1";
    for (std::size_t i = 0; i < kDaemons; ++i) {
      mDaemons.push_back({ engine_lifecycle(mRow, lifecycle_settings{}, mNow) });
      mDaemons.back().mEngine.OnSurroundings({ { kDaemons, i }, 5.0 });
    }
  }

  /// Makes the event; returns the broken rule, or an empty text.
  std::string Apply(std::uint32_t aEvent)
  {
    mNow += std::chrono::milliseconds{ 1 + aEvent / 997 % 400 };
    const std::size_t which = aEvent / 31 % kDaemons;
    Play(aEvent % 31, mDaemons[which]);
    return BrokenRule();
  }

  /// Ends all faults and runs for up to `aLimit`; returns the daemons that do not serve then.
  std::string Heal(std::chrono::seconds aLimit)
  {
    mUp = true;
    mTruth.mActivity = engine_report::activity::Ready;
    mOrder.reset();
    mLeaving = false;
    mRow.mIntent = engine_intent::Serve;
    mRow.mModel = "m1";
    const instant end = mNow + aLimit;
    std::string broken;
    while (mNow < end && broken.empty() && !AllServe()) {
      for (daemon& each : mDaemons) {
        Learn(each);
        Ask(each);
        broken += BrokenRule();
        Answer(each);
        broken += BrokenRule();
        End(each, true);
        Start(each);
        mNow += std::chrono::milliseconds{ 50 };
        each.mEngine.OnTick(mNow);
        broken += BrokenRule();
      }
    }
    for (const daemon& each : mDaemons) {
      broken += AllServe() ? "" : each.mEngine.Explain() + " ";
    }
    return broken;
  }

private:
  struct question
  {
    instant mAskedAt;
    engine_observed mAnswer;
  };
  struct daemon
  {
    engine_lifecycle mEngine;
    std::deque<question> mQuestions;
    std::uint64_t mOpen = 0;
    bool mDrains = false;                 ///< what it was told
    bool mOrdered = false;                ///< what it was told
    instant mLostAt = instant::min();     ///< when it last became absent, or its order ended
    instant mObservedAt = instant::min(); ///< question of the last answer that it got
    std::uint64_t mIncarnation = 0;       ///< in that answer
    std::uint64_t mLimitBefore = return_ramp::kFirstLimit;
  };

  void Play(std::uint32_t aKind, daemon& aDaemon)
  {
    const bool wasAbsent = aDaemon.mEngine.View().mStatus == engine_status::Absent;
    if (aKind < 8) {
      Request(aKind, aDaemon);
    } else if (aKind < 18) {
      Exchange(aKind, aDaemon);
    } else {
      World(aKind);
    }
    if (!wasAbsent && aDaemon.mEngine.View().mStatus == engine_status::Absent) {
      aDaemon.mLostAt = mNow;
    }
  }

  void Request(std::uint32_t aKind, daemon& aDaemon)
  {
    if (aKind < 4) {
      Start(aDaemon);
    } else {
      End(aDaemon, mUp && aKind != 7);
    }
  }

  void Exchange(std::uint32_t aKind, daemon& aDaemon)
  {
    if (aKind < 11) {
      Ask(aDaemon);
    } else if (aKind < 14) {
      Answer(aDaemon);
    } else if (aKind == 14 && !aDaemon.mQuestions.empty()) { // a duplicate, maybe much later
      aDaemon.mEngine.OnObserved(aDaemon.mQuestions.front().mAnswer, mNow);
      Note(aDaemon, aDaemon.mQuestions.front());
    } else if (aKind == 15) {
      aDaemon.mEngine.OnReport(mTruth, mNow);
    } else if (aKind == 16) {
      aDaemon.mEngine.OnTick(mNow);
    } else {
      Learn(aDaemon);
    }
  }

  void World(std::uint32_t aKind)
  {
    switch (aKind) {
      case 18:
        mUp = false;
        break;
      case 19:
        mUp = true;
        mTruth.mIncarnation += 1;
        mTruth.mOutputTokensTotal = 0;
        mTruth.mActivity = engine_report::activity::Loading;
        break;
      case 20:
        mTruth.mActivity = engine_report::activity::Changing;
        break;
      case 21:
        mTruth.mActivity = engine_report::activity::Ready;
        mTruth.mRole = mTruth.mRole == engine_role::Both ? engine_role::Decode : engine_role::Both;
        mTruth.mOrder = mOrder ? mOrder->mOrder : "";
        break;
      case 22:
        mOrder = recorded_order{ "e1", "o" + std::to_string(++mOrders) };
        break;
      case 23:
        mOrder.reset();
        break;
      case 24:
        mLeaving = !mLeaving;
        break;
      case 25:
        mRow.mIntent =
          mRow.mIntent == engine_intent::Serve ? engine_intent::Drain : engine_intent::Serve;
        break;
      case 26:
        mRow.mModel = mRow.mModel == "m1" ? "m2" : "m1";
        break;
      default: // most events tell a daemon something
        Learn(mDaemons[aKind % kDaemons]);
    }
  }

  void Start(daemon& aDaemon)
  {
    if (aDaemon.mEngine.View().Admits()) {
      ++aDaemon.mOpen;
      aDaemon.mEngine.OnAttemptStarted(mNow);
    }
  }

  void End(daemon& aDaemon, bool aHealthy)
  {
    if (aDaemon.mOpen > 0) {
      --aDaemon.mOpen;
      mTruth.mOutputTokensTotal += aHealthy ? 20 : 0;
      aDaemon.mEngine.OnAttemptEnded(aHealthy ? attempt_health::Answered : attempt_health::Failed,
                                     mNow);
    }
  }

  void Ask(daemon& aDaemon)
  {
    aDaemon.mEngine.OnAsked(mNow);
    question asked{ mNow, { "e1", std::nullopt, mNow } };
    if (mUp) {
      asked.mAnswer.mReport = mTruth;
    }
    aDaemon.mQuestions.push_back(asked);
  }

  /// Delivers the oldest or the newest answer.
  void Answer(daemon& aDaemon)
  {
    if (aDaemon.mQuestions.empty()) {
      return;
    }
    const question asked = aDaemon.mQuestions.back();
    if (aDaemon.mQuestions.size() > 3) {
      aDaemon.mQuestions.pop_front();
    }
    mNow += std::chrono::milliseconds{ 1 };
    aDaemon.mEngine.OnObserved(asked.mAnswer, mNow);
    Note(aDaemon, asked);
  }

  static void Note(daemon& aDaemon, const question& aAsked)
  {
    if (aAsked.mAnswer.mReport && aAsked.mAskedAt > aDaemon.mObservedAt) {
      aDaemon.mObservedAt = aAsked.mAskedAt;
      aDaemon.mIncarnation = aAsked.mAnswer.mReport->mIncarnation;
    }
  }

  void Learn(daemon& aDaemon)
  {
    if (aDaemon.mOrdered && !mOrder) {
      aDaemon.mLostAt = mNow; // what was observed before may be the role before the order
    }
    aDaemon.mOrdered = mOrder.has_value();
    aDaemon.mDrains = mOrder || mLeaving || mRow.mIntent == engine_intent::Drain;
    aDaemon.mEngine.OnRow(mRow, mNow);
    aDaemon.mEngine.OnLeaving(mLeaving, mNow);
    aDaemon.mEngine.OnOrder(mOrder, mNow);
  }

  bool AllServe() const
  {
    return std::all_of(mDaemons.begin(), mDaemons.end(), [](const daemon& aDaemon) {
      return aDaemon.mEngine.View().mStatus == engine_status::Serving;
    });
  }

  std::string BrokenRule()
  {
    std::uint64_t sum = 0;
    std::uint64_t largest = 0;
    std::string broken;
    for (daemon& each : mDaemons) {
      const engine_view& view = each.mEngine.View();
      const bool returning =
        view.mStatus == engine_status::Warming || view.mStatus == engine_status::Ramping;
      const bool open = returning || view.mStatus == engine_status::Serving;
      const std::uint64_t limit = each.mEngine.FleetLimit();
      if (view.Admits() && (!open || view.mIncarnation == 0)) {
        broken += "admits without being in service; ";
      }
      if (open && each.mObservedAt <= each.mLostAt) {
        broken += "in service without an answer newer than the fault or the order; ";
      }
      if (open && view.mIncarnation != each.mIncarnation) {
        broken += "in service with another incarnation than the newest answer; ";
      }
      if (view.Admits() && each.mDrains) {
        broken += "admits although it drains; ";
      }
      if (returning && limit > std::max(2 * each.mLimitBefore, kDaemons * view.mInFlight)) {
        broken += "the limit grew more than twofold; ";
      }
      if (returning) {
        sum += view.mInFlightLimit;
        largest = std::max(largest, limit);
      }
      each.mLimitBefore = limit;
    }
    return sum <= largest ? broken : broken + "the shares exceed the limit; ";
  }

  instant mNow{ std::chrono::seconds{ 100 } };
  engine_row mRow;
  engine_report mTruth;
  bool mUp = true;
  bool mLeaving = false;
  std::optional<recorded_order> mOrder;
  int mOrders = 0;
  std::vector<daemon> mDaemons;
};

} // namespace skylarkwind
