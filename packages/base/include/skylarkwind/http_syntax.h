#pragma once

#include "absl/status/statusor.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace skylarkwind {

/// Whether two texts are equal but for the case of ASCII letters.
bool EqualIgnoringCase(std::string_view aLeft, std::string_view aRight);

/// Whether a text is a token: a method, or the name of a header (RFC 9110, 5.6.2).
bool IsToken(std::string_view aText);

/// Whether a text has only characters that the value of a header may have (RFC 9110, 5.5). Bytes of
/// other encodings than ASCII are allowed.
bool IsFieldValue(std::string_view aText);

/// The text without spaces and tabs at its ends.
std::string_view TrimBlanks(std::string_view aText);

/// A header or trailer; the views are of the line that was parsed.
struct field_line
{
  std::string_view mName;
  std::string_view mValue; ///< without the white space around it
};

/// What is done about white space between the name of a header and its colon: servers reject it in
/// requests, and proxies remove it from responses (RFC 9112, 5.1).
enum class blanks_before_colon
{
  Rejected,
  Removed
};

/// Parses a line of a head or a trailer section, given without its line end (RFC 9112, 5). Fails
/// for a line that continues the one before it (5.2).
std::optional<field_line> ParseFieldLine(
  std::string_view aLine,
  blanks_before_colon aBlanks = blanks_before_colon::Rejected);

/// Parses the value of Content-Length, in bytes. Fails with OutOfRange beyond 64 bits, and with
/// InvalidArgument for anything but decimal digits, e.g. a sign or a list.
absl::StatusOr<std::uint64_t> ParseContentLength(std::string_view aValue);

/// Parses the line before the data of a chunk, given without its line end (RFC 9112, 7.1), and
/// returns the size of the data in bytes. Extensions are ignored, except that they must not have
/// control characters. Fails with OutOfRange beyond 64 bits, otherwise with InvalidArgument.
absl::StatusOr<std::uint64_t> ParseChunkSize(std::string_view aLine);

} // namespace skylarkwind
