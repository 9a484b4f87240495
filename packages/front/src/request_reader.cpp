#include "request_reader_p.h"

#include "skylarkwind/http_syntax.h"

#include <algorithm>
#include <utility>

namespace skylarkwind {

namespace {

/// A chunk-size line holds 16 digits and rarely an extension.
constexpr std::size_t kMaxChunkLineBytes = 256;

bool
IsTargetChar(char aChar)
{
  const auto byte = static_cast<unsigned char>(aChar);
  return byte > 0x20 && byte != 0x7f;
}

std::size_t
CountHeaders(const header_list& aHeaders, std::string_view aName)
{
  return static_cast<std::size_t>(
    std::count_if(aHeaders.begin(), aHeaders.end(), [&](const auto& aHeader) {
      return EqualIgnoringCase(aHeader.first, aName);
    }));
}

bool
ListContains(const header_list& aHeaders, std::string_view aName, std::string_view aItem)
{
  for (const auto& [name, value] : aHeaders) {
    if (!EqualIgnoringCase(name, aName)) {
      continue;
    }
    std::string_view rest = value;
    while (!rest.empty()) {
      const auto comma = std::min(rest.find(','), rest.size());
      if (EqualIgnoringCase(TrimBlanks(rest.substr(0, comma)), aItem)) {
        return true;
      }
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return false;
}

} // namespace

std::string_view
HeaderValue(const header_list& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (EqualIgnoringCase(name, aName)) {
      return value;
    }
  }
  return {};
}

request_reader::progress
request_reader::Advance()
{
  while (mStep != step::Ready && mStep != step::Failed) {
    if (!AdvanceStep()) {
      break;
    }
  }
  if (mStep == step::Failed) {
    // What follows a refused request has no known framing.
    mBuffer.clear();
    return progress::Failed;
  }
  return mStep == step::Ready ? progress::Ready : progress::NeedMore;
}

bool
request_reader::AdvanceStep()
{
  switch (mStep) {
    case step::Head:
      return ReadHead();
    case step::FixedBody:
      return ReadFixedBody();
    case step::ChunkSize:
      return ReadChunkSize();
    case step::ChunkData:
      return ReadChunkData();
    case step::ChunkEnd:
      return ReadChunkEnd();
    case step::Trailers:
      return ReadTrailers();
    case step::Ready:
    case step::Failed:
      break;
  }
  return false;
}

bool
request_reader::MidRequest() const
{
  return mStep != step::Ready && mStep != step::Failed && (mStep != step::Head || !mBuffer.empty());
}

bool
request_reader::TakeContinue()
{
  return std::exchange(mContinue, false);
}

received_request
request_reader::Take()
{
  mStep = step::Head;
  mScanned = 0;
  mTrailerBytes = 0;
  mContinue = false;
  if (mBuffer.empty()) {
    // An open stream may last minutes; it must not hold the space of its request.
    mBuffer = std::string{};
  }
  return std::exchange(mRequest, received_request{});
}

bool
request_reader::Fail(int aStatus, std::string_view aCode, std::string_view aMessage)
{
  mFailure = refusal{ aStatus, std::string{ aCode }, std::string{ aMessage }, {} };
  mStep = step::Failed;
  return false;
}

bool
request_reader::ReadHead()
{
  // Empty lines before a request are allowed by RFC 9112, section 2.2.
  while (mBuffer.starts_with("\r\n")) {
    mBuffer.erase(0, 2);
  }
  constexpr std::string_view kEnd = "\r\n\r\n";
  const auto end = mBuffer.find(kEnd, mScanned);
  const auto headBytes = end == std::string::npos ? mBuffer.size() : end + kEnd.size();
  if (headBytes > mLimits.mHeaderBytes) {
    return Fail(431, "headers_too_large", "the request headers are too large");
  }
  if (end == std::string::npos) {
    mScanned = mBuffer.size() < kEnd.size() ? 0 : mBuffer.size() - (kEnd.size() - 1);
    return false;
  }
  if (!ParseHead(std::string_view{ mBuffer }.substr(0, end))) {
    return false;
  }
  mBuffer.erase(0, headBytes);
  mScanned = 0;
  return ParseFraming();
}

bool
request_reader::ParseHead(std::string_view aHead)
{
  bool first = true;
  while (first || !aHead.empty()) {
    const auto end = std::min(aHead.find("\r\n"), aHead.size());
    const auto line = aHead.substr(0, end);
    if (!(first ? ParseRequestLine(line) : ParseHeaderLine(line))) {
      return false;
    }
    aHead.remove_prefix(std::min(end + 2, aHead.size()));
    first = false;
  }
  return true;
}

bool
request_reader::ParseRequestLine(std::string_view aLine)
{
  const auto first = aLine.find(' ');
  const auto last = aLine.rfind(' ');
  if (first == std::string_view::npos || first == last) {
    return Malformed("the request line needs a method, a path and a version");
  }
  const auto method = aLine.substr(0, first);
  const auto target = aLine.substr(first + 1, last - first - 1);
  const auto version = aLine.substr(last + 1);
  if (!IsToken(method)) {
    return Malformed("the method is not valid");
  }
  if (!target.starts_with('/') || !std::all_of(target.begin(), target.end(), IsTargetChar)) {
    return Malformed("the path is not valid");
  }
  if (version != "HTTP/1.1" && version != "HTTP/1.0") {
    return version.starts_with("HTTP/")
             ? Fail(505, "version_not_supported", "only HTTP/1.0 and HTTP/1.1 are supported")
             : Malformed("the HTTP version is not valid");
  }
  mRequest.mMethod = method;
  mRequest.mTarget = target;
  mRequest.mHttp10 = version == "HTTP/1.0";
  return true;
}

bool
request_reader::ParseHeaderLine(std::string_view aLine)
{
  const auto colon = aLine.find(':');
  if (colon == std::string_view::npos || !IsToken(aLine.substr(0, colon))) {
    return Malformed("a header line has no valid name");
  }
  const auto value = TrimBlanks(aLine.substr(colon + 1));
  if (!IsFieldValue(value)) {
    return Malformed("a header value has control characters");
  }
  mRequest.mHeaders.emplace_back(aLine.substr(0, colon), value);
  return true;
}

bool
request_reader::ParseFraming()
{
  const auto& headers = mRequest.mHeaders;
  const auto hosts = CountHeaders(headers, "Host");
  if (hosts > 1 || (hosts == 0 && !mRequest.mHttp10)) {
    return Malformed("exactly one Host header is required");
  }
  mRequest.mKeepAlive = mRequest.mHttp10 ? ListContains(headers, "Connection", "keep-alive")
                                         : !ListContains(headers, "Connection", "close");
  const auto codings = CountHeaders(headers, "Transfer-Encoding");
  const auto lengths = CountHeaders(headers, "Content-Length");
  if (lengths > 1 || (codings > 0 && (lengths > 0 || mRequest.mHttp10))) {
    return Malformed("the length of the body is ambiguous");
  }
  if (codings > 0) {
    if (codings > 1 || !EqualIgnoringCase(HeaderValue(headers, "Transfer-Encoding"), "chunked")) {
      return Fail(501, "coding_not_supported", "only the transfer coding chunked is supported");
    }
    mStep = step::ChunkSize;
  } else if (lengths > 0) {
    if (!ReadContentLength(HeaderValue(headers, "Content-Length"))) {
      return false;
    }
    mStep = step::FixedBody;
  } else {
    mStep = step::Ready;
  }
  mContinue = mStep != step::Ready && !mRequest.mHttp10 &&
              EqualIgnoringCase(HeaderValue(headers, "Expect"), "100-continue");
  return true;
}

bool
request_reader::ReadContentLength(std::string_view aValue)
{
  const auto length = ParseContentLength(aValue);
  if (absl::IsOutOfRange(length.status())) {
    return Fail(413, "body_too_large", "the request body is too large");
  }
  if (!length.ok()) {
    return Malformed("Content-Length is not a number");
  }
  mRemaining = *length;
  if (mRemaining > mLimits.mBodyBytes) {
    return Fail(413, "body_too_large", "the request body is too large");
  }
  return true;
}

void
request_reader::AppendBody(std::size_t aBytes)
{
  mRequest.mBody.append(mBuffer, 0, aBytes);
  mBuffer.erase(0, aBytes);
  mRemaining -= aBytes;
}

bool
request_reader::ReadFixedBody()
{
  AppendBody(std::min<std::uint64_t>(mRemaining, mBuffer.size()));
  if (mRemaining > 0) {
    return false;
  }
  mStep = step::Ready;
  return true;
}

bool
request_reader::TakeLine(std::string& aLine, std::size_t aMaxBytes)
{
  const auto end = mBuffer.find("\r\n");
  // The last byte may be the first half of the line's end.
  const auto least = end != std::string::npos ? end : mBuffer.size() - (mBuffer.empty() ? 0 : 1);
  if (least > aMaxBytes) {
    return Malformed("a line of the chunked body is too long");
  }
  if (end == std::string::npos) {
    return false;
  }
  aLine = mBuffer.substr(0, end);
  mBuffer.erase(0, end + 2);
  return true;
}

bool
request_reader::ReadChunkSize()
{
  std::string line;
  if (!TakeLine(line, kMaxChunkLineBytes)) {
    return false;
  }
  const auto size = ParseChunkSize(line);
  if (absl::IsOutOfRange(size.status())) {
    return Fail(413, "body_too_large", "the request body is too large");
  }
  if (!size.ok()) {
    return Malformed("a chunk size is not a hexadecimal number");
  }
  mRemaining = *size;
  if (mRemaining > mLimits.mBodyBytes - mRequest.mBody.size()) {
    return Fail(413, "body_too_large", "the request body is too large");
  }
  mStep = mRemaining == 0 ? step::Trailers : step::ChunkData;
  return true;
}

bool
request_reader::ReadChunkData()
{
  AppendBody(std::min<std::uint64_t>(mRemaining, mBuffer.size()));
  if (mRemaining > 0) {
    return false;
  }
  mStep = step::ChunkEnd;
  return true;
}

bool
request_reader::ReadChunkEnd()
{
  if (mBuffer.size() < 2) {
    return false;
  }
  if (!mBuffer.starts_with("\r\n")) {
    return Malformed("a chunk is longer than its size says");
  }
  mBuffer.erase(0, 2);
  mStep = step::ChunkSize;
  return true;
}

bool
request_reader::ReadTrailers()
{
  std::string line;
  if (!TakeLine(line, mLimits.mHeaderBytes)) {
    return false;
  }
  mTrailerBytes += line.size() + 2;
  if (mTrailerBytes > mLimits.mHeaderBytes) {
    return Fail(431, "headers_too_large", "the request trailers are too large");
  }
  if (line.empty()) {
    mStep = step::Ready;
    return true;
  }
  return ParseFieldLine(line) || Malformed("a trailer is not a name, a colon and a value");
}

} // namespace skylarkwind
