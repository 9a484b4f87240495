#pragma once

#include "skylarkwind/types.h"

#include <chrono>
#include <string>
#include <variant>
#include <vector>

namespace skylarkwind {

/// An object of the platform's object API, for example kind "table", name "current".
struct object_key
{
  std::string mKind;
  std::string mName;
  auto operator<=>(const object_key&) const = default; // NOLINT(modernize-use-nullptr)
};

/// Reads one object.
struct read_object
{
  object_key mKey;
};

/// Conditional update: takes effect only if the stored version is `mExpectedVersion`
/// (0 means that the object must not exist).
struct write_object
{
  object_key mKey;
  std::uint64_t mExpectedVersion = 0;
  std::string mValue; ///< JSON text
};

/// Long poll: returns when the stored version is above `mAfterVersion`, or after `mWait`.
struct watch_object
{
  object_key mKey;
  std::uint64_t mAfterVersion = 0;
  std::chrono::milliseconds mWait{ 0 };
};

/// Reads the VM list.
struct read_vm_list
{};

using platform_operation = std::variant<read_object, write_object, watch_object, read_vm_list>;

/// The stored object: the result of a read, or of a watch that saw a newer version.
struct object_found
{
  std::uint64_t mVersion = 0;
  std::string mValue; ///< JSON text
};

/// No object is stored under the key.
struct object_missing
{};

/// The watch timed out without a newer version.
struct object_unchanged
{};

/// The write took effect and produced this version.
struct write_accepted
{
  std::uint64_t mVersion = 0;
};

/// The write had no effect because the stored version differs.
struct write_conflict
{
  std::uint64_t mStoredVersion = 0;
};

/// The platform rejected the call without executing it (429, 503, 413), or the request was never
/// sent. A write had no effect.
struct platform_refused
{
  std::string mReason;
};

/// No response arrived. A write may or may not have taken effect.
struct platform_outcome_unknown
{
  std::string mReason;
};

enum class vm_kind
{
  Entry,
  Backend
};

/// A VM of the platform's VM list.
struct vm_entry
{
  std::string mName;
  std::string mAddress;
  std::string mDataCentre;
  vm_kind mKind = vm_kind::Entry;
  bool mLeaving = false;
};

struct vm_list
{
  std::vector<vm_entry> mVms;
};

using platform_result = std::variant<object_found,
                                     object_missing,
                                     object_unchanged,
                                     write_accepted,
                                     write_conflict,
                                     vm_list,
                                     platform_refused,
                                     platform_outcome_unknown>;

} // namespace skylarkwind
