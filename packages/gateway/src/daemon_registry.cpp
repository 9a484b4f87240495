#include "daemon_registry_p.h"

#include "known_era_p.h"

#include "skylarkwind/http_pool.h"
#include "skylarkwind/json_text.h"
#include "skylarkwind/log.h"
#include "skylarkwind/net_address.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

constexpr const char* kKind = "skylarkwind-daemons";
/// How often a daemon checks whether it is connected.
constexpr milliseconds kCheckInterval{ 1'000 };
/// Interval between lists while other daemons are missing; it doubles up to the maximum.
constexpr milliseconds kMinListInterval{ 1'500 };
constexpr milliseconds kMaxListInterval{ 24'000 };
/// Longest name of a daemon or a data centre that is accepted.
constexpr std::size_t kMaxNameBytes = 128;
/// Largest CPU share that is accepted, in thousandths of a core.
constexpr std::uint64_t kMaxCpuMillicores = 1'000'000;

} // namespace

daemon_registry::daemon_registry(fleet_member aSelf,
                                 object_store& aStore,
                                 kj::Timer& aTimer,
                                 const clock_source& aClock,
                                 std::uint64_t aRandomSeed,
                                 load_exchange& aExchange)
  : mSelf(std::move(aSelf))
  , mStore(aStore)
  , mTimer(aTimer)
  , mClock(aClock)
  , mRandom(aRandomSeed)
  , mExchange(aExchange)
{
}

kj::Promise<void>
daemon_registry::Run()
{
  return Delay(kCheckInterval).then([this] { return RefreshIfNeeded(); }).then([this] {
    return Run();
  });
}

kj::Promise<void>
daemon_registry::RefreshIfNeeded()
{
  if (mLeaving) {
    return kj::READY_NOW;
  }
  const auto now = mClock.Now();
  NoticeRestoredStore();
  if (mWritesAgain) {
    return Register();
  }
  const bool connected = mExchange.Connected(now);
  const bool isCollector =
    connected && mExchange.Members().IsPreferred(fleet_members::kCollectorsPerDataCentre, now);
  const bool peersMissing = !connected || (isCollector && mExchange.HasSilentDataCentre(now));
  if (!peersMissing && (!isCollector || mRevision)) {
    mListInterval = kMinListInterval;
    return kj::READY_NOW;
  }
  if (now < mNextListAt) {
    return kj::READY_NOW;
  }
  mNextListAt = now + mListInterval;
  mListInterval = std::min(kMaxListInterval, 2 * mListInterval);
  // The object left by an earlier process on this VM is usually still correct. A list shows that at
  // less cost than a write.
  mFoundSelf = false;
  return ListPage({}).then([this] {
    if (!mFoundSelf) {
      mRevision.reset();
    }
    return Register();
  });
}

void
daemon_registry::NoticeRestoredStore()
{
  const auto era = KnownEra(mStore, mExchange);
  if (era <= mEra) {
    return;
  }
  mEra = era;
  if (mRevision && EraOf(*mRevision) < era) {
    Log(log_level::Info,
        "peers",
        "the store was restored from a copy, registering again era=" + std::to_string(era));
    mRevision.reset();
    mWritesAgain = true;
  }
}

kj::Promise<void>
daemon_registry::Register()
{
  if (mLeaving) {
    // A list may have found the object after the daemon began to leave.
    return Deregister();
  }
  if (mRevision) {
    return kj::READY_NOW;
  }
  return Write(false)
    .then([this](std::optional<store_failure> aFailure) -> kj::Promise<void> {
      if (aFailure && aFailure->mCause == store_failure::cause::Conflict && !mLeaving) {
        // An earlier process on this VM left an object with a different address.
        return Write(true).then(
          [](const std::optional<store_failure>& aSecond) { LogFailure(aSecond); });
      }
      LogFailure(aFailure);
      return kj::READY_NOW;
    })
    .then([this]() -> kj::Promise<void> {
      // The daemon may have begun to leave while the object was written.
      return mLeaving ? Deregister() : kj::READY_NOW;
    });
}

void
daemon_registry::LogFailure(const std::optional<store_failure>& aFailure)
{
  // The next check retries.
  if (aFailure) {
    Log(log_level::Warning, "peers", "registration failed reason=\"" + aFailure->mReason + '"');
  }
}

kj::Promise<std::optional<store_failure>>
daemon_registry::Write(bool aReplace)
{
  const nlohmann::json value{ { "address", mSelf.mAddress },
                              { "data_centre", mSelf.mDataCentre },
                              { "strength", mSelf.mCpuMillicores } };
  auto writing = aReplace ? mStore.Replace(kKind, mSelf.mName, value.dump())
                          : mStore.Write(kKind, mSelf.mName, std::nullopt, value.dump());
  return writing.then([this](store_result<object_written> aResult) {
    if (const auto* written = std::get_if<object_written>(&aResult)) {
      mRevision = written->mRevision;
      mWritesAgain = EraOf(*mRevision) < mEra;
      return std::optional<store_failure>{};
    }
    return std::optional{ std::get<store_failure>(aResult) };
  });
}

kj::Promise<void>
daemon_registry::Leave()
{
  mLeaving = true;
  return Deregister();
}

kj::Promise<void>
daemon_registry::Deregister()
{
  const bool restored =
    mWritesAgain || (mRevision && EraOf(*mRevision) < KnownEra(mStore, mExchange));
  const auto revision = std::exchange(mRevision, std::nullopt);
  mWritesAgain = false;
  if (restored) {
    return RemoveFromRestoredStore();
  }
  if (!revision) {
    return kj::READY_NOW;
  }
  return Remove(*revision);
}

kj::Promise<void>
daemon_registry::RemoveFromRestoredStore()
{
  return mStore.Read(kKind, mSelf.mName)
    .then([this](store_result<stored_object> aResult) -> kj::Promise<void> {
      if (const auto* failure = std::get_if<store_failure>(&aResult)) {
        LogDeregistrationFailure(*failure);
        return kj::READY_NOW;
      }
      return Remove(std::get<stored_object>(aResult).mRevision);
    });
}

kj::Promise<void>
daemon_registry::Remove(std::uint64_t aRevision)
{
  return mStore.Remove(kKind, mSelf.mName, aRevision)
    .then([](store_result<object_written> aResult) {
      if (const auto* failure = std::get_if<store_failure>(&aResult)) {
        LogDeregistrationFailure(*failure);
      }
    });
}

void
daemon_registry::LogDeregistrationFailure(const store_failure& aFailure)
{
  if (aFailure.mCause != store_failure::cause::Missing) {
    Log(log_level::Warning, "peers", "deregistration failed reason=\"" + aFailure.mReason + '"');
  }
}

kj::Promise<void>
daemon_registry::Delay(milliseconds aTime)
{
  // Jitter over the last quarter, so that daemons that start together do not call at the same time.
  std::uniform_int_distribution<std::int64_t> delay{ aTime.count() * 3 / 4, aTime.count() };
  return mTimer.afterDelay(ToKj(milliseconds{ delay(mRandom) }));
}

kj::Promise<void>
daemon_registry::ListPage(std::string aAfter)
{
  return mStore.List(kKind, std::move(aAfter), true)
    .then([this](store_result<object_page> aResult) -> kj::Promise<void> {
      const auto* page = std::get_if<object_page>(&aResult);
      if (page == nullptr) {
        Log(log_level::Debug, "peers", "listing the registered daemons failed");
        return kj::READY_NOW;
      }
      for (const auto& object : page->mObjects) {
        OnListed(object);
      }
      if (!page->mMore || page->mObjects.empty()) {
        return kj::READY_NOW;
      }
      return ListPage(page->mObjects.back().mName);
    });
}

void
daemon_registry::OnListed(const stored_object& aObject)
{
  const auto value = ParseUntrustedJson(aObject.mValue);
  const auto text = [&](const char* aName) {
    return value.contains(aName) && value[aName].is_string() ? value[aName].get<std::string>()
                                                             : std::string{};
  };
  // Names and data centres are sent in every summary, whose size is limited.
  if (!value.is_object() || !IsReachableIpPort(text("address")) ||
      std::max(aObject.mName.size(), text("data_centre").size()) > kMaxNameBytes) {
    Log(log_level::Debug, "peers", "malformed registration of daemon " + aObject.mName);
    return;
  }
  fleet_member member{ aObject.mName, text("address"), text("data_centre") };
  const auto strength = value.value("strength", nlohmann::json{});
  member.mCpuMillicores = strength.is_number_unsigned()
                            ? static_cast<std::uint32_t>(std::min<std::uint64_t>(
                                strength.get<std::uint64_t>(), kMaxCpuMillicores))
                            : 0;
  // Assumed until its messages tell whether it reaches the store.
  member.mReachesStore = true;
  if (member.mName != mSelf.mName) {
    mExchange.OnListed(member, mClock.Now());
  } else if (member.mAddress == mSelf.mAddress && member.mDataCentre == mSelf.mDataCentre &&
             member.mCpuMillicores == mSelf.mCpuMillicores) {
    mFoundSelf = true;
    mRevision = aObject.mRevision;
  }
}

} // namespace skylarkwind
