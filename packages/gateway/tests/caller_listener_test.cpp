#include "exchange_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sys/socket.h>
#include <unistd.h>

#include <array>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// A connection whose input stays in the kernel, as while the daemon is held up.
class unread_stream final : public kj::AsyncIoStream
{
public:
  explicit unread_stream(bool& aClosed)
    : mClosed(aClosed)
  {
    CPPUNIT_ASSERT_EQUAL(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, mSockets.data()));
  }
  ~unread_stream() noexcept
  {
    close(mSockets[0]);
    close(mSockets[1]);
  }
  unread_stream(const unread_stream&) = delete;
  unread_stream& operator=(const unread_stream&) = delete;

  int CallersEnd() const { return mSockets[1]; }
  int DaemonsEnd() const { return mSockets[0]; }

  kj::Promise<size_t> read(void*, size_t, size_t) override { return kj::NEVER_DONE; }
  kj::Promise<size_t> tryRead(void*, size_t, size_t) override { return kj::NEVER_DONE; }
  kj::Promise<void> write(const void*, size_t) override { return kj::READY_NOW; }
  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>>) override
  {
    return kj::READY_NOW;
  }
  kj::Promise<void> whenWriteDisconnected() override { return kj::NEVER_DONE; }
  void shutdownWrite() override { mClosed = true; }
  kj::Maybe<int> getFd() const override { return mSockets[0]; }

private:
  bool& mClosed;
  std::array<int, 2> mSockets{};
};

/// Connections of callers around responses, in one event loop.
class caller_listener_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(caller_listener_test);
  CPPUNIT_TEST(SlowCallerReceivesTheLastChunk);
  CPPUNIT_TEST(CallerThatNeverReadsIsClosed);
  CPPUNIT_TEST(ConnectionIsNotIdleWhileARequestArrives);
  CPPUNIT_TEST(IdleConnectionIsClosedGracefully);
  CPPUNIT_TEST(DiscardedRequestIsCounted);
  CPPUNIT_TEST(RequestAfterAnIdleCloseEndsTheConnection);
  CPPUNIT_TEST(RequestThatMeetsTheIdleLimitIsServed);
  CPPUNIT_TEST(ConnectionWithUnreadInputIsNotIdle);
  CPPUNIT_TEST(HeadMayPauseLongerThanTheIdleLimit);
  CPPUNIT_TEST(HeadThatDoesNotEndIsClosed);
  CPPUNIT_TEST(FallingHeadLimitSparesABegunHead);
  CPPUNIT_TEST(AnswerToAnUnreadBodyAnnouncesTheClose);
  CPPUNIT_TEST(LingerLastsWhileTheCallerSends);
  CPPUNIT_TEST_SUITE_END();

  static constexpr connection_limits kLimits{ .mIdle = milliseconds{ 300 },
                                              .mHead = milliseconds{ 1'000 },
                                              .mHeadPause = milliseconds{ 1'000 } };
  static constexpr const char* kHead = "POST /stream/a HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n"
                                       "Content-Length: 1\r\n\r\nb";
  static constexpr const char* kEvents = "id: 1\ndata: one\n\n";

  /// Starts a stream and lets its server end it; the caller has read everything but the last chunk.
  static kj::Own<kj::AsyncIoStream> StreamWithoutLastChunk(exchange_fixture& aFixture)
  {
    auto caller = aFixture.mPort.Connect();
    aFixture.Write(*caller, kHead);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, aFixture.mServers.size());
    auto& server = *aFixture.mServers.front();
    CPPUNIT_ASSERT(aFixture.Read(server).find("POST /stream/a") == 0);
    aFixture.Write(server,
                   "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "11\r\n" +
                     std::string{ kEvents } + "\r\n0\r\n\r\n");
    const std::string end = "\r\n\r\n11\r\n" + std::string{ kEvents } + "\r\n";
    std::string received;
    while (!received.ends_with(end)) {
      const auto part = aFixture.Read(*caller, 1);
      CPPUNIT_ASSERT_MESSAGE(received, !part.empty());
      received += part;
    }
    return caller;
  }

  /// Two rounds of the check for idle connections.
  static void CheckTwice(exchange_fixture& aFixture)
  {
    for (int i = 0; i < 2; ++i) {
      aFixture.mListener.CloseIdle(kLimits, aFixture.mClock.Now());
      aFixture.Run();
    }
  }

  /// Guards against a stream that loses its last chunk because its connection counts as idle, or
  /// the daemon exits, while a slow caller has not read all of it.
  void SlowCallerReceivesTheLastChunk()
  {
    exchange_fixture fixture;
    auto caller = StreamWithoutLastChunk(fixture);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.mListener.OpenRequests());
    CPPUNIT_ASSERT(fixture.mListener.UnwrittenBytes() > 0);
    fixture.Advance(seconds{ 2 });
    CheckTwice(fixture);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mListener.Connections());
    CPPUNIT_ASSERT_EQUAL(std::string{ "0\r\n\r\n" }, fixture.Read(*caller));
  }

  void CallerThatNeverReadsIsClosed()
  {
    exchange_fixture fixture;
    auto caller = StreamWithoutLastChunk(fixture);
    for (int i = 0; i < 8; ++i) {
      fixture.Advance(seconds{ 1 });
      fixture.mListener.CloseIdle(kLimits, fixture.mClock.Now());
      fixture.Run();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.mListener.Connections());
  }

  /// Guards against a connection that is closed as idle while the head of a request is arriving.
  void ConnectionIsNotIdleWhileARequestArrives()
  {
    exchange_fixture fixture;
    auto caller = fixture.mPort.Connect();
    fixture.Run();
    fixture.Advance(milliseconds{ 250 });
    fixture.Write(*caller, "POST /stream/a HTTP/1.1\r\nHost: a.ex");
    fixture.Advance(milliseconds{ 100 });
    CheckTwice(fixture);
    fixture.Write(*caller, "ample\r\nId: r1\r\nContent-Length: 1\r\n\r\nb");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mListener.OpenRequests());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mServers.size());
  }

  void IdleConnectionIsClosedGracefully()
  {
    exchange_fixture fixture;
    auto caller = fixture.mPort.Connect();
    fixture.Run();
    fixture.Advance(milliseconds{ 400 });
    CheckTwice(fixture);
    CPPUNIT_ASSERT_EQUAL(std::string{}, fixture.Read(*caller));
    // What the caller sends at the same moment is read and discarded.
    fixture.Write(*caller, kHead);
    CPPUNIT_ASSERT(fixture.mServers.empty());
    caller->shutdownWrite();
    fixture.Run();
    fixture.mListener.CloseIdle(kLimits, fixture.mClock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.mListener.Connections());
  }

  static std::string DiscardedRow(const std::string& aCause, std::size_t aBytes)
  {
    return "skylarkwind_discarded_input_bytes_total{cause=\"" + aCause + "\"} " +
           std::to_string(aBytes) + '\n';
  }

  /// Guards against a request that arrives on a connection that the daemon has closed, gets no
  /// answer and leaves no trace.
  void DiscardedRequestIsCounted()
  {
    exchange_fixture fixture;
    auto caller = fixture.mPort.Connect();
    fixture.Run();
    fixture.Advance(milliseconds{ 400 });
    CheckTwice(fixture);
    const std::string request{ kHead };
    fixture.Write(*caller, request);
    const auto text = fixture.mCounters.PrometheusText();
    CPPUNIT_ASSERT_MESSAGE(text,
                           text.find(DiscardedRow("idle", request.size())) != std::string::npos);
  }

  /// Guards against a caller that waits for a response on a connection that the daemon has closed
  /// as idle and goes on reading from.
  void RequestAfterAnIdleCloseEndsTheConnection()
  {
    exchange_fixture fixture;
    auto caller = fixture.mPort.Connect();
    fixture.Run();
    fixture.Advance(milliseconds{ 400 });
    CheckTwice(fixture);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mListener.Connections());
    fixture.Write(*caller, kHead);
    fixture.mListener.CloseIdle(kLimits, fixture.mClock.Now());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.mListener.Connections());
    CPPUNIT_ASSERT(fixture.mServers.empty());
  }

  /// Guards against a request that is discarded because it has arrived, and has not been read, when
  /// its connection is found idle.
  void RequestThatMeetsTheIdleLimitIsServed()
  {
    exchange_fixture fixture;
    auto caller = fixture.mPort.Connect();
    fixture.Run();
    fixture.Advance(milliseconds{ 400 });
    const std::string request{ kHead };
    auto writing = caller->write(request.data(), request.size()).eagerlyEvaluate(nullptr);
    fixture.mListener.CloseIdle(kLimits, fixture.mClock.Now());
    fixture.Run();
    fixture.mListener.CloseIdle(kLimits, fixture.mClock.Now());
    fixture.Run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mListener.OpenRequests());
  }

  /// Guards against a request that is discarded because the checks for idle connections run before
  /// the daemon, which was held up, reads from the kernel.
  void ConnectionWithUnreadInputIsNotIdle()
  {
    exchange_fixture fixture;
    bool closed = false;
    auto connection = kj::heap<unread_stream>(closed);
    const auto& sockets = *connection;
    fixture.mPort.Connect(kj::mv(connection));
    fixture.Run();
    fixture.Advance(seconds{ 5 });
    CPPUNIT_ASSERT_EQUAL(ssize_t{ 1 }, send(sockets.CallersEnd(), "P", 1, MSG_NOSIGNAL));
    CheckTwice(fixture);
    CPPUNIT_ASSERT(!closed);
    char byte = 0;
    CPPUNIT_ASSERT_EQUAL(ssize_t{ 1 }, recv(sockets.DaemonsEnd(), &byte, 1, MSG_DONTWAIT));
    CheckTwice(fixture);
    CPPUNIT_ASSERT(closed);
  }

  /// Guards against a connection that is closed as idle between two parts of a head, within the
  /// time that a head may take.
  void HeadMayPauseLongerThanTheIdleLimit()
  {
    exchange_fixture fixture;
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, "POST /stream/a HTTP/1.1\r\nHost: a.ex");
    CheckTwice(fixture);
    fixture.Advance(milliseconds{ 900 });
    CheckTwice(fixture);
    fixture.Write(*caller, "ample\r\nId: r1\r\nContent-Length: 1\r\n\r\nb");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mListener.OpenRequests());
  }

  /// The limit for a head runs from its begin, however steadily its bytes arrive.
  void HeadThatDoesNotEndIsClosed()
  {
    exchange_fixture fixture;
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, "POST /stream/a HTTP/1.1\r\nA: ");
    for (int i = 0; i < 9; ++i) {
      fixture.Advance(milliseconds{ 100 });
      fixture.Write(*caller, "x");
      CheckTwice(fixture);
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mListener.Connections());
    fixture.Advance(milliseconds{ 100 });
    CheckTwice(fixture);
    fixture.Write(*caller, "x");
    CheckTwice(fixture);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.mListener.Connections());
  }

  /// A head is held to the longest limit since its begin.
  void FallingHeadLimitSparesABegunHead()
  {
    exchange_fixture fixture;
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, "POST /stream/a HTTP/1.1\r\nHost: a.ex");
    CheckTwice(fixture);
    auto lower = kLimits;
    lower.mHead = milliseconds{ 200 };
    fixture.Advance(milliseconds{ 250 });
    for (int i = 0; i < 2; ++i) {
      fixture.mListener.CloseIdle(lower, fixture.mClock.Now());
      fixture.Run();
    }
    fixture.Write(*caller, "ample\r\nId: r1\r\nContent-Length: 1\r\n\r\nb");
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, fixture.mListener.OpenRequests());
  }

  /// Guards against a request that is read and never answered because the one before it was
  /// answered without reading its body, and the connection ended without notice.
  void AnswerToAnUnreadBodyAnnouncesTheClose()
  {
    exchange_fixture fixture;
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, "GET /none HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n\r\n");
    const auto kept = fixture.Read(*caller);
    CPPUNIT_ASSERT_MESSAGE(kept, kept.starts_with("HTTP/1.1 404 "));
    CPPUNIT_ASSERT_MESSAGE(kept, kept.find("Connection: close\r\n") == std::string::npos);
    fixture.Write(*caller,
                  "POST /order/a HTTP/1.1\r\nHost: a.example\r\nId: r2\r\n"
                  "Content-Length: 900000000\r\n\r\nb");
    const auto answer = fixture.Read(*caller);
    CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 413 "));
    CPPUNIT_ASSERT_MESSAGE(answer, answer.find("Connection: close\r\n") != std::string::npos);
  }

  /// Guards against a refusal that is lost to a reset because its caller goes on sending its body
  /// for longer than the daemon reads it.
  void LingerLastsWhileTheCallerSends()
  {
    exchange_fixture fixture;
    fixture.mShutdown.Enter(shutdown_stage::Refusing);
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller,
                  "POST /order/a HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n"
                  "Content-Length: 200000\r\n\r\n");
    CPPUNIT_ASSERT(fixture.Read(*caller).starts_with("HTTP/1.1 503 "));
    for (int i = 0; i < 30; ++i) {
      fixture.Write(*caller, std::string(1'000, 'x'));
      fixture.Advance(milliseconds{ 100 });
      fixture.mListener.CloseIdle(kLimits, fixture.mClock.Now());
      fixture.Run();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        std::to_string(i), std::size_t{ 1 }, fixture.mListener.Connections());
    }
    for (int i = 0; i < 30; ++i) {
      fixture.Advance(milliseconds{ 100 });
      fixture.mListener.CloseIdle(kLimits, fixture.mClock.Now());
      fixture.Run();
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, fixture.mListener.Connections());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(caller_listener_test);

} // namespace skylarkwind
