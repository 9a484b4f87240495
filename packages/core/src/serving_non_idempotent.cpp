#include "serving_p.h"

#include "skylarkwind/hash.h"

namespace skylarkwind {

namespace {

constexpr std::chrono::milliseconds kRetryAfter{ 1'000 };

/// Prefixes the key with account and service, each with its length, so that different combinations
/// never give the same text.
std::string
ClaimKey(const open_request& aRequest)
{
  const auto& service = aRequest.mService->mRow.mName;
  return std::to_string(aRequest.mAccount.size()) + ":" + aRequest.mAccount + "/" +
         std::to_string(service.size()) + ":" + service + "/" + aRequest.mBody.mIdempotencyKey;
}

std::string
Fingerprint(const plain_request& aRequest)
{
  std::string text = aRequest.mMethod;
  text += '\n';
  text += aRequest.mPath;
  text += '\n';
  text += aRequest.mBody;
  return Sha256Hex(text);
}

} // namespace

void
request_serving::RequestClaim(open_request& aRequest, instant aNow, effect_list& aOut)
{
  const auto& row = aRequest.mService->mRow;
  auto& claiming = mPendingClaims[row.mName];
  if (claiming + mAdmission.Queue(row.mName).Size() >= row.mQueueLimit) {
    Refuse(aRequest,
           { 503, "overloaded_error", "queue_full", "the queue is full", kRetryAfter },
           aNow,
           aOut);
    return;
  }
  ++claiming;
  aRequest.mStage = request_stage::Claiming;
  mClaims.Claim(aRequest.mId,
                ClaimKey(aRequest),
                Fingerprint(*aRequest.Plain()),
                aRequest.mDeadline,
                aNow,
                aOut);
}

void
request_serving::OnClaim(const claim_decision& aDecision, instant aNow, effect_list& aOut)
{
  auto* found = FindRequest(aDecision.mRequest);
  if (found == nullptr || found->mStage != request_stage::Claiming) {
    return;
  }
  auto& request = *found;
  --mPendingClaims[request.mService->mRow.mName];
  // From here on the request can be ended like a queued one.
  request.mStage = request_stage::Queued;
  if (std::holds_alternative<claim_granted>(aDecision.mVerdict)) {
    request.mClaim = claim_status::Granted;
    OnClaimGranted(request, aNow, aOut);
    return;
  }
  if (request.mCallerDone) {
    End(request, request_outcome::Cancelled, aNow);
    return;
  }
  if (const auto* unavailable = std::get_if<claim_unavailable>(&aDecision.mVerdict)) {
    OnClaimUnavailable(request, *unavailable, aNow, aOut);
    return;
  }
  if (const auto* recorded = std::get_if<claim_recorded>(&aDecision.mVerdict)) {
    auto headers = recorded->mHeaders;
    headers.emplace_back("Skylarkwind-Outcome",
                         recorded->mBodyRecorded ? "recorded" : "recorded without body");
    aOut.emplace_back(
      caller_response{ request.mId, recorded->mStatus, std::move(headers), recorded->mBody });
    End(request, request_outcome::Completed, aNow);
    return;
  }
  if (std::holds_alternative<claim_in_progress>(aDecision.mVerdict)) {
    SendError(request,
              { 409,
                "conflict_error",
                "in_progress",
                "a request with this key is in progress",
                kRetryAfter },
              run_state::InProgress,
              aOut);
  } else if (std::holds_alternative<claim_unknown>(aDecision.mVerdict)) {
    SendError(request,
              { 502,
                "server_error",
                "outcome_unknown",
                "a request with this key was sent and its outcome is not known" },
              run_state::OutcomeUnknown,
              aOut);
  } else {
    SendError(
      request,
      { 422, "invalid_request_error", "key_reused", "the key was used with another request" },
      run_state::NotRun,
      aOut);
  }
  End(request, request_outcome::Refused, aNow);
}

void
request_serving::OnClaimGranted(open_request& aRequest, instant aNow, effect_list& aOut)
{
  if (aRequest.mCallerDone) {
    WithdrawClaim(aRequest, aNow, aOut);
    End(aRequest, request_outcome::Cancelled, aNow);
    return;
  }
  Admit(aRequest, aNow, aOut);
}

void
request_serving::OnClaimUnavailable(open_request& aRequest,
                                    const claim_unavailable& aUnavailable,
                                    instant aNow,
                                    effect_list& aOut)
{
  aRequest.mClaim = claim_status::DelegatedToBackend;
  if (PlacePlain(aRequest, aNow).mEngine != nullptr) {
    Admit(aRequest, aNow, aOut);
    return;
  }
  Refuse(aRequest,
         { 503,
           "overloaded_error",
           "claim_unavailable",
           "no claim could be made: " + aUnavailable.mReason,
           kRetryAfter },
         aNow,
         aOut);
}

/// A non-idempotent request is retried only if no byte of it was sent, and only once.
void
request_serving::OnNonIdempotentFailed(open_request& aRequest,
                                       const std::string& aBackend,
                                       const attempt_failed& aFailed,
                                       instant aNow,
                                       effect_list& aOut)
{
  using cause = attempt_failed::cause;
  switch (aFailed.mCause) {
    case cause::NotSent:
      if (!aRequest.mCallerDone && aRequest.mFlow.Attempts() < 2) {
        aRequest.mFailedBackends.push_back(aBackend);
        ScheduleAttempt(aRequest, aNow + mBudget.Backoff(1));
        return;
      }
      [[fallthrough]];
    case cause::NotRun:
      Refuse(aRequest,
             { 503, "overloaded_error", "not_run", "the service did not run it", kRetryAfter },
             aNow,
             aOut);
      return;
    case cause::Rejected: {
      const auto status = aFailed.mStatus >= 400 ? aFailed.mStatus : 400;
      RecordOutcome(aRequest, { status, {}, aFailed.mReason }, aNow, aOut);
      Refuse(
        aRequest, { status, "invalid_request_error", "rejected", aFailed.mReason }, aNow, aOut);
      return;
    }
    case cause::Interrupted:
    case cause::Silent:
      RecordUnknown(aRequest, aNow, aOut);
      Refuse(aRequest,
             { 502, "server_error", "outcome_unknown", "the service did not answer" },
             aNow,
             aOut);
      return;
  }
}

void
request_serving::RecordOutcome(open_request& aRequest,
                               const attempt_response& aOutcome,
                               instant aNow,
                               effect_list& aOut)
{
  if (aRequest.mClaim == claim_status::Granted) {
    aRequest.mClaim = claim_status::Settled;
    mClaims.Record(aRequest.mId, aOutcome, aNow, aOut);
  }
}

void
request_serving::RecordUnknown(open_request& aRequest, instant aNow, effect_list& aOut)
{
  if (aRequest.mClaim == claim_status::Granted) {
    aRequest.mClaim = claim_status::Settled;
    mClaims.RecordUnknown(aRequest.mId, aNow, aOut);
  }
}

void
request_serving::WithdrawClaim(open_request& aRequest, instant aNow, effect_list& aOut)
{
  if (aRequest.mClaim == claim_status::Granted) {
    aRequest.mClaim = claim_status::Settled;
    mClaims.Withdraw(aRequest.mId, aNow, aOut);
  }
}

} // namespace skylarkwind
