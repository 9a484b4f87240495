#include "store_double.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address to listen on.");

int
main(int aArgc, char** aArgv)
{
  absl::ParseCommandLine(aArgc, aArgv);
  skylarkwind::store_double app;
  return skylarkwind::RunStandin(absl::GetFlag(FLAGS_listen), app, std::chrono::milliseconds{ 5 });
}
