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
  ++mFailedInARow;
  if (aCause == cause::Interrupted || aCause == cause::Silent) {
    mMayHaveRun = true;
  }
}

request_flow::token_step
request_flow::OnTokens(const attempt_tokens& aTokens)
{
  mMayHaveRun = true;
  if (aTokens.mOffset <= mDelivered) {
    return token_step::Delivered;
  }
  if (aTokens.mFrom != mDelivered) {
    return token_step::Gap;
  }
  mDelivered = aTokens.mOffset;
  mFailedInARow = 0;
  if (mTextKnown) {
    mText += aTokens.mText;
  }
  return token_step::Next;
}

} // namespace skylarkwind
