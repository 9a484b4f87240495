#pragma once

#include "skylarkwind/counters.h"
#include "skylarkwind/effects.h"
#include "skylarkwind/events.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace kj {
struct AsyncIoContext;
} // namespace kj

namespace skylarkwind {

struct links_settings
{
  std::string mAddress;    ///< ip:port to listen on; port 0 picks a free one
  std::string mCredential; ///< shared by all daemons; a call with another one is refused
  std::chrono::milliseconds mConnectLimit{ 1'000 };
  std::chrono::milliseconds mAnswerLimit{ 2'000 }; ///< a call that the node does not answer
  std::chrono::minutes mConnectionAge{ 10 };       ///< after which a connection is replaced
  std::size_t mMaxMessageWords = 256 * 1'024;      ///< 2 MiB; a document has at most 1 MB
  std::uint32_t mMaxConnections = 512;             ///< incoming, at once
};

/// Cap'n Proto RPC between daemons. Runs on the loop thread; connections are opened when first
/// needed and dropped when a call fails, so that a silent connection is replaced by a new one.
class peer_links
{
public:
  /// `aSink` gets `peer_request_received` and `peer_response_received`. The context must outlive
  /// the links.
  static absl::StatusOr<std::unique_ptr<peer_links>> Create(links_settings aSettings,
                                                            kj::AsyncIoContext& aContext,
                                                            counters& aCounters,
                                                            std::function<void(event)> aSink);
  virtual ~peer_links() = default;

  /// Sends one message; exactly one `peer_response_received` follows, empty after the time limit.
  virtual void Send(const send_to_peer& aSend) = 0;
  /// Answers a `peer_request_received`. An answer that comes too late has no effect.
  virtual void Answer(const respond_to_peer& aAnswer) = 0;
  virtual std::uint16_t Port() const = 0;
};

} // namespace skylarkwind
