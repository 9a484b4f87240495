#pragma once

#include "skylarkwind/clock.h"
#include "skylarkwind/forward_types.h"
#include "skylarkwind/load_messages.h"
#include "skylarkwind/request_cost.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace skylarkwind {

/// How long the load of peers counts.
struct backend_load_tracker_settings
{
  /// Load of other daemons counts as ended when it has not been reported again for this long.
  std::chrono::milliseconds mPeerLoadTtl{ 1'500 };
};

/// How a request ended at a backend server, as far as the server's health is concerned.
enum class backend_outcome
{
  Answered,    ///< the server did its work, or the attempt ended for a reason outside the server
  Refused,     ///< the server is alive and said that it did not run the request
  Failed,      ///< the server failed the request or broke it off
  Unreachable, ///< no connection could be made
  Silent,      ///< the server gave no sign of life within the expected time
  Cancelled    ///< ended by this daemon; does not count for or against the server
};

/// Tracks the load and health of all backend servers as this daemon sees them: its own load, known
/// exactly, the load that other daemons report, and the outcomes of requests.
class backend_load_tracker
{
public:
  /// Identifies one request in flight at one backend server.
  using ticket = std::uint64_t;

  explicit backend_load_tracker(backend_load_tracker_settings aSettings);

  /// Records a request that is sent. `aPrefillTokens` is the number of prompt tokens that the
  /// server computes before the first token, `aExpected` the predicted time until then.
  ticket Begin(std::string_view aBackendId,
               std::uint32_t aPrefillTokens,
               std::chrono::duration<double, std::milli> aExpected,
               instant aNow);
  /// Records a plain request that is sent. `aService` is the expected distribution of its service
  /// time, `aExpected` the predicted time at a server that is not slowed down.
  ticket BeginPlain(std::string_view aBackendId,
                    const service_time& aService,
                    std::chrono::duration<double, std::milli> aExpected,
                    instant aNow);
  /// A server has answered a plain request without having worked on it as it should: it refused or
  /// failed. The time of the response is not measured.
  void OnUnservedResponse(ticket aTicket, instant aNow);
  /// The first token of the request arrived, or its response. To be called for later tokens as
  /// well: any sign of life ends the suspicion that silence has raised.
  void OnFirstResponse(ticket aTicket, instant aNow);
  /// The request ended. Removes it from the load and counts the outcome.
  void End(ticket aTicket, backend_outcome aOutcome, instant aNow);
  /// Records the load that a server reported with a response.
  void OnLoad(std::string_view aBackendId, const backend_load& aLoad, instant aNow);
  /// The server asked to receive no requests for a while (back-off). This is not a failure.
  void OnBackoffRequested(std::string_view aBackendId,
                          std::chrono::milliseconds aDuration,
                          instant aNow);
  /// The server changes its role and refuses work until `aUntil`.
  void OnRoleChange(backend_key aBackend, instant aUntil);
  /// The server is listed with its new role and accepts work again.
  void OnRoleChanged(std::string_view aBackendId, instant aNow);
  /// The server has left or restarted: resets its slowdown, consecutive failures, ejection and
  /// back-off. Its load and cumulative outcome counts are kept.
  void Reset(std::string_view aBackendId);

  /// Load and health of one server at one time.
  struct view
  {
    double mWaitingTokens = 0;  ///< queued prompt tokens, from all daemons
    std::uint32_t mRunning = 0; ///< requests in flight, from all daemons
    double mSlowdown = 1;       ///< actual / expected time, 1 before any measurement
    double mFailureRatio = 0;   ///< fraction of recent requests that failed, 0 to 1
    bool mAdmits = true;        ///< false if ejected, circuit open, changing role or in back-off
    /// Ejected only because it was silent: it may work, so it is used when no other server admits
    /// the request.
    bool mOnlySilent = false;
  };
  view View(std::string_view aBackendId, instant aNow) const;

  /// Work of a plain server that is not done yet.
  struct plain_work
  {
    double mAheadMs = 0;      ///< expected remaining service times, at the usual speed
    double mRunning = 0;      ///< requests at the server, expected
    double mSlowdown = 1;     ///< actual / usual time, without what mWorkTime covers
    double mWorkTime = 1;     ///< time that work takes now / usually, as the server reported
    double mFailureRatio = 0; ///< 0 to 1
    bool mReported = false;   ///< the server itself has reported its load recently
  };
  /// `aUsual` is the service time of requests about which nothing more is known, e.g. of those that
  /// other daemons sent.
  plain_work PlainWork(std::string_view aBackendId, const service_time& aUsual, instant aNow) const;
  /// Requests a ms that this daemon has recently sent to the server.
  double RequestRate(std::string_view aBackendId, instant aNow) const;
  /// Time until this daemon has received a report of load that another one dispatched.
  std::chrono::duration<double, std::milli> ReportDelay() const;
  std::uint32_t Daemons() const { return mDaemons; }
  /// Prompt tokens whose computation at the server ended after `aSince`, at most
  /// `kFinishedRetention` ago, from all daemons.
  double FinishedTokens(std::string_view aBackendId, instant aSince) const;
  static constexpr std::chrono::milliseconds kFinishedRetention{ 1'000 };
  /// End of the back-off that the server asked for; in the past when there is none.
  instant BackoffUntil(std::string_view aBackendId) const;

  /// Estimate of the load that other daemons have dispatched but not yet reported to this one. It
  /// is derived from this daemon's own request rate, because daemons receive similar traffic.
  struct unreported_load
  {
    double mPrefillTokens = 0; ///< over all servers
    double mRequests = 0;      ///< over all servers
  };
  unreported_load UnreportedLoad(instant aNow) const;

  /// The load that this daemon has dispatched, for servers where it has some or had some until
  /// recently.
  std::vector<dispatched_load> OwnLoad(instant aNow) const;
  /// Outcomes and slowdowns that this daemon measured at the same servers.
  std::vector<backend_statistics> OwnStatistics(instant aNow) const;
  /// Takes the load that all other daemons have dispatched to a server, and its health as measured
  /// by all daemons.
  void OnPeerLoad(const dispatched_load& aOthers, instant aNow);
  /// Sets this daemon's id and the number of daemons. They determine which daemons probe a server
  /// for which the fleet has opened the circuit.
  void SetFleet(std::uint64_t aSelf, std::uint32_t aDaemons);
  /// Servers that are changing their role.
  std::vector<role_change> ServersChangingRole(instant aNow) const;
  /// Counter that grows with each change of this daemon's dispatched load.
  std::uint64_t ChangeCount() const { return mChanges; }

private:
  /// Rate of recent additions, with exponential decay.
  struct decaying_rate
  {
    double mPerMs = 0; ///< at mAt
    instant mAt{};
    double At(instant aNow) const;
    void Add(double aAmount, instant aNow);
  };
  struct in_flight_request
  {
    backend_key mBackend = 0;
    std::uint32_t mPrefillTokens = 0;
    std::chrono::duration<double, std::milli> mExpected{};
    double mSlowdown = 1; ///< slowdown that mExpected was computed with
    instant mBeganAt;
    bool mHasFirstToken = false;
    std::optional<service_time> mService = std::nullopt; ///< plain requests only
  };
  /// Consecutive failures of one kind, and the ejection by this daemon alone that they led to.
  struct failure_run
  {
    std::uint32_t mCount = 0;
    instant mEjectedUntil{};
  };
  struct backend_state
  {
    /// Prompt tokens whose computation ended recently, by time.
    std::deque<std::pair<instant, double>> mFinished;
    double mOwnTokens = 0;
    std::uint32_t mOwnRunning = 0;
    instant mOwnChangedAt{};
    double mPeerTokens = 0;
    std::uint32_t mPeerRunning = 0;
    instant mPeerAt{};
    double mFleetSlowdown = 0; ///< 0 when unknown
    double mFleetFailureRatio = 0;
    bool mFleetCircuitOpen = false;
    double mOwnLogSlowdown = 0; ///< smoothed natural logarithm of the slowdown
    backend_statistics mRecord;
    double mOwnFailureRatio = 0;
    failure_run mFailures; ///< ended by an answer
    failure_run mSilences; ///< ended by any sign of life
    /// A request that can end an ejection is in flight: set by each request sent, cleared when any
    /// request ends.
    bool mProbeInFlight = false;
    instant mChangingUntil{};
    instant mBackoffUntil{};
    backend_load mLoad;
    instant mLoadAt{};
    double mLogWorkTime = 0; ///< smoothed natural logarithm of the reported work time
    instant mWorkTimeAt{};
    instant mSlowdownAt{};       ///< last measurement or report of the slowdown
    instant mFailureChangedAt{}; ///< last change of mOwnFailureRatio
    decaying_rate mRequestRate;
    std::vector<ticket> mPlainRequests; ///< in flight
  };

  backend_state& StateOf(std::string_view aBackendId) { return mStates[BackendKey(aBackendId)]; }
  /// Whether the server admits requests, apart from its silences.
  bool Admits(backend_key aBackend, const backend_state& aState, instant aNow) const;
  /// Whether the server is in service in spite of these failures.
  static bool Admits(const failure_run& aRun, const backend_state& aState, instant aNow);
  double Slowdown(const backend_state& aState) const;
  static void OnFinished(backend_state& aState, double aTokens, instant aNow);
  /// Takes a measured ratio of actual to usual time.
  void OnSlowdown(backend_state& aState, double aRatio, bool aIsPlain, instant aNow);
  static void OnFailure(backend_state& aState, backend_outcome aOutcome, instant aNow);
  void MarkOwnChange(backend_state& aState, instant aNow);
  /// Whether it is this daemon's turn to probe a server with an open circuit.
  bool MayProbe(backend_key aBackend, instant aNow) const;

  backend_load_tracker_settings mSettings;
  std::unordered_map<backend_key, backend_state> mStates;
  std::unordered_map<ticket, in_flight_request> mInFlight;
  ticket mLastTicket = 0;
  double mMeanLogSlowdown = 0; ///< over all servers, for those without a measurement
  std::uint32_t mMeasurements = 0;
  decaying_rate mOwnTokenRate;
  decaying_rate mOwnRequestRate;
  std::uint64_t mSelf = 0;
  std::uint32_t mDaemons = 1;
  std::uint64_t mChanges = 0;
};

} // namespace skylarkwind
