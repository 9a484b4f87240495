#include "skylarkwind/account_index.h"

#include "skylarkwind/hash.h"
#include "skylarkwind/visible_ascii.h"

#include <algorithm>
#include <unordered_set>

namespace skylarkwind {

namespace {

/// Longest account name that is accepted; names are sent in headers.
constexpr std::size_t kMaxNameBytes = 256;

/// Whether a name can be sent in a header.
bool
IsUsableName(std::string_view aName)
{
  return !aName.empty() && aName.size() <= kMaxNameBytes && IsVisibleAscii(aName);
}

} // namespace

void
account_index::Replace(std::span<const client_account> aAccounts)
{
  mEntries.clear();
  mProblems.clear();
  mKeyCount = 0;
  std::unordered_set<std::string_view> names;
  for (std::size_t i = 0; i < aAccounts.size(); ++i) {
    const auto& account = aAccounts[i];
    if (!IsUsableName(account.mName)) {
      mProblems.push_back("account at position " + std::to_string(i) + " has no usable name");
    } else if (!names.insert(account.mName).second) {
      mProblems.push_back("account " + account.mName + " is listed twice; only the first counts");
    } else {
      for (const auto& key : account.mKeys) {
        Add(key, account);
      }
    }
  }
}

void
account_index::Add(std::string_view aKey, const client_account& aAccount)
{
  if (aKey.empty()) {
    mProblems.push_back("account " + aAccount.mName + " has an empty or malformed key");
    return;
  }
  const auto hash = Hash64(aKey, mSecret);
  const auto [first, last] = mEntries.equal_range(hash);
  const auto known =
    std::find_if(first, last, [&](const auto& aEntry) { return aEntry.second.mKey == aKey; });
  if (known == last) {
    mEntries.emplace(hash, entry{ aKey, &aAccount });
    ++mKeyCount;
    return;
  }
  auto& other = known->second.mAccount;
  if (other == &aAccount) {
    return;
  }
  mProblems.push_back(
    "account " + aAccount.mName + " has a key of " +
    (other == nullptr ? std::string{ "other accounts" } : "account " + other->mName) +
    "; the key belongs to neither");
  mKeyCount -= other == nullptr ? 0 : 1;
  other = nullptr;
}

const client_account*
account_index::Find(std::string_view aKey) const
{
  if (aKey.empty()) {
    return nullptr;
  }
  const auto [first, last] = mEntries.equal_range(Hash64(aKey, mSecret));
  for (auto found = first; found != last; ++found) {
    if (EqualConstantTime(found->second.mKey, aKey)) {
      return found->second.mAccount;
    }
  }
  return nullptr;
}

} // namespace skylarkwind
