#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace skylarkwind {

/// Splits a stream of server-sent events into complete events, so that a stream that is interrupted
/// within an event can be resumed on another server after the last complete one.
class sse_splitter
{
public:
  /// Adds bytes and returns the events that are now complete; an incomplete event is buffered. The
  /// view is valid until the next call.
  std::string_view Feed(std::string_view aBytes);

  /// Id of the last complete event that has one; empty before the first of them.
  const std::string& LastId() const { return mLastId; }
  /// Number of complete events; blocks without a field, e.g. only comments, do not count.
  std::size_t Events() const { return mEvents; }
  /// Bytes of the incomplete event.
  std::string_view Incomplete() const { return std::string_view{ mBuffer }.substr(mCompleteBytes); }
  /// Discards the incomplete event, after the stream was interrupted.
  void DiscardIncomplete() { mBuffer.resize(mCompleteBytes); }

private:
  void ParseEvent(std::string_view aEvent);

  std::string mBuffer;
  std::size_t mCompleteBytes = 0; ///< length of the prefix returned by the last call
  std::string mLastId;
  std::size_t mEvents = 0;
};

} // namespace skylarkwind
