#include "skylarkwind/part_holders.h"

#include <algorithm>

namespace skylarkwind {

namespace {

using milliseconds_f = std::chrono::duration<double, std::milli>;

/// Share of an engine's memory whose turnover evicts a part that was not used meanwhile. Running
/// requests take the rest.
constexpr double kKeptWithin = 0.75;
/// A part's use is told to the other daemons again after this share of turnover.
constexpr double kTellAgain = 0.1;
/// Facts that one message carries; the rest follows with the next.
constexpr std::size_t kMostTold = 32;
/// Facts that wait to be told; older ones are the less useful.
constexpr std::size_t kMostFresh = 256;

/// Parts that are known at the same time, above those that the memories of 600 engines hold at a
/// thousand tokens each. Beyond it evicted ones go.
constexpr std::size_t kMostParts = 300'000;

/// The last part belongs to one request alone; nobody else asks for it.
std::span<const prompt_part>
SharedParts(std::span<const prompt_part> aParts)
{
  return aParts.first(aParts.empty() ? 0 : aParts.size() - 1);
}

} // namespace

std::uint32_t
kept_starts::At(backend_key aBackend) const
{
  const auto found = std::find_if(mStarts.begin(), mStarts.end(), [&](const start& aStart) {
    return aStart.mBackend == aBackend;
  });
  return found == mStarts.end() ? 0 : found->mTokens;
}

std::uint64_t
part_holders::Added(backend_key aBackend) const
{
  const auto found = mMemories.find(aBackend);
  return found == mMemories.end() ? 0 : found->second.mOwnAdded + found->second.mOthersAdded;
}

std::uint64_t
part_holders::OwnAdded(backend_key aBackend) const
{
  const auto found = mMemories.find(aBackend);
  return found == mMemories.end() ? 0 : found->second.mOwnAdded;
}

bool
part_holders::StillKept(const holding& aHeld) const
{
  const auto found = mMemories.find(aHeld.mBackend);
  const double capacity =
    found == mMemories.end() ? 0 : static_cast<double>(found->second.mCapacity);
  return static_cast<double>(Added(aHeld.mBackend) - aHeld.mAddedBefore) <= kKeptWithin * capacity;
}

part_holders::holding&
part_holders::HoldingOf(std::uint64_t aPart, backend_key aBackend)
{
  if (mParts.size() >= kMostParts) {
    DropEvicted();
  }
  auto& known = mParts[aPart];
  const auto found = std::find_if(
    known.begin(), known.end(), [&](const holding& aHeld) { return aHeld.mBackend == aBackend; });
  if (found != known.end()) {
    return *found;
  }
  // Copies that were evicted make room for the new one.
  std::erase_if(known,
                [this](const holding& aHeld) { return aHeld.mComputed && !StillKept(aHeld); });
  known.push_back({ aBackend });
  return known.back();
}

void
part_holders::DropEvicted()
{
  for (auto entry = mParts.begin(); entry != mParts.end();) {
    std::erase_if(entry->second, [this](const holding& aHeld) { return !StillKept(aHeld); });
    entry = entry->second.empty() ? mParts.erase(entry) : std::next(entry);
  }
  if (mParts.size() >= kMostParts) {
    mParts.clear();
  }
}

void
part_holders::OnComing(std::string_view aBackendId,
                       std::span<const prompt_part> aParts,
                       milliseconds_f aExpected,
                       instant aNow)
{
  const auto backend = BackendKey(aBackendId);
  for (const auto& part : SharedParts(aParts)) {
    auto& held = HoldingOf(part.mKey, backend);
    if (held.mComputed && StillKept(held)) {
      continue;
    }
    held = { backend, false, aNow + std::chrono::duration_cast<instant::duration>(aExpected) };
    Tell(part.mKey, held, aNow);
  }
}

void
part_holders::OnKept(std::string_view aBackendId, std::span<const prompt_part> aParts, instant aNow)
{
  const auto backend = BackendKey(aBackendId);
  const auto added = Added(backend);
  for (const auto& part : SharedParts(aParts)) {
    auto& held = HoldingOf(part.mKey, backend);
    const bool news = !held.mComputed || !StillKept(held) ||
                      static_cast<double>(added - held.mToldAt) >
                        kTellAgain * static_cast<double>(MemoryOf(backend).mCapacity);
    held = { backend, true, {}, added, news ? added : held.mToldAt };
    if (news) {
      Tell(part.mKey, held, aNow);
    }
  }
}

void
part_holders::OnAdded(std::string_view aBackendId, std::uint32_t aTokens)
{
  MemoryOf(BackendKey(aBackendId)).mOwnAdded += aTokens;
}

void
part_holders::OnOthersAdded(backend_key aBackend, std::uint64_t aTokens)
{
  MemoryOf(aBackend).mOthersAdded += aTokens;
}

void
part_holders::SetCapacity(std::string_view aBackendId, std::uint64_t aTokens)
{
  MemoryOf(BackendKey(aBackendId)).mCapacity = aTokens;
}

void
part_holders::Forget(std::string_view aBackendId)
{
  const auto backend = BackendKey(aBackendId);
  for (auto& [part, known] : mParts) {
    std::erase_if(known, [&](const holding& aHeld) { return aHeld.mBackend == backend; });
  }
}

void
part_holders::OnTold(std::span<const kept_part> aParts, instant aNow)
{
  for (const auto& told : aParts) {
    auto& held = HoldingOf(told.mKey, told.mBackend);
    held.mComputed = held.mComputed || told.mComputed;
    held.mReadyAt = aNow + std::chrono::milliseconds{ told.mReadyInMs };
    held.mAddedBefore = Added(told.mBackend);
    held.mToldAt = held.mAddedBefore;
  }
}

void
part_holders::Tell(std::uint64_t aPart, const holding& aHeld, instant aNow)
{
  if (mFresh.size() >= kMostFresh) {
    return;
  }
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(aHeld.mReadyAt - aNow);
  const auto readyIn = aHeld.mComputed ? 0 : std::max<std::int64_t>(0, left.count());
  mFresh.push_back({ aPart, aHeld.mBackend, aHeld.mComputed, static_cast<std::uint32_t>(readyIn) });
}

std::vector<kept_part>
part_holders::TakeFresh()
{
  const auto count = std::min(kMostTold, mFresh.size());
  const auto end = mFresh.begin() + static_cast<std::ptrdiff_t>(count);
  std::vector<kept_part> taken{ mFresh.begin(), end };
  mFresh.erase(mFresh.begin(), end);
  return taken;
}

kept_starts
part_holders::Kept(std::span<const prompt_part> aParts) const
{
  kept_starts kept;
  std::uint32_t before = 0;
  bool first = true;
  for (const auto& part : aParts) {
    const auto known = mParts.find(part.mKey);
    if (known == mParts.end()) {
      break;
    }
    // An engine reuses a part only behind all parts before it.
    bool any = false;
    for (const auto& held : known->second) {
      if (!held.mComputed || !StillKept(held)) {
        continue;
      }
      if (first) {
        kept.mStarts.push_back({ held.mBackend, part.mTokens });
        any = true;
        continue;
      }
      for (auto& start : kept.mStarts) {
        if (start.mBackend == held.mBackend && start.mTokens == before) {
          start.mTokens += part.mTokens;
          any = true;
        }
      }
    }
    if (!any) {
      break;
    }
    first = false;
    before += part.mTokens;
  }
  return kept;
}

part_holders::coming_parts
part_holders::Coming(std::span<const prompt_part> aParts, instant aNow) const
{
  coming_parts coming;
  for (const auto& part : SharedParts(aParts)) {
    const auto known = mParts.find(part.mKey);
    if (known == mParts.end()) {
      return coming;
    }
    bool found = false;
    auto readyAt = instant::max();
    for (const auto& held : known->second) {
      if (held.mComputed ? StillKept(held) : held.mReadyAt >= aNow) {
        found = true;
        readyAt = std::min(readyAt, held.mComputed ? instant{} : held.mReadyAt);
      }
    }
    if (!found) {
      return coming;
    }
    coming.mTokens += part.mTokens;
    coming.mReadyAt = std::max(coming.mReadyAt, readyAt);
  }
  return coming;
}

} // namespace skylarkwind
