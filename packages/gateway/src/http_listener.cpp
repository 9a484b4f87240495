#include "http_listener_p.h"

#include "skylarkwind/log.h"

namespace skylarkwind {

http_listener::http_listener(std::string aName, kj::HttpServer& aServer, kj::Timer& aTimer)
  : mName(std::move(aName))
  , mServer(aServer)
  , mConnections(*this)
  , mAcceptLoop(mName, aTimer, [this](kj::Own<kj::AsyncIoStream> aStream) {
    mConnections.add(mServer.listenHttp(kj::mv(aStream)));
  })
{
}

void
http_listener::taskFailed(kj::Exception&& aError)
{
  Log(log_level::Debug, mName, std::string{ "a client left: " } + aError.getDescription().cStr());
}

} // namespace skylarkwind
