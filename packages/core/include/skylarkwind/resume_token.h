#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkwind {

/// Where a caller's stream stands, as any daemon needs it to go on.
struct resume_point
{
  std::string mStream;
  std::string mEngine;  ///< the engine that generated the last token; it may still hold the cache
  std::string mVersion; ///< model version; the tokens depend on it
  std::uint64_t mSeed = 0;
  std::uint64_t mOffset = 0; ///< tokens delivered
  bool operator==(const resume_point&) const = default;
};

/// Writes the point as a token that only holders of the key can make. `aRequest` identifies the
/// request (account, model and prompt), so that a token is worth nothing with another request.
std::string MakeResumeToken(const resume_point& aPoint,
                            std::string_view aKey,
                            std::uint64_t aRequest);

/// Reads a token; empty when it is malformed, forged or made for another request.
std::optional<resume_point> ReadResumeToken(std::string_view aToken,
                                            std::string_view aKey,
                                            std::uint64_t aRequest);

} // namespace skylarkwind
