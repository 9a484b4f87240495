#include "skylarkwind/load_exchange.h"

#include "skylarkwind/hash.h"

#include <algorithm>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// Shortest interval between reports after a change of the own load, so that one message covers a
/// request that is dispatched and answered quickly.
constexpr milliseconds kMinReportInterval{ 20 };
/// Interval between reports without a change.
constexpr milliseconds kIdleReportInterval{ 400 };
/// Number of collectors that a daemon reports to while none of them answers.
constexpr std::size_t kCollectorsWhileDisconnected = 4;
/// A collector that has sent no summary for this long after a report is replaced. A
/// collector of another data centre counts as inactive, and this daemon as disconnected, after the
/// same time without a summary.
constexpr milliseconds kCollectorAnswerTimeout{ 700 };
/// The interval between summaries grows with the number of receivers, so that a collector sends at
/// most `kMaxSummariesPerSecond` messages: 1.5 % of a core at 25 us each.
constexpr milliseconds kMinSummaryInterval{ 20 };
constexpr std::size_t kMaxSummariesPerSecond = 600;
constexpr milliseconds kIdleSummaryInterval{ 250 };
/// Limits between data centres are lower, because that traffic is charged.
constexpr milliseconds kMinCrossDataCentreInterval{ 45 };
constexpr std::size_t kMaxCrossDataCentrePerSecond = 200;
/// Updates on servers are repeated for this many summary intervals, to make up for lost messages.
constexpr int kUpdateRepeatIntervals = 2;
/// Cached prompt segments in one message.
constexpr std::size_t kMaxCachedSegmentsPerMessage = 120;
/// Members listed in turn in one message.
constexpr std::size_t kMaxMembersPerMessage = 8;
/// Servers with bad outcomes in one message.
constexpr std::size_t kMaxRecordsPerMessage = 24;
/// Daemons of other data centres that can wait for an answer at one time; more than the largest
/// planned deployment has (350).
constexpr std::size_t kMaxPendingReplies = 512;
/// Servers in one message. With the maximum of segments and members a message has about 7 KB.
constexpr std::size_t kMaxServersPerMessage = 200;
/// A source that has sent no summary for this long is not compared with others.
constexpr milliseconds kSourceTimeout{ 500 };
/// Sums of a source are used if it covers at least this fraction of the daemons of any other
/// source.
constexpr double kMinDaemonRatio = 0.9;
/// Own reports that are kept, to subtract the own share from the sums.
constexpr std::size_t kMaxSnapshots = 64;
/// Reports repeat for this long that a server is leaving.
constexpr milliseconds kLeavingRepeatPeriod{ 2'000 };
/// Updates on servers are dropped after this time, which covers several summary intervals. So are
/// collectors of other data centres that have sent nothing.
constexpr milliseconds kUpdateRetention{ 1'000 };
/// A longer interval between ticks means that this process itself was stalled.
constexpr milliseconds kStallThreshold{ 250 };
/// Messages that arrived during a stall are read within this time after it.
constexpr milliseconds kStallRecovery{ 100 };
/// Half of the longest time for which a peak number of daemons is kept. Sources of summaries are
/// dropped when they have sent none for this time.
constexpr milliseconds kPeakWindow{ 10'000 };

milliseconds
Interval(milliseconds aMinimum, std::size_t aReceivers, std::size_t aMaxPerSecond)
{
  return std::max(aMinimum, milliseconds{ aReceivers * 1'000 / aMaxPerSecond });
}

template<class value>
std::vector<value>
Slice(const std::vector<value>& aAll, std::size_t aIndex, std::size_t aSize)
{
  const auto from = std::min(aAll.size(), aIndex * aSize);
  const auto to = std::min(aAll.size(), from + aSize);
  return { aAll.begin() + static_cast<std::ptrdiff_t>(from),
           aAll.begin() + static_cast<std::ptrdiff_t>(to) };
}

/// Splits the summary into messages that each fit into a datagram, and appends them to `aOut`.
void
Split(load_summary aSummary,
      const std::vector<dispatched_load>& aDispatchedLoad,
      const std::vector<outgoing_message::receiver>& aReceivers,
      std::vector<outgoing_message>& aOut)
{
  const auto cachedSegments = std::exchange(aSummary.mBackendUpdates.mCachedSegments, {});
  for (std::size_t i = 0; i == 0 || i * kMaxServersPerMessage < aDispatchedLoad.size() ||
                          i * kMaxCachedSegmentsPerMessage < cachedSegments.size();
       ++i) {
    aSummary.mDispatchedLoad = Slice(aDispatchedLoad, i, kMaxServersPerMessage);
    aSummary.mBackendUpdates.mCachedSegments =
      Slice(cachedSegments, i, kMaxCachedSegmentsPerMessage);
    aOut.push_back({ aSummary, aReceivers });
    aSummary.mBackendUpdates = {};
    aSummary.mRecords.clear();
    aSummary.mMembers.clear();
  }
}

} // namespace

load_exchange::load_exchange(const fleet_member& aSelf,
                             std::vector<std::string> aSeeds,
                             backend_load_tracker& aLoadTracker,
                             prefix_cache_index& aPrefixCacheIndex)
  : mSeeds(std::move(aSeeds))
  , mLoadTracker(aLoadTracker)
  , mPrefixCacheIndex(aPrefixCacheIndex)
  , mMembers(aSelf)
  , mLoadAggregator(aSelf.mDataCentre)
{
}

void
load_exchange::SetOwnState(const store_revisions& aRevisions, bool aReachesStore, bool aStops)
{
  mOwnRevisions = aRevisions;
  mMembers.SetReachesStore(aReachesStore);
  mMembers.SetStops(aStops);
}

void
load_exchange::OnLeaving(const leaving_backend& aLeaving, instant aNow)
{
  mOwnLeaving[aLeaving.mBackendId] = { aLeaving, aNow + kLeavingRepeatPeriod };
}

void
load_exchange::OnRoleChange(backend_key aBackend, instant aUntil)
{
  mOwnRoleChanges[aBackend] = aUntil;
  mLoadTracker.OnRoleChange(aBackend, aUntil);
}

void
load_exchange::OnReport(const load_report& aReport, instant aNow)
{
  mMembers.OnReceived(aReport.mSender, aNow);
  if (aReport.mSender.mDataCentre != mMembers.Self().mDataCentre) {
    if (mPendingReplies.size() < kMaxPendingReplies) {
      mPendingReplies[aReport.mSender.mName] = aReport.mSender.mAddress;
    }
    return;
  }
  if (!mLoadAggregator.OnReport(aReport, aNow)) {
    return;
  }
  StoreUpdates(aReport.mBackendUpdates, true, aNow);
  ApplyUpdates(aReport.mBackendUpdates, aNow);
}

void
load_exchange::OnSummary(const load_summary& aSummary, instant aNow)
{
  const auto& sender = aSummary.mSender;
  mMembers.OnReceived(sender, aNow);
  for (const auto& member : aSummary.mMembers) {
    mMembers.OnHeard(member, aNow);
  }
  mFleetRevisions.mConfiguration =
    std::max(mFleetRevisions.mConfiguration, aSummary.mStoreRevisions.mConfiguration);
  mFleetRevisions.mServers = std::max(mFleetRevisions.mServers, aSummary.mStoreRevisions.mServers);
  ApplyUpdates(aSummary.mBackendUpdates, aNow);
  if (!aSummary.mWholeFleet) {
    mRemoteCollectorsHeardAt[sender.mName] = aNow;
    mLoadAggregator.OnDataCentreSummary(aSummary, aNow);
    StoreUpdates(aSummary.mBackendUpdates, false, aNow);
    return;
  }
  if (const auto reporting = mCollectorsHeardAt.find(sender.mName);
      reporting != mCollectorsHeardAt.end()) {
    reporting->second = aNow;
  }
  auto& source = mSources[sender.mName];
  if (source.mStart != sender.mStart) {
    source = {};
    source.mStart = sender.mStart;
  }
  if (aSummary.mSequence < source.mSequence) {
    return;
  }
  source.mSequence = aSummary.mSequence;
  source.mHeardAt = aNow;
  source.mDaemons = aSummary.mDaemons;
  std::uint32_t most = mLoadAggregator.FleetDaemons(aNow);
  for (const auto& [name, other] : mSources) {
    if (aNow - other.mHeardAt < kSourceTimeout) {
      most = std::max(most, other.mDaemons);
    }
  }
  RecordDaemonCount(aSummary.mDaemons, aNow);
  const auto used = mSources.find(mAddedSource);
  if (used == mSources.end() || aNow - used->second.mHeardAt >= kSourceTimeout) {
    mAddedSource = sender.mName;
  }
  if (aSummary.mDaemons < kMinDaemonRatio * most) {
    return;
  }
  mHeardAt = aNow;
  ApplyLoad(aSummary.mDispatchedLoad,
            aSummary.mIncludedSequence,
            source,
            mAddedSource == sender.mName,
            aNow);
}

void
load_exchange::ApplyLoad(const std::vector<dispatched_load>& aDispatchedLoad,
                         std::uint64_t aIncludes,
                         summary_source& aSource,
                         bool aCountsAdded,
                         instant aNow)
{
  const auto own = std::find_if(mSnapshots.begin(), mSnapshots.end(), [&](const snapshot& aReport) {
    return aReport.mSequence == aIncludes;
  });
  for (const auto& work : aDispatchedLoad) {
    auto others = work;
    if (own != mSnapshots.end()) {
      if (const auto ownLoad = own->mDispatchedLoad.find(work.mBackend);
          ownLoad != own->mDispatchedLoad.end()) {
        others.mPrefillTokens -= std::min(others.mPrefillTokens, ownLoad->second.mPrefillTokens);
        others.mRunning -= std::min(others.mRunning, ownLoad->second.mRunning);
      }
    }
    mLoadTracker.OnPeerLoad(others, aNow);
    const auto [known, first] = aSource.mAdded.try_emplace(work.mBackend, work.mAddedTokens);
    const auto before = std::exchange(known->second, work.mAddedTokens);
    if (aCountsAdded && !first && work.mAddedTokens > before) {
      // The sums include the tokens added by this daemon, which it has already counted itself.
      const auto increase = work.mAddedTokens - before;
      const auto ownAdded = mPrefixCacheIndex.OwnTokensAdded(work.mBackend);
      auto& counted = mOwnAddedInSums[work.mBackend];
      const auto ownIncrease = std::min(increase, ownAdded - counted);
      counted += ownIncrease;
      mPrefixCacheIndex.OnPeerTokensAdded(work.mBackend, increase - ownIncrease);
    }
  }
}

void
load_exchange::ApplyUpdates(const backend_updates& aUpdates, instant aNow)
{
  mPrefixCacheIndex.OnPeerSegments(aUpdates.mCachedSegments, aNow);
  for (const auto& changing : aUpdates.mRoleChanges) {
    mLoadTracker.OnRoleChange(changing.mBackend, aNow + milliseconds{ changing.mRemainingMs });
  }
  mReceivedLeaving.insert(
    mReceivedLeaving.end(), aUpdates.mLeaving.begin(), aUpdates.mLeaving.end());
}

void
load_exchange::StoreUpdates(const backend_updates& aUpdates, bool aOwnDataCentre, instant aNow)
{
  const update_origin origin{ aNow, aOwnDataCentre };
  for (const auto& segment : aUpdates.mCachedSegments) {
    mCachedSegments[{ segment.mKey, segment.mBackend }] = { segment, origin };
  }
  for (const auto& changing : aUpdates.mRoleChanges) {
    mRoleChanges[changing.mBackend] = { aNow + milliseconds{ changing.mRemainingMs }, origin };
  }
  for (const auto& leaving : aUpdates.mLeaving) {
    mLeaving[leaving.mBackendId] = { leaving, origin };
  }
}

bool
load_exchange::ReportDue(instant aNow) const
{
  const bool changed =
    mLoadTracker.ChangeCount() != mReportedChanges || mPrefixCacheIndex.HasUpdates();
  return aNow - mReportedAt >= (changed ? kMinReportInterval : kIdleReportInterval);
}

load_report
load_exchange::MakeReport(instant aNow)
{
  load_report report;
  report.mSender = mMembers.Self();
  report.mSequence = ++mSequence;
  report.mStoreRevisions = mOwnRevisions;
  report.mDispatchedLoad = mLoadTracker.OwnLoad(aNow);
  report.mRecords = mLoadTracker.OwnStatistics(aNow);
  snapshot taken{ mSequence, {} };
  for (auto& work : report.mDispatchedLoad) {
    work.mAddedTokens = mPrefixCacheIndex.OwnTokensAdded(work.mBackend);
    taken.mDispatchedLoad[work.mBackend] = work;
  }
  mSnapshots.push_back(std::move(taken));
  if (mSnapshots.size() > kMaxSnapshots) {
    mSnapshots.pop_front();
  }
  report.mBackendUpdates.mCachedSegments = mPrefixCacheIndex.TakeUpdates();
  std::erase_if(mOwnRoleChanges, [&](const auto& aEntry) { return aNow >= aEntry.second; });
  for (const auto& [key, until] : mOwnRoleChanges) {
    const auto left = std::chrono::duration_cast<milliseconds>(until - aNow);
    report.mBackendUpdates.mRoleChanges.push_back(
      { key, static_cast<std::uint32_t>(left.count()) });
  }
  std::erase_if(mOwnLeaving, [&](const auto& aEntry) { return aNow >= aEntry.second.second; });
  for (const auto& [id, leaving] : mOwnLeaving) {
    report.mBackendUpdates.mLeaving.push_back(leaving.first);
  }
  mReportedChanges = mLoadTracker.ChangeCount();
  mReportedAt = aNow;
  return report;
}

void
load_exchange::ReplaceSilentCollectors(instant aNow)
{
  for (auto reporting = mCollectorsHeardAt.begin(); reporting != mCollectorsHeardAt.end();) {
    if (aNow - reporting->second < kCollectorAnswerTimeout) {
      ++reporting;
      continue;
    }
    mMembers.OnSilent(reporting->first, aNow);
    reporting = mCollectorsHeardAt.erase(reporting);
  }
}

void
load_exchange::SendReport(std::vector<outgoing_message>& aOut, instant aNow)
{
  if (!ReportDue(aNow)) {
    return;
  }
  auto report = MakeReport(aNow);
  const auto& self = mMembers.Self();
  const auto most =
    Connected(aNow) ? fleet_members::kCollectorsPerDataCentre : kCollectorsWhileDisconnected;
  std::set<std::string_view> chosen;
  outgoing_message out;
  for (const auto* collector : mMembers.Preferred(self.mDataCentre, most, aNow)) {
    if (collector->mName != self.mName) {
      chosen.insert(collector->mName);
      out.mReceivers.push_back({ collector->mAddress, 0 });
      mCollectorsHeardAt.try_emplace(collector->mName, aNow);
    }
  }
  std::erase_if(mCollectorsHeardAt,
                [&](const auto& aEntry) { return !chosen.contains(aEntry.first); });
  if (!Connected(aNow)) {
    for (const auto& seed : mSeeds) {
      const bool reported =
        std::any_of(out.mReceivers.begin(), out.mReceivers.end(), [&](const auto& aReceiver) {
          return aReceiver.mAddress == seed;
        });
      if (!reported && seed != self.mAddress) {
        out.mReceivers.push_back({ seed, 0 });
      }
    }
  }
  // The own report is part of the sums that this daemon sends as a collector.
  mLoadAggregator.OnReport(report, aNow);
  StoreUpdates(report.mBackendUpdates, true, aNow);
  if (!out.mReceivers.empty()) {
    out.mMessage = std::move(report);
    aOut.push_back(std::move(out));
  }
}

load_summary
load_exchange::Summary(bool aWholeFleet, instant aSince, instant aNow)
{
  load_summary summary;
  summary.mSender = mMembers.Self();
  summary.mSequence = ++mSummarySequence;
  summary.mWholeFleet = aWholeFleet;
  summary.mDaemons =
    aWholeFleet ? mLoadAggregator.FleetDaemons(aNow) : mLoadAggregator.LocalDaemons();
  summary.mStoreRevisions =
    aWholeFleet ? mLoadAggregator.FleetRevisions() : mLoadAggregator.LocalRevisions();
  const auto include = [&](const update_origin& aOrigin) {
    return aOrigin.mAt >= aSince && (aWholeFleet || aOrigin.mFromOwnDataCentre);
  };
  for (const auto& [key, update] : mCachedSegments) {
    if (include(update.second)) {
      summary.mBackendUpdates.mCachedSegments.push_back(update.first);
    }
  }
  for (const auto& [key, update] : mRoleChanges) {
    if (include(update.second) && aNow < update.first) {
      const auto left = std::chrono::duration_cast<milliseconds>(update.first - aNow);
      summary.mBackendUpdates.mRoleChanges.push_back(
        { key, static_cast<std::uint32_t>(left.count()) });
    }
  }
  for (const auto& [id, update] : mLeaving) {
    if (include(update.second)) {
      summary.mBackendUpdates.mLeaving.push_back(update.first);
    }
  }
  return summary;
}

void
load_exchange::SendFleetSummary(std::vector<outgoing_message>& aOut, instant aNow)
{
  outgoing_message out;
  const auto& self = mMembers.Self();
  const auto reporters = mLoadAggregator.Reporters();
  for (const auto* reporter : reporters) {
    if (reporter->mName != self.mName) {
      out.mReceivers.push_back(
        { reporter->mAddress, mLoadAggregator.NewestSequence(reporter->mName) });
    }
  }
  const auto interval =
    Interval(kMinSummaryInterval, out.mReceivers.size(), kMaxSummariesPerSecond);
  const bool changed = mLoadAggregator.Changes() != mFleetSummaryChanges;
  if (aNow - mFleetSummaryAt < (changed ? interval : std::max(interval, kIdleSummaryInterval))) {
    return;
  }
  mFleetSummaryChanges = mLoadAggregator.Changes();
  mFleetSummaryAt = aNow;
  const auto work = mLoadAggregator.FleetLoad(aNow);
  if (!out.mReceivers.empty()) {
    auto summary =
      Summary(true, aNow - kUpdateRepeatIntervals * std::max(interval, kMinReportInterval), aNow);
    for (std::size_t i = 0; i < std::min(kMaxMembersPerMessage, reporters.size()); ++i) {
      summary.mMembers.push_back(*reporters[mNextMember++ % reporters.size()]);
    }
    // The reporters may not know the preferred collectors, and report to others.
    for (const auto* member :
         mMembers.Preferred(self.mDataCentre, fleet_members::kCollectorsPerDataCentre, aNow)) {
      summary.mMembers.push_back(*member);
    }
    for (const auto& dataCentre : mMembers.DataCentres()) {
      if (dataCentre != self.mDataCentre) {
        for (const auto* collector : ActiveCollectors(dataCentre, aNow)) {
          summary.mMembers.push_back(*collector);
        }
      }
    }
    Split(std::move(summary), work, out.mReceivers, aOut);
  }
  // A collector takes its own view from the same sums, unless another source covers more daemons.
  std::uint32_t most = 0;
  for (const auto& [name, source] : mSources) {
    if (aNow - source.mHeardAt < kSourceTimeout) {
      most = std::max(most, source.mDaemons);
    }
  }
  const auto daemons = mLoadAggregator.FleetDaemons(aNow);
  RecordDaemonCount(daemons, aNow);
  const auto newest = mLoadAggregator.FleetRevisions();
  mFleetRevisions.mConfiguration = std::max(mFleetRevisions.mConfiguration, newest.mConfiguration);
  mFleetRevisions.mServers = std::max(mFleetRevisions.mServers, newest.mServers);
  if (daemons > 1 && daemons >= kMinDaemonRatio * most) {
    auto& source = mSources[self.mName];
    source.mHeardAt = aNow;
    source.mDaemons = daemons;
    mAddedSource = self.mName;
    mHeardAt = aNow;
    ApplyLoad(work, mLoadAggregator.NewestSequence(self.mName), source, true, aNow);
  }
}

std::vector<const fleet_member*>
load_exchange::ActiveCollectors(std::string_view aDataCentre, instant aNow) const
{
  std::vector<const fleet_member*> collectors;
  for (const auto& [name, heardAt] : mRemoteCollectorsHeardAt) {
    const auto* member = mMembers.Find(name);
    if (member != nullptr && member->mDataCentre == aDataCentre &&
        aNow - heardAt < kCollectorAnswerTimeout &&
        collectors.size() < fleet_members::kCollectorsPerDataCentre) {
      collectors.push_back(member);
    }
  }
  return collectors;
}

std::vector<const fleet_member*>
load_exchange::SelectCollectors(std::string_view aDataCentre, instant aNow) const
{
  auto collectors = ActiveCollectors(aDataCentre, aNow);
  const auto add = [&](const std::vector<const fleet_member*>& aMembers) {
    for (const auto* member : aMembers) {
      if (collectors.size() < fleet_members::kCollectorsPerDataCentre &&
          std::find(collectors.begin(), collectors.end(), member) == collectors.end()) {
        collectors.push_back(member);
      }
    }
  };
  add(mMembers.Preferred(aDataCentre, fleet_members::kCollectorsPerDataCentre, aNow));
  if (collectors.empty()) {
    add(mMembers.LastKnown(aDataCentre, fleet_members::kCollectorsPerDataCentre));
  }
  return collectors;
}

void
load_exchange::SendDataCentreSummary(std::vector<outgoing_message>& aOut, instant aNow)
{
  const auto& self = mMembers.Self();
  std::vector<outgoing_message::receiver> receivers;
  if (mMembers.IsPreferred(fleet_members::kCollectorsPerDataCentre, aNow)) {
    for (const auto& dataCentre : mMembers.DataCentres()) {
      if (dataCentre != self.mDataCentre) {
        for (const auto* collector : SelectCollectors(dataCentre, aNow)) {
          receivers.push_back({ collector->mAddress, 0 });
        }
      }
    }
  }
  const auto interval =
    Interval(kMinCrossDataCentreInterval, receivers.size(), kMaxCrossDataCentrePerSecond);
  const bool changed = mLoadAggregator.Changes() != mDataCentreSummaryChanges;
  const bool due =
    aNow - mDataCentreSummaryAt >= (changed ? interval : std::max(interval, kIdleSummaryInterval));
  if (!due && mPendingReplies.empty()) {
    return;
  }
  if (!due) {
    receivers.clear();
  }
  // Daemons of other data centres that report here are looking for collectors of their own.
  for (auto& [name, address] : std::exchange(mPendingReplies, {})) {
    receivers.push_back({ address, 0 });
  }
  if (receivers.empty()) {
    return;
  }
  if (due) {
    mDataCentreSummaryChanges = mLoadAggregator.Changes();
    mDataCentreSummaryAt = aNow;
  }
  auto summary =
    Summary(false, aNow - kUpdateRepeatIntervals * std::max(interval, kMinReportInterval), aNow);
  for (const auto& dataCentre : mMembers.DataCentres()) {
    for (const auto* member :
         mMembers.Preferred(dataCentre, fleet_members::kCollectorsPerDataCentre, aNow)) {
      if (dataCentre == self.mDataCentre || mMembers.IsKnownFirstHand(member->mName, aNow)) {
        summary.mMembers.push_back(*member);
      }
    }
  }
  summary.mRecords = mLoadAggregator.LocalRecords(aNow);
  if (summary.mRecords.size() > kMaxRecordsPerMessage) {
    summary.mRecords.resize(kMaxRecordsPerMessage);
  }
  Split(std::move(summary), mLoadAggregator.LocalLoad(aNow), receivers, aOut);
}

bool
load_exchange::MayReadOldMessages(instant aNow) const
{
  return aNow - mTickedAt >= kStallThreshold || aNow - mStalledUntil < kStallRecovery;
}

std::vector<outgoing_message>
load_exchange::OnTick(instant aNow)
{
  std::vector<outgoing_message> out;
  if (aNow - mTickedAt >= kStallThreshold) {
    mStalledUntil = aNow;
    // Answers of collectors may still be unread in the socket, so that their timeouts restart.
    for (auto& [name, since] : mCollectorsHeardAt) {
      since = aNow;
    }
  }
  mTickedAt = aNow;
  mMembers.OnTick(aNow);
  mLoadAggregator.OnTick(aNow);
  const auto expired = [&](const auto& aEntry) {
    return aNow - aEntry.second.second.mAt >= kUpdateRetention;
  };
  std::erase_if(mCachedSegments, expired);
  std::erase_if(mRoleChanges, expired);
  std::erase_if(mLeaving, expired);
  std::erase_if(mRemoteCollectorsHeardAt,
                [&](const auto& aEntry) { return aNow - aEntry.second >= kUpdateRetention; });
  std::erase_if(mSources,
                [&](const auto& aEntry) { return aNow - aEntry.second.mHeardAt >= kPeakWindow; });
  mLoadTracker.SetFleet(Hash64(mMembers.Self().mName), DaemonCount());
  ReplaceSilentCollectors(aNow);
  SendReport(out, aNow);
  SendFleetSummary(out, aNow);
  SendDataCentreSummary(out, aNow);
  return out;
}

bool
load_exchange::Connected(instant aNow) const
{
  return mHeardAt != instant{} && aNow - mHeardAt < kCollectorAnswerTimeout;
}

bool
load_exchange::HasSilentDataCentre(instant aNow) const
{
  const auto dataCentres = mMembers.DataCentres();
  return std::any_of(dataCentres.begin(), dataCentres.end(), [&](const auto& aDataCentre) {
    return aDataCentre != mMembers.Self().mDataCentre &&
           ActiveCollectors(aDataCentre, aNow).empty();
  });
}

void
load_exchange::RecordDaemonCount(std::uint32_t aDaemons, instant aNow)
{
  if (aNow - mPeakWindowStart >= kPeakWindow) {
    mPreviousPeakDaemons = aNow - mPeakWindowStart < 2 * kPeakWindow ? mPeakDaemons : 0;
    mPeakDaemons = 0;
    mPeakWindowStart = aNow;
  }
  mPeakDaemons = std::max(mPeakDaemons, aDaemons);
}

std::uint32_t
load_exchange::DaemonCount() const
{
  const auto listed = static_cast<std::uint32_t>(mMembers.LivePeerCount()) + 1;
  return std::max({ listed, mPeakDaemons, mPreviousPeakDaemons });
}

} // namespace skylarkwind
