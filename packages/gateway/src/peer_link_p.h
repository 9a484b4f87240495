#pragma once

#include "change_batch_p.h"
#include "work_codec_p.h"

#include "skylarkwind/work_exchange.h"

#include <kj/async-io.h>

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace skylarkwind {

/// Carries work messages and changes of stored objects between daemons as datagrams. A lost work
/// message is made good by the next one, a lost change by a call to the store.
class peer_link
{
public:
  using on_work = std::function<void(const work_message&)>;
  using on_batch = std::function<void(const change_batch&)>;

  peer_link(kj::Network& aNetwork, kj::TaskSet& aTasks, on_work aOnWork, on_batch aOnBatch);

  /// Binds the address and receives until it is dropped.
  kj::Promise<void> Run(std::string aAddress);
  void Send(const outgoing_message& aMessage);
  /// Batches that are too large for datagrams are not sent; the receivers list when they are told
  /// of the news.
  void Send(const change_batch& aBatch,
            std::string_view aSender,
            std::span<const std::string> aAddresses);

private:
  kj::Promise<void> Receive();
  void OnDatagram(std::string_view aBytes);
  void SendTo(const std::string& aAddress, std::string_view aBytes);
  /// The parsed address; null for text that is none.
  kj::NetworkAddress* Parsed(const std::string& aAddress);

  kj::Network& mNetwork;
  kj::TaskSet& mTasks;
  on_work mOnWork;
  on_batch mOnBatch;
  fragment_collector mFragments;
  std::uint64_t mLastBatch = 0;
  kj::Own<kj::DatagramPort> mPort;
  kj::Own<kj::DatagramReceiver> mReceiver;
  std::map<std::string, kj::Own<kj::NetworkAddress>> mParsed;
};

} // namespace skylarkwind
