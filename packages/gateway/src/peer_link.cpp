#include "peer_digests_p.h"

#include "skylarkwind/http_pool.h"
#include "skylarkwind/log.h"

#include <kj/debug.h>
#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>

#include <algorithm>
#include <vector>

namespace skylarkwind {

namespace {

using nlohmann::json;

/// Longest datagram that is received; fragments of batches stay below it.
constexpr std::size_t kMostBytes = 8 * 1'024;
/// A larger batch would fill the link of a VM with 10 Mbit/s for longer than a list takes.
constexpr std::size_t kMostBatchBytes = 32 * 1'024;

} // namespace

std::string
EncodeDigest(const work_digest& aDigest)
{
  json work = json::array();
  for (const auto& entry : aDigest.mWork) {
    work.push_back({ entry.mBackendId, entry.mPrefillTokens, entry.mRunning, entry.mAddedTokens });
  }
  json kept = json::array();
  for (const auto& entry : aDigest.mKept) {
    kept.push_back({ entry.mKey, entry.mBackendId, entry.mComputed, entry.mReadyInMs });
  }
  json changing = json::array();
  for (const auto& entry : aDigest.mChanging) {
    changing.push_back({ entry.mBackendId, entry.mLeftMs });
  }
  const json digest = { aDigest.mSender,
                        aDigest.mSequence,
                        std::move(work),
                        std::move(kept),
                        std::move(changing),
                        aDigest.mAddress,
                        aDigest.mConfigurationSeen,
                        aDigest.mServersSeen,
                        aDigest.mDataCentre,
                        aDigest.mReachesStore };
  std::string bytes;
  json::to_cbor(digest, bytes);
  return bytes;
}

std::optional<work_digest>
DecodeDigest(std::string_view aBytes)
{
  const auto parsed = json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
  try {
    work_digest digest;
    digest.mSender = parsed.at(0).get<std::string>();
    digest.mSequence = parsed.at(1).get<std::uint64_t>();
    for (const auto& entry : parsed.at(2)) {
      digest.mWork.push_back({ entry.at(0).get<std::string>(),
                               entry.at(1).get<std::uint32_t>(),
                               entry.at(2).get<std::uint32_t>(),
                               entry.at(3).get<std::uint64_t>() });
    }
    for (const auto& entry : parsed.at(3)) {
      digest.mKept.push_back({ entry.at(0).get<std::uint64_t>(),
                               entry.at(1).get<std::string>(),
                               entry.at(2).get<bool>(),
                               entry.at(3).get<std::uint32_t>() });
    }
    for (const auto& entry : parsed.at(4)) {
      digest.mChanging.push_back(
        { entry.at(0).get<std::string>(), entry.at(1).get<std::uint32_t>() });
    }
    digest.mAddress = parsed.at(5).get<std::string>();
    digest.mConfigurationSeen = parsed.at(6).get<std::uint64_t>();
    digest.mServersSeen = parsed.at(7).get<std::uint64_t>();
    digest.mDataCentre = parsed.at(8).get<std::string>();
    digest.mReachesStore = parsed.at(9).get<bool>();
    return digest;
  } catch (const json::exception&) {
    // Datagrams of other programs may reach the port; the receiver counts and drops them.
    return std::nullopt;
  }
}

peer_digests::peer_digests(kj::Network& aNetwork, on_digest aOnDigest, on_batch aOnBatch)
  : mNetwork(aNetwork)
  , mOnDigest(std::move(aOnDigest))
  , mOnBatch(std::move(aOnBatch))
{
}

kj::Promise<void>
peer_digests::Run(std::string aAddress)
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
peer_digests::Receive()
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
peer_digests::OnDatagram(std::string_view aBytes)
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
  if (const auto digest = DecodeDigest(aBytes)) {
    mOnDigest(*digest);
  } else {
    Log(log_level::Debug, "peers", "dropped a datagram that is no digest");
  }
}

void
peer_digests::SetPeer(const std::string& aName, const std::string& aAddress, bool aNear)
{
  auto& entry = mPeers[aName];
  entry.mNear = aNear;
  if (entry.mAddress != aAddress) {
    entry.mAddress = aAddress;
    entry.mParsed = nullptr;
  }
}

void
peer_digests::RemovePeer(const std::string& aName)
{
  mPeers.erase(aName);
}

std::size_t
peer_digests::Peers(bool aNear) const
{
  return static_cast<std::size_t>(std::count_if(
    mPeers.begin(), mPeers.end(), [&](const auto& aPeer) { return aPeer.second.mNear == aNear; }));
}

void
peer_digests::Send(const work_digest& aDigest, bool aNear, kj::TaskSet& aTasks)
{
  if (mPort.get() == nullptr || Peers(aNear) == 0) {
    return;
  }
  const auto bytes = EncodeDigest(aDigest);
  for (auto& [name, entry] : mPeers) {
    if (entry.mNear == aNear) {
      SendTo(entry, bytes, aTasks);
    }
  }
}

void
peer_digests::Send(const change_batch& aBatch,
                   std::string_view aSender,
                   const std::function<bool(std::string_view)>& aServes,
                   kj::TaskSet& aTasks)
{
  std::vector<peer*> receivers;
  for (auto& [name, entry] : mPeers) {
    if (entry.mNear && aServes(name)) {
      receivers.push_back(&entry);
    }
  }
  if (mPort.get() == nullptr || receivers.empty()) {
    return;
  }
  const auto message = EncodeBatch(aBatch);
  if (message.size() > kMostBatchBytes) {
    Log(log_level::Debug, "peers", "a batch is too large for datagrams; receivers will list");
    return;
  }
  for (const auto& fragment : Fragments(message, aSender, ++mLastBatch)) {
    for (auto* receiver : receivers) {
      SendTo(*receiver, fragment, aTasks);
    }
  }
}

void
peer_digests::SendTo(peer& aPeer, const std::string& aBytes, kj::TaskSet& aTasks)
{
  if (aPeer.mParsed.get() == nullptr) {
    const auto colon = aPeer.mAddress.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(
      static_cast<std::uint16_t>(std::strtoul(aPeer.mAddress.c_str() + colon + 1, nullptr, 10)));
    if (inet_pton(AF_INET, aPeer.mAddress.substr(0, colon).c_str(), &address.sin_addr) != 1) {
      Log(log_level::Debug, "peers", "unusable address " + aPeer.mAddress);
      return;
    }
    aPeer.mParsed = mNetwork.getSockaddr(&address, sizeof(address));
  }
  auto copy = kj::heap<std::string>(aBytes);
  auto target = aPeer.mParsed->clone();
  auto sending = mPort->send(copy->data(), copy->size(), *target);
  aTasks.add(sending.ignoreResult()
               .catch_([](kj::Exception&&) {
                 // A lost digest is made good by the next one, a lost batch by a list.
               })
               .attach(kj::mv(copy), kj::mv(target)));
}

} // namespace skylarkwind
