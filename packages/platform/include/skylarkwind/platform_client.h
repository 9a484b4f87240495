#pragma once

#include "skylarkwind/effects.h"
#include "skylarkwind/events.h"
#include "skylarkwind/http_client.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace skylarkwind {

struct platform_settings
{
  std::string mAddress;    ///< ip:port
  std::string mCredential; ///< bearer token, empty when none is needed
  std::chrono::milliseconds mReadLimit{ 2000 };
  std::chrono::milliseconds mWriteLimit{ 2000 };
  /// Added to the wait of a watch, because the answer to a quiet one comes at its end.
  std::chrono::milliseconds mWatchMargin{ 2000 };
};

/// Why a call to the platform brought no result of its own.
enum class platform_error
{
  NotSent,
  Refused, ///< 429, 503 or 413
  NoAnswer,
  Malformed ///< an answer that docs/design.md 5.1 does not describe
};

std::string_view PlatformErrorText(platform_error aError);

/// Client of the platform's object API and VM list (docs/design.md 5.1). Each call ends in exactly
/// one `platform_replied`.
class platform_client
{
public:
  static absl::StatusOr<std::unique_ptr<platform_client>> Create(platform_settings aSettings,
                                                                 http_client& aHttp,
                                                                 std::function<void(event)> aSink);
  virtual ~platform_client() = default;

  virtual void Call(const call_platform& aCall) = 0;
};

} // namespace skylarkwind
