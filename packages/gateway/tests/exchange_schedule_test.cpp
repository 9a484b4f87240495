#include "exchange_fixture.h"

#include <cppunit/extensions/HelperMacros.h>

#include <cstdlib>
#include <optional>
#include <random>
#include <vector>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

constexpr const char* kRequest =
  "POST /resumed/a HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nContent-Length: 1\r\n\r\nb";
constexpr const char* kHead =
  "HTTP/1.1 200 OK\r\nId: r1\r\nSignature: s\r\nContent-Type: text/event-stream"
  "\r\nTransfer-Encoding: chunked\r\n\r\n";
constexpr const char* kRefusal =
  "HTTP/1.1 503 Full\r\nId: r1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
constexpr const char* kFailure = "HTTP/1.1 500 Bad\r\nId: r1\r\nContent-Length: 0\r\n\r\n";
constexpr const char* kEnd = "0\r\n\r\n";
constexpr milliseconds kStep{ 25 };
/// Two servers may be at work on one request for so long.
constexpr milliseconds kMaxTwoAtWork{ 400 };

std::string
EventText(int aId)
{
  return "id: " + std::to_string(aId) + "\ndata: one\n\n";
}

std::string
Chunk(const std::string& aText)
{
  constexpr const char* kDigits = "0123456789abcdef";
  std::string size;
  for (auto left = aText.size(); left > 0; left /= 16) {
    size.insert(size.begin(), kDigits[left % 16]);
  }
  return size + "\r\n" + aText + "\r\n";
}

/// What a caller has received of a chunked response.
struct received_stream
{
  bool mHead = false;
  bool mComplete = false;
  std::string mText;
};

received_stream
Parse(const std::string& aBytes)
{
  received_stream stream;
  auto at = aBytes.find("\r\n\r\n");
  if (at == std::string::npos || !aBytes.starts_with("HTTP/1.1 200 ")) {
    return stream;
  }
  stream.mHead = true;
  at += 4;
  while (at < aBytes.size()) {
    const auto lineEnd = aBytes.find("\r\n", at);
    if (lineEnd == std::string::npos) {
      break;
    }
    const auto size = std::strtoul(aBytes.c_str() + at, nullptr, 16);
    if (size == 0) {
      stream.mComplete = aBytes.size() >= lineEnd + 4;
      break;
    }
    stream.mText += aBytes.substr(lineEnd + 2, size);
    at = lineEnd + 2 + size + 2;
  }
  return stream;
}

/// One stream before servers that send, stop, fail, refuse and fall silent in a random order.
class random_schedule
{
public:
  explicit random_schedule(std::uint32_t aSeed)
    : mRandom(aSeed)
    , mSeed(aSeed)
    , mServers(Pick(1, 3))
    , mEvents(Pick(1, 7))
  {
    Configure(static_cast<std::uint32_t>(Pick(2, 4)));
    for (int i = 2; i <= mServers; ++i) {
      mFixture.AddServer('s' + std::to_string(i));
    }
    mCaller = mFixture.mPort.Connect();
    mFixture.Write(*mCaller, kRequest);
  }

  void Play()
  {
    const int steps = Pick(5, 60);
    for (int i = 0; i < steps && !mCallerLeft; ++i) {
      Observe();
      Act();
      if (Chance(70)) {
        mFixture.Run();
        Observe();
      }
    }
    mFixture.Run();
    Observe();
    if (!mCallerLeft && Chance(60)) {
      ServeTheRest();
    } else {
      Expire();
    }
  }

private:
  /// One connection that the daemon has opened to a server. It carries one request, as its id must
  /// not be carried twice.
  struct server_work
  {
    kj::AsyncIoStream* mStream = nullptr;
    std::string mRead;
    bool mRequested = false;
    bool mHeadSent = false;
    bool mDone = false;                  ///< it has answered whole, refused, failed or ended
    bool mClosed = false;                ///< by the daemon
    int mNext = 1;                       ///< event
    std::optional<instant> mBesideSince; ///< a later server has been at work, too
    std::string mRest;                   ///< of an event that has been sent in part
    kj::Promise<void> mWriting = kj::READY_NOW;
  };

  int Pick(int aLeast, int aMost)
  {
    return std::uniform_int_distribution<int>{ aLeast, aMost }(mRandom);
  }
  bool Chance(int aPercent) { return Pick(1, 100) <= aPercent; }
  std::string Where() const
  {
    return "seed " + std::to_string(mSeed) + ": " + mJournal + "\nreceived: " + mReceived;
  }
  void Check(bool aHolds, const std::string& aWhat)
  {
    CPPUNIT_ASSERT_MESSAGE(aWhat + ", " + Where(), aHolds);
  }

  void Configure(std::uint32_t aMaxAttempts)
  {
    forward_configuration configuration = *mFixture.mRoutes.Current();
    ++configuration.mVersion;
    for (auto& route : configuration.mRoutes) {
      route.mMaxAttempts = aMaxAttempts;
    }
    mFixture.mRoutes.Apply(std::make_shared<const forward_configuration>(configuration));
  }

  /// Reads what the daemon has sent to servers and checks what must hold at any time.
  void Observe()
  {
    while (mWork.size() < mFixture.mServers.size()) {
      server_work work;
      work.mStream =
        std::next(mFixture.mServers.begin(), static_cast<std::ptrdiff_t>(mWork.size()))->get();
      mWork.push_back(std::move(work));
    }
    for (auto& work : mWork) {
      ReadRequest(work);
    }
    int atWork = 0;
    const auto now = mFixture.mClock.Now();
    for (auto work = mWork.rbegin(); work != mWork.rend(); ++work) {
      if (!work->mRequested || work->mDone || work->mClosed) {
        continue;
      }
      if (atWork++ == 0) {
        work->mBesideSince.reset();
      } else {
        work->mBesideSince = work->mBesideSince.value_or(now);
        Check(now - *work->mBesideSince <= kMaxTwoAtWork, "two servers at work for too long");
      }
    }
    if (mCallerLeft) {
      Check(atWork == 0, "a server at work for a caller that has left");
    }
  }

  void ReadRequest(server_work& aWork)
  {
    while (!aWork.mClosed) {
      std::array<char, 4'096> buffer{};
      std::optional<std::size_t> count;
      auto reading = aWork.mStream->tryRead(buffer.data(), 1, buffer.size())
                       .then([&count](std::size_t aBytes) { count = aBytes; },
                             [&count](kj::Exception&&) { count = 0; })
                       .eagerlyEvaluate(nullptr);
      mFixture.Run();
      if (!count) {
        break;
      }
      aWork.mClosed = *count == 0;
      aWork.mRead.append(buffer.data(), *count);
    }
    const auto head = aWork.mRead.find("\r\n\r\n");
    if (aWork.mRequested || head == std::string::npos || aWork.mRead.size() < head + 5) {
      return;
    }
    aWork.mRequested = true;
    constexpr std::string_view kResume = "Resume-After: ";
    const auto resume = aWork.mRead.find(kResume);
    if (resume != std::string::npos) {
      aWork.mNext = std::atoi(aWork.mRead.c_str() + resume + kResume.size()) + 1;
    }
    mJournal +=
      " request" + std::to_string(&aWork - mWork.data()) + "/" + std::to_string(aWork.mNext);
  }

  /// Writes without running the event loop, so that several things happen at once.
  void Send(server_work& aWork, const std::string& aText)
  {
    After(aWork, [stream = aWork.mStream, aText] {
      auto text = kj::heap<std::string>(aText);
      return stream->write(text->data(), text->size()).attach(kj::mv(text));
    });
  }
  void Cut(server_work& aWork)
  {
    After(aWork, [stream = aWork.mStream]() -> kj::Promise<void> {
      stream->shutdownWrite();
      return kj::READY_NOW;
    });
  }
  /// A pipe takes one write after another.
  template<typename action>
  void After(server_work& aWork, action aAction)
  {
    aWork.mWriting = aWork.mWriting.then(std::move(aAction))
                       .catch_([](kj::Exception&&) {
                         // The daemon has closed its end.
                       })
                       .eagerlyEvaluate(nullptr);
  }

  void SendEvents(server_work& aWork, int aCount, bool aPart)
  {
    std::string text;
    if (!std::exchange(aWork.mHeadSent, true)) {
      text = kHead;
    }
    if (!aWork.mRest.empty()) {
      text += Chunk(std::exchange(aWork.mRest, {}));
    }
    for (int i = 0; i < aCount && aWork.mNext <= mEvents; ++i) {
      text += Chunk(EventText(aWork.mNext++));
    }
    if (aPart && aWork.mNext <= mEvents) {
      const auto whole = EventText(aWork.mNext++);
      const auto cut = static_cast<std::size_t>(Pick(1, static_cast<int>(whole.size()) - 1));
      text += Chunk(whole.substr(0, cut));
      aWork.mRest = whole.substr(cut);
    }
    if (!text.empty()) {
      Send(aWork, text);
    }
  }

  void EndStream(server_work& aWork)
  {
    SendEvents(aWork, mEvents, false);
    Send(aWork, kEnd);
    aWork.mDone = true;
  }

  void ActServer(server_work& aWork)
  {
    const int kind = Pick(1, 100);
    const auto name = std::to_string(&aWork - mWork.data());
    if (kind <= 50) {
      mJournal += " events" + name;
      SendEvents(aWork, Pick(0, 2), Chance(30));
    } else if (kind <= 58 && aWork.mHeadSent) {
      mJournal += " comment" + name;
      if (aWork.mRest.empty()) {
        Send(aWork, Chunk(": c\n\n"));
      }
    } else if (kind <= 68) {
      mJournal += " end" + name;
      EndStream(aWork);
    } else if (kind <= 78 && !aWork.mHeadSent) {
      mJournal += " refuse" + name;
      Send(aWork, kRefusal);
      aWork.mDone = true;
      // It has not been at work.
      for (auto& work : mWork) {
        work.mBesideSince.reset();
      }
    } else if (kind <= 84 && !aWork.mHeadSent) {
      mJournal += " fail" + name;
      Send(aWork, kFailure);
      aWork.mDone = true;
    } else if (kind <= 90) {
      mJournal += " cut" + name;
      Cut(aWork);
      aWork.mDone = true;
    }
  }

  /// Nothing of the daemon runs for a time; what has arrived is read before the timers catch up, or
  /// after that.
  void HoldUp()
  {
    const milliseconds pause{ Pick(2, 12) * 100 };
    mJournal += " held" + std::to_string(pause.count());
    mFixture.mClock.Advance(pause);
    if (Chance(50)) {
      mFixture.Run();
    }
    mFixture.mTimer.advanceTo(mFixture.mTimer.now() + ToKj(pause));
    mFixture.Run();
  }

  void Act()
  {
    const int kind = Pick(1, 100);
    if (kind <= 40) {
      std::vector<server_work*> open;
      for (auto& work : mWork) {
        if (work.mRequested && !work.mDone && !work.mClosed) {
          open.push_back(&work);
        }
      }
      if (!open.empty()) {
        ActServer(*open[static_cast<std::size_t>(Pick(0, static_cast<int>(open.size()) - 1))]);
        if (open.size() > 1 && Chance(15)) {
          HoldUp();
        }
      }
    } else if (kind <= 60) {
      Receive(Chance(70) ? 64 * 1'024 : static_cast<std::size_t>(Pick(1, 40)));
    } else if (kind <= 92) {
      Pass(milliseconds{ Pick(1, 16) * 25 });
    } else if (kind <= 94) {
      HoldUp();
    } else if (kind <= 96) {
      mJournal += " configure";
      Configure(static_cast<std::uint32_t>(Pick(1, 4)));
    } else if (kind <= 98) {
      const auto id = 's' + std::to_string(Pick(1, 3));
      if (mFixture.mDirectory.Find(id) != nullptr && Chance(50)) {
        mJournal += " remove-" + id;
        mFixture.mDirectory.Remove(id, false, mFixture.mClock.Now());
      } else {
        mJournal += " add-" + id;
        mFixture.AddServer(id);
      }
    } else if (Chance(50)) {
      mJournal += " leave";
      mCaller = nullptr;
      mCallerLeft = true;
    }
  }

  void Pass(milliseconds aTime)
  {
    mJournal += " pass" + std::to_string(aTime.count());
    for (milliseconds passed{ 0 }; passed < aTime; passed += kStep) {
      mFixture.Advance(kStep);
      Observe();
    }
  }

  void Receive(std::size_t aMost)
  {
    mReceived += mFixture.Read(*mCaller, aMost);
    const auto stream = Parse(mReceived);
    std::string expected;
    for (int i = 1; i <= mEvents; ++i) {
      expected += EventText(i);
    }
    std::string text;
    // Comments may be relayed.
    constexpr std::string_view kComment = ": c\n\n";
    for (std::size_t at = 0; at < stream.mText.size();) {
      const auto part = stream.mText.substr(at, kComment.size());
      if ((at == 0 || stream.mText[at - 1] == '\n') && kComment.starts_with(part)) {
        at += part.size();
      } else {
        text += stream.mText[at++];
      }
    }
    Check(expected.starts_with(text), "events are lost or out of order");
    if (stream.mComplete) {
      Check(text == expected, "a stream looks complete");
      mComplete = true;
    }
  }

  /// From now on servers are sound and the caller reads: a stream with an open server is completed.
  void ServeTheRest()
  {
    const bool open = mFixture.mListener.OpenRequests() > 0;
    bool sound = false;
    for (const auto& work : mWork) {
      sound = sound || (work.mRequested && !work.mDone && !work.mClosed);
    }
    const auto age = mFixture.mClock.Now() - instant{ std::chrono::seconds{ 1 } };
    mJournal += " serve";
    Receive(64 * 1'024);
    for (int i = 0; i < 10; ++i) {
      for (std::size_t at = 0; at < mWork.size(); ++at) {
        auto& work = mWork[at];
        if (work.mRequested && !work.mDone && !work.mClosed) {
          EndStream(work);
          mFixture.Run();
          Observe();
        }
      }
      Receive(64 * 1'024);
      Pass(kStep);
    }
    if (open && sound && age < milliseconds{ 3'500 }) {
      Check(mComplete, "a sound server was open, and the stream is not complete");
    }
    Expire();
  }

  void Expire()
  {
    mJournal += " expire";
    for (int i = 0; i < 12; ++i) {
      if (!mCallerLeft) {
        Receive(64 * 1'024);
      }
      Pass(milliseconds{ 400 });
    }
    Check(mFixture.mListener.OpenRequests() == 0, "a request is still open");
    for (const auto& work : mWork) {
      Check(!work.mRequested || work.mDone || work.mClosed, "a server is still at work");
    }
  }

  std::mt19937 mRandom;
  std::uint32_t mSeed;
  int mServers;
  int mEvents;
  exchange_fixture mFixture;
  kj::Own<kj::AsyncIoStream> mCaller;
  bool mCallerLeft = false;
  bool mComplete = false;
  std::string mReceived;
  std::string mJournal;
  std::vector<server_work> mWork;
};

} // namespace

/// Streams in random schedules of servers and callers, in one event loop.
class exchange_schedule_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(exchange_schedule_test);
  CPPUNIT_TEST(RandomSchedulesKeepTheRules);
  CPPUNIT_TEST_SUITE_END();

  void RandomSchedulesKeepTheRules()
  {
    const char* first = std::getenv("SKYLARKWIND_SCHEDULE_SEED");
    const char* count = std::getenv("SKYLARKWIND_SCHEDULES");
    const auto begin = first != nullptr ? static_cast<std::uint32_t>(std::atoi(first)) : 1U;
    const auto schedules = count != nullptr ? static_cast<std::uint32_t>(std::atoi(count)) : 2'000U;
    for (std::uint32_t seed = begin; seed < begin + schedules; ++seed) {
      random_schedule{ seed }.Play();
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(exchange_schedule_test);

} // namespace skylarkwind
