#include "client_p.h"

#include <iomanip>
#include <iostream>

namespace skylarkwind {

namespace {

/// Text of a member for a column; numbers and flags as JSON writes them.
std::string
Column(const nlohmann::json& aObject, const char* aKey)
{
  const auto found = aObject.find(aKey);
  if (found == aObject.end()) {
    return "-";
  }
  return found->is_string() ? found->get<std::string>() : found->dump();
}

void
PrintRows(const nlohmann::json& aRows, std::span<const char* const> aColumns, std::ostream& aOut)
{
  // A cell that fills its column still needs a space before the next one.
  constexpr int kColumnWidth = 18;
  const auto print = [&](const std::string& aCell) {
    aOut << std::left << std::setw(kColumnWidth - 1) << aCell << ' ';
  };
  for (const auto* column : aColumns) {
    print(column);
  }
  aOut << '\n';
  for (const auto& row : aRows) {
    for (const auto* column : aColumns) {
      print(Column(row, column));
    }
    aOut << '\n';
  }
}

} // namespace

cli_exit
RunStatusCommand(const cli_settings& aSettings, std::ostream& aOut, std::ostream& aErr)
{
  const auto status = AskDaemon(aSettings, "/admin/status");
  if (!status.ok()) {
    return Fail(aErr, status.status());
  }
  if (aSettings.mJson) {
    aOut << status->dump(2) << '\n';
    return cli_exit::Done;
  }
  for (const auto* key : { "vm",
                           "data_centre",
                           "ready",
                           "table_serial",
                           "in_force_for_ms",
                           "platform_away",
                           "platform_behind",
                           "watcher",
                           "lease_holder",
                           "fencing",
                           "open_requests" }) {
    aOut << key << ": " << Column(*status, key) << '\n';
  }
  constexpr std::array kDocuments{ "name", "version" };
  constexpr std::array kMembers{ "vm", "data_centre", "state", "table_serial", "address" };
  constexpr std::array kEngines{ "name", "service", "role", "status", "in_flight", "limit" };
  constexpr std::array kLimits{ "limit", "amount", "share", "in_use" };
  aOut << "\ndocuments\n";
  PrintRows((*status)["documents"], kDocuments, aOut);
  aOut << "\ndaemons\n";
  PrintRows((*status)["members"], kMembers, aOut);
  aOut << "\nbackend servers\n";
  PrintRows((*status)["backend_servers"], kEngines, aOut);
  aOut << "\nlimits\n";
  PrintRows((*status)["limits"], kLimits, aOut);
  return cli_exit::Done;
}

cli_exit
RunExplainCommand(const cli_settings& aSettings,
                  const std::string& aName,
                  std::ostream& aOut,
                  std::ostream& aErr)
{
  const auto answer = AskDaemon(aSettings, "/admin/engine/" + aName);
  if (!answer.ok()) {
    return Fail(aErr, answer.status());
  }
  if (aSettings.mJson) {
    aOut << answer->dump(2) << '\n';
    return cli_exit::Done;
  }
  for (const auto& [key, value] : answer->items()) {
    aOut << key << ": " << Column(*answer, key.c_str()) << '\n';
  }
  return cli_exit::Done;
}

cli_exit
RunAuditCommand(const cli_settings& aSettings, std::ostream& aOut, std::ostream& aErr)
{
  const auto stored = ReadStoredTable(aSettings);
  if (!stored.ok()) {
    return Fail(aErr, stored.status());
  }
  auto records = nlohmann::json::array();
  for (const auto& edit : stored->mObject.mHistory) {
    records.push_back({ { "when", edit.mWhen },
                        { "text",
                          edit.mWho + ": table serial " + std::to_string(edit.mSerial) + ", " +
                            std::to_string(edit.mRows.size()) + " rows, " + edit.mWhy } });
  }
  const auto fleets = AskDaemon(aSettings, "/admin/audit");
  if (!fleets.ok()) {
    return Fail(aErr, fleets.status());
  }
  for (const auto& line : *fleets) {
    const auto text = line.get<std::string>();
    const auto space = text.find(' ');
    records.push_back({ { "when", text.substr(0, space) },
                        { "text", space == std::string::npos ? "" : text.substr(space + 1) } });
  }
  std::stable_sort(records.begin(), records.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft["when"] < aRight["when"];
  });
  if (aSettings.mJson) {
    aOut << records.dump(2) << '\n';
    return cli_exit::Done;
  }
  for (const auto& record : records) {
    aOut << record["when"].get<std::string>() << "  " << record["text"].get<std::string>() << '\n';
  }
  return cli_exit::Done;
}

} // namespace skylarkwind
