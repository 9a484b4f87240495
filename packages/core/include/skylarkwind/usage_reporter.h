#pragma once

#include "skylarkwind/protocol_adapter.h"
#include "skylarkwind/usage_counts.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace skylarkwind {

/// Positions of the daemons that report usage or are ready to, first the one that reports, from the
/// data centres of the candidates in order of their rank. Ready are the next candidate of the same
/// data centre, which ranks first when the first one ends, and the first of another data centre.
std::vector<std::size_t> ReportingOrder(std::span<const std::string> aDataCentres);

/// Decides which windows of usage are reported to the platform, and when. The counts of a window
/// are fixed once and stored in the state of the singleton task before they are sent, so that each
/// later attempt, by this daemon or the next holder of the task, sends the same counts.
class usage_reporter
{
public:
  /// Counts of a window of the whole fleet, by name of the account.
  using count_window = std::function<std::map<std::string, std::uint64_t>(std::uint64_t aWindow)>;

  /// `aSettle`: time from the end of a window until its counts are fixed.
  usage_reporter(std::chrono::milliseconds aWindow, std::chrono::milliseconds aSettle);

  /// Whether a window waits to be fixed or sent. `aNow` is true time.
  bool IsDue(wall_instant aNow) const;
  /// Whether the daemon at position `aPlace` of the reporting order acts as the first one: the
  /// state, as last read, lacks a window that should have been stored for seconds, or it was
  /// written by this daemon and has windows that it has not sent yet. `aNow` is true time.
  bool ActsAsFirst(const std::string& aStored, std::size_t aPlace, wall_instant aNow);
  /// Begins from the stored state after an acquisition of the task. Windows that an earlier holder
  /// may have sent without a record of it are not reported: with an empty state, or one that was
  /// written before the store was restored from a copy (`aEra` differs), reports begin with the
  /// window that is open now.
  void OnAcquired(const std::string& aState, std::uint64_t aEra, wall_instant aNow);
  /// Fixes the counts of the windows that have ended long enough ago. Returns the state to store;
  /// empty when there is nothing new to store.
  std::optional<std::string> FixWindows(const count_window& aCount, wall_instant aNow);
  /// The window that is to be sent now, if any: the oldest one that is stored and not acknowledged.
  /// Windows whose attempts have had no answer come after those with fewer such attempts, so that a
  /// platform that takes reports but answers too late still gets all of them. `aStored`: the state
  /// that is known to be stored.
  std::optional<usage_window> Next(const std::string& aStored, instant aNow);
  /// Result of sending the window: the HTTP status, 0 without an answer, below 0 if not sent.
  void OnSent(std::uint64_t aWindow, int aStatus, instant aNow);

  /// Windows that are fixed and not acknowledged.
  std::size_t Waiting() const { return mFixed.size(); }

private:
  /// A window that is not acknowledged.
  struct waiting_window
  {
    usage_window mWindow;
    unsigned int mUnanswered = 0; ///< attempts without an answer
  };

  std::string State() const;
  void Confirm(const std::string& aStored);
  /// Drops the oldest windows until the rest can be stored.
  void DropOldest();
  std::uint64_t WindowAt(wall_instant aTime) const;

  std::chrono::milliseconds mWindow;
  std::chrono::milliseconds mSettle;
  bool mHasStarted = false;                       ///< the task was acquired once
  std::uint64_t mEra = 0;                         ///< of the store that the state is written to
  std::uint64_t mNextWindow = 0;                  ///< the next one to be fixed
  std::map<std::uint64_t, waiting_window> mFixed; ///< not acknowledged
  std::string mState; ///< contains all of `mFixed`, and maybe windows sent since
  bool mIsSending = false;
  instant mNotBefore{};          ///< of the next attempt
  std::string mConfirmed;        ///< last state of this daemon that is known to be stored
  std::uint64_t mStoredNext = 0; ///< windows before this one are stored in it, or sent
  std::string mSeenState;
  std::optional<std::uint64_t> mSeenNext; ///< in `mSeenState`
};

} // namespace skylarkwind
