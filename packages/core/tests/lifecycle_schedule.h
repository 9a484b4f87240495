#pragma once

#include "skylarkwind/engine_lifecycle.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

namespace skylarkwind {

/// Simulates one engine and several daemons that observe it at different times. Each number of a
/// schedule encodes one event.
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
    mActualReport.mName = "e1";
    mActualReport.mIncarnation = 1;
    mActualReport.mService = "stones";
    mActualReport.mModel = "m1";
    for (std::size_t i = 0; i < kDaemons; ++i) {
      mDaemons.push_back({ engine_lifecycle(mRow, lifecycle_settings{}, mNow) });
      mDaemons.back().mEngine.OnContext({ { kDaemons, i }, 5.0 });
    }
  }

  /// Applies the event; returns the violated invariants, or an empty text.
  std::string Apply(std::uint32_t aEvent)
  {
    mNow += std::chrono::milliseconds{ 1 + aEvent / 997 % 400 };
    const std::size_t which = aEvent / 31 % kDaemons;
    ApplyKind(aEvent % 31, mDaemons[which]);
    return ViolatedInvariants();
  }

  /// Clears all faults and runs for up to `aLimit`; returns the violated invariants and the
  /// explanations of daemons that do not reach Serving.
  std::string Recover(std::chrono::seconds aLimit)
  {
    mIsUp = true;
    mActualReport.mActivity = engine_report::activity::Ready;
    mCommand.reset();
    mLeaving = false;
    mRow.mIntent = engine_intent::Serve;
    mRow.mModel = "m1";
    const instant end = mNow + aLimit;
    std::string violations;
    while (mNow < end && violations.empty() && !AllServe()) {
      for (daemon& each : mDaemons) {
        DeliverState(each);
        SendQuery(each);
        violations += ViolatedInvariants();
        DeliverResponse(each);
        violations += ViolatedInvariants();
        End(each, true);
        Start(each);
        mNow += std::chrono::milliseconds{ 50 };
        each.mEngine.OnTick(mNow);
        violations += ViolatedInvariants();
      }
    }
    for (const daemon& each : mDaemons) {
      violations += AllServe() ? "" : each.mEngine.Explain() + " ";
    }
    return violations;
  }

private:
  struct state_query
  {
    instant mAskedAt;
    engine_state_received mResponse;
  };
  struct daemon
  {
    engine_lifecycle mEngine;
    std::deque<state_query> mQueries;
    std::uint64_t mOpen = 0;
    bool mDrains = false;                 ///< the daemon was told that the engine drains
    bool mHasCommand = false;             ///< the daemon was told of an engine command
    instant mFaultAt = instant::min();    ///< when it last became absent, or its command ended
    instant mObservedAt = instant::min(); ///< query time of the newest response received
    std::uint64_t mIncarnation = 0;       ///< in that response
    std::uint64_t mLimitBefore = return_ramp::kInitialLimit;
  };

  void ApplyKind(std::uint32_t aKind, daemon& aDaemon)
  {
    const bool wasAbsent = aDaemon.mEngine.View().mStatus == engine_status::Absent;
    if (aKind < 8) {
      Request(aKind, aDaemon);
    } else if (aKind < 18) {
      Communicate(aKind, aDaemon);
    } else {
      ChangeEngine(aKind);
    }
    if (!wasAbsent && aDaemon.mEngine.View().mStatus == engine_status::Absent) {
      aDaemon.mFaultAt = mNow;
    }
  }

  void Request(std::uint32_t aKind, daemon& aDaemon)
  {
    if (aKind < 4) {
      Start(aDaemon);
    } else {
      End(aDaemon, mIsUp && aKind != 7);
    }
  }

  void Communicate(std::uint32_t aKind, daemon& aDaemon)
  {
    if (aKind < 11) {
      SendQuery(aDaemon);
    } else if (aKind < 14) {
      DeliverResponse(aDaemon);
    } else if (aKind == 14 && !aDaemon.mQueries.empty()) { // a duplicate, possibly much later
      aDaemon.mEngine.OnObserved(aDaemon.mQueries.front().mResponse, mNow);
      RecordResponse(aDaemon, aDaemon.mQueries.front());
    } else if (aKind == 15) {
      aDaemon.mEngine.OnReport(mActualReport, mNow);
    } else if (aKind == 16) {
      aDaemon.mEngine.OnTick(mNow);
    } else {
      DeliverState(aDaemon);
    }
  }

  void ChangeEngine(std::uint32_t aKind)
  {
    switch (aKind) {
      case 18:
        mIsUp = false;
        break;
      case 19:
        mIsUp = true;
        mActualReport.mIncarnation += 1;
        mActualReport.mOutputTokensTotal = 0;
        mActualReport.mActivity = engine_report::activity::Loading;
        break;
      case 20:
        mActualReport.mActivity = engine_report::activity::Changing;
        break;
      case 21:
        mActualReport.mActivity = engine_report::activity::Ready;
        mActualReport.mRole =
          mActualReport.mRole == engine_role::Both ? engine_role::Decode : engine_role::Both;
        mActualReport.mOrder = mCommand ? mCommand->mOrder : "";
        break;
      case 22:
        mCommand = recorded_command{ "e1", "o" + std::to_string(++mOrders) };
        break;
      case 23:
        mCommand.reset();
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
      default: // the remaining events deliver the current state to a daemon
        DeliverState(mDaemons[aKind % kDaemons]);
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
      mActualReport.mOutputTokensTotal += aHealthy ? 20 : 0;
      aDaemon.mEngine.OnAttemptEnded(aHealthy ? attempt_health::Answered : attempt_health::Failed,
                                     mNow);
    }
  }

  void SendQuery(daemon& aDaemon)
  {
    aDaemon.mEngine.OnStateQuerySent(mNow);
    state_query query{ mNow, { "e1", std::nullopt, mNow } };
    if (mIsUp) {
      query.mResponse.mReport = mActualReport;
    }
    aDaemon.mQueries.push_back(query);
  }

  /// Delivers the newest response; drops the oldest one when more than three are kept.
  void DeliverResponse(daemon& aDaemon)
  {
    if (aDaemon.mQueries.empty()) {
      return;
    }
    const state_query query = aDaemon.mQueries.back();
    if (aDaemon.mQueries.size() > 3) {
      aDaemon.mQueries.pop_front();
    }
    mNow += std::chrono::milliseconds{ 1 };
    aDaemon.mEngine.OnObserved(query.mResponse, mNow);
    RecordResponse(aDaemon, query);
  }

  static void RecordResponse(daemon& aDaemon, const state_query& aQuery)
  {
    if (aQuery.mResponse.mReport && aQuery.mAskedAt > aDaemon.mObservedAt) {
      aDaemon.mObservedAt = aQuery.mAskedAt;
      aDaemon.mIncarnation = aQuery.mResponse.mReport->mIncarnation;
    }
  }

  void DeliverState(daemon& aDaemon)
  {
    if (aDaemon.mHasCommand && !mCommand) {
      aDaemon.mFaultAt = mNow; // earlier observations may show the role before the command
    }
    aDaemon.mHasCommand = mCommand.has_value();
    aDaemon.mDrains = mCommand || mLeaving || mRow.mIntent == engine_intent::Drain;
    aDaemon.mEngine.OnRow(mRow, mNow);
    aDaemon.mEngine.OnLeaving(mLeaving, mNow);
    aDaemon.mEngine.OnCommand(mCommand, mNow);
  }

  bool AllServe() const
  {
    return std::all_of(mDaemons.begin(), mDaemons.end(), [](const daemon& aDaemon) {
      return aDaemon.mEngine.View().mStatus == engine_status::Serving;
    });
  }

  std::string ViolatedInvariants()
  {
    std::uint64_t sum = 0;
    std::uint64_t largest = 0;
    std::string violations;
    for (daemon& each : mDaemons) {
      const engine_view& view = each.mEngine.View();
      const bool returning =
        view.mStatus == engine_status::Warming || view.mStatus == engine_status::Ramping;
      const bool open = returning || view.mStatus == engine_status::Serving;
      const std::uint64_t limit = each.mEngine.FleetLimit();
      if (view.Admits() && (!open || view.mIncarnation == 0)) {
        violations += "admits without being in service; ";
      }
      if (open && each.mObservedAt <= each.mFaultAt) {
        violations += "in service without a response newer than the fault or the engine command; ";
      }
      if (open && view.mIncarnation != each.mIncarnation) {
        violations += "in service with another incarnation than the newest response; ";
      }
      if (view.Admits() && each.mDrains) {
        violations += "admits although it drains; ";
      }
      if (returning && limit > std::max(2 * each.mLimitBefore, kDaemons * view.mInFlight)) {
        violations += "the limit grew more than twofold; ";
      }
      if (returning) {
        sum += view.mInFlightLimit;
        largest = std::max(largest, limit);
      }
      each.mLimitBefore = limit;
    }
    return sum <= largest ? violations : violations + "the shares exceed the limit; ";
  }

  instant mNow{ std::chrono::seconds{ 100 } };
  engine_row mRow;
  engine_report mActualReport;
  bool mIsUp = true;
  bool mLeaving = false;
  std::optional<recorded_command> mCommand;
  int mOrders = 0;
  std::vector<daemon> mDaemons;
};

} // namespace skylarkwind
