#include "engine_double.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <curl/curl.h>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address to listen on.");
ABSL_FLAG(std::string, name, "engine", "Name in the state answer.");
ABSL_FLAG(std::string, service, "stones", "Service of the engine.");
ABSL_FLAG(std::string, role, "both", "prefill, decode or both.");
ABSL_FLAG(std::string, model, "granite", "Model that is loaded.");
ABSL_FLAG(std::string, version, "1", "Version of the model.");
ABSL_FLAG(double, prefill_tokens_per_s, 20'000, "Prompt tokens computed per second.");
ABSL_FLAG(double, decode_tokens_per_s, 2'000, "Output tokens per second, shared by the batch.");
ABSL_FLAG(double, stream_tokens_per_s, 0, "Upper limit of one stream; 0 means none.");
ABSL_FLAG(std::uint32_t, max_batch, 32, "Streams computed at once.");
ABSL_FLAG(std::uint32_t, max_queue, 10'000, "Streams that wait; above it 503 not_run.");
ABSL_FLAG(std::uint32_t, cache_pieces, 256, "Prefix cache size in pieces of 4,096 tokens.");
ABSL_FLAG(std::int64_t, cache_event_delay_ms, 0, "Age at which a cache event is published.");
ABSL_FLAG(std::uint64_t, cache_event_gap_every, 0, "Each n-th cache event is lost; 0: none.");
ABSL_FLAG(std::int64_t, report_lag_ms, 0, "Age of the load figures.");
ABSL_FLAG(std::int64_t, change_ms, 500, "Duration of an engine order.");
ABSL_FLAG(double, kv_tokens_per_s, 2'000'000, "Speed of a KV cache transfer.");
ABSL_FLAG(bool, checks_fencing, true, "Refuse engine orders with an old fencing token.");
ABSL_FLAG(bool, crash_in_change, false, "Exit in the middle of the next engine order.");

int
main(int aArgc, char** aArgv)
{
  absl::ParseCommandLine(aArgc, aArgv);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  skylarkwind::engine_double_settings settings;
  settings.mName = absl::GetFlag(FLAGS_name);
  settings.mService = absl::GetFlag(FLAGS_service);
  settings.mRole = absl::GetFlag(FLAGS_role);
  settings.mModel = absl::GetFlag(FLAGS_model);
  settings.mVersion = absl::GetFlag(FLAGS_version);
  settings.mSpeed = { absl::GetFlag(FLAGS_prefill_tokens_per_s),
                      absl::GetFlag(FLAGS_decode_tokens_per_s),
                      absl::GetFlag(FLAGS_stream_tokens_per_s),
                      absl::GetFlag(FLAGS_max_batch),
                      absl::GetFlag(FLAGS_max_queue),
                      absl::GetFlag(FLAGS_cache_pieces) };
  settings.mReportLagMs = absl::GetFlag(FLAGS_report_lag_ms);
  settings.mChangeMs = absl::GetFlag(FLAGS_change_ms);
  settings.mCacheEventDelayMs = absl::GetFlag(FLAGS_cache_event_delay_ms);
  settings.mCacheEventGapEvery = absl::GetFlag(FLAGS_cache_event_gap_every);
  settings.mKvTokensPerSecond = absl::GetFlag(FLAGS_kv_tokens_per_s);
  settings.mChecksFencing = absl::GetFlag(FLAGS_checks_fencing);
  settings.mCrashInChange = absl::GetFlag(FLAGS_crash_in_change);
  skylarkwind::engine_double app{ std::move(settings) };
  return skylarkwind::RunStandin(absl::GetFlag(FLAGS_listen), app, std::chrono::milliseconds{ 5 });
}
