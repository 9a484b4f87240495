#include "soak_caller.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <chrono>
#include <cstdlib>
#include <thread>
#include <utility>

namespace skylarkwind::soak {

namespace {

/// A caller waits longer than any answer may take, so that one that comes too late is seen.
constexpr std::int64_t kPatienceMs = 9'000;

std::string
Lower(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aChar) {
    return std::tolower(aChar);
  });
  return aText;
}

} // namespace

std::int64_t
NowMs()
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(
           std::chrono::steady_clock::now().time_since_epoch())
    .count();
}

std::optional<caller_connection>
caller_connection::Open(const std::string& aAddress, int aReceiveBytes)
{
  const auto colon = aAddress.rfind(':');
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(std::atoi(aAddress.c_str() + colon + 1)));
  inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
  const int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval limit{ kPatienceMs / 1'000, 0 };
  setsockopt(made, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof(limit));
  if (aReceiveBytes > 0) {
    setsockopt(made, SOL_SOCKET, SO_RCVBUF, &aReceiveBytes, sizeof(aReceiveBytes));
  }
  if (connect(made, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    close(made);
    return std::nullopt;
  }
  return caller_connection{ made };
}

caller_connection::~caller_connection()
{
  if (mSocket >= 0) {
    close(mSocket);
  }
}

caller_connection::caller_connection(caller_connection&& aOther) noexcept
  : mSocket(std::exchange(aOther.mSocket, -1))
  , mBuffer(std::move(aOther.mBuffer))
{
}

bool
caller_connection::Send(const std::string& aText, const caller_habits& aHabits) const
{
  const auto size = (aText.size() + aHabits.mParts - 1) / aHabits.mParts;
  for (std::size_t at = 0; at < aText.size(); at += size) {
    if (at > 0) {
      std::this_thread::sleep_for(std::chrono::milliseconds{ aHabits.mPartPauseMs });
    }
    const auto count = std::min(size, aText.size() - at);
    if (send(mSocket, aText.data() + at, count, MSG_NOSIGNAL) != static_cast<ssize_t>(count)) {
      return false;
    }
  }
  return true;
}

std::optional<std::int64_t>
caller_connection::AwaitReading(std::int64_t aForMs) const
{
  const auto until = NowMs() + aForMs;
  pollfd end{ mSocket, POLLRDHUP, 0 };
  if (aForMs <= 0 || poll(&end, 1, static_cast<int>(aForMs)) != 1) {
    return std::nullopt;
  }
  const auto closed = NowMs();
  std::this_thread::sleep_for(std::chrono::milliseconds{ until - closed });
  return closed;
}

bool
caller_connection::Ask(const std::string& aText,
                       const caller_habits& aHabits,
                       request_record& aRecord)
{
  aRecord.mSentMs = NowMs();
  const auto until = aRecord.mSentMs + aHabits.mLeaveMs.value_or(kPatienceMs);
  // A request that is refused early may have its answer although it can't be sent to its end.
  aRecord.mSentWhole = Send(aText, aHabits);
  aRecord.mLastByteMs = NowMs();
  // What doesn't fit into the socket's buffer is left out; nobody waits for its answer.
  send(mSocket, aHabits.mNext.data(), aHabits.mNext.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
  const auto closed = aRecord.mSentWhole ? AwaitReading(aHabits.mReadAfterMs) : std::nullopt;
  const bool read = ReadHead(until, aRecord) && ReadBody(until, aRecord);
  aRecord.mEndedMs = NowMs();
  aRecord.mClosedMs = closed.value_or(aRecord.mEndedMs);
  aRecord.mLeft = aHabits.mLeaveMs && !aRecord.mWhole && aRecord.mEndedMs >= until;
  return read && aRecord.mSentWhole && aHabits.mNext.empty();
}

bool
caller_connection::Ended() const
{
  pollfd ready{ mSocket, POLLIN | POLLRDHUP, 0 };
  return !mBuffer.empty() || poll(&ready, 1, 0) != 0;
}

bool
caller_connection::Fill(std::int64_t aUntilMs)
{
  pollfd ready{ mSocket, POLLIN, 0 };
  const auto left = aUntilMs - NowMs();
  if (left <= 0 || poll(&ready, 1, static_cast<int>(left)) != 1) {
    return false;
  }
  char part[4'096];
  const auto count = read(mSocket, part, sizeof(part));
  if (count <= 0) {
    return false;
  }
  mBuffer.append(part, static_cast<std::size_t>(count));
  return true;
}

std::optional<std::string>
caller_connection::TakeLine(std::int64_t aUntilMs)
{
  for (;;) {
    const auto end = mBuffer.find("\r\n");
    if (end != std::string::npos) {
      auto line = mBuffer.substr(0, end);
      mBuffer.erase(0, end + 2);
      return line;
    }
    if (!Fill(aUntilMs)) {
      return std::nullopt;
    }
  }
}

bool
caller_connection::ReadHead(std::int64_t aUntilMs, request_record& aRecord)
{
  const auto status = TakeLine(aUntilMs);
  if (!status || status->size() < 12) {
    return false;
  }
  std::map<std::string, std::string> headers;
  for (;;) {
    const auto line = TakeLine(aUntilMs);
    if (!line) {
      return false;
    }
    if (line->empty()) {
      break;
    }
    const auto colon = line->find(": ");
    if (colon != std::string::npos) {
      headers[Lower(line->substr(0, colon))] = line->substr(colon + 2);
    }
  }
  aRecord.mStatus = std::atoi(status->c_str() + 9);
  aRecord.mHeaders = std::move(headers);
  return true;
}

bool
caller_connection::ReadBody(std::int64_t aUntilMs, request_record& aRecord)
{
  if (aRecord.mHeaders.contains("transfer-encoding")) {
    aRecord.mWhole = ReadChunks(aUntilMs, aRecord);
    return aRecord.mWhole;
  }
  const auto stated = aRecord.mHeaders.find("content-length");
  if (stated == aRecord.mHeaders.end()) {
    return false;
  }
  const auto length = static_cast<std::size_t>(std::atoll(stated->second.c_str()));
  while (mBuffer.size() < length) {
    if (!Fill(aUntilMs)) {
      aRecord.mBody = std::move(mBuffer);
      return false;
    }
  }
  aRecord.mBody = mBuffer.substr(0, length);
  mBuffer.erase(0, length);
  aRecord.mWhole = true;
  return true;
}

bool
caller_connection::ReadChunks(std::int64_t aUntilMs, request_record& aRecord)
{
  for (;;) {
    const auto line = TakeLine(aUntilMs);
    if (!line) {
      return false;
    }
    const auto length = std::strtoull(line->c_str(), nullptr, 16);
    while (mBuffer.size() < length + 2) {
      if (!Fill(aUntilMs)) {
        aRecord.mBody += mBuffer;
        return false;
      }
    }
    aRecord.mBody += mBuffer.substr(0, length);
    mBuffer.erase(0, length + 2);
    if (length == 0) {
      return true;
    }
  }
}

} // namespace skylarkwind::soak
