#pragma once

#include "skylarkwind/clock.h"

#include <chrono>
#include <functional>
#include <map>
#include <random>

namespace skylarkwind {

/// Virtual time with a queue of scheduled actions and one random generator for the whole schedule.
class simulated_time
{
public:
  explicit simulated_time(std::uint64_t aSeed)
    : mRandom{ aSeed }
  {
  }

  instant Now() const { return mNow; }
  wall_instant Wall() const
  {
    return wall_instant{ std::chrono::duration_cast<std::chrono::milliseconds>(
      mNow.time_since_epoch()) };
  }

  void After(std::chrono::nanoseconds aDelay, std::function<void()> aAction)
  {
    mQueue.emplace(mNow + aDelay, std::move(aAction));
  }

  void RunUntil(instant aTime)
  {
    while (!mQueue.empty() && mQueue.begin()->first <= aTime) {
      auto next = mQueue.extract(mQueue.begin());
      mNow = std::max(mNow, next.key());
      next.mapped()();
    }
    mNow = aTime;
  }

  bool Chance(double aProbability)
  {
    return std::uniform_real_distribution<>{ 0, 1 }(mRandom) < aProbability;
  }
  std::uint64_t Below(std::uint64_t aBound)
  {
    return std::uniform_int_distribution<std::uint64_t>{ 0, aBound - 1 }(mRandom);
  }
  std::chrono::nanoseconds UpTo(std::chrono::nanoseconds aDuration)
  {
    return std::chrono::nanoseconds{ static_cast<std::int64_t>(
      Below(static_cast<std::uint64_t>(aDuration.count()) + 1)) };
  }

private:
  instant mNow{ std::chrono::seconds{ 1'000 } };
  std::multimap<instant, std::function<void()>> mQueue;
  std::mt19937_64 mRandom;
};

} // namespace skylarkwind
