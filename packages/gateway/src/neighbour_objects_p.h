#pragma once

#include "change_batch_p.h"

#include "skylarkwind/body_reader.h"
#include "skylarkwind/http_pool.h"
#include "skylarkwind/work_exchange.h"

#include <kj/compat/http.h>

#include <functional>
#include <optional>
#include <random>
#include <string>
#include <string_view>

namespace skylarkwind {

/// Lets daemons learn stored objects from one another instead of from the store: at their start,
/// after a lost message, and while the store is away. Each daemon answers on the TCP port of its
/// address for messages.
class neighbour_objects final : public kj::HttpService
{
public:
  /// All objects of a kind as this daemon knows them; empty when it should not be asked.
  using whole_objects = std::function<std::optional<change_batch>(std::string_view aKind)>;

  neighbour_objects(kj::Network& aNetwork,
                    kj::Timer& aTimer,
                    const clock_source& aClock,
                    const kj::HttpHeaderTable& aTable,
                    const work_exchange& aExchange,
                    std::uint64_t aRandomSeed,
                    whole_objects aWhole);

  /// Serves other daemons on this address until it is dropped.
  kj::Promise<void> Serve(const std::string& aAddress);
  /// Asks a collector of this data centre, or if there is no other one, of another data centre.
  /// Empty when none has an answer.
  kj::Promise<std::optional<change_batch>> Ask(const std::string& aKind);

private:
  kj::Promise<void> request(kj::HttpMethod aMethod,
                            kj::StringPtr aUrl,
                            const kj::HttpHeaders& aHeaders,
                            kj::AsyncInputStream& aBody,
                            Response& aResponse) override;
  std::optional<std::string> Choose();

  kj::Network& mNetwork;
  kj::Timer& mTimer;
  const clock_source& mClock;
  const kj::HttpHeaderTable& mTable;
  const work_exchange& mExchange;
  std::mt19937_64 mRandom;
  whole_objects mWhole;
  http_pool mPool;
  byte_budget mBodies;
  kj::HttpServer mServer;
  kj::Own<kj::ConnectionReceiver> mPort;
};

} // namespace skylarkwind
