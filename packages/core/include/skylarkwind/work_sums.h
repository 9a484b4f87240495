#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/server_evidence.h"
#include "skylarkwind/work_messages.h"

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

/// What a collector has been told: the reports of the daemons of its data centre, and the sums that
/// the collectors of other data centres send.
class work_sums
{
public:
  explicit work_sums(std::string aDataCentre);

  /// A daemon reports. False when a newer report has come before.
  bool OnReport(const work_report& aReport, instant aNow);
  /// A collector of another data centre tells of it.
  void OnDataCentreSummary(const work_summary& aSummary, instant aNow);
  /// Drops daemons and data centres that have not been heard of for a time.
  void OnTick(instant aNow);

  /// Sums over this data centre.
  std::vector<backend_work> LocalLoad(instant aNow) const;
  /// Outcomes in this data centre at servers where some were bad lately.
  std::vector<backend_record> LocalRecords(instant aNow) const;
  /// Sums over all data centres.
  std::vector<backend_work> FleetLoad(instant aNow) const;
  std::uint32_t LocalDaemons() const { return static_cast<std::uint32_t>(mReporters.size()); }
  std::uint32_t FleetDaemons(instant aNow) const;
  store_news LocalRevisions() const;
  store_news FleetRevisions() const;

  /// Sequence of the daemon's newest report; 0 when it has sent none.
  std::uint64_t NewestSequence(std::string_view aName) const;
  std::vector<const fleet_member*> Reporters() const;
  /// Grows with everything that changes a sum.
  std::uint64_t Changes() const { return mChanges; }

private:
  /// MergeNewest counts of tokens added to each server, as one sender tells them.
  using added_counts = std::unordered_map<backend_key, std::uint64_t>;

  struct reporter
  {
    fleet_member mMember;
    std::uint64_t mSequence = 0;
    instant mHeardAt{};
    store_news mRevisions;
    std::vector<backend_work> mWork;
    added_counts mAdded;
    std::unordered_map<backend_key, backend_record> mRecords; ///< newest
  };
  struct sum
  {
    std::int64_t mPrefillTokens = 0;
    std::int64_t mRunning = 0;
    std::uint64_t mAdded = 0;          ///< by all reporters that were ever heard
    std::uint64_t mAddedElsewhere = 0; ///< the same of other data centres
    instant mChangedAt{};
    server_evidence mEvidence; ///< of this data centre
    server_evidence mFleetEvidence;
    server_outcomes mOutcomes;   ///< of this data centre, since the start
    instant mLastBadOutcomeAt{}; ///< last one that was not an answer
    double mLogSlowdown = 0;     ///< logarithm of the slowdown, smoothed
    std::uint32_t mMeasurements = 0;
    instant mSlowdownAt{};
  };
  /// What one collector of another data centre told last.
  struct collector_sums
  {
    std::uint64_t mStart = 0;
    std::uint64_t mSequence = 0;
    instant mHeardAt{};
    std::uint32_t mDaemons = 0;
    store_news mRevisions;
    added_counts mAdded;
    std::unordered_map<backend_key, server_outcomes> mOutcomes; ///< newest
    std::map<backend_key, std::pair<backend_work, instant>> mWork;
  };
  struct remote_data_centre
  {
    std::map<std::string, collector_sums, std::less<>> mCollectors;
    std::string mAddedSource; ///< the collector whose counts of added tokens are used
  };

  void AddLoad(const std::vector<backend_work>& aWork, int aSign, instant aNow);
  /// Takes in what is new in a daemon's record of a server.
  void AddRecord(const backend_record& aRecord, reporter& aReporter, instant aNow);
  static bool CircuitOpen(const sum& aSum, instant aNow);
  /// The slowdown now: a measurement fades towards what is usual, so that a server that is left
  /// because it was slow is used again.
  double Slowdown(const sum& aSum, instant aNow) const;
  /// What was added since the count that the sender told before.
  static std::uint64_t AddedTokensSinceLast(added_counts& aCounts, const backend_work& aWork);
  /// The collector of a data centre whose sums are used: of those heard lately the one that counts
  /// most daemons, among equal ones the one heard last.
  static const collector_sums* PreferredCollector(const remote_data_centre& aOther, instant aNow);

  std::string mDataCentre;
  std::map<std::string, reporter, std::less<>> mReporters;
  std::unordered_map<backend_key, sum> mSums;
  std::map<std::string, remote_data_centre, std::less<>> mOthers; ///< by name
  std::uint64_t mChanges = 0;
  double mUsualLogSlowdown = 0; ///< over all servers
  std::uint32_t mMeasurements = 0;
};

} // namespace skylarkwind
