#pragma once

#include "child_process.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

/// A whole system of real processes on loopback, for session tests.
namespace skylarkwind::sessions {

using header_lines = std::vector<std::string>;

struct http_reply
{
  int mStatus = 0; ///< 0: no answer came, or the connection broke before its end
  std::string mBody;
  bool mBroken = false; ///< the connection ended before the answer did
};

/// One HTTP call, bounded in time.
http_reply Call(const std::string& aMethod,
                const std::string& aUrl,
                const header_lines& aHeaders = {},
                const std::string& aBody = {},
                std::chrono::milliseconds aLimit = std::chrono::seconds{ 30 });

/// A loopback port that nothing listens on.
std::uint16_t FreePort();

/// Waits until the condition holds; false when it does not within the limit.
bool WaitUntil(const std::function<bool()>& aCondition,
               std::chrono::milliseconds aLimit = std::chrono::seconds{ 30 });

/// A call on a thread of its own whose answer can be looked at while it streams.
class open_call
{
public:
  open_call(std::string aUrl, header_lines aHeaders, std::string aBody);
  ~open_call();

  std::string Received() const;
  /// Stops reading and closes the connection.
  void Abort() { mAborted = true; }
  /// While set, no byte is taken from the connection.
  void Pause(bool aPaused) { mPaused = aPaused; }
  bool Ended() const { return mEnded; }
  http_reply Wait();

private:
  static std::size_t OnData(char* aData, std::size_t aSize, std::size_t aCount, void* aSelf);
  static int OnProgress(void* aSelf, long, long, long, long);
  void Run();

  std::string mUrl;
  header_lines mHeaders;
  std::string mRequestBody;
  mutable std::mutex mMutex;
  http_reply mReply;
  std::atomic<bool> mAborted{ false };
  std::atomic<bool> mPaused{ false };
  std::atomic<bool> mEnded{ false };
  std::thread mThread;
};

/// Text and last event id of a streamed completion.
struct stream_view
{
  std::string mText;
  std::string mLastEventId;
  bool mDone = false; ///< data: [DONE] was seen
  std::string mError; ///< JSON of an error event
};
stream_view ReadStream(const std::string& aBody);

struct engine_options
{
  std::string mName;
  std::string mDataCentre = "ga-a";
  std::string mRole = "both";
  bool mChecksFencing = true;
  std::vector<std::string> mFlags; ///< further flags of standin_engine
  bool mRelayed = false;           ///< daemons reach it through a relay
};

struct daemon_options
{
  std::string mVm;
  std::string mDataCentre = "ga-a";
  bool mPlatformRelayed = false;
  bool mLinksRelayed = false; ///< other daemons reach it through a relay
};

struct system_options
{
  std::vector<engine_options> mEngines{ { "e1" }, { "e2" }, { "e3", "ga-b" } };
  std::vector<daemon_options> mDaemons{ { "entry-1" }, { "entry-2", "ga-b" } };
  /// Short times, so that takeovers and deaths take a second instead of ten.
  std::string mMoreSettings = "membership: { probe_period_ms: 150, probe_time_limit_ms: 50, "
                              "suspicion_ms: 600 }\n"
                              "lease: { term_ms: 2000, renew_every_ms: 400, stop_after_ms: 1300, "
                              "order_expiry_ms: 500, drain_limit_ms: 20000 }\n";
  std::function<void(nlohmann::json&)> mEditTable; ///< changes the first table before it is applied
};

class test_system
{
public:
  /// Starts everything, applies the table and waits until every daemon serves.
  explicit test_system(system_options aOptions = {});

  child_process& Daemon(const std::string& aVm);
  child_process& Engine(const std::string& aName);
  child_process& Platform() { return *mPlatform; }
  child_process& Service() { return *mService; }
  /// Control address of a relay: "engine/<name>", "platform/<vm>" or "links/<vm>".
  http_reply Relay(const std::string& aName, const std::string& aPath, const std::string& aBody);

  void StartDaemon(const std::string& aVm);
  /// Ends the process at once, as a crash does.
  void KillDaemon(const std::string& aVm);
  void KillEngine(const std::string& aName);
  /// Starts an engine again on its old address.
  void RestartEngine(const std::string& aName);
  /// The same with other flags than before.
  void RestartEngine(const std::string& aName, std::vector<std::string> aFlags);

  std::string Url(const std::string& aVm, const std::string& aPath) const;
  header_lines CallerHeaders() const;
  /// The operators' credential of all daemons.
  static const std::string& OperatorCredential();
  http_reply Complete(const std::string& aVm, const std::string& aPrompt, int aMaxTokens) const;
  std::unique_ptr<open_call> Stream(const std::string& aVm,
                                    const std::string& aPrompt,
                                    int aMaxTokens,
                                    const std::string& aLastEventId = {}) const;
  http_reply Order(const std::string& aVm, const std::string& aKey, const std::string& aBody) const;
  /// How often the plain service ran the key.
  int RunsOf(const std::string& aKey) const;

  nlohmann::json Status(const std::string& aVm) const;
  /// Status text of a backend server as a daemon sees it.
  std::string EngineStatus(const std::string& aVm, const std::string& aName) const;
  std::vector<std::string> Vms() const;

  nlohmann::json Table() const;
  /// Runs `skylarkwind` with the arguments; returns its exit code.
  int Client(const std::string& aVm,
             const std::vector<std::string>& aArguments,
             std::string* aOutput = nullptr) const;
  /// Applies a table through `skylarkwind table apply`.
  int Apply(const nlohmann::json& aTable, std::string* aOutput = nullptr) const;

  static std::string Prompt(std::size_t aTokens, const std::string& aStart = "p");

private:
  struct daemon_entry
  {
    daemon_options mOptions;
    std::uint16_t mCallerPort = 0;
    std::uint16_t mLinkPort = 0;
    std::string mLinkAddress; ///< as other daemons see it
    std::string mPlatformAddress;
    std::unique_ptr<child_process> mProcess;
  };
  struct engine_entry
  {
    engine_options mOptions;
    std::string mAddress;      ///< where it listens
    std::string mTableAddress; ///< as the table has it
    std::unique_ptr<child_process> mProcess;
  };
  struct relay_entry
  {
    std::string mName;
    std::string mControl;
    std::unique_ptr<child_process> mProcess;
  };

  std::string AddRelay(const std::string& aName, const std::string& aTarget, std::uint16_t aPort);
  void StartEngine(engine_entry& aEngine);
  std::string WriteSettings(const daemon_entry& aDaemon) const;
  nlohmann::json FirstTable() const;
  daemon_entry& Find(const std::string& aVm);
  const daemon_entry& Find(const std::string& aVm) const;
  engine_entry& FindEngine(const std::string& aName);

  system_options mOptions;
  std::string mDirectory;
  std::unique_ptr<child_process> mPlatform;
  std::unique_ptr<child_process> mService;
  std::vector<relay_entry> mRelays;
  std::vector<engine_entry> mEngines;
  std::vector<daemon_entry> mDaemons;
};

} // namespace skylarkwind::sessions
