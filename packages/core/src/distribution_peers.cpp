#include "distribution_p.h"

#include "document_version_p.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <utility>

namespace skylarkwind {
namespace {

using std::chrono::milliseconds;

/// A push usually arrives within this time after a probe has shown the new version, and makes the
/// pull unnecessary.
constexpr milliseconds kPullDelay{ 200 };
constexpr milliseconds kPullJitter{ 300 };

/// Each watcher waits this much longer than the one ranked before it, and does not push when the
/// push of another daemon has already reached it.
constexpr milliseconds kPushStagger{ 300 };

} // namespace

std::chrono::nanoseconds
distribution_core::Jitter(std::chrono::nanoseconds aUpTo)
{
  return std::chrono::nanoseconds{ std::uniform_int_distribution<std::int64_t>{ 0, aUpTo.count() }(
    mRandom) };
}

void
distribution_core::Send(peer_call aCall,
                        const std::string& aAddress,
                        peer_message aMessage,
                        effect_list& aOut)
{
  const peer_call_id id{ kDistributionCallTag | ++mPeerCallCount };
  mPeerCalls.emplace(id.mValue, std::move(aCall));
  aOut.push_back(send_to_peer{ id, aAddress, std::move(aMessage), mSettings.mPeerTimeout });
}

void
distribution_core::SchedulePush(document_state& aState, instant aNow)
{
  if (!mWatcherRank) {
    return;
  }
  // The daemon that wrote a fleet object pushes it at once; the watchers wait one step longer as
  // its backup.
  const auto steps = *mWatcherRank + (aState.mDataCentre.empty() ? 0 : 1);
  aState.mPushAt = aNow + steps * kPushStagger;
}

void
distribution_core::PushToAll(const document_state& aState, effect_list& aOut)
{
  // Watchers in every data centre push the table there; a fleet object goes to its whole region.
  const auto& own = mMembers.Location();
  std::map<std::string, std::vector<daemon_location>> targets;
  for (const auto& member : mMembers.Live()) {
    const auto& location = member.mLocation;
    const bool wanted = location.mDataCentre == own.mDataCentre ||
                        (!aState.mDataCentre.empty() && location.mRegion == own.mRegion);
    if (wanted && member.mProcess != mMembers.Self()) {
      targets[location.mDataCentre].push_back(location);
    }
  }
  for (auto& [dataCentre, locations] : targets) {
    std::shuffle(locations.begin(), locations.end(), mRandom);
    if (dataCentre == own.mDataCentre) {
      PushTo(aState, std::move(locations), aOut);
    } else {
      PushBranch(aState, std::move(locations), aOut);
    }
  }
}

void
distribution_core::PushTo(const document_state& aState,
                          std::vector<daemon_location> aTargets,
                          effect_list& aOut)
{
  const auto branches = std::min<std::size_t>(mSettings.mFanOut, aTargets.size());
  for (std::size_t i = 0; i < branches; ++i) {
    const auto first = static_cast<std::ptrdiff_t>(aTargets.size() * i / branches);
    const auto last = static_cast<std::ptrdiff_t>(aTargets.size() * (i + 1) / branches);
    PushBranch(aState, { aTargets.begin() + first, aTargets.begin() + last }, aOut);
  }
}

void
distribution_core::PushBranch(const document_state& aState,
                              std::vector<daemon_location> aBranch,
                              effect_list& aOut)
{
  if (aBranch.empty() || !aState.mCurrent) {
    return;
  }
  const auto address = aBranch.front().mAddress;
  aBranch.erase(aBranch.begin());
  push_document push{
    aState.mDocument.mName, aState.mCurrent->mVersion, aState.mCurrent->mValue, aBranch
  };
  Send(push_call{ aState.mDocument.mName, std::move(aBranch) }, address, std::move(push), aOut);
}

document_reply
distribution_core::ReplyWith(const document_state* aState, std::uint64_t aAfterVersion) const
{
  if (aState == nullptr || VersionOf(*aState) <= aAfterVersion) {
    return { aState == nullptr ? std::string{} : aState->mDocument.mName, 0, {} };
  }
  return { aState->mDocument.mName, aState->mCurrent->mVersion, aState->mCurrent->mValue };
}

document_reply
distribution_core::OnPush(const push_document& aPush, instant aNow, effect_list& aOut)
{
  auto* state = Find(aPush.mName);
  if (state == nullptr) {
    return ReplyWith(nullptr, 0);
  }
  if (aPush.mVersion > VersionOf(*state) &&
      ApplyIfNewer(*state, aPush.mValue, "a push", aNow, aOut) == apply_result::Refused) {
    return ReplyWith(state, aPush.mVersion);
  }
  if (aPush.mVersion >= VersionOf(*state)) {
    state->mPushAt.reset(); // another daemon already pushes this version
  }
  // The subtree gets the newest version, also when the pushed one is older.
  PushTo(*state, aPush.mForwardTo, aOut);
  return ReplyWith(state, aPush.mVersion);
}

bool
distribution_core::OnPeerRequestReceived(const peer_request_received& aPeerRequest,
                                         instant aNow,
                                         effect_list& aOut)
{
  if (const auto* push = std::get_if<push_document>(&aPeerRequest.mMessage)) {
    auto reply = OnPush(*push, aNow, aOut);
    aOut.push_back(respond_to_peer{ aPeerRequest.mCall, std::move(reply) });
    return true;
  }
  if (const auto* pull = std::get_if<pull_document>(&aPeerRequest.mMessage)) {
    aOut.push_back(
      respond_to_peer{ aPeerRequest.mCall, ReplyWith(Find(pull->mName), pull->mAfterVersion) });
    return true;
  }
  return false;
}

void
distribution_core::OnSeenDocument(const membership::seen_document& aSeen,
                                  instant aNow,
                                  effect_list& aOut)
{
  auto* state = Find(aSeen.mDocument.mName);
  if (state == nullptr || aSeen.mDocument.mVersion <= VersionOf(*state)) {
    return;
  }
  if (state->mPullVersion == 0) {
    state->mPullAt =
      state->mCurrent ? aNow + kPullDelay + Jitter(kPullJitter) : std::max(aNow, state->mPullAt);
  }
  if (aSeen.mDocument.mVersion >= state->mPullVersion) {
    state->mPullVersion = aSeen.mDocument.mVersion;
    state->mPullFrom = aSeen.mAddress;
  }
  if (!state->mPullPending && aNow >= state->mPullAt) {
    Pull(*state, aNow, aOut);
  }
}

void
distribution_core::Pull(document_state& aState, instant aNow, effect_list& aOut)
{
  // One attempt per seen version; a later probe names another peer to pull from.
  aState.mPullVersion = 0;
  aState.mPullPending = true;
  aState.mPullAt = aNow + kPullDelay;
  aState.mPullExpiresAt = aNow + 2 * mSettings.mPeerTimeout;
  Send(pull_call{ aState.mDocument.mName },
       aState.mPullFrom,
       pull_document{ aState.mDocument.mName, VersionOf(aState) },
       aOut);
}

bool
distribution_core::OnPeerResponse(const peer_response_received& aPeerResponse,
                                  instant aNow,
                                  effect_list& aOut)
{
  if ((aPeerResponse.mCall.mValue & kDistributionCallTag) == 0) {
    return false;
  }
  auto found = mPeerCalls.extract(aPeerResponse.mCall.mValue);
  if (found.empty()) {
    return true;
  }
  auto& call = found.mapped();
  const auto& name = std::visit(
    [](const auto& aCall) -> const auto& { return aCall.mName; }, call);
  auto* state = Find(name);
  if (std::holds_alternative<pull_call>(call)) {
    state->mPullPending = false;
  }
  if (!aPeerResponse.mReply) {
    if (auto* push = std::get_if<push_call>(&call)) {
      // The next daemon of the branch takes over. Each failure shortens the branch by one, so the
      // retries end.
      PushBranch(*state, std::move(push->mSubtree), aOut);
    }
    return true;
  }
  const auto* reply = std::get_if<document_reply>(&*aPeerResponse.mReply);
  if (reply != nullptr && reply->mVersion > VersionOf(*state) &&
      ApplyIfNewer(*state, reply->mValue, "a peer", aNow, aOut) == apply_result::Newer) {
    SchedulePush(*state, aNow);
  }
  return true;
}

} // namespace skylarkwind
