#pragma once

#include <kj/async-io.h>
#include <kj/timer.h>

#include <cstddef>
#include <functional>
#include <string>

namespace skylarkwind {

/// Accepts connections, and goes on after failures, e.g. for want of descriptors.
class accept_loop
{
public:
  using on_connection = std::function<void(kj::Own<kj::AsyncIoStream>)>;

  /// `aName` names the port in log lines.
  accept_loop(std::string aName, kj::Timer& aTimer, on_connection aOnConnection);

  /// Accepts connections until the promise is dropped. The promise never ends by itself.
  kj::Promise<void> Run(kj::ConnectionReceiver& aPort);
  /// Whether the latest attempt to accept has failed, and connections have to wait for the next.
  bool Failing() const { return mFailing; }

private:
  void OnAccepted(kj::Own<kj::AsyncIoStream> aStream);
  void OnFailed(const kj::Exception& aError);

  std::string mName;
  kj::Timer& mTimer;
  on_connection mOnConnection;
  std::size_t mFailures = 0; ///< since the last connection
  bool mFailing = false;
};

} // namespace skylarkwind
