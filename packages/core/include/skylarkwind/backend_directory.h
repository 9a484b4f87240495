#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/forward_types.h"

#include <chrono>
#include <map>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

struct directory_settings
{
  /// How long an entry that expired during an outage of service discovery is still used after the
  /// outage. The platform restores the entries of live servers within about two seconds of its
  /// recovery.
  std::chrono::milliseconds mExpiryGrace{ 1'500 };
};

/// The backend servers listed by service discovery. A server that is draining or was removed gets
/// no new requests from the moment this daemon learns of it. Draining is final for a start of a
/// server: an entry that says otherwise was written before, e.g. by a write that the store executed
/// late, or comes from a store that was restored from a copy.
class backend_directory
{
public:
  explicit backend_directory(directory_settings aSettings);

  /// Replaces the list. After an outage, servers that are missing from it stay in use for the grace
  /// period, because the platform may not have processed their heartbeats yet.
  void Replace(std::span<const backend_server> aServers, bool aAfterOutage, instant aNow);
  /// Adds or updates a server. An entry keeps the server draining if an earlier one or a response
  /// of the same or a later start said that it leaves. Entries without a start time are taken as
  /// they are, since that of a server that has restarted looks the same.
  void Upsert(const backend_server& aServer);
  /// Removes a server, after an outage only at the end of its grace period. A server that is
  /// draining has no grace period.
  void Remove(std::string_view aId, bool aAfterOutage, instant aNow);
  /// Records that the server, as started at `aStartedAt` (Unix time in ms), said in a response that
  /// it is leaving. It then counts as draining, whatever entries of the same or earlier starts
  /// say, until an entry of a later start arrives.
  void OnLeaving(std::string_view aId, std::uint64_t aStartedAt);
  /// Removes the servers whose grace period is over.
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
  void MarkLeaving(std::string_view aId, std::uint64_t aStartedAt);

  directory_settings mSettings;
  std::map<std::string, backend_server, std::less<>> mServers;
  std::map<std::string, instant, std::less<>> mGraceEnds; ///< end of the grace period, by id
  /// Servers that leave or have left, by id, with the latest start that is known to leave.
  std::map<std::string, std::uint64_t, std::less<>> mLeaving;
  std::uint64_t mRevision = 0;
};

} // namespace skylarkwind
