#pragma once

#include "answer_format_p.h"
#include "request_reader_p.h"
#include "skylarkwind/counters.h"
#include "skylarkwind/events.h"
#include "skylarkwind/front.h"
#include "wake_queue_p.h"

#include <atomic>
#include <cstdint>
#include <string>
#include <variant>

namespace skylarkwind {

/// Names one connection for the life of the process. Descriptors are reused, these numbers are not.
using connection_id = std::uint64_t;

/// Pistache's thread has read a request.
struct request_read
{
  connection_id mConnection = 0;
  std::uint64_t mRequest = 0;
  answer_framing mFraming;
  std::variant<local_request, caller_request, refusal> mOutcome;
};

/// The answer has been handed to the kernel in full.
struct answer_sent
{
  std::uint64_t mRequest = 0;
};

/// The connection ended while a request was open.
struct connection_lost
{
  std::uint64_t mRequest = 0;
};

using to_loop = std::variant<request_read, answer_sent, connection_lost>;

/// Bytes of an answer.
struct write_order
{
  connection_id mConnection = 0;
  std::uint64_t mRequest = 0;
  std::string mBytes;
  bool mLast = false;  ///< the answer is whole
  bool mClose = false; ///< close the connection after it
};

/// From now on connections without an open request are closed.
struct close_idle
{};

using to_io = std::variant<write_order, close_idle>;

struct front_counters
{
  explicit front_counters(counters& aRegistry);

  counter& mConnections;
  counter& mOpenRequests;
  counter& mRequests;
  counter& mRefused;
  counter& mCallersGone;
  counter& mClosedSlow;
  counter& mClosedIdle;
  counter& mClosedStalled;
  counter& mClosedPending;
  counter& mClosedExcess;
};

/// What both threads share.
struct front_shared
{
  front_shared(front_settings aSettings, counters& aRegistry)
    : mSettings(std::move(aSettings))
    , mCounters(aRegistry)
  {
  }

  const front_settings mSettings;
  front_counters mCounters;
  wake_queue<to_loop> mToLoop;
  wake_queue<to_io> mToIo;
};

/// Next number for a request; never repeats within a process.
std::uint64_t NextRequestNumber();

} // namespace skylarkwind
