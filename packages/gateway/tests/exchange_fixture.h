#pragma once

#include "caller_listener_p.h"

#include <cppunit/TestAssert.h>

#include <kj/async-io.h>
#include <kj/debug.h>
#include <kj/timer.h>

#include <functional>
#include <list>
#include <memory>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>

namespace skylarkwind {

/// Protocol of the tests: a request's id is its header `Id`, a response's signature `Signature`. A
/// request with a header `Prompt` is a generation with so many tokens; `Stage: prefill` asks an
/// engine for the prompt alone, whose handle is the body of the response and is passed on as `Kv`.
/// `Parts` lists the shared parts of a prompt, in hexadecimal and separated by commas.
/// Servers are told their id in `Backend`, and in `Resume-After` the last event that they need not
/// send.
class plain_protocol : public protocol_adapter
{
public:
  forward_request ParseRequest(std::string aMethod,
                               std::string aHost,
                               std::string aTarget,
                               const header_list& aHeaders) const override
  {
    forward_request request;
    request.mMethod = std::move(aMethod);
    request.mHost = std::move(aHost);
    request.mTarget = std::move(aTarget);
    request.mId = Header(aHeaders, "Id");
    request.mApiKey = Header(aHeaders, "Key");
    if (const auto prompt = Header(aHeaders, "Prompt"); !prompt.empty()) {
      request.mGeneration.emplace();
      request.mGeneration->mPromptTokens = static_cast<std::uint32_t>(std::stoul(prompt));
      request.mGeneration->mSegments = { { 1, request.mGeneration->mPromptTokens } };
      request.mGeneration->mOutputTokens = 10;
    }
    std::istringstream parts{ Header(aHeaders, "Parts") };
    for (std::string part; std::getline(parts, part, ',');) {
      request.mSharedParts.push_back(PromptPartOf(part));
    }
    return request;
  }
  header_list MakeAttemptHeaders(const forward_request& aRequest,
                                 const forward_attempt& aAttempt) const override
  {
    header_list headers{ { "Id", aRequest.mId }, { "Backend", aAttempt.mBackendId } };
    if (!aAttempt.mAccount.empty()) {
      headers.emplace_back("Account", aAttempt.mAccount);
    }
    if (!aAttempt.mResumeAfter.empty()) {
      headers.emplace_back("Resume-After", aAttempt.mResumeAfter);
    }
    if (aAttempt.mPrefillOnly) {
      headers.emplace_back("Stage", "prefill");
    }
    if (aAttempt.mKv) {
      headers.emplace_back("Kv", aAttempt.mKv->mAddress + '/' + aAttempt.mKv->mHandle);
    }
    return headers;
  }
  response_head ParseResponse(int aStatus, const header_list& aHeaders) const override
  {
    response_head head;
    head.mStatus = aStatus;
    head.mRequestId = Header(aHeaders, "Id");
    head.mSigned = !Header(aHeaders, "Signature").empty();
    head.mNotExecuted = !Header(aHeaders, "Not-Executed").empty();
    head.mHeaders = aHeaders;
    return head;
  }
  header_list RemoveSignature(const header_list& aHeaders) const override { return aHeaders; }
  absl::StatusOr<std::string> ParsePrefillHandle(std::string_view aBody) const override
  {
    return std::string{ aBody };
  }
  control_request ReleaseHandleRequest(std::string_view aHandle) const override
  {
    return { "DELETE", "/handle/" + std::string{ aHandle }, {} };
  }
  control_request StateRequest() const override { return {}; }
  absl::StatusOr<engine_state_report> ParseState(std::string_view) const override
  {
    return absl::UnimplementedError("the tests have no engines");
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
  control_request EngineCountRequest(const engine_count_order&,
                                     std::string_view,
                                     std::uint64_t) const override
  {
    return {};
  }
  std::string_view ReadyPath() const override { return "/ready"; }

private:
  static std::string Header(const header_list& aHeaders, std::string_view aName)
  {
    for (const auto& [name, value] : aHeaders) {
      if (name == aName) {
        return value;
      }
    }
    return {};
  }
};

/// Every address leads to a new in-process pipe whose other end goes to `mAccept`.
class pipe_network final
  : public kj::Network
  , private kj::NetworkAddress
{
public:
  std::function<void(kj::Own<kj::AsyncIoStream>)> mAccept;
  bool mConnects = true; ///< if not, nobody answers an attempt to connect
  bool mRefuses = false; ///< nobody listens
  /// Connections open when this resolves, if set.
  std::function<kj::Promise<void>()> mBeforeConnect;
  /// What the daemon gets instead of its end of the pipe, if set.
  std::function<kj::Own<kj::AsyncIoStream>(kj::Own<kj::AsyncIoStream>)> mWrap;

  kj::Promise<kj::Own<kj::NetworkAddress>> parseAddress(kj::StringPtr, kj::uint) override
  {
    return kj::Own<kj::NetworkAddress>{ static_cast<kj::NetworkAddress*>(this),
                                        kj::NullDisposer::instance };
  }
  kj::Own<kj::NetworkAddress> getSockaddr(const void*, kj::uint) override { Unused(); }
  kj::Own<kj::Network> restrictPeers(kj::ArrayPtr<const kj::StringPtr>,
                                     kj::ArrayPtr<const kj::StringPtr>) override
  {
    Unused();
  }

private:
  [[noreturn]] static void Unused() { throw std::logic_error("the tests do not use this"); }

  kj::Promise<kj::Own<kj::AsyncIoStream>> connect() override
  {
    if (mRefuses) {
      return KJ_EXCEPTION(DISCONNECTED, "connect(): Connection refused");
    }
    if (!mConnects) {
      return kj::NEVER_DONE;
    }
    if (mBeforeConnect) {
      return mBeforeConnect().then([this] { return Open(); });
    }
    return Open();
  }
  kj::Own<kj::AsyncIoStream> Open()
  {
    auto pipe = kj::newTwoWayPipe();
    mAccept(kj::mv(pipe.ends[1]));
    return mWrap ? mWrap(kj::mv(pipe.ends[0])) : kj::mv(pipe.ends[0]);
  }
  kj::Own<kj::ConnectionReceiver> listen() override { Unused(); }
  kj::Own<kj::NetworkAddress> clone() override { Unused(); }
  kj::String toString() override { return kj::str("pipe"); }
};

/// A port at which the test itself makes connections.
class pipe_port final : public kj::ConnectionReceiver
{
public:
  kj::Promise<kj::Own<kj::AsyncIoStream>> accept() override
  {
    auto next = kj::newPromiseAndFulfiller<kj::Own<kj::AsyncIoStream>>();
    mWaiting = kj::mv(next.fulfiller);
    return kj::mv(next.promise);
  }
  kj::uint getPort() override { return 0; }

  /// The caller's end of a new connection.
  kj::Own<kj::AsyncIoStream> Connect()
  {
    auto pipe = kj::newTwoWayPipe();
    Connect(kj::mv(pipe.ends[1]));
    return kj::mv(pipe.ends[0]);
  }
  /// The same with the daemon's end given.
  void Connect(kj::Own<kj::AsyncIoStream> aDaemonEnd) { mWaiting->fulfill(kj::mv(aDaemonEnd)); }

private:
  kj::Own<kj::PromiseFulfiller<kj::Own<kj::AsyncIoStream>>> mWaiting;
};

/// A listener with its exchanges in one event loop, before servers that the test plays, `s1` at
/// first. A write on a pipe is complete only when the other end has read it, so that the test
/// decides how slowly a caller reads. Time moves only with Advance.
class exchange_fixture : private kj::TaskSet::ErrorHandler
{
public:
  exchange_fixture()
    : mScope(mLoop)
    , mTimer(kj::origin<kj::TimePoint>())
    , mPool(mNetwork, mTimer, mClock, mTable, http_pool_settings{})
    , mDirectory(directory_settings{})
    , mLoadTracker(backend_load_tracker_settings{})
    , mEngineModels(50)
    , mPlacer(placement_settings{}, mLoadTracker, mPrefixCacheIndex, mEngineModels)
    , mRetryBudget(fleet_retry_budget_settings{ 0.1, 10 })
    , mLoadExchange(fleet_member{ "vm", "vm:1", "z" }, {}, mLoadTracker, mPrefixCacheIndex)
    , mTasks(*this)
    , mQuarantine(quarantine_settings{}, mClock.Now())
    , mCrashDetector(mNetwork,
                     mTimer,
                     mTasks,
                     mClock,
                     mDirectory,
                     mQuarantine,
                     mCounters,
                     [](instant) { return false; })
    , mContext{ mProtocol,   mRoutes,        mDirectory,      mLoadTracker,   mPrefixCacheIndex,
                mPlacer,     mEngineModels,  mRequestCost,    mRetryBudget,   mLoadExchange,
                mPool,       mTimer,         mClock,          mTable,         mCounters,
                mTasks,      mPrefixUpdates, mResponseBodies, mRequestBodies, mShutdown,
                mQuarantine, mCrashDetector, mQuarantined }
    , mListener(mContext)
  {
    mNetwork.mAccept = [this](kj::Own<kj::AsyncIoStream> aStream) {
      mServers.push_back(kj::mv(aStream));
    };
    auto configuration = std::make_shared<forward_configuration>();
    configuration->mVersion = 1;
    for (const auto& [name, kind] : { std::pair{ "stream", route_kind::Streaming },
                                      std::pair{ "resumed", route_kind::Streaming },
                                      std::pair{ "order", route_kind::NonIdempotent } }) {
      forward_route route;
      route.mName = name;
      route.mHost = "a.example";
      route.mPathPrefix = '/' + route.mName + '/';
      route.mKind = kind;
      route.mResumable = route.mName == "resumed";
      route.mTimeout = std::chrono::seconds{ 4 };
      route.mTargetLatency = std::chrono::milliseconds{ 500 };
      route.mMaxAttempts = 2;
      route.mServices = { { "service", 1 } };
      configuration->mRoutes.push_back(route);
    }
    configuration->mServices = { { "service" } };
    mRoutes.Apply(configuration);
    AddServer("s1");
    mAccepting = mListener.Accept(mPort).eagerlyEvaluate(nullptr);
    Run();
  }

  void AddServer(const std::string& aId, std::optional<engine_role> aRole = std::nullopt)
  {
    backend_server server;
    server.mId = aId;
    server.mService = "service";
    server.mAddress = aId + ":1";
    server.mDataCentre = "z";
    server.mSlots = 8;
    server.mRole = aRole;
    mDirectory.Upsert(server, mClock.Now());
  }

  /// Runs everything that can run without time passing.
  void Run() { mLoop.run(); }
  void Advance(std::chrono::milliseconds aTime)
  {
    mClock.Advance(aTime);
    mTimer.advanceTo(mTimer.now() + ToKj(aTime));
    Run();
  }
  /// Reads what has been written so far, at most `aMost` bytes.
  std::string Read(kj::AsyncIoStream& aStream, std::size_t aMost = 64 * 1'024)
  {
    std::string text;
    while (text.size() < aMost) {
      std::string part(aMost - text.size(), '\0');
      std::size_t count = 0;
      auto reading = aStream.tryRead(part.data(), 1, part.size())
                       .then([&count](std::size_t aBytes) { count = aBytes; })
                       .eagerlyEvaluate(nullptr);
      Run();
      if (count == 0) {
        break;
      }
      text.append(part, 0, count);
    }
    return text;
  }
  /// Begins to write; the promise is kept until the other end has read all.
  void Write(kj::AsyncIoStream& aStream, const std::string& aText)
  {
    auto text = kj::heap<std::string>(aText);
    auto writing = aStream.write(text->data(), text->size()).attach(kj::mv(text));
    mTasks.add(kj::mv(writing));
    Run();
  }

  /// The same byte by byte: each is written when the other end has read the one before.
  void WriteOneByOne(kj::AsyncIoStream& aStream, const std::string& aText)
  {
    auto text = kj::heap<std::string>(aText);
    auto writing = WriteFrom(aStream, *text, 0).attach(kj::mv(text));
    mTasks.add(kj::mv(writing));
    Run();
  }

  kj::EventLoop mLoop;
  kj::WaitScope mScope;
  kj::TimerImpl mTimer;
  manual_clock_source mClock;
  pipe_network mNetwork;
  pipe_port mPort;
  std::list<kj::Own<kj::AsyncIoStream>> mServers; ///< connections that the pool has opened
  kj::HttpHeaderTable mTable;
  plain_protocol mProtocol;
  counters mCounters;
  http_pool mPool;
  route_index mRoutes;
  backend_directory mDirectory;
  backend_load_tracker mLoadTracker;
  prefix_cache_index mPrefixCacheIndex;
  engine_models mEngineModels;
  request_cost mRequestCost;
  placer mPlacer;
  fleet_retry_budget mRetryBudget;
  load_exchange mLoadExchange;
  kj::TaskSet mTasks;
  repeated_signal mPrefixUpdates;
  repeated_signal mQuarantined;
  repeated_signal mStarted;
  byte_budget mResponseBodies{ 1'024 * 1'024 };
  byte_budget mRequestBodies{ 1'024 * 1'024 };
  shutdown_signal mShutdown;
  prompt_quarantine mQuarantine;
  crash_detector mCrashDetector;
  exchange_context mContext;
  caller_listener mListener;
  kj::Promise<void> mAccepting = nullptr;

private:
  static kj::Promise<void> WriteFrom(kj::AsyncIoStream& aStream,
                                     const std::string& aText,
                                     std::size_t aAt)
  {
    if (aAt == aText.size()) {
      return kj::READY_NOW;
    }
    return aStream.write(&aText[aAt], 1).then([&aStream, &aText, aAt] {
      return WriteFrom(aStream, aText, aAt + 1);
    });
  }

  void taskFailed(kj::Exception&&) override
  {
    // A write to an end that the daemon has closed.
  }
};

/// An exchange that a test plays from both sides: as its caller and as the servers.
struct played_exchange
{
  /// The connection that the pool has opened as number `aIndex`.
  kj::AsyncIoStream& Server(std::size_t aIndex)
  {
    CPPUNIT_ASSERT_GREATER(aIndex, mFixture.mServers.size());
    return **std::next(mFixture.mServers.begin(), static_cast<std::ptrdiff_t>(aIndex));
  }
  void Pass(std::chrono::milliseconds aTime)
  {
    constexpr std::chrono::milliseconds kStep{ 50 };
    for (std::chrono::milliseconds passed{ 0 }; passed < aTime; passed += kStep) {
      mFixture.Advance(kStep);
    }
  }
  /// Whether the daemon has closed its end of the connection to a server.
  bool Closed(std::size_t aIndex)
  {
    bool closed = false;
    char byte = 0;
    auto reading = Server(aIndex)
                     .tryRead(&byte, 1, 1)
                     .then([&closed](std::size_t aBytes) { closed = aBytes == 0; },
                           [&closed](kj::Exception&&) { closed = true; })
                     .eagerlyEvaluate(nullptr);
    mFixture.Run();
    return closed;
  }

  exchange_fixture mFixture;
  kj::Own<kj::AsyncIoStream> mCaller;
};

} // namespace skylarkwind
