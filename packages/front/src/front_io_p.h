#pragma once

#include "connection_p.h"
#include "front_messages_p.h"

#include <pistache/tcp.h>
#include <pistache/transport.h>

#include <functional>
#include <memory>
#include <set>
#include <unordered_map>

namespace skylarkwind {

/// The connections of the front, on Pistache's thread.
class front_io
{
public:
  explicit front_io(std::shared_ptr<front_shared> aShared)
    : mShared(std::move(aShared))
  {
  }

  front_shared& Shared() { return *mShared; }

  void Connected(const std::shared_ptr<Pistache::Tcp::Peer>& aPeer);
  void Received(const Pistache::Tcp::Peer& aPeer, std::string_view aBytes);
  void Disconnected(const Pistache::Tcp::Peer& aPeer);

  /// Takes the loop thread's orders. `aPump` writes the output of a connection.
  void TakeOrders(const std::function<void(connection&)>& aPump);
  void CheckLimits();

  std::shared_ptr<connection> Find(connection_id aId) const;

private:
  const std::shared_ptr<front_shared> mShared;
  std::unordered_map<connection_id, std::shared_ptr<connection>> mConnections;
  bool mCloseIdle = false;
};

/// Passes Pistache's calls on to `front_io`.
class front_handler final : public Pistache::Tcp::Handler
{
  PROTOTYPE_OF(Pistache::Tcp::Handler, front_handler)

public:
  explicit front_handler(std::shared_ptr<front_io> aIo)
    : mIo(std::move(aIo))
  {
  }

  void onConnection(const std::shared_ptr<Pistache::Tcp::Peer>& aPeer) override;
  void onInput(const char* aBytes,
               std::size_t aSize,
               const std::shared_ptr<Pistache::Tcp::Peer>& aPeer) override;
  void onDisconnection(const std::shared_ptr<Pistache::Tcp::Peer>& aPeer) override;

private:
  std::shared_ptr<front_io> mIo;
};

/// Pistache's transport with two more descriptors: the loop thread's orders and a timer for time
/// limits. Exceptions end one connection, never the thread.
class front_transport final : public Pistache::Tcp::Transport
{
public:
  front_transport(const std::shared_ptr<Pistache::Tcp::Handler>& aHandler,
                  std::shared_ptr<front_io> aIo);
  ~front_transport() override;
  front_transport(const front_transport&) = delete;
  front_transport& operator=(const front_transport&) = delete;

  void registerPoller(Pistache::Polling::Epoll& aPoller) override;
  void onReady(const Pistache::Aio::FdSet& aReady) override;
  std::shared_ptr<Pistache::Aio::Handler> clone() const override;

private:
  void Handle(const Pistache::Aio::FdSet::Entry& aEntry);
  void HandlePeer(const Pistache::Aio::FdSet::Entry& aEntry,
                  const std::shared_ptr<Pistache::Tcp::Peer>& aPeer);
  /// Lets Pistache read what is ready. Write events never reach it, since it holds no output.
  void Forward(Pistache::Polling::Tag aTag);
  /// Writes waiting output, unless the descriptor belongs to another connection by now.
  void Pump(connection& aConnection);
  /// The peer that now has this descriptor; null when there is none.
  std::shared_ptr<Pistache::Tcp::Peer> PeerOf(std::uint64_t aTag) const;
  void Drop(const std::shared_ptr<Pistache::Tcp::Peer>& aPeer);

  const std::shared_ptr<Pistache::Tcp::Handler> mHandler;
  const std::shared_ptr<front_io> mIo;
  int mTimerFd = -1;
};

} // namespace skylarkwind
