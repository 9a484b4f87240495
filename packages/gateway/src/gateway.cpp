#include "skylarkwind/gateway.h"

#include "caller_listener_p.h"
#include "counting_store_p.h"
#include "daemon_registry_p.h"
#include "engine_count_driver_p.h"
#include "http_listener_p.h"
#include "loop_monitor_p.h"
#include "peer_snapshots_p.h"
#include "peer_transport_p.h"
#include "quarantine_sync_p.h"
#include "replication_metrics_p.h"
#include "role_driver_p.h"
#include "shutdown_sequence_p.h"
#include "store_replication_p.h"
#include "usage_driver_p.h"

#include "skylarkwind/falling_limit.h"
#include "skylarkwind/hash.h"
#include "skylarkwind/log.h"

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
/// Events that run in a row before timers and sockets are polled. The event queue does not become
/// empty while one peer sends faster than its bytes are handled.
constexpr kj::uint kEventsPerPoll = 100;
/// Delay of a tick from which on it is logged.
constexpr milliseconds kLoggedTickDelay{ 500 };
/// Limit of the bodies that are buffered at the same time, one for responses of servers and one for
/// requests of callers. Each is a fifth of the memory of the smallest VM (160 MB).
constexpr std::size_t kMaxBufferedBodyBytes = 32 * 1'024 * 1'024;
/// The deadline of a change runs from the store's acknowledgement, which may come this much later
/// than the change itself.
constexpr milliseconds kAcknowledgementDelay{ 1'000 };
/// How often the settings file is checked for changes.
constexpr milliseconds kSettingsPollPeriod{ 1'000 };
/// How often a daemon decides whether it watches the store, and compares the roles of engines with
/// the desired ones.
constexpr milliseconds kDutyCheckPeriod{ 200 };

/// Tasks that call the platform's API, usage reports and engine orders. Each may be held by another
/// daemon and gets its share of the calls that the fleet may make.
constexpr double kPlatformCallers = 2;

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
    , mRoutes(RandomBits())
    , mDirectory(DirectorySettings(mSettings))
    , mLoadTracker(backend_load_tracker_settings{})
    , mEngineModels(mSettings.mPrefillTokensPerMs)
    , mPlacer(PlacementSettings(mSettings), mLoadTracker, mPrefixCacheIndex, mEngineModels)
    , mRetryBudget(mSettings.mRepeats)
    , mLoadExchange(MemberFromSettings(mSettings),
                    mSettings.mSeeds,
                    mLoadTracker,
                    mPrefixCacheIndex)
    , mTasks(*this)
    , mQuarantine(quarantine_settings{}, aClock.Now())
    , mCrashDetector(aContext.provider->getNetwork(),
                     mTimer,
                     mTasks,
                     mClock,
                     mDirectory,
                     mQuarantine,
                     mCounters,
                     [this](instant aNow) { return mLoadExchange.MayReadOldMessages(aNow); })
    , mExchangeContext{ *mAdapter.mProtocolAdapter,
                        mRoutes,
                        mDirectory,
                        mLoadTracker,
                        mPrefixCacheIndex,
                        mPlacer,
                        mEngineModels,
                        mRequestCost,
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
                        mRequestBodies,
                        mShutdown,
                        mQuarantine,
                        mCrashDetector,
                        mQuarantined,
                        [this](const std::string& aAccount) { mUsage.OnRequestBegan(aAccount); },
                        [this] { return !mHasStarted; },
                        &mStarted }
    , mCallerListener(mExchangeContext)
    , mPeerTransport(
        aContext.provider->getNetwork(),
        mTasks,
        [this](const load_message& aMessage) { OnLoadMessage(aMessage); },
        [this](const change_batch& aBatch) { mReplication.OnBatch(aBatch); },
        [this](const state_announcement& aAnnouncement) {
          mReplication.OnAnnouncement(aAnnouncement);
        },
        [this](std::string_view aBytes) { OnQuarantineMessage(aBytes); },
        [this](std::string_view aBytes) { mUsage.OnMessage(aBytes); })
    , mPlatformApi(mSettings.mPlatformApiAddress,
                   mSettings.mPlatformCallsPerS / kPlatformCallers,
                   mStorePool,
                   mTimer,
                   mClock,
                   mCounters)
    , mUsage({ mSettings.mUsageWindow, { mSettings.mVm, mSettings.mLease } },
             *mAdapter.mProtocolAdapter,
             mRoutes,
             mLoadExchange,
             *mStore,
             mPlatformApi,
             mClock,
             mCounters,
             mTasks,
             [this](const std::string& aBytes, std::span<const std::string> aTo) {
               mPeerTransport.Send(aBytes, aTo);
             })
    , mEngineCounts({ mSettings.mVm, mSettings.mLease },
                    *mAdapter.mProtocolAdapter,
                    mRoutes,
                    mDirectory,
                    mLoadTracker,
                    mEngineModels,
                    mLoadExchange,
                    *mStore,
                    mPlatformApi,
                    mClock,
                    mCounters,
                    mTasks)
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
    , mReadyListener("ready", mReadyServer, mTimer)
    , mReplication(ReplicationSettings(),
                   *mStore,
                   mTimer,
                   mClock,
                   mLoadExchange,
                   ReplicationCallbacks())
    , mPeerSnapshots(
        aContext.provider->getNetwork(),
        mTimer,
        aClock,
        mTable,
        [this](std::string_view aKind) { return mReplication.Snapshot(aKind); },
        [this](const part_request& aRequest) { return mReplication.Serve(aRequest); })
    , mRegistry(mLoadExchange.Members().Self(),
                *mStore,
                mTimer,
                mClock,
                RandomSeed(),
                mLoadExchange)
    , mQuarantineSync(
        mQuarantine,
        *mStore,
        mClock,
        mLoadExchange,
        mTasks,
        mCounters,
        RandomSeed(),
        [this](const std::string& aBytes, std::span<const std::string> aTo) {
          mPeerTransport.Send(aBytes, aTo);
        },
        [this] { mQuarantined.Notify(); })
  {
    mQuarantine.SetExempt(mSettings.mQuarantineExempt);
    mDirectory.SetOnReplaced([this](const backend_server& aBefore, const backend_server& aAfter) {
      OnServerReplaced(aBefore, aAfter);
    });
  }

  ~kj_gateway() noexcept override = default;

  void Run() override
  {
    mContext.waitScope.setBusyPollInterval(kEventsPerPoll);
    auto& network = mContext.provider->getNetwork();
    mCallerPort =
      network.parseAddress(ToKj(mSettings.mCallerAddress)).wait(mContext.waitScope)->listen();
    mReadyPort =
      network.parseAddress(ToKj(mSettings.mReadyAddress)).wait(mContext.waitScope)->listen();
    mAcceptLoop =
      mCallerListener.Accept(*mCallerPort).eagerlyEvaluate([this](kj::Exception&& aError) {
        taskFailed(kj::mv(aError));
      });
    mTasks.add(mReadyListener.Accept(*mReadyPort));
    mTasks.add(mPeerTransport.Run(mSettings.mPeerAddress));
    mTasks.add(mPeerSnapshots.Serve(mSettings.mPeerAddress));
    mTasks.add(mReplication.Run());
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
    LogExit();
  }

private:
  static fleet_member MemberFromSettings(const gateway_settings& aSettings)
  {
    fleet_member self;
    self.mName = aSettings.mVm;
    self.mAddress = aSettings.mPeerAddress;
    self.mDataCentre = aSettings.mDataCentre;
    self.mCpuMillicores = aSettings.mCpuMillicores;
    self.mStart = RandomBits();
    return self;
  }
  static std::uint64_t RandomBits()
  {
    std::random_device random;
    return std::uint64_t{ random() } << 32U | random();
  }
  static directory_settings DirectorySettings(const gateway_settings& aSettings)
  {
    directory_settings settings;
    settings.mExpiryGrace = std::min(settings.mExpiryGrace, aSettings.mDrainDeadline * 3 / 4);
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
  store_replication_settings ReplicationSettings() const
  {
    store_replication_settings settings;
    settings.mConfigurationKind = mAdapter.mObjects->ConfigurationKind();
    settings.mServerKind = mAdapter.mObjects->BackendKind();
    settings.mChangeDeadline = std::min(mSettings.mDrainDeadline, mSettings.mConfigurationDeadline);
    settings.mRandomSeed = RandomSeed();
    settings.mAddress = mSettings.mPeerAddress;
    settings.mLinkMbitPerS = mSettings.mLinkMbitPerS;
    return settings;
  }
  store_replication_callbacks ReplicationCallbacks()
  {
    store_replication_callbacks callbacks;
    callbacks.mOnConfigurations = [this](const auto& aObjects, bool) {
      OnConfigurations(aObjects);
    };
    callbacks.mOnConfiguration = [this](const auto& aChange, bool) { OnConfiguration(aChange); };
    callbacks.mOnServers = [this](const auto& aObjects, bool aAfterOutage) {
      OnServers(aObjects, aAfterOutage);
    };
    callbacks.mOnServer = [this](const auto& aChange, bool aAfterOutage) {
      OnServer(aChange, aAfterOutage);
    };
    callbacks.mSend = [this](const change_batch& aBatch, std::span<const std::string> aAddresses) {
      mPeerTransport.Send(aBatch, mSettings.mVm, aAddresses);
    };
    callbacks.mAnnounce = [this](const state_announcement& aAnnouncement,
                                 std::span<const std::string> aAddresses) {
      mPeerTransport.Send(aAnnouncement, mSettings.mVm, aAddresses);
    };
    callbacks.mFetchPart = [this](const std::string& aAddress, const part_request& aRequest) {
      return mPeerSnapshots.FetchPart(aAddress, aRequest);
    };
    callbacks.mFetchSnapshot = [this](const std::string& aAddress, const std::string& aKind) {
      return mPeerSnapshots.FetchSnapshot(aAddress, aKind);
    };
    return callbacks;
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
      SetLimits(mRoutes.Current()->mLimits);
      Log(log_level::Info,
          "configuration",
          "applied version=" + std::to_string(version) + " routes=" + std::to_string(routes) +
            " bytes=" + std::to_string(aChange.mObject.mValue.size()) +
            " keys=" + std::to_string(mRoutes.Accounts().KeyCount()));
      for (const auto& problem : mRoutes.Accounts().Problems()) {
        Log(log_level::Error, "configuration", problem);
      }
    }
  }

  /// Callers keep to the limits that they know, which may be those of before.
  void SetLimits(const caller_limits& aLimits)
  {
    const auto hold = mSettings.mConfigurationDeadline + kAcknowledgementDelay;
    const auto now = mClock.Now();
    mIdleLimit.Set(aLimits.mIdleTimeout, hold, now);
    mHeadLimit.Set(aLimits.mHeaderTimeout, hold, now);
    mHeadBytesLimit.Set(aLimits.mMaxHeaderBytes, hold, now);
    mCallerListener.SetMaxHeadBytes(mHeadBytesLimit.At(now));
  }

  void OnServers(const std::vector<stored_object>& aObjects, bool aAfterOutage)
  {
    std::vector<backend_server> servers;
    for (const auto& object : aObjects) {
      if (auto server = mAdapter.mObjects->ParseBackend(object); server.ok()) {
        servers.push_back(*std::move(server));
      }
    }
    const auto outdated = mDirectory.Replace(servers, aAfterOutage, mClock.Now());
    Log(log_level::Info, "servers", "listed count=" + std::to_string(servers.size()));
    if (outdated > 0) {
      Log(log_level::Info,
          "servers",
          "entries of the list are outdated count=" + std::to_string(outdated));
      CountOutdated(outdated);
    }
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
    const auto* known = mDirectory.Find(name);
    const bool isChange = known == nullptr || known->mDraining != server->mDraining;
    const bool isTaken = mDirectory.Upsert(*server, now) == entry_outcome::Taken;
    if (!isTaken) {
      CountOutdated(1);
    } else if (!isChange) {
      return;
    }
    Log(log_level::Info,
        "servers",
        (isTaken ? "id=" : "entry is outdated id=") + name + " draining=" +
          std::to_string(server->mDraining) + " started_at=" + std::to_string(server->mStartedAt) +
          " sequence=" + std::to_string(server->mSequence) +
          " revision=" + std::to_string(aChange.mObject.mRevision));
  }

  void CountOutdated(std::size_t aEntries)
  {
    mCounters
      .Get("skylarkwind_outdated_server_entries_total",
           "Entries of servers that the store gave after newer ones, or that call a leaving server "
           "ready.")
      .Add(static_cast<std::int64_t>(aEntries));
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
  void OnServerReplaced(const backend_server& aBefore, const backend_server& aAfter)
  {
    if (aBefore.mRole != aAfter.mRole) {
      mLoadTracker.OnRoleChanged(aAfter.mId, mClock.Now());
    }
    if (aBefore.mStartedAt != aAfter.mStartedAt) {
      mLoadTracker.Reset(aAfter.mId);
      mPrefixCacheIndex.RemoveEngine(aAfter.mId);
    }
  }

  kj::Promise<void> RunTicks()
  {
    return mTimer.afterDelay(ToKj(kTickPeriod)).then([this] {
      // The shutdown is driven by ticks, so an error in one must not end them.
      KJ_IF_MAYBE (error, kj::runCatchingExceptions([this] { OnTick(mClock.Now()); })) {
        Log(log_level::Error, "daemon", error->getDescription().cStr());
      }
      return RunTicks();
    });
  }

  void OnTick(instant aNow)
  {
    if (const auto delay = mLoopMonitor.OnTick(aNow); delay >= kLoggedTickDelay) {
      Log(log_level::Warning,
          "daemon",
          "the event loop was held up for_ms=" + std::to_string(delay.count()));
    }
    mDirectory.OnTick(aNow);
    mPool.OnTick(aNow);
    mStorePool.OnTick(aNow);
    connection_limits limits{ mIdleLimit.At(aNow), mHeadLimit.At(aNow), mHeadLimit.At(aNow) };
    if (mShutdown.Reached(shutdown_stage::Refusing)) {
      limits.mIdle = std::min(limits.mIdle, kShutdownIdleLimit);
      limits.mHeadPause = std::min(limits.mHeadPause, kShutdownIdleLimit);
    }
    mCallerListener.SetMaxHeadBytes(mHeadBytesLimit.At(aNow));
    mCallerListener.CloseIdle(limits, aNow);
    if (!mHasStarted && mRoutes.Version() > 0 && mReplication.ServersListed()) {
      mHasStarted = true;
      mStarted.Notify();
    }
    ExchangeLoad(aNow);
    mQuarantineSync.OnTick(mDirectory.Size(), aNow);
    mUsage.OnTick(!mStoppingSince && !mReplication.AwaitsPeers() && mReplication.WatchesStore(),
                  aNow);
    if (!mStoppingSince && (mReplication.AwaitsPeers() || aNow >= mNextDutyCheck)) {
      mNextDutyCheck = aNow + kDutyCheckPeriod;
      mReplication.UpdateWatch(aNow);
      if (!mReplication.AwaitsPeers()) {
        mRoleDriver.OnTick(mReplication.WatchesStore(), aNow);
        mEngineCounts.OnTick(mReplication.WatchesStore(), aNow);
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

  void OnLoadMessage(const load_message& aMessage)
  {
    const auto now = mClock.Now();
    if (const auto* report = std::get_if<load_report>(&aMessage)) {
      mLoadExchange.OnReport(*report, now);
      return;
    }
    const auto& summary = std::get<load_summary>(aMessage);
    mLoadExchange.OnSummary(summary, now);
    mReplication.OnRemoteRevisions();
    if (!summary.mBackendUpdates.mCachedSegments.empty()) {
      mPrefixUpdates.Notify();
    }
  }

  void OnQuarantineMessage(std::string_view aBytes)
  {
    if (const auto message = DecodeQuarantine(aBytes, mClock.Now())) {
      mQuarantineSync.OnMessage(*message);
    } else {
      Log(log_level::Debug, "peers", "dropped a malformed quarantine message");
    }
  }

  void ExchangeLoad(instant aNow)
  {
    mReplication.OnTick(mStoppingSince.has_value(), aNow);
    for (const auto& message : mLoadExchange.OnTick(aNow)) {
      mPeerTransport.Send(message, mSettings.mVm);
    }
    for (const auto& leaving : mLoadExchange.TakeLeavingBackends()) {
      mDirectory.OnLeaving(leaving.mBackendId, leaving.mStartedAt);
    }
  }

  void BeginShutdown()
  {
    Log(log_level::Info, "daemon", "shutdown requested vm=" + mSettings.mVm);
    mStoppingSince = mClock.Now();
    mShutdownTimes = { mSettings.mBalancerReaction, mSettings.mShutdownGrace };
    mShutdown.Enter(shutdown_stage::Closing);
    mTasks.add(mRegistry.Leave());
  }

  /// Tells in one line what the exit leaves unfinished; each open request has a line of its own.
  void LogExit()
  {
    mShutdown.Enter(shutdown_stage::Exiting);
    const auto elapsed = std::chrono::duration_cast<milliseconds>(
      mClock.Now() - mStoppingSince.value_or(mClock.Now()));
    Log(log_level::Info,
        "daemon",
        "stopped vm=" + mSettings.mVm + " after_ms=" + std::to_string(elapsed.count()) +
          " open_requests=" + std::to_string(mCallerListener.OpenRequests()) +
          " connections=" + std::to_string(mCallerListener.Connections()) +
          " unwritten_bytes=" + std::to_string(mCallerListener.UnwrittenBytes()));
  }

  void ContinueShutdown(instant aNow)
  {
    const auto elapsed = std::chrono::duration_cast<milliseconds>(aNow - *mStoppingSince);
    const bool refused = mShutdown.Reached(shutdown_stage::Refusing);
    mShutdown.Enter(NextStage(mShutdown.Stage(),
                              mShutdownTimes,
                              elapsed,
                              { mCallerListener.OpenRequests(), mCallerListener.Connections() }));
    if (refused && mCallerPort.get() != nullptr) {
      // One round after refusing began, so that connections that the kernel had completed are
      // accepted and refused rather than reset.
      Log(log_level::Info, "daemon", "stopped accepting connections");
      mAcceptLoop = nullptr;
      mCallerPort = nullptr;
    }
    if (mShutdown.Reached(shutdown_stage::Exiting)) {
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
    mQuarantine.SetExempt(mSettings.mQuarantineExempt);
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

  void UpdateGauges()
  {
    const auto gauge = [this](const char* aName, const char* aHelp, std::size_t aValue) {
      mCounters.Get(aName, aHelp, "", counter_kind::Gauge).Set(static_cast<std::int64_t>(aValue));
    };
    gauge("skylarkwind_quarantined_parts",
          "Parts of prompts whose requests are rejected.",
          mQuarantine.PartCount());
    gauge("skylarkwind_quarantine_crashes",
          "Servers in the evidence that ended while they ran requests, of the whole fleet.",
          mQuarantine.CrashCount());
    for (const auto& [kind, age] : mReplication.ConfirmationAges(mClock.Now())) {
      mCounters
        .Get("skylarkwind_store_confirmation_age_ms",
             "Time since the copy of the store's objects was last known to be complete.",
             "kind=\"" + kind + '"',
             counter_kind::Gauge)
        .Set(age.count());
    }
    PublishStatistics(mReplication.Statistics(), mCounters);
    mCounters
      .Get("skylarkwind_loop_delay_ms",
           "Longest time in the last 10 to 20 s by which timers ran late.",
           "",
           counter_kind::Gauge)
      .Set(mLoopMonitor.LongestDelay(mClock.Now()).count());
  }

  bool Ready() const
  {
    return mRoutes.Version() > 0 && mReplication.ServersListed() && !mStoppingSince &&
           !mCallerListener.CannotAccept();
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
      UpdateGauges();
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
  loop_monitor mLoopMonitor{ kTickPeriod };
  kj::HttpHeaderTable mTable;
  counters mCounters;
  http_pool mPool;
  http_pool mStorePool;
  std::unique_ptr<object_store> mStore;
  route_index mRoutes;
  falling_limit<milliseconds> mIdleLimit{ caller_limits{}.mIdleTimeout };
  falling_limit<milliseconds> mHeadLimit{ caller_limits{}.mHeaderTimeout };
  falling_limit<std::uint64_t> mHeadBytesLimit{ caller_limits{}.mMaxHeaderBytes };
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
  repeated_signal mStarted; ///< the configuration and the servers are known
  bool mHasStarted = false; ///< notified
  byte_budget mResponseBodies{ kMaxBufferedBodyBytes };
  byte_budget mRequestBodies{ kMaxBufferedBodyBytes };
  shutdown_signal mShutdown;
  prompt_quarantine mQuarantine;
  crash_detector mCrashDetector;
  exchange_context mExchangeContext;
  caller_listener mCallerListener;
  peer_transport mPeerTransport;
  platform_api mPlatformApi;
  usage_driver mUsage;
  engine_count_driver mEngineCounts;
  role_driver mRoleDriver;
  kj::HttpServer mReadyServer;
  http_listener mReadyListener;
  store_replication mReplication;
  peer_snapshots mPeerSnapshots;
  daemon_registry mRegistry;
  quarantine_sync mQuarantineSync;
  kj::Own<kj::ConnectionReceiver> mCallerPort;
  kj::Own<kj::ConnectionReceiver> mReadyPort;
  kj::Promise<void> mAcceptLoop = nullptr;
  kj::PromiseFulfillerPair<void> mShutdownComplete = kj::newPromiseAndFulfiller<void>();
  std::optional<instant> mStoppingSince;
  shutdown_times mShutdownTimes; ///< as in force at SIGTERM
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
