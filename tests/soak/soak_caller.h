#pragma once

#include "soak_checks.h"

#include <cstdint>
#include <optional>
#include <string>

namespace skylarkwind::soak {

/// Milliseconds of the clock that processes on one machine share.
std::int64_t NowMs();

/// How a caller sends a request and reads its answer.
struct caller_habits
{
  std::optional<std::int64_t> mLeaveMs; ///< leaves after this time
  std::size_t mParts = 1;               ///< the request is sent in so many parts
  std::int64_t mPartPauseMs = 0;        ///< between two of them
  std::int64_t mReadAfterMs = 0;        ///< begins to read so long after the last part
  std::string mNext;                    ///< sent behind the request, without waiting
};

/// One connection to a daemon, used for one request after the other until it ends. Nothing is ever
/// sent a second time, so that a second run is the fault of the system.
class caller_connection
{
public:
  /// Empty when no connection can be made. `aReceiveBytes` sets the size of the receive buffer.
  static std::optional<caller_connection> Open(const std::string& aAddress, int aReceiveBytes = 0);
  ~caller_connection();
  caller_connection(caller_connection&& aOther) noexcept;
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;

  /// Sends the request and reads its answer into the record. False when the connection can't be
  /// used again.
  bool Ask(const std::string& aText, const caller_habits& aHabits, request_record& aRecord);
  /// Whether the other side has ended the connection, or sent what nobody asked for.
  bool Ended() const;

private:
  explicit caller_connection(int aSocket)
    : mSocket(aSocket)
  {
  }

  bool Send(const std::string& aText, const caller_habits& aHabits) const;
  /// Does not read for this time. Returns when the connection ended, if it did.
  std::optional<std::int64_t> AwaitReading(std::int64_t aForMs) const;
  /// Reads more; false at the end of the connection or of the time.
  bool Fill(std::int64_t aUntilMs);
  bool ReadHead(std::int64_t aUntilMs, request_record& aRecord);
  bool ReadBody(std::int64_t aUntilMs, request_record& aRecord);
  bool ReadChunks(std::int64_t aUntilMs, request_record& aRecord);
  std::optional<std::string> TakeLine(std::int64_t aUntilMs);

  int mSocket;
  std::string mBuffer;
};

} // namespace skylarkwind::soak
