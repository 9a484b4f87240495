#include "http_listener_p.h"

#include "skylarkwind/log.h"

namespace skylarkwind {

http_listener::http_listener(std::string aName, kj::HttpServer& aServer)
  : mName(std::move(aName))
  , mServer(aServer)
  , mConnections(*this)
{
}

kj::Promise<void>
http_listener::Accept(kj::ConnectionReceiver& aPort)
{
  return kj::evalLater([&aPort] { return aPort.accept(); })
    .then([this, &aPort](kj::Own<kj::AsyncIoStream> aStream) {
      mConnections.add(mServer.listenHttp(kj::mv(aStream)));
      return Accept(aPort);
    });
}

void
http_listener::taskFailed(kj::Exception&& aError)
{
  Log(log_level::Debug, mName, std::string{ "a client left: " } + aError.getDescription().cStr());
}

} // namespace skylarkwind
