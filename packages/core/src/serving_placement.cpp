#include "serving_p.h"

#include <algorithm>
#include <cmath>

namespace skylarkwind {

namespace {

/// Prompt tokens per second assumed for engines that report no rate.
constexpr double kAssumedPrefillRate = 10'000;
/// Each long prompt that is not split multiplies the measured transfer time by this factor, so that
/// splitting is tried again after about a hundred such prompts, in case the network has recovered.
constexpr double kTransferCostDecay = 0.99;
/// How long a request waits for a larger share of a limit that has been requested. Shares are
/// written at most once a second, and the write takes milliseconds.
constexpr std::chrono::milliseconds kMaxShareWait{ 2'000 };
constexpr std::chrono::milliseconds kMinShareRetryDelay{ 20 };
constexpr std::chrono::milliseconds kMaxShareRetryDelay{ 250 };

bool
HasKeyHeader(const header_list& aHeaders)
{
  constexpr std::string_view kName = "idempotency-key";
  const auto same = [](char aLeft, char aRight) {
    return (aLeft >= 'A' && aLeft <= 'Z' ? static_cast<char>(aLeft + 32) : aLeft) == aRight;
  };
  return std::ranges::any_of(
    aHeaders, [&](const auto& aHeader) { return std::ranges::equal(aHeader.first, kName, same); });
}

} // namespace

request_serving::placement
request_serving::Place(open_request& aRequest, instant aNow)
{
  if (aRequest.Plain() != nullptr) {
    return PlacePlain(aRequest, aNow);
  }
  const auto holders = Holders(aRequest);
  route_query query;
  query.mService = aRequest.mService->mRow.mName;
  query.mModel = aRequest.Completion()->mModel;
  query.mAffinity = aRequest.mAffinity;
  query.mWork = static_cast<double>(aRequest.Completion()->mPromptTokens);
  query.mHolders = holders;
  query.mFirstChoice = aRequest.mPreferredEngine;
  query.mAvoid = aRequest.mFailedBackends;
  query.mBegun = aRequest.mFlow.MayHaveRun();
  if (aRequest.mKv) {
    query.mRole = engine_role::Decode;
    query.mVersion = aRequest.mKvVersion;
    if (const auto* engine = mEngineRouter.Choose(query, mFleet.Engines(), aNow)) {
      return { engine };
    }
    // No decode engine can fetch the cache; another engine computes the prompt again.
    aRequest.mKv.reset();
  }
  if (const auto split = PlaceSplit(aRequest, query, aNow)) {
    return *split;
  }
  // Tokens depend on the model version. Without the text delivered so far, only an engine of the
  // same version can continue. With it, another version may, rather than leave the response
  // incomplete.
  query.mVersion = aRequest.mVersion;
  auto placed = PlaceUnsplit(aRequest, query, aNow);
  if (placed.mEngine == nullptr && !query.mVersion.empty() && aRequest.mFlow.TextKnown()) {
    query.mVersion = {};
    placed = PlaceUnsplit(aRequest, query, aNow);
  }
  return placed;
}

request_serving::placement
request_serving::PlacePlain(open_request& aRequest, instant aNow)
{
  // While the platform was unavailable, the request may have been sent to its key's backend server
  // without a claim, so it never goes to any other, with a claim or without.
  const auto keyBackend =
    aRequest.mNonIdempotent ? aRequest.mService->BackendOfKey(aRequest.mBody.mIdempotencyKey) : "";
  if (!keyBackend.empty()) {
    const auto* backend = mBackendRouter.Find(keyBackend, mFleet.Backends());
    return { backend != nullptr && backend->Admits() ? backend : nullptr };
  }
  if (aRequest.mClaim == claim_status::DelegatedToBackend) {
    return {};
  }
  route_query query;
  query.mService = aRequest.mService->mRow.mName;
  query.mAffinity = mRandom();
  query.mWork = 1;
  query.mAvoid = aRequest.mFailedBackends;
  return { mBackendRouter.Choose(query, mFleet.Backends(), aNow) };
}

/// A generation that is not split goes to an engine of both roles; to a decode engine only if none
/// of those admits it; to a prefill engine only if none of either does.
request_serving::placement
request_serving::PlaceUnsplit(open_request&, route_query aQuery, instant aNow)
{
  for (const auto role : { engine_role::Both, engine_role::Decode, engine_role::Prefill }) {
    aQuery.mRole = role;
    if (const auto* engine = mEngineRouter.Choose(aQuery, mFleet.Engines(), aNow)) {
      return { engine };
    }
  }
  return {};
}

std::optional<request_serving::placement>
request_serving::PlaceSplit(open_request& aRequest, route_query aQuery, instant aNow)
{
  const auto tokens = aRequest.Completion()->mPromptTokens;
  if (tokens <= mSettings.mSplitPromptTokens || aRequest.mFlow.Attempts() > 0 ||
      aRequest.mFlow.Delivered() > 0) {
    return std::nullopt;
  }
  aQuery.mRole = engine_role::Decode;
  const auto* decode = mEngineRouter.Choose(aQuery, mFleet.Engines(), aNow);
  if (decode == nullptr) {
    return std::nullopt;
  }
  aQuery.mRole = engine_role::Prefill;
  aQuery.mVersion = decode->mVersion;
  const auto* prefill = mEngineRouter.Choose(aQuery, mFleet.Engines(), aNow);
  if (prefill == nullptr) {
    return std::nullopt;
  }
  auto& perToken = Statistics(aRequest).mTransferSecondsPerToken;
  if (perToken * static_cast<double>(tokens) >= UnsplitPrefillSeconds(aRequest, aQuery)) {
    perToken *= kTransferCostDecay;
    return std::nullopt;
  }
  return placement{ prefill, true, engine_role::Decode };
}

/// Seconds to compute the prompt, without the part that is cached, at the engine that would also
/// generate the tokens.
double
request_serving::UnsplitPrefillSeconds(const open_request& aRequest,
                                       const route_query& aQuery) const
{
  auto tokens = static_cast<double>(aRequest.Completion()->mPromptTokens);
  for (const auto& holder : aQuery.mHolders) {
    const auto* engine = mEngineRouter.Find(holder.mEngine, mFleet.Engines());
    if (engine != nullptr && engine->mRole != engine_role::Prefill && engine->Admits()) {
      tokens = std::max(0.0, tokens - static_cast<double>(holder.mBlocks * kBlockTokens));
      break;
    }
  }
  auto rate = mEngineRouter.PrefillRate(aQuery.mService, aQuery.mModel, engine_role::Both);
  if (rate <= 0) {
    rate = mEngineRouter.PrefillRate(aQuery.mService, aQuery.mModel, engine_role::Decode);
  }
  return tokens / (rate > 0 ? rate : kAssumedPrefillRate);
}

std::vector<prefix_match>
request_serving::Holders(const open_request& aRequest)
{
  auto holders = mPrefixCaches.Holders(aRequest.mSegments);
  bool dropped = false;
  for (const auto& holder : holders) {
    const auto* engine = mEngineRouter.Find(holder.mEngine, mFleet.Engines());
    dropped = (engine != nullptr && !mPrefixCaches.Check(*engine)) || dropped;
  }
  return dropped ? mPrefixCaches.Holders(aRequest.mSegments) : holders;
}

std::uint64_t
request_serving::OutputEstimate(const open_request& aRequest) const
{
  const auto* completion = aRequest.Completion();
  if (completion == nullptr) {
    return 0;
  }
  // Callers often set a maximum that is far higher than what they use.
  const auto measured = mStatistics.find(aRequest.mService->mRow.mName);
  const double mean = measured == mStatistics.end() ? service_statistics{}.mOutputTokens
                                                    : measured->second.mOutputTokens;
  const auto estimate = static_cast<std::uint64_t>(std::ceil(mean));
  const auto whole =
    completion->mMaxTokens == 0 ? estimate : std::min(completion->mMaxTokens, 2 * estimate);
  const auto delivered = aRequest.mFlow.Delivered();
  return whole > delivered ? whole - delivered : 1;
}

request_serving::start_result
request_serving::TryStart(open_request& aRequest, instant aNow, effect_list& aOut)
{
  if (aRequest.mDeadline <= aNow) {
    OnDeadline(aRequest, aNow, aOut);
    return start_result::Refused;
  }
  const auto placed = Place(aRequest, aNow);
  if (placed.mEngine == nullptr) {
    return start_result::NoEngine;
  }
  const auto shares = AcquireTickets(aRequest, placed, aNow, aOut);
  if (shares == start_result::Started) {
    StartAttempt(aRequest, placed, aNow, aOut);
  }
  return shares;
}

/// Acquires the tickets that the attempt needs beyond those that the request already holds: at
/// first one of the account's limit, the service's limit and each role's limit; later, when the
/// request moves to an engine of another role, one of that role's limit.
request_serving::start_result
request_serving::AcquireTickets(open_request& aRequest,
                                const placement& aPlacement,
                                instant aNow,
                                effect_list& aOut)
{
  const bool first = aRequest.mTickets.empty();
  std::vector<std::string> limits;
  if (first) {
    limits = { aRequest.mAccountLimit, aRequest.mService->mLimit };
  }
  auto roles = aRequest.mRolesCovered;
  if (aRequest.Plain() == nullptr) {
    roles[static_cast<std::size_t>(aPlacement.mEngine->mRole)] = true;
    if (aPlacement.mNextRole) {
      roles[static_cast<std::size_t>(*aPlacement.mNextRole)] = true;
    }
  }
  for (std::size_t i = 0; i < kRoles; ++i) {
    if (roles[i] && !aRequest.mRolesCovered[i]) {
      limits.push_back(aRequest.mService->mRoleLimits[i]);
    }
  }
  if (limits.empty()) {
    return start_result::Started;
  }
  const auto endsBy = aRequest.mDeadline + aRequest.Grace();
  const auto decision = mLimits.TryAcquire(limits, endsBy, aNow);
  if (const auto* ticket = std::get_if<limit_ticket>(&decision)) {
    aRequest.mTickets.push_back(*ticket);
    aRequest.mRolesCovered = roles;
    return start_result::Started;
  }
  const auto& denied = std::get<limit_denied>(decision);
  if (!aRequest.mShareWaitDeadline) {
    aRequest.mShareWaitDeadline = aNow + kMaxShareWait;
  }
  // A request that has already started waits until its deadline rather than end incomplete.
  if (first && (denied.mExhausted || aNow >= *aRequest.mShareWaitDeadline)) {
    Refuse(aRequest,
           { 429,
             "rate_limit_error",
             "limit_reached",
             "the limit " + denied.mLimit + " is used up",
             std::max(denied.mRetryAfter, kMaxShareRetryDelay) },
           aNow,
           aOut);
    return start_result::Refused;
  }
  aRequest.mNextShareAttempt =
    aNow + std::clamp(denied.mRetryAfter, kMinShareRetryDelay, kMaxShareRetryDelay);
  return start_result::NoShare;
}

void
request_serving::StartAttempt(open_request& aRequest,
                              const placement& aPlacement,
                              instant aNow,
                              effect_list& aOut)
{
  using std::chrono::milliseconds;
  const auto engine = *aPlacement.mEngine;
  const auto* completion = aRequest.Completion();
  mAdmission.Queue(aRequest.mService->mRow.mName).Take(aRequest.mId, aNow);
  if (aRequest.mFlow.Attempts() == 0) {
    mBudget.OnRequest();
  }
  const attempt_id id{ ++mLastAttempt };
  open_attempt attempt;
  attempt.mId = id;
  attempt.mBackend = engine.mName;
  attempt.mVersion = engine.mVersion;
  attempt.mRole = engine.mRole;
  attempt.mStartedAt = aNow;
  attempt.mPrefillOnly = aPlacement.mPrefillOnly;
  attempt.mFetchesCache = aRequest.mKv.has_value();
  const bool computesPrompt = completion != nullptr && !attempt.mFetchesCache;
  attempt.mWork = RouterOf(aRequest).Place(engine,
                                           computesPrompt ? completion->mPromptTokens : 1,
                                           attempt.mPrefillOnly ? 0 : OutputEstimate(aRequest),
                                           aNow);
  mFleet.OnAttemptStarted(engine.mName, aNow);
  aRequest.mFlow.OnAttemptStarted();
  aRequest.mStage = request_stage::Running;
  aRequest.mRetryAllowed = false;

  auto left = std::chrono::ceil<milliseconds>(aRequest.mDeadline - aNow);
  left = std::max(left, milliseconds{ 1 });
  // A plain service may take long to send its first byte.
  const auto firstLimit =
    completion != nullptr ? std::min(left, mSettings.mFirstProgressLimit) : left + aRequest.Grace();
  aOut.emplace_back(start_attempt{ id,
                                   engine.mName,
                                   engine.mAddress,
                                   MakeCall(aRequest, engine, attempt.mPrefillOnly),
                                   firstLimit,
                                   mSettings.mProgressLimit });
  mAttempts.emplace(id, aRequest.mId);
  aRequest.mAttempt = std::move(attempt);
}

backend_call
request_serving::MakeCall(const open_request& aRequest,
                          const engine_view& aEngine,
                          bool aPrefillOnly) const
{
  if (const auto* plain = aRequest.Plain()) {
    plain_call call{ plain->mMethod, plain->mPath, plain->mHeaders, plain->mBody };
    if (!aRequest.mBody.mIdempotencyKey.empty() && !HasKeyHeader(call.mHeaders)) {
      call.mHeaders.emplace_back("Idempotency-Key", aRequest.mBody.mIdempotencyKey);
    }
    return call;
  }
  const auto& completion = *aRequest.Completion();
  generate_call call;
  call.mChat = completion.mChat;
  call.mBody = completion.mBody;
  call.mModel = aEngine.mModel;
  // One id per attempt: cancelling an old attempt must not stop a new one at the same engine.
  call.mStream = mSettings.mSelf.mVm + "-" + std::to_string(mSettings.mSelf.mStartId) + "-a" +
                 std::to_string(mLastAttempt);
  call.mSeed = aRequest.mSeed;
  call.mResumeFrom = aRequest.mFlow.Delivered();
  call.mPriorText = aRequest.mFlow.PriorText();
  call.mKv = aRequest.mKv;
  call.mPriority = aRequest.mPriority;
  call.mPrefillOnly = aPrefillOnly;
  return call;
}

} // namespace skylarkwind
