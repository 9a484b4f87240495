#pragma once

#include "skylarkwind/load_messages.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace skylarkwind {

/// A message of the load exchange between daemons: a daemon's load report or a collector's load
/// summary.
using load_message = std::variant<load_report, load_summary>;

/// Whether a datagram is a load report or load summary; its content may still be damaged.
bool IsLoadMessage(std::string_view aBytes);

/// Encodes a message as one datagram. A summary is encoded once for all receivers;
/// `SetIncludedSequence` then sets the one field that differs between them.
std::string EncodeLoad(const load_message& aMessage);
/// Sets the sequence number of the receiver's newest report that an encoded summary includes; 0
/// when it includes none.
void SetIncludedSequence(std::string& aSummary, std::uint64_t aSequence);

/// Decodes a datagram; empty when the bytes are not a valid message.
std::optional<load_message> DecodeLoad(std::string_view aBytes);

} // namespace skylarkwind
