#include "front_fixture.h"

#include <iostream>
#include <random>

namespace skylarkwind {

namespace {

constexpr std::uint64_t kSeed = 20261204;
constexpr int kCallers = 40;
constexpr int kRounds = 100;

struct churn_result
{
  std::atomic<std::uint64_t> mWhole{ 0 };
  std::atomic<std::uint64_t> mAborted{ 0 };
  std::atomic<std::uint64_t> mForeign{ 0 };
  std::atomic<std::uint64_t> mBroken{ 0 };
};

/// Sends the answer a burst at a time, so that callers leave in the middle of it.
void
SendBursts(test_front& aFront, request_id aRequest, const std::string& aTag, int aLeft)
{
  aFront.Post([&aFront, aRequest, aTag, aLeft](caller_front& aCallers) {
    if (aLeft == 0) {
      aCallers.Apply(caller_completed{ aRequest, "stop", {} });
      return;
    }
    for (int count = 0; count < 4; ++count) {
      aCallers.Apply(caller_tokens{ aRequest, aTag, 1, aTag });
    }
    SendBursts(aFront, aRequest, aTag, aLeft - 1);
  });
}

/// True when each text and each event id of the answer, as far as it has arrived, is the tag.
bool
IsOwnAnswer(const std::string& aRead, const std::string& aTag)
{
  for (const auto& [mark, end] :
       { std::pair<std::string, char>{ "\"text\":\"", '"' }, { "\nid: ", '\n' } }) {
    for (auto at = aRead.find(mark); at != std::string::npos; at = aRead.find(mark, at + 1)) {
      const auto from = at + mark.size();
      const auto to = aRead.find(end, from);
      if (to == std::string::npos) {
        break;
      }
      const auto value = aRead.substr(from, to - from);
      if (!value.empty() && value != aTag) {
        return false;
      }
    }
  }
  return aRead.empty() || aRead.starts_with("HTTP/1.1 200 OK\r\n");
}

void
RunCaller(std::uint16_t aPort, int aNumber, churn_result& aResult)
{
  std::mt19937_64 random{ kSeed + static_cast<std::uint64_t>(aNumber) };
  for (int round = 0; round < kRounds; ++round) {
    auto tag = "t" + std::to_string(aNumber) + "-" + std::to_string(round) + "-";
    // Long texts fill the socket, so that some callers leave while output waits in Pistache.
    const bool large = random() % 4 == 0;
    tag += std::string(large ? 16384 : 20, 'x');
    test_caller caller{ aPort, large ? 4096 : 0 };
    const auto body = R"({"model":"m","stream":true,"prompt":")" + tag + "\"}";
    caller.Send(HttpPost("/v1/completions", body));
    const bool abort = random() % 10 < 6;
    const auto enough = random() % (large ? 60000 : 2000);
    const bool reached = caller.ReadUntil([&](const std::string& aRead) {
      return aRead.ends_with("\r\n0\r\n\r\n") || (abort && aRead.size() >= enough);
    });
    if (random() % 2 == 0) {
      caller.Reset();
    }
    aResult.mForeign += IsOwnAnswer(caller.Read(), tag) ? 0 : 1;
    if (abort) {
      ++aResult.mAborted;
    } else if (reached && Dechunked(caller.Read()).ends_with("data: [DONE]\n\n")) {
      ++aResult.mWhole;
    } else {
      ++aResult.mBroken;
    }
  }
}

} // namespace

class front_churn_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(front_churn_test);
  CPPUNIT_TEST(NoCallerSeesAnothersBytes);
  CPPUNIT_TEST(TheServerSurvivesBrokenInput);
  CPPUNIT_TEST_SUITE_END();

  /// Guards against output that reaches a later connection with the same descriptor, which is how
  /// Pistache's write queue names connections.
  void NoCallerSeesAnothersBytes()
  {
    std::cout << " seed " << kSeed << std::flush;
    test_front* self = nullptr;
    test_front front{ [&](caller_front&, const caller_arrived& aArrived) {
      const auto& completion = std::get<completion_request>(aArrived.mBody.mOperation);
      SendBursts(*self, aArrived.mRequest, completion.mPrompt, 10);
    } };
    self = &front;
    churn_result result;
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int number = 0; number < kCallers; ++number) {
      callers.emplace_back([&, number] { RunCaller(front.Port(), number, result); });
    }
    for (auto& caller : callers) {
      caller.join();
    }
    std::cout << ", " << result.mWhole << " whole, " << result.mAborted << " aborted, "
              << front.Gone() << " gone" << std::flush;
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, result.mForeign.load());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, result.mBroken.load());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ kCallers * kRounds }, result.mWhole + result.mAborted);
    CPPUNIT_ASSERT(result.mAborted > 0 && front.Gone() > 0);
    CPPUNIT_ASSERT(test_front::WaitFor([&] { return front.Open() == 0; }));
    CPPUNIT_ASSERT(
      test_front::WaitFor([&] { return front.Count("skylarkwind_front_connections") == 0; }));
  }

  /// Guards against input that ends Pistache's thread, and with it every caller's connection.
  void TheServerSurvivesBrokenInput()
  {
    std::cout << " seed " << kSeed << std::flush;
    test_front front{ [](caller_front& aFront, const caller_arrived& aArrived) {
      aFront.Apply(caller_response{ aArrived.mRequest, 200, {}, "answer" });
    } };
    std::mt19937_64 random{ kSeed };
    const auto valid = HttpPost("/v1/completions", R"({"model":"m","prompt":"p"})");
    for (int round = 0; round < 500; ++round) {
      auto text = valid + valid;
      for (auto changes = random() % 6; changes > 0; --changes) {
        text[random() % text.size()] = static_cast<char>(random());
      }
      test_caller caller{ front.Port() };
      caller.Send(text.substr(0, random() % text.size()));
      if (random() % 2 == 0) {
        caller.Reset();
      }
    }
    test_caller caller{ front.Port() };
    caller.Send(valid);
    CPPUNIT_ASSERT(caller.ReadUntil("answer"));
    CPPUNIT_ASSERT(test_front::WaitFor([&] { return front.Open() == 0; }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(front_churn_test);

} // namespace skylarkwind
