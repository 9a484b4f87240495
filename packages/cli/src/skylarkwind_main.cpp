#include "skylarkwind/cli.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <curl/curl.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <vector>

ABSL_FLAG(std::string, platform, "", "ip:port of the platform's object API");
ABSL_FLAG(std::string, daemon, "", "ip:port where a daemon listens for callers");
ABSL_FLAG(std::string,
          credential_file,
          "",
          "file with the operators' credential (default: environment SKYLARKWIND_CREDENTIAL)");
ABSL_FLAG(std::string, platform_credential_file, "", "file with the platform's credential");
ABSL_FLAG(std::string, who, "", "who edits; recorded with the edit");
ABSL_FLAG(std::string, why, "", "why; recorded with the edit");
ABSL_FLAG(bool, json, false, "print JSON");
ABSL_FLAG(bool, from_daemon, false, "show the table that the daemon has in force");

namespace {

/// First line of the file; empty when it cannot be read.
std::string
FirstLine(const std::string& aFile)
{
  std::ifstream in{ aFile };
  std::string line;
  std::getline(in, line);
  return line;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  absl::SetProgramUsageMessage("operators' client of skylarkwind");
  const auto words = absl::ParseCommandLine(aArgc, aArgv);
  const std::vector<std::string> command{ words.begin() + 1, words.end() };
  curl_global_init(CURL_GLOBAL_DEFAULT);

  skylarkwind::cli_settings settings;
  settings.mPlatform = absl::GetFlag(FLAGS_platform);
  settings.mDaemon = absl::GetFlag(FLAGS_daemon);
  settings.mWho = absl::GetFlag(FLAGS_who);
  settings.mWhy = absl::GetFlag(FLAGS_why);
  settings.mJson = absl::GetFlag(FLAGS_json);
  settings.mFromDaemon = absl::GetFlag(FLAGS_from_daemon);
  const auto file = absl::GetFlag(FLAGS_credential_file);
  const char* environment = std::getenv("SKYLARKWIND_CREDENTIAL");
  settings.mCredential = !file.empty()            ? FirstLine(file)
                         : environment != nullptr ? environment
                                                  : "";
  const auto platformFile = absl::GetFlag(FLAGS_platform_credential_file);
  settings.mPlatformCredential = platformFile.empty() ? "" : FirstLine(platformFile);

  const auto result = skylarkwind::RunCommand(settings, command, std::cout, std::cerr);
  curl_global_cleanup();
  return static_cast<int>(result);
}
