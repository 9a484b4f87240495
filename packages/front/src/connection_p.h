#pragma once

#include "front_messages_p.h"
#include "request_reader_p.h"

#include <pistache/peer.h>
#include <pistache/transport.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace skylarkwind {

using steady_instant = std::chrono::steady_clock::time_point;

/// One caller's connection, on Pistache's thread. All output goes through the peer that it holds,
/// so bytes cannot reach a later connection with the same descriptor.
class connection : public std::enable_shared_from_this<connection>
{
public:
  connection(connection_id aId,
             std::shared_ptr<Pistache::Tcp::Peer> aPeer,
             front_shared& aShared,
             steady_instant aNow);

  connection_id Id() const { return mId; }
  int Fd() const { return mPeer->fd(); }
  /// The request whose answer is not sent yet; 0 when there is none.
  std::uint64_t Request() const { return mRequest; }

  void Receive(std::string_view aBytes, steady_instant aNow);

  /// Appends output of the open request; output for any other request is dropped.
  void Write(write_order&& aOrder, steady_instant aNow);

  /// Hands waiting output to Pistache, a bounded amount at a time. Returns when the kernel takes no
  /// more, and goes on with the next request after a whole answer.
  void Pump(Pistache::Tcp::Transport& aTransport);

  /// Bytes that were handed to Pistache and not yet taken by the kernel.
  std::size_t InFlight() const { return mInFlight; }

  /// Ends the connection when one of its time limits has passed.
  void CheckLimits(steady_instant aNow, bool aCloseIdle);

  /// Ends the connection; Pistache's read path then reports the disconnection. `aDiscard` drops
  /// output that the kernel still holds.
  void Close(counter* aReason, bool aDiscard = false);

private:
  std::size_t Pending() const { return mOut.size() - mOutStart + mInFlight; }
  void ReadRequest(steady_instant aNow);
  void SendPiece();
  void Sent(std::size_t aBytes);
  void EndAnswer();

  const connection_id mId;
  const std::shared_ptr<Pistache::Tcp::Peer> mPeer;
  front_shared& mShared;
  request_reader mReader;

  std::uint64_t mRequest = 0;
  bool mLastQueued = false;   ///< the open request's answer is whole in the queue
  bool mCloseAfter = false;   ///< close after the open request's answer
  bool mDiscardInput = false; ///< the rest of the input has no known framing
  bool mClosed = false;       ///< shut down; the disconnection follows
  bool mBroken = false;       ///< a write failed
  std::size_t mDiscarded = 0;

  std::string mOut;
  std::size_t mOutStart = 0;
  std::size_t mInFlight = 0;

  steady_instant mRequestStart; ///< first byte of a request that is not whole yet
  steady_instant mLastActivity;
  steady_instant mLastProgress; ///< last time that the kernel took output, or output began to wait
  std::optional<steady_instant> mLingerSince; ///< output is shut down, the caller's end is awaited
};

} // namespace skylarkwind
