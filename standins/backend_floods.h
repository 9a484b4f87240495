#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace skylarkwind {

/// An answer that never ends: what is sent at first, and what follows again and again.
struct endless_answer
{
  std::string mFirst;
  std::string mAgain;
};

/// The endless answer of this name: "endless_head" (header lines), "endless_line" (one header
/// line), "endless_interim" (1xx answers), "endless_failure" (body of a failure without a length),
/// "endless_answer" (body of a success without a length), "endless_chunks" (chunks of one byte),
/// "endless_size" (digits of a chunk's size), "endless_event" (an event without its end),
/// "endless_comments" (comment lines before the first event), "endless_trailer". Empty for any
/// other name. With "_slow" appended, bytes come at about 96 KB a second, which suits answers
/// without frames, header lines and chunks of one byte. `aHeaderLines` are those of a usual answer.
std::optional<endless_answer> FloodOf(std::string_view aName, const std::string& aHeaderLines);

} // namespace skylarkwind
