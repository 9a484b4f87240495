#pragma once

#include <absl/status/statusor.h>
#include <kj/async-unix.h>
#include <kj/timer.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkwind {

using http_headers = std::vector<std::pair<std::string, std::string>>;

/// Limits that hold for every call of a client.
struct http_client_settings
{
  std::chrono::milliseconds mConnectLimit{ 1000 };
  /// Idle connections above this age are not used again.
  std::chrono::seconds mMaxIdle{ 15 };
  /// No connection is used again above this age, so that every peer's load spreads anew.
  std::chrono::seconds mMaxAge{ 300 };
  std::chrono::seconds mKeepAlive{ 5 };
  long mMaxIdleConnections = 512;
  std::size_t mMaxBodyBytes = 64U << 20U; ///< of an answer that is collected
};

struct http_request
{
  std::string mMethod = "GET";
  std::string mUrl; ///< http://ip:port/path
  http_headers mHeaders;
  std::string mBody;
  /// Opens a connection of its own, for probes of a peer whose open connections are silent.
  bool mFreshConnection = false;
  /// The request may be written a second time, on a new connection, when a reused connection
  /// turns out to be closed. Otherwise it is written at most once.
  bool mRepeatable = false;
  /// Asked right before the request is written to the established connection; false ends the call
  /// as NotSent. It runs inside libcurl and must not call the client.
  std::function<bool()> mMayWrite;
  std::chrono::milliseconds mFirstProgressLimit{ 5000 }; ///< until the first byte of the answer
  std::chrono::milliseconds mProgressLimit{ 5000 };      ///< between bytes after that
};

enum class http_end
{
  Complete, ///< the whole answer was read
  NotSent,  ///< no byte of the request was written to the peer
  Broken,   ///< the connection failed after the request may have been written
  Silent    ///< a progress limit passed after the request may have been written
};

struct http_result
{
  http_end mEnd = http_end::Broken;
  int mStatus = 0; ///< 0 when no status line was read
  http_headers mHeaders;
  std::string mBody; ///< empty when the body was streamed
  std::string mReason;
};

/// Names a call within one client; numbers are never used again.
struct http_call
{
  std::uint64_t mNumber = 0;
  bool operator==(const http_call&) const = default;
  bool operator<(const http_call& aOther) const { return mNumber < aOther.mNumber; }
};

struct http_callbacks
{
  /// Takes parts of the body as they come. When it is empty, the body is collected in the result.
  /// It gets the status first, so that the body of an error can be told from a stream.
  std::function<void(int aStatus, std::string_view aData)> mOnBody;
  std::function<void(http_result)> mOnEnd;
};

/// HTTP/1.1 client: libcurl's multi interface on a kj event loop. All calls and callbacks happen
/// on the loop's thread. Callbacks never run inside Start or Cancel; they may call both.
/// `mOnEnd` must be set.
class http_client
{
public:
  static absl::StatusOr<std::unique_ptr<http_client>> Create(kj::UnixEventPort& aPort,
                                                             kj::Timer& aTimer,
                                                             const http_client_settings& aSettings);
  virtual ~http_client() = default;

  virtual http_call Start(http_request aRequest, http_callbacks aCallbacks) = 0;
  /// Closes the call's connection. No callback follows. Calls that have ended are ignored.
  virtual void Cancel(http_call aCall) = 0;
  /// Number of calls that have not ended.
  virtual std::size_t Open() const = 0;
};

} // namespace skylarkwind
