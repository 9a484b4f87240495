#include "skylarkwind/work_sums.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// A daemon that sent nothing for this long, several times the longest pause between its reports,
/// does no work that counts.
constexpr milliseconds kReporterLife{ 1'500 };
constexpr milliseconds kCollectorLife{ 1'500 };
/// A collector that was not heard of for this long is replaced as the source of added tokens.
constexpr milliseconds kReplacedAfter{ 500 };
/// Weight of a new measurement of a server's slowdown, and of the usual one.
constexpr double kSlowStep = 0.15;
constexpr double kUsualStep = 0.02;
constexpr std::chrono::duration<double> kSlowHalfLife{ 6 };
/// Outcomes at a server are told to other data centres for this long after a bad one.
constexpr milliseconds kToldAsBad{ 2'000 };
/// Sums that became zero are told for this long, in case a message is lost.
constexpr milliseconds kToldAsNone{ 600 };

std::uint32_t
Grown(std::uint32_t aOld, std::uint32_t aNew)
{
  return aNew > aOld ? aNew - aOld : 0;
}

server_outcomes
Grown(const server_outcomes& aOld, const server_outcomes& aNew)
{
  return { Grown(aOld.mAnswered, aNew.mAnswered),
           Grown(aOld.mRefused, aNew.mRefused),
           Grown(aOld.mFailed, aNew.mFailed),
           Grown(aOld.mLost, aNew.mLost) };
}

void
Newest(store_news& aInto, const store_news& aNews)
{
  aInto.mConfiguration = std::max(aInto.mConfiguration, aNews.mConfiguration);
  aInto.mServers = std::max(aInto.mServers, aNews.mServers);
}

} // namespace

work_sums::work_sums(std::string aDataCentre)
  : mDataCentre(std::move(aDataCentre))
{
}

void
work_sums::Take(const std::vector<backend_work>& aWork, int aSign, instant aNow)
{
  for (const auto& work : aWork) {
    auto& sum = mSums[work.mBackend];
    sum.mPrefillTokens += aSign * static_cast<std::int64_t>(work.mPrefillTokens);
    sum.mRunning += aSign * static_cast<std::int64_t>(work.mRunning);
    sum.mChangedAt = aNow;
  }
  ++mChanges;
}

std::uint64_t
work_sums::AddedSince(added_counts& aCounts, const backend_work& aWork)
{
  auto& known = aCounts[aWork.mBackend];
  const auto before = std::exchange(known, aWork.mAddedTokens);
  return aWork.mAddedTokens > before ? aWork.mAddedTokens - before : 0;
}

bool
work_sums::OnReport(const work_report& aReport, instant aNow)
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
  Take(known.mWork, -1, aNow);
  if (aReport.mSender.mStops && aReport.mWork.empty()) {
    mReporters.erase(aReport.mSender.mName);
    return true;
  }
  known.mMember = aReport.mSender;
  known.mSequence = aReport.mSequence;
  known.mHeardAt = aNow;
  known.mNews = aReport.mNews;
  known.mWork = aReport.mWork;
  Take(known.mWork, 1, aNow);
  for (const auto& work : known.mWork) {
    mSums[work.mBackend].mAdded += AddedSince(known.mAdded, work);
  }
  for (const auto& record : aReport.mRecords) {
    Take(record, known, aNow);
  }
  return true;
}

void
work_sums::Take(const backend_record& aRecord, reporter& aReporter, instant aNow)
{
  auto& known = aReporter.mRecords[aRecord.mBackend];
  const auto before = std::exchange(known, aRecord);
  const auto fresh = Grown(before.mOutcomes, aRecord.mOutcomes);
  auto& sum = mSums[aRecord.mBackend];
  if (fresh.Sum() > 0) {
    sum.mEvidence.OnOutcomes(fresh, aReporter.mMember.mStart, aNow);
    sum.mFleetEvidence.OnOutcomes(fresh, aReporter.mMember.mStart, aNow);
    sum.mOutcomes.mAnswered += fresh.mAnswered;
    sum.mOutcomes.mRefused += fresh.mRefused;
    sum.mOutcomes.mFailed += fresh.mFailed;
    sum.mOutcomes.mLost += fresh.mLost;
    sum.mChangedAt = aNow;
    if (fresh.Sum() > fresh.mAnswered) {
      sum.mBadAt = aNow;
    }
  }
  const auto measured = Grown(before.mSlowCount, aRecord.mSlowCount);
  if (measured == 0) {
    return;
  }
  const double mean = (aRecord.mSlowSum - before.mSlowSum) / measured;
  const auto smooth = [&](double& aValue, std::uint32_t& aCount, double aStep) {
    for (std::uint32_t i = 0; i < measured; ++i) {
      aValue += std::max(aStep, 1.0 / (1 + aCount++)) * (mean - aValue);
    }
  };
  sum.mSlowLog = sum.mSlowCount == 0 ? 0 : std::log(Slowdown(sum, aNow));
  sum.mSlowAt = aNow;
  smooth(sum.mSlowLog, sum.mSlowCount, kSlowStep);
  smooth(mUsualSlowLog, mMeasurements, kUsualStep);
}

double
work_sums::Slowdown(const sum& aSum, instant aNow) const
{
  if (aSum.mSlowCount == 0) {
    return 0;
  }
  const std::chrono::duration<double> age{ aNow - aSum.mSlowAt };
  const double kept = std::exp2(-(age / kSlowHalfLife));
  return std::exp(mUsualSlowLog + kept * (aSum.mSlowLog - mUsualSlowLog));
}

void
work_sums::OnOtherDataCentre(const work_summary& aSummary, instant aNow)
{
  auto& other = mOthers[aSummary.mSender.mDataCentre];
  auto& told = other.mCollectors[aSummary.mSender.mName];
  const bool restarted = told.mStart != aSummary.mSender.mStart;
  if (aSummary.mSequence < told.mSequence && !restarted) {
    return;
  }
  if (restarted) {
    told = {};
    told.mStart = aSummary.mSender.mStart;
  }
  told.mSequence = aSummary.mSequence;
  told.mHeardAt = aNow;
  told.mDaemons = aSummary.mDaemons;
  told.mNews = aSummary.mNews;
  // Two collectors tell of the same additions; those of one count, as long as it is heard.
  const auto counted = other.mCollectors.find(other.mAddedFrom);
  if (counted == other.mCollectors.end() || aNow - counted->second.mHeardAt >= kReplacedAfter) {
    other.mAddedFrom = aSummary.mSender.mName;
  }
  const bool counts = !restarted && other.mAddedFrom == aSummary.mSender.mName;
  for (const auto& work : aSummary.mWork) {
    told.mWork[work.mBackend] = { work, aNow };
    const auto grown = AddedSince(told.mAdded, work);
    mSums[work.mBackend].mAddedByOthers += counts ? grown : 0;
  }
  for (const auto& record : aSummary.mRecords) {
    const auto [known, first] = told.mOutcomes.try_emplace(record.mBackend);
    auto fresh = Grown(std::exchange(known->second, record.mOutcomes), record.mOutcomes);
    if (first) {
      // The counts hold what is long over; that there is a record means something bad happened now.
      fresh = { 0, std::min(1U, fresh.mRefused), 0, std::min(1U, fresh.mLost) };
    }
    if (counts && fresh.Sum() > 0) {
      mSums[record.mBackend].mFleetEvidence.OnOutcomes(fresh, aSummary.mSender.mStart, aNow);
    }
  }
  ++mChanges;
}

void
work_sums::OnTick(instant aNow)
{
  for (auto known = mReporters.begin(); known != mReporters.end();) {
    if (aNow - known->second.mHeardAt < kReporterLife) {
      ++known;
      continue;
    }
    Take(known->second.mWork, -1, aNow);
    known = mReporters.erase(known);
  }
  for (auto other = mOthers.begin(); other != mOthers.end();) {
    auto& collectors = other->second.mCollectors;
    std::erase_if(collectors, [&](const auto& aEntry) {
      return aNow - aEntry.second.mHeardAt >= kCollectorLife;
    });
    for (auto& [name, told] : collectors) {
      std::erase_if(told.mWork, [&](const auto& aEntry) {
        return aNow - aEntry.second.second >= kCollectorLife;
      });
    }
    other = collectors.empty() ? mOthers.erase(other) : std::next(other);
  }
}

std::vector<backend_work>
work_sums::Own(instant aNow) const
{
  std::vector<backend_work> work;
  for (const auto& [key, sum] : mSums) {
    const bool closed = Closed(sum, aNow);
    if (!closed && sum.mRunning <= 0 && sum.mPrefillTokens <= 0 &&
        aNow - sum.mChangedAt >= kToldAsNone) {
      continue;
    }
    work.push_back({ key,
                     static_cast<std::uint32_t>(std::max<std::int64_t>(0, sum.mPrefillTokens)),
                     static_cast<std::uint32_t>(std::max<std::int64_t>(0, sum.mRunning)),
                     sum.mAdded,
                     Slowdown(sum, aNow),
                     sum.mEvidence.FailedPart(aNow),
                     closed });
  }
  return work;
}

bool
work_sums::Closed(const sum& aSum, instant aNow)
{
  // A server may fail the requests of one data centre only.
  return aSum.mEvidence.Closed(aNow) ||
         (aSum.mFleetEvidence.Closed(aNow) && !aSum.mEvidence.Answers(aNow));
}

std::vector<backend_record>
work_sums::OwnRecords(instant aNow) const
{
  std::vector<backend_record> records;
  for (const auto& [key, sum] : mSums) {
    if (sum.mBadAt != instant{} && aNow - sum.mBadAt < kToldAsBad) {
      records.push_back({ key, sum.mOutcomes });
    }
  }
  return records;
}

const work_sums::told_sums*
work_sums::BestOf(const other_data_centre& aOther, instant aNow)
{
  const auto rank = [aNow](const told_sums& aTold) {
    const bool fresh = aNow - aTold.mHeardAt < kReplacedAfter;
    return std::tuple{ fresh, aTold.mDaemons, aTold.mHeardAt };
  };
  const told_sums* best = nullptr;
  for (const auto& [name, told] : aOther.mCollectors) {
    if (best == nullptr || rank(told) > rank(*best)) {
      best = &told;
    }
  }
  return best;
}

std::vector<backend_work>
work_sums::Fleet(instant aNow) const
{
  std::map<backend_key, backend_work> sums;
  std::map<backend_key, std::pair<double, int>> slow; ///< logarithms, and how many
  for (const auto& work : Own(aNow)) {
    sums[work.mBackend] = work;
    if (work.mSlowdown > 0) {
      slow[work.mBackend] = { std::log(work.mSlowdown), 1 };
    }
  }
  for (const auto& [dataCentre, other] : mOthers) {
    for (const auto& [key, entry] : BestOf(other, aNow)->mWork) {
      auto& sum = sums[key];
      sum.mBackend = key;
      const auto& told = entry.first;
      sum.mPrefillTokens += told.mPrefillTokens;
      sum.mRunning += told.mRunning;
      // A server may fail the requests of one data centre only, so that what was seen here goes
      // first.
      const auto own = mSums.find(key);
      if (own == mSums.end() || !own->second.mEvidence.Fresh(aNow)) {
        sum.mFailedPart = std::max(sum.mFailedPart, told.mFailedPart);
      }
      if (told.mSlowdown > 0) {
        auto& [logs, count] = slow[key];
        logs += std::log(told.mSlowdown);
        ++count;
      }
    }
  }
  std::vector<backend_work> work;
  work.reserve(sums.size());
  for (const auto& [key, sum] : sums) {
    work.push_back(sum);
    if (const auto logs = slow.find(key); logs != slow.end()) {
      work.back().mSlowdown = std::exp(logs->second.first / logs->second.second);
    }
    if (const auto own = mSums.find(key); own != mSums.end()) {
      work.back().mAddedTokens = own->second.mAdded + own->second.mAddedByOthers;
    }
  }
  return work;
}

std::uint32_t
work_sums::FleetDaemons(instant aNow) const
{
  auto daemons = OwnDaemons();
  for (const auto& [dataCentre, other] : mOthers) {
    daemons += BestOf(other, aNow)->mDaemons;
  }
  return daemons;
}

store_news
work_sums::OwnNews() const
{
  store_news news;
  for (const auto& [name, known] : mReporters) {
    Newest(news, known.mNews);
  }
  return news;
}

store_news
work_sums::FleetNews() const
{
  auto news = OwnNews();
  for (const auto& [dataCentre, other] : mOthers) {
    for (const auto& [name, told] : other.mCollectors) {
      Newest(news, told.mNews);
    }
  }
  return news;
}

std::uint64_t
work_sums::Includes(std::string_view aName) const
{
  const auto found = mReporters.find(aName);
  return found == mReporters.end() ? 0 : found->second.mSequence;
}

std::vector<const fleet_member*>
work_sums::Reporters() const
{
  std::vector<const fleet_member*> members;
  for (const auto& [name, known] : mReporters) {
    members.push_back(&known.mMember);
  }
  return members;
}

} // namespace skylarkwind
