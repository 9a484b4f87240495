#include "skylarkwind/crash_evidence.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;
using seconds_f = std::chrono::duration<double>;

/// Engines that end within this time of each other may have one cause that is no request, such as a
/// rack. They count as one.
constexpr milliseconds kCommonCauseWindow{ 50 };
/// Fewest crashes that prove anything.
constexpr std::uint32_t kMinCrashes = 4;
/// Crashes needed of a part if another one was running on the same engines and on no others, so
/// that either may be their cause. Both count as proved then.
constexpr std::size_t kCrashesOfTwins = 8;
/// The probability of a harmless part being on all of the ended engines stays below ten to the
/// power of minus this.
constexpr double kProofDecades = 7;
/// Time that a request runs on an engine.
constexpr seconds_f kRunTime{ 1.5 };
/// Bounds of the probability that the end of an engine meets a request with a given part.
constexpr double kMinHitChance = 0.01;
constexpr double kMaxHitChance = 0.5;
/// Time over which the rate of other crashes is taken at least.
constexpr seconds_f kMinRateTime{ 30 };
/// An acquittal is passed on again when a whole answer is this much newer.
constexpr std::chrono::seconds kAcquittalStep{ 5 };

bool
LessByPart(const crash_part& aLeft, const crash_part& aRight)
{
  return aLeft.mPart < aRight.mPart;
}

const crash_part*
FindPart(const engine_crash& aCrash, prompt_part aPart)
{
  const auto found =
    std::lower_bound(aCrash.mParts.begin(), aCrash.mParts.end(), crash_part{ aPart }, LessByPart);
  return found != aCrash.mParts.end() && found->mPart == aPart ? &*found : nullptr;
}

/// Number of crashes that can't have a common cause other than requests.
std::uint32_t
CountSeparate(std::vector<instant> aTimes)
{
  std::sort(aTimes.begin(), aTimes.end());
  std::uint32_t count = 0;
  instant counted{};
  for (const auto at : aTimes) {
    if (count == 0 || at - counted >= kCommonCauseWindow) {
      counted = at;
      ++count;
    }
  }
  return count;
}

/// Positions of a part in the prompts of the requests that ended with these crashes.
std::uint8_t
LowestPosition(const std::vector<const engine_crash*>& aCrashes, prompt_part aPart)
{
  std::uint8_t lowest = UINT8_MAX;
  for (const auto* crash : aCrashes) {
    if (const auto* part = FindPart(*crash, aPart); part != nullptr) {
      lowest = std::min(lowest, part->mPosition);
    }
  }
  return lowest;
}

using crashes_by_part = std::map<prompt_part, std::vector<const engine_crash*>>;

/// Whether a convicted part explains the crash. It does not for a part that was running on all
/// engines that ended under the convicted one, and so may be the right one in its place.
bool
IsExplained(const engine_crash& aCrash,
            const std::vector<const engine_crash*>& aCrashes,
            const crashes_by_part& aByPart,
            const std::set<prompt_part>& aConvicted)
{
  return std::any_of(aCrash.mParts.begin(), aCrash.mParts.end(), [&](const crash_part& aPart) {
    if (!aConvicted.contains(aPart.mPart)) {
      return false;
    }
    const auto& convicted = aByPart.at(aPart.mPart);
    return !std::all_of(convicted.begin(), convicted.end(), [&](const engine_crash* aOther) {
      return std::find(aCrashes.begin(), aCrashes.end(), aOther) != aCrashes.end();
    });
  });
}

/// Number of other parts that were running on most of these engines and do not come earlier in
/// prompts, where parts are more common. If there are many, engines end whatever they run, and
/// nothing is answered in full.
std::uint32_t
CountRivals(prompt_part aPart,
            const std::vector<const engine_crash*>& aCrashes,
            const std::set<prompt_part>& aConvicted)
{
  constexpr std::size_t kMostNumerator = 3;
  constexpr std::size_t kMostDenominator = 4;
  const auto position = LowestPosition(aCrashes, aPart);
  std::map<prompt_part, std::size_t> counts;
  for (const auto* crash : aCrashes) {
    for (const auto& part : crash->mParts) {
      if (part.mPosition >= position) {
        ++counts[part.mPart];
      }
    }
  }
  return static_cast<std::uint32_t>(
    std::count_if(counts.begin(), counts.end(), [&](const auto& aEntry) {
      return aEntry.first != aPart && !aConvicted.contains(aEntry.first) &&
             aEntry.second * kMostDenominator >= aCrashes.size() * kMostNumerator;
    }));
}

/// Whether another part was running on the same engines and on no others.
bool
HasTwin(prompt_part aPart, const crashes_by_part& aByPart)
{
  const auto& crashes = aByPart.at(aPart);
  return std::any_of(
    crashes.front()->mParts.begin(), crashes.front()->mParts.end(), [&](const crash_part& aOther) {
      return aOther.mPart != aPart && aByPart.at(aOther.mPart) == crashes;
    });
}

} // namespace

crash_evidence::crash_evidence(crash_evidence_settings aSettings)
  : mSettings(aSettings)
{
}

bool
crash_evidence::IsCleared(prompt_part aPart, instant aAt) const
{
  const auto clears = [&](instant aWhole) { return aWhole + mSettings.mHarmlessFor >= aAt; };
  const auto own = mWholeAnswers.find(aPart);
  const auto told = mAcquittals.find(aPart);
  return (own != mWholeAnswers.end() && clears(own->second)) ||
         (told != mAcquittals.end() && clears(told->second));
}

bool
crash_evidence::Clear(prompt_part aPart, instant aAt)
{
  bool cleared = false;
  for (auto& crash : mCrashes) {
    if (aAt + mSettings.mHarmlessFor >= crash.mAt) {
      cleared =
        std::erase_if(crash.mParts,
                      [&](const crash_part& aKnown) { return aKnown.mPart == aPart; }) > 0 ||
        cleared;
    }
  }
  return cleared;
}

bool
crash_evidence::NoteAcquittal(prompt_part aPart, instant aAt)
{
  const auto [known, added] = mAcquittals.try_emplace(aPart, aAt);
  if (!added && aAt < known->second + kAcquittalStep) {
    return false;
  }
  known->second = std::max(known->second, aAt);
  if (mAcquittals.size() > mSettings.mMaxAcquittals) {
    mAcquittals.erase(std::min_element(
      mAcquittals.begin(), mAcquittals.end(), [](const auto& aLeft, const auto& aRight) {
        return aLeft.second < aRight.second;
      }));
  }
  return true;
}

bool
crash_evidence::Add(std::uint64_t aEngine, std::span<const crash_part> aParts, instant aAt)
{
  auto known = std::find_if(mCrashes.begin(), mCrashes.end(), [&](const engine_crash& aCrash) {
    return aCrash.mEngine == aEngine;
  });
  bool changed = false;
  if (known == mCrashes.end()) {
    if (mCrashes.size() >= mSettings.mMaxCrashes) {
      const auto oldest =
        std::min_element(mCrashes.begin(),
                         mCrashes.end(),
                         [](const engine_crash& aLeft, const engine_crash& aRight) {
                           return aLeft.mAt < aRight.mAt;
                         });
      if (aAt <= oldest->mAt) {
        return false;
      }
      mCrashes.erase(oldest);
    }
    mCrashes.push_back({ aEngine, aAt, {} });
    known = std::prev(mCrashes.end());
    changed = true;
  }
  known->mAt = std::min(known->mAt, aAt);
  for (const auto& part : aParts) {
    const auto place =
      std::lower_bound(known->mParts.begin(), known->mParts.end(), part, LessByPart);
    if (place != known->mParts.end() && place->mPart == part.mPart) {
      place->mPosition = std::min(place->mPosition, part.mPosition);
    } else if (known->mParts.size() < mSettings.mMaxPartsPerCrash &&
               !IsCleared(part.mPart, known->mAt)) {
      known->mParts.insert(place, part);
      changed = true;
    }
  }
  return changed;
}

bool
crash_evidence::OnCrash(std::uint64_t aEngine, std::span<const crash_part> aParts, instant aAt)
{
  return Add(aEngine, aParts, aAt);
}

bool
crash_evidence::Merge(const engine_crash& aCrash)
{
  bool changed = false;
  for (const auto& part : aCrash.mParts) {
    // The sender has no whole answer with this part.
    if (const auto own = mWholeAnswers.find(part.mPart);
        own != mWholeAnswers.end() && IsCleared(part.mPart, aCrash.mAt)) {
      changed = NoteAcquittal(part.mPart, own->second) || changed;
    }
  }
  return Add(aCrash.mEngine, aCrash.mParts, aCrash.mAt) || changed;
}

bool
crash_evidence::OnWholeAnswer(std::span<const prompt_part> aParts, instant aAt)
{
  bool changed = false;
  for (const auto part : aParts) {
    mWholeAnswers[part] = aAt;
    if (Clear(part, aAt)) {
      changed = NoteAcquittal(part, aAt) || changed;
    }
  }
  if (mWholeAnswers.size() > mSettings.mMaxWholeAnswers) {
    TrimWholeAnswers(aAt);
  }
  return changed;
}

bool
crash_evidence::MergeAcquittal(prompt_part aPart, instant aAt)
{
  Clear(aPart, aAt);
  return NoteAcquittal(aPart, aAt);
}

void
crash_evidence::TrimWholeAnswers(instant aNow)
{
  std::erase_if(mWholeAnswers,
                [&](const auto& aEntry) { return aEntry.second + mSettings.mHarmlessFor < aNow; });
  if (mWholeAnswers.size() <= mSettings.mMaxWholeAnswers) {
    return;
  }
  std::vector<instant> times;
  times.reserve(mWholeAnswers.size());
  for (const auto& [part, at] : mWholeAnswers) {
    times.push_back(at);
  }
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  std::erase_if(mWholeAnswers, [&](const auto& aEntry) { return aEntry.second <= *middle; });
}

void
crash_evidence::OnTick(instant aNow)
{
  std::erase_if(
    mCrashes, [&](const engine_crash& aCrash) { return aCrash.mAt + mSettings.mRetention < aNow; });
  std::erase_if(mAcquittals,
                [&](const auto& aEntry) { return aEntry.second + mSettings.mRetention < aNow; });
}

std::uint32_t
crash_evidence::Crashes(prompt_part aPart) const
{
  return static_cast<std::uint32_t>(
    std::count_if(mCrashes.begin(), mCrashes.end(), [&](const engine_crash& aCrash) {
      return FindPart(aCrash, aPart) != nullptr;
    }));
}

bool
crash_evidence::KnownHarmless(std::span<const prompt_part> aParts, instant aNow) const
{
  return std::all_of(
    aParts.begin(), aParts.end(), [&](prompt_part aPart) { return IsCleared(aPart, aNow); });
}

std::uint32_t
crash_evidence::RequiredCrashes(std::size_t aOthers, std::size_t aEngines, instant aNow) const
{
  auto oldest = aNow;
  for (const auto& crash : mCrashes) {
    oldest = std::min(oldest, crash.mAt);
  }
  const seconds_f time = std::max<seconds_f>(kMinRateTime, aNow - oldest);
  const double chance = static_cast<double>(aOthers) * (kRunTime / time) /
                        static_cast<double>(std::max<std::size_t>(1, aEngines));
  const double decades = -std::log10(std::clamp(chance, kMinHitChance, kMaxHitChance));
  return std::max(kMinCrashes, static_cast<std::uint32_t>(std::ceil(kProofDecades / decades)));
}

std::vector<crash_suspect>
crash_evidence::Prove(const std::set<prompt_part>& aConvicted,
                      std::size_t aEngines,
                      instant aNow) const
{
  crashes_by_part byPart;
  for (const auto& crash : mCrashes) {
    for (const auto& part : crash.mParts) {
      byPart[part.mPart].push_back(&crash);
    }
  }
  // Most crashes of any of a crash's parts.
  std::map<const engine_crash*, std::size_t> mostCrashes;
  std::set<const engine_crash*> open; // crashes without a convicted part
  for (const auto& crash : mCrashes) {
    open.insert(&crash);
    for (const auto& part : crash.mParts) {
      mostCrashes[&crash] = std::max(mostCrashes[&crash], byPart[part.mPart].size());
      if (aConvicted.contains(part.mPart)) {
        open.erase(&crash);
      }
    }
  }
  std::vector<crash_suspect> proved;
  for (const auto& [part, crashes] : byPart) {
    if (crashes.size() < kMinCrashes || aConvicted.contains(part)) {
      continue;
    }
    std::vector<instant> times;
    auto others = open.size();
    for (const auto* crash : crashes) {
      others -= open.contains(crash) ? 1 : 0;
      if (mostCrashes[crash] <= crashes.size() &&
          !IsExplained(*crash, crashes, byPart, aConvicted)) {
        times.push_back(crash->mAt);
      }
    }
    const auto required =
      RequiredCrashes(others, aEngines, aNow) + CountRivals(part, crashes, aConvicted);
    const bool ambiguous = crashes.size() < kCrashesOfTwins && HasTwin(part, byPart);
    if (CountSeparate(std::move(times)) >= required && !ambiguous) {
      proved.push_back({ part, static_cast<std::uint32_t>(crashes.size()) });
    }
  }
  return proved;
}

} // namespace skylarkwind
