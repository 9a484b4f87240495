#include "node_world.h"
#include "schedules.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

namespace {

using ms = std::chrono::milliseconds;

enum class node_fault
{
  KillDaemon,
  PauseDaemon,
  CutDataCentres,
  CutFromPlatform,
  LostReplies,
  LateEffects,
  SlowPlatform,
  Outage,
  StaleReads,
  LateMessages,
  RepeatedMessages,
  OperatorRace,
  VersionEdit,
  EngineCrash,
  EngineSilent,
  ServiceCrash,
  LostOrderReplies,
  EngineLeaves,
  Shutdown
};
constexpr int kNodeFaults = 19;

/// Kind, start within its window, length (ms) and target.
using fault_step = std::tuple<int, int, int, std::size_t>;

constexpr ms kWindow{ 10'000 };
constexpr std::size_t kFaultsPerWindow = 2; ///< concurrent faults in one window

/// Drives a `node_world` through faults, two per window, under a steady load.
class node_schedule
{
public:
  explicit node_schedule(std::uint64_t aSeed)
    : mWorld(Settings(aSeed))
  {
  }

  /// Returns the first violation; empty when there is none.
  std::string Run(const std::vector<fault_step>& aFaults)
  {
    mWorld.Run(ms{ 8'000 });
    std::size_t windows = (aFaults.size() + kFaultsPerWindow - 1) / kFaultsPerWindow;
    for (std::size_t i = 0; i < aFaults.size(); ++i) {
      const auto& [kind, at, length, target] = aFaults[i];
      const auto start = kWindow * static_cast<int>(i / kFaultsPerWindow) + ms{ at };
      const auto fault = static_cast<node_fault>(kind);
      mWorld.mTime.After(start, [this, fault, target = target] { Begin(fault, target); });
      mWorld.mTime.After(start + ms{ length },
                         [this, fault, target = target] { End(fault, target); });
    }
    Load(kWindow * static_cast<int>(windows));
    Load(ms{ 6'000 }); // The faults have ended.
    for (int i = 0; i < 110 && mWorld.mViolations.empty(); ++i) {
      mWorld.Run(ms{ 100 });
      mWorld.CheckNow();
    }
    CheckEnds();
    return mWorld.mViolations.empty() ? std::string{} : mWorld.mViolations.front();
  }

  node_world mWorld;

private:
  static node_world_settings Settings(std::uint64_t aSeed)
  {
    node_world_settings settings;
    settings.mSeed = aSeed;
    settings.mLimit = 2; // The load must reach the limit, or the check of the limit has no effect.
    settings.mTick = ms{ 50 };
    settings.mDaemons = aSeed % 3 == 0   ? std::vector<std::string>{ "a", "a", "b" }
                        : aSeed % 3 == 1 ? std::vector<std::string>{ "a", "a", "b", "b" }
                                         : std::vector<std::string>{ "a", "b" };
    settings.mEngines = { "a", "a", "b" };
    settings.mTrace = std::getenv("SKYLARKWIND_TRACE") != nullptr; // NOLINT(concurrency-mt-unsafe)
    return settings;
  }

  void Load(ms aTime)
  {
    for (const auto end = mWorld.mTime.Now() + aTime;
         mWorld.mTime.Now() < end && mWorld.mViolations.empty();) {
      if (mWorld.mTime.Chance(0.4)) {
        Send();
      }
      mWorld.Run(ms{ 100 });
      mWorld.CheckNow();
    }
  }

  void Send()
  {
    const auto daemon = mWorld.mTime.Below(mWorld.mDaemons.size());
    if (!mWorld.mDaemons[daemon].mNode) {
      return;
    }
    const auto kind = mWorld.mTime.Below(8);
    if (kind < 3) {
      mWorld.Order(daemon, "k" + std::to_string(mWorld.mTime.Below(40)));
    } else if (kind == 3) {
      ContinueBroken(daemon);
    } else {
      mWorld.Generate(daemon, 1 + mWorld.mTime.Below(60), kind < 7);
    }
  }

  /// Continues, at `aDaemon`, a stream whose daemon was killed or restarted.
  void ContinueBroken(std::size_t aDaemon)
  {
    for (auto& [number, caller] : mWorld.mCallers) {
      const auto& served = mWorld.mDaemons[caller.mDaemon];
      const bool broken = !served.mNode || served.mSelf.mStartId != caller.mProcess;
      if (broken && caller.mEnds == 0 && !caller.mResumeToken.empty()) {
        const auto brokenNumber = number;
        ++caller.mEnds;
        mWorld.Continue(aDaemon, brokenNumber);
        return;
      }
    }
  }

  void SetPair(const std::string& aFrom, const std::string& aTo, bool aPartitioned)
  {
    if (aPartitioned) {
      mWorld.mPartitions.insert({ aFrom, aTo });
    } else {
      mWorld.mPartitions.erase({ aFrom, aTo });
      mWorld.mFaultsEnded = mWorld.mTime.Now();
    }
  }

  void Begin(node_fault aFault, std::size_t aTarget)
  {
    const auto daemon = aTarget % mWorld.mDaemons.size();
    auto& engine = mWorld.mBackends[aTarget % mWorld.mSettings.mEngines.size()];
    auto& faults = mWorld.mPlatform.mFaults;
    const std::string centre = aTarget % 2 == 0 ? "a" : "b";
    mWorld.Note("fault", "begins: " + std::to_string(static_cast<int>(aFault)));
    switch (aFault) {
      case node_fault::KillDaemon:
        mWorld.Kill(daemon);
        return;
      case node_fault::PauseDaemon:
        mWorld.Pause(daemon);
        return;
      case node_fault::CutDataCentres:
        SetPair("a", "b", true);
        return;
      case node_fault::CutFromPlatform:
        SetPair(centre, "platform", true);
        return;
      case node_fault::LostReplies:
        faults.mLoseReply = 0.3;
        return;
      case node_fault::LateEffects:
        faults.mLateEffect = 0.2;
        return;
      case node_fault::SlowPlatform:
        faults.mDelay = ms{ 450 };
        return;
      case node_fault::Outage:
        faults.mOutage = true;
        return;
      case node_fault::StaleReads:
        faults.mStaleRead = 0.3;
        return;
      case node_fault::LateMessages:
        mWorld.mDelayProbability = 0.2;
        return;
      case node_fault::RepeatedMessages:
        mWorld.mDuplicateProbability = 0.5;
        return;
      case node_fault::OperatorRace:
        mWorld.SetIntent("operator 1", 0, aTarget % 2 == 0);
        mWorld.SetIntent("operator 2", 1, aTarget % 3 == 0);
        return;
      case node_fault::VersionEdit:
        mWorld.Edit("operator", [](nlohmann::json& aTable) {
          auto& version = aTable["models"][0]["version"];
          version = std::to_string(std::stoi(version.get<std::string>()) + 1);
        });
        return;
      case node_fault::EngineCrash:
        engine.Crash(mWorld.mTime.Now(), ms{ 3'000 });
        return;
      case node_fault::EngineSilent:
        engine.mSilent = true;
        return;
      case node_fault::ServiceCrash:
        mWorld.mBackends.back().mCrashesInRun = true;
        return;
      case node_fault::LostOrderReplies:
        mWorld.mLoseOrderReply = 0.5;
        return;
      case node_fault::EngineLeaves:
        engine.mListed = false;
        return;
      case node_fault::Shutdown:
        if (mWorld.mDaemons[daemon].mNode) {
          mWorld.Shutdown(daemon);
        }
        return;
    }
  }

  void End(node_fault aFault, std::size_t aTarget)
  {
    const auto daemon = aTarget % mWorld.mDaemons.size();
    auto& engine = mWorld.mBackends[aTarget % mWorld.mSettings.mEngines.size()];
    auto& faults = mWorld.mPlatform.mFaults;
    mWorld.Note("fault", "ends: " + std::to_string(static_cast<int>(aFault)));
    switch (aFault) {
      case node_fault::KillDaemon:
      case node_fault::Shutdown:
        if (!mWorld.mDaemons[daemon].mNode || mWorld.mDaemons[daemon].mStopped) {
          mWorld.Start(daemon);
        }
        return;
      case node_fault::PauseDaemon:
        mWorld.Resume(daemon);
        return;
      case node_fault::CutDataCentres:
        SetPair("a", "b", false);
        return;
      case node_fault::CutFromPlatform:
        SetPair(aTarget % 2 == 0 ? "a" : "b", "platform", false);
        return;
      case node_fault::EngineSilent:
        engine.mSilent = false;
        return;
      case node_fault::EngineLeaves:
        engine.mListed = true;
        return;
      case node_fault::LateMessages:
        mWorld.mDelayProbability = 0;
        return;
      case node_fault::RepeatedMessages:
        mWorld.mDuplicateProbability = 0;
        return;
      case node_fault::LostOrderReplies:
        mWorld.mLoseOrderReply = 0;
        return;
      case node_fault::OperatorRace:
        mWorld.SetIntent("operator 1", 0, false);
        mWorld.SetIntent("operator 2", 1, false);
        return;
      default:
        faults = {};
        mWorld.mFaultsEnded = mWorld.mTime.Now();
    }
  }

  /// Checks that every request of a process that is still running has ended.
  void CheckEnds()
  {
    for (const auto& [number, caller] : mWorld.mCallers) {
      const auto& served = mWorld.mDaemons[caller.mDaemon];
      const bool lives = served.mNode && served.mSelf.mStartId == caller.mProcess;
      if (lives && caller.mEnds == 0) {
        mWorld.ReportViolation("c" + std::to_string(number) + " never ended");
      }
    }
  }
};

} // namespace

class node_schedule_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(node_schedule_test);
  CPPUNIT_TEST(Schedules);
  CPPUNIT_TEST_SUITE_END();

public:
  // Guards against combinations of two simultaneous faults that violate an invariant of the daemon.
  void Schedules()
  {
    const auto result =
      CheckSchedules("node schedules", 20'261'204, 100, [this](std::uint32_t aSeed) {
        const auto faults = *rc::gen::container<std::vector<fault_step>>(
          4,
          rc::gen::tuple(rc::gen::inRange(0, kNodeFaults),
                         rc::gen::inRange(0, 3'000),
                         rc::gen::inRange(500, 6'000),
                         rc::gen::inRange<std::size_t>(0, 12)));
        node_schedule schedule{ aSeed };
        const auto violation = schedule.Run(faults);
        mRequests += schedule.mWorld.mCallers.size();
        mAttempts += schedule.mWorld.mAttemptsStarted;
        mOrders += schedule.mWorld.mOrdersAccepted;
        for (const auto& [number, caller] : schedule.mWorld.mCallers) {
          mComplete += caller.mComplete ? 1 : 0;
        }
        for (const auto& line : schedule.mWorld.mTrace) {
          std::cerr << line << "\n";
        }
        if (!violation.empty()) {
          RC_FAIL(violation);
        }
      });
    std::cout << mRequests << " requests, " << mComplete << " completed, " << mAttempts
              << " attempts, " << mOrders << " engine orders taken\n";
    CPPUNIT_ASSERT_EQUAL(std::string{}, result);
    CPPUNIT_ASSERT(mComplete > mRequests / 4 && mOrders > 0);
  }

private:
  std::uint64_t mRequests = 0;
  std::uint64_t mComplete = 0;
  std::uint64_t mAttempts = 0;
  std::uint64_t mOrders = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_schedule_test);

} // namespace skylarkwind
