#include "skylarkwind/work_exchange.h"

#include "skylarkwind/hash.h"

#include <algorithm>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// A report follows a change of the own work after this long at the earliest, so that one message
/// covers a request that is sent and answered quickly.
constexpr milliseconds kReportPause{ 20 };
/// Without a change a report follows after this long.
constexpr milliseconds kReportAtLeast{ 400 };
/// Collectors that a daemon reports to while none of them answers.
constexpr std::size_t kCollectorsTried = 4;
/// A collector that has not sent a summary for this long after a report is replaced.
constexpr milliseconds kCollectorAnswers{ 700 };
/// Pauses between summaries grow with the number of their receivers, so that a collector sends at
/// most so many messages a second: 1.5 % of a core at 25 us each.
constexpr milliseconds kSummaryPause{ 20 };
constexpr std::size_t kSummariesPerSecond = 600;
constexpr milliseconds kSummaryAtLeast{ 250 };
/// Traffic between data centres is paid for.
constexpr milliseconds kAcrossPause{ 45 };
constexpr std::size_t kAcrossPerSecond = 200;
/// A fact is told again for this many pauses between summaries.
constexpr int kFactsInPauses = 2;
/// Parts that one message tells of.
constexpr std::size_t kMostKept = 120;
/// Members that one message names.
constexpr std::size_t kMostMembers = 8;
/// Servers with bad outcomes that one message tells of.
constexpr std::size_t kMostRecords = 24;
/// Daemons of other data centres that are answered at once, above those of the largest deployment
/// aimed at (350).
constexpr std::size_t kMostJoining = 512;
/// Servers that one message tells of. With the most parts and members it has some 7 KB.
constexpr std::size_t kMostWork = 200;
/// A source of summaries that was not heard of for this long is not compared with others.
constexpr milliseconds kSourceLife{ 500 };
/// Sums of a source are used when it counts at least this part of the daemons that another does.
constexpr double kComparable = 0.9;
/// Reports that are remembered, to take the own part out of the sums.
constexpr std::size_t kMostSnapshots = 64;
/// How long other daemons are told that a server leaves.
constexpr milliseconds kTellLeaving{ 2'000 };
/// Facts are dropped after this long, several pauses between summaries.
constexpr milliseconds kFactLife{ 1'000 };
/// A pause between ticks that is longer means that this process itself stood still.
constexpr milliseconds kOwnPause{ 250 };
/// Half of the time for which a number of daemons is remembered.
constexpr milliseconds kDaemonsSpan{ 10'000 };

milliseconds
Pause(milliseconds aLeast, std::size_t aReceivers, std::size_t aPerSecond)
{
  return std::max(aLeast, milliseconds{ aReceivers * 1'000 / aPerSecond });
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

/// Adds the summary as messages that each fit into a datagram.
void
Split(work_summary aSummary,
      const std::vector<backend_work>& aWork,
      const std::vector<outgoing_message::receiver>& aReceivers,
      std::vector<outgoing_message>& aOut)
{
  const auto kept = std::exchange(aSummary.mFacts.mKept, {});
  for (std::size_t i = 0; i == 0 || i * kMostWork < aWork.size() || i * kMostKept < kept.size();
       ++i) {
    aSummary.mWork = Slice(aWork, i, kMostWork);
    aSummary.mFacts.mKept = Slice(kept, i, kMostKept);
    aOut.push_back({ aSummary, aReceivers });
    aSummary.mFacts = {};
    aSummary.mRecords.clear();
    aSummary.mMembers.clear();
  }
}

} // namespace

work_exchange::work_exchange(const fleet_member& aSelf,
                             std::vector<std::string> aSeeds,
                             backend_board& aBoard,
                             part_holders& aParts)
  : mSeeds(std::move(aSeeds))
  , mBoard(aBoard)
  , mParts(aParts)
  , mMembers(aSelf)
  , mSums(aSelf.mDataCentre)
{
}

void
work_exchange::SetOwn(const store_news& aNews, bool aReachesStore, bool aStops)
{
  mOwnNews = aNews;
  mMembers.SetReachesStore(aReachesStore);
  mMembers.SetStops(aStops);
}

void
work_exchange::OnLeaving(const leaving_backend& aLeaving, instant aNow)
{
  mOwnLeaving[aLeaving.mBackendId] = { aLeaving, aNow + kTellLeaving };
}

void
work_exchange::OnChanging(backend_key aBackend, instant aUntil)
{
  mOwnChanging[aBackend] = aUntil;
  mBoard.OnChanging(aBackend, aUntil);
}

void
work_exchange::OnReport(const work_report& aReport, instant aNow)
{
  mMembers.OnHeard(aReport.mSender, aNow);
  if (aReport.mSender.mDataCentre != mMembers.Self().mDataCentre) {
    if (mJoining.size() < kMostJoining) {
      mJoining[aReport.mSender.mName] = aReport.mSender.mAddress;
    }
    return;
  }
  if (!mSums.OnReport(aReport, aNow)) {
    return;
  }
  TakeFacts(aReport.mFacts, true, aNow);
  ApplyFacts(aReport.mFacts, aNow);
}

void
work_exchange::OnSummary(const work_summary& aSummary, instant aNow)
{
  const auto& sender = aSummary.mSender;
  mMembers.OnHeard(sender, aNow);
  for (const auto& member : aSummary.mMembers) {
    mMembers.OnHeard(member, aNow);
  }
  mFleetNews.mConfiguration = std::max(mFleetNews.mConfiguration, aSummary.mNews.mConfiguration);
  mFleetNews.mServers = std::max(mFleetNews.mServers, aSummary.mNews.mServers);
  ApplyFacts(aSummary.mFacts, aNow);
  if (!aSummary.mWholeFleet) {
    mAcrossHeard[sender.mName] = aNow;
    mSums.OnOtherDataCentre(aSummary, aNow);
    TakeFacts(aSummary.mFacts, false, aNow);
    return;
  }
  if (const auto reporting = mReportsTo.find(sender.mName); reporting != mReportsTo.end()) {
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
  std::uint32_t most = mSums.FleetDaemons(aNow);
  for (const auto& [name, other] : mSources) {
    if (aNow - other.mHeardAt < kSourceLife) {
      most = std::max(most, other.mDaemons);
    }
  }
  NoteDaemons(aSummary.mDaemons, aNow);
  const auto used = mSources.find(mAddedFrom);
  if (used == mSources.end() || aNow - used->second.mHeardAt >= kSourceLife) {
    mAddedFrom = sender.mName;
  }
  if (aSummary.mDaemons < kComparable * most) {
    return;
  }
  mHeardAt = aNow;
  ApplyWork(aSummary.mWork, aSummary.mIncludes, source, mAddedFrom == sender.mName, aNow);
}

void
work_exchange::ApplyWork(const std::vector<backend_work>& aWork,
                         std::uint64_t aIncludes,
                         summary_source& aSource,
                         bool aCountsAdded,
                         instant aNow)
{
  const auto own = std::find_if(mSnapshots.begin(), mSnapshots.end(), [&](const snapshot& aReport) {
    return aReport.mSequence == aIncludes;
  });
  for (const auto& work : aWork) {
    auto others = work;
    if (own != mSnapshots.end()) {
      if (const auto part = own->mWork.find(work.mBackend); part != own->mWork.end()) {
        others.mPrefillTokens -= std::min(others.mPrefillTokens, part->second.mPrefillTokens);
        others.mRunning -= std::min(others.mRunning, part->second.mRunning);
      }
    }
    mBoard.OnOthers(others, aNow);
    const auto [known, first] = aSource.mAdded.try_emplace(work.mBackend, work.mAddedTokens);
    const auto before = std::exchange(known->second, work.mAddedTokens);
    if (aCountsAdded && !first && work.mAddedTokens > before) {
      // The sums hold what this daemon added too, which it has counted itself.
      const auto grown = work.mAddedTokens - before;
      const auto ownAdded = mParts.OwnAdded(work.mBackend);
      auto& counted = mOwnCounted[work.mBackend];
      const auto ownGrown = std::min(grown, ownAdded - counted);
      counted += ownGrown;
      mParts.OnOthersAdded(work.mBackend, grown - ownGrown);
    }
  }
}

void
work_exchange::ApplyFacts(const backend_facts& aFacts, instant aNow)
{
  mParts.OnTold(aFacts.mKept, aNow);
  for (const auto& changing : aFacts.mChanging) {
    mBoard.OnChanging(changing.mBackend, aNow + milliseconds{ changing.mLeftMs });
  }
  mLeavingTold.insert(mLeavingTold.end(), aFacts.mLeaving.begin(), aFacts.mLeaving.end());
}

void
work_exchange::TakeFacts(const backend_facts& aFacts, bool aOwnDataCentre, instant aNow)
{
  const told_fact told{ aNow, aOwnDataCentre };
  for (const auto& part : aFacts.mKept) {
    mKept[{ part.mKey, part.mBackend }] = { part, told };
  }
  for (const auto& changing : aFacts.mChanging) {
    mChanging[changing.mBackend] = { aNow + milliseconds{ changing.mLeftMs }, told };
  }
  for (const auto& leaving : aFacts.mLeaving) {
    mLeaving[leaving.mBackendId] = { leaving, told };
  }
}

bool
work_exchange::ReportDue(instant aNow) const
{
  const bool news = mBoard.Changes() != mReportedChanges || mParts.HasFresh();
  return aNow - mReportedAt >= (news ? kReportPause : kReportAtLeast);
}

work_report
work_exchange::MakeReport(instant aNow)
{
  work_report report;
  report.mSender = mMembers.Self();
  report.mSequence = ++mSequence;
  report.mNews = mOwnNews;
  report.mWork = mBoard.OwnWork(aNow);
  report.mRecords = mBoard.OwnRecords(aNow);
  snapshot taken{ mSequence, {} };
  for (auto& work : report.mWork) {
    work.mAddedTokens = mParts.OwnAdded(work.mBackend);
    taken.mWork[work.mBackend] = work;
  }
  mSnapshots.push_back(std::move(taken));
  if (mSnapshots.size() > kMostSnapshots) {
    mSnapshots.pop_front();
  }
  report.mFacts.mKept = mParts.TakeFresh();
  std::erase_if(mOwnChanging, [&](const auto& aEntry) { return aNow >= aEntry.second; });
  for (const auto& [key, until] : mOwnChanging) {
    const auto left = std::chrono::duration_cast<milliseconds>(until - aNow);
    report.mFacts.mChanging.push_back({ key, static_cast<std::uint32_t>(left.count()) });
  }
  std::erase_if(mOwnLeaving, [&](const auto& aEntry) { return aNow >= aEntry.second.second; });
  for (const auto& [id, leaving] : mOwnLeaving) {
    report.mFacts.mLeaving.push_back(leaving.first);
  }
  mReportedChanges = mBoard.Changes();
  mReportedAt = aNow;
  return report;
}

void
work_exchange::NoteSilentCollectors(instant aNow)
{
  for (auto reporting = mReportsTo.begin(); reporting != mReportsTo.end();) {
    if (aNow - reporting->second < kCollectorAnswers) {
      ++reporting;
      continue;
    }
    mMembers.OnSilent(reporting->first, aNow);
    reporting = mReportsTo.erase(reporting);
  }
}

void
work_exchange::SendReport(std::vector<outgoing_message>& aOut, instant aNow)
{
  if (!ReportDue(aNow)) {
    return;
  }
  auto report = MakeReport(aNow);
  const auto& self = mMembers.Self();
  const auto most = Connected(aNow) ? fleet_members::kCollectors : kCollectorsTried;
  std::set<std::string_view> chosen;
  outgoing_message out;
  for (const auto* collector : mMembers.Best(self.mDataCentre, most, aNow)) {
    if (collector->mName != self.mName) {
      chosen.insert(collector->mName);
      out.mReceivers.push_back({ collector->mAddress, 0 });
      mReportsTo.try_emplace(collector->mName, aNow);
    }
  }
  std::erase_if(mReportsTo, [&](const auto& aEntry) { return !chosen.contains(aEntry.first); });
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
  // The own report is part of the sums that this daemon would send.
  mSums.OnReport(report, aNow);
  TakeFacts(report.mFacts, true, aNow);
  if (!out.mReceivers.empty()) {
    out.mMessage = std::move(report);
    aOut.push_back(std::move(out));
  }
}

work_summary
work_exchange::Summary(bool aWholeFleet, instant aSince, instant aNow)
{
  work_summary summary;
  summary.mSender = mMembers.Self();
  summary.mSequence = ++mSummarySequence;
  summary.mWholeFleet = aWholeFleet;
  summary.mDaemons = aWholeFleet ? mSums.FleetDaemons(aNow) : mSums.OwnDaemons();
  summary.mNews = aWholeFleet ? mSums.FleetNews() : mSums.OwnNews();
  const auto tell = [&](const told_fact& aFact) {
    return aFact.mAt >= aSince && (aWholeFleet || aFact.mOwnDataCentre);
  };
  for (const auto& [key, fact] : mKept) {
    if (tell(fact.second)) {
      summary.mFacts.mKept.push_back(fact.first);
    }
  }
  for (const auto& [key, fact] : mChanging) {
    if (tell(fact.second) && aNow < fact.first) {
      const auto left = std::chrono::duration_cast<milliseconds>(fact.first - aNow);
      summary.mFacts.mChanging.push_back({ key, static_cast<std::uint32_t>(left.count()) });
    }
  }
  for (const auto& [id, fact] : mLeaving) {
    if (tell(fact.second)) {
      summary.mFacts.mLeaving.push_back(fact.first);
    }
  }
  return summary;
}

void
work_exchange::SendFleetSummary(std::vector<outgoing_message>& aOut, instant aNow)
{
  outgoing_message out;
  const auto& self = mMembers.Self();
  const auto reporters = mSums.Reporters();
  for (const auto* reporter : reporters) {
    if (reporter->mName != self.mName) {
      out.mReceivers.push_back({ reporter->mAddress, mSums.Includes(reporter->mName) });
    }
  }
  const auto pause = Pause(kSummaryPause, out.mReceivers.size(), kSummariesPerSecond);
  const bool news = mSums.Changes() != mSummedChanges;
  if (aNow - mSummarisedAt < (news ? pause : std::max(pause, kSummaryAtLeast))) {
    return;
  }
  mSummedChanges = mSums.Changes();
  mSummarisedAt = aNow;
  const auto work = mSums.Fleet(aNow);
  if (!out.mReceivers.empty()) {
    auto summary = Summary(true, aNow - kFactsInPauses * std::max(pause, kReportPause), aNow);
    for (std::size_t i = 0; i < std::min(kMostMembers, reporters.size()); ++i) {
      summary.mMembers.push_back(*reporters[mNextMember++ % reporters.size()]);
    }
    // The reporters may know of other collectors than those that they should report to.
    for (const auto* member : mMembers.Best(self.mDataCentre, fleet_members::kCollectors, aNow)) {
      summary.mMembers.push_back(*member);
    }
    for (const auto& dataCentre : mMembers.DataCentres()) {
      if (dataCentre != self.mDataCentre) {
        for (const auto* collector : HeardCollectors(dataCentre, aNow)) {
          summary.mMembers.push_back(*collector);
        }
      }
    }
    Split(std::move(summary), work, out.mReceivers, aOut);
  }
  // The collector's own view comes from the same sums, unless another one counts more daemons.
  std::uint32_t most = 0;
  for (const auto& [name, source] : mSources) {
    if (aNow - source.mHeardAt < kSourceLife) {
      most = std::max(most, source.mDaemons);
    }
  }
  const auto daemons = mSums.FleetDaemons(aNow);
  NoteDaemons(daemons, aNow);
  const auto newest = mSums.FleetNews();
  mFleetNews.mConfiguration = std::max(mFleetNews.mConfiguration, newest.mConfiguration);
  mFleetNews.mServers = std::max(mFleetNews.mServers, newest.mServers);
  if (daemons > 1 && daemons >= kComparable * most) {
    auto& source = mSources[self.mName];
    source.mHeardAt = aNow;
    source.mDaemons = daemons;
    mAddedFrom = self.mName;
    mHeardAt = aNow;
    ApplyWork(work, mSums.Includes(self.mName), source, true, aNow);
  }
}

std::vector<const fleet_member*>
work_exchange::HeardCollectors(std::string_view aDataCentre, instant aNow) const
{
  std::vector<const fleet_member*> collectors;
  for (const auto& [name, heardAt] : mAcrossHeard) {
    const auto* member = mMembers.Find(name);
    if (member != nullptr && member->mDataCentre == aDataCentre &&
        aNow - heardAt < kCollectorAnswers && collectors.size() < fleet_members::kCollectors) {
      collectors.push_back(member);
    }
  }
  return collectors;
}

std::vector<const fleet_member*>
work_exchange::CollectorsOf(std::string_view aDataCentre, instant aNow) const
{
  auto collectors = HeardCollectors(aDataCentre, aNow);
  const auto add = [&](const std::vector<const fleet_member*>& aMembers) {
    for (const auto* member : aMembers) {
      if (collectors.size() < fleet_members::kCollectors &&
          std::find(collectors.begin(), collectors.end(), member) == collectors.end()) {
        collectors.push_back(member);
      }
    }
  };
  add(mMembers.Best(aDataCentre, fleet_members::kCollectors, aNow));
  if (collectors.empty()) {
    add(mMembers.Remembered(aDataCentre, fleet_members::kCollectors));
  }
  return collectors;
}

void
work_exchange::SendAcross(std::vector<outgoing_message>& aOut, instant aNow)
{
  const auto& self = mMembers.Self();
  std::vector<outgoing_message::receiver> receivers;
  if (mMembers.IsBest(fleet_members::kCollectors, aNow)) {
    for (const auto& dataCentre : mMembers.DataCentres()) {
      if (dataCentre != self.mDataCentre) {
        for (const auto* collector : CollectorsOf(dataCentre, aNow)) {
          receivers.push_back({ collector->mAddress, 0 });
        }
      }
    }
  }
  const auto pause = Pause(kAcrossPause, receivers.size(), kAcrossPerSecond);
  const bool news = mSums.Changes() != mAcrossChanges;
  const bool due = aNow - mAcrossAt >= (news ? pause : std::max(pause, kSummaryAtLeast));
  if (!due && mJoining.empty()) {
    return;
  }
  if (!due) {
    receivers.clear();
  }
  // Daemons that report here from other data centres look for collectors of their own.
  for (auto& [name, address] : std::exchange(mJoining, {})) {
    receivers.push_back({ address, 0 });
  }
  if (receivers.empty()) {
    return;
  }
  if (due) {
    mAcrossChanges = mSums.Changes();
    mAcrossAt = aNow;
  }
  auto summary = Summary(false, aNow - kFactsInPauses * std::max(pause, kReportPause), aNow);
  for (const auto& dataCentre : mMembers.DataCentres()) {
    for (const auto* member : mMembers.Best(dataCentre, fleet_members::kCollectors, aNow)) {
      summary.mMembers.push_back(*member);
    }
  }
  summary.mRecords = mSums.OwnRecords(aNow);
  if (summary.mRecords.size() > kMostRecords) {
    summary.mRecords.resize(kMostRecords);
  }
  Split(std::move(summary), mSums.Own(aNow), receivers, aOut);
}

std::vector<outgoing_message>
work_exchange::OnTick(instant aNow)
{
  std::vector<outgoing_message> out;
  if (aNow - mTickedAt >= kOwnPause) {
    // Answers of collectors may wait to be read.
    for (auto& [name, since] : mReportsTo) {
      since = aNow;
    }
  }
  mTickedAt = aNow;
  mMembers.OnTick(aNow);
  mSums.OnTick(aNow);
  const auto forget = [&](const auto& aEntry) {
    return aNow - aEntry.second.second.mAt >= kFactLife;
  };
  std::erase_if(mKept, forget);
  std::erase_if(mChanging, forget);
  std::erase_if(mLeaving, forget);
  std::erase_if(mAcrossHeard,
                [&](const auto& aEntry) { return aNow - aEntry.second >= kFactLife; });
  std::erase_if(mSources,
                [&](const auto& aEntry) { return aNow - aEntry.second.mHeardAt >= kDaemonsSpan; });
  mBoard.SetFleet(Hash64(mMembers.Self().mName), Daemons());
  NoteSilentCollectors(aNow);
  SendReport(out, aNow);
  SendFleetSummary(out, aNow);
  SendAcross(out, aNow);
  return out;
}

bool
work_exchange::Connected(instant aNow) const
{
  return mHeardAt != instant{} && aNow - mHeardAt < kCollectorAnswers;
}

bool
work_exchange::MissesDataCentre(instant aNow) const
{
  const auto dataCentres = mMembers.DataCentres();
  return std::any_of(dataCentres.begin(), dataCentres.end(), [&](const auto& aDataCentre) {
    return aDataCentre != mMembers.Self().mDataCentre && HeardCollectors(aDataCentre, aNow).empty();
  });
}

void
work_exchange::NoteDaemons(std::uint32_t aDaemons, instant aNow)
{
  if (aNow - mSpanBegan >= kDaemonsSpan) {
    mMostDaemonsBefore = aNow - mSpanBegan < 2 * kDaemonsSpan ? mMostDaemons : 0;
    mMostDaemons = 0;
    mSpanBegan = aNow;
  }
  mMostDaemons = std::max(mMostDaemons, aDaemons);
}

std::uint32_t
work_exchange::Daemons() const
{
  const auto listed = static_cast<std::uint32_t>(mMembers.Known()) + 1;
  return std::max({ listed, mMostDaemons, mMostDaemonsBefore });
}

} // namespace skylarkwind
