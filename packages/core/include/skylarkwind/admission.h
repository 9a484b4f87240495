#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/types.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <vector>

namespace skylarkwind {

/// A request that is queued for capacity.
struct waiting_request
{
  request_id mRequest;
  int mPriority = 0;
  instant mDeadline;
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mOutputTokens = 0; ///< estimated
};

/// Queue of one service: requests of higher priority first, then the earlier arrival.
class service_queue
{
public:
  /// Whether a request was queued, and why not.
  enum class verdict
  {
    Queued,
    Full,        ///< the queue is full, with requests of at least this priority
    WaitTooLong, ///< it would be sent after its deadline
  };

  struct push_result
  {
    verdict mVerdict = verdict::Queued;
    std::chrono::milliseconds mExpectedWait{ 0 };
    /// A request of lower priority that was removed to make room.
    std::optional<request_id> mDisplaced;
  };

  /// Queues a request unless the queue holds `aLimit` requests or the expected wait is too long.
  push_result Push(const waiting_request& aRequest, std::uint32_t aLimit, instant aNow);
  /// Removes a request that is sent now, if it is queued, and updates the measured service rate.
  void Take(request_id aRequest, instant aNow);
  /// Removes a request for any other reason.
  void Remove(request_id aRequest);

  /// All queued requests, the next one first.
  std::vector<request_id> InOrder() const;
  bool Empty() const { return mWaiting.empty(); }
  std::size_t Size() const { return mWaiting.size(); }
  /// Time until a new request of this priority would be sent, at the measured service rate.
  std::chrono::milliseconds ExpectedWait(int aPriority, instant aNow) const;

  struct totals
  {
    std::uint64_t mPromptTokens = 0;
    std::uint64_t mOutputTokens = 0;
  };
  /// Sums over all queued requests.
  totals Totals() const;

private:
  struct queue_position
  {
    int mNegatedPriority = 0;
    std::uint64_t mArrival = 0;
    bool operator<(const queue_position& aOther) const
    {
      return std::tie(mNegatedPriority, mArrival) <
             std::tie(aOther.mNegatedPriority, aOther.mArrival);
    }
  };

  std::map<queue_position, waiting_request> mWaiting;
  std::unordered_map<request_id, queue_position> mKeys;
  std::uint64_t mArrivalCount = 0;
  /// Moving average of the seconds between two requests that are sent while others are queued;
  /// empty before the first.
  std::optional<double> mMeanDequeueSeconds;
  instant mLastDequeue{};
};

/// The queues of all services, and the rule that sets deadlines.
class admission
{
public:
  /// Now plus the shorter of the service's and the caller's time limit.
  static instant Deadline(std::chrono::milliseconds aServiceLimit,
                          std::optional<std::chrono::milliseconds> aCallerLimit,
                          instant aNow);

  /// The queue of a service; created if it does not exist.
  service_queue& Queue(std::string_view aService);
  const std::map<std::string, service_queue, std::less<>>& Queues() const { return mQueues; }

private:
  std::map<std::string, service_queue, std::less<>> mQueues;
};

} // namespace skylarkwind
