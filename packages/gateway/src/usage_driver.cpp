#include "usage_driver_p.h"

#include "bounded_cbor_p.h"

#include "skylarkwind/hash.h"
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
/// Counts are sent once a second; a daemon that is killed takes its last second of counts with it.
/// They are spread over this time, so that a collector does not receive all of them at once.
constexpr milliseconds kCountsSpread{ 200 };
/// Sums are sent when the counts of the same second have arrived.
constexpr milliseconds kSumsOffset{ 500 };
/// Windows whose counts are sent, the open one included. Later repeats replace lost messages.
constexpr std::uint64_t kSentWindows = 3;
/// Windows whose counts are kept; their counts are fixed a few seconds after their end.
constexpr std::uint64_t kKeptWindows = 24;
/// Time from the end of a window until its counts are fixed: its last sums arrive 0.5 s after its
/// end, and again 1 s later. A takeover takes 7.1 s, and reports are due 10 s after the end.
constexpr milliseconds kSettleTime{ 2'000 };
/// Every fourth time collectors send the sums of so many windows, for a daemon that has become a
/// receiver and reports windows that were delayed by the change.
constexpr std::uint64_t kLongSumWindows = 8;
constexpr std::uint64_t kSumsPerLongSum = 4;

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
  , mCountsTimer(milliseconds{ Hash64(mSettings.mTask.mSelf) %
                               static_cast<std::uint64_t>(kCountsSpread.count()) })
  , mSumsTimer(kSumsOffset)
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
  const auto now = mTime.At(aNow);
  const auto window = mCounter.WindowAt(now);
  if (mCountsTimer.IsDue(now)) {
    SendCounts(window, aNow);
    const auto first = window - std::min(window, kKeptWindows);
    mCounter.DropBefore(first);
    mCollector.DropBefore(first);
  }
  if (mSumsTimer.IsDue(now)) {
    SendSums(window, aNow);
  }
  if (aMayReport && mApi.IsConfigured()) {
    Report(aNow);
  }
}

void
usage_driver::Send(const usage_message& aMessage,
                   const std::vector<const fleet_member*>& aReceivers) const
{
  std::vector<std::string> addresses;
  for (const auto* receiver : aReceivers) {
    if (receiver->mName != aMessage.mSender) {
      addresses.push_back(receiver->mAddress);
    }
  }
  if (!aMessage.mCounts.empty() && !addresses.empty()) {
    for (const auto& bytes : EncodeUsage(aMessage)) {
      mSend(bytes, addresses);
    }
  }
}

void
usage_driver::SendCounts(std::uint64_t aWindow, instant aNow)
{
  const auto& members = mExchange.Members();
  const auto& self = members.Self();
  const auto first = aWindow + 1 - std::min(aWindow + 1, kSentWindows);
  const usage_message own{
    self.mName, self.mStart, self.mDataCentre, false, mCounter.CountsFrom(first)
  };
  mCollector.OnMessage(own);
  Send(own, members.Preferred(self.mDataCentre, fleet_members::kCollectorsPerDataCentre, aNow));
}

void
usage_driver::SendSums(std::uint64_t aWindow, instant aNow)
{
  const auto& members = mExchange.Members();
  const auto& self = members.Self();
  if (!members.IsPreferred(fleet_members::kCollectorsPerDataCentre, aNow)) {
    return;
  }
  const bool isLong = ++mSumsSent % kSumsPerLongSum == 0;
  const auto windows = isLong ? kLongSumWindows : kSentWindows;
  const auto first = aWindow + 1 - std::min(aWindow + 1, windows);
  Send({ self.mName, self.mStart, self.mDataCentre, true, mCollector.LocalSumsFrom(first) },
       Reporting(aNow));
}

std::vector<const fleet_member*>
usage_driver::Reporting(instant aNow) const
{
  const auto candidates = mExchange.Members().DutyCandidates(aNow);
  std::vector<std::string> dataCentres;
  dataCentres.reserve(candidates.size());
  for (const auto* candidate : candidates) {
    dataCentres.push_back(candidate->mDataCentre);
  }
  std::vector<const fleet_member*> reporting;
  for (const auto position : ReportingOrder(dataCentres)) {
    reporting.push_back(candidates[position]);
  }
  return reporting;
}

std::size_t
usage_driver::Place(instant aNow) const
{
  const auto reporting = Reporting(aNow);
  const auto& self = mExchange.Members().Self().mName;
  const auto found = std::find_if(reporting.begin(), reporting.end(), [&](const auto* aMember) {
    return aMember->mName == self;
  });
  return found == reporting.end() ? fleet_members::kNoDuty
                                  : static_cast<std::size_t>(found - reporting.begin());
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
  auto place = Place(aNow);
  if (place != fleet_members::kNoDuty && mReporter.ActsAsFirst(task.StoredState(), place, now)) {
    place = 0;
  }
  mRunner.OnTick(place, mReporter.IsDue(now), aNow);
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
  mTasks.add(mApi
               .Call(mProtocolAdapter.UsageRequest(*window, mSettings.mTask.mSelf, *token),
                     task.CallsUntil())
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
