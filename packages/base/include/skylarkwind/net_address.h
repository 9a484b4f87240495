#pragma once

#include <string_view>

namespace skylarkwind {

/// Whether a text is an IPv4 address and a port, as in 10.0.0.1:8080.
bool IsIpPort(std::string_view aText);

/// Whether it is one that can be connected to: neither the port nor the address is 0.
bool IsReachableIpPort(std::string_view aText);

} // namespace skylarkwind
