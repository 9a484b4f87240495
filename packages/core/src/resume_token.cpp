#include "skylarkwind/resume_token.h"

#include "skylarkwind/hash.h"

#include <array>
#include <charconv>
#include <cstddef>

namespace skylarkwind {

namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";
constexpr std::size_t kFields = 5;
/// Longer header values are no resume tokens; they are rejected before they are hashed.
constexpr std::size_t kMaxTokenBytes = 2'048;

bool
IsUnreserved(char aCharacter)
{
  return (aCharacter >= 'a' && aCharacter <= 'z') || (aCharacter >= 'A' && aCharacter <= 'Z') ||
         (aCharacter >= '0' && aCharacter <= '9') || aCharacter == '-' || aCharacter == '_';
}

/// Appends the text with every character but letters, digits, '-' and '_' encoded as %xx.
void
AppendEscaped(std::string& aOut, std::string_view aText)
{
  for (const char character : aText) {
    if (IsUnreserved(character)) {
      aOut.push_back(character);
    } else {
      const auto code = static_cast<unsigned char>(character);
      aOut.push_back('%');
      aOut.push_back(kHexDigits[code >> 4U]);
      aOut.push_back(kHexDigits[code & 0xFU]);
    }
  }
}

std::optional<std::string>
Unescape(std::string_view aText)
{
  std::string out;
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      out.push_back(aText[i]);
      continue;
    }
    unsigned int code = 0;
    const auto* first = aText.data() + i + 1;
    if (i + 2 >= aText.size() || std::from_chars(first, first + 2, code, 16).ptr != first + 2) {
      return std::nullopt;
    }
    out.push_back(static_cast<char>(code));
    i += 2;
  }
  return out;
}

std::optional<std::uint64_t>
ParseNumber(std::string_view aText)
{
  std::uint64_t value = 0;
  const auto* end = aText.data() + aText.size();
  const auto [rest, error] = std::from_chars(aText.data(), end, value);
  if (error != std::errc{} || rest != end) {
    return std::nullopt;
  }
  return value;
}

std::string
Signature(std::string_view aPayload, std::string_view aKey, std::uint64_t aRequest)
{
  std::string signedText{ aPayload };
  signedText += '/';
  signedText += std::to_string(aRequest);
  return HmacSha256Hex(aKey, signedText);
}

std::optional<std::array<std::string_view, kFields>>
SplitFields(std::string_view aPayload)
{
  std::array<std::string_view, kFields> fields;
  for (std::size_t i = 0; i < kFields; ++i) {
    const auto end = aPayload.find('.');
    if ((end == std::string_view::npos) != (i + 1 == kFields)) {
      return std::nullopt;
    }
    fields[i] = aPayload.substr(0, end);
    aPayload.remove_prefix(end == std::string_view::npos ? aPayload.size() : end + 1);
  }
  return fields;
}

} // namespace

std::string
MakeResumeToken(const resume_point& aPoint, std::string_view aKey, std::uint64_t aRequest)
{
  std::string token = std::to_string(aPoint.mOffset);
  token += '.';
  token += std::to_string(aPoint.mSeed);
  for (const auto* text : { &aPoint.mStream, &aPoint.mEngine, &aPoint.mVersion }) {
    token += '.';
    AppendEscaped(token, *text);
  }
  const auto signature = Signature(token, aKey, aRequest);
  token += '.';
  token += signature;
  return token;
}

std::optional<resume_point>
ReadResumeToken(std::string_view aToken, std::string_view aKey, std::uint64_t aRequest)
{
  const auto lastDot = aToken.rfind('.');
  if (lastDot == std::string_view::npos || aToken.size() > kMaxTokenBytes) {
    return std::nullopt;
  }
  const auto payload = aToken.substr(0, lastDot);
  if (!EqualConstantTime(aToken.substr(lastDot + 1), Signature(payload, aKey, aRequest))) {
    return std::nullopt;
  }
  const auto fields = SplitFields(payload);
  if (!fields) {
    return std::nullopt;
  }
  const auto offset = ParseNumber((*fields)[0]);
  const auto seed = ParseNumber((*fields)[1]);
  auto stream = Unescape((*fields)[2]);
  auto engine = Unescape((*fields)[3]);
  auto version = Unescape((*fields)[4]);
  if (!offset || !seed || !stream || !engine || !version) {
    return std::nullopt;
  }
  return resume_point{
    *std::move(stream), *std::move(engine), *std::move(version), *seed, *offset
  };
}

} // namespace skylarkwind
