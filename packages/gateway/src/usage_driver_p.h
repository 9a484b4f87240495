#pragma once

#include "platform_api_p.h"
#include "task_runner_p.h"

#include "skylarkwind/load_exchange.h"
#include "skylarkwind/route_index.h"
#include "skylarkwind/usage_counts.h"
#include "skylarkwind/usage_reporter.h"

#include <kj/async.h>

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>

namespace skylarkwind {

/// Whether these bytes are a usage message, which may be damaged.
bool IsUsageMessage(std::string_view aBytes);
/// Encodes a message, in several datagrams if it has many counts.
std::vector<std::string> EncodeUsage(const usage_message& aMessage);
std::optional<usage_message> DecodeUsage(std::string_view aBytes);

struct usage_driver_settings
{
  std::chrono::milliseconds mWindow{}; ///< length of a window; 0: usage is not reported
  singleton_task_settings mTask;
};

/// Counts the requests of each account at this daemon, exchanges the counts with other daemons, and
/// reports them to the platform when this daemon holds the task.
class usage_driver
{
public:
  using send = std::function<void(const std::string& aBytes, std::span<const std::string> aTo)>;

  usage_driver(usage_driver_settings aSettings,
               const protocol_adapter& aProtocolAdapter,
               const route_index& aRoutes,
               const load_exchange& aExchange,
               object_store& aStore,
               platform_api& aApi,
               const clock_source& aClock,
               counters& aCounters,
               kj::TaskSet& aTasks,
               send aSend);

  /// A server began to run a request of this account.
  void OnRequestBegan(std::string_view aAccount);
  /// Takes a message of another daemon, which may be damaged.
  void OnMessage(std::string_view aBytes);
  /// `aMayReport`: whether this daemon may report; one that stops, or does not watch the store,
  /// does not.
  void OnTick(bool aMayReport, instant aNow);

private:
  bool IsOn() const { return mSettings.mWindow.count() > 0; }
  void Send(const usage_message& aMessage,
            const std::vector<const fleet_member*>& aReceivers) const;
  /// Sends the counts of this daemon to the collectors.
  void SendCounts(std::uint64_t aWindow, instant aNow);
  /// Sends the sums of this data centre, if this daemon is one of its collectors.
  void SendSums(std::uint64_t aWindow, instant aNow);
  /// The daemon that reports and those that are ready to, in this order.
  std::vector<const fleet_member*> Reporting(instant aNow) const;
  /// Position of this daemon among them; `fleet_members::kNoDuty` if it is none of them.
  std::size_t Place(instant aNow) const;
  void Report(instant aNow);
  void SendNext(instant aNow);
  void UpdateNames();
  std::map<std::string, std::uint64_t> CountsOf(std::uint64_t aWindow) const;

  usage_driver_settings mSettings;
  const protocol_adapter& mProtocolAdapter;
  const route_index& mRoutes;
  const load_exchange& mExchange;
  object_store& mStore;
  platform_api& mApi;
  const clock_source& mClock;
  counters& mCounters;
  kj::TaskSet& mTasks;
  send mSend;
  true_time mTime;
  usage_counter mCounter;
  usage_collector mCollector;
  usage_reporter mReporter;
  second_timer mCountsTimer;
  second_timer mSumsTimer;
  task_runner mRunner;
  std::uint64_t mTerm = 0;         ///< of the task, whose state the reporter has begun from
  std::uint64_t mNamesVersion = 0; ///< of the configuration whose accounts are known
  std::map<account_key, std::string> mNames; ///< also of accounts that were removed
  std::uint64_t mSumsSent = 0;
};

} // namespace skylarkwind
