#include "server_signals_p.h"

#include "skylarkwind/log.h"

namespace skylarkwind {

namespace {

/// A misdirected server is avoided for about the time until its entry in the store shows a change.
constexpr std::chrono::milliseconds kMisdirectedBackoff{ 1'000 };

} // namespace

void
ApplyServerSignals(const response_head& aHead,
                   const backend_server& aServer,
                   backend_directory& aDirectory,
                   backend_load_tracker& aLoadTracker,
                   load_exchange& aLoadExchange,
                   instant aNow)
{
  if (aHead.mLoad) {
    aLoadTracker.OnLoad(aServer.mId, *aHead.mLoad, aNow);
  }
  if (aHead.mLeaving) {
    const auto* listed = aDirectory.Find(aServer.mId);
    if (listed != nullptr && !listed->mDraining) {
      Log(log_level::Info, "servers", "id=" + aServer.mId + " draining=1 announced in a response");
    }
    aDirectory.OnLeaving(aServer.mId, aServer.mStartedAt);
    aLoadExchange.OnLeaving({ aServer.mId, aServer.mStartedAt }, aNow);
  }
  if (aHead.mMisdirected) {
    // Its role changed through a role command whose response was lost, or its address now belongs
    // to another server. The list of servers will show which; until then no daemon should keep
    // sending requests to it.
    aLoadExchange.OnRoleChange(BackendKey(aServer.mId), aNow + kMisdirectedBackoff);
  }
  if (aHead.mQuietFor) {
    Log(log_level::Info,
        "servers",
        "id=" + aServer.mId +
          " asked for back-off for_ms=" + std::to_string(aHead.mQuietFor->count()));
    aLoadTracker.OnBackoffRequested(aServer.mId, *aHead.mQuietFor, aNow);
  }
}

} // namespace skylarkwind
