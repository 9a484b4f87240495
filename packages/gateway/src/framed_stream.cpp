#include "framed_stream_p.h"

#include <kj/debug.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace skylarkwind {

framed_stream::framed_stream(monitored_stream& aInner,
                             head_allowance& aHeads,
                             message_framing aFraming)
  : mInner(aInner)
  , mHeads(aHeads)
  , mFraming(std::move(aFraming))
{
}

void
framed_stream::ExpectResponse(bool aToHead)
{
  KJ_REQUIRE(ResponseComplete() && mInput.empty(), "the connection is not ready for a request");
  mFraming.ExpectResponse(aToHead);
}

kj::Promise<size_t>
framed_stream::read(void* aBuffer, size_t aMinBytes, size_t aMaxBytes)
{
  return tryRead(aBuffer, aMinBytes, aMaxBytes).then([aMinBytes](size_t aBytes) {
    KJ_REQUIRE(aBytes >= aMinBytes, "the connection ended early");
    return aBytes;
  });
}

kj::Promise<size_t>
framed_stream::tryRead(void* aBuffer, size_t aMinBytes, size_t aMaxBytes)
{
  return ReadMore(static_cast<kj::byte*>(aBuffer), 0, aMinBytes, aMaxBytes);
}

kj::Promise<size_t>
framed_stream::ReadMore(kj::byte* aBuffer, size_t aFilled, size_t aMinBytes, size_t aMaxBytes)
{
  while (mOutput.empty() && !mInput.empty() && !Error()) {
    Rewrite(std::exchange(mInput, {}));
  }
  aFilled += TakeOutput(aBuffer + aFilled, aMaxBytes - aFilled);
  if (aFilled >= aMinBytes) {
    return aFilled;
  }
  if (const auto& error = Error()) {
    // For a head the library's server responds by itself to any other type.
    const auto type =
      error->mInHead ? kj::Exception::Type::DISCONNECTED : kj::Exception::Type::FAILED;
    return kj::Exception(type, __FILE__, __LINE__, kj::heapString(error->mReason.c_str()));
  }
  return ReadInner(aBuffer, aFilled, aMinBytes, aMaxBytes);
}

kj::Promise<size_t>
framed_stream::ReadInner(kj::byte* aBuffer, size_t aFilled, size_t aMinBytes, size_t aMaxBytes)
{
  if (!mHeadExpected && (mFraming.AtStart() || mFraming.InHead())) {
    mInner.ExpectHead(mHeads);
    mHeadExpected = true;
  }
  auto* const free = aBuffer + aFilled;
  const auto room = aMaxBytes - aFilled;
  if (const auto verbatim = mFraming.Verbatim(room); verbatim > 0) {
    const auto least = std::min(verbatim, aMinBytes - aFilled);
    return mInner.tryRead(free, least, verbatim)
      .then([this, aBuffer, aFilled, least, aMinBytes, aMaxBytes](
              size_t aBytes) -> kj::Promise<size_t> {
        mFraming.Skip(aBytes);
        if (aBytes < least) {
          return aFilled + aBytes;
        }
        return ReadMore(aBuffer, aFilled + aBytes, aMinBytes, aMaxBytes);
      });
  }
  // The buffer holds the input until it is rewritten.
  return mInner.tryRead(free, 1, room)
    .then([this, aBuffer, aFilled, aMinBytes, aMaxBytes](size_t aBytes) -> kj::Promise<size_t> {
      if (aBytes == 0) {
        return aFilled;
      }
      Rewrite({ reinterpret_cast<const char*>(aBuffer + aFilled), aBytes });
      return ReadMore(aBuffer, aFilled, aMinBytes, aMaxBytes);
    });
}

std::size_t
framed_stream::TakeOutput(kj::byte* aBuffer, std::size_t aMaxBytes)
{
  const auto ready = std::min(mOutput.size() - mOutputTaken, aMaxBytes);
  std::memcpy(aBuffer, mOutput.data() + mOutputTaken, ready);
  mOutputTaken += ready;
  if (mOutputTaken == mOutput.size()) {
    // A connection may stay open for long; it must not hold the space of its last message.
    mOutput = std::string{};
    mOutputTaken = 0;
  }
  return ready;
}

void
framed_stream::Rewrite(std::string_view aInput)
{
  const auto taken = mFraming.Read(aInput, mOutput);
  mInput.assign(aInput.substr(taken));
  if (mHeadExpected && !mFraming.InHead()) {
    mInner.HeadComplete();
    mHeadExpected = false;
  }
}

kj::Promise<void>
framed_stream::write(const void* aBuffer, size_t aSize)
{
  return mInner.write(aBuffer, aSize);
}

kj::Promise<void>
framed_stream::write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces)
{
  return mInner.write(aPieces);
}

kj::Promise<void>
framed_stream::whenWriteDisconnected()
{
  return mInner.whenWriteDisconnected();
}

void
framed_stream::shutdownWrite()
{
  mInner.shutdownWrite();
}

void
framed_stream::abortRead()
{
  mInner.abortRead();
}

} // namespace skylarkwind
