#include "serving_p.h"

namespace skylarkwind {

namespace {

/// Interval at which the cache events of one engine are read, in turn over all engines. It keeps a
/// daemon within its limit of control traffic (3 KB/s) at 600 engines. With a dozen engines, each
/// is read every 3 s.
constexpr std::chrono::milliseconds kCacheReadInterval{ 250 };

request_outcome
OutcomeOf(const refusal& aRefusal, run_state aRun)
{
  if (aRefusal.mCode == "rejected") {
    return request_outcome::Rejected;
  }
  return aRun == run_state::NotRun ? request_outcome::Refused : request_outcome::Failed;
}

} // namespace

void
request_serving::Refuse(open_request& aRequest, refusal aRefusal, instant aNow, effect_list& aOut)
{
  const auto run = aRequest.mFlow.RunState();
  const auto outcome = OutcomeOf(aRefusal, run);
  if (run == run_state::NotRun) {
    WithdrawClaim(aRequest, aNow, aOut);
  }
  SendError(aRequest, std::move(aRefusal), run, aOut);
  End(aRequest, outcome, aNow);
}

void
request_serving::SendError(open_request& aRequest,
                           refusal aRefusal,
                           run_state aRun,
                           effect_list& aOut)
{
  if (aRequest.mCallerDone) {
    return;
  }
  aRequest.mCallerDone = true;
  aOut.emplace_back(caller_error{ aRequest.mId,
                                  aRefusal.mStatus,
                                  std::move(aRefusal.mType),
                                  std::move(aRefusal.mCode),
                                  std::move(aRefusal.mMessage),
                                  aRun,
                                  aRefusal.mRetryAfter });
}

void
request_serving::End(open_request& aRequest, request_outcome aOutcome, instant aNow)
{
  for (const auto ticket : aRequest.mTickets) {
    mLimits.Release(ticket, aNow);
  }
  auto role = kRoles;
  for (std::size_t i = 0; i < kRoles; ++i) {
    role = aRequest.mRolesCovered[i] ? i : role;
  }
  aRequest.mService->mEnded[role][static_cast<std::size_t>(aOutcome)]->Add();
  mAdmission.Queue(aRequest.mService->mRow.mName).Remove(aRequest.mId);
  mDeadlines.erase({ aRequest.mDeadline, aRequest.mId.mValue });
  if (aRequest.mStage == request_stage::Waiting) {
    mScheduledAttempts.erase({ aRequest.mNextAttemptAt, aRequest.mId.mValue });
  }
  mOpenRequests.erase(aRequest.mId);
}

void
request_serving::RunDeadlines(instant aNow, effect_list& aOut)
{
  std::vector<request_id> due;
  for (const auto& [when, id] : mDeadlines) {
    if (when > aNow) {
      break;
    }
    due.push_back({ id });
  }
  for (const auto id : due) {
    if (auto* request = FindRequest(id)) {
      OnDeadline(*request, aNow, aOut);
    }
  }
}

void
request_serving::OnDeadline(open_request& aRequest, instant aNow, effect_list& aOut)
{
  refusal expired{ 504, "timeout_error", "deadline_exceeded", "the time limit passed" };
  if (aRequest.mStage == request_stage::Claiming) {
    // An earlier request with this key may have run; only the decision on the claim would tell.
    SendError(aRequest, std::move(expired), run_state::OutcomeUnknown, aOut);
    mDeadlines.erase({ aRequest.mDeadline, aRequest.mId.mValue });
    return;
  }
  if (aRequest.mNonIdempotent && aRequest.mStage == request_stage::Running) {
    SendError(aRequest, std::move(expired), run_state::OutcomeUnknown, aOut);
    mDeadlines.erase({ aRequest.mDeadline, aRequest.mId.mValue });
    if (!aRequest.mGraceStarted) {
      aRequest.mGraceStarted = true;
      aRequest.mDeadline += kOutcomeGrace;
      mDeadlines.emplace(aRequest.mDeadline, aRequest.mId.mValue);
      return;
    }
    CancelAttempt(aRequest, attempt_health::Failed, aNow, aOut);
    RecordUnknown(aRequest, aNow, aOut);
    End(aRequest, request_outcome::Failed, aNow);
    return;
  }
  if (aRequest.mAttempt) {
    // The caller's deadline says nothing about the engine's health. An engine that makes no
    // progress is reported as a failed attempt.
    CancelAttempt(aRequest, attempt_health::Answered, aNow, aOut);
  }
  Refuse(aRequest, std::move(expired), aNow, aOut);
}

void
request_serving::ReadCacheEvents(instant aNow, effect_list& aOut)
{
  const auto engines = mFleet.Engines();
  if (!mSegmentsSeen || engines.empty() || aNow - mLastCacheRead < kCacheReadInterval) {
    return;
  }
  for (std::size_t i = 0; i < engines.size(); ++i) {
    const auto& engine = engines[mNextCacheEngine++ % engines.size()];
    if (engine.mStatus == engine_status::Serving || engine.mStatus == engine_status::Ramping) {
      mLastCacheRead = aNow;
      aOut.emplace_back(
        read_cache_events{ engine.mName, engine.mAddress, mPrefixCaches.ReadAfter(engine.mName) });
      return;
    }
  }
}

} // namespace skylarkwind
