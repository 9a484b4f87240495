#pragma once

#include "skylarkwind/forward_types.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace skylarkwind {

/// Index of client accounts by their keys. Keys are found by a hash with a secret seed and then
/// compared in constant time, so that the time of a look-up tells nothing about a key.
class account_index
{
public:
  /// `aSecret` seeds the hash; a daemon draws it at its start.
  explicit account_index(std::uint64_t aSecret)
    : mSecret(aSecret)
  {
  }

  /// Indexes these accounts, which must outlive the index, instead of the earlier ones. Leaves out
  /// what is unusable: accounts without a usable name, names that occur twice, empty keys, and keys
  /// of several accounts.
  void Replace(std::span<const client_account> aAccounts);

  /// The account with this key; null when there is none.
  const client_account* Find(std::string_view aKey) const;

  /// What the last `Replace` left out, one message each for the log, without any key.
  const std::vector<std::string>& Problems() const { return mProblems; }
  /// Number of usable keys.
  std::size_t KeyCount() const { return mKeyCount; }

private:
  struct entry
  {
    std::string_view mKey;
    const client_account* mAccount = nullptr; ///< null when several accounts have the key
  };

  void Add(std::string_view aKey, const client_account& aAccount);

  std::uint64_t mSecret;
  std::unordered_multimap<std::uint64_t, entry> mEntries; ///< by hash of the key
  std::size_t mKeyCount = 0;
  std::vector<std::string> mProblems;
};

} // namespace skylarkwind
