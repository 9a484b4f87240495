// Processor time of one request through the decisions of `serving`, by number of engines:
//   serving_bench [requests] [engines]
// Without `engines` it runs 10, 100 and 600. A request arrives, streams 20 tokens and ends; a tick
// comes with every tenth request.

#include "skylarkwind/serving.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <string>
#include <vector>

namespace skylarkwind {

namespace {

constexpr int kTokens = 20;
constexpr int kRequestsPerTick = 10;
/// Requests that are in flight at once.
constexpr std::size_t kOpen = 200;

class bench_fleet final : public fleet
{
public:
  explicit bench_fleet(int aEngines)
  {
    for (int i = 0; i < aEngines; ++i) {
      engine_view view;
      view.mName = "engine-" + std::to_string(i);
      view.mAddress = "10.0.0.1:8000";
      view.mDataCentre = i % 3 == 0 ? "a" : "b";
      view.mService = "draft";
      view.mModel = "painter-large";
      view.mVersion = "7";
      view.mStatus = engine_status::Serving;
      mViews.push_back(view);
    }
  }
  std::span<const engine_view> Engines() const override { return mViews; }
  std::span<const engine_view> Backends() const override { return {}; }
  std::string Explain(std::string_view) const override { return {}; }
  void OnAttemptStarted(std::string_view, instant) override {}
  void OnAttemptEnded(std::string_view, attempt_health, instant) override {}
  void OnReport(const engine_report&, instant, effect_list&) override {}
  void OnTable(const table&, instant, effect_list&) override {}
  void OnFleetObject(std::string_view, const fleet_object&, instant, effect_list&) override {}
  void OnVmList(const vm_list&, instant, effect_list&) override {}
  void OnObserved(const engine_state_received&, instant, effect_list&) override {}
  void OnTick(instant, effect_list&) override {}

private:
  std::vector<engine_view> mViews;
};

class bench_limits final : public limit_shares
{
public:
  limit_decision TryAcquire(std::span<const std::string>, instant, instant) override
  {
    return limit_ticket{ 1 };
  }
  void Release(limit_ticket, instant) override {}
  void OnTable(const table&, instant) override {}
  void OnVmList(const vm_list&, instant) override {}
  void OnTick(instant, effect_list&) override {}
  void OnPlatformReply(const platform_replied&, instant, effect_list&) override {}
  void OnShutdown(instant, effect_list&) override {}
  std::vector<share_view> View() const override { return {}; }
};

class bench_claims final : public request_claims
{
public:
  void Claim(request_id, std::string_view, std::string_view, instant, instant, effect_list&)
    override
  {
  }
  void Record(request_id, const attempt_response&, instant, effect_list&) override {}
  void RecordUnknown(request_id, instant, effect_list&) override {}
  void Withdraw(request_id, instant, effect_list&) override {}
  std::vector<claim_decision> TakeDecisions() override { return {}; }
  bool Idle() const override { return true; }
  void OnTick(instant, wall_instant, effect_list&) override {}
  void OnPlatformReply(const platform_replied&, instant, effect_list&) override {}
  bool OnPeerRequestReceived(const peer_request_received&, instant, effect_list&) override
  {
    return false;
  }
  bool OnPeerResponse(const peer_response_received&, instant, effect_list&) override
  {
    return false;
  }
};

constexpr std::string_view kTable = R"({"serial": 1,
  "services": [{"name": "draft", "kind": "model"}],
  "models": [{"name": "painter-large", "service": "draft", "version": "7"}],
  "accounts": [{"name": "guild", "api_key_sha256":
    "1111111111111111111111111111111111111111111111111111111111111111"}]})";

double
ProcessorSeconds()
{
  timespec value{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &value);
  return static_cast<double>(value.tv_sec) + static_cast<double>(value.tv_nsec) * 1e-9;
}

/// Drives one serving part and keeps the time spent in its calls by kind.
class bench
{
public:
  explicit bench(int aEngines)
    : mFleet(aEngines)
  {
    serving_settings settings;
    settings.mSelf = { "vm-1", 1'764'800'000'000 };
    settings.mDataCentre = "a";
    settings.mResumeKey = "key";
    mServing = serving::Create(settings, mFleet, mLimits, mClaims, mCounters).value();
    mServing->OnTable(table::Parse(kTable).value(), mNow);
  }

  void Run(int aRequests)
  {
    std::vector<attempt_id> open;
    for (int i = 0; i < aRequests; ++i) {
      open.push_back(Arrive(i));
      if (open.size() >= kOpen) {
        Stream(open[static_cast<std::size_t>(i) % open.size()]);
        open[static_cast<std::size_t>(i) % open.size()] = open.back();
        open.pop_back();
      }
      if (i % kRequestsPerTick == 0) {
        mNow += std::chrono::milliseconds{ 20 };
        Timed(mTickSeconds, [this] { mServing->OnTick(mNow, mOut); });
      }
    }
    mRequests = aRequests;
  }

  void Print(int aEngines) const
  {
    const double perRequest = 1e6 / mRequests;
    std::printf("%4d engines: arrival %.2f us, %d tokens and end %.2f us, tick %.2f us\n",
                aEngines,
                mArrivalSeconds * perRequest,
                kTokens,
                mStreamSeconds * perRequest,
                mTickSeconds * perRequest * kRequestsPerTick);
  }

private:
  template<class action>
  void Timed(double& aSum, action aAction)
  {
    mOut.clear();
    const double start = ProcessorSeconds();
    aAction();
    aSum += ProcessorSeconds() - start;
  }

  attempt_id Arrive(int aNumber)
  {
    completion_request completion;
    completion.mStreaming = true;
    completion.mModel = "painter-large";
    completion.mPrompt = std::to_string(aNumber % 64) + std::string(20'000, 'x');
    completion.mPromptTokens = completion.mPrompt.size() / 4;
    completion.mMaxTokens = kTokens;
    caller_arrived arrived{ { ++mLastRequest } };
    arrived.mBody.mApiKeySha256 = std::string(64, '1');
    arrived.mBody.mOperation = std::move(completion);
    Timed(mArrivalSeconds, [&] { mServing->OnCaller(arrived, mNow, mOut); });
    const auto* start = mOut.empty() ? nullptr : std::get_if<start_attempt>(&mOut.back());
    if (start == nullptr) {
      std::fprintf(stderr, "request %d was not sent\n", aNumber);
      std::exit(1);
    }
    return start->mAttempt;
  }

  void Stream(attempt_id aAttempt)
  {
    for (int offset = 1; offset <= kTokens; ++offset) {
      const auto count = static_cast<std::uint64_t>(offset);
      const attempt_progress progress{ aAttempt, attempt_tokens{ "word ", count - 1, count } };
      Timed(mStreamSeconds, [&] { mServing->OnAttempt(progress, mNow, mOut); });
    }
    const attempt_progress end{ aAttempt, attempt_generated{ "stop" } };
    Timed(mStreamSeconds, [&] { mServing->OnAttempt(end, mNow, mOut); });
    const auto* done = mOut.empty() ? nullptr : std::get_if<caller_completed>(&mOut.back());
    if (done == nullptr || done->mUsage.mCompletionTokens != kTokens) {
      std::fprintf(stderr, "attempt %llu was not whole\n", 0ULL + aAttempt.mValue);
      std::exit(1);
    }
  }

  bench_fleet mFleet;
  bench_limits mLimits;
  bench_claims mClaims;
  counters mCounters;
  std::unique_ptr<serving> mServing;
  instant mNow{ std::chrono::seconds{ 100 } };
  effect_list mOut;
  std::uint64_t mLastRequest = 0;
  int mRequests = 0;
  double mArrivalSeconds = 0;
  double mStreamSeconds = 0;
  double mTickSeconds = 0;
};

} // namespace

} // namespace skylarkwind

int
main(int aArgc, char** aArgv)
{
  const int requests = aArgc > 1 ? std::atoi(aArgv[1]) : 20'000;
  const std::vector<int> sizes =
    aArgc > 2 ? std::vector<int>{ std::atoi(aArgv[2]) } : std::vector<int>{ 10, 100, 600 };
  for (const int engines : sizes) {
    skylarkwind::bench run{ engines };
    run.Run(requests);
    run.Print(engines);
  }
  return 0;
}
