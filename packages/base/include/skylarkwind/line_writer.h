#pragma once

#include "skylarkwind/clock.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace skylarkwind {

struct line_writer_settings
{
  double mLinesPerSecond = 400; ///< over a longer time
  double mBurst = 2'000;        ///< lines at once
};

/// Writes lines to a descriptor without ever waiting for its reader. Dropped lines are counted, and
/// the next line that is written is preceded by one that states their number.
class line_writer
{
public:
  line_writer(int aDescriptor, line_writer_settings aSettings);

  void Write(std::string_view aLine, instant aNow);
  std::uint64_t Dropped() const { return mDropped; }

private:
  bool TakeToken(instant aNow);
  /// False when the descriptor would not take the whole line at once.
  bool TryWrite(std::string_view aLine) const;

  int mDescriptor;
  line_writer_settings mSettings;
  double mTokens;
  instant mFilledAt{};
  std::uint64_t mDropped = 0;  ///< in all
  std::uint64_t mUnstated = 0; ///< since the last line that stated drops
};

} // namespace skylarkwind
