#pragma once

#include "skylarkwind/front.h"

#include <arpa/inet.h>
#include <cppunit/extensions/HelperMacros.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <atomic>
#include <charconv>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace skylarkwind {

/// No wait of a test lasts longer; reaching it is a failure.
constexpr std::chrono::seconds kPatience{ 20 };

/// A caller on a plain socket.
class test_caller
{
public:
  explicit test_caller(std::uint16_t aPort, int aReceiveBuffer = 0)
    : mFd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    if (aReceiveBuffer > 0) {
      setsockopt(mFd, SOL_SOCKET, SO_RCVBUF, &aReceiveBuffer, sizeof aReceiveBuffer);
    }
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(aPort);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
    if (connect(mFd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      throw std::runtime_error("connect failed");
    }
  }
  ~test_caller() { close(mFd); }
  test_caller(const test_caller&) = delete;
  test_caller& operator=(const test_caller&) = delete;

  void Send(std::string_view aBytes) const
  {
    while (!aBytes.empty()) {
      const auto sent = send(mFd, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
      if (sent <= 0) {
        return;
      }
      aBytes.remove_prefix(static_cast<std::size_t>(sent));
    }
  }

  /// Reads until `aDone` holds for what has arrived. False at the end of the connection or when
  /// patience ends.
  bool ReadUntil(const std::function<bool(const std::string&)>& aDone)
  {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!aDone(mRead)) {
      pollfd waiting{ mFd, POLLIN, 0 };
      char bytes[16384];
      const auto left =
        std::chrono::ceil<std::chrono::milliseconds>(end - std::chrono::steady_clock::now());
      if (left.count() <= 0 || poll(&waiting, 1, static_cast<int>(left.count())) <= 0) {
        mTimedOut = true;
        return false;
      }
      const auto got = recv(mFd, bytes, sizeof bytes, 0);
      if (got <= 0) {
        return false;
      }
      mRead.append(bytes, static_cast<std::size_t>(got));
    }
    return true;
  }
  bool ReadUntil(std::string_view aText)
  {
    return ReadUntil(
      [aText](const std::string& aRead) { return aRead.find(aText) != std::string::npos; });
  }
  /// Everything until the front closes the connection.
  std::string ReadToEnd()
  {
    ReadUntil([](const std::string&) { return false; });
    return mTimedOut ? "the connection was not closed" : mRead;
  }
  void Reset() const
  {
    const linger none{ 1, 0 };
    setsockopt(mFd, SOL_SOCKET, SO_LINGER, &none, sizeof none);
  }
  const std::string& Read() const { return mRead; }

private:
  int mFd;
  std::string mRead;
  bool mTimedOut = false;
};

/// A front with a loop thread that a test scripts.
class test_front
{
public:
  using arrival_handler = std::function<void(caller_front&, const caller_arrived&)>;

  explicit test_front(const arrival_handler& aOnArrival, front_settings aSettings = {})
  {
    aSettings.mAddress = "127.0.0.1:0";
    auto made = caller_front::Create(
      aSettings,
      mCounters,
      [this, aOnArrival](const event& aEvent) {
        if (const auto* arrived = std::get_if<caller_arrived>(&aEvent)) {
          ++mArrived;
          aOnArrival(*mFront, *arrived);
        } else if (std::holds_alternative<caller_disconnected>(aEvent)) {
          ++mGone;
        }
      },
      [](const local_request& aRequest) {
        return local_answer{ 200, "text/plain", aRequest.mPath + "|" + aRequest.mBearer };
      });
    CPPUNIT_ASSERT_MESSAGE(std::string{ made.status().message() }, made.ok());
    mFront = std::move(*made);
    mLoop = std::thread([this] { Run(); });
  }
  ~test_front()
  {
    mStop = true;
    mLoop.join();
    mFront->Stop();
  }
  test_front(const test_front&) = delete;
  test_front& operator=(const test_front&) = delete;

  std::uint16_t Port() const { return mFront->Port(); }
  std::uint64_t Gone() const { return mGone; }
  std::uint64_t Arrived() const { return mArrived; }
  std::size_t Open() const { return mOpen; }
  std::int64_t Count(std::string_view aName, std::string_view aLabels = {})
  {
    return mCounters.Get(aName, {}, aLabels).Value();
  }
  /// Runs on the loop thread.
  void Post(std::function<void(caller_front&)> aTask)
  {
    const std::lock_guard lock{ mMutex };
    mTasks.push_back(std::move(aTask));
  }
  static bool WaitFor(const std::function<bool()>& aCondition)
  {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!aCondition()) {
      if (std::chrono::steady_clock::now() > end) {
        return false;
      }
      std::this_thread::yield();
    }
    return true;
  }

private:
  void Run()
  {
    while (!mStop) {
      pollfd waiting{ mFront->WakeFd(), POLLIN, 0 };
      if (poll(&waiting, 1, 1) > 0) {
        mFront->Drain();
      }
      std::vector<std::function<void(caller_front&)>> tasks;
      {
        const std::lock_guard lock{ mMutex };
        tasks.swap(mTasks);
      }
      for (const auto& task : tasks) {
        task(*mFront);
      }
      mOpen = mFront->OpenRequests();
    }
  }

  counters mCounters;
  std::unique_ptr<caller_front> mFront;
  std::atomic<std::uint64_t> mArrived{ 0 };
  std::atomic<std::uint64_t> mGone{ 0 };
  std::atomic<std::size_t> mOpen{ 0 };
  std::atomic<bool> mStop{ false };
  std::mutex mMutex;
  std::vector<std::function<void(caller_front&)>> mTasks;
  std::thread mLoop;
};

inline std::string
HttpPost(std::string_view aPath, std::string_view aBody, std::string_view aHeaders = {})
{
  std::string out = "POST ";
  out.append(aPath).append(" HTTP/1.1\r\nHost: front\r\n").append(aHeaders);
  out.append("Content-Length: ").append(std::to_string(aBody.size())).append("\r\n\r\n");
  return out.append(aBody);
}

/// Removes the chunked framing of a whole answer. Empty when it is not framed correctly.
inline std::string
Dechunked(const std::string& aAnswer)
{
  auto at = aAnswer.find("\r\n\r\n");
  std::string body;
  for (at = at == std::string::npos ? at : at + 4; at < aAnswer.size();) {
    const auto line = aAnswer.find("\r\n", at);
    if (line == std::string::npos) {
      return {};
    }
    std::size_t size = 0;
    if (std::from_chars(aAnswer.data() + at, aAnswer.data() + line, size, 16).ptr !=
        aAnswer.data() + line) {
      return {};
    }
    if (size == 0) {
      return aAnswer.substr(line) == "\r\n\r\n" ? body : std::string{};
    }
    if (aAnswer.compare(line + 2 + size, 2, "\r\n") != 0) {
      return {};
    }
    body += aAnswer.substr(line + 2, size);
    at = line + 2 + size + 2;
  }
  return {};
}

} // namespace skylarkwind
