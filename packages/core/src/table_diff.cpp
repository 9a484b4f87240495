#include "table_json_p.h"

#include <map>

namespace skylarkwind {
namespace {

std::string
RowKey(const role_row& aRow)
{
  return aRow.mService + "/" + std::string{ RoleText(aRow.mRole) };
}

template<class row>
std::string
RowKey(const row& aRow)
{
  return aRow.mName;
}

template<class row>
void
DiffRows(std::string_view aSection,
         std::span<const row> aBefore,
         std::span<const row> aAfter,
         std::vector<row_change>& aOut)
{
  std::map<std::string, std::pair<const row*, const row*>> rows;
  for (const auto& each : aBefore) {
    rows[RowKey(each)].first = &each;
  }
  for (const auto& each : aAfter) {
    rows[RowKey(each)].second = &each;
  }
  for (const auto& [key, pair] : rows) {
    const auto [before, after] = pair;
    if (before != nullptr && after != nullptr && *before == *after) {
      continue;
    }
    aOut.push_back({ before == nullptr  ? row_change::kind::Added
                     : after == nullptr ? row_change::kind::Removed
                                        : row_change::kind::Changed,
                     std::string{ aSection } + " " + key,
                     before == nullptr ? "" : RowJson(*before).dump(),
                     after == nullptr ? "" : RowJson(*after).dump() });
  }
}

} // namespace

std::vector<row_change>
DiffTables(const table& aBefore, const table& aAfter)
{
  std::vector<row_change> changes;
  DiffRows("services", aBefore.Services(), aAfter.Services(), changes);
  DiffRows("models", aBefore.Models(), aAfter.Models(), changes);
  DiffRows("roles", aBefore.Roles(), aAfter.Roles(), changes);
  DiffRows("accounts", aBefore.Accounts(), aAfter.Accounts(), changes);
  DiffRows("engines", aBefore.Engines(), aAfter.Engines(), changes);
  DiffRows("backends", aBefore.Backends(), aAfter.Backends(), changes);
  return changes;
}

} // namespace skylarkwind
