#include "skylarkwind/net_address.h"

#include <arpa/inet.h>

#include <charconv>
#include <cstdint>
#include <string>

namespace skylarkwind {

bool
IsIpPort(std::string_view aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string_view::npos) {
    return false;
  }
  const std::string ip{ aText.substr(0, colon) };
  in_addr parsed{};
  if (inet_pton(AF_INET, ip.c_str(), &parsed) != 1) {
    return false;
  }
  const auto port = aText.substr(colon + 1);
  std::uint16_t number = 0;
  const auto [rest, error] = std::from_chars(port.data(), port.data() + port.size(), number);
  return error == std::errc{} && rest == port.data() + port.size();
}

} // namespace skylarkwind
