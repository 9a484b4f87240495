#include "skylarkwind/table.h"

#include <algorithm>
#include <numeric>

namespace skylarkwind {
namespace {

template<class row, class key>
std::vector<std::uint32_t>
SortedPositions(const std::vector<row>& aRows, key aKey)
{
  std::vector<std::uint32_t> positions(aRows.size());
  std::iota(positions.begin(), positions.end(), 0U);
  std::sort(positions.begin(), positions.end(), [&](std::uint32_t aLeft, std::uint32_t aRight) {
    return aRows[aLeft].*aKey < aRows[aRight].*aKey;
  });
  return positions;
}

template<class row, class key>
const row*
FindSorted(const std::vector<row>& aRows,
           const std::vector<std::uint32_t>& aPositions,
           std::string_view aText,
           key aKey)
{
  const auto found = std::lower_bound(aPositions.begin(),
                                      aPositions.end(),
                                      aText,
                                      [&](std::uint32_t aPosition, std::string_view aWanted) {
                                        return std::string_view{ aRows[aPosition].*aKey } < aWanted;
                                      });
  if (found == aPositions.end() || aRows[*found].*aKey != aText) {
    return nullptr;
  }
  return &aRows[*found];
}

/// Whether the path is the prefix itself or lies below it.
bool
MatchesPrefix(std::string_view aPath, std::string_view aPrefix)
{
  while (!aPrefix.empty() && aPrefix.back() == '/') {
    aPrefix.remove_suffix(1);
  }
  return aPath.starts_with(aPrefix) &&
         (aPath.size() == aPrefix.size() || aPath[aPrefix.size()] == '/');
}

} // namespace

void
table::BuildIndex()
{
  mIndex.mServices = SortedPositions(mServices, &service_row::mName);
  mIndex.mModels = SortedPositions(mModels, &model_row::mName);
  mIndex.mAccounts = SortedPositions(mAccounts, &account_row::mApiKeySha256);
  mIndex.mEngines = SortedPositions(mEngines, &engine_row::mName);
}

const service_row*
table::FindService(std::string_view aName) const
{
  return FindSorted(mServices, mIndex.mServices, aName, &service_row::mName);
}

const model_row*
table::FindModel(std::string_view aName) const
{
  return FindSorted(mModels, mIndex.mModels, aName, &model_row::mName);
}

const role_row*
table::FindRole(std::string_view aService, engine_role aRole) const
{
  const auto found = std::find_if(mRoles.begin(), mRoles.end(), [&](const role_row& aRow) {
    return aRow.mService == aService && aRow.mRole == aRole;
  });
  return found == mRoles.end() ? nullptr : &*found;
}

const account_row*
table::FindAccountByKey(std::string_view aApiKeySha256) const
{
  return FindSorted(mAccounts, mIndex.mAccounts, aApiKeySha256, &account_row::mApiKeySha256);
}

const engine_row*
table::FindEngine(std::string_view aName) const
{
  return FindSorted(mEngines, mIndex.mEngines, aName, &engine_row::mName);
}

const service_row*
table::FindServiceByPath(std::string_view aPath) const
{
  const auto path = aPath.substr(0, aPath.find('?'));
  const service_row* longest = nullptr;
  for (const auto& row : mServices) {
    if (row.mKind == service_kind::Plain && MatchesPrefix(path, row.mPathPrefix) &&
        (longest == nullptr || longest->mPathPrefix.size() < row.mPathPrefix.size())) {
      longest = &row;
    }
  }
  return longest;
}

table
table::WithSerial(std::uint64_t aSerial) const
{
  table copy = *this;
  copy.mSerial = aSerial;
  return copy;
}

std::string_view
RoleText(engine_role aRole)
{
  switch (aRole) {
    case engine_role::Prefill:
      return "prefill";
    case engine_role::Decode:
      return "decode";
    case engine_role::Both:
      return "both";
  }
  return "both";
}

std::optional<engine_role>
ParseRole(std::string_view aText)
{
  for (const auto role : { engine_role::Prefill, engine_role::Decode, engine_role::Both }) {
    if (aText == RoleText(role)) {
      return role;
    }
  }
  return std::nullopt;
}

} // namespace skylarkwind
