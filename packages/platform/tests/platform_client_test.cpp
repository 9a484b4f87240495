#include "../../../standins/child_process.h"
#include "../../../standins/test_loop.h"
#include "platform_json_p.h"
#include "skylarkwind/platform_client.h"

#include <cppunit/extensions/HelperMacros.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <iostream>
#include <random>

namespace skylarkwind {

using namespace std::chrono_literals;

class platform_client_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(platform_client_test);
  CPPUNIT_TEST(ConditionalWritesKeepVersions);
  CPPUNIT_TEST(WatchEndsWithTheChange);
  CPPUNIT_TEST(LostReplyIsNeverReportedAsRefused);
  CPPUNIT_TEST(RefusalsHadNoEffect);
  CPPUNIT_TEST(SilentPlatformGivesNoAnswer);
  CPPUNIT_TEST(VmListIsReadWhole);
  CPPUNIT_TEST(AnyBytesAreReadSafely);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mLoop = std::make_unique<test_loop>();
    Restart({});
  }
  void tearDown() override
  {
    mClient.reset();
    mLoop.reset();
    mPlatform.reset();
  }

private:
  void Restart(const std::vector<std::string>& aArguments, std::chrono::milliseconds aLimit = 20s)
  {
    mPlatform = child_process::Start(SKYLARKWIND_BIN_DIR "/standin_platform", aArguments);
    platform_settings settings;
    settings.mAddress = mPlatform->Address();
    settings.mReadLimit = aLimit;
    settings.mWriteLimit = aLimit;
    mClient = platform_client::Create(settings, mLoop->Http(), [this](event aEvent) {
                mReplies.push_back(std::get<platform_replied>(std::move(aEvent)));
              }).value();
  }

  platform_result Call(platform_operation aOperation)
  {
    mClient->Call({ { part::Lease, ++mNumber }, std::move(aOperation) });
    CPPUNIT_ASSERT(mLoop->Until([&]() { return !mReplies.empty(); }));
    auto reply = std::move(mReplies.front());
    mReplies.pop_front();
    CPPUNIT_ASSERT(reply.mCall == (call_id{ part::Lease, mNumber }));
    return reply.mResult;
  }

  template<class result>
  result Expect(platform_operation aOperation)
  {
    auto got = Call(std::move(aOperation));
    CPPUNIT_ASSERT(std::holds_alternative<result>(got));
    return std::get<result>(got);
  }

  void Faults(const std::string& aJson) { mLoop->Post(mPlatform->Url("/standin/faults"), aJson); }

  /// Guards against a write that takes effect over a version that it was not made for.
  void ConditionalWritesKeepVersions()
  {
    Expect<object_missing>(read_object{ mKey });
    auto first = Expect<write_accepted>(write_object{ mKey, 0, R"({"a":1})" });
    CPPUNIT_ASSERT_EQUAL(first.mVersion,
                         Expect<write_conflict>(write_object{ mKey, 0, "2" }).mStoredVersion);
    auto second = Expect<write_accepted>(write_object{ mKey, first.mVersion, R"({"a":2})" });
    CPPUNIT_ASSERT(second.mVersion > first.mVersion);
    auto found = Expect<object_found>(read_object{ mKey });
    CPPUNIT_ASSERT_EQUAL(std::string{ R"({"a":2})" }, found.mValue);
    CPPUNIT_ASSERT_EQUAL(second.mVersion, found.mVersion);
  }

  /// Guards against a configuration change that arrives only with the next poll.
  void WatchEndsWithTheChange()
  {
    auto version = Expect<write_accepted>(write_object{ mKey, 0, "1" }).mVersion;
    Expect<object_unchanged>(watch_object{ mKey, version, 50ms });
    mClient->Call({ { part::Configuration, 77 }, watch_object{ mKey, version, 60s } });
    CPPUNIT_ASSERT(mLoop->Until([&]() {
      return mLoop->Get(mPlatform->Url("/standin/calls")).find("\"waiting_watches\":1") !=
             std::string::npos;
    }));
    mLoop->Run([&]() {
      http_request put;
      put.mMethod = "PUT";
      put.mUrl = mPlatform->Url("/v1/objects/table/current");
      put.mHeaders = { { "If-Match", std::to_string(version) } };
      put.mBody = "2";
      return put;
    }());
    CPPUNIT_ASSERT(mLoop->Until([&]() { return !mReplies.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::string{ "2" },
                         std::get<object_found>(mReplies.front().mResult).mValue);
  }

  /// Guards against repeating a write, or releasing a claim, after a write that took effect.
  void LostReplyIsNeverReportedAsRefused()
  {
    Expect<object_missing>(read_object{ mKey }); // the next call reuses this connection
    Faults(R"({"lose_replies":1})");
    Expect<platform_outcome_unknown>(write_object{ mKey, 0, "1" });
    auto found = Expect<object_found>(read_object{ mKey });
    CPPUNIT_ASSERT_EQUAL(std::string{ "1" }, found.mValue);
    auto calls = nlohmann::json::parse(mLoop->Get(mPlatform->Url("/standin/calls")));
    CPPUNIT_ASSERT_EQUAL(1, calls["write"].get<int>());
  }

  /// Guards against waiting for a write that the platform said it did not do.
  void RefusalsHadNoEffect()
  {
    Expect<platform_refused>(write_object{ mKey, 0, "\"" + std::string(1'100'000, 'x') + "\"" });
    Faults(R"({"outage":true})");
    Expect<platform_refused>(write_object{ mKey, 0, "1" });
    Expect<platform_refused>(read_object{ mKey });
    Faults(R"({"outage":false})");
    Expect<object_missing>(read_object{ mKey });
    Restart({ "--writes_per_second=0.01" });
    auto version = Expect<write_accepted>(write_object{ mKey, 0, "1" }).mVersion;
    Expect<platform_refused>(write_object{ mKey, version, "2" });
    mPlatform.reset();
    Expect<platform_refused>(read_object{ mKey });
  }

  /// Guards against a lease holder that waits without end for a platform that does not answer.
  void SilentPlatformGivesNoAnswer()
  {
    Restart({}, 300ms);
    Faults(R"({"outage":true,"silent":true})");
    Expect<platform_outcome_unknown>(write_object{ mKey, 0, "1" });
  }

  /// Guards against taking a VM for gone because its entry was lost in reading.
  void VmListIsReadWhole()
  {
    mLoop->Post(mPlatform->Url("/standin/vms"),
                R"({"vms":[{"name":"a1","address":"127.0.0.1:1","data_centre":"ga-a",
                            "kind":"entry","state":"live"},
                           {"name":"b1","address":"127.0.0.1:2","data_centre":"ga-b",
                            "kind":"backend","state":"leaving"}]})");
    auto vms = Expect<vm_list>(read_vm_list{}).mVms;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, vms.size());
    CPPUNIT_ASSERT(vms[0].mKind == vm_kind::Entry && !vms[0].mLeaving);
    CPPUNIT_ASSERT(vms[1].mKind == vm_kind::Backend && vms[1].mLeaving);
    mLoop->Post(mPlatform->Url("/standin/vms"), R"({"vms":[{"name":"a1"}]})");
    Expect<platform_outcome_unknown>(read_vm_list{});
  }

  /// Guards against a crash, or a write result made up from damaged bytes.
  void AnyBytesAreReadSafely()
  {
    constexpr unsigned kSeed = 20261204;
    std::cout << " seed " << kSeed << ' ';
    std::mt19937 random{ kSeed };
    const std::vector<std::string> texts{ R"({"version":7,"value":{"a":[1,2]}})",
                                          R"({"vms":[{"name":"a","address":"b","data_centre":"c",)"
                                          R"("kind":"entry","state":"live"}]})" };
    const std::vector<platform_operation> operations{
      read_object{}, write_object{}, watch_object{}, read_vm_list{}
    };
    const std::vector<int> statuses{ 0, 200, 304, 404, 409, 413, 429, 500, 503 };
    for (int round = 0; round < 20'000; ++round) {
      http_result answer{ http_end::Complete, statuses[random() % statuses.size()], {}, "", "" };
      answer.mBody = texts[random() % texts.size()];
      for (auto changes = random() % 4; changes > 0; --changes) {
        auto at = random() % answer.mBody.size();
        answer.mBody[at] = static_cast<char>(random());
      }
      answer.mBody.resize(random() % 3 == 0 ? random() % answer.mBody.size() : answer.mBody.size());
      const auto& operation = operations[random() % operations.size()];
      auto read = ReadPlatformAnswer(operation, answer);
      const auto* result = std::get_if<platform_result>(&read);
      bool accepted = result != nullptr && std::holds_alternative<write_accepted>(*result);
      CPPUNIT_ASSERT(!accepted ||
                     (answer.mStatus == 200 && std::holds_alternative<write_object>(operation) &&
                      nlohmann::json::parse(answer.mBody).contains("version")));
    }
  }

  object_key mKey{ "table", "current" };
  std::unique_ptr<test_loop> mLoop;
  std::unique_ptr<child_process> mPlatform;
  std::unique_ptr<platform_client> mClient;
  std::deque<platform_replied> mReplies;
  std::uint64_t mNumber = 0;
};

CPPUNIT_TEST_SUITE_REGISTRATION(platform_client_test);

} // namespace skylarkwind
