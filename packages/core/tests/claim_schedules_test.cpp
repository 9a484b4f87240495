#include "claim_cluster.h"
#include "schedules.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kCores = 4;
constexpr std::uint64_t kKeys = 3;

request_claims_settings
TwoShards()
{
  request_claims_settings settings;
  settings.mShards = 2;
  return settings;
}

/// Runs one generated schedule and checks every decision.
class claim_schedule
{
public:
  explicit claim_schedule(std::uint64_t aSeed)
    : mCluster{ aSeed, kCores, TwoShards() }
  {
    mCluster.mOnDecision = [this](std::size_t aCore, const claim_decision& aDecision) {
      OnDecision(aCore, aDecision);
    };
    mCluster.Tick();
  }

  void Step(int aKind, std::size_t aCore, std::uint64_t aAmount)
  {
    auto& core = mCluster.mCores[aCore];
    auto& faults = mCluster.mPlatform.mFaults;
    switch (aKind) {
      case 0:
        mCluster.Kill(aCore, aAmount % 2 == 0);
        break;
      case 1:
        mCluster.Start(aCore);
        break;
      case 2:
        core.mCutOff = !core.mCutOff;
        break;
      case 3:
        core.mSilent = !core.mSilent;
        break;
      case 4:
        faults.mOutage = !faults.mOutage;
        break;
      case 5:
        faults.mLoseReply = faults.mLoseReply > 0 ? 0 : 0.4;
        break;
      case 6:
        faults.mLateEffect = faults.mLateEffect > 0 ? 0 : 0.4;
        break;
      case 7:
        faults.mStaleRead = faults.mStaleRead > 0 ? 0 : 0.5;
        break;
      case 8:
        faults.mDelay = milliseconds{ faults.mDelay.count() > 4 ? 4 : 900 };
        break;
      case 9:
        mCluster.mNetwork.mLoseReply = mCluster.mNetwork.mLoseReply > 0 ? 0 : 0.5;
        break;
      case 10:
        mCluster.mNetwork.mLateEffect = mCluster.mNetwork.mLateEffect > 0 ? 0 : 0.5;
        break;
      default:
        break;
    }
    for (std::uint64_t i = 0; i < 1 + aAmount % 3; ++i) {
      Claim(mCluster.mTime.Below(kCores), mCluster.mTime.Below(kKeys), milliseconds{ 10'000 });
      mCluster.Run(milliseconds{ 20 * (aAmount % 30) });
    }
  }

  /// Ends all faults, then checks that every claim has exactly one decision and that every key can
  /// be decided without `claim_unavailable`.
  void Heal()
  {
    mCluster.mPlatform.mFaults = {};
    mCluster.mNetwork = {};
    for (std::size_t i = 0; i < kCores; ++i) {
      mCluster.mCores[i].mCutOff = mCluster.mCores[i].mSilent = false;
      mCluster.Start(i);
    }
    mCluster.Run(seconds{ 20 });
    for (const auto& core : mCluster.mCores) {
      RC_ASSERT(core.mClaims->Idle());
    }
    const std::uint64_t before = mLastRequest;
    for (std::uint64_t key = 0; key < kKeys; ++key) {
      Claim(mCluster.mTime.Below(kCores), key, seconds{ 60 });
    }
    mCluster.Run(seconds{ 2 });
    for (const auto& [number, request] : mRequests) {
      const bool alive = mCluster.mCores[request.mCore].mProcess == request.mProcess;
      RC_ASSERT(request.mDecisions == 1 || (!alive && request.mDecisions == 0));
      RC_ASSERT(number <= before || !request.mUnavailable);
    }
  }

private:
  struct request
  {
    std::size_t mCore = 0;
    process_id mProcess;
    std::uint64_t mKey = 0;
    int mDecisions = 0;
    bool mUnavailable = false;
  };

  void Claim(std::size_t aCore, std::uint64_t aKey, milliseconds aTime)
  {
    if (!mCluster.mCores[aCore].mClaims) {
      return;
    }
    const request_id id{ ++mLastRequest };
    mRequests[id.mValue] = { aCore, mCluster.mCores[aCore].mProcess, aKey };
    const std::string fingerprint = mCluster.mTime.Chance(0.05) ? "other" : "same";
    mCluster.With(aCore, [&](auto& aClaims, auto& aOut) {
      const instant now = mCluster.mTime.Now();
      const auto time = milliseconds{ 500 } + mCluster.mTime.UpTo(aTime);
      aClaims.Claim(id, "key" + std::to_string(aKey), fingerprint, now + time, now, aOut);
    });
  }

  void OnDecision(std::size_t aCore, const claim_decision& aDecision)
  {
    auto& request = mRequests.at(aDecision.mRequest.mValue);
    RC_ASSERT(++request.mDecisions == 1);
    request.mUnavailable = std::holds_alternative<claim_unavailable>(aDecision.mVerdict);
    if (const auto* recorded = std::get_if<claim_recorded>(&aDecision.mVerdict)) {
      RC_ASSERT(mOutcomes.at(request.mKey) == recorded->mBody);
    } else if (std::holds_alternative<claim_granted>(aDecision.mVerdict)) {
      RC_ASSERT(mRuns[request.mKey]++ == 0);
      mCluster.mTime.After(mCluster.mTime.UpTo(seconds{ 3 }),
                           [this, aCore, id = aDecision.mRequest] { Finish(aCore, id); });
    }
  }

  /// Ends the granted request with a random result; some processes never record one.
  void Finish(std::size_t aCore, request_id aRequest)
  {
    const auto& request = mRequests.at(aRequest.mValue);
    if (!mCluster.mCores[aCore].mClaims || mCluster.mCores[aCore].mProcess != request.mProcess) {
      return;
    }
    const auto now = mCluster.mTime.Now();
    const auto way = mCluster.mTime.Below(10);
    mCluster.With(aCore, [&](auto& aClaims, auto& aOut) {
      if (way < 3) {
        mOutcomes[request.mKey] = std::to_string(aRequest.mValue);
        aClaims.Record(aRequest, { 200, {}, mOutcomes[request.mKey] }, now, aOut);
      } else if (way < 5) {
        aClaims.RecordUnknown(aRequest, now, aOut);
      } else if (way < 9) {
        --mRuns[request.mKey];
        aClaims.Withdraw(aRequest, now, aOut);
      }
    });
  }

  claim_cluster mCluster;
  std::map<std::uint64_t, request> mRequests;
  std::map<std::uint64_t, int> mRuns; ///< grants of a key that were not withdrawn
  std::map<std::uint64_t, std::string> mOutcomes;
  std::uint64_t mLastRequest = 0;
};

} // namespace

class claim_schedules_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(claim_schedules_test);
  CPPUNIT_TEST(RunsAtMostOnce);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against a second grant of a key, a claim without a decision or with two, and a wrong
  /// outcome, under any mix of lost and late calls, stale reads, partitions, outages and restarts.
  void RunsAtMostOnce()
  {
    const auto failure = CheckSchedules("claim schedules", 20'261'204, 1'500, [] {
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      const auto steps =
        *rc::gen::container<std::vector<std::tuple<int, std::size_t, std::uint64_t>>>(
          rc::gen::tuple(rc::gen::inRange(0, 14),
                         rc::gen::inRange<std::size_t>(0, kCores),
                         rc::gen::inRange<std::uint64_t>(0, 1'000)));
      claim_schedule schedule{ seed };
      for (const auto& [kind, core, amount] : steps) {
        schedule.Step(kind, core, amount);
      }
      schedule.Heal();
    });
    CPPUNIT_ASSERT_EQUAL(std::string{}, failure);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(claim_schedules_test);

} // namespace skylarkwind
