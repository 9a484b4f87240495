#pragma once

#include <absl/status/statusor.h>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace skylarkwind {

/// One daemon's recorded amount of one limit and its unmet demand.
struct share_entry
{
  std::uint64_t mAmount = 0;
  std::uint64_t mWanted = 0; ///< demand; 0 when the amount covers it
  bool operator==(const share_entry&) const = default;
};

/// All entries of the daemon of one VM in a shard.
struct share_holder
{
  std::uint64_t mStartId = 0;
  std::uint64_t mRenewal = 0; ///< grows by one with each write of the owner
  std::map<std::string, share_entry, std::less<>> mEntries;
};

/// The value of `shares/<shard>`:
///
///     {"t":<table serial>,
///      "d":[["<vm>",<start id>,<renewal>],...],
///      "l":{"<limit>":[<amount of the limit>,<index in d>,<amount>,<wanted>,...],...}}
///
/// A limit is named "c:<name>" (requests in flight) or "r:<name>" (requests per second). Entries
/// without amount and demand, limits without entries and daemons without entries are left out.
struct share_object
{
  std::uint64_t mTableSerial = 0;
  std::map<std::string, std::uint64_t, std::less<>> mLimits;
  std::map<std::string, share_holder, std::less<>> mHolders; ///< by VM

  static absl::StatusOr<share_object> Parse(std::string_view aJson);
  std::string ToJson() const;

  /// Sum of the amounts of a limit over all daemons.
  std::uint64_t Sum(std::string_view aLimit) const;
};

} // namespace skylarkwind
