#include "accept_loop_p.h"

#include "skylarkwind/http_pool.h"
#include "skylarkwind/log.h"

#include <chrono>
#include <utility>

namespace skylarkwind {

namespace {

constexpr std::chrono::milliseconds kRetryPause{ 50 };

} // namespace

accept_loop::accept_loop(std::string aName, kj::Timer& aTimer, on_connection aOnConnection)
  : mName(std::move(aName))
  , mTimer(aTimer)
  , mOnConnection(std::move(aOnConnection))
{
}

kj::Promise<void>
accept_loop::Run(kj::ConnectionReceiver& aPort)
{
  // A port throws from the call itself when a connection waits and cannot be accepted.
  return kj::evalNow([&] {
           auto accepting = aPort.accept();
           // The kernel reserves a descriptor before it looks for a connection, so that this call
           // fails for want of one even when nobody waits.
           mFailing = false;
           return accepting;
         })
    .then([this](kj::Own<kj::AsyncIoStream> aStream) { OnAccepted(kj::mv(aStream)); })
    .then([this, &aPort] { return Run(aPort); },
          [this, &aPort](kj::Exception&& aError) {
            OnFailed(aError);
            return mTimer.afterDelay(ToKj(kRetryPause)).then([this, &aPort] { return Run(aPort); });
          });
}

void
accept_loop::OnAccepted(kj::Own<kj::AsyncIoStream> aStream)
{
  if (const auto failures = std::exchange(mFailures, 0); failures > 0) {
    Log(log_level::Info, mName, "accepting again failures=" + std::to_string(failures));
  }
  mOnConnection(kj::mv(aStream));
}

void
accept_loop::OnFailed(const kj::Exception& aError)
{
  mFailing = true;
  // The first of a series; its end is logged with their number.
  if (mFailures++ == 0) {
    Log(log_level::Error,
        mName,
        std::string{ "cannot accept connections reason=\"" } + aError.getDescription().cStr() +
          '"');
  }
}

} // namespace skylarkwind
