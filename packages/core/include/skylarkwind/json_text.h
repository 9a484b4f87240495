#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkwind {

/// Nesting depth of JSON from other programs that is accepted. The JSON library copies, compares
/// and writes values recursively, so that the depth of a text must be bounded before it is used.
inline constexpr std::size_t kMaxJsonDepth = 64;

/// Parses JSON from another program. The result is discarded if the text is not valid JSON, holds a
/// number that no double can hold, or nests deeper than `kMaxJsonDepth`.
nlohmann::json ParseUntrustedJson(std::string_view aText);

/// Splits the text of a JSON array into the texts of its elements, at any depth and without parsing
/// them. Empty if the text is no array or its brackets do not match.
std::optional<std::vector<std::string_view>> SplitJsonArray(std::string_view aText);

/// The same for an object; each member is a name, as written between its quotes, and the text of
/// its value.
std::optional<std::vector<std::pair<std::string_view, std::string_view>>> SplitJsonObject(
  std::string_view aText);

} // namespace skylarkwind
