#include "monitored_stream_p.h"

#include <kj/debug.h>

#include <sys/socket.h>

#include <algorithm>
#include <cstring>

namespace skylarkwind {

namespace {

/// Limit of pipelined bytes that are read ahead; further input stays in the kernel.
constexpr std::size_t kMaxReadAhead = 16 * 1'024;
/// Bytes of a head that are not charged to the budget: the HTTP library has a buffer of this size
/// for each connection. Usual heads therefore never fail because of others.
constexpr std::size_t kUnchargedHeadBytes = 4 * 1'024;

} // namespace

monitored_stream::monitored_stream(kj::Own<kj::AsyncIoStream> aInner)
  : mInner(kj::mv(aInner))
{
}

void
monitored_stream::ExpectHead(head_allowance& aAllowance)
{
  HeadComplete();
  mHeadAllowance = &aAllowance;
}

void
monitored_stream::HeadComplete()
{
  if (mHeadAllowance != nullptr) {
    mHeadAllowance->mBudget.Release(mChargedHeadBytes);
  }
  mHeadAllowance = nullptr;
  mHeadBytes = 0;
  mChargedHeadBytes = 0;
}

void
monitored_stream::ChargeHead()
{
  if (mHeadAllowance == nullptr) {
    return;
  }
  if (mHeadBytes > mHeadAllowance->mMaxBytes) {
    mHeadError = head_error::TooLong;
    kj::throwFatalException(KJ_EXCEPTION(FAILED, "the head is too long"));
  }
  const auto due = std::max(mHeadBytes, kUnchargedHeadBytes) - kUnchargedHeadBytes;
  if (!mHeadAllowance->mBudget.TryReserve(due - mChargedHeadBytes)) {
    mHeadError = head_error::OverBudget;
    kj::throwFatalException(KJ_EXCEPTION(OVERLOADED, "too many bytes of heads are held"));
  }
  mChargedHeadBytes = due;
}

kj::Promise<void>
monitored_stream::WhenPeerCloses()
{
  if (mEnded) {
    return kj::READY_NOW;
  }
  if (mBuffered.size() >= kMaxReadAhead) {
    return kj::NEVER_DONE;
  }
  return ReadAhead().then([this] { return WhenPeerCloses(); });
}

bool
monitored_stream::InputIsDue() const
{
  if (mPendingReads == 0 && !mReadAheadPending) {
    return false;
  }
  KJ_IF_MAYBE (descriptor, mInner->getFd()) {
    char byte = 0;
    return recv(*descriptor, &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
  }
  return false;
}

kj::Promise<void>
monitored_stream::ReadAhead()
{
  if (mReadAheadPending) {
    return KJ_ASSERT_NONNULL(mReadAhead).addBranch();
  }
  mReadAheadPending = true;
  auto& fork = mReadAhead.emplace(
    kj::evalNow([this] { return mInner->tryRead(mScratch, 1, sizeof(mScratch)); })
      .then(
        [this](size_t aBytes) {
          mBuffered.append(reinterpret_cast<const char*>(mScratch), aBytes);
          RecordInput(aBytes);
          mReadAheadPending = false;
        },
        [this](kj::Exception&&) {
          RecordInput(0);
          mReadAheadPending = false;
        })
      .fork());
  return fork.addBranch();
}

void
monitored_stream::RecordInput(size_t aBytes)
{
  mUnexpectedInput = mUnexpectedInput || mIdle;
  mReadBytes += aBytes;
  mEnded = mEnded || aBytes == 0;
}

size_t
monitored_stream::TakeBuffered(void* aBuffer, size_t aMaxBytes)
{
  const auto count = std::min(aMaxBytes, mBuffered.size());
  std::memcpy(aBuffer, mBuffered.data(), count);
  mBuffered.erase(0, count);
  return count;
}

kj::Promise<size_t>
monitored_stream::read(void* aBuffer, size_t aMinBytes, size_t aMaxBytes)
{
  return tryRead(aBuffer, aMinBytes, aMaxBytes).then([aMinBytes](size_t aBytes) {
    KJ_REQUIRE(aBytes >= aMinBytes, "the connection ended early");
    return aBytes;
  });
}

kj::Promise<size_t>
monitored_stream::tryRead(void* aBuffer, size_t aMinBytes, size_t aMaxBytes)
{
  KJ_IF_MAYBE (error, kj::runCatchingExceptions([&] { ChargeHead(); })) {
    return kj::mv(*error);
  }
  return ReadMore(static_cast<kj::byte*>(aBuffer), 0, aMinBytes, aMaxBytes);
}

kj::Promise<size_t>
monitored_stream::ReadMore(kj::byte* aBuffer, size_t aFilled, size_t aMinBytes, size_t aMaxBytes)
{
  const auto buffered = TakeBuffered(aBuffer + aFilled, aMaxBytes - aFilled);
  mHeadBytes += buffered;
  aFilled += buffered;
  if (aFilled >= aMinBytes || mEnded) {
    return aFilled;
  }
  if (mReadAheadPending) {
    return ReadAhead().then([this, aBuffer, aFilled, aMinBytes, aMaxBytes] {
      return ReadMore(aBuffer, aFilled, aMinBytes, aMaxBytes);
    });
  }
  ++mPendingReads;
  // A socket throws from the call itself when the connection has failed before. Callers handle
  // failures of the promise only.
  return kj::evalNow([&] {
           return mInner->tryRead(aBuffer + aFilled, aMinBytes - aFilled, aMaxBytes - aFilled);
         })
    .then([this, aFilled](size_t aBytes) {
      RecordInput(aBytes);
      mHeadBytes += aBytes;
      return aFilled + aBytes;
    })
    .attach(kj::defer([this] { --mPendingReads; }));
}

kj::Promise<void>
monitored_stream::write(const void* aBuffer, size_t aSize)
{
  if (mAborted) {
    return KJ_EXCEPTION(DISCONNECTED, "the answer was broken off");
  }
  return CountWrite(aSize, mInner->write(aBuffer, aSize));
}

kj::Promise<void>
monitored_stream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces)
{
  if (mAborted) {
    return KJ_EXCEPTION(DISCONNECTED, "the answer was broken off");
  }
  std::uint64_t bytes = 0;
  for (const auto& piece : aPieces) {
    bytes += piece.size();
  }
  return CountWrite(bytes, mInner->write(aPieces));
}

kj::Promise<void>
monitored_stream::CountWrite(std::uint64_t aBytes, kj::Promise<void> aWriting)
{
  mUnwrittenBytes += aBytes;
  return aWriting.then([this, aBytes] { mWrittenBytes += aBytes; })
    .attach(kj::defer([this, aBytes] { mUnwrittenBytes -= aBytes; }));
}

kj::Promise<void>
monitored_stream::whenWriteDisconnected()
{
  return mInner->whenWriteDisconnected().then([this] { mDisconnected = true; });
}

void
monitored_stream::shutdownWrite()
{
  mInner->shutdownWrite();
}

void
monitored_stream::abortRead()
{
  mInner->abortRead();
}

} // namespace skylarkwind
