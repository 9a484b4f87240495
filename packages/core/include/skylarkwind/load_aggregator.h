#pragma once

#include "skylarkwind/circuit_breaker.h"
#include "skylarkwind/clock.h"
#include "skylarkwind/load_messages.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace skylarkwind {

/// Aggregates the load that a collector receives: the reports of the daemons of its data centre,
/// and the sums sent by the collectors of other data centres.
class load_aggregator
{
public:
  explicit load_aggregator(std::string aDataCentre);

  /// Adds the report of a daemon. Returns false if a newer or the same report came before.
  bool OnReport(const load_report& aReport, instant aNow);
  /// Takes the sums of another data centre from one of its collectors.
  void OnDataCentreSummary(const load_summary& aSummary, instant aNow);
  /// Removes daemons and data centres that have sent nothing for their timeout.
  void OnTick(instant aNow);

  /// Sums over this data centre.
  std::vector<dispatched_load> LocalLoad(instant aNow) const;
  /// Outcomes in this data centre, at servers with recent bad ones.
  std::vector<backend_statistics> LocalRecords(instant aNow) const;
  /// Sums over all data centres.
  std::vector<dispatched_load> FleetLoad(instant aNow) const;
  std::uint32_t LocalDaemons() const { return static_cast<std::uint32_t>(mReporters.size()); }
  std::uint32_t FleetDaemons(instant aNow) const;
  store_revisions LocalRevisions() const;
  store_revisions FleetRevisions() const;

  /// Sequence number of the daemon's newest report; 0 if it has sent none.
  std::uint64_t NewestSequence(std::string_view aName) const;
  std::vector<const fleet_member*> Reporters() const;
  /// Increases with every change of a sum.
  std::uint64_t Changes() const { return mChanges; }

private:
  /// Newest counts of tokens added to each server, as sent by one sender.
  using added_counts = std::unordered_map<backend_key, std::uint64_t>;

  struct reporter
  {
    fleet_member mMember;
    std::uint64_t mSequence = 0;
    instant mHeardAt{};
    store_revisions mRevisions;
    std::vector<dispatched_load> mDispatchedLoad;
    added_counts mAdded;
    std::unordered_map<backend_key, backend_statistics> mRecords; ///< newest
  };
  struct sum
  {
    std::int64_t mPrefillTokens = 0;
    std::int64_t mRunning = 0;
    std::uint64_t mAdded = 0;          ///< by all daemons that have ever reported here
    std::uint64_t mAddedElsewhere = 0; ///< by daemons of other data centres
    instant mChangedAt{};
    circuit_breaker mCircuitBreaker;      ///< of this data centre
    circuit_breaker mFleetCircuitBreaker; ///< of all data centres
    server_outcomes mOutcomes;            ///< of this data centre, since the start of the process
    instant mLastBadOutcomeAt{};          ///< last outcome other than a response
    double mLogSlowdown = 0;              ///< smoothed logarithm of the slowdown
    std::uint32_t mMeasurements = 0;      ///< of the slowdown
    instant mSlowdownAt{};
  };
  /// The sums that one collector of another data centre sent last.
  struct collector_sums
  {
    std::uint64_t mStart = 0;
    std::uint64_t mSequence = 0;
    instant mHeardAt{};
    std::uint32_t mDaemons = 0;
    store_revisions mRevisions;
    added_counts mAdded;
    std::unordered_map<backend_key, server_outcomes> mOutcomes; ///< newest
    std::map<backend_key, std::pair<dispatched_load, instant>> mDispatchedLoad;
  };
  struct remote_data_centre
  {
    std::map<std::string, collector_sums, std::less<>> mCollectors;
    std::string mAddedSource; ///< the collector whose counts of added tokens are used
  };

  /// Adds the load to the sums, or with `aSign` = -1 subtracts it.
  void AddLoad(const std::vector<dispatched_load>& aDispatchedLoad, int aSign, instant aNow);
  /// Adds what has changed since the daemon's previous record of the server.
  void AddRecord(const backend_statistics& aRecord, reporter& aReporter, instant aNow);
  /// Whether the circuit breaker of the server is open for this data centre.
  static bool CircuitOpen(const sum& aSum, instant aNow);
  /// The current estimate of the slowdown: it decays towards the usual slowdown of all servers, so
  /// that a server that was avoided because it was slow is used again. 0 without a measurement.
  double Slowdown(const sum& aSum, instant aNow) const;
  /// Tokens added since the previous count of the same sender; 0 if the count has gone back.
  static std::uint64_t AddedTokensSinceLast(added_counts& aCounts,
                                            const dispatched_load& aDispatchedLoad);
  /// The collector of a data centre whose sums are used: the one that covers the most daemons among
  /// those that have sent recently; in case of a tie the last that has sent.
  static const collector_sums* PreferredCollector(const remote_data_centre& aOther, instant aNow);

  std::string mDataCentre;
  std::map<std::string, reporter, std::less<>> mReporters;
  std::unordered_map<backend_key, sum> mSums;
  std::map<std::string, remote_data_centre, std::less<>> mOthers; ///< by name
  std::uint64_t mChanges = 0;
  double mUsualLogSlowdown = 0; ///< smoothed, over all servers
  std::uint32_t mMeasurements = 0;
};

} // namespace skylarkwind
