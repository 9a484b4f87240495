#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkwind {

/// State of a caller's stream that any daemon needs to resume it.
struct resume_point
{
  std::string mStream;  ///< id of the stream
  std::string mEngine;  ///< generated the last token; it may still hold the KV cache
  std::string mVersion; ///< model version, on which the tokens depend
  std::uint64_t mSeed = 0;
  std::uint64_t mOffset = 0; ///< number of tokens delivered
  bool operator==(const resume_point&) const = default;
};

/// Encodes the point as a token that is signed with `aKey` (HMAC-SHA256), so that only holders of
/// the key can issue one. `aRequest` identifies the request by its account, model and prompt, so
/// that the token is invalid for any other request.
std::string MakeResumeToken(const resume_point& aPoint,
                            std::string_view aKey,
                            std::uint64_t aRequest);

/// Decodes a token; empty if it is malformed, forged or was issued for another request.
std::optional<resume_point> ReadResumeToken(std::string_view aToken,
                                            std::string_view aKey,
                                            std::uint64_t aRequest);

} // namespace skylarkwind
