#pragma once

#include <kj/async-io.h>

#include <string>

namespace skylarkwind {

/// A connection that detects that its peer has closed it even while no read is pending. Bytes that
/// arrive meanwhile are buffered for the next read.
class monitored_stream final : public kj::AsyncIoStream
{
public:
  explicit monitored_stream(kj::Own<kj::AsyncIoStream> aInner);

  /// Resolves when the peer has closed the connection or the connection has failed. It reads ahead,
  /// so call it only while no read is pending.
  kj::Promise<void> WhenPeerCloses();
  /// While idle, any input is unexpected, since no request is open on the connection.
  void SetIdle(bool aIdle) { mIdle = aIdle; }
  /// Whether the peer sent bytes or closed the connection while it was idle.
  bool HasUnexpectedInput() const { return mUnexpectedInput; }
  /// Whether the peer has closed the connection or the connection has failed.
  bool Ended() const { return mEnded; }
  /// Makes all further writes fail, so that an aborted response cannot look complete: kj writes the
  /// last chunk when a body is dropped.
  void Abort() { mAborted = true; }

  kj::Promise<size_t> read(void* aBuffer, size_t aMinBytes, size_t aMaxBytes) override;
  kj::Promise<size_t> tryRead(void* aBuffer, size_t aMinBytes, size_t aMaxBytes) override;
  kj::Promise<void> write(const void* aBuffer, size_t aSize) override;
  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces) override;
  kj::Promise<void> whenWriteDisconnected() override;
  void shutdownWrite() override;
  void abortRead() override;

private:
  kj::Promise<void> ReadAhead();
  size_t TakeBuffered(void* aBuffer, size_t aMaxBytes);
  kj::Promise<size_t> ReadMore(kj::byte* aBuffer,
                               size_t aFilled,
                               size_t aMinBytes,
                               size_t aMaxBytes);
  void RecordInput(size_t aBytes);

  kj::Own<kj::AsyncIoStream> mInner;
  std::string mBuffered;
  kj::byte mScratch[512]{};
  kj::Maybe<kj::ForkedPromise<void>> mReadAhead; ///< the latest one
  bool mReadAheadPending = false;
  bool mIdle = false;
  bool mUnexpectedInput = false;
  bool mEnded = false;
  bool mAborted = false;
};

} // namespace skylarkwind
