#pragma once

#include "change_batch_p.h"

#include "skylarkwind/backend_board.h"

#include <kj/async-io.h>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace skylarkwind {

/// A digest as the bytes of one datagram, and back; empty when the bytes are no digest.
std::string EncodeDigest(const work_digest& aDigest);
std::optional<work_digest> DecodeDigest(std::string_view aBytes);

/// Sends and receives work digests and changes of stored objects as datagrams between daemons.
class peer_digests
{
public:
  using on_digest = std::function<void(const work_digest&)>;
  using on_batch = std::function<void(const change_batch&)>;

  peer_digests(kj::Network& aNetwork, on_digest aOnDigest, on_batch aOnBatch);

  /// Binds the address and receives until it is dropped.
  kj::Promise<void> Run(std::string aAddress);
  /// A daemon to send to: name, ip:port and whether it is in the same data centre.
  void SetPeer(const std::string& aName, const std::string& aAddress, bool aNear);
  void RemovePeer(const std::string& aName);
  std::size_t Peers(bool aNear) const;
  /// Sends to the daemons of the same data centre, or to all others.
  void Send(const work_digest& aDigest, bool aNear, kj::TaskSet& aTasks);
  /// Sends to those daemons of the same data centre that `aServes` holds for. Batches that are too
  /// large for datagrams are not sent; the receivers list when digests tell them of the news.
  void Send(const change_batch& aBatch,
            std::string_view aSender,
            const std::function<bool(std::string_view)>& aServes,
            kj::TaskSet& aTasks);

private:
  kj::Promise<void> Receive();
  void OnDatagram(std::string_view aBytes);

  struct peer
  {
    std::string mAddress;
    bool mNear = false;
    kj::Own<kj::NetworkAddress> mParsed; ///< null until it is first used
  };

  void SendTo(peer& aPeer, const std::string& aBytes, kj::TaskSet& aTasks);

  kj::Network& mNetwork;
  on_digest mOnDigest;
  on_batch mOnBatch;
  fragment_collector mFragments;
  std::uint64_t mLastBatch = 0;
  kj::Own<kj::DatagramPort> mPort;
  kj::Own<kj::DatagramReceiver> mReceiver;
  std::map<std::string, peer> mPeers;
};

} // namespace skylarkwind
