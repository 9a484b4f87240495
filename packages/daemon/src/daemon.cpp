#include "skylarkwind/daemon.h"

#include "admin_p.h"
#include "skylarkwind/engine_client.h"
#include "skylarkwind/front.h"
#include "skylarkwind/http_client.h"
#include "skylarkwind/links.h"
#include "skylarkwind/platform_client.h"

#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <csignal>
#include <deque>
#include <iostream>
#include <utility>

namespace skylarkwind {

namespace {

constexpr auto kTickPeriod = 20 * kj::MILLISECONDS;
/// After the node has ended, open answers still flow to callers for at most this long.
constexpr std::chrono::seconds kFlushLimit{ 30 };

kj::Duration
ToKj(std::chrono::milliseconds aTime)
{
  return aTime.count() * kj::MILLISECONDS;
}

front_settings
FrontSettings(const caller_settings& aCallers)
{
  front_settings settings;
  settings.mAddress = aCallers.mAddress;
  settings.mMaxBodyBytes = aCallers.mMaxBodyBytes;
  settings.mMaxHeaderBytes = aCallers.mMaxHeaderBytes;
  settings.mMaxOpenRequests = static_cast<std::uint32_t>(aCallers.mMaxOpenRequests);
  settings.mMaxPendingBytes = aCallers.mMaxPendingBytes;
  settings.mHeaderTimeLimit = aCallers.mHeaderTimeLimit;
  settings.mIdleTimeLimit = aCallers.mIdleTimeLimit;
  settings.mStalledWriteLimit = aCallers.mStalledWriteLimit;
  return settings;
}

class kj_daemon final
  : public daemon_process
  , private kj::TaskSet::ErrorHandler
{
public:
  kj_daemon(daemon_settings aSettings, kj::AsyncIoContext& aContext, const clock_source& aClock)
    : mSettings{ std::move(aSettings) }
    , mContext{ aContext }
    , mTimer{ aContext.provider->getTimer() }
    , mClock{ aClock }
    , mTasks{ *this }
  {
  }
  ~kj_daemon() noexcept override
  {
    if (mFront) {
      mFront->Stop();
    }
  }

  absl::Status Start()
  {
    const auto sink = [this](event aEvent) { Post(std::move(aEvent)); };
    auto http = http_client::Create(mContext.unixEventPort, mTimer, http_client_settings{});
    if (!http.ok()) {
      return http.status();
    }
    mHttp = *std::move(http);
    auto platform = platform_client::Create(PlatformSettings(), *mHttp, sink);
    if (!platform.ok()) {
      return platform.status();
    }
    mPlatform = *std::move(platform);
    auto engines = engine_client::Create(*mHttp, sink, mClock);
    if (!engines.ok()) {
      return engines.status();
    }
    mEngines = *std::move(engines);
    return StartListeners(sink);
  }

  void Run() override
  {
    mTasks.add(TickForever());
    mTasks.add(ServeFront());
    for (const int signal : { SIGTERM, SIGINT }) {
      mTasks.add(mContext.unixEventPort.onSignal(signal).then(
        [this](siginfo_t) { Post(shutdown_requested{}); }));
    }
    const auto ip = mSettings.mCallers.mAddress.substr(0, mSettings.mCallers.mAddress.rfind(':'));
    std::cout << "listening on " << ip << ':' << mFront->Port() << std::endl;
    Log(log_level::Info, "daemon", mSettings.mNode.mSelf.mVm + " started");
    mEnded.promise.wait(mContext.waitScope);
    Log(log_level::Info, "daemon", mSettings.mNode.mSelf.mVm + " ended");
  }

private:
  platform_settings PlatformSettings() const
  {
    platform_settings settings;
    settings.mAddress = mSettings.mPlatformAddress;
    settings.mCredential = mSettings.mPlatformCredential;
    return settings;
  }

  absl::Status StartListeners(const std::function<void(event)>& aSink)
  {
    links_settings linkSettings;
    linkSettings.mAddress = mSettings.mLinkAddress;
    linkSettings.mCredential = mSettings.mPeerCredential;
    auto links = peer_links::Create(std::move(linkSettings), mContext, mCounters, aSink);
    if (!links.ok()) {
      return links.status();
    }
    mLinks = *std::move(links);
    auto made = node::Create(mSettings.mNode, mCounters);
    if (!made.ok()) {
      return made.status();
    }
    mNode = *std::move(made);
    mAdmin = std::make_unique<admin>(
      *mNode,
      mCounters,
      mCounters.Get("skylarkwind_operator_refused_total",
                    "Operators' requests with a missing or wrong credential."),
      mSettings.mOperatorCredentialSha256);
    auto front = caller_front::Create(
      FrontSettings(mSettings.mCallers), mCounters, aSink, [this](const local_request& aRequest) {
        return mAdmin->Answer(aRequest, mClock.Now(), mFront->OpenRequests());
      });
    if (!front.ok()) {
      return front.status();
    }
    mFront = *std::move(front);
    return absl::OkStatus();
  }

  /// Queues an event. Adapters may call this from within an effect, so that events are handled
  /// one after the other and never inside one another.
  void Post(event aEvent)
  {
    mQueue.push_back(std::move(aEvent));
    if (mHandling) {
      return;
    }
    mHandling = true;
    while (!mQueue.empty()) {
      const auto next = std::move(mQueue.front());
      mQueue.pop_front();
      if (!mNode) {
        continue; // a peer called before the node was made
      }
      for (const auto& effect : mNode->Handle(next, mClock.Now(), mClock.WallNow())) {
        Apply(effect);
      }
    }
    mHandling = false;
  }

  void Apply(const effect& aEffect)
  {
    std::visit([this, &aEffect](const auto& aValue) { Carry(aEffect, aValue); }, aEffect);
  }
  void Carry(const effect& aEffect, const caller_error&) { mFront->Apply(aEffect); }
  void Carry(const effect& aEffect, const caller_tokens&) { mFront->Apply(aEffect); }
  void Carry(const effect& aEffect, const caller_completed&) { mFront->Apply(aEffect); }
  void Carry(const effect& aEffect, const caller_response&) { mFront->Apply(aEffect); }
  void Carry(const effect&, const start_attempt& aStart) { mEngines->Start(aStart); }
  void Carry(const effect&, const cancel_attempt& aCancel) { mEngines->Cancel(aCancel.mAttempt); }
  void Carry(const effect&, const request_engine_state& aObserve) { mEngines->Observe(aObserve); }
  void Carry(const effect&, const send_engine_command& aOrder) { mEngines->Order(aOrder); }
  void Carry(const effect&, const read_cache_events& aRead) { mEngines->ReadCacheEvents(aRead); }
  void Carry(const effect&, const call_platform& aCall) { mPlatform->Call(aCall); }
  void Carry(const effect&, const send_to_peer& aSend) { mLinks->Send(aSend); }
  void Carry(const effect&, const respond_to_peer& aAnswer) { mLinks->Answer(aAnswer); }
  void Carry(const effect&, const log_line& aLine)
  {
    Log(aLine.mLevel, aLine.mPrefix, aLine.mText);
  }
  void Carry(const effect&, const shutdown_complete&)
  {
    mFront->StopAccepting();
    mTasks.add(FlushCallers(mTimer.now() + ToKj(kFlushLimit)));
  }

  /// Ends the process once every answer has been handed to the kernel.
  kj::Promise<void> FlushCallers(kj::TimePoint aUntil)
  {
    if (mFront->OpenRequests() == 0 || mTimer.now() >= aUntil) {
      mEnded.fulfiller->fulfill();
      return kj::READY_NOW;
    }
    return mTimer.afterDelay(kTickPeriod).then([this, aUntil] { return FlushCallers(aUntil); });
  }

  kj::Promise<void> TickForever()
  {
    return mTimer.afterDelay(kTickPeriod).then([this] {
      Post(tick{});
      return TickForever();
    });
  }

  kj::Promise<void> ServeFront()
  {
    mFrontWake = kj::heap<kj::UnixEventPort::FdObserver>(
      mContext.unixEventPort, mFront->WakeFd(), kj::UnixEventPort::FdObserver::OBSERVE_READ);
    return ServeFrontForever();
  }

  kj::Promise<void> ServeFrontForever()
  {
    return mFrontWake->whenBecomesReadable().then([this] {
      mFront->Drain();
      return ServeFrontForever();
    });
  }

  void taskFailed(kj::Exception&& aError) override
  {
    const auto text = aError.getDescription();
    Log(log_level::Error, "daemon", { text.cStr(), text.size() });
  }

  daemon_settings mSettings;
  kj::AsyncIoContext& mContext;
  kj::Timer& mTimer;
  const clock_source& mClock;
  counters mCounters;
  std::unique_ptr<http_client> mHttp;
  std::unique_ptr<platform_client> mPlatform;
  std::unique_ptr<engine_client> mEngines;
  std::unique_ptr<peer_links> mLinks;
  std::unique_ptr<node> mNode;
  std::unique_ptr<admin> mAdmin;
  std::unique_ptr<caller_front> mFront;
  kj::Own<kj::UnixEventPort::FdObserver> mFrontWake;
  std::deque<event> mQueue;
  bool mHandling = false;
  kj::PromiseFulfillerPair<void> mEnded = kj::newPromiseAndFulfiller<void>();
  kj::TaskSet mTasks;
};

} // namespace

absl::StatusOr<std::unique_ptr<daemon_process>>
daemon_process::Create(daemon_settings aSettings,
                       kj::AsyncIoContext& aContext,
                       const clock_source& aClock)
{
  auto made = std::make_unique<kj_daemon>(std::move(aSettings), aContext, aClock);
  const auto status = made->Start();
  if (!status.ok()) {
    return status;
  }
  return made;
}

} // namespace skylarkwind
