#include "skylarkwind/prompt_quarantine.h"

#include <algorithm>

namespace skylarkwind {

namespace {

using std::chrono::milliseconds;

/// A longer interval between ticks means that this process was stalled.
constexpr milliseconds kStallThreshold{ 500 };
/// Engines that end under a part before its interrupted requests are no longer sent to another one.
constexpr std::uint32_t kCrashesOfSuspect = 3;
/// Without a change the evidence is evaluated this often.
constexpr milliseconds kProofInterval{ 1'000 };
/// Bounds of what callers are told to wait.
constexpr milliseconds kMinRetryAfter{ 1'000 };
constexpr milliseconds kMaxRetryAfter{ 60'000 };

instant
LastActivity(const quarantined_part& aPart)
{
  return std::max(aPart.mSince, aPart.mRequestedAt);
}

} // namespace

prompt_quarantine::prompt_quarantine(quarantine_settings aSettings, instant aNow)
  : mSettings(aSettings)
  , mEvidence(aSettings.mEvidence)
  , mDecidesFrom(aNow + aSettings.mWarmUp)
  , mTickedAt(aNow)
{
}

quarantine_decision
prompt_quarantine::Decide(std::span<const prompt_part> aParts, instant aNow)
{
  quarantined_part* held = nullptr;
  std::size_t count = 0;
  for (const auto part : aParts) {
    const auto found = mParts.find(part);
    if (found != mParts.end() && !found->second.mReleased) {
      found->second.mRequestedAt = aNow;
      held = &found->second;
      ++count;
    }
  }
  if (held == nullptr) {
    return request_admitted{};
  }
  // A probe with two quarantined parts would not tell which of them crashed its engine.
  if (count == 1 && mAllowedProbe == held->mPart) {
    mAllowedProbe.reset();
    return request_admitted_as_probe{};
  }
  if (count == 1 && ProbeDue(*held, aNow)) {
    mWanted.insert(held->mPart);
  }
  const auto wait = held->mProbes < mSettings.mMaxProbes
                      ? std::chrono::duration_cast<milliseconds>(NextProbe(*held) - aNow)
                      : kMaxRetryAfter;
  return request_quarantined{ held->mPart, std::clamp(wait, kMinRetryAfter, kMaxRetryAfter) };
}

bool
prompt_quarantine::Holds(std::span<const prompt_part> aParts) const
{
  return std::any_of(aParts.begin(), aParts.end(), [this](prompt_part aPart) {
    const auto found = mParts.find(aPart);
    return found != mParts.end() && !found->second.mReleased;
  });
}

bool
prompt_quarantine::IsSuspected(std::span<const prompt_part> aParts) const
{
  return std::any_of(aParts.begin(), aParts.end(), [this](prompt_part aPart) {
    return mEvidence.Crashes(aPart) >= kCrashesOfSuspect;
  });
}

void
prompt_quarantine::OnCrash(std::uint64_t aEngine, std::span<const crash_part> aParts, instant aNow)
{
  if (mEvidence.OnCrash(aEngine, aParts, aNow)) {
    ++mVersion;
  }
}

void
prompt_quarantine::OnWholeAnswer(std::span<const prompt_part> aParts, instant aNow)
{
  if (mEvidence.OnWholeAnswer(aParts, aNow)) {
    ++mVersion;
  }
  for (const auto part : aParts) {
    if (const auto found = mParts.find(part); found != mParts.end() && !found->second.mReleased) {
      Release(found->second, "a request with it was answered in full");
    }
  }
}

void
prompt_quarantine::Release(quarantined_part& aPart, const char* aReason)
{
  aPart.mReleased = true;
  mEvents.emplace_back(part_released{ aPart.mPart, aReason });
  mWanted.erase(aPart.mPart);
  ++mVersion;
}

void
prompt_quarantine::Quarantine(const crash_suspect& aSuspect, instant aNow)
{
  auto& entry = mParts[aSuspect.mPart];
  const auto term = entry.mPart == aSuspect.mPart && entry.mReleased ? entry.mTerm + 1 : 1;
  entry = { aSuspect.mPart, term, false, aNow, aNow, aSuspect.mCrashes };
  mEvents.emplace_back(part_quarantined{ entry });
  ++mVersion;
  LimitParts();
}

void
prompt_quarantine::LimitParts()
{
  while (mParts.size() > mSettings.mMaxParts) {
    mParts.erase(
      std::min_element(mParts.begin(), mParts.end(), [](const auto& aLeft, const auto& aRight) {
        return LastActivity(aLeft.second) < LastActivity(aRight.second);
      }));
  }
}

bool
prompt_quarantine::MergePart(const quarantined_part& aPart, instant aNow)
{
  if (LastActivity(aPart) + mSettings.mSilence < aNow) {
    return false;
  }
  const auto [found, added] = mParts.try_emplace(aPart.mPart, aPart);
  auto& known = found->second;
  if (aPart.mTerm < known.mTerm) {
    return false;
  }
  const bool held = !added && !known.mReleased;
  const bool newTerm = added || aPart.mTerm > known.mTerm;
  const bool moreProbes = aPart.mProbes > known.mProbes;
  if (newTerm) {
    known = aPart;
  }
  known.mReleased = known.mReleased || aPart.mReleased;
  known.mSince = std::min(known.mSince, aPart.mSince);
  known.mRequestedAt = std::max(known.mRequestedAt, aPart.mRequestedAt);
  known.mProbes = std::max(known.mProbes, aPart.mProbes);
  known.mProbedAt = std::max(known.mProbedAt, aPart.mProbedAt);
  const bool released = held && known.mReleased;
  if (released) {
    Release(known, "another daemon released it");
  } else if (!held && !known.mReleased) {
    mEvents.emplace_back(part_quarantined{ known });
    if (mExempt.contains(aPart.mPart)) {
      Release(known, "the settings exempt it");
    }
  }
  LimitParts();
  return newTerm || moreProbes || released;
}

bool
prompt_quarantine::Merge(const quarantine_state& aState, instant aNow)
{
  bool changed = false;
  for (const auto& [part, at] : aState.mAcquittals) {
    changed = mEvidence.MergeAcquittal(part, std::min(at, aNow)) || changed;
  }
  for (const auto& crash : aState.mCrashes) {
    changed = mEvidence.Merge(crash) || changed;
  }
  for (const auto& part : aState.mParts) {
    changed = MergePart(part, aNow) || changed;
  }
  if (changed) {
    ++mVersion;
  }
  return changed;
}

bool
prompt_quarantine::ProofDue(instant aNow) const
{
  return !mEvidence.AllCrashes().empty() && aNow >= mDecidesFrom &&
         (mVersion != mProvedVersion || !mProvedSince.empty() ||
          aNow - mProvedAt >= kProofInterval);
}

void
prompt_quarantine::OnTick(std::size_t aEngines, instant aNow)
{
  if (aNow - mTickedAt >= kStallThreshold) {
    mDecidesFrom = std::max(mDecidesFrom, aNow + mSettings.mWarmUp);
    mProvedSince.clear();
  }
  mTickedAt = aNow;
  mEvidence.OnTick(aNow);
  for (auto entry = mParts.begin(); entry != mParts.end();) {
    auto& part = entry->second;
    if (LastActivity(part) + mSettings.mSilence >= aNow) {
      ++entry;
      continue;
    }
    if (!part.mReleased) {
      Release(part, "no request has held it for a long time");
    }
    entry = mParts.erase(entry);
  }
  if (!ProofDue(aNow)) {
    return;
  }
  mProvedVersion = mVersion;
  mProvedAt = aNow;
  const auto proved = mEvidence.Prove(Quarantined(), aEngines, aNow);
  std::map<prompt_part, instant> standing;
  for (const auto& suspect : proved) {
    if (mExempt.contains(suspect.mPart)) {
      continue;
    }
    const auto known = mProvedSince.find(suspect.mPart);
    const auto since = known != mProvedSince.end() ? known->second : aNow;
    if (aNow - since >= mSettings.mSettleTime) {
      Quarantine(suspect, aNow);
    } else {
      standing.emplace(suspect.mPart, since);
    }
  }
  mProvedSince = std::move(standing);
}

void
prompt_quarantine::SetExempt(std::set<prompt_part> aParts)
{
  mExempt = std::move(aParts);
  for (auto& [part, entry] : mParts) {
    if (mExempt.contains(part) && !entry.mReleased) {
      Release(entry, "the settings exempt it");
    }
  }
}

instant
prompt_quarantine::NextProbe(const quarantined_part& aPart) const
{
  return aPart.mProbes == 0 ? aPart.mSince + mSettings.mFirstProbe
                            : aPart.mProbedAt + mSettings.mFirstProbe * mSettings.mProbeFactor;
}

bool
prompt_quarantine::ProbeDue(const quarantined_part& aPart, instant aNow) const
{
  return !aPart.mReleased && aPart.mProbes < mSettings.mMaxProbes && aNow >= NextProbe(aPart);
}

std::optional<prompt_part>
prompt_quarantine::ProbeWanted(instant aNow) const
{
  for (const auto part : mWanted) {
    if (const auto found = mParts.find(part);
        found != mParts.end() && ProbeDue(found->second, aNow)) {
      return part;
    }
  }
  return std::nullopt;
}

quarantine_state
prompt_quarantine::StateWithProbe(prompt_part aPart, instant aNow) const
{
  auto state = State();
  for (auto& entry : state.mParts) {
    if (entry.mPart == aPart) {
      ++entry.mProbes;
      entry.mProbedAt = aNow;
    }
  }
  return state;
}

void
prompt_quarantine::OnProbeClaimed(prompt_part aPart, bool aGranted, instant aNow)
{
  mWanted.erase(aPart);
  if (const auto found = mParts.find(aPart); found != mParts.end()) {
    ++found->second.mProbes;
    found->second.mProbedAt = aNow;
    ++mVersion;
  }
  if (aGranted) {
    mAllowedProbe = aPart;
  }
}

quarantine_state
prompt_quarantine::State() const
{
  quarantine_state state;
  state.mCrashes = mEvidence.AllCrashes();
  state.mAcquittals = { mEvidence.Acquittals().begin(), mEvidence.Acquittals().end() };
  for (const auto& [part, entry] : mParts) {
    state.mParts.push_back(entry);
  }
  return state;
}

std::set<prompt_part>
prompt_quarantine::Quarantined() const
{
  std::set<prompt_part> parts;
  for (const auto& [part, entry] : mParts) {
    if (!entry.mReleased) {
      parts.insert(part);
    }
  }
  return parts;
}

} // namespace skylarkwind
