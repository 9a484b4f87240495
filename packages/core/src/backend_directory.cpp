#include "skylarkwind/backend_directory.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// Bound on the records of leaving servers, above the number of servers in the largest targeted
/// deployment (600). When it is reached, records of servers no longer listed are discarded.
constexpr std::size_t kMaxLeaving = 2'048;

/// Whether the entries differ at most in the number of their write, which grows with each
/// heartbeat.
bool
SameState(backend_server aEntry, const backend_server& aOther)
{
  aEntry.mSequence = aOther.mSequence;
  return aEntry == aOther;
}

} // namespace

backend_directory::backend_directory(directory_settings aSettings)
  : mSettings(aSettings)
{
}

void
backend_directory::Replace(std::span<const backend_server> aServers,
                           bool aAfterOutage,
                           instant aNow)
{
  std::set<std::string, std::less<>> listed;
  for (const auto& server : aServers) {
    listed.insert(server.mId);
    Upsert(server);
  }
  std::vector<std::string> missing;
  for (const auto& [id, server] : mServers) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const auto& id : missing) {
    Remove(id, aAfterOutage, aNow);
  }
}

void
backend_directory::Upsert(const backend_server& aServer)
{
  mGraceEnds.erase(aServer.mId);
  if (aServer.mDraining && aServer.mStartedAt != 0) {
    MarkLeaving(aServer.mId, aServer.mStartedAt);
  }
  auto entry = aServer;
  if (const auto leaving = mLeaving.find(aServer.mId); leaving != mLeaving.end()) {
    if (aServer.mStartedAt > leaving->second) {
      mLeaving.erase(leaving);
    } else {
      entry.mDraining = true;
    }
  }
  auto& stored = mServers[aServer.mId];
  if (SameState(entry, stored)) {
    stored.mSequence = entry.mSequence;
    return;
  }
  stored = std::move(entry);
  ++mRevision;
}

void
backend_directory::MarkLeaving(std::string_view aId, std::uint64_t aStartedAt)
{
  if (mLeaving.size() >= kMaxLeaving) {
    std::erase_if(mLeaving,
                  [this](const auto& aEntry) { return !mServers.contains(aEntry.first); });
  }
  auto& marked = mLeaving[std::string{ aId }];
  marked = std::max(marked, aStartedAt);
}

void
backend_directory::OnLeaving(std::string_view aId, std::uint64_t aStartedAt)
{
  MarkLeaving(aId, aStartedAt);
  if (const auto found = mServers.find(aId); found != mServers.end()) {
    Upsert(backend_server{ found->second });
  }
}

void
backend_directory::Remove(std::string_view aId, bool aAfterOutage, instant aNow)
{
  const auto found = mServers.find(aId);
  if (found == mServers.end()) {
    return;
  }
  if (aAfterOutage && !found->second.mDraining) {
    mGraceEnds.try_emplace(found->first, aNow + mSettings.mExpiryGrace);
    return;
  }
  if (mGraceEnds.contains(aId)) {
    return;
  }
  mServers.erase(found);
  ++mRevision;
}

void
backend_directory::OnTick(instant aNow)
{
  for (auto grace = mGraceEnds.begin(); grace != mGraceEnds.end();) {
    if (aNow < grace->second) {
      ++grace;
      continue;
    }
    mServers.erase(grace->first);
    grace = mGraceEnds.erase(grace);
    ++mRevision;
  }
}

const backend_server*
backend_directory::Find(std::string_view aId) const
{
  const auto found = mServers.find(aId);
  return found == mServers.end() ? nullptr : &found->second;
}

std::vector<const backend_server*>
backend_directory::Eligible(std::string_view aService) const
{
  std::vector<const backend_server*> usable;
  for (const auto& [id, server] : mServers) {
    if (server.mService == aService && !server.mDraining) {
      usable.push_back(&server);
    }
  }
  return usable;
}

} // namespace skylarkwind
