#pragma once

#include "skylarkwind/backend_directory.h"
#include "skylarkwind/backend_load_tracker.h"
#include "skylarkwind/clock.h"
#include "skylarkwind/forward_types.h"
#include "skylarkwind/load_exchange.h"

namespace skylarkwind {

/// Applies what the headers of a response say of the server itself: its load, that it is leaving,
/// that it is not the expected server or has another role than expected, and for how long it asks
/// for back-off. Other daemons are notified that it is leaving too. `aServer` is the server's entry
/// in the directory at the time when the request was sent.
void ApplyServerSignals(const response_head& aHead,
                        const backend_server& aServer,
                        backend_directory& aDirectory,
                        backend_load_tracker& aLoadTracker,
                        load_exchange& aLoadExchange,
                        instant aNow);

} // namespace skylarkwind
