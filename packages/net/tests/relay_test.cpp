#include "../../../standins/child_process.h"
#include "../../../standins/test_loop.h"

#include <cppunit/extensions/HelperMacros.h>

namespace skylarkwind {

using namespace std::chrono_literals;

/// The client behind a connection that standin_relay disturbs.
class relay_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(relay_test);
  CPPUNIT_TEST(NewConnectionPassesASilentOne);
  CPPUNIT_TEST(CutAndSilenceAreToldApart);
  CPPUNIT_TEST(DelayIsNotAFailure);
  CPPUNIT_TEST_SUITE_END();

public:
  void setUp() override
  {
    mLoop = std::make_unique<test_loop>();
    mPlatform = child_process::Start(SKYLARKWIND_BIN_DIR "/standin_platform");
    mRelay = child_process::Start(SKYLARKWIND_BIN_DIR "/standin_relay",
                                  { "--target=" + mPlatform->Address() });
    auto state = mLoop->Get(mRelay->Url("/standin/state"));
    auto start = state.find("\"address\":\"") + 11;
    mAddress = state.substr(start, state.find('"', start) - start);
  }
  void tearDown() override
  {
    mLoop.reset();
    mRelay.reset();
    mPlatform.reset();
  }

private:
  http_result Ask(std::chrono::milliseconds aLimit)
  {
    http_request request;
    request.mUrl = "http://" + mAddress + "/v1/vms";
    request.mFirstProgressLimit = aLimit;
    return mLoop->Run(std::move(request));
  }
  void Faults(const std::string& aJson) { mLoop->Post(mRelay->Url("/standin/faults"), aJson); }

  /// Guards against a pool of silent connections that keeps a peer unreachable.
  void NewConnectionPassesASilentOne()
  {
    CPPUNIT_ASSERT(Ask(5s).mEnd == http_end::Complete);
    Faults(R"({"silence_open":true})");
    CPPUNIT_ASSERT(Ask(200ms).mEnd == http_end::Silent);
    CPPUNIT_ASSERT(Ask(5s).mEnd == http_end::Complete);
  }

  /// Guards against "not sent" for a request that a silent connection may have carried.
  void CutAndSilenceAreToldApart()
  {
    CPPUNIT_ASSERT(Ask(5s).mEnd == http_end::Complete);
    Faults(R"({"silence_all":true})");
    CPPUNIT_ASSERT(Ask(200ms).mEnd == http_end::Silent);
    Faults(R"({"cut":true})");
    CPPUNIT_ASSERT(mLoop->Until([&]() { return Ask(5s).mEnd == http_end::NotSent; }));
    Faults(R"({"cut":false,"silence_all":false})");
    CPPUNIT_ASSERT(mLoop->Until([&]() { return Ask(5s).mEnd == http_end::Complete; }));
  }

  /// Guards against limits that count from the wrong moment and end slow calls.
  void DelayIsNotAFailure()
  {
    Faults(R"({"delay_ms":150})");
    auto before = std::chrono::steady_clock::now();
    CPPUNIT_ASSERT(Ask(10s).mEnd == http_end::Complete);
    CPPUNIT_ASSERT(std::chrono::steady_clock::now() - before >= 300ms);
  }

  std::unique_ptr<test_loop> mLoop;
  std::unique_ptr<child_process> mPlatform;
  std::unique_ptr<child_process> mRelay;
  std::string mAddress;
};

CPPUNIT_TEST_SUITE_REGISTRATION(relay_test);

} // namespace skylarkwind
