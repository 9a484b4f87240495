#include "platform_api_p.h"

#include <algorithm>
#include <array>
#include <memory>
#include <utility>

namespace skylarkwind {

namespace {

/// Short, so that a call has arrived well before the lease of its holder expires.
constexpr std::chrono::milliseconds kCallTimeout{ 400 };

/// Reads a body to its end and discards it. Rejects when it breaks off.
class body_discarder
{
public:
  explicit body_discarder(std::unique_ptr<http_answer> aAnswer)
    : mAnswer(std::move(aAnswer))
  {
  }

  kj::Promise<int> Run()
  {
    return mAnswer->Body()
      .tryRead(mBuffer.data(), 1, mBuffer.size())
      .then([this](std::size_t aBytes) -> kj::Promise<int> {
        if (aBytes == 0) {
          return mAnswer->mStatus;
        }
        return Run();
      });
  }

private:
  std::unique_ptr<http_answer> mAnswer;
  std::array<kj::byte, 4'096> mBuffer{};
};

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
platform_api::Call(control_request aCall, instant aSendBy)
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
  call.mSendBy = aSendBy;
  auto calling = mPool.Call(std::move(call)).then([](http_result aResult) -> kj::Promise<int> {
    auto* response = std::get_if<std::unique_ptr<http_answer>>(&aResult);
    if (response == nullptr) {
      return std::get<http_failure>(aResult).mSent ? 0 : kNotSent;
    }
    // The status alone is needed, but a response that breaks off is none: its server may have
    // failed, or may not have read the call. Dropping the response closes its connection.
    auto body = kj::heap<body_discarder>(std::move(*response));
    auto reading = body->Run();
    return reading.attach(kj::mv(body));
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
