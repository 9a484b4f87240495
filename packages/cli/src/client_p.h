#pragma once

#include "skylarkwind/cli.h"
#include "skylarkwind/table.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>

namespace skylarkwind {

struct http_answer
{
  int mStatus = 0;
  std::string mBody;
};

/// One HTTP call; the status error is set when no answer came.
absl::StatusOr<http_answer> CallHttp(const std::string& aMethod,
                                     const std::string& aUrl,
                                     const std::string& aBearer,
                                     const std::string& aIfMatch = {},
                                     const std::string& aBody = {});

/// Prints why a command failed.
cli_exit Fail(std::ostream& aErr, const absl::Status& aStatus);

/// GET of a path at the daemon with the operators' credential.
absl::StatusOr<nlohmann::json> AskDaemon(const cli_settings& aSettings, const std::string& aPath);

/// The table object as the platform holds it. Version 0 and an empty table when there is none.
struct stored_table
{
  std::uint64_t mVersion = 0;
  table_object mObject;
};
absl::StatusOr<stored_table> ReadStoredTable(const cli_settings& aSettings);

cli_exit RunTableCommand(const cli_settings& aSettings,
                         std::span<const std::string> aCommand,
                         std::ostream& aOut,
                         std::ostream& aErr);
/// Changes one row's intent: `drain NAME` and `serve NAME`.
cli_exit RunIntentCommand(const cli_settings& aSettings,
                          std::string_view aName,
                          engine_intent aIntent,
                          std::ostream& aOut,
                          std::ostream& aErr);
cli_exit RunStatusCommand(const cli_settings& aSettings, std::ostream& aOut, std::ostream& aErr);
cli_exit RunExplainCommand(const cli_settings& aSettings,
                           const std::string& aName,
                           std::ostream& aOut,
                           std::ostream& aErr);
cli_exit RunAuditCommand(const cli_settings& aSettings, std::ostream& aOut, std::ostream& aErr);

} // namespace skylarkwind
