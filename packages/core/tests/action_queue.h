#pragma once

#include "skylarkwind/clock.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

namespace skylarkwind {

/// Runs actions in the order of simulated time.
class action_queue
{
public:
  void At(std::chrono::nanoseconds aAfter, std::function<void()> aAction)
  {
    mEvents.push({ mNow + aAfter, ++mOrder, std::move(aAction) });
  }

  void Run(std::chrono::nanoseconds aTime)
  {
    const auto end = mNow + aTime;
    while (!mEvents.empty() && mEvents.top().mAt <= end) {
      auto next = std::move(const_cast<timed&>(mEvents.top()));
      mEvents.pop();
      mNow = next.mAt;
      next.mAction();
    }
    mNow = end;
  }

  instant mNow{ std::chrono::seconds{ 1 } };

private:
  struct timed
  {
    instant mAt;
    std::uint64_t mOrder = 0;
    std::function<void()> mAction;
    bool operator<(const timed& aOther) const
    {
      return std::tie(aOther.mAt, aOther.mOrder) < std::tie(mAt, mOrder);
    }
  };

  std::priority_queue<timed> mEvents;
  std::uint64_t mOrder = 0;
};

} // namespace skylarkwind
