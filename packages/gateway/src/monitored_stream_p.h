#pragma once

#include <kj/async-io.h>

#include <string>

namespace skylarkwind {

/// A connection that can tell when its peer closes it while nobody reads. Bytes that arrive
/// meanwhile are kept for the next read.
class monitored_stream final : public kj::AsyncIoStream
{
public:
  explicit monitored_stream(kj::Own<kj::AsyncIoStream> aInner);

  /// Resolves when the peer has closed the connection or it has failed. Reads ahead, so it is to be
  /// asked for only while no read is open.
  kj::Promise<void> WhenPeerCloses();
  /// From now on any input means that the peer did something without being asked.
  void SetIdle(bool aIdle) { mIdle = aIdle; }
  /// Whether the peer sent bytes or closed while idle.
  bool Spoiled() const { return mSpoiled; }
  bool Ended() const { return mEnded; }
  /// From now on nothing is written, so that an answer that is broken off cannot end as if it were
  /// complete: kj writes the last chunk when a body is dropped.
  void Abort() { mAborted = true; }

  kj::Promise<size_t> read(void* aBuffer, size_t aLeast, size_t aMost) override;
  kj::Promise<size_t> tryRead(void* aBuffer, size_t aLeast, size_t aMost) override;
  kj::Promise<void> write(const void* aBuffer, size_t aSize) override;
  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;
  void abortRead() override;

private:
  kj::Promise<void> ReadAhead();
  size_t TakeBuffered(void* aBuffer, size_t aMost);
  kj::Promise<size_t> ReadFurther(kj::byte* aBuffer, size_t aHave, size_t aLeast, size_t aMost);
  void NoteInput(size_t aBytes);

  kj::Own<kj::AsyncIoStream> mInner;
  std::string mBuffered;
  kj::byte mScratch[512]{};
  kj::Maybe<kj::ForkedPromise<void>> mAhead; ///< the last read ahead
  bool mAheadOpen = false;
  bool mIdle = false;
  bool mSpoiled = false;
  bool mEnded = false;
  bool mAborted = false;
};

} // namespace skylarkwind
