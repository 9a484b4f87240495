#include "../../../standins/child_process.h"
#include "../../../standins/test_loop.h"
#include "skylarkwind/engine_client.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <unordered_map>

namespace skylarkwind {

using namespace std::chrono_literals;
using nlohmann::json;

class engine_client_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(engine_client_test);
  CPPUNIT_TEST(ResumedStreamContinuesTheText);
  CPPUNIT_TEST(BrokenStreamIsInterrupted);
  CPPUNIT_TEST(RefusalsAreToldApart);
  CPPUNIT_TEST(FrozenStreamIsSilent);
  CPPUNIT_TEST(CancelEndsTheStreamAtTheEngine);
  CPPUNIT_TEST(ParallelStreamsStayApart);
  CPPUNIT_TEST(KvCacheMovesBetweenEngines);
  CPPUNIT_TEST(OrdersAreCheckedByTheEngine);
  CPPUNIT_TEST(LateOrderIsNotWritten);
  CPPUNIT_TEST(CrashInChangeGivesNewIncarnation);
  CPPUNIT_TEST(CacheEventsTellOfPieces);
  CPPUNIT_TEST(PlainCallPassesThrough);
  CPPUNIT_TEST(ClosedConnectionDoesNotRunTwice);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mLoop = std::make_unique<test_loop>();
    mClient =
      engine_client::Create(
        mLoop->Http(), [this](event aEvent) { mEvents.push_back(std::move(aEvent)); }, mClock)
        .value();
  }
  void tearDown() override
  {
    mClient.reset();
    mLoop.reset();
    mEvents.clear();
  }

private:
  /// What one attempt brought.
  struct ended_attempt
  {
    std::string mText;
    std::uint64_t mOffset = 0;
    attempt_outcome mOutcome;
  };

  static std::unique_ptr<child_process> Engine(const std::vector<std::string>& aArguments = {})
  {
    return child_process::Start(SKYLARKWIND_BIN_DIR "/standin_engine", aArguments);
  }
  static std::unique_ptr<child_process> Service()
  {
    return child_process::Start(SKYLARKWIND_BIN_DIR "/standin_service");
  }

  static generate_call Generation(const std::string& aStream, int aTokens = 8)
  {
    generate_call call;
    call.mBody = json{ { "prompt", "an epitaph" }, { "max_tokens", aTokens } }.dump();
    call.mModel = "granite";
    call.mStream = aStream;
    call.mSeed = 5;
    return call;
  }

  attempt_id Start(const child_process& aProcess, backend_call aCall)
  {
    attempt_id id{ ++mNumber };
    mClient->Start({ id, "backend", aProcess.Address(), std::move(aCall), 20s, mProgressLimit });
    return id;
  }

  ended_attempt Run(const child_process& aProcess, backend_call aCall)
  {
    auto id = Start(aProcess, std::move(aCall));
    ended_attempt ended;
    for (;;) {
      auto progress = Next<attempt_progress>();
      CPPUNIT_ASSERT(progress.mAttempt == id);
      auto* tokens = std::get_if<attempt_tokens>(&progress.mOutcome);
      if (tokens == nullptr) {
        ended.mOutcome = std::move(progress.mOutcome);
        return ended;
      }
      CPPUNIT_ASSERT(tokens->mOffset > ended.mOffset);
      ended.mText += tokens->mText;
      ended.mOffset = tokens->mOffset;
    }
  }

  template<class wanted>
  wanted Next()
  {
    CPPUNIT_ASSERT(mLoop->Until([&]() { return !mEvents.empty(); }));
    auto next = std::move(mEvents.front());
    mEvents.pop_front();
    CPPUNIT_ASSERT(std::holds_alternative<wanted>(next));
    return std::get<wanted>(std::move(next));
  }

  attempt_failed Failed(const child_process& aProcess, backend_call aCall)
  {
    auto ended = Run(aProcess, std::move(aCall));
    CPPUNIT_ASSERT(std::holds_alternative<attempt_failed>(ended.mOutcome));
    return std::get<attempt_failed>(ended.mOutcome);
  }

  json Log(const child_process& aEngine)
  {
    return json::parse(mLoop->Get(aEngine.Url("/standin/log")));
  }

  std::optional<engine_report> Observe(const child_process& aEngine)
  {
    mClient->Observe({ "e1", aEngine.Address() });
    return Next<engine_state_received>().mReport;
  }

  engine_command_result Order(const child_process& aEngine,
                              const engine_command& aOrder,
                              std::chrono::seconds aValid = 5s)
  {
    mClient->Order({ "e1", aEngine.Address(), aOrder, mClock.Now() + aValid });
    return Next<engine_command_completed>().mResult;
  }

  /// Guards against tokens that are lost, repeated or different after a resume.
  void ResumedStreamContinuesTheText()
  {
    auto engine = Engine();
    auto whole = Run(*engine, Generation("whole", 40));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 40 }, whole.mOffset);
    const auto& generated = std::get<attempt_generated>(whole.mOutcome);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 40 }, generated.mUsage.mCompletionTokens);
    CPPUNIT_ASSERT_EQUAL(std::string{ "length" }, generated.mFinishReason);
    CPPUNIT_ASSERT(generated.mReport && generated.mReport->mModel == "granite");
    auto call = Generation("rest", 40);
    call.mResumeFrom = 17;
    auto rest = Run(*engine, call);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 40 }, rest.mOffset);
    CPPUNIT_ASSERT(!rest.mText.empty() && whole.mText.ends_with(rest.mText));
    CPPUNIT_ASSERT_EQUAL(std::ptrdiff_t{ 23 },
                         std::count(rest.mText.begin(), rest.mText.end(), ' '));
    auto chat = Generation("chat", 3);
    chat.mChat = true;
    chat.mBody = R"({"messages":[{"role":"user","content":"an epitaph"}],"max_tokens":3})";
    CPPUNIT_ASSERT(whole.mText.starts_with(Run(*engine, chat).mText));
  }

  /// Guards against half an answer that passes as a whole one.
  void BrokenStreamIsInterrupted()
  {
    auto engine = Engine();
    mLoop->Post(engine->Url("/standin/faults"), R"({"fail_next":1})");
    auto ended = Run(*engine, Generation("s", 1000));
    CPPUNIT_ASSERT(std::get<attempt_failed>(ended.mOutcome).mCause ==
                   attempt_failed::cause::Interrupted);
    // The engine breaks at token 500; what it wrote last may be lost with the connection.
    CPPUNIT_ASSERT(ended.mOffset > 0 && ended.mOffset <= 500);
  }

  /// Guards against a false "not run", and against retries of requests that are wrong.
  void RefusalsAreToldApart()
  {
    auto engine = Engine();
    mLoop->Post(engine->Url("/standin/faults"), R"({"refuse_not_run":1})");
    CPPUNIT_ASSERT(Failed(*engine, Generation("a")).mCause == attempt_failed::cause::NotRun);
    auto other = Generation("b");
    other.mModel = "marble";
    auto rejected = Failed(*engine, other);
    CPPUNIT_ASSERT(rejected.mCause == attempt_failed::cause::Rejected);
    CPPUNIT_ASSERT_EQUAL(404, rejected.mStatus);
    CPPUNIT_ASSERT(Log(*engine)["streams"].empty());
    auto broken = Generation("c");
    broken.mBody = "[1]";
    CPPUNIT_ASSERT(Failed(*engine, broken).mCause == attempt_failed::cause::Rejected);
    engine->Signal(SIGKILL);
    CPPUNIT_ASSERT(engine->WaitForExit(5s));
    CPPUNIT_ASSERT(Failed(*engine, Generation("d")).mCause == attempt_failed::cause::NotSent);
    CPPUNIT_ASSERT(!Observe(*engine));
  }

  /// Guards against a caller that waits on a connection which has gone silent.
  void FrozenStreamIsSilent()
  {
    auto engine = Engine();
    mLoop->Post(engine->Url("/standin/faults"), R"({"freeze_streams":true})");
    mProgressLimit = 300ms; // well below the limit for the first byte
    auto before = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT(Failed(*engine, Generation("s")).mCause == attempt_failed::cause::Silent);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - before < 20s);
    CPPUNIT_ASSERT(Observe(*engine));
  }

  /// Guards against an engine that goes on computing for a caller who has left.
  void CancelEndsTheStreamAtTheEngine()
  {
    auto engine = Engine({ "--decode_tokens_per_s=200" });
    auto id = Start(*engine, Generation("gone", 100'000));
    CPPUNIT_ASSERT(Next<attempt_progress>().mAttempt == id);
    mClient->Cancel(id);
    CPPUNIT_ASSERT(mLoop->Until([&]() {
      auto streams = Log(*engine)["streams"];
      return streams.size() == 1 && streams[0]["outcome"] == "cancelled";
    }));
    CPPUNIT_ASSERT(mEvents.empty());
  }

  /// Guards against tokens of one stream that reach another, also while streams are cancelled.
  void ParallelStreamsStayApart()
  {
    constexpr unsigned kSeed = 20261204;
    constexpr int kStreams = 300;
    constexpr std::uint64_t kSeeds = 30;
    std::cout << " seed " << kSeed << ' ';
    std::mt19937 random{ kSeed };
    auto engine = Engine({ "--max_batch=64", "--decode_tokens_per_s=20000" });
    std::unordered_map<attempt_id, ended_attempt> open;
    std::map<std::uint64_t, std::set<std::string>> texts;
    std::size_t whole = 0;
    std::size_t cancelled = 0;
    for (int i = 0; i < kStreams; ++i) {
      auto call = Generation("parallel-" + std::to_string(i), 50);
      call.mSeed = static_cast<std::uint64_t>(i) % kSeeds;
      open[Start(*engine, call)] = {};
    }
    while (!open.empty()) {
      auto progress = Next<attempt_progress>();
      auto& attempt = open.at(progress.mAttempt);
      if (const auto* tokens = std::get_if<attempt_tokens>(&progress.mOutcome)) {
        attempt.mText += tokens->mText;
        if (random() % 20 == 0) {
          mClient->Cancel(progress.mAttempt);
          open.erase(progress.mAttempt);
          // Events that were queued before the cancel are of no interest.
          std::erase_if(mEvents, [&](const event& aEvent) {
            return std::get<attempt_progress>(aEvent).mAttempt == progress.mAttempt;
          });
          ++cancelled;
        }
      } else {
        const auto* failed = std::get_if<attempt_failed>(&progress.mOutcome);
        CPPUNIT_ASSERT_MESSAGE(failed == nullptr ? "" : failed->mReason,
                               std::holds_alternative<attempt_generated>(progress.mOutcome));
        texts[(progress.mAttempt.mValue - 1) % kSeeds].insert(attempt.mText);
        open.erase(progress.mAttempt);
        ++whole;
      }
    }
    CPPUNIT_ASSERT(whole > 0 && cancelled > 0);
    std::set<std::string> different;
    for (const auto& [seed, same] : texts) {
      CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, same.size());
      different.insert(*same.begin());
    }
    CPPUNIT_ASSERT_EQUAL(texts.size(), different.size());
  }

  /// Guards against a decode engine that computes the prompt again.
  void KvCacheMovesBetweenEngines()
  {
    auto prefill = Engine({ "--role=prefill" });
    auto decode = Engine({ "--role=decode" });
    auto call = Generation("kv");
    call.mPrefillOnly = true;
    auto filled = std::get<attempt_generated>(Run(*prefill, call).mOutcome);
    CPPUNIT_ASSERT(filled.mKv && filled.mKv->mAddress == prefill->Address());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, filled.mUsage.mCompletionTokens);
    call.mPrefillOnly = false;
    call.mKv = filled.mKv;
    auto decoded = Run(*decode, call);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 8 }, decoded.mOffset);
    auto usage = std::get<attempt_generated>(decoded.mOutcome).mUsage;
    CPPUNIT_ASSERT_EQUAL(usage.mPromptTokens, usage.mCachedTokens);
  }

  /// Guards against an order result that is confused with another one.
  void OrdersAreCheckedByTheEngine()
  {
    auto engine = Engine({ "--change_ms=400" });
    auto before = Observe(*engine);
    CPPUNIT_ASSERT(before && before->mRole == engine_role::Both && before->mVersion == "1");
    engine_command order{
      "o1", 4, before->mIncarnation, 1000ms, engine_role::Decode, "granite", "2"
    };
    auto wrong = order;
    wrong.mIncarnation = 1;
    CPPUNIT_ASSERT(Order(*engine, wrong) == engine_command_result::WrongIncarnation);
    CPPUNIT_ASSERT(Order(*engine, order) == engine_command_result::Accepted);
    auto second = order;
    second.mOrder = "o2";
    CPPUNIT_ASSERT(Order(*engine, second) == engine_command_result::Busy);
    second.mFencing = 3;
    CPPUNIT_ASSERT(Order(*engine, second) == engine_command_result::StaleFencing);
    std::optional<engine_report> after;
    CPPUNIT_ASSERT(mLoop->Until([&]() {
      after = Observe(*engine);
      return after && after->mActivity == engine_report::activity::Ready;
    }));
    CPPUNIT_ASSERT(after->mRole == engine_role::Decode && after->mVersion == "2");
    CPPUNIT_ASSERT_EQUAL(std::string{ "o1" }, after->mOrder);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, after->mFencing);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, Log(*engine)["orders"].size());
  }

  /// Guards against an order that is written after the lease under which it was decided.
  void LateOrderIsNotWritten()
  {
    auto engine = Engine();
    auto report = Observe(*engine);
    engine_command order{
      "late", 1, report->mIncarnation, 1000ms, engine_role::Both, "granite", "2"
    };
    CPPUNIT_ASSERT(Order(*engine, order, -1s) == engine_command_result::NoAnswer);
    auto log = Log(*engine);
    CPPUNIT_ASSERT(log["orders"].empty() && log["refused_orders"].empty());
  }

  /// Guards against taking a restarted engine for the one that got the order.
  void CrashInChangeGivesNewIncarnation()
  {
    auto engine = Engine({ "--crash_in_change", "--change_ms=20" });
    auto report = Observe(*engine);
    engine_command order{ "o", 1, report->mIncarnation, 1000ms, engine_role::Both, "granite", "2" };
    Order(*engine, order);
    CPPUNIT_ASSERT(engine->WaitForExit(5s));
    auto next = Engine();
    CPPUNIT_ASSERT(Observe(*next)->mIncarnation > report->mIncarnation);
  }

  /// Guards against sequence numbers that hide a gap, and against wrong hashes.
  void CacheEventsTellOfPieces()
  {
    auto engine = Engine({ "--cache_pieces=2", "--cache_event_gap_every=3" });
    auto call = Generation("long", 1);
    call.mBody = json{ { "prompt", std::string(3 * 16'384, 'x') }, { "max_tokens", 1 } }.dump();
    Run(*engine, call);
    mClient->ReadCacheEvents({ "e1", engine->Address(), 0 });
    auto read = Next<cache_events_read>();
    // add 1, add 2, add 3 (lost), evict 1
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 3 }, read.mEvents.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, read.mNext);
    CPPUNIT_ASSERT(read.mEvents[0].mAdded && !read.mEvents[2].mAdded);
    CPPUNIT_ASSERT_EQUAL(read.mEvents[0].mBlock, read.mEvents[2].mBlock);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 4 }, read.mEvents[2].mSequence);
  }

  /// Guards against headers of one connection that reach the other side, and lost key headers.
  void PlainCallPassesThrough()
  {
    auto service = Service();
    plain_call call{ "POST",
                     "/orders?day=2",
                     { { "Idempotency-Key", "k1" },
                       { "Connection", "X-Hop" },
                       { "X-Hop", "1" },
                       { "Transfer-Encoding", "chunked" },
                       { "Content-Type", "text/plain" } },
                     "one stone" };
    auto answered = std::get<attempt_response>(Run(*service, call).mOutcome);
    CPPUNIT_ASSERT_EQUAL(200, answered.mStatus);
    for (const auto& [name, value] : answered.mHeaders) {
      CPPUNIT_ASSERT(name != "Content-Length" && name != "Connection");
    }
    auto runs = json::parse(mLoop->Get(service->Url("/standin/runs")))["runs"];
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, runs.size());
    CPPUNIT_ASSERT_EQUAL(std::string{ "k1" }, runs[0]["key"].get<std::string>());
    CPPUNIT_ASSERT_EQUAL(std::string{ "one stone" }, runs[0]["body"].get<std::string>());
  }

  /// Guards against a second run of an order whose answer was lost on a reused connection.
  void ClosedConnectionDoesNotRunTwice()
  {
    auto service = Service();
    plain_call call{ "POST", "/orders", {}, "one stone" };
    Run(*service, call); // leaves a connection that the next call reuses
    for (const auto* fault : { R"({"close_after_run":1})", R"({"close_before_run":1})" }) {
      mLoop->Post(service->Url("/standin/faults"), fault);
      CPPUNIT_ASSERT(Failed(*service, call).mCause == attempt_failed::cause::Interrupted);
    }
    auto runs = json::parse(mLoop->Get(service->Url("/standin/runs")))["runs"];
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, runs.size());
  }

  system_clock_source mClock;
  std::unique_ptr<test_loop> mLoop;
  std::unique_ptr<engine_client> mClient;
  std::deque<event> mEvents;
  std::uint64_t mNumber = 0;
  std::chrono::milliseconds mProgressLimit{ 20s };
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_client_test);

} // namespace skylarkwind
