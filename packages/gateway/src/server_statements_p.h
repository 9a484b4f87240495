#pragma once

#include "skylarkwind/backend_board.h"
#include "skylarkwind/backend_directory.h"
#include "skylarkwind/clock.h"
#include "skylarkwind/forward_types.h"
#include "skylarkwind/work_exchange.h"

namespace skylarkwind {

/// Takes in what the head of an answer says of the server itself: its load, that it leaves, which
/// other daemons are told too, that it is not the server or has not the role that was expected, and
/// for how long it wants no requests. `aServer` is the server as it
/// was listed when the request was sent to it.
void NoteStatements(const answer_head& aHead,
                    const backend_server& aServer,
                    backend_directory& aDirectory,
                    backend_board& aBoard,
                    work_exchange& aExchange,
                    instant aNow);

} // namespace skylarkwind
