#include "skylarkwind/transfer_plan.h"

#include <algorithm>

namespace skylarkwind {

namespace {

constexpr std::size_t kMaxTransfers = 2;
constexpr std::size_t kMaxSources = 16;

} // namespace

transfer_plan::transfer_plan(transfer_settings aSettings, std::uint64_t aRandomSeed)
  : mSettings(aSettings)
  , mRandom(aRandomSeed)
{
}

transfer_plan::transfer*
transfer_plan::Find(std::uint64_t aTransfer)
{
  const auto found = std::find_if(mTransfers.begin(), mTransfers.end(), [&](const auto& aKnown) {
    return aKnown.mId == aTransfer;
  });
  return found == mTransfers.end() ? nullptr : &*found;
}

const transfer_plan::transfer*
transfer_plan::Find(std::uint64_t aTransfer) const
{
  return const_cast<transfer_plan*>(this)->Find(aTransfer); // NOLINT
}

void
transfer_plan::AddSource(transfer& aTransfer, const std::string& aAddress)
{
  auto& sources = aTransfer.mSources;
  if (sources.size() < kMaxSources &&
      std::find(sources.begin(), sources.end(), aAddress) == sources.end()) {
    sources.push_back(aAddress);
  }
}

transfer_plan::transfer*
transfer_plan::Begin(std::uint64_t aRevision, instant aNow)
{
  if (mTransfers.size() == kMaxTransfers) {
    mTransfers.pop_back();
  }
  transfer begun;
  begun.mId = ++mLastId;
  begun.mRevision = aRevision;
  begun.mPartBytes = mSettings.mMaxPartBytes;
  begun.mPartLimit = mSettings.mMinPartLimit;
  begun.mNextAt = aNow;
  begun.mProgressAt = aNow;
  mTransfers.push_back(std::move(begun));
  return &mTransfers.back();
}

void
transfer_plan::OnOffer(std::uint64_t aRevision, const std::string& aAddress, instant aNow)
{
  if (aRevision > mApplied || mApplied == 0) {
    OnNeeded(aRevision, { aAddress }, aNow);
  }
}

void
transfer_plan::OnNeeded(std::uint64_t aRevision,
                        const std::vector<std::string>& aAddresses,
                        instant aNow)
{
  if (aRevision < mApplied) {
    return;
  }
  const bool known = std::any_of(mTransfers.begin(), mTransfers.end(), [&](const auto& aTransfer) {
    return aTransfer.mRevision >= aRevision;
  });
  if (!known) {
    Begin(aRevision, aNow);
  }
  for (auto& transfer : mTransfers) {
    if (transfer.mRevision > aRevision) {
      continue;
    }
    const bool hadNone = transfer.mSources.empty();
    for (const auto& address : aAddresses) {
      AddSource(transfer, address);
    }
    if (hadNone) {
      transfer.mNextAt = aNow;
    }
  }
}

void
transfer_plan::OnApplied(std::uint64_t aRevision)
{
  if (aRevision <= mApplied) {
    return;
  }
  mApplied = aRevision;
  std::erase_if(mTransfers, [&](const auto& aTransfer) { return aTransfer.mRevision <= mApplied; });
}

std::vector<part_order>
transfer_plan::TakeOrders(instant aNow)
{
  std::vector<part_order> orders;
  for (auto& transfer : mTransfers) {
    const bool complete = transfer.mTotalBytes > 0 && transfer.mOffset >= transfer.mTotalBytes;
    if (complete || transfer.mWaitsForPart || transfer.mSources.empty() ||
        aNow < transfer.mNextAt) {
      continue;
    }
    transfer.mWaitsForPart = true;
    orders.push_back({ transfer.mId,
                       transfer.mSources.front(),
                       transfer.mRevision,
                       transfer.mEncoding,
                       transfer.mOffset,
                       transfer.mPartBytes,
                       transfer.mPartLimit });
  }
  return orders;
}

part_use
transfer_plan::OnPart(std::uint64_t aTransfer, const part_arrival& aPart, instant aNow)
{
  auto* found = Find(aTransfer);
  if (found == nullptr) {
    return part_use::Rejected;
  }
  found->mWaitsForPart = false;
  if (aPart.mBytes == 0 || aPart.mBytes > aPart.mTotalBytes ||
      aPart.mTotalBytes > mSettings.mMaxTotalBytes ||
      aPart.mOffset > aPart.mTotalBytes - aPart.mBytes) {
    TryNextSource(*found, aNow);
    return part_use::Rejected;
  }
  const bool continues = aPart.mEncoding == found->mEncoding && aPart.mOffset == found->mOffset &&
                         (found->mTotalBytes == 0 || aPart.mTotalBytes == found->mTotalBytes);
  if (!continues && aPart.mOffset != 0) {
    TryNextSource(*found, aNow);
    return part_use::Rejected;
  }
  const bool beginsAnew = !continues && found->mOffset != 0;
  if (beginsAnew && std::any_of(mTransfers.begin(), mTransfers.end(), [&](const auto& aOther) {
        return aOther.mId != aTransfer && aOther.mRevision >= aPart.mRevision;
      })) {
    // The other transfer is for the same state.
    End(aTransfer);
    return part_use::Rejected;
  }
  found->mRevision = std::max(found->mRevision, aPart.mRevision);
  found->mEncoding = aPart.mEncoding;
  found->mOffset = aPart.mOffset + aPart.mBytes;
  found->mTotalBytes = aPart.mTotalBytes;
  found->mAsked = 0;
  found->mPartBytes = std::min(found->mPartBytes * 2, mSettings.mMaxPartBytes);
  found->mPartLimit = mSettings.mMinPartLimit;
  found->mNextAt = aNow;
  found->mProgressAt = aNow;
  return continues ? part_use::Continues : part_use::Begins;
}

void
transfer_plan::TryNextSource(transfer& aTransfer, instant aNow)
{
  auto& sources = aTransfer.mSources;
  if (sources.empty()) {
    return;
  }
  std::rotate(sources.begin(), sources.begin() + 1, sources.end());
  aTransfer.mNextAt = aNow;
  if (++aTransfer.mAsked % sources.size() == 0) {
    const auto pause = mSettings.mRetryPause.count();
    std::uniform_int_distribution<std::int64_t> drawn{ pause / 2, pause };
    aTransfer.mNextAt += std::chrono::milliseconds{ drawn(mRandom) };
  }
}

bool
transfer_plan::OnUnsupported(std::uint64_t aTransfer, instant aNow)
{
  auto* found = Find(aTransfer);
  if (found == nullptr) {
    return false;
  }
  if (found->mAsked + 1 >= found->mSources.size()) {
    return true;
  }
  found->mWaitsForPart = false;
  TryNextSource(*found, aNow);
  return false;
}

void
transfer_plan::OnTimeout(std::uint64_t aTransfer, instant aNow)
{
  if (auto* found = Find(aTransfer)) {
    found->mWaitsForPart = false;
    found->mPartBytes = std::max(found->mPartBytes / 2, mSettings.mMinPartBytes);
    found->mPartLimit = std::min(found->mPartLimit * 2, mSettings.mMaxPartLimit);
    TryNextSource(*found, aNow);
  }
}

void
transfer_plan::OnFailure(std::uint64_t aTransfer, instant aNow)
{
  if (auto* found = Find(aTransfer)) {
    found->mWaitsForPart = false;
    TryNextSource(*found, aNow);
  }
}

void
transfer_plan::OnBusy(std::uint64_t aTransfer,
                      const std::vector<std::string>& aOthers,
                      instant aNow)
{
  auto* found = Find(aTransfer);
  if (found == nullptr) {
    return;
  }
  found->mWaitsForPart = false;
  TryNextSource(*found, aNow);
  for (const auto& other : aOthers) {
    auto& sources = found->mSources;
    if (std::find(sources.begin(), sources.end(), other) == sources.end()) {
      // Daemons that have just received the state are asked before those that are busy.
      sources.push_front(other);
      found->mNextAt = aNow;
    }
  }
  while (found->mSources.size() > kMaxSources) {
    found->mSources.pop_back();
  }
}

bool
transfer_plan::IsComplete(std::uint64_t aTransfer) const
{
  const auto* found = Find(aTransfer);
  return found != nullptr && found->mTotalBytes > 0 && found->mOffset == found->mTotalBytes;
}

void
transfer_plan::End(std::uint64_t aTransfer)
{
  std::erase_if(mTransfers, [&](const auto& aKnown) { return aKnown.mId == aTransfer; });
}

bool
transfer_plan::IsProgressing(instant aNow) const
{
  return std::any_of(mTransfers.begin(), mTransfers.end(), [&](const auto& aTransfer) {
    return !aTransfer.mSources.empty() && aNow - aTransfer.mProgressAt < mSettings.mProgressTimeout;
  });
}

} // namespace skylarkwind
