#pragma once

#include <nlohmann/json_fwd.hpp>

#include <string>
#include <string_view>

namespace skylarkwind {

/// Parses CBOR of another daemon. The value is discarded unless the bytes are one value that the
/// JSON library can read: it recurses with the depth of arrays, and with the parts of a text of
/// indefinite length, and it throws for huge counts. Maps and tags do not occur.
nlohmann::json ParseCbor(std::string_view aBytes);

std::string ToCbor(const nlohmann::json& aValue);

} // namespace skylarkwind
