#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/crash_evidence.h"
#include "skylarkwind/prompt_part.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>
#include <variant>
#include <vector>

namespace skylarkwind {

struct quarantine_settings
{
  crash_evidence_settings mEvidence;
  /// A proof has to stand for this long, within which whole answers that other daemons have
  /// received arrive here.
  std::chrono::milliseconds mSettleTime{ 400 };
  /// A daemon that has started, or was stalled, decides nothing for this time. It may lack whole
  /// answers, and takes over the decisions of others.
  std::chrono::milliseconds mWarmUp{ 2'000 };
  /// From the decision to the first probe; the time to the next one is `mProbeFactor` times longer.
  std::chrono::seconds mFirstProbe{ 30 };
  int mProbeFactor = 10;
  std::uint32_t mMaxProbes = 2; ///< for each part, at all daemons together
  /// A part that no request has held for this time is released.
  std::chrono::minutes mSilence{ 60 };
  std::size_t mMaxParts = 64; ///< quarantined parts; those requested longest ago give way
};

/// A part whose requests are rejected, or that was released.
struct quarantined_part
{
  prompt_part mPart = 0;
  std::uint32_t mTerm = 1;    ///< how often it has been quarantined
  bool mReleased = false;     ///< the term is over
  instant mSince{};           ///< start of the term
  instant mRequestedAt{};     ///< when the last request with it was rejected
  std::uint32_t mCrashes = 0; ///< engines that ended while they ran it, at the decision
  std::uint32_t mProbes = 0;  ///< requests that were let through to test it
  instant mProbedAt{};        ///< the last of them
};

/// Everything that daemons tell each other, with times of the local clock.
struct quarantine_state
{
  std::vector<engine_crash> mCrashes;
  std::vector<std::pair<prompt_part, instant>> mAcquittals;
  std::vector<quarantined_part> mParts;

  bool Empty() const { return mCrashes.empty() && mAcquittals.empty() && mParts.empty(); }
};

/// The request holds no quarantined part.
struct request_admitted
{};
/// The request holds one, and tests whether it still crashes engines.
struct request_admitted_as_probe
{};
/// The request must not reach an engine.
struct request_quarantined
{
  prompt_part mPart = 0;
  std::chrono::milliseconds mRetryAfter{}; ///< until the decision may change
};
using quarantine_decision =
  std::variant<request_admitted, request_admitted_as_probe, request_quarantined>;

/// A decision that operators are told of.
struct part_quarantined
{
  quarantined_part mPart;
};
struct part_released
{
  prompt_part mPart = 0;
  const char* mReason = "";
};
using quarantine_event = std::variant<part_quarantined, part_released>;

/// Quarantines parts of prompts that crash engines, for the whole fleet. Every daemon merges the
/// evidence of all of them, decides by it, and takes over the decisions of others.
///
/// A quarantined part is released when a request with it is answered in full, when no request has
/// held it for a time, or by the operator. For the first, a few requests are let through as probes,
/// at growing intervals and after a claim that only one daemon can make.
class prompt_quarantine
{
public:
  prompt_quarantine(quarantine_settings aSettings, instant aNow);

  /// Decides on a request of a caller that holds these parts.
  quarantine_decision Decide(std::span<const prompt_part> aParts, instant aNow);
  /// Whether any of the parts is quarantined.
  bool Holds(std::span<const prompt_part> aParts) const;
  /// Whether a request with these parts that was cut by the end of its engine should not be sent to
  /// another one: engines have ended under one of its parts before.
  bool IsSuspected(std::span<const prompt_part> aParts) const;
  /// Whether requests with each of these parts were answered in full recently.
  bool KnownHarmless(std::span<const prompt_part> aParts, instant aNow) const
  {
    return mEvidence.KnownHarmless(aParts, aNow);
  }

  void OnCrash(std::uint64_t aEngine, std::span<const crash_part> aParts, instant aNow);
  void OnWholeAnswer(std::span<const prompt_part> aParts, instant aNow);
  /// Merges another daemon's state. Returns whether any of it was new.
  bool Merge(const quarantine_state& aState, instant aNow);
  /// Advances the timers and decides. `aEngines`: number of engines in use.
  void OnTick(std::size_t aEngines, instant aNow);

  /// Parts that are never quarantined, by order of the operator.
  void SetExempt(std::set<prompt_part> aParts);

  /// A part that a request has asked for since its probe became due.
  std::optional<prompt_part> ProbeWanted(instant aNow) const;
  /// The state with one more probe of the part. Whoever stores it in the place of the state that
  /// was read, and of no other one, may send the probe.
  quarantine_state StateWithProbe(prompt_part aPart, instant aNow) const;
  /// The claim was stored, or may have been. Only if it was, `aGranted`, the next request with the
  /// part at this daemon is the probe.
  void OnProbeClaimed(prompt_part aPart, bool aGranted, instant aNow);

  quarantine_state State() const;
  /// Incremented with each change that other daemons have to know.
  std::uint64_t Version() const { return mVersion; }
  /// Decisions since the last call, own ones and those of others.
  std::vector<quarantine_event> TakeEvents() { return std::exchange(mEvents, {}); }
  std::size_t PartCount() const { return Quarantined().size(); }
  std::size_t CrashCount() const { return mEvidence.AllCrashes().size(); }

private:
  std::set<prompt_part> Quarantined() const;
  bool ProbeDue(const quarantined_part& aPart, instant aNow) const;
  instant NextProbe(const quarantined_part& aPart) const;
  /// Whether the evidence or what it is judged by has changed since it was last evaluated.
  bool ProofDue(instant aNow) const;
  void Quarantine(const crash_suspect& aSuspect, instant aNow);
  void Release(quarantined_part& aPart, const char* aReason);
  bool MergePart(const quarantined_part& aPart, instant aNow);
  void LimitParts();

  quarantine_settings mSettings;
  crash_evidence mEvidence;
  std::map<prompt_part, quarantined_part> mParts;
  std::map<prompt_part, instant> mProvedSince; ///< proofs that have not settled
  std::set<prompt_part> mExempt;
  std::set<prompt_part> mWanted; ///< quarantined parts of requests since their probe became due
  std::optional<prompt_part> mAllowedProbe;
  std::vector<quarantine_event> mEvents;
  std::uint64_t mVersion = 0;
  std::uint64_t mProvedVersion = 0; ///< at the last evaluation of the evidence
  instant mProvedAt{};
  instant mDecidesFrom;
  instant mTickedAt;
};

} // namespace skylarkwind
