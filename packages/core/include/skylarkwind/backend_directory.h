#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/forward_types.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace skylarkwind {

struct directory_settings
{
  /// How long an entry that expired during an outage of service discovery is still used after the
  /// outage. The platform restores the entries of live servers within about two seconds of its
  /// recovery.
  std::chrono::milliseconds mExpiryGrace{ 1'500 };
  /// How long an outdated entry has to stay listed before it is used. A server that is alive writes
  /// its entry again about every 1.2 s, and the platform removes that of a silent one after three
  /// such intervals. An entry that outlasts this is of a server whose clock was set back, or whose
  /// newest write the store does not show because it differs in its number only.
  std::chrono::milliseconds mOutdatedHold{ 5'000 };
  /// How long the last entry of a removed server is remembered. A write that the store executes
  /// late and a copy from which it is restored are some seconds old.
  std::chrono::milliseconds mRemovedMemory{ 60'000 };
};

/// What became of an entry that service discovery has delivered.
enum class entry_outcome
{
  Taken,        ///< the server is as the entry says
  KeptDraining, ///< taken, but the server stays draining as it is known to leave
  Deferred,     ///< outdated; the server stays as it is known until a hold has passed
};

/// The backend servers listed by service discovery. A server that is draining or was removed gets
/// no new requests from the moment this daemon learns of it. Draining is final for a start of a
/// server: an entry that says otherwise was written before, e.g. by a write that the store executed
/// late, or comes from a store that was restored from a copy. Such an outdated entry, known by an
/// earlier start or by a lower number of its write, does not replace a newer one.
class backend_directory
{
public:
  /// Called when an entry replaces that of a listed server.
  using on_replaced =
    std::function<void(const backend_server& aBefore, const backend_server& aAfter)>;

  explicit backend_directory(directory_settings aSettings);

  void SetOnReplaced(on_replaced aOnReplaced) { mOnReplaced = std::move(aOnReplaced); }
  /// Replaces the list. After an outage, servers that are missing from it stay in use for the grace
  /// period, because the platform may not have processed their heartbeats yet. Returns the number
  /// of entries that did not have the outcome `Taken`.
  std::size_t Replace(std::span<const backend_server> aServers, bool aAfterOutage, instant aNow);
  /// Adds or updates a server. An entry keeps the server draining if an earlier one or a response
  /// of the same or a later start said that it leaves. Entries without a start time are taken as
  /// they are, since that of a server that has restarted looks the same.
  entry_outcome Upsert(const backend_server& aServer, instant aNow);
  /// Removes a server, after an outage only at the end of its grace period. A server that is
  /// draining has no grace period.
  void Remove(std::string_view aId, bool aAfterOutage, instant aNow);
  /// Records that the server, as started at `aStartedAt` (Unix time in ms), said in a response that
  /// it is leaving. It then counts as draining, whatever entries of the same or earlier starts
  /// say, until an entry of a later start arrives.
  void OnLeaving(std::string_view aId, std::uint64_t aStartedAt);
  /// Removes the servers whose grace period is over, and uses the outdated entries whose hold is.
  void OnTick(instant aNow);

  /// The server with that id, draining or not; null if it is not listed.
  const backend_server* Find(std::string_view aId) const;
  /// Servers of a service that are eligible for new requests, ordered by id.
  std::vector<const backend_server*> Eligible(std::string_view aService) const;
  template<class visitor>
  void ForEach(visitor aVisit) const
  {
    for (const auto& [id, server] : mServers) {
      aVisit(server);
    }
  }
  std::size_t Size() const { return mServers.size(); }
  /// Incremented with each change of the list, so that callers can detect one.
  std::uint64_t Revision() const { return mRevision; }

private:
  /// An outdated entry and the time at which it is used.
  struct deferred_entry
  {
    backend_server mEntry;
    instant mUsedAt;
  };
  /// Start and write of the last entry of a removed server.
  struct removed_entry
  {
    std::uint64_t mStartedAt = 0;
    std::uint64_t mSequence = 0;
    instant mForgottenAt;
  };

  /// Records that a start of a server, and all before it, leave.
  void MarkLeaving(std::string_view aId, std::uint64_t aStartedAt);
  /// The entry, draining if its start is known to leave.
  backend_server KeepDraining(backend_server aEntry) const;
  /// Whether an entry was written before the one that is or was last known of its server, and does
  /// not say the same.
  bool IsOutdated(const backend_server& aServer) const;
  /// Keeps an outdated entry aside until its hold is over.
  void Defer(const backend_server& aServer, instant aNow);
  /// Adds an entry, or replaces that of its server.
  void Store(const backend_server& aServer);
  /// Removes a listed server and remembers its entry.
  void Erase(std::string_view aId, instant aNow);

  directory_settings mSettings;
  std::map<std::string, backend_server, std::less<>> mServers;
  std::map<std::string, instant, std::less<>> mGraceEnds; ///< end of the grace period, by id
  /// Servers that leave or have left, by id, with the latest start that is known to leave.
  std::map<std::string, std::uint64_t, std::less<>> mLeaving;
  std::map<std::string, deferred_entry, std::less<>> mDeferred; ///< by id
  std::map<std::string, removed_entry, std::less<>> mRemoved;   ///< by id
  on_replaced mOnReplaced = [](const backend_server&, const backend_server&) {};
  std::uint64_t mRevision = 0;
};

} // namespace skylarkwind
