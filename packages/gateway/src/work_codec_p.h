#pragma once

#include "skylarkwind/work_messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace skylarkwind {

using work_message = std::variant<work_report, work_summary>;

/// Whether a datagram is a work message; its content may still be damaged.
bool IsWorkMessage(std::string_view aBytes);

/// A message as the bytes of one datagram. Summaries are written once for all receivers;
/// `SetIncludes` then puts in what differs.
std::string EncodeWork(const work_message& aMessage);
void SetIncludes(std::string& aSummary, std::uint64_t aIncludes);

/// Empty when the bytes are no message.
std::optional<work_message> DecodeWork(std::string_view aBytes);

} // namespace skylarkwind
