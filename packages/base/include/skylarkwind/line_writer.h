#pragma once

#include "skylarkwind/clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace skylarkwind {

struct line_writer_settings
{
  double mLinesPerSecond = 400;               ///< over a longer time
  double mBurst = 2'000;                      ///< lines at once
  std::size_t mQueueBytes = 128 * 1'024;      ///< of lines that wait for the reader
  double mUrgentBurst = 500;                  ///< further urgent lines at once
  std::size_t mUrgentQueueBytes = 64 * 1'024; ///< further bytes of urgent lines that wait
};

enum class line_priority
{
  Normal,
  Urgent ///< may use the reserve of rate and queue
};

/// Writes lines to a descriptor without waiting for its reader. Lines that the reader does not take
/// at once wait in order, up to a limit. Dropped lines are counted, and the next line that is
/// accepted is preceded by one that states their number.
class line_writer
{
public:
  line_writer(int aDescriptor, line_writer_settings aSettings);

  void Write(std::string_view aLine, instant aNow, line_priority aPriority = line_priority::Normal);
  /// Writes the lines that wait, as far as the reader takes them within the limit, and states what
  /// was dropped. True when nothing waits any more.
  bool Flush(std::chrono::milliseconds aLimit, const clock_source& aClock);
  std::uint64_t Dropped() const { return mDropped; }

private:
  bool TakeToken(instant aNow, line_priority aPriority);
  std::string StatementOfDrops() const;
  void Append(std::string aLine);
  /// Writes whole lines until none waits or the reader takes no more. False when it never will.
  bool WriteQueued();

  int mDescriptor;
  line_writer_settings mSettings;
  double mTokens; ///< below zero while urgent lines have used the reserve
  instant mFilledAt{};
  std::deque<std::string> mQueue;
  std::size_t mQueuedBytes = 0;
  std::size_t mFrontWritten = 0; ///< bytes of the first line that the reader has taken
  std::uint64_t mDropped = 0;    ///< in all
  std::uint64_t mUnstated = 0;   ///< since the last line that stated drops
};

} // namespace skylarkwind
