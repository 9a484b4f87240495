#include "usage_driver_p.h"

#include "bounded_cbor_p.h"

#include "skylarkwind/log.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace skylarkwind {

namespace {

using nlohmann::json;
using std::chrono::milliseconds;

/// First byte of a usage message.
constexpr char kUsageTag = 'U';
constexpr const char* kTaskName = "usage";
/// Counts in one datagram, of at most 27 bytes each; a datagram has at most 8 KB.
constexpr std::size_t kCountsPerMessage = 250;
/// How often counts are sent. A daemon that is killed takes its last second of counts with it.
constexpr milliseconds kExchangePeriod{ 1'000 };
/// Windows whose counts are sent, the open one included. Later repeats replace lost messages.
constexpr std::uint64_t kSentWindows = 3;
/// Windows whose counts are kept; their counts are fixed a few seconds after their end.
constexpr std::uint64_t kKeptWindows = 24;
/// Time from the end of a window until its counts are fixed: two periods, as counts go to a
/// collector and from there to the reporting daemon, and one more for a lost message.
constexpr milliseconds kSettleTime = 3 * kExchangePeriod;
/// Daemons that receive the sums: the one that reports, and the next one to do so.
constexpr std::size_t kSumReceivers = 2;

} // namespace

bool
IsUsageMessage(std::string_view aBytes)
{
  return !aBytes.empty() && aBytes.front() == kUsageTag;
}

std::vector<std::string>
EncodeUsage(const usage_message& aMessage)
{
  std::vector<std::string> messages;
  std::size_t next = 0;
  do {
    auto counts = json::array();
    const auto end = std::min(aMessage.mCounts.size(), next + kCountsPerMessage);
    for (; next < end; ++next) {
      const auto& count = aMessage.mCounts[next];
      counts.push_back(count.mWindow);
      counts.push_back(count.mAccount);
      counts.push_back(count.mRequests);
    }
    messages.push_back(kUsageTag + ToCbor(json::array({ aMessage.mSender,
                                                        aMessage.mStart,
                                                        aMessage.mDataCentre,
                                                        aMessage.mIsSum,
                                                        std::move(counts) })));
  } while (next < aMessage.mCounts.size());
  return messages;
}

std::optional<usage_message>
DecodeUsage(std::string_view aBytes)
{
  if (!IsUsageMessage(aBytes)) {
    return std::nullopt;
  }
  const auto value = ParseCbor(aBytes.substr(1));
  constexpr std::size_t kMembers = 5;
  constexpr std::size_t kNumbersPerCount = 3;
  if (!value.is_array() || value.size() != kMembers || !value[0].is_string() ||
      !value[1].is_number_unsigned() || !value[2].is_string() || !value[3].is_boolean() ||
      !value[4].is_array() || value[4].size() % kNumbersPerCount != 0) {
    return std::nullopt;
  }
  usage_message message;
  message.mSender = value[0].get<std::string>();
  message.mStart = value[1].get<std::uint64_t>();
  message.mDataCentre = value[2].get<std::string>();
  message.mIsSum = value[3].get<bool>();
  const auto& counts = value[4];
  for (std::size_t i = 0; i < counts.size(); i += kNumbersPerCount) {
    if (!counts[i].is_number_unsigned() || !counts[i + 1].is_number_unsigned() ||
        !counts[i + 2].is_number_unsigned()) {
      return std::nullopt;
    }
    message.mCounts.push_back({ counts[i].get<std::uint64_t>(),
                                counts[i + 1].get<std::uint64_t>(),
                                counts[i + 2].get<std::uint64_t>() });
  }
  return message;
}

usage_driver::usage_driver(usage_driver_settings aSettings,
                           const protocol_adapter& aProtocolAdapter,
                           const route_index& aRoutes,
                           const load_exchange& aExchange,
                           object_store& aStore,
                           platform_api& aApi,
                           const clock_source& aClock,
                           counters& aCounters,
                           kj::TaskSet& aTasks,
                           send aSend)
  : mSettings(std::move(aSettings))
  , mProtocolAdapter(aProtocolAdapter)
  , mRoutes(aRoutes)
  , mExchange(aExchange)
  , mStore(aStore)
  , mApi(aApi)
  , mClock(aClock)
  , mCounters(aCounters)
  , mTasks(aTasks)
  , mSend(std::move(aSend))
  , mCounter(std::max(milliseconds{ 1 }, mSettings.mWindow))
  , mCollector(aExchange.Members().Self().mDataCentre)
  , mReporter(std::max(milliseconds{ 1 }, mSettings.mWindow), kSettleTime)
  , mRunner(kTaskName, mSettings.mTask, aStore, aClock, aTasks)
{
}

void
usage_driver::OnRequestBegan(std::string_view aAccount)
{
  if (IsOn()) {
    mCounter.OnRequestBegan(aAccount, mTime.At(mClock.Now()));
  }
}

void
usage_driver::OnMessage(std::string_view aBytes)
{
  if (const auto message = DecodeUsage(aBytes)) {
    mCollector.OnMessage(*message);
  } else {
    Log(log_level::Debug, "peers", "dropped a malformed usage message");
  }
}

void
usage_driver::OnTick(bool aMayReport, instant aNow)
{
  if (!IsOn()) {
    return;
  }
  mTime.OnTick(mClock.WallNow(), aNow);
  const auto window = mCounter.WindowAt(mTime.At(aNow));
  if (aNow - mExchangedAt >= kExchangePeriod) {
    mExchangedAt = aNow;
    ExchangeCounts(window, aNow);
    const auto first = window - std::min(window, kKeptWindows);
    mCounter.DropBefore(first);
    mCollector.DropBefore(first);
  }
  if (aMayReport && mApi.IsConfigured()) {
    Report(aNow);
  }
}

void
usage_driver::ExchangeCounts(std::uint64_t aWindow, instant aNow)
{
  const auto& members = mExchange.Members();
  const auto& self = members.Self();
  const auto first = aWindow + 1 - std::min(aWindow + 1, kSentWindows);
  const auto sendTo = [&](const usage_message& aMessage,
                          const std::vector<const fleet_member*>& aReceivers) {
    std::vector<std::string> addresses;
    for (const auto* receiver : aReceivers) {
      if (receiver->mName != self.mName) {
        addresses.push_back(receiver->mAddress);
      }
    }
    if (!aMessage.mCounts.empty() && !addresses.empty()) {
      for (const auto& bytes : EncodeUsage(aMessage)) {
        mSend(bytes, addresses);
      }
    }
  };
  usage_message own{ self.mName, self.mStart, self.mDataCentre, false, mCounter.CountsFrom(first) };
  mCollector.OnMessage(own);
  sendTo(own, members.Preferred(self.mDataCentre, fleet_members::kCollectorsPerDataCentre, aNow));
  if (members.IsPreferred(fleet_members::kCollectorsPerDataCentre, aNow)) {
    auto reporting = members.DutyCandidates(aNow);
    reporting.resize(std::min(reporting.size(), kSumReceivers));
    sendTo({ self.mName, self.mStart, self.mDataCentre, true, mCollector.LocalSumsFrom(first) },
           reporting);
  }
}

void
usage_driver::UpdateNames()
{
  const auto& configuration = mRoutes.Current();
  if (!configuration || !configuration->mAccounts ||
      std::exchange(mNamesVersion, configuration->mVersion) == configuration->mVersion) {
    return;
  }
  for (const auto& account : *configuration->mAccounts) {
    mNames[AccountKey(account.mName)] = account.mName;
  }
}

std::map<std::string, std::uint64_t>
usage_driver::CountsOf(std::uint64_t aWindow) const
{
  std::map<std::string, std::uint64_t> counts;
  for (const auto& [account, requests] : mCollector.Total(aWindow)) {
    if (const auto name = mNames.find(account); name != mNames.end()) {
      counts[name->second] = requests;
    }
  }
  return counts;
}

void
usage_driver::Report(instant aNow)
{
  const auto now = mTime.At(aNow);
  UpdateNames();
  auto& task = mRunner.Task();
  if (task.Token(aNow) && mTerm != task.Term()) {
    mTerm = task.Term();
    mReporter.OnAcquired(task.StoredState(), mStore.Era(), now);
  }
  if (mTerm != 0 && mTerm == task.Term()) {
    const auto state =
      mReporter.FixWindows([this](std::uint64_t aWindow) { return CountsOf(aWindow); }, now);
    if (state) {
      task.SetState(*state);
    }
  }
  mRunner.OnTick(mExchange.Members().DutyRank(aNow), mReporter.IsDue(now), aNow);
  if (mTerm == task.Term()) {
    SendNext(aNow);
  }
}

void
usage_driver::SendNext(instant aNow)
{
  auto& task = mRunner.Task();
  const auto token = task.Token(aNow);
  if (!token) {
    return;
  }
  const auto window = mReporter.Next(task.StoredState(), aNow);
  if (!window) {
    return;
  }
  const auto number = window->mWindow;
  mTasks.add(mApi.Call(mProtocolAdapter.UsageRequest(*window, mSettings.mTask.mSelf, *token))
               .then([this, number, term = mTerm, accounts = window->mCounts.size()](int aStatus) {
                 mCounters
                   .Get("skylarkwind_usage_reports_total",
                        "Usage reports that were sent, by the status of their response.",
                        "status=\"" + std::to_string(aStatus) + '"')
                   .Add();
                 Log(log_level::Info,
                     "usage",
                     "sent window=" + std::to_string(number) + " accounts=" +
                       std::to_string(accounts) + " status=" + std::to_string(aStatus));
                 if (term == mTerm) {
                   mReporter.OnSent(number, aStatus, mClock.Now());
                 }
               }));
}

} // namespace skylarkwind
