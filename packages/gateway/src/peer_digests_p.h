#pragma once

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

/// Sends and receives work digests as datagrams between daemons.
class peer_digests
{
public:
  peer_digests(kj::Network& aNetwork, std::function<void(const work_digest&)> aOnDigest);

  /// Binds the address and receives until it is dropped.
  kj::Promise<void> Run(std::string aAddress);
  /// A daemon to send to: name, ip:port and whether it is in the same data centre.
  void SetPeer(const std::string& aName, const std::string& aAddress, bool aNear);
  void RemovePeer(const std::string& aName);
  std::size_t Peers(bool aNear) const;
  /// Sends to the daemons of the same data centre, or to all others.
  void Send(const work_digest& aDigest, bool aNear, kj::TaskSet& aTasks);

private:
  kj::Promise<void> Receive();

  struct peer
  {
    std::string mAddress;
    bool mNear = false;
    kj::Own<kj::NetworkAddress> mParsed; ///< null until it is first used
  };

  kj::Network& mNetwork;
  std::function<void(const work_digest&)> mOnDigest;
  kj::Own<kj::DatagramPort> mPort;
  kj::Own<kj::DatagramReceiver> mReceiver;
  std::map<std::string, peer> mPeers;
};

} // namespace skylarkwind
