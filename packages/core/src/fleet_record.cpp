#include "fleet_record_p.h"

#include <algorithm>
#include <utility>

namespace skylarkwind {

namespace {

constexpr std::chrono::milliseconds kRetryDelay{ 500 };
/// Interval at which the stored object is read again. Without it, a lease holder that has nothing
/// to write would not notice that a restore of the platform brought back unsettled engine commands.
constexpr std::chrono::milliseconds kRereadInterval{ 10'000 };

} // namespace

fleet_record::fleet_record(std::string aDataCentre, std::chrono::milliseconds aCallTimeout)
  : mKey{ "fleet", std::move(aDataCentre) }
  , mCallTimeout(aCallTimeout)
{
}

void
fleet_record::Begin(std::uint64_t aFencing, instant aNow)
{
  End();
  mRevisionFloor = aFencing * kRevisionsPerAcquisition;
  mActive = true;
  mNextAt = aNow;
}

void
fleet_record::End()
{
  mActive = false;
  mLoaded = false;
  mDirty = false;
  mWriteInDoubt = false;
  mWriting.reset();
  mCall.reset();
}

fleet_object&
fleet_record::Change()
{
  mDirty = true;
  return mDraft;
}

std::uint64_t
fleet_record::NextRevision() const
{
  auto base = mWriting ? mWriting->mRevision : mStored.mRevision;
  if (mDistributed) {
    base = std::max(base, mDistributed->mRevision);
  }
  return std::max(base, mRevisionFloor) + 1;
}

void
fleet_record::OnDistributed(const fleet_object& aObject)
{
  if (!mDistributed || aObject.mRevision > mDistributed->mRevision) {
    mDistributed = aObject;
  }
}

void
fleet_record::OnTick(instant aNow, bool aMayWrite, effect_list& aOut)
{
  if (!mActive) {
    return;
  }
  if (mCall) {
    if (aNow - mCall->mSentAt < mCallTimeout) {
      return;
    }
    mWriteInDoubt = mWriteInDoubt || mCall->mWrite;
    mCall.reset();
  }
  if (aNow < mNextAt) {
    return;
  }
  if (!mLoaded || mWriteInDoubt) {
    Call(read_object{ mKey }, false, aNow, aOut);
    return;
  }
  if (!mDirty && !mWriting) {
    if (aNow >= mNextReread) {
      Call(read_object{ mKey }, false, aNow, aOut);
    }
    return;
  }
  if (!aMayWrite) {
    return;
  }
  if (!mWriting) {
    mDraft.mRevision = NextRevision();
    mWriting = mDraft;
    mDirty = false;
  }
  Call(write_object{ mKey, mVersion, mWriting->ToJson() }, true, aNow, aOut);
}

void
fleet_record::Call(platform_operation aOperation, bool aWrite, instant aNow, effect_list& aOut)
{
  mCall = open_call{ ++mCalls, aNow, aWrite };
  aOut.emplace_back(call_platform{ { part::EngineCommands, mCalls }, std::move(aOperation) });
}

fleet_record::outcome
fleet_record::OnPlatformReply(const platform_replied& aReply, instant aNow)
{
  if (!mCall || aReply.mCall != call_id{ part::EngineCommands, mCall->mNumber }) {
    return outcome::None;
  }
  const auto call = *std::exchange(mCall, std::nullopt);
  return call.mWrite ? OnWriteReply(aReply.mResult, aNow) : OnReadReply(aReply.mResult, aNow);
}

fleet_record::outcome
fleet_record::OnWriteReply(const platform_result& aResult, instant aNow)
{
  if (const auto* accepted = std::get_if<write_accepted>(&aResult)) {
    return Confirm(accepted->mVersion);
  }
  if (std::holds_alternative<platform_refused>(aResult)) {
    mNextAt = aNow + kRetryDelay;
    return outcome::None;
  }
  mWriteInDoubt = true;
  mNextAt = aNow;
  return outcome::None;
}

fleet_record::outcome
fleet_record::OnReadReply(const platform_result& aResult, instant aNow)
{
  fleet_object object;
  std::uint64_t version = 0;
  if (const auto* found = std::get_if<object_found>(&aResult)) {
    // An unreadable object is replaced: the distributed copy, if any, is newer than an empty one.
    object = fleet_object::Parse(found->mValue).value_or(fleet_object{});
    version = found->mVersion;
  } else if (!std::holds_alternative<object_missing>(aResult)) {
    mNextAt = aNow + kRetryDelay;
    return outcome::None;
  }
  mNextAt = aNow;
  mNextReread = aNow + kRereadInterval;
  if (!mLoaded) {
    return Load(std::move(object), version);
  }
  mWriteInDoubt = false;
  if (mWriting && object.ToJson() == mWriting->ToJson()) {
    return Confirm(version);
  }
  if (version == mVersion) {
    // The object is unchanged, so a write in doubt has not arrived yet. It is sent again with the
    // same expected version, so that only one of the two can take effect.
    return outcome::None;
  }
  mLoaded = false;
  mWriting.reset();
  return outcome::Displaced;
}

fleet_record::outcome
fleet_record::Load(fleet_object aObject, std::uint64_t aVersion)
{
  // After a restore of the platform the distributed copy has newer engine commands.
  if (mDistributed && mDistributed->mRevision > aObject.mRevision) {
    aObject = *mDistributed;
  }
  mStored = std::move(aObject);
  mDraft = mStored;
  mVersion = aVersion;
  mLoaded = true;
  mDirty = false;
  mWriting.reset();
  return outcome::Loaded;
}

fleet_record::outcome
fleet_record::Confirm(std::uint64_t aVersion)
{
  mStored = *std::exchange(mWriting, std::nullopt);
  mVersion = aVersion;
  mWritten = mStored;
  OnDistributed(mStored);
  return outcome::Confirmed;
}

std::optional<fleet_object>
fleet_record::TakeWritten()
{
  return std::exchange(mWritten, std::nullopt);
}

} // namespace skylarkwind
