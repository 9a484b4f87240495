#include "peer_snapshots_p.h"

#include "skylarkwind/log.h"
#include "skylarkwind/store_watchers.h"

#include <vector>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kPathPrefix = "/objects/";
constexpr milliseconds kConnectTimeout{ 250 };
/// A large configuration takes about 0.3 s to transfer over a 10 Mbit/s link.
constexpr milliseconds kResponseTimeout{ 1'500 };
/// Limit of a snapshot's size. The objects of one kind are at most those that the pages of a list
/// hold.
constexpr std::size_t kMaxBodyBytes = 8 * 1'024 * 1'024;

http_pool_settings
PoolSettings()
{
  http_pool_settings settings;
  settings.mConnectLimit = kConnectTimeout;
  return settings;
}

} // namespace

peer_snapshots::peer_snapshots(kj::Network& aNetwork,
                               kj::Timer& aTimer,
                               const clock_source& aClock,
                               const kj::HttpHeaderTable& aTable,
                               const load_exchange& aExchange,
                               std::uint64_t aRandomSeed,
                               snapshot_source aSnapshot)
  : mNetwork(aNetwork)
  , mTimer(aTimer)
  , mClock(aClock)
  , mTable(aTable)
  , mExchange(aExchange)
  , mRandom(aRandomSeed)
  , mSnapshot(std::move(aSnapshot))
  , mPool(aNetwork, aTimer, aClock, aTable, PoolSettings())
  , mBodyBudget(2 * kMaxBodyBytes)
  , mServer(aTimer, aTable, *this)
  , mListener("peers", mServer, aTimer)
{
}

kj::Promise<void>
peer_snapshots::Serve(const std::string& aAddress)
{
  return mNetwork.parseAddress(ToKj(aAddress)).then([this](kj::Own<kj::NetworkAddress> aParsed) {
    mPort = aParsed->listen();
    return mListener.Accept(*mPort);
  });
}

kj::Promise<void>
peer_snapshots::request(kj::HttpMethod,
                        kj::StringPtr aUrl,
                        const kj::HttpHeaders&,
                        kj::AsyncInputStream&,
                        Response& aResponse)
{
  const kj::HttpHeaders headers{ mTable };
  const std::string_view path{ aUrl.cStr(), aUrl.size() };
  const auto snapshot = path.starts_with(kPathPrefix) ? mSnapshot(path.substr(kPathPrefix.size()))
                                                      : std::optional<change_batch>{};
  if (!snapshot) {
    auto out = aResponse.send(503, "Service Unavailable", headers, std::uint64_t{ 0 });
    return kj::READY_NOW;
  }
  auto bytes = kj::heap<std::string>(EncodeBatch(*snapshot));
  auto out = aResponse.send(200, "OK", headers, bytes->size());
  auto& stream = *out;
  return stream.write(bytes->data(), bytes->size()).attach(kj::mv(out), kj::mv(bytes));
}

std::optional<std::string>
peer_snapshots::ChoosePeer()
{
  const auto addresses = SnapshotSources(mExchange.Members(), mLastFailed, mClock.Now());
  if (addresses.empty()) {
    return std::nullopt;
  }
  std::uniform_int_distribution<std::size_t> index{ 0, addresses.size() - 1 };
  return addresses[index(mRandom)];
}

kj::Promise<std::optional<change_batch>>
peer_snapshots::Ask(const std::string& aKind, std::uint64_t aRevision)
{
  const auto address = ChoosePeer();
  if (!address) {
    return std::optional<change_batch>{};
  }
  mLastFailed = true;
  http_call call;
  call.mAddress = *address;
  call.mHost = *address;
  call.mMethod = "GET";
  call.mTarget = std::string{ kPathPrefix } + aKind;
  call.mMaxIdleForReuse = milliseconds{ 0 };
  auto fetching =
    mPool.Call(std::move(call))
      .then([this, aRevision](http_result aResult) -> kj::Promise<std::optional<change_batch>> {
        auto* response = std::get_if<std::unique_ptr<http_answer>>(&aResult);
        if (response == nullptr || (*response)->mStatus != 200) {
          return std::optional<change_batch>{};
        }
        auto owned = std::move(*response);
        auto& body = owned->Body();
        return ReadBodyOrThrow(body, kMaxBodyBytes, mBodyBudget)
          .then([this, aRevision, owned = std::move(owned)](const buffered_body& aBody) {
            auto batch = DecodeBatch(aBody.Text());
            mLastFailed = !batch || batch->mTo < aRevision;
            return batch;
          });
      });
  return mTimer.timeoutAfter(ToKj(kResponseTimeout), kj::mv(fetching))
    .then([](std::optional<change_batch> aBatch) { return aBatch; },
          [address = *address](kj::Exception&& aError) {
            Log(log_level::Debug,
                "peers",
                "no snapshot from " + address + " reason=\"" + aError.getDescription().cStr() +
                  '"');
            return std::optional<change_batch>{};
          });
}

} // namespace skylarkwind
