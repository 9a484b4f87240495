/// Compares three ways to keep a limit of requests in flight over several daemons, in virtual
/// time: the escrow of limit_shares, a fixed split, and a central counter that is written for each
/// request. One daemon gets 80 % of the arrivals; half way another daemon becomes the busy one.
/// Denied requests wait up to 2 s and are tried again at each tick of 20 ms.
///
/// Usage: limit_shares_bench [seconds of virtual time, default 120]

#include "../packages/core/tests/limit_cluster.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <nlohmann/json.hpp>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::uint64_t kLimit = 400;
constexpr std::uint64_t kSeed = 20'261'204;
constexpr seconds kWarmUp{ 10 };
constexpr seconds kPatience{ 2 };
constexpr double kBusyPart = 0.8;
constexpr milliseconds kTick{ 20 };

struct figures
{
  std::uint64_t mPeak = 0; ///< most requests in flight at once
  double mInFlight = 0;    ///< sum over the ticks
  std::uint64_t mTicks = 0;
  std::uint64_t mServed = 0;
  std::uint64_t mRefused = 0;
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
};

/// One way to keep the limit.
class variant
{
public:
  variant(std::size_t aCores)
    : mCores{ aCores }
  {
  }
  virtual ~variant() = default;
  virtual simulated_time& Time() = 0;
  virtual object_platform* Platform() { return nullptr; }
  /// Starts a request if it may start now.
  virtual bool Request(std::size_t aCore, std::chrono::nanoseconds aLength) = 0;
  virtual void Tick() = 0;
  virtual std::uint64_t InFlight() const = 0;
  std::size_t Cores() const { return mCores; }

private:
  std::size_t mCores;
};

class escrow final : public variant
{
public:
  explicit escrow(std::size_t aCores)
    : variant{ aCores }
    , mCluster{ kSeed, aCores, OneShard() }
  {
    mCluster.SetLimits({ { "account/a", { kLimit, 0 } } }, milliseconds{ 0 });
  }
  simulated_time& Time() override { return mCluster.mTime; }
  object_platform* Platform() override { return &mCluster.mPlatform; }
  bool Request(std::size_t aCore, std::chrono::nanoseconds aLength) override
  {
    return mCluster.Request(aCore, { "account/a" }, aLength);
  }
  void Tick() override { mCluster.Tick(); }
  std::uint64_t InFlight() const override { return mCluster.InFlight(); }

private:
  static limit_shares_settings OneShard()
  {
    limit_shares_settings settings;
    settings.mShards = 1;
    return settings;
  }
  limit_cluster mCluster;
};

class fixed_split final : public variant
{
public:
  explicit fixed_split(std::size_t aCores)
    : variant{ aCores }
    , mTime{ kSeed }
    , mHeld(aCores)
  {
  }
  simulated_time& Time() override { return mTime; }
  bool Request(std::size_t aCore, std::chrono::nanoseconds aLength) override
  {
    if (mHeld[aCore] >= kLimit / Cores()) {
      return false;
    }
    ++mHeld[aCore];
    mTime.After(aLength, [this, aCore] { --mHeld[aCore]; });
    return true;
  }
  void Tick() override { mTime.RunUntil(mTime.Now() + kTick); }
  std::uint64_t InFlight() const override
  {
    std::uint64_t sum = 0;
    for (const auto held : mHeld) {
      sum += held;
    }
    return sum;
  }

private:
  simulated_time mTime;
  std::vector<std::uint64_t> mHeld;
};

/// The counter is one object. Each start and each end of a request is one conditional update; a
/// daemon has one update on its way at a time and uses the version of its last reply.
class central_counter final : public variant
{
public:
  explicit central_counter(std::size_t aCores)
    : variant{ aCores }
    , mTime{ kSeed }
    , mPlatform{ mTime }
    , mDaemons(aCores)
  {
  }
  simulated_time& Time() override { return mTime; }
  object_platform* Platform() override { return &mPlatform; }
  /// The request starts when the counter was raised, within its patience.
  bool Request(std::size_t aCore, std::chrono::nanoseconds aLength) override
  {
    mDaemons[aCore].mStarts.push_back({ mTime.Now() + kPatience, aLength });
    return true;
  }
  void Tick() override
  {
    mTime.RunUntil(mTime.Now() + kTick);
    for (std::size_t i = 0; i < mDaemons.size(); ++i) {
      Next(i);
    }
  }
  std::uint64_t InFlight() const override { return mInFlight; }
  std::uint64_t mStarted = 0;
  std::uint64_t mGivenUp = 0;

private:
  struct waiting
  {
    instant mUntil;
    std::chrono::nanoseconds mLength{ 0 };
  };
  struct daemon
  {
    std::deque<waiting> mStarts;
    std::uint64_t mEnds = 0;
    bool mBusy = false;
    bool mKnown = false;
    std::uint64_t mVersion = 0;
    std::uint64_t mCount = 0;
  };

  void Next(std::size_t aCore)
  {
    auto& daemon = mDaemons[aCore];
    while (!daemon.mStarts.empty() && daemon.mStarts.front().mUntil < mTime.Now()) {
      daemon.mStarts.pop_front();
      ++mGivenUp;
    }
    if (daemon.mBusy || (daemon.mEnds == 0 && daemon.mStarts.empty())) {
      return;
    }
    daemon.mBusy = true;
    const object_key key{ "counter", "a" };
    if (!daemon.mKnown) {
      Call(aCore, read_object{ key }, 0);
    } else if (daemon.mEnds > 0) {
      Call(aCore, write_object{ key, daemon.mVersion, std::to_string(daemon.mCount - 1) }, -1);
    } else if (daemon.mCount < kLimit) {
      Call(aCore, write_object{ key, daemon.mVersion, std::to_string(daemon.mCount + 1) }, 1);
    } else {
      daemon.mBusy = daemon.mKnown = false; // Full: reads again at the next tick.
    }
  }

  void Call(std::size_t aCore, platform_operation aOperation, int aChange)
  {
    mPlatform.Call(
      { {}, std::move(aOperation) }, false, [this, aCore, aChange](const auto& aReply) {
        auto& daemon = mDaemons[aCore];
        daemon.mBusy = false;
        if (const auto* found = std::get_if<object_found>(&aReply.mResult)) {
          daemon.mKnown = true;
          daemon.mVersion = found->mVersion;
          daemon.mCount = std::stoull(found->mValue);
        } else if (std::holds_alternative<object_missing>(aReply.mResult)) {
          daemon.mKnown = true;
        } else if (const auto* accepted = std::get_if<write_accepted>(&aReply.mResult)) {
          daemon.mVersion = accepted->mVersion;
          daemon.mCount += static_cast<std::uint64_t>(aChange);
          Finish(aCore, aChange);
        } else {
          daemon.mKnown = false;
        }
        Next(aCore);
      });
  }

  void Finish(std::size_t aCore, int aChange)
  {
    auto& daemon = mDaemons[aCore];
    if (aChange < 0) {
      --daemon.mEnds;
      return;
    }
    if (daemon.mStarts.empty()) {
      ++daemon.mEnds; // The request gave up meanwhile.
      return;
    }
    ++mInFlight;
    ++mStarted;
    mTime.After(daemon.mStarts.front().mLength, [this, aCore] {
      --mInFlight;
      ++mDaemons[aCore].mEnds;
    });
    daemon.mStarts.pop_front();
  }

  simulated_time mTime;
  object_platform mPlatform;
  std::vector<daemon> mDaemons;
  std::uint64_t mInFlight = 0;
};

/// Arrivals of one run: about one second of work each, `aOffered` times the limit.
class arrivals
{
public:
  arrivals(variant& aVariant, double aOffered, seconds aTime)
    : mVariant{ aVariant }
    , mPerTick{ aOffered * kLimit * std::chrono::duration<double>{ kTick }.count() }
    , mTime{ aTime }
    , mQueues(aVariant.Cores())
  {
  }

  figures Run()
  {
    auto& time = mVariant.Time();
    const instant start = time.Now() + kWarmUp;
    const instant end = start + mTime;
    while (time.Now() < end) {
      mMeasured = time.Now() >= start;
      const std::size_t busy = time.Now() < start + mTime / 2 ? 0 : 1;
      Arrive(busy);
      const call_counts before = Count();
      mVariant.Tick();
      const std::uint64_t inFlight = mVariant.InFlight();
      mFigures.mPeak = std::max(mFigures.mPeak, inFlight);
      if (mMeasured) {
        const call_counts after = Count();
        mFigures.mReads += after.mReads - before.mReads;
        mFigures.mWrites += after.mWrites - before.mWrites;
        mFigures.mInFlight += static_cast<double>(inFlight);
        ++mFigures.mTicks;
      }
    }
    return mFigures;
  }

private:
  struct call_counts
  {
    std::uint64_t mReads = 0;
    std::uint64_t mWrites = 0;
  };
  struct waiting
  {
    instant mUntil;
    std::chrono::nanoseconds mLength{ 0 };
  };

  call_counts Count()
  {
    const auto* platform = mVariant.Platform();
    return platform == nullptr ? call_counts{} : call_counts{ platform->mReads, platform->mWrites };
  }

  void Arrive(std::size_t aBusy)
  {
    auto& time = mVariant.Time();
    for (mDue += mPerTick; mDue >= 1; mDue -= 1) {
      const bool busy = time.Chance(kBusyPart);
      const std::size_t core = busy ? aBusy : time.Below(mVariant.Cores());
      const auto length = milliseconds{ 200 } + time.UpTo(milliseconds{ 1'600 });
      mQueues[core].push_back({ time.Now() + kPatience, length });
    }
    for (std::size_t core = 0; core < mQueues.size(); ++core) {
      Admit(core);
    }
  }

  void Admit(std::size_t aCore)
  {
    auto& queue = mQueues[aCore];
    const instant now = mVariant.Time().Now();
    while (!queue.empty()) {
      if (queue.front().mUntil < now) {
        mFigures.mRefused += mMeasured ? 1 : 0;
      } else if (mVariant.Request(aCore, queue.front().mLength)) {
        mFigures.mServed += mMeasured ? 1 : 0;
      } else {
        return;
      }
      queue.pop_front();
    }
  }

  variant& mVariant;
  double mPerTick;
  seconds mTime;
  double mDue = 0;
  bool mMeasured = false;
  std::vector<std::deque<waiting>> mQueues;
  figures mFigures;
};

void
Print(const char* aName,
      std::size_t aCores,
      double aOffered,
      const figures& aFigures,
      seconds aTime)
{
  const auto time = static_cast<double>(aTime.count());
  const double mean = aFigures.mInFlight / static_cast<double>(aFigures.mTicks);
  std::printf(
    "%7zu  %7.2f  %-15s  %8llu  %10.1f %%  %9.1f  %9.1f\n",
    aCores,
    aOffered,
    aName,
    static_cast<unsigned long long>(aFigures.mPeak > kLimit ? aFigures.mPeak - kLimit : 0),
    100 * mean / (kLimit * std::min(1.0, aOffered)),
    static_cast<double>(aFigures.mWrites) / time,
    static_cast<double>(aFigures.mReads) / time);
}

template<class way>
void
Measure(const char* aName, std::size_t aCores, double aOffered, seconds aTime)
{
  way chosen{ aCores };
  Print(aName, aCores, aOffered, arrivals{ chosen, aOffered, aTime }.Run(), aTime);
}

} // namespace

} // namespace skylarkwind

int
main(int aArgc, char** aArgv)
{
  using namespace skylarkwind;
  const seconds time{ std::clamp(aArgc > 1 ? std::atoi(aArgv[1]) : 120, 10, 600) };
  std::printf("limit %llu, seed %llu, %lld s of virtual time\n",
              static_cast<unsigned long long>(kLimit),
              static_cast<unsigned long long>(kSeed),
              static_cast<long long>(time.count()));
  std::printf("daemons  offered  variant          over-adm   utilisation   writes/s    reads/s\n");
  for (const std::size_t cores : { 8, 50 }) {
    for (const double offered : { 0.8, 1.5 }) {
      Measure<escrow>("escrow", cores, offered, time);
      Measure<fixed_split>("fixed split", cores, offered, time);
      Measure<central_counter>("central counter", cores, offered, time);
    }
  }
  return 0;
}
