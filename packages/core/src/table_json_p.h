#pragma once

#include "row_reader_p.h"
#include "skylarkwind/table.h"

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include <string_view>

namespace skylarkwind {

/// JSON form of a table and its rows. Members with their default value are left out.
struct table_json
{
  /// Reads and validates `aValue`; adds every problem to `aProblems`.
  static table Read(const nlohmann::json& aValue, problem_list& aProblems);
  static nlohmann::json Write(const table& aTable);
};

nlohmann::json RowJson(const service_row& aRow);
nlohmann::json RowJson(const model_row& aRow);
nlohmann::json RowJson(const role_row& aRow);
nlohmann::json RowJson(const account_row& aRow);
nlohmann::json RowJson(const engine_row& aRow);
nlohmann::json RowJson(const backend_row& aRow);

/// A status that lists every problem, one a line.
absl::Status ProblemStatus(const problem_list& aProblems);

} // namespace skylarkwind
