#pragma once

#include "skylarkwind/backend_calls.h"
#include "skylarkwind/clock.h"

#include <kj/async-io.h>
#include <kj/compat/http.h>
#include <kj/timer.h>

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace skylarkwind {

class monitored_stream;

/// Converts between kj's headers and the product's list.
header_list FromKj(const kj::HttpHeaders& aHeaders);
kj::HttpHeaders ToKj(const header_list& aHeaders, const kj::HttpHeaderTable& aTable);
inline kj::StringPtr
ToKj(const std::string& aText)
{
  return { aText.c_str(), aText.size() };
}
kj::Duration ToKj(std::chrono::milliseconds aTime);

/// One request to be sent. All views stay valid until the answer or the failure.
struct http_call
{
  std::string mAddress; ///< ip:port
  std::string mMethod;
  std::string mTarget;
  std::string mHost;
  header_list mHeaders;
  std::string_view mBody;
  /// Longest idle time of a connection that may be reused; zero forces a new one.
  std::chrono::milliseconds mReuseWithin{ 60'000 };
};

/// Why no answer came.
struct http_failure
{
  bool mSent = false; ///< bytes may have reached the server
  std::string mReason;
};

struct http_pool_settings
{
  std::chrono::milliseconds mConnectLimit{ 600 };
  /// Idle connections are kept this long when the server states no limit of its own.
  std::chrono::milliseconds mIdleDefault{ 2'000 };
  std::chrono::milliseconds mIdleMost{ 15'000 };
};

/// A connection and the HTTP client on it.
struct pooled_connection
{
  std::string mAddress;
  kj::Own<monitored_stream> mStream;
  kj::Own<kj::HttpClient> mClient;
  instant mIdleSince{};
  instant mUsableUntil{};
};

/// Head of an answer and its body. Dropping it before the end closes the connection, which cancels
/// the work at the server.
class http_answer
{
public:
  int mStatus = 0;
  std::string mStatusText;
  header_list mHeaders;

  /// The body; bytes end with 0, a connection that breaks off with an exception.
  kj::AsyncInputStream& Body() { return *mBody; }

private:
  friend class http_pool;
  /// Destroyed in reverse order: the body first, the connection last.
  kj::Own<pooled_connection> mConnection;
  kj::Own<kj::AsyncInputStream> mBody;
  kj::Maybe<kj::Promise<void>> mUpload;
  std::shared_ptr<bool> mUploaded;
};

using http_result = std::variant<std::unique_ptr<http_answer>, http_failure>;

/// Connections to servers, one request at a time on each. A request is written once and never
/// sent again by the pool.
class http_pool
{
public:
  http_pool(kj::Network& aNetwork,
            kj::Timer& aTimer,
            const clock_source& aClock,
            const kj::HttpHeaderTable& aTable,
            http_pool_settings aSettings);
  ~http_pool();

  kj::Promise<http_result> Call(http_call aCall);
  /// Gives back the connection of an answer whose body was read to its end. `aIdleLimit` is what
  /// the server stated for idle connections.
  void Release(std::unique_ptr<http_answer> aAnswer,
               bool aServerCloses,
               std::optional<std::chrono::milliseconds> aIdleLimit);
  /// Closes connections that were idle for too long.
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
  std::map<std::string, std::vector<kj::Own<pooled_connection>>, std::less<>> mIdle;
};

} // namespace skylarkwind
