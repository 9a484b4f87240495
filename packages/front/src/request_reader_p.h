#pragma once

#include "skylarkwind/backend_calls.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace skylarkwind {

/// One HTTP request as received.
struct received_request
{
  std::string mMethod;
  std::string mTarget; ///< path and query, byte for byte
  header_list mHeaders;
  std::string mBody;
  bool mHttp10 = false;
  bool mKeepAlive = true;
};

/// Why a request cannot be taken.
struct refusal
{
  int mStatus = 400;
  std::string mCode;
  std::string mMessage;
  std::string mAllow; ///< methods for the Allow header of a 405
};

/// First value of a header; names are compared without case. Empty when absent.
std::string_view HeaderValue(const header_list& aHeaders, std::string_view aName);

/// Incremental parser of HTTP/1.x requests on one connection. It is strict where a lenient parser
/// and the load balancer in front could disagree on where a request ends: bare line feeds, folded
/// headers, repeated Content-Length, and Content-Length with Transfer-Encoding are refused.
///
/// Pistache's own parser is not used: in 0.0.5 it loses the order and repetition of query and
/// header names, drops a pipelined request, and takes `Content-Length: zz` as an empty body.
class request_reader
{
public:
  struct limits
  {
    std::size_t mHeaderBytes = 0;
    std::size_t mBodyBytes = 0;
  };

  enum class progress
  {
    NeedMore,
    Ready, ///< `Take` returns the request
    Failed ///< `Failure` says why; nothing more is read
  };

  explicit request_reader(limits aLimits)
    : mLimits(aLimits)
  {
  }

  void Feed(std::string_view aBytes) { mBuffer.append(aBytes); }
  progress Advance();

  /// A part of a request has arrived.
  bool MidRequest() const;
  std::size_t Buffered() const { return mBuffer.size(); }

  /// True once for each request whose sender waits for "100 Continue".
  bool TakeContinue();

  /// Returns the parsed request; the next one starts at the bytes after it.
  received_request Take();
  const refusal& Failure() const { return mFailure; }

private:
  enum class step
  {
    Head,
    FixedBody,
    ChunkSize,
    ChunkData,
    ChunkEnd,
    Trailers,
    Ready,
    Failed
  };

  bool Fail(int aStatus, std::string_view aCode, std::string_view aMessage);
  bool Malformed(std::string_view aMessage) { return Fail(400, "malformed_request", aMessage); }
  bool AdvanceStep();
  bool ReadHead();
  bool ParseHead(std::string_view aHead);
  bool ParseRequestLine(std::string_view aLine);
  bool ParseHeaderLine(std::string_view aLine);
  bool ParseFraming();
  bool ReadContentLength(std::string_view aValue);
  bool ReadFixedBody();
  bool ReadChunkSize();
  bool ReadChunkData();
  bool ReadChunkEnd();
  bool ReadTrailers();
  /// Takes one line that ends in CRLF; false when none is complete yet or it is too long.
  bool TakeLine(std::string& aLine, std::size_t aMaxBytes);
  void AppendBody(std::size_t aBytes);

  limits mLimits;
  std::string mBuffer;
  std::size_t mScanned = 0; ///< bytes of the buffer that hold no end of the head
  step mStep = step::Head;
  received_request mRequest;
  std::uint64_t mRemaining = 0; ///< of the fixed body or the current chunk
  std::size_t mTrailerBytes = 0;
  bool mContinue = false;
  refusal mFailure;
};

} // namespace skylarkwind
