#pragma once

#include "accept_loop_p.h"

#include "skylarkwind/head_allowance.h"

#include <kj/async-io.h>
#include <kj/compat/http.h>

#include <string>

namespace skylarkwind {

/// Accepts connections for an HTTP server whose clients are part of the deployment: other daemons
/// and the load balancer. A client that leaves before the end of a response is normal, so it is
/// logged at the level of debugging; the accept loop of kj reports it as an error on standard
/// error.
class http_listener final : private kj::TaskSet::ErrorHandler
{
public:
  /// `aName` names the server in log lines. The server must outlive the listener.
  http_listener(std::string aName, kj::HttpServer& aServer, kj::Timer& aTimer);

  /// Accepts connections until the promise is dropped; open connections stay open.
  kj::Promise<void> Accept(kj::ConnectionReceiver& aPort) { return mAcceptLoop.Run(aPort); }

private:
  kj::Promise<void> Serve(kj::Own<kj::AsyncIoStream> aStream);
  void taskFailed(kj::Exception&& aError) override;

  std::string mName;
  kj::HttpServer& mServer;
  head_allowance mHeads;
  kj::TaskSet mConnections;
  accept_loop mAcceptLoop;
};

} // namespace skylarkwind
