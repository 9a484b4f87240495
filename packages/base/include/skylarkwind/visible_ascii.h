#pragma once

#include <algorithm>
#include <string_view>

namespace skylarkwind {

/// Whether a text has visible ASCII characters only, so that it can stand in a header or a path. An
/// empty text does.
inline bool
IsVisibleAscii(std::string_view aText)
{
  return std::all_of(aText.begin(), aText.end(), [](char aCharacter) {
    return aCharacter > ' ' && aCharacter < 0x7f;
  });
}

} // namespace skylarkwind
