#include "http_host.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <nlohmann/json.hpp>

#include <deque>
#include <map>

ABSL_FLAG(std::string, listen, "127.0.0.1:0", "Address to listen on.");
ABSL_FLAG(std::string, name, "service", "Name in the answers.");
ABSL_FLAG(bool, honour_keys, false, "Answer a repeated Idempotency-Key from the first run.");

namespace skylarkwind {
namespace {

using nlohmann::json;

/// A plain service that records each run (docs/design.md 5.3).
class service_double : public standin_app
{
public:
  void OnRequest(const standin_request& aRequest, standin_reply aReply) override
  {
    if (aRequest.mPath == "/standin/runs") {
      aReply.Send(200,
                  json{ { "runs", mRuns } }.dump(-1, ' ', false, json::error_handler_t::replace));
    } else if (aRequest.mPath == "/standin/faults" && aRequest.mMethod == "POST") {
      SetFaults(json::parse(aRequest.mBody));
      aReply.Send(200, "{}");
    } else if (mDelayMs > 0) {
      mDelayed.push_back({ SteadyMs() + mDelayMs, aRequest, std::move(aReply) });
    } else {
      Run(aRequest, aReply);
    }
  }

  void OnTick() override
  {
    while (!mDelayed.empty() && mDelayed.front().mAtMs <= SteadyMs()) {
      auto due = std::move(mDelayed.front());
      mDelayed.pop_front();
      Run(due.mRequest, due.mReply);
    }
  }

private:
  struct delayed_run
  {
    std::int64_t mAtMs = 0;
    standin_request mRequest;
    standin_reply mReply;
  };

  void SetFaults(const json& aFaults)
  {
    mDelayMs = aFaults.value("delay_ms", mDelayMs);
    mCloseAfterRun = aFaults.value("close_after_run", mCloseAfterRun);
    mCloseBeforeRun = aFaults.value("close_before_run", mCloseBeforeRun);
    if (aFaults.contains("honour_keys")) {
      absl::SetFlag(&FLAGS_honour_keys, aFaults["honour_keys"].get<bool>());
    }
  }

  void Run(const standin_request& aRequest, const standin_reply& aReply)
  {
    if (mCloseBeforeRun > 0) {
      --mCloseBeforeRun;
      aReply.Close();
      return;
    }
    auto key = aRequest.Header("idempotency-key");
    if (absl::GetFlag(FLAGS_honour_keys) && !key.empty() && mAnswers.contains(key)) {
      aReply.Send(200, mAnswers[key]);
      return;
    }
    mRuns.push_back({ { "key", key },
                      { "method", aRequest.mMethod },
                      { "path", aRequest.mPath },
                      { "body", aRequest.mBody } });
    auto answer = json{
      { "service", absl::GetFlag(FLAGS_name) },
      { "run", mRuns.size() },
      { "key", key },
      { "path", aRequest.mPath },
      { "body", aRequest.mBody }
    }.dump(-1, ' ', false, json::error_handler_t::replace);
    if (!key.empty()) {
      mAnswers[key] = answer;
    }
    if (mCloseAfterRun > 0) {
      --mCloseAfterRun;
      aReply.Close();
      return;
    }
    aReply.Send(200, answer);
  }

  std::vector<json> mRuns;
  std::map<std::string, std::string> mAnswers;
  std::deque<delayed_run> mDelayed;
  std::int64_t mDelayMs = 0;
  int mCloseAfterRun = 0;
  int mCloseBeforeRun = 0;
};

} // namespace
} // namespace skylarkwind

int
main(int aArgc, char** aArgv)
{
  absl::ParseCommandLine(aArgc, aArgv);
  skylarkwind::service_double app;
  return skylarkwind::RunStandin(absl::GetFlag(FLAGS_listen), app, std::chrono::milliseconds{ 5 });
}
