#include "skylarkwind/sse_splitter.h"

namespace skylarkwind {

namespace {

/// Position after the first blank line (LF or CRLF) at or after `aFrom`, or npos.
std::size_t
FindEventEnd(std::string_view aText, std::size_t aFrom)
{
  const auto lfBlank = aText.find("\n\n", aFrom);
  const auto crlfBlank = aText.find("\r\n\r\n", aFrom);
  if (crlfBlank < lfBlank) {
    return crlfBlank + 4;
  }
  return lfBlank == std::string_view::npos ? lfBlank : lfBlank + 2;
}

} // namespace

std::string_view
sse_splitter::Feed(std::string_view aBytes)
{
  mBuffer.erase(0, mCompleteBytes);
  mCompleteBytes = 0;
  mBuffer.append(aBytes);
  const std::string_view text{ mBuffer };
  for (auto end = FindEventEnd(text, 0); end != std::string_view::npos;
       end = FindEventEnd(text, mCompleteBytes)) {
    ParseEvent(text.substr(mCompleteBytes, end - mCompleteBytes));
    mCompleteBytes = end;
  }
  return text.substr(0, mCompleteBytes);
}

void
sse_splitter::ParseEvent(std::string_view aEvent)
{
  bool hasFields = false;
  while (!aEvent.empty()) {
    auto end = aEvent.find('\n');
    auto line = aEvent.substr(0, end);
    aEvent.remove_prefix(end == std::string_view::npos ? aEvent.size() : end + 1);
    if (line.ends_with('\r')) {
      line.remove_suffix(1);
    }
    hasFields = hasFields || (!line.empty() && !line.starts_with(':'));
    if (line.starts_with("id:")) {
      line.remove_prefix(3);
      if (line.starts_with(' ')) {
        line.remove_prefix(1);
      }
      mLastId = line;
    }
  }
  mEvents += hasFields ? 1 : 0;
}

} // namespace skylarkwind
