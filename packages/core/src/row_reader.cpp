#include "row_reader_p.h"

#include <algorithm>
#include <set>
#include <utility>

namespace skylarkwind {

using nlohmann::json;

std::string
RowLabel(std::string_view aSection, std::size_t aIndex, std::string_view aName)
{
  std::string label{ aSection };
  label += "[" + std::to_string(aIndex) + "]";
  if (!aName.empty()) {
    label += " ";
    label += aName;
  }
  return label;
}

json
ParseJson(std::string_view aText, std::string_view aWhat, problem_list& aProblems)
{
  std::vector<std::set<std::string>> open;
  const auto rejectDuplicates = [&](int, json::parse_event_t aEvent, json& aParsed) {
    if (aEvent == json::parse_event_t::object_start) {
      open.emplace_back();
    } else if (aEvent == json::parse_event_t::object_end) {
      open.pop_back();
    } else if (aEvent == json::parse_event_t::key &&
               !open.back().insert(aParsed.get<std::string>()).second) {
      aProblems.push_back(
        { std::string{ aWhat }, aParsed.get<std::string>() + ": appears twice in one object" });
    }
    return true;
  };
  auto value = json::parse(aText, rejectDuplicates, false);
  if (value.is_discarded()) {
    aProblems.push_back({ std::string{ aWhat }, "is not valid JSON" });
  }
  return value;
}

row_reader::row_reader(const json& aRow, std::string aLabel, problem_list& aProblems)
  : mRow(aRow)
  , mLabel(std::move(aLabel))
  , mProblems(aProblems)
{
  if (!mRow.is_object()) {
    mProblems.push_back({ mLabel, "must be an object" });
  }
}

void
row_reader::Problem(std::string_view aKey, std::string_view aMistake)
{
  mProblems.push_back({ mLabel, std::string{ aKey } + ": " + std::string{ aMistake } });
}

const json*
row_reader::Find(std::string_view aKey)
{
  mReadKeys.emplace_back(aKey);
  if (!mRow.is_object()) {
    return nullptr;
  }
  const auto found = mRow.find(mReadKeys.back());
  return found == mRow.end() ? nullptr : &*found;
}

bool
row_reader::ReadText(std::string_view aKey, std::string& aOut)
{
  const auto* value = Find(aKey);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_string()) {
    Problem(aKey, "must be a text");
    return false;
  }
  aOut = value->get<std::string>();
  return true;
}

void
row_reader::Text(std::string_view aKey, std::string& aOut)
{
  ReadText(aKey, aOut);
}

void
row_reader::RequiredText(std::string_view aKey, std::string& aOut)
{
  const auto* value = Find(aKey);
  if (value == nullptr) {
    if (mRow.is_object()) {
      Problem(aKey, "is required");
    }
    return;
  }
  ReadText(aKey, aOut);
}

void
row_reader::Flag(std::string_view aKey, bool& aOut)
{
  const auto* value = Find(aKey);
  if (value == nullptr) {
    return;
  }
  if (!value->is_boolean()) {
    Problem(aKey, "must be true or false");
    return;
  }
  aOut = value->get<bool>();
}

void
row_reader::Number(std::string_view aKey, double& aOut)
{
  const auto* value = Find(aKey);
  if (value == nullptr) {
    return;
  }
  if (!value->is_number()) {
    Problem(aKey, "must be a number");
    return;
  }
  aOut = value->get<double>();
}

const json*
row_reader::IntegerValue(std::string_view aKey, std::int64_t aLow, std::uint64_t aHigh)
{
  const auto* value = Find(aKey);
  if (value == nullptr) {
    return nullptr;
  }
  if (!value->is_number_integer()) {
    Problem(aKey, "must be a whole number");
    return nullptr;
  }
  const bool fits = value->is_number_unsigned() ? value->get<std::uint64_t>() <= aHigh
                                                : value->get<std::int64_t>() >= aLow;
  if (!fits) {
    Problem(aKey, "must be from " + std::to_string(aLow) + " to " + std::to_string(aHigh));
    return nullptr;
  }
  return value;
}

void
row_reader::Milliseconds(std::string_view aKey, std::chrono::milliseconds& aOut)
{
  // One day; a longer time in milliseconds is rejected as a probable mistake in the unit.
  constexpr std::uint64_t kMaxDurationMs = 86'400'000;
  if (const auto* value = IntegerValue(aKey, 0, kMaxDurationMs)) {
    aOut = std::chrono::milliseconds{ value->get<std::int64_t>() };
  }
}

const json&
row_reader::Array(std::string_view aKey)
{
  static const json kEmpty = json::array();
  const auto* value = Find(aKey);
  if (value == nullptr) {
    return kEmpty;
  }
  if (!value->is_array()) {
    Problem(aKey, "must be an array");
    return kEmpty;
  }
  return *value;
}

void
row_reader::RejectUnknown()
{
  if (!mRow.is_object()) {
    return;
  }
  for (const auto& [key, value] : mRow.items()) {
    if (std::find(mReadKeys.begin(), mReadKeys.end(), key) == mReadKeys.end()) {
      Problem(key, "is not a known member");
    }
  }
}

} // namespace skylarkwind
