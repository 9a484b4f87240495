#pragma once

#include "../src/limit_shares_impl_p.h"
#include "fake_membership.h"
#include "object_platform.h"

#include <memory>
#include <string>
#include <vector>

namespace skylarkwind {

/// Simulates the limit shares of several daemons that share one platform, in virtual time, with
/// requests that hold a limit for a given time.
class limit_cluster
{
public:
  struct core
  {
    std::string mVm;
    std::uint64_t mStartId = 0;
    std::unique_ptr<fake_membership> mMembers;
    std::unique_ptr<limit_shares_impl> mShares; ///< empty while the process is down
    bool mPartitioned = false;
    std::uint64_t mInFlight = 0;
    std::uint64_t mGranted = 0;
    std::uint64_t mDenied = 0;
  };

  limit_cluster(std::uint64_t aSeed, std::size_t aCores, limit_shares_settings aSettings)
    : mTime{ aSeed }
    , mPlatform{ mTime }
    , mSettings{ std::move(aSettings) }
    , mCores(aCores)
  {
    for (std::size_t i = 0; i < aCores; ++i) {
      mCores[i].mVm = "vm" + std::to_string(i);
      Start(i);
    }
  }

  limit_cluster(const limit_cluster&) = delete;
  limit_cluster& operator=(const limit_cluster&) = delete;

  simulated_time mTime;
  object_platform mPlatform;
  limit_shares_settings mSettings;
  std::vector<core> mCores;
  std::vector<limit_row> mRows;
  std::uint64_t mSerial = 0;

  void Start(std::size_t aCore)
  {
    auto& core = mCores[aCore];
    if (core.mShares) {
      return;
    }
    auto settings = mSettings;
    settings.mSelf = { core.mVm, ++core.mStartId };
    settings.mRandomSeed = mTime.Below(1'000'000);
    core.mMembers = std::make_unique<fake_membership>(settings.mSelf, Live());
    core.mShares = std::make_unique<limit_shares_impl>(settings, *core.mMembers);
    core.mShares->SetLimits(mSerial, mRows, mTime.Now());
  }

  void Kill(std::size_t aCore)
  {
    auto& core = mCores[aCore];
    core.mShares.reset();
    core.mInFlight = 0;
    for (auto& other : mCores) {
      other.mMembers->mDead.push_back({ core.mVm, core.mStartId });
    }
  }

  /// Delivers a table to each core after a random time up to `aSpread`.
  void SetLimits(std::vector<limit_row> aRows, std::chrono::milliseconds aSpread)
  {
    mRows = std::move(aRows);
    ++mSerial;
    for (std::size_t i = 0; i < mCores.size(); ++i) {
      mTime.After(mTime.UpTo(aSpread), [this, i, rows = mRows, serial = mSerial] {
        if (mCores[i].mShares && serial == std::max(serial, mSerial)) {
          mCores[i].mShares->SetLimits(serial, rows, mTime.Now());
        }
      });
    }
  }

  /// Makes one request that holds all limits for `aLength`; returns whether it was admitted.
  bool Request(std::size_t aCore,
               const std::vector<std::string>& aLimits,
               std::chrono::nanoseconds aLength)
  {
    auto& core = mCores[aCore];
    if (!core.mShares) {
      return false;
    }
    const instant ends = mTime.Now() + aLength;
    const auto decision = core.mShares->TryAcquire(aLimits, ends, mTime.Now());
    const auto* ticket = std::get_if<limit_ticket>(&decision);
    if (ticket == nullptr) {
      ++core.mDenied;
      return false;
    }
    ++core.mGranted;
    ++core.mInFlight;
    mTime.After(aLength, [this, aCore, held = *ticket, startId = core.mStartId] {
      auto& holder = mCores[aCore];
      if (holder.mShares && holder.mStartId == startId) {
        holder.mShares->Release(held, mTime.Now());
        --holder.mInFlight;
      }
    });
    return true;
  }

  /// Advances time by one tick of the driver.
  void Tick()
  {
    mTime.RunUntil(mTime.Now() + std::chrono::milliseconds{ 20 });
    for (std::size_t i = 0; i < mCores.size(); ++i) {
      if (mCores[i].mShares) {
        effect_list effects;
        mCores[i].mShares->OnTick(mTime.Now(), effects);
        ApplyEffects(i, effects);
      }
    }
    if (++mTicks % 50 == 0) {
      DeliverVmList();
    }
  }

  void Run(std::chrono::milliseconds aTime)
  {
    for (const instant end = mTime.Now() + aTime; mTime.Now() < end;) {
      Tick();
    }
  }

  void ApplyEffects(std::size_t aCore, const effect_list& aEffects)
  {
    for (const auto& effect : aEffects) {
      if (const auto* call = std::get_if<call_platform>(&effect)) {
        mPlatform.Call(*call,
                       mCores[aCore].mPartitioned,
                       [this, aCore, startId = mCores[aCore].mStartId](const auto& aReply) {
                         auto& core = mCores[aCore];
                         if (core.mShares && core.mStartId == startId) {
                           effect_list effects;
                           core.mShares->OnPlatformReply(aReply, mTime.Now(), effects);
                           ApplyEffects(aCore, effects);
                         }
                       });
      }
    }
  }

  std::uint64_t InFlight() const
  {
    std::uint64_t sum = 0;
    for (const auto& core : mCores) {
      sum += core.mInFlight;
    }
    return sum;
  }

  share_object Stored(std::uint32_t aShard) const
  {
    const std::string value = mPlatform.Value({ "shares", std::to_string(aShard) });
    return value.empty() ? share_object{} : *share_object::Parse(value);
  }

private:
  std::vector<member_update> Live() const
  {
    std::vector<member_update> live;
    for (const auto& core : mCores) {
      live.push_back({ { core.mVm, core.mStartId } });
    }
    return live;
  }

  /// The VM list holds the VMs with a running process; partitioned cores do not get it.
  void DeliverVmList()
  {
    vm_list list;
    for (const auto& core : mCores) {
      if (core.mShares) {
        list.mVms.push_back({ core.mVm });
      }
    }
    for (auto& core : mCores) {
      if (core.mShares && !core.mPartitioned && !mPlatform.mFaults.mOutage) {
        core.mShares->OnVmList(list, mTime.Now());
      }
    }
  }

  std::uint64_t mTicks = 0;
};

} // namespace skylarkwind
