#pragma once

#include "skylarkwind/work_messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace skylarkwind {

/// A load message between daemons: a daemon's report or a collector's summary.
using work_message = std::variant<work_report, work_summary>;

/// Whether a datagram is a load message; its content may still be damaged.
bool IsWorkMessage(std::string_view aBytes);

/// Encodes a message as one datagram. A summary is encoded once for all receivers;
/// `SetIncludedSequence` then sets the one field that differs between them.
std::string EncodeWork(const work_message& aMessage);
/// Sets the sequence number of the receiver's newest report that an encoded summary includes; 0
/// when it includes none.
void SetIncludedSequence(std::string& aSummary, std::uint64_t aSequence);

/// Decodes a datagram; empty when the bytes are not a valid message.
std::optional<work_message> DecodeWork(std::string_view aBytes);

} // namespace skylarkwind
