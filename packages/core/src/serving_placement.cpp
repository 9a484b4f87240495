#include "serving_p.h"

#include <algorithm>
#include <cmath>

namespace skylarkwind {

namespace {

/// Prompt tokens per second assumed of engines that report no rate.
constexpr double kAssumedPrefillRate = 10'000;
/// Each long prompt that is not split lowers the measured price of a transfer a little, so that a
/// network that recovered is tried again after about a hundred such prompts.
constexpr double kForgetTransfer = 0.99;
/// How long a request waits for a limit's share that has been asked for: shares are written at
/// most once a second, and the write takes milliseconds.
constexpr std::chrono::milliseconds kShareWait{ 2'000 };
constexpr std::chrono::milliseconds kShortestShareTry{ 20 };
constexpr std::chrono::milliseconds kLongestShareTry{ 250 };

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
  query.mFirstChoice = aRequest.mFirstChoice;
  query.mAvoid = aRequest.mAvoid;
  query.mBegun = aRequest.mFlow.Sent();
  if (aRequest.mKv) {
    query.mRole = engine_role::Decode;
    query.mVersion = aRequest.mKvVersion;
    if (const auto* engine = mEngines.Choose(query, mFleet.Engines(), aNow)) {
      return { engine };
    }
    // No decode engine is left to fetch the cache; another engine computes the prompt again.
    aRequest.mKv.reset();
  }
  if (const auto split = PlaceSplit(aRequest, query, aNow)) {
    return *split;
  }
  // Tokens depend on the version. Without the text so far, only an engine of the same version can
  // go on; with it, another version may, rather than leave the answer unfinished.
  query.mVersion = aRequest.mVersion;
  auto placed = PlaceWhole(aRequest, query, aNow);
  if (placed.mEngine == nullptr && !query.mVersion.empty() && aRequest.mFlow.TextKnown()) {
    query.mVersion = {};
    placed = PlaceWhole(aRequest, query, aNow);
  }
  return placed;
}

request_serving::placement
request_serving::PlacePlain(open_request& aRequest, instant aNow)
{
  // A key may have been sent to its home without a claim while the platform was away, so it never
  // goes anywhere else, with a claim or without.
  const auto home =
    aRequest.mOrder ? aRequest.mService->KeyHome(aRequest.mBody.mIdempotencyKey) : "";
  if (!home.empty()) {
    const auto* backend = mBackends.Find(home, mFleet.Backends());
    return { backend != nullptr && backend->Admits() ? backend : nullptr };
  }
  if (aRequest.mClaim == claim_hold::LeftToBackend) {
    return {};
  }
  route_query query;
  query.mService = aRequest.mService->mRow.mName;
  query.mAffinity = mRandom();
  query.mWork = 1;
  query.mAvoid = aRequest.mAvoid;
  return { mBackends.Choose(query, mFleet.Backends(), aNow) };
}

/// A whole generation goes to an engine of both roles; to a decode engine only while none of those
/// admits; to a prefill engine only while neither does.
request_serving::placement
request_serving::PlaceWhole(open_request&, route_query aQuery, instant aNow)
{
  for (const auto role : { engine_role::Both, engine_role::Decode, engine_role::Prefill }) {
    aQuery.mRole = role;
    if (const auto* engine = mEngines.Choose(aQuery, mFleet.Engines(), aNow)) {
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
  const auto* decode = mEngines.Choose(aQuery, mFleet.Engines(), aNow);
  if (decode == nullptr) {
    return std::nullopt;
  }
  aQuery.mRole = engine_role::Prefill;
  aQuery.mVersion = decode->mVersion;
  const auto* prefill = mEngines.Choose(aQuery, mFleet.Engines(), aNow);
  if (prefill == nullptr) {
    return std::nullopt;
  }
  auto& perToken = Measures(aRequest).mTransferSecondsPerToken;
  if (perToken * static_cast<double>(tokens) >= InPlaceSeconds(aRequest, aQuery)) {
    perToken *= kForgetTransfer;
    return std::nullopt;
  }
  return placement{ prefill, true, engine_role::Decode };
}

/// Time to compute the prompt where it would be generated, less the part that is cached there.
double
request_serving::InPlaceSeconds(const open_request& aRequest, const route_query& aQuery) const
{
  auto tokens = static_cast<double>(aRequest.Completion()->mPromptTokens);
  for (const auto& holder : aQuery.mHolders) {
    const auto* engine = mEngines.Find(holder.mEngine, mFleet.Engines());
    if (engine != nullptr && engine->mRole != engine_role::Prefill && engine->Admits()) {
      tokens = std::max(0.0, tokens - static_cast<double>(holder.mPieces * kPieceTokens));
      break;
    }
  }
  auto rate = mEngines.PrefillRate(aQuery.mService, aQuery.mModel, engine_role::Both);
  if (rate <= 0) {
    rate = mEngines.PrefillRate(aQuery.mService, aQuery.mModel, engine_role::Decode);
  }
  return tokens / (rate > 0 ? rate : kAssumedPrefillRate);
}

std::vector<believed_holder>
request_serving::Holders(const open_request& aRequest)
{
  auto holders = mBelief.Holders(aRequest.mPieces);
  bool dropped = false;
  for (const auto& holder : holders) {
    const auto* engine = mEngines.Find(holder.mEngine, mFleet.Engines());
    dropped = (engine != nullptr && !mBelief.Check(*engine)) || dropped;
  }
  return dropped ? mBelief.Holders(aRequest.mPieces) : holders;
}

std::uint64_t
request_serving::OutputEstimate(const open_request& aRequest) const
{
  const auto* completion = aRequest.Completion();
  if (completion == nullptr) {
    return 0;
  }
  // Callers often set a far higher maximum than they use.
  const auto measured = mMeasures.find(aRequest.mService->mRow.mName);
  const double mean =
    measured == mMeasures.end() ? service_measures{}.mOutputTokens : measured->second.mOutputTokens;
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
  const auto shares = AcquireShares(aRequest, placed, aNow, aOut);
  if (shares == start_result::Started) {
    StartAttempt(aRequest, placed, aNow, aOut);
  }
  return shares;
}

/// Takes what the attempt needs beyond the tickets that the request has already. The first time
/// that is one of the account's and the service's limit and of each role's; later, when the
/// request moves to an engine of another role, one of that role's.
request_serving::start_result
request_serving::AcquireShares(open_request& aRequest,
                               const placement& aPlacement,
                               instant aNow,
                               effect_list& aOut)
{
  const bool first = aRequest.mTickets.empty();
  std::vector<std::string> limits;
  if (first) {
    limits = { aRequest.mAccountLimit, aRequest.mService->mLimit };
  }
  auto roles = aRequest.mRoleHeld;
  if (aRequest.Plain() == nullptr) {
    roles[static_cast<std::size_t>(aPlacement.mEngine->mRole)] = true;
    if (aPlacement.mNextRole) {
      roles[static_cast<std::size_t>(*aPlacement.mNextRole)] = true;
    }
  }
  for (std::size_t i = 0; i < kRoles; ++i) {
    if (roles[i] && !aRequest.mRoleHeld[i]) {
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
    aRequest.mRoleHeld = roles;
    return start_result::Started;
  }
  const auto& denied = std::get<limit_denied>(decision);
  if (!aRequest.mShareWaitEnds) {
    aRequest.mShareWaitEnds = aNow + kShareWait;
  }
  // Work that has begun waits until its deadline rather than end unfinished.
  if (first && (denied.mExhausted || aNow >= *aRequest.mShareWaitEnds)) {
    Refuse(aRequest,
           { 429,
             "rate_limit_error",
             "limit_reached",
             "the limit " + denied.mLimit + " is used up",
             std::max(denied.mRetryAfter, kLongestShareTry) },
           aNow,
           aOut);
    return start_result::Refused;
  }
  aRequest.mNextShareTry =
    aNow + std::clamp(denied.mRetryAfter, kShortestShareTry, kLongestShareTry);
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
  aRequest.mRetryPaid = false;

  auto left = std::chrono::ceil<milliseconds>(aRequest.mDeadline - aNow);
  left = std::max(left, milliseconds{ 1 });
  // A plain service may compute for long before its first byte.
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
  // One id for each attempt: cancelling an old one must not stop a new one at the same engine.
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
