#include "peer_snapshots_p.h"

#include "skylarkwind/log.h"

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

constexpr std::string_view kPathPrefix = "/objects/";
constexpr const char* kPartPath = "/parts";
/// Requests for parts are sent as bodies of at most this size.
constexpr std::uint64_t kMaxPartRequestBytes = std::uint64_t{ 4 } * 1'024;
/// Limit of the answer to a request for a part, whose bytes are at most 16 KiB.
constexpr std::size_t kMaxPartResponseBytes = std::size_t{ 64 } * 1'024;
/// Connections to the daemons that are asked for parts are reused for the next part.
constexpr milliseconds kMaxIdleForReuse{ 500 };
constexpr milliseconds kConnectTimeout{ 250 };
/// For a whole snapshot of a daemon of an earlier release, which cannot be continued elsewhere.
constexpr milliseconds kSnapshotTimeout{ 3'000 };
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
                               snapshot_source aSnapshot,
                               part_source aPart)
  : mNetwork(aNetwork)
  , mTimer(aTimer)
  , mClock(aClock)
  , mTable(aTable)
  , mSnapshot(std::move(aSnapshot))
  , mPart(std::move(aPart))
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
peer_snapshots::Send(Response& aResponse, const kj::HttpHeaders& aHeaders, std::string aBody)
{
  auto bytes = kj::heap<std::string>(std::move(aBody));
  auto out = aResponse.send(200, "OK", aHeaders, bytes->size());
  auto& stream = *out;
  return stream.write(bytes->data(), bytes->size()).attach(kj::mv(out), kj::mv(bytes));
}

kj::Promise<void>
peer_snapshots::request(kj::HttpMethod,
                        kj::StringPtr aUrl,
                        const kj::HttpHeaders&,
                        kj::AsyncInputStream& aBody,
                        Response& aResponse)
{
  const std::string_view path{ aUrl.cStr(), aUrl.size() };
  if (path == kPartPath) {
    return aBody.readAllBytes(kMaxPartRequestBytes)
      .then([this, &aResponse](const kj::Array<kj::byte>& aBytes) -> kj::Promise<void> {
        const kj::HttpHeaders headers{ mTable };
        const auto request =
          DecodePartRequest({ reinterpret_cast<const char*>(aBytes.begin()), aBytes.size() });
        if (!request) {
          auto out = aResponse.send(400, "Bad Request", headers, std::uint64_t{ 0 });
          return kj::READY_NOW;
        }
        return Send(aResponse, headers, EncodePartResponse(mPart(*request)));
      });
  }
  const kj::HttpHeaders headers{ mTable };
  const auto snapshot = path.starts_with(kPathPrefix) ? mSnapshot(path.substr(kPathPrefix.size()))
                                                      : std::optional<change_batch>{};
  if (!snapshot) {
    auto out = aResponse.send(503, "Service Unavailable", headers, std::uint64_t{ 0 });
    return kj::READY_NOW;
  }
  return Send(aResponse, headers, EncodeBatch(*snapshot));
}

kj::Promise<std::optional<std::string>>
peer_snapshots::ReadAnswer(http_result aResult, std::size_t aMaxBytes, bool aReuse)
{
  auto* response = std::get_if<std::unique_ptr<http_answer>>(&aResult);
  if (response == nullptr || (*response)->mStatus != 200) {
    return std::optional<std::string>{};
  }
  auto owned = std::move(*response);
  auto& body = owned->Body();
  return ReadBodyOrThrow(body, aMaxBytes, mBodyBudget)
    .then([this, aReuse, owned = std::move(owned)](const buffered_body& aBody) mutable {
      if (aReuse) {
        mPool.Release(std::move(owned), false, std::nullopt);
      }
      return std::optional{ aBody.Text() };
    });
}

kj::Promise<part_response>
peer_snapshots::FetchPart(const std::string& aAddress, const part_request& aRequest)
{
  auto body = kj::heap<std::string>(EncodePartRequest(aRequest));
  http_call call;
  call.mAddress = aAddress;
  call.mHost = aAddress;
  call.mMethod = "POST";
  call.mTarget = kPartPath;
  call.mBody = *body;
  call.mMaxIdleForReuse = kMaxIdleForReuse;
  return mPool.Call(std::move(call))
    .then([this](http_result aResult) -> kj::Promise<part_response> {
      const auto* response = std::get_if<std::unique_ptr<http_answer>>(&aResult);
      part_response failed;
      // Daemons of earlier releases do not know the path.
      failed.mOutcome = response != nullptr && (*response)->mStatus == 503
                          ? part_response::outcome::Unsupported
                          : part_response::outcome::Failed;
      return ReadAnswer(std::move(aResult), kMaxPartResponseBytes, true)
        .then([failed](const std::optional<std::string>& aText) {
          return aText ? DecodePartResponse(*aText).value_or(failed) : failed;
        });
    })
    .catch_([aAddress](kj::Exception&& aError) {
      Log(log_level::Debug,
          "peers",
          "no part from " + aAddress + " reason=\"" + aError.getDescription().cStr() + '"');
      return part_response{};
    })
    .attach(kj::mv(body));
}

kj::Promise<std::optional<change_batch>>
peer_snapshots::FetchSnapshot(const std::string& aAddress, const std::string& aKind)
{
  http_call call;
  call.mAddress = aAddress;
  call.mHost = aAddress;
  call.mMethod = "GET";
  call.mTarget = std::string{ kPathPrefix } + aKind;
  call.mMaxIdleForReuse = milliseconds{ 0 };
  auto fetching = mPool.Call(std::move(call))
                    .then([this](http_result aResult) {
                      return ReadAnswer(std::move(aResult), kMaxBodyBytes, false);
                    })
                    .then([](const std::optional<std::string>& aText) {
                      return aText ? DecodeBatch(*aText) : std::optional<change_batch>{};
                    });
  return mTimer.timeoutAfter(ToKj(kSnapshotTimeout), kj::mv(fetching))
    .then([](std::optional<change_batch> aBatch) { return aBatch; },
          [aAddress](kj::Exception&& aError) {
            Log(log_level::Info,
                "peers",
                "no snapshot from " + aAddress + " reason=\"" + aError.getDescription().cStr() +
                  '"');
            return std::optional<change_batch>{};
          });
}

} // namespace skylarkwind
