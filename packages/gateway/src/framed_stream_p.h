#pragma once

#include "message_framing_p.h"
#include "monitored_stream_p.h"

#include <kj/async-io.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace skylarkwind {

/// A connection as the HTTP library sees it: what it reads has been checked and rewritten by
/// `message_framing`. After an error, the reads that follow what is valid fail. Writes pass
/// through.
class framed_stream final : public kj::AsyncIoStream
{
public:
  /// The stream and the allowance for heads must outlive this one.
  framed_stream(monitored_stream& aInner, head_allowance& aHeads, message_framing aFraming);

  /// Expects the response to a request that has been sent, `aToHead` tells whether by HEAD. Only
  /// for a connection of which the last response is complete.
  void ExpectResponse(bool aToHead);
  /// Whether the last response has arrived whole, with its trailers.
  bool ResponseComplete() const { return mFraming.Complete(); }
  /// What is wrong with the message that arrives, if anything is.
  const std::optional<framing_error>& Error() const { return mFraming.Error(); }

  kj::Promise<size_t> read(void* aBuffer, size_t aMinBytes, size_t aMaxBytes) override;
  kj::Promise<size_t> tryRead(void* aBuffer, size_t aMinBytes, size_t aMaxBytes) override;
  kj::Promise<void> write(const void* aBuffer, size_t aSize) override;
  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;
  void abortRead() override;

private:
  kj::Promise<size_t> ReadMore(kj::byte* aBuffer,
                               size_t aFilled,
                               size_t aMinBytes,
                               size_t aMaxBytes);
  kj::Promise<size_t> ReadInner(kj::byte* aBuffer,
                                size_t aFilled,
                                size_t aMinBytes,
                                size_t aMaxBytes);
  std::size_t TakeOutput(kj::byte* aBuffer, std::size_t aMaxBytes);
  void Rewrite(std::string_view aInput);

  monitored_stream& mInner;
  head_allowance& mHeads;
  message_framing mFraming;
  std::string mInput;  ///< what came after the end of a message
  std::string mOutput; ///< rewritten
  std::size_t mOutputTaken = 0;
  bool mHeadExpected = false; ///< whether `mInner` charges a head
};

} // namespace skylarkwind
