#include "claim_shard_p.h"

#include "claim_bounds_p.h"

#include <algorithm>

namespace skylarkwind {

namespace {

constexpr std::chrono::milliseconds kShortestPause{ 10 };
constexpr std::chrono::milliseconds kLongestPause{ 1'000 };
/// An unused shard's copy is dropped after this time, to limit memory.
constexpr std::chrono::seconds kIdleRetention{ 10 };

} // namespace

std::chrono::nanoseconds
claim_context::Jitter(std::chrono::nanoseconds aDuration)
{
  std::uniform_int_distribution<std::int64_t> part{ aDuration.count() / 2, aDuration.count() };
  return std::chrono::nanoseconds{ part(mRandom) };
}

bool
ApplyClaim(claim_map& aClaims, const claim_operation& aOperation)
{
  const auto& entry = aOperation.mEntry;
  const auto stored = aClaims.find(aOperation.mKey);
  if (stored == aClaims.end()) {
    // An outcome is stored even when its claim is missing, so that a repeated request finds it.
    if (entry.mState == claim_state::Withdrawn) {
      return false;
    }
    aClaims.emplace(aOperation.mKey, entry);
    return true;
  }
  if (entry.mState == claim_state::Claimed || stored->second.mAttempt != entry.mAttempt ||
      stored->second.mState == claim_state::Done) {
    return false;
  }
  if (entry.mState == claim_state::Withdrawn) {
    // An unknown outcome stays: its request may have been sent.
    const bool claimed = stored->second.mState == claim_state::Claimed;
    if (claimed) {
      aClaims.erase(stored);
    }
    return claimed;
  }
  if (stored->second.mState == entry.mState) {
    return false;
  }
  stored->second = entry;
  return true;
}

claim_shard::claim_shard(claim_context& aContext, std::uint32_t aNumber)
  : mContext{ aContext }
  , mKey{ "claims", std::to_string(aNumber) }
{
}

void
claim_shard::Add(claim_operation aOperation, instant aNow)
{
  if (mPending.empty() && mCall == call_kind::None) {
    mNextCall = std::max(mNextCall, aNow + mContext.mSettings.mBatchDelay);
  }
  mUsedAt = aNow;
  mPending.push_back({ std::move(aOperation), false });
}

void
claim_shard::Remove(std::uint64_t aNumber)
{
  std::erase_if(mPending,
                [&](const auto& aPending) { return aPending.mOperation.mNumber == aNumber; });
}

bool
claim_shard::MayStillApply(std::uint64_t aNumber) const
{
  if (mCall == call_kind::Write && mSentOperations.contains(aNumber)) {
    return true;
  }
  return mUncertainVersion &&
         std::any_of(mPending.begin(), mPending.end(), [&](const auto& aPending) {
           return aPending.mOperation.mNumber == aNumber && aPending.mWritten;
         });
}

bool
claim_shard::Disposable(instant aNow) const
{
  return mPending.empty() && mSettled.empty() && mCall == call_kind::None &&
         aNow - mUsedAt > kIdleRetention;
}

void
claim_shard::OnTick(instant aNow, wall_instant aWallNow, effect_list& aOut)
{
  if (mCall == call_kind::None && !mPending.empty() && aNow >= mNextCall) {
    ProcessPending(false, aNow, aWallNow, aOut);
  }
}

/// Settles the pending operations that the known claims settle, or sends the next call. `aFresh`
/// means that the claims were read just now. An older copy may only be the base of a write, which
/// fails if the copy is stale.
void
claim_shard::ProcessPending(bool aFresh, instant aNow, wall_instant aWallNow, effect_list& aOut)
{
  mUsedAt = aNow;
  if (mPending.empty()) {
    return;
  }
  if (!mKnown || (!aFresh && mUncertainVersion)) {
    Read(aOut);
    return;
  }
  claim_map claims = mClaims;
  bool changed = false;
  for (const auto& pending : mPending) {
    changed = ApplyClaim(claims, pending.mOperation) || changed;
  }
  if (changed || NeedsConfirmingWrite()) {
    Write(std::move(claims), aNow, aWallNow, aOut);
  } else if (aFresh) {
    mPause = std::chrono::nanoseconds{ 0 };
    for (const auto& pending : std::exchange(mPending, {})) {
      Settle(pending, mClaims);
    }
  } else {
    Read(aOut);
  }
}

/// True when a write is needed although nothing changes: a claim to be withdrawn is not in the
/// copy. The copy may be older than the claim, or a write without a reply may still store the
/// claim. An accepted write proves that the copy is current and prevents older writes from taking
/// effect.
bool
claim_shard::NeedsConfirmingWrite() const
{
  return std::any_of(mPending.begin(), mPending.end(), [&](const auto& aPending) {
    const auto& operation = aPending.mOperation;
    return operation.mEntry.mState == claim_state::Withdrawn && !mClaims.contains(operation.mKey);
  });
}

void
claim_shard::Write(claim_map aClaims, instant aNow, wall_instant aWallNow, effect_list& aOut)
{
  RemoveExpiredClaims(aClaims, aWallNow, mContext.mSettings.mRetention);
  if (!LimitClaimBytes(aClaims)) {
    aOut.push_back(log_line{
      log_level::Error, "claims", "shard " + mKey.mName + " is full; rejecting new claims" });
    // New claims are settled without an entry; operations on stored claims stay pending.
    std::erase_if(mPending, [&](const auto& aPending) {
      const auto& operation = aPending.mOperation;
      if (operation.mEntry.mState != claim_state::Claimed || mClaims.contains(operation.mKey) ||
          MayStillApply(operation.mNumber)) {
        return false;
      }
      mSettled.push_back({ operation.mNumber, std::nullopt });
      return true;
    });
    mNextCall = aNow + kLongestPause;
    return;
  }
  mSentOperations.clear();
  for (auto& pending : mPending) {
    pending.mWritten = true;
    mSentOperations.insert(pending.mOperation.mNumber);
  }
  std::string value = ClaimsToJson(aClaims);
  mSent = std::move(aClaims);
  Send(call_kind::Write, write_object{ mKey, mVersion, std::move(value) }, aOut);
}

void
claim_shard::Read(effect_list& aOut)
{
  Send(call_kind::Read, read_object{ mKey }, aOut);
}

void
claim_shard::Send(call_kind aKind, platform_operation aOperation, effect_list& aOut)
{
  mCall = aKind;
  mCallNumber = ++mContext.mLastCall;
  aOut.push_back(call_platform{ { part::RequestClaims, mCallNumber }, std::move(aOperation) });
}

void
claim_shard::OnReply(const platform_result& aResult,
                     instant aNow,
                     wall_instant aWallNow,
                     effect_list& aOut)
{
  const bool wrote = mCall == call_kind::Write;
  mCall = call_kind::None;
  if (const auto* found = std::get_if<object_found>(&aResult); found != nullptr && !wrote) {
    OnFound(*found, aNow, aWallNow, aOut);
  } else if (std::holds_alternative<object_missing>(aResult) && !wrote) {
    OnFound({ 0, "{}" }, aNow, aWallNow, aOut);
  } else if (const auto* accepted = std::get_if<write_accepted>(&aResult);
             accepted != nullptr && wrote) {
    OnAccepted(accepted->mVersion, aNow);
  } else if (std::holds_alternative<write_conflict>(aResult) && wrote) {
    mKnown = false;
    OnFailure(aNow);
    mFailing = false;
  } else {
    if (wrote && !std::holds_alternative<platform_refused>(aResult)) {
      mUncertainVersion = std::max(mUncertainVersion.value_or(0), mVersion);
    }
    mKnown = mKnown && !mUncertainVersion;
    OnFailure(aNow);
  }
}

void
claim_shard::OnFound(const object_found& aFound,
                     instant aNow,
                     wall_instant aWallNow,
                     effect_list& aOut)
{
  if (aFound.mVersion < mVersion) {
    OnFailure(aNow); // A stale read, or the platform lost the object.
    return;
  }
  auto claims = ParseClaims(aFound.mValue);
  if (!claims.ok()) {
    aOut.push_back(log_line{ log_level::Error,
                             "claims",
                             "object claims/" + mKey.mName +
                               " cannot be read: " + std::string{ claims.status().message() } });
    OnFailure(aNow);
    return;
  }
  SetKnownState(std::move(*claims), aFound.mVersion);
  ProcessPending(true, aNow, aWallNow, aOut);
}

void
claim_shard::OnAccepted(std::uint64_t aVersion, instant aNow)
{
  SetKnownState(std::move(mSent), aVersion);
  mPause = std::chrono::nanoseconds{ 0 };
  auto pending = std::exchange(mPending, {});
  for (auto& operation : pending) {
    if (mSentOperations.contains(operation.mOperation.mNumber)) {
      Settle(operation, mClaims);
    } else {
      mPending.push_back(std::move(operation));
    }
  }
  mNextCall = aNow + mContext.mSettings.mBatchDelay;
}

void
claim_shard::OnFailure(instant aNow)
{
  mFailing = true;
  mPause = std::clamp<std::chrono::nanoseconds>(mPause * 2, kShortestPause, kLongestPause);
  mNextCall = aNow + mContext.Jitter(mPause);
}

void
claim_shard::SetKnownState(claim_map aClaims, std::uint64_t aVersion)
{
  mClaims = std::move(aClaims);
  mVersion = aVersion;
  mKnown = true;
  mFailing = false;
  if (mUncertainVersion && mVersion > *mUncertainVersion) {
    mUncertainVersion.reset();
  }
  if (!mUncertainVersion) {
    for (auto& pending : mPending) {
      pending.mWritten = false;
    }
  }
}

void
claim_shard::Settle(const pending_operation& aPending, const claim_map& aClaims)
{
  const auto& operation = aPending.mOperation;
  const auto stored = aClaims.find(operation.mKey);
  mSettled.push_back({ operation.mNumber,
                       stored == aClaims.end() ? std::nullopt : std::optional{ stored->second } });
}

} // namespace skylarkwind
