#include "exchange_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <kj/debug.h>

#include <array>
#include <cstdlib>
#include <optional>
#include <string>
#include <vector>

namespace skylarkwind {

namespace {

/// How a server states the end of its body.
enum class framing
{
  Length,
  Chunks,
  Connection ///< not at all: the body ends with the connection
};

constexpr std::array kFramings{ framing::Length, framing::Chunks, framing::Connection };

const std::string kEvents = "id: 1\ndata: one\n\nid: 2\ndata: two\n\n";

struct whole_answer
{
  std::string mHead;
  std::string mBody;      ///< as framed
  std::size_t mWhole = 0; ///< bytes of head and body with which the whole body has arrived

  std::string Text() const { return mHead + mBody; }
};

std::string
Hex(std::size_t aSize)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  for (; aSize > 0; aSize /= kDigits.size()) {
    text.insert(text.begin(), kDigits[aSize % kDigits.size()]);
  }
  return text;
}

std::string
Chunk(const std::string& aText)
{
  return Hex(aText.size()) + "\r\n" + aText + "\r\n";
}

/// An answer with the body, which is halved where it is sent in chunks.
whole_answer
Answer(framing aFraming, const std::string& aBody, const std::string& aHeaders)
{
  whole_answer answer{ "HTTP/1.1 200 OK\r\n" + aHeaders, aBody };
  if (aFraming == framing::Length) {
    answer.mHead += "Content-Length: " + std::to_string(aBody.size()) + "\r\n";
  } else if (aFraming == framing::Chunks) {
    answer.mHead += "Transfer-Encoding: chunked\r\n";
    const auto half = aBody.size() / 2;
    answer.mBody = Chunk(aBody.substr(0, half)) + Chunk(aBody.substr(half)) + "0\r\n\r\n";
  }
  answer.mHead += "\r\n";
  answer.mWhole = answer.Text().size();
  if (aFraming == framing::Chunks) {
    answer.mWhole -= 2;
  }
  return answer;
}

/// What a caller has received, judged by its framing alone.
struct caller_view
{
  explicit caller_view(const std::string& aText)
    : mText(aText)
  {
    const auto end = aText.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    mStatus = std::atoi(aText.c_str() + std::string_view{ "HTTP/1.1 " }.size());
    const auto head = aText.substr(0, end);
    const auto rest = aText.substr(end + 4);
    const std::string_view length = "Content-Length: ";
    if (const auto at = head.find(length); at != std::string::npos) {
      mWhole = rest.size() == std::strtoul(head.c_str() + at + length.size(), nullptr, 10);
      mBody = rest;
      return;
    }
    for (std::size_t at = 0; at < rest.size();) {
      const auto line = rest.find("\r\n", at);
      const auto size = std::strtoul(rest.c_str() + at, nullptr, 16);
      mWhole = size == 0 && rest.substr(at) == "0\r\n\r\n";
      if (line == std::string::npos || size == 0) {
        return;
      }
      mBody += rest.substr(line + 2, size);
      at = line + 2 + size + 2;
    }
  }

  bool Success() const { return mStatus / 100 == 2; }

  std::string mText;
  int mStatus = 0;
  bool mWhole = false;
  std::string mBody;
};

/// An end of a pipe whose connection the test can reset. Like a socket, it throws from the call
/// itself when the reset has arrived before a read.
class resettable_stream final : public kj::AsyncIoStream
{
public:
  explicit resettable_stream(kj::Own<kj::AsyncIoStream> aInner)
    : resettable_stream(kj::mv(aInner), kj::newPromiseAndFulfiller<size_t>())
  {
  }
  void Reset()
  {
    mReset = true;
    mFulfiller->reject(Error());
  }

  kj::Promise<size_t> read(void* aBuffer, size_t aMinBytes, size_t aMaxBytes) override
  {
    return tryRead(aBuffer, aMinBytes, aMaxBytes);
  }
  kj::Promise<size_t> tryRead(void* aBuffer, size_t aMinBytes, size_t aMaxBytes) override
  {
    if (mReset) {
      kj::throwFatalException(Error());
    }
    return mInner->tryRead(aBuffer, aMinBytes, aMaxBytes).exclusiveJoin(mWhenReset.addBranch());
  }
  kj::Promise<void> write(const void* aBuffer, size_t aSize) override
  {
    return mInner->write(aBuffer, aSize);
  }
  kj::Promise<void> write(kj::ArrayPtr<const kj::ArrayPtr<const kj::byte>> aPieces) override
  {
    return mInner->write(aPieces);
  }
  kj::Promise<void> whenWriteDisconnected() override { return mInner->whenWriteDisconnected(); }
  void shutdownWrite() override { mInner->shutdownWrite(); }

private:
  resettable_stream(kj::Own<kj::AsyncIoStream> aInner, kj::PromiseFulfillerPair<size_t> aReset)
    : mInner(kj::mv(aInner))
    , mWhenReset(aReset.promise.fork())
    , mFulfiller(kj::mv(aReset.fulfiller))
  {
  }
  static kj::Exception Error() { return KJ_EXCEPTION(DISCONNECTED, "the connection was reset"); }

  kj::Own<kj::AsyncIoStream> mInner;
  kj::ForkedPromise<size_t> mWhenReset;
  kj::Own<kj::PromiseFulfiller<size_t>> mFulfiller;
  bool mReset = false;
};

} // namespace

/// Answers that their server cuts off after any byte of head and body by closing its connection.
class exchange_cut_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(exchange_cut_test);
  CPPUNIT_TEST(CutAnswerToAnOrderIsAFailure);
  CPPUNIT_TEST(CutAnswerToALookupIsRepeated);
  CPPUNIT_TEST(CutAnswerToALookupWithoutAnotherServerIsAFailure);
  CPPUNIT_TEST(CutStreamLooksIncomplete);
  CPPUNIT_TEST(ResetAnswerNeverLooksWhole);
  CPPUNIT_TEST(StreamIsResumedAfterAResetBeforeTheNextRead);
  CPPUNIT_TEST(ResetDuringTheUploadIsNotTheEndOfTheBody);
  CPPUNIT_TEST(CloseDuringTheUploadIsNotTheEndOfTheBody);
  CPPUNIT_TEST(AnswerThatBreaksOffDuringTheUploadNeverLooksWhole);
  CPPUNIT_TEST(AnswerToALookupThatBreaksOffDuringTheUploadIsRepeated);
  CPPUNIT_TEST(AnswerAfterTheUploadEndsWithItsConnection);
  CPPUNIT_TEST(EmptyBodyWithoutLengthIsAFailure);
  CPPUNIT_TEST(StatedEmptyBodyIsDelivered);
  CPPUNIT_TEST(CutHeadIsAFailureOfTheCall);
  CPPUNIT_TEST(CutBodyIsAFailureOfTheCall);
  CPPUNIT_TEST_SUITE_END();

  static constexpr const char* kHeaders = "Id: r1\r\nSignature: s\r\n";

  /// One request whose first server answers with the first `aCut` bytes and closes.
  struct played
  {
    played(const std::string& aRoute, const std::string& aAnswer, bool aOtherServer)
      : played(aRoute, "b", std::nullopt, aAnswer, aOtherServer)
    {
    }
    /// The server reads `aTaken` bytes of the request, or all of it, before it answers.
    played(const std::string& aRoute,
           const std::string& aBody,
           std::optional<std::size_t> aTaken,
           const std::string& aAnswer,
           bool aOtherServer)
    {
      if (aOtherServer) {
        mFixture.AddServer("s2");
      }
      mFixture.mNetwork.mWrap = [this](kj::Own<kj::AsyncIoStream> aStream) {
        auto stream = kj::heap<resettable_stream>(kj::mv(aStream));
        mConnections.push_back(stream.get());
        return kj::Own<kj::AsyncIoStream>{ kj::mv(stream) };
      };
      auto configuration = *mFixture.mRoutes.Current();
      ++configuration.mVersion;
      auto lookup = configuration.mRoutes.front();
      lookup.mName = "lookup";
      lookup.mPathPrefix = "/lookup/";
      lookup.mKind = route_kind::Idempotent;
      configuration.mRoutes.push_back(lookup);
      mFixture.mRoutes.Apply(std::make_shared<const forward_configuration>(configuration));
      mCaller = mFixture.mPort.Connect();
      mFixture.Write(*mCaller,
                     "POST /" + aRoute +
                       "/a HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nContent-Length: " +
                       std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
      if (aTaken) {
        mFixture.Read(*mFixture.mServers.front(), *aTaken);
      } else {
        mFixture.Read(*mFixture.mServers.front(), aBody.size() + 64 * 1'024);
      }
      if (!aAnswer.empty()) {
        mFixture.Write(*mFixture.mServers.front(), aAnswer);
      }
    }
    void Close()
    {
      mFixture.mServers.front() = nullptr;
      mFixture.Run();
    }
    /// Ends what the server sends. Its end of the connection stays open, as at a socket whose peer
    /// has not yet been told that further bytes find no reader.
    void EndAnswer()
    {
      mFixture.mServers.front()->shutdownWrite();
      mFixture.Run();
    }
    void Reset()
    {
      mConnections.front()->Reset();
      mFixture.Run();
    }
    std::string Received() { return mFixture.Read(*mCaller); }
    /// Requests that servers have received so far; each takes a connection of its own.
    std::size_t Sent() const { return mFixture.mServers.size(); }

    exchange_fixture mFixture;
    kj::Own<kj::AsyncIoStream> mCaller;
    std::vector<resettable_stream*> mConnections; ///< in the order in which the pool opened them
  };

  static std::string Context(std::size_t aCut, const whole_answer& aAnswer, const std::string& aGot)
  {
    return "cut after " + std::to_string(aCut) + " of " + aAnswer.Text() + "\ngave " + aGot;
  }

  /// Whether the cut can be told from the end of the answer. In a body that ends with its
  /// connection, it can be told only before the first byte.
  static bool CanBeTold(framing aFraming, const whole_answer& aAnswer, std::size_t aCut)
  {
    return aFraming == framing::Connection ? aCut <= aAnswer.mHead.size() : aCut < aAnswer.mWhole;
  }

  /// Plays every cut and passes each caller's view to the check.
  template<class Check>
  static void PlayCuts(const std::string& aRoute,
                       const std::string& aBody,
                       const std::string& aHeaders,
                       bool aOtherServer,
                       Check aCheck)
  {
    for (const auto kind : kFramings) {
      const auto answer = Answer(kind, aBody, aHeaders);
      for (std::size_t cut = 0; cut <= answer.Text().size(); ++cut) {
        played request{ aRoute, answer.Text().substr(0, cut), aOtherServer };
        auto got = request.Received();
        request.Close();
        got += request.Received();
        aCheck(request, kind, answer, cut, caller_view{ got });
      }
    }
  }

  /// Guards against a success with an empty or short body, and against an order that is sent twice.
  void CutAnswerToAnOrderIsAFailure()
  {
    PlayCuts("order",
             "twelve bytes",
             kHeaders,
             true,
             [](const played& aRequest,
                framing aFraming,
                const whole_answer& aAnswer,
                std::size_t aCut,
                const caller_view& aView) {
               const auto context = Context(aCut, aAnswer, aView.mText);
               CPPUNIT_ASSERT_MESSAGE(context, aView.mWhole);
               CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::size_t{ 1 }, aRequest.Sent());
               const bool told = CanBeTold(aFraming, aAnswer, aCut);
               CPPUNIT_ASSERT_EQUAL_MESSAGE(context, told ? 502 : 200, aView.mStatus);
               if (aCut == aAnswer.Text().size()) {
                 CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::string{ "twelve bytes" }, aView.mBody);
               }
             });
  }

  /// Guards against a lookup that is not repeated elsewhere, or not at once, after its answer was
  /// cut off.
  void CutAnswerToALookupIsRepeated()
  {
    PlayCuts("lookup",
             "twelve bytes",
             kHeaders,
             true,
             [](played& aRequest,
                framing aFraming,
                const whole_answer& aAnswer,
                std::size_t aCut,
                const caller_view& aView) {
               const auto context = Context(aCut, aAnswer, aView.mText);
               if (!CanBeTold(aFraming, aAnswer, aCut)) {
                 CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 200, aView.mStatus);
                 return;
               }
               CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::string{}, aView.mText);
               CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::size_t{ 2 }, aRequest.Sent());
               auto& second = *aRequest.mFixture.mServers.back();
               aRequest.mFixture.Read(second);
               aRequest.mFixture.Write(second, Answer(framing::Length, "other", kHeaders).Text());
               const caller_view repeated{ aRequest.Received() };
               CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 200, repeated.mStatus);
               CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::string{ "other" }, repeated.mBody);
             });
  }

  void CutAnswerToALookupWithoutAnotherServerIsAFailure()
  {
    PlayCuts("lookup",
             "twelve bytes",
             kHeaders,
             false,
             [](const played&,
                framing aFraming,
                const whole_answer& aAnswer,
                std::size_t aCut,
                const caller_view& aView) {
               const auto context = Context(aCut, aAnswer, aView.mText);
               CPPUNIT_ASSERT_MESSAGE(context, aView.mWhole);
               const bool told = CanBeTold(aFraming, aAnswer, aCut);
               CPPUNIT_ASSERT_EQUAL_MESSAGE(context, told ? 502 : 200, aView.mStatus);
             });
  }

  /// Guards against a stream that ends as complete before its server has sent all of it.
  void CutStreamLooksIncomplete()
  {
    PlayCuts("stream",
             kEvents,
             std::string{ kHeaders } + "Content-Type: text/event-stream\r\n",
             true,
             [](const played& aRequest,
                framing aFraming,
                const whole_answer& aAnswer,
                std::size_t aCut,
                const caller_view& aView) {
               const auto context = Context(aCut, aAnswer, aView.mText);
               CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::size_t{ 1 }, aRequest.Sent());
               // Without a length, the end after an event is the stream's end.
               const auto first = kEvents.find("\n\n") + 2;
               const bool ends =
                 aFraming == framing::Connection
                   ? aCut == aAnswer.Text().size() || aCut == aAnswer.mHead.size() + first
                   : aCut >= aAnswer.mWhole;
               CPPUNIT_ASSERT_EQUAL_MESSAGE(context, ends, aView.Success() && aView.mWhole);
               if (aView.mStatus != 200) {
                 CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 502, aView.mStatus);
                 CPPUNIT_ASSERT_MESSAGE(context, aView.mWhole);
               }
             });
  }

  /// Guards against a reset that is taken for the end of an answer without a length.
  void ResetAnswerNeverLooksWhole()
  {
    for (const auto* route : { "order", "stream" }) {
      for (const auto kind : kFramings) {
        const auto answer =
          Answer(kind, kEvents, std::string{ kHeaders } + "Content-Type: text/event-stream\r\n");
        const auto last = kind == framing::Connection ? answer.mWhole + 1 : answer.mWhole;
        for (std::size_t cut = 0; cut < last; ++cut) {
          played request{ route, answer.Text().substr(0, cut), true };
          auto got = request.Received();
          request.Reset();
          got += request.Received();
          const caller_view view{ got };
          const auto context = Context(cut, answer, got);
          CPPUNIT_ASSERT_MESSAGE(context, !view.Success() || !view.mWhole);
          CPPUNIT_ASSERT_MESSAGE(context, view.Success() || (view.mStatus == 502 && view.mWhole));
          CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::size_t{ 1 }, request.Sent());
        }
      }
    }
  }

  /// Guards against a begun stream that is broken off instead of resumed because the reset of its
  /// server had arrived before the next read.
  void StreamIsResumedAfterAResetBeforeTheNextRead()
  {
    for (const auto kind : kFramings) {
      const auto answer =
        Answer(kind, kEvents, std::string{ kHeaders } + "Content-Type: text/event-stream\r\n");
      const auto half = answer.Text().find("id: 2");
      played request{ "resumed", answer.Text().substr(0, half), true };
      // The daemon reads no more until the caller has taken the first event.
      request.Reset();
      auto got = request.Received();
      CPPUNIT_ASSERT_EQUAL_MESSAGE(got, std::size_t{ 2 }, request.Sent());
      auto& second = *request.mFixture.mServers.back();
      request.mFixture.Read(second);
      request.mFixture.Write(second,
                             Answer(framing::Length,
                                    kEvents.substr(kEvents.find("id: 2")),
                                    std::string{ kHeaders } + "Content-Type: text/event-stream\r\n")
                               .Text());
      got += request.Received();
      const caller_view view{ got };
      CPPUNIT_ASSERT_MESSAGE(got, view.mWhole);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(got, kEvents, view.mBody);
    }
  }

  /// The loopback of the system, for calls by the pool alone.
  struct pool_loop
  {
    pool_loop()
      : mPort(mIo.provider->getNetwork().parseAddress("127.0.0.1:0").wait(mIo.waitScope)->listen())
    {
    }
    http_call Call()
    {
      http_call call;
      call.mAddress = "127.0.0.1:" + std::to_string(mPort->getPort());
      call.mHost = "a.example";
      call.mMethod = "POST";
      call.mTarget = "/a";
      call.mBody = "b";
      return call;
    }
    kj::Own<kj::AsyncIoStream> Accept() { return mPort->accept().wait(mIo.waitScope); }

    kj::AsyncIoContext mIo = kj::setupAsyncIo();
    system_clock_source mClock;
    kj::HttpHeaderTable mTable;
    http_pool mPool{ mIo.provider->getNetwork(), mIo.provider->getTimer(), mClock, mTable, {} };
    kj::Own<kj::ConnectionReceiver> mPort;
  };

  /// The body that a call gets of an answer whose server closes after these bytes, or nothing when
  /// the call or the reading fails.
  static std::optional<std::string> BodyOf(pool_loop& aLoop, const std::string& aBytes)
  {
    auto calling = aLoop.mPool.Call(aLoop.Call()).eagerlyEvaluate(nullptr);
    auto server = aLoop.Accept();
    std::array<char, 4'096> request{};
    std::string read;
    while (!read.ends_with("\r\n\r\nb")) {
      const auto count =
        server->tryRead(request.data(), 1, request.size()).wait(aLoop.mIo.waitScope);
      read.append(request.data(), count);
    }
    server->write(aBytes.data(), aBytes.size()).wait(aLoop.mIo.waitScope);
    server = nullptr;
    auto result = calling.wait(aLoop.mIo.waitScope);
    auto* answer = std::get_if<std::unique_ptr<http_answer>>(&result);
    if (answer == nullptr) {
      return std::nullopt;
    }
    std::optional<std::string> body;
    byte_budget budget{ 64 * 1'024 };
    ReadBodyOrThrow((*answer)->Body(), 16 * 1'024, budget)
      .then([&body](const buffered_body& aBody) { body = aBody.Text(); }, [](kj::Exception&&) {})
      .wait(aLoop.mIo.waitScope);
    return body;
  }

  /// Guards against calls of the store and role commands that take a cut head for an answer.
  void CutHeadIsAFailureOfTheCall()
  {
    pool_loop loop;
    for (const auto kind : kFramings) {
      const auto answer = Answer(kind, "twelve bytes", kHeaders);
      for (std::size_t cut = 0; cut < answer.mHead.size(); ++cut) {
        const auto body = BodyOf(loop, answer.mHead.substr(0, cut));
        CPPUNIT_ASSERT_MESSAGE(Context(cut, answer, body.value_or("")), !body);
      }
    }
  }

  /// Whether an empty body without a length is enough is for the callers of the pool to decide.
  void CutBodyIsAFailureOfTheCall()
  {
    pool_loop loop;
    for (const auto kind : kFramings) {
      const auto answer = Answer(kind, "twelve bytes", kHeaders);
      for (std::size_t cut = answer.mHead.size(); cut <= answer.Text().size(); ++cut) {
        const auto body = BodyOf(loop, answer.Text().substr(0, cut));
        CPPUNIT_ASSERT_EQUAL_MESSAGE(Context(cut, answer, body.value_or("nothing")),
                                     kind == framing::Connection || cut >= answer.mWhole,
                                     body.has_value());
      }
    }
  }

  /// Guards against an answer whose connection was reset while its request was still being sent:
  /// the failed write takes the error from the socket, and the read sees an orderly end.
  void ResetDuringTheUploadIsNotTheEndOfTheBody()
  {
    pool_loop loop;
    const std::string large(8 * 1'024 * 1'024, 'x');
    auto call = loop.Call();
    call.mBody = large;
    auto calling = loop.mPool.Call(std::move(call)).eagerlyEvaluate(nullptr);
    auto server = loop.Accept();
    const std::string part =
      "HTTP/1.1 200 OK\r\n" + std::string{ kHeaders } + "\r\n" + "half of the body";
    server->write(part.data(), part.size()).wait(loop.mIo.waitScope);
    auto result = calling.wait(loop.mIo.waitScope);
    auto& answer = std::get<std::unique_ptr<http_answer>>(result);
    // The server closes with unread input, which resets the connection. The pool learns of it from
    // the upload, as nobody reads.
    server = nullptr;
    for (int i = 0; i < 10; ++i) {
      loop.mIo.waitScope.poll();
    }
    byte_budget budget{ 64 * 1'024 };
    bool failed = false;
    ReadBodyOrThrow(answer->Body(), 16 * 1'024, budget)
      .then([](const buffered_body&) {}, [&failed](kj::Exception&&) { failed = true; })
      .wait(loop.mIo.waitScope);
    CPPUNIT_ASSERT(failed);
  }

  /// The same for a server that closes in order: the daemon saw the end of the body while it still
  /// had most of the request to write.
  void CloseDuringTheUploadIsNotTheEndOfTheBody()
  {
    pool_loop loop;
    const std::string large(8 * 1'024 * 1'024, 'x');
    auto call = loop.Call();
    call.mBody = large;
    auto calling = loop.mPool.Call(std::move(call)).eagerlyEvaluate(nullptr);
    auto server = loop.Accept();
    const std::string part =
      "HTTP/1.1 200 OK\r\n" + std::string{ kHeaders } + "\r\n" + "half of the body";
    server->write(part.data(), part.size()).wait(loop.mIo.waitScope);
    server->shutdownWrite();
    auto result = calling.wait(loop.mIo.waitScope);
    auto& answer = std::get<std::unique_ptr<http_answer>>(result);
    byte_budget budget{ 64 * 1'024 };
    bool failed = false;
    ReadBodyOrThrow(answer->Body(), 16 * 1'024, budget)
      .then([](const buffered_body&) {}, [&failed](kj::Exception&&) { failed = true; })
      .wait(loop.mIo.waitScope);
    CPPUNIT_ASSERT(failed);
  }

  /// A body that servers have not read whole when they answer.
  static std::string LargeBody() { return std::string(200 * 1'024, 'x'); }

  /// How a server ends a connection on which it has not read the whole request.
  enum class ending
  {
    Reset,
    Close,
    EndOfAnswer ///< its end is seen before the failure of a write
  };
  static constexpr std::array kEndings{ ending::Reset, ending::Close, ending::EndOfAnswer };

  static void End(played& aRequest, ending aEnding)
  {
    switch (aEnding) {
      case ending::Reset:
        aRequest.Reset();
        break;
      case ending::Close:
        aRequest.Close();
        break;
      case ending::EndOfAnswer:
        aRequest.EndAnswer();
        break;
    }
  }

  /// Parts of the body after which the answer breaks off; one ends with an event, as whole streams
  /// do.
  static std::vector<std::string> Parts()
  {
    const auto first = kEvents.find("\n\n") + 2;
    return { "", kEvents.substr(0, 5), kEvents.substr(0, first), kEvents.substr(0, first + 5) };
  }

  static whole_answer EarlyAnswer(const std::string& aPart)
  {
    return Answer(
      framing::Connection, aPart, std::string{ kHeaders } + "Content-Type: text/event-stream\r\n");
  }

  /// Bytes of the request that a server takes before it answers: none, the head, a part of the
  /// body.
  static constexpr std::array<std::size_t, 3> kTaken{ 0, 60, 20'000 };

  /// Guards against an answer without a length that passes for whole because its server closed
  /// while the daemon was still writing the request: such a server has not seen the request.
  void AnswerThatBreaksOffDuringTheUploadNeverLooksWhole()
  {
    for (const auto* route : { "order", "lookup", "stream" }) {
      for (const auto how : kEndings) {
        for (const auto taken : kTaken) {
          for (const auto& part : Parts()) {
            const auto answer = EarlyAnswer(part);
            played request{ route, LargeBody(), taken, answer.Text(), false };
            auto got = request.Received();
            End(request, how);
            got += request.Received();
            const caller_view view{ got };
            const auto context = std::string{ route } + ", ending " +
                                 std::to_string(static_cast<int>(how)) + ", taken " +
                                 std::to_string(taken) + ", " +
                                 Context(answer.Text().size(), answer, got);
            CPPUNIT_ASSERT_MESSAGE(context, !got.empty());
            CPPUNIT_ASSERT_MESSAGE(context, !view.Success() || !view.mWhole);
            CPPUNIT_ASSERT_MESSAGE(context, view.Success() || (view.mStatus == 502 && view.mWhole));
            CPPUNIT_ASSERT_MESSAGE(context,
                                   std::string_view{ route } == "stream" || !view.Success());
            CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::size_t{ 1 }, request.Sent());
          }
        }
      }
    }
  }

  /// Guards against a lookup that fails, or gets the part of an answer, while another server would
  /// serve it.
  void AnswerToALookupThatBreaksOffDuringTheUploadIsRepeated()
  {
    for (const auto how : kEndings) {
      for (const auto& part : Parts()) {
        const auto answer = EarlyAnswer(part);
        played request{ "lookup", LargeBody(), 20'000, answer.Text(), true };
        End(request, how);
        const auto context = Context(answer.Text().size(), answer, request.Received());
        CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::size_t{ 2 }, request.Sent());
        auto& second = *request.mFixture.mServers.back();
        const auto repeated = request.mFixture.Read(second, 2 * LargeBody().size());
        CPPUNIT_ASSERT_MESSAGE(context, repeated.ends_with("\r\n\r\n" + LargeBody()));
        request.mFixture.Write(second, Answer(framing::Length, "other", kHeaders).Text());
        const caller_view view{ request.Received() };
        CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 200, view.mStatus);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::string{ "other" }, view.mBody);
      }
    }
  }

  /// Guards against a rule that is too strict: a body without a length whose request was sent whole
  /// ends with its connection, whatever the size of the request.
  void AnswerAfterTheUploadEndsWithItsConnection()
  {
    for (const auto* route : { "order", "lookup", "stream" }) {
      const auto answer = EarlyAnswer(kEvents);
      played request{ route, LargeBody(), std::nullopt, answer.Text(), false };
      auto got = request.Received();
      request.EndAnswer();
      got += request.Received();
      const caller_view view{ got };
      CPPUNIT_ASSERT_MESSAGE(got, view.Success() && view.mWhole);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(got, kEvents, view.mBody);
    }
  }

  /// Guards against a success without a body from a server that stopped after its head: with no
  /// length stated, the end of the connection looked like the end of the body.
  void EmptyBodyWithoutLengthIsAFailure()
  {
    const auto answer = Answer(framing::Connection, "", kHeaders);
    played request{ "order", answer.Text(), true };
    CPPUNIT_ASSERT_EQUAL(std::string{}, request.Received());
    request.Close();
    const caller_view view{ request.Received() };
    CPPUNIT_ASSERT_EQUAL_MESSAGE(view.mText, 502, view.mStatus);
    CPPUNIT_ASSERT(view.mWhole);
  }

  void StatedEmptyBodyIsDelivered()
  {
    for (const auto* head :
         { "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Length: 0\r\n\r\n",
           "HTTP/1.1 204 No Content\r\nId: r1\r\nSignature: s\r\n\r\n",
           "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nTransfer-Encoding: "
           "chunked\r\n\r\n0\r\n\r\n" }) {
      played request{ "order", head, true };
      const caller_view view{ request.Received() };
      CPPUNIT_ASSERT_MESSAGE(view.mText, view.Success());
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_cut_test);

} // namespace skylarkwind
