#include "monitored_stream_p.h"

#include <kj/debug.h>

#include <algorithm>
#include <cstring>

namespace skylarkwind {

namespace {

/// Pipelined bytes that are read ahead at most; further input stays in the kernel.
constexpr std::size_t kMostAhead = 16 * 1'024;

} // namespace

monitored_stream::monitored_stream(kj::Own<kj::AsyncIoStream> aInner)
  : mInner(kj::mv(aInner))
{
}

kj::Promise<void>
monitored_stream::WhenPeerCloses()
{
  if (mEnded) {
    return kj::READY_NOW;
  }
  if (mBuffered.size() >= kMostAhead) {
    return kj::NEVER_DONE;
  }
  return ReadAhead().then([this] { return WhenPeerCloses(); });
}

kj::Promise<void>
monitored_stream::ReadAhead()
{
  if (mAheadOpen) {
    return KJ_ASSERT_NONNULL(mAhead).addBranch();
  }
  mAheadOpen = true;
  auto& fork =
    mAhead.emplace(mInner->tryRead(mScratch, 1, sizeof(mScratch))
                     .then(
                       [this](size_t aBytes) {
                         mBuffered.append(reinterpret_cast<const char*>(mScratch), aBytes);
                         NoteInput(aBytes);
                         mAheadOpen = false;
                       },
                       [this](kj::Exception&&) {
                         NoteInput(0);
                         mAheadOpen = false;
                       })
                     .fork());
  return fork.addBranch();
}

void
monitored_stream::NoteInput(size_t aBytes)
{
  mSpoiled = mSpoiled || mIdle;
  mEnded = mEnded || aBytes == 0;
}

size_t
monitored_stream::TakeBuffered(void* aBuffer, size_t aMost)
{
  const auto count = std::min(aMost, mBuffered.size());
  std::memcpy(aBuffer, mBuffered.data(), count);
  mBuffered.erase(0, count);
  return count;
}

kj::Promise<size_t>
monitored_stream::read(void* aBuffer, size_t aLeast, size_t aMost)
{
  return tryRead(aBuffer, aLeast, aMost).then([aLeast](size_t aBytes) {
    KJ_REQUIRE(aBytes >= aLeast, "the connection ended early");
    return aBytes;
  });
}

kj::Promise<size_t>
monitored_stream::tryRead(void* aBuffer, size_t aLeast, size_t aMost)
{
  return ReadFurther(static_cast<kj::byte*>(aBuffer), 0, aLeast, aMost);
}

kj::Promise<size_t>
monitored_stream::ReadFurther(kj::byte* aBuffer, size_t aHave, size_t aLeast, size_t aMost)
{
  aHave += TakeBuffered(aBuffer + aHave, aMost - aHave);
  if (aHave >= aLeast || mEnded) {
    return aHave;
  }
  if (mAheadOpen) {
    return ReadAhead().then(
      [this, aBuffer, aHave, aLeast, aMost] { return ReadFurther(aBuffer, aHave, aLeast, aMost); });
  }
  return mInner->tryRead(aBuffer + aHave, aLeast - aHave, aMost - aHave)
    .then([this, aHave](size_t aBytes) {
      NoteInput(aBytes);
      return aHave + aBytes;
    });
}

kj::Promise<void>
monitored_stream::write(const void* aBuffer, size_t aSize)
{
  if (mAborted) {
    return KJ_EXCEPTION(DISCONNECTED, "the answer was broken off");
  }
  return mInner->write(aBuffer, aSize);
}

kj::Promise<void>
monitored_stream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces)
{
  if (mAborted) {
    return KJ_EXCEPTION(DISCONNECTED, "the answer was broken off");
  }
  return mInner->write(aPieces);
}

kj::Promise<void>
monitored_stream::whenWriteDisconnected()
{
  return mInner->whenWriteDisconnected();
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
