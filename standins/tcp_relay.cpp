#include "tcp_relay.h"

#include "http_host.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <stdexcept>

namespace skylarkwind {

namespace {

constexpr int kStepMs = 2;
/// Above this, a direction is not read, so that a slow receiver slows its sender.
constexpr std::size_t kMaxQueued = 1U << 20U;
/// The same with a limit of the rate, also for the receive buffer of its socket.
constexpr int kMaxQueuedLimited = 8 << 10;
/// With a limit of the rate, the most that is written at once lasts this long.
constexpr std::int64_t kBurstMs = 20;
constexpr std::size_t kReadBytes = 64U << 10U;

sockaddr_in
ParseAddress(const std::string& aText)
{
  sockaddr_in address{};
  address.sin_family = AF_INET;
  auto colon = aText.rfind(':');
  if (colon == std::string::npos ||
      inet_pton(AF_INET, aText.substr(0, colon).c_str(), &address.sin_addr) != 1) {
    throw std::runtime_error("not an ip:port: " + aText);
  }
  address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(aText.substr(colon + 1))));
  return address;
}

void
SetUp(int aFd)
{
  int on = 1;
  setsockopt(aFd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  fcntl(aFd, F_SETFL, fcntl(aFd, F_GETFL) | O_NONBLOCK);
}

} // namespace

tcp_relay::tcp_relay(const std::string& aListen, const std::string& aTarget)
  : mOwn(ParseAddress(aListen))
  , mTarget(ParseAddress(aTarget))
{
  Listen();
  char host[INET_ADDRSTRLEN] = {};
  inet_ntop(AF_INET, &mOwn.sin_addr, host, sizeof(host));
  mAddress = std::string{ host } + ":" + std::to_string(ntohs(mOwn.sin_port));
}

tcp_relay::~tcp_relay()
{
  for (const auto& connection : mConnections) {
    Close(connection);
  }
  if (mListener >= 0) {
    close(mListener);
  }
}

void
tcp_relay::Listen()
{
  mListener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  int on = 1;
  setsockopt(mListener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  auto* generic = reinterpret_cast<sockaddr*>(&mOwn);
  socklen_t size = sizeof(mOwn);
  if (bind(mListener, generic, size) != 0 || listen(mListener, SOMAXCONN) != 0 ||
      getsockname(mListener, generic, &size) != 0) {
    throw std::runtime_error("cannot listen");
  }
}

relay_faults
tcp_relay::Faults() const
{
  std::lock_guard guard{ mMutex };
  return mFaults;
}

void
tcp_relay::SetFaults(const relay_faults& aFaults)
{
  std::lock_guard guard{ mMutex };
  mFaults = aFaults;
}

void
tcp_relay::SilenceOpen(bool aSilent)
{
  std::lock_guard guard{ mMutex };
  mWantedSilence = aSilent ? mAccepted.load() : 0;
}

relay_state
tcp_relay::State() const
{
  return { mOpen.load(), mAccepted.load(), mBytes.load() };
}

void
tcp_relay::Run()
{
  for (;;) {
    Step();
  }
}

bool
tcp_relay::Silent(const connection& aConnection, const direction& aDirection) const
{
  const bool oneWay = &aDirection == &aConnection.mUp ? mActive.mSilenceUp : mActive.mSilenceDown;
  return oneWay || mActive.mSilenceAll || aConnection.mNumber <= mSilentUpTo;
}

std::size_t
tcp_relay::MostQueued(const direction& aDirection, const connection& aConnection) const
{
  const bool limited = mActive.mBytesPerSecond > 0 && &aDirection == &aConnection.mDown;
  return limited ? static_cast<std::size_t>(kMaxQueuedLimited) : kMaxQueued;
}

/// One round: what was read is written when its delay has passed.
void
tcp_relay::Step()
{
  {
    std::lock_guard guard{ mMutex };
    mActive = mFaults;
    mSilentUpTo = mWantedSilence;
  }
  if (mActive.mCut && mListener >= 0) {
    close(mListener);
    mListener = -1;
  } else if (!mActive.mCut && mListener < 0) {
    Listen();
  }
  std::vector<pollfd> ready{ { mListener, POLLIN, 0 } };
  for (const auto& connection : mConnections) {
    for (const auto* way : { &connection.mUp, &connection.mDown }) {
      bool reads =
        !way->mEnded && way->mQueued < MostQueued(*way, connection) && !Silent(connection, *way);
      ready.push_back({ reads ? way->mFrom : -1, POLLIN, 0 });
    }
  }
  poll(ready.data(), ready.size(), kStepMs);
  auto now = SteadyMs();
  std::size_t at = 1;
  for (auto& connection : mConnections) {
    for (auto* way : { &connection.mUp, &connection.mDown }) {
      if (ready[at++].revents != 0) {
        Read(*way, connection);
      }
      if (!Silent(connection, *way)) {
        Write(*way, connection, now);
      }
    }
  }
  if (ready[0].revents != 0) {
    Accept();
  }
  mConnections.remove_if([&](const connection& aConnection) {
    bool over = mActive.mCut || aConnection.mBroken ||
                (aConnection.mUp.mForwarded && aConnection.mDown.mForwarded);
    if (over) {
      Close(aConnection);
    }
    return over;
  });
  mOpen = mConnections.size();
}

void
tcp_relay::Accept()
{
  int caller = accept4(mListener, nullptr, nullptr, SOCK_CLOEXEC);
  if (caller < 0) {
    return;
  }
  int target = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (mActive.mBytesPerSecond > 0) {
    setsockopt(target, SOL_SOCKET, SO_RCVBUF, &kMaxQueuedLimited, sizeof(kMaxQueuedLimited));
  }
  // The target is on loopback, so connecting does not block for long.
  if (connect(target, reinterpret_cast<const sockaddr*>(&mTarget), sizeof(mTarget)) != 0) {
    close(target);
    close(caller);
    return;
  }
  SetUp(caller);
  SetUp(target);
  connection added;
  added.mNumber = ++mAccepted;
  added.mUp.mFrom = added.mDown.mTo = caller;
  added.mUp.mTo = added.mDown.mFrom = target;
  mConnections.push_back(std::move(added));
}

void
tcp_relay::Read(direction& aDirection, connection& aConnection)
{
  std::string bytes(kReadBytes, '\0');
  auto count = read(aDirection.mFrom, bytes.data(), bytes.size());
  if (count > 0) {
    bytes.resize(static_cast<std::size_t>(count));
    aDirection.mQueued += bytes.size();
    aDirection.mParts.push_back({ SteadyMs() + mActive.mDelayMs, std::move(bytes) });
  } else if (count == 0) {
    aDirection.mEnded = true;
  } else if (errno != EAGAIN && errno != EINTR) {
    aConnection.mBroken = true;
  }
}

void
tcp_relay::Write(direction& aDirection, connection& aConnection, std::int64_t aNowMs)
{
  while (!aDirection.mParts.empty() && aDirection.mParts.front().mAtMs <= aNowMs) {
    auto& bytes = aDirection.mParts.front().mBytes;
    auto most = bytes.size();
    const bool limited = mActive.mBytesPerSecond > 0 && &aDirection == &aConnection.mDown;
    if (limited) {
      if (aNowMs < aDirection.mNextMs) {
        return;
      }
      const auto burst = std::max<std::int64_t>(1, mActive.mBytesPerSecond * kBurstMs / 1'000);
      most = std::min(most, static_cast<std::size_t>(burst));
    }
    auto count = send(aDirection.mTo, bytes.data(), most, MSG_NOSIGNAL);
    if (count < 0) {
      aConnection.mBroken = aConnection.mBroken || (errno != EAGAIN && errno != EINTR);
      return;
    }
    if (limited) {
      aDirection.mNextMs = aNowMs + count * 1'000 / mActive.mBytesPerSecond;
    }
    mBytes += static_cast<std::uint64_t>(count);
    aDirection.mQueued -= static_cast<std::size_t>(count);
    bytes.erase(0, static_cast<std::size_t>(count));
    if (!bytes.empty()) {
      return;
    }
    aDirection.mParts.pop_front();
  }
  if (aDirection.mEnded && aDirection.mParts.empty() && !aDirection.mForwarded) {
    shutdown(aDirection.mTo, SHUT_WR);
    aDirection.mForwarded = true;
  }
}

void
tcp_relay::Close(const connection& aConnection) const
{
  if (mActive.mReset) {
    const linger abort{ 1, 0 };
    setsockopt(aConnection.mUp.mFrom, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
    setsockopt(aConnection.mUp.mTo, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  }
  close(aConnection.mUp.mFrom);
  close(aConnection.mUp.mTo);
}

} // namespace skylarkwind
