#include "skylarkwind/gateway.h"

#include "caller_listener_p.h"
#include "counting_store_p.h"
#include "daemon_registry_p.h"
#include "peer_snapshots_p.h"
#include "peer_transport_p.h"
#include "role_driver_p.h"
#include "store_follower_p.h"

#include "skylarkwind/hash.h"
#include "skylarkwind/log.h"
#include "skylarkwind/store_watchers.h"

#include <kj/async-unix.h>
#include <kj/debug.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <csignal>
#include <random>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTickPeriod{ 25 };
/// Number of daemons that use short watches of the store, so that they notice connections that have
/// gone silent. Other watchers learn from load summaries of other daemons that they missed a
/// change.
constexpr std::size_t kShortWatchDaemons = 3;
constexpr milliseconds kLongWatch{ 25'000 };
/// Longest pauses between calls while the store is unreachable, for daemons with short and with
/// long watches. The latter are notified when the store is back.
constexpr milliseconds kShortRetryPause{ 1'000 };
constexpr milliseconds kLongRetryPause{ 4'000 };
/// A starting daemon waits this long for other daemons that may supply the store's contents before
/// it calls the store.
constexpr milliseconds kPeerWaitLimit{ 800 };
/// A daemon whose calls to the store failed is not chosen to watch it for this long after its last
/// try.
constexpr milliseconds kStoreLossHoldOff{ 3'000 };
constexpr milliseconds kShutdownMargin{ 600 };
/// During a shutdown, connections without a request are closed after this idle time.
constexpr milliseconds kShutdownIdleLimit{ 300 };
/// Limit of the bodies that are buffered at the same time, one for responses of servers and one for
/// requests of callers. Each is a fifth of the memory of the smallest VM (160 MB).
constexpr std::size_t kMaxBufferedBodyBytes = 32 * 1'024 * 1'024;
/// How often the settings file is checked for changes.
constexpr milliseconds kSettingsPollPeriod{ 1'000 };
/// How often a daemon decides whether it watches the store, and compares the roles of engines with
/// the desired ones.
constexpr milliseconds kDutyCheckPeriod{ 200 };

class kj_gateway final
  : public gateway
  , private kj::TaskSet::ErrorHandler
  , private kj::HttpService
{
public:
  kj_gateway(gateway_settings aSettings,
             settings_file aFile,
             deployment_adapter aAdapter,
             kj::AsyncIoContext& aContext,
             const clock_source& aClock)
    : mSettings(std::move(aSettings))
    , mSettingsFile(std::move(aFile))
    , mAdapter(std::move(aAdapter))
    , mContext(aContext)
    , mTimer(aContext.provider->getTimer())
    , mClock(aClock)
    , mPool(aContext.provider->getNetwork(), mTimer, aClock, mTable, http_pool_settings{})
    , mStorePool(aContext.provider->getNetwork(), mTimer, aClock, mTable, http_pool_settings{})
    , mStore(std::make_unique<counting_store>(mAdapter.mCreateStore(mStorePool, mTimer), mCounters))
    , mDirectory(DirectorySettings(mSettings))
    , mLoadTracker(LoadTrackerSettings(mSettings))
    , mPlacer(PlacementSettings(mSettings), mLoadTracker, mPrefixCacheIndex)
    , mRetryBudget(mSettings.mRepeats)
    , mLoadExchange(MemberFromSettings(mSettings),
                    mSettings.mSeeds,
                    mLoadTracker,
                    mPrefixCacheIndex)
    , mTasks(*this)
    , mExchangeContext{ *mAdapter.mProtocolAdapter,
                        mRoutes,
                        mDirectory,
                        mLoadTracker,
                        mPrefixCacheIndex,
                        mPlacer,
                        mRetryBudget,
                        mLoadExchange,
                        mPool,
                        mTimer,
                        mClock,
                        mTable,
                        mCounters,
                        mTasks,
                        mPrefixUpdates,
                        mResponseBodies,
                        mRequestBodies }
    , mCallerListener(mExchangeContext)
    , mPeerTransport(
        aContext.provider->getNetwork(),
        mTasks,
        [this](const load_message& aMessage) { OnLoadMessage(aMessage); },
        [this](const change_batch& aBatch) { OnChangeBatch(aBatch); })
    , mRoleDriver(RoleSettings(mSettings),
                  *mAdapter.mProtocolAdapter,
                  mRoutes,
                  mDirectory,
                  mLoadTracker,
                  mLoadExchange,
                  *mStore,
                  mPool,
                  mResponseBodies,
                  mTimer,
                  mClock,
                  mTasks)
    , mReadyServer(mTimer, mTable, *this)
    , mConfigurationFollower(
        FollowerSettings(std::string{ mAdapter.mObjects->ConfigurationKind() }),
        *mStore,
        mTimer,
        mClock,
        [this](const auto& aObjects, bool) { OnConfigurations(aObjects); },
        [this](const object_change& aChange, bool) { OnConfiguration(aChange); },
        [this](const change_batch& aBatch) { RelayChanges(aBatch, true); })
    , mServerFollower(
        FollowerSettings(std::string{ mAdapter.mObjects->BackendKind() }),
        *mStore,
        mTimer,
        mClock,
        [this](const auto& aObjects, bool aAfter) { OnServers(aObjects, aAfter); },
        [this](const object_change& aChange, bool aAfter) { OnServer(aChange, aAfter); },
        [this](const change_batch& aBatch) { RelayChanges(aBatch, true); })
    , mPeerSnapshots(aContext.provider->getNetwork(),
                     mTimer,
                     aClock,
                     mTable,
                     mLoadExchange,
                     RandomSeed(),
                     [this](std::string_view aKind) { return Snapshot(aKind); })
    , mRegistry(mLoadExchange.Members().Self(),
                *mStore,
                mTimer,
                mClock,
                RandomSeed(),
                mLoadExchange)
    , mStartedAt(aClock.Now())
  {
    for (auto* follower : { &mConfigurationFollower, &mServerFollower }) {
      follower->SetPeerFetch(
        [this](const std::string& aKind) { return mPeerSnapshots.Ask(aKind); });
      follower->SetPaused(true);
    }
  }

  ~kj_gateway() noexcept override = default;

  void Run() override
  {
    auto& network = mContext.provider->getNetwork();
    mCallerPort =
      network.parseAddress(ToKj(mSettings.mCallerAddress)).wait(mContext.waitScope)->listen();
    mReadyPort =
      network.parseAddress(ToKj(mSettings.mReadyAddress)).wait(mContext.waitScope)->listen();
    mAcceptLoop =
      mCallerListener.Accept(*mCallerPort).eagerlyEvaluate([this](kj::Exception&& aError) {
        taskFailed(kj::mv(aError));
      });
    mTasks.add(mReadyServer.listenHttp(*mReadyPort));
    mTasks.add(mPeerTransport.Run(mSettings.mPeerAddress));
    mTasks.add(mPeerSnapshots.Serve(mSettings.mPeerAddress));
    mTasks.add(mConfigurationFollower.Run());
    mTasks.add(mServerFollower.Run());
    mTasks.add(mRegistry.Run());
    mTasks.add(RunTicks());
    mTasks.add(
      mContext.unixEventPort.onSignal(SIGTERM).then([this](siginfo_t) { BeginShutdown(); }));
    mTasks.add(ReloadOnHangup());
    mTasks.add(ReloadOnFileChange());
    Log(log_level::Info,
        "daemon",
        "started vm=" + mSettings.mVm + " data_centre=" + mSettings.mDataCentre + " listening on " +
          mSettings.mCallerAddress);
    mShutdownComplete.promise.wait(mContext.waitScope);
    Log(log_level::Info, "daemon", "stopped vm=" + mSettings.mVm);
  }

private:
  static fleet_member MemberFromSettings(const gateway_settings& aSettings)
  {
    fleet_member self;
    self.mName = aSettings.mVm;
    self.mAddress = aSettings.mPeerAddress;
    self.mDataCentre = aSettings.mDataCentre;
    self.mCpuMillicores = aSettings.mCpuMillicores;
    std::random_device random;
    self.mStart = std::uint64_t{ random() } << 32U | random();
    return self;
  }
  static directory_settings DirectorySettings(const gateway_settings& aSettings)
  {
    directory_settings settings;
    settings.mExpiryGrace = std::min(settings.mExpiryGrace, aSettings.mDrainDeadline * 3 / 4);
    return settings;
  }
  static backend_load_tracker_settings LoadTrackerSettings(const gateway_settings& aSettings)
  {
    backend_load_tracker_settings settings;
    settings.mPrefillTokensPerMs = aSettings.mPrefillTokensPerMs;
    return settings;
  }
  static placement_settings PlacementSettings(const gateway_settings& aSettings)
  {
    placement_settings settings;
    settings.mDataCentre = aSettings.mDataCentre;
    return settings;
  }
  static role_controller_settings RoleSettings(const gateway_settings& aSettings)
  {
    return { aSettings.mVm, aSettings.mPrefillShare, aSettings.mLease };
  }
  store_follower_settings FollowerSettings(std::string aKind) const
  {
    store_follower_settings settings;
    settings.mKind = std::move(aKind);
    settings.mWatch = mSettings.mContact;
    // Coalescing may use a quarter of the bounds; the rest is for the call and for a slow start of
    // it.
    settings.mMaxCoalesce =
      std::min(mSettings.mDrainDeadline, mSettings.mConfigurationDeadline) / 4;
    settings.mRandomSeed = RandomSeed();
    return settings;
  }
  std::uint64_t RandomSeed() const
  {
    return Hash64(mSettings.mVm) ^
           static_cast<std::uint64_t>(mClock.Now().time_since_epoch().count());
  }

  void OnConfigurations(const std::vector<stored_object>& aObjects)
  {
    for (const auto& object : aObjects) {
      OnConfiguration({ object, false });
    }
  }

  void OnConfiguration(const object_change& aChange)
  {
    if (aChange.mRemoved || aChange.mObject.mName != mAdapter.mObjects->ConfigurationName()) {
      return;
    }
    auto parsed = mAdapter.mObjects->ParseConfiguration(aChange.mObject);
    if (!parsed.ok()) {
      Log(log_level::Error, "configuration", std::string{ parsed.status().message() });
      return;
    }
    auto configuration = std::make_shared<const forward_configuration>(*std::move(parsed));
    const auto version = configuration->mVersion;
    const auto routes = configuration->mRoutes.size();
    if (mRoutes.Apply(std::move(configuration))) {
      Log(log_level::Info,
          "configuration",
          "applied version=" + std::to_string(version) + " routes=" + std::to_string(routes));
    }
  }

  void OnServers(const std::vector<stored_object>& aObjects, bool aAfterOutage)
  {
    std::vector<backend_server> servers;
    for (const auto& object : aObjects) {
      if (auto server = mAdapter.mObjects->ParseBackend(object); server.ok()) {
        servers.push_back(*std::move(server));
      }
    }
    for (const auto& server : servers) {
      ApplyStateChange(server);
    }
    mDirectory.Replace(servers, aAfterOutage, mClock.Now());
    Log(log_level::Info, "servers", "listed count=" + std::to_string(servers.size()));
  }

  void OnServer(const object_change& aChange, bool aAfterOutage)
  {
    const auto& name = aChange.mObject.mName;
    const auto now = mClock.Now();
    if (aChange.mRemoved) {
      Log(log_level::Info,
          "servers",
          "removed id=" + name + " after_outage=" + std::to_string(aAfterOutage));
      mDirectory.Remove(name, aAfterOutage, now);
      return;
    }
    auto server = mAdapter.mObjects->ParseBackend(aChange.mObject);
    if (!server.ok()) {
      // Without a valid entry there is no server to send requests to.
      Log(log_level::Warning, "servers", "entry cannot be parsed, server removed id=" + name);
      mDirectory.Remove(name, false, now);
      return;
    }
    ApplyStateChange(*server);
    const auto* known = mDirectory.Find(name);
    if (known == nullptr || known->mDraining != server->mDraining) {
      Log(log_level::Info,
          "servers",
          "id=" + name + " draining=" + std::to_string(server->mDraining));
    }
    mDirectory.Upsert(*server);
  }

  void UpdateCapacity(const backend_server& aServer)
  {
    const auto& configuration = mRoutes.Current();
    const auto* service = configuration ? configuration->FindService(aServer.mService) : nullptr;
    if (service != nullptr && service->mEngine) {
      mPrefixCacheIndex.SetCapacity(aServer.mId, service->mEngine->mKvTokens);
    }
  }

  /// Discards what is known of a server that restarted under its id, since its caches are lost. A
  /// server with a new role has completed its role change and is usable again.
  void ApplyStateChange(const backend_server& aServer)
  {
    const auto* known = mDirectory.Find(aServer.mId);
    if (known != nullptr && known->mRole != aServer.mRole) {
      mLoadTracker.OnRoleChanged(aServer.mId, mClock.Now());
    }
    if (known != nullptr && known->mStartedAt != aServer.mStartedAt) {
      mLoadTracker.Reset(aServer.mId);
      mPrefixCacheIndex.RemoveEngine(aServer.mId);
    }
  }

  kj::Promise<void> RunTicks()
  {
    return mTimer.afterDelay(ToKj(kTickPeriod)).then([this] {
      OnTick(mClock.Now());
      return RunTicks();
    });
  }

  void OnTick(instant aNow)
  {
    mDirectory.OnTick(aNow);
    mPool.OnTick(aNow);
    mStorePool.OnTick(aNow);
    mConfigurationFollower.OnTick(aNow);
    mServerFollower.OnTick(aNow);
    const auto& configuration = mRoutes.Current();
    const auto idle =
      configuration ? configuration->mLimits.mIdleTimeout : caller_limits{}.mIdleTimeout;
    const bool closing = mStoppingSince && aNow - *mStoppingSince >= mSettings.mBalancerReaction;
    mCallerListener.CloseIdle(closing ? std::min(idle, kShutdownIdleLimit) : idle, aNow);
    ExchangeLoad(aNow);
    if (!mStoppingSince && (mAwaitsPeers || aNow >= mNextDutyCheck)) {
      mNextDutyCheck = aNow + kDutyCheckPeriod;
      UpdateStoreWatch(aNow);
      if (!mAwaitsPeers) {
        mRoleDriver.OnTick(mWatchesStore, aNow);
      }
    }
    if (mCapacityVersions != std::pair{ mRoutes.Version(), mDirectory.Revision() }) {
      mCapacityVersions = { mRoutes.Version(), mDirectory.Revision() };
      mDirectory.ForEach([this](const backend_server& aServer) { UpdateCapacity(aServer); });
    }
    if (mStoppingSince) {
      ContinueShutdown(aNow);
    }
  }

  /// Decides whether this daemon watches the store itself. Only some daemons do; they relay
  /// changes to the others.
  void UpdateStoreWatch(instant aNow)
  {
    const bool connected = mLoadExchange.Connected(aNow);
    if (mAwaitsPeers && !connected && aNow - mStartedAt < kPeerWaitLimit) {
      return;
    }
    const auto& members = mLoadExchange.Members();
    const bool shortWatch = members.DutyRank(aNow) < kShortWatchDaemons;
    const auto watch = shortWatch ? mSettings.mContact : kLongWatch;
    const auto pause = shortWatch ? kShortRetryPause : kLongRetryPause;
    const bool watchedBefore = mWatchesStore;
    mWatchers = store_watchers::Choose(members, aNow);
    mWatchesStore = mWatchPolicy.Watches(mWatchers.SelfWatches(), connected, aNow);
    if (mWatchesStore != watchedBefore || mAwaitsPeers) {
      Log(log_level::Info,
          "store",
          mWatchesStore ? "watching the store directly" : "receiving changes from other daemons");
    }
    for (auto* follower : { &mConfigurationFollower, &mServerFollower }) {
      follower->SetTiming(watch, pause);
      follower->SetFedByPeers(!mWatchesStore);
      follower->SetPaused(false);
    }
    mAwaitsPeers = false;
  }

  std::optional<change_batch> Snapshot(std::string_view aKind) const
  {
    for (const auto* follower : { &mConfigurationFollower, &mServerFollower }) {
      if (follower->Kind() == aKind) {
        return follower->Snapshot();
      }
    }
    return std::nullopt;
  }

  /// Relays changes to other daemons. What this daemon read from the store goes to the collectors
  /// of all data centres; what it read or received goes to the local peers that it relays to.
  void RelayChanges(const change_batch& aBatch, bool aToCollectors)
  {
    std::vector<std::string> addresses;
    if (aToCollectors) {
      addresses = mWatchers.Collectors();
    }
    for (const auto* peer : mLoadExchange.Members().LocalPeers()) {
      if (mWatchers.RelaysTo(peer->mName) &&
          std::find(addresses.begin(), addresses.end(), peer->mAddress) == addresses.end()) {
        addresses.push_back(peer->mAddress);
      }
    }
    mPeerTransport.Send(aBatch, mSettings.mVm, addresses);
  }

  void OnChangeBatch(const change_batch& aBatch)
  {
    for (auto* follower : { &mConfigurationFollower, &mServerFollower }) {
      if (follower->Kind() == aBatch.mKind && follower->OnBatch(aBatch)) {
        RelayChanges(aBatch, false);
      }
    }
  }

  void OnLoadMessage(const load_message& aMessage)
  {
    const auto now = mClock.Now();
    if (const auto* report = std::get_if<load_report>(&aMessage)) {
      mLoadExchange.OnReport(*report, now);
      return;
    }
    const auto& summary = std::get<load_summary>(aMessage);
    mLoadExchange.OnSummary(summary, now);
    mConfigurationFollower.OnRemoteRevision(mLoadExchange.NewestRevisions().mConfiguration);
    mServerFollower.OnRemoteRevision(mLoadExchange.NewestRevisions().mServers);
    if (!summary.mBackendUpdates.mCachedSegments.empty()) {
      mPrefixUpdates.Notify();
    }
  }

  void ExchangeLoad(instant aNow)
  {
    // A daemon that shuts down no longer counts as reaching the store, so that another watcher
    // takes over before it exits.
    const bool reachesStore = !mStoppingSince && mServerFollower.Listed() &&
                              !mServerFollower.InOutage() && !mConfigurationFollower.InOutage();
    mLoadExchange.SetOwnState(
      { mConfigurationFollower.NewestRevision(), mServerFollower.NewestRevision() },
      reachesStore,
      mStoppingSince.has_value());
    for (const auto& message : mLoadExchange.OnTick(aNow)) {
      mPeerTransport.Send(message);
    }
    for (const auto& leaving : mLoadExchange.TakeLeavingBackends()) {
      mDirectory.OnLeaving(leaving.mBackendId, leaving.mStartedAt);
    }
  }

  void BeginShutdown()
  {
    Log(log_level::Info, "daemon", "shutdown requested vm=" + mSettings.mVm);
    mStoppingSince = mClock.Now();
    mCallerListener.BeginShutdown();
    mTasks.add(mRegistry.Leave());
  }

  void ContinueShutdown(instant aNow)
  {
    const auto elapsed = aNow - *mStoppingSince;
    if (elapsed >= mSettings.mBalancerReaction && mCallerPort.get() != nullptr) {
      // While most daemons of a data centre stop, the load balancer sends connections to all of
      // them. Requests that start now might not finish before the process exits.
      Log(log_level::Info, "daemon", "stopped accepting connections");
      mAcceptLoop = nullptr;
      mCallerPort = nullptr;
      mCallerListener.RefuseRequests();
    }
    const bool idle = elapsed >= mSettings.mBalancerReaction + kShutdownIdleLimit &&
                      mCallerListener.OpenRequests() == 0;
    if (idle || elapsed >= mSettings.mShutdownGrace - kShutdownMargin) {
      mShutdownComplete.fulfiller->fulfill();
    }
  }

  kj::Promise<void> ReloadOnHangup()
  {
    return mContext.unixEventPort.onSignal(SIGHUP).then([this](siginfo_t) {
      ReloadSettings();
      return ReloadOnHangup();
    });
  }

  kj::Promise<void> ReloadOnFileChange()
  {
    return mTimer.afterDelay(ToKj(kSettingsPollPeriod)).then([this] {
      if (mSettingsFile.Changed()) {
        ReloadSettings();
      }
      return ReloadOnFileChange();
    });
  }

  /// Applies the settings that can change at run time. An invalid file changes nothing.
  void ReloadSettings()
  {
    const auto read = mSettingsFile.Read();
    if (const auto* problems = std::get_if<gateway_settings_problems>(&read)) {
      for (const auto& problem : *problems) {
        Log(log_level::Error,
            "settings",
            "invalid settings file, keeping the current settings: " + problem.Text());
      }
      CountReload("faulty");
      return;
    }
    const auto change = ApplyChanges(std::get<gateway_settings>(read), mSettings);
    SetLogLevel(mSettings.mLog.mLevel);
    mRetryBudget.SetSettings(mSettings.mRepeats);
    mRoleDriver.SetPrefillShare(mSettings.mPrefillShare);
    const auto list = [](const std::vector<std::string>& aKeys) {
      std::string text;
      for (const auto& key : aKeys) {
        text += (text.empty() ? "" : ",") + key;
      }
      return text.empty() ? std::string{ "-" } : text;
    };
    Log(log_level::Info,
        "settings",
        "reloaded file=" + mSettingsFile.Path() + " in_force=" + list(change.mTaken) +
          " need_restart=" + list(change.mNeedsRestart));
    CountReload("taken");
  }

  void CountReload(const std::string& aOutcome)
  {
    mCounters
      .Get("skylarkwind_settings_readings_total",
           "Readings of the settings file while the daemon runs.",
           "outcome=\"" + aOutcome + '"')
      .Add();
  }

  bool Ready() const
  {
    return mRoutes.Version() > 0 && mServerFollower.Listed() && !mStoppingSince;
  }

  /// Serves readiness checks and metrics.
  kj::Promise<void> request(kj::HttpMethod,
                            kj::StringPtr aUrl,
                            const kj::HttpHeaders&,
                            kj::AsyncInputStream&,
                            Response& aResponse) override
  {
    const std::string_view path{ aUrl.cStr(), aUrl.size() };
    const kj::HttpHeaders headers{ mTable };
    if (path == mAdapter.mProtocolAdapter->ReadyPath()) {
      const bool ready = Ready();
      auto out = aResponse.send(
        ready ? 200 : 503, ready ? "OK" : "Service Unavailable", headers, std::uint64_t{ 0 });
      return kj::READY_NOW;
    }
    if (path == "/metrics") {
      auto text = kj::heap<std::string>(mCounters.PrometheusText());
      auto out = aResponse.send(200, "OK", headers, text->size());
      auto& stream = *out;
      return stream.write(text->data(), text->size()).attach(kj::mv(out), kj::mv(text));
    }
    auto out = aResponse.send(404, "Not Found", headers, std::uint64_t{ 0 });
    return kj::READY_NOW;
  }

  void taskFailed(kj::Exception&& aError) override
  {
    Log(log_level::Error, "daemon", aError.getDescription().cStr());
  }

  gateway_settings mSettings;
  settings_file mSettingsFile;
  deployment_adapter mAdapter;
  kj::AsyncIoContext& mContext;
  kj::Timer& mTimer;
  const clock_source& mClock;
  kj::HttpHeaderTable mTable;
  counters mCounters;
  http_pool mPool;
  http_pool mStorePool;
  std::unique_ptr<object_store> mStore;
  route_index mRoutes;
  backend_directory mDirectory;
  backend_load_tracker mLoadTracker;
  prefix_cache_index mPrefixCacheIndex;
  placer mPlacer;
  fleet_retry_budget mRetryBudget;
  load_exchange mLoadExchange;
  kj::TaskSet mTasks;
  prefix_update_signal mPrefixUpdates;
  byte_budget mResponseBodies{ kMaxBufferedBodyBytes };
  byte_budget mRequestBodies{ kMaxBufferedBodyBytes };
  exchange_context mExchangeContext;
  caller_listener mCallerListener;
  peer_transport mPeerTransport;
  role_driver mRoleDriver;
  kj::HttpServer mReadyServer;
  store_follower mConfigurationFollower;
  store_follower mServerFollower;
  peer_snapshots mPeerSnapshots;
  daemon_registry mRegistry;
  store_watchers mWatchers;
  watch_policy mWatchPolicy;
  instant mStartedAt;
  bool mAwaitsPeers = true;   ///< for other daemons, before it calls the store
  bool mWatchesStore = false; ///< rather than receive changes from others
  instant mStoreLostAt{};
  kj::Own<kj::ConnectionReceiver> mCallerPort;
  kj::Own<kj::ConnectionReceiver> mReadyPort;
  kj::Promise<void> mAcceptLoop = nullptr;
  kj::PromiseFulfillerPair<void> mShutdownComplete = kj::newPromiseAndFulfiller<void>();
  std::optional<instant> mStoppingSince;
  instant mNextDutyCheck{};
  /// Versions of the configuration and the directory at the last update of the capacities.
  std::pair<std::uint64_t, std::uint64_t> mCapacityVersions{};
};

} // namespace

std::unique_ptr<gateway>
gateway::Create(gateway_settings aSettings,
                settings_file aFile,
                deployment_adapter aAdapter,
                kj::AsyncIoContext& aContext,
                const clock_source& aClock)
{
  return std::make_unique<kj_gateway>(
    std::move(aSettings), std::move(aFile), std::move(aAdapter), aContext, aClock);
}

} // namespace skylarkwind
