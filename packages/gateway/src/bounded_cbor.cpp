#include "bounded_cbor_p.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <utility>
#include <vector>

namespace skylarkwind {

namespace {

using nlohmann::json;

/// Depth of the arrays in a message.
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

} // namespace

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

} // namespace skylarkwind
