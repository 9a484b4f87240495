#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/effects.h"
#include "skylarkwind/events.h"
#include "skylarkwind/http_client.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <functional>
#include <memory>

namespace skylarkwind {

struct engine_client_settings
{
  std::chrono::milliseconds mObserveLimit{ 1000 };
  std::chrono::milliseconds mOrderLimit{ 2000 };
  std::chrono::milliseconds mCancelLimit{ 2000 };
  std::chrono::milliseconds mExportLimit{ 2000 };
};

/// Client of engines and plain services (docs/design.md 5.2 and 5.3). The sink is called from the
/// loop, never inside a call of this class, except for a generation whose body is not a JSON
/// object, which is rejected at once.
class engine_client
{
public:
  static absl::StatusOr<std::unique_ptr<engine_client>> Create(
    http_client& aHttp,
    std::function<void(event)> aSink,
    const clock_source& aClock,
    const engine_client_settings& aSettings = {});
  virtual ~engine_client() = default;

  /// Ends in exactly one outcome other than `attempt_tokens`, unless it is cancelled.
  virtual void Start(const start_attempt& aAttempt) = 0;
  virtual void Cancel(attempt_id aAttempt) = 0;
  virtual void Observe(const request_engine_state& aQuestion) = 0;
  /// The order is written only when `mNotAfter` has not passed at that moment.
  virtual void Order(const send_engine_command& aOrder) = 0;
  /// A failed read is reported as a read without events.
  virtual void ReadCacheEvents(const read_cache_events& aRead) = 0;
};

} // namespace skylarkwind
