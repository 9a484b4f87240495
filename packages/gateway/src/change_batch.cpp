#include "change_batch_p.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace skylarkwind {

namespace {

using nlohmann::json;

/// First byte of a fragment; a digest begins with the head of a CBOR array.
constexpr char kFragmentMark = 'F';
/// Leaves room for the head of a fragment in the 8 KiB that a receiver takes.
constexpr std::size_t kPartBytes = 7 * 1'024;
/// Bounds the memory that a damaged or foreign datagram can claim.
constexpr std::size_t kMostParts = 64;
/// Senders with an incomplete message, above the daemons of the largest deployment aimed at (350).
constexpr std::size_t kMostSenders = 512;

json
ParseCbor(std::string_view aBytes)
{
  return json::from_cbor(aBytes.begin(), aBytes.end(), true, false);
}

std::string
ToCbor(const json& aValue)
{
  std::string bytes;
  json::to_cbor(aValue, bytes);
  return bytes;
}

} // namespace

std::string
EncodeBatch(const change_batch& aBatch)
{
  json changes = json::array();
  for (const auto& change : aBatch.mChanges) {
    changes.push_back(
      { change.mObject.mName, change.mObject.mRevision, change.mObject.mValue, change.mRemoved });
  }
  return ToCbor({ aBatch.mKind,
                  aBatch.mFrom,
                  aBatch.mTo,
                  aBatch.mWhole,
                  aBatch.mAfterOutage,
                  std::move(changes) });
}

std::optional<change_batch>
DecodeBatch(std::string_view aBytes)
{
  const auto parsed = ParseCbor(aBytes);
  try {
    change_batch batch;
    batch.mKind = parsed.at(0).get<std::string>();
    batch.mFrom = parsed.at(1).get<std::uint64_t>();
    batch.mTo = parsed.at(2).get<std::uint64_t>();
    batch.mWhole = parsed.at(3).get<bool>();
    batch.mAfterOutage = parsed.at(4).get<bool>();
    for (const auto& entry : parsed.at(5)) {
      batch.mChanges.push_back({ { entry.at(0).get<std::string>(),
                                   entry.at(1).get<std::uint64_t>(),
                                   entry.at(2).get<std::string>() },
                                 entry.at(3).get<bool>() });
    }
    return batch;
  } catch (const json::exception&) {
    // The receiver logs and drops what is no batch.
    return std::nullopt;
  }
}

std::vector<std::string>
Fragments(std::string_view aMessage, std::string_view aSender, std::uint64_t aNumber)
{
  const auto count = std::max<std::size_t>(1, (aMessage.size() + kPartBytes - 1) / kPartBytes);
  std::vector<std::string> fragments;
  for (std::size_t i = 0; i < count; ++i) {
    const auto part = aMessage.substr(i * kPartBytes, kPartBytes);
    const std::vector<std::uint8_t> bytes{ part.begin(), part.end() };
    fragments.push_back(kFragmentMark +
                        ToCbor({ std::string{ aSender }, aNumber, i, count, json::binary(bytes) }));
  }
  return fragments;
}

bool
fragment_collector::IsFragment(std::string_view aDatagram)
{
  return !aDatagram.empty() && aDatagram.front() == kFragmentMark;
}

std::optional<std::string>
fragment_collector::Add(std::string_view aDatagram)
{
  const auto parsed = ParseCbor(aDatagram.substr(1));
  try {
    const auto sender = parsed.at(0).get<std::string>();
    const auto number = parsed.at(1).get<std::uint64_t>();
    const auto index = parsed.at(2).get<std::size_t>();
    const auto count = parsed.at(3).get<std::size_t>();
    const auto& bytes = parsed.at(4).get_binary();
    if (count == 0 || count > kMostParts || index >= count || bytes.empty()) {
      return std::nullopt;
    }
    if (mOpen.size() >= kMostSenders) {
      mOpen.clear();
    }
    auto& message = mOpen[sender];
    if (message.mNumber != number || message.mParts.size() != count) {
      message = { number, count, std::vector<std::string>(count) };
    }
    auto& part = message.mParts[index];
    if (part.empty()) {
      part.assign(bytes.begin(), bytes.end());
      --message.mMissing;
    }
    if (message.mMissing > 0) {
      return std::nullopt;
    }
    std::string whole;
    for (const auto& piece : message.mParts) {
      whole += piece;
    }
    mOpen.erase(sender);
    return whole;
  } catch (const json::exception&) {
    // Datagrams of other programs may reach the port.
    return std::nullopt;
  }
}

} // namespace skylarkwind
