#pragma once

#include "skylarkwind/prompt_quarantine.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkwind {

/// Writes the state as JSON, with times as ages in ms at `aNow`. What does not fit into `aMaxBytes`
/// is left out, the oldest crashes first.
std::string QuarantineToJson(const quarantine_state& aState, std::size_t aMaxBytes, instant aNow);

/// Reads a state that another daemon has written. Empty when the text is no valid state.
std::optional<quarantine_state> QuarantineFromJson(std::string_view aText, instant aNow);

} // namespace skylarkwind
