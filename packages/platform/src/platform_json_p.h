#pragma once

#include "skylarkwind/http_client.h"
#include "skylarkwind/platform_calls.h"
#include "skylarkwind/platform_client.h"

#include <variant>

namespace skylarkwind {

/// Reads the answer to `aOperation`; the whole answer was received.
std::variant<platform_result, platform_error> ReadPlatformAnswer(
  const platform_operation& aOperation,
  const http_result& aAnswer);

/// Converts an error into what the core acts on. A write that may have taken effect is never
/// reported as refused.
platform_result ConvertPlatformError(platform_error aError, const std::string& aReason);

/// Percent-encodes one segment of a path.
std::string EncodeSegment(const std::string& aText);

} // namespace skylarkwind
