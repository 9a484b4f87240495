#include "peer_link_p.h"

#include "skylarkwind/http_pool.h"
#include "skylarkwind/log.h"

#include <arpa/inet.h>
#include <netinet/in.h>

namespace skylarkwind {

namespace {

/// Longest datagram that is received; work messages and fragments of batches stay below it.
constexpr std::size_t kMostBytes = 8 * 1'024;
/// A larger batch would fill the link of a VM with 10 Mbit/s for longer than a list takes.
constexpr std::size_t kMostBatchBytes = 32 * 1'024;
/// Addresses whose parsed form is kept, above the daemons of the largest deployment aimed at (350).
constexpr std::size_t kMostParsed = 1'024;

} // namespace

peer_link::peer_link(kj::Network& aNetwork, kj::TaskSet& aTasks, on_work aOnWork, on_batch aOnBatch)
  : mNetwork(aNetwork)
  , mTasks(aTasks)
  , mOnWork(std::move(aOnWork))
  , mOnBatch(std::move(aOnBatch))
{
}

kj::Promise<void>
peer_link::Run(std::string aAddress)
{
  // The text outlives the parsing of it.
  auto text = kj::heap<std::string>(std::move(aAddress));
  auto parsing = mNetwork.parseAddress(ToKj(*text));
  return parsing
    .then([this](kj::Own<kj::NetworkAddress> aParsed) {
      mPort = aParsed->bindDatagramPort();
      kj::DatagramReceiver::Capacity capacity;
      capacity.content = kMostBytes;
      mReceiver = mPort->makeReceiver(capacity);
      return Receive();
    })
    .attach(kj::mv(text));
}

kj::Promise<void>
peer_link::Receive()
{
  return mReceiver->receive().then(
    [this] {
      const auto content = mReceiver->getContent();
      const auto bytes = content.value;
      if (content.isTruncated) {
        Log(log_level::Debug, "peers", "dropped a datagram that is too long");
      } else {
        OnDatagram({ reinterpret_cast<const char*>(bytes.begin()), bytes.size() });
      }
      return Receive();
    },
    [this](kj::Exception&& aError) {
      // An unreachable peer shows as an error of a later receive; the port stays usable.
      Log(log_level::Debug, "peers", aError.getDescription().cStr());
      return Receive();
    });
}

void
peer_link::OnDatagram(std::string_view aBytes)
{
  if (fragment_collector::IsFragment(aBytes)) {
    const auto message = mFragments.Add(aBytes);
    if (!message) {
      return;
    }
    if (const auto batch = DecodeBatch(*message)) {
      mOnBatch(*batch);
    } else {
      Log(log_level::Debug, "peers", "dropped a message that is no batch");
    }
    return;
  }
  if (const auto message = DecodeWork(aBytes)) {
    mOnWork(*message);
  } else {
    Log(log_level::Debug, "peers", "dropped a datagram that is no work message");
  }
}

void
peer_link::Send(const outgoing_message& aMessage)
{
  auto bytes = EncodeWork(aMessage.mMessage);
  if (bytes.size() > kMostBytes) {
    Log(log_level::Warning,
        "peers",
        "a work message is too long bytes=" + std::to_string(bytes.size()));
    return;
  }
  for (const auto& receiver : aMessage.mReceivers) {
    SetIncludes(bytes, receiver.mIncludes);
    SendTo(receiver.mAddress, bytes);
  }
}

void
peer_link::Send(const change_batch& aBatch,
                std::string_view aSender,
                std::span<const std::string> aAddresses)
{
  if (aAddresses.empty()) {
    return;
  }
  const auto message = EncodeBatch(aBatch);
  if (message.size() > kMostBatchBytes) {
    Log(log_level::Debug, "peers", "a batch is too large for datagrams; receivers will list");
    return;
  }
  for (const auto& fragment : Fragments(message, aSender, ++mLastBatch)) {
    for (const auto& address : aAddresses) {
      SendTo(address, fragment);
    }
  }
}

kj::NetworkAddress*
peer_link::Parsed(const std::string& aAddress)
{
  if (const auto known = mParsed.find(aAddress); known != mParsed.end()) {
    return known->second.get();
  }
  const auto colon = aAddress.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  if (colon == std::string::npos ||
      inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr) != 1) {
    Log(log_level::Debug, "peers", "unusable address " + aAddress);
    return nullptr;
  }
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::strtoul(aAddress.c_str() + colon + 1, nullptr, 10)));
  if (mParsed.size() >= kMostParsed) {
    mParsed.clear();
  }
  return (mParsed[aAddress] = mNetwork.getSockaddr(&address, sizeof(address))).get();
}

void
peer_link::SendTo(const std::string& aAddress, std::string_view aBytes)
{
  auto* target = mPort.get() == nullptr ? nullptr : Parsed(aAddress);
  if (target == nullptr) {
    return;
  }
  // The bytes and the address are kept until the link has room for the datagram.
  auto copy = kj::heap<std::string>(aBytes);
  auto address = target->clone();
  auto sending = mPort->send(copy->data(), copy->size(), *address);
  mTasks.add(sending.ignoreResult()
               .catch_([](kj::Exception&&) {
                 // A lost work message is made good by the next one, a lost batch by a list.
               })
               .attach(kj::mv(copy), kj::mv(address)));
}

} // namespace skylarkwind
