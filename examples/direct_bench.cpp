// Cost of a daemon between callers and an engine, measured against the engine itself:
//   direct_bench pace ENGINE DAEMON PID MODEL KEY [seconds] [requests/s] [tokens]
//   direct_bench full DAEMON PID MODEL KEY [seconds] [tokens] [open]
//   direct_bench hold DAEMON PID MODEL KEY [streams]
// ENGINE and DAEMON are ip:port, PID is the daemon's process. `pace` sends the same requests
// alternately to both, `full` keeps `open` streams at the daemon, `hold` prints the daemon's
// resident memory without and with open streams. A chunk is one SSE event; a test double without a
// limit for one stream puts many tokens in one. Nothing is started here; see scripts/measure.

#include <curl/curl.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace skylarkwind {

namespace {

using bench_clock = std::chrono::steady_clock;
using seconds_d = std::chrono::duration<double>;

/// Prompt of 8,000 bytes, about 2,000 tokens.
constexpr std::size_t kPromptBytes = 8'000;
constexpr double kWarmSeconds = 5;
constexpr std::string_view kEvent = "data: {";

double
ProcessorSeconds(const std::string& aPid)
{
  std::ifstream file{ "/proc/" + aPid + "/stat" };
  std::string text{ std::istreambuf_iterator<char>{ file }, {} };
  unsigned long long user = 0;
  unsigned long long system = 0;
  const auto end = text.rfind(')');
  if (end == std::string::npos ||
      std::sscanf(text.c_str() + end + 1, // NOLINT(cert-err34-c)
                  " %*c %*d %*d %*d %*d %*d %*u %*u %*u %*u %*u %llu %llu",
                  &user,
                  &system) != 2) {
    std::fprintf(stderr, "process %s cannot be read\n", aPid.c_str());
    std::exit(1);
  }
  return static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::size_t
ResidentKilobytes(const std::string& aPid)
{
  std::ifstream status{ "/proc/" + aPid + "/status" };
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with("VmRSS:")) {
      return std::stoul(line.substr(6));
    }
  }
  return 0;
}

struct figures
{
  std::vector<double> mFirst; ///< ms to the first token
  std::vector<double> mGaps;  ///< ms between tokens
  std::size_t mWhole = 0;
  std::size_t mFailed = 0;
  std::size_t mTokens = 0;
};

double
Quantile(std::vector<double> aValues, double aPart)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  return aValues[static_cast<std::size_t>(aPart * static_cast<double>(aValues.size() - 1))];
}

struct stream
{
  figures* mFigures = nullptr;
  bench_clock::time_point mSent;
  bench_clock::time_point mLast;
  std::size_t mEvents = 0;
  bool mDone = false;
  std::string mHead; ///< first bytes of the answer, for the message about one that failed
  std::string mTail; ///< end of the last piece, in which an event's start may be split
  std::string mBody;
};

std::size_t
OnBytes(char* aData, std::size_t aSize, std::size_t aCount, void* aStream)
{
  auto& to = *static_cast<stream*>(aStream);
  const auto now = bench_clock::now();
  to.mTail.append(aData, aSize * aCount);
  if (to.mHead.size() < 200) {
    to.mHead.append(aData, std::min<std::size_t>(200, aSize * aCount));
  }
  std::size_t from = 0;
  for (auto at = to.mTail.find(kEvent); at != std::string::npos; at = to.mTail.find(kEvent, from)) {
    from = at + kEvent.size();
    const auto since = to.mEvents == 0 ? to.mSent : to.mLast;
    const double ms = seconds_d{ now - since }.count() * 1e3;
    (to.mEvents == 0 ? to.mFigures->mFirst : to.mFigures->mGaps).push_back(ms);
    ++to.mEvents;
    to.mLast = now;
  }
  to.mDone = to.mDone || to.mTail.find("data: [DONE]") != std::string::npos;
  const std::size_t keep = std::max(from, to.mTail.size() > 11 ? to.mTail.size() - 11 : 0);
  to.mTail.erase(0, keep);
  return aSize * aCount;
}

/// Streams that are open at once, on one thread.
class caller
{
public:
  caller(std::string aModel, const std::string& aKey)
    : mModel(std::move(aModel))
    , mMulti(curl_multi_init())
  {
    mHeaders = curl_slist_append(mHeaders, ("Authorization: Bearer " + aKey).c_str());
    mHeaders = curl_slist_append(mHeaders, "Content-Type: application/json");
    mHeaders = curl_slist_append(mHeaders, "Expect:");
  }
  ~caller()
  {
    for (auto& open : mOpen) {
      curl_multi_remove_handle(mMulti, open.first);
      curl_easy_cleanup(open.first);
    }
    curl_multi_cleanup(mMulti);
    curl_slist_free_all(mHeaders);
  }
  caller(const caller&) = delete;
  caller& operator=(const caller&) = delete;

  void Send(const std::string& aAddress, std::size_t aTokens, figures& aFigures)
  {
    auto to = std::make_unique<stream>();
    to->mFigures = &aFigures;
    to->mBody = R"({"model":")" + mModel + R"(","stream":true,"max_tokens":)" +
                std::to_string(aTokens) + R"(,"prompt":")" + std::to_string(mNumber++ / 2) + " " +
                std::string(kPromptBytes, 'x') + R"("})";
    CURL* easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, ("http://" + aAddress + "/v1/completions").c_str());
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, mHeaders);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(to->mBody.size()));
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, to->mBody.c_str());
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, OnBytes);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, to.get());
    curl_easy_setopt(easy, CURLOPT_TIMEOUT, 90L);
    to->mSent = bench_clock::now();
    curl_multi_add_handle(mMulti, easy);
    mOpen.emplace_back(easy, std::move(to));
  }

  void Run(std::chrono::milliseconds aWait)
  {
    int running = 0;
    curl_multi_perform(mMulti, &running);
    curl_multi_poll(
      mMulti, nullptr, 0, static_cast<int>(std::max<long>(0, aWait.count())), nullptr);
    curl_multi_perform(mMulti, &running);
    int left = 0;
    while (const CURLMsg* message = curl_multi_info_read(mMulti, &left)) {
      if (message->msg == CURLMSG_DONE) {
        End(message->easy_handle, message->data.result);
      }
    }
  }

  std::size_t Open() const { return mOpen.size(); }

private:
  void End(CURL* aEasy, CURLcode aResult)
  {
    const auto at = std::find_if(
      mOpen.begin(), mOpen.end(), [aEasy](const auto& aOpen) { return aOpen.first == aEasy; });
    auto& to = *at->second;
    const bool good = aResult == CURLE_OK && to.mDone;
    (good ? to.mFigures->mWhole : to.mFigures->mFailed) += 1;
    if (!good && to.mFigures->mFailed == 1) {
      std::fprintf(
        stderr, "first failed request: %s, %s\n", curl_easy_strerror(aResult), to.mHead.c_str());
    }
    to.mFigures->mTokens += to.mEvents;
    curl_multi_remove_handle(mMulti, aEasy);
    curl_easy_cleanup(aEasy);
    mOpen.erase(at);
  }

  std::string mModel;
  CURLM* mMulti;
  curl_slist* mHeaders = nullptr;
  std::vector<std::pair<CURL*, std::unique_ptr<stream>>> mOpen;
  std::size_t mNumber = 0;
};

/// Keeps `aOpen` streams at the address; ends when the last one that began in time is whole.
void
KeepOpen(caller& aCaller,
         const std::string& aAddress,
         std::size_t aTokens,
         std::size_t aOpen,
         double aSeconds,
         figures& aFigures)
{
  const auto end = bench_clock::now() + seconds_d{ aSeconds };
  while (bench_clock::now() < end || aCaller.Open() > 0) {
    while (bench_clock::now() < end && aCaller.Open() < aOpen && aFigures.mFailed < 10'000) {
      aCaller.Send(aAddress, aTokens, aFigures);
    }
    aCaller.Run(std::chrono::milliseconds{ 10 });
  }
}

void
PrintProcessor(const char* aName, const figures& aFigures, double aProcessor, double aSeconds)
{
  std::printf(
    "%s: %zu whole, %zu failed, %.1f requests/s, %.0f chunks/s; daemon %.3f s of processor"
    " time in %.1f s (%.1f %% of a core), %.1f us for each request with its chunks,"
    " %.2f us for each chunk\n",
    aName,
    aFigures.mWhole,
    aFigures.mFailed,
    static_cast<double>(aFigures.mWhole) / aSeconds,
    static_cast<double>(aFigures.mTokens) / aSeconds,
    aProcessor,
    aSeconds,
    100 * aProcessor / aSeconds,
    1e6 * aProcessor / static_cast<double>(std::max<std::size_t>(1, aFigures.mWhole)),
    1e6 * aProcessor / static_cast<double>(std::max<std::size_t>(1, aFigures.mTokens)));
}

void
PrintTimes(const char* aName, const figures& aFigures)
{
  std::printf("%s: first token median %.3f ms, p95 %.3f, p99 %.3f; between tokens median %.3f ms,"
              " p95 %.3f, p99 %.3f; %zu whole, %zu failed\n",
              aName,
              Quantile(aFigures.mFirst, 0.5),
              Quantile(aFigures.mFirst, 0.95),
              Quantile(aFigures.mFirst, 0.99),
              Quantile(aFigures.mGaps, 0.5),
              Quantile(aFigures.mGaps, 0.95),
              Quantile(aFigures.mGaps, 0.99),
              aFigures.mWhole,
              aFigures.mFailed);
}

/// Returns whether every stream was whole.
bool
Pace(const std::vector<std::string>& aArgs)
{
  const std::string& pid = aArgs.at(3);
  const double time = aArgs.size() > 6 ? std::atof(aArgs[6].c_str()) : 20;
  const double rate = aArgs.size() > 7 ? std::atof(aArgs[7].c_str()) : 9.4;
  const std::size_t tokens = aArgs.size() > 8 ? std::stoul(aArgs[8]) : 517;
  caller with{ aArgs.at(4), aArgs.at(5) };
  figures warm;
  KeepOpen(with, aArgs.at(2), 20, 100, kWarmSeconds, warm);

  figures engine;
  figures daemon;
  const double before = ProcessorSeconds(pid);
  const auto start = bench_clock::now();
  const auto count = static_cast<std::size_t>(time * rate * 2);
  for (std::size_t sent = 0; sent < count || with.Open() > 0;) {
    const auto next = start + seconds_d{ static_cast<double>(sent) / (2 * rate) };
    if (sent < count && bench_clock::now() >= next) {
      // The order within a pair changes, so that neither always follows the other.
      const bool first = sent % 2 == (sent / 2) % 2;
      with.Send(first ? aArgs[1] : aArgs[2], tokens, first ? engine : daemon);
      ++sent;
    }
    with.Run(std::chrono::milliseconds{ 1 });
  }
  const double wall = seconds_d{ bench_clock::now() - start }.count();
  PrintTimes("engine alone  ", engine);
  PrintTimes("through daemon", daemon);
  std::printf(
    "added: first token median %.3f ms, p99 %.3f; between tokens median %.3f ms, p99 %.3f\n",
    Quantile(daemon.mFirst, 0.5) - Quantile(engine.mFirst, 0.5),
    Quantile(daemon.mFirst, 0.99) - Quantile(engine.mFirst, 0.99),
    Quantile(daemon.mGaps, 0.5) - Quantile(engine.mGaps, 0.5),
    Quantile(daemon.mGaps, 0.99) - Quantile(engine.mGaps, 0.99));
  PrintProcessor("paced", daemon, ProcessorSeconds(pid) - before, wall);
  return engine.mFailed + daemon.mFailed == 0 && daemon.mWhole > 0;
}

bool
Full(const std::vector<std::string>& aArgs)
{
  const std::string& pid = aArgs.at(2);
  const double time = aArgs.size() > 5 ? std::atof(aArgs[5].c_str()) : 10;
  const std::size_t tokens = aArgs.size() > 6 ? std::stoul(aArgs[6]) : 517;
  const std::size_t open = aArgs.size() > 7 ? std::stoul(aArgs[7]) : 48;
  caller with{ aArgs.at(3), aArgs.at(4) };
  figures warm;
  KeepOpen(with, aArgs.at(1), 20, open, kWarmSeconds, warm);
  figures daemon;
  const double before = ProcessorSeconds(pid);
  const auto start = bench_clock::now();
  KeepOpen(with, aArgs.at(1), tokens, open, time, daemon);
  const double wall = seconds_d{ bench_clock::now() - start }.count();
  PrintProcessor("full", daemon, ProcessorSeconds(pid) - before, wall);
  return daemon.mFailed == 0 && daemon.mWhole > 0;
}

bool
Hold(const std::vector<std::string>& aArgs)
{
  const std::string& pid = aArgs.at(2);
  const std::size_t streams = aArgs.size() > 5 ? std::stoul(aArgs[5]) : 400;
  caller with{ aArgs.at(3), aArgs.at(4) };
  figures warm;
  const std::size_t fresh = ResidentKilobytes(pid);
  // An engine's limit while it ramps up doubles with each full window of completed requests.
  KeepOpen(with, aArgs.at(1), 2, streams, kWarmSeconds, warm);
  const std::size_t before = ResidentKilobytes(pid);
  figures held;
  for (std::size_t i = 0; i < streams; ++i) {
    with.Send(aArgs.at(1), 1'000, held);
    with.Run(std::chrono::milliseconds{ 1 });
  }
  const auto end = bench_clock::now() + std::chrono::seconds{ 20 };
  while (held.mFirst.size() < streams && bench_clock::now() < end) {
    with.Run(std::chrono::milliseconds{ 10 });
  }
  const std::size_t after = ResidentKilobytes(pid);
  std::printf("resident: %zu KiB before any request, %zu KiB with 0 streams after warming up, %zu "
              "KiB with %zu streams that had a first token"
              " (%zu sent, %zu ended): %.1f KiB for each above the first figure\n",
              fresh,
              before,
              after,
              held.mFirst.size(),
              streams,
              held.mWhole + held.mFailed,
              static_cast<double>(after - std::min(fresh, after)) /
                static_cast<double>(std::max<std::size_t>(1, held.mFirst.size())));
  return held.mFirst.size() == streams && held.mFailed == 0;
}

} // namespace

} // namespace skylarkwind

int
main(int aArgc, char** aArgv)
{
  const std::vector<std::string> args{ aArgv + 1, aArgv + aArgc };
  curl_global_init(CURL_GLOBAL_DEFAULT);
  bool good = false;
  if (args.size() >= 6 && args[0] == "pace") {
    good = skylarkwind::Pace(args);
  } else if (args.size() >= 5 && args[0] == "full") {
    good = skylarkwind::Full(args);
  } else if (args.size() >= 5 && args[0] == "hold") {
    good = skylarkwind::Hold(args);
  } else {
    std::fprintf(stderr, "usage: direct_bench pace|full|hold ...; see the head of the source\n");
  }
  curl_global_cleanup();
  return good ? 0 : 1;
}
