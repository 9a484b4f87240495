#include "engine_count_driver_p.h"

#include "skylarkwind/prefix_cache_index.h"

#include <cppunit/extensions/HelperMacros.h>

#include <kj/async-io.h>
#include <kj/compat/http.h>

#include <algorithm>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Orders are sent as `POST /data centre/engines/token`.
class order_protocol final : public protocol_adapter
{
public:
  forward_request ParseRequest(std::string,
                               std::string,
                               std::string,
                               const header_list&) const override
  {
    return {};
  }
  header_list MakeAttemptHeaders(const forward_request&, const forward_attempt&) const override
  {
    return {};
  }
  response_head ParseResponse(int, const header_list&) const override { return {}; }
  header_list RemoveSignature(const header_list& aHeaders) const override { return aHeaders; }
  absl::StatusOr<std::string> ParsePrefillHandle(std::string_view) const override { return ""; }
  control_request ReleaseHandleRequest(std::string_view) const override { return {}; }
  control_request StateRequest() const override { return {}; }
  absl::StatusOr<engine_state_report> ParseState(std::string_view) const override
  {
    return absl::UnimplementedError("not used");
  }
  control_request RoleCommandRequest(const role_command&) const override { return {}; }
  role_command_result ParseRoleCommandResult(int) const override
  {
    return role_command_result::Unknown;
  }
  control_request UsageRequest(const usage_window&, std::string_view, std::uint64_t) const override
  {
    return {};
  }
  control_request EngineCountRequest(const engine_count_order& aOrder,
                                     std::string_view,
                                     std::uint64_t aToken) const override
  {
    return { "POST",
             "/" + aOrder.mDataCentre + "/" + std::to_string(aOrder.mEngines) + "/" +
               std::to_string(aToken),
             {},
             "{}" };
  }
  std::string_view ReadyPath() const override { return "/ready"; }
};

/// Accepts all orders.
class accepting_platform final : public kj::HttpService
{
public:
  explicit accepting_platform(kj::HttpHeaderTable& aTable)
    : mTable(aTable)
  {
  }
  kj::Promise<void> request(kj::HttpMethod,
                            kj::StringPtr aTarget,
                            const kj::HttpHeaders&,
                            kj::AsyncInputStream& aBody,
                            Response& aResponse) override
  {
    mOrders.emplace_back(aTarget.cStr());
    return aBody.readAllText().ignoreResult().then([this, &aResponse] {
      aResponse.send(200, "OK", kj::HttpHeaders(mTable), std::uint64_t{ 0 });
    });
  }
  kj::HttpHeaderTable& mTable;
  std::vector<std::string> mOrders;
};

/// A store of one object.
class record_store final : public object_store
{
public:
  ~record_store() noexcept override = default;
  kj::Promise<store_result<object_page>> List(std::string, std::string, bool) override
  {
    return store_result<object_page>{ store_failure{} };
  }
  kj::Promise<store_result<object_changes>> Watch(std::string, std::uint64_t, milliseconds) override
  {
    return store_result<object_changes>{ store_failure{} };
  }
  kj::Promise<store_result<stored_object>> Read(std::string, std::string aName) override
  {
    if (mIsDown) {
      return store_result<stored_object>{ store_failure{} };
    }
    if (mRevision == 0) {
      return store_result<stored_object>{ store_failure{ store_failure::cause::Missing, {} } };
    }
    return store_result<stored_object>{ stored_object{ aName, mRevision, mValue } };
  }
  kj::Promise<store_result<object_written>> Write(std::string,
                                                  std::string,
                                                  std::optional<std::uint64_t> aRevision,
                                                  std::string aValue) override
  {
    if (mIsDown) {
      return store_result<object_written>{ store_failure{} };
    }
    if (aRevision.value_or(0) != mRevision) {
      return store_result<object_written>{ store_failure{ store_failure::cause::Conflict, {} } };
    }
    Put(std::move(aValue));
    return store_result<object_written>{ object_written{ mRevision } };
  }
  kj::Promise<store_result<object_written>> Replace(std::string, std::string, std::string) override
  {
    return store_result<object_written>{ store_failure{} };
  }
  kj::Promise<store_result<object_written>> Remove(std::string, std::string, std::uint64_t) override
  {
    return store_result<object_written>{ store_failure{} };
  }
  void Put(std::string aValue)
  {
    mRevision += 10;
    mValue = std::move(aValue);
  }

  bool mIsDown = false;
  std::uint64_t mRevision = 0;
  std::string mValue;
};

} // namespace

class engine_count_driver_test : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(engine_count_driver_test);
  CPPUNIT_TEST(OrdersAreSentWithATokenAndStored);
  CPPUNIT_TEST(NothingIsSentWithoutTheStore);
  CPPUNIT_TEST(NothingIsSentAfterAnotherDaemonTookTheTask);
  CPPUNIT_TEST(AcceptedOrdersOutliveALossOfTheDuty);
  CPPUNIT_TEST_SUITE_END();

  /// A daemon that is the first to order engines, and a service with ten engines in each of two
  /// data centres.
  struct world final : private kj::TaskSet::ErrorHandler
  {
    world()
    {
      List(10);
      Configure(10);
    }

    void taskFailed(kj::Exception&& aError) override
    {
      CPPUNIT_FAIL(aError.getDescription().cStr());
    }

    void Configure(std::uint32_t aMin)
    {
      auto configuration = std::make_shared<forward_configuration>();
      configuration->mVersion = ++mVersion;
      forward_service service;
      service.mName = "s";
      service.mOrdering = engine_ordering{ aMin, 30, seconds{ 4 }, {}, { { "a", 1 }, { "b", 1 } } };
      configuration->mServices.push_back(service);
      CPPUNIT_ASSERT(mRoutes.Apply(configuration));
    }

    void List(int aEngines)
    {
      std::vector<backend_server> servers;
      for (const auto* dataCentre : { "a", "b" }) {
        for (int i = 0; i < aEngines; ++i) {
          backend_server server;
          server.mId = dataCentre + std::to_string(i);
          server.mService = "s";
          server.mDataCentre = dataCentre;
          servers.push_back(server);
        }
      }
      mDirectory.Replace(servers, false, mClock.Now());
    }

    /// Advances the clock until the condition holds; false when it does not within the limit.
    template<class condition>
    bool AdvanceUntil(condition aCondition, milliseconds aLimit)
    {
      constexpr milliseconds kStep{ 25 };
      for (milliseconds passed{ 0 }; passed < aLimit && !aCondition(); passed += kStep) {
        mClock.Advance(kStep);
        load_summary summary;
        summary.mSender = { "vm-1", "127.0.0.1:2", "b" };
        summary.mSequence = ++mSequence;
        summary.mWholeFleet = true;
        summary.mDaemons = 2;
        mExchange.OnSummary(summary, mClock.Now());
        mDriver.OnTick(mWatchesStore, mClock.Now());
        // Lets the call and its response pass through the sockets.
        mIo.provider->getTimer().afterDelay(1 * kj::MILLISECONDS).wait(mIo.waitScope);
      }
      return aCondition();
    }
    void Advance(milliseconds aTime)
    {
      AdvanceUntil([] { return false; }, aTime);
    }
    std::size_t Orders() const { return mPlatform.mOrders.size(); }
    /// Orders 12 engines in each data centre and waits until they are accepted and stored.
    void OrderTwelve()
    {
      Advance(seconds{ 5 });
      Configure(12);
      CPPUNIT_ASSERT(AdvanceUntil([&] { return mStore.mValue.find(kTwelve) != std::string::npos; },
                                  seconds{ 10 }));
    }
    static constexpr const char* kTwelve = R"([[\"s\",\"a\",false,12],[\"s\",\"b\",false,12]])";

    kj::AsyncIoContext mIo = kj::setupAsyncIo();
    kj::HttpHeaderTable mTable;
    manual_clock_source mClock;
    counters mCounters;
    accepting_platform mPlatform{ mTable };
    kj::HttpServer mServer{ mIo.provider->getTimer(), mTable, mPlatform };
    kj::Own<kj::ConnectionReceiver> mReceiver =
      mIo.provider->getNetwork().parseAddress("127.0.0.1").wait(mIo.waitScope)->listen();
    kj::Promise<void> mListening = mServer.listenHttp(*mReceiver).eagerlyEvaluate(nullptr);
    http_pool mPool{ mIo.provider->getNetwork(), mIo.provider->getTimer(), mClock, mTable, {} };
    platform_api mApi{ "127.0.0.1:" + std::to_string(mReceiver->getPort()),
                       0,
                       mPool,
                       mIo.provider->getTimer(),
                       mClock,
                       mCounters };
    order_protocol mProtocol;
    route_index mRoutes;
    backend_directory mDirectory{ directory_settings{} };
    backend_load_tracker mLoadTracker{ backend_load_tracker_settings{} };
    engine_models mModels{ 1 };
    prefix_cache_index mPrefixCacheIndex;
    load_exchange mExchange{ { "vm-0", "127.0.0.1:1", "a", 0, true },
                             {},
                             mLoadTracker,
                             mPrefixCacheIndex };
    record_store mStore;
    kj::TaskSet mTasks{ *this };
    engine_count_driver mDriver{ { "vm-0" }, mProtocol, mRoutes, mDirectory, mLoadTracker, mModels,
                                 mExchange,  mStore,    mApi,    mClock,     mCounters,    mTasks };
    std::uint64_t mVersion = 0;
    std::uint64_t mSequence = 0;
    bool mWatchesStore = true;
  };

  /// Guards against orders without a confirmed token, and against a next holder that does not know
  /// of them.
  void OrdersAreSentWithATokenAndStored()
  {
    world world;
    world.Advance(seconds{ 6 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 0 }, world.Orders());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, world.mStore.mRevision);
    world.OrderTwelve();
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, world.Orders());
    CPPUNIT_ASSERT_EQUAL(std::string("/a/12/1"), world.mPlatform.mOrders[0]);
    CPPUNIT_ASSERT_EQUAL(std::string("/b/12/1"), world.mPlatform.mOrders[1]);
  }

  /// Guards against orders by a daemon that cannot know whether it still holds the task.
  void NothingIsSentWithoutTheStore()
  {
    world world;
    world.OrderTwelve();
    world.mStore.mIsDown = true;
    world.Advance(seconds{ 2 });
    world.Configure(14);
    world.Advance(seconds{ 8 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, world.Orders());
    world.mStore.mIsDown = false;
    CPPUNIT_ASSERT(world.AdvanceUntil([&] { return world.Orders() == 4; }, seconds{ 10 }));
    CPPUNIT_ASSERT(world.mPlatform.mOrders[2].starts_with("/a/14/"));
  }

  /// Guards against two holders that order at the same time, and against a token that falls.
  void NothingIsSentAfterAnotherDaemonTookTheTask()
  {
    world world;
    world.OrderTwelve();
    world.Advance(seconds{ 2 });
    world.mStore.Put(R"({"holder":"vm-1","fencing":9,"state":"[[\"s\",\"a\",false,20]]"})");
    world.Configure(14);
    world.Advance(milliseconds{ 4'500 });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, world.Orders());
    CPPUNIT_ASSERT(world.AdvanceUntil([&] { return world.Orders() == 3; }, seconds{ 10 }));
    // The other daemon has ordered 20 engines in the first data centre.
    const auto& order = world.mPlatform.mOrders[2];
    CPPUNIT_ASSERT_MESSAGE(order, order.starts_with("/b/14/"));
    CPPUNIT_ASSERT(std::stoul(order.substr(6)) > 9);
  }

  /// Guards against the removal of living engines after an outage of the store, whose entries are
  /// missing for some seconds: a daemon that is the holder again begins from the stored orders.
  void AcceptedOrdersOutliveALossOfTheDuty()
  {
    world world;
    world.OrderTwelve();
    world.mWatchesStore = false;
    world.Advance(seconds{ 3 });
    world.Configure(11);
    world.List(4);
    world.mWatchesStore = true;
    world.Advance(seconds{ 2 });
    world.List(10);
    world.Advance(seconds{ 3 });
    for (const auto& order : world.mPlatform.mOrders) {
      CPPUNIT_ASSERT_MESSAGE(order, order.find("/12/") != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(engine_count_driver_test);

} // namespace skylarkwind
