#include "exchange_p.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>

#include <algorithm>
#include <utility>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;
using milliseconds_f = std::chrono::duration<double, std::milli>;

constexpr std::size_t kReadBufferBytes = 8 * 1'024;
/// Limit of one event, and of the comments between two events. An event holds the tokens of a few
/// decoding steps.
constexpr std::size_t kMaxEventBytes = 64 * 1'024;
/// A replacement for a resumable stream is sought when its engine sends no complete event for
/// longer than this and than `kSilenceGapFactor` times the route's target event gap.
constexpr milliseconds kMinSilence{ 700 };
constexpr int kSilenceGapFactor = 4;
/// Pause until another replacement is sought after none could be had.
constexpr milliseconds kReplacementPause{ 200 };
/// How long a silent stream stays open beside its replacement. Engines must not work on the same
/// request for more than 400 ms; the rest covers the delays of the network and of this process.
constexpr milliseconds kMaxOverlap{ 300 };

/// The media type of a response in lower case, without parameters.
std::string
MediaType(const response_head& aHead)
{
  for (const auto& [name, value] : aHead.mHeaders) {
    if (absl::EqualsIgnoreCase(name, "Content-Type")) {
      const absl::string_view whole{ value };
      return absl::AsciiStrToLower(absl::StripAsciiWhitespace(whole.substr(0, whole.find(';'))));
    }
  }
  return {};
}

} // namespace

kj::Promise<exchange_end>
exchange::RelayStream()
{
  const auto& head = mAttempt->mResponseHead;
  if (mResponse.Started() && (head.mStatus != mStreamStatus || MediaType(head) != mStreamType)) {
    mAttempt->mBackendResponse = nullptr;
    CloseAttempt(backend_outcome::Failed);
    return OnAttemptFailed("the resumed stream has another status or content type");
  }
  auto& attempt = *mAttempt;
  attempt.mReadBuffer = kj::heapArray<kj::byte>(kReadBufferBytes);
  attempt.mLastEventAt = mContext.mClock.Now();
  attempt.mSilentSince = attempt.mLastEventAt;
  attempt.mBytesWithoutEvent = 0;
  attempt.mStreaming = true;
  if (!mSilentAttempt) {
    StartSilenceWatch();
  }
  if (mStreamEnd) {
    return ReadEvents(attempt);
  }
  auto end = kj::newPromiseAndFulfiller<exchange_end>();
  mStreamEnd = kj::mv(end.fulfiller);
  mRelaying =
    ReadEvents(attempt)
      .then([this](exchange_end aEnd) { return OnAttemptsEnd(std::move(aEnd)); })
      .eagerlyEvaluate([this](kj::Exception&& aError) { EndStream(EndOfFailure(aError)); });
  return kj::mv(end.promise);
}

kj::Promise<exchange_end>
exchange::ReadEvents(backend_attempt& aAttempt)
{
  return aAttempt.mBackendResponse->Body()
    .tryRead(aAttempt.mReadBuffer.begin(), 1, aAttempt.mReadBuffer.size())
    .then([this, &aAttempt](size_t aBytes) { return OnStreamBytes(aAttempt, aBytes); },
          [this, &aAttempt](kj::Exception&& aError) {
            mContext.mCrashDetector.OnCut(aAttempt.mTarget, mRequest.mSharedParts);
            return OnStreamFailed(aAttempt, aError.getDescription().cStr());
          });
}

kj::Promise<exchange_end>
exchange::OnStreamBytes(backend_attempt& aAttempt, std::size_t aBytes)
{
  if (aBytes == 0) {
    return OnStreamEnd(aAttempt);
  }
  auto& events = aAttempt.mEvents;
  const auto before = events.Events();
  const auto complete =
    events.Feed({ reinterpret_cast<const char*>(aAttempt.mReadBuffer.begin()), aBytes });
  mBytesReceived += aBytes;
  // Only complete events count as progress: a stalled engine may still send comments or parts of an
  // event.
  aAttempt.mBytesWithoutEvent += aBytes;
  if (events.Events() > before) {
    aAttempt.mBytesWithoutEvent = 0;
    SelectStream(aAttempt);
    OnEvents(before == 0);
  }
  if (aAttempt.mBytesWithoutEvent > kMaxEventBytes || events.Incomplete().size() > kMaxEventBytes) {
    return OnStreamFailed(aAttempt, "the stream sends bytes without events");
  }
  if (complete.empty() || &aAttempt != mAttempt.get() || mSilentAttempt ||
      (!mResponse.Started() && events.Events() == 0)) {
    return ReadEvents(aAttempt);
  }
  if (!mResponse.Started()) {
    mStreamStatus = aAttempt.mResponseHead.mStatus;
    mStreamType = MediaType(aAttempt.mResponseHead);
    mResponse.StartStream(static_cast<unsigned int>(mStreamStatus),
                          aAttempt.mResponseHead.mHeaders);
  }
  aAttempt.mWriting = true;
  return mResponse.Write(complete).then([this, &aAttempt, since = mContext.mClock.Now()] {
    aAttempt.mWriting = false;
    // Nothing is read from the server while the caller takes what was sent. Comments do not end a
    // silence.
    aAttempt.mSilentSince += mContext.mClock.Now() - since;
    return ReadEvents(aAttempt);
  });
}

kj::Promise<exchange_end>
exchange::OnStreamFailed(backend_attempt& aAttempt, std::string_view aReason)
{
  if (&aAttempt == mSilentAttempt.get()) {
    // Its replacement is the only way left. The promise that runs is `mRelaying`, so it is kept
    // until the next replacement is sought.
    CloseAttempt(*mSilentAttempt, backend_outcome::Failed);
    LogOutcome("replaced", aReason);
    mSilentAttempt.reset();
    std::swap(mRelaying, mReplacement);
    if (mAttempt->mStreaming) {
      StartSilenceWatch();
    }
    return kj::NEVER_DONE;
  }
  mSilenceWatch = nullptr;
  mAttempt->mStreaming = false;
  mAttempt->mBackendResponse = nullptr;
  CloseAttempt(backend_outcome::Failed);
  return OnAttemptFailed(aReason);
}

void
exchange::OnEvents(bool aFirst)
{
  const auto now = mContext.mClock.Now();
  mContext.mLoadTracker.OnFirstResponse(*mAttempt->mTicket, now);
  if (mFirstEventAt) {
    mLongestEventGap = std::max(mLongestEventGap, now - mAttempt->mLastEventAt);
  }
  mFirstEventAt = mFirstEventAt.value_or(now);
  CountUsage();
  mAttempt->mLastEventAt = now;
  mAttempt->mSilentSince = now;
  mAttempt->mSilenceLogged = false;
  if (aFirst && mRequest.mGeneration) {
    LearnPromptTime(mAttempt->mPlacement, now);
    mContext.mPrefixCacheIndex.OnTokensAdded(mAttempt->mTarget.mId, mAttempt->mTargetAddedTokens);
    mContext.mPrefixCacheIndex.OnCached(
      mAttempt->mTarget.mId, mRequest.mGeneration->mSegments, now);
    mContext.mPrefixUpdates.Notify();
  }
}

kj::Promise<exchange_end>
exchange::OnStreamEnd(backend_attempt& aAttempt)
{
  if (!aAttempt.mEvents.Incomplete().empty() || !mResponse.Started()) {
    mContext.mCrashDetector.OnCut(aAttempt.mTarget, mRequest.mSharedParts);
    return OnStreamFailed(aAttempt, "the stream ended within an event");
  }
  SelectStream(aAttempt);
  mSilenceWatch = nullptr;
  mContext.mCrashDetector.OnAnswerEnd(
    mAttempt->mTarget, mRequest.mSharedParts, !mAttempt->mBackendResponse->EndsWithConnection());
  mContext.mPool.Release(std::move(mAttempt->mBackendResponse),
                         mAttempt->mResponseHead.mClosesConnection,
                         mAttempt->mResponseHead.mKeepAlive);
  CloseAttempt(backend_outcome::Answered);
  if (mRequest.mGeneration && mAttempt->mEvents.Events() > 1) {
    mContext.mEngineModels.At(mService->mName)
      .OnLongestEventGap(milliseconds_f{ mLongestEventGap }.count());
  }
  return exchange_end{ stream_complete{} };
}

milliseconds
exchange::SilenceLimit() const
{
  return std::max(kMinSilence, mRoute->mTargetEventGap * kSilenceGapFactor);
}

bool
exchange::MayReplace() const
{
  // A server that has left the directory still ends the streams that it has.
  return mRoute->IsRetryable() && HasAttemptsLeft() &&
         mContext.mDirectory.Find(mAttempt->mTarget.mId) != nullptr;
}

void
exchange::StartSilenceWatch()
{
  // Not in the turn of its caller, which still uses the attempts and their promises.
  mSilenceWatch = kj::evalLater([this] { return WatchSilence(); }).eagerlyEvaluate(nullptr);
}

kj::Promise<void>
exchange::WatchSilence()
{
  if (!mRoute->IsRetryable()) {
    return kj::READY_NOW;
  }
  const auto now = mContext.mClock.Now();
  const auto forFirstEvent =
    mAttempt->mEvents.Events() == 0 ? mRoute->mTargetLatency : milliseconds{ 0 };
  const auto due =
    std::max(mAttempt->mSilentSince + SilenceLimit() + forFirstEvent, mNextReplacementAt);
  const auto left = std::chrono::ceil<milliseconds>(due - now);
  // The first event shortens the limit.
  const auto pause = left > milliseconds{ 0 } ? std::min(left, SilenceLimit()) : kReplacementPause;
  if (left <= milliseconds{ 0 } && !mAttempt->mWriting && MayReplace()) {
    SeekReplacement();
    return kj::READY_NOW;
  }
  return mContext.mTimer.afterDelay(ToKj(pause)).then([this] { return WatchSilence(); });
}

void
exchange::SeekReplacement()
{
  if (!std::exchange(mAttempt->mSilenceLogged, true)) {
    LogOutcome("silent", "no event; seeking a replacement");
  }
  mOverlapLimit = nullptr;
  mOverlapSince.reset();
  mExcludedServers.push_back(mAttempt->mTarget.mId);
  mSilentAttempt = std::move(mAttempt);
  mAttempt = std::make_unique<backend_attempt>();
  mAttempt->mEvents = mSilentAttempt->mEvents;
  mAttempt->mEvents.DiscardIncomplete();
  mReplacement =
    Attempt()
      .then([this](exchange_end aEnd) { return OnAttemptsEnd(std::move(aEnd)); })
      .eagerlyEvaluate([this](kj::Exception&& aError) { EndStream(EndOfFailure(aError)); });
}

void
exchange::OnReplacementSent()
{
  const auto now = mContext.mClock.Now();
  const auto over = mOverlapSince.value_or(now) + kMaxOverlap;
  const auto left = std::max(milliseconds{ 0 }, std::chrono::ceil<milliseconds>(over - now));
  mAttempt->mCallSent = true;
  mOverlapLimit = mContext.mTimer.afterDelay(ToKj(left))
                    .then([this] {
                      if (mSilentAttempt) {
                        TakeReplacement();
                      }
                    })
                    .eagerlyEvaluate(nullptr);
}

void
exchange::RecordOverlap()
{
  if (mSilentAttempt && !mOverlapSince) {
    mOverlapSince = mAttempt->mSentAt;
  }
}

void
exchange::SelectStream(const backend_attempt& aAttempt)
{
  if (!mSilentAttempt) {
    return;
  }
  if (&aAttempt == mSilentAttempt.get()) {
    mReplacement = nullptr;
    KeepSilentStream("the server went on");
  } else {
    TakeReplacement();
  }
}

void
exchange::TakeReplacement()
{
  // The replacement's promise may be the one that runs; it is only moved.
  mRelaying = kj::mv(mReplacement);
  LogOutcome("replaced", "silent server=" + mSilentAttempt->mTarget.mId);
  CloseAttempt(*mSilentAttempt, backend_outcome::Silent);
  mSilentAttempt.reset();
  if (mAttempt->mStreaming) {
    StartSilenceWatch();
  }
}

void
exchange::KeepSilentStream(std::string_view aReason)
{
  CloseAttempt(backend_outcome::Cancelled);
  ReleaseUnusedKv();
  if (std::exchange(mAttemptOpen, false) && !mAttempt->mCallSent) {
    --mAttemptsSent;
  }
  if (!mAttempt->mTarget.mId.empty()) {
    LogOutcome("continued", aReason);
  }
  mAttempt = std::move(mSilentAttempt);
  std::erase(mExcludedServers, mAttempt->mTarget.mId);
  mNextReplacementAt = mContext.mClock.Now() + kReplacementPause;
  StartSilenceWatch();
}

kj::Promise<void>
exchange::OnAttemptsEnd(exchange_end aEnd)
{
  // The silent server may have failed after it was decided that there is no replacement.
  const auto* none = std::get_if<no_answer>(&aEnd);
  if (none != nullptr && MayAwaitPlace() && mRoute->IsRetryable() && HasAttemptsLeft()) {
    return AwaitPlace(none->mReason).then([this](exchange_end aNext) {
      return OnAttemptsEnd(std::move(aNext));
    });
  }
  EndStream(std::move(aEnd));
  return kj::READY_NOW;
}

void
exchange::EndStream(exchange_end aEnd)
{
  if (mSilentAttempt) {
    const auto* none = std::get_if<no_answer>(&aEnd);
    KeepSilentStream(none != nullptr ? none->mReason : "no replacement");
    return;
  }
  mStreamEnd->fulfill(std::move(aEnd));
}

void
exchange::EndAttempts()
{
  mSilenceWatch = nullptr;
  mOverlapLimit = nullptr;
  mReplacement = nullptr;
  mRelaying = nullptr;
  if (mSilentAttempt) {
    CloseAttempt(*mSilentAttempt, backend_outcome::Cancelled);
    mSilentAttempt.reset();
  }
  mAttempt->mBackendResponse = nullptr;
  CloseAttempt(backend_outcome::Cancelled);
}

} // namespace skylarkwind
