#include "skylarkwind/cli.h"

#include "client_p.h"

#include <iostream>

namespace skylarkwind {

namespace {

cli_exit
Usage(std::ostream& aErr)
{
  aErr << "usage: skylarkwind [flags] COMMAND\n"
          "  status                      this daemon's view of the system\n"
          "  explain engine NAME         why a backend server gets work or not\n"
          "  table show                  print the table (--from_daemon: the one in force)\n"
          "  table diff FILE             rows that FILE would change\n"
          "  table apply FILE            check FILE and make it the table\n"
          "  table history               accepted edits\n"
          "  drain NAME | serve NAME     take a backend server out of service, or back\n"
          "  audit                       edits, engine orders and lease changes\n"
          "flags: --platform --daemon --credential_file --platform_credential_file --who --why "
          "--json --from_daemon\n";
  return cli_exit::Usage;
}

} // namespace

cli_exit
RunCommand(const cli_settings& aSettings,
           std::span<const std::string> aCommand,
           std::ostream& aOut,
           std::ostream& aErr)
{
  if (aCommand.empty()) {
    return Usage(aErr);
  }
  const auto& name = aCommand.front();
  if (name == "table") {
    return RunTableCommand(aSettings, aCommand.subspan(1), aOut, aErr);
  }
  if (name == "status" && aCommand.size() == 1) {
    return RunStatusCommand(aSettings, aOut, aErr);
  }
  if (name == "explain" && aCommand.size() == 3 && aCommand[1] == "engine") {
    return RunExplainCommand(aSettings, aCommand[2], aOut, aErr);
  }
  if (name == "drain" && aCommand.size() == 2) {
    return RunIntentCommand(aSettings, aCommand[1], engine_intent::Drain, aOut, aErr);
  }
  if (name == "serve" && aCommand.size() == 2) {
    return RunIntentCommand(aSettings, aCommand[1], engine_intent::Serve, aOut, aErr);
  }
  if (name == "audit" && aCommand.size() == 1) {
    return RunAuditCommand(aSettings, aOut, aErr);
  }
  return Usage(aErr);
}

} // namespace skylarkwind
