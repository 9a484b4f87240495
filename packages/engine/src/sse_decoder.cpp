#include "sse_decoder_p.h"

namespace skylarkwind {

namespace {

/// Bounds memory for a peer that never ends an event.
constexpr std::size_t kMaxEventBytes = 4U << 20U;

} // namespace

bool
sse_decoder::Feed(std::string_view aPart, const std::function<void(std::string_view)>& aOnData)
{
  while (!aPart.empty() && !mOverflowed) {
    if (mAfterReturn && aPart.front() == '\n') {
      mAfterReturn = false;
      aPart.remove_prefix(1);
      continue;
    }
    mAfterReturn = false;
    auto end = aPart.find_first_of("\r\n");
    mLine.append(aPart.substr(0, end));
    mOverflowed = mLine.size() + mData.size() > kMaxEventBytes;
    if (end == std::string_view::npos) {
      break;
    }
    mAfterReturn = aPart[end] == '\r';
    aPart.remove_prefix(end + 1);
    EndLine(aOnData);
  }
  return !mOverflowed;
}

void
sse_decoder::EndLine(const std::function<void(std::string_view)>& aOnData)
{
  if (mLine.empty()) {
    if (mHasData) {
      aOnData(mData);
    }
    mData.clear();
    mHasData = false;
    return;
  }
  std::string_view line{ mLine };
  if (line == "data" || line.starts_with("data:")) {
    auto value = line.substr(line.size() > 4 ? 5 : 4);
    if (value.starts_with(' ')) {
      value.remove_prefix(1);
    }
    if (mHasData) {
      mData += '\n';
    }
    mData += value;
    mHasData = true;
  }
  mLine.clear();
}

} // namespace skylarkwind
