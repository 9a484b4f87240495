#include "serving_p.h"

#include "skylarkwind/hash.h"
#include "skylarkwind/resume_token.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// Retry-After of refusals for which no better estimate exists.
constexpr std::chrono::milliseconds kRetryAfter{ 1'000 };

refusal
BadRequest(std::string aCode, std::string aMessage)
{
  return { 400, "invalid_request_error", std::move(aCode), std::move(aMessage), std::nullopt };
}

refusal
Overloaded(std::string aCode, std::string aMessage, std::chrono::milliseconds aRetryAfter)
{
  return { 503, "overloaded_error", std::move(aCode), std::move(aMessage), aRetryAfter };
}

/// Returns a refusal if a non-idempotent request has no idempotency key.
std::optional<refusal>
CheckIdempotencyKey(const open_request& aRequest)
{
  if (aRequest.mNonIdempotent && aRequest.mBody.mIdempotencyKey.empty()) {
    return BadRequest("idempotency_key_required",
                      "this service does not repeat requests; send an Idempotency-Key");
  }
  return std::nullopt;
}

} // namespace

void
request_serving::OnCaller(const caller_arrived& aArrived, instant aNow, effect_list& aOut)
{
  const auto id = aArrived.mRequest;
  if (FindRequest(id) != nullptr) {
    return;
  }
  if (mShuttingDown) {
    RefuseArrival(
      id, Overloaded("shutting_down", "this daemon is shutting down", kRetryAfter), aOut);
    return;
  }
  if (mIndex.Serial() == 0) {
    RefuseArrival(id, Overloaded("no_table", "no table is in force yet", kRetryAfter), aOut);
    return;
  }
  const auto* account = mIndex.Account(aArrived.mBody.mApiKeySha256);
  if (account == nullptr) {
    RefuseArrival(
      id, { 401, "authentication_error", "invalid_api_key", "the API key is unknown" }, aOut);
    return;
  }
  open_request request;
  request.mId = id;
  request.mService = FindService(aArrived.mBody);
  if (request.mService == nullptr) {
    RefuseArrival(
      id, { 404, "invalid_request_error", "not_found", "no service has this model or path" }, aOut);
    return;
  }
  request.mBody = aArrived.mBody;
  request.mAccount = account->mName;
  request.mAccountLimit = AccountLimit(account->mName);
  request.mPriority = account->mPriority;
  const auto& row = request.mService->mRow;
  const auto limit = row.mTimeLimit.count() > 0 ? row.mTimeLimit : mSettings.mDefaultTimeLimit;
  request.mDeadline = admission::Deadline(limit, request.mBody.mTimeLimit, aNow);
  request.mNonIdempotent =
    request.Plain() != nullptr && (row.mNonIdempotent || !request.mBody.mIdempotencyKey.empty());
  if (auto refused = CheckIdempotencyKey(request)) {
    RefuseArrival(id, *std::move(refused), aOut);
    return;
  }
  if (request.Completion() != nullptr && !PrepareGeneration(request, aOut)) {
    return;
  }
  auto& open = Open(std::move(request));
  if (open.mNonIdempotent) {
    RequestClaim(open, aNow, aOut);
  } else {
    Admit(open, aNow, aOut);
  }
}

void
request_serving::RefuseArrival(request_id aRequest, refusal aRefusal, effect_list& aOut)
{
  mCounters
    .Get("skylarkwind_requests_turned_away_total",
         "Requests refused before they were accepted.",
         "code=\"" + aRefusal.mCode + "\"")
    .Add();
  aOut.emplace_back(caller_error{ aRequest,
                                  aRefusal.mStatus,
                                  std::move(aRefusal.mType),
                                  std::move(aRefusal.mCode),
                                  std::move(aRefusal.mMessage),
                                  run_state::NotRun,
                                  aRefusal.mRetryAfter });
}

std::shared_ptr<const service_entry>
request_serving::FindService(const caller_request& aBody) const
{
  if (const auto* completion = std::get_if<completion_request>(&aBody.mOperation)) {
    return mIndex.ServiceOfModel(completion->mModel);
  }
  return mIndex.ServiceOfPath(std::get<plain_request>(aBody.mOperation).mPath);
}

bool
request_serving::PrepareGeneration(open_request& aRequest, effect_list& aOut)
{
  const auto& completion = *aRequest.Completion();
  aRequest.mSegments = PrefixBlockHashes(completion.mPrompt);
  mSegmentsSeen = mSegmentsSeen || !aRequest.mSegments.empty();
  // Engines cache whole segments only, so affinity gains nothing for a shorter prompt.
  aRequest.mAffinity = aRequest.mSegments.empty() ? mRandom() : aRequest.mSegments.front();
  aRequest.mSeed = mRandom();
  aRequest.mFingerprint =
    Hash64(completion.mPrompt, Hash64(completion.mModel, Hash64(aRequest.mAccount)));
  if (aRequest.mBody.mResumeToken.empty()) {
    aRequest.mStream = mSettings.mSelf.mVm + "-" + std::to_string(mSettings.mSelf.mStartId) + "-r" +
                       std::to_string(++mLastStream);
    return true;
  }
  auto point =
    ReadResumeToken(aRequest.mBody.mResumeToken, mSettings.mResumeKey, aRequest.mFingerprint);
  if (!point) {
    RefuseArrival(aRequest.mId,
                  BadRequest("bad_resume_token", "Last-Event-ID is not a token of this request"),
                  aOut);
    return false;
  }
  if (!VersionExists(completion.mModel, point->mVersion)) {
    RefuseArrival(aRequest.mId,
                  BadRequest("resume_version_gone", "no engine has the stream's model version"),
                  aOut);
    return false;
  }
  aRequest.mFlow = request_progress{ point->mOffset };
  aRequest.mStream = std::move(point->mStream);
  aRequest.mSeed = point->mSeed;
  aRequest.mPreferredEngine = std::move(point->mEngine);
  aRequest.mVersion = std::move(point->mVersion);
  return true;
}

/// False only if engines of the model are known and all of them have another version.
bool
request_serving::VersionExists(std::string_view aModel, std::string_view aVersion) const
{
  bool known = false;
  for (const auto& engine : mFleet.Engines()) {
    if (engine.mModel == aModel) {
      if (engine.mVersion == aVersion || engine.mVersion.empty()) {
        return true;
      }
      known = true;
    }
  }
  return !known;
}

open_request&
request_serving::Open(open_request aRequest)
{
  const auto id = aRequest.mId;
  mDeadlines.emplace(aRequest.mDeadline, id.mValue);
  return mOpenRequests.emplace(id, std::move(aRequest)).first->second;
}

void
request_serving::Admit(open_request& aRequest, instant aNow, effect_list& aOut)
{
  aRequest.mStage = request_stage::Queued;
  // Requests that are already queued go first.
  if (mAdmission.Queue(aRequest.mService->mRow.mName).Empty()) {
    const auto result = TryStart(aRequest, aNow, aOut);
    if (result == start_result::Started || result == start_result::Refused) {
      return;
    }
  }
  Enqueue(aRequest, aNow, aOut);
}

void
request_serving::Enqueue(open_request& aRequest, instant aNow, effect_list& aOut)
{
  const auto& row = aRequest.mService->mRow;
  waiting_request waiting{ aRequest.mId, aRequest.mPriority, aRequest.mDeadline };
  if (const auto* completion = aRequest.Completion()) {
    waiting.mPromptTokens = completion->mPromptTokens;
    waiting.mOutputTokens = OutputEstimate(aRequest);
  }
  const auto result = mAdmission.Queue(row.mName).Push(waiting, row.mQueueLimit, aNow);
  const auto retryAfter = std::max(kRetryAfter, result.mExpectedWait);
  if (result.mVerdict == service_queue::verdict::Full) {
    Refuse(aRequest, Overloaded("queue_full", "the queue is full", retryAfter), aNow, aOut);
  } else if (result.mVerdict == service_queue::verdict::WaitTooLong) {
    Refuse(aRequest,
           Overloaded("wait_too_long", "the wait would exceed the time limit", retryAfter),
           aNow,
           aOut);
  }
  auto* displaced = result.mDisplaced ? FindRequest(*result.mDisplaced) : nullptr;
  if (displaced != nullptr) {
    Refuse(*displaced,
           Overloaded("displaced", "requests of higher priority fill the queue", retryAfter),
           aNow,
           aOut);
  }
}

void
request_serving::DispatchAll(instant aNow, effect_list& aOut)
{
  for (const auto& [service, queue] : mAdmission.Queues()) {
    Dispatch(service, aNow, aOut);
  }
}

void
request_serving::Dispatch(const std::string& aService, instant aNow, effect_list& aOut)
{
  auto& queue = mAdmission.Queue(aService);
  if (queue.Empty()) {
    return;
  }
  // Models with version, or backend servers of keys, that admit no request now. Their requests do
  // not hold up those queued behind them.
  std::set<std::string> blocked;
  for (const auto id : queue.InOrder()) {
    auto* found = FindRequest(id);
    if (found == nullptr) {
      continue;
    }
    auto& request = *found;
    const auto* completion = request.Completion();
    const auto target =
      completion != nullptr
        ? completion->mModel + "\n" + request.mVersion
        : std::string{ request.mService->BackendOfKey(request.mBody.mIdempotencyKey) };
    if (request.mNextShareAttempt > aNow || blocked.contains(target)) {
      continue;
    }
    const auto result = TryStart(request, aNow, aOut);
    if (result == start_result::NoEngine) {
      blocked.insert(target);
    }
  }
}

} // namespace skylarkwind
