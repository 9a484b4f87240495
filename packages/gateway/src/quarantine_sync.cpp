#include "quarantine_sync_p.h"

#include "known_era_p.h"

#include "skylarkwind/http_pool.h"
#include "skylarkwind/json_text.h"
#include "skylarkwind/log.h"
#include "skylarkwind/quarantine_json.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

constexpr char kQuarantineTag = 'Q';
/// Leaves room for the sender in the 8 KiB that a receiver accepts.
constexpr std::size_t kMaxStateBytes = 7 * 1'024;
constexpr const char* kKind = "skylarkwind-quarantine";
constexpr const char* kName = "parts";
constexpr std::size_t kMaxStoredBytes = std::size_t{ 48 } * 1'024;
/// Interval between datagrams within `kChangeTime` after a change, and otherwise.
constexpr milliseconds kChangeInterval{ 100 };
constexpr milliseconds kChangeTime{ 1'000 };
constexpr milliseconds kIdleInterval{ 1'000 };
constexpr std::size_t kLocalPeers = 2;
/// Daemons of the same data centre that are preferred as collectors.
constexpr std::size_t kRemotePeers = 2;
/// A longer interval between ticks means that this process was stalled.
constexpr milliseconds kStallThreshold{ 500 };
/// How long a daemon asks others for their state.
constexpr milliseconds kAskTime{ 3'000 };
/// Interval between calls of the store while the state changes, and between those of a daemon that
/// lacks contact to others.
constexpr milliseconds kMinStoreInterval{ 250 };
constexpr milliseconds kAloneStoreInterval{ 1'000 };
/// A daemon that lacks contact reads at the shorter interval for this long after a change. Times in
/// the object are known to within that interval.
constexpr milliseconds kAloneChangeTime{ 5'000 };
/// How often one daemon reads the stored object while nothing changes.
constexpr milliseconds kIdleStoreInterval{ 10'000 };
/// Changes are written by the first daemons by duty rank, each of which leaves time to the ones
/// before it.
constexpr std::size_t kWriters = 3;
constexpr milliseconds kWriterDelay{ 400 };

/// Whether `aState` has anything that `aKnown` lacks.
bool
Adds(const quarantine_state& aState, const quarantine_state& aKnown, instant aNow)
{
  prompt_quarantine known{ quarantine_settings{}, aNow };
  known.Merge(aKnown, aNow);
  return known.Merge(aState, aNow);
}

} // namespace

std::string
EncodeQuarantine(const quarantine_message& aMessage, instant aNow)
{
  return kQuarantineTag + std::string{ aMessage.mAsks ? "?" : "!" } + aMessage.mSender + '\n' +
         QuarantineToJson(aMessage.mState, kMaxStateBytes, aNow);
}

bool
IsQuarantineMessage(std::string_view aBytes)
{
  return !aBytes.empty() && aBytes.front() == kQuarantineTag;
}

std::optional<quarantine_message>
DecodeQuarantine(std::string_view aBytes, instant aNow)
{
  constexpr std::size_t kSenderOffset = 2;
  const auto end = aBytes.find('\n');
  if (!IsQuarantineMessage(aBytes) || end == std::string_view::npos || end <= kSenderOffset) {
    return std::nullopt;
  }
  auto state = QuarantineFromJson(aBytes.substr(end + 1), aNow);
  if (!state) {
    return std::nullopt;
  }
  return quarantine_message{ std::string{ aBytes.substr(kSenderOffset, end - kSenderOffset) },
                             aBytes[1] == '?',
                             *std::move(state) };
}

quarantine_sync::quarantine_sync(prompt_quarantine& aQuarantine,
                                 object_store& aStore,
                                 const clock_source& aClock,
                                 const load_exchange& aExchange,
                                 kj::TaskSet& aTasks,
                                 counters& aCounters,
                                 std::uint64_t aRandomSeed,
                                 send aSend,
                                 on_quarantined aOnQuarantined)
  : mQuarantine(aQuarantine)
  , mStore(aStore)
  , mClock(aClock)
  , mExchange(aExchange)
  , mTasks(aTasks)
  , mCounters(aCounters)
  , mRandom(aRandomSeed)
  , mSend(std::move(aSend))
  , mOnQuarantined(std::move(aOnQuarantined))
  , mTickedAt(aClock.Now())
  , mAsksUntil(mTickedAt + kAskTime)
{
}

void
quarantine_sync::OnTick(std::size_t aEngines, instant aNow)
{
  if (aNow - mTickedAt >= kStallThreshold) {
    mAsks = true;
    mAsksUntil = aNow + kAskTime;
    mReadPending = true;
  }
  mTickedAt = aNow;
  mQuarantine.OnTick(aEngines, aNow);
  Announce();
  if (mQuarantine.Version() != mSeenVersion) {
    mSeenVersion = mQuarantine.Version();
    mChangedAt = aNow;
  }
  if (const auto era = KnownEra(mStore, mExchange); era > mEra) {
    // What the stored object had since the copy was taken is gone from it.
    mEra = era;
    mStoredVersion.reset();
    mRestoredAt = aNow;
  }
  mAsks = mAsks && aNow < mAsksUntil;
  SendToPeers(aNow);
  if (!mSyncing && aNow >= NextStoreCall(aNow)) {
    mSyncing = true;
    mStoreCalledAt = aNow;
    mTasks.add(
      SyncWithStore().then([this] { mSyncing = false; },
                           [this](kj::Exception&& aError) {
                             mSyncing = false;
                             Log(log_level::Error, "quarantine", aError.getDescription().cStr());
                           }));
  }
}

void
quarantine_sync::Announce()
{
  const auto count = [this](const char* aEvent) {
    mCounters
      .Get("skylarkwind_quarantine_decisions_total",
           "Decisions on parts of prompts, own ones and those of other daemons.",
           std::string{ "decision=\"" } + aEvent + '"')
      .Add();
  };
  for (const auto& event : mQuarantine.TakeEvents()) {
    if (const auto* held = std::get_if<part_quarantined>(&event)) {
      count("quarantined");
      Log(log_level::Warning,
          "quarantine",
          "part quarantined part=" + PromptPartText(held->mPart.mPart) + " crashes=" +
            std::to_string(held->mPart.mCrashes) + " term=" + std::to_string(held->mPart.mTerm));
      mOnQuarantined();
    } else {
      const auto& released = std::get<part_released>(event);
      count("released");
      Log(log_level::Warning,
          "quarantine",
          "part released part=" + PromptPartText(released.mPart) + " reason=\"" + released.mReason +
            '"');
    }
  }
}

void
quarantine_sync::Send(bool aAsks, std::span<const std::string> aTo, instant aNow)
{
  if (!aTo.empty()) {
    mSend(
      EncodeQuarantine({ mExchange.Members().Self().mAddress, aAsks, mQuarantine.State() }, aNow),
      aTo);
  }
}

void
quarantine_sync::SendToPeers(instant aNow)
{
  const bool changed = mChangedAt != instant{} && aNow - mChangedAt < kChangeTime;
  const auto interval = changed || mAsks ? kChangeInterval : kIdleInterval;
  if (aNow - mSentAt < interval || (!mAsks && mQuarantine.State().Empty())) {
    return;
  }
  mSentAt = aNow;
  Send(mAsks, DrawPeers(aNow), aNow);
}

std::vector<std::string>
quarantine_sync::DrawPeers(instant aNow)
{
  const auto& members = mExchange.Members();
  std::vector<std::string> peers;
  const auto draw = [&](std::vector<const fleet_member*> aFrom, std::size_t aCount) {
    std::shuffle(aFrom.begin(), aFrom.end(), mRandom);
    for (std::size_t i = 0; i < std::min(aCount, aFrom.size()); ++i) {
      peers.push_back(aFrom[i]->mAddress);
    }
  };
  draw(members.LocalPeers(), kLocalPeers);
  std::vector<const fleet_member*> remote;
  for (const auto& dataCentre : members.DataCentres()) {
    if (dataCentre != members.Self().mDataCentre) {
      const auto preferred = members.Preferred(dataCentre, kRemotePeers, aNow);
      remote.insert(remote.end(), preferred.begin(), preferred.end());
    }
  }
  draw(std::move(remote), 1);
  return peers;
}

void
quarantine_sync::OnMessage(const quarantine_message& aMessage)
{
  const auto now = mClock.Now();
  mQuarantine.Merge(aMessage.mState, now);
  Announce();
  mAsks = mAsks && aMessage.mAsks;
  if (aMessage.mAsks) {
    Send(false, std::span{ &aMessage.mSender, 1 }, now);
  }
}

bool
quarantine_sync::LacksContact(instant aNow) const
{
  // Only collectors hear of other data centres; the others of their data centre hear of it from
  // them.
  const bool collects =
    mExchange.Members().IsPreferred(fleet_members::kCollectorsPerDataCentre, aNow);
  return !mExchange.Connected(aNow) || (collects && mExchange.HasSilentDataCentre(aNow));
}

instant
quarantine_sync::NextStoreCall(instant aNow) const
{
  if (mReadPending || mQuarantine.ProbeWanted(aNow)) {
    return mStoreCalledAt + (mFailedReads == 0 ? kMinStoreInterval : kAloneStoreInterval);
  }
  const bool changed = mQuarantine.Version() != mStoredVersion;
  if (LacksContact(aNow)) {
    const bool active =
      changed || (mChangedAt != instant{} && aNow - mChangedAt < kAloneChangeTime);
    return mStoreCalledAt + (active ? kMinStoreInterval : kAloneStoreInterval);
  }
  const auto rank = mExchange.Members().DutyRank(aNow);
  if (changed && rank < kWriters) {
    return std::max(mStoreCalledAt + kMinStoreInterval,
                    std::max(mChangedAt, mRestoredAt) + static_cast<int>(rank) * kWriterDelay);
  }
  return rank == 0 ? mStoreCalledAt + kIdleStoreInterval : instant::max();
}

kj::Promise<void>
quarantine_sync::SyncWithStore()
{
  return mStore.Read(kKind, kName).then([this](store_result<stored_object> aResult) {
    return OnRead(std::move(aResult));
  });
}

kj::Promise<void>
quarantine_sync::OnRead(store_result<stored_object> aResult)
{
  if (const auto* failure = std::get_if<store_failure>(&aResult)) {
    if (failure->mCause != store_failure::cause::Missing) {
      Log(log_level::Debug, "quarantine", "reading the stored state failed: " + failure->mReason);
      ++mFailedReads;
      return kj::READY_NOW;
    }
    mFailedReads = 0;
    mReadPending = false;
    return WriteIfNeeded(std::nullopt, {});
  }
  mFailedReads = 0;
  mReadPending = false;
  const auto& object = std::get<stored_object>(aResult);
  const auto now = mClock.Now();
  const auto stored = QuarantineFromJson(object.mValue, now);
  if (!stored) {
    Log(log_level::Warning, "quarantine", "the stored state is not valid and is replaced");
  } else if (mMergedRevision != object.mRevision) {
    // The ages in the object are those of the time at which it was written, so that merging it
    // again later would bring back what is over.
    mMergedRevision = object.mRevision;
    mQuarantine.Merge(*stored, now);
    Announce();
  }
  return WriteIfNeeded(object.mRevision, stored.value_or(quarantine_state{}));
}

kj::Promise<void>
quarantine_sync::WriteIfNeeded(std::optional<std::uint64_t> aRevision,
                               const quarantine_state& aStored)
{
  const auto now = mClock.Now();
  const auto version = mQuarantine.Version();
  const auto probe = mQuarantine.ProbeWanted(now);
  const auto state = probe ? mQuarantine.StateWithProbe(*probe, now) : mQuarantine.State();
  // One daemon also takes out of the object what is over here.
  const bool outdated = Adds(aStored, state, now) && mExchange.Members().DutyRank(now) == 0;
  if (!outdated && !Adds(state, aStored, now)) {
    mStoredVersion = version;
    return kj::READY_NOW;
  }
  return mStore.Write(kKind, kName, aRevision, QuarantineToJson(state, kMaxStoredBytes, now))
    .then([this, version, probe](store_result<object_written> aResult) {
      const auto* failure = std::get_if<store_failure>(&aResult);
      if (failure == nullptr) {
        mMergedRevision = std::get<object_written>(aResult).mRevision;
        if (EraOf(*mMergedRevision) >= mEra) {
          mStoredVersion = version;
        }
      } else {
        Log(log_level::Debug, "quarantine", "writing the stored state failed: " + failure->mReason);
      }
      const bool mayHaveBeenStored =
        failure == nullptr || failure->mCause == store_failure::cause::NoAnswer;
      if (probe && mayHaveBeenStored) {
        mQuarantine.OnProbeClaimed(*probe, failure == nullptr, mClock.Now());
        Log(log_level::Info, "quarantine", "probe claimed part=" + PromptPartText(*probe));
      }
    });
}

} // namespace skylarkwind
