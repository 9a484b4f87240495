#include "caller_listener_p.h"

#include "skylarkwind/log.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// Idle connections are closed by `CloseIdle`, whose limit may change while a connection is open.
constexpr auto kNoPipelineTimeout = 1 * kj::HOURS;

} // namespace

class caller_listener::connection final
  : public kj::HttpService
  , private kj::HttpServerErrorHandler
{
public:
  connection(caller_listener& aOwner, kj::Own<kj::AsyncIoStream> aStream)
    : mOwner(aOwner)
    , mStream(kj::heap<monitored_stream>(kj::mv(aStream)))
    , mServer(aOwner.mContext.mTimer, aOwner.mContext.mTable, *this, Settings())
    , mIdleSince(aOwner.mContext.mClock.Now())
  {
  }

  void Start()
  {
    // The server gets a non-owning pointer, so that the stream outlives the server's use of it.
    auto serving =
      mServer.listenHttp(kj::Own<kj::AsyncIoStream>{ mStream.get(), kj::NullDisposer::instance });
    mServing = serving
                 .catch_([](kj::Exception&&) {
                   // The exchange has logged the reason; the connection is closed in any case.
                 })
                 .then([this] { mDone = true; })
                 .eagerlyEvaluate(nullptr);
  }

  kj::Promise<void> request(kj::HttpMethod aMethod,
                            kj::StringPtr aUrl,
                            const kj::HttpHeaders& aHeaders,
                            kj::AsyncInputStream& aBody,
                            Response& aResponse) override
  {
    auto& context = mOwner.mContext;
    std::string host;
    KJ_IF_MAYBE (value, aHeaders.get(kj::HttpHeaderId::HOST)) {
      host.assign(value->cStr(), value->size());
    }
    auto method = kj::str(aMethod);
    auto request = context.mProtocolAdapter.ParseRequest({ method.cStr(), method.size() },
                                                         std::move(host),
                                                         { aUrl.cStr(), aUrl.size() },
                                                         FromKj(aHeaders));
    ++mOwner.mOpenRequests;
    ++mActiveRequests;
    auto serving = kj::heap<exchange>(context, aResponse, *mStream);
    auto promise = serving->Serve(std::move(request), aBody);
    return promise.attach(kj::mv(serving), kj::defer([this] {
                            --mOwner.mOpenRequests;
                            --mActiveRequests;
                            mIdleSince = mOwner.mContext.mClock.Now();
                          }));
  }

  bool Done() const { return mDone; }
  std::uint64_t UnwrittenBytes() const { return mStream->UnwrittenBytes(); }
  bool IdleFor(std::chrono::milliseconds aLimit, instant aNow) const
  {
    return mActiveRequests == 0 && aNow - mIdleSince >= aLimit;
  }

private:
  kj::HttpServerSettings Settings()
  {
    kj::HttpServerSettings settings;
    const auto& configuration = mOwner.mContext.mRoutes.Current();
    const auto limits = configuration ? configuration->mLimits : caller_limits{};
    settings.headerTimeout = ToKj(limits.mHeaderTimeout);
    settings.pipelineTimeout = kNoPipelineTimeout;
    settings.errorHandler = static_cast<kj::HttpServerErrorHandler&>(*this);
    settings.callbacks = static_cast<kj::HttpServerCallbacks&>(mOwner);
    return settings;
  }

  kj::Promise<void> handleApplicationError(kj::Exception aError, kj::Maybe<Response&>) override
  {
    if (aError.getType() != kj::Exception::Type::DISCONNECTED) {
      Log(log_level::Error, "callers", aError.getDescription().cStr());
    }
    return kj::READY_NOW;
  }

  caller_listener& mOwner;
  kj::Own<monitored_stream> mStream;
  kj::HttpServer mServer;
  std::size_t mActiveRequests = 0;
  instant mIdleSince;
  bool mDone = false;
  kj::Promise<void> mServing = nullptr;
};

caller_listener::caller_listener(exchange_context& aContext)
  : mContext(aContext)
{
}

caller_listener::~caller_listener() noexcept = default;

kj::Promise<void>
caller_listener::Accept(kj::ConnectionReceiver& aPort)
{
  return aPort.accept().then([this, &aPort](kj::Own<kj::AsyncIoStream> aStream) {
    mConnections.push_back(std::make_unique<connection>(*this, kj::mv(aStream)));
    mConnections.back()->Start();
    return Accept(aPort);
  });
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
caller_listener::CloseIdle(std::chrono::milliseconds aLimit, instant aNow)
{
  mConnections.remove_if([&](const auto& aConnection) {
    return aConnection->Done() || aConnection->IdleFor(aLimit, aNow);
  });
}

} // namespace skylarkwind
