#include "skylarkwind/load_aggregator.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// The load of a daemon that has sent nothing for this long, several times the longest interval
/// between its reports, is no longer counted.
constexpr milliseconds kReporterTimeout{ 1'500 };
constexpr milliseconds kRemoteCollectorTimeout{ 1'500 };
/// A collector that has sent nothing for this long is replaced as the source of added tokens, and
/// others are preferred for their sums.
constexpr milliseconds kStaleAfter{ 500 };
/// Weights of a new measurement in the smoothed slowdown of a server and in the usual slowdown.
constexpr double kSlowdownWeight = 0.15;
constexpr double kUsualSlowdownWeight = 0.02;
constexpr std::chrono::duration<double> kSlowdownHalfLife{ 6 };
/// Outcomes at a server are sent to other data centres for this long after a bad one.
constexpr milliseconds kBadOutcomePeriod{ 2'000 };
/// Sums that became zero are sent for this long, in case a message is lost.
constexpr milliseconds kZeroLoadPeriod{ 600 };

std::uint32_t
Increase(std::uint32_t aOld, std::uint32_t aNew)
{
  return aNew > aOld ? aNew - aOld : 0;
}

server_outcomes
Increase(const server_outcomes& aOld, const server_outcomes& aNew)
{
  return { Increase(aOld.mAnswered, aNew.mAnswered),
           Increase(aOld.mRefused, aNew.mRefused),
           Increase(aOld.mFailed, aNew.mFailed),
           Increase(aOld.mLost, aNew.mLost) };
}

void
MergeNewest(store_revisions& aInto, const store_revisions& aRevisions)
{
  aInto.mConfiguration = std::max(aInto.mConfiguration, aRevisions.mConfiguration);
  aInto.mServers = std::max(aInto.mServers, aRevisions.mServers);
}

} // namespace

load_aggregator::load_aggregator(std::string aDataCentre)
  : mDataCentre(std::move(aDataCentre))
{
}

void
load_aggregator::AddLoad(const std::vector<dispatched_load>& aDispatchedLoad,
                         int aSign,
                         instant aNow)
{
  for (const auto& work : aDispatchedLoad) {
    auto& sum = mSums[work.mBackend];
    sum.mPrefillTokens += aSign * static_cast<std::int64_t>(work.mPrefillTokens);
    sum.mRunning += aSign * static_cast<std::int64_t>(work.mRunning);
    sum.mChangedAt = aNow;
  }
  ++mChanges;
}

std::uint64_t
load_aggregator::AddedTokensSinceLast(added_counts& aCounts, const dispatched_load& aDispatchedLoad)
{
  auto& known = aCounts[aDispatchedLoad.mBackend];
  const auto before = std::exchange(known, aDispatchedLoad.mAddedTokens);
  return aDispatchedLoad.mAddedTokens > before ? aDispatchedLoad.mAddedTokens - before : 0;
}

bool
load_aggregator::OnReport(const load_report& aReport, instant aNow)
{
  auto& known = mReporters[aReport.mSender.mName];
  if (known.mMember.mStart != aReport.mSender.mStart) {
    known.mSequence = 0;
    known.mAdded.clear();
    known.mRecords.clear();
  }
  if (aReport.mSequence <= known.mSequence) {
    return false;
  }
  AddLoad(known.mDispatchedLoad, -1, aNow);
  if (aReport.mSender.mIsStopping && aReport.mDispatchedLoad.empty()) {
    mReporters.erase(aReport.mSender.mName);
    return true;
  }
  known.mMember = aReport.mSender;
  known.mSequence = aReport.mSequence;
  known.mHeardAt = aNow;
  known.mRevisions = aReport.mStoreRevisions;
  known.mDispatchedLoad = aReport.mDispatchedLoad;
  AddLoad(known.mDispatchedLoad, 1, aNow);
  for (const auto& work : known.mDispatchedLoad) {
    mSums[work.mBackend].mAdded += AddedTokensSinceLast(known.mAdded, work);
  }
  for (const auto& record : aReport.mRecords) {
    AddRecord(record, known, aNow);
  }
  return true;
}

void
load_aggregator::AddRecord(const backend_statistics& aRecord, reporter& aReporter, instant aNow)
{
  auto& known = aReporter.mRecords[aRecord.mBackend];
  const auto before = std::exchange(known, aRecord);
  const auto fresh = Increase(before.mOutcomes, aRecord.mOutcomes);
  auto& sum = mSums[aRecord.mBackend];
  if (fresh.Sum() > 0) {
    sum.mCircuitBreaker.OnOutcomes(fresh, aReporter.mMember.mStart, aNow);
    sum.mFleetCircuitBreaker.OnOutcomes(fresh, aReporter.mMember.mStart, aNow);
    sum.mOutcomes.mAnswered += fresh.mAnswered;
    sum.mOutcomes.mRefused += fresh.mRefused;
    sum.mOutcomes.mFailed += fresh.mFailed;
    sum.mOutcomes.mLost += fresh.mLost;
    sum.mChangedAt = aNow;
    if (fresh.Sum() > fresh.mAnswered) {
      sum.mLastBadOutcomeAt = aNow;
    }
  }
  const auto measured = Increase(before.mSlowdownCount, aRecord.mSlowdownCount);
  if (measured == 0) {
    return;
  }
  const double mean = (aRecord.mLogSlowdownSum - before.mLogSlowdownSum) / measured;
  const auto smooth = [&](double& aValue, std::uint32_t& aCount, double aStep) {
    for (std::uint32_t i = 0; i < measured; ++i) {
      aValue += std::max(aStep, 1.0 / (1 + aCount++)) * (mean - aValue);
    }
  };
  sum.mLogSlowdown = sum.mMeasurements == 0 ? 0 : std::log(Slowdown(sum, aNow));
  sum.mSlowdownAt = aNow;
  smooth(sum.mLogSlowdown, sum.mMeasurements, kSlowdownWeight);
  // Plain servers have no KV cache and say nothing about engines.
  if (sum.mAdded > 0) {
    smooth(mUsualLogSlowdown, mMeasurements, kUsualSlowdownWeight);
  }
}

double
load_aggregator::Slowdown(const sum& aSum, instant aNow) const
{
  if (aSum.mMeasurements == 0) {
    return 0;
  }
  const std::chrono::duration<double> age{ aNow - aSum.mSlowdownAt };
  const double remaining = std::exp2(-(age / kSlowdownHalfLife));
  const double usual = aSum.mAdded > 0 ? mUsualLogSlowdown : 0;
  return std::exp(usual + remaining * (aSum.mLogSlowdown - usual));
}

void
load_aggregator::OnDataCentreSummary(const load_summary& aSummary, instant aNow)
{
  auto& other = mOthers[aSummary.mSender.mDataCentre];
  auto& received = other.mCollectors[aSummary.mSender.mName];
  const bool restarted = received.mStart != aSummary.mSender.mStart;
  if (aSummary.mSequence < received.mSequence && !restarted) {
    return;
  }
  if (restarted) {
    received = {};
    received.mStart = aSummary.mSender.mStart;
  }
  received.mSequence = aSummary.mSequence;
  received.mHeardAt = aNow;
  received.mDaemons = aSummary.mDaemons;
  received.mRevisions = aSummary.mStoreRevisions;
  // The collectors of a data centre report the same added tokens; only the counts of one are used,
  // as long as it keeps sending.
  const auto counted = other.mCollectors.find(other.mAddedSource);
  if (counted == other.mCollectors.end() || aNow - counted->second.mHeardAt >= kStaleAfter) {
    other.mAddedSource = aSummary.mSender.mName;
  }
  const bool counts = !restarted && other.mAddedSource == aSummary.mSender.mName;
  for (const auto& work : aSummary.mDispatchedLoad) {
    received.mDispatchedLoad[work.mBackend] = { work, aNow };
    const auto increase = AddedTokensSinceLast(received.mAdded, work);
    mSums[work.mBackend].mAddedElsewhere += counts ? increase : 0;
  }
  for (const auto& record : aSummary.mRecords) {
    const auto [known, first] = received.mOutcomes.try_emplace(record.mBackend);
    auto fresh = Increase(std::exchange(known->second, record.mOutcomes), record.mOutcomes);
    if (first) {
      // The totals include outcomes of long ago, but a record is only sent after a recent bad
      // outcome, so that at most one refusal and one loss count.
      fresh = { 0, std::min(1U, fresh.mRefused), 0, std::min(1U, fresh.mLost) };
    }
    if (counts && fresh.Sum() > 0) {
      mSums[record.mBackend].mFleetCircuitBreaker.OnOutcomes(fresh, aSummary.mSender.mStart, aNow);
    }
  }
  ++mChanges;
}

void
load_aggregator::OnTick(instant aNow)
{
  for (auto known = mReporters.begin(); known != mReporters.end();) {
    if (aNow - known->second.mHeardAt < kReporterTimeout) {
      ++known;
      continue;
    }
    AddLoad(known->second.mDispatchedLoad, -1, aNow);
    known = mReporters.erase(known);
  }
  for (auto other = mOthers.begin(); other != mOthers.end();) {
    auto& collectors = other->second.mCollectors;
    std::erase_if(collectors, [&](const auto& aEntry) {
      return aNow - aEntry.second.mHeardAt >= kRemoteCollectorTimeout;
    });
    for (auto& [name, received] : collectors) {
      std::erase_if(received.mDispatchedLoad, [&](const auto& aEntry) {
        return aNow - aEntry.second.second >= kRemoteCollectorTimeout;
      });
    }
    other = collectors.empty() ? mOthers.erase(other) : std::next(other);
  }
}

std::vector<dispatched_load>
load_aggregator::LocalLoad(instant aNow) const
{
  std::vector<dispatched_load> work;
  for (const auto& [key, sum] : mSums) {
    const bool circuitOpen = CircuitOpen(sum, aNow);
    if (!circuitOpen && sum.mRunning <= 0 && sum.mPrefillTokens <= 0 &&
        aNow - sum.mChangedAt >= kZeroLoadPeriod) {
      continue;
    }
    work.push_back({ key,
                     static_cast<std::uint32_t>(std::max<std::int64_t>(0, sum.mPrefillTokens)),
                     static_cast<std::uint32_t>(std::max<std::int64_t>(0, sum.mRunning)),
                     sum.mAdded,
                     Slowdown(sum, aNow),
                     sum.mCircuitBreaker.FailureRatio(aNow),
                     circuitOpen });
  }
  return work;
}

bool
load_aggregator::CircuitOpen(const sum& aSum, instant aNow)
{
  // A server may be failing for one data centre only, so that answers seen here keep it in use.
  return aSum.mCircuitBreaker.IsOpen(aNow) ||
         (aSum.mFleetCircuitBreaker.IsOpen(aNow) && !aSum.mCircuitBreaker.MostlyAnswers(aNow));
}

std::vector<backend_statistics>
load_aggregator::LocalRecords(instant aNow) const
{
  std::vector<backend_statistics> records;
  for (const auto& [key, sum] : mSums) {
    if (sum.mLastBadOutcomeAt != instant{} && aNow - sum.mLastBadOutcomeAt < kBadOutcomePeriod) {
      records.push_back({ key, sum.mOutcomes });
    }
  }
  return records;
}

const load_aggregator::collector_sums*
load_aggregator::PreferredCollector(const remote_data_centre& aOther, instant aNow)
{
  const auto rank = [aNow](const collector_sums& aSums) {
    const bool fresh = aNow - aSums.mHeardAt < kStaleAfter;
    return std::tuple{ fresh, aSums.mDaemons, aSums.mHeardAt };
  };
  const collector_sums* best = nullptr;
  for (const auto& [name, received] : aOther.mCollectors) {
    if (best == nullptr || rank(received) > rank(*best)) {
      best = &received;
    }
  }
  return best;
}

std::vector<dispatched_load>
load_aggregator::FleetLoad(instant aNow) const
{
  std::map<backend_key, dispatched_load> sums;
  std::map<backend_key, std::pair<double, int>> slow; ///< sum of logarithms, and their number
  for (const auto& work : LocalLoad(aNow)) {
    sums[work.mBackend] = work;
    if (work.mSlowdown > 0) {
      slow[work.mBackend] = { std::log(work.mSlowdown), 1 };
    }
  }
  for (const auto& [dataCentre, other] : mOthers) {
    for (const auto& [key, entry] : PreferredCollector(other, aNow)->mDispatchedLoad) {
      auto& sum = sums[key];
      sum.mBackend = key;
      const auto& received = entry.first;
      sum.mPrefillTokens += received.mPrefillTokens;
      sum.mRunning += received.mRunning;
      // A server may be failing for one data centre only, so that recent outcomes seen here take
      // precedence.
      const auto own = mSums.find(key);
      if (own == mSums.end() || !own->second.mCircuitBreaker.HasRecentOutcomes(aNow)) {
        sum.mFailureRatio = std::max(sum.mFailureRatio, received.mFailureRatio);
      }
      if (received.mSlowdown > 0) {
        auto& [logs, count] = slow[key];
        logs += std::log(received.mSlowdown);
        ++count;
      }
    }
  }
  std::vector<dispatched_load> work;
  work.reserve(sums.size());
  for (const auto& [key, sum] : sums) {
    work.push_back(sum);
    if (const auto logs = slow.find(key); logs != slow.end()) {
      work.back().mSlowdown = std::exp(logs->second.first / logs->second.second);
    }
    if (const auto own = mSums.find(key); own != mSums.end()) {
      work.back().mAddedTokens = own->second.mAdded + own->second.mAddedElsewhere;
    }
  }
  return work;
}

std::uint32_t
load_aggregator::FleetDaemons(instant aNow) const
{
  auto daemons = LocalDaemons();
  for (const auto& [dataCentre, other] : mOthers) {
    daemons += PreferredCollector(other, aNow)->mDaemons;
  }
  return daemons;
}

store_revisions
load_aggregator::LocalRevisions() const
{
  store_revisions revisions;
  for (const auto& [name, known] : mReporters) {
    MergeNewest(revisions, known.mRevisions);
  }
  return revisions;
}

store_revisions
load_aggregator::FleetRevisions() const
{
  auto revisions = LocalRevisions();
  for (const auto& [dataCentre, other] : mOthers) {
    for (const auto& [name, received] : other.mCollectors) {
      MergeNewest(revisions, received.mRevisions);
    }
  }
  return revisions;
}

std::uint64_t
load_aggregator::NewestSequence(std::string_view aName) const
{
  const auto found = mReporters.find(aName);
  return found == mReporters.end() ? 0 : found->second.mSequence;
}

std::vector<const fleet_member*>
load_aggregator::Reporters() const
{
  std::vector<const fleet_member*> members;
  for (const auto& [name, known] : mReporters) {
    members.push_back(&known.mMember);
  }
  return members;
}

} // namespace skylarkwind
