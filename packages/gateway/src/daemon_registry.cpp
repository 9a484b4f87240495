#include "daemon_registry_p.h"

#include "skylarkwind/http_pool.h"
#include "skylarkwind/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

constexpr const char* kKind = "skylarkwind-daemons";
/// How often a daemon looks whether it is connected.
constexpr milliseconds kLookAgain{ 1'000 };
/// Pauses between lists while other daemons are missing; they double up to the second value.
constexpr milliseconds kFirstPause{ 1'500 };
constexpr milliseconds kLongestPause{ 24'000 };

} // namespace

daemon_registry::daemon_registry(fleet_member aSelf,
                                 object_store& aStore,
                                 kj::Timer& aTimer,
                                 const clock_source& aClock,
                                 std::uint64_t aRandomSeed,
                                 work_exchange& aExchange)
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
  return Pause(kLookAgain).then([this] { return Look(); }).then([this] { return Run(); });
}

kj::Promise<void>
daemon_registry::Look()
{
  const auto now = mClock.Now();
  const bool connected = mExchange.Connected(now);
  const bool collects = connected && mExchange.Members().IsBest(fleet_members::kCollectors, now);
  const bool missing = !connected || (collects && mExchange.MissesDataCentre(now));
  if (!missing && (!collects || mRevision)) {
    mPause = kFirstPause;
    return kj::READY_NOW;
  }
  if (now < mNextAt) {
    return kj::READY_NOW;
  }
  mNextAt = now + mPause;
  mPause = std::min(kLongestPause, 2 * mPause);
  // The object of an earlier process of this VM is mostly right already, which a list shows at less
  // cost than a write.
  mSeenSelf = false;
  return ListPage({}).then([this] {
    if (!mSeenSelf) {
      mRevision.reset();
    }
    return Register();
  });
}

kj::Promise<void>
daemon_registry::Register()
{
  if (mRevision) {
    return kj::READY_NOW;
  }
  return Write(false).then([this](std::optional<store_failure> aFailure) -> kj::Promise<void> {
    if (aFailure && aFailure->mCause == store_failure::cause::Conflict) {
      // An earlier process of this VM left its object, with another address.
      return Write(true).then(
        [](const std::optional<store_failure>& aSecond) { NoteFailure(aSecond); });
    }
    NoteFailure(aFailure);
    return kj::READY_NOW;
  });
}

void
daemon_registry::NoteFailure(const std::optional<store_failure>& aFailure)
{
  // The next look tries again.
  if (aFailure) {
    Log(log_level::Warning, "peers", "registration failed reason=\"" + aFailure->mReason + '"');
  }
}

kj::Promise<std::optional<store_failure>>
daemon_registry::Write(bool aReplace)
{
  const nlohmann::json value{ { "address", mSelf.mAddress },
                              { "data_centre", mSelf.mDataCentre },
                              { "strength", mSelf.mStrength } };
  auto writing = aReplace ? mStore.Replace(kKind, mSelf.mName, value.dump())
                          : mStore.Write(kKind, mSelf.mName, std::nullopt, value.dump());
  return writing.then([this](store_result<object_written> aResult) {
    if (const auto* written = std::get_if<object_written>(&aResult)) {
      mRevision = written->mRevision;
      return std::optional<store_failure>{};
    }
    return std::optional{ std::get<store_failure>(aResult) };
  });
}

kj::Promise<void>
daemon_registry::Leave()
{
  if (!mRevision) {
    return kj::READY_NOW;
  }
  return mStore.Remove(kKind, mSelf.mName, *mRevision)
    .then([](store_result<object_written> aResult) {
      if (const auto* failure = std::get_if<store_failure>(&aResult)) {
        Log(
          log_level::Warning, "peers", "deregistration failed reason=\"" + failure->mReason + '"');
      }
    });
}

kj::Promise<void>
daemon_registry::Pause(milliseconds aTime)
{
  // Spread over the last quarter, so that daemons that start together do not call together.
  std::uniform_int_distribution<std::int64_t> part{ aTime.count() * 3 / 4, aTime.count() };
  return mTimer.afterDelay(ToKj(milliseconds{ part(mRandom) }));
}

kj::Promise<void>
daemon_registry::ListPage(std::string aAfter)
{
  return mStore.List(kKind, std::move(aAfter), true)
    .then([this](store_result<object_page> aResult) -> kj::Promise<void> {
      const auto* page = std::get_if<object_page>(&aResult);
      if (page == nullptr) {
        Log(log_level::Debug, "peers", "the list of daemons could not be read");
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
  const auto value = nlohmann::json::parse(aObject.mValue, nullptr, false);
  const auto text = [&](const char* aName) {
    return value.contains(aName) && value[aName].is_string() ? value[aName].get<std::string>()
                                                             : std::string{};
  };
  if (!value.is_object() || text("address").empty()) {
    Log(log_level::Debug, "peers", "unreadable entry of daemon " + aObject.mName);
    return;
  }
  fleet_member member{ aObject.mName, text("address"), text("data_centre") };
  const auto strength = value.value("strength", nlohmann::json{});
  member.mStrength = strength.is_number_unsigned() ? strength.get<std::uint32_t>() : 0;
  // Whether it reaches the store now is heard from its messages.
  member.mReachesStore = true;
  if (member.mName != mSelf.mName) {
    mExchange.OnListed(member, mClock.Now());
  } else if (member.mAddress == mSelf.mAddress && member.mDataCentre == mSelf.mDataCentre &&
             member.mStrength == mSelf.mStrength) {
    mSeenSelf = true;
    mRevision = aObject.mRevision;
  }
}

} // namespace skylarkwind
