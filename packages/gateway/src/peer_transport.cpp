#include "peer_transport_p.h"

#include "quarantine_sync_p.h"
#include "usage_driver_p.h"

#include "skylarkwind/http_pool.h"
#include "skylarkwind/log.h"
#include "skylarkwind/net_address.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace skylarkwind {

namespace {

/// Longest datagram that is accepted. Longer messages are sent in fragments.
constexpr std::size_t kMaxDatagramBytes = 8 * 1'024;
/// Number of parsed addresses that are cached; exceeds the number of daemons in the largest
/// supported deployment (350).
constexpr std::size_t kMaxParsedAddresses = 1'024;

} // namespace

peer_transport::peer_transport(kj::Network& aNetwork,
                               kj::TaskSet& aTasks,
                               on_load aOnLoad,
                               on_batch aOnBatch,
                               on_announcement aOnAnnouncement,
                               on_quarantine aOnQuarantine,
                               on_usage aOnUsage)
  : mNetwork(aNetwork)
  , mTasks(aTasks)
  , mOnLoad(std::move(aOnLoad))
  , mOnBatch(std::move(aOnBatch))
  , mOnAnnouncement(std::move(aOnAnnouncement))
  , mOnQuarantine(std::move(aOnQuarantine))
  , mOnUsage(std::move(aOnUsage))
{
}

kj::Promise<void>
peer_transport::Run(std::string aAddress)
{
  // The text must stay alive until it has been parsed.
  auto text = kj::heap<std::string>(std::move(aAddress));
  auto parsing = mNetwork.parseAddress(ToKj(*text));
  return parsing
    .then([this](kj::Own<kj::NetworkAddress> aParsed) {
      mPort = aParsed->bindDatagramPort();
      kj::DatagramReceiver::Capacity capacity;
      capacity.content = kMaxDatagramBytes;
      mReceiver = mPort->makeReceiver(capacity);
      return Receive();
    })
    .attach(kj::mv(text));
}

kj::Promise<void>
peer_transport::Receive()
{
  return mReceiver->receive().then(
    [this] {
      const auto content = mReceiver->getContent();
      const auto bytes = content.value;
      if (content.isTruncated) {
        Log(log_level::Debug, "peers", "dropped an oversized datagram");
      } else {
        OnDatagram({ reinterpret_cast<const char*>(bytes.begin()), bytes.size() });
      }
      return Receive();
    },
    [this](kj::Exception&& aError) {
      // An unreachable peer causes an error in a later receive; the port stays usable.
      Log(log_level::Debug, "peers", aError.getDescription().cStr());
      return Receive();
    });
}

void
peer_transport::OnDatagram(std::string_view aBytes)
{
  if (fragment_reassembler::IsFragment(aBytes)) {
    if (const auto message = mReassembler.Add(aBytes)) {
      OnMessage(*message);
    }
    return;
  }
  if (IsQuarantineMessage(aBytes)) {
    mOnQuarantine(aBytes);
    return;
  }
  if (IsUsageMessage(aBytes)) {
    mOnUsage(aBytes);
    return;
  }
  if (const auto message = DecodeLoad(aBytes)) {
    mOnLoad(*message);
  } else {
    Log(log_level::Debug, "peers", "dropped a malformed load report or summary");
  }
}

void
peer_transport::OnMessage(std::string_view aBytes)
{
  if (const auto batch = DecodeBatch(aBytes)) {
    mOnBatch(*batch);
  } else if (const auto load = DecodeLoad(aBytes)) {
    mOnLoad(*load);
  } else if (const auto announcement = DecodeAnnouncement(aBytes)) {
    mOnAnnouncement(*announcement);
  } else {
    Log(log_level::Debug, "peers", "dropped a malformed message in fragments");
  }
}

void
peer_transport::Send(const outgoing_message& aMessage, std::string_view aSender)
{
  auto bytes = EncodeLoad(aMessage.mMessage);
  for (const auto& receiver : aMessage.mReceivers) {
    SetIncludedSequence(bytes, receiver.mIncludedSequence);
    if (bytes.size() <= kMaxDatagramBytes) {
      SendTo(receiver.mAddress, bytes);
    } else {
      SendInFragments(bytes, aSender, { &receiver.mAddress, 1 });
    }
  }
}

void
peer_transport::Send(const change_batch& aBatch,
                     std::string_view aSender,
                     std::span<const std::string> aAddresses)
{
  SendInFragments(EncodeBatch(aBatch), aSender, aAddresses);
}

void
peer_transport::Send(const state_announcement& aAnnouncement,
                     std::string_view aSender,
                     std::span<const std::string> aAddresses)
{
  SendInFragments(EncodeAnnouncement(aAnnouncement), aSender, aAddresses);
}

void
peer_transport::SendInFragments(std::string_view aMessage,
                                std::string_view aSender,
                                std::span<const std::string> aAddresses)
{
  for (const auto& fragment : SplitIntoFragments(aMessage, aSender, ++mLastMessageNumber)) {
    for (const auto& address : aAddresses) {
      SendTo(address, fragment);
    }
  }
}

void
peer_transport::Send(const std::string& aBytes, std::span<const std::string> aAddresses)
{
  for (const auto& address : aAddresses) {
    SendTo(address, aBytes);
  }
}

kj::NetworkAddress*
peer_transport::ParseAddress(const std::string& aAddress)
{
  if (const auto known = mParsedAddresses.find(aAddress); known != mParsedAddresses.end()) {
    return known->second.get();
  }
  if (!IsReachableIpPort(aAddress)) {
    Log(log_level::Debug, "peers", "invalid peer address " + aAddress);
    return nullptr;
  }
  const auto colon = aAddress.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoul(aAddress.substr(colon + 1))));
  if (mParsedAddresses.size() >= kMaxParsedAddresses) {
    mParsedAddresses.clear();
  }
  return (mParsedAddresses[aAddress] = mNetwork.getSockaddr(&address, sizeof(address))).get();
}

void
peer_transport::SendTo(const std::string& aAddress, std::string_view aBytes)
{
  auto* target = mPort.get() == nullptr ? nullptr : ParseAddress(aAddress);
  if (target == nullptr) {
    return;
  }
  // The bytes and the address must stay alive until the socket accepts the datagram.
  auto copy = kj::heap<std::string>(aBytes);
  auto address = target->clone();
  auto sending = mPort->send(copy->data(), copy->size(), *address);
  mTasks.add(sending.ignoreResult()
               .catch_([](kj::Exception&&) {
                 // Loss is tolerated: the next load report replaces a lost one, and receivers of a
                 // lost batch request the objects.
               })
               .attach(kj::mv(copy), kj::mv(address)));
}

} // namespace skylarkwind
