#include "skylarkwind/prefix_cache_estimate.h"

#include "skylarkwind/hash.h"

#include <algorithm>

namespace skylarkwind {

namespace {

/// Most blocks tracked for one engine (4 million tokens). With 600 engines this bounds the memory
/// to about 50 MB; the oldest blocks are evicted first.
constexpr std::size_t kMaxBlocksPerEngine = 1'024;

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
PrefixBlockHashes(std::string_view aPrompt)
{
  std::vector<std::uint64_t> blocks;
  blocks.reserve(aPrompt.size() / kBlockBytes);
  std::uint64_t previous = 0;
  for (; aPrompt.size() >= kBlockBytes; aPrompt.remove_prefix(kBlockBytes)) {
    previous = Hash64(aPrompt.substr(0, kBlockBytes), previous);
    blocks.push_back(previous);
  }
  return blocks;
}

void
prefix_cache_estimate::OnEvents(const engine_view& aEngine, const cache_events_read& aRead)
{
  auto& cache = Entry(aEngine);
  if (aRead.mIncarnation != aEngine.mIncarnation) {
    // The response and the view are of different incarnations; either may be the older one.
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
      Add(cache, event.mBlock);
    } else {
      Remove(cache, event.mBlock);
    }
  }
}

bool
prefix_cache_estimate::Check(const engine_view& aEngine)
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
prefix_cache_estimate::ReadAfter(std::string_view aEngine) const
{
  const auto found = mEngines.find(aEngine);
  return found == mEngines.end() ? 0 : found->second.mLastSequence;
}

std::vector<prefix_match>
prefix_cache_estimate::Holders(std::span<const std::uint64_t> aBlocks) const
{
  std::vector<prefix_match> holders;
  for (auto count = mHolders.empty() ? 0 : aBlocks.size(); count > 0; --count) {
    const auto found = mHolders.find(aBlocks[count - 1]);
    if (found == mHolders.end()) {
      continue;
    }
    for (const auto* cache : found->second) {
      if (holders.size() < kMaxHolders) {
        holders.push_back({ cache->mName, count });
      }
    }
    break;
  }
  return holders;
}

prefix_cache_estimate::engine_cache&
prefix_cache_estimate::Entry(const engine_view& aEngine)
{
  auto& cache = mEngines[aEngine.mName];
  if (cache.mName.empty() ||
      !SameIdentity(aEngine, cache.mRole, cache.mModel, cache.mVersion, cache.mIncarnation)) {
    Drop(cache);
    // A new incarnation numbers its events from the start.
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
prefix_cache_estimate::Drop(engine_cache& aCache)
{
  for (const auto block : aCache.mBlocks) {
    Unlink(aCache, block);
  }
  aCache.mBlocks.clear();
}

void
prefix_cache_estimate::Add(engine_cache& aCache, std::uint64_t aBlock)
{
  auto& holders = mHolders[aBlock];
  if (std::ranges::find(holders, &aCache) != holders.end()) {
    return;
  }
  holders.push_back(&aCache);
  aCache.mBlocks.push_back(aBlock);
  if (aCache.mBlocks.size() > kMaxBlocksPerEngine) {
    Unlink(aCache, aCache.mBlocks.front());
    aCache.mBlocks.pop_front();
  }
}

void
prefix_cache_estimate::Remove(engine_cache& aCache, std::uint64_t aBlock)
{
  const auto found = std::ranges::find(aCache.mBlocks, aBlock);
  if (found != aCache.mBlocks.end()) {
    Unlink(aCache, aBlock);
    aCache.mBlocks.erase(found);
  }
}

void
prefix_cache_estimate::Unlink(const engine_cache& aCache, std::uint64_t aBlock)
{
  const auto found = mHolders.find(aBlock);
  if (found == mHolders.end()) {
    return;
  }
  std::erase(found->second, &aCache);
  if (found->second.empty()) {
    mHolders.erase(found);
  }
}

} // namespace skylarkwind
