#include "loopback_address.h"
#include "peer_transport_p.h"

#include <cppunit/extensions/HelperMacros.h>

#include <kj/async-io.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace skylarkwind {

namespace {

const std::string kReceiver = LoopbackAddress(24'731);
const std::string kSender = LoopbackAddress(24'732);

class no_errors final : public kj::TaskSet::ErrorHandler
{
public:
  void taskFailed(kj::Exception&& aError) override { CPPUNIT_FAIL(aError.getDescription().cStr()); }
};

} // namespace

class peer_transport_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(peer_transport_test);
  CPPUNIT_TEST(SummaryOfManyServersArrives);
  CPPUNIT_TEST(AnnouncementArrives);
  CPPUNIT_TEST_SUITE_END();

private:
  /// Two daemons' transports on one loop, and what the second one has received.
  struct pair
  {
    kj::AsyncIoContext mContext = kj::setupAsyncIo();
    no_errors mHandler;
    kj::TaskSet mTasks{ mHandler };
    std::optional<load_message> mLoad;
    std::optional<state_announcement> mAnnouncement;
    peer_transport mFrom{ mContext.provider->getNetwork(),
                          mTasks,
                          [](const auto&) {},
                          [](const auto&) {},
                          [](const auto&) {},
                          [](std::string_view) {},
                          [](std::string_view) {} };
    peer_transport mTo{ mContext.provider->getNetwork(),
                        mTasks,
                        [this](const load_message& aLoad) { mLoad = aLoad; },
                        [](const change_batch&) {},
                        [this](const state_announcement& aReceived) { mAnnouncement = aReceived; },
                        [](std::string_view) {},
                        [](std::string_view) {} };
    kj::Promise<void> mReceiving = mTo.Run(kReceiver).eagerlyEvaluate(nullptr);
    kj::Promise<void> mSending = mFrom.Run(kSender).eagerlyEvaluate(nullptr);

    void WaitUntil(const std::function<bool()>& aCondition)
    {
      for (int i = 0; i < 400 && !aCondition(); ++i) {
        mContext.provider->getTimer().afterDelay(5 * kj::MILLISECONDS).wait(mContext.waitScope);
      }
    }
  };

  /// Guards against a summary that is larger than a datagram and is dropped each time, as the next
  /// one is as large.
  void SummaryOfManyServersArrives()
  {
    constexpr std::uint32_t kServers = 600;
    pair transports;
    load_summary summary;
    summary.mSender.mName = "vm-1";
    summary.mSender.mAddress = kSender;
    summary.mSequence = 1;
    for (std::uint32_t i = 0; i < kServers; ++i) {
      dispatched_load load;
      load.mBackend = i;
      load.mPrefillTokens = i;
      summary.mDispatchedLoad.push_back(load);
    }
    CPPUNIT_ASSERT(EncodeLoad(summary).size() > std::size_t{ 8 } * 1'024);
    transports.WaitUntil([&] {
      transports.mFrom.Send({ summary, { { kReceiver, 7 } } }, "vm-1");
      return transports.mLoad.has_value();
    });
    CPPUNIT_ASSERT(transports.mLoad.has_value());
    const auto& received = std::get<load_summary>(*transports.mLoad);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ kServers }, received.mDispatchedLoad.size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 7 }, received.mIncludedSequence);
  }

  void AnnouncementArrives()
  {
    pair transports;
    state_announcement announcement;
    announcement.mState.mKind = "kind";
    announcement.mState.mDigest = "digest";
    announcement.mState.mBytes = std::string(20'000, 'x');
    announcement.mAddress = kSender;
    const std::vector<std::string> receivers{ kReceiver };
    transports.WaitUntil([&] {
      transports.mFrom.Send(announcement, "vm-1", receivers);
      return transports.mAnnouncement.has_value();
    });
    CPPUNIT_ASSERT(transports.mAnnouncement.has_value());
    CPPUNIT_ASSERT(transports.mAnnouncement->mState.mBytes == announcement.mState.mBytes);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(peer_transport_test);

} // namespace skylarkwind
