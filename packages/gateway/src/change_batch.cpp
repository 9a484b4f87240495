#include "change_batch_p.h"

#include "bounded_cbor_p.h"

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
