#include "http_host.h"
#include "tcp_relay.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <csignal>
#include <iostream>
#include <thread>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address whose connections are relayed.");
ABSL_FLAG(std::string, target, "", "Address that they are relayed to.");
ABSL_FLAG(std::string, control, "127.0.0.1:0", "HTTP address of the controls.");

namespace skylarkwind {
namespace {

using nlohmann::json;

/// POST /standin/faults
/// {"cut":bool,"reset":bool,"delay_ms":n,"silence_open":bool,"silence_all":bool,
/// "silence_up":bool,"silence_down":bool,"bytes_per_second":n}, and GET /standin/state.
class relay_control : public standin_app
{
public:
  explicit relay_control(tcp_relay& aRelay)
    : mRelay(aRelay)
  {
  }

  void OnRequest(const standin_request& aRequest, standin_reply aReply) override
  {
    if (aRequest.mPath == "/standin/faults" && aRequest.mMethod == "POST") {
      auto body = json::parse(aRequest.mBody);
      auto faults = mRelay.Faults();
      faults.mCut = body.value("cut", faults.mCut);
      faults.mDelayMs = body.value("delay_ms", faults.mDelayMs);
      faults.mSilenceAll = body.value("silence_all", faults.mSilenceAll);
      faults.mSilenceUp = body.value("silence_up", faults.mSilenceUp);
      faults.mSilenceDown = body.value("silence_down", faults.mSilenceDown);
      faults.mReset = body.value("reset", faults.mReset);
      faults.mBytesPerSecond = body.value("bytes_per_second", faults.mBytesPerSecond);
      mRelay.SetFaults(faults);
      if (body.contains("silence_open")) {
        mRelay.SilenceOpen(body["silence_open"].get<bool>());
      }
      aReply.Send(200, "{}");
    } else if (aRequest.mPath == "/standin/state") {
      auto state = mRelay.State();
      aReply.Send(200,
                  json{ { "address", mRelay.Address() },
                        { "open", state.mOpen },
                        { "accepted", state.mAccepted },
                        { "bytes", state.mBytes } }
                    .dump());
    } else {
      aReply.Send(404, "{}");
    }
  }

private:
  tcp_relay& mRelay;
};

} // namespace
} // namespace skylarkwind

/// Prints "relaying on ip:port" for the relay, then "listening on ip:port" for the controls.
int
main(int aArgc, char** aArgv)
{
  absl::ParseCommandLine(aArgc, aArgv);
  std::signal(SIGPIPE, SIG_IGN);
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr); // for the relay's thread as well
  skylarkwind::tcp_relay relay{ absl::GetFlag(FLAGS_listen), absl::GetFlag(FLAGS_target) };
  std::cout << "relaying on " << relay.Address() << std::endl;
  std::thread{ [&relay]() { relay.Run(); } }.detach();
  skylarkwind::relay_control control{ relay };
  return skylarkwind::RunStandin(
    absl::GetFlag(FLAGS_control), control, std::chrono::milliseconds{ 5 });
}
