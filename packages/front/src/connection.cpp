#include "connection_p.h"

#include "caller_parse_p.h"

#include <sys/socket.h>

#include <cerrno>
#include <utility>

namespace skylarkwind {

namespace {

/// Written output at the front of the string is removed in steps of this size.
constexpr std::size_t kCompactBytes = std::size_t{ 256 } << 10U;

/// Space of a drained output string that is worth keeping.
constexpr std::size_t kKeptBytes = std::size_t{ 4 } << 10U;

/// A caller that still sends a refused body must be able to read the refusal: closing with unread
/// input would reset the connection and may destroy the answer.
constexpr std::chrono::seconds kLingerLimit{ 2 };
constexpr std::size_t kMaxDiscardedBytes = std::size_t{ 16 } << 20U;

/// A large body takes milliseconds to parse; that is done here and not on the loop thread.
void
Parse(received_request&& aHttp, request_read& aRead)
{
  aRead.mFraming = { aHttp.mHttp10, aHttp.mKeepAlive, aHttp.mMethod == "HEAD" };
  if (RouteOf(aHttp.mTarget) == route::Local) {
    aRead.mOutcome = ToLocalRequest(std::move(aHttp));
    return;
  }
  auto parsed = ParseCallerRequest(std::move(aHttp));
  if (auto* wrong = std::get_if<refusal>(&parsed)) {
    aRead.mOutcome = std::move(*wrong);
  } else {
    aRead.mOutcome = std::get<caller_request>(std::move(parsed));
  }
}

} // namespace

connection::connection(connection_id aId,
                       std::shared_ptr<Pistache::Tcp::Peer> aPeer,
                       front_shared& aShared,
                       steady_instant aNow)
  : mId(aId)
  , mPeer(std::move(aPeer))
  , mShared(aShared)
  , mReader({ aShared.mSettings.mMaxHeaderBytes, aShared.mSettings.mMaxBodyBytes })
  , mRequestStart(aNow)
  , mLastActivity(aNow)
  , mLastProgress(aNow)
{
}

void
connection::Receive(std::string_view aBytes, steady_instant aNow)
{
  if (mClosed) {
    return;
  }
  mLastActivity = aNow;
  if (mDiscardInput) {
    mDiscarded += aBytes.size();
    if (mDiscarded > kMaxDiscardedBytes) {
      Close(&mShared.mCounters.mClosedExcess, true);
    }
    return;
  }
  if (mRequest == 0 && !mReader.MidRequest()) {
    mRequestStart = aNow;
  }
  mReader.Feed(aBytes);
  ReadRequest(aNow);
  const auto& settings = mShared.mSettings;
  if (mReader.Buffered() > settings.mMaxHeaderBytes + settings.mMaxBodyBytes) {
    Close(&mShared.mCounters.mClosedExcess, true);
  }
}

void
connection::ReadRequest(steady_instant aNow)
{
  if (mRequest != 0 || mDiscardInput || mClosed) {
    return;
  }
  request_read read;
  read.mConnection = mId;
  switch (mReader.Advance()) {
    case request_reader::progress::NeedMore:
      if (mReader.TakeContinue()) {
        mOut += "HTTP/1.1 100 Continue\r\n\r\n";
        mLastProgress = aNow;
      }
      return;
    case request_reader::progress::Ready:
      Parse(mReader.Take(), read);
      break;
    case request_reader::progress::Failed:
      read.mOutcome = mReader.Failure();
      read.mFraming.mKeepAlive = false;
      mDiscardInput = true;
      break;
  }
  mRequest = NextRequestNumber();
  mLastQueued = false;
  read.mRequest = mRequest;
  mShared.mToLoop.Push(std::move(read));
}

void
connection::Write(write_order&& aOrder, steady_instant aNow)
{
  if (mClosed || mRequest == 0 || aOrder.mRequest != mRequest || mLastQueued) {
    return;
  }
  const auto pending = Pending();
  if (pending > mShared.mSettings.mMaxPendingBytes) {
    Close(&mShared.mCounters.mClosedPending, true);
    return;
  }
  if (pending == 0) {
    mLastProgress = aNow;
  }
  mOut += aOrder.mBytes;
  mLastQueued = aOrder.mLast;
  mCloseAfter = mCloseAfter || aOrder.mClose;
}

bool
connection::Pump()
{
  while (!mClosed) {
    if (Pending() > 0) {
      if (!WriteSome()) {
        return !mClosed;
      }
    } else if (mRequest != 0 && mLastQueued) {
      EndAnswer();
    } else {
      break;
    }
  }
  return false;
}

bool
connection::WriteSome()
{
  const auto written = send(Fd(), mOut.data() + mOutStart, Pending(), MSG_NOSIGNAL | MSG_DONTWAIT);
  if (written <= 0) {
    const bool full = written < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR);
    if (!full) {
      Close(nullptr, true);
    }
    return false;
  }
  mLastProgress = std::chrono::steady_clock::now();
  mOutStart += static_cast<std::size_t>(written);
  if (mOutStart == mOut.size()) {
    mOutStart = 0;
    mOut.clear();
    if (mOut.capacity() > kKeptBytes) {
      mOut.shrink_to_fit();
    }
  } else if (mOutStart >= kCompactBytes) {
    mOut.erase(0, std::exchange(mOutStart, 0));
  }
  return true;
}

void
connection::EndAnswer()
{
  mShared.mToLoop.Push(answer_sent{ std::exchange(mRequest, 0) });
  mLastActivity = std::chrono::steady_clock::now();
  if (mCloseAfter) {
    mDiscardInput = true;
    mLingerSince = mLastActivity;
    shutdown(Fd(), SHUT_WR);
    return;
  }
  mRequestStart = mLastActivity;
  ReadRequest(mLastActivity);
}

void
connection::CheckLimits(steady_instant aNow, bool aCloseIdle)
{
  if (mClosed) {
    return;
  }
  const auto& settings = mShared.mSettings;
  auto& counted = mShared.mCounters;
  if (Pending() > 0 && aNow - mLastProgress > settings.mStalledWriteLimit) {
    Close(&counted.mClosedStalled, true);
  } else if (mLingerSince) {
    if (aNow - *mLingerSince > kLingerLimit) {
      Close(nullptr);
    }
  } else if (mRequest == 0 && mReader.MidRequest()) {
    if (aNow - mRequestStart > settings.mHeaderTimeLimit) {
      Close(&counted.mClosedSlow);
    }
  } else if (mRequest == 0 && (aCloseIdle || aNow - mLastActivity > settings.mIdleTimeLimit)) {
    Close(&counted.mClosedIdle);
  }
}

void
connection::Close(counter* aReason, bool aDiscard)
{
  if (std::exchange(mClosed, true)) {
    return;
  }
  if (aReason != nullptr) {
    aReason->Add();
  }
  if (aDiscard) {
    const linger none{ 1, 0 };
    setsockopt(Fd(), SOL_SOCKET, SO_LINGER, &none, sizeof none);
  }
  shutdown(Fd(), SHUT_RDWR);
}

} // namespace skylarkwind
