#pragma once

#include "skylarkwind/effects.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace skylarkwind {

/// The platform's object API in simulated time, with outages, stale reads and restores of older
/// data.
class document_platform
{
public:
  struct stored
  {
    std::uint64_t mVersion = 0;
    std::string mValue;
  };

  const stored* Find(const object_key& aKey) const
  {
    const auto found = mObjects.find(Text(aKey));
    return found == mObjects.end() || found->second.empty() ? nullptr : &found->second.back();
  }

  void Write(const object_key& aKey, std::string aValue)
  {
    const auto* last = Find(aKey);
    mObjects[Text(aKey)].push_back({ last == nullptr ? 1 : last->mVersion + 1, std::move(aValue) });
    std::vector<waiting> woken;
    std::erase_if(mWaiting, [&](const waiting& aWaiting) {
      const bool wakes = aWaiting.mKey == aKey && Find(aKey)->mVersion > aWaiting.mAfter;
      if (wakes) {
        woken.push_back(aWaiting);
      }
      return wakes;
    });
    for (const auto& each : woken) {
      Reply(each, object_found{ Find(aKey)->mVersion, Find(aKey)->mValue });
    }
  }

  /// Reverts up to `aSteps` writes of each object.
  void Restore(std::size_t aSteps)
  {
    for (auto& [key, versions] : mObjects) {
      versions.resize(versions.size() - std::min(aSteps, versions.size()));
    }
  }

  void SetOutage(bool aOutage)
  {
    mOutage = aOutage;
    if (aOutage) {
      for (const auto& each : std::exchange(mWaiting, {})) {
        Reply(each, platform_outcome_unknown{ "the connection was closed" });
      }
    }
  }

  /// Drops the calls of a daemon whose process has ended.
  void Forget(std::size_t aDaemon)
  {
    std::erase_if(mWaiting, [&](const waiting& aWaiting) { return aWaiting.mDaemon == aDaemon; });
    std::erase_if(mOpen, [&](const auto& aOpen) { return aOpen.first.first == aDaemon; });
  }

  void Call(std::size_t aDaemon, std::uint64_t aStart, const call_platform& aCall)
  {
    ++mCalls;
    waiting call{ aDaemon, aStart, aCall.mCall, {}, 0 };
    const auto* watch = std::get_if<watch_object>(&aCall.mOperation);
    call.mKey = watch != nullptr ? watch->mKey : std::get<read_object>(aCall.mOperation).mKey;
    mMaxPendingCalls = std::max(mMaxPendingCalls, ++mOpen[{ aDaemon, Text(call.mKey) }]);
    if (mOutage || mUnreachableFrom.contains(aDaemon)) {
      Reply(call, platform_outcome_unknown{ "outage" }, std::chrono::milliseconds{ 200 });
      return;
    }
    const auto* found = Find(call.mKey);
    if (found == nullptr) {
      Reply(call, object_missing{});
    } else if (watch == nullptr) {
      if (mRandom() % 100 < mStalePercent) {
        found = &mObjects[Text(call.mKey)][mRandom() % mObjects[Text(call.mKey)].size()];
      }
      ++mReads;
      Reply(call, object_found{ found->mVersion, found->mValue });
    } else if (found->mVersion > watch->mAfterVersion) {
      Reply(call, object_found{ found->mVersion, found->mValue });
    } else {
      call.mAfter = watch->mAfterVersion;
      Wait(call, watch->mWait);
    }
  }

  bool mOutage = false;
  std::uint32_t mStalePercent = 0;
  std::map<std::size_t, bool> mUnreachableFrom;
  std::uint64_t mCalls = 0;
  std::uint64_t mReads = 0;
  int mMaxPendingCalls = 0; ///< highest number of pending calls of one daemon for one object
  std::mt19937_64 mRandom;
  std::function<void(std::chrono::nanoseconds, std::function<void()>)> mSchedule;
  std::function<void(std::size_t, std::uint64_t, call_id, platform_result)> mReply;

private:
  struct waiting
  {
    std::size_t mDaemon = 0;
    std::uint64_t mStart = 0;
    call_id mCall;
    object_key mKey;
    std::uint64_t mAfter = 0;
  };

  static std::string Text(const object_key& aKey) { return aKey.mKind + "/" + aKey.mName; }

  void Wait(const waiting& aCall, std::chrono::milliseconds aTime)
  {
    mWaiting.push_back(aCall);
    mSchedule(aTime, [this, aCall] {
      const auto ended = std::erase_if(mWaiting, [&](const waiting& aWaiting) {
        return aWaiting.mDaemon == aCall.mDaemon && aWaiting.mStart == aCall.mStart &&
               aWaiting.mCall.mNumber == aCall.mCall.mNumber;
      });
      if (ended > 0) {
        Reply(aCall, object_unchanged{});
      }
    });
  }

  void Reply(const waiting& aCall,
             platform_result aResult,
             std::chrono::milliseconds aDelay = std::chrono::milliseconds{ 3 })
  {
    mSchedule(aDelay, [this, aCall, result = std::move(aResult)]() mutable {
      const auto open = mOpen.find({ aCall.mDaemon, Text(aCall.mKey) });
      if (open != mOpen.end()) {
        --open->second;
      }
      mReply(aCall.mDaemon, aCall.mStart, aCall.mCall, std::move(result));
    });
  }

  std::map<std::string, std::vector<stored>> mObjects; ///< by kind/name
  std::vector<waiting> mWaiting;
  std::map<std::pair<std::size_t, std::string>, int> mOpen;
};

} // namespace skylarkwind
