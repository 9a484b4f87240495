#pragma once

#include "skylarkwind/forward_dialect.h"

#include <kj/async.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace skylarkwind {

/// A part of the list of a kind's objects.
struct object_page
{
  std::vector<stored_object> mObjects;
  bool mMore = false;
  std::uint64_t mAt = 0; ///< the store's revision
};

struct object_change
{
  stored_object mObject;
  bool mRemoved = false;
};

struct object_changes
{
  std::vector<object_change> mChanges;
  std::uint64_t mAt = 0;
};

struct object_written
{
  std::uint64_t mRevision = 0;
};

struct store_failure
{
  enum class cause
  {
    Refused,     ///< the store says that it did nothing
    NoAnswer,    ///< a write may have been done, or may be done later
    HistoryGone, ///< a watch must begin again with a list
    Conflict,    ///< the stored revision differs
    Missing
  } mCause = cause::NoAnswer;
  std::string mReason;
};

template<class value>
using store_result = std::variant<value, store_failure>;

/// The platform's versioned objects. Every call has a time limit and is sent once.
class object_store
{
public:
  virtual ~object_store() = default;
  /// With `aMayBeStale` the list may be seconds old; such a call is cheaper.
  virtual kj::Promise<store_result<object_page>> List(std::string aKind,
                                                      std::string aAfter,
                                                      bool aMayBeStale) = 0;
  /// Waits for changes after revision `aFrom`, for `aWait` at most.
  virtual kj::Promise<store_result<object_changes>> Watch(std::string aKind,
                                                          std::uint64_t aFrom,
                                                          std::chrono::milliseconds aWait) = 0;
  virtual kj::Promise<store_result<stored_object>> Read(std::string aKind, std::string aName) = 0;
  /// Replaces an object whose revision is `aRevision`; without one, creates it.
  virtual kj::Promise<store_result<object_written>> Write(std::string aKind,
                                                          std::string aName,
                                                          std::optional<std::uint64_t> aRevision,
                                                          std::string aValue) = 0;
  /// Replaces an object whatever its revision is.
  virtual kj::Promise<store_result<object_written>> Replace(std::string aKind,
                                                            std::string aName,
                                                            std::string aValue) = 0;
  virtual kj::Promise<store_result<object_written>> Remove(std::string aKind,
                                                           std::string aName,
                                                           std::uint64_t aRevision) = 0;
};

} // namespace skylarkwind
