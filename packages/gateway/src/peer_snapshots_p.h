#pragma once

#include "change_batch_p.h"
#include "http_listener_p.h"
#include "state_codec_p.h"

#include "skylarkwind/body_reader.h"
#include "skylarkwind/http_pool.h"

#include <kj/compat/http.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkwind {

/// Lets daemons fetch states of stored objects from one another instead of from the store: after a
/// large change, at start-up, after a lost message, and while the store is unreachable. Each daemon
/// serves requests on the TCP port with the same number as its UDP port for messages. Daemons of
/// earlier releases ask for whole snapshots.
class peer_snapshots final : public kj::HttpService
{
public:
  /// Returns all objects of a kind as known to this daemon; empty when it has not listed them yet.
  using snapshot_source = std::function<std::optional<change_batch>(std::string_view aKind)>;

  /// Answers a request for a part of a state.
  using part_source = std::function<part_response(const part_request&)>;

  peer_snapshots(kj::Network& aNetwork,
                 kj::Timer& aTimer,
                 const clock_source& aClock,
                 const kj::HttpHeaderTable& aTable,
                 snapshot_source aSnapshot,
                 part_source aPart);

  /// Serves snapshots to other daemons on this address until the promise is dropped.
  kj::Promise<void> Serve(const std::string& aAddress);
  /// Asks a daemon for a part of a state. The caller sets the time limit.
  kj::Promise<part_response> FetchPart(const std::string& aAddress, const part_request& aRequest);
  /// Fetches a snapshot from a daemon of an earlier release; empty when it does not return one.
  kj::Promise<std::optional<change_batch>> FetchSnapshot(const std::string& aAddress,
                                                         const std::string& aKind);

private:
  kj::Promise<void> request(kj::HttpMethod aMethod,
                            kj::StringPtr aUrl,
                            const kj::HttpHeaders& aHeaders,
                            kj::AsyncInputStream& aBody,
                            Response& aResponse) override;
  static kj::Promise<void> Send(Response& aResponse,
                                const kj::HttpHeaders& aHeaders,
                                std::string aBody);
  kj::Promise<std::optional<std::string>> ReadAnswer(http_result aResult,
                                                     std::size_t aMaxBytes,
                                                     bool aReuse);

  kj::Network& mNetwork;
  kj::Timer& mTimer;
  const clock_source& mClock;
  const kj::HttpHeaderTable& mTable;
  snapshot_source mSnapshot;
  part_source mPart;
  http_pool mPool;
  byte_budget mBodyBudget;
  kj::HttpServer mServer;
  http_listener mListener;
  kj::Own<kj::ConnectionReceiver> mPort;
};

} // namespace skylarkwind
