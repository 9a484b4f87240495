#include "table_json_p.h"

#include <algorithm>

namespace skylarkwind {

using nlohmann::json;

namespace {

table_edit
ReadEdit(const json& aValue, std::size_t aIndex, problem_list& aProblems)
{
  table_edit edit;
  row_reader reader{ aValue, RowLabel("history", aIndex, {}), aProblems };
  reader.Integer("serial", edit.mSerial);
  reader.Text("who", edit.mWho);
  reader.Text("why", edit.mWhy);
  reader.Text("when", edit.mWhen);
  for (const auto& row : reader.Array("rows")) {
    if (row.is_string()) {
      edit.mRows.push_back(row.get<std::string>());
    } else {
      reader.Problem("rows", "must hold texts");
    }
  }
  reader.RejectUnknown();
  return edit;
}

json
EditJson(const table_edit& aEdit)
{
  return { { "serial", aEdit.mSerial },
           { "who", aEdit.mWho },
           { "why", aEdit.mWhy },
           { "when", aEdit.mWhen },
           { "rows", aEdit.mRows } };
}

/// The newest edits that fit the limits, newest last. The newest one is always kept.
json
HistoryJson(const std::vector<table_edit>& aHistory)
{
  json kept = json::array();
  std::size_t bytes = 0;
  for (auto edit = aHistory.rbegin(); edit != aHistory.rend(); ++edit) {
    auto value = EditJson(*edit);
    bytes += value.dump(-1, ' ', false, json::error_handler_t::replace).size();
    if (kept.size() == kTableHistoryLimit || (bytes > kTableHistoryBytes && !kept.empty())) {
      break;
    }
    kept.push_back(std::move(value));
  }
  std::reverse(kept.begin(), kept.end());
  return kept;
}

} // namespace

absl::StatusOr<table_object>
table_object::Parse(std::string_view aJson)
{
  problem_list problems;
  const auto value = ParseJson(aJson, "table object", problems);
  if (value.is_discarded()) {
    return ProblemStatus(problems);
  }
  table_object out;
  row_reader reader{ value, "table object", problems };
  const auto& history = reader.Array("history");
  const auto first = history.size() - std::min(history.size(), kTableHistoryLimit);
  for (auto i = first; i < history.size(); ++i) {
    out.mHistory.push_back(ReadEdit(history[i], i, problems));
  }
  if (const auto* rows = reader.Member("table")) {
    out.mTable = table_json::Read(*rows, problems);
  } else {
    reader.Problem("table", "is required");
  }
  reader.RejectUnknown();
  if (!problems.empty()) {
    return ProblemStatus(problems);
  }
  return out;
}

std::string
table_object::ToJson() const
{
  return json{ { "table", table_json::Write(mTable) }, { "history", HistoryJson(mHistory) } }.dump(
    -1, ' ', false, json::error_handler_t::replace);
}

} // namespace skylarkwind
