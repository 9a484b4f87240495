#include "skylarkwind/admission.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// Weight of a new sample in the average time between two requests: about the last ten count.
constexpr double kSampleWeight = 0.2;

} // namespace

service_queue::push_result
service_queue::Push(const waiting_request& aRequest, std::uint32_t aLimit, instant aNow)
{
  push_result result;
  result.mExpectedWait = ExpectedWait(aRequest.mPriority, aNow);
  if (aNow + result.mExpectedWait > aRequest.mDeadline) {
    result.mVerdict = verdict::WaitTooLong;
    return result;
  }
  if (mWaiting.size() >= aLimit) {
    if (mWaiting.empty() || mWaiting.rbegin()->second.mPriority >= aRequest.mPriority) {
      result.mVerdict = verdict::Full;
      return result;
    }
    result.mDisplaced = mWaiting.rbegin()->second.mRequest;
    Remove(*result.mDisplaced);
  }
  if (mWaiting.empty()) {
    mLastDequeue = aNow;
  }
  const queue_position key{ -aRequest.mPriority, ++mArrivalCount };
  mWaiting.emplace(key, aRequest);
  mKeys.emplace(aRequest.mRequest, key);
  return result;
}

void
service_queue::Take(request_id aRequest, instant aNow)
{
  if (!mKeys.contains(aRequest)) {
    return;
  }
  const double seconds = std::chrono::duration<double>(aNow - mLastDequeue).count();
  mLastDequeue = aNow;
  mMeanDequeueSeconds = mMeanDequeueSeconds
                          ? *mMeanDequeueSeconds + kSampleWeight * (seconds - *mMeanDequeueSeconds)
                          : seconds;
  Remove(aRequest);
}

void
service_queue::Remove(request_id aRequest)
{
  const auto found = mKeys.find(aRequest);
  if (found != mKeys.end()) {
    mWaiting.erase(found->second);
    mKeys.erase(found);
  }
}

std::vector<request_id>
service_queue::InOrder() const
{
  std::vector<request_id> order;
  order.reserve(mWaiting.size());
  for (const auto& [key, waiting] : mWaiting) {
    order.push_back(waiting.mRequest);
  }
  return order;
}

std::chrono::milliseconds
service_queue::ExpectedWait(int aPriority, instant aNow) const
{
  if (!mMeanDequeueSeconds || mWaiting.empty()) {
    return std::chrono::milliseconds{ 0 };
  }
  // A current pause that is already longer than the average counts as a sample.
  const double pause = std::chrono::duration<double>(aNow - mLastDequeue).count();
  const double interval = std::max(
    *mMeanDequeueSeconds, *mMeanDequeueSeconds + kSampleWeight * (pause - *mMeanDequeueSeconds));
  const auto requestsAhead = std::ranges::count_if(
    mWaiting, [&](const auto& aEntry) { return aEntry.second.mPriority >= aPriority; });
  const double milliseconds = static_cast<double>(requestsAhead + 1) * interval * 1'000;
  return std::chrono::milliseconds{ static_cast<std::int64_t>(std::min(milliseconds, 1e9)) };
}

service_queue::totals
service_queue::Totals() const
{
  totals sum;
  for (const auto& [key, waiting] : mWaiting) {
    sum.mPromptTokens += waiting.mPromptTokens;
    sum.mOutputTokens += waiting.mOutputTokens;
  }
  return sum;
}

instant
admission::Deadline(std::chrono::milliseconds aServiceLimit,
                    std::optional<std::chrono::milliseconds> aCallerLimit,
                    instant aNow)
{
  return aNow + (aCallerLimit ? std::min(aServiceLimit, *aCallerLimit) : aServiceLimit);
}

service_queue&
admission::Queue(std::string_view aService)
{
  const auto found = mQueues.find(aService);
  return found != mQueues.end()
           ? found->second
           : mQueues.emplace(std::string{ aService }, service_queue{}).first->second;
}

} // namespace skylarkwind
