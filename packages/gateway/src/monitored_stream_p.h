#pragma once

#include "skylarkwind/head_allowance.h"

#include <kj/async-io.h>

#include <cstdint>
#include <optional>
#include <string>

namespace skylarkwind {

/// A connection that detects that its peer has closed it even while no read is pending. Bytes that
/// arrive meanwhile are buffered for the next read.
class monitored_stream final : public kj::AsyncIoStream
{
public:
  explicit monitored_stream(kj::Own<kj::AsyncIoStream> aInner);
  ~monitored_stream() noexcept { HeadComplete(); }
  monitored_stream(const monitored_stream&) = delete;
  monitored_stream& operator=(const monitored_stream&) = delete;

  /// What is read from now on belongs to a head, until `HeadComplete`. A read fails when the head
  /// exceeds the allowance, which must outlive the stream.
  void ExpectHead(head_allowance& aAllowance);
  void HeadComplete();
  /// Why a read of a head has failed, if one has.
  std::optional<head_error> HeadError() const { return mHeadError; }
  /// Resolves when the peer has closed the connection or the connection has failed. It reads ahead,
  /// so call it only while no read is pending.
  kj::Promise<void> WhenPeerCloses();
  /// While idle, any input is unexpected, since no request is open on the connection.
  void SetIdle(bool aIdle) { mIdle = aIdle; }
  /// Whether the peer sent bytes or closed the connection while it was idle.
  bool HasUnexpectedInput() const { return mUnexpectedInput; }
  /// Whether a read waits for bytes. kj's client always reads while no request is open, unless it
  /// still holds bytes that came after the last response.
  bool Reading() const { return mPendingReads > 0; }
  /// Whether bytes wait in the kernel that a pending read will take.
  bool InputIsDue() const;
  /// Whether the peer has closed the connection or the connection has failed.
  bool Ended() const { return mEnded; }
  /// Whether the kernel has reported that the peer can no longer receive.
  bool Disconnected() const { return mDisconnected; }
  /// Bytes that have arrived.
  std::uint64_t ReadBytes() const { return mReadBytes; }
  /// Bytes that the kernel has taken.
  std::uint64_t WrittenBytes() const { return mWrittenBytes; }
  /// Bytes of writes that the kernel has not taken whole, because the peer reads slowly.
  std::uint64_t UnwrittenBytes() const { return mUnwrittenBytes; }
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
  /// Charges what has been read to the allowance of the head, if one is expected. Throws when that
  /// exceeds it. Called before a further read: only then it is known that all of it belongs to the
  /// head, as the read that brings the end of a head may bring much of the body, too.
  void ChargeHead();
  /// Counts the bytes of a write while it is under way and once it is complete.
  kj::Promise<void> CountWrite(std::uint64_t aBytes, kj::Promise<void> aWriting);

  kj::Own<kj::AsyncIoStream> mInner;
  std::string mBuffered;
  kj::byte mScratch[512]{};
  kj::Maybe<kj::ForkedPromise<void>> mReadAhead; ///< the latest one
  bool mReadAheadPending = false;
  int mPendingReads = 0;
  bool mIdle = false;
  bool mUnexpectedInput = false;
  bool mEnded = false;
  bool mAborted = false;
  bool mDisconnected = false;
  head_allowance* mHeadAllowance = nullptr; ///< while a head is expected
  std::size_t mHeadBytes = 0;               ///< read since the head is expected
  std::size_t mChargedHeadBytes = 0;
  std::optional<head_error> mHeadError;
  std::uint64_t mReadBytes = 0;
  std::uint64_t mWrittenBytes = 0;
  std::uint64_t mUnwrittenBytes = 0;
};

} // namespace skylarkwind
