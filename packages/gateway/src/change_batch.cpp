#include "change_batch_p.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace skylarkwind {

namespace {

using nlohmann::json;

/// First byte of a fragment. Load reports and load summaries begin with 'W' instead.
constexpr char kFragmentTag = 'F';
/// Leaves room for the header of a fragment in the 8 KiB that a receiver accepts.
constexpr std::size_t kFragmentPayloadBytes = 7 * 1'024;
/// Limits the memory that a damaged or foreign datagram can make the receiver allocate.
constexpr std::size_t kMaxFragments = 64;
/// Number of senders with an incomplete message; exceeds the number of daemons in the largest
/// supported deployment (350).
constexpr std::size_t kMaxSenders = 512;

/// Depth of the arrays in a batch or a fragment.
constexpr std::size_t kMaxDepth = 8;
/// Major types of CBOR items.
constexpr unsigned int kBytesType = 2;
constexpr unsigned int kTextType = 3;
constexpr unsigned int kArrayType = 4;
constexpr unsigned int kMapType = 5;
constexpr unsigned int kTagType = 6;

/// Reads the head of a CBOR item: its major type, and its count, length or value. Empty for one
/// that is incomplete, reserved or of indefinite length.
std::optional<std::pair<unsigned int, std::uint64_t>>
ReadHead(std::string_view& aBytes)
{
  constexpr unsigned int kMinorBits = 5;
  constexpr unsigned int kFirstSized = 24;
  constexpr unsigned int kLastSized = 27;
  if (aBytes.empty()) {
    return std::nullopt;
  }
  const auto head = static_cast<unsigned char>(aBytes.front());
  aBytes.remove_prefix(1);
  const auto minor = head & 0x1fU;
  std::uint64_t value = minor;
  if (minor >= kFirstSized) {
    const auto size = std::size_t{ 1 } << (minor - kFirstSized);
    if (minor > kLastSized || aBytes.size() < size) {
      return std::nullopt;
    }
    value = 0;
    for (const char byte : aBytes.substr(0, size)) {
      value = value << 8U | static_cast<unsigned char>(byte);
    }
    aBytes.remove_prefix(size);
  }
  return std::pair{ unsigned{ head } >> kMinorBits, value };
}

/// Whether the bytes are one CBOR value that the JSON library can read: it recurses with the depth
/// of arrays, and with the parts of a text of indefinite length, and it throws for huge counts.
/// Maps and tags do not occur.
bool
IsBoundedCbor(std::string_view aBytes)
{
  std::vector<std::uint64_t> left{ 1 };
  while (!left.empty()) {
    if (left.back()-- == 0) {
      left.pop_back();
      continue;
    }
    const auto head = ReadHead(aBytes);
    if (!head || head->first == kMapType || head->first == kTagType) {
      return false;
    }
    const auto [type, value] = *head;
    if ((type == kBytesType || type == kTextType || type == kArrayType) && value > aBytes.size()) {
      return false;
    }
    if (type == kArrayType) {
      left.push_back(value);
      if (left.size() > kMaxDepth) {
        return false;
      }
    } else if (type == kBytesType || type == kTextType) {
      aBytes.remove_prefix(value);
    }
  }
  return aBytes.empty();
}

json
ParseCbor(std::string_view aBytes)
{
  return IsBoundedCbor(aBytes) ? json::from_cbor(aBytes.begin(), aBytes.end(), true, false)
                               : json(json::value_t::discarded);
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
                  aBatch.mIsSnapshot,
                  aBatch.mAfterOutage,
                  std::move(changes),
                  aBatch.mForwarded });
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
    batch.mIsSnapshot = parsed.at(3).get<bool>();
    batch.mAfterOutage = parsed.at(4).get<bool>();
    for (const auto& entry : parsed.at(5)) {
      batch.mChanges.push_back({ { entry.at(0).get<std::string>(),
                                   entry.at(1).get<std::uint64_t>(),
                                   entry.at(2).get<std::string>() },
                                 entry.at(3).get<bool>() });
    }
    // Daemons of earlier releases do not send the flag.
    batch.mForwarded = parsed.size() > 6 && parsed.at(6).get<bool>();
    return batch;
  } catch (const json::exception&) {
    // The caller logs and drops malformed batches.
    return std::nullopt;
  }
}

std::vector<std::string>
SplitIntoFragments(std::string_view aMessage, std::string_view aSender, std::uint64_t aNumber)
{
  const auto count =
    std::max<std::size_t>(1, (aMessage.size() + kFragmentPayloadBytes - 1) / kFragmentPayloadBytes);
  std::vector<std::string> fragments;
  for (std::size_t i = 0; i < count; ++i) {
    const auto part = aMessage.substr(i * kFragmentPayloadBytes, kFragmentPayloadBytes);
    const std::vector<std::uint8_t> bytes{ part.begin(), part.end() };
    fragments.push_back(kFragmentTag +
                        ToCbor({ std::string{ aSender }, aNumber, i, count, json::binary(bytes) }));
  }
  return fragments;
}

bool
fragment_reassembler::IsFragment(std::string_view aDatagram)
{
  return !aDatagram.empty() && aDatagram.front() == kFragmentTag;
}

std::optional<std::string>
fragment_reassembler::Add(std::string_view aDatagram)
{
  const auto parsed = ParseCbor(aDatagram.substr(1));
  try {
    const auto sender = parsed.at(0).get<std::string>();
    const auto number = parsed.at(1).get<std::uint64_t>();
    const auto index = parsed.at(2).get<std::size_t>();
    const auto count = parsed.at(3).get<std::size_t>();
    const auto& bytes = parsed.at(4).get_binary();
    if (count == 0 || count > kMaxFragments || index >= count || bytes.empty()) {
      return std::nullopt;
    }
    if (mPartialMessages.size() >= kMaxSenders) {
      mPartialMessages.clear();
    }
    auto& message = mPartialMessages[sender];
    if (message.mNumber != number || message.mFragments.size() != count) {
      message = { number, count, std::vector<std::string>(count) };
    }
    auto& part = message.mFragments[index];
    if (part.empty()) {
      part.assign(bytes.begin(), bytes.end());
      --message.mMissing;
    }
    if (message.mMissing > 0) {
      return std::nullopt;
    }
    std::string joined;
    for (const auto& fragment : message.mFragments) {
      joined += fragment;
    }
    mPartialMessages.erase(sender);
    return joined;
  } catch (const json::exception&) {
    // Other programs may send datagrams to this port.
    return std::nullopt;
  }
}

} // namespace skylarkwind
