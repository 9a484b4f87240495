#include "exchange_p.h"

#include <algorithm>
#include <utility>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// The response to a prefill holds a handle and two numbers.
constexpr std::size_t kMaxPrefillResponseBytes = 16 * 1'024;
/// Another engine is sought when a prefill takes this multiple of its predicted time, but not
/// before `kMinPrefillLimit`. Work that is abandoned too early is done twice.
constexpr double kPrefillLimitFactor = 4;
constexpr milliseconds kMinPrefillLimit{ 1'300 };
/// Pause until another engine is sought again after none could be had.
constexpr milliseconds kSeekPause{ 200 };
/// How often the response of an open prefill looks whether another engine is still at work.
constexpr milliseconds kRunCheckPause{ 20 };

} // namespace

exchange::open_prefill::~open_prefill()
{
  if (mOwner.mOpenPrefill == this) {
    mOwner.mOpenPrefill = nullptr;
  }
  if (mAttempt) {
    mOwner.CloseAttempt(*mAttempt, backend_outcome::Cancelled);
  }
}

kj::Promise<exchange_end>
exchange::Prefill(const placement& aPlacement)
{
  const auto& engine = *aPlacement.mPrefill;
  const auto now = mContext.mClock.Now();
  mAttempt->mTicket = mContext.mLoadTracker.Begin(
    engine.mId, aPlacement.mComputeTokens, aPlacement.mPrefillTime, now);
  ++mPrefillsSent;
  mContext.mPrefixCacheIndex.OnPrefillStarted(
    engine.mId, mRequest.mGeneration->mSegments, kPrefillWaitFactor * aPlacement.mPrefillTime, now);
  forward_attempt attempt;
  attempt.mBackendId = engine.mId;
  attempt.mTimeLeft = TimeLeft();
  attempt.mPrefillOnly = true;
  attempt.mEnginePriority = EnginePriority();
  if (aPlacement.mFetchFrom != nullptr) {
    attempt.mFetchFrom = aPlacement.mFetchFrom->mAddress;
  }
  mAttempt->mSentAt = now;
  mAttempt->mTargetFetches = false;
  auto call = BuildCall(engine, attempt);
  auto plan = kj::heap<placement>(aPlacement);
  mAttempt->mTarget = engine;
  // The target is copied, as the directory may change before the prefill ends.
  auto target = kj::heap<backend_server>(*aPlacement.mTarget);
  plan->mTarget = target.get();
  plan->mPrefill = &mAttempt->mTarget;
  const auto limit = std::max(
    kMinPrefillLimit,
    std::chrono::duration_cast<milliseconds>(kPrefillLimitFactor * aPlacement.mPrefillTime));
  auto owned = kj::heap<open_prefill>(*this);
  auto& open = *owned;
  auto calling =
    open.mCall.wrap(mContext.mPool.Call(std::move(call)))
      .then(
        [this, &open](http_result aResult) { return OnPrefillCallEnd(open, std::move(aResult)); },
        [](kj::Exception&&) -> kj::Promise<prefill_end> {
          // Cancelled, as another engine has the request.
          return kj::NEVER_DONE;
        });
  auto seeking = mContext.mTimer.afterDelay(ToKj(limit))
                   .then([this, &open] { return OnPrefillSilent(open); })
                   .then([](exchange_end aEnd) { return prefill_end{ std::move(aEnd) }; });
  return calling.exclusiveJoin(kj::mv(seeking))
    .then([this, owned = kj::mv(owned), plan = kj::mv(plan), target = kj::mv(target)](
            prefill_end aEnd) mutable -> kj::Promise<exchange_end> {
      if (auto* end = std::get_if<exchange_end>(&aEnd)) {
        return std::move(*end);
      }
      auto& result = std::get<http_result>(aEnd);
      if (const auto* failure = std::get_if<http_failure>(&result)) {
        CloseAttempt(failure->mSent ? backend_outcome::Failed : backend_outcome::Unreachable);
        if (!failure->mSent) {
          --mPrefillsSent;
        }
        return OnNotExecuted(failure->mReason, failure->mSent);
      }
      const bool maySend = ReturnToPrefill(*owned);
      mAttempt->mBackendResponse = std::get<std::unique_ptr<http_answer>>(std::move(result));
      ReadResponseHead();
      if (BelongsToOtherRequest(mAttempt->mResponseHead)) {
        mAttempt->mBackendResponse = nullptr;
        CloseAttempt(backend_outcome::Failed);
        return OnNotExecuted("the answer to the prefill belongs to another request", true);
      }
      if (!maySend) {
        mAttempt->mBackendResponse = nullptr;
        CloseAttempt(backend_outcome::Answered);
        return exchange_end{ no_answer{ "no repeats are left" } };
      }
      return ReadBodyOrThrow(mAttempt->mBackendResponse->Body(),
                             kMaxPrefillResponseBytes,
                             mContext.mResponseBodies)
        .then(
          [this, plan = kj::mv(plan), target = kj::mv(target)](
            buffered_body aText) mutable -> kj::Promise<exchange_end> {
            mContext.mPool.Release(std::move(mAttempt->mBackendResponse),
                                   mAttempt->mResponseHead.mClosesConnection,
                                   mAttempt->mResponseHead.mKeepAlive);
            auto prefilled = OnPrefilled(*plan, aText.Text());
            return prefilled.attach(kj::mv(plan), kj::mv(target));
          },
          [this](kj::Exception&& aError) -> kj::Promise<exchange_end> {
            CloseAttempt(backend_outcome::Failed);
            return OnNotExecuted(aError.getDescription().cStr(), true);
          });
    });
}

kj::Promise<exchange_end>
exchange::OnPrefillSilent(open_prefill& aOpen)
{
  constexpr std::string_view kSilent = "the engine was silent";
  if (mOpenPrefill != nullptr) {
    // One engine beside the one that is tried is enough.
    aOpen.mCall.cancel(kj::StringPtr{ kSilent.data(), kSilent.size() });
    CloseAttempt(backend_outcome::Silent);
    return OnNotExecuted(kSilent, true);
  }
  LogOutcome("silent", "no prefill; seeking another engine");
  mExcludedServers.push_back(mAttempt->mTarget.mId);
  aOpen.mAttempt = std::move(mAttempt);
  mAttempt = std::make_unique<backend_attempt>();
  mAttempt->mEvents = aOpen.mAttempt->mEvents;
  mOpenPrefill = &aOpen;
  mSentBeforeSilentPrefill = mAttemptsSent;
  return SeekAnotherEngine();
}

kj::Promise<exchange_end>
exchange::SeekAnotherEngine()
{
  if (!HasAttemptsLeft()) {
    if (mOpenPrefill == nullptr) {
      constexpr std::string_view kNone = "no engine has computed the prompt";
      if (MayAwaitPlace() && mAttemptsSent < mRoute->mMaxAttempts) {
        return AwaitPlace(kNone);
      }
      return exchange_end{ no_answer{ std::string{ kNone } } };
    }
    return mContext.mTimer.afterDelay(ToKj(kSeekPause)).then([this] {
      return SeekAnotherEngine();
    });
  }
  return Attempt().then([this](exchange_end aEnd) -> kj::Promise<exchange_end> {
    if (mOpenPrefill == nullptr) {
      return aEnd;
    }
    return mContext.mTimer.afterDelay(ToKj(kSeekPause)).then([this] {
      return SeekAnotherEngine();
    });
  });
}

kj::Promise<exchange::prefill_end>
exchange::OnPrefillCallEnd(open_prefill& aOpen, http_result aResult)
{
  if (!aOpen.mAttempt) {
    return prefill_end{ std::move(aResult) };
  }
  if (mOpenPrefill != &aOpen) {
    // Another engine has the request since the response arrived.
    return kj::NEVER_DONE;
  }
  constexpr int kOk = 200;
  const auto* response = std::get_if<std::unique_ptr<http_answer>>(&aResult);
  if (response == nullptr || (*response)->mStatus != kOk) {
    // The other engine that is sought is the only way left.
    CloseAttempt(*aOpen.mAttempt, backend_outcome::Failed);
    mOpenPrefill = nullptr;
    return kj::NEVER_DONE;
  }
  if (mAttemptOpen) {
    // A run is not cancelled for a prefill, but it may still be refused.
    return mContext.mTimer.afterDelay(ToKj(kRunCheckPause))
      .then([this, &aOpen, result = std::move(aResult)]() mutable {
        return OnPrefillCallEnd(aOpen, std::move(result));
      });
  }
  return prefill_end{ std::move(aResult) };
}

bool
exchange::ReturnToPrefill(open_prefill& aOpen)
{
  if (!aOpen.mAttempt) {
    return true;
  }
  mOverlapLimit = nullptr;
  mAttempt->mBackendResponse = nullptr;
  CloseAttempt(backend_outcome::Cancelled);
  ReleaseUnusedKv();
  // A run may have been sent in the turns since the response arrived.
  mMayHaveExecuted = std::exchange(mAttemptOpen, false) || mMayHaveExecuted;
  mAttempt = std::move(aOpen.mAttempt);
  mOpenPrefill = nullptr;
  std::erase(mExcludedServers, mAttempt->mTarget.mId);
  LogOutcome("continued", "the prefill has ended");
  const std::uint32_t runs = mAttemptsSent > mSentBeforeSilentPrefill ? 1 : 0;
  return runs == 0 ||
         (mAttemptsSent < mRoute->mMaxAttempts &&
          mContext.mRetryBudget.TryTake(mService->mName, runs, Daemons(), mContext.mClock.Now()));
}

void
exchange::GiveUpOpenPrefill()
{
  if (mOpenPrefill == nullptr) {
    return;
  }
  auto& open = *std::exchange(mOpenPrefill, nullptr);
  LogOutcome("replaced", "silent prefill at server=" + open.mAttempt->mTarget.mId);
  CloseAttempt(*open.mAttempt, backend_outcome::Silent);
  open.mCall.cancel("another engine has the request");
}

} // namespace skylarkwind
