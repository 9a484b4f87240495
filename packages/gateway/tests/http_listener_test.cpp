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

/// Responds to each request with its path and its body.
class echo final : public kj::HttpService
{
public:
  explicit echo(const kj::HttpHeaderTable& aTable)
    : mTable(aTable)
  {
  }
  kj::Promise<void> request(kj::HttpMethod,
                            kj::StringPtr aUrl,
                            const kj::HttpHeaders&,
                            kj::AsyncInputStream& aBody,
                            Response& aResponse) override
  {
    auto url = kj::str(aUrl);
    return aBody.readAllText().then([this, url = kj::mv(url), &aResponse](const kj::String& aText) {
      auto text = kj::str(url, ' ', aText);
      auto out = aResponse.send(200, "OK", kj::HttpHeaders{ mTable }, text.size());
      auto& stream = *out;
      auto writing = stream.write(text.begin(), text.size());
      return writing.attach(kj::mv(out), kj::mv(text));
    });
  }

private:
  const kj::HttpHeaderTable& mTable;
};

} // namespace

class http_listener_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(http_listener_test);
  CPPUNIT_TEST(ClientThatLeavesIsNoError);
  CPPUNIT_TEST(RequestInTheBodyOfAnotherOneIsNotServed);
  CPPUNIT_TEST(TrailersAreNotTheNextRequest);
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

  /// All that a client receives until its connection ends, after it has sent these bytes and closed
  /// its half.
  static std::string Exchange(const std::string& aBytes)
  {
    auto io = kj::setupAsyncIo();
    const kj::HttpHeaderTable table;
    echo service{ table };
    kj::HttpServer server{ io.provider->getTimer(), table, service };
    http_listener listener{ "peers", server, io.provider->getTimer() };
    auto& network = io.provider->getNetwork();
    auto port = network.parseAddress("127.0.0.1").wait(io.waitScope)->listen();
    auto accepting = listener.Accept(*port).eagerlyEvaluate(nullptr);
    auto client = network.parseAddress("127.0.0.1", port->getPort())
                    .wait(io.waitScope)
                    ->connect()
                    .wait(io.waitScope);
    client->write(aBytes.data(), aBytes.size()).wait(io.waitScope);
    client->shutdownWrite();
    return client->readAllText().wait(io.waitScope).cStr();
  }

  /// Guards against a request that another daemon did not send, as it is a part of a body.
  void RequestInTheBodyOfAnotherOneIsNotServed()
  {
    const std::string inner = "GET /inner HTTP/1.1\r\nHost: a\r\n\r\n";
    const std::string begin = "POST /outer HTTP/1.1\r\nHost: a\r\n";
    for (const auto* headers :
         { "Content-Length: 40\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
           "Content-Length: -18446744073709551616\r\n\r\n",
           "Content-Length : 0\r\n\r\n" }) {
      auto bytes = begin;
      bytes += headers;
      bytes += inner;
      const auto received = Exchange(bytes);
      CPPUNIT_ASSERT_MESSAGE(received, received.starts_with("HTTP/1.1 400 Bad Request\r\n"));
      CPPUNIT_ASSERT_MESSAGE(received, received.find("/inner") == std::string::npos);
    }
    const auto received =
      Exchange(begin + "Transfer-Encoding: chunked\r\n\r\n10000000000000000\r\n" + inner);
    CPPUNIT_ASSERT_MESSAGE(received, received.find("/inner") == std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(received, received.find("HTTP/1.1 200") == std::string::npos);
  }

  void TrailersAreNotTheNextRequest()
  {
    const auto received =
      Exchange("POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
               "2;x=y\r\nhi\r\n0\r\nSum: 1\r\n\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n");
    CPPUNIT_ASSERT_MESSAGE(received, received.find("/a hi") != std::string::npos);
    CPPUNIT_ASSERT_MESSAGE(received, received.ends_with("/b "));
    CPPUNIT_ASSERT_MESSAGE(received, received.find("HTTP/1.1 5") == std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_listener_test);

} // namespace skylarkwind
