#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/counters.h"
#include "skylarkwind/load_exchange.h"
#include "skylarkwind/object_store.h"
#include "skylarkwind/prompt_quarantine.h"

#include <kj/async.h>
#include <kj/timer.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// The quarantine's state as another daemon sent it.
struct quarantine_message
{
  std::string mSender; ///< ip:port
  bool mAsks = false;  ///< the sender wants the state of the receiver
  quarantine_state mState;
};

/// Encodes a message as one datagram, in JSON after a tag.
std::string EncodeQuarantine(const quarantine_message& aMessage, instant aNow);
bool IsQuarantineMessage(std::string_view aBytes);
/// Empty when the bytes are not a valid message.
std::optional<quarantine_message> DecodeQuarantine(std::string_view aBytes, instant aNow);

/// Keeps the quarantine's state equal at all daemons, in two ways that do not depend on each other:
/// datagrams between random daemons, frequent after a change and rare otherwise, and one object of
/// the store. A daemon that has started, was stalled or lacks contact to others reads that object
/// and asks its peers.
class quarantine_sync
{
public:
  using send = std::function<void(const std::string& aBytes, std::span<const std::string> aTo)>;
  /// Called when a part has been quarantined.
  using on_quarantined = std::function<void()>;

  quarantine_sync(prompt_quarantine& aQuarantine,
                  object_store& aStore,
                  const clock_source& aClock,
                  const load_exchange& aExchange,
                  kj::TaskSet& aTasks,
                  counters& aCounters,
                  std::uint64_t aRandomSeed,
                  send aSend,
                  on_quarantined aOnQuarantined);

  /// Advances the timers. `aEngines`: number of engines in use.
  void OnTick(std::size_t aEngines, instant aNow);
  void OnMessage(const quarantine_message& aMessage);

private:
  /// Logs and counts decisions.
  void Announce();
  void Send(bool aAsks, std::span<const std::string> aTo, instant aNow);
  void SendToPeers(instant aNow);
  /// Daemons for the next datagrams: some of this data centre and one of another.
  std::vector<std::string> DrawPeers(instant aNow);
  /// Whether other daemons may be out of reach of datagrams.
  bool LacksContact(instant aNow) const;
  /// When the stored object is to be read next, given the contact and rank of this daemon.
  instant NextStoreCall(instant aNow) const;
  /// Reads the stored object, merges it and writes it where it lacks something.
  kj::Promise<void> SyncWithStore();
  kj::Promise<void> OnRead(store_result<stored_object> aResult);
  kj::Promise<void> WriteIfNeeded(std::optional<std::uint64_t> aRevision,
                                  const quarantine_state& aStored);

  prompt_quarantine& mQuarantine;
  object_store& mStore;
  const clock_source& mClock;
  const load_exchange& mExchange;
  kj::TaskSet& mTasks;
  counters& mCounters;
  std::mt19937_64 mRandom;
  send mSend;
  on_quarantined mOnQuarantined;

  std::uint64_t mSeenVersion = 0;
  instant mChangedAt{};
  instant mSentAt{};
  instant mTickedAt{};
  bool mAsks = true; ///< no other daemon has answered since the start or the last stall
  instant mAsksUntil{};

  bool mSyncing = false;
  bool mReadPending = true; ///< the object is to be read whatever the rank
  /// Version that the stored object contains; empty after the store was restored from a copy.
  std::optional<std::uint64_t> mStoredVersion = 0;
  std::uint64_t mEra = 0; ///< of the store, as known at the last tick
  instant mRestoredAt{};  ///< when that was first known
  instant mStoreCalledAt{};
  std::uint32_t mFailedReads = 0;               ///< in a row
  std::optional<std::uint64_t> mMergedRevision; ///< of the stored object, merged already
};

} // namespace skylarkwind
