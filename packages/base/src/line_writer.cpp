#include "skylarkwind/line_writer.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <climits>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// A pipe that polls as writable takes this much without blocking, and in one piece.
constexpr std::size_t kMostBytes = PIPE_BUF;

enum class descriptor_state
{
  Writable,
  Full,
  Closed
};

descriptor_state
Poll(int aDescriptor, milliseconds aLimit)
{
  pollfd ready{ aDescriptor, POLLOUT, 0 };
  if (poll(&ready, 1, static_cast<int>(aLimit.count())) != 1) {
    return descriptor_state::Full;
  }
  if ((ready.revents & (POLLERR | POLLNVAL)) != 0) {
    return descriptor_state::Closed;
  }
  return (ready.revents & POLLOUT) != 0 ? descriptor_state::Writable : descriptor_state::Full;
}

} // namespace

line_writer::line_writer(int aDescriptor, line_writer_settings aSettings)
  : mDescriptor(aDescriptor)
  , mSettings(aSettings)
  , mTokens(aSettings.mBurst)
{
}

void
line_writer::Write(std::string_view aLine, instant aNow, line_priority aPriority)
{
  // Frees room in the queue first.
  WriteQueued();
  std::string line = StatementOfDrops();
  line.append(aLine.substr(0, kMostBytes / 2));
  line.push_back('\n');
  const auto limit =
    mSettings.mQueueBytes +
    (aPriority == line_priority::Urgent ? mSettings.mUrgentQueueBytes : std::size_t{ 0 });
  if (!TakeToken(aNow, aPriority) || mQueuedBytes + line.size() > limit) {
    ++mDropped;
    ++mUnstated;
    return;
  }
  Append(std::move(line));
  if (mQueue.size() == 1) {
    WriteQueued();
  }
}

bool
line_writer::Flush(milliseconds aLimit, const clock_source& aClock)
{
  const auto until = aClock.Now() + aLimit;
  while (WriteQueued()) {
    if (mQueue.empty()) {
      if (mUnstated == 0) {
        return true;
      }
      Append(StatementOfDrops());
      continue;
    }
    const auto left = std::chrono::ceil<milliseconds>(until - aClock.Now());
    if (left <= milliseconds{ 0 }) {
      return false;
    }
    Poll(mDescriptor, left);
  }
  return false;
}

bool
line_writer::TakeToken(instant aNow, line_priority aPriority)
{
  const std::chrono::duration<double> elapsed = aNow - mFilledAt;
  mFilledAt = aNow;
  mTokens = std::min(mSettings.mBurst, mTokens + elapsed.count() * mSettings.mLinesPerSecond);
  const auto reserve = aPriority == line_priority::Urgent ? mSettings.mUrgentBurst : 0;
  if (mTokens + reserve < 1) {
    return false;
  }
  mTokens -= 1;
  return true;
}

std::string
line_writer::StatementOfDrops() const
{
  return mUnstated > 0 ? "log: dropped=" + std::to_string(mUnstated) + " lines\n" : std::string{};
}

void
line_writer::Append(std::string aLine)
{
  mQueuedBytes += aLine.size();
  mQueue.push_back(std::move(aLine));
  mUnstated = 0;
}

bool
line_writer::WriteQueued()
{
  while (!mQueue.empty()) {
    if (const auto state = Poll(mDescriptor, milliseconds{ 0 });
        state != descriptor_state::Writable) {
      return state != descriptor_state::Closed;
    }
    const auto& line = mQueue.front();
    const auto count = write(mDescriptor, line.data() + mFrontWritten, line.size() - mFrontWritten);
    if (count < 0) {
      return errno == EINTR || errno == EAGAIN;
    }
    mFrontWritten += static_cast<std::size_t>(count);
    if (mFrontWritten == line.size()) {
      mQueuedBytes -= line.size();
      mFrontWritten = 0;
      mQueue.pop_front();
    }
  }
  return true;
}

} // namespace skylarkwind
