#include "message_framing_p.h"

#include "skylarkwind/http_syntax.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>
#include <utility>

namespace skylarkwind {

namespace {

constexpr std::string_view kLineEnd = "\r\n";
constexpr unsigned int kNotImplemented = 501;
constexpr unsigned int kVersionNotSupported = 505;
/// Limit of a line of a chunk's size and of a trailer.
constexpr std::size_t kMaxLineBytes = std::size_t{ 4 } * 1'024;
/// Digits of a chunk's size. What a line has beyond them counts as an extension.
constexpr std::size_t kSizeDigits = 16;
/// Limit of what the extensions and trailers of a message have beyond the bytes of its data. A
/// recipient should bound them (RFC 9112, 7.1.1).
constexpr std::uint64_t kMaxExtraBytes = std::uint64_t{ 64 } * 1'024;
constexpr int kHexadecimal = 16;

std::string
Hexadecimal(std::uint64_t aNumber)
{
  std::array<char, kSizeDigits> text{};
  const auto end = std::to_chars(text.begin(), text.end(), aNumber, kHexadecimal).ptr;
  return { text.begin(), end };
}

/// Takes the text before the next comma off a list.
std::string_view
TakeElement(std::string_view& aList)
{
  const auto comma = std::min(aList.find(','), aList.size());
  const auto element = TrimBlanks(aList.substr(0, comma));
  aList.remove_prefix(std::min(comma + 1, aList.size()));
  return element;
}

bool
IsTarget(std::string_view aText)
{
  return !aText.empty() && IsFieldValue(aText) &&
         aText.find_first_of(" \t") == std::string_view::npos;
}

} // namespace

message_framing::message_framing(direction aDirection)
  : mDirection(aDirection)
  , mStep(aDirection == direction::Requests ? step::Start : step::Unexpected)
{
}

void
message_framing::ExpectResponse(bool aToHead)
{
  mStep = step::Start;
  mToHead = aToHead;
}

bool
message_framing::Fail(std::string aReason, unsigned int aStatus)
{
  mError = framing_error{ aStatus, std::move(aReason), mStep == step::Head };
  return false;
}

std::size_t
message_framing::Read(std::string_view aInput, std::string& aOutput)
{
  std::size_t taken = 0;
  while (taken < aInput.size() && !mError) {
    taken += ReadStep(aInput.substr(taken), aOutput);
    if (AtStart() || Complete()) {
      break;
    }
  }
  return taken;
}

std::size_t
message_framing::Verbatim(std::size_t aBytes) const
{
  switch (mStep) {
    case step::FixedBody:
      return static_cast<std::size_t>(std::min<std::uint64_t>(mRemaining, aBytes));
    case step::ChunkData:
      // Reads that end with a chunk would make small chunks slow.
      return mRemaining >= aBytes ? aBytes : 0;
    case step::BodyToClose:
    case step::Unexpected:
      return aBytes;
    case step::Start:
    case step::Head:
    case step::ChunkSize:
    case step::ChunkEnd:
    case step::Trailers:
      break;
  }
  return 0;
}

void
message_framing::Skip(std::size_t aBytes)
{
  if (mStep == step::FixedBody) {
    mRemaining -= aBytes;
    if (mRemaining == 0) {
      EndMessage();
    }
  } else if (mStep == step::ChunkData) {
    mRemaining -= aBytes;
    if (mRemaining == 0) {
      mStep = step::ChunkEnd;
    }
  }
}

std::size_t
message_framing::ReadStep(std::string_view aInput, std::string& aOutput)
{
  switch (mStep) {
    case step::Start:
      mStep = step::Head;
      return ReadLine(aInput, aOutput);
    case step::Head:
    case step::ChunkSize:
    case step::Trailers:
      return ReadLine(aInput, aOutput);
    case step::ChunkEnd:
      return ReadChunkEnd(aInput, aOutput);
    case step::FixedBody:
    case step::BodyToClose:
    case step::ChunkData:
    case step::Unexpected:
      return ReadData(aInput, aOutput);
  }
  return 0;
}

std::size_t
message_framing::ReadData(std::string_view aInput, std::string& aOutput)
{
  const bool bounded = mStep == step::FixedBody || mStep == step::ChunkData;
  const auto bytes =
    bounded ? static_cast<std::size_t>(std::min<std::uint64_t>(mRemaining, aInput.size()))
            : aInput.size();
  aOutput += aInput.substr(0, bytes);
  Skip(bytes);
  return bytes;
}

std::size_t
message_framing::ReadChunkEnd(std::string_view aInput, std::string& aOutput)
{
  if (aInput.front() != kLineEnd[mText.size()]) {
    Fail("a chunk is longer than its size");
    return 0;
  }
  mText += aInput.front();
  if (mText.size() == kLineEnd.size()) {
    aOutput += kLineEnd;
    mText.clear();
    mStep = step::ChunkSize;
  }
  return 1;
}

std::size_t
message_framing::ReadLine(std::string_view aInput, std::string& aOutput)
{
  const auto lineFeed = aInput.find('\n');
  const auto taken = lineFeed == std::string_view::npos ? aInput.size() : lineFeed + 1;
  mText += aInput.substr(0, taken);
  // The connection bounds the heads.
  if (mStep != step::Head && mText.size() > kMaxLineBytes) {
    Fail("a line of the chunked body is too long");
  } else if (lineFeed != std::string_view::npos) {
    OnLine(aOutput);
  }
  return taken;
}

void
message_framing::OnLine(std::string& aOutput)
{
  auto line = std::string_view{ mText }.substr(mLineBegin);
  if (!line.ends_with(kLineEnd)) {
    Fail("a line ends without a carriage return");
    return;
  }
  line.remove_suffix(kLineEnd.size());
  switch (mStep) {
    case step::Head:
      OnHeadLine(line, aOutput);
      return;
    case step::ChunkSize:
      OnChunkSize(line, aOutput);
      break;
    default:
      OnTrailer(line, aOutput);
      break;
  }
  mText.clear();
}

void
message_framing::OnHeadLine(std::string_view aLine, std::string& aOutput)
{
  if (!aLine.empty()) {
    mLineBegin = mText.size();
    return;
  }
  if (mLineBegin == 0) {
    // Empty lines before a message are ignored (RFC 9112, 2.2).
    mStep = step::Start;
  } else {
    OnHead(aOutput);
  }
  // A connection may stay open for long; it must not hold the space of its last head.
  mText = std::string{};
  mLineBegin = 0;
}

void
message_framing::OnHead(std::string& aOutput)
{
  rewritten_head head;
  head.mText.reserve(mText.size());
  auto rest = std::string_view{ mText }.substr(0, mLineBegin);
  for (bool first = true; !rest.empty(); first = false) {
    const auto line = rest.substr(0, rest.find(kLineEnd));
    rest.remove_prefix(line.size() + kLineEnd.size());
    const bool valid = !first                              ? ReadHeader(line, head)
                       : mDirection == direction::Requests ? ReadRequestLine(line, head)
                                                           : ReadStatusLine(line, head);
    if (!valid) {
      return;
    }
  }
  if (!CheckCodings(head)) {
    return;
  }
  if (head.mCodings) {
    head.mText += "Transfer-Encoding: chunked\r\n";
  } else if (head.mLength) {
    head.mText += "Content-Length: " + std::to_string(*head.mLength) + "\r\n";
  }
  aOutput += head.mText;
  aOutput += kLineEnd;
  BeginBody(head);
}

bool
message_framing::ReadRequestLine(std::string_view aLine, rewritten_head& aHead)
{
  const auto first = aLine.find(' ');
  const auto last = aLine.rfind(' ');
  if (first == std::string_view::npos || first == last || !IsToken(aLine.substr(0, first)) ||
      !IsTarget(aLine.substr(first + 1, last - first - 1))) {
    return Fail("the request line is not a method, a target and a version");
  }
  aHead.mText += aLine;
  aHead.mText += kLineEnd;
  return ReadVersion(aLine.substr(last + 1), aHead);
}

bool
message_framing::ReadStatusLine(std::string_view aLine, rewritten_head& aHead)
{
  const auto version = aLine.substr(0, aLine.find_first_of(" \t"));
  const auto rest = TrimBlanks(aLine.substr(version.size()));
  const auto status = rest.substr(0, rest.find_first_of(" \t"));
  if (status.size() != 3 || status.find_first_not_of("0123456789") != std::string_view::npos) {
    return Fail("the response has a status that is no number of three digits");
  }
  std::from_chars(status.data(), status.data() + status.size(), mStatus);
  // Nobody reads the reason phrase, and it may have characters that the library takes for a line
  // end.
  aHead.mText += version;
  aHead.mText += ' ';
  aHead.mText += status;
  aHead.mText += " -\r\n";
  return ReadVersion(version, aHead);
}

bool
message_framing::ReadVersion(std::string_view aVersion, rewritten_head& aHead)
{
  constexpr std::string_view kVersion1 = "HTTP/1.";
  if (aVersion.size() != kVersion1.size() + 1 || !aVersion.starts_with(kVersion1) ||
      aVersion.back() < '0' || aVersion.back() > '9') {
    return Fail("the version is not one of HTTP/1",
                aVersion.starts_with("HTTP/") ? kVersionNotSupported : 400);
  }
  aHead.mHttp10 = aVersion.back() == '0';
  return true;
}

bool
message_framing::ReadHeader(std::string_view aLine, rewritten_head& aHead)
{
  if (aLine.starts_with(' ') || aLine.starts_with('\t')) {
    return ReadFolded(aLine, aHead);
  }
  const auto field =
    ParseFieldLine(aLine,
                   mDirection == direction::Responses ? blanks_before_colon::Removed
                                                      : blanks_before_colon::Rejected);
  if (!field) {
    return Fail("a header line is not a name, a colon and a value");
  }
  aHead.mCanFold = false;
  if (EqualIgnoringCase(field->mName, "Content-Length")) {
    return ReadLength(field->mValue, aHead);
  }
  if (EqualIgnoringCase(field->mName, "Transfer-Encoding")) {
    aHead.mCodings = aHead.mCodings ? *aHead.mCodings + ',' : std::string{};
    *aHead.mCodings += field->mValue;
    return true;
  }
  aHead.mCanFold = true;
  aHead.mText += field->mName;
  aHead.mText += ": ";
  aHead.mText += field->mValue;
  aHead.mText += kLineEnd;
  return true;
}

bool
message_framing::ReadFolded(std::string_view aLine, rewritten_head& aHead)
{
  const auto text = TrimBlanks(aLine);
  if (mDirection == direction::Requests || !aHead.mCanFold || !IsFieldValue(text)) {
    return Fail("a header line is folded");
  }
  aHead.mText.resize(aHead.mText.size() - kLineEnd.size());
  aHead.mText += ' ';
  aHead.mText += text;
  aHead.mText += kLineEnd;
  return true;
}

bool
message_framing::ReadLength(std::string_view aValue, rewritten_head& aHead)
{
  const auto length = ParseContentLength(aValue);
  if (!length.ok()) {
    return Fail("Content-Length is not a number of bytes");
  }
  if (aHead.mLength) {
    return Fail("Content-Length is given twice");
  }
  aHead.mLength = *length;
  return true;
}

bool
message_framing::CheckCodings(const rewritten_head& aHead)
{
  if (!aHead.mCodings) {
    return true;
  }
  if (aHead.mHttp10) {
    return Fail("Transfer-Encoding is not allowed in HTTP/1.0");
  }
  if (aHead.mLength) {
    return Fail("both Content-Length and Transfer-Encoding are given");
  }
  std::string_view rest = *aHead.mCodings;
  std::string_view last;
  std::size_t codings = 0;
  while (!rest.empty()) {
    // Elements of a list may be empty (RFC 9110, 5.6.1).
    if (const auto coding = TakeElement(rest); !coding.empty()) {
      if (EqualIgnoringCase(last, "chunked")) {
        return Fail("the transfer coding chunked is not the last one");
      }
      last = coding;
      ++codings;
    }
  }
  if (!EqualIgnoringCase(last, "chunked")) {
    return Fail("the last transfer coding is not chunked");
  }
  if (codings > 1) {
    return Fail("only the transfer coding chunked is supported", kNotImplemented);
  }
  return true;
}

bool
message_framing::HasNoBody() const
{
  constexpr unsigned int kMinFinalStatus = 200;
  constexpr unsigned int kNoContent = 204;
  constexpr unsigned int kResetContent = 205;
  constexpr unsigned int kNotModified = 304;
  return mToHead || mStatus < kMinFinalStatus || mStatus == kNoContent ||
         mStatus == kResetContent || mStatus == kNotModified;
}

void
message_framing::BeginBody(const rewritten_head& aHead)
{
  mDataBytes = 0;
  mExtraBytes = 0;
  const bool isResponse = mDirection == direction::Responses;
  if (isResponse && HasNoBody()) {
    EndMessage();
  } else if (aHead.mCodings) {
    mStep = step::ChunkSize;
  } else if (isResponse && !aHead.mLength) {
    mStep = step::BodyToClose;
  } else {
    mRemaining = aHead.mLength.value_or(0);
    mStep = step::FixedBody;
    Skip(0);
  }
}

void
message_framing::EndMessage()
{
  mStep = mDirection == direction::Requests ? step::Start : step::Unexpected;
}

bool
message_framing::ChargeExtra(std::size_t aBytes)
{
  mExtraBytes += aBytes;
  return mExtraBytes <= kMaxExtraBytes + mDataBytes ||
         Fail("the chunked body has too many extensions and trailers");
}

void
message_framing::OnChunkSize(std::string_view aLine, std::string& aOutput)
{
  const auto size = ParseChunkSize(aLine);
  if (!size.ok() || *size > std::numeric_limits<std::int64_t>::max()) {
    Fail("a line is not the size of a chunk");
    return;
  }
  if (!ChargeExtra(std::max(aLine.size(), kSizeDigits) - kSizeDigits)) {
    return;
  }
  aOutput += Hexadecimal(*size);
  aOutput += kLineEnd;
  mDataBytes += *size;
  mRemaining = *size;
  // The last chunk is passed on before the trailers arrive, as the body is whole.
  mStep = *size == 0 ? step::Trailers : step::ChunkData;
}

void
message_framing::OnTrailer(std::string_view aLine, std::string& aOutput)
{
  if (aLine.empty()) {
    aOutput += kLineEnd;
    EndMessage();
    return;
  }
  if (!ParseFieldLine(aLine)) {
    Fail("a trailer is not a name, a colon and a value");
    return;
  }
  ChargeExtra(aLine.size());
}

} // namespace skylarkwind
