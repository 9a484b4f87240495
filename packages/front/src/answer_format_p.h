#pragma once

#include "skylarkwind/backend_calls.h"
#include "skylarkwind/effects.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace skylarkwind {

/// What the request says about how its answer is framed.
struct answer_framing
{
  bool mHttp10 = false;
  bool mKeepAlive = true;
  bool mHead = false; ///< HEAD: headers only
};

/// Body of an error: {"error":{"message","type","code","run"}}.
std::string ErrorBody(const caller_error& aError);

/// A whole answer. Hop-by-hop headers, Content-Length and headers with control characters are
/// left out of `aHeaders`.
std::string WholeAnswer(int aStatus,
                        const header_list& aHeaders,
                        std::string_view aBody,
                        const answer_framing& aFraming);

/// Head of a stream of server-sent events.
std::string StreamHead(const answer_framing& aFraming);

/// One piece of a stream, as an HTTP chunk unless the caller speaks HTTP/1.0.
std::string StreamPiece(std::string_view aText, const answer_framing& aFraming);

/// Ends a stream.
std::string_view StreamEnd(const answer_framing& aFraming);

/// Writes the events and objects of one completion in the usual OpenAI shape.
class completion_format
{
public:
  completion_format(std::uint64_t aRequest,
                    bool aChat,
                    std::string_view aModel,
                    std::int64_t aCreatedSeconds);

  std::string TokensEvent(std::string_view aText, std::string_view aResumeToken, bool aFirst) const;
  /// The last chunk, with finish reason and usage, and the mark [DONE].
  std::string LastEvents(const caller_completed& aCompleted, std::string_view aResumeToken) const;
  std::string WholeObject(const std::string& aText, const caller_completed& aCompleted) const;

private:
  std::string Opening(std::string_view aObject) const;

  bool mChat = false;
  std::string mId;
  std::string mModelJson;
  std::int64_t mCreatedSeconds = 0;
};

/// A server-sent event with an error object.
std::string ErrorEvent(const caller_error& aError);

} // namespace skylarkwind
