#include "http_listener_p.h"

#include <cppunit/extensions/HelperMacros.h>

#include <kj/async-io.h>
#include <kj/exception.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <string>

namespace skylarkwind {

namespace {

/// Counts what kj would print on standard error.
class message_counter final : public kj::ExceptionCallback
{
public:
  void logMessage(kj::LogSeverity, const char*, int, int, kj::String&&) override { ++mMessages; }
  int mMessages = 0;
};

/// A client that resets its connection when it is destroyed.
class raw_client
{
public:
  explicit raw_client(kj::uint aPort)
    : mSocket(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
  {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(aPort));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    CPPUNIT_ASSERT_EQUAL(
      0, connect(mSocket, reinterpret_cast<const sockaddr*>(&address), sizeof(address)));
    const linger reset{ 1, 0 };
    setsockopt(mSocket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  ~raw_client() { close(mSocket); }
  raw_client(const raw_client&) = delete;
  raw_client& operator=(const raw_client&) = delete;
  void Send(const std::string& aText) const
  {
    CPPUNIT_ASSERT(send(mSocket, aText.data(), aText.size(), MSG_NOSIGNAL) > 0);
  }

private:
  int mSocket;
};

class large_response final : public kj::HttpService
{
public:
  explicit large_response(const kj::HttpHeaderTable& aTable)
    : mTable(aTable)
    , mText(std::size_t{ 1 } << 20U, 'x')
  {
  }
  kj::Promise<void> request(kj::HttpMethod,
                            kj::StringPtr,
                            const kj::HttpHeaders&,
                            kj::AsyncInputStream&,
                            Response& aResponse) override
  {
    mArrived.fulfiller->fulfill();
    return mRelease.promise.then([this, &aResponse] {
      auto out = aResponse.send(200, "OK", kj::HttpHeaders{ mTable }, mText.size());
      auto& stream = *out;
      return stream.write(mText.data(), mText.size()).attach(kj::mv(out));
    });
  }
  /// Lets the response begin.
  void Release() { mRelease.fulfiller->fulfill(); }
  void WaitForRequest(kj::WaitScope& aScope) { mArrived.promise.wait(aScope); }

private:
  const kj::HttpHeaderTable& mTable;
  std::string mText;
  kj::PromiseFulfillerPair<void> mArrived = kj::newPromiseAndFulfiller<void>();
  kj::PromiseFulfillerPair<void> mRelease = kj::newPromiseAndFulfiller<void>();
};

} // namespace

class http_listener_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(http_listener_test);
  CPPUNIT_TEST(ClientThatLeavesIsNoError);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against messages of the HTTP library on standard error, "unhandled exception in HTTP
  /// server", for a daemon that exits while it reads a snapshot or a check that is given up.
  void ClientThatLeavesIsNoError()
  {
    message_counter messages;
    auto io = kj::setupAsyncIo();
    const kj::HttpHeaderTable table;
    large_response service{ table };
    kj::HttpServer server{ io.provider->getTimer(), table, service };
    http_listener listener{ "ready", server, io.provider->getTimer() };
    auto port = io.provider->getNetwork().parseAddress("127.0.0.1").wait(io.waitScope)->listen();
    auto accepting = listener.Accept(*port).eagerlyEvaluate(nullptr);
    {
      const raw_client client{ port->getPort() };
      client.Send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
      service.WaitForRequest(io.waitScope);
    }
    // The response is written before the loop learns that the connection has been reset.
    service.Release();
    io.waitScope.poll();
    CPPUNIT_ASSERT_EQUAL(0, messages.mMessages);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_listener_test);

} // namespace skylarkwind
