#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/prompt_part.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

namespace skylarkwind {

/// A part of a request that an engine was running when it ended.
struct crash_part
{
  prompt_part mPart = 0;
  std::uint8_t mPosition = 0; ///< in its prompt, from 0; the lowest one if it had several
  bool operator==(const crash_part&) const = default;
};

/// The unplanned end of an engine process and the parts of the requests that it was running. Parts
/// that are known to be harmless are left out.
struct engine_crash
{
  std::uint64_t mEngine = 0;      ///< key of the process, the same at all daemons
  instant mAt{};                  ///< the earliest time at which a daemon saw it
  std::vector<crash_part> mParts; ///< ordered by part
};

/// Bounds on the evidence that a daemon keeps.
struct crash_evidence_settings
{
  std::size_t mMaxCrashes = 32;
  std::size_t mMaxPartsPerCrash = 128;
  std::size_t mMaxWholeAnswers = 4'096;    ///< parts of requests answered in full
  std::size_t mMaxAcquittals = 256;        ///< those of them that other daemons are told of
  std::chrono::minutes mRetention{ 10 };   ///< of crashes and acquittals
  std::chrono::seconds mHarmlessFor{ 20 }; ///< a part is not suspected after a whole answer
};

/// A part that was running on engines when they ended.
struct crash_suspect
{
  prompt_part mPart = 0;
  std::uint32_t mCrashes = 0; ///< engines that ended while they ran it
};

/// Evidence on which parts of prompts crash engines, merged from all daemons: the engines that have
/// ended, the parts that were running on them, and the parts of requests that were answered in
/// full. A part that was running on more of the ended engines than any other one, and in no request
/// that was answered in full, is their cause. Engines also end for other reasons and cut requests
/// with harmless parts, so that single coincidences prove nothing.
///
/// Merging is commutative and idempotent: messages may be lost, repeated and reordered.
class crash_evidence
{
public:
  explicit crash_evidence(crash_evidence_settings aSettings = {});

  /// This daemon saw an engine end that ran requests with these parts. Returns whether other
  /// daemons may not know it.
  bool OnCrash(std::uint64_t aEngine, std::span<const crash_part> aParts, instant aAt);
  /// This daemon received the whole answer to a request with these parts. Returns whether other
  /// daemons have to know, because one of the parts is suspected.
  bool OnWholeAnswer(std::span<const prompt_part> aParts, instant aAt);
  /// Merges what another daemon has seen. Returns whether any of it was new.
  bool Merge(const engine_crash& aCrash);
  bool MergeAcquittal(prompt_part aPart, instant aAt);
  /// Forgets what is too old.
  void OnTick(instant aNow);

  /// The parts that the evidence proves to be the cause of crashes. `aConvicted`: parts that were
  /// proved before, which explain the crashes of their requests; `aEngines`: number of engines in
  /// use.
  std::vector<crash_suspect> Prove(const std::set<prompt_part>& aConvicted,
                                   std::size_t aEngines,
                                   instant aNow) const;
  /// Number of engines that ended while they ran the part, which has no whole answer since.
  std::uint32_t Crashes(prompt_part aPart) const;
  /// Whether requests with each of these parts were answered in full recently.
  bool KnownHarmless(std::span<const prompt_part> aParts, instant aNow) const;

  const std::vector<engine_crash>& AllCrashes() const { return mCrashes; }
  /// Times of whole answers that cleared parts of suspicion.
  const std::map<prompt_part, instant>& Acquittals() const { return mAcquittals; }

private:
  /// Whether a whole answer clears the part of a crash at `aAt`.
  bool IsCleared(prompt_part aPart, instant aAt) const;
  /// Removes the part from the crashes that a whole answer at `aAt` clears it of.
  bool Clear(prompt_part aPart, instant aAt);
  bool NoteAcquittal(prompt_part aPart, instant aAt);
  /// Adds the crash or its parts; false if all of it was known or there is no room for it.
  bool Add(std::uint64_t aEngine, std::span<const crash_part> aParts, instant aAt);
  void TrimWholeAnswers(instant aNow);
  /// Engines that have to end while they run a part until that proves it, given `aOthers` engines
  /// that ended without it.
  std::uint32_t RequiredCrashes(std::size_t aOthers, std::size_t aEngines, instant aNow) const;

  crash_evidence_settings mSettings;
  std::vector<engine_crash> mCrashes;
  std::unordered_map<prompt_part, instant> mWholeAnswers; ///< the last one with each part
  std::map<prompt_part, instant> mAcquittals;
};

} // namespace skylarkwind
