#pragma once

#include "test_system.h"

#include <nlohmann/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace skylarkwind::sessions {

struct backend_options
{
  std::string mId;
  std::string mService = "model";
  std::string mStage = "decode"; ///< model servers only
  int mEventMs = 5;
  int mEventBytes = 0; ///< each event is padded to this size with a comment; 0: not padded
  std::string mDataCentre = "z";
  std::string mCrashPart;    ///< part of prompts whose answers end the server; empty: none
  int mCrashAfter = 0;       ///< events of such an answer before the end
  bool mUndelimited = false; ///< streams have neither a length nor chunks
};

struct gateway_options
{
  std::vector<backend_options> mBackends;
  int mDaemons = 1;
  double mPrefillShare = 0.5;
  double mRepeatRatio = 0.2;
  int mRepeatFloor = 40;
  /// Daemons know the address of the first one from their settings.
  bool mSeeds = false;
  /// Daemons reach the store and the backend servers through relays, and backend servers keep
  /// their records in files.
  bool mRelays = false;
  /// Settings of the daemons that time a shutdown.
  double mShutdownGraceS = 8;
  int mBalancerNoticesMs = 300;
  std::size_t mMaxBodyBytes = 10'000;
  int mRouteTimeoutMs = 4'000;
  /// Daemons are spread over this many data centres: z, z1, z2 and so on.
  int mDataCentres = 1;
  /// Each daemon has a relay for callers as well.
  bool mCallerRelays = false;
  /// Backend servers keep their records in files, also without relays before them.
  bool mRecords = false;
  /// Program of the daemons; empty: that of this build.
  std::string mDaemonProgram;
};

/// Daemons before a stand-in of the users' platform: its store, engines and plain servers.
class gateway_system
{
public:
  /// Starts everything, writes the configuration and waits until every daemon is ready.
  explicit gateway_system(gateway_options aOptions);
  ~gateway_system();

  /// A first configuration with the routes /stream/ (resumable), /once-stream/, /order/ (once) and
  /// /lookup/ (idempotent).
  static nlohmann::json FirstConfiguration();
  /// What the daemons at this place have printed so far, those that have ended included.
  std::string DaemonLog(int aIndex = 0) const;
  void Configure(const nlohmann::json& aConfiguration);
  /// The first configuration with the limits of this system's options.
  nlohmann::json Configuration() const;
  /// Writes a server's entry with this state. False when the store does not accept it in this time.
  bool List(const std::string& aId,
            const std::string& aState,
            std::chrono::milliseconds aLimit = std::chrono::seconds{ 30 });
  /// The store executes a write late that the server sent before its last one.
  void ListLate(const std::string& aId, const std::string& aState);
  /// Lists a server as ready and as a later start of it, though its process is the same.
  void ListAsRestarted(const std::string& aId);
  void Unlist(const std::string& aId);
  /// Writes an object as another writer of the store may do: its Spec is this text, valid or not.
  void PutRaw(const std::string& aKind, const std::string& aName, const std::string& aSpec);
  void StoreFaults(const nlohmann::json& aFaults);
  /// Calls that the store has received.
  std::uint64_t StoreCalls() const;
  void SetMode(const std::string& aBackend, const std::string& aMode);

  child_process& Daemon(int aIndex = 0)
  {
    return *mDaemons[static_cast<std::size_t>(aIndex)].mProcess;
  }
  int DaemonCount() const { return static_cast<int>(mDaemons.size()); }
  /// Whether a condition on a daemon's index holds for each daemon at the same time, within a
  /// limit.
  bool WaitForAllDaemons(const std::function<bool(int)>& aCondition,
                         std::chrono::milliseconds aLimit) const;
  /// The list of the stored objects of a kind, as the store answers it.
  std::string StoredText(const std::string& aKind) const;
  std::string CallerUrl(const std::string& aPath, int aIndex = 0) const;
  http_reply Ready(int aIndex = 0) const;
  std::string Metrics(int aIndex = 0) const;
  /// Peak resident set size of a daemon so far, in MiB; 0 if it does not run.
  std::size_t PeakMegabytes(int aIndex = 0);
  /// Starts one more daemon and does not wait until it is ready.
  void AddDaemon();
  /// Ends what runs of this daemon or server with SIGKILL and starts it anew at its addresses.
  void RestartDaemon(int aIndex);
  void RestartBackend(const std::string& aId);
  /// Starts a server at the address of one that has ended, or ends it first, under a new id, which
  /// is returned. It is not listed.
  std::string ReplaceBackend(const std::string& aId);
  /// Lists a server that has replaced another one in its place. False when the store does not
  /// accept that in a short time.
  bool ListReplaced(const std::string& aId);
  child_process& Backend(const std::string& aId) { return *Find(aId).mProcess; }
  /// Faults of the relay before a backend server, or between a daemon and the store.
  void DisturbBackend(const std::string& aId, const nlohmann::json& aFaults);
  void DisturbStore(int aDaemon, const nlohmann::json& aFaults);
  const std::string& CallersAddress(int aIndex) const
  {
    return mDaemons[static_cast<std::size_t>(aIndex)].mCallers;
  }
  const std::string& ReadyAddress(int aIndex) const
  {
    return mDaemons[static_cast<std::size_t>(aIndex)].mReady;
  }
  /// With caller relays: the relay's address, and its faults.
  const std::string& RelayedCallersAddress(int aIndex) const
  {
    return mDaemons[static_cast<std::size_t>(aIndex)].mRelayedCallers;
  }
  void DisturbCallers(int aDaemon, const nlohmann::json& aFaults);
  /// Where logs and records are; removed at the end unless KeepFiles was called.
  const std::string& Directory() const { return mDirectory; }
  void KeepFiles() { mKeepsFiles = true; }
  /// With relays or mRecords: everything that backend servers recorded, also before they were
  /// killed.
  std::vector<nlohmann::json> Records() const;

  /// A request with a new id; further headers may be given.
  http_reply Send(const std::string& aMethod,
                  const std::string& aPath,
                  header_lines aHeaders = {},
                  const std::string& aBody = {}) const;
  static header_lines StreamHeaders(const std::string& aId, int aEvents);

  /// What arrived at a backend server, in order.
  nlohmann::json Arrivals(const std::string& aBackend) const;
  /// Requests that any backend server ran, by their outcome.
  std::size_t Count(const std::string& aOutcome) const;

private:
  struct daemon_entry
  {
    std::string mName;
    std::string mCallers;
    std::string mReady;
    std::string mPeers;
    std::unique_ptr<child_process> mStoreRelay;
    std::string mStore;
    std::unique_ptr<child_process> mProcess;
    std::string mDataCentre;
    std::unique_ptr<child_process> mCallerRelay;
    std::string mRelayedCallers;
  };
  struct backend_entry
  {
    backend_options mOptions;
    std::string mListen;
    std::unique_ptr<child_process> mProcess;
    std::unique_ptr<child_process> mRelay;
    std::string mAddress;         ///< as listed
    std::string mFirstId;         ///< before it was replaced
    std::string mListedId;        ///< of the one that it replaces, until it is listed itself
    int mReplaced = 0;            ///< how often
    std::uint64_t mStartedAt = 0; ///< Unix time in ms
    std::uint64_t mWrites = 0;    ///< of its entry, since that start
  };

  /// Starts a server's process and notes when.
  void StartBackend(backend_entry& aBackend) const;
  std::string LogFile(const std::string& aId) const { return mDirectory + "/" + aId + ".log"; }
  backend_entry& Find(const std::string& aId);
  /// Notes that a server starts now.
  static void NoteStart(backend_entry& aBackend);
  /// A server's entry as the server writes it.
  static nlohmann::json EntryOf(const backend_entry& aBackend,
                                const std::string& aState,
                                std::uint64_t aWrite);

  const backend_entry& Find(const std::string& aId) const;
  http_reply Store(const std::string& aMethod,
                   const std::string& aPath,
                   const nlohmann::json& aBody,
                   std::chrono::milliseconds aLimit = std::chrono::seconds{ 30 }) const;
  bool Put(const std::string& aKind,
           const std::string& aName,
           const nlohmann::json& aSpec,
           std::chrono::milliseconds aLimit = std::chrono::seconds{ 30 }) const;
  std::string WriteSettings(const daemon_entry& aDaemon) const;
  void StartDaemon(daemon_entry& aDaemon) const;

  gateway_options mOptions;
  std::string mDirectory;
  bool mKeepsFiles = false;
  std::unique_ptr<child_process> mStore;
  std::vector<backend_entry> mBackends;
  std::vector<daemon_entry> mDaemons;
};

} // namespace skylarkwind::sessions
