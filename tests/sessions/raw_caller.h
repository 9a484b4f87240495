#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <stdexcept>
#include <string>

namespace skylarkwind::sessions {

/// One response, as far as its bytes have arrived.
struct raw_answer
{
  int mStatus = 0; ///< 0: the head is incomplete
  std::string mHead;
  std::string mBody;
  bool mWhole = false; ///< the body has its stated end
};

/// A caller that decides when it sends and when it reads, byte by byte.
class raw_caller
{
public:
  /// A small receive buffer keeps a response in the daemon while the caller does not read.
  explicit raw_caller(const std::string& aAddress, int aReceiveBytes = 0)
    : mSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    if (aReceiveBytes > 0) {
      setsockopt(mSocket, SOL_SOCKET, SO_RCVBUF, &aReceiveBytes, sizeof(aReceiveBytes));
    }
    const auto colon = aAddress.rfind(':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
    inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
    if (connect(mSocket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
      close(mSocket);
      throw std::runtime_error("cannot connect to " + aAddress);
    }
  }
  ~raw_caller() { close(mSocket); }
  raw_caller(const raw_caller&) = delete;
  raw_caller& operator=(const raw_caller&) = delete;

  /// False when the connection takes no more.
  bool Send(const std::string& aBytes) const
  {
    return send(mSocket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL) ==
           static_cast<ssize_t>(aBytes.size());
  }

  /// Reads until the response is whole, the connection ends or the limit passes.
  raw_answer ReadAnswer(std::chrono::milliseconds aLimit)
  {
    const auto until = std::chrono::steady_clock::now() + aLimit;
    auto answer = Parse(mReceived);
    while (!answer.mWhole && !mEnded && Receive(until)) {
      answer = Parse(mReceived);
    }
    return answer;
  }

  /// Reads until the connection ends; false when it does not within the limit.
  bool ReadToEnd(std::chrono::milliseconds aLimit)
  {
    const auto until = std::chrono::steady_clock::now() + aLimit;
    while (!mEnded && Receive(until)) {
    }
    return mEnded;
  }

  /// Forgets the response that has been read, before the next request.
  void TakeAnswer() { mReceived.clear(); }
  const std::string& Received() const { return mReceived; }
  /// Forgets the response before, so that the next one can be read.
  void Forget() { mReceived.clear(); }
  bool Ended() const { return mEnded; }
  /// Whether the connection ended with a reset instead of its end.
  bool Reset() const { return mReset; }

  static raw_answer Parse(const std::string& aBytes)
  {
    raw_answer answer;
    const auto end = aBytes.find("\r\n\r\n");
    if (end == std::string::npos || aBytes.size() < 12) {
      return answer;
    }
    answer.mHead = aBytes.substr(0, end + 4);
    answer.mStatus = std::atoi(aBytes.c_str() + 9);
    const auto rest = aBytes.substr(end + 4);
    if (answer.mHead.find("Transfer-Encoding: chunked") != std::string::npos) {
      ParseChunks(rest, answer);
      return answer;
    }
    const std::string field = "Content-Length: ";
    const auto stated = answer.mHead.find(field);
    const auto length =
      stated == std::string::npos
        ? std::string::npos
        : std::strtoull(answer.mHead.c_str() + stated + field.size(), nullptr, 10);
    answer.mBody = rest.substr(0, length);
    answer.mWhole = answer.mBody.size() == length;
    return answer;
  }

private:
  bool Receive(std::chrono::steady_clock::time_point aUntil)
  {
    const auto left =
      std::chrono::ceil<std::chrono::milliseconds>(aUntil - std::chrono::steady_clock::now());
    pollfd ready{ mSocket, POLLIN, 0 };
    if (left.count() <= 0 || poll(&ready, 1, static_cast<int>(left.count())) != 1) {
      return false;
    }
    std::array<char, 16'384> part{};
    const auto count = recv(mSocket, part.data(), part.size(), 0);
    if (count <= 0) {
      mEnded = true;
      mReset = count < 0;
      return true;
    }
    mReceived.append(part.data(), static_cast<std::size_t>(count));
    return true;
  }

  static void ParseChunks(const std::string& aText, raw_answer& aAnswer)
  {
    std::size_t at = 0;
    for (;;) {
      const auto line = aText.find("\r\n", at);
      if (line == std::string::npos) {
        return;
      }
      const auto size = std::strtoull(aText.c_str() + at, nullptr, 16);
      if (aText.size() < line + 2 + size + 2) {
        aAnswer.mBody += aText.substr(line + 2);
        return;
      }
      aAnswer.mBody += aText.substr(line + 2, size);
      at = line + 2 + size + 2;
      if (size == 0) {
        aAnswer.mWhole = true;
        return;
      }
    }
  }

  int mSocket;
  std::string mReceived;
  bool mEnded = false;
  bool mReset = false;
};

} // namespace skylarkwind::sessions
