#include "stop_callers.h"

#include "soak_caller.h"

#include <array>
#include <chrono>
#include <map>
#include <utility>

namespace skylarkwind::soak {

namespace {

constexpr int kCallers = 40;
/// Misses after which the balancer sends no new connections to a daemon.
constexpr int kMisses = 2;
/// Receive buffer of callers that read slowly; the kernel doubles it.
constexpr int kSlowReceiveBytes = 4'096;
/// More than a daemon reads ahead.
constexpr std::size_t kLargeBody = 120'000;
constexpr std::array<const char*, 4> kPaths{ "/stream/a",
                                             "/once-stream/a",
                                             "/order/a",
                                             "/lookup/a" };

class choices
{
public:
  explicit choices(std::mt19937_64& aRandom)
    : mRandom(aRandom)
  {
  }
  std::int64_t Number(std::int64_t aLeast, std::int64_t aMost)
  {
    return std::uniform_int_distribution<std::int64_t>{ aLeast, aMost }(mRandom);
  }
  bool Chance(double aPart) { return std::bernoulli_distribution{ aPart }(mRandom); }

private:
  std::mt19937_64& mRandom;
};

/// Mostly streams; their lengths reach up to the time limit of the callers.
request_record
MakeRequest(const std::string& aId, int aDaemon, bool aSlow, choices& aChoices)
{
  request_record record;
  record.mId = aId;
  record.mDaemon = aDaemon;
  const auto kind = aChoices.Number(0, 9);
  if (kind < 6) {
    record.mKind = kind < 4 ? request_kind::Stream : request_kind::OnceStream;
    // A slow reader needs time after the last event.
    const std::int64_t most = aSlow ? 30 : 70;
    record.mEventsAsked =
      static_cast<int>(aChoices.Chance(0.4) ? aChoices.Number(1, 8) : aChoices.Number(8, most));
  } else {
    record.mKind = kind < 8 ? request_kind::Order : request_kind::Lookup;
  }
  return record;
}

std::string
Text(const request_record& aRecord, std::size_t aBodyBytes, choices& aChoices)
{
  std::string text = aRecord.mKind == request_kind::Lookup ? "GET " : "POST ";
  text += kPaths[static_cast<std::size_t>(aRecord.mKind)];
  text += " HTTP/1.1\r\nHost: a.example\r\nX-Skylarkwind-Request-Id: " + aRecord.mId +
          "\r\nX-Skylarkwind-Deadline-Ms: " + std::to_string(kStopDeadlineMs) + "\r\n";
  if (aRecord.mEventsAsked > 0) {
    text += "X-Skylarkwind-Model: m\r\nX-Skylarkwind-Token-Count: 3000," +
            std::to_string(aRecord.mEventsAsked) + "\r\nX-Skylarkwind-Prefix-Hash: 5c1e07a" +
            std::to_string(aChoices.Number(0, 5)) + ":2500," + aRecord.mId + ":500\r\n";
  }
  const std::string body(aBodyBytes, 'x');
  return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Mostly small bodies, and some that arrive in many parts.
std::size_t
BodyBytes(request_kind aKind, choices& aChoices)
{
  if (aKind == request_kind::Lookup) {
    return 0;
  }
  return static_cast<std::size_t>(aChoices.Chance(0.3) ? aChoices.Number(20'000, 120'000)
                                                       : aChoices.Number(1, 2'000));
}

} // namespace

stop_callers::stop_callers(const sessions::gateway_system& aSystem,
                           std::uint64_t aSeed,
                           const stop_shape& aShape,
                           std::vector<std::int64_t> aRelayMs,
                           std::function<std::int64_t()> aMayIdleMs)
  : mSystem(aSystem)
  , mSeed(aSeed)
  , mShape(aShape)
  , mRelayMs(std::move(aRelayMs))
  , mMayIdleMs(std::move(aMayIdleMs))
  , mUsed(static_cast<std::size_t>(aShape.mDaemons))
{
  for (auto& used : mUsed) {
    used = true;
  }
  mThreads.emplace_back([this] { RunBalancer(); });
  for (int i = 0; i < kCallers; ++i) {
    mThreads.emplace_back([this, i] { RunCaller(i); });
  }
}

std::vector<request_record>
stop_callers::Stop()
{
  mStopping = true;
  for (auto& thread : mThreads) {
    thread.join();
  }
  mThreads.clear();
  return std::move(mRecords);
}

void
stop_callers::RunBalancer()
{
  std::vector<int> misses(mUsed.size(), 0);
  while (!mStopping) {
    for (std::size_t i = 0; i < mUsed.size(); ++i) {
      misses[i] = mSystem.Ready(static_cast<int>(i)).mStatus == 200 ? 0 : misses[i] + 1;
      mUsed[i] = misses[i] < kMisses;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds{ mShape.mTimes.mBalancerPollMs });
  }
}

int
stop_callers::PickDaemon(std::mt19937_64& aRandom) const
{
  std::vector<int> used;
  for (std::size_t i = 0; i < mUsed.size(); ++i) {
    if (mUsed[i]) {
      used.push_back(static_cast<int>(i));
    }
  }
  const auto any = [&aRandom](std::size_t aCount) {
    return std::uniform_int_distribution<std::size_t>{ 0, aCount - 1 }(aRandom);
  };
  return used.empty() ? static_cast<int>(any(mUsed.size())) : used[any(used.size())];
}

void
stop_callers::RunCaller(int aNumber)
{
  std::mt19937_64 random{ mSeed * 1'000 + static_cast<std::uint64_t>(aNumber) };
  choices choices{ random };
  const bool relayed = aNumber % 2 == 0;
  const bool slow = aNumber % 5 == 0;
  struct kept
  {
    caller_connection mConnection;
    std::int64_t mUsedMs;
  };
  std::map<int, kept> connections;
  for (int i = 0; !mStopping; ++i) {
    // A kept connection is used wherever it leads.
    int daemon = PickDaemon(random);
    if (!connections.empty() && choices.Chance(0.7)) {
      daemon = std::next(connections.begin(),
                         choices.Number(0, static_cast<std::int64_t>(connections.size()) - 1))
                 ->first;
    }
    if (mMayIdleMs && choices.Chance(0.25)) {
      std::this_thread::sleep_for(std::chrono::milliseconds{ choices.Number(0, mMayIdleMs()) });
    }
    auto open = connections.find(daemon);
    if (open != connections.end() && mMayIdleMs &&
        (NowMs() - open->second.mUsedMs > mMayIdleMs() || open->second.mConnection.Ended())) {
      connections.erase(open);
      open = connections.end();
    }
    if (open == connections.end()) {
      auto made = caller_connection::Open(relayed ? mSystem.RelayedCallersAddress(daemon)
                                                  : mSystem.CallersAddress(daemon),
                                          slow ? kSlowReceiveBytes : 0);
      if (!made) {
        std::this_thread::sleep_for(std::chrono::milliseconds{ 20 });
        continue;
      }
      open = connections.emplace(daemon, kept{ std::move(*made), NowMs() }).first;
    }
    auto record = MakeRequest("s" + std::to_string(mSeed) + "-" + std::to_string(aNumber) + "-" +
                                std::to_string(i),
                              daemon,
                              slow || relayed,
                              choices);
    record.mLinkMs = relayed ? mRelayMs[static_cast<std::size_t>(daemon)] : 0;
    caller_habits habits;
    if (choices.Chance(0.35)) {
      habits.mParts = static_cast<std::size_t>(choices.Number(2, 5));
      habits.mPartPauseMs = choices.Chance(0.4) ? choices.Number(200, 700) : choices.Number(5, 200);
    }
    if (slow && choices.Chance(0.3)) {
      auto next = MakeRequest(record.mId + "-next", daemon, true, choices);
      next.mKind = request_kind::Order;
      next.mEventsAsked = 0;
      habits.mNext = Text(next, kLargeBody, choices);
    }
    if (slow) {
      habits.mReadAfterMs = choices.Number(0, 1'500);
    }
    const auto text = Text(record, BodyBytes(record.mKind, choices), choices);
    const bool usable = open->second.mConnection.Ask(text, habits, record);
    // What a slow caller reads last may have been sent long before.
    open->second.mUsedMs = slow ? record.mSentMs : record.mEndedMs;
    const auto connection = record.mHeaders.find("connection");
    const bool announced = connection != record.mHeaders.end() && connection->second == "close";
    // In a stop, some callers don't look at the announcement and send until the connection ends.
    const bool heeds = mMayIdleMs || aNumber % 10 != 1;
    if (!usable || (announced && heeds)) {
      connections.erase(open);
    }
    if (!usable) {
      std::this_thread::sleep_for(std::chrono::milliseconds{ 20 });
    }
    const std::lock_guard guard{ mMutex };
    mRecords.push_back(std::move(record));
  }
}

} // namespace skylarkwind::soak
