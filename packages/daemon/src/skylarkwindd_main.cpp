#include "skylarkwind/daemon.h"
#include "skylarkwind/gateway.h"
#include "skylarkwind/log.h"
#include "skylarkwind/wire_protocol.h"
#include "skylarkwind/wire_store.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <curl/curl.h>
#include <kj/async-io.h>
#include <kj/async-unix.h>

#include <sys/resource.h>

#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string,
          settings,
          "",
          "settings file (YAML); without it the variable SKYLARKWIND_SETTINGS names the file");
ABSL_FLAG(bool, check_settings, false, "check the settings file and exit");

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitBadSettings = 2;
/// How long the exit waits for the reader of the log. Together with the end of the gateway it must
/// fit before SIGKILL.
constexpr std::chrono::milliseconds kExitLogLimit{ 100 };
/// How often lines that wait for the reader of the log are tried again.
constexpr kj::Duration kLogFlushPeriod = 500 * kj::MILLISECONDS;

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

std::string
SettingsFile()
{
  auto file = absl::GetFlag(FLAGS_settings);
  const auto* variable = std::getenv("SKYLARKWIND_SETTINGS");
  if (file.empty() && variable != nullptr) {
    file = variable;
  }
  return file;
}

/// Signals are captured before any thread exists, so that every thread has them blocked.
void
CaptureSignals()
{
  std::signal(SIGPIPE, SIG_IGN);
  kj::UnixEventPort::captureSignal(SIGTERM);
  kj::UnixEventPort::captureSignal(SIGINT);
  kj::UnixEventPort::captureSignal(SIGHUP);
}

template<class problem_list>
int
PrintProblems(const problem_list& aProblems)
{
  for (const auto& problem : aProblems) {
    std::cerr << problem.Text() << '\n';
  }
  return kExitBadSettings;
}

int
PrintGood()
{
  std::cout << "the settings are good\n";
  return 0;
}

kj::Promise<void>
FlushLogRepeatedly(kj::Timer& aTimer)
{
  return aTimer.afterDelay(kLogFlushPeriod).then([&aTimer] {
    skylarkwind::FlushLog(std::chrono::milliseconds{ 0 });
    return FlushLogRepeatedly(aTimer);
  });
}

/// Runs the daemon as the gateway of a deployment whose platform stores routes and servers.
int
RunGateway(const std::string& aText, const std::string& aFile)
{
  auto parsed = skylarkwind::ParseGatewaySettings(aText, aFile);
  if (const auto* problems = std::get_if<skylarkwind::gateway_settings_problems>(&parsed)) {
    return PrintProblems(*problems);
  }
  if (absl::GetFlag(FLAGS_check_settings)) {
    return PrintGood();
  }
  auto settings = std::get<skylarkwind::gateway_settings>(std::move(parsed));
  CaptureSignals();
  RaiseDescriptorLimit();
  settings.mLog.mOutput = skylarkwind::log_output::StandardOutputBounded;
  skylarkwind::StartLog(settings.mLog);
  const skylarkwind::system_clock_source clock;
  auto context = kj::setupAsyncIo();
  skylarkwind::deployment_adapter adapter;
  adapter.mProtocolAdapter = skylarkwind::MakeWireProtocol();
  adapter.mObjects = skylarkwind::MakeWireObjectParser();
  adapter.mCreateStore = [address = settings.mStoreAddress](skylarkwind::http_pool& aPool,
                                                            kj::Timer& aTimer) {
    return skylarkwind::MakeWireStore(address, aPool, aTimer);
  };
  {
    const auto flushing = FlushLogRepeatedly(context.provider->getTimer()).eagerlyEvaluate(nullptr);
    skylarkwind::gateway::Create(
      std::move(settings), skylarkwind::settings_file{ aFile }, std::move(adapter), context, clock)
      ->Run();
  }
  skylarkwind::FlushLog(kExitLogLimit);
  return 0;
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
  const auto file = SettingsFile();
  std::ostringstream text;
  text << std::ifstream{ file }.rdbuf();
  if (skylarkwind::HasGatewaySettings(text.str())) {
    return RunGateway(text.str(), file);
  }
  auto loaded = skylarkwind::LoadSettings(file);
  if (const auto* problems = std::get_if<skylarkwind::settings_problems>(&loaded)) {
    return PrintProblems(*problems);
  }
  if (absl::GetFlag(FLAGS_check_settings)) {
    return PrintGood();
  }
  CaptureSignals();
  RaiseDescriptorLimit();
  curl_global_init(CURL_GLOBAL_DEFAULT);
  return Run(std::get<skylarkwind::daemon_settings>(std::move(loaded)));
}
