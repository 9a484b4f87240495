#pragma once

#include "message_framing_p.h"

#include "skylarkwind/backend_calls.h"

#include <kj/async-io.h>
#include <kj/compat/http.h>

#include <chrono>
#include <string>
#include <string_view>
#include <variant>

namespace skylarkwind {

/// Time in which a caller has to take the rest of a response that is ready: beyond the limit of its
/// request, and before its connection counts as idle.
inline constexpr std::chrono::milliseconds kSlowCallerLimit{ 5'000 };

/// The reason phrase of a status line. That of a server is never forwarded, as it may contain any
/// bytes.
kj::StringPtr ReasonPhrase(unsigned int aStatus);

/// The whole response to a request whose head is not valid, which the HTTP library has not seen.
/// The connection is to be closed after it.
std::string RejectionOf(const framing_error& aError);

/// The response to one request of a caller. Its head is sent once: either with a whole body, or
/// before a stream of parts. A second head would reach the caller as part of the first response.
class caller_response
{
public:
  caller_response(kj::HttpService::Response& aResponse, const kj::HttpHeaderTable& aTable)
    : mTable(aTable)
    , mState(nothing_sent{ aResponse })
  {
  }

  /// Whether a head has been sent.
  bool Started() const { return !std::holds_alternative<nothing_sent>(mState); }
  /// Whether the head of a stream has been sent and the end of the stream has not.
  bool Streaming() const { return std::holds_alternative<streaming>(mState); }

  /// Sends head and body. Fails when a head has been sent before.
  kj::Promise<void> SendWhole(unsigned int aStatus, const header_list& aHeaders, std::string aBody);
  /// Sends the head of a stream of unknown length. Fails when a head has been sent before.
  void StartStream(unsigned int aStatus, const header_list& aHeaders);
  /// Adds a part to the stream; the bytes must stay valid until the promise resolves.
  kj::Promise<void> Write(std::string_view aPart);
  /// Ends the stream as complete.
  void FinishStream();

private:
  struct nothing_sent
  {
    kj::HttpService::Response& mResponse;
  };
  struct streaming
  {
    kj::Own<kj::AsyncOutputStream> mParts;
  };
  struct head_and_body_sent
  {};

  kj::HttpService::Response& TakeUnsent();

  const kj::HttpHeaderTable& mTable;
  std::variant<nothing_sent, streaming, head_and_body_sent> mState;
};

} // namespace skylarkwind
