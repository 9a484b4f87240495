#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace skylarkwind {

/// Fast 64-bit hash (XXH3) for placement; not for secrets.
std::uint64_t Hash64(std::string_view aData, std::uint64_t aSeed = 0);

/// SHA-256 as lower-case hexadecimal digits.
std::string Sha256Hex(std::string_view aData);

/// HMAC-SHA-256 as lower-case hexadecimal digits.
std::string HmacSha256Hex(std::string_view aKey, std::string_view aData);

/// Compares in a time that does not depend on where the strings differ.
bool EqualConstantTime(std::string_view aLeft, std::string_view aRight);

/// Rendezvous score of `aNode` for `aKey`; the highest score wins.
std::uint64_t RendezvousScore(std::string_view aKey, std::string_view aNode);

} // namespace skylarkwind
