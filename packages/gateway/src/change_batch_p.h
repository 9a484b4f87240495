#pragma once

#include "skylarkwind/object_store.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// Changes of one kind of object that a daemon has read from the store, for daemons that do not
/// follow the store themselves.
struct change_batch
{
  std::string mKind;
  /// The changes lead from the state at any revision in [mFrom, mTo) to the state at mTo.
  std::uint64_t mFrom = 0;
  std::uint64_t mTo = 0;
  /// All objects of the kind instead of changes; mFrom is then the revision of the newest change.
  bool mWhole = false;
  /// The store was away before, so that entries of live servers may have lapsed.
  bool mAfterOutage = false;
  std::vector<object_change> mChanges;
};

std::string EncodeBatch(const change_batch& aBatch);
/// Empty when the bytes are no batch.
std::optional<change_batch> DecodeBatch(std::string_view aBytes);

/// Splits a message into datagrams that carry the sender, the message's number and their place.
std::vector<std::string> Fragments(std::string_view aMessage,
                                   std::string_view aSender,
                                   std::uint64_t aNumber);

/// Puts the fragments of messages together. A message with a lost fragment is dropped when a later
/// one of the same sender begins.
class fragment_collector
{
public:
  /// Whether a datagram is a fragment at all.
  static bool IsFragment(std::string_view aDatagram);
  /// The whole message with its last missing fragment, else nothing.
  std::optional<std::string> Add(std::string_view aDatagram);

private:
  struct open_message
  {
    std::uint64_t mNumber = 0;
    std::size_t mMissing = 0;
    std::vector<std::string> mParts;
  };
  std::map<std::string, open_message, std::less<>> mOpen; ///< by sender
};

} // namespace skylarkwind
