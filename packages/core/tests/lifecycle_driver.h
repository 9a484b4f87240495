#pragma once

#include "skylarkwind/engine_lifecycle.h"

#include <string>

namespace skylarkwind {

/// Drives one engine_lifecycle with a simulated clock; each step advances it by 10 ms.
class lifecycle_driver
{
public:
  explicit lifecycle_driver(ramp_share aShare = {})
    : mContext{ aShare, 0.0 }
    , mEngine(Row(), lifecycle_settings{}, mNow)
  {
    mEngine.OnContext(mContext);
    mReport.mName = "e1";
    mReport.mIncarnation = 5;
    mReport.mService = "stones";
    mReport.mModel = "m1";
    mReport.mVersion = "1";
    mReport.mRole = engine_role::Decode;
  }

  static engine_row Row()
  {
    engine_row row;
    row.mName = "e1";
    row.mAddress = "10.0.0.1:80";
    row.mDataCentre = "a";
    row.mService = "stones";
    row.mModel = "m1";
    return row;
  }

  static recorded_command Command(const std::string& aId)
  {
    recorded_command order;
    order.mEngine = "e1";
    order.mOrder = aId;
    order.mRole = engine_role::Prefill;
    return order;
  }

  instant Step() { return mNow += std::chrono::milliseconds{ 10 }; }

  void Observe()
  {
    const instant asked = Step();
    mEngine.OnStateQuerySent(asked);
    mEngine.OnObserved({ "e1", mReport, asked }, Step());
  }

  void Tick(std::chrono::milliseconds aAfter)
  {
    mNow += aAfter;
    mEngine.OnTick(mNow);
  }

  void Complete(int aRequests, bool aHealthy = true)
  {
    for (int i = 0; i < aRequests; ++i) {
      mEngine.OnAttemptStarted(Step());
    }
    for (int i = 0; i < aRequests; ++i) {
      mEngine.OnAttemptEnded(aHealthy ? attempt_health::Answered : attempt_health::Failed, Step());
    }
  }

  /// Brings a new engine to `aStatus` with as few events as possible.
  void Reach(engine_status aStatus)
  {
    if (aStatus == engine_status::Absent) {
      return;
    }
    Observe();
    if (aStatus == engine_status::Warming) {
      return;
    }
    Complete(1);
    if (aStatus == engine_status::Ramping) {
      return;
    }
    Complete(2);
    Complete(4);
    if (aStatus == engine_status::Serving) {
      return;
    }
    if (aStatus == engine_status::Draining) {
      mEngine.OnAttemptStarted(Step());
      mEngine.OnAttemptStarted(Step());
    }
    mEngine.OnCommand(Command("o1"), Step());
    if (aStatus == engine_status::Changing) {
      mReport.mActivity = engine_report::activity::Changing;
      Observe();
    } else if (aStatus == engine_status::Observed) {
      mReport.mOrder = "o1";
      Observe();
    }
  }

  engine_status Status() const { return mEngine.View().mStatus; }

  instant mNow{ std::chrono::seconds{ 100 } };
  lifecycle_context mContext;
  engine_lifecycle mEngine;
  engine_report mReport;
};

} // namespace skylarkwind
