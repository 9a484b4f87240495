#pragma once

#include "skylarkwind/backend_load_tracker.h"
#include "skylarkwind/clock.h"
#include "skylarkwind/fleet_members.h"
#include "skylarkwind/load_aggregator.h"
#include "skylarkwind/load_messages.h"
#include "skylarkwind/prefix_cache_index.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace skylarkwind {

/// A message and its receivers. Copies of a summary differ between receivers in `mIncludedSequence`
/// only.
struct outgoing_message
{
  struct receiver
  {
    std::string mAddress;
    std::uint64_t mIncludedSequence = 0;
  };
  std::variant<load_report, load_summary> mMessage;
  std::vector<receiver> mReceivers;
};

/// Shares load information between all daemons, at a cost per daemon that does not grow with their
/// number. Each daemon reports its own load to two collectors of its data centre. A collector sums
/// the reports, exchanges the sums with the collectors of other data centres, and sends the sums of
/// the whole fleet to each daemon that reports to it. Any daemon that receives reports acts as a
/// collector, so that daemons need not agree on who the collectors are; a receiver uses the
/// summaries that cover nearly as many daemons as the largest one.
///
/// A collector that terminates, shuts down, is paused or is partitioned off gets replaced without
/// consensus: each daemon reports to the two preferred collectors that answer it.
class load_exchange
{
public:
  /// `aSeeds` are addresses at which daemons may be running; reports go there as well until this
  /// daemon is connected. A seed answers with the collectors of the sender's data centre.
  load_exchange(const fleet_member& aSelf,
                std::vector<std::string> aSeeds,
                backend_load_tracker& aLoadTracker,
                prefix_cache_index& aPrefixCacheIndex);

  /// Sets the state of this daemon that is sent to the others.
  void SetOwnState(const store_revisions& aRevisions, bool aReachesStore, bool aStops);
  /// A server announced in a response to this daemon that it is leaving.
  void OnLeaving(const leaving_backend& aLeaving, instant aNow);
  /// This daemon has commanded a server to change its role, which is expected to last until
  /// `aUntil`.
  void OnRoleChange(backend_key aBackend, instant aUntil);
  /// A daemon is listed in the store. Listings may be out of date.
  void OnListed(const fleet_member& aMember, instant aNow) { mMembers.OnListed(aMember, aNow); }

  /// Adds a report of this data centre to the sums. One of another data centre is not summed, but
  /// answered with the collectors known here.
  void OnReport(const load_report& aReport, instant aNow);
  void OnSummary(const load_summary& aSummary, instant aNow);
  /// Advances all timers and returns the messages that are due.
  std::vector<outgoing_message> OnTick(instant aNow);

  /// Whether this daemon has recently used a fleet summary, received or of its own making.
  bool Connected(instant aNow) const;
  /// Whether messages that are read now may have waited while this process was stalled.
  bool MayReadOldMessages(instant aNow) const;
  /// Whether a data centre with known daemons has recently sent nothing.
  bool HasSilentDataCentre(instant aNow) const;
  const fleet_members& Members() const { return mMembers; }
  /// Number of daemons that share the load of the fleet, including this one: the largest
  /// of the number of live members and the peaks of the current and the previous 10 s window.
  std::uint32_t DaemonCount() const;
  /// Newest store revisions that any daemon has received.
  const store_revisions& NewestRevisions() const { return mFleetRevisions; }
  /// Takes the notices received since the last call of servers that announced to other daemons that
  /// they are leaving. A server may occur more than once, because notices are repeated.
  std::vector<leaving_backend> TakeLeavingBackends() { return std::exchange(mReceivedLeaving, {}); }

private:
  /// When an update was received, and whether from this data centre.
  struct update_origin
  {
    instant mAt{};
    bool mFromOwnDataCentre = true;
  };
  /// State per sender of fleet summaries.
  struct summary_source
  {
    std::uint64_t mStart = 0;
    std::uint64_t mSequence = 0;
    instant mHeardAt{};
    std::uint32_t mDaemons = 0;
    std::unordered_map<backend_key, std::uint64_t> mAdded; ///< newest counts of added tokens
  };
  /// The load in one of the recent reports of this daemon.
  struct snapshot
  {
    std::uint64_t mSequence = 0;
    std::unordered_map<backend_key, dispatched_load> mDispatchedLoad;
  };

  bool ReportDue(instant aNow) const;
  load_report MakeReport(instant aNow);
  void SendReport(std::vector<outgoing_message>& aOut, instant aNow);
  void SendFleetSummary(std::vector<outgoing_message>& aOut, instant aNow);
  void SendDataCentreSummary(std::vector<outgoing_message>& aOut, instant aNow);
  load_summary Summary(bool aWholeFleet, instant aSince, instant aNow);
  /// Collectors of another data centre that have recently sent to this daemon.
  std::vector<const fleet_member*> ActiveCollectors(std::string_view aDataCentre,
                                                    instant aNow) const;
  /// Receivers in another data centre: daemons that have recently sent to this one, filled up with
  /// the preferred live ones, or else those last known before a partition.
  std::vector<const fleet_member*> SelectCollectors(std::string_view aDataCentre,
                                                    instant aNow) const;
  /// Excludes collectors that have not answered reports in time, so that others are chosen.
  void ReplaceSilentCollectors(instant aNow);
  void StoreUpdates(const backend_updates& aUpdates, bool aOwnDataCentre, instant aNow);
  void ApplyUpdates(const backend_updates& aUpdates, instant aNow);
  /// Updates the load tracker with the sums, less this daemon's own share of them.
  void ApplyLoad(const std::vector<dispatched_load>& aDispatchedLoad,
                 std::uint64_t aIncludes,
                 summary_source& aSource,
                 bool aCountsAdded,
                 instant aNow);
  void RecordDaemonCount(std::uint32_t aDaemons, instant aNow);

  std::vector<std::string> mSeeds;
  backend_load_tracker& mLoadTracker;
  prefix_cache_index& mPrefixCacheIndex;
  fleet_members mMembers;
  load_aggregator mLoadAggregator;
  store_revisions mOwnRevisions;
  store_revisions mFleetRevisions;

  instant mTickedAt{};
  instant mStalledUntil{};     ///< end of the last stall of this process
  std::uint64_t mSequence = 0; ///< of the last report
  std::uint64_t mSummarySequence = 0;
  std::uint64_t mReportedChanges = 0; ///< change count of the load tracker at the last report
  instant mReportedAt{};
  std::deque<snapshot> mSnapshots; ///< of recent reports
  /// Collectors that get the reports, with the time of their last answer, or of the first report
  /// when there was none.
  std::map<std::string, instant, std::less<>> mCollectorsHeardAt;

  std::map<std::string, summary_source, std::less<>> mSources; ///< of fleet summaries, by name
  /// Tokens added by this daemon that the sums already contained.
  std::unordered_map<backend_key, std::uint64_t> mOwnAddedInSums;
  std::string mAddedSource; ///< the source whose counts of added tokens are used
  instant mHeardAt{};       ///< time of the last fleet summary that was used

  std::uint64_t mFleetSummaryChanges = 0; ///< change count of the sums at the last summary
  std::uint64_t mDataCentreSummaryChanges = 0;
  instant mFleetSummaryAt{};
  instant mDataCentreSummaryAt{};
  std::size_t mNextMember = 0; ///< index of the next member to list
  std::map<std::string, instant, std::less<>> mRemoteCollectorsHeardAt;
  /// Addresses of daemons of other data centres that wait for an answer, by name.
  std::map<std::string, std::string> mPendingReplies;

  std::map<std::pair<std::uint64_t, backend_key>, std::pair<cached_segment, update_origin>>
    mCachedSegments;
  /// With the end of the role change.
  std::map<backend_key, std::pair<instant, update_origin>> mRoleChanges;
  std::map<std::string, std::pair<leaving_backend, update_origin>> mLeaving;
  std::vector<leaving_backend> mReceivedLeaving;
  std::map<backend_key, instant> mOwnRoleChanges;
  /// With the time until which reports repeat the notice.
  std::map<std::string, std::pair<leaving_backend, instant>> mOwnLeaving;

  std::uint32_t mPeakDaemons = 0;         ///< in the current window
  std::uint32_t mPreviousPeakDaemons = 0; ///< in the previous window
  instant mPeakWindowStart{};
};

} // namespace skylarkwind
