#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Pistache::Tcp { // NOLINT(readability-identifier-naming)
class Peer;
}

namespace skylarkwind {

/// One HTTP request that a test double received.
struct standin_request
{
  std::string mMethod;
  std::string mPath; ///< without query
  std::map<std::string, std::string> mQuery;
  std::map<std::string, std::string> mHeaders; ///< names in lower case
  std::string mBody;
  std::uint64_t mConnection = 0; ///< unique for each TCP connection

  std::string Header(const std::string& aName) const;
  std::uint64_t QueryNumber(const std::string& aName, std::uint64_t aDefault) const;
};

/// The answer to one request. It may be kept and given later, on the server's thread only. A
/// reply that is dropped without a call leaves the caller without an answer.
class standin_reply
{
public:
  explicit standin_reply(std::weak_ptr<Pistache::Tcp::Peer> aPeer)
    : mPeer(std::move(aPeer))
  {
  }

  void Send(int aStatus,
            std::string_view aBody,
            std::string_view aContentType = "application/json",
            std::string_view aHeaderLines = {}) const;
  /// Starts a chunked answer of server-sent events.
  void BeginStream(std::string_view aHeaderLines = {}) const;
  void Chunk(std::string_view aData) const;
  void EndStream() const;
  /// Writes these bytes as they are.
  void Raw(std::string aBytes) const;
  /// Closes the connection; nothing more is sent.
  void Close() const;

private:
  std::weak_ptr<Pistache::Tcp::Peer> mPeer;
};

/// Behaviour of one test double. All calls come from the one server thread.
class standin_app
{
public:
  virtual ~standin_app() = default;
  virtual void OnRequest(const standin_request& aRequest, standin_reply aReply) = 0;
  virtual void OnTick() {}
  virtual void OnConnectionClosed(std::uint64_t) {}
};

/// Serves `aApp` on `aListen` ("ip:port", port 0 picks a free one), prints
/// "listening on ip:port", calls OnTick at the given step and returns on SIGTERM or SIGINT.
int RunStandin(const std::string& aListen, standin_app& aApp, std::chrono::milliseconds aTick);

/// Milliseconds of the steady clock.
std::int64_t SteadyMs();

} // namespace skylarkwind
