#pragma once

#include <netinet/in.h>

#include <atomic>
#include <cstdint>
#include <deque>
#include <list>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

struct pollfd;

namespace skylarkwind {

struct relay_faults
{
  bool mCut = false;         ///< connections are closed, new ones are refused
  std::int64_t mDelayMs = 0; ///< each byte arrives this much later
  bool mSilenceAll = false;  ///< nothing passes; connections stay open
  bool mSilenceUp = false;   ///< nothing passes to the target; its answers do
  bool mSilenceDown = false; ///< nothing passes from the target; requests to it do
  bool mReset = false;       ///< closed connections end with a reset
  /// Limit of each connection towards the caller; 0: none.
  std::int64_t mBytesPerSecond = 0;
};

struct relay_state
{
  std::uint64_t mOpen = 0;
  std::uint64_t mAccepted = 0;
  std::uint64_t mBytes = 0; ///< passed on, both ways
};

/// Relays TCP connections to one target and can disturb them. Run has a thread of its own; the
/// other functions may be called from any thread.
class tcp_relay
{
public:
  tcp_relay(const std::string& aListen, const std::string& aTarget);
  ~tcp_relay();
  tcp_relay(const tcp_relay&) = delete;
  tcp_relay& operator=(const tcp_relay&) = delete;

  const std::string& Address() const { return mAddress; }
  relay_faults Faults() const;
  void SetFaults(const relay_faults& aFaults);
  /// Silences the connections that are open now; later ones pass. False lets them pass again.
  void SilenceOpen(bool aSilent);
  relay_state State() const;
  [[noreturn]] void Run();

private:
  struct part
  {
    std::int64_t mAtMs = 0;
    std::string mBytes;
  };
  /// Bytes on their way from one socket to the other.
  struct direction
  {
    int mFrom = -1;
    int mTo = -1;
    std::deque<part> mParts;
    std::size_t mQueued = 0;
    bool mEnded = false;      ///< the sender closed its side
    bool mForwarded = false;  ///< and so did we towards the receiver
    std::int64_t mNextMs = 0; ///< with a limit: when more may be written
  };
  struct connection
  {
    std::uint64_t mNumber = 0;
    direction mUp;
    direction mDown;
    bool mBroken = false;
  };

  void Step();
  void Accept();
  void Read(direction& aDirection, connection& aConnection);
  void Write(direction& aDirection, connection& aConnection, std::int64_t aNowMs);
  bool Silent(const connection& aConnection, const direction& aDirection) const;
  void Listen();
  /// Bytes that a direction may hold; above this it is not read.
  std::size_t MostQueued(const direction& aDirection, const connection& aConnection) const;
  void Close(const connection& aConnection) const;

  sockaddr_in mOwn{};
  sockaddr_in mTarget{};
  std::string mAddress;
  int mListener = -1;
  std::list<connection> mConnections;
  relay_faults mActive; ///< the faults of this step
  std::uint64_t mSilentUpTo = 0;

  mutable std::mutex mMutex;
  relay_faults mFaults;             ///< guarded by mMutex
  std::uint64_t mWantedSilence = 0; ///< guarded by mMutex: last silent connection number
  std::atomic<std::uint64_t> mOpen{ 0 };
  std::atomic<std::uint64_t> mAccepted{ 0 };
  std::atomic<std::uint64_t> mBytes{ 0 };
};

} // namespace skylarkwind
