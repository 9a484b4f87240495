#include "platform_double.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address to listen on.");
ABSL_FLAG(double, writes_per_second, 0, "Writes above this rate get 429; 0 means no limit.");
ABSL_FLAG(double, reads_per_second, 0, "Reads above this rate get 429; 0 means no limit.");

int
main(int aArgc, char** aArgv)
{
  absl::ParseCommandLine(aArgc, aArgv);
  skylarkwind::platform_double app{ absl::GetFlag(FLAGS_reads_per_second),
                                    absl::GetFlag(FLAGS_writes_per_second) };
  return skylarkwind::RunStandin(absl::GetFlag(FLAGS_listen), app, std::chrono::milliseconds{ 5 });
}
