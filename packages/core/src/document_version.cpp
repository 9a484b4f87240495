#include "document_version_p.h"

#include "skylarkwind/table.h"

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

namespace skylarkwind {

using nlohmann::json;

absl::StatusOr<std::uint64_t>
DocumentVersion(std::string_view aName, std::string_view aValue)
{
  std::uint64_t version = 0;
  if (aName == "table") {
    const auto object = table_object::Parse(aValue);
    if (!object.ok()) {
      return object.status();
    }
    version = object->mTable.Serial();
  } else {
    const auto value = json::parse(aValue, nullptr, false);
    if (!value.is_object() || !value.contains("revision") ||
        !value["revision"].is_number_unsigned()) {
      return absl::InvalidArgumentError("member revision is missing or not an unsigned integer");
    }
    version = value["revision"].get<std::uint64_t>();
  }
  if (version == 0) {
    return absl::InvalidArgumentError("version is 0; versions start at 1");
  }
  return version;
}

} // namespace skylarkwind
