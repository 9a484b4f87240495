#pragma once

#include "engine_json_p.h"
#include "skylarkwind/backend_calls.h"
#include "sse_decoder_p.h"

#include <optional>
#include <string>
#include <string_view>

namespace skylarkwind {

/// The answer to one generation as it arrives.
class generation
{
public:
  generation(bool aChat, std::uint64_t aResumeFrom)
    : mChat(aChat)
    , mOffset(aResumeFrom)
  {
  }

  /// Takes bytes of the answer. Returns the tokens that they brought, if any.
  std::optional<attempt_tokens> Take(int aStatus, std::string_view aData);

  bool Done() const { return mDone; }
  bool Failed() const { return mFailed; }
  const std::string& FailureReason() const { return mReason; }
  /// Body of an answer that is no stream.
  const std::string& Refusal() const { return mRefusal; }
  attempt_generated Generated() const { return mGenerated; }

private:
  void TakeEvent(std::string_view aData, std::string& aText);
  void Fail(std::string aReason);

  bool mChat;
  std::uint64_t mOffset;
  sse_decoder mDecoder;
  bool mDone = false;
  bool mFailed = false;
  std::string mReason;
  std::string mRefusal;
  attempt_generated mGenerated;
};

} // namespace skylarkwind
