#include "caller_response_p.h"

#include "skylarkwind/http_pool.h"

#include <kj/debug.h>

namespace skylarkwind {

kj::StringPtr
ReasonPhrase(unsigned int aStatus)
{
  constexpr unsigned int kFirstError = 400;
  switch (aStatus) {
    case 200:
      return "OK";
    case 201:
      return "Created";
    case 202:
      return "Accepted";
    case 204:
      return "No Content";
    case 304:
      return "Not Modified";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 413:
      return "Payload Too Large";
    case 431:
      return "Request Header Fields Too Large";
    case 501:
      return "Not Implemented";
    case 502:
      return "Bad Gateway";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    case 505:
      return "HTTP Version Not Supported";
    default:
      return aStatus >= kFirstError ? "Error" : "Other";
  }
}

std::string
RejectionOf(const framing_error& aError)
{
  return "HTTP/1.1 " + std::to_string(aError.mStatus) + ' ' + ReasonPhrase(aError.mStatus).cStr() +
         "\r\nConnection: close\r\nContent-Length: " + std::to_string(aError.mReason.size() + 1) +
         "\r\n\r\n" + aError.mReason + '\n';
}

kj::HttpService::Response&
caller_response::TakeUnsent()
{
  auto* unsent = std::get_if<nothing_sent>(&mState);
  KJ_REQUIRE(unsent != nullptr, "a response has one head");
  auto& response = unsent->mResponse;
  mState.emplace<head_and_body_sent>();
  return response;
}

kj::Promise<void>
caller_response::SendWhole(unsigned int aStatus, const header_list& aHeaders, std::string aBody)
{
  auto body = kj::heap<std::string>(std::move(aBody));
  const auto headers = ToKj(aHeaders, mTable);
  auto out = TakeUnsent().send(aStatus, ReasonPhrase(aStatus), headers, body->size());
  if (body->empty()) {
    // Some statuses allow no body, not even an empty write.
    return kj::READY_NOW;
  }
  auto& stream = *out;
  return stream.write(body->data(), body->size()).attach(kj::mv(out), kj::mv(body));
}

void
caller_response::StartStream(unsigned int aStatus, const header_list& aHeaders)
{
  const auto headers = ToKj(aHeaders, mTable);
  auto parts = TakeUnsent().send(aStatus, ReasonPhrase(aStatus), headers);
  mState.emplace<streaming>(streaming{ kj::mv(parts) });
}

kj::Promise<void>
caller_response::Write(std::string_view aPart)
{
  auto* stream = std::get_if<streaming>(&mState);
  KJ_REQUIRE(stream != nullptr, "no stream is open");
  return stream->mParts->write(aPart.data(), aPart.size());
}

void
caller_response::FinishStream()
{
  // kj writes the last chunk when the stream is dropped.
  mState.emplace<head_and_body_sent>();
}

} // namespace skylarkwind
