#include "serving_p.h"

#include <absl/status/status.h>

namespace skylarkwind {

absl::StatusOr<std::unique_ptr<serving>>
serving::Create(serving_settings aSettings,
                fleet& aFleet,
                limit_shares& aLimits,
                request_claims& aClaims,
                counters& aCounters)
{
  if (aSettings.mResumeKey.empty()) {
    return absl::InvalidArgumentError("the key of resume tokens is empty");
  }
  if (aSettings.mMaxAttempts == 0) {
    return absl::InvalidArgumentError("the number of attempts is 0");
  }
  if (aSettings.mRetryRatio < 0 || aSettings.mRetryRatio > 1) {
    return absl::InvalidArgumentError("the retry ratio is not between 0 and 1");
  }
  return std::make_unique<request_serving>(
    std::move(aSettings), aFleet, aLimits, aClaims, aCounters);
}

request_serving::request_serving(serving_settings aSettings,
                                 fleet& aFleet,
                                 limit_shares& aLimits,
                                 request_claims& aClaims,
                                 counters& aCounters)
  : mSettings(std::move(aSettings))
  , mFleet(aFleet)
  , mLimits(aLimits)
  , mClaims(aClaims)
  , mCounters(aCounters)
  , mEngineRouter(mSettings.mDataCentre)
  , mBackendRouter(mSettings.mDataCentre)
  , mBudget(mSettings.mRetryRatio, mSettings.mRandomSeed)
  , mRandom(mSettings.mRandomSeed + 1)
{
}

void
request_serving::OnTable(const table& aTable, instant aNow)
{
  mIndex = service_index{ aTable, mCounters };
  mEngineRouter.SetRoleWeights([this](std::string_view aService, engine_role aRole) {
    return mIndex.RoleWeight(aService, aRole);
  });
  mEngineRouter.Refresh(mFleet.Engines(), aNow);
  mBackendRouter.Refresh(mFleet.Backends(), aNow);
}

void
request_serving::OnCallerDisconnected(request_id aRequest, instant aNow, effect_list& aOut)
{
  auto* request = FindRequest(aRequest);
  if (request == nullptr || request->mCallerDone) {
    return;
  }
  if (request->mStage == request_stage::Claiming ||
      (request->mNonIdempotent && request->mStage == request_stage::Running)) {
    // The decision on the claim, or the outcome of the request that was sent, is still awaited.
    request->mCallerDone = true;
    return;
  }
  if (request->mAttempt) {
    CancelAttempt(*request, attempt_health::Answered, aNow, aOut);
  }
  const auto service = request->mService;
  WithdrawClaim(*request, aNow, aOut);
  End(*request, request_outcome::Cancelled, aNow);
  Dispatch(service->mRow.mName, aNow, aOut);
}

void
request_serving::OnAttempt(const attempt_progress& aProgress, instant aNow, effect_list& aOut)
{
  const auto found = mAttempts.find(aProgress.mAttempt);
  if (found == mAttempts.end()) {
    return;
  }
  auto& request = *FindRequest(found->second);
  const auto service = request.mService;
  if (const auto* tokens = std::get_if<attempt_tokens>(&aProgress.mOutcome)) {
    OnTokens(request, *tokens, aNow, aOut);
    return;
  }
  if (const auto* generated = std::get_if<attempt_generated>(&aProgress.mOutcome)) {
    OnGenerated(request, *generated, aNow, aOut);
  } else if (const auto* answered = std::get_if<attempt_response>(&aProgress.mOutcome)) {
    OnAnswered(request, *answered, aNow, aOut);
  } else if (const auto* failed = std::get_if<attempt_failed>(&aProgress.mOutcome)) {
    OnFailed(request, *failed, aNow, aOut);
  }
  Dispatch(service->mRow.mName, aNow, aOut);
}

void
request_serving::OnCacheEvents(const cache_events_read& aRead, instant)
{
  if (const auto* engine = mEngineRouter.Find(aRead.mEngine, mFleet.Engines())) {
    mPrefixCaches.OnEvents(*engine, aRead);
  }
}

void
request_serving::OnTick(instant aNow, effect_list& aOut)
{
  mEngineRouter.Refresh(mFleet.Engines(), aNow);
  mBackendRouter.Refresh(mFleet.Backends(), aNow);
  ResumeFromAbsentEngines(aNow, aOut);
  RunDeadlines(aNow, aOut);
  StartDueAttempts(aNow, aOut);
  DispatchAll(aNow, aOut);
  ReadCacheEvents(aNow, aOut);
}

void
request_serving::OnShutdown(instant, effect_list&)
{
  mShuttingDown = true;
}

std::vector<serving::queued_work>
request_serving::Queued() const
{
  std::vector<queued_work> all;
  for (const auto& [service, queue] : mAdmission.Queues()) {
    const auto totals = queue.Totals();
    all.push_back({ service, queue.Size(), totals.mPromptTokens, totals.mOutputTokens });
  }
  return all;
}

open_request*
request_serving::FindRequest(request_id aRequest)
{
  const auto found = mOpenRequests.find(aRequest);
  return found == mOpenRequests.end() ? nullptr : &found->second;
}

service_statistics&
request_serving::Statistics(const open_request& aRequest)
{
  return mStatistics[aRequest.mService->mRow.mName];
}

router&
request_serving::RouterOf(const open_request& aRequest)
{
  return aRequest.Plain() != nullptr ? mBackendRouter : mEngineRouter;
}

} // namespace skylarkwind
