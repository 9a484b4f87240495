#include "skylarkwind/cache_belief.h"

#include "skylarkwind/hash.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// Pieces remembered of one engine (4 million tokens). It bounds the memory at 600 engines to
/// about 50 MB; older pieces are forgotten first.
constexpr std::size_t kMostPieces = 1'024;

bool
SameIdentity(const engine_view& aEngine,
             engine_role aRole,
             std::string_view aModel,
             std::string_view aVersion,
             std::uint64_t aIncarnation)
{
  return aEngine.mRole == aRole && aEngine.mModel == aModel && aEngine.mVersion == aVersion &&
         aEngine.mIncarnation == aIncarnation;
}

} // namespace

std::vector<std::uint64_t>
PrefixPieces(std::string_view aPrompt)
{
  std::vector<std::uint64_t> pieces;
  pieces.reserve(aPrompt.size() / kPieceBytes);
  std::uint64_t before = 0;
  for (; aPrompt.size() >= kPieceBytes; aPrompt.remove_prefix(kPieceBytes)) {
    before = Hash64(aPrompt.substr(0, kPieceBytes), before);
    pieces.push_back(before);
  }
  return pieces;
}

void
cache_belief::OnEvents(const engine_view& aEngine, const cache_events_read& aRead)
{
  auto& cache = Entry(aEngine);
  if (aRead.mIncarnation != aEngine.mIncarnation) {
    // The answer and the view are of different runs of the engine; either may be the older one.
    Drop(cache);
    cache.mLastSequence = 0;
    return;
  }
  for (const auto& event : aRead.mEvents) {
    if (event.mSequence <= cache.mLastSequence) {
      continue;
    }
    if (event.mSequence != cache.mLastSequence + 1) {
      Drop(cache);
    }
    cache.mLastSequence = event.mSequence;
    if (event.mAdded) {
      Add(cache, event.mPiece);
    } else {
      Remove(cache, event.mPiece);
    }
  }
}

bool
cache_belief::Check(const engine_view& aEngine)
{
  const auto found = mEngines.find(aEngine.mName);
  if (found == mEngines.end()) {
    return true;
  }
  const auto& cache = found->second;
  const bool same =
    SameIdentity(aEngine, cache.mRole, cache.mModel, cache.mVersion, cache.mIncarnation);
  Entry(aEngine);
  return same;
}

std::uint64_t
cache_belief::ReadAfter(std::string_view aEngine) const
{
  const auto found = mEngines.find(aEngine);
  return found == mEngines.end() ? 0 : found->second.mLastSequence;
}

std::vector<believed_holder>
cache_belief::Holders(std::span<const std::uint64_t> aPieces) const
{
  std::vector<believed_holder> holders;
  for (auto count = mHolders.empty() ? 0 : aPieces.size(); count > 0; --count) {
    const auto found = mHolders.find(aPieces[count - 1]);
    if (found == mHolders.end()) {
      continue;
    }
    for (const auto* cache : found->second) {
      if (holders.size() < kMostHolders) {
        holders.push_back({ cache->mName, count });
      }
    }
    break;
  }
  return holders;
}

cache_belief::engine_cache&
cache_belief::Entry(const engine_view& aEngine)
{
  auto& cache = mEngines[aEngine.mName];
  if (cache.mName.empty() ||
      !SameIdentity(aEngine, cache.mRole, cache.mModel, cache.mVersion, cache.mIncarnation)) {
    Drop(cache);
    // A new incarnation counts its events from the start.
    if (cache.mIncarnation != aEngine.mIncarnation) {
      cache.mLastSequence = 0;
    }
    cache.mName = aEngine.mName;
    cache.mRole = aEngine.mRole;
    cache.mModel = aEngine.mModel;
    cache.mVersion = aEngine.mVersion;
    cache.mIncarnation = aEngine.mIncarnation;
  }
  return cache;
}

void
cache_belief::Drop(engine_cache& aCache)
{
  for (const auto piece : aCache.mPieces) {
    Unlink(aCache, piece);
  }
  aCache.mPieces.clear();
}

void
cache_belief::Add(engine_cache& aCache, std::uint64_t aPiece)
{
  auto& holders = mHolders[aPiece];
  if (std::ranges::find(holders, &aCache) != holders.end()) {
    return;
  }
  holders.push_back(&aCache);
  aCache.mPieces.push_back(aPiece);
  if (aCache.mPieces.size() > kMostPieces) {
    Unlink(aCache, aCache.mPieces.front());
    aCache.mPieces.pop_front();
  }
}

void
cache_belief::Remove(engine_cache& aCache, std::uint64_t aPiece)
{
  const auto found = std::ranges::find(aCache.mPieces, aPiece);
  if (found != aCache.mPieces.end()) {
    Unlink(aCache, aPiece);
    aCache.mPieces.erase(found);
  }
}

void
cache_belief::Unlink(const engine_cache& aCache, std::uint64_t aPiece)
{
  const auto found = mHolders.find(aPiece);
  if (found == mHolders.end()) {
    return;
  }
  std::erase(found->second, &aCache);
  if (found->second.empty()) {
    mHolders.erase(found);
  }
}

} // namespace skylarkwind
