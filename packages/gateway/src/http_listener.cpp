#include "http_listener_p.h"

#include "caller_response_p.h"
#include "framed_stream_p.h"

#include "skylarkwind/log.h"

namespace skylarkwind {

namespace {

/// Limits of the heads of requests, of one and of all that are being read.
constexpr std::size_t kMaxHeadBytes = std::size_t{ 32 } * 1'024;
constexpr std::size_t kMaxHeadBytesInSum = std::size_t{ 1 } * 1'024 * 1'024;

struct client_connection
{
  client_connection(kj::Own<kj::AsyncIoStream> aStream, head_allowance& aHeads)
    : mStream(kj::mv(aStream))
    , mFramed(mStream, aHeads, message_framing::OfRequests())
  {
  }

  /// Responds to a head that is not valid, as the HTTP library has no request to respond to.
  kj::Promise<void> RejectHead()
  {
    const auto& error = mFramed.Error();
    if (!error || !error->mInHead) {
      return kj::READY_NOW;
    }
    auto response = kj::heap<std::string>(RejectionOf(*error));
    auto writing = mStream.write(response->data(), response->size());
    return writing.attach(kj::mv(response));
  }

  monitored_stream mStream;
  framed_stream mFramed;
};

} // namespace

http_listener::http_listener(std::string aName, kj::HttpServer& aServer, kj::Timer& aTimer)
  : mName(std::move(aName))
  , mServer(aServer)
  , mHeads{ kMaxHeadBytes, byte_budget{ kMaxHeadBytesInSum } }
  , mConnections(*this)
  , mAcceptLoop(mName, aTimer, [this](kj::Own<kj::AsyncIoStream> aStream) {
    mConnections.add(Serve(kj::mv(aStream)));
  })
{
}

kj::Promise<void>
http_listener::Serve(kj::Own<kj::AsyncIoStream> aStream)
{
  auto connection = kj::heap<client_connection>(kj::mv(aStream), mHeads);
  auto& one = *connection;
  auto serving =
    mServer.listenHttp(kj::Own<kj::AsyncIoStream>{ &one.mFramed, kj::NullDisposer::instance });
  return serving.catch_([this](kj::Exception&& aError) { taskFailed(kj::mv(aError)); })
    .then([&one] { return one.RejectHead(); })
    .attach(kj::mv(connection));
}

void
http_listener::taskFailed(kj::Exception&& aError)
{
  Log(log_level::Debug, mName, std::string{ "a client left: " } + aError.getDescription().cStr());
}

} // namespace skylarkwind
