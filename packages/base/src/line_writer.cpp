#include "skylarkwind/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <climits>

namespace skylarkwind {

namespace {

/// A pipe that polls as writable takes this much without blocking.
constexpr std::size_t kMostBytes = PIPE_BUF;

} // namespace

line_writer::line_writer(int aDescriptor, line_writer_settings aSettings)
  : mDescriptor(aDescriptor)
  , mSettings(aSettings)
  , mTokens(aSettings.mBurst)
{
}

void
line_writer::Write(std::string_view aLine, instant aNow)
{
  std::string line;
  if (mUnstated > 0) {
    line = "log: dropped=" + std::to_string(mUnstated) + " lines\n";
  }
  line.append(aLine.substr(0, kMostBytes / 2));
  line.push_back('\n');
  if (!TakeToken(aNow) || !TryWrite(line)) {
    ++mDropped;
    ++mUnstated;
    return;
  }
  mUnstated = 0;
}

bool
line_writer::TakeToken(instant aNow)
{
  const std::chrono::duration<double> elapsed = aNow - mFilledAt;
  mFilledAt = aNow;
  mTokens = std::min(mSettings.mBurst, mTokens + elapsed.count() * mSettings.mLinesPerSecond);
  if (mTokens < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

bool
line_writer::TryWrite(std::string_view aLine) const
{
  pollfd ready{ mDescriptor, POLLOUT, 0 };
  if (poll(&ready, 1, 0) != 1 || (ready.revents & POLLOUT) == 0) {
    return false;
  }
  return write(mDescriptor, aLine.data(), aLine.size()) == static_cast<ssize_t>(aLine.size());
}

} // namespace skylarkwind
