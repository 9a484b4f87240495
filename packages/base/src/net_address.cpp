#include "skylarkwind/net_address.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>
#include <optional>
#include <string>

namespace skylarkwind {

namespace {

struct ip_port
{
  in_addr mIp{};
  std::uint16_t mPort = 0;
};

std::optional<ip_port>
Parse(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  // The system's parser would end at a null character.
  if (colon == std::string_view::npos || aText.find('\0') != std::string_view::npos) {
    return std::nullopt;
  }
  ip_port parsed;
  const std::string ip{ aText.substr(0, colon) };
  if (inet_pton(AF_INET, ip.c_str(), &parsed.mIp) != 1) {
    return std::nullopt;
  }
  const auto port = aText.substr(colon + 1);
  const auto [rest, error] = std::from_chars(port.data(), port.data() + port.size(), parsed.mPort);
  if (error != std::errc{} || rest != port.data() + port.size()) {
    return std::nullopt;
  }
  return parsed;
}

} // namespace

bool
IsIpPort(std::string_view aText)
{
  return Parse(aText).has_value();
}

bool
IsReachableIpPort(std::string_view aText)
{
  const auto parsed = Parse(aText);
  return parsed && parsed->mPort != 0 && parsed->mIp.s_addr != INADDR_ANY;
}

} // namespace skylarkwind
