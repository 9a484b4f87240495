#include "skylarkwind/daemon.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <curl/curl.h>
#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <sys/resource.h>

#include <csignal>
#include <iostream>

ABSL_FLAG(std::string, settings, "", "settings file (YAML)");
ABSL_FLAG(bool, check_settings, false, "check the settings file and exit");

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;

/// Every caller, engine stream and daemon link takes a descriptor; the usual soft limit of 1,024 is
/// below the default number of callers.
void
RaiseDescriptorLimit()
{
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) == 0) {
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
  }
}

int
Run(skylarkwind::daemon_settings aSettings)
{
  const skylarkwind::system_clock_source clock;
  aSettings.mNode.mSelf.mStartId =
    static_cast<std::uint64_t>(clock.WallNow().time_since_epoch().count());
  aSettings.mNode.mRandomSeed = aSettings.mNode.mSelf.mStartId;
  skylarkwind::StartLog(aSettings.mLog);
  auto context = kj::setupAsyncIo();
  auto daemon = skylarkwind::daemon_process::Create(std::move(aSettings), context, clock);
  if (!daemon.ok()) {
    skylarkwind::Log(
      skylarkwind::log_level::Error, "daemon", std::string{ daemon.status().message() });
    return kExitFailed;
  }
  (*daemon)->Run();
  return 0;
}

} // namespace

int
main(int aArgc, char** aArgv)
{
  absl::SetProgramUsageMessage("skylarkwind daemon");
  absl::ParseCommandLine(aArgc, aArgv);
  auto loaded = skylarkwind::LoadSettings(absl::GetFlag(FLAGS_settings));
  if (const auto* problems = std::get_if<skylarkwind::settings_problems>(&loaded)) {
    for (const auto& problem : *problems) {
      std::cerr << problem.Text() << '\n';
    }
    return kExitBadSettings;
  }
  if (absl::GetFlag(FLAGS_check_settings)) {
    std::cout << "the settings are good\n";
    return 0;
  }
  // Signals are captured before any thread exists, so that every thread has them blocked.
  std::signal(SIGPIPE, SIG_IGN);
  kj::UnixEventPort::captureSignal(SIGTERM);
  kj::UnixEventPort::captureSignal(SIGINT);
  RaiseDescriptorLimit();
  curl_global_init(CURL_GLOBAL_DEFAULT);
  return Run(std::get<skylarkwind::daemon_settings>(std::move(loaded)));
}
