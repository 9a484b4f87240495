#pragma once

#include "change_batch_p.h"
#include "http_listener_p.h"

#include "skylarkwind/body_reader.h"
#include "skylarkwind/http_pool.h"
#include "skylarkwind/load_exchange.h"

#include <kj/compat/http.h>

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace skylarkwind {

/// Lets daemons fetch snapshots of stored objects from one another instead of from the store: at
/// start-up, after a lost message, and while the store is unreachable. Each daemon serves requests
/// on the TCP port with the same number as its UDP port for messages.
class peer_snapshots final : public kj::HttpService
{
public:
  /// Returns all objects of a kind as known to this daemon; empty when it has not listed them yet.
  using snapshot_source = std::function<std::optional<change_batch>(std::string_view aKind)>;

  peer_snapshots(kj::Network& aNetwork,
                 kj::Timer& aTimer,
                 const clock_source& aClock,
                 const kj::HttpHeaderTable& aTable,
                 const load_exchange& aExchange,
                 std::uint64_t aRandomSeed,
                 snapshot_source aSnapshot);

  /// Serves snapshots to other daemons on this address until the promise is dropped.
  kj::Promise<void> Serve(const std::string& aAddress);
  /// Fetches a snapshot from a random collector of this data centre, or of any data centre when
  /// this one has no other collector or the last one asked returned none that contains the revision
  /// asked for. Empty when there is no collector or it does not return one.
  kj::Promise<std::optional<change_batch>> Ask(const std::string& aKind, std::uint64_t aRevision);

private:
  kj::Promise<void> request(kj::HttpMethod aMethod,
                            kj::StringPtr aUrl,
                            const kj::HttpHeaders& aHeaders,
                            kj::AsyncInputStream& aBody,
                            Response& aResponse) override;
  /// The address of a random one of the `SnapshotSources`.
  std::optional<std::string> ChoosePeer();

  kj::Network& mNetwork;
  kj::Timer& mTimer;
  const clock_source& mClock;
  const kj::HttpHeaderTable& mTable;
  const load_exchange& mExchange;
  std::mt19937_64 mRandom;
  snapshot_source mSnapshot;
  bool mLastFailed = false; ///< the last fetch returned no snapshot that is new enough
  http_pool mPool;
  byte_budget mBodyBudget;
  kj::HttpServer mServer;
  http_listener mListener;
  kj::Own<kj::ConnectionReceiver> mPort;
};

} // namespace skylarkwind
