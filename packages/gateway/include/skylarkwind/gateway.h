#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/forward_dialect.h"
#include "skylarkwind/gateway_settings.h"
#include "skylarkwind/http_pool.h"
#include "skylarkwind/object_store.h"

#include <kj/async-io.h>

#include <functional>
#include <memory>

namespace skylarkwind {

/// What a deployment's adapter supplies.
struct deployment_adapter
{
  std::unique_ptr<forward_dialect> mDialect;
  std::unique_ptr<deployment_objects> mObjects;
  std::function<std::unique_ptr<object_store>(http_pool&, kj::Timer&)> mMakeStore;
};

/// A daemon that forwards opaque requests to the backend servers of a deployment.
class gateway
{
public:
  /// `aFile` is read again on SIGHUP and when it was written.
  static std::unique_ptr<gateway> Create(gateway_settings aSettings,
                                         settings_file aFile,
                                         deployment_adapter aAdapter,
                                         kj::AsyncIoContext& aContext,
                                         const clock_source& aClock);
  virtual ~gateway() = default;

  /// Serves until a shutdown is complete.
  virtual void Run() = 0;
};

} // namespace skylarkwind
