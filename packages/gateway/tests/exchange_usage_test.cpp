#include "exchange_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <vector>

namespace skylarkwind {

/// Which requests count towards the usage of an account.
class exchange_usage_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(exchange_usage_test);
  CPPUNIT_TEST(StreamCountsOnceWithItsFirstEvent);
  CPPUNIT_TEST(StreamWithoutEventDoesNotCount);
  CPPUNIT_TEST(CutStreamWithoutEventDoesNotCount);
  CPPUNIT_TEST(ResumedStreamCountsOnce);
  CPPUNIT_TEST(RepeatedStreamCountsOnce);
  CPPUNIT_TEST(PlainRequestCountsOnceWithItsResponse);
  CPPUNIT_TEST(PlainRequestThatMayHaveRunCountsOnce);
  CPPUNIT_TEST(RepeatedPlainRequestCountsOnce);
  CPPUNIT_TEST(RefusalNeverCounts);
  CPPUNIT_TEST(RejectedRequestNeverCounts);
  CPPUNIT_TEST(PublicRouteNeverCountsWithoutKey);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char* kStreamHead =
    "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Type: text/event-stream"
    "\r\nTransfer-Encoding: chunked\r\n\r\n";
  static constexpr const char* kEvent = "11\r\nid: 1\ndata: one\n\n\r\n";
  static constexpr const char* kEnd = "0\r\n\r\n";
  static constexpr const char* kAnswer =
    "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Length: 2\r\n\r\nok";
  static constexpr const char* kRefusal =
    "HTTP/1.1 503 Full\r\nId: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";

  /// A caller with a key of account `a`, or without one, and the requests that have counted.
  struct counted_exchange
  {
    explicit counted_exchange(const std::string& aRoute, const std::string& aKey = "k1")
    {
      mFixture.mContext.mOnRequestBegan = [this](const std::string& aAccount) {
        mCounted.push_back(aAccount);
      };
      auto next = std::make_shared<forward_configuration>(*mFixture.mRoutes.Current());
      ++next->mVersion;
      next->mAccounts = std::vector<client_account>{ { "a", { "k1" }, {} }, { "b", { "k2" }, {} } };
      auto open = next->mRoutes.front();
      open.mName = "open";
      open.mPathPrefix = "/open/";
      open.mIsPublic = true;
      next->mRoutes.push_back(open);
      auto repeatable = next->mRoutes[2];
      repeatable.mName = "repeatable";
      repeatable.mPathPrefix = "/repeatable/";
      repeatable.mKind = route_kind::Idempotent;
      next->mRoutes.push_back(repeatable);
      mFixture.mRoutes.Apply(next);
      mFixture.AddServer("s2");
      mCaller = mFixture.mPort.Connect();
      mFixture.Write(*mCaller,
                     "POST /" + aRoute + "/a HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n" +
                       (aKey.empty() ? "" : "Key: " + aKey + "\r\n") +
                       "Content-Length: 1\r\n\r\nb");
    }
    /// Reads a request at the newest connection to a server and writes this.
    void Serve(const std::string& aText)
    {
      mFixture.Read(*mFixture.mServers.back());
      mFixture.Write(*mFixture.mServers.back(), aText);
    }
    void CutServer()
    {
      mFixture.mServers.back()->shutdownWrite();
      mFixture.Run();
    }
    std::string Answer() { return mFixture.Read(*mCaller); }
    std::size_t Counted() const { return mCounted.size(); }

    std::vector<std::string> mCounted;
    exchange_fixture mFixture;
    kj::Own<kj::AsyncIoStream> mCaller;
  };

  void StreamCountsOnceWithItsFirstEvent()
  {
    counted_exchange request{ "stream" };
    request.Serve(kStreamHead);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, request.Counted());
    request.Serve("19\r\n: a comment is no event\n\n\r\n");
    request.Serve(kEvent);
    CPPUNIT_ASSERT(request.mCounted == std::vector<std::string>{ "a" });
    request.Answer();
    request.Serve(std::string{ kEvent } + kEvent + kEnd);
    CPPUNIT_ASSERT_MESSAGE("the stream has ended", request.Answer().ends_with(kEnd));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, request.Counted());
  }

  void StreamWithoutEventDoesNotCount()
  {
    counted_exchange request{ "stream" };
    request.Serve(
      "HTTP/1.1 400 Bad Request\r\nId: r1\r\nSignature: s\r\nContent-Length: 2\r\n\r\nno");
    CPPUNIT_ASSERT(request.Answer().starts_with("HTTP/1.1 400 "));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, request.Counted());
  }

  void CutStreamWithoutEventDoesNotCount()
  {
    counted_exchange cut{ "stream" };
    cut.Serve(kStreamHead);
    cut.CutServer();
    CPPUNIT_ASSERT(cut.Answer().starts_with("HTTP/1.1 502 "));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, cut.Counted());
  }

  /// Guards against a stream that counts again at the server that resumes it.
  void ResumedStreamCountsOnce()
  {
    counted_exchange request{ "resumed" };
    request.Serve(std::string{ kStreamHead } + kEvent);
    CPPUNIT_ASSERT(request.Answer().ends_with(kEvent));
    request.CutServer();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, request.mFixture.mServers.size());
    request.Serve(std::string{ kStreamHead } + kEvent + kEnd);
    CPPUNIT_ASSERT(request.Answer().ends_with(kEnd));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, request.Counted());
  }

  /// Guards against an attempt without an event that counts beside the one that is delivered.
  void RepeatedStreamCountsOnce()
  {
    counted_exchange request{ "resumed" };
    request.Serve(kStreamHead);
    request.CutServer();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, request.mFixture.mServers.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, request.Counted());
    request.Serve(std::string{ kStreamHead } + kEvent + kEnd);
    CPPUNIT_ASSERT(request.Answer().ends_with(kEnd));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, request.Counted());
  }

  void PlainRequestCountsOnceWithItsResponse()
  {
    for (const auto* route : { "order", "repeatable" }) {
      counted_exchange request{ route };
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, request.Counted());
      request.Serve(kAnswer);
      CPPUNIT_ASSERT(request.Answer().ends_with("ok"));
      CPPUNIT_ASSERT(request.mCounted == std::vector<std::string>{ "a" });
    }
  }

  /// A server that closes its connection may have run the request.
  void PlainRequestThatMayHaveRunCountsOnce()
  {
    counted_exchange request{ "order" };
    request.mFixture.Read(*request.mFixture.mServers.back());
    request.CutServer();
    CPPUNIT_ASSERT(request.Answer().starts_with("HTTP/1.1 502 "));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, request.Counted());
  }

  /// Guards against a count for each attempt.
  void RepeatedPlainRequestCountsOnce()
  {
    counted_exchange request{ "repeatable" };
    request.mFixture.Read(*request.mFixture.mServers.back());
    request.CutServer();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, request.mFixture.mServers.size());
    request.Serve(kAnswer);
    CPPUNIT_ASSERT(request.Answer().ends_with("ok"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, request.Counted());
  }

  /// Guards against counts of requests that no server began to run.
  void RefusalNeverCounts()
  {
    for (const auto* route : { "stream", "resumed", "order", "repeatable" }) {
      counted_exchange request{ route };
      std::string answer;
      for (std::size_t served = 0; answer.empty() && served < 10; ++served) {
        request.Serve(kRefusal);
        answer = request.Answer();
        for (int i = 0; answer.empty() && i < 20; ++i) {
          request.mFixture.Advance(std::chrono::milliseconds{ 50 });
          answer = request.Answer();
        }
      }
      CPPUNIT_ASSERT_MESSAGE(answer, answer.starts_with("HTTP/1.1 503 "));
      CPPUNIT_ASSERT_EQUAL_MESSAGE(route, std::size_t{ 0 }, request.Counted());
    }
  }

  void RejectedRequestNeverCounts()
  {
    for (const auto* key : { "", "k9" }) {
      counted_exchange request{ "stream", key };
      CPPUNIT_ASSERT(request.Answer().starts_with("HTTP/1.1 401 "));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, request.Counted());
    }
  }

  /// Without a known key there is no account; with one, the request runs in the name of its
  /// account.
  void PublicRouteNeverCountsWithoutKey()
  {
    for (const auto* key : { "", "k9" }) {
      counted_exchange request{ "open", key };
      request.Serve(std::string{ kStreamHead } + kEvent + kEnd);
      CPPUNIT_ASSERT(request.Answer().ends_with(kEnd));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, request.Counted());
    }
    counted_exchange request{ "open", "k2" };
    request.Serve(std::string{ kStreamHead } + kEvent + kEnd);
    CPPUNIT_ASSERT(request.Answer().ends_with(kEnd));
    CPPUNIT_ASSERT(request.mCounted == std::vector<std::string>{ "b" });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_usage_test);

} // namespace skylarkwind
