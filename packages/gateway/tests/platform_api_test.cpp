#include "exchange_fixture.h"
#include "platform_api_p.h"

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <string_view>

namespace skylarkwind {

/// What calls of the platform's API take for an answer.
class platform_api_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(platform_api_test);
  CPPUNIT_TEST(InvalidStatusIsNoAnswer);
  CPPUNIT_TEST(AnswerThatBreaksOffIsNone);
  CPPUNIT_TEST(AnswerBeforeTheEndOfTheCallIsNone);
  CPPUNIT_TEST(WholeAnswerCounts);
  CPPUNIT_TEST(EndlessAnswerIsNone);
  CPPUNIT_TEST(CallIsNotSentAfterItsTime);
  CPPUNIT_TEST_SUITE_END();

  /// A call whose platform the test plays.
  struct played_call
  {
    explicit played_call(std::string aBody = "{}")
      : mApi("p:1", 0, mFixture.mPool, mFixture.mTimer, mFixture.mClock, mFixture.mCounters)
      , mCalling(mApi
                   .Call({ "POST", "/call", {}, std::move(aBody) },
                         mFixture.mClock.Now() + std::chrono::seconds{ 1 })
                   .then([this](int aStatus) { mStatus = aStatus; })
                   .eagerlyEvaluate(nullptr))
    {
      mFixture.Run();
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, mFixture.mServers.size());
    }
    void Take(std::size_t aMost = 64 * 1'024) { mFixture.Read(*mFixture.mServers.front(), aMost); }
    void Write(const std::string& aBytes) { mFixture.Write(*mFixture.mServers.front(), aBytes); }
    void End()
    {
      mFixture.mServers.front()->shutdownWrite();
      mFixture.Run();
    }
    /// The status that the call gives at the latest when its time is over.
    int Status()
    {
      mFixture.Advance(std::chrono::seconds{ 1 });
      CPPUNIT_ASSERT(mStatus.has_value());
      return *mStatus;
    }

    exchange_fixture mFixture;
    platform_api mApi;
    std::optional<int> mStatus;
    kj::Promise<void> mCalling;
  };

  /// Guards against a status that no response has, passed on as the answer of the platform.
  void InvalidStatusIsNoAnswer()
  {
    for (const auto* status : { "000", "0", "99", "100", "600", "1000" }) {
      played_call call;
      call.Take();
      call.Write("HTTP/1.1 " + std::string{ status } + " OK\r\nContent-Length: 2\r\n\r\n{}");
      CPPUNIT_ASSERT_EQUAL_MESSAGE(status, 0, call.Status());
    }
  }

  /// Guards against a call that a daemon makes after its time as the holder of a task, because the
  /// connection was ready late.
  void CallIsNotSentAfterItsTime()
  {
    exchange_fixture fixture;
    auto ready = kj::newPromiseAndFulfiller<void>();
    fixture.mNetwork.mBeforeConnect = [&ready] { return kj::mv(ready.promise); };
    platform_api api{ "p:1", 0, fixture.mPool, fixture.mTimer, fixture.mClock, fixture.mCounters };
    std::optional<int> status;
    auto calling = api
                     .Call({ "POST", "/call", {}, "{}" },
                           fixture.mClock.Now() + std::chrono::milliseconds{ 100 })
                     .then([&status](int aStatus) { status = aStatus; })
                     .eagerlyEvaluate(nullptr);
    fixture.Advance(std::chrono::milliseconds{ 101 });
    ready.fulfiller->fulfill();
    fixture.Run();
    CPPUNIT_ASSERT_EQUAL(platform_api::kNotSent, status.value_or(0));
    for (auto& server : fixture.mServers) {
      CPPUNIT_ASSERT_EQUAL(std::string{}, fixture.Read(*server));
    }
  }

  /// Guards against a call that counts as carried out though its answer broke off.
  void AnswerThatBreaksOffIsNone()
  {
    for (const auto* bytes :
         { "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{",
           "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n" }) {
      played_call call;
      call.Take();
      call.Write(bytes);
      call.End();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(bytes, 0, call.Status());
    }
  }

  /// Guards against a report that counts as received though the platform answered and closed before
  /// it had read the report.
  void AnswerBeforeTheEndOfTheCallIsNone()
  {
    played_call call{ std::string(200 * 1'024, 'x') };
    call.Take(1'000);
    call.Write("HTTP/1.1 200 OK\r\n\r\n{");
    call.End();
    CPPUNIT_ASSERT_EQUAL(0, call.Status());
  }

  /// Guards against answers without a body, or with a large one, that are not taken.
  void WholeAnswerCounts()
  {
    for (const auto& bytes :
         { std::string{ "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" },
           std::string{ "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}" },
           "HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n" + std::string(50'000, 'x') }) {
      played_call call;
      call.Take();
      call.Write(bytes);
      CPPUNIT_ASSERT_EQUAL(200, call.Status());
    }
    {
      played_call refused;
      refused.Take();
      refused.Write("HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n");
      CPPUNIT_ASSERT_EQUAL(409, refused.Status());
    }
    played_call closed;
    closed.Take();
    closed.Write("HTTP/1.1 200 OK\r\n\r\n{}");
    closed.End();
    CPPUNIT_ASSERT_EQUAL(200, closed.Status());
  }

  /// Guards against a call that waits for the end of an answer beyond its time limit.
  void EndlessAnswerIsNone()
  {
    played_call call;
    call.Take();
    call.Write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n{");
    CPPUNIT_ASSERT(!call.mStatus);
    CPPUNIT_ASSERT_EQUAL(0, call.Status());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_api_test);

} // namespace skylarkwind
