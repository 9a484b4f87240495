#pragma once

#include "skylarkwind/backend_calls.h"
#include "skylarkwind/clock.h"
#include "skylarkwind/types.h"

#include <absl/status/statusor.h>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

namespace skylarkwind {

/// State of a claim.
enum class claim_state
{
  Claimed,  ///< the process with this attempt may send the request once
  Done,     ///< the request was executed; the outcome is recorded
  Unknown,  ///< the request may have been executed
  Withdrawn ///< only in messages: requests removal of a claim whose request was never sent
};

/// One claim of a non-idempotent request. `mAttempt` is unique over all processes and decides who
/// may send the request.
struct claim_entry
{
  claim_state mState = claim_state::Claimed;
  process_id mProcess;
  std::string mAttempt;
  std::string mFingerprint;
  wall_instant mDeadline; ///< deadline of the request
  wall_instant mChanged;  ///< when the state was reached; retention counts from here
  int mStatus = 0;
  header_list mHeaders;
  std::string mBody;
  bool mBodyRecorded = true;

  bool operator==(const claim_entry&) const = default;

  /// {"s":"c|d|u|w","v":vm,"i":start id,"a":attempt,"f":fingerprint,"x":deadline ms,"t":changed ms}
  /// and, when done, "c":status, "h":[[name,value],...], "b":body. Strings hold one byte of the
  /// original in each code point (U+0000 to U+00FF), because bodies need not be UTF-8.
  static absl::StatusOr<claim_entry> Parse(std::string_view aJson);
  std::string ToJson() const;
};

/// The value of `claims/<shard>`: {"<key>":<entry>,...}.
using claim_map = std::map<std::string, claim_entry, std::less<>>;

absl::StatusOr<claim_map> ParseClaims(std::string_view aJson);
std::string ClaimsToJson(const claim_map& aClaims);

} // namespace skylarkwind
