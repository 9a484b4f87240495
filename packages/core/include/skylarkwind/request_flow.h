#pragma once

#include "skylarkwind/backend_calls.h"
#include "skylarkwind/effects.h"

#include <cstdint>
#include <string>

namespace skylarkwind {

/// What a request's attempts have come to: the tokens that its caller has, the attempts that
/// failed, and whether any backend server may have run it.
class request_flow
{
public:
  request_flow() = default;
  /// A stream that another daemon delivered up to this offset; its text is not known here.
  explicit request_flow(std::uint64_t aResumeFrom)
    : mDelivered(aResumeFrom)
    , mTextKnown(aResumeFrom == 0)
  {
  }

  void OnAttemptStarted();
  /// The attempt ended by `aCause`. Only a statement that nothing ran undoes its start.
  void OnAttemptFailed(attempt_failed::cause aCause);
  /// The attempt's part is done and the request goes on with another one.
  void OnAttemptDone()
  {
    mOpen = false;
    mMayHaveRun = true;
  }

  enum class token_step
  {
    Next,      ///< to be delivered
    Delivered, ///< the caller has it already
    Gap        ///< tokens before it are missing
  };
  /// Judges a chunk and counts its tokens as delivered if it continues where the last one ended.
  token_step OnTokens(const attempt_tokens& aTokens);

  /// Whether the caller has every token that the engine says it generated.
  bool IsWhole(const token_usage& aUsage) const { return aUsage.mCompletionTokens <= mDelivered; }

  std::uint64_t Delivered() const { return mDelivered; }
  /// Text of all tokens delivered, or empty when part of it is not known here.
  const std::string& PriorText() const { return mText; }
  bool TextKnown() const { return mTextKnown; }
  std::uint32_t Attempts() const { return mAttempts; }
  /// Attempts that failed since a token was last delivered.
  std::uint32_t FailedInARow() const { return mFailedInARow; }
  bool Sent() const { return mOpen || mMayHaveRun; }
  /// The run state that a refusal may state now.
  run_state Run() const { return Sent() ? run_state::OutcomeUnknown : run_state::NotRun; }

private:
  std::uint64_t mDelivered = 0;
  std::string mText;
  bool mTextKnown = true;
  std::uint32_t mAttempts = 0;
  std::uint32_t mFailedInARow = 0;
  bool mOpen = false;
  bool mMayHaveRun = false;
};

} // namespace skylarkwind
