#pragma once

#include "skylarkwind/clock.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

/// Counts of the requests of each client account, by windows of true time, and how the counts of
/// all daemons are brought together.
namespace skylarkwind {

/// Identifies an account in messages between daemons: a hash of its name.
using account_key = std::uint64_t;

account_key AccountKey(std::string_view aName);

/// Number of the window of this length that contains the time, counted from the start of 1970.
std::uint64_t UsageWindowAt(wall_instant aTime, std::chrono::milliseconds aWindow);

/// Number of requests of one account that began to run in one window. Counts only grow, so that
/// the larger one of two counts by the same daemon is the newer one.
struct usage_count
{
  std::uint64_t mWindow = 0; ///< number of the window since the start of 1970
  account_key mAccount = 0;
  std::uint64_t mRequests = 0;
  bool operator==(const usage_count&) const = default;
};

/// Sent by each daemon to the collectors of its data centre, and by collectors, with sums, to the
/// daemon that reports the usage of the fleet. Large reports are sent in several messages.
struct usage_message
{
  std::string mSender;
  std::uint64_t mStart = 0; ///< random id of the sender's process
  std::string mDataCentre;
  bool mIsSum = false; ///< counts of a whole data centre
  std::vector<usage_count> mCounts;
  bool operator==(const usage_message&) const = default;
};

/// True time from a clock that runs evenly and the time of day. The time of day of a VM may be
/// stepped and stepped back; the estimate follows only a difference that lasts.
class true_time
{
public:
  /// Notes both clocks, at most once a second.
  void OnTick(wall_instant aTimeOfDay, instant aNow);
  /// The estimate; the start of 1970 before the first `OnTick`.
  wall_instant At(instant aNow) const;

private:
  /// Seconds of differences that are kept. A step that is undone within half of it has no effect.
  static constexpr std::size_t kSamples = 61;
  std::deque<std::chrono::milliseconds> mOffsets; ///< time of day less the even clock
  std::chrono::milliseconds mOffset{};            ///< median of them
  std::optional<instant> mSampledAt;
};

/// Is due once in each second of true time, `aOffset` after its begin: windows begin with a second,
/// so that their last counts are sent soon after their end.
class second_timer
{
public:
  explicit second_timer(std::chrono::milliseconds aOffset)
    : mOffset(aOffset)
  {
  }
  bool IsDue(wall_instant aNow)
  {
    const auto second = std::chrono::floor<std::chrono::seconds>(aNow - mOffset);
    return std::exchange(mLast, second) != second;
  }

private:
  std::chrono::milliseconds mOffset;
  std::optional<std::chrono::sys_seconds> mLast;
};

/// Counts the requests that this daemon saw begin.
class usage_counter
{
public:
  /// `aWindow`: length of a window.
  explicit usage_counter(std::chrono::milliseconds aWindow)
    : mWindow(aWindow)
  {
  }

  std::uint64_t WindowAt(wall_instant aTime) const;
  /// End of a window.
  wall_instant EndOf(std::uint64_t aWindow) const;
  void OnRequestBegan(std::string_view aAccount, wall_instant aAt);
  /// Counts of this window and later ones.
  std::vector<usage_count> CountsFrom(std::uint64_t aWindow) const;
  /// Drops the counts of earlier windows.
  void DropBefore(std::uint64_t aWindow);
  /// Increases with every request.
  std::uint64_t Changes() const { return mChanges; }

private:
  std::chrono::milliseconds mWindow;
  std::map<std::pair<std::uint64_t, account_key>, std::uint64_t> mCounts;
  std::uint64_t mChanges = 0;
};

/// Brings together the counts of the daemons of a data centre and the sums of all data centres.
/// Messages may be lost, repeated and late. Counts of daemons that have ended are kept, since their
/// requests were run.
class usage_collector
{
public:
  explicit usage_collector(std::string aDataCentre)
    : mDataCentre(std::move(aDataCentre))
  {
  }

  void OnMessage(const usage_message& aMessage);
  /// Sums over the daemons of this data centre, for this window and later ones.
  std::vector<usage_count> LocalSumsFrom(std::uint64_t aWindow) const;
  /// Counts of the fleet in a window, by account. Of several collectors of a data centre the
  /// largest sum counts, as each one may lack reports but none has too many.
  std::map<account_key, std::uint64_t> Total(std::uint64_t aWindow) const;
  void DropBefore(std::uint64_t aWindow);

private:
  using window_counts = std::map<std::pair<std::uint64_t, account_key>, std::uint64_t>;
  static void Merge(window_counts& aInto, const std::vector<usage_count>& aCounts);
  static void DropBefore(window_counts& aCounts, std::uint64_t aWindow);

  std::string mDataCentre;
  /// By name and process of the daemon.
  std::map<std::pair<std::string, std::uint64_t>, window_counts> mDaemons;
  /// By data centre, then by name and process of the collector.
  std::map<std::string, std::map<std::pair<std::string, std::uint64_t>, window_counts>> mSums;
};

} // namespace skylarkwind
