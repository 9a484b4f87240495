#include "skylarkwind/gateway.h"

#include "caller_listener_p.h"
#include "counting_store_p.h"
#include "daemon_registry_p.h"
#include "neighbour_objects_p.h"
#include "peer_link_p.h"
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

constexpr milliseconds kTick{ 25 };
/// Daemons that use short watches, so that they notice connections that have gone silent. Other
/// watchers learn from their digests that they have missed a change.
constexpr std::size_t kShortWatchers = 3;
constexpr milliseconds kLongWatch{ 25'000 };
/// Longest pauses between calls while the store is away. The others are told when it is back.
constexpr milliseconds kShortPause{ 1'000 };
constexpr milliseconds kLongPause{ 4'000 };
/// A daemon that starts waits this long for others that may know what the store holds.
constexpr milliseconds kWaitForOthers{ 800 };
/// A daemon whose calls failed is not chosen to follow the store for this long after it stopped
/// trying.
constexpr milliseconds kStoreLostFor{ 3'000 };
constexpr milliseconds kShutdownMargin{ 600 };
/// Connections without a request are closed this early when the daemon stops.
constexpr milliseconds kIdleWhileStopping{ 300 };
/// Bodies of servers' answers, and those of callers' requests, that are held at the same time. Each
/// is a fifth of the memory of the smallest VM (160 MB).
constexpr std::size_t kMostBodyBytes = 32 * 1'024 * 1'024;
/// How often the settings file is looked at.
constexpr milliseconds kSettingsPeriod{ 1'000 };
/// How often the roles of engines are compared with the wanted ones.
constexpr milliseconds kRolePeriod{ 200 };

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
    , mFile(std::move(aFile))
    , mAdapter(std::move(aAdapter))
    , mContext(aContext)
    , mTimer(aContext.provider->getTimer())
    , mClock(aClock)
    , mPool(aContext.provider->getNetwork(), mTimer, aClock, mTable, http_pool_settings{})
    , mStorePool(aContext.provider->getNetwork(), mTimer, aClock, mTable, http_pool_settings{})
    , mStore(std::make_unique<counting_store>(mAdapter.mMakeStore(mStorePool, mTimer), mCounters))
    , mDirectory(DirectorySettings(mSettings))
    , mBoard(BoardSettings(mSettings))
    , mPlacer(PlacementSettings(mSettings), mBoard, mHolders)
    , mRepeats(mSettings.mRepeats)
    , mWork(Self(mSettings), mSettings.mSeeds, mBoard, mHolders)
    , mTasks(*this)
    , mExchanges{ *mAdapter.mDialect, mRoutes, mDirectory, mBoard,        mHolders,     mPlacer,
                  mRepeats,           mWork,   mPool,      mTimer,        mClock,       mTable,
                  mCounters,          mTasks,  mParts,     mAnswerBodies, mCallerBodies }
    , mCallers(mExchanges)
    , mPeers(
        aContext.provider->getNetwork(),
        mTasks,
        [this](const work_message& aMessage) { OnWork(aMessage); },
        [this](const change_batch& aBatch) { OnBatch(aBatch); })
    , mRoles(RoleSettings(mSettings),
             *mAdapter.mDialect,
             mRoutes,
             mDirectory,
             mBoard,
             mWork,
             *mStore,
             mPool,
             mAnswerBodies,
             mTimer,
             mClock,
             mTasks)
    , mReadyServer(mTimer, mTable, *this)
    , mConfigurations(
        Follow(std::string{ mAdapter.mObjects->ConfigurationKind() }),
        *mStore,
        mTimer,
        mClock,
        [this](const auto& aObjects, bool) { OnConfigurations(aObjects); },
        [this](const object_change& aChange, bool) { OnConfiguration(aChange); },
        [this](const change_batch& aBatch) { PassOn(aBatch, true); })
    , mServers(
        Follow(std::string{ mAdapter.mObjects->BackendKind() }),
        *mStore,
        mTimer,
        mClock,
        [this](const auto& aObjects, bool aAfter) { OnServers(aObjects, aAfter); },
        [this](const object_change& aChange, bool aAfter) { OnServer(aChange, aAfter); },
        [this](const change_batch& aBatch) { PassOn(aBatch, true); })
    , mNeighbours(aContext.provider->getNetwork(),
                  mTimer,
                  aClock,
                  mTable,
                  mWork,
                  RandomSeed(),
                  [this](std::string_view aKind) { return Whole(aKind); })
    , mRegistry(mWork.Members().Self(), *mStore, mTimer, mClock, RandomSeed(), mWork)
    , mStartedAt(aClock.Now())
  {
    for (auto* follower : { &mConfigurations, &mServers }) {
      follower->SetNeighbours([this](const std::string& aKind) { return mNeighbours.Ask(aKind); });
      follower->SetWaiting(true);
    }
  }

  ~kj_gateway() noexcept override = default;

  void Run() override
  {
    auto& network = mContext.provider->getNetwork();
    mFrontPort =
      network.parseAddress(ToKj(mSettings.mCallerAddress)).wait(mContext.waitScope)->listen();
    mReadyPort =
      network.parseAddress(ToKj(mSettings.mReadyAddress)).wait(mContext.waitScope)->listen();
    mAccepting = mCallers.Accept(*mFrontPort).eagerlyEvaluate([this](kj::Exception&& aError) {
      taskFailed(kj::mv(aError));
    });
    mTasks.add(mReadyServer.listenHttp(*mReadyPort));
    mTasks.add(mPeers.Run(mSettings.mPeerAddress));
    mTasks.add(mNeighbours.Serve(mSettings.mPeerAddress));
    mTasks.add(mConfigurations.Run());
    mTasks.add(mServers.Run());
    mTasks.add(mRegistry.Run());
    mTasks.add(TickForever());
    mTasks.add(
      mContext.unixEventPort.onSignal(SIGTERM).then([this](siginfo_t) { BeginShutdown(); }));
    mTasks.add(ReadSettingsOnHangups());
    mTasks.add(ReadChangedSettings());
    Log(log_level::Info,
        "daemon",
        "started vm=" + mSettings.mVm + " data_centre=" + mSettings.mDataCentre + " listening on " +
          mSettings.mCallerAddress);
    mEnded.promise.wait(mContext.waitScope);
    Log(log_level::Info, "daemon", "ended vm=" + mSettings.mVm);
  }

private:
  static fleet_member Self(const gateway_settings& aSettings)
  {
    fleet_member self;
    self.mName = aSettings.mVm;
    self.mAddress = aSettings.mPeerAddress;
    self.mDataCentre = aSettings.mDataCentre;
    self.mStrength = aSettings.mStrength;
    std::random_device random;
    self.mStart = std::uint64_t{ random() } << 32U | random();
    return self;
  }
  static directory_settings DirectorySettings(const gateway_settings& aSettings)
  {
    directory_settings settings;
    settings.mLapseGrace = std::min(settings.mLapseGrace, aSettings.mDrainWithin * 3 / 4);
    return settings;
  }
  static backend_board_settings BoardSettings(const gateway_settings& aSettings)
  {
    backend_board_settings settings;
    settings.mPrefillTokensPerMs = aSettings.mPrefillTokensPerMs;
    return settings;
  }
  static placement_settings PlacementSettings(const gateway_settings& aSettings)
  {
    placement_settings settings;
    settings.mDataCentre = aSettings.mDataCentre;
    return settings;
  }
  static role_keeper_settings RoleSettings(const gateway_settings& aSettings)
  {
    return { aSettings.mVm, aSettings.mPrefillShare, aSettings.mLease };
  }
  store_follower_settings Follow(std::string aKind) const
  {
    store_follower_settings settings;
    settings.mKind = std::move(aKind);
    settings.mWatch = mSettings.mContact;
    // Pauses take a part of the bounds; the rest is for the call and for a slow start of it.
    settings.mCoalesceMost = std::min(mSettings.mDrainWithin, mSettings.mConfigurationWithin) / 4;
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
    auto made = std::make_shared<const forward_configuration>(*std::move(parsed));
    const auto version = made->mVersion;
    const auto routes = made->mRoutes.size();
    if (mRoutes.Apply(std::move(made))) {
      Log(log_level::Info,
          "configuration",
          "in force version=" + std::to_string(version) + " routes=" + std::to_string(routes));
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
      NoteNewState(server);
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
      // An entry that can't be read names no server to use.
      Log(log_level::Warning, "servers", "unreadable id=" + name);
      mDirectory.Remove(name, false, now);
      return;
    }
    NoteNewState(*server);
    const auto* known = mDirectory.Find(name);
    if (known == nullptr || known->mDraining != server->mDraining) {
      Log(log_level::Info,
          "servers",
          "id=" + name + " draining=" + std::to_string(server->mDraining));
    }
    mDirectory.Upsert(*server);
  }

  void NoteCapacity(const backend_server& aServer)
  {
    const auto& configuration = mRoutes.Current();
    const auto* service = configuration ? configuration->FindService(aServer.mService) : nullptr;
    if (service != nullptr && service->mEngine) {
      mHolders.SetCapacity(aServer.mId, service->mEngine->mKvTokens);
    }
  }

  /// A server that started again under its id has lost what it kept; one with a new role is back.
  void NoteNewState(const backend_server& aServer)
  {
    const auto* known = mDirectory.Find(aServer.mId);
    if (known != nullptr && known->mRole != aServer.mRole) {
      mBoard.OnChanged(aServer.mId, mClock.Now());
    }
    if (known != nullptr && known->mStartedAt != aServer.mStartedAt) {
      mBoard.Forget(aServer.mId);
      mHolders.Forget(aServer.mId);
    }
  }

  kj::Promise<void> TickForever()
  {
    return mTimer.afterDelay(ToKj(kTick)).then([this] {
      OnTick(mClock.Now());
      return TickForever();
    });
  }

  void OnTick(instant aNow)
  {
    mDirectory.OnTick(aNow);
    mPool.OnTick(aNow);
    mStorePool.OnTick(aNow);
    mConfigurations.OnTick(aNow);
    mServers.OnTick(aNow);
    const auto& configuration = mRoutes.Current();
    const auto idle = configuration ? configuration->mLimits.mIdleTime : caller_limits{}.mIdleTime;
    const bool closing = mStoppingSince && aNow - *mStoppingSince >= mSettings.mBalancerNotices;
    mCallers.CloseIdle(closing ? std::min(idle, kIdleWhileStopping) : idle, aNow);
    ExchangeWork(aNow);
    if (!mStoppingSince && (mWaiting || aNow >= mNextRoles)) {
      mNextRoles = aNow + kRolePeriod;
      FollowStore(aNow);
      if (!mWaiting) {
        mRoles.OnTick(mWatches, aNow);
      }
    }
    if (mCapacitiesOf != std::pair{ mRoutes.Version(), mDirectory.Revision() }) {
      mCapacitiesOf = { mRoutes.Version(), mDirectory.Revision() };
      mDirectory.ForEach([this](const backend_server& aServer) { NoteCapacity(aServer); });
    }
    if (mStoppingSince) {
      ShutdownFurther(aNow);
    }
  }

  /// Some daemons follow the store and pass changes on to the others.
  void FollowStore(instant aNow)
  {
    const bool connected = mWork.Connected(aNow);
    if (mWaiting && !connected && aNow - mStartedAt < kWaitForOthers) {
      return;
    }
    const auto& members = mWork.Members();
    const bool shortWatch = members.DutyRank(aNow) < kShortWatchers;
    const auto watch = shortWatch ? mSettings.mContact : kLongWatch;
    const auto pause = shortWatch ? kShortPause : kLongPause;
    const bool watched = mWatches;
    mWatchers = store_watchers::Choose(members, aNow);
    mWatches = mWatchDuty.Watches(mWatchers.SelfWatches(), connected, aNow);
    if (mWatches != watched || mWaiting) {
      Log(log_level::Info,
          "store",
          mWatches ? "follows the store itself" : "changes come from other daemons");
    }
    for (auto* follower : { &mConfigurations, &mServers }) {
      follower->SetPace(watch, pause);
      follower->SetPassedOn(!mWatches);
      follower->SetWaiting(false);
    }
    mWaiting = false;
  }

  std::optional<change_batch> Whole(std::string_view aKind) const
  {
    for (const auto* follower : { &mConfigurations, &mServers }) {
      if (follower->Kind() == aKind) {
        return follower->Whole();
      }
    }
    return std::nullopt;
  }

  /// What this daemon has read goes to the collectors of all data centres, and what it read or was
  /// told goes on to the neighbours that it serves.
  void PassOn(const change_batch& aBatch, bool aToCollectors)
  {
    std::vector<std::string> addresses;
    if (aToCollectors) {
      addresses = mWatchers.Collectors();
    }
    for (const auto* neighbour : mWork.Members().Neighbours()) {
      if (mWatchers.Serves(neighbour->mName) &&
          std::find(addresses.begin(), addresses.end(), neighbour->mAddress) == addresses.end()) {
        addresses.push_back(neighbour->mAddress);
      }
    }
    mPeers.Send(aBatch, mSettings.mVm, addresses);
  }

  void OnBatch(const change_batch& aBatch)
  {
    for (auto* follower : { &mConfigurations, &mServers }) {
      if (follower->Kind() == aBatch.mKind && follower->OnBatch(aBatch)) {
        PassOn(aBatch, false);
      }
    }
  }

  void OnWork(const work_message& aMessage)
  {
    const auto now = mClock.Now();
    if (const auto* report = std::get_if<work_report>(&aMessage)) {
      mWork.OnReport(*report, now);
      return;
    }
    const auto& summary = std::get<work_summary>(aMessage);
    mWork.OnSummary(summary, now);
    mConfigurations.OnNewsElsewhere(mWork.News().mConfiguration);
    mServers.OnNewsElsewhere(mWork.News().mServers);
    if (!summary.mFacts.mKept.empty()) {
      mParts.Fire();
    }
  }

  void ExchangeWork(instant aNow)
  {
    // A daemon that stops is replaced as a watcher before it is gone.
    const bool reachesStore =
      !mStoppingSince && mServers.Listed() && !mServers.InOutage() && !mConfigurations.InOutage();
    mWork.SetOwn({ mConfigurations.LastChange(), mServers.LastChange() },
                 reachesStore,
                 mStoppingSince.has_value());
    for (const auto& message : mWork.OnTick(aNow)) {
      mPeers.Send(message);
    }
    for (const auto& leaving : mWork.TakeLeaving()) {
      mDirectory.OnLeaving(leaving.mBackendId, leaving.mStartedAt);
    }
  }

  void BeginShutdown()
  {
    Log(log_level::Info, "daemon", "shutdown requested vm=" + mSettings.mVm);
    mStoppingSince = mClock.Now();
    mCallers.BeginShutdown();
    mTasks.add(mRegistry.Leave());
  }

  void ShutdownFurther(instant aNow)
  {
    const auto lasted = aNow - *mStoppingSince;
    if (lasted >= mSettings.mBalancerNotices && mFrontPort.get() != nullptr) {
      // While most daemons of a data centre stop, the balancer sends connections to all of them.
      // Requests that begin now might not end before the process does.
      Log(log_level::Info, "daemon", "no longer accepts connections");
      mAccepting = nullptr;
      mFrontPort = nullptr;
      mCallers.RefuseRequests();
    }
    const bool quiet =
      lasted >= mSettings.mBalancerNotices + kIdleWhileStopping && mCallers.OpenRequests() == 0;
    if (quiet || lasted >= mSettings.mShutdownGrace - kShutdownMargin) {
      mEnded.fulfiller->fulfill();
    }
  }

  kj::Promise<void> ReadSettingsOnHangups()
  {
    return mContext.unixEventPort.onSignal(SIGHUP).then([this](siginfo_t) {
      ReadSettings();
      return ReadSettingsOnHangups();
    });
  }

  kj::Promise<void> ReadChangedSettings()
  {
    return mTimer.afterDelay(ToKj(kSettingsPeriod)).then([this] {
      if (mFile.Changed()) {
        ReadSettings();
      }
      return ReadChangedSettings();
    });
  }

  /// Takes over what can change in a running daemon. A faulty file changes nothing.
  void ReadSettings()
  {
    const auto read = mFile.Read();
    if (const auto* problems = std::get_if<gateway_settings_problems>(&read)) {
      for (const auto& problem : *problems) {
        Log(log_level::Error, "settings", "faulty, the old ones stay in force: " + problem.Text());
      }
      CountReading("faulty");
      return;
    }
    const auto change = TakeChanges(std::get<gateway_settings>(read), mSettings);
    SetLogLevel(mSettings.mLog.mLevel);
    mRepeats.SetSettings(mSettings.mRepeats);
    mRoles.SetPrefillShare(mSettings.mPrefillShare);
    const auto list = [](const std::vector<std::string>& aKeys) {
      std::string text;
      for (const auto& key : aKeys) {
        text += (text.empty() ? "" : ",") + key;
      }
      return text.empty() ? std::string{ "-" } : text;
    };
    Log(log_level::Info,
        "settings",
        "read file=" + mFile.Path() + " in_force=" + list(change.mTaken) +
          " need_restart=" + list(change.mNeedsRestart));
    CountReading("taken");
  }

  void CountReading(const std::string& aOutcome)
  {
    mCounters
      .Get("skylarkwind_settings_readings_total",
           "Readings of the settings file while the daemon runs.",
           "outcome=\"" + aOutcome + '"')
      .Add();
  }

  bool Ready() const { return mRoutes.Version() > 0 && mServers.Listed() && !mStoppingSince; }

  /// Readiness checks and metrics.
  kj::Promise<void> request(kj::HttpMethod,
                            kj::StringPtr aUrl,
                            const kj::HttpHeaders&,
                            kj::AsyncInputStream&,
                            Response& aResponse) override
  {
    const std::string_view path{ aUrl.cStr(), aUrl.size() };
    const kj::HttpHeaders headers{ mTable };
    if (path == mAdapter.mDialect->ReadyPath()) {
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
  settings_file mFile;
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
  backend_board mBoard;
  part_holders mHolders;
  placer mPlacer;
  repeat_allowance mRepeats;
  work_exchange mWork;
  kj::TaskSet mTasks;
  part_signal mParts;
  byte_budget mAnswerBodies{ kMostBodyBytes };
  byte_budget mCallerBodies{ kMostBodyBytes };
  exchange_context mExchanges;
  caller_listener mCallers;
  peer_link mPeers;
  role_driver mRoles;
  kj::HttpServer mReadyServer;
  store_follower mConfigurations;
  store_follower mServers;
  neighbour_objects mNeighbours;
  daemon_registry mRegistry;
  store_watchers mWatchers;
  watch_duty mWatchDuty;
  instant mStartedAt;
  bool mWaiting = true;  ///< for other daemons, before the store is called
  bool mWatches = false; ///< the store itself
  instant mStoreLostAt{};
  kj::Own<kj::ConnectionReceiver> mFrontPort;
  kj::Own<kj::ConnectionReceiver> mReadyPort;
  kj::Promise<void> mAccepting = nullptr;
  kj::PromiseFulfillerPair<void> mEnded = kj::newPromiseAndFulfiller<void>();
  std::optional<instant> mStoppingSince;
  instant mNextRoles{};
  /// Versions of the configuration and the directory from which the capacities were read.
  std::pair<std::uint64_t, std::uint64_t> mCapacitiesOf{};
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
