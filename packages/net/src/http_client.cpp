#include "skylarkwind/http_client.h"

#include "http_transfer_p.h"
#include "skylarkwind/log.h"

#include <kj/async.h>

#include <array>
#include <cerrno>
#include <optional>
#include <set>
#include <sys/epoll.h>
#include <unistd.h>
#include <unordered_map>

namespace skylarkwind {

namespace {

constexpr int kEventsPerRound = 64;
/// Rounds of the inner epoll set in one turn, so that a busy socket cannot hold the loop.
constexpr int kMaxRounds = 16;

/// Closes a descriptor at the end of its scope.
class owned_fd
{
public:
  explicit owned_fd(int aFd)
    : mFd(aFd)
  {
  }
  ~owned_fd()
  {
    if (mFd >= 0) {
      close(mFd);
    }
  }
  owned_fd(const owned_fd&) = delete;
  owned_fd& operator=(const owned_fd&) = delete;
  int Get() const { return mFd; }

private:
  int mFd;
};

/// libcurl's sockets live in one level-triggered epoll set, whose descriptor the kj loop observes.
class curl_client final
  : public http_client
  , private kj::TaskSet::ErrorHandler
{
public:
  curl_client(kj::UnixEventPort& aPort, kj::Timer& aTimer, const http_client_settings& aSettings);
  ~curl_client() noexcept override;
  curl_client(const curl_client&) = delete;
  curl_client& operator=(const curl_client&) = delete;

  bool Usable() const { return mMulti != nullptr && mEpoll.Get() >= 0; }
  http_call Start(http_request aRequest, http_callbacks aCallbacks) override;
  void Cancel(http_call aCall) override;
  std::size_t Open() const override { return mTransfers.size(); }

private:
  static int OnSocket(CURL*, curl_socket_t aSocket, int aWhat, void* aSelf, void* aKnown);
  static int OnTimer(CURLM*, long aDelayMs, void* aSelf);
  void taskFailed(kj::Exception&& aException) override;

  kj::Promise<void> Observe();
  kj::Promise<void> Drain();
  void Arm(kj::TimePoint aTime);
  void OnWake(kj::TimePoint aArmedFor);
  void EndOverdue(kj::TimePoint aNow);
  void MoveCheck(http_transfer& aTransfer);
  void CollectEnded();
  void Deliver();
  void DeliverEnd(http_call aCall);
  void Remove(http_call aCall);
  bool Suspect(const std::string& aAuthority);

  http_client_settings mSettings;
  kj::Timer& mTimer;
  owned_fd mEpoll;
  kj::UnixEventPort::FdObserver mObserver;
  CURLM* mMulti;
  std::uint64_t mNumbers = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<http_transfer>> mTransfers;
  std::vector<http_call> mTouched;
  /// Time of the next check of each transfer; it may be before the transfer's deadline.
  std::set<std::pair<kj::TimePoint, http_call>> mChecks;
  std::optional<kj::TimePoint> mCurlTimer;
  std::optional<kj::TimePoint> mArmed;
  /// Peers with a silent connection, and until when their old connections may be in the pool.
  std::unordered_map<std::string, kj::TimePoint> mSuspects;
  kj::TaskSet mTasks;
};

kj::TimePoint
Now()
{
  return kj::systemPreciseMonotonicClock().now();
}

/// An exception of a callback must not end the client's own tasks.
template<class callback>
void
Guarded(const callback& aCallback)
{
  try {
    aCallback();
  } catch (const std::exception& failure) {
    Log(log_level::Error, "net", std::string{ "callback failed: " } + failure.what());
  }
}

curl_client::curl_client(kj::UnixEventPort& aPort,
                         kj::Timer& aTimer,
                         const http_client_settings& aSettings)
  : mSettings(aSettings)
  , mTimer(aTimer)
  , mEpoll(epoll_create1(EPOLL_CLOEXEC))
  , mObserver(aPort, mEpoll.Get(), kj::UnixEventPort::FdObserver::OBSERVE_READ)
  , mMulti(curl_multi_init())
  , mTasks(*this)
{
  curl_multi_setopt(mMulti, CURLMOPT_SOCKETFUNCTION, &curl_client::OnSocket);
  curl_multi_setopt(mMulti, CURLMOPT_SOCKETDATA, this);
  curl_multi_setopt(mMulti, CURLMOPT_TIMERFUNCTION, &curl_client::OnTimer);
  curl_multi_setopt(mMulti, CURLMOPT_TIMERDATA, this);
  curl_multi_setopt(mMulti, CURLMOPT_MAXCONNECTS, mSettings.mMaxIdleConnections);
  mTasks.add(Observe());
}

curl_client::~curl_client() noexcept
{
  for (auto& [call, transfer] : mTransfers) {
    curl_multi_remove_handle(mMulti, transfer->Easy());
  }
  mTransfers.clear();
  curl_multi_cleanup(mMulti);
}

void
curl_client::taskFailed(kj::Exception&& aException)
{
  Log(log_level::Error, "net", aException.getDescription().cStr());
}

http_call
curl_client::Start(http_request aRequest, http_callbacks aCallbacks)
{
  http_call call{ ++mNumbers };
  auto transfer = std::make_unique<http_transfer>(
    call, std::move(aRequest), std::move(aCallbacks), mSettings, mTouched);
  if (Suspect(transfer->Authority())) {
    transfer->SetFreshConnection();
  }
  auto code = curl_multi_add_handle(mMulti, transfer->Easy());
  auto deadline = transfer->Deadline();
  if (code != CURLM_OK) {
    transfer->SetEnded(CURLE_FAILED_INIT);
    deadline = Now();
  }
  transfer->SetCheckAt(deadline);
  mChecks.emplace(deadline, call);
  mTransfers.emplace(call.mNumber, std::move(transfer));
  Arm(deadline);
  return call;
}

void
curl_client::Cancel(http_call aCall)
{
  Remove(aCall);
}

void
curl_client::Remove(http_call aCall)
{
  auto found = mTransfers.find(aCall.mNumber);
  if (found == mTransfers.end()) {
    return;
  }
  curl_multi_remove_handle(mMulti, found->second->Easy());
  mTransfers.erase(found);
}

bool
curl_client::Suspect(const std::string& aAuthority)
{
  auto found = mSuspects.find(aAuthority);
  if (found == mSuspects.end()) {
    return false;
  }
  if (found->second <= Now()) {
    mSuspects.erase(found);
    return false;
  }
  return true;
}

int
curl_client::OnSocket(CURL*, curl_socket_t aSocket, int aWhat, void* aSelf, void* aKnown)
{
  auto& self = *static_cast<curl_client*>(aSelf);
  if (aWhat == CURL_POLL_REMOVE) {
    epoll_ctl(self.mEpoll.Get(), EPOLL_CTL_DEL, aSocket, nullptr);
    return 0;
  }
  epoll_event interest{};
  interest.data.fd = aSocket;
  interest.events =
    ((aWhat & CURL_POLL_IN) != 0 ? EPOLLIN : 0U) | ((aWhat & CURL_POLL_OUT) != 0 ? EPOLLOUT : 0U);
  auto fd = self.mEpoll.Get();
  int change = aKnown == nullptr ? EPOLL_CTL_ADD : EPOLL_CTL_MOD;
  if (epoll_ctl(fd, change, aSocket, &interest) != 0) {
    // libcurl may have closed a socket and got the same number again without a call here.
    epoll_ctl(fd, errno == EEXIST ? EPOLL_CTL_MOD : EPOLL_CTL_ADD, aSocket, &interest);
  }
  curl_multi_assign(self.mMulti, aSocket, &self);
  return 0;
}

int
curl_client::OnTimer(CURLM*, long aDelayMs, void* aSelf)
{
  auto& self = *static_cast<curl_client*>(aSelf);
  if (aDelayMs < 0) {
    self.mCurlTimer.reset();
  } else {
    self.mCurlTimer = Now() + aDelayMs * kj::MILLISECONDS;
    self.Arm(*self.mCurlTimer);
  }
  return 0;
}

/// Wakes the client no later than `aTime`. An earlier wake is harmless, so it is kept.
void
curl_client::Arm(kj::TimePoint aTime)
{
  if (mArmed && *mArmed <= aTime) {
    return;
  }
  mArmed = aTime;
  mTasks.add(mTimer.atTime(aTime).then([this, aTime]() { OnWake(aTime); }));
}

void
curl_client::OnWake(kj::TimePoint aArmedFor)
{
  if (!mArmed || *mArmed != aArmedFor) {
    return; // replaced by an earlier wake
  }
  mArmed.reset();
  auto now = Now();
  if (mCurlTimer && *mCurlTimer <= now) {
    mCurlTimer.reset();
    int running = 0;
    curl_multi_socket_action(mMulti, CURL_SOCKET_TIMEOUT, 0, &running);
  }
  Deliver();
  EndOverdue(now);
  if (mCurlTimer) {
    Arm(*mCurlTimer);
  }
  if (!mChecks.empty()) {
    Arm(mChecks.begin()->first);
  }
}

void
curl_client::EndOverdue(kj::TimePoint aNow)
{
  while (!mChecks.empty() && mChecks.begin()->first <= aNow) {
    auto call = mChecks.begin()->second;
    mChecks.erase(mChecks.begin());
    auto found = mTransfers.find(call.mNumber);
    if (found == mTransfers.end()) {
      continue;
    }
    auto& transfer = *found->second;
    if (transfer.Ended()) {
      DeliverEnd(call);
    } else if (transfer.Deadline() > aNow) {
      transfer.SetCheckAt(transfer.Deadline());
      mChecks.emplace(transfer.Deadline(), call);
    } else {
      // Idle connections to this peer may be silent as well; they leave the pool within mMaxIdle.
      mSuspects.insert_or_assign(transfer.Authority(),
                                 aNow + mSettings.mMaxIdle.count() * kj::SECONDS);
      auto result = transfer.SilentResult();
      auto onEnd = transfer.Callbacks().mOnEnd;
      Remove(call);
      Guarded([&]() { onEnd(std::move(result)); });
    }
  }
}

/// The outer observer is edge-triggered, so the inner set is read until it is empty before the
/// next wait.
kj::Promise<void>
curl_client::Observe()
{
  return mObserver.whenBecomesReadable().then([this]() { return Drain(); });
}

kj::Promise<void>
curl_client::Drain()
{
  std::array<epoll_event, kEventsPerRound> events{};
  for (int round = 0; round < kMaxRounds; ++round) {
    int count = epoll_wait(mEpoll.Get(), events.data(), kEventsPerRound, 0);
    if (count <= 0) {
      Deliver();
      return Observe();
    }
    for (int i = 0; i < count; ++i) {
      const auto& ready = events.at(static_cast<std::size_t>(i));
      int mask = ((ready.events & EPOLLIN) != 0 ? CURL_CSELECT_IN : 0) |
                 ((ready.events & EPOLLOUT) != 0 ? CURL_CSELECT_OUT : 0) |
                 ((ready.events & (EPOLLERR | EPOLLHUP)) != 0 ? CURL_CSELECT_ERR : 0);
      int running = 0;
      curl_multi_socket_action(mMulti, ready.data.fd, mask, &running);
    }
  }
  Deliver();
  return kj::evalLater([this]() { return Drain(); });
}

/// The limit between bytes may end before the one for the first byte would have.
void
curl_client::MoveCheck(http_transfer& aTransfer)
{
  if (aTransfer.Deadline() >= aTransfer.CheckAt()) {
    return;
  }
  mChecks.erase({ aTransfer.CheckAt(), aTransfer.Call() });
  aTransfer.SetCheckAt(aTransfer.Deadline());
  mChecks.emplace(aTransfer.Deadline(), aTransfer.Call());
  Arm(aTransfer.Deadline());
}

void
curl_client::CollectEnded()
{
  int left = 0;
  while (auto* message = curl_multi_info_read(mMulti, &left)) {
    if (message->msg == CURLMSG_DONE) {
      void* transfer = nullptr;
      curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
      static_cast<http_transfer*>(transfer)->SetEnded(message->data.result);
    }
  }
}

/// Passes on what the transfers recorded. A callback may start or cancel calls, so each step looks
/// the call up again.
void
curl_client::Deliver()
{
  CollectEnded();
  auto touched = std::exchange(mTouched, {});
  for (auto call : touched) {
    auto found = mTransfers.find(call.mNumber);
    if (found == mTransfers.end()) {
      continue;
    }
    MoveCheck(*found->second);
    auto data = found->second->TakeStreamed();
    if (!data.empty()) {
      auto onBody = found->second->Callbacks().mOnBody;
      auto status = found->second->Status();
      Guarded([&]() { onBody(status, data); });
    }
    DeliverEnd(call);
  }
}

void
curl_client::DeliverEnd(http_call aCall)
{
  auto found = mTransfers.find(aCall.mNumber);
  if (found == mTransfers.end() || !found->second->Ended()) {
    return;
  }
  auto result = found->second->Result();
  auto onEnd = found->second->Callbacks().mOnEnd;
  Remove(aCall);
  Guarded([&]() { onEnd(std::move(result)); });
}

} // namespace

absl::StatusOr<std::unique_ptr<http_client>>
http_client::Create(kj::UnixEventPort& aPort,
                    kj::Timer& aTimer,
                    const http_client_settings& aSettings)
{
  static const CURLcode kGlobal = curl_global_init(CURL_GLOBAL_DEFAULT);
  if (kGlobal != CURLE_OK) {
    return absl::InternalError(curl_easy_strerror(kGlobal));
  }
  auto client = std::make_unique<curl_client>(aPort, aTimer, aSettings);
  if (!client->Usable()) {
    return absl::ResourceExhaustedError("libcurl or epoll could not be set up");
  }
  return client;
}

} // namespace skylarkwind
