#pragma once

#include "skylarkwind/protocol_adapter.h"

#include <kj/async.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace skylarkwind {

/// One page of the list of all objects of a kind.
struct object_page
{
  std::vector<stored_object> mObjects;
  bool mMore = false;    ///< further pages follow
  std::uint64_t mAt = 0; ///< revision of the store at which the page was read
};

/// A created, replaced or removed object.
struct object_change
{
  stored_object mObject;
  bool mRemoved = false;
};

/// The result of a watch.
struct object_changes
{
  std::vector<object_change> mChanges;
  std::uint64_t mAt = 0; ///< revision of the store up to which the changes are complete
};

/// The result of a successful write or removal.
struct object_written
{
  std::uint64_t mRevision = 0; ///< revision that the write produced
};

/// Why a call to the store failed. The cause says whether a write may have taken effect.
struct store_failure
{
  enum class cause
  {
    Refused,     ///< no effect: the store rejected the call, or it was not sent
    NoAnswer,    ///< no response; a write may have taken effect or may still do so
    HistoryGone, ///< the revision is no longer in the history; list before watching again
    Conflict,    ///< the stored revision differs from the expected one
    Missing      ///< no such object
  } mCause = cause::NoAnswer;
  std::string mReason;
};

/// The value that a call to the store returns, or the reason for its failure.
template<class value>
using store_result = std::variant<value, store_failure>;

/// Client interface of the platform's store of versioned objects. Every call has a time limit for
/// the beginning of its answer and for each part of it, and is sent once, without retries.
class object_store
{
public:
  virtual ~object_store() = default;
  /// Number of times that the store was restored from a copy, as its last answer says; 0 when it
  /// says nothing about it.
  virtual std::uint64_t Era() const { return 0; }
  /// Whether an answer about objects of this kind has begun to arrive and is not complete yet.
  virtual bool IsReceiving(std::string_view) const { return false; }
  /// Reads one page of the objects of a kind, beginning after the name `aAfter`. With `aMayBeStale`
  /// the result may be seconds old; such a call is cheaper.
  virtual kj::Promise<store_result<object_page>> List(std::string aKind,
                                                      std::string aAfter,
                                                      bool aMayBeStale) = 0;
  /// Long-polls for changes after revision `aFrom`, for at most `aWait`.
  virtual kj::Promise<store_result<object_changes>> Watch(std::string aKind,
                                                          std::uint64_t aFrom,
                                                          std::chrono::milliseconds aWait) = 0;
  /// Reads one object; fails with `Missing` when there is none of this name.
  virtual kj::Promise<store_result<stored_object>> Read(std::string aKind, std::string aName) = 0;
  /// Replaces an object if its stored revision is `aRevision`; without a revision, creates it.
  virtual kj::Promise<store_result<object_written>> Write(std::string aKind,
                                                          std::string aName,
                                                          std::optional<std::uint64_t> aRevision,
                                                          std::string aValue) = 0;
  /// Replaces an object regardless of its revision.
  virtual kj::Promise<store_result<object_written>> Replace(std::string aKind,
                                                            std::string aName,
                                                            std::string aValue) = 0;
  /// Removes an object if its stored revision is `aRevision`.
  virtual kj::Promise<store_result<object_written>> Remove(std::string aKind,
                                                           std::string aName,
                                                           std::uint64_t aRevision) = 0;
};

} // namespace skylarkwind
