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

/// A request that waits for capacity.
struct waiting_request
{
  request_id mRequest;
  int mPriority = 0;
  instant mDeadline;
  std::uint64_t mPromptTokens = 0;
  std::uint64_t mOutputTokens = 0;
};

/// Waiting requests of one service: higher priority first, then the earlier arrival.
class service_queue
{
public:
  enum class verdict
  {
    Queued,
    Full,        ///< the queue is full of requests of at least this priority
    WaitTooLong, ///< it would get its turn after its deadline
  };

  struct push_result
  {
    verdict mVerdict = verdict::Queued;
    std::chrono::milliseconds mExpectedWait{ 0 };
    /// A request of lower priority that lost its place.
    std::optional<request_id> mDisplaced;
  };

  push_result Push(const waiting_request& aRequest, std::uint32_t aLimit, instant aNow);
  /// The request leaves the queue, if it is there, to be sent; this measures the service rate.
  void Take(request_id aRequest, instant aNow);
  /// The request leaves the queue for any other reason.
  void Remove(request_id aRequest);

  std::vector<request_id> InOrder() const;
  bool Empty() const { return mWaiting.empty(); }
  std::size_t Size() const { return mWaiting.size(); }
  /// Time until a new request of this priority would be sent, by the measured service rate.
  std::chrono::milliseconds ExpectedWait(int aPriority, instant aNow) const;

  struct totals
  {
    std::uint64_t mPromptTokens = 0;
    std::uint64_t mOutputTokens = 0;
  };
  totals Totals() const;

private:
  struct order_key
  {
    int mNegatedPriority = 0;
    std::uint64_t mArrival = 0;
    bool operator<(const order_key& aOther) const
    {
      return std::tie(mNegatedPriority, mArrival) <
             std::tie(aOther.mNegatedPriority, aOther.mArrival);
    }
  };

  std::map<order_key, waiting_request> mWaiting;
  std::unordered_map<request_id, order_key> mKeys;
  std::uint64_t mArrivals = 0;
  /// Seconds between two requests sent while others waited; empty before the first.
  std::optional<double> mSecondsEach;
  instant mLastTake{};
};

/// The queues of all services, and the rule for deadlines.
class admission
{
public:
  /// The earlier of the service's and the caller's time limit.
  static instant Deadline(std::chrono::milliseconds aServiceLimit,
                          std::optional<std::chrono::milliseconds> aCallerLimit,
                          instant aNow);

  service_queue& Queue(std::string_view aService);
  const std::map<std::string, service_queue, std::less<>>& Queues() const { return mQueues; }

private:
  std::map<std::string, service_queue, std::less<>> mQueues;
};

} // namespace skylarkwind
