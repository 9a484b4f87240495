#include "membership_p.h"

#include <algorithm>
#include <utility>

namespace skylarkwind {
namespace {

/// Number of members that are asked to probe a target indirectly.
constexpr std::size_t kIndirectProbes = 2;

} // namespace

std::size_t
membership_core::Random(std::size_t aBelow)
{
  return std::uniform_int_distribution<std::size_t>{ 0, aBelow - 1 }(mRandom);
}

std::vector<member_update>
membership_core::RandomMembers(std::size_t aCount, std::string_view aExceptVm)
{
  std::vector<std::size_t> positions;
  const auto live = mList.Live();
  for (std::size_t i = 0; i < live.size(); ++i) {
    if (live[i].mProcess.mVm != mSettings.mSelf.mVm && live[i].mProcess.mVm != aExceptVm) {
      positions.push_back(i);
    }
  }
  std::vector<member_update> chosen;
  while (chosen.size() < aCount && !positions.empty()) {
    const auto pick = Random(positions.size());
    chosen.push_back(live[positions[pick]]);
    positions.erase(positions.begin() + static_cast<std::ptrdiff_t>(pick));
  }
  return chosen;
}

peer_call_id
membership_core::Call(pending_call aCall,
                      const std::string& aAddress,
                      peer_message aMessage,
                      std::chrono::milliseconds aTimeLimit,
                      instant aNow,
                      effect_list& aOut)
{
  const peer_call_id id{ kMembershipCallTag | ++mCalls };
  // The I/O driver reports the end of every call; the margin covers a call that it failed to
  // report.
  aCall.mExpiresAt = aNow + aTimeLimit + mSettings.mProbePeriod;
  mPending.emplace(id.mValue, std::move(aCall));
  aOut.push_back(send_to_peer{ id, aAddress, std::move(aMessage), aTimeLimit });
  return id;
}

void
membership_core::SendProbe(purpose aPurpose,
                           const member_update& aTarget,
                           instant aNow,
                           effect_list& aOut)
{
  const bool wholeList = aPurpose == purpose::Exchange;
  Call({ aPurpose, aTarget },
       aTarget.mLocation.mAddress,
       probe_message{ Own(), UpdatesFor(aTarget.mProcess.mVm, wholeList), Documents() },
       mSettings.mProbeTimeout,
       aNow,
       aOut);
}

void
membership_core::ProbeNext(instant aNow, effect_list& aOut)
{
  // Going through all members in a random order bounds the time until each one is probed.
  for (int round = 0; round < 2; ++round) {
    while (!mProbeOrder.empty()) {
      const auto vm = std::move(mProbeOrder.back());
      mProbeOrder.pop_back();
      const auto* member = mList.Find(vm);
      if (member != nullptr && IsLive(member->mState) && vm != mSettings.mSelf.mVm) {
        SendProbe(purpose::Probe, member_update{ *member }, aNow, aOut);
        return;
      }
    }
    for (const auto& member : mList.Live()) {
      mProbeOrder.push_back(member.mProcess.mVm);
    }
    std::shuffle(mProbeOrder.begin(), mProbeOrder.end(), mRandom);
  }
}

void
membership_core::ProbeOwnSuspect(instant aNow, effect_list& aOut)
{
  std::erase_if(mOwnSuspects, [&](const std::string& aVm) {
    const auto* member = mList.Find(aVm);
    return member == nullptr || member->mState != member_state::Suspect;
  });
  if (!mOwnSuspects.empty()) {
    const auto& vm = mOwnSuspects[Random(mOwnSuspects.size())];
    SendProbe(purpose::Contact, member_update{ *mList.Find(vm) }, aNow, aOut);
  }
}

void
membership_core::ProbeUnreachable(instant aNow, effect_list& aOut)
{
  const bool alone = mList.Live().size() < 2;
  const auto period = alone ? mSettings.mProbePeriod : mSettings.mProbePeriod * 5;
  mNextUnreachableProbe =
    aNow + period - std::chrono::milliseconds{ Random(period.count() / 4 + 1) };

  auto unreachable = mList.UnreachableDead();
  std::set<std::string> seeds{ mSettings.mSeeds.begin(), mSettings.mSeeds.end() };
  seeds.insert(mVmSeeds.begin(), mVmSeeds.end());
  for (const auto& seed : seeds) {
    if (seed != mSettings.mLocation.mAddress && !mList.IsLiveAddress(seed)) {
      unreachable.push_back({ {}, { seed, {}, {} } });
    }
  }
  if (!unreachable.empty()) {
    SendProbe(purpose::Contact, unreachable[Random(unreachable.size())], aNow, aOut);
  }
}

void
membership_core::ContinueExchange(instant aNow, effect_list& aOut)
{
  --mPartner.mMessagesLeft;
  mPartner.mNextAt = aNow + mSettings.mProbePeriod;
  SendProbe(purpose::Exchange, member_update{ mPartner.mMember }, aNow, aOut);
}

void
membership_core::ProbeIndirectly(const member_update& aTarget, instant aNow, effect_list& aOut)
{
  const auto relays = RandomMembers(kIndirectProbes, aTarget.mProcess.mVm);
  const auto group = ++mCalls;
  mGroups[group] = { aTarget, relays.size() + 1 };
  // With 10 % message loss the retry avoids four in five suspicions of live members.
  pending_call retry{ purpose::Retry, aTarget };
  retry.mGroup = group;
  Call(std::move(retry),
       aTarget.mLocation.mAddress,
       probe_message{ Own(), UpdatesFor(aTarget.mProcess.mVm, false), Documents() },
       2 * mSettings.mProbeTimeout,
       aNow,
       aOut);
  for (const auto& relay : relays) {
    pending_call call{ purpose::Indirect, relay };
    call.mGroup = group;
    // The relay needs one probe time limit of its own.
    Call(std::move(call),
         relay.mLocation.mAddress,
         indirect_probe{ Own(), aTarget },
         2 * mSettings.mProbeTimeout,
         aNow,
         aOut);
  }
}

void
membership_core::OnGroupReply(const pending_call& aCall,
                              bool aReached,
                              instant aNow,
                              effect_list& aOut)
{
  const auto group = mGroups.find(aCall.mGroup);
  if (group == mGroups.end()) {
    return;
  }
  if (aReached || aCall.mInconclusive) {
    mGroups.erase(group);
  } else if (--group->second.mPendingCalls == 0) {
    const auto target = group->second.mTarget;
    mGroups.erase(group);
    Suspect(target, aNow, aOut);
  }
}

void
membership_core::OnNoReply(const pending_call& aCall, instant aNow, effect_list& aOut)
{
  switch (aCall.mPurpose) {
    case purpose::Probe:
      if (!aCall.mInconclusive) {
        ProbeIndirectly(aCall.mTarget, aNow, aOut);
      }
      break;
    case purpose::Relay:
      aOut.push_back(respond_to_peer{ aCall.mRelayedRequest, indirect_probe_reply{ false } });
      break;
    case purpose::Retry:
    case purpose::Indirect:
      OnGroupReply(aCall, false, aNow, aOut);
      break;
    case purpose::Exchange:
      mPartner.mMessagesLeft = 0;
      break;
    case purpose::Contact:
      break;
  }
}

bool
membership_core::OnPeerResponse(const peer_response_received& aPeerResponse,
                                instant aNow,
                                effect_list& aOut)
{
  if ((aPeerResponse.mCall.mValue & kMembershipCallTag) == 0) {
    return false;
  }
  CompensatePause(aNow);
  auto found = mPending.extract(aPeerResponse.mCall.mValue);
  if (found.empty()) {
    return true;
  }
  const auto& call = found.mapped();
  if (!aPeerResponse.mReply) {
    OnNoReply(call, aNow, aOut);
  } else if (const auto* reply = std::get_if<probe_reply>(&*aPeerResponse.mReply)) {
    OnProbeReply(call, *reply, aNow, aOut);
  } else if (const auto* relayed = std::get_if<indirect_probe_reply>(&*aPeerResponse.mReply)) {
    OnGroupReply(call, relayed->mReached, aNow, aOut);
  }
  return true;
}

void
membership_core::ExpireCalls(instant aNow, effect_list& aOut)
{
  std::vector<std::uint64_t> expired;
  for (const auto& [id, call] : mPending) {
    if (call.mExpiresAt <= aNow) {
      expired.push_back(id);
    }
  }
  for (const auto id : expired) {
    const auto call = mPending.extract(id);
    OnNoReply(call.mapped(), aNow, aOut);
  }
}

} // namespace skylarkwind
