#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/settings.h"

#include <absl/status/statusor.h>

#include <memory>

namespace kj {
struct AsyncIoContext;
} // namespace kj

namespace skylarkwind {

/// One daemon: carries events to the node and its effects out, all on the loop thread.
class daemon_process
{
public:
  static absl::StatusOr<std::unique_ptr<daemon_process>> Create(daemon_settings aSettings,
                                                                kj::AsyncIoContext& aContext,
                                                                const clock_source& aClock);
  virtual ~daemon_process() = default;

  /// Runs until a graceful shutdown is complete. SIGTERM and SIGINT ask for one.
  virtual void Run() = 0;
};

} // namespace skylarkwind
