#include "state_server_p.h"

#include <algorithm>
#include <utility>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kMaxEncodings = 4;
constexpr std::size_t kMaxHolders = 8;
/// Daemons that a busy one names.
constexpr std::size_t kNamedHolders = 3;
/// Largest part that is sent, whatever the receiver asks for.
constexpr std::size_t kMaxPartBytes = std::size_t{ 16 } * 1'024;
/// An announcement with its bytes fits one datagram, so that the loss of another one does not make
/// it useless.
constexpr std::size_t kMaxPushedBytes = std::size_t{ 6 } * 1'024;
/// A receiver that has not asked for this long is no longer served.
constexpr milliseconds kReceiverTimeout{ 500 };
/// Texts and encodings that were not used for this long are freed.
constexpr milliseconds kIdleTime{ 5'000 };

} // namespace

state_server::state_server(const store_follower& aFollower,
                           std::string aAddress,
                           std::size_t aMaxReceivers,
                           const clock_source& aClock)
  : mFollower(aFollower)
  , mAddress(std::move(aAddress))
  , mMaxReceivers(aMaxReceivers)
  , mClock(aClock)
{
}

std::shared_ptr<const state_text>
state_server::Current()
{
  mUsedAt = mClock.Now();
  if (!mCurrent || mCurrentContent != mFollower.ContentRevision()) {
    mCurrentContent = mFollower.ContentRevision();
    mCurrent = std::make_shared<const state_text>(
      MakeStateText(mFollower.Objects(), mFollower.SyncedRevision()));
  }
  return mCurrent;
}

std::shared_ptr<const state_text>
state_server::Earlier(std::uint64_t aRevision, const std::string& aDigest)
{
  if (aRevision == 0) {
    return nullptr;
  }
  if (mEarlier && !aDigest.empty() && mEarlier->mDigest == aDigest) {
    return mEarlier;
  }
  const auto objects = mFollower.ObjectsAt(aRevision);
  if (!objects) {
    return nullptr;
  }
  auto text = std::make_shared<const state_text>(MakeStateText(*objects, aRevision));
  if (!aDigest.empty() && text->mDigest != aDigest) {
    return nullptr;
  }
  mEarlier = std::move(text);
  return mEarlier;
}

const encoded_state&
state_server::Encode(std::uint64_t aBaseRevision, const std::string& aBaseDigest)
{
  const auto current = Current();
  const auto known = std::find_if(mEncodings.begin(), mEncodings.end(), [&](const auto& aEncoding) {
    return aEncoding.mDigest == current->mDigest && !aEncoding.mBaseDigest.empty() &&
           aEncoding.mBaseDigest == aBaseDigest;
  });
  if (known != mEncodings.end()) {
    return *known;
  }
  const auto base = Earlier(aBaseRevision, aBaseDigest);
  const auto same = std::find_if(mEncodings.begin(), mEncodings.end(), [&](const auto& aEncoding) {
    return aEncoding.mDigest == current->mDigest &&
           aEncoding.mBaseDigest == (base ? base->mDigest : std::string{});
  });
  if (same != mEncodings.end()) {
    return *same;
  }
  Keep(EncodeState(mFollower.Kind(), *current, base.get()));
  return mEncodings.front();
}

void
state_server::Keep(encoded_state aState)
{
  mEncodings.push_front(std::move(aState));
  if (mEncodings.size() > kMaxEncodings) {
    mEncodings.pop_back();
  }
}

const encoded_state*
state_server::FindEncoding(const std::string& aId) const
{
  const auto found = std::find_if(mEncodings.begin(), mEncodings.end(), [&](const auto& aEncoding) {
    return !aId.empty() && aEncoding.mId == aId;
  });
  return found == mEncodings.end() ? nullptr : &*found;
}

bool
state_server::Admit(const std::string& aReceiver)
{
  const auto now = mClock.Now();
  std::erase_if(mReceivers,
                [&](const auto& aEntry) { return now - aEntry.second > kReceiverTimeout; });
  if (!mReceivers.contains(aReceiver) && mReceivers.size() >= mMaxReceivers) {
    return false;
  }
  mReceivers[aReceiver] = now;
  return true;
}

std::vector<std::string>
state_server::HoldersOf(const std::string& aDigest, const std::string& aExcept) const
{
  std::vector<std::string> addresses;
  for (const auto& known : mHolders) {
    if (known.mDigest == aDigest && known.mAddress != aExcept && addresses.size() < kNamedHolders) {
      addresses.push_back(known.mAddress);
    }
  }
  return addresses;
}

void
state_server::AddHolder(const std::string& aAddress, const std::string& aDigest)
{
  std::erase_if(mHolders, [&](const auto& aKnown) { return aKnown.mAddress == aAddress; });
  mHolders.push_front({ aAddress, aDigest });
  if (mHolders.size() > kMaxHolders) {
    mHolders.pop_back();
  }
}

part_response
state_server::Serve(const part_request& aRequest)
{
  part_response response;
  response.mOutcome = part_response::outcome::Lacking;
  if (!mFollower.Listed() || mFollower.SyncedRevision() < aRequest.mLeastRevision) {
    return response;
  }
  const auto current = Current();
  response.mState.mKind = mFollower.Kind();
  response.mState.mRevision = mFollower.SyncedRevision();
  response.mState.mNewestRevision = mFollower.NewestRevision();
  response.mState.mDigest = current->mDigest;
  if (aRequest.mBaseDigest == current->mDigest) {
    response.mOutcome = part_response::outcome::Same;
    return response;
  }
  const auto* encoding = FindEncoding(aRequest.mEncoding);
  if (encoding == nullptr) {
    encoding = &Encode(aRequest.mBaseRevision, aRequest.mBaseDigest);
  }
  if (!Admit(aRequest.mReceiver)) {
    response.mOutcome = part_response::outcome::Busy;
    response.mOthers = HoldersOf(current->mDigest, aRequest.mReceiver);
    return response;
  }
  const auto continues =
    encoding->mId == aRequest.mEncoding && aRequest.mOffset < encoding->mBytes.size();
  response.mOutcome = part_response::outcome::Part;
  response.mOffset = continues ? aRequest.mOffset : 0;
  response.mTotalBytes = encoding->mBytes.size();
  response.mState = *encoding;
  if (encoding->mDigest == current->mDigest) {
    response.mState.mRevision = mFollower.SyncedRevision();
    response.mState.mNewestRevision = mFollower.NewestRevision();
    response.mState.mAfterOutage = mFollower.AfterOutage();
  }
  response.mState.mAge = mFollower.Age(mClock.Now());
  response.mState.mBytes =
    encoding->mBytes.substr(response.mOffset, std::min(aRequest.mBytes, kMaxPartBytes));
  mServedBytes += response.mState.mBytes.size();
  if (response.mOffset + response.mState.mBytes.size() == response.mTotalBytes) {
    mReceivers.erase(aRequest.mReceiver);
    AddHolder(aRequest.mReceiver, encoding->mDigest);
  }
  return response;
}

state_announcement
state_server::MakeAnnouncement(bool aForwarded)
{
  auto state = Encode(mFollower.PreviousRevision().value_or(0), {});
  state.mRevision = mFollower.SyncedRevision();
  state.mNewestRevision = mFollower.NewestRevision();
  state.mAfterOutage = mFollower.AfterOutage();
  state.mAge = mFollower.Age(mClock.Now());
  if (state.mBytes.size() > kMaxPushedBytes) {
    state.mBytes.clear();
  }
  return { std::move(state), mAddress, aForwarded };
}

void
state_server::OnTick(instant aNow)
{
  if (mCurrent && aNow - mUsedAt > kIdleTime) {
    mCurrent.reset();
    mEarlier.reset();
    mEncodings.clear();
    mHolders.clear();
  }
}

} // namespace skylarkwind
