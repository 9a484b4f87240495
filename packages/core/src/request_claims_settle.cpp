#include "request_claims_impl_p.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// While calls to the platform fail, a claim that cannot have taken effect is given up after the
/// decision limit divided by this number.
constexpr int kFailingLimitDivisor = 5;

claim_recorded
Recorded(const claim_entry& aEntry)
{
  return { aEntry.mStatus, aEntry.mHeaders, aEntry.mBody, aEntry.mBodyRecorded };
}

} // namespace

void
request_claims_impl::CollectSettled(instant aNow, effect_list& aOut)
{
  std::vector<settled_operation> settled;
  for (auto& [number, shard] : mShards) {
    auto part = shard.TakeSettled();
    std::move(part.begin(), part.end(), std::back_inserter(settled));
  }
  for (const auto& operation : settled) {
    OnSettled(operation.mNumber, operation.mStored, aNow, aOut);
  }
}

void
request_claims_impl::OnSettled(std::uint64_t aNumber,
                               const std::optional<claim_entry>& aStored,
                               instant aNow,
                               effect_list& aOut)
{
  auto node = mOpen.extract(aNumber);
  if (node.empty()) {
    return;
  }
  open_operation open = std::move(node.mapped());
  switch (open.mPurpose) {
    case purpose::Claim:
      OnClaimSettled(std::move(open), aStored, aNow, aOut);
      break;
    case purpose::Outcome:
      if (aStored && aStored->mAttempt != open.mOperation.mEntry.mAttempt &&
          open.mOperation.mEntry.mState != claim_state::Withdrawn) {
        aOut.push_back(log_line{ log_level::Error,
                                 "claims",
                                 "cannot record the outcome of attempt " +
                                   open.mOperation.mEntry.mAttempt +
                                   ": its key holds the claim of attempt " + aStored->mAttempt });
      }
      break;
    case purpose::Repair:
      break;
    case purpose::Peer:
      RespondToPeer(open, true, aStored, aOut);
      break;
  }
}

void
request_claims_impl::OnClaimSettled(open_operation aOpen,
                                    const std::optional<claim_entry>& aStored,
                                    instant aNow,
                                    effect_list& aOut)
{
  if (!aStored) {
    Abandon(aOpen, claim_unavailable{ "the shard of claims is full" }, aNow, aOut);
  } else if (aStored->mAttempt == aOpen.mOperation.mEntry.mAttempt) {
    OnOwnStored(std::move(aOpen), *aStored, aNow, aOut);
  } else {
    OnOtherStored(std::move(aOpen), *aStored, aNow, aOut);
  }
}

/// Handles a stored claim of this request. It is granted unless another caller may already have
/// been told that its outcome is unknown, or its deadline has passed.
void
request_claims_impl::OnOwnStored(open_operation aOpen,
                                 const claim_entry& aStored,
                                 instant aNow,
                                 effect_list& aOut)
{
  if (aStored.mState == claim_state::Claimed && aNow < aOpen.mDeadline) {
    const request_id request = aOpen.mRequest;
    mGranted.insert_or_assign(request, std::move(aOpen));
    Decide(request, claim_granted{});
    return;
  }
  if (aStored.mState == claim_state::Claimed) {
    Repair(aOpen, aStored, claim_state::Withdrawn, aNow, aOut);
  }
  Abandon(aOpen, claim_unavailable{ "the deadline has passed" }, aNow, aOut);
}

void
request_claims_impl::OnOtherStored(open_operation aOpen,
                                   const claim_entry& aStored,
                                   instant aNow,
                                   effect_list& aOut)
{
  const request_id request = aOpen.mRequest;
  if (aStored.mFingerprint != aOpen.mOperation.mEntry.mFingerprint) {
    Decide(request, claim_mismatch{});
  } else if (aStored.mState == claim_state::Done) {
    Decide(request, Recorded(aStored));
  } else if (aStored.mState != claim_state::Claimed) {
    Decide(request, claim_unknown{});
  } else if (aStored.mProcess == mContext.mSettings.mSelf && !IsOpenHere(aStored.mAttempt)) {
    // An earlier attempt of this process that was abandoned and stored later. It was never sent.
    Repair(aOpen, aStored, claim_state::Withdrawn, aNow, aOut);
    Start(std::move(aOpen), false, aNow, aOut);
  } else if (mMembers.MayBeAlive(aStored.mProcess) && WallAt(aNow) < aStored.mDeadline) {
    Decide(request, claim_in_progress{});
  } else {
    Repair(aOpen, aStored, claim_state::Unknown, aNow, aOut);
    Decide(request, claim_unknown{});
  }
}

/// Moves a stored claim that no process will finish to a state that others can act on.
void
request_claims_impl::Repair(const open_operation& aOpen,
                            claim_entry aEntry,
                            claim_state aState,
                            instant aNow,
                            effect_list& aOut)
{
  open_operation repair;
  repair.mPurpose = purpose::Repair;
  repair.mShard = aOpen.mShard;
  aEntry.mState = aState;
  aEntry.mChanged = WallAt(aNow);
  repair.mOperation = { 0, aOpen.mOperation.mKey, std::move(aEntry) };
  Start(std::move(repair), false, aNow, aOut);
}

/// True while a request of this process waits for this attempt, runs under it or records its
/// outcome.
bool
request_claims_impl::IsOpenHere(const std::string& aAttempt) const
{
  const auto holds = [&](const auto& aOpen) {
    return aOpen.second.mPurpose != purpose::Peer && aOpen.second.mPurpose != purpose::Repair &&
           aOpen.second.mOperation.mEntry.mAttempt == aAttempt;
  };
  return std::any_of(mGranted.begin(), mGranted.end(), holds) ||
         std::any_of(mOpen.begin(), mOpen.end(), holds);
}

void
request_claims_impl::CheckTimes(instant aNow, effect_list& aOut)
{
  std::vector<std::uint64_t> numbers;
  for (const auto& [number, open] : mOpen) {
    numbers.push_back(number);
  }
  for (const std::uint64_t number : numbers) {
    auto& open = mOpen.at(number);
    if (open.mPurpose == purpose::Peer && aNow >= open.mPeerLimit) {
      // Returning the entry itself says that no write of it was sent, so that it cannot be stored
      // later.
      auto& shard = Shard(open.mShard);
      const bool doubt = shard.MayStillApply(number);
      RespondToPeer(
        open, false, doubt ? std::nullopt : std::optional{ open.mOperation.mEntry }, aOut);
      shard.Remove(number);
      mOpen.erase(number);
      continue;
    }
    if (open.mAwaitingOwner && aNow >= open.mPeerLimit) {
      mForwarded.erase(open.mPeerCall.mValue);
      UseOwnShard(open, aNow);
    }
    if (open.mPurpose == purpose::Claim) {
      CheckClaim(number, aNow, aOut);
    }
  }
}

void
request_claims_impl::CheckClaim(std::uint64_t aNumber, instant aNow, effect_list& aOut)
{
  const auto& open = mOpen.at(aNumber);
  auto& shard = Shard(open.mShard);
  const auto waited = aNow - open.mStartedAt;
  const auto limit = mContext.mSettings.mDecisionLimit;
  const bool doubt = open.mOwnerMayStore || shard.MayStillApply(aNumber);
  const bool giveUpEarly = !doubt && shard.Failing() && waited >= limit / kFailingLimitDivisor;
  if (waited < limit && !giveUpEarly) {
    return;
  }
  shard.Remove(aNumber);
  open_operation abandoned = std::move(mOpen.extract(aNumber).mapped());
  abandoned.mOwnerMayStore = doubt;
  Abandon(abandoned, claim_unavailable{ "the platform does not answer" }, aNow, aOut);
}

/// Ends a claim whose request this process will never send. When a write of the claim may still
/// take effect, the caller is told that the outcome is unknown, and the claim is withdrawn if it
/// appears.
void
request_claims_impl::Abandon(const open_operation& aOpen,
                             claim_unavailable aVerdict,
                             instant aNow,
                             effect_list& aOut)
{
  if (!aOpen.mOwnerMayStore) {
    Decide(aOpen.mRequest, std::move(aVerdict));
    return;
  }
  Repair(aOpen, aOpen.mOperation.mEntry, claim_state::Withdrawn, aNow, aOut);
  Decide(aOpen.mRequest, claim_unknown{});
}

void
request_claims_impl::Decide(request_id aRequest, claim_verdict aVerdict)
{
  mDecisions.push_back({ aRequest, std::move(aVerdict) });
}

void
request_claims_impl::RespondToPeer(const open_operation& aOpen,
                                   bool aSettled,
                                   const std::optional<claim_entry>& aStored,
                                   effect_list& aOut) const
{
  aOut.push_back(
    respond_to_peer{ aOpen.mPeerCall, claim_reply{ aSettled, aStored ? aStored->ToJson() : "" } });
}

} // namespace skylarkwind
