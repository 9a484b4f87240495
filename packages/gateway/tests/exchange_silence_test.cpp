#include "exchange_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using std::chrono::milliseconds;

/// Streams whose server is silent for a time, in one event loop.
class exchange_silence_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(exchange_silence_test);
  CPPUNIT_TEST(SilentServerThatGoesOnEndsItsStream);
  CPPUNIT_TEST(SilentServerIsKeptWhenTheReplacementRefuses);
  CPPUNIT_TEST(SilentServerIsKeptWhenTheReplacementIsUnreachable);
  CPPUNIT_TEST(SilentServerThatGoesOnCancelsTheReplacement);
  CPPUNIT_TEST(ReplacementTakesTheStreamWithItsFirstEvent);
  CPPUNIT_TEST(ReplacementFailsAfterTheSilentServer);
  CPPUNIT_TEST(SilentServerIsGivenUpBeforeTwoWorkForLong);
  CPPUNIT_TEST(SilenceBeforeTheFirstEventKeepsTheServer);
  CPPUNIT_TEST(SilentServerThatFailsLeavesTheReplacement);
  CPPUNIT_TEST(ReplacementThatFallsSilentIsReplaced);
  CPPUNIT_TEST(ReplacementLeftAloneThatFallsSilentIsReplaced);
  CPPUNIT_TEST(SlowCallerIsNotTakenForASilentServer);
  CPPUNIT_TEST(ServerThatSendsOnlyCommentsIsReplaced);
  CPPUNIT_TEST(CallerThatLeavesEndsBothStreams);
  CPPUNIT_TEST(BegunStreamWaitsForAPlace);
  CPPUNIT_TEST(BegunStreamWaitsForRetryBudget);
  CPPUNIT_TEST(HeldUpDaemonTakesAReplacementsFirstEvent);
  CPPUNIT_TEST(HeldUpDaemonSeesTheSilentServerFail);
  CPPUNIT_TEST(HeldUpDaemonEndsTheOverlap);
  CPPUNIT_TEST(HeldUpDaemonTakesAReplacementsEnd);
  CPPUNIT_TEST(OverlapCountsOverSeveralReplacements);
  CPPUNIT_TEST(CancelledConnectUsesNoAttempt);
  CPPUNIT_TEST(ServerFailsWhileNoReplacementIsFound);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char* kRequest =
    "POST /resumed/a HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nContent-Length: 1\r\n\r\nb";
  static constexpr const char* kHead =
    "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Type: text/event-stream"
    "\r\nTransfer-Encoding: chunked\r\n\r\n";
  static constexpr const char* kRefusal =
    "HTTP/1.1 503 Full\r\nId: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
  static constexpr const char* kEnd = "0\r\n\r\n";

  static std::string Event(int aId)
  {
    return "11\r\nid: " + std::to_string(aId) + "\ndata: one\n\n\r\n";
  }

  /// A stream of one event at `s1`; the caller has read it.
  struct begun_stream : played_exchange
  {
    explicit begun_stream(int aServers, std::uint32_t aMaxAttempts = 2)
    {
      forward_configuration configuration = *mFixture.mRoutes.Current();
      ++configuration.mVersion;
      for (auto& route : configuration.mRoutes) {
        route.mMaxAttempts = aMaxAttempts;
      }
      mFixture.mRoutes.Apply(std::make_shared<const forward_configuration>(configuration));
      for (int i = 2; i <= aServers; ++i) {
        mFixture.AddServer('s' + std::to_string(i));
      }
      mCaller = mFixture.mPort.Connect();
      mFixture.Write(*mCaller, kRequest);
      mFixture.Read(Server(0));
      mFixture.Write(Server(0), kHead + Event(1));
      const auto begun = mFixture.Read(*mCaller);
      CPPUNIT_ASSERT_MESSAGE(begun, begun.ends_with(Event(1)));
    }
  };

  /// Guards against a stream that is broken off because its only server is silent for a second.
  void SilentServerThatGoesOnEndsItsStream()
  {
    begun_stream stream{ 1 };
    stream.Pass(milliseconds{ 1'500 });
    stream.mFixture.Write(stream.Server(0), Event(2) + kEnd);
    CPPUNIT_ASSERT_EQUAL(Event(2) + kEnd, stream.mFixture.Read(*stream.mCaller));
  }

  /// Guards against a silent server that is given up before another one has taken the stream.
  void SilentServerIsKeptWhenTheReplacementRefuses()
  {
    begun_stream stream{ 2 };
    stream.Pass(milliseconds{ 800 });
    const auto request = stream.mFixture.Read(stream.Server(1));
    CPPUNIT_ASSERT_MESSAGE(request, request.starts_with("POST /resumed/a"));
    stream.mFixture.Write(stream.Server(1), kRefusal);
    stream.Pass(milliseconds{ 700 });
    stream.mFixture.Write(stream.Server(0), Event(2) + kEnd);
    CPPUNIT_ASSERT_EQUAL(Event(2) + kEnd, stream.mFixture.Read(*stream.mCaller));
  }

  /// The same where the other server cannot be reached, which takes longer than two servers may
  /// work at the same time.
  void SilentServerIsKeptWhenTheReplacementIsUnreachable()
  {
    begun_stream stream{ 2 };
    stream.mFixture.mNetwork.mConnects = false;
    stream.Pass(milliseconds{ 1'500 });
    CPPUNIT_ASSERT(!stream.Closed(0));
    stream.mFixture.Write(stream.Server(0), Event(2) + kEnd);
    CPPUNIT_ASSERT_EQUAL(Event(2) + kEnd, stream.mFixture.Read(*stream.mCaller));
  }

  /// Guards against events of two servers in one stream, and work that goes on at both.
  void SilentServerThatGoesOnCancelsTheReplacement()
  {
    begun_stream stream{ 2 };
    stream.Pass(milliseconds{ 800 });
    stream.mFixture.Read(stream.Server(1));
    stream.mFixture.Write(stream.Server(1), kHead);
    stream.mFixture.Write(stream.Server(0), Event(2));
    CPPUNIT_ASSERT_EQUAL(Event(2), stream.mFixture.Read(*stream.mCaller));
    CPPUNIT_ASSERT(stream.Closed(1));
    stream.mFixture.Write(stream.Server(0), Event(3) + kEnd);
    CPPUNIT_ASSERT_EQUAL(Event(3) + kEnd, stream.mFixture.Read(*stream.mCaller));
  }

  void ReplacementTakesTheStreamWithItsFirstEvent()
  {
    begun_stream stream{ 2 };
    stream.Pass(milliseconds{ 800 });
    stream.mFixture.Read(stream.Server(1));
    stream.mFixture.Write(stream.Server(1), kHead + Event(2));
    CPPUNIT_ASSERT_EQUAL(Event(2), stream.mFixture.Read(*stream.mCaller));
    CPPUNIT_ASSERT(stream.Closed(0));
    stream.mFixture.Write(stream.Server(1), Event(3) + kEnd);
    CPPUNIT_ASSERT_EQUAL(Event(3) + kEnd, stream.mFixture.Read(*stream.mCaller));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, stream.mFixture.mListener.OpenRequests());
  }

  /// Guards against a stream without an end after both servers have failed.
  void ReplacementFailsAfterTheSilentServer()
  {
    begun_stream stream{ 2 };
    stream.Pass(milliseconds{ 800 });
    stream.mFixture.Read(stream.Server(1));
    stream.Server(0).shutdownWrite();
    stream.mFixture.Run();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, stream.mFixture.mListener.OpenRequests());
    stream.Server(1).shutdownWrite();
    stream.mFixture.Run();
    CPPUNIT_ASSERT_EQUAL(std::string{}, stream.mFixture.Read(*stream.mCaller));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, stream.mFixture.mListener.OpenRequests());
  }

  /// Guards against two servers that work on the same request for more than 400 ms.
  void SilentServerIsGivenUpBeforeTwoWorkForLong()
  {
    begun_stream stream{ 2 };
    stream.Pass(milliseconds{ 800 });
    stream.mFixture.Read(stream.Server(1));
    CPPUNIT_ASSERT(!stream.Closed(0));
    stream.Pass(milliseconds{ 350 });
    CPPUNIT_ASSERT(stream.Closed(0));
    stream.mFixture.Write(stream.Server(1), kHead + Event(2) + kEnd);
    CPPUNIT_ASSERT_EQUAL(Event(2) + kEnd, stream.mFixture.Read(*stream.mCaller));
  }

  /// Guards against a response that fails because its server is silent before the first event.
  void SilenceBeforeTheFirstEventKeepsTheServer()
  {
    exchange_fixture fixture;
    auto caller = fixture.mPort.Connect();
    fixture.Write(*caller, kRequest);
    auto& server = *fixture.mServers.front();
    fixture.Read(server);
    fixture.Write(server, kHead);
    for (int i = 0; i < 40; ++i) {
      fixture.Advance(milliseconds{ 50 });
    }
    fixture.Write(server, Event(1) + kEnd);
    const auto response = fixture.Read(*caller);
    CPPUNIT_ASSERT_MESSAGE(response, response.starts_with("HTTP/1.1 200 "));
    CPPUNIT_ASSERT_MESSAGE(response, response.ends_with(Event(1) + kEnd));
  }

  void SilentServerThatFailsLeavesTheReplacement()
  {
    begun_stream stream{ 2 };
    stream.Pass(milliseconds{ 800 });
    stream.mFixture.Read(stream.Server(1));
    stream.Server(0).shutdownWrite();
    stream.Pass(milliseconds{ 500 });
    stream.mFixture.Write(stream.Server(1), kHead + Event(2) + kEnd);
    CPPUNIT_ASSERT_EQUAL(Event(2) + kEnd, stream.mFixture.Read(*stream.mCaller));
  }

  void ReplacementThatFallsSilentIsReplaced()
  {
    begun_stream stream{ 3, 3 };
    stream.Pass(milliseconds{ 800 });
    stream.mFixture.Read(stream.Server(1));
    stream.mFixture.Write(stream.Server(1), kHead + Event(2));
    CPPUNIT_ASSERT_EQUAL(Event(2), stream.mFixture.Read(*stream.mCaller));
    stream.Pass(milliseconds{ 800 });
    stream.mFixture.Read(stream.Server(2));
    CPPUNIT_ASSERT(!stream.Closed(1));
    stream.mFixture.Write(stream.Server(2), kHead + Event(3) + kEnd);
    CPPUNIT_ASSERT_EQUAL(Event(3) + kEnd, stream.mFixture.Read(*stream.mCaller));
  }

  /// Guards against a replacement that is no longer read after the silent server has failed.
  void ReplacementLeftAloneThatFallsSilentIsReplaced()
  {
    for (const bool second : { false, true }) {
      begun_stream stream{ 3, 3 };
      stream.Pass(milliseconds{ 800 });
      stream.mFixture.Read(stream.Server(1));
      stream.mFixture.Write(stream.Server(1), kHead);
      stream.Server(0).shutdownWrite();
      stream.Pass(milliseconds{ 800 });
      stream.mFixture.Read(stream.Server(2));
      auto& server = stream.Server(second ? 2 : 1);
      stream.mFixture.Write(server, (second ? kHead : "") + Event(2) + kEnd);
      CPPUNIT_ASSERT_EQUAL(Event(2) + kEnd, stream.mFixture.Read(*stream.mCaller));
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, stream.mFixture.mListener.OpenRequests());
    }
  }

  /// Guards against a replacement for a server whose events wait for a slow caller.
  void SlowCallerIsNotTakenForASilentServer()
  {
    begun_stream stream{ 2 };
    stream.mFixture.Write(stream.Server(0), Event(2));
    stream.Pass(milliseconds{ 1'500 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, stream.mFixture.mServers.size());
    CPPUNIT_ASSERT_EQUAL(Event(2), stream.mFixture.Read(*stream.mCaller));
    stream.Pass(milliseconds{ 600 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, stream.mFixture.mServers.size());
    stream.mFixture.Write(stream.Server(0), Event(3) + kEnd);
    CPPUNIT_ASSERT_EQUAL(Event(3) + kEnd, stream.mFixture.Read(*stream.mCaller));
  }

  /// Guards against a stalled stream whose server sends comments for ever.
  void ServerThatSendsOnlyCommentsIsReplaced()
  {
    begun_stream stream{ 2 };
    for (int i = 0; i < 8; ++i) {
      stream.Pass(milliseconds{ 100 });
      stream.mFixture.Write(stream.Server(0), "4\r\n: c\n\r\n4\r\n\n: c\r\n1\r\n\n\r\n");
      stream.mFixture.Read(*stream.mCaller);
    }
    stream.mFixture.Read(stream.Server(1));
    stream.mFixture.Write(stream.Server(1), kHead + Event(2) + kEnd);
    CPPUNIT_ASSERT_EQUAL(Event(2) + kEnd, stream.mFixture.Read(*stream.mCaller));
  }

  /// Guards against servers that work on for a caller that has left.
  void CallerThatLeavesEndsBothStreams()
  {
    begun_stream stream{ 2 };
    stream.Pass(milliseconds{ 800 });
    stream.mFixture.Read(stream.Server(1));
    stream.mCaller = nullptr;
    stream.mFixture.Run();
    CPPUNIT_ASSERT(stream.Closed(0));
    CPPUNIT_ASSERT(stream.Closed(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, stream.mFixture.mListener.OpenRequests());
  }

  /// Guards against a begun stream that is broken off because no server has a place at the moment
  /// at which its own one fails.
  void BegunStreamWaitsForAPlace()
  {
    begun_stream stream{ 1 };
    stream.Server(0).shutdownWrite();
    stream.Pass(milliseconds{ 500 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, stream.mFixture.mListener.OpenRequests());
    stream.mFixture.AddServer("s2");
    stream.Pass(milliseconds{ 100 });
    stream.mFixture.Read(stream.Server(1));
    stream.mFixture.Write(stream.Server(1), kHead + Event(2) + kEnd);
    CPPUNIT_ASSERT_EQUAL(Event(2) + kEnd, stream.mFixture.Read(*stream.mCaller));
  }

  /// Guards against a begun stream that is broken off because others have used up the retry budget.
  void BegunStreamWaitsForRetryBudget()
  {
    begun_stream stream{ 2 };
    auto& budget = stream.mFixture.mRetryBudget;
    while (budget.TryTake("service", 1, 1, stream.mFixture.mClock.Now())) {
    }
    stream.Server(0).shutdownWrite();
    stream.Pass(milliseconds{ 500 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, stream.mFixture.mServers.size());
    for (int i = 0; i < 100; ++i) {
      budget.OnRequest("service", stream.mFixture.mClock.Now());
    }
    stream.Pass(milliseconds{ 100 });
    stream.mFixture.Read(stream.Server(1));
    stream.mFixture.Write(stream.Server(1), kHead + Event(2) + kEnd);
    CPPUNIT_ASSERT_EQUAL(Event(2) + kEnd, stream.mFixture.Read(*stream.mCaller));
  }

  /// A replacement has sent its head; then nothing of the daemon runs for longer than the limit of
  /// silence.
  struct held_up_stream : begun_stream
  {
    held_up_stream()
      : begun_stream(3, 4)
    {
      Pass(milliseconds{ 750 });
      mFixture.Read(Server(1));
      mFixture.Write(Server(1), kHead);
    }
    /// Time that no timer sees before what has been written is read.
    void HoldUp() { mFixture.mClock.Advance(milliseconds{ 900 }); }
  };

  /// Guards against an event that is lost when it takes the stream later than a silence lasts.
  void HeldUpDaemonTakesAReplacementsFirstEvent()
  {
    held_up_stream stream;
    stream.HoldUp();
    stream.mFixture.Write(stream.Server(1), Event(2));
    CPPUNIT_ASSERT_EQUAL(Event(2), stream.mFixture.Read(*stream.mCaller));
    stream.mFixture.Write(stream.Server(1), Event(3) + kEnd);
    CPPUNIT_ASSERT_EQUAL(Event(3) + kEnd, stream.mFixture.Read(*stream.mCaller));
  }

  /// Guards against a promise that is destroyed by its own continuation.
  void HeldUpDaemonSeesTheSilentServerFail()
  {
    held_up_stream stream;
    stream.HoldUp();
    stream.Server(0).shutdownWrite();
    stream.mFixture.Run();
    stream.mFixture.Write(stream.Server(1), Event(2) + kEnd);
    CPPUNIT_ASSERT_EQUAL(Event(2) + kEnd, stream.mFixture.Read(*stream.mCaller));
  }

  /// Guards against a promise that is destroyed by its own continuation.
  void HeldUpDaemonEndsTheOverlap()
  {
    held_up_stream stream;
    stream.mFixture.Advance(milliseconds{ 900 });
    stream.mFixture.Write(stream.Server(1), Event(2) + kEnd);
    CPPUNIT_ASSERT_EQUAL(Event(2) + kEnd, stream.mFixture.Read(*stream.mCaller));
  }

  /// Guards against an end that is handled after another attempt has begun.
  void HeldUpDaemonTakesAReplacementsEnd()
  {
    held_up_stream stream;
    stream.HoldUp();
    stream.mFixture.Write(stream.Server(1), kEnd);
    CPPUNIT_ASSERT_EQUAL(std::string{ kEnd }, stream.mFixture.Read(*stream.mCaller));
  }

  /// Guards against a silent server that works on beside one replacement after another.
  void OverlapCountsOverSeveralReplacements()
  {
    begun_stream stream{ 3, 4 };
    stream.Pass(milliseconds{ 800 });
    stream.mFixture.Read(stream.Server(1));
    stream.Pass(milliseconds{ 150 });
    stream.mFixture.Write(stream.Server(1), kHead);
    stream.Server(1).shutdownWrite();
    stream.mFixture.Run();
    stream.Pass(milliseconds{ 250 });
    stream.mFixture.Read(stream.Server(2));
    CPPUNIT_ASSERT(stream.Closed(0));
  }

  /// Guards against attempts that are used up by servers that have received nothing.
  void CancelledConnectUsesNoAttempt()
  {
    begun_stream stream{ 2 };
    stream.mFixture.mNetwork.mConnects = false;
    stream.Pass(milliseconds{ 800 });
    stream.mFixture.Write(stream.Server(0), Event(2));
    CPPUNIT_ASSERT_EQUAL(Event(2), stream.mFixture.Read(*stream.mCaller));
    stream.mFixture.mNetwork.mConnects = true;
    stream.Server(0).shutdownWrite();
    stream.Pass(milliseconds{ 200 });
    stream.mFixture.Read(stream.Server(1));
    stream.mFixture.Write(stream.Server(1), kHead + Event(3) + kEnd);
    CPPUNIT_ASSERT_EQUAL(Event(3) + kEnd, stream.mFixture.Read(*stream.mCaller));
  }

  /// Guards against a stream that is broken off because its server fails at the moment at which a
  /// replacement is looked for and none has a place.
  void ServerFailsWhileNoReplacementIsFound()
  {
    for (int turns = 0; turns < 40; ++turns) {
      begun_stream stream{ 1 };
      stream.Pass(milliseconds{ 650 });
      stream.mFixture.mClock.Advance(milliseconds{ 50 });
      stream.Server(0).shutdownWrite();
      stream.mFixture.mLoop.run(static_cast<kj::uint>(turns));
      stream.mFixture.mTimer.advanceTo(stream.mFixture.mTimer.now() + ToKj(milliseconds{ 50 }));
      stream.mFixture.Run();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(
        std::to_string(turns), std::size_t{ 1 }, stream.mFixture.mListener.OpenRequests());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_silence_test);

} // namespace skylarkwind
