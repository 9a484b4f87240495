#pragma once

#include "fake_membership.h"
#include "object_platform.h"
#include "request_claims_impl_p.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwind {

/// Simulates the claims of several daemons with one platform and one network in virtual time.
class claim_cluster
{
public:
  struct core
  {
    process_id mProcess;
    std::unique_ptr<fake_membership> mMembers;
    std::unique_ptr<request_claims> mClaims; ///< empty while the process is down
    bool mCutOff = false;                    ///< cannot reach the platform
    bool mSilent = false;                    ///< does not receive requests of its peers
  };

  claim_cluster(std::uint64_t aSeed, std::size_t aCores, request_claims_settings aSettings)
    : mTime{ aSeed }
    , mPlatform{ mTime }
    , mSettings{ std::move(aSettings) }
    , mCores(aCores)
  {
    for (std::size_t i = 0; i < aCores; ++i) {
      mCores[i].mProcess.mVm = "vm" + std::to_string(i);
    }
    for (std::size_t i = 0; i < aCores; ++i) {
      Start(i);
    }
  }
  claim_cluster(const claim_cluster&) = delete;
  claim_cluster& operator=(const claim_cluster&) = delete;

  simulated_time mTime;
  object_platform mPlatform;
  fault_mix mNetwork;
  request_claims_settings mSettings;
  std::vector<core> mCores;
  std::function<void(std::size_t, const claim_decision&)> mOnDecision;

  void Start(std::size_t aCore)
  {
    auto& core = mCores[aCore];
    if (core.mClaims) {
      return;
    }
    ++core.mProcess.mStartId;
    auto settings = mSettings;
    settings.mSelf = core.mProcess;
    settings.mRandomSeed = mTime.Below(1'000'000);
    std::vector<member_update> live;
    for (std::size_t i = 0; i < mCores.size(); ++i) {
      live.push_back({ mCores[i].mProcess, { std::to_string(i), "dc", "region" } });
    }
    core.mMembers = std::make_unique<fake_membership>(core.mProcess, std::move(live));
    core.mClaims = *request_claims::Create(settings, *core.mMembers);
  }

  /// Stops a process; with `aKnown` the other daemons learn of its death.
  void Kill(std::size_t aCore, bool aKnown)
  {
    auto& core = mCores[aCore];
    core.mClaims.reset();
    for (auto& other : mCores) {
      if (aKnown) {
        other.mMembers->mDead.push_back(core.mProcess);
      }
    }
  }

  /// Calls the claims of a core and applies the resulting effects.
  template<class action>
  void With(std::size_t aCore, action aAction)
  {
    auto& core = mCores[aCore];
    if (!core.mClaims) {
      return;
    }
    effect_list effects;
    aAction(*core.mClaims, effects);
    for (const auto& effect : effects) {
      ApplyEffect(aCore, effect);
    }
    for (const auto& decision : core.mClaims->TakeDecisions()) {
      mOnDecision(aCore, decision);
    }
  }

  void Tick()
  {
    mTime.RunUntil(mTime.Now() + std::chrono::milliseconds{ 20 });
    for (std::size_t i = 0; i < mCores.size(); ++i) {
      With(i,
           [this](auto& aClaims, auto& aOut) { aClaims.OnTick(mTime.Now(), mTime.Wall(), aOut); });
    }
  }

  void Run(std::chrono::milliseconds aTime)
  {
    for (const instant end = mTime.Now() + aTime; mTime.Now() < end;) {
      Tick();
    }
  }

private:
  void ApplyEffect(std::size_t aCore, const effect& aEffect)
  {
    if (const auto* call = std::get_if<call_platform>(&aEffect)) {
      mPlatform.Call(*call,
                     mCores[aCore].mCutOff,
                     [this, aCore, startId = mCores[aCore].mProcess.mStartId](const auto& aReply) {
                       if (mCores[aCore].mProcess.mStartId == startId) {
                         With(aCore, [&](auto& aClaims, auto& aOut) {
                           aClaims.OnPlatformReply(aReply, mTime.Now(), aOut);
                         });
                       }
                     });
    } else if (const auto* sent = std::get_if<send_to_peer>(&aEffect)) {
      Send(aCore, *sent);
    } else if (const auto* answer = std::get_if<respond_to_peer>(&aEffect)) {
      Answer(*answer);
    }
  }

  void Send(std::size_t aCore, const send_to_peer& aSent)
  {
    const std::size_t target = std::stoul(aSent.mAddress);
    const peer_call_id network{ ++mLastMessage };
    mWaiting[network.mValue] = { mTime.Chance(mNetwork.mLoseReply), Reply(aCore, aSent.mCall) };
    mTime.After(aSent.mTimeLimit, [this, network] {
      if (auto waiting = mWaiting.extract(network.mValue); !waiting.empty()) {
        waiting.mapped().mDeliver(std::nullopt);
      }
    });
    const auto extraDelay =
      mTime.Chance(mNetwork.mLateEffect) ? std::chrono::seconds{ 4 } : std::chrono::seconds{ 0 };
    mTime.After(mTime.UpTo(mNetwork.mDelay) + mTime.UpTo(extraDelay),
                [this, target, network, aSent] {
                  if (!mCores[target].mSilent) {
                    With(target, [&](auto& aClaims, auto& aOut) {
                      aClaims.OnPeerRequestReceived({ network, aSent.mMessage }, mTime.Now(), aOut);
                    });
                  }
                });
  }

  std::function<void(std::optional<peer_reply>)> Reply(std::size_t aCore, peer_call_id aCall)
  {
    return [this, aCore, aCall, startId = mCores[aCore].mProcess.mStartId](const auto& aReply) {
      if (mCores[aCore].mProcess.mStartId == startId) {
        With(aCore, [&](auto& aClaims, auto& aOut) {
          aClaims.OnPeerResponse({ aCall, aReply }, mTime.Now(), aOut);
        });
      }
    };
  }

  void Answer(const respond_to_peer& aAnswer)
  {
    const auto waiting = mWaiting.find(aAnswer.mCall.mValue);
    if (waiting == mWaiting.end() || waiting->second.mLost) {
      return;
    }
    mTime.After(mTime.UpTo(mNetwork.mDelay),
                [deliver = waiting->second.mDeliver, reply = aAnswer.mReply] { deliver(reply); });
    mWaiting.erase(waiting);
  }

  struct waiting_call
  {
    bool mLost = false; ///< the response will not arrive
    std::function<void(std::optional<peer_reply>)> mDeliver;
  };
  std::uint64_t mLastMessage = 0;
  std::map<std::uint64_t, waiting_call> mWaiting;
};

} // namespace skylarkwind
