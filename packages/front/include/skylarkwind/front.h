#pragma once

#include "skylarkwind/counters.h"
#include "skylarkwind/effects.h"
#include "skylarkwind/events.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace skylarkwind {

struct front_settings
{
  std::string mAddress; ///< ip:port; port 0 takes any free one
  std::size_t mMaxBodyBytes = std::size_t{ 4 } << 20U;
  std::size_t mMaxHeaderBytes = std::size_t{ 32 } << 10U;
  std::uint32_t mMaxOpenRequests = 1000;
  std::uint32_t mMaxConnections = 4000; ///< further connections are closed at once
  std::size_t mMaxPendingBytes = std::size_t{ 1 } << 20U; ///< unsent output of one connection
  std::chrono::milliseconds mHeaderTimeLimit{ 10'000 };   ///< for a whole request to arrive
  std::chrono::milliseconds mIdleTimeLimit{ 60'000 };     ///< between requests of a connection
  std::chrono::milliseconds mStalledWriteLimit{ 20'000 }; ///< without any output taken
};

/// A request that the daemon itself answers.
struct local_request
{
  std::string mMethod;
  std::string mPath;
  std::string mQuery;  ///< without the question mark
  std::string mBearer; ///< bearer token as sent; empty when none
  std::string mBody;
};

struct local_answer
{
  int mStatus = 200;
  std::string mContentType;
  std::string mBody;
};

/// HTTP server for callers and operators. Every function is for the loop thread; Pistache's
/// thread only parses requests and writes answers.
class caller_front
{
public:
  /// `aOnEvent` gets `caller_arrived` and `caller_disconnected`. `aOnLocal` answers /healthz,
  /// /readyz, /metrics, /v1/models and everything under /admin/. Both run in `Drain`.
  static absl::StatusOr<std::unique_ptr<caller_front>> Create(
    front_settings aSettings,
    counters& aCounters,
    std::function<void(event)> aOnEvent,
    std::function<local_answer(const local_request&)> aOnLocal);

  ~caller_front();
  caller_front(const caller_front&) = delete;
  caller_front& operator=(const caller_front&) = delete;

  /// Readable when `Drain` has work.
  int WakeFd() const;
  void Drain();

  /// Carries out `caller_error`, `caller_tokens`, `caller_completed` and `caller_response`; ignores
  /// other effects and those for a request that is closed.
  void Apply(const effect& aEffect);

  std::uint16_t Port() const;

  /// Requests whose answer has not been handed to the kernel in full. A graceful shutdown waits
  /// until this is 0 before `Stop`.
  std::size_t OpenRequests() const;

  /// Refuses new requests with 503 "not run" and closes idle connections; open requests go on and
  /// local ones are still answered.
  void StopAccepting();

  /// Closes every connection and joins Pistache's threads.
  void Stop();

private:
  class impl;
  explicit caller_front(std::unique_ptr<impl> aImpl);
  std::unique_ptr<impl> mImpl;
};

} // namespace skylarkwind
