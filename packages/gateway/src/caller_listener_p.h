#pragma once

#include "exchange_p.h"
#include "monitored_stream_p.h"

#include "skylarkwind/clock.h"

#include <kj/async-io.h>
#include <kj/compat/http.h>

#include <list>
#include <memory>

namespace skylarkwind {

/// Accepts callers' connections and starts an exchange for each request.
class caller_listener final : private kj::HttpServerCallbacks
{
public:
  explicit caller_listener(exchange_context& aContext);
  ~caller_listener() noexcept;

  /// Accepts until it is dropped; open connections go on.
  kj::Promise<void> Accept(kj::ConnectionReceiver& aPort);
  /// Answers from now on end their connections.
  void BeginShutdown() { mClosing = true; }
  /// Requests from now on are answered as not run.
  void RefuseRequests() { mRefusing = true; }
  /// Closes connections that were idle for longer than the limit.
  void CloseIdle(std::chrono::milliseconds aLimit, instant aNow);
  std::size_t OpenRequests() const { return mOpenRequests; }
  std::size_t Connections() const { return mConnections.size(); }

private:
  class connection;

  bool shouldClose() override { return mClosing; }

  exchange_context& mContext;
  bool mClosing = false;
  bool mRefusing = false;
  std::size_t mOpenRequests = 0;
  std::list<std::unique_ptr<connection>> mConnections;
};

} // namespace skylarkwind
