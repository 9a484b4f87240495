#include "server_statements_p.h"

#include "skylarkwind/log.h"

namespace skylarkwind {

namespace {

/// About the time until a server's entry in the store tells of a change.
constexpr std::chrono::milliseconds kMisdirectedAside{ 1'000 };

} // namespace

void
NoteStatements(const answer_head& aHead,
               const backend_server& aServer,
               backend_directory& aDirectory,
               backend_board& aBoard,
               work_exchange& aExchange,
               instant aNow)
{
  if (aHead.mLoad) {
    aBoard.OnLoad(aServer.mId, *aHead.mLoad, aNow);
  }
  if (aHead.mLeaving) {
    const auto* listed = aDirectory.Find(aServer.mId);
    if (listed != nullptr && !listed->mDraining) {
      Log(log_level::Info, "servers", "id=" + aServer.mId + " draining=1 said in an answer");
    }
    aDirectory.OnLeaving(aServer.mId, aServer.mStartedAt);
    aExchange.OnLeaving({ aServer.mId, aServer.mStartedAt }, aNow);
  }
  if (aHead.mMisdirected) {
    // Its role changed through an order whose answer was lost, or its address is another server's.
    // The list of servers will tell; until then nobody should ask it again and again.
    aExchange.OnChanging(BackendKey(aServer.mId), aNow + kMisdirectedAside);
  }
  if (aHead.mQuietFor) {
    Log(log_level::Info,
        "servers",
        "id=" + aServer.mId +
          " wants no requests for_ms=" + std::to_string(aHead.mQuietFor->count()));
    aBoard.OnQuiet(aServer.mId, *aHead.mQuietFor, aNow);
  }
}

} // namespace skylarkwind
