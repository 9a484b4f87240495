#include "skylarkwind/usage_counts.h"

#include "skylarkwind/hash.h"

#include <algorithm>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds kSamplePeriod{ 1 };
/// Longest list of daemons, collectors or windows with accounts that is kept, against messages
/// without end: four times the 350 daemons of the largest deployment.
constexpr std::size_t kMaxSources = 1'400;
/// Counts of one source: 10,000 accounts, the design size, in the 24 windows that are kept and in
/// one more until the oldest is dropped.
constexpr std::size_t kMaxCountsPerSource = 250'000;

milliseconds
SinceStart(instant aNow)
{
  return std::chrono::duration_cast<milliseconds>(aNow.time_since_epoch());
}

} // namespace

account_key
AccountKey(std::string_view aName)
{
  return Hash64(aName);
}

void
true_time::OnTick(wall_instant aTimeOfDay, instant aNow)
{
  if (mSampledAt && aNow - *mSampledAt < kSamplePeriod) {
    return;
  }
  mSampledAt = aNow;
  mOffsets.push_back(aTimeOfDay.time_since_epoch() - SinceStart(aNow));
  if (mOffsets.size() > kSamples) {
    mOffsets.pop_front();
  }
  std::vector<milliseconds> sorted{ mOffsets.begin(), mOffsets.end() };
  const auto middle = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 2);
  std::nth_element(sorted.begin(), middle, sorted.end());
  mOffset = *middle;
}

wall_instant
true_time::At(instant aNow) const
{
  return mSampledAt ? wall_instant{ SinceStart(aNow) + mOffset } : wall_instant{};
}

std::uint64_t
UsageWindowAt(wall_instant aTime, std::chrono::milliseconds aWindow)
{
  return static_cast<std::uint64_t>(std::max<std::int64_t>(0, aTime.time_since_epoch() / aWindow));
}

std::uint64_t
usage_counter::WindowAt(wall_instant aTime) const
{
  return UsageWindowAt(aTime, mWindow);
}

wall_instant
usage_counter::EndOf(std::uint64_t aWindow) const
{
  return wall_instant{ mWindow * static_cast<std::int64_t>(aWindow + 1) };
}

void
usage_counter::OnRequestBegan(std::string_view aAccount, wall_instant aAt)
{
  ++mCounts[{ WindowAt(aAt), AccountKey(aAccount) }];
  ++mChanges;
}

std::vector<usage_count>
usage_counter::CountsFrom(std::uint64_t aWindow) const
{
  std::vector<usage_count> counts;
  for (auto it = mCounts.lower_bound({ aWindow, 0 }); it != mCounts.end(); ++it) {
    counts.push_back({ it->first.first, it->first.second, it->second });
  }
  return counts;
}

void
usage_counter::DropBefore(std::uint64_t aWindow)
{
  mCounts.erase(mCounts.begin(), mCounts.lower_bound({ aWindow, 0 }));
}

void
usage_collector::Merge(window_counts& aInto, const std::vector<usage_count>& aCounts)
{
  for (const auto& count : aCounts) {
    const std::pair key{ count.mWindow, count.mAccount };
    if (aInto.size() < kMaxCountsPerSource) {
      auto& known = aInto[key];
      known = std::max(known, count.mRequests);
    } else if (const auto known = aInto.find(key); known != aInto.end()) {
      // A full list takes no further entries, but those in it still grow.
      known->second = std::max(known->second, count.mRequests);
    }
  }
}

void
usage_collector::OnMessage(const usage_message& aMessage)
{
  const std::pair source{ aMessage.mSender, aMessage.mStart };
  if (aMessage.mIsSum) {
    auto& collectors = mSums[aMessage.mDataCentre];
    if (collectors.size() < kMaxSources || collectors.contains(source)) {
      Merge(collectors[source], aMessage.mCounts);
    }
  } else if (aMessage.mDataCentre == mDataCentre &&
             (mDaemons.size() < kMaxSources || mDaemons.contains(source))) {
    Merge(mDaemons[source], aMessage.mCounts);
  }
}

std::vector<usage_count>
usage_collector::LocalSumsFrom(std::uint64_t aWindow) const
{
  window_counts sums;
  for (const auto& [source, counts] : mDaemons) {
    for (auto it = counts.lower_bound({ aWindow, 0 }); it != counts.end(); ++it) {
      sums[it->first] += it->second;
    }
  }
  std::vector<usage_count> list;
  list.reserve(sums.size());
  for (const auto& [key, requests] : sums) {
    list.push_back({ key.first, key.second, requests });
  }
  return list;
}

std::map<account_key, std::uint64_t>
usage_collector::Total(std::uint64_t aWindow) const
{
  const auto forWindow = [aWindow](const window_counts& aCounts, auto&& aVisit) {
    for (auto it = aCounts.lower_bound({ aWindow, 0 });
         it != aCounts.end() && it->first.first == aWindow;
         ++it) {
      aVisit(it->first.second, it->second);
    }
  };
  std::map<std::string, std::map<account_key, std::uint64_t>> largest;
  auto& local = largest[mDataCentre];
  for (const auto& [source, counts] : mDaemons) {
    forWindow(counts, [&local](account_key aAccount, std::uint64_t aRequests) {
      local[aAccount] += aRequests;
    });
  }
  for (const auto& [dataCentre, collectors] : mSums) {
    auto& sums = largest[dataCentre];
    for (const auto& [source, counts] : collectors) {
      forWindow(counts, [&sums](account_key aAccount, std::uint64_t aRequests) {
        sums[aAccount] = std::max(sums[aAccount], aRequests);
      });
    }
  }
  std::map<account_key, std::uint64_t> total;
  for (const auto& [dataCentre, sums] : largest) {
    for (const auto& [account, requests] : sums) {
      total[account] += requests;
    }
  }
  return total;
}

void
usage_collector::DropBefore(window_counts& aCounts, std::uint64_t aWindow)
{
  aCounts.erase(aCounts.begin(), aCounts.lower_bound({ aWindow, 0 }));
}

void
usage_collector::DropBefore(std::uint64_t aWindow)
{
  const auto drop = [aWindow](auto& aSources) {
    for (auto& [source, counts] : aSources) {
      DropBefore(counts, aWindow);
    }
    std::erase_if(aSources, [](const auto& aSource) { return aSource.second.empty(); });
  };
  drop(mDaemons);
  for (auto& [dataCentre, collectors] : mSums) {
    drop(collectors);
  }
  std::erase_if(mSums, [](const auto& aSum) { return aSum.second.empty(); });
}

} // namespace skylarkwind
