#pragma once

#include "skylarkwind/backend_calls.h"
#include "skylarkwind/effects.h"

#include <cstdint>
#include <string>

namespace skylarkwind {

/// Progress of a request over its attempts: the tokens delivered to the caller, the attempts that
/// failed, and whether any backend server may have run the request.
class request_progress
{
public:
  request_progress() = default;
  /// Continues a stream that another daemon delivered up to this offset. Its text is unknown here.
  explicit request_progress(std::uint64_t aResumeFrom)
    : mDelivered(aResumeFrom)
    , mTextKnown(aResumeFrom == 0)
  {
  }

  void OnAttemptStarted();
  /// After `Interrupted` or `Silent` the request counts as possibly run; the other causes state
  /// that the attempt did not run it.
  void OnAttemptFailed(attempt_failed::cause aCause);
  /// The attempt ended without failing: it was cancelled, or it completed its part of the request.
  /// The request counts as possibly run.
  void OnAttemptDone()
  {
    mOpen = false;
    mMayHaveRun = true;
  }

  /// Position of a chunk relative to the tokens already delivered.
  enum class chunk_position
  {
    Next,      ///< continues the delivered tokens
    Delivered, ///< a duplicate: the caller has these tokens already
    Gap        ///< tokens before this chunk are missing
  };
  /// Classifies a chunk. Counts its tokens as delivered if it is the next one.
  chunk_position OnTokens(const attempt_tokens& aTokens);

  /// Whether every token that the engine reports as generated has been delivered.
  bool IsComplete(const token_usage& aUsage) const
  {
    return aUsage.mCompletionTokens <= mDelivered;
  }

  /// Number of tokens delivered to the caller.
  std::uint64_t Delivered() const { return mDelivered; }
  /// Text of all tokens delivered; empty if part of it is unknown here.
  const std::string& PriorText() const { return mText; }
  bool TextKnown() const { return mTextKnown; }
  /// Number of attempts started.
  std::uint32_t Attempts() const { return mAttempts; }
  /// Number of attempts that failed since a token was last delivered.
  std::uint32_t ConsecutiveFailures() const { return mConsecutiveFailures; }
  /// Whether an attempt is open or a backend server may have run the request.
  bool MayHaveRun() const { return mOpen || mMayHaveRun; }
  /// The run state that an error response may claim now.
  run_state RunState() const
  {
    return MayHaveRun() ? run_state::OutcomeUnknown : run_state::NotRun;
  }

private:
  std::uint64_t mDelivered = 0;
  std::string mText;
  bool mTextKnown = true;
  std::uint32_t mAttempts = 0;
  std::uint32_t mConsecutiveFailures = 0;
  bool mOpen = false;
  bool mMayHaveRun = false;
};

} // namespace skylarkwind
