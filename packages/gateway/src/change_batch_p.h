#pragma once

#include "skylarkwind/object_store.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

/// Changes of one kind of object that a daemon has read from the store and relays to daemons that
/// do not watch the store themselves.
struct change_batch
{
  std::string mKind;
  /// Applied to the state at any revision in [mFrom, mTo), the changes give the state at mTo.
  std::uint64_t mFrom = 0;
  std::uint64_t mTo = 0;
  /// The batch is a snapshot: it holds all objects of the kind instead of changes, and mFrom is the
  /// revision of the newest change.
  bool mIsSnapshot = false;
  /// The store was unreachable shortly before, so that entries of live servers may have expired.
  bool mAfterOutage = false;
  std::vector<object_change> mChanges;
  /// Whether a daemon other than the one that read the batch from the store sent it.
  bool mForwarded = false;
  /// Time since a daemon read the batch from the store, as far as this daemon knows. Not encoded.
  std::chrono::milliseconds mAge{};

  /// Whether the batch only says that nothing changed up to mTo.
  bool IsHeartbeat() const { return !mIsSnapshot && mChanges.empty(); }
};

/// Encodes a batch as CBOR.
std::string EncodeBatch(const change_batch& aBatch);
/// Empty when the bytes are not a valid batch.
std::optional<change_batch> DecodeBatch(std::string_view aBytes);

/// Splits a message into datagrams. Each carries the sender, the message's number `aNumber`, its
/// own index and the number of fragments.
std::vector<std::string> SplitIntoFragments(std::string_view aMessage,
                                            std::string_view aSender,
                                            std::uint64_t aNumber);

/// Reassembles messages from their fragments. An incomplete message is dropped when a fragment of
/// another message of the same sender arrives.
class fragment_reassembler
{
public:
  /// Whether a datagram is a fragment; its content may still be damaged.
  static bool IsFragment(std::string_view aDatagram);
  /// Adds a fragment. Returns the message when this fragment completes it.
  std::optional<std::string> Add(std::string_view aDatagram);

private:
  struct partial_message
  {
    std::uint64_t mNumber = 0;
    std::size_t mMissing = 0; ///< fragments that have not arrived
    std::vector<std::string> mFragments;
  };
  std::map<std::string, partial_message, std::less<>> mPartialMessages; ///< by sender
};

} // namespace skylarkwind
