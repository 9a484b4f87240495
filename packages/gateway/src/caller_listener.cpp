#include "caller_listener_p.h"

#include "caller_response_p.h"

#include "skylarkwind/log.h"

#include <kj/debug.h>

#include <algorithm>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace skylarkwind {

namespace {

/// Connections without a request are closed by `CloseIdle`, whose limits may change while a
/// connection is open, and which finds a request that has arrived and not been read.
constexpr auto kNoTimeout = 1 * kj::HOURS;
/// The last line end of a chunked body may arrive after the response, and so may an empty line that
/// some callers send after a body.
constexpr std::uint64_t kLineEndBytes = 2;
/// Time from the end of a response that announces the close of its connection to the close.
constexpr std::chrono::milliseconds kAnnouncedCloseDelay{ 50 };
/// A connection that the daemon closes stays open for reading until the caller has sent nothing for
/// the first time, and for the second time at most.
constexpr std::chrono::milliseconds kLingerSilence{ 1'000 };
constexpr std::chrono::milliseconds kLingerLimit{ 5'000 };
constexpr std::size_t kDiscardBytes = 4 * 1'024;
/// Limit of discarded text in a line of the log.
constexpr std::size_t kLoggedBytes = 80;
/// Limit of the heads of requests that are being read at the same time.
constexpr std::size_t kMaxHeadBytesInSum = std::size_t{ 8 } * 1'024 * 1'024;
/// Bytes around the name and the value of a header, and around the parts of a request line.
constexpr std::size_t kHeadFraming = 4;
constexpr unsigned int kHeadTooLong = 431;

/// Why the daemon closes a connection.
enum class close_cause
{
  Idle,      ///< no request was open for too long
  Announced, ///< the last response said so
  Response   ///< after a response that the caller has not taken whole, or to a request that was not
             ///< read whole, or the caller left
};

std::string_view
Name(close_cause aCause)
{
  switch (aCause) {
    case close_cause::Idle:
      return "idle";
    case close_cause::Announced:
      return "announced";
    case close_cause::Response:
      return "response";
  }
  return {};
}

/// Bytes of a request's head, with one space after each colon.
std::size_t
HeadBytes(kj::StringPtr aMethod, kj::StringPtr aUrl, const kj::HttpHeaders& aHeaders)
{
  auto bytes = aMethod.size() + aUrl.size() + kHeadFraming;
  aHeaders.forEach([&bytes](kj::StringPtr aName, kj::StringPtr aValue) {
    bytes += aName.size() + aValue.size() + kHeadFraming;
  });
  return bytes;
}

/// The whole response to a head that was not read to its end.
std::string
Rejection(head_error aError)
{
  switch (aError) {
    case head_error::TooLong:
      return "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\n"
             "Content-Length: 0\r\n\r\n";
    case head_error::OverBudget:
      return "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\n"
             "Content-Length: 0\r\n\r\n";
  }
  return {};
}

/// The first line up to its query, shortened, without what could be taken for a part of the log
/// line.
std::string
LoggedBegin(std::string_view aText)
{
  std::string begin{ aText.substr(0, std::min(aText.find_first_of("?\r\n"), kLoggedBytes)) };
  std::replace_if(
    begin.begin(),
    begin.end(),
    [](char aCharacter) { return aCharacter < ' ' || aCharacter > '~' || aCharacter == '"'; },
    '.');
  return begin;
}

} // namespace

class caller_listener::connection final
  : public kj::HttpService
  , private kj::HttpServerErrorHandler
  , private kj::HttpServerCallbacks
{
public:
  connection(caller_listener& aOwner, kj::Own<kj::AsyncIoStream> aStream)
    : mOwner(aOwner)
    , mStream(kj::heap<monitored_stream>(kj::mv(aStream)))
    , mFramed(*mStream, aOwner.mHeads, message_framing::OfRequests())
    , mServer(aOwner.mContext.mTimer, aOwner.mContext.mTable, *this, Settings())
    , mIdleSince(aOwner.mContext.mClock.Now())
    , mHeadSince(mIdleSince)
  {
  }
  ~connection() noexcept { LogDiscarded(); }
  connection(const connection&) = delete;
  connection& operator=(const connection&) = delete;

  void Start()
  {
    // The server gets a non-owning pointer, so that the stream outlives the server's use of it.
    auto serving =
      mServer.listenHttp(kj::Own<kj::AsyncIoStream>{ &mFramed, kj::NullDisposer::instance });
    mServing = serving
                 .catch_([](kj::Exception&&) {
                   // The exchange has logged the reason; the connection is closed in any case.
                 })
                 .then([this] { return RejectHead(); })
                 .then([this] {
                   return Linger(mCloseAnnounced ? close_cause::Announced : close_cause::Response);
                 })
                 .eagerlyEvaluate(nullptr);
  }

  /// Ends the connection between two requests.
  void Close()
  {
    if (mLingering) {
      return;
    }
    const auto cause = mCloseAnnounced                 ? close_cause::Announced
                       : mStream->UnwrittenBytes() > 0 ? close_cause::Response
                                                       : close_cause::Idle;
    // The server reads from the stream until it is dropped.
    mServing = nullptr;
    mServing = Linger(cause).eagerlyEvaluate(nullptr);
  }

  kj::Promise<void> request(kj::HttpMethod aMethod,
                            kj::StringPtr aUrl,
                            const kj::HttpHeaders& aHeaders,
                            kj::AsyncInputStream& aBody,
                            Response& aResponse) override
  {
    if (mCloseAnnounced) {
      // The caller has been told that nothing follows, so it would not expect a response.
      return KJ_EXCEPTION(DISCONNECTED, "a request after the last response of the connection");
    }
    auto& context = mOwner.mContext;
    std::string host;
    KJ_IF_MAYBE (value, aHeaders.get(kj::HttpHeaderId::HOST)) {
      host.assign(value->cStr(), value->size());
    }
    auto method = kj::str(aMethod);
    const bool tooLong = HeadBytes(method, aUrl, aHeaders) > mOwner.mMaxHeadBytes;
    auto request = context.mProtocolAdapter.ParseRequest({ method.cStr(), method.size() },
                                                         std::move(host),
                                                         { aUrl.cStr(), aUrl.size() },
                                                         FromKj(aHeaders));
    ++mOwner.mOpenRequests;
    ++mActiveRequests;
    auto serving = kj::heap<exchange>(context, aResponse, *mStream);
    mExchange = serving.get();
    auto promise =
      tooLong ? serving->Reject(std::move(request), { kHeadTooLong, "the head is too large" })
              : serving->Serve(std::move(request), aBody);
    return promise.attach(kj::mv(serving), kj::defer([this] {
                            mExchange = nullptr;
                            --mOwner.mOpenRequests;
                            --mActiveRequests;
                            mIdleSince = mOwner.mContext.mClock.Now();
                            mReadAtEnd = mStream->ReadBytes();
                            mHeadSince.reset();
                            mHeadLimit = {};
                          }));
  }

  bool Done() const { return mDone; }
  std::uint64_t UnwrittenBytes() const { return mStream->UnwrittenBytes(); }
  bool IdleFor(const connection_limits& aLimits, instant aNow)
  {
    if (mStream->ReadBytes() != mReadBefore) {
      // A request is arriving.
      mReadBefore = mStream->ReadBytes();
      mIdleSince = aNow;
    }
    if (mActiveRequests > 0) {
      mSeemedIdle = false;
      return false;
    }
    // When the daemon was held up, a request may have arrived and not been read yet.
    const bool idle = Expired(aLimits, aNow) && !mStream->InputIsDue();
    // The second check in a row decides, because what was read may not have been handled yet.
    return std::exchange(mSeemedIdle, idle) && mSeemedIdle;
  }

private:
  bool Expired(const connection_limits& aLimits, instant aNow)
  {
    const auto pause = aNow - mIdleSince;
    if (mStream->UnwrittenBytes() > 0) {
      return pause >= std::max(aLimits.mIdle, kSlowCallerLimit);
    }
    if (mCloseAnnounced) {
      return pause >= kAnnouncedCloseDelay;
    }
    const bool begun = mStream->ReadBytes() > mReadAtEnd + kLineEndBytes;
    if (begun && !mHeadSince) {
      mHeadSince = aNow;
    }
    if (pause >= (begun ? aLimits.mHeadPause : aLimits.mIdle)) {
      return true;
    }
    if (!mHeadSince) {
      return false;
    }
    // A limit that falls while the head arrives does not shorten its time.
    mHeadLimit = std::max(mHeadLimit, aLimits.mHead);
    return aNow - *mHeadSince >= mHeadLimit;
  }

  kj::HttpServerSettings Settings()
  {
    kj::HttpServerSettings settings;
    settings.headerTimeout = kNoTimeout;
    settings.pipelineTimeout = kNoTimeout;
    settings.errorHandler = static_cast<kj::HttpServerErrorHandler&>(*this);
    settings.callbacks = static_cast<kj::HttpServerCallbacks&>(*this);
    return settings;
  }

  bool shouldClose() override
  {
    // The library may end a connection on which a body has not been read whole; its caller must not
    // send the next request there.
    mCloseAnnounced = mOwner.mContext.mShutdown.Reached(shutdown_stage::Closing) ||
                      (mExchange != nullptr && !mExchange->BodyComplete());
    return mCloseAnnounced;
  }

  /// Responds to a head that exceeded its allowance or is not valid. The HTTP library has no
  /// request to respond to.
  kj::Promise<void> RejectHead()
  {
    if (const auto error = mStream->HeadError()) {
      return WriteRejection(Rejection(*error),
                            *error == head_error::TooLong ? "too_long" : "over_budget");
    }
    if (const auto& error = mFramed.Error(); error && error->mInHead) {
      return WriteRejection(RejectionOf(*error), "malformed detail=\"" + error->mReason + '"');
    }
    return kj::READY_NOW;
  }

  kj::Promise<void> WriteRejection(std::string aResponse, std::string_view aReason)
  {
    mStream->HeadComplete();
    Log(log_level::Info, "callers", "head rejected reason=" + std::string{ aReason });
    auto response = kj::heap<std::string>(std::move(aResponse));
    auto writing = mOwner.mContext.mTimer.timeoutAfter(
      ToKj(kSlowCallerLimit), mStream->write(response->data(), response->size()));
    return writing.attach(kj::mv(response)).catch_([](kj::Exception&& aError) {
      Log(log_level::Debug, "callers", aError.getDescription().cStr());
    });
  }

  /// Closes the connection towards the caller and discards what the caller still sends: a socket
  /// that is closed with unread input resets the connection, and the caller loses what it has not
  /// received yet. An idle connection has nothing to lose: when bytes arrive on it, it ends, so
  /// that the caller does not wait for a response to a request that crossed the close.
  kj::Promise<void> Linger(close_cause aCause)
  {
    mLingering = true;
    mCloseCause = aCause;
    mClosedAt = mOwner.mContext.mClock.Now();
    kj::Promise<void> discarding = kj::READY_NOW;
    KJ_IF_MAYBE (error, kj::runCatchingExceptions([this] { mStream->shutdownWrite(); })) {
      // The caller has left already.
      Log(log_level::Debug, "callers", error->getDescription().cStr());
    } else {
      mDiscarded = kj::heapArray<kj::byte>(kDiscardBytes);
      discarding =
        DiscardInput().exclusiveJoin(mOwner.mContext.mTimer.afterDelay(ToKj(kLingerLimit)));
    }
    return discarding.then([this] { mDone = true; });
  }

  kj::Promise<void> DiscardInput()
  {
    auto silence =
      mOwner.mContext.mTimer.afterDelay(ToKj(kLingerSilence)).then([] { return std::size_t{ 0 }; });
    return mStream->tryRead(mDiscarded.begin(), 1, mDiscarded.size())
      .exclusiveJoin(kj::mv(silence))
      .then(
        [this](std::size_t aBytes) -> kj::Promise<void> {
          if (aBytes == 0) {
            return kj::READY_NOW;
          }
          OnDiscarded(aBytes);
          if (mCloseCause == close_cause::Idle) {
            return kj::READY_NOW;
          }
          return DiscardInput();
        },
        [](kj::Exception&&) -> kj::Promise<void> {
          // The caller has reset the connection.
          return kj::READY_NOW;
        });
  }

  void OnDiscarded(std::size_t aBytes)
  {
    mOwner.mContext.mCounters
      .Get("skylarkwind_discarded_input_bytes_total",
           "Bytes that callers sent on connections that the daemon had closed towards them.",
           "cause=\"" + std::string{ Name(mCloseCause) } + '"')
      .Add(static_cast<std::int64_t>(aBytes));
    if (mDiscardedBytes == 0) {
      mFirstDiscardedAt = mOwner.mContext.mClock.Now();
      // What follows a response may be the rest of a body; only requests are logged.
      if (mCloseCause == close_cause::Idle) {
        mDiscardedBegin = LoggedBegin({ mDiscarded.asChars().begin(), aBytes });
      }
    }
    mDiscardedBytes += aBytes;
  }

  /// A request may be among the discarded bytes, which no other line mentions.
  void LogDiscarded() const
  {
    if (mDiscardedBytes == 0) {
      return;
    }
    const auto after =
      std::chrono::duration_cast<std::chrono::milliseconds>(mFirstDiscardedAt - mClosedAt);
    Log(log_level::Info,
        "callers",
        "discarded bytes=" + std::to_string(mDiscardedBytes) +
          " cause=" + std::string{ Name(mCloseCause) } +
          " after_ms=" + std::to_string(after.count()) + " begins=\"" + mDiscardedBegin + '"');
  }

  kj::Promise<void> handleApplicationError(kj::Exception aError, kj::Maybe<Response&>) override
  {
    // `RejectHead` logs heads that are rejected, the exchange bodies that are not valid.
    if (aError.getType() != kj::Exception::Type::DISCONNECTED && !mStream->HeadError() &&
        !mFramed.Error()) {
      Log(log_level::Error, "callers", aError.getDescription().cStr());
    }
    return kj::READY_NOW;
  }

  caller_listener& mOwner;
  kj::Own<monitored_stream> mStream;
  framed_stream mFramed;
  kj::HttpServer mServer;
  std::size_t mActiveRequests = 0;
  const exchange* mExchange = nullptr; ///< of the active request
  instant mIdleSince;
  std::uint64_t mReadBefore = 0; ///< bytes read at the last check for idleness
  std::uint64_t mReadAtEnd = 0;  ///< bytes read when the last request ended
  /// When the head of a request began to arrive; the first one may begin with the connection.
  std::optional<instant> mHeadSince;
  std::chrono::milliseconds mHeadLimit{}; ///< the longest one since then
  bool mSeemedIdle = false;               ///< at the last check
  bool mCloseAnnounced = false;           ///< the last response said that the connection is closed
  bool mLingering = false;
  bool mDone = false;
  close_cause mCloseCause = close_cause::Idle;
  instant mClosedAt{};
  kj::Array<kj::byte> mDiscarded;
  std::size_t mDiscardedBytes = 0;
  instant mFirstDiscardedAt{};
  std::string mDiscardedBegin;
  kj::Promise<void> mServing = nullptr;
};

caller_listener::caller_listener(exchange_context& aContext)
  : mContext(aContext)
  , mHeads{ 0, byte_budget{ kMaxHeadBytesInSum } }
  , mAcceptLoop("callers", aContext.mTimer, [this](kj::Own<kj::AsyncIoStream> aStream) {
    OnConnection(kj::mv(aStream));
  })
{
  SetMaxHeadBytes(caller_limits{}.mMaxHeaderBytes);
}

caller_listener::~caller_listener() noexcept = default;

void
caller_listener::OnConnection(kj::Own<kj::AsyncIoStream> aStream)
{
  mConnections.push_back(std::make_unique<connection>(*this, kj::mv(aStream)));
  mConnections.back()->Start();
}

std::uint64_t
caller_listener::UnwrittenBytes() const
{
  std::uint64_t bytes = 0;
  for (const auto& open : mConnections) {
    bytes += open->UnwrittenBytes();
  }
  return bytes;
}

void
caller_listener::SetMaxHeadBytes(std::size_t aBytes)
{
  mMaxHeadBytes = aBytes;
  // Of an incomplete head optional white space counts, too. `request` compares complete heads with
  // the limit itself.
  mHeads.mMaxBytes = 2 * aBytes;
}

void
caller_listener::CloseIdle(const connection_limits& aLimits, instant aNow)
{
  for (const auto& open : mConnections) {
    if (open->IdleFor(aLimits, aNow)) {
      open->Close();
    }
  }
  mConnections.remove_if([](const auto& aConnection) { return aConnection->Done(); });
}

} // namespace skylarkwind
