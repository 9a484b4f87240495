#pragma once

#include "skylarkwind/protocol_adapter.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace skylarkwind {

/// All objects of a kind, by name.
using object_map = std::map<std::string, stored_object>;

/// What earlier states of a kind differ in from the current one, for the most recent changes.
class object_history
{
public:
  /// Begins to note a change of the state at `aFrom` to the one at `aTo`.
  void Begin(std::uint64_t aFrom, std::uint64_t aTo);
  /// Notes the object that an object of this name replaces, or that there was none.
  void Keep(const std::string& aName, std::optional<stored_object> aBefore);
  /// Notes all differences between two states.
  void KeepDifferences(const object_map& aBefore, const object_map& aAfter);

  /// Revision at which the state before the newest change was complete; empty when not known.
  std::optional<std::uint64_t> PreviousRevision() const;
  /// The objects as of this revision; empty when it is too old.
  std::optional<object_map> At(const object_map& aCurrent, std::uint64_t aRevision) const;

private:
  struct change
  {
    std::uint64_t mFrom = 0;
    std::uint64_t mTo = 0;
    std::vector<std::pair<std::string, std::optional<stored_object>>> mBefore;
    std::size_t mBytes = 0;
    bool mLost = false; ///< too large to be kept
  };
  void Trim();

  std::vector<change> mChanges; ///< oldest first
};

} // namespace skylarkwind
