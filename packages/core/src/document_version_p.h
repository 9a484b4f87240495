#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string_view>

namespace skylarkwind {

/// Validates the JSON text of a distributed document and returns its version: the serial of the
/// table or the revision of a fleet object. Never 0.
absl::StatusOr<std::uint64_t> DocumentVersion(std::string_view aName, std::string_view aValue);

} // namespace skylarkwind
