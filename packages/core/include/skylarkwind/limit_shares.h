#pragma once

#include "skylarkwind/effects.h"
#include "skylarkwind/events.h"
#include "skylarkwind/membership.h"
#include "skylarkwind/table.h"

#include <absl/status/statusor.h>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace skylarkwind {

/// Settings of this daemon's shares of the limits.
struct limit_shares_settings
{
  process_id mSelf;
  std::uint32_t mShards = 16; ///< number of objects `shares/<shard>`
  /// An entry that has not been renewed for this time is invalid.
  std::chrono::seconds mShareTerm{ 900 };
  /// Shortest time between two writes of a shard.
  std::chrono::milliseconds mWritePeriod{ 1'000 };
  /// An unused amount is returned after two windows of 9/20 of this time and one write period.
  std::chrono::milliseconds mReleaseAfter{ 2'000 };
  /// The entry of a VM may be removed when the VM has been missing from the VM lists and the
  /// entry has not changed for this time.
  std::chrono::milliseconds mVmGoneAfter{ 30'000 };
  std::uint64_t mRandomSeed = 1;
};

/// Identifies the unit of each limit that a request holds while it runs.
struct limit_ticket
{
  std::uint64_t mNumber = 0;
};

/// The request was not admitted, because this daemon's share of a limit does not allow it now.
struct limit_denied
{
  std::string mLimit; ///< for example "account/alpha"
  std::chrono::milliseconds mRetryAfter{ 0 };
  /// The limit is used up over all daemons, as far as this one knows. When false, this daemon has
  /// asked for a larger share, and a retry after `mRetryAfter` may succeed.
  bool mExhausted = false;
};

using limit_decision = std::variant<limit_ticket, limit_denied>;

/// The shares of the concurrency and rate limits that this daemon may use. The sum of all shares
/// of a limit never exceeds the limit, because every change of a share is a conditional update of
/// the object `shares/<shard>`. A limit belongs to the shard Hash64(name) % mShards. The value is
///
///     {"t":<table serial>,
///      "d":[["<vm>",<start id>,<renewal counter>],...],
///      "l":{"c:<name>":[<limit>,<index in d>,<amount>,<wanted>,...],"r:<name>":[...]}}
///
/// where "c:" counts requests in flight and "r:" units of a rate. A rate has floor(rate) units, at
/// least 1, of rate/units requests per second each; a share of k units is a token bucket of k
/// requests. Entries of 0 are left out. `wanted` tells the other holders the daemon's demand;
/// amounts converge to max-min fairness. With 350 daemons that hold both limits of 450 accounts, a
/// value has about 300 kB in 16 shards and 570 kB in 8.
class limit_shares
{
public:
  static absl::StatusOr<std::unique_ptr<limit_shares>> Create(limit_shares_settings aSettings,
                                                              const membership& aMembers);
  virtual ~limit_shares() = default;

  /// Acquires one unit of each limit, or none. Limits without a row or with value 0 always admit.
  /// `aEndsBy` is the latest end of the request; it lies within the term of the shares or the
  /// request is denied.
  virtual limit_decision TryAcquire(std::span<const std::string> aLimits,
                                    instant aEndsBy,
                                    instant aNow) = 0;
  /// Returns the units of a ticket; an unknown ticket is ignored.
  virtual void Release(limit_ticket aTicket, instant aNow) = 0;

  /// Applies the limits of a new table.
  virtual void OnTable(const table& aTable, instant aNow) = 0;
  /// Updates which VMs exist, so that entries of removed VMs can be reclaimed.
  virtual void OnVmList(const vm_list& aList, instant aNow) = 0;
  /// Starts the reads and writes that are due.
  virtual void OnTick(instant aNow, effect_list& aOut) = 0;
  /// Handles the reply to a call that carries part::LimitShares.
  virtual void OnPlatformReply(const platform_replied& aReply, instant aNow, effect_list& aOut) = 0;
  /// Gives back all units that are not in use.
  virtual void OnShutdown(instant aNow, effect_list& aOut) = 0;

  /// State of one limit for reports.
  struct share_view
  {
    std::string mLimit; ///< its name
    std::uint64_t mLimitAmount = 0;
    std::uint64_t mShare = 0; ///< units that this daemon may use
    std::uint64_t mInUse = 0;
  };
  /// Every limit in use by this daemon that has a value above 0.
  virtual std::vector<share_view> View() const = 0;
};

/// Names of limits: "account/<name>", "service/<name>", "role/<service>/<role>".
std::string AccountLimit(std::string_view aAccount);
std::string ServiceLimit(std::string_view aService);
std::string RoleLimit(std::string_view aService, engine_role aRole);

} // namespace skylarkwind
