#include "skylarkwind/lease.h"

#include "skylarkwind/hash.h"

#include <absl/status/status.h>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// A higher fencing number is treated as a fault of the engine that reports it and ignored:
/// following it could make the counter overflow.
constexpr std::uint64_t kHighestFencing = std::uint64_t{ 1 } << 40U;
/// A release is trusted only if the previous read is at most this old. After a longer gap it may
/// come from a platform that was restored to older data.
constexpr milliseconds kMaxReleaseReadGap{ 3'000 };
/// Additional takeover delay per rank, so that not all daemons try to acquire the lease at once.
constexpr milliseconds kRankStep{ 500 };
constexpr std::uint32_t kMaxRankSteps = 8;
constexpr milliseconds kRetryPause{ 500 };

object_key
LeaseKey(const std::string& aDataCentre)
{
  return object_key{ "lease", aDataCentre };
}

void
Log(effect_list& aOut, log_level aLevel, std::string aText)
{
  aOut.emplace_back(log_line{ aLevel, "lease", std::move(aText) });
}

} // namespace

absl::StatusOr<lease_record>
lease_record::Parse(std::string_view aJson)
{
  const auto json = nlohmann::json::parse(aJson, nullptr, false);
  if (!json.is_object()) {
    return absl::InvalidArgumentError("the lease object is not a JSON object");
  }
  const auto number = [&json](const char* aKey) -> std::optional<std::uint64_t> {
    const auto found = json.find(aKey);
    if (found == json.end() || !found->is_number_unsigned()) {
      return std::nullopt;
    }
    return found->get<std::uint64_t>();
  };
  const auto holder = json.find("holder");
  const auto start = number("start_id");
  const auto fencing = number("fencing");
  const auto renewal = number("renewal");
  if (holder == json.end() || !holder->is_string() || !start || !fencing || !renewal) {
    return absl::InvalidArgumentError(
      "the lease object lacks a field or has a field of the wrong type");
  }
  return lease_record{ { holder->get<std::string>(), *start }, *fencing, *renewal };
}

std::string
lease_record::ToJson() const
{
  return nlohmann::json{
    { "holder", mHolder.mVm },
    { "start_id", mHolder.mStartId },
    { "fencing", mFencing },
    { "renewal", mRenewal }
  }.dump();
}

absl::StatusOr<lease>
lease::Create(lease_settings aSettings)
{
  if (aSettings.mSelf.mVm.empty() || aSettings.mDataCentre.empty()) {
    return absl::InvalidArgumentError("the lease needs the daemon's VM name and data centre");
  }
  if (aSettings.mRenewEvery >= aSettings.mStopAfter || aSettings.mStopAfter >= aSettings.mTerm) {
    return absl::InvalidArgumentError(
      "the lease must be renewed before its holder stops, and the holder must stop before the "
      "term ends");
  }
  return lease(std::move(aSettings));
}

lease::lease(lease_settings aSettings)
  : mSettings(std::move(aSettings))
{
}

bool
lease::Holds(instant aNow) const
{
  return mHeld && !mStopping && aNow >= mHeldFrom && aNow < HeldUntil();
}

instant
lease::HeldUntil() const
{
  return mHeldFrom + mSettings.mStopAfter;
}

void
lease::OnFencingObserved(std::uint64_t aFencing, instant aNow)
{
  if (aFencing > kHighestFencing) {
    return;
  }
  mSeenFencing = std::max(mSeenFencing, aFencing);
  if (mHeld && mSeenFencing > mFencing) {
    Reacquire(aNow);
  }
}

void
lease::Reacquire(instant aNow)
{
  EndAuthority(aNow);
}

void
lease::EndAuthority(instant aNow)
{
  mHeld = false;
  mEndedFencing = std::max(mEndedFencing, mFencing);
  mNextAt = aNow;
}

void
lease::OnTick(std::span<const process_id> aDaemons, instant aNow, effect_list& aOut)
{
  mDaemons.assign(aDaemons.begin(), aDaemons.end());
  if (mHeld && aNow >= HeldUntil()) {
    Log(aOut,
        log_level::Warning,
        "the lease of " + mSettings.mDataCentre + " was not renewed in time and has ended");
    EndAuthority(aNow);
  }
  if (mCall) {
    if (aNow - mCall->mSentAt < mSettings.mCallLimit) {
      return;
    }
    // The reply is late or lost; only a read shows the current object.
    mKnown = mKnown && !mCall->mWrite;
    mCall.reset();
    Read(aNow, aOut);
    return;
  }
  if (aNow >= mNextAt) {
    SendNextCall(aNow, aOut);
  }
}

void
lease::SendNextCall(instant aNow, effect_list& aOut)
{
  if (!mKnown || (!mStopping && !Holds(aNow))) {
    if (!mStopping || mFencing > 0) {
      Read(aNow, aOut);
    }
    return;
  }
  if (!mStopping) {
    Write(mStored, aNow, aOut);
  } else if (IsStoredHolder() && mStored.mFencing == mFencing) {
    auto released = mStored;
    released.mHolder = {};
    Write(released, aNow, aOut);
  }
}

void
lease::GiveUp(instant aNow, effect_list& aOut)
{
  if (mStopping) {
    return;
  }
  const bool held = Holds(aNow);
  mStopping = true;
  mNextAt = aNow;
  if (held && !mCall) {
    SendNextCall(aNow, aOut);
  }
}

void
lease::Read(instant aNow, effect_list& aOut)
{
  Call(read_object{ LeaseKey(mSettings.mDataCentre) }, aNow, aOut);
}

void
lease::Write(const lease_record& aRecord, instant aNow, effect_list& aOut)
{
  auto record = aRecord;
  // Each attempt has its own number, so that a read shows which of several attempts took effect.
  mLastRenewal = std::max(mLastRenewal, mStored.mRenewal) + 1;
  record.mRenewal = mLastRenewal;
  Call(write_object{ LeaseKey(mSettings.mDataCentre), mVersion, record.ToJson() }, aNow, aOut);
  mCall->mWrite = record;
  std::erase_if(
    mSent, [&](const sent_write& aSent) { return aSent.mSentAt + mSettings.mStopAfter <= aNow; });
  mSent.push_back({ record, aNow });
}

void
lease::Call(platform_operation aOperation, instant aNow, effect_list& aOut)
{
  mCall = open_call{ ++mCalls, aNow, std::nullopt };
  aOut.emplace_back(call_platform{ { part::Lease, mCalls }, std::move(aOperation) });
}

void
lease::OnPlatformReply(const platform_replied& aReply, instant aNow, effect_list& aOut)
{
  if (!mCall || aReply.mCall != call_id{ part::Lease, mCall->mNumber }) {
    return;
  }
  const auto call = *std::exchange(mCall, std::nullopt);
  const auto heldBefore = mHeld;
  const auto fencingBefore = mFencing;
  if (call.mWrite) {
    OnOwnWrite(call, aReply.mResult, aNow);
  } else {
    OnRead(aReply.mResult, aNow, aOut);
  }
  if (mHeld && (!heldBefore || fencingBefore != mFencing)) {
    Log(aOut,
        log_level::Info,
        "acquired " + mSettings.mDataCentre + " with fencing number " + std::to_string(mFencing));
  } else if (heldBefore && !mHeld) {
    Log(aOut,
        log_level::Warning,
        "no longer holds the lease of " + mSettings.mDataCentre +
          ": the stored record has no holder, another holder or an older acquisition");
  }
}

void
lease::OnOwnWrite(const open_call& aCall, const platform_result& aResult, instant aNow)
{
  if (const auto* accepted = std::get_if<write_accepted>(&aResult)) {
    Observe(*aCall.mWrite, accepted->mVersion, aNow);
    return;
  }
  if (std::holds_alternative<platform_refused>(aResult)) {
    mNextAt = aNow + kRetryPause + Jitter(mCalls, kRetryPause);
    return;
  }
  // A conflict or no reply: a read shows what is stored. `mKnown` is cleared so that no further
  // write relies on the old version.
  mKnown = false;
  mNextAt = aNow;
}

void
lease::OnRead(const platform_result& aResult, instant aNow, effect_list& aOut)
{
  if (const auto* found = std::get_if<object_found>(&aResult)) {
    const auto record = lease_record::Parse(found->mValue);
    if (!record.ok()) {
      Log(aOut, log_level::Error, std::string(record.status().message()));
    }
    // An unreadable object is treated as having no holder and is replaced after a whole term.
    Observe(record.value_or(lease_record{}), found->mVersion, aNow);
  } else if (std::holds_alternative<object_missing>(aResult)) {
    Observe({}, 0, aNow);
  } else {
    mNextAt = aNow + kRetryPause + Jitter(mCalls, kRetryPause);
    return;
  }
  if (mStopping) {
    mNextAt = aNow;
    return;
  }
  if (mHeld) {
    mNextAt = std::max(aNow, mHeldFrom + mSettings.mRenewEvery);
    return;
  }
  ConsiderTakeover(aNow, aOut);
}

void
lease::Observe(const lease_record& aRecord, std::uint64_t aVersion, instant aNow)
{
  if (!mLastRead || aRecord != mStored || aVersion != mVersion) {
    mReleaseObserved = aRecord.mHolder.mVm.empty() && aRecord.mFencing == mStored.mFencing &&
                       aRecord.mRenewal > mStored.mRenewal && mLastRead &&
                       aNow - *mLastRead < kMaxReleaseReadGap;
    mFirstSeen = aNow;
  }
  mStored = aRecord;
  mVersion = aVersion;
  mKnown = true;
  mLastRead = aNow;
  mSeenFencing = std::max(mSeenFencing, aRecord.mFencing);
  // A record of an earlier acquisition of this process is not the lease that it holds now. A
  // restore of the platform brought it back, and renewing it would write a lower fencing number.
  if (mHeld && (!IsStoredHolder() || aRecord.mFencing < mFencing)) {
    EndAuthority(aNow);
  }
  if (!IsStoredHolder()) {
    return;
  }
  const auto sent = std::find_if(
    mSent.begin(), mSent.end(), [&](const sent_write& aSent) { return aSent.mRecord == aRecord; });
  if (sent != mSent.end()) {
    ConfirmAuthority(aRecord, sent->mSentAt, aNow);
  }
}

void
lease::ConfirmAuthority(const lease_record& aRecord, instant aSentAt, instant aNow)
{
  // An ended acquisition is not resumed: users of the lease must start from a new acquisition.
  const bool over = aRecord.mFencing <= mEndedFencing || aRecord.mFencing < mSeenFencing ||
                    aNow >= aSentAt + mSettings.mStopAfter;
  if (over) {
    return;
  }
  mOwnVersion = mVersion;
  mHeldFrom = mHeld && mFencing == aRecord.mFencing ? std::max(mHeldFrom, aSentAt) : aSentAt;
  mHeld = true;
  mFencing = aRecord.mFencing;
  mNextAt = std::max(aNow, mHeldFrom + mSettings.mRenewEvery);
}

void
lease::ConsiderTakeover(instant aNow, effect_list& aOut)
{
  const auto takeoverAt = TakeoverAt();
  if (aNow >= takeoverAt) {
    lease_record taken{ mSettings.mSelf, 0, 0 };
    taken.mFencing = std::max({ mStored.mFencing, mSeenFencing, mFencing }) + 1;
    Write(taken, aNow, aOut);
    return;
  }
  const bool poller = Rank() < mSettings.mPollers;
  const auto period = poller ? mSettings.mPollEvery : mSettings.mSlowPollEvery;
  mNextAt = aNow + period - Jitter(mCalls, period / 10);
  if (poller) {
    mNextAt = std::min(mNextAt, takeoverAt);
  }
}

std::uint32_t
lease::Rank() const
{
  const auto key = "lease/" + mSettings.mDataCentre;
  const auto own = RendezvousScore(key, mSettings.mSelf.mVm);
  std::uint32_t rank = 0;
  for (const auto& daemon : mDaemons) {
    const bool counts = daemon != mSettings.mSelf && daemon != mStored.mHolder;
    if (counts && RendezvousScore(key, daemon.mVm) > own) {
      ++rank;
    }
  }
  return rank;
}

instant
lease::TakeoverAt() const
{
  // This process wrote the current version, so no other daemon has acquired the lease since. A
  // record that merely names this process is no proof: a restore may have brought it back.
  if (IsStoredHolder() && mVersion == mOwnVersion) {
    return mFirstSeen;
  }
  const auto rank = std::min(Rank(), kMaxRankSteps);
  const auto extra =
    rank == 0 ? milliseconds{ 0 } : kRankStep * rank + Jitter(mStored.mRenewal, kRankStep);
  return mFirstSeen + (mReleaseObserved ? milliseconds{ 0 } : mSettings.mTerm) + extra;
}

milliseconds
lease::Jitter(std::uint64_t aSalt, milliseconds aBelow) const
{
  const auto range = static_cast<std::uint64_t>(std::max<std::int64_t>(1, aBelow.count()));
  const auto spread = Hash64(mSettings.mSelf.mVm, mSettings.mSelf.mStartId + aSalt) % range;
  return milliseconds{ static_cast<std::int64_t>(spread) };
}

} // namespace skylarkwind
