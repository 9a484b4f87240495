#include "../../../standins/test_loop.h"
#include "scripted_server.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using namespace std::chrono_literals;

class http_client_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(http_client_test);
  CPPUNIT_TEST(FailedConnectIsNotSent);
  CPPUNIT_TEST(ConnectionClosedAfterRequestIsBroken);
  CPPUNIT_TEST(RequestOnReusedConnectionIsWrittenOnce);
  CPPUNIT_TEST(SilentPeerEndsTheCall);
  CPPUNIT_TEST(ForbiddenWriteIsNotSent);
  CPPUNIT_TEST(FreshConnectionLeavesThePoolAlone);
  CPPUNIT_TEST(OldConnectionsAreNotReused);
  CPPUNIT_TEST(CancelClosesTheConnection);
  CPPUNIT_TEST(BodyIsStreamedAsItComes);
  CPPUNIT_TEST(ManyCallsEndOnce);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    http_client_settings settings;
    settings.mConnectLimit = 1s;
    mLoop = std::make_unique<test_loop>(settings);
  }
  void tearDown() override { mLoop.reset(); }

private:
  static http_request Post(const std::string& aUrl)
  {
    http_request request;
    request.mMethod = "POST";
    request.mUrl = aUrl;
    request.mFirstProgressLimit = 20s;
    request.mProgressLimit = 20s;
    return request;
  }

  /// Guards against an order called "outcome unknown" although no connection existed.
  void FailedConnectIsNotSent()
  {
    std::string refused;
    {
      listening_socket closed{ 1 };
      refused = "http://" + closed.Address() + "/";
    }
    CPPUNIT_ASSERT(mLoop->Run(Post(refused)).mEnd == http_end::NotSent);

    // A full accept queue drops further connection attempts, so that connecting takes too long.
    listening_socket full{ 0 };
    std::vector<int> waiting;
    for (int i = 0; i < 4; ++i) {
      waiting.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
      (void)connect(
        waiting.back(), reinterpret_cast<const sockaddr*>(&full.Raw()), sizeof(sockaddr_in));
    }
    CPPUNIT_ASSERT(mLoop->Run(Post("http://" + full.Address() + "/")).mEnd == http_end::NotSent);
    for (int fd : waiting) {
      close(fd);
    }
  }

  /// Guards against "not run" for an order that the peer read before it died.
  void ConnectionClosedAfterRequestIsBroken()
  {
    scripted_server server{ [](int) { return scripted_server::answer{ "", true }; } };
    CPPUNIT_ASSERT(mLoop->Run(Post(server.Url())).mEnd == http_end::Broken);
    CPPUNIT_ASSERT_EQUAL(1, server.Requests());
    scripted_server partial{ [](int) {
      return scripted_server::answer{ "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf", true };
    } };
    auto result = mLoop->Run(Post(partial.Url()));
    CPPUNIT_ASSERT(result.mEnd == http_end::Broken);
    CPPUNIT_ASSERT_EQUAL(200, result.mStatus);
  }

  /// Guards against libcurl's own repetition of a request whose reused connection was closed.
  void RequestOnReusedConnectionIsWrittenOnce()
  {
    for (bool repeatable : { false, true }) {
      scripted_server server{ [](int aRequest) {
        return aRequest == 2 ? scripted_server::answer{ "", true }
                             : scripted_server::answer{ scripted_server::Whole("ok"), false };
      } };
      auto request = Post(server.Url());
      CPPUNIT_ASSERT(mLoop->Run(request).mEnd == http_end::Complete);
      request.mRepeatable = repeatable;
      auto second = mLoop->Run(request);
      // The repeatable call shows that libcurl does repeat when it is allowed to.
      CPPUNIT_ASSERT(second.mEnd == (repeatable ? http_end::Complete : http_end::Broken));
      CPPUNIT_ASSERT_EQUAL(repeatable ? 3 : 2, server.Requests());
    }
  }

  /// Guards against calls without end, and against the reuse of other silent connections.
  void SilentPeerEndsTheCall()
  {
    scripted_server server{ [](int aRequest) {
      return scripted_server::answer{ aRequest == 2 ? ""
                                      : aRequest == 3
                                        ? "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"
                                        : scripted_server::Whole("ok"),
                                      false };
    } };
    auto patient = Post(server.Url());
    CPPUNIT_ASSERT(mLoop->Run(patient).mEnd == http_end::Complete);
    auto request = patient;
    request.mFirstProgressLimit = 200ms;
    auto silent = mLoop->Run(request);
    CPPUNIT_ASSERT(silent.mEnd == http_end::Silent);
    CPPUNIT_ASSERT_EQUAL(0, silent.mStatus);
    request = patient;
    request.mProgressLimit = 200ms;
    auto before = std::chrono::steady_clock::now();
    auto stalled = mLoop->Run(request);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - before < request.mFirstProgressLimit);
    CPPUNIT_ASSERT(stalled.mEnd == http_end::Silent);
    CPPUNIT_ASSERT_EQUAL(200, stalled.mStatus);
    CPPUNIT_ASSERT_EQUAL(2, server.Connections());
    mLoop->Run(patient);
    mLoop->Run(patient);
    CPPUNIT_ASSERT_EQUAL(4, server.Connections());
  }

  /// Guards against an order that is written after its time because connecting took long.
  void ForbiddenWriteIsNotSent()
  {
    scripted_server server{ [](int) {
      return scripted_server::answer{ scripted_server::Whole("ok"), false };
    } };
    auto request = Post(server.Url());
    request.mMayWrite = []() { return false; };
    CPPUNIT_ASSERT(mLoop->Run(request).mEnd == http_end::NotSent);
    CPPUNIT_ASSERT(mLoop->Until([&]() { return server.Closed() == 1; }));
    CPPUNIT_ASSERT_EQUAL(0, server.Requests());
  }

  /// Guards against a probe that uses the very connection which it is to check.
  void FreshConnectionLeavesThePoolAlone()
  {
    scripted_server server{ [](int) {
      return scripted_server::answer{ scripted_server::Whole("ok"), false };
    } };
    auto request = Post(server.Url());
    mLoop->Run(request);
    mLoop->Run(request);
    CPPUNIT_ASSERT_EQUAL(1, server.Connections());
    request.mFreshConnection = true;
    mLoop->Run(request);
    CPPUNIT_ASSERT_EQUAL(2, server.Connections());
  }

  /// Guards against connections that live for ever and pin their load to one peer.
  void OldConnectionsAreNotReused()
  {
    http_client_settings settings;
    settings.mMaxAge = 1s;
    mLoop.reset(); // a thread has at most one loop
    mLoop = std::make_unique<test_loop>(settings);
    scripted_server server{ [](int) {
      return scripted_server::answer{ scripted_server::Whole("ok"), false };
    } };
    CPPUNIT_ASSERT(mLoop->Until([&]() {
      mLoop->Run(Post(server.Url()));
      return server.Connections() == 2;
    }));
    CPPUNIT_ASSERT(server.Requests() > 2);
  }

  /// Guards against an engine that is not told of a cancelled call, and against late callbacks.
  void CancelClosesTheConnection()
  {
    scripted_server server{ [](int) { return scripted_server::answer{ "", false }; } };
    bool ended = false;
    auto call = mLoop->Http().Start(Post(server.Url()),
                                    { nullptr, [&](const http_result&) { ended = true; } });
    CPPUNIT_ASSERT(mLoop->Until([&]() { return server.Requests() == 1; }));
    mLoop->Http().Cancel(call);
    CPPUNIT_ASSERT(mLoop->Until([&]() { return server.Closed() == 1; }));
    CPPUNIT_ASSERT(!ended);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mLoop->Http().Open());
  }

  /// Guards against tokens that are held back until the answer is whole.
  void BodyIsStreamedAsItComes()
  {
    scripted_server server{ [](int) {
      return scripted_server::answer{
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", false
      };
    } };
    std::string body;
    bool ended = false;
    auto call = mLoop->Http().Start(Post(server.Url()),
                                    { [&](int aStatus, std::string_view aData) {
                                       CPPUNIT_ASSERT_EQUAL(200, aStatus);
                                       body += aData;
                                     },
                                      [&](const http_result&) { ended = true; } });
    CPPUNIT_ASSERT(mLoop->Until([&]() { return body == "part"; }));
    CPPUNIT_ASSERT(!ended);
    mLoop->Http().Cancel(call);
  }

  /// Guards against a wake of the inner epoll set that is lost, which would leave calls hanging.
  void ManyCallsEndOnce()
  {
    constexpr int kCalls = 2'000;
    constexpr int kAtOnce = 64;
    scripted_server server{ [](int aRequest) {
      return scripted_server::answer{ scripted_server::Whole(std::string(aRequest % 5000, 'x')),
                                      aRequest % 7 == 0 };
    } };
    int started = 0;
    int ended = 0;
    int whole = 0;
    std::function<void()> start = [&]() {
      if (started == kCalls) {
        return;
      }
      ++started;
      mLoop->Http().Start(Post(server.Url()), { nullptr, [&](const http_result& aResult) {
                                                 ++ended;
                                                 whole +=
                                                   aResult.mEnd == http_end::Complete ? 1 : 0;
                                                 start();
                                               } });
    };
    for (int i = 0; i < kAtOnce; ++i) {
      start();
    }
    CPPUNIT_ASSERT(mLoop->Until([&]() { return ended == kCalls; }));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mLoop->Http().Open());
    CPPUNIT_ASSERT(server.Requests() <= kCalls);
    // Only a call that meets a connection in the moment of its closing may fail.
    CPPUNIT_ASSERT(whole >= kCalls - kCalls / 7);
  }

  std::unique_ptr<test_loop> mLoop;
};

CPPUNIT_TEST_SUITE_REGISTRATION(http_client_test);

} // namespace skylarkwind
