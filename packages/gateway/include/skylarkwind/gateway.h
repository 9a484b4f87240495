#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/gateway_settings.h"
#include "skylarkwind/http_pool.h"
#include "skylarkwind/object_store.h"
#include "skylarkwind/protocol_adapter.h"

#include <kj/async-io.h>

#include <functional>
#include <memory>

namespace skylarkwind {

/// The parts of the gateway that depend on the platform of a deployment: the protocol towards
/// backend servers, the parser of stored objects and the client of the store.
struct deployment_adapter
{
  std::unique_ptr<protocol_adapter> mProtocolAdapter;
  std::unique_ptr<object_parser> mObjects;
  std::function<std::unique_ptr<object_store>(http_pool&, kj::Timer&)> mCreateStore;
};

/// A reverse proxy that forwards requests to the backend servers of a deployment without
/// interpreting their bodies.
class gateway
{
public:
  /// `aFile` is reloaded on SIGHUP and whenever it has changed.
  static std::unique_ptr<gateway> Create(gateway_settings aSettings,
                                         settings_file aFile,
                                         deployment_adapter aAdapter,
                                         kj::AsyncIoContext& aContext,
                                         const clock_source& aClock);
  virtual ~gateway() = default;

  /// Runs until a shutdown, which SIGTERM starts, is complete.
  virtual void Run() = 0;
};

} // namespace skylarkwind
