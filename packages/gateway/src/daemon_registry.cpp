#include "daemon_registry_p.h"

#include "skylarkwind/http_pool.h"
#include "skylarkwind/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

constexpr const char* kKind = "skylarkwind-daemons";
constexpr milliseconds kRegisterAgain{ 1'000 };
/// Lists come quickly at first, because daemons start at about the same time, and rarely later.
constexpr std::array kListPauses{ milliseconds{ 300 },
                                  milliseconds{ 1'000 },
                                  milliseconds{ 3'000 } };
constexpr milliseconds kListPeriod{ 30'000 };

} // namespace

daemon_registry::daemon_registry(std::string aSelf,
                                 std::string aAddress,
                                 std::string aDataCentre,
                                 object_store& aStore,
                                 kj::Timer& aTimer,
                                 std::uint64_t aRandomSeed,
                                 peer_digests& aPeers)
  : mSelf(std::move(aSelf))
  , mAddress(std::move(aAddress))
  , mDataCentre(std::move(aDataCentre))
  , mStore(aStore)
  , mTimer(aTimer)
  , mRandom(aRandomSeed)
  , mPeers(aPeers)
{
}

kj::Promise<void>
daemon_registry::Run()
{
  // The object of an earlier process of this VM is mostly right already, which a list shows at less
  // cost than a write.
  return ListPage({}).then([this] { return Register(); }).then([this] { return ListForever(); });
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
      return Write(true).then([this](std::optional<store_failure> aSecond) {
        return aSecond ? RegisterLater(*aSecond) : kj::Promise<void>{ kj::READY_NOW };
      });
    }
    return aFailure ? RegisterLater(*aFailure) : kj::Promise<void>{ kj::READY_NOW };
  });
}

kj::Promise<void>
daemon_registry::RegisterLater(const store_failure& aFailure)
{
  Log(log_level::Warning, "peers", "registration failed reason=\"" + aFailure.mReason + '"');
  return Pause(kRegisterAgain).then([this] { return Register(); });
}

kj::Promise<std::optional<store_failure>>
daemon_registry::Write(bool aReplace)
{
  const nlohmann::json value{ { "address", mAddress }, { "data_centre", mDataCentre } };
  auto writing = aReplace ? mStore.Replace(kKind, mSelf, value.dump())
                          : mStore.Write(kKind, mSelf, std::nullopt, value.dump());
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
  return mStore.Remove(kKind, mSelf, *mRevision).then([](store_result<object_written> aResult) {
    if (const auto* failure = std::get_if<store_failure>(&aResult)) {
      Log(log_level::Warning, "peers", "deregistration failed reason=\"" + failure->mReason + '"');
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
daemon_registry::ListForever()
{
  const auto pause = mLists < kListPauses.size() ? kListPauses[mLists] : kListPeriod;
  ++mLists;
  return Pause(pause).then([this] { return ListPage({}); }).then([this] { return ListForever(); });
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
  if (!value.is_object() || !value.contains("address") || !value["address"].is_string()) {
    Log(log_level::Debug, "peers", "unreadable entry of daemon " + aObject.mName);
    return;
  }
  const auto address = value["address"].get<std::string>();
  const bool near = value.value("data_centre", nlohmann::json{}) == mDataCentre;
  if (aObject.mName != mSelf) {
    mPeers.SetPeer(aObject.mName, address, near);
  } else if (address == mAddress && near) {
    mRevision = aObject.mRevision;
  }
}

void
daemon_registry::OnDigest(const work_digest& aDigest)
{
  if (aDigest.mSender != mSelf && !aDigest.mAddress.empty()) {
    mPeers.SetPeer(aDigest.mSender, aDigest.mAddress, aDigest.mDataCentre == mDataCentre);
  }
}

} // namespace skylarkwind
