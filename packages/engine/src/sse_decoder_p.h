#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace skylarkwind {

/// Decodes server-sent events that arrive in arbitrary parts. Only `data` fields are passed on.
class sse_decoder
{
public:
  /// Calls `aOnData` with the data of each event that is now whole. Returns false when an event is
  /// larger than the bound; nothing more is decoded then.
  bool Feed(std::string_view aPart, const std::function<void(std::string_view)>& aOnData);

private:
  void EndLine(const std::function<void(std::string_view)>& aOnData);

  std::string mLine;
  std::string mData;
  bool mHasData = false;
  bool mAfterReturn = false; ///< the last byte was CR, so that an LF belongs to it
  bool mOverflowed = false;
};

} // namespace skylarkwind
