#include "state_receiver_p.h"

#include "skylarkwind/http_pool.h"
#include "skylarkwind/log.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// How long a request for a state waits before its caller may ask for a newer one.
constexpr milliseconds kFetchWait{ 250 };
/// Announcements that are kept until the state that they build on has been applied.
constexpr std::size_t kMaxKept = 8;

const char*
NameOf(part_response::outcome aOutcome)
{
  switch (aOutcome) {
    case part_response::outcome::Part:
      return "part";
    case part_response::outcome::Lacking:
      return "lacking";
    case part_response::outcome::Busy:
      return "busy";
    case part_response::outcome::Same:
      return "same";
    case part_response::outcome::Unsupported:
      return "unsupported";
    case part_response::outcome::Failed:
      return "failed";
  }
  return "";
}

} // namespace

state_receiver::state_receiver(const store_follower& aFollower,
                               state_server& aServer,
                               std::string aAddress,
                               kj::Timer& aTimer,
                               const clock_source& aClock,
                               std::uint64_t aRandomSeed,
                               state_receiver_callbacks aCallbacks)
  : mFollower(aFollower)
  , mServer(aServer)
  , mAddress(std::move(aAddress))
  , mTimer(aTimer)
  , mClock(aClock)
  , mCallbacks(std::move(aCallbacks))
  , mPlan(transfer_settings{}, aRandomSeed)
{
}

void
state_receiver::OnAnnouncement(const state_announcement& aAnnouncement)
{
  const auto& state = aAnnouncement.mState;
  const auto now = mClock.Now();
  if (mFollower.Listed() && state.mRevision <= mFollower.SyncedRevision()) {
    return;
  }
  mPlan.OnApplied(mFollower.SyncedRevision());
  if (!state.mBytes.empty()) {
    if (ApplyPushed(aAnnouncement)) {
      return;
    }
    if (mPlan.IsProgressing(now) && mKept.size() < kMaxKept) {
      mKept.push_back(aAnnouncement);
      return;
    }
  }
  mPlan.OnOffer(state.mRevision, aAnnouncement.mAddress, now);
  Continue();
}

kj::Promise<void>
state_receiver::Fetch(std::uint64_t aRevision)
{
  mPlan.OnNeeded(aRevision, mCallbacks.mSources(), mClock.Now());
  auto waiting = kj::newPromiseAndFulfiller<void>();
  mWaiting.push_back(kj::mv(waiting.fulfiller));
  Continue();
  return waiting.promise.exclusiveJoin(mTimer.afterDelay(ToKj(kFetchWait)));
}

void
state_receiver::OnTick(instant aNow)
{
  mServer.OnTick(aNow);
  mPlan.OnApplied(mFollower.SyncedRevision());
  std::erase_if(mKept, [this](const auto& aKept) {
    return aKept.mState.mRevision <= mFollower.SyncedRevision();
  });
  std::erase_if(mWaiting, [](auto& aWaiting) { return !aWaiting->isWaiting(); });
  if (!mKept.empty() && !mPlan.IsProgressing(aNow)) {
    // The state that they build on does not come.
    for (const auto& kept : std::exchange(mKept, {})) {
      mPlan.OnOffer(kept.mState.mRevision, kept.mAddress, aNow);
    }
  }
  Continue();
}

void
state_receiver::Continue()
{
  std::erase_if(mPartial, [this](const auto& aEntry) { return !mPlan.IsActive(aEntry.first); });
  for (const auto& order : mPlan.TakeOrders(mClock.Now())) {
    Request(order);
  }
}

void
state_receiver::Request(const part_order& aOrder)
{
  const auto added = mPartial.try_emplace(aOrder.mTransfer);
  auto& partial = added.first->second;
  if (added.second) {
    partial.mBeganAt = mClock.Now();
    partial.mBase = mFollower.Listed() ? mServer.Current() : nullptr;
  }
  part_request request;
  request.mKind = mFollower.Kind();
  if (partial.mBase) {
    request.mBaseRevision = partial.mBase->mRevision;
    request.mBaseDigest = partial.mBase->mDigest;
  }
  request.mLeastRevision = aOrder.mLeastRevision;
  request.mEncoding = aOrder.mEncoding;
  request.mOffset = aOrder.mOffset;
  request.mBytes = aOrder.mBytes;
  request.mReceiver = mAddress;
  partial.mAddress = aOrder.mAddress;
  auto fetching =
    mTimer.timeoutAfter(ToKj(aOrder.mLimit), mCallbacks.mFetchPart(aOrder.mAddress, request));
  partial.mFetching =
    fetching
      .then(
        [this, aOrder](const part_response& aResponse) { return OnResponse(aOrder, aResponse); },
        [this, aOrder](kj::Exception&& aError) {
          OnPartMissed(aOrder, aError.getDescription().cStr());
          return kj::Promise<void>{ kj::READY_NOW };
        })
      .then([this] {
        // Not in this event, as going on may drop the promise of a request.
        mContinuing = kj::evalLater([this] { Continue(); }).eagerlyEvaluate(nullptr);
      })
      .eagerlyEvaluate([](kj::Exception&& aError) {
        Log(log_level::Error, "peers", aError.getDescription().cStr());
      });
}

void
state_receiver::OnPartMissed(const part_order& aOrder, const std::string& aReason)
{
  Log(log_level::Info,
      "peers",
      "part of a state not received kind=" + mFollower.Kind() + " from=" + aOrder.mAddress +
        " offset=" + std::to_string(aOrder.mOffset) + " bytes=" + std::to_string(aOrder.mBytes) +
        " limit_ms=" + std::to_string(aOrder.mLimit.count()) + " reason=\"" + aReason + '"');
  if (const auto found = mPartial.find(aOrder.mTransfer); found != mPartial.end()) {
    ++found->second.mFailures;
  }
  mPlan.OnTimeout(aOrder.mTransfer, mClock.Now());
}

kj::Promise<void>
state_receiver::FetchSnapshot(const part_order& aOrder)
{
  return mCallbacks.mFetchSnapshot(aOrder.mAddress)
    .then([this, aOrder](const std::optional<change_batch>& aBatch) {
      if (!aBatch || aBatch->mTo < aOrder.mLeastRevision) {
        mPlan.OnFailure(aOrder.mTransfer, mClock.Now());
        return;
      }
      mCallbacks.mOnState(*aBatch, {});
      mPlan.End(aOrder.mTransfer);
      WakeWaiting();
    });
}

kj::Promise<void>
state_receiver::OnResponse(const part_order& aOrder, const part_response& aResponse)
{
  const auto now = mClock.Now();
  if (!mPlan.IsActive(aOrder.mTransfer)) {
    return kj::READY_NOW;
  }
  switch (aResponse.mOutcome) {
    case part_response::outcome::Part:
      OnPart(aOrder, aResponse);
      return kj::READY_NOW;
    case part_response::outcome::Same:
      mPlan.End(aOrder.mTransfer);
      mCallbacks.mOnSame(aResponse.mState.mRevision);
      WakeWaiting();
      return kj::READY_NOW;
    case part_response::outcome::Unsupported:
      if (mPlan.OnUnsupported(aOrder.mTransfer, now)) {
        return FetchSnapshot(aOrder);
      }
      break;
    case part_response::outcome::Busy:
      mPlan.OnBusy(aOrder.mTransfer, aResponse.mOthers, now);
      break;
    default:
      mPlan.OnFailure(aOrder.mTransfer, now);
      break;
  }
  Log(log_level::Debug,
      "peers",
      "no part of a state kind=" + mFollower.Kind() + " from=" + aOrder.mAddress +
        " response=" + NameOf(aResponse.mOutcome));
  return kj::READY_NOW;
}

void
state_receiver::OnPart(const part_order& aOrder, const part_response& aResponse)
{
  const auto& state = aResponse.mState;
  mReceivedBytes += state.mBytes.size();
  const part_arrival arrival{
    state.mId, state.mRevision, aResponse.mOffset, state.mBytes.size(), aResponse.mTotalBytes
  };
  auto& partial = mPartial[aOrder.mTransfer];
  const auto use = mPlan.OnPart(aOrder.mTransfer, arrival, mClock.Now());
  if (use == part_use::Rejected) {
    return;
  }
  if (use == part_use::Begins) {
    partial.mBytes.clear();
  }
  partial.mBytes += state.mBytes;
  ++partial.mParts;
  if (mPlan.IsComplete(aOrder.mTransfer)) {
    OnComplete(aOrder, aResponse);
  }
}

void
state_receiver::OnComplete(const part_order& aOrder, const part_response& aLast)
{
  auto& partial = mPartial[aOrder.mTransfer];
  auto state = aLast.mState;
  state.mBytes = std::move(partial.mBytes);
  const auto took =
    std::chrono::duration_cast<milliseconds>(mClock.Now() - partial.mBeganAt).count();
  const auto text =
    " kind=" + mFollower.Kind() + " revision=" + std::to_string(state.mRevision) +
    " bytes=" + std::to_string(state.mBytes.size()) +
    " text_bytes=" + std::to_string(state.mTextBytes) + " parts=" + std::to_string(partial.mParts) +
    " failures=" + std::to_string(partial.mFailures) + " from=" + aOrder.mAddress +
    " took_ms=" + std::to_string(took) + " age_ms=" + std::to_string(state.mAge.count());
  const state_arrival arrival{ false, state.mBytes.size(), state.mAge };
  const auto base = state.mBaseDigest.empty() ? nullptr : partial.mBase;
  mPlan.End(aOrder.mTransfer);
  if (Apply(std::move(state), base ? std::string_view{ base->mText } : "", arrival)) {
    Log(log_level::Info, "peers", "state fetched" + text);
  } else {
    Log(log_level::Warning, "peers", "fetched state is unusable" + text);
  }
  WakeWaiting();
}

bool
state_receiver::ApplyPushed(const state_announcement& aAnnouncement)
{
  const auto& state = aAnnouncement.mState;
  std::shared_ptr<const state_text> base;
  if (!state.mBaseDigest.empty()) {
    base = mFollower.Listed() ? mServer.Current() : nullptr;
    if (!base || base->mDigest != state.mBaseDigest) {
      return false;
    }
  }
  const state_arrival arrival{ true, state.mBytes.size(), state.mAge };
  mReceivedBytes += state.mBytes.size();
  if (!Apply(state, base ? std::string_view{ base->mText } : "", arrival)) {
    Log(log_level::Warning,
        "peers",
        "announced state is unusable kind=" + mFollower.Kind() + " from=" + aAnnouncement.mAddress);
    return false;
  }
  Log(log_level::Info,
      "peers",
      "state received with its announcement kind=" + mFollower.Kind() + " revision=" +
        std::to_string(state.mRevision) + " bytes=" + std::to_string(state.mBytes.size()) +
        " text_bytes=" + std::to_string(state.mTextBytes) + " from=" + aAnnouncement.mAddress +
        " age_ms=" + std::to_string(state.mAge.count()));
  return true;
}

bool
state_receiver::Apply(encoded_state aState, std::string_view aBase, const state_arrival& aArrival)
{
  const auto text = DecodeState(aState, aBase);
  auto objects = text ? ParseStateText(*text) : std::nullopt;
  if (!objects) {
    return false;
  }
  change_batch batch{ mFollower.Kind(),    aState.mNewestRevision,
                      aState.mRevision,    true,
                      aState.mAfterOutage, {} };
  batch.mAge = aState.mAge;
  for (auto& object : *objects) {
    batch.mChanges.push_back({ std::move(object), false });
  }
  mServer.Keep(std::move(aState));
  mCallbacks.mOnState(batch, aArrival);
  mPlan.OnApplied(mFollower.SyncedRevision());
  ApplyKept();
  return true;
}

void
state_receiver::ApplyKept()
{
  for (auto& kept : std::exchange(mKept, {})) {
    if (kept.mState.mRevision > mFollower.SyncedRevision() && !ApplyPushed(kept)) {
      mKept.push_back(std::move(kept));
    }
  }
}

void
state_receiver::WakeWaiting()
{
  for (auto& waiting : std::exchange(mWaiting, {})) {
    waiting->fulfill();
  }
}

} // namespace skylarkwind
