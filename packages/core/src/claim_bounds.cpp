#include "claim_bounds_p.h"

#include <algorithm>
#include <vector>

namespace skylarkwind {

namespace {

/// Upper bound of the bytes of one member of the JSON object, with quotes, colon and comma;
/// escaping at most doubles the key.
std::size_t
Bytes(const std::string& aKey, const claim_entry& aEntry)
{
  return 2 * aKey.size() + aEntry.ToJson().size() + 8;
}

std::vector<claim_map::iterator>
OutcomesByAge(claim_map& aClaims)
{
  std::vector<claim_map::iterator> outcomes;
  for (auto claim = aClaims.begin(); claim != aClaims.end(); ++claim) {
    if (claim->second.mState == claim_state::Done) {
      outcomes.push_back(claim);
    }
  }
  std::sort(outcomes.begin(), outcomes.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft->second.mChanged < aRight->second.mChanged;
  });
  return outcomes;
}

} // namespace

void
RemoveExpiredClaims(claim_map& aClaims, wall_instant aNow, std::chrono::milliseconds aRetention)
{
  std::erase_if(aClaims, [&](const auto& aClaim) {
    const auto& entry = aClaim.second;
    const wall_instant since =
      entry.mState == claim_state::Claimed ? entry.mDeadline : entry.mChanged;
    return aNow - since > aRetention;
  });
}

bool
LimitClaimBytes(claim_map& aClaims, std::size_t aBytes)
{
  std::size_t total = 2;
  for (const auto& [key, entry] : aClaims) {
    total += Bytes(key, entry);
  }
  if (total <= aBytes) {
    return true;
  }
  // Frees an additional tenth, so that not every write has to search for the oldest outcomes.
  const std::size_t goal = aBytes - aBytes / 10;
  const auto outcomes = OutcomesByAge(aClaims);
  for (auto claim : outcomes) {
    if (total <= goal) {
      return true;
    }
    auto& entry = claim->second;
    total -= Bytes(claim->first, entry);
    entry.mBody.clear();
    entry.mHeaders.clear();
    entry.mBodyRecorded = false;
    total += Bytes(claim->first, entry);
  }
  for (auto claim : outcomes) {
    if (total <= goal) {
      return true;
    }
    total -= Bytes(claim->first, claim->second);
    aClaims.erase(claim);
  }
  return total <= aBytes;
}

} // namespace skylarkwind
