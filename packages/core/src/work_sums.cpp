#include "skylarkwind/work_sums.h"

#include <algorithm>
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
/// Sums that became zero are told for this long, in case a message is lost.
constexpr milliseconds kToldAsNone{ 600 };

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
work_sums::Grown(added_counts& aCounts, const backend_work& aWork)
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
    mSums[work.mBackend].mAdded += Grown(known.mAdded, work);
  }
  return true;
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
    const auto grown = Grown(told.mAdded, work);
    mSums[work.mBackend].mAddedByOthers += counts ? grown : 0;
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
    if (sum.mRunning > 0 || sum.mPrefillTokens > 0 || aNow - sum.mChangedAt < kToldAsNone) {
      work.push_back({ key,
                       static_cast<std::uint32_t>(std::max<std::int64_t>(0, sum.mPrefillTokens)),
                       static_cast<std::uint32_t>(std::max<std::int64_t>(0, sum.mRunning)),
                       sum.mAdded });
    }
  }
  return work;
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
  for (const auto& work : Own(aNow)) {
    sums[work.mBackend] = work;
  }
  for (const auto& [dataCentre, other] : mOthers) {
    for (const auto& [key, entry] : BestOf(other, aNow)->mWork) {
      auto& sum = sums[key];
      sum.mBackend = key;
      sum.mPrefillTokens += entry.first.mPrefillTokens;
      sum.mRunning += entry.first.mRunning;
    }
  }
  std::vector<backend_work> work;
  work.reserve(sums.size());
  for (const auto& [key, sum] : sums) {
    work.push_back(sum);
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
