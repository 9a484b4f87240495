#include "limit_cluster.h"
#include "schedules.h"

#include <algorithm>
#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr std::size_t kCores = 4;
constexpr double kRate = 12;
const std::vector<std::string> kInFlight{ "account/a" };
const std::vector<std::string> kPerSecond{ "account/r" };

limit_shares_settings
ShortTerms()
{
  limit_shares_settings settings;
  settings.mShards = 1;
  settings.mShareTerm = seconds{ 20 };
  settings.mVmGoneAfter = seconds{ 6 };
  return settings;
}

/// Runs one generated schedule of faults and load, and checks the sums at every write and request.
class limit_schedule
{
public:
  explicit limit_schedule(std::uint64_t aSeed)
    : mCluster{ aSeed, kCores, ShortTerms() }
  {
    SetLimit(20, milliseconds{ 0 });
    mCluster.Tick();
    mCluster.mPlatform.mOnWrite = [this](const auto& /*aKey*/,
                                         const auto& aBefore,
                                         const auto& aAfter) { CheckWrite(aBefore, aAfter); };
  }

  void Step(int aKind, std::size_t aCore, std::uint64_t aAmount)
  {
    auto& faults = mCluster.mPlatform.mFaults;
    auto& core = mCluster.mCores[aCore];
    switch (aKind) {
      case 0:
        mCluster.Kill(aCore);
        break;
      case 1:
        mCluster.Start(aCore);
        break;
      case 2:
        core.mPartitioned = !core.mPartitioned;
        break;
      case 3:
        faults.mOutage = !faults.mOutage;
        break;
      case 4:
        faults.mLoseReply = faults.mLoseReply > 0 ? 0 : 0.4;
        break;
      case 5:
        faults.mLateEffect = faults.mLateEffect > 0 ? 0 : 0.4;
        break;
      case 6:
        faults.mStaleRead = faults.mStaleRead > 0 ? 0 : 0.5;
        break;
      case 7:
        faults.mDelay = milliseconds{ faults.mDelay.count() > 4 ? 4 : 900 };
        break;
      case 8:
        SetLimit(1 + aAmount % 40, seconds{ 3 });
        break;
      case 9:
        mRequestsPerTick[aCore] = aAmount % 4;
        break;
      default:
        break;
    }
    Load(milliseconds{ 100 + 40 * (aAmount % 100) });
  }

  /// Ends all faults; every amount must be returned and then be usable by one daemon.
  void CheckRecovery()
  {
    mCluster.mPlatform.mFaults = {};
    std::fill(std::begin(mRequestsPerTick), std::end(mRequestsPerTick), 0);
    for (std::size_t i = 0; i < kCores; ++i) {
      mCluster.mCores[i].mPartitioned = false;
      mCluster.Start(i);
    }
    SetLimit(10, seconds{ 3 });
    Load(seconds{ 40 });
    RC_ASSERT(mCluster.Stored(0).Sum("c:account/a") == 0U);
    mRequestsPerTick[0] = 3;
    for (int i = 0; i < 100 && mCluster.mCores[0].mInFlight < 10; ++i) {
      Load(milliseconds{ 100 });
    }
    RC_ASSERT(mCluster.mCores[0].mInFlight == 10U);
  }

private:
  void SetLimit(std::uint64_t aLimit, milliseconds aSpread)
  {
    mCluster.SetLimits({ { "account/a", { aLimit, 0 } }, { "account/r", { 0, kRate } } }, aSpread);
  }

  void Load(milliseconds aTime)
  {
    for (const instant end = mCluster.mTime.Now() + aTime; mCluster.mTime.Now() < end;) {
      for (std::size_t i = 0; i < kCores; ++i) {
        for (std::uint64_t n = 0; n < mRequestsPerTick[i]; ++n) {
          // Some requests are nearly as long as the term of the shares.
          const std::uint64_t longest = mCluster.mTime.Chance(0.05) ? 18'000 : 3'000;
          mCluster.Request(i, kInFlight, milliseconds{ 100 + mCluster.mTime.Below(longest) });
          CheckInFlight();
        }
        if (mRequestsPerTick[i] > 0 && mCluster.Request(i, kPerSecond, milliseconds{ 1 })) {
          CheckRate();
        }
      }
      mCluster.Tick();
    }
  }

  /// Checks that the sum of the entries never exceeds the limit in force. After the limit was
  /// lowered, a larger sum may remain but not grow.
  void CheckWrite(const std::string& aBefore, const std::string& aAfter)
  {
    const auto before = aBefore.empty() ? share_object{} : *share_object::Parse(aBefore);
    const auto after = *share_object::Parse(aAfter);
    for (const auto& [limit, amount] : after.mLimits) {
      RC_ASSERT(after.Sum(limit) <= std::max(amount, before.Sum(limit)));
    }
    RC_ASSERT(after.mTableSerial >= before.mTableSerial);
    const auto stored = after.mLimits.find("c:account/a");
    mMaxInFlight = std::max(stored == after.mLimits.end() ? mMaxInFlight : stored->second,
                            after.Sum("c:account/a"));
  }

  void CheckInFlight()
  {
    std::uint64_t inFlight = 0;
    for (const auto& core : mCluster.mCores) {
      inFlight += core.mInFlight > 0 && core.mShares ? InFlight(*core.mShares) : 0;
    }
    RC_ASSERT(inFlight <= mMaxInFlight);
  }

  static std::uint64_t InFlight(const limit_shares& aShares)
  {
    for (const auto& view : aShares.View()) {
      if (view.mLimit == "account/a") {
        return view.mInUse;
      }
    }
    return 0;
  }

  /// Checks that all admissions fit into one token bucket that holds one second of the rate.
  void CheckRate()
  {
    const instant now = mCluster.mTime.Now();
    const double passed = std::chrono::duration<double>{ now - mRefilledAt }.count();
    mTokens = std::min(kRate, mTokens + kRate * passed) - 1;
    mRefilledAt = now;
    RC_ASSERT(mTokens > -1e-6);
  }

  limit_cluster mCluster;
  std::uint64_t mRequestsPerTick[kCores] = { 1, 1, 0, 0 };
  std::uint64_t mMaxInFlight = 20;
  double mTokens = kRate;
  instant mRefilledAt;
};

} // namespace

class limit_schedules_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(limit_schedules_test);
  CPPUNIT_TEST(NeverAboveTheLimit);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against admission above a limit after any combination of lost and late writes, stale
  /// reads, partitions, outages, restarts and changes of the limit, and against amounts that are
  /// not returned afterwards.
  void NeverAboveTheLimit()
  {
    const auto failure = CheckSchedules("limit schedules", 20'261'204, 1'000, [] {
      const auto seed = *rc::gen::arbitrary<std::uint64_t>();
      const auto steps =
        *rc::gen::container<std::vector<std::tuple<int, std::size_t, std::uint64_t>>>(
          rc::gen::tuple(rc::gen::inRange(0, 11),
                         rc::gen::inRange<std::size_t>(0, kCores),
                         rc::gen::inRange<std::uint64_t>(0, 1'000)));
      limit_schedule schedule{ seed };
      for (const auto& [kind, core, amount] : steps) {
        schedule.Step(kind, core, amount);
      }
      schedule.CheckRecovery();
    });
    CPPUNIT_ASSERT_EQUAL(std::string{}, failure);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(limit_schedules_test);

} // namespace skylarkwind
