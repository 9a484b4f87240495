#include "gateway_system.h"
#include "raw_caller.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <iostream>
#include <memory>
#include <thread>

namespace skylarkwind::sessions {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

namespace {

constexpr milliseconds kTimeLimit{ 4'000 };
/// A request must end this long after its time limit at the latest.
constexpr milliseconds kMaxLateness{ 1'000 };
/// The platform asks for readiness once per second.
constexpr milliseconds kReadinessPeriod{ 1'000 };

/// Asks a daemon for its readiness again and again.
class readiness_probe
{
public:
  explicit readiness_probe(const gateway_system& aSystem)
    : mThread([this, &aSystem] { Run(aSystem); })
  {
  }
  ~readiness_probe() { Stop(); }
  readiness_probe(const readiness_probe&) = delete;
  readiness_probe& operator=(const readiness_probe&) = delete;

  /// The longest time that an answer took.
  milliseconds Stop()
  {
    mStopping = true;
    if (mThread.joinable()) {
      mThread.join();
    }
    return mLongest;
  }

private:
  void Run(const gateway_system& aSystem)
  {
    while (!mStopping) {
      const auto began = steady_clock::now();
      const auto status = aSystem.Ready().mStatus;
      const auto taken = std::chrono::duration_cast<milliseconds>(steady_clock::now() - began);
      mLongest = std::max(mLongest, status == 200 ? taken : milliseconds::max());
      std::this_thread::sleep_for(milliseconds{ 100 });
    }
  }

  std::atomic<bool> mStopping = false;
  milliseconds mLongest{ 0 };
  std::thread mThread;
};

} // namespace

/// Servers and callers that send faster than the daemon can handle, many at a time. One kind of
/// work that is always ready must not keep the daemon from its timers and other connections, and
/// what is buffered must not exceed the memory of a VM.
class gateway_flood_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(gateway_flood_test);
  CPPUNIT_TEST(SmallChunksOfOneServerLeaveOthersServed);
  CPPUNIT_TEST(SmallChunksOfAllServersEndInTime);
  CPPUNIT_TEST(SmallChunksOfStreamsEndInTime);
  CPPUNIT_TEST(SmallChunksOfCallersLeaveOthersServed);
  CPPUNIT_TEST(EndlessHeadsOfServersAreBoundedInSum);
  CPPUNIT_TEST(EndlessHeadsOfCallersAreBoundedInSum);
  CPPUNIT_TEST_SUITE_END();

  static gateway_options Options()
  {
    gateway_options options;
    for (const auto* id : { "s1", "s2", "s3", "s4", "s5", "s6" }) {
      options.mBackends.push_back({ id, "plain" });
    }
    return options;
  }

  /// The longest delay of the daemon's timers in the last seconds, from its metrics.
  static milliseconds LoopDelay(const gateway_system& aSystem)
  {
    const std::string name = "\nskylarkwind_loop_delay_ms ";
    const auto metrics = aSystem.Metrics();
    const auto at = metrics.find(name);
    CPPUNIT_ASSERT_MESSAGE(metrics, at != std::string::npos);
    return milliseconds{ std::stol(metrics.substr(at + name.size())) };
  }

  /// How the requests of a flood ended.
  struct flood_result
  {
    std::size_t mAnswered = 0; ///< with status 200 and a whole body
    std::size_t mFailed = 0;   ///< with another status
    std::size_t mLost = 0;     ///< with neither, in time
    milliseconds mReadiness{}; ///< the longest time of an answer
  };

  /// Sends orders at once, each on a connection of its own, and reads what comes in time.
  static flood_result SendOrders(const gateway_system& aSystem, std::size_t aCount)
  {
    std::vector<std::unique_ptr<raw_caller>> callers;
    readiness_probe readiness{ aSystem };
    for (std::size_t i = 0; i < aCount; ++i) {
      callers.push_back(std::make_unique<raw_caller>(aSystem.CallersAddress(0)));
      callers.back()->Send("POST /order/a HTTP/1.1\r\nHost: a.example\r\n"
                           "X-Skylarkwind-Request-Id: f" +
                           std::to_string(i) + "\r\nX-Skylarkwind-Deadline-Ms: " +
                           std::to_string(kTimeLimit.count()) + "\r\nContent-Length: 1\r\n\r\nx");
    }
    const auto until = steady_clock::now() + kTimeLimit + kMaxLateness;
    flood_result result;
    for (const auto& caller : callers) {
      const auto left = std::chrono::ceil<milliseconds>(until - steady_clock::now());
      const auto answer = caller->ReadAnswer(std::max(left, milliseconds{ 1 }));
      if (!answer.mWhole) {
        ++result.mLost;
      } else {
        ++(answer.mStatus == 200 ? result.mAnswered : result.mFailed);
      }
    }
    result.mReadiness = readiness.Stop();
    std::cout << ' ' << Text(result) << '\n';
    return result;
  }

  static std::string Text(const flood_result& aResult)
  {
    return "answered " + std::to_string(aResult.mAnswered) + " failed " +
           std::to_string(aResult.mFailed) + " lost " + std::to_string(aResult.mLost) +
           " readiness_ms " + std::to_string(aResult.mReadiness.count());
  }

  /// Guards against a daemon that handles the chunks of one server only: requests at sound servers
  /// got no answer, and readiness was answered after seconds.
  void SmallChunksOfOneServerLeaveOthersServed()
  {
    gateway_system system{ Options() };
    system.SetMode("s1", "endless_chunks");
    const auto result = SendOrders(system, 60);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Text(result), std::size_t{ 0 }, result.mLost);
    CPPUNIT_ASSERT_MESSAGE(Text(result), result.mReadiness < kReadinessPeriod);
    CPPUNIT_ASSERT_MESSAGE(Text(result), LoopDelay(system) < kReadinessPeriod);
    std::size_t atFaulty = 0;
    for (const auto& arrival : system.Arrivals("s1")) {
      atFaulty += arrival["outcome"] == "ran" ? 1 : 0;
    }
    CPPUNIT_ASSERT_MESSAGE(Text(result), result.mAnswered + atFaulty >= 60);
    CPPUNIT_ASSERT_GREATER(std::size_t{ 0 }, atFaulty);
  }

  /// Guards against requests that end long after their time limit, or never, because the loop never
  /// comes back to its timers.
  void SmallChunksOfAllServersEndInTime()
  {
    gateway_system system{ Options() };
    for (const auto* id : { "s1", "s2", "s3", "s4", "s5", "s6" }) {
      system.SetMode(id, "endless_chunks_slow");
    }
    const auto result = SendOrders(system, 600);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Text(result), std::size_t{ 0 }, result.mLost);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(Text(result), std::size_t{ 0 }, result.mAnswered);
    CPPUNIT_ASSERT_MESSAGE(Text(result), result.mReadiness < kReadinessPeriod);
    CPPUNIT_ASSERT_MESSAGE(Text(result), LoopDelay(system) < kReadinessPeriod);
  }

  /// Guards against streams that hold up the loop with chunks that never complete an event.
  void SmallChunksOfStreamsEndInTime()
  {
    gateway_options options;
    options.mBackends = { { "p1", "model", "prefill" }, { "d1" }, { "d2" }, { "s1", "plain" } };
    gateway_system system{ options };
    for (const auto* id : { "d1", "d2" }) {
      system.SetMode(id, "endless_chunks");
    }
    constexpr std::size_t kStreams = 40;
    std::vector<std::unique_ptr<open_call>> calls;
    calls.reserve(kStreams);
    readiness_probe readiness{ system };
    for (std::size_t i = 0; i < kStreams; ++i) {
      calls.push_back(
        std::make_unique<open_call>(system.CallerUrl("/stream/x"),
                                    gateway_system::StreamHeaders("s" + std::to_string(i), 3),
                                    "b"));
    }
    for (int i = 0; i < 20; ++i) {
      CPPUNIT_ASSERT_EQUAL(200, system.Send("POST", "/order/a", {}, "x").mStatus);
    }
    for (const auto& call : calls) {
      const auto reply = call->Wait();
      CPPUNIT_ASSERT_MESSAGE(reply.mBody.substr(0, 80), reply.mStatus != 200 || reply.mBroken);
    }
    CPPUNIT_ASSERT(readiness.Stop() < kReadinessPeriod);
    CPPUNIT_ASSERT(LoopDelay(system) < kReadinessPeriod);
  }

  /// Guards against callers that hold up the loop with bodies in chunks of one byte.
  void SmallChunksOfCallersLeaveOthersServed()
  {
    gateway_system system{ Options() };
    std::string chunks;
    while (chunks.size() < 6'000) {
      chunks += "1\r\nx\r\n";
    }
    std::atomic<bool> stopping = false;
    constexpr std::size_t kFloods = 20;
    std::vector<std::thread> floods;
    floods.reserve(kFloods);
    for (std::size_t i = 0; i < kFloods; ++i) {
      floods.emplace_back([&] {
        while (!stopping) {
          const raw_caller caller{ system.CallersAddress(0) };
          bool open = caller.Send("POST /order/a HTTP/1.1\r\nHost: a.example\r\n"
                                  "Transfer-Encoding: chunked\r\n\r\n");
          // The limit of a body is 10,000 bytes, a sixth of what is sent.
          for (int part = 0; open && part < 20 && !stopping; ++part) {
            open = caller.Send(chunks);
          }
        }
      });
    }
    readiness_probe readiness{ system };
    constexpr int kOrders = 10;
    int served = 0;
    for (int i = 0; i < kOrders; ++i) {
      const auto began = steady_clock::now();
      const auto reply = system.Send("POST", "/order/a", {}, "x");
      const auto taken = std::chrono::duration_cast<milliseconds>(steady_clock::now() - began);
      std::cout << ' ' << reply.mStatus << " after ms " << taken.count() << '\n';
      served += reply.mStatus == 200 && taken < kTimeLimit + kMaxLateness ? 1 : 0;
    }
    stopping = true;
    for (auto& flood : floods) {
      flood.join();
    }
    CPPUNIT_ASSERT_EQUAL(kOrders, served);
    CPPUNIT_ASSERT(readiness.Stop() < kReadinessPeriod);
    CPPUNIT_ASSERT(LoopDelay(system) < kReadinessPeriod);
  }

  /// Guards against heads of responses that are bounded each but not in sum: 1,500 of them took
  /// 245 MB.
  void EndlessHeadsOfServersAreBoundedInSum()
  {
    for (const auto* mode : { "endless_head_slow", "endless_line_slow" }) {
      gateway_system system{ Options() };
      for (const auto* id : { "s1", "s2", "s3", "s4", "s5", "s6" }) {
        system.SetMode(id, mode);
      }
      const auto result = SendOrders(system, 1'500);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(mode + Text(result), std::size_t{ 0 }, result.mLost);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(mode + Text(result), std::size_t{ 0 }, result.mAnswered);
      const auto peak = system.PeakMegabytes();
      CPPUNIT_ASSERT_MESSAGE(mode + std::to_string(peak), peak > 0 && peak < 160);
    }
  }

  /// Guards against heads of requests that are not bounded in sum.
  void EndlessHeadsOfCallersAreBoundedInSum()
  {
    gateway_system system{ Options() };
    std::vector<std::unique_ptr<raw_caller>> callers;
    const std::string part(15'000, 'x');
    for (int i = 0; i < 1'500; ++i) {
      callers.push_back(std::make_unique<raw_caller>(system.CallersAddress(0)));
      callers.back()->Send("GET /lookup/a HTTP/1.1\r\nHost: a.example\r\nX-Long: " + part);
    }
    // The heads never end; each caller goes on up to the library's limit.
    for (int round = 0; round < 8; ++round) {
      for (const auto& caller : callers) {
        caller->Send(part);
      }
    }
    readiness_probe readiness{ system };
    std::size_t open = 0;
    for (const auto& caller : callers) {
      open += caller->ReadToEnd(seconds{ 6 }) ? 0 : 1;
    }
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, open);
    CPPUNIT_ASSERT(readiness.Stop() < kReadinessPeriod);
    const auto peak = system.PeakMegabytes();
    CPPUNIT_ASSERT_MESSAGE(std::to_string(peak), peak > 0 && peak < 160);
    const auto reply = system.Send("POST", "/order/a", {}, "x");
    CPPUNIT_ASSERT_EQUAL(200, reply.mStatus);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_flood_test);

} // namespace skylarkwind::sessions
