#pragma once

#include "skylarkwind/backend_calls.h"
#include "skylarkwind/clock.h"
#include "skylarkwind/head_allowance.h"

#include <kj/async-io.h>
#include <kj/compat/http.h>
#include <kj/timer.h>

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace skylarkwind {

class framed_stream;
class monitored_stream;

/// Convert headers, strings and durations between the types of kj and those of this project.
header_list FromKj(const kj::HttpHeaders& aHeaders);
kj::HttpHeaders ToKj(const header_list& aHeaders, const kj::HttpHeaderTable& aTable);
inline kj::StringPtr
ToKj(const std::string& aText)
{
  return { aText.c_str(), aText.size() };
}
kj::Duration ToKj(std::chrono::milliseconds aTime);

/// A request to send. The views in it must stay valid until the response or the failure.
struct http_call
{
  std::string mAddress; ///< ip:port
  std::string mMethod;
  std::string mTarget;
  std::string mHost;
  header_list mHeaders;
  std::string_view mBody;
  /// The id that the response must repeat; empty when the server repeats none. A connection carries
  /// an id only once, so that a repeated response to an earlier request always has another id.
  std::string mEchoedId;
  /// Longest idle time of a connection that may be reused; zero forces a new one.
  std::chrono::milliseconds mMaxIdleForReuse{ 60'000 };
  /// A call that is not sent by then fails, e.g. because the connection took long to open.
  std::optional<instant> mSendBy;
  /// Called when the server may begin to receive the request, if set.
  std::function<void()> mOnSend;
};

/// Why a request got no response.
struct http_failure
{
  bool mSent = false; ///< the server may have received bytes of the request
  std::string mReason;
};

/// Limits of connections and of the heads of responses.
struct http_pool_settings
{
  std::chrono::milliseconds mConnectLimit{ 600 }; ///< for opening a connection
  /// Idle connections are kept this long when the server states no idle limit.
  std::chrono::milliseconds mDefaultIdle{ 2'000 };
  std::chrono::milliseconds mMaxIdle{ 15'000 }; ///< bound, whatever limit the server states
  std::size_t mMaxHeadBytes = std::size_t{ 32 } * 1'024; ///< of one response
  /// Of all responses whose heads are being read. The response that exceeds it fails.
  std::size_t mMaxHeadBytesInSum = std::size_t{ 8 } * 1'024 * 1'024;
};

/// A connection and the HTTP client on it.
struct pooled_connection
{
  std::string mAddress;
  kj::Own<monitored_stream> mStream;
  kj::Own<framed_stream> mFramed; ///< what the client reads of the stream
  kj::Own<kj::HttpClient> mClient;
  instant mIdleSince{};
  instant mUsableUntil{};
  std::vector<std::uint64_t> mCarriedIds; ///< hashes of the ids of the requests sent on it
};

/// How far the sending of a request's body has come.
enum class upload_progress
{
  Open,
  Done,
  Failed
};

/// A response: status (200 to 599), headers and a stream of the body. Dropping it before the end
/// closes the connection, which cancels the work at the server.
class http_answer
{
public:
  int mStatus = 0;
  header_list mHeaders;

  /// The body. A read returns 0 at the end and throws when the connection fails.
  kj::AsyncInputStream& Body() { return *mBody; }
  /// Whether the server has stated no length: the body ends with the connection.
  bool EndsWithConnection() const { return mEndsWithConnection; }

private:
  friend class http_pool;
  /// Destroyed in reverse order: the body first, the connection last.
  kj::Own<pooled_connection> mConnection;
  kj::Own<kj::AsyncInputStream> mBody;
  kj::Maybe<kj::Promise<void>> mUpload;
  std::shared_ptr<upload_progress> mUploaded;
  bool mEndsWithConnection = false;
};

using http_result = std::variant<std::unique_ptr<http_answer>, http_failure>;

/// A pool of HTTP connections to servers, with one request at a time on each. The pool sends each
/// request once and never retries it.
class http_pool
{
public:
  http_pool(kj::Network& aNetwork,
            kj::Timer& aTimer,
            const clock_source& aClock,
            const kj::HttpHeaderTable& aTable,
            http_pool_settings aSettings);
  ~http_pool();

  /// Sends a request on an idle connection or a new one. The promise resolves when the headers of
  /// the response have arrived or the request has failed. A response whose status or headers
  /// violate HTTP is a failure of the request, and so is an interim one.
  kj::Promise<http_result> Call(http_call aCall);
  /// Returns the connection of a response whose body was read to its end to the pool.
  /// `aServerCloses` tells that the server closes it. `aIdleLimit` is the idle time after which the
  /// server closes connections, if it stated one.
  void Release(std::unique_ptr<http_answer> aAnswer,
               bool aServerCloses,
               std::optional<std::chrono::milliseconds> aIdleLimit);
  /// Closes connections that were idle for too long or received unexpected input.
  void OnTick(instant aNow);

private:
  kj::Promise<kj::Own<pooled_connection>> Connect(const std::string& aAddress);
  kj::Maybe<kj::Own<pooled_connection>> TakeIdle(const http_call& aCall);
  kj::Promise<http_result> Send(kj::Own<pooled_connection> aConnection, http_call aCall);

  kj::Network& mNetwork;
  kj::Timer& mTimer;
  const clock_source& mClock;
  const kj::HttpHeaderTable& mTable;
  http_pool_settings mSettings;
  head_allowance mHeads;
  std::map<std::string, std::vector<kj::Own<pooled_connection>>, std::less<>> mIdle;
};

} // namespace skylarkwind
