#pragma once

#include "skylarkwind/table.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

using problem_list = std::vector<table_problem>;

/// Label of a row in problems, for example "engines[3] e4".
std::string RowLabel(std::string_view aSection, std::size_t aIndex, std::string_view aName);

/// Parses JSON text. A member that appears twice in one object is a problem, because the parser
/// would silently keep only one of the two. The result is discarded when the text is not JSON.
nlohmann::json ParseJson(std::string_view aText, std::string_view aWhat, problem_list& aProblems);

/// Reads the members of one JSON object. A member that is absent leaves its target as it is; a
/// member of the wrong type or range adds a problem "<member>: <error>".
class row_reader
{
public:
  row_reader(const nlohmann::json& aRow, std::string aLabel, problem_list& aProblems);

  void Text(std::string_view aKey, std::string& aOut);
  void RequiredText(std::string_view aKey, std::string& aOut);
  void Flag(std::string_view aKey, bool& aOut);
  void Number(std::string_view aKey, double& aOut);

  /// An integer within the range of the target's type.
  template<class integer>
  void Integer(std::string_view aKey, integer& aOut)
  {
    const std::int64_t low = std::numeric_limits<integer>::min();
    const std::uint64_t high = std::numeric_limits<integer>::max();
    if (const auto* value = IntegerValue(aKey, low, high)) {
      aOut = value->template get<integer>();
    }
  }

  void Milliseconds(std::string_view aKey, std::chrono::milliseconds& aOut);

  /// One of a few texts; `aParse` returns an empty optional for any other.
  template<class choice, class parser>
  void Choice(std::string_view aKey, choice& aOut, std::string_view aChoices, parser aParse)
  {
    std::string text;
    if (!ReadText(aKey, text)) {
      return;
    }
    if (const auto value = aParse(text)) {
      aOut = *value;
    } else {
      Problem(aKey, "must be one of " + std::string{ aChoices });
    }
  }

  /// The member's JSON value; null when it is absent.
  const nlohmann::json* Member(std::string_view aKey) { return Find(aKey); }

  /// The elements of an array of objects or texts; empty when there are none.
  const nlohmann::json& Array(std::string_view aKey);

  /// Adds a problem for every member that has not been read. Call it last.
  void RejectUnknown();

  void Problem(std::string_view aKey, std::string_view aMistake);

private:
  const nlohmann::json* Find(std::string_view aKey);
  const nlohmann::json* IntegerValue(std::string_view aKey, std::int64_t aLow, std::uint64_t aHigh);
  bool ReadText(std::string_view aKey, std::string& aOut);

  const nlohmann::json& mRow;
  std::string mLabel;
  problem_list& mProblems;
  std::vector<std::string> mReadKeys;
};

} // namespace skylarkwind
