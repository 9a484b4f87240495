#include "skylarkwind/request_progress.h"

namespace skylarkwind {

void
request_progress::OnAttemptStarted()
{
  ++mAttempts;
  mOpen = true;
}

void
request_progress::OnAttemptFailed(attempt_failed::cause aCause)
{
  using cause = attempt_failed::cause;
  mOpen = false;
  ++mConsecutiveFailures;
  if (aCause == cause::Interrupted || aCause == cause::Silent) {
    mMayHaveRun = true;
  }
}

request_progress::chunk_position
request_progress::OnTokens(const attempt_tokens& aTokens)
{
  mMayHaveRun = true;
  if (aTokens.mOffset <= mDelivered) {
    return chunk_position::Delivered;
  }
  if (aTokens.mFrom != mDelivered) {
    return chunk_position::Gap;
  }
  mDelivered = aTokens.mOffset;
  mConsecutiveFailures = 0;
  if (mTextKnown) {
    mText += aTokens.mText;
  }
  return chunk_position::Next;
}

} // namespace skylarkwind
