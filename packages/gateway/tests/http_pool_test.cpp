#include "skylarkwind/http_pool.h"

#include <cppunit/extensions/HelperMacros.h>

#include <kj/async-io.h>

#include <algorithm>
#include <functional>
#include <string>
#include <vector>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// A server on a loopback port whose responses a function gives, byte by byte.
class scripted_server final : private kj::TaskSet::ErrorHandler
{
public:
  /// What to write when a request has arrived whole, by the connection's number and the request's
  /// number on it. The first connection and the first request have the number 0.
  using script = std::function<std::string(std::size_t, std::size_t)>;

  scripted_server(kj::AsyncIoContext& aIo, script aScript)
    : mScript(std::move(aScript))
    , mTasks(*this)
  {
    auto address = aIo.provider->getNetwork().parseAddress("127.0.0.1").wait(aIo.waitScope);
    mReceiver = address->listen();
    mTasks.add(Accept());
  }

  std::string Address() { return "127.0.0.1:" + std::to_string(mReceiver->getPort()); }
  std::size_t Connections() const { return mConnections.size(); }
  /// Connections that the client has closed.
  std::size_t Closed() const { return mClosed; }
  /// Writes bytes that no request has asked for.
  kj::Promise<void> Write(std::size_t aConnection, std::string aBytes)
  {
    auto bytes = kj::heap<std::string>(std::move(aBytes));
    auto writing = mConnections.at(aConnection)->mStream->write(bytes->data(), bytes->size());
    return writing.attach(kj::mv(bytes));
  }

private:
  struct connection
  {
    kj::Own<kj::AsyncIoStream> mStream;
    std::string mInput;
    std::size_t mRequests = 0;
    kj::byte mBuffer[1'024]{};
  };

  kj::Promise<void> Accept()
  {
    return mReceiver->accept().then([this](kj::Own<kj::AsyncIoStream> aStream) {
      mConnections.push_back(kj::heap<connection>());
      mConnections.back()->mStream = kj::mv(aStream);
      mTasks.add(Serve(mConnections.size() - 1));
      return Accept();
    });
  }

  kj::Promise<void> Serve(std::size_t aIndex)
  {
    auto& one = *mConnections[aIndex];
    return one.mStream->tryRead(one.mBuffer, 1, sizeof(one.mBuffer))
      .then([this, aIndex, &one](std::size_t aBytes) -> kj::Promise<void> {
        if (aBytes == 0) {
          ++mClosed;
          return kj::READY_NOW;
        }
        one.mInput.append(reinterpret_cast<const char*>(one.mBuffer), aBytes);
        // All requests of these tests are without a body.
        std::string bytes;
        for (auto end = one.mInput.find("\r\n\r\n"); end != std::string::npos;
             end = one.mInput.find("\r\n\r\n")) {
          one.mInput.erase(0, end + 4);
          bytes += mScript(aIndex, one.mRequests++);
        }
        return Write(aIndex, std::move(bytes)).then([this, aIndex] { return Serve(aIndex); });
      });
  }

  void taskFailed(kj::Exception&&) override
  {
    // The client has closed the connection.
  }

  script mScript;
  kj::Own<kj::ConnectionReceiver> mReceiver;
  std::vector<kj::Own<connection>> mConnections;
  std::size_t mClosed = 0;
  kj::TaskSet mTasks;
};

std::string
Response(const std::string& aStatus, const std::string& aBody)
{
  return "HTTP/1.1 " + aStatus + "\r\nContent-Length: " + std::to_string(aBody.size()) +
         "\r\n\r\n" + aBody;
}

struct outcome
{
  int mStatus = 0; ///< 0: failed
  std::string mBody;
  bool mSent = true;
};

} // namespace

/// Connections to servers that respond more than once to a request.
class http_pool_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(http_pool_test);
  CPPUNIT_TEST(ConnectionCarriesAnIdOnce);
  CPPUNIT_TEST(ConnectionIsReusedForOtherIds);
  CPPUNIT_TEST(ConnectionIsReusedAfterAResponseInPieces);
  CPPUNIT_TEST(ZeroIdleTimeOpensAConnection);
  CPPUNIT_TEST(ConnectionWithLateRepeatedResponseIsNotReused);
  CPPUNIT_TEST(ResponseRepeatedAtOnceIsNotReadAsTheNext);
  CPPUNIT_TEST(ConnectionWithRepeatedResponseIsClosed);
  CPPUNIT_TEST(ConnectionIsClosedAfterManyIds);
  CPPUNIT_TEST_SUITE_END();

  /// A pool and a server in one event loop. The clock stands still.
  struct world
  {
    explicit world(scripted_server::script aScript)
      : mServer(mIo, std::move(aScript))
    {
    }

    http_call MakeCall(const std::string& aId)
    {
      http_call call;
      call.mAddress = mServer.Address();
      call.mHost = call.mAddress;
      call.mMethod = "GET";
      call.mTarget = "/";
      call.mEchoedId = aId;
      return call;
    }

    /// Sends a request, reads the response to its end and returns the connection to the pool.
    outcome Call(http_call aCall)
    {
      auto result = mPool.Call(std::move(aCall)).wait(mIo.waitScope);
      if (const auto* failure = std::get_if<http_failure>(&result)) {
        return { 0, failure->mReason, failure->mSent };
      }
      auto response = std::get<std::unique_ptr<http_answer>>(std::move(result));
      outcome ended{ response->mStatus, {}, true };
      ended.mBody = response->Body().readAllText().wait(mIo.waitScope).cStr();
      mPool.Release(std::move(response), false, std::nullopt);
      return ended;
    }

    kj::AsyncIoContext mIo = kj::setupAsyncIo();
    manual_clock_source mClock;
    kj::HttpHeaderTable mTable;
    scripted_server mServer;
    http_pool mPool{ mIo.provider->getNetwork(),
                     mIo.provider->getTimer(),
                     mClock,
                     mTable,
                     http_pool_settings{} };
  };

  /// Guards against a refusal that a server writes once more when the next request with the same id
  /// arrives, and that is taken for the response to that request.
  void ConnectionCarriesAnIdOnce()
  {
    const auto refusal = Response("503 Full", "");
    world all{ [&](std::size_t aConnection, std::size_t aRequest) {
      if (aConnection == 0) {
        return aRequest == 0 ? refusal : refusal + Response("200 OK", "ran");
      }
      return Response("200 OK", "ran");
    } };
    CPPUNIT_ASSERT_EQUAL(503, all.Call(all.MakeCall("a")).mStatus);
    CPPUNIT_ASSERT_EQUAL(200, all.Call(all.MakeCall("a")).mStatus);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, all.mServer.Connections());
  }

  /// Guards against a new connection for each request: the ids of callers differ, and a connection
  /// that has carried an id stays usable for others, however its responses are framed.
  void ConnectionIsReusedForOtherIds()
  {
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "3\r\nran\r\n0\r\n\r\n";
    for (const auto& response : { Response("200 OK", "ran"), Response("200 OK", ""), chunked }) {
      world all{ [&](std::size_t, std::size_t) { return response; } };
      for (const auto* id : { "a", "a", "b", "c", "b", "d", "e" }) {
        CPPUNIT_ASSERT_EQUAL(200, all.Call(all.MakeCall(id)).mStatus);
        all.mIo.waitScope.poll();
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(response, std::size_t{ 2 }, all.mServer.Connections());
    }
  }

  /// Guards against a connection that is taken for one that holds bytes, because its last response
  /// arrived in pieces.
  void ConnectionIsReusedAfterAResponseInPieces()
  {
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                                "3\r\nran\r\n0\r\n\r\n";
    for (const auto& response : { Response("200 OK", "ran"), chunked }) {
      world all{ [](std::size_t, std::size_t) { return std::string{}; } };
      for (const auto* id : { "a", "b", "c" }) {
        auto calling = all.mPool.Call(all.MakeCall(id)).eagerlyEvaluate(nullptr);
        CPPUNIT_ASSERT(!calling.poll(all.mIo.waitScope));
        const auto bodyAt = response.find("\r\n\r\n") + 4;
        for (std::size_t at = 0; at < bodyAt; ++at) {
          all.mServer.Write(0, response.substr(at, 1)).wait(all.mIo.waitScope);
          all.mIo.waitScope.poll();
        }
        auto answer = std::get<std::unique_ptr<http_answer>>(calling.wait(all.mIo.waitScope));
        auto reading = answer->Body().readAllText().eagerlyEvaluate(nullptr);
        for (std::size_t at = bodyAt; at < response.size(); ++at) {
          all.mServer.Write(0, response.substr(at, 1)).wait(all.mIo.waitScope);
          all.mIo.waitScope.poll();
        }
        CPPUNIT_ASSERT_EQUAL(std::string{ "ran" },
                             std::string{ reading.wait(all.mIo.waitScope).cStr() });
        all.mPool.Release(std::move(answer), false, std::nullopt);
        all.mIo.waitScope.poll();
        all.mClock.Advance(milliseconds{ 100 });
        all.mPool.OnTick(all.mClock.Now());
      }
      CPPUNIT_ASSERT_EQUAL_MESSAGE(response, std::size_t{ 1 }, all.mServer.Connections());
    }
  }

  /// Guards against a request that must not share a connection with earlier ones, and that gets one
  /// that was released at the same instant of the clock.
  void ZeroIdleTimeOpensAConnection()
  {
    world all{ [](std::size_t, std::size_t) { return Response("200 OK", "ran"); } };
    all.Call(all.MakeCall("a"));
    auto call = all.MakeCall("");
    call.mMaxIdleForReuse = milliseconds{ 0 };
    CPPUNIT_ASSERT_EQUAL(200, all.Call(std::move(call)).mStatus);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, all.mServer.Connections());
  }

  /// Guards against a response that is repeated while its connection is idle, and that is taken for
  /// the response to the next request.
  void ConnectionWithLateRepeatedResponseIsNotReused()
  {
    const auto refusal = Response("503 Full", "no");
    world all{ [&](std::size_t aConnection, std::size_t) {
      return aConnection == 0 ? refusal : Response("200 OK", "ran");
    } };
    CPPUNIT_ASSERT_EQUAL(503, all.Call(all.MakeCall("a")).mStatus);
    all.mServer.Write(0, refusal).wait(all.mIo.waitScope);
    all.mIo.waitScope.poll();
    const auto next = all.Call(all.MakeCall("b"));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(next.mBody, 200, next.mStatus);
  }

  /// Guards against a response that is repeated together with its first copy, and that is taken for
  /// the response to the next request, whether that is sent at once or later.
  void ResponseRepeatedAtOnceIsNotReadAsTheNext()
  {
    const auto refusal = Response("503 Full", "no");
    for (const bool later : { false, true }) {
      world all{ [&](std::size_t aConnection, std::size_t) {
        return aConnection == 0 ? refusal + refusal : Response("200 OK", "ran");
      } };
      CPPUNIT_ASSERT_EQUAL(503, all.Call(all.MakeCall("a")).mStatus);
      if (later) {
        all.mIo.waitScope.poll();
      }
      const auto next = all.Call(all.MakeCall("b"));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(next.mBody, 200, next.mStatus);
    }
  }

  /// Guards against a connection that is never used again and yet stays open at the server, after a
  /// repeated response.
  void ConnectionWithRepeatedResponseIsClosed()
  {
    const auto refusal = Response("503 Full", "no");
    world all{ [&](std::size_t, std::size_t) { return refusal + refusal; } };
    CPPUNIT_ASSERT_EQUAL(503, all.Call(all.MakeCall("a")).mStatus);
    all.mIo.waitScope.poll();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, all.mServer.Closed());
    all.mClock.Advance(milliseconds{ 100 });
    all.mPool.OnTick(all.mClock.Now());
    all.mIo.waitScope.poll();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, all.mServer.Closed());
  }

  /// Guards against ids that are kept without bound for a connection that never closes.
  void ConnectionIsClosedAfterManyIds()
  {
    world all{ [](std::size_t, std::size_t) { return Response("200 OK", "ran"); } };
    constexpr std::size_t kRequests = 2'000;
    for (std::size_t i = 0; i < kRequests; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, all.Call(all.MakeCall(std::to_string(i))).mStatus);
    }
    const auto used = all.mServer.Connections();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(used), used > 1 && used <= kRequests / 100);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_pool_test);

} // namespace skylarkwind
