#pragma once

#include "skylarkwind/backend_board.h"
#include "skylarkwind/clock.h"
#include "skylarkwind/fleet_members.h"
#include "skylarkwind/part_holders.h"
#include "skylarkwind/work_messages.h"
#include "skylarkwind/work_sums.h"

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

/// A message and where it goes. Summaries differ from receiver to receiver in `mIncludes` only.
struct outgoing_message
{
  struct receiver
  {
    std::string mAddress;
    std::uint64_t mIncludes = 0;
  };
  std::variant<work_report, work_summary> mMessage;
  std::vector<receiver> mReceivers;
};

/// Keeps the daemons informed of one another's work at a cost for each that does not grow with
/// their number. Each daemon reports its own work to two collectors of its data centre. A collector
/// sums the reports, exchanges sums with the collectors of other data centres, and sends the sums
/// of the fleet to whoever reports to it. Any daemon that gets reports acts as a collector, so that
/// views of who is one need not agree; a receiver uses the summary that counts most daemons.
///
/// A collector that ends, stops, is paused or cut off is replaced by the others without agreement:
/// each reports to the best two that answer it.
class work_exchange
{
public:
  /// `aSeeds` are addresses of daemons that may run; reports go there too until the daemon is
  /// connected. A seed tells who collects in the data centre of the sender.
  work_exchange(const fleet_member& aSelf,
                std::vector<std::string> aSeeds,
                backend_board& aBoard,
                part_holders& aParts);

  /// State of this daemon that others are told.
  void SetOwn(const store_news& aNews, bool aReachesStore, bool aStops);
  /// A server said in an answer to this daemon that it leaves.
  void OnLeaving(const leaving_backend& aLeaving, instant aNow);
  /// This daemon has ordered a server to change its role, which takes until then.
  void OnChanging(backend_key aBackend, instant aUntil);
  void OnListed(const fleet_member& aMember, instant aNow) { mMembers.OnListed(aMember, aNow); }

  void OnReport(const work_report& aReport, instant aNow);
  void OnSummary(const work_summary& aSummary, instant aNow);
  /// What is due now.
  std::vector<outgoing_message> OnTick(instant aNow);

  /// Whether a summary of the fleet has come lately, or this daemon makes them.
  bool Connected(instant aNow) const;
  /// Whether nothing has come lately from a data centre that daemons were known of.
  bool MissesDataCentre(instant aNow) const;
  const fleet_members& Members() const { return mMembers; }
  /// Daemons that share the fleet's work: the most that were known within the last ten seconds or
  /// so, this one included.
  std::uint32_t Daemons() const;
  /// Newest store revisions that any daemon has seen.
  const store_news& News() const { return mFleetNews; }
  /// Servers that other daemons were told to leave; each is returned once.
  std::vector<leaving_backend> TakeLeaving() { return std::exchange(mLeavingTold, {}); }

private:
  struct told_fact
  {
    instant mAt{};
    bool mOwnDataCentre = true;
  };
  struct summary_source
  {
    std::uint64_t mStart = 0;
    std::uint64_t mSequence = 0;
    instant mHeardAt{};
    std::uint32_t mDaemons = 0;
    std::unordered_map<backend_key, std::uint64_t> mAdded;
  };
  struct snapshot
  {
    std::uint64_t mSequence = 0;
    std::unordered_map<backend_key, backend_work> mWork;
  };

  bool ReportDue(instant aNow) const;
  work_report MakeReport(instant aNow);
  void SendReport(std::vector<outgoing_message>& aOut, instant aNow);
  void SendFleetSummary(std::vector<outgoing_message>& aOut, instant aNow);
  void SendAcross(std::vector<outgoing_message>& aOut, instant aNow);
  work_summary Summary(bool aWholeFleet, instant aSince, instant aNow);
  /// Collectors of another data centre that have sent to this daemon lately.
  std::vector<const fleet_member*> HeardCollectors(std::string_view aDataCentre,
                                                   instant aNow) const;
  /// Daemons of another data centre to send to: those that have sent to this one, else the best
  /// that are known, else those that were known before a cut.
  std::vector<const fleet_member*> CollectorsOf(std::string_view aDataCentre, instant aNow) const;
  /// Reports to collectors that do not answer go to others.
  void NoteSilentCollectors(instant aNow);
  void TakeFacts(const backend_facts& aFacts, bool aOwnDataCentre, instant aNow);
  void ApplyFacts(const backend_facts& aFacts, instant aNow);
  /// Puts the sums, less this daemon's own part of them, on the board.
  void ApplyWork(const std::vector<backend_work>& aWork,
                 std::uint64_t aIncludes,
                 summary_source& aSource,
                 bool aCountsAdded,
                 instant aNow);
  void NoteDaemons(std::uint32_t aDaemons, instant aNow);

  std::vector<std::string> mSeeds;
  backend_board& mBoard;
  part_holders& mParts;
  fleet_members mMembers;
  work_sums mSums;
  store_news mOwnNews;
  store_news mFleetNews;

  instant mTickedAt{};
  std::uint64_t mSequence = 0; ///< of reports
  std::uint64_t mSummarySequence = 0;
  std::uint64_t mReportedChanges = 0; ///< of the board, at the last report
  instant mReportedAt{};
  std::deque<snapshot> mSnapshots;                        ///< of recent reports
  std::map<std::string, instant, std::less<>> mReportsTo; ///< since when, unanswered since then

  std::map<std::string, summary_source, std::less<>> mSources; ///< of fleet summaries
  /// Part of the own additions that the sums held already.
  std::unordered_map<backend_key, std::uint64_t> mOwnCounted;
  std::string mAddedFrom; ///< the source whose counts of added tokens are used
  instant mHeardAt{};     ///< last fleet summary that was used

  std::uint64_t mSummedChanges = 0; ///< of the sums, at the last fleet summary
  std::uint64_t mAcrossChanges = 0;
  instant mSummarisedAt{};
  instant mAcrossAt{};
  std::size_t mNextMember = 0;                              ///< whose turn it is to be named
  std::map<std::string, instant, std::less<>> mAcrossHeard; ///< collectors of other data centres
  std::map<std::string, std::string> mJoining; ///< addresses of daemons to be answered, by name

  std::map<std::pair<std::uint64_t, backend_key>, std::pair<kept_part, told_fact>> mKept;
  std::map<backend_key, std::pair<instant, told_fact>> mChanging; ///< until when
  std::map<std::string, std::pair<leaving_backend, told_fact>> mLeaving;
  std::vector<leaving_backend> mLeavingTold;
  std::map<backend_key, instant> mOwnChanging;
  std::map<std::string, std::pair<leaving_backend, instant>> mOwnLeaving; ///< told until then

  std::uint32_t mMostDaemons = 0;       ///< in the current span
  std::uint32_t mMostDaemonsBefore = 0; ///< in the span before
  instant mSpanBegan{};
};

} // namespace skylarkwind
