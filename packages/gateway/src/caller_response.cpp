#include "caller_response_p.h"

#include "skylarkwind/http_pool.h"

#include <kj/debug.h>

namespace skylarkwind {

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
caller_response::SendWhole(unsigned int aStatus,
                           const std::string& aStatusText,
                           const header_list& aHeaders,
                           std::string aBody)
{
  auto body = kj::heap<std::string>(std::move(aBody));
  const auto headers = ToKj(aHeaders, mTable);
  auto out = TakeUnsent().send(aStatus, ToKj(aStatusText), headers, body->size());
  auto& stream = *out;
  return stream.write(body->data(), body->size()).attach(kj::mv(out), kj::mv(body));
}

void
caller_response::StartStream(unsigned int aStatus,
                             const std::string& aStatusText,
                             const header_list& aHeaders)
{
  const auto headers = ToKj(aHeaders, mTable);
  auto parts = TakeUnsent().send(aStatus, ToKj(aStatusText), headers);
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
