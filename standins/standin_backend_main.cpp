#include "backend_double.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address to listen on.");
ABSL_FLAG(std::string, id, "i-1", "Id of this start of the server.");
ABSL_FLAG(std::string, stage, "decode", "prefill or decode.");
ABSL_FLAG(std::int64_t, event_ms, 5, "Time between events of a stream.");
ABSL_FLAG(std::int64_t, event_bytes, 0, "Size to which each event is padded with a comment.");
ABSL_FLAG(bool, undelimited, false, "Streams end with their connection.");
ABSL_FLAG(std::string, crash_part, "", "Part of prompts whose answers end the process.");
ABSL_FLAG(int, crash_after, 0, "Events of such an answer before the end.");
ABSL_FLAG(std::string, log_file, "", "File that keeps a line for each record.");

int
main(int aArgc, char** aArgv)
{
  absl::ParseCommandLine(aArgc, aArgv);
  skylarkwind::backend_double app{ absl::GetFlag(FLAGS_id),
                                   absl::GetFlag(FLAGS_stage),
                                   { absl::GetFlag(FLAGS_event_ms),
                                     static_cast<std::size_t>(absl::GetFlag(FLAGS_event_bytes)),
                                     absl::GetFlag(FLAGS_undelimited) },
                                   absl::GetFlag(FLAGS_log_file),
                                   { absl::GetFlag(FLAGS_crash_part),
                                     absl::GetFlag(FLAGS_crash_after) } };
  return skylarkwind::RunStandin(absl::GetFlag(FLAGS_listen), app, std::chrono::milliseconds{ 5 });
}
