#include "client_p.h"

#include <chrono>
#include <ctime>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>

namespace skylarkwind {

namespace {

std::string
UtcNow()
{
  const auto now = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
  std::tm parts{};
  gmtime_r(&now, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return text.data();
}

absl::StatusOr<table>
ReadTableFile(const std::string& aFile)
{
  std::ifstream in{ aFile };
  if (!in) {
    return absl::NotFoundError(aFile + " cannot be read");
  }
  std::ostringstream text;
  text << in.rdbuf();
  return table::Parse(text.str());
}

std::string_view
ChangeText(row_change::kind aKind)
{
  switch (aKind) {
    case row_change::kind::Added:
      return "added";
    case row_change::kind::Removed:
      return "removed";
    case row_change::kind::Changed:
      return "changed";
  }
  return "changed";
}

void
PrintChanges(std::span<const row_change> aChanges, bool aJson, std::ostream& aOut)
{
  auto rows = nlohmann::json::array();
  for (const auto& change : aChanges) {
    if (aJson) {
      rows.push_back({ { "row", change.mRow },
                       { "change", ChangeText(change.mKind) },
                       { "before", change.mBefore },
                       { "after", change.mAfter } });
      continue;
    }
    aOut << ChangeText(change.mKind) << ' ' << change.mRow << '\n';
    if (!change.mBefore.empty()) {
      aOut << "  - " << change.mBefore << '\n';
    }
    if (!change.mAfter.empty()) {
      aOut << "  + " << change.mAfter << '\n';
    }
  }
  if (aJson) {
    aOut << rows.dump(2) << '\n';
  } else if (aChanges.empty()) {
    aOut << "no row differs\n";
  }
}

/// Tells which rows others changed since `aBase`, from the stored history.
cli_exit
ReportRace(const table_object& aStored, std::uint64_t aBase, std::ostream& aErr)
{
  aErr << "skylarkwind: refused, the table was edited since serial " << aBase << ":\n";
  for (const auto& edit : aStored.mHistory) {
    if (edit.mSerial <= aBase) {
      continue;
    }
    aErr << "  serial " << edit.mSerial << " by " << edit.mWho << " (" << edit.mWhy << ")\n";
    for (const auto& row : edit.mRows) {
      aErr << "    " << row << '\n';
    }
  }
  aErr << "Fetch the newest table with `skylarkwind table show`, edit again and apply.\n";
  return cli_exit::Conflict;
}

table_object
EditedObject(const cli_settings& aSettings,
             const table_object& aStored,
             const table& aNew,
             std::uint64_t aBase,
             std::span<const row_change> aChanges)
{
  table_object next;
  next.mTable = aNew.WithSerial(aBase + 1);
  next.mHistory = aStored.mHistory;
  table_edit edit;
  edit.mSerial = next.mTable.Serial();
  edit.mWho = aSettings.mWho;
  edit.mWhy = aSettings.mWhy;
  edit.mWhen = UtcNow();
  for (const auto& change : aChanges) {
    edit.mRows.push_back(std::string{ ChangeText(change.mKind) } + " " + change.mRow);
  }
  next.mHistory.push_back(std::move(edit));
  if (next.mHistory.size() > kTableHistoryLimit) {
    next.mHistory.erase(next.mHistory.begin());
  }
  return next;
}

/// The serial that the daemon has in force; 0 when no daemon is named. To be asked before the
/// stored table is read: an edit of someone else between the two would make the platform look
/// older.
absl::StatusOr<std::uint64_t>
SerialInForce(const cli_settings& aSettings)
{
  if (aSettings.mDaemon.empty()) {
    return std::uint64_t{ 0 };
  }
  const auto status = AskDaemon(aSettings, "/admin/status");
  if (!status.ok()) {
    return status.status();
  }
  return status->value("table_serial", std::uint64_t{ 0 });
}

absl::Status
PlatformIsOlder(std::uint64_t aStored, std::uint64_t aInForce)
{
  return absl::FailedPreconditionError(
    "the platform holds table serial " + std::to_string(aStored) + " but the daemon has " +
    std::to_string(aInForce) +
    " in force: the platform's data is older. Save the newer table with `skylarkwind table show "
    "--from_daemon` and apply that file");
}

/// True when the platform's stored table is exactly the edit that was written, which settles a
/// write whose answer was lost.
bool
EditIsStored(const cli_settings& aSettings, const table_object& aNext)
{
  const auto stored = ReadStoredTable(aSettings);
  return stored.ok() && stored->mObject.ToJson() == aNext.ToJson();
}

/// Stores the table with the serial after `aBase`, the serial that the edit began from.
cli_exit
WriteEdit(const cli_settings& aSettings,
          const stored_table& aStored,
          const table& aNew,
          std::uint64_t aBase,
          std::ostream& aOut,
          std::ostream& aErr)
{
  const auto changes = DiffTables(aStored.mObject.mTable, aNew);
  if (changes.empty() && aBase == aStored.mObject.mTable.Serial()) {
    aOut << "no row differs from serial " << aBase << '\n';
    return cli_exit::Done;
  }
  const auto next = EditedObject(aSettings, aStored.mObject, aNew, aBase, changes);
  const auto answer = CallHttp("PUT",
                               "http://" + aSettings.mPlatform + "/v1/objects/table/current",
                               aSettings.mPlatformCredential,
                               std::to_string(aStored.mVersion),
                               next.ToJson());
  const bool accepted = answer.ok() && answer->mStatus == 200;
  if (!accepted && answer.ok() && answer->mStatus == 409) {
    const auto now = ReadStoredTable(aSettings);
    return now.ok() ? ReportRace(now->mObject, aStored.mObject.mTable.Serial(), aErr)
                    : Fail(aErr, now.status());
  }
  if (!accepted && answer.ok()) {
    return Fail(aErr, absl::UnavailableError("the platform refused the edit: " + answer->mBody));
  }
  if (!accepted && !EditIsStored(aSettings, next)) {
    return Fail(aErr, absl::UnavailableError("no answer; the edit is not stored as of now"));
  }
  aOut << "accepted serial " << next.mTable.Serial() << ", " << changes.size() << " rows changed\n";
  return cli_exit::Done;
}

/// The table of a file and the stored one.
struct both_tables
{
  table mWanted;
  stored_table mStored;
};

absl::StatusOr<both_tables>
ReadBothTables(const cli_settings& aSettings, const std::string& aFile)
{
  auto wanted = ReadTableFile(aFile);
  if (!wanted.ok()) {
    return wanted.status();
  }
  auto stored = ReadStoredTable(aSettings);
  if (!stored.ok()) {
    return stored.status();
  }
  return both_tables{ *std::move(wanted), *std::move(stored) };
}

cli_exit
Apply(const cli_settings& aSettings,
      const std::string& aFile,
      std::ostream& aOut,
      std::ostream& aErr)
{
  const auto inForce = SerialInForce(aSettings);
  if (!inForce.ok()) {
    return Fail(aErr, inForce.status());
  }
  const auto tables = ReadBothTables(aSettings, aFile);
  if (!tables.ok()) {
    return Fail(aErr, tables.status());
  }
  const auto& [wanted, stored] = *tables;
  const auto base = wanted.Serial();
  const auto storedSerial = stored.mObject.mTable.Serial();
  // Daemons refuse serials up to the one in force, so that a platform that was restored from older
  // data takes only an edit that began from the daemons' table and counts on from there.
  if (*inForce > storedSerial && base != *inForce) {
    return Fail(aErr, PlatformIsOlder(storedSerial, *inForce));
  }
  if (*inForce <= storedSerial && base != storedSerial) {
    return ReportRace(stored.mObject, base, aErr);
  }
  return WriteEdit(aSettings, stored, wanted, base, aOut, aErr);
}

cli_exit
Diff(const cli_settings& aSettings,
     const std::string& aFile,
     std::ostream& aOut,
     std::ostream& aErr)
{
  const auto tables = ReadBothTables(aSettings, aFile);
  if (!tables.ok()) {
    return Fail(aErr, tables.status());
  }
  const auto& [wanted, stored] = *tables;
  PrintChanges(DiffTables(stored.mObject.mTable, wanted), aSettings.mJson, aOut);
  return cli_exit::Done;
}

cli_exit
Show(const cli_settings& aSettings, std::ostream& aOut, std::ostream& aErr)
{
  if (aSettings.mFromDaemon) {
    const auto object = AskDaemon(aSettings, "/admin/table");
    if (!object.ok()) {
      return Fail(aErr, object.status());
    }
    aOut << object->dump(2) << '\n';
    return cli_exit::Done;
  }
  const auto stored = ReadStoredTable(aSettings);
  if (!stored.ok()) {
    return Fail(aErr, stored.status());
  }
  aOut << nlohmann::json::parse(stored->mObject.mTable.ToJson()).dump(2) << '\n';
  return cli_exit::Done;
}

cli_exit
History(const cli_settings& aSettings, std::ostream& aOut, std::ostream& aErr)
{
  const auto stored = ReadStoredTable(aSettings);
  if (!stored.ok()) {
    return Fail(aErr, stored.status());
  }
  auto list = nlohmann::json::array();
  for (const auto& edit : stored->mObject.mHistory) {
    if (aSettings.mJson) {
      list.push_back({ { "serial", edit.mSerial },
                       { "when", edit.mWhen },
                       { "who", edit.mWho },
                       { "why", edit.mWhy },
                       { "rows", edit.mRows } });
    } else {
      aOut << edit.mSerial << "  " << edit.mWhen << "  " << edit.mWho << "  " << edit.mWhy << "  ("
           << edit.mRows.size() << " rows)\n";
    }
  }
  if (aSettings.mJson) {
    aOut << list.dump(2) << '\n';
  }
  return cli_exit::Done;
}

} // namespace

cli_exit
RunTableCommand(const cli_settings& aSettings,
                std::span<const std::string> aCommand,
                std::ostream& aOut,
                std::ostream& aErr)
{
  const std::string action = aCommand.empty() ? "" : aCommand.front();
  if (action == "show" && aCommand.size() == 1) {
    return Show(aSettings, aOut, aErr);
  }
  if (action == "history" && aCommand.size() == 1) {
    return History(aSettings, aOut, aErr);
  }
  if (action == "diff" && aCommand.size() == 2) {
    return Diff(aSettings, aCommand[1], aOut, aErr);
  }
  if (action == "apply" && aCommand.size() == 2) {
    if (aSettings.mWho.empty() || aSettings.mWhy.empty()) {
      aErr << "skylarkwind: an edit needs --who and --why\n";
      return cli_exit::Usage;
    }
    return Apply(aSettings, aCommand[1], aOut, aErr);
  }
  aErr << "usage: skylarkwind table show | history | diff FILE | apply FILE\n";
  return cli_exit::Usage;
}

cli_exit
RunIntentCommand(const cli_settings& aSettings,
                 std::string_view aName,
                 engine_intent aIntent,
                 std::ostream& aOut,
                 std::ostream& aErr)
{
  if (aSettings.mWho.empty() || aSettings.mWhy.empty()) {
    aErr << "skylarkwind: an edit needs --who and --why\n";
    return cli_exit::Usage;
  }
  const auto inForce = SerialInForce(aSettings);
  const auto stored = ReadStoredTable(aSettings);
  if (!stored.ok()) {
    return Fail(aErr, stored.status());
  }
  auto value = nlohmann::json::parse(stored->mObject.mTable.ToJson());
  bool found = false;
  for (const auto* list : { "engines", "backends" }) {
    for (auto& row : value[list]) {
      if (row.value("name", "") == aName) {
        row["intent"] = aIntent == engine_intent::Drain ? "drain" : "serve";
        found = true;
      }
    }
  }
  if (!found) {
    return Fail(aErr, absl::NotFoundError("no backend server is named " + std::string{ aName }));
  }
  const auto serial = stored->mObject.mTable.Serial();
  if (!inForce.ok() || *inForce > serial) {
    return Fail(aErr, inForce.ok() ? PlatformIsOlder(serial, *inForce) : inForce.status());
  }
  const auto edited = table::Parse(value.dump());
  return edited.ok() ? WriteEdit(aSettings, *stored, *edited, serial, aOut, aErr)
                     : Fail(aErr, edited.status());
}

} // namespace skylarkwind
