#pragma once

#include "change_batch_p.h"
#include "load_codec_p.h"
#include "state_codec_p.h"

#include "skylarkwind/load_exchange.h"

#include <kj/async-io.h>

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace skylarkwind {

/// Sends and receives load reports, load summaries, changes of stored objects, the state of the
/// quarantine and counts of requests between daemons as datagrams. Loss is tolerated: the next
/// report or summary replaces a lost one, and a lost change is recovered by fetching a snapshot
/// from another daemon or by a call to the store.
class peer_transport
{
public:
  using on_load = std::function<void(const load_message&)>;
  using on_batch = std::function<void(const change_batch&)>;
  using on_announcement = std::function<void(const state_announcement&)>;

  /// Called with the bytes of a quarantine message, which may be damaged.
  using on_quarantine = std::function<void(std::string_view)>;
  /// Called with the bytes of a usage message, which may be damaged.
  using on_usage = std::function<void(std::string_view)>;

  peer_transport(kj::Network& aNetwork,
                 kj::TaskSet& aTasks,
                 on_load aOnLoad,
                 on_batch aOnBatch,
                 on_announcement aOnAnnouncement,
                 on_quarantine aOnQuarantine,
                 on_usage aOnUsage);

  /// Binds the address and receives datagrams until the promise is dropped.
  kj::Promise<void> Run(std::string aAddress);
  /// Sends a load report or load summary to each of its receivers, in fragments if it is larger
  /// than a datagram.
  void Send(const outgoing_message& aMessage, std::string_view aSender);
  /// Sends a batch as a series of fragments.
  void Send(const change_batch& aBatch,
            std::string_view aSender,
            std::span<const std::string> aAddresses);
  void Send(const state_announcement& aAnnouncement,
            std::string_view aSender,
            std::span<const std::string> aAddresses);
  /// Sends an encoded quarantine or usage message.
  void Send(const std::string& aBytes, std::span<const std::string> aAddresses);

private:
  kj::Promise<void> Receive();
  void OnDatagram(std::string_view aBytes);
  /// Handles a message whose fragments have all arrived.
  void OnMessage(std::string_view aBytes);
  void SendInFragments(std::string_view aMessage,
                       std::string_view aSender,
                       std::span<const std::string> aAddresses);
  void SendTo(const std::string& aAddress, std::string_view aBytes);
  /// Parses an ip:port and caches the result; null when it is not valid.
  kj::NetworkAddress* ParseAddress(const std::string& aAddress);

  kj::Network& mNetwork;
  kj::TaskSet& mTasks;
  on_load mOnLoad;
  on_batch mOnBatch;
  on_announcement mOnAnnouncement;
  on_quarantine mOnQuarantine;
  on_usage mOnUsage;
  fragment_reassembler mReassembler;
  std::uint64_t mLastMessageNumber = 0; ///< of the last message that was sent in fragments
  kj::Own<kj::DatagramPort> mPort;
  kj::Own<kj::DatagramReceiver> mReceiver;
  std::map<std::string, kj::Own<kj::NetworkAddress>> mParsedAddresses;
};

} // namespace skylarkwind
