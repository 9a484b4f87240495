#include "table_json_p.h"

#include <algorithm>
#include <set>
#include <utility>

namespace skylarkwind {

using nlohmann::json;

namespace {

std::optional<service_kind>
ParseKind(std::string_view aText)
{
  if (aText == "model") {
    return service_kind::Model;
  }
  return aText == "plain" ? std::optional{ service_kind::Plain } : std::nullopt;
}

std::optional<engine_intent>
ParseIntent(std::string_view aText)
{
  if (aText == "serve") {
    return engine_intent::Serve;
  }
  return aText == "drain" ? std::optional{ engine_intent::Drain } : std::nullopt;
}

void
ReadLimits(row_reader& aReader, row_limits& aLimits)
{
  aReader.Integer("max_concurrent", aLimits.mMaxConcurrent);
  aReader.Number("max_requests_per_second", aLimits.mMaxRequestsPerSecond);
}

void
ReadRow(row_reader& aReader, service_row& aRow)
{
  aReader.RequiredText("name", aRow.mName);
  aReader.Choice("kind", aRow.mKind, "model, plain", ParseKind);
  aReader.Text("path_prefix", aRow.mPathPrefix);
  aReader.Flag("non_idempotent", aRow.mNonIdempotent);
  aReader.Milliseconds("time_limit_ms", aRow.mTimeLimit);
  aReader.Number("role_change_price", aRow.mRoleChangePrice);
  aReader.Integer("max_changing", aRow.mMaxChanging);
  aReader.Milliseconds("minimum_stay_ms", aRow.mMinimumStay);
  aReader.Integer("queue_limit", aRow.mQueueLimit);
  ReadLimits(aReader, aRow.mLimits);
}

void
ReadRow(row_reader& aReader, model_row& aRow)
{
  aReader.RequiredText("name", aRow.mName);
  aReader.RequiredText("service", aRow.mService);
  aReader.Text("version", aRow.mVersion);
}

void
ReadRow(row_reader& aReader, role_row& aRow)
{
  aReader.RequiredText("service", aRow.mService);
  aReader.Choice("role", aRow.mRole, "prefill, decode, both", ParseRole);
  aReader.Number("weight", aRow.mWeight);
  ReadLimits(aReader, aRow.mLimits);
  aReader.Integer("minimum_engines", aRow.mMinimumEngines);
}

void
ReadRow(row_reader& aReader, account_row& aRow)
{
  aReader.RequiredText("name", aRow.mName);
  aReader.RequiredText("api_key_sha256", aRow.mApiKeySha256);
  // Lookups use the lower-case form that Sha256Hex returns.
  std::transform(aRow.mApiKeySha256.begin(),
                 aRow.mApiKeySha256.end(),
                 aRow.mApiKeySha256.begin(),
                 [](char aDigit) {
                   return aDigit >= 'A' && aDigit <= 'Z' ? static_cast<char>(aDigit - 'A' + 'a')
                                                         : aDigit;
                 });
  aReader.Integer("priority", aRow.mPriority);
  ReadLimits(aReader, aRow.mLimits);
}

void
ReadRow(row_reader& aReader, engine_row& aRow)
{
  aReader.RequiredText("name", aRow.mName);
  aReader.RequiredText("address", aRow.mAddress);
  aReader.RequiredText("data_centre", aRow.mDataCentre);
  aReader.RequiredText("service", aRow.mService);
  aReader.RequiredText("model", aRow.mModel);
  aReader.Choice("role", aRow.mRole, "prefill, decode, both", ParseRole);
  aReader.Flag("pinned", aRow.mPinned);
  aReader.Number("weight", aRow.mWeight);
  aReader.Flag("checks_fencing", aRow.mChecksFencing);
  aReader.Choice("intent", aRow.mIntent, "serve, drain", ParseIntent);
}

void
ReadRow(row_reader& aReader, backend_row& aRow)
{
  aReader.RequiredText("name", aRow.mName);
  aReader.RequiredText("address", aRow.mAddress);
  aReader.RequiredText("data_centre", aRow.mDataCentre);
  aReader.RequiredText("service", aRow.mService);
  aReader.Number("weight", aRow.mWeight);
  aReader.Flag("honours_keys", aRow.mHonoursKeys);
  aReader.Choice("intent", aRow.mIntent, "serve, drain", ParseIntent);
}

/// The text that identifies a row in its label: its "name", or "service" for a role.
std::string
NameForLabel(const json& aRow, const char* aKey)
{
  if (!aRow.is_object()) {
    return {};
  }
  const auto found = aRow.find(aKey);
  return found != aRow.end() && found->is_string() ? found->get<std::string>() : std::string{};
}

template<class row>
void
ReadRows(row_reader& aTable,
         const char* aSection,
         const char* aNameKey,
         std::vector<row>& aRows,
         problem_list& aProblems)
{
  const auto& values = aTable.Array(aSection);
  aRows.reserve(values.size());
  for (const auto& value : values) {
    row_reader reader{ value,
                       RowLabel(aSection, aRows.size(), NameForLabel(value, aNameKey)),
                       aProblems };
    ReadRow(reader, aRows.emplace_back());
    reader.RejectUnknown();
  }
}

/// Adds the problems of the rows, except for rows and members that already have a problem from
/// reading, so that no problem is listed twice.
void
AddRowProblems(const table& aTable, problem_list& aProblems)
{
  std::set<std::string> unreadable;
  for (const auto& problem : aProblems) {
    const auto colon = problem.mText.find(':');
    unreadable.insert(problem.mRow +
                      (colon == std::string::npos ? "" : "\n" + problem.mText.substr(0, colon)));
  }
  for (auto& problem : aTable.Problems()) {
    const auto member = problem.mText.substr(0, problem.mText.find(':'));
    if (!unreadable.contains(problem.mRow) && !unreadable.contains(problem.mRow + "\n" + member)) {
      aProblems.push_back(std::move(problem));
    }
  }
}

template<class row>
json
RowsJson(std::span<const row> aRows)
{
  json rows = json::array();
  for (const auto& each : aRows) {
    rows.push_back(RowJson(each));
  }
  return rows;
}

template<class value>
void
PutUnlessDefault(json& aOut, const char* aKey, const value& aValue, const value& aDefault)
{
  if (aValue != aDefault) {
    aOut[aKey] = aValue;
  }
}

void
PutLimits(json& aOut, const row_limits& aLimits)
{
  const row_limits defaults;
  PutUnlessDefault(aOut, "max_concurrent", aLimits.mMaxConcurrent, defaults.mMaxConcurrent);
  PutUnlessDefault(
    aOut, "max_requests_per_second", aLimits.mMaxRequestsPerSecond, defaults.mMaxRequestsPerSecond);
}

void
PutIntent(json& aOut, engine_intent aIntent)
{
  if (aIntent == engine_intent::Drain) {
    aOut["intent"] = "drain";
  }
}

} // namespace

json
RowJson(const service_row& aRow)
{
  const service_row defaults;
  json out{ { "name", aRow.mName },
            { "kind", aRow.mKind == service_kind::Plain ? "plain" : "model" } };
  PutUnlessDefault(out, "path_prefix", aRow.mPathPrefix, defaults.mPathPrefix);
  PutUnlessDefault(out, "non_idempotent", aRow.mNonIdempotent, defaults.mNonIdempotent);
  PutUnlessDefault(out, "time_limit_ms", aRow.mTimeLimit.count(), defaults.mTimeLimit.count());
  PutUnlessDefault(out, "role_change_price", aRow.mRoleChangePrice, defaults.mRoleChangePrice);
  PutUnlessDefault(out, "max_changing", aRow.mMaxChanging, defaults.mMaxChanging);
  PutUnlessDefault(
    out, "minimum_stay_ms", aRow.mMinimumStay.count(), defaults.mMinimumStay.count());
  PutUnlessDefault(out, "queue_limit", aRow.mQueueLimit, defaults.mQueueLimit);
  PutLimits(out, aRow.mLimits);
  return out;
}

json
RowJson(const model_row& aRow)
{
  json out{ { "name", aRow.mName }, { "service", aRow.mService } };
  PutUnlessDefault(out, "version", aRow.mVersion, std::string{});
  return out;
}

json
RowJson(const role_row& aRow)
{
  const role_row defaults;
  json out{ { "service", aRow.mService }, { "role", std::string{ RoleText(aRow.mRole) } } };
  PutUnlessDefault(out, "weight", aRow.mWeight, defaults.mWeight);
  PutLimits(out, aRow.mLimits);
  PutUnlessDefault(out, "minimum_engines", aRow.mMinimumEngines, defaults.mMinimumEngines);
  return out;
}

json
RowJson(const account_row& aRow)
{
  json out{ { "name", aRow.mName }, { "api_key_sha256", aRow.mApiKeySha256 } };
  PutUnlessDefault(out, "priority", aRow.mPriority, 0);
  PutLimits(out, aRow.mLimits);
  return out;
}

json
RowJson(const engine_row& aRow)
{
  const engine_row defaults;
  json out{ { "name", aRow.mName },
            { "address", aRow.mAddress },
            { "data_centre", aRow.mDataCentre },
            { "service", aRow.mService },
            { "model", aRow.mModel } };
  if (aRow.mRole != defaults.mRole) {
    out["role"] = std::string{ RoleText(aRow.mRole) };
  }
  PutUnlessDefault(out, "pinned", aRow.mPinned, defaults.mPinned);
  PutUnlessDefault(out, "weight", aRow.mWeight, defaults.mWeight);
  PutUnlessDefault(out, "checks_fencing", aRow.mChecksFencing, defaults.mChecksFencing);
  PutIntent(out, aRow.mIntent);
  return out;
}

json
RowJson(const backend_row& aRow)
{
  const backend_row defaults;
  json out{ { "name", aRow.mName },
            { "address", aRow.mAddress },
            { "data_centre", aRow.mDataCentre },
            { "service", aRow.mService } };
  PutUnlessDefault(out, "weight", aRow.mWeight, defaults.mWeight);
  PutUnlessDefault(out, "honours_keys", aRow.mHonoursKeys, defaults.mHonoursKeys);
  PutIntent(out, aRow.mIntent);
  return out;
}

absl::Status
ProblemStatus(const problem_list& aProblems)
{
  std::string text;
  for (const auto& problem : aProblems) {
    text += (text.empty() ? "" : "\n") + problem.mRow + ": " + problem.mText;
  }
  return absl::InvalidArgumentError(text);
}

table
table_json::Read(const json& aValue, problem_list& aProblems)
{
  table out;
  row_reader reader{ aValue, "table", aProblems };
  reader.Integer("serial", out.mSerial);
  ReadRows(reader, "services", "name", out.mServices, aProblems);
  ReadRows(reader, "models", "name", out.mModels, aProblems);
  ReadRows(reader, "roles", "service", out.mRoles, aProblems);
  ReadRows(reader, "accounts", "name", out.mAccounts, aProblems);
  ReadRows(reader, "engines", "name", out.mEngines, aProblems);
  ReadRows(reader, "backends", "name", out.mBackends, aProblems);
  reader.RejectUnknown();
  out.BuildIndex();
  AddRowProblems(out, aProblems);
  return out;
}

json
table_json::Write(const table& aTable)
{
  return { { "serial", aTable.Serial() },
           { "services", RowsJson(aTable.Services()) },
           { "models", RowsJson(aTable.Models()) },
           { "roles", RowsJson(aTable.Roles()) },
           { "accounts", RowsJson(aTable.Accounts()) },
           { "engines", RowsJson(aTable.Engines()) },
           { "backends", RowsJson(aTable.Backends()) } };
}

absl::StatusOr<table>
table::Parse(std::string_view aJson)
{
  problem_list problems;
  const auto value = ParseJson(aJson, "table", problems);
  if (value.is_discarded()) {
    return ProblemStatus(problems);
  }
  auto parsed = table_json::Read(value, problems);
  if (!problems.empty()) {
    return ProblemStatus(problems);
  }
  return parsed;
}

std::string
table::ToJson() const
{
  return table_json::Write(*this).dump();
}

} // namespace skylarkwind
