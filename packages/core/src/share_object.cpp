#include "share_object_p.h"

#include <absl/status/status.h>
#include <nlohmann/json.hpp>
#include <vector>

namespace skylarkwind {

namespace {

using nlohmann::json;

share_object
Read(const json& aValue)
{
  share_object object;
  object.mTableSerial = aValue.at("t").get<std::uint64_t>();
  std::vector<share_holder*> holders;
  for (const auto& daemon : aValue.at("d")) {
    auto& holder = object.mHolders[daemon.at(0).get<std::string>()];
    holder.mStartId = daemon.at(1).get<std::uint64_t>();
    holder.mRenewal = daemon.at(2).get<std::uint64_t>();
    holders.push_back(&holder);
  }
  for (const auto& [limit, row] : aValue.at("l").items()) {
    object.mLimits[limit] = row.at(0).get<std::uint64_t>();
    for (std::size_t i = 1; i < row.size(); i += 3) {
      auto& entry = holders.at(row.at(i).get<std::size_t>())->mEntries[limit];
      entry.mAmount = row.at(i + 1).get<std::uint64_t>();
      entry.mWanted = row.at(i + 2).get<std::uint64_t>();
    }
  }
  return object;
}

bool
Holds(const share_holder& aHolder)
{
  for (const auto& [limit, entry] : aHolder.mEntries) {
    if (entry.mAmount > 0 || entry.mWanted > 0) {
      return true;
    }
  }
  return false;
}

} // namespace

absl::StatusOr<share_object>
share_object::Parse(std::string_view aJson)
{
  try {
    return Read(json::parse(aJson));
  } catch (const std::exception& error) {
    return absl::DataLossError(error.what());
  }
}

std::string
share_object::ToJson() const
{
  json daemons = json::array();
  json limits = json::object();
  for (const auto& [vm, holder] : mHolders) {
    if (!Holds(holder)) {
      continue;
    }
    const std::size_t index = daemons.size();
    daemons.push_back({ vm, holder.mStartId, holder.mRenewal });
    for (const auto& [limit, entry] : holder.mEntries) {
      if (entry.mAmount == 0 && entry.mWanted == 0) {
        continue;
      }
      auto& row = limits[limit];
      if (row.is_null()) {
        const auto amount = mLimits.find(limit);
        row = json::array({ amount == mLimits.end() ? 0 : amount->second });
      }
      row.push_back(index);
      row.push_back(entry.mAmount);
      row.push_back(entry.mWanted);
    }
  }
  return json{ { "t", mTableSerial }, { "d", daemons }, { "l", limits } }.dump();
}

std::uint64_t
share_object::Sum(std::string_view aLimit) const
{
  std::uint64_t sum = 0;
  for (const auto& [vm, holder] : mHolders) {
    if (const auto entry = holder.mEntries.find(aLimit); entry != holder.mEntries.end()) {
      sum += entry->second.mAmount;
    }
  }
  return sum;
}

} // namespace skylarkwind
