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

/// Whether a start time and a number of a write are known to be before others. Without start times
/// a lower number may be that of a server that has restarted.
bool
IsEarlier(const backend_server& aEntry, std::uint64_t aStartedAt, std::uint64_t aSequence)
{
  if (aEntry.mStartedAt == 0 || aStartedAt == 0 || aEntry.mStartedAt > aStartedAt) {
    return false;
  }
  return aEntry.mStartedAt < aStartedAt || (aEntry.mSequence != 0 && aEntry.mSequence < aSequence);
}

} // namespace

backend_directory::backend_directory(directory_settings aSettings)
  : mSettings(aSettings)
{
}

std::size_t
backend_directory::Replace(std::span<const backend_server> aServers,
                           bool aAfterOutage,
                           instant aNow)
{
  std::set<std::string, std::less<>> listed;
  std::size_t notTaken = 0;
  for (const auto& server : aServers) {
    listed.insert(server.mId);
    notTaken += Upsert(server, aNow) == entry_outcome::Taken ? 0 : 1;
  }
  std::erase_if(mDeferred, [&](const auto& aEntry) { return !listed.contains(aEntry.first); });
  std::vector<std::string> missing;
  for (const auto& [id, server] : mServers) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const auto& id : missing) {
    Remove(id, aAfterOutage, aNow);
  }
  return notTaken;
}

entry_outcome
backend_directory::Upsert(const backend_server& aServer, instant aNow)
{
  mGraceEnds.erase(aServer.mId);
  if (aServer.mDraining && aServer.mStartedAt != 0) {
    MarkLeaving(aServer.mId, aServer.mStartedAt);
  }
  const auto entry = KeepDraining(aServer);
  if (IsOutdated(entry)) {
    Defer(entry, aNow);
    return entry_outcome::Deferred;
  }
  mDeferred.erase(aServer.mId);
  Store(entry);
  return entry.mDraining == aServer.mDraining ? entry_outcome::Taken : entry_outcome::KeptDraining;
}

backend_server
backend_directory::KeepDraining(backend_server aEntry) const
{
  const auto leaving = mLeaving.find(aEntry.mId);
  if (leaving != mLeaving.end() && aEntry.mStartedAt <= leaving->second) {
    aEntry.mDraining = true;
  }
  return aEntry;
}

bool
backend_directory::IsOutdated(const backend_server& aServer) const
{
  if (const auto listed = mServers.find(aServer.mId); listed != mServers.end()) {
    const auto& known = listed->second;
    return !SameState(aServer, known) && IsEarlier(aServer, known.mStartedAt, known.mSequence);
  }
  const auto removed = mRemoved.find(aServer.mId);
  if (removed == mRemoved.end()) {
    return false;
  }
  // The removal is newer than the last entry, so that the same write is outdated as well.
  return IsEarlier(aServer, removed->second.mStartedAt, removed->second.mSequence + 1);
}

void
backend_directory::Defer(const backend_server& aServer, instant aNow)
{
  const deferred_entry deferred{ aServer, aNow + mSettings.mOutdatedHold };
  const auto [found, isNew] = mDeferred.try_emplace(aServer.mId, deferred);
  // An entry that is listed again goes on to wait.
  if (!isNew && !SameState(found->second.mEntry, aServer)) {
    found->second = deferred;
  }
}

void
backend_directory::Store(const backend_server& aServer)
{
  mRemoved.erase(aServer.mId);
  const auto [found, isNew] = mServers.try_emplace(aServer.mId, aServer);
  auto& stored = found->second;
  if (isNew) {
    ++mRevision;
    return;
  }
  if (SameState(aServer, stored)) {
    stored.mSequence = std::max(stored.mSequence, aServer.mSequence);
    return;
  }
  mOnReplaced(stored, aServer);
  stored = aServer;
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
    Store(KeepDraining(found->second));
  }
}

void
backend_directory::Remove(std::string_view aId, bool aAfterOutage, instant aNow)
{
  if (const auto deferred = mDeferred.find(aId); deferred != mDeferred.end()) {
    mDeferred.erase(deferred);
  }
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
  Erase(aId, aNow);
}

void
backend_directory::Erase(std::string_view aId, instant aNow)
{
  const auto found = mServers.find(aId);
  const auto& server = found->second;
  mRemoved[found->first] = { server.mStartedAt, server.mSequence, aNow + mSettings.mRemovedMemory };
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
    Erase(grace->first, aNow);
    grace = mGraceEnds.erase(grace);
  }
  for (auto deferred = mDeferred.begin(); deferred != mDeferred.end();) {
    if (aNow < deferred->second.mUsedAt) {
      ++deferred;
      continue;
    }
    Store(KeepDraining(deferred->second.mEntry));
    deferred = mDeferred.erase(deferred);
  }
  std::erase_if(mRemoved,
                [aNow](const auto& aEntry) { return aNow >= aEntry.second.mForgottenAt; });
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
