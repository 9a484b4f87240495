#include "platform_api_p.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace skylarkwind {

namespace {

/// Short, so that a call has arrived well before the lease of its holder expires.
constexpr std::chrono::milliseconds kCallTimeout{ 400 };

} // namespace

platform_api::platform_api(std::string aAddress,
                           double aCallsPerS,
                           http_pool& aPool,
                           kj::Timer& aTimer,
                           const clock_source& aClock,
                           counters& aCounters)
  : mAddress(std::move(aAddress))
  , mCallsPerS(aCallsPerS)
  , mAllowance(aCallsPerS)
  , mAllowanceAt(aClock.Now())
  , mPool(aPool)
  , mTimer(aTimer)
  , mClock(aClock)
  , mCounters(aCounters)
{
}

bool
platform_api::TakeAllowance()
{
  if (mCallsPerS <= 0) {
    return true;
  }
  const auto now = mClock.Now();
  const std::chrono::duration<double> passed = now - std::exchange(mAllowanceAt, now);
  mAllowance = std::min(std::max(1.0, mCallsPerS), mAllowance + passed.count() * mCallsPerS);
  if (mAllowance < 1) {
    return false;
  }
  mAllowance -= 1;
  return true;
}

void
platform_api::Count(const std::string& aPath, int aStatus)
{
  mCounters
    .Get("skylarkwind_platform_api_calls_total",
         "Calls of the platform's API by the status of their response; 0 when there was none.",
         "path=\"" + aPath + "\",status=\"" + std::to_string(aStatus) + '"')
    .Add();
}

kj::Promise<int>
platform_api::Call(control_request aCall)
{
  if (!IsConfigured() || !TakeAllowance()) {
    return kNotSent;
  }
  auto body = kj::heap<std::string>(std::move(aCall.mBody));
  http_call call;
  call.mAddress = mAddress;
  call.mHost = mAddress;
  call.mMethod = std::move(aCall.mMethod);
  call.mTarget = aCall.mPath;
  call.mHeaders = std::move(aCall.mHeaders);
  call.mBody = *body;
  auto calling = mPool.Call(std::move(call)).then([](http_result aResult) -> int {
    // The status is all that is needed; dropping the response closes its connection.
    const auto* response = std::get_if<std::unique_ptr<http_answer>>(&aResult);
    return response == nullptr ? 0 : (*response)->mStatus;
  });
  return mTimer.timeoutAfter(ToKj(kCallTimeout), kj::mv(calling))
    .then([](int aStatus) { return aStatus; }, [](kj::Exception&&) { return 0; })
    .then([this, path = std::move(aCall.mPath)](int aStatus) {
      Count(path, aStatus);
      return aStatus;
    })
    .attach(kj::mv(body));
}

} // namespace skylarkwind
