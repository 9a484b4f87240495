#pragma once

#include "accept_loop_p.h"
#include "exchange_p.h"
#include "framed_stream_p.h"

#include "skylarkwind/clock.h"

#include <kj/async-io.h>
#include <kj/compat/http.h>

#include <list>
#include <memory>

namespace skylarkwind {

/// How long a connection may stay open without a request.
struct connection_limits
{
  std::chrono::milliseconds mIdle{};      ///< nothing of a request has arrived
  std::chrono::milliseconds mHead{};      ///< from the begin of a head to its end
  std::chrono::milliseconds mHeadPause{}; ///< between two parts of a head
};

/// Accepts callers' connections and starts an exchange for each request.
class caller_listener final
{
public:
  explicit caller_listener(exchange_context& aContext);
  ~caller_listener() noexcept;

  /// Accepts connections until the promise is dropped; open connections stay open.
  kj::Promise<void> Accept(kj::ConnectionReceiver& aPort) { return mAcceptLoop.Run(aPort); }
  /// Whether connections cannot be accepted at present, e.g. for want of descriptors.
  bool CannotAccept() const { return mAcceptLoop.Failing(); }
  /// Begins to close connections that have reached a limit, and frees those that have ended. A
  /// connection that still carries a response is not idle.
  void CloseIdle(const connection_limits& aLimits, instant aNow);
  /// Sets the longest head of a request that is served.
  void SetMaxHeadBytes(std::size_t aBytes);
  std::size_t OpenRequests() const { return mOpenRequests; }
  std::size_t Connections() const { return mConnections.size(); }
  /// Bytes of responses that the kernel has not taken yet.
  std::uint64_t UnwrittenBytes() const;

private:
  class connection;

  void OnConnection(kj::Own<kj::AsyncIoStream> aStream);

  exchange_context& mContext;
  std::size_t mMaxHeadBytes = 0;
  head_allowance mHeads;
  std::size_t mOpenRequests = 0;
  std::list<std::unique_ptr<connection>> mConnections;
  accept_loop mAcceptLoop;
};

} // namespace skylarkwind
