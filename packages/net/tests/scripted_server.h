#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace skylarkwind {

/// Listening socket on a free loopback port.
class listening_socket
{
public:
  explicit listening_socket(int aBacklog)
    : mFd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof(address);
    auto* generic = reinterpret_cast<sockaddr*>(&address);
    if (bind(mFd, generic, size) != 0 || listen(mFd, aBacklog) != 0 ||
        getsockname(mFd, generic, &size) != 0) {
      throw std::runtime_error("no loopback port");
    }
    mAddress = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
    mRaw = address;
  }
  ~listening_socket() { close(mFd); }
  listening_socket(const listening_socket&) = delete;
  listening_socket& operator=(const listening_socket&) = delete;

  int Fd() const { return mFd; }
  const std::string& Address() const { return mAddress; }
  const sockaddr_in& Raw() const { return mRaw; }

private:
  int mFd;
  std::string mAddress;
  sockaddr_in mRaw{};
};

/// Server whose answers to the n-th request (from 1) are given by a test. Requests have no body.
class scripted_server
{
public:
  struct answer
  {
    std::string mBytes;
    bool mClose = false;
  };
  using script = std::function<answer(int aRequest)>;

  explicit scripted_server(script aScript)
    : mScript(std::move(aScript))
    , mListener(64)
    , mThread([this]() { Serve(); })
  {
  }
  ~scripted_server()
  {
    mStop = true;
    mThread.join();
  }
  scripted_server(const scripted_server&) = delete;
  scripted_server& operator=(const scripted_server&) = delete;

  static std::string Whole(const std::string& aBody)
  {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" +
           aBody;
  }
  std::string Url() const { return "http://" + mListener.Address() + "/"; }
  int Connections() const { return mConnections; }
  int Requests() const { return mRequests; }
  int Closed() const { return mClosed; } ///< connections that the client closed

private:
  struct connection
  {
    int mFd = -1;
    std::string mInput;
  };

  void Serve()
  {
    std::vector<connection> open;
    while (!mStop) {
      std::vector<pollfd> ready{ { mListener.Fd(), POLLIN, 0 } };
      for (const auto& one : open) {
        ready.push_back({ one.mFd, POLLIN, 0 });
      }
      constexpr int kStepMs = 5;
      poll(ready.data(), ready.size(), kStepMs);
      for (std::size_t i = 0; i < open.size(); ++i) {
        if (ready[i + 1].revents != 0) {
          Read(open[i]);
        }
      }
      if (ready[0].revents != 0) {
        open.push_back({ accept(mListener.Fd(), nullptr, nullptr), {} });
        ++mConnections;
      }
      std::erase_if(open, [](const connection& aOne) { return aOne.mFd < 0; });
    }
    for (const auto& one : open) {
      close(one.mFd);
    }
  }

  void Read(connection& aOne)
  {
    char part[4096];
    auto count = read(aOne.mFd, part, sizeof(part));
    if (count <= 0) {
      close(std::exchange(aOne.mFd, -1));
      ++mClosed;
      return;
    }
    aOne.mInput.append(part, static_cast<std::size_t>(count));
    if (aOne.mInput.find("\r\n\r\n") == std::string::npos) {
      return;
    }
    aOne.mInput.clear();
    auto next = mScript(++mRequests);
    send(aOne.mFd, next.mBytes.data(), next.mBytes.size(), MSG_NOSIGNAL);
    if (next.mClose) {
      close(std::exchange(aOne.mFd, -1));
    }
  }

  script mScript;
  listening_socket mListener;
  std::atomic<bool> mStop{ false };
  std::atomic<int> mConnections{ 0 };
  std::atomic<int> mRequests{ 0 };
  std::atomic<int> mClosed{ 0 };
  std::thread mThread;
};

} // namespace skylarkwind
