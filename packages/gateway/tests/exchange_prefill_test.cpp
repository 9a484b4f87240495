#include "exchange_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Prompts that are computed at one engine and streamed by another one, in one event loop.
class exchange_prefill_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(exchange_prefill_test);
  CPPUNIT_TEST(PrefillGoesToTheDecodeEngine);
  CPPUNIT_TEST(SilentPrefillIsKeptWhenNoBudgetIsLeft);
  CPPUNIT_TEST(SilentPrefillIsKeptWhenTheOtherEngineRefuses);
  CPPUNIT_TEST(SilentPrefillThatEndsCancelsTheOther);
  CPPUNIT_TEST(OtherPrefillThatEndsCancelsTheSilentOne);
  CPPUNIT_TEST(OtherEngineGoesOnWhenTheSilentPrefillFails);
  CPPUNIT_TEST(SilentPrefillIsKeptWhileARunMayBeRefused);
  CPPUNIT_TEST(RunThatIsTakenCancelsTheSilentPrefill);
  CPPUNIT_TEST(RunThatIsTakenOutlivesAHandleThatWaits);
  CPPUNIT_TEST(CallerThatLeavesEndsBothPrefills);
  CPPUNIT_TEST(PrefillWithAnInvalidStatusIsNoHandle);
  CPPUNIT_TEST(PrefilledRequestIsNotSentAfterItsTimeLimit);
  CPPUNIT_TEST(RequestWhoseConnectionOpensLateIsNotSent);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char* kRequest =
    "POST /resumed/a HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nPrompt: 20000\r\nContent-Length: "
    "1\r\n\r\nb";
  static constexpr const char* kHandle = "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nkv";
  static constexpr const char* kRefusal =
    "HTTP/1.1 503 Full\r\nId: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  static constexpr const char* kStream =
    "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Type: text/event-stream"
    "\r\nTransfer-Encoding: chunked\r\n\r\n11\r\nid: 1\ndata: one\n\n\r\n0\r\n\r\n";

  /// A request whose prompt is being computed by the first connection. `aPrefills` engines
  /// compute prompts, one streams. Connections are counted in the order in which they are opened.
  struct open_request : played_exchange
  {
    explicit open_request(int aPrefills)
    {
      forward_configuration configuration = *mFixture.mRoutes.Current();
      ++configuration.mVersion;
      for (auto& route : configuration.mRoutes) {
        route.mTargetLatency = milliseconds{ 1'000 };
        route.mMaxAttempts = 3;
      }
      auto& engine = configuration.mServices.front().mEngine.emplace();
      engine.mSlots = 8;
      engine.mKvTokens = 400'000;
      engine.mKvBytesPerToken = 1'000;
      engine.mLinkMbps = 100'000;
      mFixture.mRoutes.Apply(std::make_shared<const forward_configuration>(configuration));
      mFixture.mDirectory.Remove("s1", false, mFixture.mClock.Now());
      for (int i = 1; i <= aPrefills; ++i) {
        mFixture.AddServer('p' + std::to_string(i), engine_role::Prefill);
      }
      mFixture.AddServer("d1", engine_role::Decode);
      mCaller = mFixture.mPort.Connect();
      mFixture.Write(*mCaller, kRequest);
      const auto request = mFixture.Read(Server(0));
      CPPUNIT_ASSERT_MESSAGE(request, request.find("Stage: prefill") != std::string::npos);
    }
    /// Passes time until the pool has opened one more connection, and reads the request on it.
    std::string NextRequest()
    {
      const auto before = mFixture.mServers.size();
      for (int i = 0; i < 60 && mFixture.mServers.size() == before; ++i) {
        Pass(milliseconds{ 50 });
      }
      return mFixture.Read(Server(before));
    }
    /// Plays the decode engine on connection `aIndex`, which must get a prefilled prompt.
    void FinishWithKv(std::size_t aIndex)
    {
      const auto run = mFixture.Read(Server(aIndex));
      CPPUNIT_ASSERT_MESSAGE(run, run.find("Kv: ") != std::string::npos);
      Finish(aIndex);
    }
    void Finish(std::size_t aIndex)
    {
      mFixture.Write(Server(aIndex), kStream);
      const auto response = mFixture.Read(*mCaller);
      CPPUNIT_ASSERT_MESSAGE(response, response.ends_with("0\r\n\r\n"));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, mFixture.mListener.OpenRequests());
      for (const auto& load : mFixture.mLoadTracker.OwnLoad(mFixture.mClock.Now())) {
        CPPUNIT_ASSERT_EQUAL(0U, load.mRunning);
      }
    }
  };

  static bool IsPrefill(const std::string& aRequest)
  {
    return aRequest.find("Stage: prefill") != std::string::npos;
  }

  void PrefillGoesToTheDecodeEngine()
  {
    open_request request{ 1 };
    request.mFixture.Write(request.Server(0), kHandle);
    request.FinishWithKv(1);
  }

  /// Guards against a prefill that is given up though no other engine may compute the prompt.
  void SilentPrefillIsKeptWhenNoBudgetIsLeft()
  {
    open_request request{ 2 };
    auto& budget = request.mFixture.mRetryBudget;
    while (budget.TryTake("service", 1, 1, request.mFixture.mClock.Now())) {
    }
    request.Pass(milliseconds{ 2'500 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, request.mFixture.mServers.size());
    CPPUNIT_ASSERT(!request.Closed(0));
    request.mFixture.Write(request.Server(0), kHandle);
    request.FinishWithKv(1);
  }

  /// Guards against a prefill that is given up before another engine has taken the request.
  void SilentPrefillIsKeptWhenTheOtherEngineRefuses()
  {
    open_request request{ 2 };
    CPPUNIT_ASSERT(IsPrefill(request.NextRequest()));
    request.mFixture.Write(request.Server(1), kRefusal);
    CPPUNIT_ASSERT(!IsPrefill(request.mFixture.Read(request.Server(2))));
    request.mFixture.Write(request.Server(2), kRefusal);
    request.Pass(milliseconds{ 500 });
    CPPUNIT_ASSERT(!request.Closed(0));
    request.mFixture.Write(request.Server(0), kHandle);
    request.Pass(milliseconds{ 50 });
    request.FinishWithKv(3);
  }

  void SilentPrefillThatEndsCancelsTheOther()
  {
    open_request request{ 2 };
    CPPUNIT_ASSERT(IsPrefill(request.NextRequest()));
    request.mFixture.Write(request.Server(0), kHandle);
    CPPUNIT_ASSERT(request.Closed(1));
    request.FinishWithKv(2);
  }

  void OtherPrefillThatEndsCancelsTheSilentOne()
  {
    open_request request{ 2 };
    CPPUNIT_ASSERT(IsPrefill(request.NextRequest()));
    CPPUNIT_ASSERT(!request.Closed(0));
    request.mFixture.Write(request.Server(1), kHandle);
    CPPUNIT_ASSERT(request.Closed(0));
    request.FinishWithKv(2);
  }

  void OtherEngineGoesOnWhenTheSilentPrefillFails()
  {
    open_request request{ 2 };
    CPPUNIT_ASSERT(IsPrefill(request.NextRequest()));
    request.Server(0).shutdownWrite();
    request.mFixture.Run();
    CPPUNIT_ASSERT(!request.Closed(1));
    request.mFixture.Write(request.Server(1), kHandle);
    request.FinishWithKv(2);
  }

  /// Guards against a run that is cancelled for a prefill, and a prefill that is given up for a run
  /// that is refused.
  void SilentPrefillIsKeptWhileARunMayBeRefused()
  {
    open_request request{ 1 };
    CPPUNIT_ASSERT(!IsPrefill(request.NextRequest()));
    request.mFixture.Write(request.Server(0), kHandle);
    request.Pass(milliseconds{ 100 });
    CPPUNIT_ASSERT(!request.Closed(1));
    request.mFixture.Write(request.Server(1), kRefusal);
    request.Pass(milliseconds{ 50 });
    request.FinishWithKv(2);
  }

  void RunThatIsTakenCancelsTheSilentPrefill()
  {
    open_request request{ 1 };
    CPPUNIT_ASSERT(!IsPrefill(request.NextRequest()));
    CPPUNIT_ASSERT(!request.Closed(0));
    request.Finish(1);
    CPPUNIT_ASSERT(request.Closed(0));
  }

  /// Guards against a stream that is broken off, and begun anew, by the handle of a prefill that
  /// arrived while the run had not been answered yet.
  void RunThatIsTakenOutlivesAHandleThatWaits()
  {
    open_request request{ 1 };
    CPPUNIT_ASSERT(!IsPrefill(request.NextRequest()));
    request.mFixture.Write(request.Server(0), kHandle);
    const std::string stream{ kStream };
    const auto end = stream.rfind("0\r\n\r\n");
    request.mFixture.Write(request.Server(1), stream.substr(0, end));
    request.Pass(milliseconds{ 100 });
    CPPUNIT_ASSERT(!request.Closed(1));
    request.mFixture.Write(request.Server(1), stream.substr(end));
    const auto response = request.mFixture.Read(*request.mCaller);
    CPPUNIT_ASSERT_MESSAGE(response,
                           response.ends_with(stream.substr(stream.find("\r\n\r\n") + 4)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, request.mFixture.mServers.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, request.mFixture.mListener.OpenRequests());
  }

  void CallerThatLeavesEndsBothPrefills()
  {
    open_request request{ 2 };
    CPPUNIT_ASSERT(IsPrefill(request.NextRequest()));
    request.mCaller = nullptr;
    request.mFixture.Run();
    CPPUNIT_ASSERT(request.Closed(0));
    CPPUNIT_ASSERT(request.Closed(1));
    for (const auto& load : request.mFixture.mLoadTracker.OwnLoad(request.mFixture.mClock.Now())) {
      CPPUNIT_ASSERT_EQUAL(0U, load.mRunning);
    }
  }

  /// Guards against a KV handle that is taken from bytes that are no response, and against such
  /// bytes as the answer to the caller.
  void PrefillWithAnInvalidStatusIsNoHandle()
  {
    for (const auto* status : { "000", "0", "99", "100", "1000" }) {
      const auto bytes =
        "HTTP/1.1 " + std::string{ status } + " OK\r\nId: r1\r\nContent-Length: 2\r\n\r\nkv";
      open_request request{ 2 };
      request.mFixture.Write(request.Server(0), bytes);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(status, std::string{}, request.mFixture.Read(*request.mCaller));
      const auto next = request.NextRequest();
      CPPUNIT_ASSERT_MESSAGE(status + next, next.find("Kv: ") == std::string::npos);
      // Every further engine does the same.
      for (std::size_t i = 1; i < request.mFixture.mServers.size(); ++i) {
        request.mFixture.Write(request.Server(i), bytes);
        request.Pass(milliseconds{ 200 });
        if (i + 1 < request.mFixture.mServers.size()) {
          const auto sent = request.mFixture.Read(request.Server(i + 1));
          CPPUNIT_ASSERT_MESSAGE(status + sent, sent.find("Kv: ") == std::string::npos);
        }
      }
      request.Pass(seconds{ 5 });
      const auto received = request.mFixture.Read(*request.mCaller);
      CPPUNIT_ASSERT_MESSAGE(status + received, received.starts_with("HTTP/1.1 502 "));
    }
  }

  /// Guards against work that reaches an engine after the caller's time limit because the daemon
  /// was busy and its timers ran late (GONE).
  void PrefilledRequestIsNotSentAfterItsTimeLimit()
  {
    open_request request{ 1 };
    const auto before = request.mFixture.mServers.size();
    request.mFixture.mClock.Advance(seconds{ 5 }); // the timers have not run yet
    request.mFixture.Write(request.Server(0), kHandle);
    for (std::size_t i = before; i < request.mFixture.mServers.size(); ++i) {
      const auto sent = request.mFixture.Read(request.Server(i));
      CPPUNIT_ASSERT_MESSAGE(sent, sent.find("Kv: ") == std::string::npos);
    }
    const auto answer = request.mFixture.Read(*request.mCaller);
    CPPUNIT_ASSERT_MESSAGE(answer, answer.find("503 ") != std::string::npos);
  }

  /// Guards against the same while a connection opens.
  void RequestWhoseConnectionOpensLateIsNotSent()
  {
    open_request request{ 1 };
    const auto before = request.mFixture.mServers.size();
    auto opening = kj::newPromiseAndFulfiller<void>();
    request.mFixture.mNetwork.mBeforeConnect = [&] { return kj::mv(opening.promise); };
    request.mFixture.Write(request.Server(0), kHandle);
    request.mFixture.mNetwork.mBeforeConnect = nullptr;
    request.mFixture.mClock.Advance(seconds{ 5 });
    opening.fulfiller->fulfill();
    request.mFixture.Run();
    for (std::size_t i = before; i < request.mFixture.mServers.size(); ++i) {
      const auto sent = request.mFixture.Read(request.Server(i));
      CPPUNIT_ASSERT_MESSAGE(sent, sent.find("Kv: ") == std::string::npos);
    }
    const auto answer = request.mFixture.Read(*request.mCaller);
    CPPUNIT_ASSERT_MESSAGE(answer, answer.find("503 ") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_prefill_test);

} // namespace skylarkwind
