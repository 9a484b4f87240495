#pragma once

#include "front_messages_p.h"
#include "request_reader_p.h"

#include <pistache/peer.h>

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace skylarkwind {

using steady_instant = std::chrono::steady_clock::time_point;

/// One caller's connection, on Pistache's thread. It keeps its own output, so bytes cannot reach a
/// later connection with the same descriptor.
///
/// Output does not pass through `Peer::send`: once the kernel takes no more, Pistache 0.0.5 repeats
/// the write in a loop on its thread, and one caller that stops reading holds up all others.
class connection
{
public:
  connection(connection_id aId,
             std::shared_ptr<Pistache::Tcp::Peer> aPeer,
             front_shared& aShared,
             steady_instant aNow);

  connection_id Id() const { return mId; }
  int Fd() const { return mPeer->fd(); }
  const std::shared_ptr<Pistache::Tcp::Peer>& Peer() const { return mPeer; }
  /// The request whose answer is not sent yet; 0 when there is none.
  std::uint64_t Request() const { return mRequest; }

  void Receive(std::string_view aBytes, steady_instant aNow);

  /// Appends output of the open request; output for any other request is dropped.
  void Write(write_order&& aOrder, steady_instant aNow);

  /// Writes waiting output until the kernel takes no more, and goes on with the next request after
  /// a whole answer. True when the connection waits for the kernel.
  bool Pump();

  /// Output that the kernel has not taken.
  std::size_t Pending() const { return mOut.size() - mOutStart; }

  /// True at the first call; the descriptor is then watched for writing until it is closed.
  bool WatchOnce() { return !std::exchange(mWatched, true); }

  /// Ends the connection when one of its time limits has passed.
  void CheckLimits(steady_instant aNow, bool aCloseIdle);

  /// Ends the connection; Pistache's read path then reports the disconnection. `aDiscard` drops
  /// output that the kernel still holds.
  void Close(counter* aReason, bool aDiscard = false);

private:
  void ReadRequest(steady_instant aNow);
  /// Writes once. False when the kernel takes no more or the write failed.
  bool WriteSome();
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
  bool mWatched = false;
  std::size_t mDiscarded = 0;

  std::string mOut;
  std::size_t mOutStart = 0;

  steady_instant mRequestStart; ///< first byte of a request that is not whole yet
  steady_instant mLastActivity;
  steady_instant mLastProgress; ///< last time that the kernel took output, or output began to wait
  std::optional<steady_instant> mLingerSince; ///< output is shut down, the caller's end is awaited
};

} // namespace skylarkwind
