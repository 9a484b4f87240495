#include "skylarkwind/http_syntax.h"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace skylarkwind {

namespace {

constexpr std::string_view kBlanks = " \t";
constexpr int kDecimal = 10;
constexpr int kHexadecimal = 16;

char
Lower(char aChar)
{
  return aChar >= 'A' && aChar <= 'Z' ? static_cast<char>(aChar - 'A' + 'a') : aChar;
}

bool
IsTokenChar(char aChar)
{
  const char lower = Lower(aChar);
  return (lower >= 'a' && lower <= 'z') || (aChar >= '0' && aChar <= '9') ||
         std::string_view{ "!#$%&'*+-.^_`|~" }.find(aChar) != std::string_view::npos;
}

bool
IsValueChar(char aChar)
{
  constexpr unsigned char kDelete = 0x7f;
  const auto byte = static_cast<unsigned char>(aChar);
  return (byte >= ' ' && byte != kDelete) || aChar == '\t';
}

/// Parses a number that is the whole text. `std::from_chars` takes neither a plus sign nor a
/// prefix, and for an unsigned number no minus sign.
absl::StatusOr<std::uint64_t>
ParseNumber(std::string_view aText, int aBase)
{
  std::uint64_t number = 0;
  const char* end = aText.data() + aText.size();
  const auto [stop, error] = std::from_chars(aText.data(), end, number, aBase);
  if (stop != end || error == std::errc::invalid_argument) {
    return absl::InvalidArgumentError("not a number");
  }
  if (error != std::errc{}) {
    return absl::OutOfRangeError("the number exceeds 64 bits");
  }
  return number;
}

} // namespace

bool
EqualIgnoringCase(std::string_view aLeft, std::string_view aRight)
{
  return std::equal(
    aLeft.begin(), aLeft.end(), aRight.begin(), aRight.end(), [](char aOne, char aOther) {
      return Lower(aOne) == Lower(aOther);
    });
}

bool
IsToken(std::string_view aText)
{
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), IsTokenChar);
}

bool
IsFieldValue(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), IsValueChar);
}

std::string_view
TrimBlanks(std::string_view aText)
{
  const auto first = aText.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) {
    return {};
  }
  return aText.substr(first, aText.find_last_not_of(kBlanks) - first + 1);
}

std::optional<field_line>
ParseFieldLine(std::string_view aLine, blanks_before_colon aBlanks)
{
  const auto colon = aLine.find(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  field_line field{ aLine.substr(0, colon), TrimBlanks(aLine.substr(colon + 1)) };
  if (aBlanks == blanks_before_colon::Removed) {
    field.mName = field.mName.substr(0, field.mName.find_last_not_of(kBlanks) + 1);
  }
  if (!IsToken(field.mName) || !IsFieldValue(field.mValue)) {
    return std::nullopt;
  }
  return field;
}

absl::StatusOr<std::uint64_t>
ParseContentLength(std::string_view aValue)
{
  return ParseNumber(aValue, kDecimal);
}

absl::StatusOr<std::uint64_t>
ParseChunkSize(std::string_view aLine)
{
  const auto digits = aLine.substr(0, aLine.find_first_of(" \t;"));
  const auto extensions = aLine.substr(digits.size());
  const auto separator = extensions.find_first_not_of(kBlanks);
  const bool valid =
    extensions.empty() || (separator != std::string_view::npos && extensions[separator] == ';');
  if (!valid || !IsFieldValue(extensions)) {
    return absl::InvalidArgumentError("the extensions of a chunk are not valid");
  }
  return ParseNumber(digits, kHexadecimal);
}

} // namespace skylarkwind
