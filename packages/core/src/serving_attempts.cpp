#include "serving_p.h"

#include "skylarkwind/resume_token.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// Weight of a new sample in a service's moving averages: response length and KV transfer time.
constexpr double kSampleWeight = 0.05;
constexpr double kTransferSampleWeight = 0.2;
/// Delay of an attempt that is due but found no engine, share of a limit or retry budget.
constexpr std::chrono::milliseconds kAttemptRetryDelay{ 20 };
constexpr std::chrono::milliseconds kRetryAfter{ 1'000 };

attempt_health
HealthOf(attempt_failed::cause aCause)
{
  switch (aCause) {
    case attempt_failed::cause::Rejected:
      return attempt_health::Answered;
    case attempt_failed::cause::NotRun:
      return attempt_health::Refused;
    default:
      return attempt_health::Failed;
  }
}

} // namespace

void
request_serving::OnTokens(open_request& aRequest,
                          const attempt_tokens& aTokens,
                          instant aNow,
                          effect_list& aOut)
{
  if (aRequest.Completion() == nullptr || aRequest.mAttempt->mPrefillOnly) {
    return;
  }
  switch (aRequest.mFlow.OnTokens(aTokens)) {
    case request_progress::chunk_position::Next:
      DeliverToken(aRequest, aTokens, aNow, aOut);
      break;
    case request_progress::chunk_position::Delivered:
      break;
    case request_progress::chunk_position::Gap:
      aOut.emplace_back(cancel_attempt{ aRequest.mAttempt->mId });
      OnFailed(
        aRequest, { attempt_failed::cause::Interrupted, 0, "tokens are missing" }, aNow, aOut);
      break;
  }
}

void
request_serving::DeliverToken(open_request& aRequest,
                              const attempt_tokens& aTokens,
                              instant aNow,
                              effect_list& aOut)
{
  auto& attempt = *aRequest.mAttempt;
  if (!attempt.mProgressed && attempt.mFetchesCache) {
    const double seconds = std::chrono::duration<double>(aNow - attempt.mStartedAt).count();
    const auto tokens = std::max<std::uint64_t>(1, aRequest.Completion()->mPromptTokens);
    auto& perToken = Statistics(aRequest).mTransferSecondsPerToken;
    perToken += kTransferSampleWeight * (seconds / static_cast<double>(tokens) - perToken);
  }
  if (aRequest.mRetryCharged) {
    mBudget.Refund();
    aRequest.mRetryCharged = false;
  }
  attempt.mProgressed = true;
  mEngineRouter.Progress(attempt.mWork, aTokens.mOffset - aTokens.mFrom, aNow);
  if (aRequest.mVersion != attempt.mVersion) {
    aRequest.mMixedVersions = !aRequest.mVersion.empty();
    aRequest.mVersion = attempt.mVersion;
  }
  aRequest.mPreferredEngine = attempt.mBackend;
  caller_tokens tokens{ aRequest.mId, aTokens.mText, aTokens.mOffset };
  if (aRequest.Completion()->mStreaming && !aRequest.mMixedVersions) {
    tokens.mResumeToken = MakeResumeToken(
      { aRequest.mStream, attempt.mBackend, attempt.mVersion, aRequest.mSeed, aTokens.mOffset },
      mSettings.mResumeKey,
      aRequest.mFingerprint);
  }
  aOut.emplace_back(std::move(tokens));
}

void
request_serving::OnGenerated(open_request& aRequest,
                             const attempt_generated& aGenerated,
                             instant aNow,
                             effect_list& aOut)
{
  if (aGenerated.mReport) {
    mFleet.OnReport(*aGenerated.mReport, aNow, aOut);
  }
  const bool prefill = aRequest.mAttempt->mPrefillOnly;
  if (aRequest.Completion() == nullptr || (prefill && !aGenerated.mKv) ||
      (!prefill && !aRequest.mFlow.IsComplete(aGenerated.mUsage))) {
    OnFailed(
      aRequest, { attempt_failed::cause::Interrupted, 0, "the answer is not whole" }, aNow, aOut);
    return;
  }
  const auto prefillVersion = aRequest.mAttempt->mVersion;
  CloseAttempt(aRequest, attempt_health::Answered, aNow);
  aRequest.mFlow.OnAttemptDone();
  if (prefill) {
    aRequest.mKv = aGenerated.mKv;
    aRequest.mKvVersion = prefillVersion;
    aRequest.mRetryAllowed = true;
    const auto result = TryStart(aRequest, aNow, aOut);
    if (result == start_result::NoEngine || result == start_result::NoShare) {
      ScheduleAttempt(aRequest, aNow + kAttemptRetryDelay);
    }
    return;
  }
  auto usage = aGenerated.mUsage;
  usage.mCompletionTokens = std::max(usage.mCompletionTokens, aRequest.mFlow.Delivered());
  auto& mean = Statistics(aRequest).mOutputTokens;
  mean += kSampleWeight * (static_cast<double>(usage.mCompletionTokens) - mean);
  aOut.emplace_back(caller_completed{ aRequest.mId, aGenerated.mFinishReason, usage });
  End(aRequest, request_outcome::Completed, aNow);
}

void
request_serving::OnAnswered(open_request& aRequest,
                            const attempt_response& aResponse,
                            instant aNow,
                            effect_list& aOut)
{
  if (aRequest.Plain() == nullptr) {
    OnFailed(aRequest,
             { attempt_failed::cause::Interrupted, 0, "the answer is not a generation" },
             aNow,
             aOut);
    return;
  }
  CloseAttempt(aRequest, attempt_health::Answered, aNow);
  RecordOutcome(aRequest, aResponse, aNow, aOut);
  if (!aRequest.mCallerDone) {
    aOut.emplace_back(
      caller_response{ aRequest.mId, aResponse.mStatus, aResponse.mHeaders, aResponse.mBody });
  }
  End(aRequest, request_outcome::Completed, aNow);
}

void
request_serving::OnFailed(open_request& aRequest,
                          const attempt_failed& aFailed,
                          instant aNow,
                          effect_list& aOut)
{
  using cause = attempt_failed::cause;
  const auto attempt = *aRequest.mAttempt;
  CloseAttempt(aRequest, HealthOf(aFailed.mCause), aNow);
  aRequest.mFlow.OnAttemptFailed(aFailed.mCause);
  aOut.emplace_back(
    log_line{ log_level::Info,
              "serving",
              "an attempt at " + attempt.mBackend + " failed: " + aFailed.mReason });
  if (aRequest.mNonIdempotent) {
    OnNonIdempotentFailed(aRequest, attempt.mBackend, aFailed, aNow, aOut);
    return;
  }
  if (aFailed.mCause == cause::Rejected) {
    Refuse(aRequest,
           { aFailed.mStatus >= 400 ? aFailed.mStatus : 400,
             "invalid_request_error",
             "rejected",
             aFailed.mReason },
           aNow,
           aOut);
    return;
  }
  // Resuming a stream that delivered tokens replaces work that has ended, so it adds no load and
  // needs no retry budget.
  aRequest.mRetryAllowed = attempt.mProgressed;
  aRequest.mRetryCharged = false;
  // The KV cache may be gone, or may have caused the failure: the next attempt computes the prompt
  // again.
  aRequest.mKv.reset();
  aRequest.mFailedBackends.push_back(attempt.mBackend);
  if (aRequest.mFlow.ConsecutiveFailures() >= mSettings.mMaxAttempts) {
    const bool mayHaveRun = aRequest.mFlow.MayHaveRun();
    Refuse(aRequest,
           { mayHaveRun ? 502 : 503,
             mayHaveRun ? "server_error" : "overloaded_error",
             "attempts_failed",
             "all attempts failed; the last at " + attempt.mBackend + ": " + aFailed.mReason,
             kRetryAfter },
           aNow,
           aOut);
    return;
  }
  ScheduleAttempt(aRequest, aNow + mBudget.Backoff(aRequest.mFlow.ConsecutiveFailures()));
}

void
request_serving::CloseAttempt(open_request& aRequest, attempt_health aHealth, instant aNow)
{
  const auto& attempt = *aRequest.mAttempt;
  RouterOf(aRequest).Finish(attempt.mWork, aNow);
  mFleet.OnAttemptEnded(attempt.mBackend, aHealth, aNow);
  mAttempts.erase(attempt.mId);
  aRequest.mAttempt.reset();
}

void
request_serving::CancelAttempt(open_request& aRequest,
                               attempt_health aHealth,
                               instant aNow,
                               effect_list& aOut)
{
  aOut.emplace_back(cancel_attempt{ aRequest.mAttempt->mId });
  CloseAttempt(aRequest, aHealth, aNow);
  aRequest.mFlow.OnAttemptDone();
}

void
request_serving::ScheduleAttempt(open_request& aRequest, instant aWhen)
{
  aRequest.mStage = request_stage::Waiting;
  aRequest.mNextAttemptAt = aWhen;
  mScheduledAttempts.emplace(aWhen, aRequest.mId.mValue);
}

void
request_serving::StartDueAttempts(instant aNow, effect_list& aOut)
{
  std::vector<request_id> due;
  for (const auto& [when, id] : mScheduledAttempts) {
    if (when > aNow) {
      break;
    }
    due.push_back({ id });
  }
  for (const auto id : due) {
    auto& request = *FindRequest(id);
    mScheduledAttempts.erase({ request.mNextAttemptAt, id.mValue });
    if (!request.mRetryAllowed && mBudget.TryTake(aNow)) {
      request.mRetryAllowed = true;
      request.mRetryCharged = true;
    }
    const bool ready = request.mRetryAllowed && request.mNextShareAttempt <= aNow;
    const auto result = ready ? TryStart(request, aNow, aOut) : start_result::NoEngine;
    if (result == start_result::NoEngine || result == start_result::NoShare) {
      ScheduleAttempt(request, aNow + kAttemptRetryDelay);
    }
  }
}

void
request_serving::ResumeFromAbsentEngines(instant aNow, effect_list& aOut)
{
  for (const auto& engine : mEngineRouter.TakeNewlyAbsent()) {
    std::vector<request_id> affected;
    for (const auto& [attempt, id] : mAttempts) {
      const auto* request = FindRequest(id);
      if (request->Plain() == nullptr && request->mAttempt->mBackend == engine) {
        affected.push_back(id);
      }
    }
    // The iteration order of a hash table differs between implementations.
    std::ranges::sort(affected, {}, &request_id::mValue);
    for (const auto id : affected) {
      auto& request = *FindRequest(id);
      aOut.emplace_back(cancel_attempt{ request.mAttempt->mId });
      OnFailed(
        request, { attempt_failed::cause::Interrupted, 0, "the engine is absent" }, aNow, aOut);
    }
  }
}

} // namespace skylarkwind
