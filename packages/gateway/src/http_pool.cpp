#include "skylarkwind/http_pool.h"

#include "framed_stream_p.h"

#include "skylarkwind/hash.h"

#include <kj/debug.h>

#include <algorithm>

namespace skylarkwind {

namespace {

/// Connections are reused only until this long before the server's idle limit: a server may close a
/// connection at its limit while a request is on its way.
constexpr std::chrono::milliseconds kIdleMargin{ 400 };
/// Within this time after a response, kj's client begins to read again, unless it holds more bytes.
constexpr std::chrono::milliseconds kReadsAgainWithin{ 50 };
/// A connection that has carried so many ids is closed, which bounds the memory that they take.
constexpr std::size_t kMaxCarriedIds = 512;

bool
HasCarried(const pooled_connection& aConnection, std::uint64_t aIdHash)
{
  const auto& ids = aConnection.mCarriedIds;
  return std::find(ids.begin(), ids.end(), aIdHash) != ids.end();
}

/// Whether it is a header that the HTTP library itself derives from the body's size.
bool
IsFramingHeader(kj::StringPtr aName)
{
  return aName == "Content-Length" || aName == "Transfer-Encoding" || aName == "Connection";
}

std::string
ToStd(kj::StringPtr aText)
{
  return { aText.cStr(), aText.size() };
}

kj::HttpMethod
ParseMethod(const std::string& aName)
{
  KJ_IF_MAYBE (method, kj::tryParseHttpMethod(ToKj(aName))) {
    return *method;
  }
  return kj::HttpMethod::GET;
}

/// Whether the body of the response ends with the connection, as it states no length.
bool
HasNoLength(kj::HttpMethod aMethod, const kj::HttpClient::Response& aResponse)
{
  constexpr kj::uint kNoContent = 204;
  constexpr kj::uint kResetContent = 205;
  constexpr kj::uint kNotModified = 304;
  const auto status = aResponse.statusCode;
  return aMethod != kj::HttpMethod::HEAD && status != kNoContent && status != kResetContent &&
         status != kNotModified &&
         aResponse.headers->get(kj::HttpHeaderId::CONTENT_LENGTH) == nullptr &&
         aResponse.headers->get(kj::HttpHeaderId::TRANSFER_ENCODING) == nullptr;
}

/// A body that ends with its connection. Its end counts only once the request has been sent whole:
/// a write that fails takes the error of a reset from the socket, and reads see an orderly end
/// afterwards; a server that closes while it still has to read the request has broken off.
class body_without_length final : public kj::AsyncInputStream
{
public:
  body_without_length(kj::Own<kj::AsyncInputStream> aInner,
                      std::shared_ptr<const upload_progress> aUpload)
    : mInner(kj::mv(aInner))
    , mUpload(std::move(aUpload))
  {
  }

  kj::Promise<size_t> tryRead(void* aBuffer, size_t aMinBytes, size_t aMaxBytes) override
  {
    return mInner->tryRead(aBuffer, aMinBytes, aMaxBytes).then([this, aMinBytes](size_t aBytes) {
      if (aBytes < aMinBytes && *mUpload != upload_progress::Done) {
        kj::throwFatalException(
          KJ_EXCEPTION(DISCONNECTED, "the connection ended before the request was sent"));
      }
      return aBytes;
    });
  }

private:
  kj::Own<kj::AsyncInputStream> mInner;
  std::shared_ptr<const upload_progress> mUpload;
};

/// What no final response may have in its head; empty if there is nothing.
std::string
HeadProblem(const kj::HttpClient::Response& aResponse)
{
  constexpr kj::uint kMinFinalStatus = 200;
  constexpr kj::uint kMaxStatus = 599;
  if (aResponse.statusCode < kMinFinalStatus || aResponse.statusCode > kMaxStatus) {
    return "the response has the invalid status " + std::to_string(aResponse.statusCode);
  }
  return {};
}

http_failure
MakeFailure(const kj::Exception& aError, bool aSent)
{
  return { aSent, ToStd(aError.getDescription()) };
}

} // namespace

header_list
FromKj(const kj::HttpHeaders& aHeaders)
{
  header_list list;
  aHeaders.forEach([&](kj::StringPtr aName, kj::StringPtr aValue) {
    list.emplace_back(ToStd(aName), ToStd(aValue));
  });
  return list;
}

kj::HttpHeaders
ToKj(const header_list& aHeaders, const kj::HttpHeaderTable& aTable)
{
  kj::HttpHeaders headers{ aTable };
  for (const auto& [name, value] : aHeaders) {
    if (!IsFramingHeader(ToKj(name))) {
      headers.add(kj::str(name.c_str()), kj::str(value.c_str()));
    }
  }
  return headers;
}

kj::Duration
ToKj(std::chrono::milliseconds aTime)
{
  return aTime.count() * kj::MILLISECONDS;
}

http_pool::http_pool(kj::Network& aNetwork,
                     kj::Timer& aTimer,
                     const clock_source& aClock,
                     const kj::HttpHeaderTable& aTable,
                     http_pool_settings aSettings)
  : mNetwork(aNetwork)
  , mTimer(aTimer)
  , mClock(aClock)
  , mTable(aTable)
  , mSettings(aSettings)
  , mHeads{ aSettings.mMaxHeadBytes, byte_budget{ aSettings.mMaxHeadBytesInSum } }
{
}

http_pool::~http_pool() = default;

kj::Promise<kj::Own<pooled_connection>>
http_pool::Connect(const std::string& aAddress)
{
  return mNetwork.parseAddress(ToKj(aAddress))
    .then([](kj::Own<kj::NetworkAddress> aParsed) {
      auto& parsed = *aParsed;
      return parsed.connect().attach(kj::mv(aParsed));
    })
    .then([this, aAddress](kj::Own<kj::AsyncIoStream> aStream) {
      auto connection = kj::heap<pooled_connection>();
      connection->mAddress = aAddress;
      connection->mStream = kj::heap<monitored_stream>(kj::mv(aStream));
      connection->mFramed =
        kj::heap<framed_stream>(*connection->mStream, mHeads, message_framing::OfResponses());
      connection->mClient = kj::newHttpClient(mTable, *connection->mFramed);
      return connection;
    });
}

kj::Maybe<kj::Own<pooled_connection>>
http_pool::TakeIdle(const http_call& aCall)
{
  const auto found = mIdle.find(aCall.mAddress);
  if (found == mIdle.end() || aCall.mMaxIdleForReuse == std::chrono::milliseconds{ 0 }) {
    return nullptr;
  }
  auto& idle = found->second;
  const auto now = mClock.Now();
  const auto idHash = Hash64(aCall.mEchoedId);
  for (auto at = idle.size(); at-- > 0;) {
    const auto& candidate = *idle[at];
    const bool usable = !candidate.mStream->HasUnexpectedInput() && now < candidate.mUsableUntil &&
                        now - candidate.mIdleSince <= aCall.mMaxIdleForReuse;
    const bool carried = !aCall.mEchoedId.empty() && HasCarried(candidate, idHash);
    if (usable && (carried || !candidate.mStream->Reading())) {
      continue;
    }
    auto connection = kj::mv(idle[at]);
    idle.erase(idle.begin() + static_cast<std::ptrdiff_t>(at));
    if (usable) {
      connection->mStream->SetIdle(false);
      return kj::mv(connection);
    }
  }
  return nullptr;
}

kj::Promise<http_result>
http_pool::Call(http_call aCall)
{
  // The library throws at once for some addresses and header values. Callers handle failures of the
  // promise's result only.
  const auto send = [this](kj::Own<pooled_connection> aConnection, http_call aSent) {
    return kj::evalNow([&] { return Send(kj::mv(aConnection), std::move(aSent)); })
      .catch_([](kj::Exception&& aError) -> kj::Promise<http_result> {
        return http_result{ MakeFailure(aError, true) };
      });
  };
  KJ_IF_MAYBE (idle, TakeIdle(aCall)) {
    return send(kj::mv(*idle), std::move(aCall));
  }
  auto connecting = mTimer.timeoutAfter(ToKj(mSettings.mConnectLimit),
                                        kj::evalNow([&] { return Connect(aCall.mAddress); }));
  return connecting.then(
    [send, call = std::move(aCall)](kj::Own<pooled_connection> aConnection) mutable {
      return send(kj::mv(aConnection), std::move(call));
    },
    [](kj::Exception&& aError) -> kj::Promise<http_result> {
      return http_result{ MakeFailure(aError, false) };
    });
}

kj::Promise<http_result>
http_pool::Send(kj::Own<pooled_connection> aConnection, http_call aCall)
{
  if (aCall.mSendBy && mClock.Now() > *aCall.mSendBy) {
    return http_result{ http_failure{ false, "the time to send the request is over" } };
  }
  if (!aCall.mEchoedId.empty()) {
    aConnection->mCarriedIds.push_back(Hash64(aCall.mEchoedId));
  }
  auto answer = std::make_unique<http_answer>();
  answer->mConnection = kj::mv(aConnection);
  answer->mUploaded = std::make_shared<upload_progress>(upload_progress::Done);
  auto headers = ToKj(aCall.mHeaders, mTable);
  headers.set(kj::HttpHeaderId::HOST, kj::str(aCall.mHost.c_str()));
  const auto method = ParseMethod(aCall.mMethod);
  const bool bodyless = method == kj::HttpMethod::GET || method == kj::HttpMethod::HEAD;
  if (aCall.mOnSend) {
    aCall.mOnSend();
  }
  kj::Maybe<kj::HttpClient::Request> sentRequest;
  auto sendError = kj::runCatchingExceptions([&] {
    answer->mConnection->mFramed->ExpectResponse(method == kj::HttpMethod::HEAD);
    kj::Maybe<std::uint64_t> size = nullptr;
    if (!bodyless || !aCall.mBody.empty()) {
      size = aCall.mBody.size();
    }
    sentRequest = answer->mConnection->mClient->request(method, ToKj(aCall.mTarget), headers, size);
  });
  KJ_IF_MAYBE (error, sendError) {
    // The client throws before it writes anything when the server has closed the connection.
    return http_result{ MakeFailure(*error, false) };
  }
  auto& request = KJ_ASSERT_NONNULL(sentRequest);
  if (!aCall.mBody.empty()) {
    *answer->mUploaded = upload_progress::Open;
    auto upload = request.body->write(aCall.mBody.data(), aCall.mBody.size());
    answer->mUpload = upload.attach(kj::mv(request.body))
                        .then([progress = answer->mUploaded] { *progress = upload_progress::Done; },
                              [progress = answer->mUploaded](kj::Exception&&) {
                                // The response, or its failure, tells the request's outcome.
                                *progress = upload_progress::Failed;
                              })
                        .eagerlyEvaluate(nullptr);
  }
  return request.response.then(
    [answer = std::move(answer),
     method](kj::HttpClient::Response aResponse) mutable -> http_result {
      if (auto problem = HeadProblem(aResponse); !problem.empty()) {
        return http_failure{ true, std::move(problem) };
      }
      answer->mStatus = static_cast<int>(aResponse.statusCode);
      answer->mHeaders = FromKj(*aResponse.headers);
      answer->mEndsWithConnection = HasNoLength(method, aResponse);
      answer->mBody = kj::mv(aResponse.body);
      if (answer->mEndsWithConnection) {
        answer->mBody = kj::heap<body_without_length>(kj::mv(answer->mBody), answer->mUploaded);
      }
      return std::move(answer);
    },
    [](kj::Exception&& aError) -> http_result { return MakeFailure(aError, true); });
}

void
http_pool::Release(std::unique_ptr<http_answer> aAnswer,
                   bool aServerCloses,
                   std::optional<std::chrono::milliseconds> aIdleLimit)
{
  const bool uploaded = *aAnswer->mUploaded == upload_progress::Done;
  aAnswer->mBody = nullptr;
  aAnswer->mUpload = nullptr;
  auto connection = kj::mv(aAnswer->mConnection);
  if (aServerCloses || !uploaded || connection->mStream->Ended() ||
      !connection->mFramed->ResponseComplete() ||
      connection->mCarriedIds.size() >= kMaxCarriedIds) {
    return;
  }
  const auto limit = aIdleLimit ? *aIdleLimit - kIdleMargin : mSettings.mDefaultIdle;
  const auto now = mClock.Now();
  connection->mIdleSince = now;
  connection->mUsableUntil = now + std::min(limit, mSettings.mMaxIdle);
  connection->mStream->SetIdle(true);
  mIdle[connection->mAddress].push_back(kj::mv(connection));
}

void
http_pool::OnTick(instant aNow)
{
  for (auto entry = mIdle.begin(); entry != mIdle.end();) {
    auto& idle = entry->second;
    std::erase_if(idle, [&](const auto& aConnection) {
      const bool holdsBytes =
        !aConnection->mStream->Reading() && aNow - aConnection->mIdleSince >= kReadsAgainWithin;
      return aNow >= aConnection->mUsableUntil || aConnection->mStream->HasUnexpectedInput() ||
             holdsBytes;
    });
    entry = idle.empty() ? mIdle.erase(entry) : std::next(entry);
  }
}

} // namespace skylarkwind
