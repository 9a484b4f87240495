#pragma once

#include "soak_checks.h"

#include <cstdint>
#include <optional>
#include <string>

namespace skylarkwind::soak {

/// Milliseconds of the clock that processes on one machine share.
std::int64_t NowMs();

/// One connection to a daemon, used for one request after the other until it ends. Nothing is ever
/// sent a second time, so that a second run is the fault of the system.
class caller_connection
{
public:
  /// Empty when no connection can be made.
  static std::optional<caller_connection> Open(const std::string& aAddress);
  ~caller_connection();
  caller_connection(caller_connection&& aOther) noexcept;
  caller_connection(const caller_connection&) = delete;
  caller_connection& operator=(const caller_connection&) = delete;

  /// Sends the request and reads its answer into the record. The caller leaves after `aLeaveMs`
  /// when it is set. False when the connection can't be used again.
  bool Ask(const std::string& aText, std::optional<std::int64_t> aLeaveMs, request_record& aRecord);

private:
  explicit caller_connection(int aSocket)
    : mSocket(aSocket)
  {
  }

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
