#include "skylarkwind/request_flow.h"

namespace skylarkwind {

void
request_flow::OnAttemptStarted()
{
  ++mAttempts;
  mOpen = true;
}

void
request_flow::OnAttemptFailed(attempt_failed::cause aCause)
{
  using cause = attempt_failed::cause;
  mOpen = false;
  ++mConsecutiveFailures;
  if (aCause == cause::Interrupted || aCause == cause::Silent) {
    mMayHaveRun = true;
  }
}

request_flow::chunk_position
request_flow::OnTokens(const attempt_tokens& aTokens)
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
