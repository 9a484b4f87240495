#include "front_io_p.h"

#include "skylarkwind/log.h"

#include <sys/timerfd.h>
#include <unistd.h>

#include <exception>
#include <string>
#include <utility>

namespace skylarkwind {

namespace {

using Pistache::Polling::NotifyOn;

/// Time limits are in seconds; this is their resolution.
constexpr std::chrono::milliseconds kCheckPeriod{ 100 };

/// Orders for one connection are joined up to this size before they are written.
constexpr std::size_t kJoinBytes = std::size_t{ 64 } << 10U;

steady_instant
Now()
{
  return std::chrono::steady_clock::now();
}

} // namespace

void
front_io::Connected(const std::shared_ptr<Pistache::Tcp::Peer>& aPeer)
{
  const connection_id number = aPeer->getID();
  const auto made = std::make_shared<connection>(number, aPeer, *mShared, Now());
  mConnections[number] = made;
  mShared->mCounters.mConnections.Set(static_cast<std::int64_t>(mConnections.size()));
  if (mConnections.size() > mShared->mSettings.mMaxConnections) {
    made->Close(&mShared->mCounters.mClosedExcess);
  }
}

void
front_io::Received(const Pistache::Tcp::Peer& aPeer, std::string_view aBytes)
{
  if (const auto found = Find(aPeer.getID())) {
    found->Receive(aBytes, Now());
  }
}

void
front_io::Disconnected(const Pistache::Tcp::Peer& aPeer)
{
  const auto found = mConnections.find(aPeer.getID());
  if (found == mConnections.end()) {
    return;
  }
  if (const auto request = found->second->Request(); request != 0) {
    mShared->mToLoop.Push(connection_lost{ request });
  }
  mConnections.erase(found);
  mShared->mCounters.mConnections.Set(static_cast<std::int64_t>(mConnections.size()));
}

void
front_io::TakeOrders(const std::function<void(connection&)>& aPump)
{
  std::set<connection_id> written;
  const auto now = Now();
  for (auto& order : mShared->mToIo.TakeAll()) {
    if (auto* bytes = std::get_if<write_order>(&order)) {
      if (const auto found = Find(bytes->mConnection)) {
        written.insert(bytes->mConnection);
        found->Write(std::move(*bytes), now);
        if (found->Pending() > kJoinBytes) {
          aPump(*found);
        }
      }
    } else {
      mCloseIdle = true;
    }
  }
  for (const auto number : written) {
    if (const auto found = Find(number)) {
      aPump(*found);
    }
  }
}

void
front_io::CheckLimits()
{
  const auto now = Now();
  for (const auto& [number, held] : mConnections) {
    held->CheckLimits(now, mCloseIdle);
  }
}

std::shared_ptr<connection>
front_io::Find(connection_id aId) const
{
  const auto found = mConnections.find(aId);
  return found == mConnections.end() ? nullptr : found->second;
}

void
front_handler::onConnection(const std::shared_ptr<Pistache::Tcp::Peer>& aPeer)
{
  mIo->Connected(aPeer);
}

void
front_handler::onInput(const char* aBytes,
                       std::size_t aSize,
                       const std::shared_ptr<Pistache::Tcp::Peer>& aPeer)
{
  mIo->Received(*aPeer, { aBytes, aSize });
}

void
front_handler::onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& aPeer)
{
  mIo->Disconnected(*aPeer);
}

front_transport::front_transport(const std::shared_ptr<Pistache::Tcp::Handler>& aHandler,
                                 std::shared_ptr<front_io> aIo)
  : Pistache::Tcp::Transport(aHandler)
  , mHandler(aHandler)
  , mIo(std::move(aIo))
{
}

front_transport::~front_transport()
{
  if (mTimerFd >= 0) {
    close(mTimerFd);
  }
}

void
front_transport::registerPoller(Pistache::Polling::Epoll& aPoller)
{
  Pistache::Tcp::Transport::registerPoller(aPoller);
  mTimerFd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
  itimerspec period{};
  period.it_interval.tv_nsec = std::chrono::nanoseconds{ kCheckPeriod }.count();
  period.it_value = period.it_interval;
  timerfd_settime(mTimerFd, 0, &period, nullptr);
  for (const int descriptor : { mTimerFd, mIo->Shared().mToIo.Fd() }) {
    aPoller.addFd(descriptor,
                  Pistache::Flags<NotifyOn>(NotifyOn::Read),
                  Pistache::Polling::Tag(static_cast<std::uint64_t>(descriptor)));
  }
}

std::shared_ptr<Pistache::Aio::Handler>
front_transport::clone() const
{
  return std::make_shared<front_transport>(mHandler->clone(), mIo);
}

void
front_transport::onReady(const Pistache::Aio::FdSet& aReady)
{
  // Events are handled one by one: an exception in a whole set would lose the events after it,
  // and edge-triggered events do not come again.
  for (const auto& entry : aReady) {
    Handle(entry);
  }
}

void
front_transport::Handle(const Pistache::Aio::FdSet::Entry& aEntry)
{
  const auto tag = aEntry.getTag().value();
  if (tag == static_cast<std::uint64_t>(mIo->Shared().mToIo.Fd())) {
    mIo->TakeOrders([this](connection& aConnection) { Pump(aConnection); });
    return;
  }
  if (tag == static_cast<std::uint64_t>(mTimerFd)) {
    std::uint64_t count = 0;
    if (read(mTimerFd, &count, sizeof count) > 0) {
      mIo->CheckLimits();
    }
    return;
  }
  if (const auto peer = PeerOf(tag)) {
    HandlePeer(aEntry, peer);
    return;
  }
  try {
    Forward(aEntry.getTag());
  } catch (const std::exception& failure) {
    // An event of a descriptor that was closed earlier in this set.
    Log(log_level::Debug, "front", std::string{ "event was not handled: " } + failure.what());
  }
}

void
front_transport::HandlePeer(const Pistache::Aio::FdSet::Entry& aEntry,
                            const std::shared_ptr<Pistache::Tcp::Peer>& aPeer)
{
  try {
    if (aEntry.isReadable() || aEntry.isHangup()) {
      Forward(aEntry.getTag());
    }
    if (const auto held = mIo->Find(aPeer->getID())) {
      Pump(*held);
    }
  } catch (const std::exception& failure) {
    Log(log_level::Debug, "front", std::string{ "connection ended: " } + failure.what());
    Drop(aPeer);
  }
}

void
front_transport::Forward(Pistache::Polling::Tag aTag)
{
  Pistache::Polling::Event event{ aTag };
  event.flags = Pistache::Flags<NotifyOn>(NotifyOn::Read);
  Pistache::Tcp::Transport::onReady(Pistache::Aio::FdSet{ { event } });
}

void
front_transport::Pump(connection& aConnection)
{
  if (PeerOf(static_cast<std::uint64_t>(aConnection.Fd())) != aConnection.Peer()) {
    return;
  }
  if (aConnection.Pump() && aConnection.WatchOnce()) {
    // Edge-triggered: this reports at once when there is space again, and later only after a write
    // found none.
    reactor()->modifyFd(key(),
                        aConnection.Fd(),
                        NotifyOn::Read | NotifyOn::Write | NotifyOn::Shutdown,
                        Pistache::Polling::Mode::Edge);
  }
}

std::shared_ptr<Pistache::Tcp::Peer>
front_transport::PeerOf(std::uint64_t aTag) const
{
  const auto found = peers.find(static_cast<int>(aTag));
  return found == peers.end() ? nullptr : found->second;
}

void
front_transport::Drop(const std::shared_ptr<Pistache::Tcp::Peer>& aPeer)
{
  mIo->Disconnected(*aPeer);
  if (PeerOf(static_cast<std::uint64_t>(aPeer->fd())) == aPeer) {
    removePeer(aPeer);
  }
}

} // namespace skylarkwind
