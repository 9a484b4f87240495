#include "gateway_system.h"
#include "raw_caller.h"

#include <cppunit/extensions/HelperMacros.h>

#include <sys/wait.h>

#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <thread>

namespace skylarkwind::sessions {

using std::chrono::milliseconds;
using std::chrono::seconds;
using std::chrono::steady_clock;

/// Requests that may not be repeated, sent through the whole grace period of a stop.
class gateway_stop_orders_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(gateway_stop_orders_test);
  CPPUNIT_TEST(OrdersGetTrueAnswersWhenRefusingBeginsEarly);
  CPPUNIT_TEST(OrdersGetTrueAnswersWhenRefusingBeginsLate);
  CPPUNIT_TEST(OrdersGetTrueAnswersWhenRefusingBeginsInTheLastSecond);
  CPPUNIT_TEST_SUITE_END();

  static constexpr int kCallers = 16;
  static constexpr int kServerDelayMs = 100;
  static constexpr double kGraceS = 2;
  /// A request that ends so soon after its last byte may never have been read.
  static constexpr milliseconds kUnread{ 200 };

  struct order
  {
    std::string mId;
    bool mInParts = false;
    bool mSentWhole = false;
    steady_clock::time_point mLastByte{};
    steady_clock::time_point mEnded{};
    raw_answer mAnswer;
  };

  /// Callers that send one order after the other, the next one on the same connection unless the
  /// response announced its close. Every second caller sends each order in two parts.
  class order_callers
  {
  public:
    explicit order_callers(std::string aAddress)
      : mAddress(std::move(aAddress))
    {
      for (int i = 0; i < kCallers; ++i) {
        mThreads.emplace_back([this, i] { Run(i); });
      }
    }
    ~order_callers() { Stop(); }
    order_callers(const order_callers&) = delete;
    order_callers& operator=(const order_callers&) = delete;

    std::vector<order> Stop()
    {
      mStopping = true;
      for (auto& thread : mThreads) {
        thread.join();
      }
      mThreads.clear();
      return mOrders;
    }
    std::size_t Answered()
    {
      const std::lock_guard guard{ mMutex };
      return mOrders.size();
    }

  private:
    void Run(int aNumber)
    {
      std::optional<raw_caller> connection;
      for (int i = 0; !mStopping; ++i) {
        if (!connection && !Connect(connection)) {
          std::this_thread::sleep_for(milliseconds{ 5 });
          continue;
        }
        order sent;
        sent.mId = "o" + std::to_string(aNumber) + "-" + std::to_string(i);
        sent.mInParts = aNumber % 2 == 1;
        const bool usable = Ask(*connection, sent, milliseconds{ 10 + 20 * aNumber });
        if (!usable || sent.mAnswer.mHead.find("Connection: close") != std::string::npos) {
          connection.reset();
        }
        const std::lock_guard guard{ mMutex };
        mOrders.push_back(std::move(sent));
      }
    }

    bool Connect(std::optional<raw_caller>& aConnection)
    {
      try {
        aConnection.emplace(mAddress);
      } catch (const std::runtime_error&) {
        return false;
      }
      return true;
    }

    static bool Ask(raw_caller& aConnection, order& aOrder, milliseconds aPause)
    {
      aConnection.Forget();
      const std::string body(1'000, 'x');
      const auto text =
        "POST /order/a HTTP/1.1\r\nHost: a.example\r\nX-Skylarkwind-Request-Id: " + aOrder.mId +
        "\r\nX-Skylarkwind-Deadline-Ms: 4000\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body;
      const auto first = aOrder.mInParts ? text.size() - body.size() / 2 : text.size();
      aOrder.mSentWhole = aConnection.Send(text.substr(0, first));
      if (aOrder.mInParts) {
        // An answer may come before the rest is due.
        aOrder.mAnswer = aConnection.ReadAnswer(aPause);
        aOrder.mSentWhole =
          !aConnection.Ended() && !aOrder.mAnswer.mWhole && aConnection.Send(text.substr(first));
      }
      aOrder.mLastByte = steady_clock::now();
      if (!aOrder.mAnswer.mWhole) {
        aOrder.mAnswer = aConnection.ReadAnswer(seconds{ 5 });
      }
      aOrder.mEnded = steady_clock::now();
      return aOrder.mAnswer.mWhole && aOrder.mSentWhole;
    }

    std::string mAddress;
    std::atomic<bool> mStopping = false;
    std::mutex mMutex;
    std::vector<order> mOrders;
    std::vector<std::thread> mThreads;
  };

  static void AssertTrueAnswer(const order& aOrder,
                               std::size_t aRuns,
                               steady_clock::time_point aTerm,
                               const std::string& aLog)
  {
    const auto since = [&](steady_clock::time_point aTime) {
      return std::to_string(std::chrono::duration_cast<milliseconds>(aTime - aTerm).count());
    };
    const auto context = aOrder.mId + (aOrder.mInParts ? " in parts" : "") + " sent at " +
                         since(aOrder.mLastByte) + " ended at " + since(aOrder.mEnded) +
                         " status " + std::to_string(aOrder.mAnswer.mStatus) + " runs " +
                         std::to_string(aRuns) + "\n" + aLog;
    CPPUNIT_ASSERT_MESSAGE(context, aRuns <= 1);
    if (!aOrder.mAnswer.mWhole) {
      // The daemon closed the connection before it had read the request.
      CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 0, aOrder.mAnswer.mStatus);
      CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::size_t{ 0 }, aRuns);
      CPPUNIT_ASSERT_MESSAGE(context,
                             !aOrder.mSentWhole || aOrder.mEnded - aOrder.mLastByte <= kUnread);
      return;
    }
    switch (aOrder.mAnswer.mStatus) {
      case 200:
        CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::size_t{ 1 }, aRuns);
        CPPUNIT_ASSERT_MESSAGE(context, aOrder.mAnswer.mBody.ends_with(" to " + aOrder.mId));
        break;
      case 503:
        CPPUNIT_ASSERT_EQUAL_MESSAGE(context, std::size_t{ 0 }, aRuns);
        break;
      default:
        CPPUNIT_ASSERT_EQUAL_MESSAGE(context, 502, aOrder.mAnswer.mStatus);
    }
  }

  /// The answers since SIGTERM by status; 0: none.
  static std::map<int, std::size_t> PlayStop(int aBalancerNoticesMs)
  {
    gateway_options options;
    options.mBackends = { { "s1", "plain" }, { "s2", "plain" } };
    options.mRelays = true;
    options.mShutdownGraceS = kGraceS;
    options.mBalancerNoticesMs = aBalancerNoticesMs;
    gateway_system system{ options };
    for (const auto* id : { "s1", "s2" }) {
      system.DisturbBackend(id, { { "delay_ms", kServerDelayMs } });
    }
    order_callers callers{ system.CallersAddress(0) };
    CPPUNIT_ASSERT(WaitUntil([&] { return callers.Answered() >= 2 * kCallers; }, seconds{ 10 }));
    const auto term = steady_clock::now();
    system.Daemon().Signal(SIGTERM);
    CPPUNIT_ASSERT(system.Daemon().WaitForExit(seconds{ 5 }));
    CPPUNIT_ASSERT(WIFEXITED(system.Daemon().Status()));
    CPPUNIT_ASSERT_EQUAL(0, WEXITSTATUS(system.Daemon().Status()));
    const auto orders = callers.Stop();
    std::map<std::string, std::size_t> runs;
    for (const auto& record : system.Records()) {
      if (record["outcome"] == "ran") {
        ++runs[record["id"].get<std::string>()];
      }
    }
    std::map<int, std::size_t> statuses;
    for (const auto& one : orders) {
      AssertTrueAnswer(one, runs[one.mId], term, system.DaemonLog());
      if (one.mEnded > term) {
        ++statuses[one.mAnswer.mStatus];
      }
    }
    // Otherwise nothing was shown.
    CPPUNIT_ASSERT_GREATER(std::size_t{ kCallers / 2 }, statuses[200]);
    CPPUNIT_ASSERT_GREATER(std::size_t{ 0 }, statuses[503]);
    return statuses;
  }

  /// Guards against orders that are taken late in the grace period and cut at its end, and against
  /// a refusal of an order that runs.
  void OrdersGetTrueAnswersWhenRefusingBeginsEarly()
  {
    // All that is taken has more than a second to end.
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, PlayStop(300)[502]);
  }
  void OrdersGetTrueAnswersWhenRefusingBeginsLate() { PlayStop(1'200); }
  /// Refusing begins after requests are ended.
  void OrdersGetTrueAnswersWhenRefusingBeginsInTheLastSecond() { PlayStop(1'650); }
};

CPPUNIT_TEST_SUITE_REGISTRATION(gateway_stop_orders_test);

} // namespace skylarkwind::sessions
