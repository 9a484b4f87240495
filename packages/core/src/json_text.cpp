#include "skylarkwind/json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>

namespace skylarkwind {

namespace {

using nlohmann::json;

constexpr std::string_view kWhitespace = " \t\r\n";

/// Reads the parts of a JSON text in order. Open brackets are kept in a container, so that the
/// depth of a text does not use up the call stack.
class json_scanner
{
public:
  explicit json_scanner(std::string_view aText)
    : mText(aText)
  {
  }

  /// Skips whitespace, and the character if it comes next.
  bool Take(char aCharacter)
  {
    SkipWhitespace();
    if (mAt >= mText.size() || mText[mAt] != aCharacter) {
      return false;
    }
    ++mAt;
    return true;
  }

  bool AtEnd()
  {
    SkipWhitespace();
    return mAt >= mText.size();
  }

  /// The next string, without its quotes and with its escapes as they are.
  std::optional<std::string_view> String()
  {
    if (!Take('"')) {
      return std::nullopt;
    }
    const auto start = mAt;
    if (!SkipStringRest()) {
      return std::nullopt;
    }
    return mText.substr(start, mAt - start - 1);
  }

  /// The text of the next value.
  std::optional<std::string_view> Value()
  {
    SkipWhitespace();
    const auto start = mAt;
    std::string open;
    while (mAt < mText.size()) {
      const char character = mText[mAt];
      if (open.empty() && (character == ',' || character == ']' || character == '}')) {
        break;
      }
      ++mAt;
      if (character == '"') {
        if (!SkipStringRest()) {
          return std::nullopt;
        }
      } else if (character == '[' || character == '{') {
        open.push_back(character == '[' ? ']' : '}');
        mDepth = std::max(mDepth, open.size());
      } else if (character == ']' || character == '}') {
        if (open.back() != character) {
          return std::nullopt;
        }
        open.pop_back();
      }
    }
    const auto text = mText.substr(start, mAt - start);
    const auto last = text.find_last_not_of(kWhitespace);
    if (!open.empty() || last == std::string_view::npos) {
      return std::nullopt;
    }
    return text.substr(0, last + 1);
  }

  /// Depth of the deepest value that was read.
  std::size_t Depth() const { return mDepth; }

private:
  void SkipWhitespace() { mAt = std::min(mText.find_first_not_of(kWhitespace, mAt), mText.size()); }

  bool SkipStringRest()
  {
    while (mAt < mText.size()) {
      const char character = mText[mAt++];
      if (character == '"') {
        return true;
      }
      if (character == '\\') {
        ++mAt;
      }
    }
    return false;
  }

  std::string_view mText;
  std::size_t mAt = 0;
  std::size_t mDepth = 0;
};

} // namespace

json
ParseUntrustedJson(std::string_view aText)
{
  json_scanner scanner{ aText };
  if (!scanner.Value() || scanner.Depth() > kMaxJsonDepth) {
    return json(json::value_t::discarded);
  }
  return json::parse(aText, nullptr, false);
}

std::optional<std::vector<std::string_view>>
SplitJsonArray(std::string_view aText)
{
  json_scanner scanner{ aText };
  std::vector<std::string_view> elements;
  if (!scanner.Take('[')) {
    return std::nullopt;
  }
  if (!scanner.Take(']')) {
    do {
      const auto element = scanner.Value();
      if (!element) {
        return std::nullopt;
      }
      elements.push_back(*element);
    } while (scanner.Take(','));
    if (!scanner.Take(']')) {
      return std::nullopt;
    }
  }
  return scanner.AtEnd() ? std::optional{ std::move(elements) } : std::nullopt;
}

std::optional<std::vector<std::pair<std::string_view, std::string_view>>>
SplitJsonObject(std::string_view aText)
{
  json_scanner scanner{ aText };
  std::vector<std::pair<std::string_view, std::string_view>> members;
  if (!scanner.Take('{')) {
    return std::nullopt;
  }
  if (!scanner.Take('}')) {
    do {
      const auto name = scanner.String();
      const auto value = name && scanner.Take(':') ? scanner.Value() : std::nullopt;
      if (!value) {
        return std::nullopt;
      }
      members.emplace_back(*name, *value);
    } while (scanner.Take(','));
    if (!scanner.Take('}')) {
      return std::nullopt;
    }
  }
  return scanner.AtEnd() ? std::optional{ std::move(members) } : std::nullopt;
}

} // namespace skylarkwind
