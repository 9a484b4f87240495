#pragma once

#include "simulated_time.h"
#include "skylarkwind/effects.h"
#include "skylarkwind/events.h"

#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace skylarkwind {

/// Faults of a platform or network; fractions are probabilities per call.
struct fault_mix
{
  bool mOutage = false;                          ///< calls are refused or lost without effect
  double mLoseReply = 0;                         ///< the call takes effect, but its reply is lost
  double mLoseWriteReply = 0;                    ///< the same, for writes only
  double mLateEffect = 0;                        ///< the call takes effect after its timeout
  double mStaleRead = 0;                         ///< a read returns an earlier version
  std::chrono::milliseconds mDelay{ 4 };         ///< maximum delay in each direction
  std::chrono::milliseconds mTimeLimit{ 1'000 }; ///< after this time the caller sees no reply
};

/// Simulated object API with versions and conditional updates, in virtual time.
class object_platform
{
public:
  using reply_function = std::function<void(const platform_replied&)>;

  explicit object_platform(simulated_time& aTime)
    : mTime{ aTime }
  {
  }

  fault_mix mFaults;
  std::uint64_t mReads = 0;
  std::uint64_t mWrites = 0;
  /// Called after each write that took effect: key, value before and after.
  std::function<void(const object_key&, const std::string&, const std::string&)> mOnWrite;

  std::string Value(const object_key& aKey) const
  {
    const auto stored = mObjects.find(Name(aKey));
    return stored == mObjects.end() || stored->second.empty() ? "" : stored->second.back();
  }

  /// Executes a call. With `aCutOff` the caller cannot reach the platform.
  void Call(const call_platform& aCall, bool aCutOff, reply_function aReply)
  {
    const bool write = std::holds_alternative<write_object>(aCall.mOperation);
    ++(write ? mWrites : mReads);
    const platform_replied none{ aCall.mCall, platform_outcome_unknown{ "time limit" } };
    if (mFaults.mOutage || aCutOff) {
      if (!aCutOff && mTime.Chance(0.5)) {
        Reply(Delay(), { aCall.mCall, platform_refused{ "outage" } }, std::move(aReply));
      } else {
        Reply(mFaults.mTimeLimit, none, std::move(aReply));
      }
    } else if (mTime.Chance(mFaults.mLateEffect)) {
      mTime.After(mFaults.mTimeLimit + mTime.UpTo(std::chrono::seconds{ 3 }),
                  [this, aCall] { Execute(aCall.mOperation); });
      Reply(mFaults.mTimeLimit, none, std::move(aReply));
    } else {
      const bool lost =
        mTime.Chance(mFaults.mLoseReply) || (write && mTime.Chance(mFaults.mLoseWriteReply));
      mTime.After(Delay(), [this, aCall, none, lost, reply = std::move(aReply)] {
        const platform_result result = Execute(aCall.mOperation);
        Reply(lost ? mFaults.mTimeLimit : Delay(),
              lost ? none : platform_replied{ aCall.mCall, result },
              reply);
      });
    }
  }

private:
  static std::string Name(const object_key& aKey) { return aKey.mKind + "/" + aKey.mName; }

  std::chrono::nanoseconds Delay() { return mTime.UpTo(mFaults.mDelay); }

  void Reply(std::chrono::nanoseconds aDelay, platform_replied aReplied, reply_function aReply)
  {
    mTime.After(aDelay,
                [reply = std::move(aReply), replied = std::move(aReplied)] { reply(replied); });
  }

  platform_result Execute(const platform_operation& aOperation)
  {
    if (const auto* write = std::get_if<write_object>(&aOperation)) {
      return Write(*write);
    }
    const auto& versions = mObjects[Name(std::get<read_object>(aOperation).mKey)];
    std::size_t version = versions.size();
    if (version > 0 && mTime.Chance(mFaults.mStaleRead)) {
      version -= mTime.Below(std::min<std::size_t>(version, 3) + 1);
    }
    if (version == 0) {
      return object_missing{};
    }
    return object_found{ version, versions[version - 1] };
  }

  platform_result Write(const write_object& aWrite)
  {
    if (aWrite.mValue.size() > 1'000'000) {
      return platform_refused{ "413" };
    }
    auto& versions = mObjects[Name(aWrite.mKey)];
    if (versions.size() != aWrite.mExpectedVersion) {
      return write_conflict{ versions.size() };
    }
    const std::string before = versions.empty() ? "" : versions.back();
    if (versions.size() > 3) {
      versions[versions.size() - 4].clear(); // Reads look back three versions at most.
    }
    versions.push_back(aWrite.mValue);
    if (mOnWrite) {
      mOnWrite(aWrite.mKey, before, aWrite.mValue);
    }
    return write_accepted{ versions.size() };
  }

  simulated_time& mTime;
  std::map<std::string, std::vector<std::string>> mObjects; ///< all versions, by kind and name
};

} // namespace skylarkwind
