#include "request_claims_impl_p.h"

#include "skylarkwind/hash.h"

#include <absl/status/status.h>
#include <algorithm>

namespace skylarkwind {

namespace {

/// First number of calls to peers; keeps them distinct from the calls of other components.
constexpr std::uint64_t kFirstPeerCall = (static_cast<std::uint64_t>(part::RequestClaims) + 1)
                                         << 56;

std::size_t
Bytes(const header_list& aHeaders)
{
  std::size_t bytes = 0;
  for (const auto& [name, value] : aHeaders) {
    bytes += name.size() + value.size();
  }
  return bytes;
}

} // namespace

absl::StatusOr<std::unique_ptr<request_claims>>
request_claims::Create(request_claims_settings aSettings, const membership& aMembers)
{
  if (aSettings.mShards == 0) {
    return absl::InvalidArgumentError("request claims: the number of shards must not be 0");
  }
  if (aSettings.mSelf.mVm.empty()) {
    return absl::InvalidArgumentError("request claims: the VM name is empty");
  }
  if (aSettings.mDecisionLimit.count() <= 0 || aSettings.mRetention.count() <= 0) {
    return absl::InvalidArgumentError(
      "request claims: the decision limit and the retention must be positive");
  }
  return std::make_unique<request_claims_impl>(std::move(aSettings), aMembers);
}

request_claims_impl::request_claims_impl(request_claims_settings aSettings,
                                         const membership& aMembers)
  : mMembers{ aMembers }
  , mLastPeerCall{ kFirstPeerCall }
{
  mContext.mRandom.seed(aSettings.mRandomSeed);
  mContext.mSettings = std::move(aSettings);
}

void
request_claims_impl::Claim(request_id aRequest,
                           std::string_view aKey,
                           std::string_view aFingerprint,
                           instant aDeadline,
                           instant aNow,
                           effect_list& aOut)
{
  if (aDeadline <= aNow) {
    Decide(aRequest, claim_unavailable{ "the deadline has passed" });
    return;
  }
  open_operation open;
  open.mRequest = aRequest;
  open.mDeadline = aDeadline;
  open.mStartedAt = aNow;
  open.mShard = ShardOf(aKey);
  open.mOperation.mKey = aKey;
  auto& entry = open.mOperation.mEntry;
  entry.mProcess = mContext.mSettings.mSelf;
  entry.mAttempt = entry.mProcess.mVm + "/" + std::to_string(entry.mProcess.mStartId) + "/" +
                   std::to_string(++mLastAttempt);
  entry.mFingerprint = aFingerprint;
  if (mTicked) {
    Start(std::move(open), true, aNow, aOut);
  } else {
    mBeforeFirstTick.push_back(std::move(open)); // The wall-clock time is not known yet.
  }
}

void
request_claims_impl::Record(request_id aRequest,
                            const attempt_response& aOutcome,
                            instant aNow,
                            effect_list& aOut)
{
  const std::size_t limit = mContext.mSettings.mRecordedBodyLimit;
  claim_entry outcome;
  outcome.mState = claim_state::Done;
  outcome.mStatus = aOutcome.mStatus;
  if (Bytes(aOutcome.mHeaders) <= limit) {
    outcome.mHeaders = aOutcome.mHeaders;
  }
  outcome.mBodyRecorded = aOutcome.mBody.size() <= limit;
  outcome.mBody = outcome.mBodyRecorded ? aOutcome.mBody : "";
  Finish(aRequest, std::move(outcome), aNow, aOut);
}

void
request_claims_impl::RecordUnknown(request_id aRequest, instant aNow, effect_list& aOut)
{
  claim_entry outcome;
  outcome.mState = claim_state::Unknown;
  Finish(aRequest, std::move(outcome), aNow, aOut);
}

void
request_claims_impl::Withdraw(request_id aRequest, instant aNow, effect_list& aOut)
{
  claim_entry outcome;
  outcome.mState = claim_state::Withdrawn;
  Finish(aRequest, std::move(outcome), aNow, aOut);
}

/// Ends a granted claim. A withdrawal bypasses the preferred owner and updates the object directly,
/// because either the owner or this daemon may have stored the claim, and only the object shows it.
void
request_claims_impl::Finish(request_id aRequest,
                            claim_entry aOutcome,
                            instant aNow,
                            effect_list& aOut)
{
  const auto granted = mGranted.extract(aRequest);
  if (granted.empty()) {
    return;
  }
  open_operation open = granted.mapped();
  const auto& claim = open.mOperation.mEntry;
  aOutcome.mProcess = claim.mProcess;
  aOutcome.mAttempt = claim.mAttempt;
  aOutcome.mFingerprint = claim.mFingerprint;
  aOutcome.mDeadline = claim.mDeadline;
  aOutcome.mChanged = WallAt(aNow);
  const bool tryOwner = aOutcome.mState != claim_state::Withdrawn;
  open.mPurpose = purpose::Outcome;
  open.mOperation.mEntry = std::move(aOutcome);
  Start(std::move(open), tryOwner, aNow, aOut);
}

std::vector<claim_decision>
request_claims_impl::TakeDecisions()
{
  return std::exchange(mDecisions, {});
}

bool
request_claims_impl::Idle() const
{
  return std::none_of(mOpen.begin(), mOpen.end(), [](const auto& aOpen) {
    return aOpen.second.mPurpose == purpose::Outcome;
  });
}

void
request_claims_impl::OnTick(instant aNow, wall_instant aWallNow, effect_list& aOut)
{
  mTicked = true;
  mTickedAt = aNow;
  mWallAtTick = aWallNow;
  for (auto& open : std::exchange(mBeforeFirstTick, {})) {
    Start(std::move(open), true, aNow, aOut);
  }
  CheckTimes(aNow, aOut);
  for (auto& [number, shard] : mShards) {
    shard.OnTick(aNow, aWallNow, aOut);
  }
  CollectSettled(aNow, aOut);
  std::erase_if(mShards, [&](const auto& aShard) { return aShard.second.Disposable(aNow); });
}

void
request_claims_impl::OnPlatformReply(const platform_replied& aReply,
                                     instant aNow,
                                     effect_list& aOut)
{
  for (auto& [number, shard] : mShards) {
    if (shard.PendingCall() == aReply.mCall.mNumber) {
      shard.OnReply(aReply.mResult, aNow, WallAt(aNow), aOut);
      CollectSettled(aNow, aOut);
      return;
    }
  }
}

bool
request_claims_impl::OnPeerRequestReceived(const peer_request_received& aPeerRequest,
                                           instant aNow,
                                           effect_list& aOut)
{
  const auto* message = std::get_if<claim_message>(&aPeerRequest.mMessage);
  if (message == nullptr) {
    return false;
  }
  auto entry = claim_entry::Parse(message->mEntry);
  if (!entry.ok() || message->mShard != ShardOf(message->mKey)) {
    aOut.push_back(respond_to_peer{ aPeerRequest.mCall, claim_reply{} });
    return true;
  }
  open_operation open;
  open.mPurpose = purpose::Peer;
  open.mShard = message->mShard;
  open.mOperation = { 0, message->mKey, std::move(*entry) };
  open.mPeerCall = aPeerRequest.mCall;
  // Replies before the caller's own limit (mPeerTimeout) has passed.
  open.mPeerLimit = aNow + mContext.mSettings.mPeerTimeout * 4 / 5;
  Start(std::move(open), false, aNow, aOut);
  return true;
}

bool
request_claims_impl::OnPeerResponse(const peer_response_received& aPeerResponse,
                                    instant aNow,
                                    effect_list& aOut)
{
  const auto asked = mForwarded.extract(aPeerResponse.mCall.mValue);
  if (asked.empty()) {
    return false;
  }
  const auto open = mOpen.find(asked.mapped());
  if (open == mOpen.end() || !open->second.mAwaitingOwner) {
    return true;
  }
  const auto* reply =
    aPeerResponse.mReply ? std::get_if<claim_reply>(&*aPeerResponse.mReply) : nullptr;
  if (reply == nullptr || !reply->mSettled) {
    if (reply != nullptr && !reply->mEntry.empty()) {
      open->second.mOwnerMayStore = false; // The owner dropped the operation without writing it.
    }
    UseOwnShard(open->second, aNow);
    return true;
  }
  std::optional<claim_entry> stored;
  if (!reply->mEntry.empty()) {
    auto entry = claim_entry::Parse(reply->mEntry);
    if (!entry.ok()) {
      UseOwnShard(open->second, aNow);
      return true;
    }
    stored = std::move(*entry);
  }
  open->second.mOwnerMayStore = false;
  OnSettled(open->first, stored, aNow, aOut);
  return true;
}

std::uint32_t
request_claims_impl::ShardOf(std::string_view aKey) const
{
  return static_cast<std::uint32_t>(Hash64(aKey) % mContext.mSettings.mShards);
}

claim_shard&
request_claims_impl::Shard(std::uint32_t aNumber)
{
  return mShards.try_emplace(aNumber, mContext, aNumber).first->second;
}

wall_instant
request_claims_impl::WallAt(instant aTime) const
{
  return mWallAtTick + std::chrono::duration_cast<std::chrono::milliseconds>(aTime - mTickedAt);
}

std::string
request_claims_impl::OwnerAddress(std::uint32_t aShard) const
{
  const std::string key = "claims/" + std::to_string(aShard);
  const member_update* owner = nullptr;
  std::uint64_t best = 0;
  for (const auto& member : mMembers.Live()) {
    const std::uint64_t score = RendezvousScore(key, member.mProcess.mVm);
    if (owner == nullptr || score > best) {
      owner = &member;
      best = score;
    }
  }
  const bool self = owner == nullptr || owner->mProcess == mContext.mSettings.mSelf;
  return self ? std::string{} : owner->mLocation.mAddress;
}

void
request_claims_impl::Start(open_operation aOpen, bool aTryOwner, instant aNow, effect_list& aOut)
{
  const std::uint64_t number = ++mLastNumber;
  aOpen.mOperation.mNumber = number;
  auto& entry = aOpen.mOperation.mEntry;
  if (aOpen.mPurpose == purpose::Claim) {
    entry.mChanged = WallAt(aNow);
    entry.mDeadline = WallAt(aOpen.mDeadline);
  }
  auto& open = mOpen.emplace(number, std::move(aOpen)).first->second;
  std::string address = aTryOwner ? OwnerAddress(open.mShard) : std::string{};
  if (address.empty()) {
    UseOwnShard(open, aNow);
  } else {
    ForwardToOwner(open, std::move(address), aNow, aOut);
  }
}

void
request_claims_impl::ForwardToOwner(open_operation& aOpen,
                                    std::string aAddress,
                                    instant aNow,
                                    effect_list& aOut)
{
  aOpen.mAwaitingOwner = true;
  aOpen.mOwnerMayStore = true;
  aOpen.mPeerCall = peer_call_id{ ++mLastPeerCall };
  aOpen.mPeerLimit = aNow + 2 * mContext.mSettings.mPeerTimeout;
  mForwarded[aOpen.mPeerCall.mValue] = aOpen.mOperation.mNumber;
  const auto& operation = aOpen.mOperation;
  aOut.push_back(
    send_to_peer{ aOpen.mPeerCall,
                  std::move(aAddress),
                  claim_message{ aOpen.mShard, operation.mKey, operation.mEntry.ToJson() },
                  mContext.mSettings.mPeerTimeout });
}

void
request_claims_impl::UseOwnShard(open_operation& aOpen, instant aNow)
{
  aOpen.mAwaitingOwner = false;
  Shard(aOpen.mShard).Add(aOpen.mOperation, aNow);
}

} // namespace skylarkwind
